//! A simulated cluster: a ledger, a store that commits every batch, and fake workers.

use crate::policy_service::PolicyService;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::ledger::Bounds;
use hibiscusbarrow_fleet::ledger::Effect;
use hibiscusbarrow_fleet::ledger::LearnedTimes;
use hibiscusbarrow_fleet::ledger::Ledger;
use hibiscusbarrow_fleet::ledger::Note;
use hibiscusbarrow_fleet::ledger::Write;
use hibiscusbarrow_fleet::manifest::Account;
use hibiscusbarrow_fleet::manifest::Manifest;
use hibiscusbarrow_fleet::record::Record;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_fleet::worker::Announcement;
use hibiscusbarrow_fleet::worker::Answer;
use hibiscusbarrow_fleet::worker::Boot;
use hibiscusbarrow_fleet::worker::End;
use hibiscusbarrow_fleet::worker::Ended;
use hibiscusbarrow_fleet::worker::Listing;
use hibiscusbarrow_fleet::worker::Order;
use hibiscusbarrow_fleet::worker::Refusal;
use hibiscusbarrow_fleet::worker::Resources;
use hibiscusbarrow_fleet::worker::Running;
use hibiscusbarrow_fleet::worker::Start;
use hibiscusbarrow_fleet::worker::TaskId;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// The wall clock at the start of each test, in milliseconds since the Unix epoch.
pub const START_UNIX_MS: u64 = 1_700_000_000_000;

/// The most batches that are committed after one plan.
const MAX_BATCHES: usize = 10_000;
/// The most ends that a worker lists at once.
const LISTED_ENDS: usize = 500;
/// How long an order waits for its answer, sent again once.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(2_400);
/// The time between two polls of a worker.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A worker that carries out every order for its identifier while it is reachable.
#[derive(Clone)]
pub struct FakeWorker {
    pub boot: Boot,
    pub capacity: Resources,
    pub rack: SmolStr,
    /// The failure domain.
    pub domain: SmolStr,
    pub draining: bool,
    /// How much longer the worker says that it is slow, in milliseconds.
    pub cold_left: u64,
    /// Whether the worker may forget ends.
    pub on_hold: bool,
    /// Whether the sidecar stops each run that starts meanwhile.
    pub probing: bool,
    /// When the sidecar started, in milliseconds since the Unix epoch.
    pub sidecar_start: u64,
    /// The number of the newest heartbeat.
    pub sequence: u64,
    /// The progress of each run in percent, by task and number of the start.
    pub running: BTreeMap<(TaskId, u64), u64>,
    /// Ends that the placer has not acknowledged.
    pub ended: Vec<Ended>,
    /// The number of the next end.
    pub next_end: u64,
    /// Whether the worker answers polls and orders.
    pub reachable: bool,
    /// The load that every run reports.
    pub load: u64,
    /// The checkpoint that every run reports.
    pub checkpoint: SmolStr,
    /// Whether runs make no progress.
    pub stalled: bool,
    /// The time that each percent of a run takes; none if each poll shows progress.
    pub percent_time: Option<Duration>,
    /// Whether runs go on although they were told to stop.
    pub ignores_stops: bool,
    /// Whether orders get no answer and are not carried out.
    pub loses_orders: bool,
    /// Whether orders are refused and not carried out, as the worker is unhealthy.
    pub refuses_orders: bool,
    /// The runs that were to be stopped. The sidecar refuses their starts, also for a later incarnation.
    pub stopped: BTreeSet<(TaskId, u64)>,
    /// How long the worker takes for a start or stop, one after the other.
    pub order_time: Duration,
    /// When the worker has carried out the orders that it has received.
    pub busy_until: Duration,
    /// When the worker is back after a crash, as another incarnation.
    pub back_at: Option<Duration>,
}

