//! The system's processes, started with the commands of the deploy file.

use crate::http::Server;
use crate::http::call;
use crate::json;
use crate::json::Json;
use crate::record::Record;
use crate::runner::Room;
use crate::runner::Runner;
use crate::store::Store;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

const PROGRAM: &str = "target/release/hibiscusbarrow";
const ZONES: [&str; 3] = ["kitami", "asahikawa", "obihiro"];
const SERVICE: &str = "order-svc";
const HOST: &str = "orders.example";
const FRONT: u16 = 8_521;
const READY: u16 = 8_523;
const CONTROL: u16 = 8_526;
const APP: u16 = 8_529;
const STORE: u16 = 8_524;
const ADVICE: u16 = 8_525;
/// The runners of one rack.
const RACK_SIZE: usize = 3;
/// How long a client waits for a response, and how often it tries.
const PATIENCE: Duration = Duration::from_millis(3_000);
const TRIES: usize = 5;

/// The time that advice takes, for the call and for each runner, and how long it is valid.
const DECISION_MS: u64 = 50;
const EACH_MS: u64 = 5;
const VALID_MS: u64 = 60_000;

/// The tenants and their keys; the first one has a guarantee of eight accelerators.
pub const TENANT_A: &str = "key-of-tenant-a";
pub const TENANT_B: &str = "key-of-tenant-b";

/// The process ids of all processes that are or were started.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A gateway or an agent, and the child process that runs it.
struct Process {
    name: String,
    command: &'static str,
    child: Child,
}

