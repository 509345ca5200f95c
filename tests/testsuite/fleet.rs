//! The fleet roles as separate processes, on stand-ins in the platform's form.

use crate::cluster::block_on;
use bytes::Bytes;
use hibiscusbarrow_adapters::http::HttpClient;
use hibiscusbarrow_platform::standin;
use hibiscusbarrow_platform::standin::Place;
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

const KEY: &str = "k-1";
const PATIENCE: Duration = Duration::from_secs(60);

/// Numbers the fleets of one run, so that each has addresses of its own.
static NEXT: AtomicU32 = AtomicU32::new(1);

struct Fleet {
    number: u32,
    dir: PathBuf,
    store: StoreStandin,
    workers: Vec<WorkerStandin>,
    gateways: usize,
    children: BTreeMap<String, Child>,
}

fn ip(fleet: u32, process: usize) -> String {
    format!("127.77.{fleet}.{}", process + 1)
}

impl Fleet {
    fn start(gateways: usize, sidecars: usize) -> Self {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let unique = format!("fleet-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(unique);
        fs::create_dir_all(&dir).expect("the folder is created");
        let doors = (gateways + sidecars) as u16;
        let store = StoreStandin::start(&ip(number, 200), doors);
        store.put_manifest(&standin::manifest(1, KEY));
        let mut fleet = Self {
            number,
            dir,
            store,
            workers: Vec::new(),
            gateways,
            children: BTreeMap::new(),
        };
        for at in 0..gateways {
            fleet.spawn(at);
        }
        for at in gateways..gateways + sidecars {
            let own = ip(number, at);
            let addr = format!("{own}:7600").parse().expect("an address");
            let beats = format!("{own}:{}", standin::BEAT_PORT);
            let beats = beats.parse().expect("an address");
            let worker = WorkerStandin::start(&format!("w{at}"), addr, beats);
            fleet.workers.push(worker);
            fleet.spawn(at);
        }
        fleet.wait("a gateway is ready", |f| f.is_ready(0));
        fleet.wait("every worker is looked at", |f| {
            f.store.read("hibiscusbarrow/worker/").len() == sidecars
        });
        fleet
    }

    fn name(&self, at: usize) -> String {
        format!("p{at}")
    }

    fn spawn(&mut self, at: usize) {
        let name = self.name(at);
        let sidecar = at >= self.gateways;
        let place = Place {
            name: name.clone(),
            ip: ip(self.number, at),
            store: self.store.doors[at].0,
            worker: sidecar.then(|| self.workers[at - self.gateways].addr),
        };
        let path = self.dir.join(format!("{name}.toml"));
        fs::write(&path, standin::settings(&place)).expect("the settings are written");
        let path_of_log = self.dir.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(path_of_log);
        let child = Command::new(env!("CARGO_BIN_EXE_hibiscusbarrow"))
            .args(["fleet", if sidecar { "agent" } else { "serve" }])
            .env("HIBISCUSBARROW_CONFIG", &path)
            .stdout(log.expect("the log opens"))
            .spawn()
            .expect("the process starts");
        self.children.insert(name, child);
    }

    fn kill(&mut self, at: usize) {
        let child = self.children.get_mut(&self.name(at));
        let child = child.expect("the process was started");
        child.kill().expect("the process is there");
        child.wait().expect("the process ends");
    }

    fn signal(&self, at: usize, signal: &str) {
        let id = self.children[&self.name(at)].id().to_string();
        let done = Command::new("kill").args([signal, &id]).status();
        assert!(done.expect("kill runs").success());
    }

    fn front(&self, at: usize) -> SocketAddr {
        let text = format!("{}:{}", ip(self.number, at), standin::FRONT_PORT);
        text.parse().expect("an address")
    }

    fn is_ready(&self, at: usize) -> bool {
        let text = format!("{}:{}", ip(self.number, at), standin::READY_PORT);
        let request = http::Request::get("/ready").header("host", "x");
        let request = request.body(Bytes::new()).expect("the request is valid");
        let addr = text.parse().expect("an address");
        self.send(addr, request).is_some_and(|r| r.status() == 200)
    }

    fn send(
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

    fn call(&self, at: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        self.call_with(at, method, path, body, KEY)
    }

    fn call_with(
        &self,
        at: usize,
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
        let Some(reply) = self.send(self.front(at), request) else {
            return (0, String::new());
        };
        let text = String::from_utf8_lossy(reply.body()).into_owned();
        (reply.status().as_u16(), text)
    }

    fn state(&self, at: usize, path: &str) -> String {
        self.call(at, "GET", path, "").1
    }

    /// Returns the value of the first metric whose line holds a text; 0 if none does.
    fn metric(&self, at: usize, name: &str) -> f64 {
        let addr = format!("{}:{}", ip(self.number, at), standin::METRICS_PORT);
        let request = http::Request::get("/metrics").header("host", "x");
        let request = request.body(Bytes::new()).expect("the request is valid");
        let reply = self.send(addr.parse().expect("an address"), request);
        let text = reply.map(|r| String::from_utf8_lossy(r.body()).into_owned());
        let text = text.unwrap_or_default();
        let line = text.lines().find(|l| l.contains(name));
        let value = line.and_then(|l| l.rsplit(' ').next()?.parse().ok());
        value.unwrap_or(0.0)
    }

    fn wait(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let end = Instant::now() + PATIENCE;
        while !condition(self) {
            assert!(
                Instant::now() < end,
                "in vain: {what}; logs in {:?}",
                self.dir
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn starts(&self) -> BTreeMap<String, u32> {
        let mut all = BTreeMap::new();
        for worker in &self.workers {
            for (task, count) in worker.starts() {
                *all.entry(task).or_default() += count;
            }
        }
        all
    }

    /// Fails if a task was started more than once on all workers together.
    fn assert_started_once(&self) {
        let starts = self.starts();
        assert!(starts.values().all(|n| *n == 1), "{starts:?}");
    }

    /// Returns the gateway that holds the placer's lease.
    fn placer(&self) -> usize {
        let held = self.store.read("hibiscusbarrow/placer");
        let holder = held.values().next().expect("someone places");
        let name = holder.split(' ').next().expect("it has a name");
        name[1..].parse().expect("it ends in its number")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

const JOB: &str = "/pairs/00000000000000a1";

#[test]
fn job_of_two_steps_runs_to_its_end_and_is_one_job() {
    let fleet = Fleet::start(2, 2);
    let body = standin::job(&[(3, 1), (2, 2)], 150);

    let first = fleet.call(0, "POST", JOB, &body);
    let again = fleet.call(1, "POST", JOB, &body);

    assert_eq!((first.0, again.0), (200, 200));
    fleet.wait("the job is shown as completed by both", |f| {
        (0..2).all(|g| f.state(g, JOB).contains("completed"))
    });
    assert_eq!(fleet.starts().len(), 5);
    fleet.assert_started_once();
}

#[test]
fn bad_requests_are_refused_and_nothing_is_stored() {
    let fleet = Fleet::start(1, 1);
    let body = standin::job(&[(1, 1)], 100);

    let unknown_key = fleet.call_with(0, "POST", JOB, &body, "wrong");
    let unknown_queue = fleet.call(0, "POST", "/other/00000000000000a1", &body);
    let malformed = fleet.call(0, "POST", JOB, r#"{"spec":"x","steps":[{"count":0}]}"#);
    let unknown_job = fleet.call(0, "GET", JOB, "");

    assert_eq!(unknown_key.0, 401);
    assert_eq!(unknown_queue.0, 404);
    assert_eq!(malformed.0, 400);
    assert!(malformed.1.contains("steps[0].count"), "{}", malformed.1);
    assert_eq!(unknown_job.0, 410);
    assert!(fleet.store.read("hibiscusbarrow/job/").is_empty());
}

#[test]
fn placer_killed_while_tasks_run_starts_none_twice() {
    let mut fleet = Fleet::start(3, 2);
    let body = standin::job(&[(4, 1), (2, 1)], 3_000);
    assert_eq!(fleet.call(0, "POST", JOB, &body).0, 200);
    fleet.wait("the first step runs", |f| f.starts().len() == 4);

    let placer = fleet.placer();
    fleet.kill(placer);

    let other = (placer + 1) % 3;
    fleet.wait("the job completes", |f| {
        f.state(other, JOB).contains("completed")
    });
    fleet.assert_started_once();
}

#[test]
fn sidecar_killed_while_tasks_run_starts_none_twice() {
    let mut fleet = Fleet::start(1, 1);
    let body = standin::job(&[(2, 1)], 2_000);
    assert_eq!(fleet.call(0, "POST", JOB, &body).0, 200);
    fleet.wait("the tasks run", |f| f.starts().len() == 2);

    fleet.wait("the placer has both answers", |f| {
        f.metric(0, "step_seconds_count{kind=\"order_start\"") == 2.0
    });

    fleet.kill(1);
    fleet.spawn(1);

    fleet.wait("the job completes", |f| {
        f.state(0, JOB).contains("completed")
    });
    fleet.assert_started_once();
}

#[test]
fn sidecar_killed_before_a_start_is_answered_runs_nothing_twice_at_once() {
    let mut fleet = Fleet::start(1, 1);
    let body = standin::job(&[(6, 1)], 1_000);
    assert_eq!(fleet.call(0, "POST", JOB, &body).0, 200);
    fleet.wait("a task runs", |f| !f.starts().is_empty());

    fleet.kill(1);
    fleet.spawn(1);

    fleet.wait("the job completes", |f| {
        f.state(0, JOB).contains("completed")
    });
    assert!(fleet.workers[0].doubled().is_empty());
}

#[test]
fn store_down_refuses_new_jobs_at_once_and_keeps_what_runs() {
    let fleet = Fleet::start(2, 1);
    let body = standin::job(&[(2, 1)], 2_500);
    assert_eq!(fleet.call(0, "POST", JOB, &body).0, 200);
    fleet.wait("the tasks run", |f| f.starts().len() == 2);

    fleet.store.shut(true);
    fleet.wait("new jobs are refused", |f| {
        f.call(0, "POST", "/pairs/00000000000000a2", &body).0 == 503
    });
    std::thread::sleep(Duration::from_secs(3));
    fleet.store.shut(false);

    fleet.wait("the job completes", |f| {
        f.state(0, JOB).contains("completed")
    });
    fleet.assert_started_once();
    fleet.wait("a refused job may come again", |f| {
        f.call(0, "POST", "/pairs/00000000000000a2", &body).0 == 200
    });
}

#[test]
fn gateway_cut_from_the_store_serves_through_another() {
    let fleet = Fleet::start(2, 1);
    fleet.wait("both are ready", |f| f.is_ready(0) && f.is_ready(1));
    let body = standin::job(&[(1, 1)], 100);

    fleet.store.doors[0].1.store(true, Ordering::Relaxed);

    fleet.wait("the job is accepted", |f| {
        f.call(0, "POST", JOB, &body).0 == 200
    });
    fleet.wait("the job completes", |f| {
        f.state(0, JOB).contains("completed")
    });
}

#[test]
fn cancelled_job_stops() {
    let fleet = Fleet::start(2, 1);
    let body = standin::job(&[(2, 1)], 60_000);
    assert_eq!(fleet.call(0, "POST", JOB, &body).0, 200);
    fleet.wait("the tasks run", |f| f.workers[0].running().len() == 2);

    let cancelled = fleet.call(1, "DELETE", JOB, "");

    assert_eq!(cancelled.0, 200);
    fleet.wait("nothing runs", |f| f.workers[0].running().is_empty());
    assert!(fleet.state(0, JOB).contains("canceled"));
}

#[test]
fn draining_worker_gets_nothing_new() {
    let fleet = Fleet::start(1, 2);
    let body = standin::job(&[(4, 1)], 200);
    fleet.workers[0].drain();
    std::thread::sleep(Duration::from_secs(1));

    assert_eq!(fleet.call(0, "POST", JOB, &body).0, 200);

    fleet.wait("the job completes", |f| {
        f.state(0, JOB).contains("completed")
    });
    assert!(fleet.workers[0].starts().is_empty());
}

#[test]
fn planned_stop_of_the_placer_hands_over_and_cuts_nothing() {
    let mut fleet = Fleet::start(2, 1);
    fleet.wait("both are ready", |f| f.is_ready(0) && f.is_ready(1));
    let body = standin::job(&[(2, 1)], 2_000);
    assert_eq!(fleet.call(0, "POST", JOB, &body).0, 200);
    fleet.wait("the tasks run", |f| f.starts().len() == 2);
    let placer = fleet.placer();

    fleet.signal(placer, "-TERM");

    let child = fleet.children.get_mut(&format!("p{placer}"));
    let status = child.expect("it was started").wait().expect("it ends");
    assert!(status.success());
    let other = 1 - placer;
    fleet.wait("the job completes", |f| {
        f.state(other, JOB).contains("completed")
    });
    fleet.assert_started_once();
}

#[test]
fn settings_of_a_wrong_type_name_file_line_and_field() {
    let dir = std::env::temp_dir().join(format!("fleet-settings-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("the folder is created");
    let path = dir.join("boot.toml");
    let place = Place {
        name: "p".into(),
        ip: "127.77.250.1".into(),
        store: "127.77.250.2:1".parse().expect("an address"),
        worker: None,
    };
    let text = standin::settings(&place).replace("max-fds = 4096", "max-fds = \"many\"");
    fs::write(&path, text).expect("the settings are written");

    let output = Command::new(env!("CARGO_BIN_EXE_hibiscusbarrow"))
        .args(["fleet", "serve"])
        .env("HIBISCUSBARROW_CONFIG", &path)
        .output()
        .expect("the process runs");

    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(3), "{errors}");
    assert!(
        errors.contains("boot.toml:9:11: max-fds: HB103"),
        "{errors}"
    );
    fs::remove_dir_all(&dir).expect("the folder is removed");
}

#[test]
fn placer_learns_of_jobs_while_its_watch_hears_nothing() {
    let fleet = Fleet::start(2, 1);
    fleet.wait("both are ready", |f| f.is_ready(0) && f.is_ready(1));
    fleet.wait("someone places", |f| {
        !f.store.read("hibiscusbarrow/placer").is_empty()
    });
    let body = standin::job(&[(1, 1)], 200);
    let other = 1 - fleet.placer();

    fleet.store.quieten(true);

    fleet.wait("the job is accepted", |f| {
        f.call(other, "POST", JOB, &body).0 == 200
    });
    fleet.wait("the job is shown as completed", |f| {
        f.state(other, JOB).contains("completed")
    });
}

#[test]
fn gateway_whose_log_no_one_reads_goes_on_serving() {
    let mut fleet = Fleet::start(1, 1);
    fleet.kill(0);
    let path = fleet.dir.join("p0.toml");
    let child = Command::new(env!("CARGO_BIN_EXE_hibiscusbarrow"))
        .args(["fleet", "serve"])
        .env("HIBISCUSBARROW_CONFIG", &path)
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("the process starts");
    fleet.children.insert("p0".into(), child);
    fleet.wait("it is ready", |f| f.is_ready(0));

    // Several events at their full budget fill the pipe within seconds.
    let end = Instant::now() + Duration::from_secs(6);
    let long = "x".repeat(2_000);
    while Instant::now() < end {
        for _ in 0..60 {
            fleet.call(0, "GET", &format!("/none/{long}"), "");
        }
    }

    let body = standin::job(&[(1, 1)], 100);
    assert_eq!(fleet.call(0, "POST", JOB, &body).0, 200);
    fleet.wait("the job completes", |f| {
        f.state(0, JOB).contains("completed")
    });
}

#[test]
fn job_whose_write_may_still_land_is_never_said_not_to_have_run() {
    let fleet = Fleet::start(2, 1);
    fleet.wait("both are ready", |f| f.is_ready(0) && f.is_ready(1));
    let body = standin::job(&[(1, 1)], 100);
    fleet.store.silence(true);

    let first = fleet.call(0, "POST", JOB, &body).0;
    let fresh = AtomicU32::new(0xb0);
    fleet.wait("a new job is refused at once by both", |f| {
        let path = format!("/pairs/{:016x}", fresh.fetch_add(1, Ordering::Relaxed));
        (0..2).all(|g| f.call(g, "POST", &path, &body).0 == 503)
    });
    let again: Vec<u16> = (0..2)
        .map(|g| fleet.call(g, "POST", JOB, &body).0)
        .collect();

    assert_eq!(first, 504);
    assert_eq!(again, [504, 504]);
    fleet.store.silence(false);
    fleet.wait("the job completes after all", |f| {
        f.state(1, JOB).contains("completed")
    });
    fleet.assert_started_once();
}

#[test]
fn end_on_a_draining_worker_is_heard_although_looks_that_wait_get_no_answer() {
    let fleet = Fleet::start(1, 2);
    let body = standin::job(&[(1, 1)], 1_500);
    assert_eq!(fleet.call(0, "POST", JOB, &body).0, 200);
    fleet.wait("the task runs", |f| f.starts().len() == 1);

    let chosen = fleet.workers.iter().find(|w| !w.running().is_empty());
    let chosen = chosen.expect("one of them runs it");
    chosen.drain();
    std::thread::sleep(Duration::from_millis(700));
    chosen.hush();

    fleet.wait("the job completes", |f| {
        f.state(0, JOB).contains("completed")
    });
    fleet.assert_started_once();
}
