//! The placer's state machine: all jobs and workers, and the decisions about them.
//!
//! Every start follows the same path: the plan writes the intent to start into the
//! record of the job, the record is stored, and only then is the order sent.
//!
//! A task is started again only once its previous run is known to be over. That is
//! the case if
//!
//! - the worker lists the end of the run,
//! - the worker confirmed a stop, so that it rejects a delayed start of the run,
//! - the incarnation of the worker that had the run is gone, or
//! - the last lease that any placer can have granted to the worker has expired.

mod cold;
mod crash;
mod ends;
mod evacuation;
mod fit;
mod health;
mod learned;
mod listing;
mod orders;
mod pace;
mod plan;
mod policy;
mod preempt;
mod room;
mod run_index;
mod speed;
mod stops;
mod supervise;
mod writes;

pub use learned::LearnedTimes;
pub use policy::ApprovalRequest;
pub use writes::Batch;
pub use writes::Write;

use crate::job::Job;
use crate::job::Step;
use crate::manifest::Manifest;
use crate::record::Placement;
use crate::record::Record;
use crate::record::State;
use crate::record_size;
use crate::record_size::RecordSize;
use crate::worker::Announcement;
use crate::worker::Boot;
use crate::worker::Order;
use crate::worker::Resources;
use crate::worker::TaskId;
use hibiscusbarrow_coordination::call_window::CallWindow;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A task within its job: occurrence, step, index.
pub type TaskKey = (u32, u32, u32);

/// Time limits that the platform guarantees.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The longest lease that a worker accepts.
    pub max_lease: Duration,
    /// The time within which a worker carries out a stop.
    pub stop_timeout: Duration,
    /// How long a member of a gang waits for the other members before it gives up.
    pub gang_timeout: Duration,
    /// How long the state of an ended job stays available to callers.
    pub status_retention: Duration,
    /// The largest record that the store takes, in bytes.
    pub max_record: usize,
    /// The time after an operator's request to evacuate a failure domain from which nothing may
    /// start there; none if operators cannot request it.
    pub evacuation: Option<Duration>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_lease: Duration::from_secs(10),
            stop_timeout: Duration::from_millis(500),
            gang_timeout: Duration::from_secs(3),
            status_retention: Duration::from_secs(120),
            max_record: 1 << 20,
            evacuation: None,
        }
    }
}

/// How much slower than real time a worker's clock may run, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 2;
/// Time for the last order of the previous placer to reach its worker.
const ORDER_DELIVERY_SLACK: Duration = Duration::from_millis(500);

/// The most starts that are open at a worker at first and later, and the least that late answers
/// leave; the same for stops.
const FIRST_ORDERS: usize = 128;
const MAX_ORDERS: usize = 512;
const LATE_ORDERS: usize = 8;
/// The time within which a worker that is not overloaded answers an order.
const ORDER_TARGET: Duration = Duration::from_millis(250);

/// The phases of a run, from its plan to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The intent to start the run is not stored yet.
    Planned,
    /// The start order was sent and is not answered yet.
    Ordered,
    /// The worker accepted the start or lists the run.
    Live,
    /// It is not known whether the start order arrived or still will.
    Unconfirmed,
    /// A stop was ordered; the end is not known yet.
    Stopping,
}

/// A run of a task, from its plan until its end is known.
#[derive(Clone, Debug)]
struct Run {
    /// The number of the start, which grows with each start of the task.
    number: u64,
    sidecar: SmolStr,
    boot: Boot,
    phase: Phase,
    /// When the phase began.
    phase_since: Duration,
    /// When the intent was planned.
    planned_at: Duration,
    percent: u64,
    /// When the start order was first sent; none if another placer sent it.
    started_at: Option<Duration>,
    /// When the progress or the phase last changed.
    progressed_at: Duration,
    checkpoint: SmolStr,
    /// Whether a start order got no answer, so that it may still arrive.
    start_unanswered: bool,
    /// Whether the worker accepted the start or has listed the run.
    is_seen: bool,
    /// When the worker confirmed a stop; from then on it rejects a delayed start.
    stop_confirmed: Option<Duration>,
    /// When a stop was last sent.
    stop_sent: Option<Duration>,
    /// The share of its full speed at which the run was ordered to work, in percent.
    pace_percent: u64,
    /// The newest load that the worker reported, in the unit of `Running::load`.
    load: u64,
    /// Whether the run resumed from a checkpoint.
    resumed: bool,
    /// Whether nothing else may start on the worker until the run has outlived the crashes
    /// under its task.
    on_trial: bool,
}