/// A placer, a store and workers, driven by one thread on simulated time.
pub struct Cluster {
    pub ledger: Ledger,
    pub bounds: Bounds,
    /// The largest record that the store takes, in bytes.
    pub store_limit: usize,
    /// The jobs of the batches that the store refused.
    pub refused: Vec<Vec<SmolStr>>,
    pub now: Duration,
    /// The newest revision of the store.
    pub revision: u64,
    /// The stored record of each job, with its revision.
    pub stored: BTreeMap<SmolStr, (Record, u64)>,
    pub workers: BTreeMap<SmolStr, FakeWorker>,
    /// Every start sent, with its sidecar.
    pub starts: Vec<(SmolStr, Start)>,
    /// Every stop sent, with its sidecar and incarnation.
    pub stops: Vec<(SmolStr, Boot, TaskId)>,
    /// The epoch of the placer.
    pub epoch: u64,
    /// The tasks that crash each worker on which they have run for this long.
    pub deadly: BTreeMap<TaskId, Duration>,
    /// How long a worker is down after a crash.
    pub downtime: Duration,
    /// How long other runs take to be done; none if they run on. Long-running tasks always do.
    pub run_time: Option<Duration>,
    /// Every crash of a worker, with the runs that were lost.
    pub crashes: Vec<Crash>,
    /// The policy service; without it, requests get no answer.
    pub policy: Option<PolicyService>,
    /// The number of starts that were refused for their tokens.
    pub stale_tokens: usize,
    /// Starts that took more resources than their worker had, with the sidecar.
    pub overfull: Vec<(SmolStr, TaskId)>,
    /// The orders that workers have received and not carried out, or not answered.
    slow_orders: Vec<SlowOrder>,
    /// The failure domains whose evacuation is requested in the store.
    pub evacuated: BTreeSet<SmolStr>,
    /// Whether the placer's reading of these is cut off.
    pub is_cut_off: bool,
    /// Every decision that the placer logged.
    pub notes: Vec<Note>,
    /// When each run started.
    started: BTreeMap<(TaskId, u64), Duration>,
}

/// An order that its worker carries out later.
struct SlowOrder {
    sidecar: SmolStr,
    boot: Boot,
    order: Order,
    /// When the worker carries it out; none if it has.
    done_at: Option<Duration>,
    /// When the placer has given it up.
    timeout_at: Duration,
}

/// The crash of a worker.
pub struct Crash {
    /// The number of starts sent before it.
    pub starts: usize,
    /// The runs that were lost.
    pub lost: Vec<TaskId>,
}

/// Returns a cluster without workers.
pub fn cluster() -> Cluster {
    Cluster {
        ledger: Ledger::new(Bounds::default(), 1, Duration::ZERO),
        bounds: Bounds::default(),
        store_limit: Bounds::default().max_record,
        refused: Vec::new(),
        now: Duration::ZERO,
        revision: 1,
        stored: BTreeMap::new(),
        workers: BTreeMap::new(),
        starts: Vec::new(),
        stops: Vec::new(),
        epoch: 1,
        deadly: BTreeMap::new(),
        downtime: Duration::from_secs(3),
        run_time: None,
        crashes: Vec::new(),
        policy: None,
        stale_tokens: 0,
        overfull: Vec::new(),
        slow_orders: Vec::new(),
        evacuated: BTreeSet::new(),
        is_cut_off: false,
        notes: Vec::new(),
        started: BTreeMap::new(),
    }
}

/// Returns an idle worker with 8 cores, 8,000 MB of memory and 8 accelerators.
pub fn worker(id: &str, rack: &str) -> FakeWorker {
    FakeWorker {
        boot: Boot {
            id: id.into(),
            born: 1,
        },
        capacity: Resources {
            cpu: 8_000,
            memory: 8_000,
            gpus: 8,
        },
        rack: rack.into(),
        domain: "a".into(),
        draining: false,
        cold_left: 0,
        on_hold: false,
        probing: false,
        sidecar_start: 1,
        sequence: 1,
        running: BTreeMap::new(),
        ended: Vec::new(),
        next_end: 1,
        reachable: true,
        load: 0,
        checkpoint: SmolStr::default(),
        stalled: false,
        percent_time: None,
        ignores_stops: false,
        loses_orders: false,
        refuses_orders: false,
        stopped: BTreeSet::new(),
        order_time: Duration::ZERO,
        busy_until: Duration::ZERO,
        back_at: None,
    }
}

