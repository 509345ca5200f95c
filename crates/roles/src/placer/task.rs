//! The placer's task: owns the scheduler, the gangs and the links to workers.

use super::account_specs;
use super::election::Election;
use super::election::Holder;
use super::election::Outcome;
use super::election::Verdict;
use super::gangs::Finding;
use super::gangs::Gang;
use super::gangs::gang_name;
use super::gangs::parts_of;
use super::records;
use super::records::Known;
use super::workers;
use super::workers::Sent;
use super::workers::WorkerLink;
use crate::node::Node;
use futures_channel::mpsc;
use futures_channel::oneshot;
use futures_util::StreamExt;
use hibiscusbarrow_coordination::gang::GangPhase;
use hibiscusbarrow_coordination::gang::GangRun;
use hibiscusbarrow_coordination::gang::GangTiming;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::job::JobView;
use hibiscusbarrow_model::job::Phase;
use hibiscusbarrow_model::order::Order;
use hibiscusbarrow_model::order::OrderReply;
use hibiscusbarrow_model::state::PlacerView;
use hibiscusbarrow_placement::AccountSpec;
use hibiscusbarrow_placement::Cell;
use hibiscusbarrow_placement::Decision;
use hibiscusbarrow_placement::Job;
use hibiscusbarrow_placement::JobKey;
use hibiscusbarrow_placement::JobState;
use hibiscusbarrow_placement::Policy;
use hibiscusbarrow_placement::QuotaError;
use hibiscusbarrow_placement::Scheduler;
use hibiscusbarrow_placement::WorkerKey;
use hibiscusbarrow_placement::WorkerSpec;
use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// The reports that a worker may miss before it counts as lost.
const MISSED_REPORTS: u32 = 3;
/// The shortest silence after which a worker counts as lost.
const MIN_SILENCE: Duration = Duration::from_secs(2);
/// The time between passes over the queue when nothing happens.
const IDLE_PASS: Duration = Duration::from_secs(1);
/// The time between readings of all job records.
const RELIST: Duration = Duration::from_secs(60);
/// The rounds of the election within the life of a lease.
const ROUNDS_PER_LEASE: u32 = 4;

/// Asks the task to do something.
pub(super) enum Ask {
    /// A job was stored or changed.
    Wake(SmolStr),
    /// Describes the region.
    View(oneshot::Sender<Option<PlacerView>>),
    /// Checks guarantees against the hardware.
    Quotas(Vec<AccountSpec>, oneshot::Sender<Result<(), Fault>>),
    /// Gives the lease up.
    Resign(oneshot::Sender<()>),
    /// A round of the election ended.
    Election(Outcome),
    /// A worker answered, or did not.
    Reply(usize, Vec<Sent>, Option<OrderReply>),
    /// A job record was read.
    Record(Known),
    /// All job records were read, or the store did not answer.
    Records(Option<Vec<Known>>),
    /// A job record was replaced, or was not.
    Stored(SmolStr, Option<Known>),
}

/// Tells how far the task has come in serving its region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Another gateway holds the lease, or nobody does.
    Follower,
    /// The lease is held; workers and records are being heard.
    TakingOver { since: Duration, listed: bool },
    /// Jobs are being placed.
    Serving,
}

/// Owns the state of the placer.
pub(super) struct Task {
    node: Rc<Node>,
    asks: mpsc::UnboundedSender<Ask>,
    holder: Rc<RefCell<Holder>>,
    election: Election,
    bidding: bool,
    next_bid: Duration,
    stage: Stage,
    epoch: u64,
    resigned: bool,
    generation: u64,
    pub(super) scheduler: Scheduler,
    pub(super) links: Vec<WorkerLink>,
    by_worker: HashMap<WorkerKey, usize>,
    pub(super) gangs: HashMap<JobKey, Gang>,
    pub(super) records: HashMap<SmolStr, Known>,
    /// Starts whose record is being written.
    starting: HashMap<SmolStr, (JobKey, Vec<Cell>, bool)>,
    pub(super) timing: GangTiming,
    passed: Duration,
    listed: Duration,
    dirty: bool,
}