/// The processes of a small deployment with their stand-ins.
pub struct Fleet {
    pub store: Store,
    pub runners: Vec<Runner>,
    pub record: Record,
    processes: Vec<Process>,
    fronts: Vec<SocketAddr>,
    dir: PathBuf,
    next_job: u64,
    next_front: usize,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        CHILDREN.lock().unwrap().clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Fleet {
    /// Starts three gateways, and agents with runners beside them, and waits until they work.
    pub fn start(runners: usize, room: Room, record: Record) -> Result<Self, String> {
        let io = |e: std::io::Error| e.to_string();
        let seed = std::process::id() as u64 + record_seed();
        let dir = std::env::temp_dir().join(format!("review-{seed}"));
        std::fs::create_dir_all(&dir).map_err(io)?;
        let (net, store, store_addr) = free_network(seed)?;
        store.put("op/config", manifest().as_bytes());
        let advice = address(&format!("{net}.2"), ADVICE);
        advise(advice, record.clone()).map_err(io)?;
        let mut fleet = Self {
            store,
            runners: Vec::new(),
            record,
            processes: Vec::new(),
            fronts: Vec::new(),
            dir,
            next_job: seed << 16,
            next_front: 0,
        };
        for index in 0..ZONES.len() {
            let ip = format!("{net}.{}", 10 + index);
            let name = format!("edge-{}-1", ZONES[index]);
            fleet.spawn(&name, &ip, ZONES[index], None, store_addr)?;
            fleet.fronts.push(address(&ip, FRONT));
        }
        for index in 0..runners {
            let ip = format!("{net}.{}", 20 + index);
            let zone = ZONES[index % ZONES.len()];
            let name = format!("side-{zone}-{}", 1 + index / ZONES.len());
            let app = address(&ip, APP);
            fleet.spawn(&name, &ip, zone, Some(app), store_addr)?;
            let id = format!("i-{:08x}", seed as u32 ^ (index as u32 + 1) << 20);
            let rack = format!("r1-{}", 1 + index / RACK_SIZE);
            let control = address(&ip, CONTROL);
            let record = fleet.record.clone();
            let runner = Runner::start(&id, app, control, room, &rack, zone, SERVICE, record);
            fleet.runners.push(runner.map_err(io)?);
        }
        fleet.wait_until_ready(&net, runners)?;
        Ok(fleet)
    }

    fn spawn(
        &mut self,
        name: &str,
        ip: &str,
        zone: &str,
        app: Option<SocketAddr>,
        store: SocketAddr,
    ) -> Result<(), String> {
        let path = self.dir.join(format!("{name}.toml"));
        std::fs::write(&path, settings(name, ip, zone, app, store)).map_err(|e| e.to_string())?;
        let command = if app.is_some() { "agent" } else { "serve" };
        let child = start_program(&self.dir, name, command)?;
        self.record.note(
            name,
            &format!("{PROGRAM} fleet {command}, process {}", child.id()),
        );
        self.processes.push(Process {
            name: name.to_owned(),
            command,
            child,
        });
        Ok(())
    }

    fn wait_until_ready(&mut self, net: &str, runners: usize) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(20);
        let ready = |index: usize| {
            let addr = address(&format!("{net}.{}", 10 + index), READY);
            let reply = call(addr, "GET", "/ready", &[], "", Duration::from_millis(500));
            reply.is_some_and(|(status, _)| status == 200)
        };
        let registered = |store: &Store| {
            store.count("hibiscusbarrow/worker/") == runners
                && store.count("hibiscusbarrow/placer") == 1
        };
        while !(0..ZONES.len()).all(ready) || !registered(&self.store) {
            if Instant::now() > end {
                return Err("the processes were not ready in time".into());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        // The runners have pinged once, and the agents have been polled.
        std::thread::sleep(Duration::from_millis(2_500));
        self.record.note("bench", "all processes are ready");
        Ok(())
    }

    /// Returns an identifier for a new job.
    fn new_id(&mut self) -> String {
        self.next_job += 1;
        format!("{:016x}", self.next_job.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    fn front(&mut self) -> SocketAddr {
        self.next_front += 1;
        self.fronts[self.next_front % self.fronts.len()]
    }

    /// Hands a job in as a client does; returns its identifier if it was accepted.
    pub fn submit(&mut self, queue: &str, key: &str, body: &str) -> Option<String> {
        let id = self.new_id();
        let path = format!("/{queue}/{id}");
        for _ in 0..TRIES {
            let front = self.front();
            let status = self.send(front, "POST", &path, key, body).map(|r| r.0);
            let shown = status.map_or("no answer".to_owned(), |s| s.to_string());
            let size = body.len();
            self.record.note(
                "client",
                &format!("POST {path} ({size} bytes) at {front} -> {shown}"),
            );
            if status.is_some_and(|s| s / 100 == 2) {
                return Some(id);
            }
            std::thread::sleep(Duration::from_millis(500));
        }
        None
    }

    /// Reads the state of a job, as a client does.
    pub fn state(&mut self, queue: &str, key: &str, id: &str) -> String {
        let path = format!("/{queue}/{id}");
        let front = self.front();
        let reply = self.send(front, "GET", &path, key, "");
        let shown = match &reply {
            None => "no answer".to_owned(),
            Some((200, body)) => Json::parse(body.as_bytes())
                .map_or("unreadable".into(), |b| b.get("state").str().to_owned()),
            Some((status, _)) => status.to_string(),
        };
        self.record
            .note("client", &format!("GET {path} at {front} -> {shown}"));
        shown
    }

    /// Reads the number of pending jobs of a queue.
    pub fn pending(&mut self, queue: &str, key: &str) -> Option<u64> {
        let path = format!("/{queue}/");
        let front = self.front();
        let reply = self.send(front, "GET", &path, key, "");
        self.record
            .note("client", &format!("GET {path} at {front} -> {reply:?}"));
        let (status, body) = reply?;
        let body = Json::parse(body.as_bytes())?;
        (status == 200).then(|| body.get("pending").num())
    }

    fn send(
        &self,
        front: SocketAddr,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let authorization = format!("Token {key}");
        let patience = PATIENCE.as_millis().to_string();
        let headers = [
            ("host", HOST),
            ("authorization", authorization.as_str()),
            ("hibiscusbarrow-deadline-ms", patience.as_str()),
        ];
        call(front, method, path, &headers, body, PATIENCE)
    }

    /// Returns the name of the gateway that places the jobs.
    pub fn placer(&self) -> String {
        let claim = self.store.read("hibiscusbarrow/placer").unwrap_or_default();
        claim.split(' ').next().unwrap_or("").to_owned()
    }

    /// Kills one of the processes.
    pub fn kill(&mut self, name: &str) {
        for process in self.processes.iter_mut().filter(|p| p.name == name) {
            let _ = process.child.kill();
            let _ = process.child.wait();
            let id = process.child.id();
            CHILDREN.lock().unwrap().retain(|c| *c != id);
            self.record.note(name, "is killed");
        }
    }

    /// Starts a killed process again.
    pub fn restart(&mut self, name: &str) -> Result<(), String> {
        for process in self.processes.iter_mut().filter(|p| p.name == name) {
            process.child = start_program(&self.dir, name, process.command)?;
            let text = format!("starts again, process {}", process.child.id());
            self.record.note(name, &text);
        }
        Ok(())
    }

    /// Notes the memory that each gateway uses and used at most; `memory-mb` is 260.
    pub fn note_memory(&self) {
        for process in self.processes.iter().filter(|p| p.command == "serve") {
            let path = format!("/proc/{}/status", process.child.id());
            let text = std::fs::read_to_string(path).unwrap_or_default();
            let lines = text
                .lines()
                .filter(|l| l.starts_with("VmRSS") || l.starts_with("VmHWM"));
            let lines: Vec<String> = lines.map(|l| l.replace('\t', " ")).collect();
            self.record
                .note(&process.name, &format!("memory: {}", lines.join(", ")));
        }
    }

    /// Notes the last lines of the logs of all processes.
    pub fn keep_logs(&self, lines: usize) {
        for process in &self.processes {
            let path = self.dir.join(format!("{}.log", process.name));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            let all: Vec<&str> = text.lines().collect();
            for line in &all[all.len().saturating_sub(lines)..] {
                let short: String = line.chars().take(400).collect();
                self.record.note(&process.name, &format!("log: {short}"));
            }
        }
    }
}

/// Starts the program with the settings file in `dir`; its log goes to a file beside that.
fn start_program(dir: &Path, name: &str, command: &str) -> Result<Child, String> {
    let log = dir.join(format!("{name}.log"));
    let log = std::fs::File::options().create(true).append(true).open(log);
    let child = Command::new(PROGRAM)
        .args(["fleet", command])
        .env("HIBISCUSBARROW_CONFIG", dir.join(format!("{name}.toml")))
        .stdin(Stdio::null())
        .stdout(log.map_err(|e| e.to_string())?)
        .spawn()
        .map_err(|e| format!("{PROGRAM}: {e}"))?;
    CHILDREN.lock().unwrap().push(child.id());
    Ok(child)
}

/// Ends all processes that were started, and this one with 2, if the case takes too long.
pub fn limit_time(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for id in CHILDREN.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
        }
        eprintln!("the case took longer than {limit:?}");
        std::process::exit(2);
    });
}

fn record_seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64 & 0xffff_ffff
}