/// A job, its runs, and how much of its record is stored.
struct Entry {
    record: Record,
    /// The revision of the stored record.
    revision: u64,
    /// The number of the newest change in memory.
    changed: u64,
    /// The number of the newest change in the store.
    committed: u64,
    /// The rank of the oldest change that no write contains; 0 if there is none. The record
    /// with the lowest rank is written first.
    unsaved_rank: u64,
    /// Whether a write of the record is in flight.
    writing: bool,
    /// How often the store has refused the record since it last took one.
    refusals: u32,
    /// Whether the record is written apart from those of other jobs.
    is_apart: bool,
    /// The record is not written before this time.
    write_after: Duration,
    /// The bytes that the job takes in its record.
    job_bytes: usize,
    /// How much of the record is taken, while a plan is made; none if there is room for all tasks.
    size: Option<RecordSize>,
    runs: BTreeMap<TaskKey, Run>,
    /// Workers on which a task of the job failed, stalled, or seems to have caused a crash; they
    /// are ranked lower.
    avoided: HashSet<SmolStr>,
    /// Gang starts whose failure was counted, by occurrence, step and run number, so
    /// that several failed members count once.
    counted_failures: HashSet<(u32, u32, u64)>,
    /// Approvals of the policy, by occurrence and step.
    approvals: HashMap<(u32, u32), policy::Approval>,
    /// When a step became ready, by occurrence and step.
    ready_since: HashMap<(u32, u32), Duration>,
    /// When the last crash under each task that is not done was noticed.
    crash_seen: HashMap<TaskKey, Duration>,
    /// How often each task that is not done has stalled.
    stalls: HashMap<TaskKey, u32>,
    /// How far the declared run times were off, by occurrence and step.
    biases: HashMap<(u32, u32), speed::Bias>,
    /// What is expected of the steps; none until the job has had tasks to start.
    outlook: Option<learned::Outlook>,
    /// How often runs of the job were preempted.
    preemptions: u32,
}

/// A worker and its last known state.
struct Worker {
    addr: SocketAddr,
    announced: Option<Announcement>,
    /// When its sidecar started, in milliseconds since the Unix epoch, if it said so.
    sidecar_start: Option<u64>,
    /// Until when the worker is or was slow after its start, if it said so.
    cold_until: Option<Duration>,
    boot: Option<Boot>,
    rack: SmolStr,
    labels: Rc<[SmolStr]>,
    /// The worker's clock in milliseconds, and when the listing with it arrived.
    clock: Option<(u64, Duration)>,
    /// When the newest listing arrived; none once the worker is known to have left
    /// or restarted.
    last_contact: Option<Duration>,
    /// When the poll for the newest listing was sent.
    last_polled: Option<Duration>,
    /// When the worker left a poll unanswered for the first time since its newest listing.
    silent_since: Option<Duration>,
    /// Runs that were given up when the lease of the worker expired; whether the worker crashed
    /// shows when it answers again.
    expired_runs: Vec<crash::LostRun>,
    /// The latest time at which the last granted lease can expire.
    lease_end: Duration,
    /// Ends up to this number are applied to the records.
    applied_ends: u64,
    /// Ends up to this number are stored, so that the worker may forget them.
    acknowledged: u64,
    /// The number of the first end in the newest listing.
    first_listed: Option<u64>,
    /// Ends whose records are not stored yet: the number of the newest end, and the
    /// changes (job and number) that must be stored.
    uncommitted_ends: Vec<(u64, Vec<(SmolStr, u64)>)>,
    /// When a stop was last sent to each listed run that no record names.
    orphan_stops: HashMap<(TaskId, u64), Duration>,
    /// The tasks of the runs in the newest listing that no record names.
    orphans: Vec<TaskId>,
    health: health::Health,
    speed: speed::Speed,
    /// The identifier of the incarnation that has left, and when that became known; none once
    /// the worker answers again.
    departed: Option<(SmolStr, Duration)>,
    /// Limits the starts that the worker has not answered.
    starts: CallWindow,
    /// The stops that the worker has not answered, by task and run, and when they were sent.
    open_stops: HashMap<(TaskId, u64), Duration>,
    /// Limits these.
    stops: CallWindow,
}