impl Task {
    pub fn new(
        node: Rc<Node>,
        asks: mpsc::UnboundedSender<Ask>,
        holder: Rc<RefCell<Holder>>,
    ) -> Self {
        let hold = Duration::from_millis(node.settings.timing.hold_ms);
        let links = node
            .settings
            .workers
            .iter()
            .map(|a| WorkerLink::new(*a))
            .collect();
        Self {
            election: Election::new(node.clone()),
            asks,
            holder,
            bidding: false,
            next_bid: Duration::ZERO,
            stage: Stage::Follower,
            epoch: 0,
            resigned: false,
            generation: 0,
            scheduler: Scheduler::new(Policy::default()),
            links,
            by_worker: HashMap::new(),
            gangs: HashMap::new(),
            records: HashMap::new(),
            starting: HashMap::new(),
            timing: GangTiming {
                hold,
                min_run: hold / 3,
            },
            passed: Duration::ZERO,
            listed: Duration::ZERO,
            dirty: false,
            node,
        }
    }

    /// Runs until the last sender of questions is gone.
    pub async fn run(mut self, mut asks: mpsc::UnboundedReceiver<Ask>) {
        loop {
            let wait = self.next_wake();
            match compio::time::timeout(wait, asks.next()).await {
                Ok(Some(ask)) => {
                    self.hear(ask).await;
                    while let Ok(ask) = asks.try_recv() {
                        self.hear(ask).await;
                    }
                }
                Ok(None) => return,
                Err(_) => {}
            }
            self.step();
        }
    }

    fn next_wake(&self) -> Duration {
        let pending = !self.gangs.is_empty() || !self.starting.is_empty();
        if self.stage != Stage::Follower && pending {
            return Duration::from_millis(20);
        }
        Duration::from_millis(100)
    }

    async fn hear(&mut self, ask: Ask) {
        let now = self.node.clock.now();
        match ask {
            Ask::Wake(name) => {
                if self.stage == Stage::Serving {
                    records::fetch(self.node.clone(), self.asks.clone(), name);
                }
            }
            Ask::View(sender) => {
                let view = (self.stage == Stage::Serving).then(|| self.view());
                let _ = sender.send(view);
            }
            Ask::Quotas(accounts, sender) => {
                let _ = sender.send(self.check(accounts));
            }
            Ask::Resign(sender) => {
                self.resigned = true;
                self.step_down("handed over");
                self.election.resign().await;
                let _ = sender.send(());
            }
            Ask::Election(outcome) => self.hear_election(&outcome, now),
            Ask::Reply(link, sent, reply) => self.hear_reply(link, sent, reply, now),
            Ask::Record(known) => self.hear_record(known, now),
            Ask::Records(Some(records)) => self.hear_records(records, now),
            Ask::Records(None) => self.listed = Duration::ZERO,
            Ask::Stored(name, known) => self.hear_stored(name, known, now),
        }
    }

    fn step(&mut self) {
        let now = self.node.clock.now();
        self.bid(now);
        if self.stage == Stage::Follower {
            return;
        }
        if self.node.heard_epoch() > self.epoch {
            self.step_down("a higher epoch was heard");
            return;
        }
        self.load_accounts(now);
        self.relist(now);
        self.take_over(now);
        if self.stage == Stage::Serving {
            self.find_lost(now);
            self.decide(now);
        }
        self.send_orders(now);
        self.drop_released();
    }

    // The lease.

    fn bid(&mut self, now: Duration) {
        if self.bidding || self.resigned || now < self.next_bid || self.links.is_empty() {
            return;
        }
        self.bidding = true;
        let lease = Duration::from_millis(self.node.settings.timing.lease_ms);
        self.next_bid = now + lease / ROUNDS_PER_LEASE;
        let (bid, asks) = (self.election.bid(), self.asks.clone());
        compio::runtime::spawn(async move {
            let _ = asks.unbounded_send(Ask::Election(bid.run().await));
        })
        .detach();
    }