/// Returns a step with a declared run time of 1 s per task.
pub fn step(count: u32, gpus: u64) -> Step {
    Step {
        count,
        cpu: 100,
        memory: 100,
        gpus,
        runtime: 1_000,
        ..Step::default()
    }
}

/// Returns a job of priority 1 with 3 attempts, accepted at [`START_UNIX_MS`].
pub fn job(id: &str, steps: Vec<Step>) -> Job {
    Job {
        id: id.into(),
        queue: "queue".into(),
        service: "service".into(),
        account: "agency".into(),
        priority: 1,
        attempts: 3,
        accepted_at: START_UNIX_MS,
        spec: "text".into(),
        steps,
        ..Job::default()
    }
}

impl Cluster {
    /// Sets the largest record that the placer and the store know, before workers are added.
    pub fn with_max_record(mut self, bytes: usize) -> Self {
        self.bounds.max_record = bytes;
        self.store_limit = bytes;
        self.ledger = Ledger::new(self.bounds, self.epoch, self.now);
        self
    }

    /// Sets the bound of evacuations, before workers are added.
    pub fn with_evacuations(mut self, bound: Duration) -> Self {
        self.bounds.evacuation = Some(bound);
        self.ledger = Ledger::new(self.bounds, self.epoch, self.now);
        self
    }

    /// Switches on uses of learned run times, before workers are added.
    pub fn with_learned_times(mut self, uses: LearnedTimes) -> Self {
        self.ledger = Ledger::new(self.bounds, self.epoch, self.now).with_learned_times(uses);
        self
    }

    /// Adds a worker and returns the cluster.
    pub fn with_worker(mut self, sidecar: &str, worker: FakeWorker) -> Self {
        self.add_worker(sidecar, worker);
        self
    }

    pub fn add_worker(&mut self, sidecar: &str, worker: FakeWorker) {
        self.workers.insert(sidecar.into(), worker);
        let addr = "127.0.0.1:1".parse().expect("the address is valid");
        self.ledger.put_worker(sidecar.into(), addr);
    }

    /// Puts a manifest into force in which only this account has a guarantee.
    pub fn set_guarantee(&mut self, account: &str, gpus: u64) {
        let manifest = Manifest {
            version: 1,
            accounts: vec![Account {
                name: account.into(),
                guaranteed: gpus,
            }],
            ..Manifest::default()
        };
        self.ledger.set_manifest(Rc::new(manifest));
    }

    /// Stores a new job and passes it to the ledger.
    pub fn submit(&mut self, job: Job) {
        self.revision += 1;
        let id = job.id.clone();
        let record = Record::new(job);
        self.stored.insert(id, (record.clone(), self.revision));
        self.ledger.put_job(record, self.revision, self.now);
    }

    /// Replaces the placer by one of the next epoch that loads the stored records.
    pub fn replace_placer(&mut self) {
        self.epoch += 1;
        let uses = self.ledger.learned_times();
        self.ledger = Ledger::new(self.bounds, self.epoch, self.now).with_learned_times(uses);
        for (record, revision) in self.stored.values() {
            self.ledger.put_job(record.clone(), *revision, self.now);
        }
        let addr = "127.0.0.1:1".parse().expect("the address is valid");
        for sidecar in self.workers.keys() {
            self.ledger.put_worker(sidecar.clone(), addr);
        }
    }