/// An action for the caller of the ledger to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Sends an order to the sidecar of a worker.
    Send {
        /// The sidecar.
        sidecar: SmolStr,
        /// The incarnation of the worker that the order is meant for.
        boot: Boot,
        /// The order.
        order: Order,
    },
    /// Asks the policy of a queue which workers may run a step.
    RequestApproval(ApprovalRequest),
    /// Logs a decision.
    Note(Note),
}

/// The kinds of decisions that are logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// A start was planned.
    Placed,
    /// A run ended.
    Ended,
    /// A run was ordered to stop.
    Stopped,
    /// A run was stopped to free capacity for a more urgent job.
    Preempted,
    /// The start of a run was refused or got no answer.
    StartFailed,
    /// A run turned out to have started, after a takeover or an unanswered start.
    Adopted,
    /// A run is over although the worker listed no end.
    Lost,
    /// A job failed because workers crashed under one of its tasks.
    GivenUp,
    /// A job reached its final state.
    Finished,
    /// A worker answered for the first time, or in a new incarnation.
    WorkerSeen,
    /// A worker does not answer polls, or has left.
    WorkerLost,
    /// A worker has restarted without having left, while runs were on it.
    WorkerCrashed,
    /// A worker is leaving.
    WorkerDraining,
    /// A worker is assigned no work for a limited time because runs on it failed or stalled.
    Quarantined,
    /// A run was ordered to work at another share of its full speed.
    Paced,
    /// Nothing starts any more in a failure domain, on an operator's request.
    EvacuationBegan,
    /// The request to evacuate a failure domain was cancelled.
    EvacuationEnded,
    /// All known failure domains are evacuated, so that nothing starts.
    AllEvacuated,
    /// The domains that are not evacuated lack capacity for all guarantees, or have it again.
    GuaranteeShort,
    /// Nothing starts, as the evacuated domains are not known well enough.
    StartsPaused,
    /// The evacuated domains are known well enough again.
    StartsResumed,
}

/// The log entry of a decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Note {
    /// What was decided.
    pub decision: Decision,
    /// The job or worker concerned.
    pub subject: SmolStr,
    /// The client account concerned; empty for none.
    pub account: SmolStr,
    /// The inputs and the outcome, as `key=value` pairs and text.
    pub detail: String,
}

/// Counts of jobs, runs and workers, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Jobs of which no task has started.
    pub waiting: u64,
    /// Jobs that are not over.
    pub open: u64,
    /// Runs whose end is not known.
    pub runs: u64,
    /// Runs of which it is not known whether the start order arrived.
    pub unconfirmed: u64,
    /// Workers whose sidecar is known.
    pub workers: u64,
    /// Workers that may be assigned work.
    pub usable: u64,
    /// Accelerators of workers that may be assigned work.
    pub gpus_usable: u64,
    /// Accelerators of these workers that no run uses.
    pub gpus_free: u64,
}

/// All jobs and workers of a placer, and the effects that wait to be carried out.
pub struct Ledger {
    bounds: Bounds,
    epoch: u64,
    /// When this placer took over.
    took_over: Duration,
    jobs: BTreeMap<SmolStr, Entry>,
    workers: BTreeMap<SmolStr, Worker>,
    run_index: run_index::RunIndex,
    manifest: Rc<Manifest>,
    changes: u64,
    effects: Vec<Effect>,
    /// Starts whose intent is not stored yet: job, change, task, run number.
    pending_starts: Vec<(SmolStr, u64, TaskKey, u64)>,
    fenced: bool,
    /// When checkpoints were last copied into the records.
    checkpoints_saved: Duration,
    /// The requests to the policy service.
    requests: policy::Requests,
    /// The time of the last plan.
    planned_at: Duration,
    /// Since when workers of each service were last reserved while it was mostly idle.
    reserving_since: HashMap<SmolStr, Duration>,
    evacuation: evacuation::Evacuation,
    learning: learned::Learning,
}

