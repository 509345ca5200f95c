//! A harness that starts the processes of a small cluster and sends requests to them.

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

/// The longest wait for an expected condition; only a failing test waits that long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The ports of a cluster count up from here, below the range of ephemeral ports, so
/// that no outgoing connection occupies one of them.
const BASE_PORT: u16 = 21_000;

/// The number of the next cluster of this test run.
static NEXT_CLUSTER: AtomicU32 = AtomicU32::new(0);

/// A child process and the arguments to restart it with.
struct Process {
    args: Vec<String>,
    child: Child,
}

/// The size and settings of a cluster to start.
pub struct ClusterBuilder {
    gateways: usize,
    sidecars: usize,
    workers: usize,
    keep_ms: u64,
    limits: Option<Value>,
    domains: &'static [&'static str],
}

impl ClusterBuilder {
    /// Returns a builder for two gateways, two sidecars with an upstream each and two
    /// workers.
    pub fn small() -> Self {
        Self {
            gateways: 2,
            sidecars: 2,
            workers: 2,
            keep_ms: 3_600_000,
            limits: None,
            domains: &["qc-montreal"],
        }
    }

    /// Sets the failure domains, assigned in turn to the processes of each kind.
    pub fn domains(mut self, domains: &'static [&'static str]) -> Self {
        self.domains = domains;
        self
    }

    /// Sets the setting `timing.keep_ms`, the time for which ended jobs are retained.
    pub fn keep_ms(mut self, keep_ms: u64) -> Self {
        self.keep_ms = keep_ms;
        self
    }

    /// Sets the section `limits` of the settings; it is left out while the program refuses it.
    pub fn limits(mut self, limits: Value) -> Self {
        self.limits = Some(limits);
        self
    }

    /// Sets the number of gateways.
    pub fn gateways(mut self, count: usize) -> Self {
        self.gateways = count;
        self
    }

    /// Sets the number of sidecars, each with an upstream of its own.
    pub fn sidecars(mut self, count: usize) -> Self {
        self.sidecars = count;
        self
    }

    /// Sets the number of workers.
    pub fn workers(mut self, count: usize) -> Self {
        self.workers = count;
        self
    }

    /// Starts the processes and waits until every gateway lists all upstreams among its
    /// members.
    pub fn start(self) -> Cluster {
        let cluster = self.launch();
        cluster.wait_for("every gateway to list all upstreams", || {
            let lists_upstreams = |gateway: &SocketAddr| {
                let status: Option<Status> = cluster.get(*gateway, "/v1/status");
                let members = status.map(|s| s.members).unwrap_or_default();
                members.iter().filter(|m| m.service == "jumelage").count() == self.sidecars
            };
            cluster.gateways().iter().all(lists_upstreams)
        });
        cluster
    }

    fn launch(&self) -> Cluster {
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!(
            "hibiscusbarrow-test-{}-{number}",
            std::process::id()
        ));
        fs::create_dir_all(&dir).expect("the test directory can be created");
        let mut cluster = Cluster {
            dir,
            ip: loopback_ip(number),
            last_port: BASE_PORT,
            keep_ms: self.keep_ms,
            limits: None,
            domains: self.domains,
            processes: BTreeMap::new(),
            addrs: BTreeMap::new(),
        };
        cluster.limits = self.limits.clone().filter(|l| cluster.accepts_limits(l));
        cluster.add_store();
        (0..self.workers).for_each(|i| cluster.add_worker(i));
        let workers = cluster.addrs_starting_with("worker-");
        (0..self.gateways).for_each(|i| cluster.add_member("gateway", i, &workers));
        for i in 0..self.sidecars {
            cluster.add_member("sidecar", i, &[]);
            cluster.add_upstream(i);
        }
        cluster
    }
}

/// The running processes of a small cluster; dropping it kills them.
pub struct Cluster {
    dir: PathBuf,
    /// A loopback address for this cluster alone, so that no two clusters share a port.
    ip: Ipv4Addr,
    /// The port that was assigned last.
    last_port: u16,
    keep_ms: u64,
    /// The section `limits` of the settings, if there is one.
    pub limits: Option<Value>,
    domains: &'static [&'static str],
    processes: BTreeMap<String, Process>,
    /// The HTTP address of each process, by its name.
    addrs: BTreeMap<String, SocketAddr>,
}