    /// Advances the time in ticks of 50 ms.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += POLL_INTERVAL;
            self.tick();
        }
    }

    /// Polls every worker and makes a plan.
    pub fn tick(&mut self) {
        self.begin_tick();
        self.answer_requests();
        self.answer_slow_orders();
        self.read_evacuations();
        self.poll_all();
        self.plan();
    }

    /// Crashes the workers of deadly tasks, ends the runs that are due, and starts workers again
    /// after their crashes.
    pub fn begin_tick(&mut self) {
        let now = self.now;
        let sidecars: Vec<SmolStr> = self.workers.keys().cloned().collect();
        for sidecar in sidecars {
            let fake = self.workers.get_mut(&sidecar).expect("the worker exists");
            if fake.back_at.is_some_and(|at| now >= at) {
                let id = format!("{}x", fake.boot.id);
                fake.restart(&id);
                fake.reachable = true;
                fake.back_at = None;
            }
            let age = |run: &(TaskId, u64)| now - self.started[run];
            let deadly = |run: &(TaskId, u64)| {
                let fuse = self.deadly.get(&run.0);
                fuse.is_some_and(|fuse| age(run) >= *fuse)
            };
            if fake.running.keys().any(deadly) {
                self.crash(&sidecar);
                continue;
            }
            let lasts = |task: &TaskId| {
                let steps = &self.stored[&task.job].0.job.steps;
                steps[task.step as usize].long_running
            };
            let is_due = |run: &&(TaskId, u64)| {
                !lasts(&run.0) && self.run_time.is_some_and(|time| age(run) >= time)
            };
            let due: Vec<_> = fake.running.keys().filter(is_due).cloned().collect();
            for run in due {
                fake.end_run(&run, End::Done);
            }
        }
    }

    /// Tells the placer that the incarnation of a worker that is down has left.
    pub fn announce_departure_if_down(&mut self, sidecar: &str) {
        let fake = &self.workers[sidecar];
        if !fake.reachable {
            let id = fake.boot.id.clone();
            self.ledger.handle_departure(&sidecar.into(), &id, self.now);
        }
    }

    /// Crashes a worker, which is back as another incarnation after the downtime.
    pub fn crash(&mut self, sidecar: &str) {
        let fake = self.workers.get_mut(sidecar).expect("the worker exists");
        fake.reachable = false;
        fake.back_at = Some(self.now + self.downtime);
        self.crashes.push(Crash {
            starts: self.starts.len(),
            lost: fake.running.keys().map(|(task, _)| task.clone()).collect(),
        });
        let lost: Vec<_> = std::mem::take(&mut fake.running).into_keys().collect();
        fake.ended.clear();
        for (task, run) in lost {
            self.break_gang(&task, run);
        }
    }

    /// Crashes a worker together with its sidecar.
    pub fn lose_power(&mut self, sidecar: &str) {
        self.crash(sidecar);
        let fake = self.workers.get_mut(sidecar).expect("the worker exists");
        fake.sidecar_start += 1;
    }

    /// Ends the other members of a gang of which one has ended.
    pub fn break_gang(&mut self, ended: &TaskId, run: u64) {
        let step = &self.stored[&ended.job].0.job.steps[ended.step as usize];
        if !step.gang {
            return;
        }
        let gang = |t: &TaskId| (t.job.clone(), t.occurrence, t.step);
        for fake in self.workers.values_mut() {
            let is_member = |r: &&(TaskId, u64)| gang(&r.0) == gang(ended) && r.1 == run;
            let members: Vec<_> = fake.running.keys().filter(is_member).cloned().collect();
            for member in members {
                fake.end_run(&member, End::Broken);
            }
        }
    }

    /// Makes a task crash each worker on which it has run for this long.
    pub fn set_deadly(&mut self, job: &str, index: u32, fuse: Duration) {
        let task = TaskId {
            job: job.into(),
            occurrence: 0,
            step: 0,
            index,
        };
        self.deadly.insert(task, fuse);
    }

    /// Returns the numbers of the starts of a task that came after three workers had crashed
    /// under it.
    pub fn starts_after_third_crash(&self, job: &str, index: u32) -> Vec<u64> {
        let of_task = |t: &TaskId| t.job == job && t.index == index;
        let crashes = self.crashes.iter().filter(|c| c.lost.iter().any(of_task));
        let Some(third) = crashes.clone().nth(2) else {
            return Vec::new();
        };
        let later = self.starts[third.starts..].iter();
        let later = later.filter(|(_, start)| of_task(&start.task));
        later.map(|(_, start)| start.run).collect()
    }

    /// Cancels a job in the store, as a gateway does.
    pub fn cancel(&mut self, id: &str) {
        let (mut record, _) = self.stored[id].clone();
        record.cancelled = true;
        self.revision += 1;
        self.stored
            .insert(id.into(), (record.clone(), self.revision));
        self.ledger.put_job(record, self.revision, self.now);
    }

    /// Returns the stored state of a job.
    pub fn state(&self, job: &str) -> State {
        self.stored[job].0.state()
    }

    /// Makes a plan, commits the changed records and delivers the orders.
    pub fn plan(&mut self) {
        self.ledger
            .plan(self.now, START_UNIX_MS + self.now.as_millis() as u64);
        self.commit_all();
        self.deliver_orders();
    }

    /// Polls every worker and hands the listings of the reachable ones to the ledger.
    pub fn poll_all(&mut self) {
        let sidecars: Vec<SmolStr> = self.workers.keys().cloned().collect();
        for sidecar in sidecars {
            let poll = self.ledger.next_poll(&sidecar, self.now);
            let fake = self.workers.get_mut(&sidecar).expect("the worker exists");
            if !fake.reachable {
                self.ledger.handle_unresponsive(&sidecar, self.now);
                continue;
            }
            if let Some(Order::Poll { acknowledged, .. }) = poll.map(|e| e.order) {
                fake.ended.retain(|e| e.number > acknowledged);
            }
            let (announced, listing) = (fake.announcement(), fake.listing(self.now));
            self.ledger
                .handle_listing(&sidecar, self.now, self.now, announced, listing);
        }
    }

    /// Hands a worker's listing to the ledger as the response to a poll sent at `sent`.
    pub fn deliver_listing(&mut self, sidecar: &str, sent: Duration) {
        let fake = self.workers.get_mut(sidecar).expect("the worker exists");
        let (announced, listing) = (fake.announcement(), fake.listing(self.now));
        self.ledger
            .handle_listing(&sidecar.into(), sent, self.now, announced, listing);
    }

    /// Commits changed records to the store until none is left.
    pub fn commit_all(&mut self) {
        for _ in 0..MAX_BATCHES {
            if !self.commit_batch() {
                return;
            }
        }
        panic!("the records change without end");
    }

    /// Commits the next batch of changed records; returns whether there was one.
    pub fn commit_batch(&mut self) -> bool {
        let Some(batch) = self.ledger.take_batch(START_UNIX_MS) else {
            return false;
        };
        let is_too_large = |w: &Write| w.value.as_ref().is_some_and(|v| v.len() > self.store_limit);
        if batch.writes.iter().any(is_too_large) {
            let jobs = batch.writes.iter().map(|w| w.job.clone());
            self.refused.push(jobs.collect());
            self.ledger.handle_refusal(&batch, self.now);
            return true;
        }
        self.revision += 1;
        for write in &batch.writes {
            let bytes = write.value.as_ref().expect("no record is deleted");
            let record = Record::decode(&write.job, bytes).expect("the record decodes");
            self.stored
                .insert(write.job.clone(), (record, self.revision));
        }
        self.ledger.handle_commit(&batch, self.revision, self.now);
        true
    }

    /// Hands the results of requests to the policy service to the ledger.
    fn answer_requests(&mut self) {
        let Some(policy) = &mut self.policy else {
            return;
        };
        for result in policy.advance(self.now) {
            self.ledger
                .handle_approvals(&result.request, result.sent, self.now, result.approvals);
        }
    }

    /// Lets slow workers carry out orders, and hands the answers and their lack to the ledger.
    fn answer_slow_orders(&mut self) {
        let mut waiting = Vec::new();
        for mut slow in std::mem::take(&mut self.slow_orders) {
            let mut answer = None;
            if slow.done_at.is_some_and(|at| at <= self.now) {
                let fake = self.workers.get_mut(&slow.sidecar);
                let fake = fake.expect("the worker exists");
                answer = Some(fake.handle_order(&slow.boot, &slow.order));
                if let Order::Start(start) = &slow.order {
                    self.started
                        .insert((start.task.clone(), start.run), self.now);
                }
                slow.done_at = None;
            }
            let is_answered = slow.timeout_at <= self.now || answer.is_some();
            // An order that was given up got its answer then.
            if is_answered && slow.timeout_at != Duration::MAX {
                let answer = answer.unwrap_or(Answer::Silent);
                let unconfirmed = answer == Answer::Silent;
                self.ledger.handle_answer(
                    &slow.sidecar,
                    &slow.boot,
                    &slow.order,
                    &answer,
                    unconfirmed,
                    self.now,
                );
                slow.timeout_at = Duration::MAX;
            }
            if slow.done_at.is_some() {
                waiting.push(slow);
            }
        }
        self.slow_orders.extend(waiting);
    }

    /// Returns whether a worker refuses an order for its token.
    fn refuses_token(&self, boot: &Boot, order: &Order) -> bool {
        let (Order::Start(start), Some(policy)) = (order, &self.policy) else {
            return false;
        };
        let needs_token = self.stored[&start.task.job].0.job.policy.is_some();
        needs_token && !policy.accepts(&start.approval, &boot.id, self.now)
    }

    /// Tells the placer which failure domains are evacuated, unless its reading is cut off.
    pub fn read_evacuations(&mut self) {
        if !self.is_cut_off {
            let domains = Rc::new(self.evacuated.clone());
            self.ledger.set_evacuated(domains, self.now);
        }
    }

    /// Delivers the pending orders to the workers, and their answers to the ledger.
    pub fn deliver_orders(&mut self) {
        let effects = self.ledger.take_effects();
        for effect in self.ledger.recheck_starts(effects, self.now) {
            if let Effect::Note(note) = &effect {
                self.notes.push(note.clone());
            }
            if let (Effect::RequestApproval(request), Some(policy)) = (&effect, &mut self.policy) {
                policy.receive(request.clone(), self.now);
            }
            let Effect::Send {
                sidecar,
                boot,
                order,
            } = effect
            else {
                continue;
            };
            let refuses_token = self.refuses_token(&boot, &order);
            let fake = self.workers.get_mut(&sidecar).expect("the worker exists");
            if !fake.order_time.is_zero() && matches!(order, Order::Start(_) | Order::Stop { .. }) {
                fake.busy_until = fake.busy_until.max(self.now) + fake.order_time;
                let done_at = Some(fake.busy_until);
                self.note_order(&sidecar, &boot, &order);
                self.slow_orders.push(SlowOrder {
                    sidecar,
                    boot,
                    order,
                    done_at,
                    timeout_at: self.now + ORDER_TIMEOUT,
                });
                continue;
            }
            let answer = if refuses_token {
                self.stale_tokens += 1;
                Answer::Refused(Refusal::Ticket)
            } else {
                fake.handle_order(&boot, &order)
            };
            if let Order::Start(start) = &order
                && !refuses_token
            {
                self.started
                    .insert((start.task.clone(), start.run), self.now);
                if answer == Answer::Accepted && self.is_overfull(&sidecar) {
                    self.overfull.push((sidecar.clone(), start.task.clone()));
                }
            }
            if !refuses_token {
                self.note_order(&sidecar, &boot, &order);
            }
            let unconfirmed = answer == Answer::Silent;
            self.ledger
                .handle_answer(&sidecar, &boot, &order, &answer, unconfirmed, self.now);
        }
    }

    /// Notes that an order was sent to a worker.
    fn note_order(&mut self, sidecar: &SmolStr, boot: &Boot, order: &Order) {
        match order {
            Order::Start(start) => self.starts.push((sidecar.clone(), (**start).clone())),
            Order::Stop { task, .. } => {
                self.stops
                    .push((sidecar.clone(), boot.clone(), task.clone()));
            }
            _ => {}
        }
    }

    /// Returns whether the runs on a worker need more than it has.
    fn is_overfull(&self, sidecar: &str) -> bool {
        let fake = &self.workers[sidecar];
        let mut used = Resources::default();
        for (task, _) in fake.running.keys() {
            let step = &self.stored[&task.job].0.job.steps[task.step as usize];
            used.add(&Resources {
                cpu: step.cpu,
                memory: step.memory,
                gpus: step.gpus,
            });
        }
        !fake.capacity.covers(&used)
    }

    /// Changes the number of accelerators that a worker announces.
    pub fn resize(&mut self, sidecar: &str, gpus: u64) {
        let fake = self.workers.get_mut(sidecar).expect("the worker exists");
        fake.capacity.gpus = gpus;
        fake.sequence += 1;
    }

    /// Ends the run of a task on a worker.
    pub fn end_run(&mut self, sidecar: &str, job: &str, index: u32, end: End) {
        let fake = self.workers.get_mut(sidecar).expect("the worker exists");
        let runs = fake.running.keys();
        let key = runs
            .clone()
            .find(|(t, _)| t.job == job && t.index == index)
            .cloned();
        let key = key.unwrap_or_else(|| panic!("{job}.{index} does not run on {sidecar}"));
        fake.end_run(&key, end);
    }

    /// Returns the running tasks of a job with their sidecars, sorted.
    pub fn placements(&self, job: &str) -> Vec<(u32, SmolStr)> {
        let mut found = Vec::new();
        for (sidecar, fake) in &self.workers {
            for (task, _) in fake.running.keys() {
                if task.job == job {
                    found.push((task.index, sidecar.clone()));
                }
            }
        }
        found.sort();
        found
    }
}