impl Ledger {
    /// Creates the ledger of a placer that took over at `now` under an epoch.
    pub fn new(bounds: Bounds, epoch: u64, now: Duration) -> Self {
        Self {
            bounds,
            epoch,
            took_over: now,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            run_index: run_index::RunIndex::default(),
            manifest: Rc::new(Manifest::default()),
            changes: 0,
            effects: Vec::new(),
            pending_starts: Vec::new(),
            fenced: false,
            checkpoints_saved: now,
            requests: policy::Requests::default(),
            planned_at: now,
            reserving_since: HashMap::new(),
            evacuation: evacuation::Evacuation::default(),
            learning: learned::Learning::default(),
        }
    }

    /// Returns the epoch that every order carries.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of record changes so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns whether a worker refused an order because it has seen a higher epoch, so
    /// that this placer must step down.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Replaces the manifest.
    pub fn set_manifest(&mut self, manifest: Rc<Manifest>) {
        self.manifest = manifest;
    }

    /// Removes and returns the effects that were added since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Adds a stored record, or applies its revision and cancellation if the job is known.
    pub fn put_job(&mut self, record: Record, revision: u64, now: Duration) {
        let id = record.job.id.clone();
        let Some(entry) = self.jobs.get_mut(&id) else {
            let entry = Entry::from_record(record, revision, now);
            for (key, run) in &entry.runs {
                self.run_index.add(&run.sidecar, &id, *key);
            }
            self.jobs.insert(id, entry);
            return;
        };
        if revision <= entry.revision {
            return;
        }
        entry.revision = revision;
        if record.cancelled && !entry.record.cancelled {
            self.cancel(&id, now);
        }
    }

    /// Returns whether the stored record of a job is known up to a revision.
    pub fn knows_revision(&self, id: &str, revision: u64) -> bool {
        self.jobs.get(id).is_some_and(|e| e.revision >= revision)
    }

    /// Removes a job that was deleted from the store.
    pub fn remove_job(&mut self, id: &str) {
        let Some(entry) = self.jobs.remove(id) else {
            return;
        };
        for (key, run) in &entry.runs {
            self.run_index
                .remove(&run.sidecar, &entry.record.job.id, *key);
        }
    }

    /// Adds a sidecar, or updates its address.
    pub fn put_worker(&mut self, sidecar: SmolStr, addr: SocketAddr) {
        let lease_end = self.takeover_lease_end();
        let worker = self.workers.entry(sidecar);
        let worker = worker.or_insert_with(|| Worker::new(addr, lease_end));
        worker.addr = addr;
    }

    /// Returns the sidecars and their addresses.
    pub fn sidecars(&self) -> impl Iterator<Item = (&SmolStr, SocketAddr)> {
        self.workers.iter().map(|(n, w)| (n, w.addr))
    }

    /// Returns the address of a sidecar.
    pub fn addr(&self, sidecar: &str) -> Option<SocketAddr> {
        self.workers.get(sidecar).map(|w| w.addr)
    }

    /// Returns the latest time at which a lease of a previous placer can expire.
    fn takeover_lease_end(&self) -> Duration {
        self.took_over + with_clock_drift(self.bounds.max_lease) + ORDER_DELIVERY_SLACK
    }