/// Returns a loopback address derived from this process and the cluster's number, so
/// that clusters of concurrent test runs do not share one.
fn loopback_ip(number: u32) -> Ipv4Addr {
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
                self.domains[i % self.domains.len()],
            ],
        );
    }

    fn add_upstream(&mut self, i: usize) {
        let name = format!("upstream-{i}");
        let addr = self.reserve(&name).to_string();
        let sidecar = self.addr(&format!("sidecar-{i}")).to_string();
        let journal = self.journal_path(i).display().to_string();
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

    /// Starts a gateway or a sidecar with a settings file of its own.
    fn add_member(&mut self, role: &str, i: usize, workers: &[SocketAddr]) {
        let name = format!("{role}-{i}");
        let http = self.reserve(&name);
        let mut settings = json!({
            "name": name, "region": "quebec", "domain": self.domains[i % self.domains.len()],
            "http": http, "peer": self.next_addr(), "store": self.addr("store"),
            "secret": "a secret for tests only", "workers": workers,
            "timing": {
                "probe_ms": 200, "poll_ms": 200, "lease_ms": 1500, "hold_ms": 3000,
                "tick_ms": 200, "drain_ms": 30_000, "keep_ms": self.keep_ms,
            },
        });
        if let Some(limits) = &self.limits {
            settings["limits"] = limits.clone();
        }
        let path = self.dir.join(format!("{name}.jsonc"));
        fs::write(&path, settings.to_string()).expect("the settings file can be written");
        self.spawn(&name, &[role, &path.display().to_string()]);
    }

    /// Returns whether the program accepts settings with a section `limits`.
    fn accepts_limits(&self, limits: &Value) -> bool {
        let addr = |offset| SocketAddr::from((self.ip, BASE_PORT + offset));
        let settings = json!({
            "name": "probe", "region": "quebec", "domain": "qc-montreal", "http": addr(0),
            "peer": addr(1), "store": addr(2), "secret": "a secret for tests only",
            "limits": limits,
        });
        let path = self.write_file("probe.jsonc", &settings.to_string());
        let output = self.run_program(&["check", "--settings", &path]);
        output.status.success()
    }

    fn next_addr(&mut self) -> SocketAddr {
        self.last_port += 1;
        SocketAddr::from((self.ip, self.last_port))
    }

    fn reserve(&mut self, name: &str) -> SocketAddr {
        let addr = self.next_addr();
        self.addrs.insert(name.to_owned(), addr);
        addr
    }

    fn spawn(&mut self, name: &str, args: &[&str]) {
        let args: Vec<String> = args.iter().map(ToString::to_string).collect();
        let child = self.spawn_child(name, &args);
        self.processes
            .insert(name.to_owned(), Process { args, child });
    }

    fn spawn_child(&self, name: &str, args: &[String]) -> Child {
        let log = fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(self.dir.join(format!("{name}.log")))
            .expect("the log file can be opened");
        Command::new(env!("CARGO_BIN_EXE_hibiscusbarrow"))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program can be started")
    }

    /// Returns the HTTP address of a process.
    pub fn addr(&self, name: &str) -> SocketAddr {
        self.addrs[name]
    }

    /// Returns the HTTP addresses of all gateways.
    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.addrs_starting_with("gateway-")
    }

    fn addrs_starting_with(&self, prefix: &str) -> Vec<SocketAddr> {
        let matching = self
            .addrs
            .iter()
            .filter(|(name, _)| name.starts_with(prefix));
        matching.map(|(_, addr)| *addr).collect()
    }

    fn journal_path(&self, i: usize) -> PathBuf {
        self.dir.join(format!("upstream-{i}.journal"))
    }

    /// Returns how often each request or idempotency key ran, summed over all upstreams
    /// and their incarnations.
    pub fn run_counts(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        let upstreams = self
            .addrs
            .keys()
            .filter(|n| n.starts_with("upstream-"))
            .count();
        for i in 0..upstreams {
            let journal = fs::read_to_string(self.journal_path(i)).unwrap_or_default();
            for key in journal.lines() {
                *counts.entry(key.to_owned()).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the operating system's identifier of a process.
    pub fn pid(&self, name: &str) -> u32 {
        self.processes[name].child.id()
    }

    /// Returns whether a process has ended.
    pub fn has_ended(&mut self, name: &str) -> bool {
        let process = self.processes.get_mut(name);
        let ended = process.expect("the process was started").child.try_wait();
        ended
            .expect("the state of the process can be read")
            .is_some()
    }

    /// Returns how many requests ran at one upstream, over all its incarnations.
    pub fn runs_at(&self, upstream: usize) -> usize {
        let journal = fs::read_to_string(self.journal_path(upstream)).unwrap_or_default();
        journal.lines().count()
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.processes[name].child.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.expect("the kill command runs").success());
    }

    /// Kills a process with SIGKILL and waits for its end.
    pub fn kill(&mut self, name: &str) {
        let process = self
            .processes
            .get_mut(name)
            .expect("the process was started");
        process.child.kill().expect("the process can be killed");
        process.child.wait().expect("the process ends");
    }

    /// Sends SIGTERM to a process and waits for its end.
    pub fn stop(&mut self, name: &str) {
        self.signal(name, "-TERM");
        self.wait_exit(name);
    }

    /// Waits until a process has ended.
    ///
    /// # Panics
    ///
    /// Panics if the process still runs after [`WAIT_TIMEOUT`].
    pub fn wait_exit(&mut self, name: &str) {
        let process = self
            .processes
            .get_mut(name)
            .expect("the process was started");
        let started_at = Instant::now();
        while process
            .child
            .try_wait()
            .expect("the state of the process can be read")
            .is_none()
        {
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "{name} did not stop within {WAIT_TIMEOUT:?}"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Edits the settings file of a gateway or sidecar, which it reads when it starts again.
    pub fn edit_settings(&self, name: &str, edit: impl FnOnce(&mut Value)) {
        let mut settings = self.settings(name);
        edit(&mut settings);
        self.write_file(&format!("{name}.jsonc"), &settings.to_string());
    }

    /// Returns the settings of a gateway or sidecar.
    pub fn settings(&self, name: &str) -> Value {
        let text = fs::read_to_string(self.dir.join(format!("{name}.jsonc")));
        serde_json::from_str(&text.expect("the settings exist")).expect("the settings are JSON")
    }

    /// Starts a killed or stopped process again with the same arguments.
    pub fn restart(&mut self, name: &str) {
        let args = self.processes[name].args.clone();
        let child = self.spawn_child(name, &args);
        self.processes
            .get_mut(name)
            .expect("the process was started")
            .child = child;
    }

    /// Runs the program with arguments until it ends, in the cluster's directory.
    pub fn run_program(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_hibiscusbarrow"))
            .args(args)
            .current_dir(&self.dir)
            .output()
            .expect("the program can be started")
    }

    /// Runs a command of the program against the first gateway and returns its standard
    /// output.
    ///
    /// # Panics
    ///
    /// Panics if the command fails.
    pub fn run_at_gateway(&self, command: &str, args: &[&str]) -> String {
        let gateway = self.addr("gateway-0").to_string();
        let mut command_line = vec![command, "-g", &gateway];
        command_line.extend(args);
        let output = self.run_program(&command_line);
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(
            output.status.success(),
            "{command} {args:?} failed: {stdout}{stderr}"
        );
        stdout
    }

    /// Writes a file into the cluster's directory and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        fs::write(&path, text).expect("the file can be written");
        path.display().to_string()
    }

    /// Applies a configuration, waits until every gateway and sidecar has it, and returns
    /// its generation.
    pub fn apply_config(&self, text: &str) -> u64 {
        let path = self.write_file("config.jsonc", text);
        let reply = self.run_at_gateway("apply", &["--json", &path]);
        let reply: Value = serde_json::from_str(&reply).expect("the reply is JSON");
        let generation = reply["generation"]
            .as_u64()
            .expect("the reply has a generation");
        self.wait_for("the generation on every gateway and sidecar", || {
            self.lowest_generation() >= generation
        });
        generation
    }

    /// Returns the lowest configuration generation of all gateways and sidecars; 0 if one
    /// of them does not respond.
    pub fn lowest_generation(&self) -> u64 {
        let members = self
            .addrs_starting_with("gateway-")
            .into_iter()
            .chain(self.addrs_starting_with("sidecar-"));
        let generation = |addr| {
            let status: Option<Status> = self.get(addr, "/v1/status");
            status.map_or(0, |s| s.generation)
        };
        members.map(generation).min().unwrap_or(0)
    }

    /// Returns a job as reported by the first gateway that knows it.
    pub fn job(&self, name: &str) -> Option<JobView> {
        let path = format!("/v1/jobs/{name}");
        self.gateways()
            .into_iter()
            .find_map(|gateway| self.get(gateway, &path))
    }

    /// Waits until a job is in a state.
    pub fn wait_for_job(&self, name: &str, state: &str) {
        self.wait_for(&format!("{name} to be {state}"), || {
            self.job(name).is_some_and(|job| job.state == state)
        });
    }

    /// Returns how often a worker started each gang, by the name of the gang and the attempt.
    pub fn start_counts(&self, worker: usize) -> BTreeMap<String, u64> {
        let addr = self.addr(&format!("worker-{worker}"));
        self.get(addr, "/standin/starts").unwrap_or_default()
    }

    /// Waits until a condition holds.
    ///
    /// # Panics
    ///
    /// Panics if the condition does not hold after [`WAIT_TIMEOUT`]; the logs then stay in
    /// the cluster's directory.
    pub fn wait_for(&self, description: &str, condition: impl Fn() -> bool) {
        let started_at = Instant::now();
        while !condition() {
            if started_at.elapsed() > WAIT_TIMEOUT {
                let logs = self.dir.display();
                panic!("timed out waiting for {description}; logs are in {logs}");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the JSON at a path of a process, or `None` if the process does not respond
    /// with success.
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
        self.try_post(addr, path, body)
            .expect("the process responds")
    }

    /// Posts JSON to a process and returns the response, or an error if there is none.
    pub fn try_post(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<http::Response<Bytes>, SendError> {
        let request = http::Request::post(path)
            .header("host", "test")
            .body(Bytes::from(body.to_string()))
            .expect("the request is valid");
        block_on(send(addr, request))
    }

    /// Sets the fault that the store stand-in simulates.
    pub fn set_store_fault(&self, fault: &Value) {
        self.post(self.addr("store"), "/standin/fault", fault);
    }

    /// Sends a caller's request through a gateway and returns what the caller received.
    pub fn send_request(
        &self,
        gateway: SocketAddr,
        headers: &[(&str, &str)],
        body: &str,
    ) -> CallerResponse {
        let result = block_on(send(gateway, caller_request(headers, body)));
        CallerResponse::from_result(result)
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

/// Returns a caller's request to the service `jumelage` under the account `agence-a`.
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

/// Runs a future to completion on a new runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("a runtime starts")
        .block_on(future)
}

/// The response to a caller's request, or its absence.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// The HTTP status; 0 if no response was received.
    pub status: u16,
    /// The number of the result code; 0 if the response is the upstream's.
    pub code: u64,
    /// The request identifier that the gateway assigned; empty if it assigned none.
    pub id: String,
    /// Whether the response is the stored one of an earlier request with the same key.
    pub repeated: bool,
    /// The body; null if it is not JSON.
    pub body: Value,
}

impl CallerResponse {
    /// Returns the response that a call ended with; empty if the call failed.
    pub fn from_result(result: Result<http::Response<Bytes>, SendError>) -> Self {
        let Ok(reply) = result else {
            return Self {
                status: 0,
                code: 0,
                id: String::new(),
                repeated: false,
                body: Value::Null,
            };
        };
        let header = |name: &str| {
            let value = reply.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let body: Value = serde_json::from_slice(reply.body()).unwrap_or(Value::Null);
        Self {
            status: reply.status().as_u16(),
            code: body["code"].as_u64().unwrap_or(0),
            id: header("x-request-id"),
            repeated: header("x-repeated") == "true",
            body,
        }
    }

    /// Returns whether the response says that the request was not run.
    pub fn is_not_run(&self) -> bool {
        let code = u16::try_from(self.code).unwrap_or(0);
        let code = hibiscusbarrow_model::code::Code::try_from(code);
        self.status != 200 && code.is_ok_and(|c| c.is_not_run())
    }
}

/// The configuration that most tests apply: two accounts, one of them with a guarantee
/// of one worker, and one service.
pub const CONFIG: &str = r#"{
  "accounts": [
    { "name": "agence-a", "quota": [{ "shape": "worker", "count": 1 }] },
    { "name": "agence-b" },
  ],
  "services": [{ "name": "jumelage" }],
}"#;
