//! A stand-in for a runner: holds leases, runs tasks by the time in their spec, and lists them.

use crate::Record;
use crate::http::Request;
use crate::http::Server;
use crate::http::call;
use crate::json::Json;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// The longest lease, `max-hold-ms`.
const MAX_HOLD_MS: u64 = 10_000;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const MAX_WAIT_MS: u64 = 2_000;
/// The time after which a task that lasts is at work.
const STARTUP: Duration = Duration::from_millis(300);

/// One run of a task, as the rules see it.
#[derive(Clone)]
pub struct Seen {
    pub task: String,
    pub run: u64,
    pub runner: String,
    pub started: Instant,
    /// When it ended and how, and the number of the end.
    pub ended: Option<(Instant, &'static str, u64)>,
    /// Whether `last-seen` has reached the end.
    pub noted: bool,
    boot: u64,
}

/// All runs of all runners.
pub type Runs = Arc<Mutex<Vec<Seen>>>;

/// What a runner does with an order.
pub enum Fate {
    Answered,
    /// Gets no answer and is carried out after this time.
    Late(Duration),
    /// Gets no answer and is carried out by [`Runner::carry_out_held`].
    Held,
}

/// Decides the fate of an order: path, task, run (or `last-seen` of a hold), runner, boot.
pub type Plan = Arc<dyn Fn(&str, &str, u64, &Arc<Runner>, u64) -> Fate + Send + Sync>;

struct Running {
    run: u64,
    ends: Instant,
    span: Duration,
    how: &'static str,
    /// Whether the task lasts, so that its percentage shows whether it is at work.
    lasts: bool,
}

#[derive(Default)]
struct State {
    /// The number of the boot, from 1; 0 while the runner is down.
    boot: u64,
    born: u64,
    began: Option<Instant>,
    sequence: u64,
    fence: u64,
    deadline: u64,
    running: BTreeMap<String, Running>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// Whether a lease was granted to this boot.
    is_leased: bool,
    /// The highest run that was stopped or ended, by task.
    over: BTreeMap<String, u64>,
    server: Option<Server>,
}

pub struct Runner {
    /// The identifier, or its first part if each boot has one of its own.
    pub name: String,
    keeps_id: bool,
    labels: Vec<String>,
    addr: String,
    control: String,
    service: String,
    zone: String,
    state: Mutex<State>,
    changed: Condvar,
    runs: Runs,
    record: Arc<Record>,
    plan: Plan,
    boots: Mutex<u64>,
    /// Orders that were not answered and wait to be carried out: path, text for the record, body.
    held: Mutex<Vec<(String, String, Json)>>,
    stopped: AtomicBool,
}

pub struct Place {
    pub name: String,
    /// Whether the runner starts again under the identifier that it had.
    pub keeps_id: bool,
    /// The kind, the rack and others.
    pub labels: Vec<String>,
    pub addr: String,
    pub control: String,
    pub service: String,
    pub zone: String,
}

impl State {
    fn clock(&self) -> u64 {
        self.began.map_or(0, |b| b.elapsed().as_millis() as u64)
    }

    fn extend(&mut self, deadline: u64) {
        let most = self.clock() + MAX_HOLD_MS;
        self.deadline = self.deadline.max(deadline.min(most));
    }

    fn clock_json(&self) -> Json {
        Json::obj([("clock-ms", Json::num(self.clock()))])
    }