    fn cancel(&mut self, id: &SmolStr, now: Duration) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        entry.record.cancelled = true;
        self.finish_job(id, now);
    }

    /// Logs that a job is over, and stops its runs.
    fn finish_job(&mut self, id: &SmolStr, now: Duration) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let state = entry.record.state();
        let account = entry.record.job.account.clone();
        let keys: Vec<TaskKey> = entry.runs.keys().copied().collect();
        self.note(Decision::Finished, id, &account, format!("state={state:?}"));
        for key in keys {
            self.stop_run(id, key, "the job is over", now);
        }
        self.mark_changed(id);
    }

    /// Counts jobs, runs, workers and accelerators.
    pub fn summary(&self, now: Duration) -> Summary {
        let mut summary = Summary {
            workers: self.workers.len() as u64,
            ..Summary::default()
        };
        for entry in self.jobs.values() {
            if !entry.record.is_over() {
                summary.open += 1;
                summary.waiting += u64::from(entry.record.state() == State::Queued);
            }
            summary.runs += entry.runs.len() as u64;
            let unconfirmed = entry
                .runs
                .values()
                .filter(|r| r.phase == Phase::Unconfirmed);
            summary.unconfirmed += unconfirmed.count() as u64;
        }
        for slot in self.slots(now) {
            summary.usable += 1;
            summary.gpus_usable = summary.gpus_usable.saturating_add(slot.total.gpus);
            summary.gpus_free = summary.gpus_free.saturating_add(slot.free.gpus);
        }
        summary
    }

    fn note(&mut self, decision: Decision, subject: &str, account: &str, detail: String) {
        self.effects.push(Effect::Note(Note {
            decision,
            subject: subject.into(),
            account: account.into(),
            detail,
        }));
    }

    /// Marks a record as changed and returns the number of the change.
    fn mark_changed(&mut self, id: &str) -> u64 {
        self.mark_changed_behind(id, 0)
    }

    /// Marks a record as changed; up to `places` later changes of other records are written
    /// before this one. Returns the number of the change.
    fn mark_changed_behind(&mut self, id: &str, places: u64) -> u64 {
        self.changes += 1;
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.changed = self.changes;
            entry.rank_unsaved(self.changes + places);
        }
        self.changes
    }
}

impl Entry {
    fn from_record(record: Record, revision: u64, now: Duration) -> Self {
        let mut runs = BTreeMap::new();
        let mut crash_seen = HashMap::new();
        for (occurrence, step, index, progress) in &record.tasks {
            if !progress.crashes.is_empty() {
                crash_seen.insert((*occurrence, *step, *index), now);
            }
            if let Some(placement) = &progress.placement {
                let mut run = Run::unconfirmed(progress.run, placement, now);
                let of_step = &record.job.steps[*step as usize];
                run.on_trial = crash::is_suspect(&progress.crashes, of_step);
                runs.insert((*occurrence, *step, *index), run);
            }
        }
        let job_bytes = record_size::job_bytes(&record.job);
        Self {
            record,
            revision,
            changed: 0,
            committed: 0,
            unsaved_rank: 0,
            writing: false,
            refusals: 0,
            is_apart: false,
            write_after: Duration::ZERO,
            job_bytes,
            size: None,
            runs,
            avoided: HashSet::new(),
            counted_failures: HashSet::new(),
            approvals: HashMap::new(),
            ready_since: HashMap::new(),
            crash_seen,
            stalls: HashMap::new(),
            biases: HashMap::new(),
            outlook: None,
            preemptions: 0,
        }
    }

    fn job(&self) -> &Job {
        &self.record.job
    }

    /// Compacts the record if it is wide or keeps much progress, and forgets what is known of the
    /// occurrences that are done.
    fn compact(&mut self, is_wide: bool) {
        let has_changed = if is_wide {
            self.record.compact_all()
        } else {
            self.record.compact()
        };
        if !has_changed {
            return;
        }
        let compacted = &self.record.compacted;
        self.counted_failures.retain(|k| !compacted.contains(k.0));
        self.approvals.retain(|k, _| !compacted.contains(k.0));
        self.ready_since.retain(|k, _| !compacted.contains(k.0));
        self.crash_seen.retain(|k, _| !compacted.contains(k.0));
        self.stalls.retain(|k, _| !compacted.contains(k.0));
        self.biases.retain(|k, _| !compacted.contains(k.0));
    }

    /// Moves the record forward in the order of writes if the rank is lower than its own.
    fn rank_unsaved(&mut self, rank: u64) {
        self.unsaved_rank = match self.unsaved_rank {
            0 => rank,
            known => known.min(rank),
        };
    }