fn address(ip: &str, port: u16) -> SocketAddr {
    format!("{ip}:{port}")
        .parse()
        .expect("the address is valid")
}

/// Finds a loopback network whose addresses are free, and starts the store there.
fn free_network(seed: u64) -> Result<(String, Store, SocketAddr), String> {
    for attempt in 0..50 {
        let third = (seed + attempt) % 250 + 1;
        let second = (seed / 250 + attempt * 3) % 200 + 20;
        let net = format!("127.{second}.{third}");
        let addr = address(&format!("{net}.2"), STORE);
        let taken = |index: usize| {
            std::net::TcpListener::bind(address(&format!("{net}.{}", 10 + index), FRONT)).is_err()
        };
        if (0..ZONES.len()).any(taken) {
            continue;
        }
        if let Ok(store) = Store::start(addr) {
            return Ok((net, store, addr));
        }
    }
    Err("no free loopback network was found".into())
}

/// Serves `/advise`: approves every runner that a call names, one call at a time.
fn advise(addr: SocketAddr, record: Record) -> std::io::Result<()> {
    let turn = Mutex::new(0);
    let server = Server::start(addr, move |request| {
        let mut tickets = turn.lock().unwrap();
        let body = Json::parse(&request.body)?;
        let workers = body.get("workers").list();
        let time = DECISION_MS + EACH_MS * workers.len() as u64;
        std::thread::sleep(Duration::from_millis(time));
        let approved = workers.iter().map(|worker| {
            *tickets += 1;
            Json::List(vec![worker.clone(), json::str(format!("t{tickets}"))])
        });
        let approved: Vec<Json> = approved.collect();
        let (step, count) = (body.get("step").str(), workers.len());
        record.note(
            "advice",
            &format!("step {step}, {count} runners named, all approved"),
        );
        let reply = json::map([("approved", Json::List(approved))]);
        Some((200, reply.to_string()))
    })?;
    std::mem::forget(server);
    Ok(())
}