    fn refuse(&self, reason: &str) -> (u16, Json) {
        let fields = [
            ("clock-ms", Json::num(self.clock())),
            ("reason", Json::str(reason)),
        ];
        (409, Json::obj(fields))
    }
}

impl Runner {
    pub fn new(place: Place, runs: Runs, record: Arc<Record>, plan: Plan) -> Arc<Runner> {
        let runner = Arc::new(Runner {
            name: place.name,
            keeps_id: place.keeps_id,
            labels: place.labels,
            addr: place.addr,
            control: place.control,
            service: place.service,
            zone: place.zone,
            state: Mutex::default(),
            changed: Condvar::new(),
            runs,
            record,
            plan,
            boots: Mutex::new(0),
            held: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let (ticking, beating) = (runner.clone(), runner.clone());
        std::thread::spawn(move || {
            while !ticking.stopped.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(5));
                ticking.end_due();
            }
        });
        std::thread::spawn(move || {
            while !beating.stopped.load(Ordering::SeqCst) {
                beating.beat();
                let state = beating.state.lock().unwrap();
                let _ = beating.changed.wait_timeout(state, HEARTBEAT_INTERVAL);
                std::thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        runner
    }

    /// Starts the process under the runner's identifier; it knows nothing of before.
    pub fn boot(self: &Arc<Self>) -> std::io::Result<()> {
        let number = {
            let mut boots = self.boots.lock().unwrap();
            *boots += 1;
            *boots
        };
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let serving = self.clone();
        let handler = move |request: &Request| serving.answer(number, request);
        let server = Server::start(&self.addr, Arc::new(handler))?;
        *self.state.lock().unwrap() = State {
            boot: number,
            born: born.unwrap().as_millis() as u64,
            began: Some(Instant::now()),
            server: Some(server),
            ..State::default()
        };
        self.record
            .line(&format!("{} starts, boot {number}", self.name));
        let beating = self.clone();
        std::thread::spawn(move || beating.beat());
        Ok(())
    }

    /// Ends the process with all that runs there.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        let boot = state.boot;
        for (task, running) in std::mem::take(&mut state.running) {
            self.end_seen(&task, running.run, boot, "crashed", 0);
        }
        if let Some(server) = state.server.take() {
            server.close();
        }
        state.boot = 0;
        self.record
            .line(&format!("{} crashes, boot {boot}", self.name));
    }

    /// Returns whether the system has granted a lease to the present boot.
    pub fn is_leased(&self) -> bool {
        self.state.lock().unwrap().is_leased
    }

    fn id_of(&self, boot: u64) -> String {
        if self.keeps_id {
            self.name.clone()
        } else {
            format!("{}-{boot}", self.name)
        }
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    fn beat(&self) {
        let path;
        let body = {
            let mut state = self.state.lock().unwrap();
            if state.boot == 0 {
                return;
            }
            state.sequence += 1;
            let labels = self.labels.iter().map(Json::str);
            path = format!("/instances/{}", self.id_of(state.boot));
            Json::obj([
                ("service", Json::str(self.service.clone())),
                ("address", Json::str(self.addr.clone())),
                ("zone", Json::str(self.zone.clone())),
                ("version", Json::str("v1")),
                ("slots", Json::num(8)),
                ("state", Json::str("ready")),
                ("cold-left-ms", Json::num(0)),
                (
                    "capacity",
                    Json::obj([
                        ("cpu", Json::num(128_000)),
                        ("mem-mb", Json::num(524_288)),
                        ("gpu", Json::num(8)),
                    ]),
                ),
                ("labels", Json::Arr(labels.collect())),
                ("clock-ms", Json::num(state.clock())),
                ("born", Json::num(state.born)),
                ("sequence", Json::num(state.sequence)),
            ])
        };
        let timeout = Duration::from_secs(1);
        let host = [("host", self.control.as_str())];
        let _ = call(
            &self.control,
            "PUT",
            &path,
            &host,
            &body.to_string(),
            timeout,
        );
    }

    fn answer(self: &Arc<Self>, boot: u64, request: &Request) -> Option<(u16, String)> {
        if self.state.lock().unwrap().boot != boot {
            return None;
        }
        if request.path == "/health" {
            return Some((200, "{}".to_owned()));
        }
        if request.header("hibiscusbarrow-expect-instance") != self.id_of(boot) {
            return Some((421, self.state.lock().unwrap().clock_json().to_string()));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        if request.path == "/hold" {
            return self.answer_hold(boot, body);
        }
        let (task, run) = (body.text("task"), body.u64("run"));
        let order = format!(
            "{} {task} run {run} at {} boot {boot}",
            request.path, self.name
        );
        match (self.plan)(&request.path, &task, run, self, boot) {
            Fate::Answered => {
                let (status, answer) = self.carry_out(&request.path, &body);
                self.record.line(&format!("{order}: {status} {answer}"));
                Some((status, answer.to_string()))
            }
            Fate::Late(delay) => {
                self.record
                    .line(&format!("{order}: no answer, carried out in {delay:?}"));
                let (runner, path) = (self.clone(), request.path.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    if runner.state.lock().unwrap().boot > 0 {
                        let (status, answer) = runner.carry_out(&path, &body);
                        let late = format!("{order}, carried out late: {status} {answer}");
                        runner.record.line(&late);
                    }
                });
                None
            }
            Fate::Held => {
                self.record
                    .line(&format!("{order}: no answer, carried out later"));
                self.held
                    .lock()
                    .unwrap()
                    .push((request.path.clone(), order, body));
                None
            }
        }
    }

    fn answer_hold(self: &Arc<Self>, boot: u64, body: Json) -> Option<(u16, String)> {
        let seen = body.u64("last-seen");
        match (self.plan)("/hold", "", seen, self, boot) {
            Fate::Answered => Some((200, self.hold(boot, &body)?)),
            Fate::Late(delay) => {
                let order = format!("/hold with last-seen {seen} at {} boot {boot}", self.name);
                self.record
                    .line(&format!("{order}: no answer, carried out in {delay:?}"));
                let runner = self.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    let now = runner.state.lock().unwrap().boot;
                    if now > 0 && runner.hold(now, &body).is_some() {
                        runner
                            .record
                            .line(&format!("{order}, carried out late by boot {now}"));
                    }
                });
                None
            }
            Fate::Held => None,
        }
    }

    /// Carries out the orders that were held back, by the boot that is up now.
    pub fn carry_out_held(&self) {
        for (path, order, body) in std::mem::take(&mut *self.held.lock().unwrap()) {
            let (status, answer) = self.carry_out(&path, &body);
            let line = format!("{order}, carried out late: {status} {answer}");
            self.record.line(&line);
        }
    }

    fn carry_out(&self, path: &str, body: &Json) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        let (task, run) = (body.text("task"), body.u64("run"));
        let fence = body.u64("fencing-token");
        if fence < state.fence {
            return state.refuse("fence");
        }
        state.fence = fence;
        match path {
            "/run-start" => {
                if state.running.get(&task).is_some_and(|r| r.run == run) {
                    return (200, state.clock_json());
                }
                if body.u64("deadline-ms") <= state.clock() {
                    return state.refuse("late");
                }
                state.extend(body.u64("deadline-ms"));
                if state.over.get(&task).is_some_and(|over| run <= *over) {
                    return state.refuse("old");
                }
                let spec = body.text("spec");
                let span = Duration::from_millis(number_in(&spec, "span="));
                let fails = run <= number_in(&spec, "fails=");
                let (ends, how) = (Instant::now() + span, if fails { "failed" } else { "done" });
                let lasts = spec.contains("lasts");
                let running = Running {
                    run,
                    ends,
                    span,
                    how,
                    lasts,
                };
                state.running.insert(task.clone(), running);
                let boot = state.boot;
                self.runs.lock().unwrap().push(Seen {
                    task: task.clone(),
                    run,
                    runner: self.name.clone(),
                    started: Instant::now(),
                    ended: None,
                    noted: false,
                    boot,
                });
                self.record.line(&format!(
                    "RUN {task} run {run} begins at {} boot {boot}",
                    self.name
                ));
                (200, state.clock_json())
            }
            "/run-stop" => {
                let over = state.over.entry(task.clone()).or_default();
                *over = (*over).max(run);
                if state.running.get(&task).is_some_and(|r| r.run <= run) {
                    self.end(&mut state, &task, "stopped");
                }
                (200, state.clock_json())
            }
            "/pace" => (200, state.clock_json()),
            _ => (400, state.clock_json()),
        }
    }