    /// Returns how many starts of the job are open at each sidecar that has some.
    fn open_starts(&self) -> HashMap<SmolStr, usize> {
        let mut open = HashMap::new();
        for run in self.runs.values().filter(|r| r.is_start_open()) {
            *open.entry(run.sidecar.clone()).or_default() += 1;
        }
        open
    }

    /// Returns whether a start of the task, or of its gang, was sent whose run is not over.
    fn has_sent_runs(&self, key: TaskKey) -> bool {
        let members = if self.step(key).gang {
            (key.0, key.1, 0)..=(key.0, key.1, u32::MAX)
        } else {
            key..=key
        };
        let mut runs = self.runs.range(members);
        runs.any(|(_, r)| r.phase != Phase::Planned)
    }

    fn step(&self, key: TaskKey) -> &Step {
        &self.record.job.steps[key.1 as usize]
    }
}

impl Run {
    /// Creates a run that a stored record names, whose start may have been sent.
    fn unconfirmed(number: u64, placement: &Placement, now: Duration) -> Self {
        Self {
            phase: Phase::Unconfirmed,
            start_unanswered: true,
            ..Self::planned(number, placement, now)
        }
    }

    fn planned(number: u64, placement: &Placement, now: Duration) -> Self {
        Self {
            number,
            sidecar: placement.sidecar.clone(),
            boot: placement.boot.clone(),
            phase: Phase::Planned,
            phase_since: now,
            planned_at: now,
            percent: 0,
            started_at: None,
            progressed_at: now,
            checkpoint: SmolStr::default(),
            start_unanswered: false,
            is_seen: false,
            stop_confirmed: None,
            stop_sent: None,
            pace_percent: 100,
            load: 0,
            resumed: false,
            on_trial: false,
        }
    }

    /// Returns whether the start is planned, or sent and not answered.
    fn is_start_open(&self) -> bool {
        matches!(self.phase, Phase::Planned | Phase::Ordered)
    }

    fn set_phase(&mut self, phase: Phase, now: Duration) {
        self.phase = phase;
        self.phase_since = now;
        self.progressed_at = now;
    }
}

impl Worker {
    fn new(addr: SocketAddr, lease_end: Duration) -> Self {
        Self {
            addr,
            announced: None,
            sidecar_start: None,
            cold_until: None,
            boot: None,
            rack: SmolStr::default(),
            labels: Rc::default(),
            clock: None,
            last_contact: None,
            last_polled: None,
            silent_since: None,
            expired_runs: Vec::new(),
            lease_end,
            applied_ends: 0,
            acknowledged: 0,
            first_listed: None,
            uncommitted_ends: Vec::new(),
            orphan_stops: HashMap::new(),
            orphans: Vec::new(),
            health: health::Health::default(),
            speed: speed::Speed::default(),
            departed: None,
            starts: order_window(),
            open_stops: HashMap::new(),
            stops: order_window(),
        }
    }

    fn capacity(&self) -> Resources {
        self.announced
            .as_ref()
            .map(|a| a.capacity)
            .unwrap_or_default()
    }
}

/// Returns the limit of the orders of one kind that are open at a worker.
fn order_window() -> CallWindow {
    CallWindow::new(FIRST_ORDERS, 1..=MAX_ORDERS, ORDER_TARGET).with_late_least(LATE_ORDERS)
}

/// Returns the longest real time that a span measured by a worker's clock can take.
fn with_clock_drift(span: Duration) -> Duration {
    span * 100 / (100 - CLOCK_DRIFT_PERCENT)
}

/// Returns the resources that a task of the step takes from a worker.
///
/// The processor use of best-effort tasks is not counted, as they use only what other
/// tasks leave.
fn required_resources(step: &Step) -> Resources {
    Resources {
        cpu: if step.best_effort { 0 } else { step.cpu },
        memory: step.memory,
        gpus: step.gpus,
    }
}

/// Returns the identifier of a task on the wire.
fn task_id(job: &SmolStr, key: TaskKey) -> TaskId {
    TaskId {
        job: job.clone(),
        occurrence: key.0,
        step: key.1,
        index: key.2,
    }
}