    fn hear_election(&mut self, outcome: &Outcome, now: Duration) {
        self.bidding = false;
        if self.resigned {
            return;
        }
        self.election.settle(outcome);
        match outcome.verdict {
            Verdict::Elected(epoch) => self.begin(epoch, now),
            Verdict::Kept | Verdict::Silent => {}
            Verdict::Lost(holder) => {
                if self.stage != Stage::Follower && holder != Holder::Unknown {
                    self.step_down("the lease lapsed and another holds it");
                }
                if self.stage == Stage::Follower {
                    *self.holder.borrow_mut() = holder;
                }
            }
        }
    }

    fn begin(&mut self, epoch: u64, now: Duration) {
        self.epoch = epoch;
        self.node.announce_epoch(epoch);
        *self.holder.borrow_mut() = Holder::Me;
        self.node.log.note(
            Event::PlacerElected,
            self.node.settings.name.clone(),
            epoch.to_string(),
        );
        if self.stage == Stage::Serving {
            return;
        }
        self.stage = Stage::TakingOver {
            since: now,
            listed: false,
        };
        self.listed = Duration::ZERO;
    }

    fn step_down(&mut self, reason: &str) {
        if self.stage == Stage::Follower {
            return;
        }
        self.node
            .log
            .note(Event::PlacerLapsed, self.node.settings.name.clone(), reason);
        let fresh = Task::new(self.node.clone(), self.asks.clone(), self.holder.clone());
        let (bidding, resigned) = (self.bidding, self.resigned);
        *self.holder.borrow_mut() = Holder::Unknown;
        let election = std::mem::replace(&mut self.election, Election::new(self.node.clone()));
        let next_bid = self.next_bid;
        *self = fresh;
        (self.bidding, self.resigned, self.next_bid) = (bidding, resigned, next_bid);
        if resigned {
            self.election = election;
        }
    }

    // Taking over.

    fn load_accounts(&mut self, now: Duration) {
        let Some(loaded) = self.node.loaded() else {
            return;
        };
        let generation = loaded.body.root.generation;
        if generation <= self.generation {
            return;
        }
        let specs = account_specs(&loaded.config);
        if self.scheduler.set_accounts(specs.clone()).is_err() {
            let _ = self.scheduler.restore_accounts(specs);
        }
        self.generation = generation;
        self.dirty = true;
        if self.stage == Stage::Serving {
            self.create_jobs();
            let names: Vec<SmolStr> = self.records.keys().cloned().collect();
            names.iter().for_each(|name| self.consider(name, now));
        }
    }

    /// Stores the jobs that the configuration names and the store does not know.
    fn create_jobs(&self) {
        let Some(loaded) = self.node.loaded() else {
            return;
        };
        for spec in &loaded.config.jobs {
            if !self.records.contains_key(&spec.name) {
                records::create(self.node.clone(), self.asks.clone(), spec.clone());
            }
        }
    }

    fn relist(&mut self, now: Duration) {
        if self.listed == Duration::ZERO || now >= self.listed + RELIST {
            self.listed = now.max(Duration::from_millis(1));
            records::fetch_all(self.node.clone(), self.asks.clone());
        }
    }

    fn take_over(&mut self, now: Duration) {
        let Stage::TakingOver { since, listed } = self.stage else {
            return;
        };
        let heard = self.links.iter().all(|l| l.up);
        let waited = now >= since + self.timing.horizon();
        let configured = self.records.is_empty() || self.generation > 0;
        if !listed || !configured || !(heard || waited) {
            return;
        }
        self.adopt_region(now);
        self.stage = Stage::Serving;
        self.dirty = true;
        self.create_jobs();
    }

