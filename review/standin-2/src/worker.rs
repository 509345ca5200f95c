//! A stand-in for a runner, as a process of its own that a case can kill or stop.
//!
//! It guards its capacity. What a task does stands in the job's `spec`, as words: `ms=N` (its
//! run time), `gpu=N` (the accelerators that it takes), `fail` (it ends as failed), `ticket` (it needs
//! a ticket), `lasts` (it runs until it is stopped).

use crate::http;
use crate::http::Reply;
use crate::http::Request;
use crate::unix_ms;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

const MAX_LEASE_MS: u64 = 10_000;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const MAX_LISTED_ENDS: usize = 500;
const GPUS: u64 = 8;

struct Run {
    number: u64,
    started: Instant,
    time: Duration,
    gpus: u64,
    /// Whether the run goes on until it is stopped.
    lasts: bool,
    end: &'static str,
}

struct State {
    id: String,
    born: u64,
    started: Instant,
    sequence: u64,
    fence: u64,
    lease_end: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// The highest run of each task that ended or was stopped.
    highest: BTreeMap<String, u64>,
    log: File,
}

struct Worker {
    state: Mutex<State>,
    changed: Condvar,
}

/// Runs a worker until its standard input is closed.
pub fn run(id: &str, addr: SocketAddr, control: SocketAddr, log: &str) -> std::io::Result<()> {
    let state = State {
        id: id.to_owned(),
        born: unix_ms(),
        started: Instant::now(),
        sequence: 0,
        fence: 0,
        lease_end: MAX_LEASE_MS,
        running: BTreeMap::new(),
        ended: Vec::new(),
        next_end: 1,
        highest: BTreeMap::new(),
        log: File::options().create(true).append(true).open(log)?,
    };
    let worker = Arc::new(Worker {
        state: Mutex::new(state),
        changed: Condvar::new(),
    });
    let server = worker.clone();
    http::serve(TcpListener::bind(addr)?, move |request, _| {
        server.handle(&request)
    });
    let ticker = worker.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(Duration::from_millis(5));
            if ticker.lock().end_due_runs() {
                ticker.changed.notify_all();
            }
        }
    });
    std::thread::spawn(move || {
        loop {
            let (path, body) = worker.lock().heartbeat(addr);
            let host = control.to_string();
            let timeout = Duration::from_secs(1);
            http::call(control, "PUT", &path, &[("host", &host)], &body, timeout);
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
    });
    let _ = std::io::stdin().read(&mut [0]);
    Ok(())
}

impl Worker {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no thread panicked")
    }

    fn handle(&self, request: &Request) -> Reply {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        let mut state = self.lock();
        state.end_due_runs();
        if request.header("hibiscusbarrow-expect-instance") != state.id {
            return Some((421, String::new()));
        }
        let clock = state.clock();
        let refusal = |reason| json!({"clock-ms": clock, "reason": reason}).to_string();
        if number("fencing-token") < state.fence {
            return Some((409, refusal("fence")));
        }
        state.fence = number("fencing-token");
        let accepted = json!({"clock-ms": clock}).to_string();
        let (task, run) = (body["task"].as_str().unwrap_or(""), number("run"));
        match request.path.as_str() {
            "/run-start" => Some(match state.start(task, run, &body) {
                Ok(()) => (200, accepted),
                Err(reason) => (409, refusal(reason)),
            }),
            "/run-stop" => {
                if state.running.get(task).is_some_and(|r| r.number <= run) {
                    state.end(task, "stopped");
                }
                let highest = state.highest.entry(task.to_owned()).or_default();
                *highest = (*highest).max(run);
                drop(state);
                self.changed.notify_all();
                Some((200, accepted))
            }
            "/pace" => Some((200, accepted)),
            "/hold" => {
                state.extend_lease(number("deadline-ms"));
                let seen = number("last-seen");
                state.ended.retain(|e| e.0 > seen);
                let end = Instant::now() + Duration::from_millis(number("wait-ms"));
                loop {
                    let remaining = end.saturating_duration_since(Instant::now());
                    if !state.ended.is_empty() || remaining.is_zero() {
                        return Some((200, state.listing()));
                    }
                    let waited = self.changed.wait_timeout(state, remaining);
                    state = waited.expect("no thread panicked").0;
                }
            }
            _ => Some((400, String::new())),
        }
    }
}

