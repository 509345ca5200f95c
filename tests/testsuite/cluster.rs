//! Starts the separate processes of a small system and talks to them.

use bytes::Bytes;
use hibiscusbarrow_adapters::http::HttpClient;
use hibiscusbarrow_adapters::http::SendError;
use hibiscusbarrow_model::job::JobView;
use hibiscusbarrow_model::state::Status;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// The longest wait for anything that must come; verdicts do not depend on it.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// The first port of a cluster, below the range of outgoing connections.
const FIRST_PORT: u16 = 21_000;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A process with the command that starts it anew.
struct Process {
    args: Vec<String>,
    child: Child,
}

/// Describes a cluster to start.
pub struct Plan {
    gateways: usize,
    sidecars: usize,
    workers: usize,
    keep_ms: u64,
}

impl Plan {
    /// Returns the plan of two gateways, two sidecars with upstreams and two workers.
    pub fn small() -> Self {
        Self {
            gateways: 2,
            sidecars: 2,
            workers: 2,
            keep_ms: 3_600_000,
        }
    }

    /// Sets the time for which ended jobs are remembered.
    pub fn keep_ms(mut self, time: u64) -> Self {
        self.keep_ms = time;
        self
    }

    /// Sets the number of gateways.
    pub fn gateways(mut self, count: usize) -> Self {
        self.gateways = count;
        self
    }

    /// Sets the number of sidecars, each with an upstream.
    pub fn sidecars(mut self, count: usize) -> Self {
        self.sidecars = count;
        self
    }

    /// Sets the number of workers.
    pub fn workers(mut self, count: usize) -> Self {
        self.workers = count;
        self
    }

    /// Starts the processes and waits until the gateways hear the upstreams.
    pub fn start(self) -> Cluster {
        let cluster = self.launch();
        cluster.wait("the upstreams", || {
            let ready = |g: &SocketAddr| {
                let status: Option<Status> = cluster.get(*g, "/v1/status");
                let members = status.map(|s| s.members).unwrap_or_default();
                members.iter().filter(|m| m.service == "jumelage").count() == self.sidecars
            };
            cluster.gateways().iter().all(ready)
        });
        cluster
    }

    fn launch(&self) -> Cluster {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!(
            "hibiscusbarrow-test-{}-{number}",
            std::process::id()
        ));
        fs::create_dir_all(&dir).expect("the folder can be made");
        let mut cluster = Cluster {
            dir,
            ip: own_ip(number),
            next_port: FIRST_PORT,
            keep_ms: self.keep_ms,
            processes: BTreeMap::new(),
            addrs: BTreeMap::new(),
        };
        cluster.add_store();
        (0..self.workers).for_each(|i| cluster.add_worker(i));
        let workers = cluster.named("worker-");
        (0..self.gateways).for_each(|i| cluster.add_daemon("gateway", i, &workers));
        for i in 0..self.sidecars {
            cluster.add_daemon("sidecar", i, &[]);
            cluster.add_upstream(i);
        }
        cluster
    }
}

/// Holds the processes of a small system; they end with it.
pub struct Cluster {
    dir: PathBuf,
    /// The cluster's own loopback address, so that no two share a port.
    ip: Ipv4Addr,
    next_port: u16,
    keep_ms: u64,
    processes: BTreeMap<String, Process>,
    addrs: BTreeMap<String, SocketAddr>,
}

/// Returns a loopback address that no other cluster of any test run uses.
fn own_ip(number: u32) -> Ipv4Addr {
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    Ipv4Addr::new(
        127,
        1 + high % 100 + 100 * (number / 250 % 2) as u8,
        low,
        1 + (number % 250) as u8,
    )
}

impl Cluster {
    fn add_store(&mut self) {
        let addr = self.reserve("store");
        self.spawn(
            "store",
            &["standin", "store", "--listen", &addr.to_string()],
        );
    }

    fn add_worker(&mut self, i: usize) {
        let name = format!("worker-{i}");
        let addr = self.reserve(&name).to_string();
        let rack = format!("rack-{}", i / 3);
        self.spawn(
            &name,
            &[
                "standin",
                "worker",
                "--listen",
                &addr,
                "--name",
                &name,
                "--rack",
                &rack,
                "--domain",
                "qc-montreal",
            ],
        );
    }

    fn add_upstream(&mut self, i: usize) {
        let name = format!("upstream-{i}");
        let addr = self.reserve(&name).to_string();
        let sidecar = self.addr(&format!("sidecar-{i}")).to_string();
        let journal = self.journal(i).display().to_string();
        self.spawn(
            &name,
            &[
                "standin",
                "upstream",
                "--listen",
                &addr,
                "--service",
                "jumelage",
                "--sidecar",
                &sidecar,
                "--journal",
                &journal,
            ],
        );
    }