    fn hear_records(&mut self, records: Vec<Known>, now: Duration) {
        for known in records {
            self.hear_record(known, now);
        }
        if let Stage::TakingOver { since, .. } = self.stage {
            self.stage = Stage::TakingOver {
                since,
                listed: true,
            };
        }
    }

    fn hear_record(&mut self, known: Known, now: Duration) {
        let name = known.record.spec.name.clone();
        let newer = self
            .records
            .get(&name)
            .is_none_or(|k| k.revision < known.revision);
        if newer {
            self.records.insert(name.clone(), known);
        }
        if self.stage == Stage::Serving {
            self.consider(&name, now);
        }
    }

    /// Queues, cancels or leaves a job as its record demands.
    pub(super) fn consider(&mut self, name: &SmolStr, now: Duration) {
        let Some(known) = self.records.get(name) else {
            return;
        };
        let record = known.record.clone();
        let key = self.scheduler.key(name);
        match (record.phase, key) {
            (Phase::Accepted, None) => {
                let spec = &record.spec;
                let known_account = self.scheduler.quotas().index(&spec.account).is_some();
                if known_account && self.doubt(&record).is_none() {
                    let job = Job::new(name.clone(), spec.account.clone(), spec.shape, spec.count)
                        .urgent(spec.urgent);
                    self.scheduler.submit(job, now);
                    self.dirty = true;
                }
            }
            (Phase::Cancelled | Phase::Done, Some(key)) => {
                self.scheduler.cancel(key);
                self.dirty = true;
            }
            _ => {}
        }
    }

    // Placing.

    fn find_lost(&mut self, now: Duration) {
        let every = Duration::from_millis(self.node.settings.timing.tick_ms);
        let silence = (every * MISSED_REPORTS).max(MIN_SILENCE);
        for link in 0..self.links.len() {
            let state = &self.links[link];
            let lost = state.up && state.seen.is_some_and(|seen| now >= seen + silence);
            if lost {
                self.lose_worker(link);
            }
        }
    }

    fn lose_worker(&mut self, link: usize) {
        let state = &mut self.links[link];
        state.up = false;
        self.node
            .log
            .note(Event::WorkerLost, state.name.clone(), "");
        if let Some(key) = state.key {
            self.scheduler.fail_worker(key);
        }
        self.dirty = true;
    }

    fn decide(&mut self, now: Duration) {
        if !self.dirty && now < self.passed + IDLE_PASS {
            return;
        }
        if !self.election.lease.is_held(now) {
            return;
        }
        self.dirty = false;
        self.passed = now;
        for decision in self.scheduler.pass(now) {
            match decision {
                Decision::Start {
                    job,
                    cells,
                    guaranteed,
                } => self.prepare(job, cells, guaranteed),
                Decision::Stop { job, reason } => self.stop_gang(job, reason),
            }
        }
    }

    /// Writes down that a gang is about to start; it starts once that is stored.
    fn prepare(&mut self, key: JobKey, cells: Vec<Cell>, guaranteed: bool) {
        let Some(name) = self.scheduler.job(key).map(|j| j.name.clone()) else {
            return;
        };
        let Some(known) = self.records.get(&name) else {
            return;
        };
        let mut record = known.record.clone();
        record.attempts += 1;
        record.workers = self.worker_names(&cells);
        self.starting.insert(name, (key, cells, guaranteed));
        records::replace(self.node.clone(), self.asks.clone(), record, known.revision);
    }

    fn worker_names(&self, cells: &[Cell]) -> Vec<SmolStr> {
        let mut names: Vec<SmolStr> = cells
            .iter()
            .map(|c| self.scheduler.grid().spec(c.worker).name.clone())
            .collect();
        names.sort();
        names.dedup();
        names
    }