/// Returns the number after `name=` in a spec; 0 if it is absent.
fn spec_number(spec: &str, name: &str) -> u64 {
    let values = spec
        .split(' ')
        .filter_map(|w| w.strip_prefix(name)?.strip_prefix('='));
    values.filter_map(|v| v.parse().ok()).next().unwrap_or(0)
}

impl State {
    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn heartbeat(&mut self, addr: SocketAddr) -> (String, String) {
        self.sequence += 1;
        let body = json!({
            "service": "svc", "address": addr.to_string(), "zone": "z1", "version": "v1",
            "slots": 8, "state": "ready", "cold-left-ms": 0, "sequence": self.sequence,
            "capacity": {"cpu": 128_000, "mem-mb": 524_288, "gpu": GPUS}, "labels": ["a", "r1-1"],
            "clock-ms": self.clock(), "born": self.born,
        });
        (format!("/instances/{}", self.id), body.to_string())
    }

    fn extend_lease(&mut self, deadline: u64) {
        self.lease_end = self
            .lease_end
            .max(deadline.min(self.clock() + MAX_LEASE_MS));
    }

    fn note(&mut self, event: &str, task: &str, run: u64) {
        let line = json!({"at": unix_ms(), "event": event, "task": task, "run": run,
            "worker": self.id});
        // A single write, as all workers append to the same file.
        let _ = self.log.write_all(format!("{line}\n").as_bytes());
    }

    fn start(&mut self, task: &str, run: u64, body: &Value) -> Result<(), &'static str> {
        let spec = body["spec"].as_str().unwrap_or("");
        let deadline = body["deadline-ms"].as_u64().unwrap_or(0);
        if self.running.get(task).is_some_and(|r| r.number == run) {
            return Ok(());
        }
        if deadline < self.clock() {
            return Err("late");
        }
        if self
            .highest
            .get(task)
            .is_some_and(|highest| run <= *highest)
        {
            self.extend_lease(deadline);
            return Err("old");
        }
        if spec.contains("ticket") && !crate::policy::is_valid(&body["ticket"], &self.id) {
            return Err("ticket");
        }
        let gpus = spec_number(spec, "gpu");
        let used: u64 = self.running.values().map(|r| r.gpus).sum();
        if used + gpus > GPUS {
            self.extend_lease(deadline);
            return Err("room");
        }
        self.extend_lease(deadline);
        let run_of_task = Run {
            number: run,
            started: Instant::now(),
            time: Duration::from_millis(spec_number(spec, "ms")),
            gpus,
            lasts: spec.contains("lasts"),
            end: if spec.contains("fail") {
                "failed"
            } else {
                "done"
            },
        };
        self.running.insert(task.to_owned(), run_of_task);
        self.note("start", task, run);
        Ok(())
    }

    fn end(&mut self, task: &str, how: &'static str) {
        if let Some(run) = self.running.remove(task) {
            self.ended
                .push((self.next_end, task.to_owned(), run.number, how));
            self.next_end += 1;
            let highest = self.highest.entry(task.to_owned()).or_default();
            *highest = (*highest).max(run.number);
            self.note(how, task, run.number);
        }
    }

    /// Ends runs whose time is over, or all runs if the lease has expired; returns whether any
    /// has ended.
    fn end_due_runs(&mut self) -> bool {
        let lapsed = self.clock() > self.lease_end;
        let is_due = |r: &Run| lapsed || (!r.lasts && r.started.elapsed() >= r.time);
        let due = self.running.iter().filter(|(_, r)| is_due(r));
        let due: Vec<_> = due.map(|(task, r)| (task.clone(), r.end)).collect();
        for (task, end) in &due {
            self.end(task, if lapsed { "lapsed" } else { end });
        }
        !due.is_empty()
    }

    fn listing(&self) -> String {
        let percent = |r: &Run| {
            if r.lasts {
                return 100;
            }
            let time = r.time.as_millis().max(1);
            (r.started.elapsed().as_millis() * 100 / time).min(99) as u64
        };
        let running = self.running.iter();
        let running = running.map(|(t, r)| json!([t, r.number, "", percent(r), 0]));
        let ended = self.ended.iter().take(MAX_LISTED_ENDS);
        let ended = ended.map(|(n, t, r, how)| json!([n, t, r, how, ""]));
        json!({
            "clock-ms": self.clock(), "born": self.born,
            "running": running.collect::<Vec<_>>(), "finished": ended.collect::<Vec<_>>(),
        })
        .to_string()
    }
}