    fn add_daemon(&mut self, role: &str, i: usize, workers: &[SocketAddr]) {
        let name = format!("{role}-{i}");
        let http = self.reserve(&name);
        let settings = json!({
            "name": name, "region": "quebec", "domain": "qc-montreal",
            "http": http, "peer": self.next_addr(), "store": self.addr("store"),
            "secret": "a secret for tests only", "workers": workers,
            "timing": {
                "probe_ms": 200, "poll_ms": 200, "lease_ms": 1500, "hold_ms": 3000,
                "tick_ms": 200, "drain_ms": 30_000, "keep_ms": self.keep_ms,
            },
        });
        let path = self.dir.join(format!("{name}.jsonc"));
        fs::write(&path, settings.to_string()).expect("settings can be written");
        self.spawn(&name, &[role, &path.display().to_string()]);
    }

    fn next_addr(&mut self) -> SocketAddr {
        self.next_port += 1;
        SocketAddr::from((self.ip, self.next_port))
    }

    fn reserve(&mut self, name: &str) -> SocketAddr {
        let addr = self.next_addr();
        self.addrs.insert(name.to_owned(), addr);
        addr
    }

    fn spawn(&mut self, name: &str, args: &[&str]) {
        let args: Vec<String> = args.iter().map(ToString::to_string).collect();
        let child = self.run_child(name, &args);
        self.processes
            .insert(name.to_owned(), Process { args, child });
    }

    fn run_child(&self, name: &str, args: &[String]) -> Child {
        let log = fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(self.dir.join(format!("{name}.log")))
            .expect("a log can be opened");
        Command::new(env!("CARGO_BIN_EXE_hibiscusbarrow"))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts")
    }

    /// Returns the HTTP address of a process.
    pub fn addr(&self, name: &str) -> SocketAddr {
        self.addrs[name]
    }