impl FakeWorker {
    pub fn announcement(&self) -> Announcement {
        Announcement {
            boot: self.boot.clone(),
            sequence: self.sequence,
            service: "service".into(),
            domain: self.domain.clone(),
            capacity: self.capacity,
            labels: vec!["a".into(), self.rack.clone()],
            draining: self.draining,
            leaving: false,
            cold_left: self.cold_left,
            remaining: None,
            on_hold: self.on_hold,
            probing: self.probing,
            sidecar_start: Some(self.sidecar_start),
        }
    }

    fn listing(&mut self, now: Duration) -> Listing {
        let (load, stalled) = (self.load, self.stalled);
        let percents = |at: Duration| self.percent_time.map(|t| at.as_millis() / t.as_millis());
        let is_between = percents(now).is_some_and(|p| Some(p) == percents(now - POLL_INTERVAL));
        let progress = u64::from(!stalled && !is_between);
        let checkpoint = self.checkpoint.clone();
        let list_run = |((task, run), percent): (&(TaskId, u64), &mut u64)| {
            *percent = (*percent + progress) % 100;
            Running {
                task: task.clone(),
                run: *run,
                checkpoint: checkpoint.clone(),
                percent: *percent,
                load,
            }
        };
        Listing {
            born: self.boot.born,
            clock: now.as_millis() as u64,
            running: self.running.iter_mut().map(list_run).collect(),
            ended: self.ended.iter().take(LISTED_ENDS).cloned().collect(),
            is_partial: self.ended.len() >= LISTED_ENDS,
        }
    }