    fn hear_stored(&mut self, name: SmolStr, known: Option<Known>, now: Duration) {
        if let Some(known) = &known {
            self.records.insert(name.clone(), known.clone());
        } else {
            records::fetch(self.node.clone(), self.asks.clone(), name.clone());
        }
        if let Some((key, cells, guaranteed)) = self.starting.remove(&name) {
            match known {
                Some(known) => self.start_gang(key, &cells, guaranteed, &known),
                None => self.scheduler.abandon(key),
            }
            self.dirty = true;
            return;
        }
        self.note_end(&name, known.is_some(), now);
    }

    fn start_gang(&mut self, key: JobKey, cells: &[Cell], guaranteed: bool, known: &Known) {
        let Some(job) = self
            .scheduler
            .job(key)
            .filter(|j| j.state == JobState::Placed)
        else {
            self.scheduler.released(key);
            return;
        };
        let name = job.name.clone();
        let parts = parts_of(cells, |c| self.by_worker.get(&c.worker).copied());
        let Some(parts) = parts else {
            return self.scheduler.abandon(key);
        };
        let spec = &known.record.spec;
        let detail = format!(
            "guaranteed {guaranteed} on {}",
            known.record.workers.join(" ")
        );
        self.node.log.note_for(
            Event::JobHolding,
            name.clone(),
            spec.account.clone(),
            detail,
        );
        let gang = Gang {
            name: gang_name(&name, known.record.attempts),
            job: name,
            account: spec.account.clone(),
            run: GangRun::new(parts.len(), self.timing),
            parts,
            work: Duration::from_millis(spec.runtime_ms),
            hold: self.timing.hold,
            ending: false,
            started: false,
        };
        self.gangs.insert(key, gang);
    }

    fn stop_gang(&mut self, key: JobKey, reason: &'static str) {
        let Some(gang) = self.gangs.get_mut(&key) else {
            let starting = self.starting.values().any(|(k, _, _)| *k == key);
            if !starting {
                self.scheduler.released(key);
                self.dirty = true;
            }
            return;
        };
        gang.run.stop();
        let event = match reason {
            "finished" => Event::JobFinished,
            "cancelled" => Event::JobCancelled,
            "worker lost" | "member failed" => Event::JobRequeued,
            _ => Event::JobPreempted,
        };
        let (job, account) = (gang.job.clone(), gang.account.clone());
        self.node.log.note_for(event, job, account, reason);
    }

    fn send_orders(&mut self, now: Duration) {
        let mut batches: HashMap<usize, Vec<Sent>> = HashMap::new();
        for (job, gang) in &mut self.gangs {
            for (member, command) in gang.run.poll(now) {
                let sent = Sent {
                    job: *job,
                    member,
                    command,
                };
                batches
                    .entry(gang.parts[member].link)
                    .or_default()
                    .push(sent);
            }
        }
        let every = Duration::from_millis(self.node.settings.timing.tick_ms);
        for link in 0..self.links.len() {
            let sent = batches.remove(&link).unwrap_or_default();
            let state = &self.links[link];
            let due = state.wants_report(now, every) || !state.orphans.is_empty();
            if state.is_free(now) && (due || !sent.is_empty()) {
                self.send_batch(link, sent, now);
            }
        }
    }

    fn send_batch(&mut self, link: usize, sent: Vec<Sent>, now: Duration) {
        let order = |s: &Sent| self.gangs[&s.job].order(s.member, s.command);
        let mut orders: Vec<Order> = sent.iter().map(order).collect();
        let state = &mut self.links[link];
        for gang in state.orphans.drain(..) {
            orders.push(Order::Release { gang });
        }
        state.busy = true;
        state.sent = Some(now);
        let (addr, epoch) = (state.addr, self.epoch);
        let (http, asks) = (self.node.http.clone(), self.asks.clone());
        compio::runtime::spawn(async move {
            let reply = workers::send(http, addr, epoch, orders).await;
            let _ = asks.unbounded_send(Ask::Reply(link, sent, reply));
        })
        .detach();
    }