    /// Returns the HTTP addresses of all gateways.
    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.named("gateway-")
    }

    fn named(&self, prefix: &str) -> Vec<SocketAddr> {
        let named = self
            .addrs
            .iter()
            .filter(|(name, _)| name.starts_with(prefix));
        named.map(|(_, addr)| *addr).collect()
    }

    fn journal(&self, i: usize) -> PathBuf {
        self.dir.join(format!("upstream-{i}.journal"))
    }

    /// Returns how often each request or key ran, over all upstreams and their lives.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        let upstreams = self
            .addrs
            .keys()
            .filter(|n| n.starts_with("upstream-"))
            .count();
        for i in 0..upstreams {
            let text = fs::read_to_string(self.journal(i)).unwrap_or_default();
            for key in text.lines() {
                *runs.entry(key.to_owned()).or_default() += 1;
            }
        }
        runs
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.processes[name].child.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Kills a process without warning.
    pub fn kill(&mut self, name: &str) {
        let process = self.processes.get_mut(name).expect("it was started");
        process.child.kill().expect("it can be killed");
        process.child.wait().expect("it ends");
    }

    /// Asks a process to stop and waits until it has.
    pub fn stop(&mut self, name: &str) {
        self.signal(name, "-TERM");
        self.wait_exit(name);
    }

    /// Waits until a process that was asked to stop has ended.
    pub fn wait_exit(&mut self, name: &str) {
        let process = self.processes.get_mut(name).expect("it was started");
        let began = Instant::now();
        while process
            .child
            .try_wait()
            .expect("it can be waited for")
            .is_none()
        {
            assert!(began.elapsed() < PATIENCE, "{name} does not stop");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Starts a process again that was killed or stopped.
    pub fn restart(&mut self, name: &str) {
        let args = self.processes[name].args.clone();
        let child = self.run_child(name, &args);
        self.processes.get_mut(name).expect("it was started").child = child;
    }

    /// Runs a command of the program to its end.
    pub fn command(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_hibiscusbarrow"))
            .args(args)
            .current_dir(&self.dir)
            .output()
            .expect("the program runs")
    }

    /// Runs a command against the first gateway and returns what it printed.
    pub fn operate(&self, command: &str, args: &[&str]) -> String {
        let gateway = self.addr("gateway-0").to_string();
        let mut all = vec![command, "-g", &gateway];
        all.extend(args);
        let output = self.command(&all);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(
            output.status.success(),
            "{command} {args:?}: {text}{errors}"
        );
        text
    }

    /// Writes a file beside the settings and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        fs::write(&path, text).expect("the file can be written");
        path.display().to_string()
    }

    /// Applies a configuration and waits until every process has it.
    pub fn apply(&self, text: &str) -> u64 {
        let path = self.write("config.jsonc", text);
        let reply = self.operate("apply", &["--json", &path]);
        let reply: Value = serde_json::from_str(&reply).expect("the reply is JSON");
        let generation = reply["generation"].as_u64().expect("it has a generation");
        self.wait("the generation", || self.lowest_generation() >= generation);
        generation
    }

    /// Returns the lowest generation that any daemon has; 0 if one does not answer.
    pub fn lowest_generation(&self) -> u64 {
        let daemons = self
            .named("gateway-")
            .into_iter()
            .chain(self.named("sidecar-"));
        let generation = |addr| {
            let status: Option<Status> = self.get(addr, "/v1/status");
            status.map_or(0, |s| s.generation)
        };
        daemons.map(generation).min().unwrap_or(0)
    }

    /// Returns one job as a gateway tells it.
    pub fn job(&self, name: &str) -> Option<JobView> {
        let path = format!("/v1/jobs/{name}");
        self.gateways().into_iter().find_map(|g| self.get(g, &path))
    }

    /// Waits until a job is in a state.
    pub fn wait_job(&self, name: &str, state: &str) {
        self.wait(&format!("{name} to be {state}"), || {
            self.job(name).is_some_and(|job| job.state == state)
        });
    }

    /// Returns how often a worker started each gang.
    pub fn starts(&self, worker: usize) -> BTreeMap<String, u64> {
        let addr = self.addr(&format!("worker-{worker}"));
        self.get(addr, "/standin/starts").unwrap_or_default()
    }

    /// Waits until a condition holds.
    pub fn wait(&self, what: &str, condition: impl Fn() -> bool) {
        let began = Instant::now();
        while !condition() {
            if began.elapsed() > PATIENCE {
                let logs = self.dir.display();
                panic!("waited in vain for {what}; logs are in {logs}");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Reads JSON from a process; nothing if it does not answer.
    pub fn get<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Option<T> {
        let request = http::Request::get(path)
            .header("host", "test")
            .body(Bytes::new());
        let reply = block_on(send(addr, request.expect("the request is valid"))).ok()?;
        let body = reply.status().is_success().then(|| reply.into_body())?;
        serde_json::from_slice(&body).ok()
    }

    /// Posts JSON to a process.
    pub fn post(&self, addr: SocketAddr, path: &str, body: &Value) -> http::Response<Bytes> {
        let request = http::Request::post(path)
            .header("host", "test")
            .body(Bytes::from(body.to_string()))
            .expect("the request is valid");
        block_on(send(addr, request)).expect("the process answers")
    }

    /// Tells the store stand-in how to misbehave.
    pub fn store_fault(&self, fault: &Value) {
        self.post(self.addr("store"), "/standin/fault", fault);
    }

    /// Sends a caller's request through a gateway.
    pub fn ask(&self, gateway: SocketAddr, headers: &[(&str, &str)], body: &str) -> Answer {
        let reply = block_on(send(gateway, caller_request(headers, body)));
        Answer::of(reply)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns a caller's request to the service of the tests.
pub fn caller_request(headers: &[(&str, &str)], body: &str) -> http::Request<Bytes> {
    let mut builder = http::Request::post("/v1/services/jumelage/pair")
        .header("host", "test")
        .header("x-account", "agence-a");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder
        .body(Bytes::from(body.to_owned()))
        .expect("the request is valid")
}

async fn send(
    addr: SocketAddr,
    request: http::Request<Bytes>,
) -> Result<http::Response<Bytes>, SendError> {
    HttpClient::default()
        .call(addr, request, Duration::from_secs(30), 16 << 20)
        .await
}

/// Runs a future on a runtime of its own.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("a runtime starts")
        .block_on(future)
}

/// Holds what a caller was told.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status; 0 if no answer came.
    pub status: u16,
    /// The number of the result; 0 with an answer of the upstream.
    pub code: u64,
    /// The identifier that the gateway gave the request.
    pub id: String,
    /// Whether the answer was remembered from an earlier request.
    pub repeated: bool,
    /// The body.
    pub body: Value,
}

impl Answer {
    /// Interprets a reply.
    pub fn of(reply: Result<http::Response<Bytes>, SendError>) -> Self {
        let Ok(reply) = reply else {
            return Self {
                status: 0,
                code: 0,
                id: String::new(),
                repeated: false,
                body: Value::Null,
            };
        };
        let text = |name: &str| {
            let value = reply.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let body: Value = serde_json::from_slice(reply.body()).unwrap_or(Value::Null);
        Self {
            status: reply.status().as_u16(),
            code: body["code"].as_u64().unwrap_or(0),
            id: text("x-request-id"),
            repeated: text("x-repeated") == "true",
            body,
        }
    }

    /// Tells whether the caller was told that the request was not run.
    pub fn is_not_run(&self) -> bool {
        let code = u16::try_from(self.code).unwrap_or(0);
        let code = hibiscusbarrow_model::code::Code::try_from(code);
        self.status != 200 && code.is_ok_and(|c| c.is_not_run())
    }
}

/// The configuration of most tests.
pub const CONFIG: &str = r#"{
  "accounts": [
    { "name": "agence-a", "quota": [{ "shape": "worker", "count": 1 }] },
    { "name": "agence-b" },
  ],
  "services": [{ "name": "jumelage" }],
}"#;