    fn handle_order(&mut self, boot: &Boot, order: &Order) -> Answer {
        if !self.reachable {
            return Answer::Silent;
        }
        if boot.id != self.boot.id {
            return Answer::Refused(Refusal::Boot);
        }
        match order {
            _ if self.loses_orders => return Answer::Silent,
            _ if self.refuses_orders => return Answer::Refused(Refusal::Unhealthy),
            Order::Start(start) => {
                let key = (start.task.clone(), start.run);
                if self.stopped.contains(&key) {
                    return Answer::Refused(Refusal::Old);
                }
                self.running.insert(key, 0);
            }
            Order::Stop { task, run } => {
                let key = (task.clone(), *run);
                self.stopped.insert(key.clone());
                if self.running.contains_key(&key) && !self.ignores_stops {
                    self.end_run(&key, End::Stopped);
                }
            }
            _ => {}
        }
        Answer::Accepted
    }

    /// Ends a run and lists its end until the placer acknowledges it.
    pub fn end_run(&mut self, key: &(TaskId, u64), end: End) {
        self.running.remove(key);
        self.ended.push(Ended {
            number: self.next_end,
            task: key.0.clone(),
            run: key.1,
            end,
            checkpoint: SmolStr::default(),
        });
        self.next_end += 1;
    }

    /// Restarts the worker as a new incarnation, without runs or unacknowledged ends.
    pub fn restart(&mut self, id: &str) {
        self.boot = Boot {
            id: id.into(),
            born: self.boot.born + 1,
        };
        self.running.clear();
        self.ended.clear();
        self.next_end = 1;
    }
}