    fn hear_reply(
        &mut self,
        link: usize,
        sent: Vec<Sent>,
        reply: Option<OrderReply>,
        now: Duration,
    ) {
        self.links[link].busy = false;
        let Some(reply) = reply else { return };
        if self.stage == Stage::Follower {
            return;
        }
        if reply.report.epoch > self.epoch {
            self.step_down("a worker has seen a higher epoch");
            return;
        }
        self.note_worker(link, &reply, now);
        for (sent, result) in sent.iter().zip(&reply.results) {
            if let Some(gang) = self
                .gangs
                .get_mut(&sent.job)
                .filter(|g| g.name == result.gang)
            {
                gang.note_result(sent, result.code, now);
            }
        }
        if self.stage == Stage::Serving {
            self.note_members(link, &reply, now);
        } else {
            self.links[link].reply = Some(reply);
        }
    }

    fn note_worker(&mut self, link: usize, reply: &OrderReply, now: Duration) {
        let report = &reply.report;
        let restarted =
            self.links[link].key.is_some() && self.links[link].incarnation != report.incarnation;
        if restarted && self.links[link].up {
            self.lose_worker(link);
        }
        let state = &mut self.links[link];
        state.seen = Some(now);
        state.incarnation = report.incarnation;
        state.name = report.worker.clone();
        if state.up {
            return;
        }
        state.up = true;
        let accelerators = report.accelerators.min(8) as u8;
        let spec = WorkerSpec::new(
            report.worker.clone(),
            report.rack.clone(),
            report.domain.clone(),
            accelerators,
        );
        let key = self.scheduler.add_worker(spec);
        state.key = Some(key);
        self.by_worker.insert(key, link);
        self.node
            .log
            .note(Event::WorkerSeen, report.worker.clone(), "");
        self.dirty = true;
    }

    fn note_members(&mut self, link: usize, reply: &OrderReply, now: Duration) {
        let mut findings = Vec::new();
        for (key, gang) in &mut self.gangs {
            let member = gang.parts.iter().position(|p| p.link == link);
            let Some(member) = member else { continue };
            let reported = reply.report.gangs.iter().find(|g| g.gang == gang.name);
            match gang.note_report(member, reported.map(|g| g.state), now) {
                Finding::None => {}
                finding => findings.push((*key, finding)),
            }
        }
        for (key, finding) in findings {
            match finding {
                Finding::Failed => self.fail_job(key, link, now),
                Finding::Finished => self.end_job(key),
                Finding::None => {}
            }
        }
        for report in &reply.report.gangs {
            if !self.gangs.values().any(|g| g.name == report.gang) {
                self.links[link].orphans.push(report.gang.clone());
            }
        }
        self.note_starts();
    }

    fn note_starts(&mut self) {
        for gang in self.gangs.values_mut() {
            if !gang.started && gang.run.phase() == GangPhase::Running {
                gang.started = true;
                let (job, account) = (gang.job.clone(), gang.account.clone());
                self.node
                    .log
                    .note_for(Event::JobStarted, job, account, gang.name.clone());
            }
        }
    }

    fn fail_job(&mut self, key: JobKey, link: usize, now: Duration) {
        let stopping = self.gangs[&key].run.phase();
        let Some(worker) = self.links[link].key else {
            return;
        };
        if matches!(stopping, GangPhase::Holding | GangPhase::Running) {
            self.scheduler.failed(key, worker, now);
            if self.scheduler.is_quarantined(worker, now) {
                let name = self.links[link].name.clone();
                self.node.log.note(Event::WorkerQuarantined, name, "");
            }
            self.dirty = true;
        }
    }

    /// Stores that a job is done; its gang keeps its accelerators until then.
    fn end_job(&mut self, key: JobKey) {
        let Some(gang) = self.gangs.get_mut(&key) else {
            return;
        };
        if gang.ending || gang.run.phase() != GangPhase::Running {
            return;
        }
        let Some(known) = self.records.get(&gang.job) else {
            return;
        };
        gang.ending = true;
        let mut record = known.record.clone();
        record.phase = Phase::Done;
        records::replace(self.node.clone(), self.asks.clone(), record, known.revision);
    }