/// Returns the manifest: a queue of each priority, and two tenants.
fn manifest() -> String {
    let queue = |name: &str, priority: u32, attempts: u32, stretch: f64, target: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\
             \"type\":\"unsafe\",\"timeout-ms\":3000,\"target-duration-ms\":{target},\
             \"priority\":{priority},\"service\":\"{SERVICE}\",\"max-attempts\":{attempts},\
             \"stretch\":{stretch:?},\"public\":false}}"
        )
    };
    let queues = [
        queue("merge", 0, 2, 1.5, 250),
        queue("plan", 1, 3, 3.0, 1_000),
        queue("quote", 2, 4, 3.0, 3_000),
        queue("advised", 1, 3, 3.0, 1_000).replace(
            "\"public\"",
            &format!(
                "\"advice\":{{\"decision-ms\":{DECISION_MS},\"each-ms\":{EACH_MS},\
                 \"valid-ms\":{VALID_MS}}},\"public\""
            ),
        ),
    ];
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health-path\":\"/health\",\"max-connections\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"enforces-capacity\":true,\"headroom\":false}}],\"limits\":{{\
         \"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\"tenants\":[\
         {{\"name\":\"tenant-a\",\"api-keys\":[\"{TENANT_A}\"],\"priority\":1,\
         \"guaranteed\":{{\"gpu\":8}}}},\
         {{\"name\":\"tenant-b\",\"api-keys\":[\"{TENANT_B}\"],\"priority\":1,\
         \"guaranteed\":{{\"gpu\":0}}}}]}}",
        queues.join(",")
    )
}

/// Returns the settings file of a process, with the figures of the site `kpf-sched`.
fn settings(
    name: &str,
    ip: &str,
    zone: &str,
    app: Option<SocketAddr>,
    store: SocketAddr,
) -> String {
    let advice = SocketAddr::new(store.ip(), ADVICE);
    let (class, serves, extra, listen, limits) = match app {
        Some(app) => (
            "side",
            "\"side\"",
            format!("app = \"{app}\"\nservice = \"{SERVICE}\"\n"),
            format!("control = \"{ip}:{CONTROL}\"\n"),
            "cpu-share = 0.15\ncores = 1\nmemory-mb = 128\nmax-fds = 4096\n",
        ),
        None => (
            "edge",
            "\"edge\",\"control\"",
            String::new(),
            format!(
                "front = \"{ip}:{FRONT}\"\nready = \"{ip}:{READY}\"\ncontrol = \"{ip}:{CONTROL}\"\n"
            ),
            "cpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\n",
        ),
    };
    format!(
        "node-name = \"{name}\"\nrole = \"my-{class}\"\nmachine-class = \"{class}\"\n\
         serves = [{serves}]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"hokkaido\"\n\
         port-range = [7000,7015]\nseeds = []\nbootstrap = true\nquorum-counted = false\n\
         discovery = \"local\"\nentry = \"vip\"\nheartbeat-interval-ms = 1500\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\
         \"platform\",\"advice\",\"upkeep\",\"sharing\"]\norders = \"invoke\"\n{extra}advice = \"{advice}\"\n\n\
         [zones]\nkitami = \"hokkaido\"\nasahikawa = \"hokkaido\"\nobihiro = \"hokkaido\"\n\n\
         [listen-addrs]\n{listen}\n[limits]\n{limits}link-mbps = 1000.0\ndisk-mb = 0\n\n\
         [fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\n\
         [bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\nack-ms = 4000\n\
         catch-up-s = 4\ndrain-ms = 2000\ngrace-s = 6\nloss-slack-ms = 200\n\
         config-apply-ms = 2000\nrollback-slack-ms = 250\nmax-stretch-ms = 5000\n\
         strict-revoke = false\nrevoke-ms = 5000\nrecovery-s = 12\nmax-hold-ms = 10000\n\
         stop-ms = 900\ngang-wait-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n\
         early_ms = 250\nfinish_s = 14\nstatus_s = 120\nremote-factor = 3\n\
         checkpoint-interval-s = 2\nrestore-ms = 600\nnotice-ms = 4500\nmigrate-s = 1.5\n\
         maintenance-s = 2\nfencing-required = true\nlease-ms = 3000\nthaw-slack-ms = 300\n\
         pace-ms = 100\nharm-ms = 4000\nreclaim-ms = 3400\n\n\
         [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites-per-s = 400\n\
         reads-per-s = 2000\nretention-s = 20\nvalue-bytes = 1048576\nttl-min-ms = 1000\n"
    )
}