    fn hold(&self, boot: u64, body: &Json) -> Option<String> {
        let mut state = self.state.lock().unwrap();
        if body.u64("fencing-token") < state.fence {
            return Some(state.refuse("fence").1.to_string());
        }
        state.fence = body.u64("fencing-token");
        state.extend(body.u64("deadline-ms"));
        state.is_leased |= body.u64("deadline-ms") > 0;
        let seen = body.u64("last-seen");
        state.ended.retain(|(number, ..)| *number > seen);
        for run in self.runs.lock().unwrap().iter_mut() {
            let is_seen = run.ended.is_some_and(|(_, _, n)| n > 0 && n <= seen);
            run.noted |= run.runner == self.name && run.boot == boot && is_seen;
        }
        let wait = Duration::from_millis(body.u64("wait-ms").min(MAX_WAIT_MS));
        let end = Instant::now() + wait;
        while state.ended.is_empty() && state.boot == boot && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        if state.boot != boot {
            return None;
        }
        let running = state.running.iter().map(|(task, r)| {
            let left = r.ends.saturating_duration_since(Instant::now());
            let is_at_work = r.lasts && r.span.saturating_sub(left) > STARTUP;
            let done = 1.0 - left.as_secs_f64() / r.span.as_secs_f64().max(0.001);
            Json::Arr(vec![
                Json::str(task.clone()),
                Json::num(r.run),
                Json::str(""),
                Json::num(if is_at_work {
                    100
                } else {
                    (done * 100.0) as u64
                }),
                Json::num(1_000),
            ])
        });
        let finished = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| {
                Json::Arr(vec![
                    Json::num(*number),
                    Json::str(task.clone()),
                    Json::num(*run),
                    Json::str(*how),
                    Json::str(""),
                ])
            });
        let listing = Json::obj([
            ("clock-ms", Json::num(state.clock())),
            ("born", Json::num(state.born)),
            ("running", Json::Arr(running.collect())),
            ("finished", Json::Arr(finished.collect())),
        ]);
        Some(listing.to_string())
    }