    fn note_end(&mut self, name: &SmolStr, stored: bool, now: Duration) {
        let Some(key) = self.scheduler.key(name) else {
            return;
        };
        let Some(gang) = self.gangs.get_mut(&key) else {
            return;
        };
        gang.ending = false;
        if stored {
            self.scheduler.finished(key, now);
            self.dirty = true;
        }
    }

    fn drop_released(&mut self) {
        let lapsed: Vec<JobKey> = self
            .gangs
            .iter()
            .filter(|(_, g)| g.run.phase() != GangPhase::Holding)
            .filter(|(_, g)| g.run.phase() != GangPhase::Running)
            .map(|(key, _)| *key)
            .collect();
        for key in lapsed {
            if self
                .scheduler
                .job(key)
                .is_some_and(|j| j.state == JobState::Placed)
            {
                self.scheduler.abandon(key);
                self.dirty = true;
            }
            if self.gangs[&key].run.phase() == GangPhase::Released {
                self.gangs.remove(&key);
                self.scheduler.released(key);
                self.dirty = true;
            }
        }
    }

    // Answers to operators.

    fn check(&self, accounts: Vec<AccountSpec>) -> Result<(), Fault> {
        if self.stage != Stage::Serving {
            return Err(Fault::new(
                Code::NotPlacer,
                "the placer has not taken over yet",
            ));
        }
        self.scheduler.check_accounts(accounts).map_err(|e| {
            let code = match e {
                QuotaError::Shrinks { .. } => Code::QuotaShrinks,
                QuotaError::Unfit(_) | QuotaError::NotYet(_) => Code::QuotaUnfit,
            };
            Fault::new(code, e.to_string())
        })
    }

    fn view(&self) -> PlacerView {
        let grid = self.scheduler.grid();
        let up: Vec<WorkerKey> = grid.workers().filter(|w| grid.is_up(*w)).collect();
        let used = up.iter().map(|w| grid.used_mask(*w).count_ones()).sum();
        let accelerators = up.iter().map(|w| grid.present_mask(*w).count_ones()).sum();
        let live = self
            .records
            .values()
            .filter(|k| k.record.phase == Phase::Accepted);
        let mut jobs: Vec<JobView> = live.map(|k| self.job_view(k)).collect();
        jobs.sort_by(|a, b| a.spec.name.cmp(&b.spec.name));
        PlacerView {
            epoch: self.epoch,
            workers: up.len(),
            accelerators,
            used,
            shortfall: self.scheduler.quotas().shortfall(grid).into(),
            jobs,
        }
    }

    fn job_view(&self, known: &Known) -> JobView {
        let spec = known.record.spec.clone();
        let mut view = JobView {
            state: "waiting".into(),
            reason: SmolStr::default(),
            guaranteed: false,
            workers: Vec::new(),
            spec,
        };
        let Some(key) = self.scheduler.key(&view.spec.name) else {
            view.reason = self
                .doubt(&known.record)
                .unwrap_or_else(|| "not queued yet".into());
            return view;
        };
        let Some(job) = self.scheduler.job(key) else {
            return view;
        };
        view.guaranteed = job.guaranteed;
        view.workers = self.worker_names(&job.cells);
        match &job.state {
            JobState::Parked(reason) => {
                view.state = "parked".into();
                view.reason = reason.clone();
            }
            JobState::Waiting => view.reason = self.scheduler.why_waiting(key).into(),
            JobState::Claimed => view.reason = "borrowers are being preempted for it".into(),
            JobState::Stopping => {
                view.state = "stopping".into();
                view.reason = "its gang is being stopped".into();
            }
            JobState::Placed => {
                let started = self.gangs.get(&key).is_some_and(|g| g.started);
                view.state = if started { "running" } else { "holding" }.into();
            }
        }
        view
    }
}
