//! A harness that starts the fleet roles as separate processes, with stand-ins for the
//! platform's store and workers.

use crate::cluster::block_on;
use bytes::Bytes;
use hibiscusbarrow_adapters::http::HttpClient;
use hibiscusbarrow_platform::standin;
use hibiscusbarrow_platform::standin::MachineLimits;
use hibiscusbarrow_platform::standin::ProcessConfig;
use hibiscusbarrow_platform::standin::SeenRun;
use hibiscusbarrow_platform::standin::StoreStandin;
use hibiscusbarrow_platform::standin::WorkerStandin;
use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// The key that the manifest accepts.
pub const API_KEY: &str = "k-1";
/// The longest wait for an expected condition; only a failing test waits that long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The number of the next fleet of this test run; each has addresses of its own.
static NEXT_FLEET: AtomicU32 = AtomicU32::new(1);

/// Running gateways and sidecars with their stand-ins; dropping it kills the processes.
///
/// Processes are identified by an index: first the gateways, then the sidecars.
pub struct Fleet {
    number: u32,
    pub dir: PathBuf,
    pub store: StoreStandin,
    pub workers: Vec<WorkerStandin>,
    /// The bound of evacuations in the settings, if any.
    evacuation: Option<Duration>,
    /// Further text of the settings of all processes.
    settings: String,
    /// Whether the logs stay when the fleet is dropped.
    keeps_logs: bool,
    /// The limits that the settings of every process state.
    machine: MachineLimits,
    /// The addresses of the store for processes that do not reach it at their endpoint.
    store_addrs: BTreeMap<usize, SocketAddr>,
    pub gateways: usize,
    pub children: BTreeMap<String, Child>,
}

/// The first loopback network of fleets, and how many there are. Two test runs beside each other
/// share one only if their process numbers agree modulo the count.
const FIRST_NETWORK: u32 = 16;
const NETWORKS: u32 = 200;

/// Returns the loopback address of a process of a fleet; the store has index 200.
fn process_ip(fleet: u32, process: usize) -> String {
    let network = FIRST_NETWORK + std::process::id() % NETWORKS;
    format!("127.{network}.{fleet}.{}", process + 1)
}

impl Fleet {
    /// Starts the processes and waits until every gateway is ready and knows the others and the
    /// placer, and every sidecar has registered.
    pub fn start(gateways: usize, sidecars: usize) -> Self {
        Self::start_on(gateways, sidecars, MachineLimits::default())
    }

    /// Starts the processes like [`start`](Self::start), with settings that state the limits of
    /// their machines.
    pub fn start_on(gateways: usize, sidecars: usize, machine: MachineLimits) -> Self {
        Self::start_configured(gateways, sidecars, machine, None, "")
    }

    /// Starts the processes with a bound of evacuations in their settings.
    pub fn start_with_bound(gateways: usize, sidecars: usize, bound: Duration) -> Self {
        let machine = MachineLimits::default();
        Self::start_configured(gateways, sidecars, machine, Some(bound), "")
    }

    /// Starts the processes with further text at the end of their settings.
    pub fn start_with(gateways: usize, sidecars: usize, settings: &str) -> Self {
        let machine = MachineLimits::default();
        Self::start_configured(gateways, sidecars, machine, None, settings)
    }

    fn start_configured(
        gateways: usize,
        sidecars: usize,
        machine: MachineLimits,
        evacuation: Option<Duration>,
        settings: &str,
    ) -> Self {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let unique = format!("fleet-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(unique);
        fs::create_dir_all(&dir).expect("the directory is created");
        let processes = (gateways + sidecars) as u16;
        let store = StoreStandin::start(&process_ip(number, 200), processes);
        store.put_manifest(&standin::manifest(1, API_KEY));
        let mut fleet = Self {
            number,
            dir,
            store,
            workers: Vec::new(),
            evacuation,
            settings: settings.to_owned(),
            keeps_logs: false,
            machine,
            store_addrs: BTreeMap::new(),
            gateways,
            children: BTreeMap::new(),
        };
        for index in 0..gateways {
            fleet.spawn(index);
        }
        for index in gateways..gateways + sidecars {
            let ip = process_ip(number, index);
            let addr = format!("{ip}:7600").parse().expect("the address is valid");
            let beat_addr = format!("{ip}:{}", standin::HEARTBEAT_PORT);
            let beat_addr = beat_addr.parse().expect("the address is valid");
            let worker = WorkerStandin::start(&format!("w{index}"), addr, beat_addr);
            fleet.workers.push(worker);
            fleet.spawn(index);
        }
        fleet.wait_for("the gateways to know each other and the placer", |f| {
            (0..gateways).all(|g| f.is_ready(g) && f.knows_the_others(g))
        });
        fleet.wait_for("every sidecar to register", |f| {
            f.store.read("hibiscusbarrow/worker/").len() == sidecars
        });
        fleet
    }

    pub fn process_name(&self, index: usize) -> String {
        format!("p{index}")
    }

    /// Starts or restarts a process, with its log appended to a file.
    pub fn spawn(&mut self, index: usize) {
        let name = self.process_name(index);
        let sidecar = index >= self.gateways;
        let config = ProcessConfig {
            name: name.clone(),
            ip: process_ip(self.number, index),
            store: self.store_addr(index),
            worker: sidecar.then(|| self.workers[index - self.gateways].addr),
        };
        let path = self.dir.join(format!("{name}.toml"));
        let mut settings = standin::settings_on(&config, &self.machine);
        if let Some(bound) = self.evacuation {
            let bounds = format!("[bounds]\nevacuate-ms = {}\n", bound.as_millis());
            settings = settings.replace("[bounds]\n", &bounds);
        }
        settings += &self.settings;
        fs::write(&path, settings).expect("the settings are written");
        let log_path = self.dir.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log_path);
        let child = Command::new(env!("CARGO_BIN_EXE_hibiscusbarrow"))
            .args(["fleet", if sidecar { "agent" } else { "serve" }])
            .env("HIBISCUSBARROW_CONFIG", &path)
            .stdout(log.expect("the log opens"))
            .spawn()
            .expect("the process can be started");
        self.children.insert(name, child);
    }