    /// Ends the runs whose time is over, and all of them once the lease has expired.
    fn end_due(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let lapsed = state.clock() > state.deadline;
        let due = state
            .running
            .iter()
            .filter(|(_, r)| lapsed || r.ends <= now);
        let due: Vec<(String, &'static str)> = due
            .map(|(task, r)| (task.clone(), if lapsed { "lapsed" } else { r.how }))
            .collect();
        for (task, how) in due {
            self.end(&mut state, &task, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(running) = state.running.remove(task) else {
            return;
        };
        state.next_end += 1;
        let number = state.next_end;
        let entry = (number, task.to_owned(), running.run, how);
        state.ended.push(entry);
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(running.run);
        self.end_seen(task, running.run, state.boot, how, number);
        self.changed.notify_all();
    }

    fn end_seen(&self, task: &str, run: u64, boot: u64, how: &'static str, number: u64) {
        let mut runs = self.runs.lock().unwrap();
        let is_same = |s: &&mut Seen| {
            s.task == task && s.run == run && s.runner == self.name && s.boot == boot
        };
        if let Some(seen) = runs.iter_mut().filter(is_same).next_back() {
            seen.ended = Some((Instant::now(), how, number));
        }
        self.record.line(&format!(
            "RUN {task} run {run} ends at {} boot {boot}: {how}",
            self.name
        ));
    }
}

/// Returns the number after a word in a spec; 0 without the word.
fn number_in(spec: &str, word: &str) -> u64 {
    let rest = spec.split(word).nth(1).unwrap_or("");
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next();
    digits.and_then(|d| d.parse().ok()).unwrap_or(0)
}