    fn store_addr(&self, index: usize) -> SocketAddr {
        let endpoint = self.store.endpoints[index].0;
        self.store_addrs.get(&index).copied().unwrap_or(endpoint)
    }

    /// Sets the address at which a process reaches the store from its next start.
    pub fn set_store_addr(&mut self, index: usize, addr: SocketAddr) {
        self.store_addrs.insert(index, addr);
    }

    /// Kills a process with SIGKILL and waits for its end.
    pub fn kill(&mut self, index: usize) {
        let child = self.children.get_mut(&self.process_name(index));
        let child = child.expect("the process was started");
        child.kill().expect("the process can be killed");
        child.wait().expect("the process ends");
    }

    pub fn signal(&self, index: usize, signal: &str) {
        let id = self.children[&self.process_name(index)].id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(status.expect("the kill command runs").success());
    }

    /// Sends a signal to a process unless it has ended.
    pub fn signal_if_running(&mut self, index: usize, signal: &str) {
        if !self.has_ended(index) {
            self.signal(index, signal);
        }
    }

    /// Returns the operating system's identifier of a process.
    pub fn pid(&self, index: usize) -> u32 {
        self.children[&self.process_name(index)].id()
    }

    /// Returns whether a process has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let child = self.children.get_mut(&self.process_name(index));
        let ended = child.expect("the process was started").try_wait();
        ended.expect("the process can be asked").is_some()
    }

    /// Keeps the logs of the processes when the fleet is dropped.
    pub fn keep_logs(&mut self) {
        self.keeps_logs = true;
    }

    pub fn gateway_addr(&self, index: usize) -> SocketAddr {
        let text = format!("{}:{}", process_ip(self.number, index), standin::FRONT_PORT);
        text.parse().expect("the address is valid")
    }

    /// Returns the address at which a sidecar receives heartbeats.
    pub fn heartbeat_addr(&self, sidecar: usize) -> SocketAddr {
        let ip = process_ip(self.number, self.gateways + sidecar);
        let text = format!("{ip}:{}", standin::HEARTBEAT_PORT);
        text.parse().expect("the address is valid")
    }

    /// Returns whether a gateway reports that it is ready to serve.
    pub fn is_ready(&self, index: usize) -> bool {
        let text = format!("{}:{}", process_ip(self.number, index), standin::READY_PORT);
        let request = http::Request::get("/ready").header("host", "x");
        let request = request.body(Bytes::new()).expect("the request is valid");
        let addr = text.parse().expect("the address is valid");
        self.send(addr, request).is_some_and(|r| r.status() == 200)
    }

    /// Returns whether a gateway knows the addresses of all gateways, and the placer.
    pub fn knows_the_others(&self, index: usize) -> bool {
        self.metric(index, "\"gateways_known\"") == self.gateways as f64
            && self.metric(index, "\"known_epoch\"") > 0.0
    }

    /// Sends a request; returns `None` if no response arrives within 5 seconds.
    pub fn send(
        &self,
        addr: SocketAddr,
        request: http::Request<Bytes>,
    ) -> Option<http::Response<Bytes>> {
        let client = HttpClient::default();
        block_on(async {
            client
                .call(addr, request, Duration::from_secs(5), 1 << 20)
                .await
                .ok()
        })
    }

    /// Calls a gateway with [`API_KEY`] and returns the status and the body; the status is
    /// 0 if there is no response.
    pub fn call(&self, index: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        self.call_with_key(index, method, path, body, API_KEY)
    }

    pub fn call_with_key(
        &self,
        index: usize,
        method: &str,
        path: &str,
        body: &str,
        key: &str,
    ) -> (u16, String) {
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header("host", "pairs.example")
            .header("authorization", format!("Token {key}"))
            .body(Bytes::from(body.to_owned()))
            .expect("the request is valid");
        let Some(reply) = self.send(self.gateway_addr(index), request) else {
            return (0, String::new());
        };
        let text = String::from_utf8_lossy(reply.body()).into_owned();
        (reply.status().as_u16(), text)
    }

    /// Returns the body of a `GET` response.
    pub fn get_body(&self, index: usize, path: &str) -> String {
        self.call(index, "GET", path, "").1
    }

    /// Returns the value of the first metric whose line contains `name`; 0 if none does.
    pub fn metric(&self, index: usize, name: &str) -> f64 {
        let addr = format!(
            "{}:{}",
            process_ip(self.number, index),
            standin::METRICS_PORT
        );
        let request = http::Request::get("/metrics").header("host", "x");
        let request = request.body(Bytes::new()).expect("the request is valid");
        let reply = self.send(addr.parse().expect("the address is valid"), request);
        let text = reply.map(|r| String::from_utf8_lossy(r.body()).into_owned());
        let text = text.unwrap_or_default();
        let line = text.lines().find(|l| l.contains(name));
        let value = line.and_then(|l| l.rsplit(' ').next()?.parse().ok());
        value.unwrap_or(0.0)
    }

    /// Waits until a condition holds; panics if it does not within [`WAIT_TIMEOUT`].
    pub fn wait_for(&self, description: &str, condition: impl Fn(&Self) -> bool) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !condition(self) {
            assert!(
                Instant::now() < end,
                "timed out waiting for {description}; logs are in {:?}",
                self.dir
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns how often each task was started, summed over all workers.
    pub fn start_counts(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for worker in &self.workers {
            for (task, count) in worker.start_counts() {
                *counts.entry(task).or_default() += count;
            }
        }
        counts
    }

    /// Fails if any task was started more than once, counted over all workers.
    pub fn assert_started_once(&self) {
        let starts = self.start_counts();
        assert!(starts.values().all(|n| *n == 1), "{starts:?}");
    }

    /// Fails if a task ran more than once. Runs that were stopped do not count, as a sidecar stops
    /// them on a worker on hold.
    pub fn assert_ran_once(&self) {
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        for run in self.workers.iter().flat_map(|w| w.history()) {
            let was_stopped = run.ended.is_some_and(|(_, end)| end == "stopped");
            *runs.entry(run.task).or_default() += u32::from(!was_stopped);
        }
        assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    }

    /// Fails if a task was started after one of its runs had ended as done.
    pub fn assert_done_once(&self) {
        let runs: Vec<SeenRun> = self.workers.iter().flat_map(|w| w.history()).collect();
        for done in &runs {
            let Some((at, "done")) = done.ended else {
                continue;
            };
            let again = runs.iter().find(|r| r.task == done.task && r.started >= at);
            assert!(again.is_none(), "{done:?} and then {again:?}");
        }
    }

    /// Returns the runs of a task that were lost in crashes of workers, by the end of its name.
    pub fn runs_lost(&self, task: &str) -> Vec<SeenRun> {
        let runs = self.workers.iter().flat_map(WorkerStandin::history);
        let is_lost = |r: &SeenRun| r.ended.is_some_and(|(_, end)| end == "gone");
        runs.filter(|r| r.task.ends_with(task) && is_lost(r))
            .collect()
    }

    /// Sends a message of a worker to a sidecar and returns the status of the reply.
    pub fn send_as_worker(&self, sidecar: usize, method: &str, id: &str, body: &str) -> u16 {
        let addr = self.heartbeat_addr(sidecar);
        let request = http::Request::builder()
            .method(method)
            .uri(format!("/instances/{id}"))
            .header("host", addr.to_string())
            .body(Bytes::from(body.to_owned()))
            .expect("the request is valid");
        self.send(addr, request).map_or(0, |r| r.status().as_u16())
    }

    /// Returns the position of a sidecar whose worker runs a task.
    pub fn busy_sidecar(&self) -> usize {
        let busy = self.workers.iter().position(|w| !w.running().is_empty());
        busy.expect("one of the workers runs a task")
    }

    /// Returns the index of the gateway that holds the placer lease.
    pub fn placer(&self) -> usize {
        let leases = self.store.read("hibiscusbarrow/placer");
        let holder = leases
            .values()
            .next()
            .expect("a gateway holds the placer lease");
        let name = holder.split(' ').next().expect("the lease has a holder");
        name[1..].parse().expect("the name ends in the index")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() && !self.keeps_logs {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
