//! The placer's view of all jobs and workers, and its decisions.
//!
//! Every start follows the same path: the plan writes the intent into the
//! record, the record is stored, and only then is the order sent. A task gets a
//! new start only once the end of its former one is known: listed by the
//! worker, barred by an answered stop, gone with a life of the worker, or
//! beyond the last lease that any placer can have granted.

mod ends;
mod fit;
mod health;
mod listing;
mod orders;
mod pace;
mod plan;
mod policy;
mod preempt;
mod run_index;
mod speed;
mod supervise;
mod writes;

pub use policy::ApprovalRequest;
pub use writes::Batch;
pub use writes::Write;

use crate::job::Job;
use crate::job::Step;
use crate::manifest::Manifest;
use crate::record::Placement;
use crate::record::Record;
use crate::record::State;
use crate::worker::Announcement;
use crate::worker::Boot;
use crate::worker::Order;
use crate::worker::Resources;
use crate::worker::TaskId;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Names a task within its job: occurrence, step, index.
pub type TaskKey = (u32, u32, u32);

/// Holds the durations that the platform states.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The longest lease of a worker.
    pub max_lease: Duration,
    /// The time that a stop may take.
    pub stop_timeout: Duration,
    /// The wait of a gang's member for the others.
    pub gang_timeout: Duration,
    /// How long the state of an ended job can be asked for.
    pub status_retention: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_lease: Duration::from_secs(10),
            stop_timeout: Duration::from_millis(500),
            gang_timeout: Duration::from_secs(3),
            status_retention: Duration::from_secs(120),
        }
    }
}

/// The share by which a worker's clock may run slow, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 2;
/// Resources for the delivery of the last order of a former placer.
const ORDER_DELIVERY_SLACK: Duration = Duration::from_millis(500);

/// Enumerates how far a start has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The intent is not stored yet.
    Planned,
    /// The order is out and not answered.
    Ordered,
    /// The worker has it.
    Live,
    /// The order may or may not have arrived, or may still arrive.
    Unconfirmed,
    /// A stop was decided; the end is not known yet.
    Stopping,
}

/// Describes a start whose end is not known.
#[derive(Clone, Debug)]
struct Run {
    number: u64,
    node: SmolStr,
    boot: Boot,
    phase: Phase,
    /// When the phase began.
    phase_since: Duration,
    /// When the intent was planned.
    planned_at: Duration,
    percent: u64,
    /// When the progress last changed.
    progressed_at: Duration,
    checkpoint: SmolStr,
    /// Whether an order to start got no answer, so that it may still arrive.
    start_unanswered: bool,
    /// When a stop was answered, which bars a late arrival of the start.
    stop_confirmed: Option<Duration>,
    /// When a stop was last sent.
    stop_sent: Option<Duration>,
    /// The share at which the run was told to work, in percent.
    pace_percent: u64,
    /// The newest reported load.
    load: u64,
    /// Whether the run began with a checkpoint.
    resumed: bool,
}

/// Holds a job and what the store knows of it.
struct Entry {
    record: Record,
    revision: u64,
    /// The number of the newest change in memory.
    changed: u64,
    /// The number of the newest change in the store.
    committed: u64,
    writing: bool,
    runs: BTreeMap<TaskKey, Run>,
    /// Workers on which a task of the job failed.
    avoided: HashSet<SmolStr>,
    /// The gang starts that were already counted as failed.
    counted_failures: HashSet<(u32, u32, u64)>,
    /// Approvals of the policy, by step of an occurrence.
    approvals: HashMap<(u32, u32), policy::Approval>,
    /// When a step became ready, by occurrence and step.
    ready_since: HashMap<(u32, u32), Duration>,
    /// How far declared run times were off, by occurrence and step.
    biases: HashMap<(u32, u32), speed::Bias>,
}

/// Holds a worker and what it last said.
struct Worker {
    addr: SocketAddr,
    announced: Option<Announcement>,
    boot: Option<Boot>,
    rack: SmolStr,
    /// The worker's clock in milliseconds, and when it was read at the latest.
    clock: Option<(u64, Duration)>,
    last_contact: Option<Duration>,
    /// When the newest listing was asked for.
    last_polled: Option<Duration>,
    /// When the last lease that was granted ends at the latest.
    lease_end: Duration,
    /// Ends up to this number were taken into the records.
    applied_ends: u64,
    /// Ends up to this number are stored.
    acknowledged: u64,
    /// Ends that wait for records to be stored.
    uncommitted_ends: Vec<(u64, Vec<(SmolStr, u64)>)>,
    orphan_stops: HashMap<(TaskId, u64), Duration>,
    health: health::Health,
    speed: speed::Speed,
    /// The life that has left, and when that became known.
    departed: Option<(SmolStr, Duration)>,
}

/// Enumerates what the placer wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Sends an order to the sidecar of a worker.
    Send {
        /// The sidecar.
        node: SmolStr,
        /// The life of the worker that the order is meant for.
        boot: Boot,
        /// The order.
        order: Order,
    },
    /// Asks the policy of a queue.
    RequestApproval(ApprovalRequest),
    /// Explains a decision to the log.
    Note(Note),
}

/// Enumerates the decisions that are logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// A start was planned.
    Placed,
    /// A run ended.
    Ended,
    /// A run was ordered to stop.
    Stopped,
    /// A run was stopped in favour of a guarantee.
    Preempted,
    /// The start of a run was refused or got no answer.
    StartFailed,
    /// A run was taken over from a former placer or after a lost answer.
    Adopted,
    /// A run is considered gone without a listed end.
    Lost,
    /// A job reached its final state.
    Finished,
    /// A worker was seen for the first time or in a new life.
    WorkerSeen,
    /// A worker stopped answering.
    WorkerLost,
    /// A worker is leaving.
    WorkerDraining,
    /// A worker gets no work for a while after failures.
    Quarantined,
    /// A run was told to work at another share.
    Paced,
}

/// Describes one decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Note {
    /// What was decided.
    pub decision: Decision,
    /// The job or worker concerned.
    pub subject: SmolStr,
    /// The client account concerned; empty for none.
    pub account: SmolStr,
    /// The inputs and the outcome.
    pub detail: String,
}

/// Holds the levels of a ledger.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Jobs of which no task has started.
    pub waiting: u64,
    /// Jobs that are not over.
    pub open: u64,
    /// Starts whose end is not known.
    pub runs: u64,
    /// Starts of which it is not known whether they arrived.
    pub unconfirmed: u64,
    /// Workers.
    pub workers: u64,
    /// Workers that may get work.
    pub usable: u64,
    /// Accelerators of workers that may get work.
    pub gpus_usable: u64,
    /// Accelerators that no run takes.
    pub gpus_free: u64,
}

/// Holds all jobs and workers of a placer.
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
    /// Starts that wait until a record is stored: job, change, task, number.
    pending_starts: Vec<(SmolStr, u64, TaskKey, u64)>,
    fenced: bool,
    /// When checkpoints were last taken into the records.
    checkpoints_saved: Duration,
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
        }
    }

    /// Returns the epoch that every order carries.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns a number that grows with each change of a record.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Tells whether a worker has seen a higher epoch.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Puts a version of the manifest into force.
    pub fn set_manifest(&mut self, manifest: Rc<Manifest>) {
        self.manifest = manifest;
    }

    /// Takes what is to be done since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes in a stored record, new or changed by others.
    pub fn put_job(&mut self, record: Record, revision: u64, now: Duration) {
        let id = record.job.id.clone();
        let Some(entry) = self.jobs.get_mut(&id) else {
            let entry = Entry::from_record(record, revision, now);
            for (key, run) in &entry.runs {
                self.run_index.add(&run.node, &id, *key);
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

    /// Forgets a job that was deleted from the store.
    pub fn remove_job(&mut self, id: &str) {
        let Some(entry) = self.jobs.remove(id) else {
            return;
        };
        for (key, run) in &entry.runs {
            self.run_index.remove(&run.node, &entry.record.job.id, *key);
        }
    }

    /// Takes in the address of a sidecar.
    pub fn put_worker(&mut self, node: SmolStr, addr: SocketAddr) {
        let lease_end = self.takeover_lease_end();
        let worker = self.workers.entry(node);
        let worker = worker.or_insert_with(|| Worker::new(addr, lease_end));
        worker.addr = addr;
    }

    /// Returns the sidecars and their addresses.
    pub fn nodes(&self) -> impl Iterator<Item = (&SmolStr, SocketAddr)> {
        self.workers.iter().map(|(n, w)| (n, w.addr))
    }

    /// Returns the address of a sidecar.
    pub fn addr(&self, node: &str) -> Option<SocketAddr> {
        self.workers.get(node).map(|w| w.addr)
    }

    /// Returns when the leases that former placers granted have ended at the latest.
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

    /// Stops everything of a job that is over.
    fn finish_job(&mut self, id: &SmolStr, now: Duration) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let state = entry.record.state();
        let account = entry.record.job.account.clone();
        let keys: Vec<TaskKey> = entry.runs.keys().copied().collect();
        self.note(Decision::Finished, id, &account, format!("state={state:?}"));
        for key in keys {
            self.stop_run(id, key, "job over", now);
        }
        self.mark_changed(id);
    }

    /// Counts jobs, runs and room.
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
            summary.gpus_usable += slot.total.gpus;
            summary.gpus_free += slot.free.gpus;
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
        self.changes += 1;
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.changed = self.changes;
        }
        self.changes
    }
}

impl Entry {
    fn from_record(record: Record, revision: u64, now: Duration) -> Self {
        let mut runs = BTreeMap::new();
        for (occurrence, step, index, progress) in &record.tasks {
            if let Some(placement) = &progress.placement {
                let run = Run::unconfirmed(progress.run, placement, now);
                runs.insert((*occurrence, *step, *index), run);
            }
        }
        Self {
            record,
            revision,
            changed: 0,
            committed: 0,
            writing: false,
            runs,
            avoided: HashSet::new(),
            counted_failures: HashSet::new(),
            approvals: HashMap::new(),
            ready_since: HashMap::new(),
            biases: HashMap::new(),
        }
    }

    fn job(&self) -> &Job {
        &self.record.job
    }

    fn step(&self, key: TaskKey) -> &Step {
        &self.record.job.steps[key.1 as usize]
    }
}

impl Run {
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
            node: placement.node.clone(),
            boot: placement.boot.clone(),
            phase: Phase::Planned,
            phase_since: now,
            planned_at: now,
            percent: 0,
            progressed_at: now,
            checkpoint: SmolStr::default(),
            start_unanswered: false,
            stop_confirmed: None,
            stop_sent: None,
            pace_percent: 100,
            load: 0,
            resumed: false,
        }
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
            boot: None,
            rack: SmolStr::default(),
            clock: None,
            last_contact: None,
            last_polled: None,
            lease_end,
            applied_ends: 0,
            acknowledged: 0,
            uncommitted_ends: Vec::new(),
            orphan_stops: HashMap::new(),
            health: health::Health::default(),
            speed: speed::Speed::default(),
            departed: None,
        }
    }

    fn capacity(&self) -> Resources {
        self.announced
            .as_ref()
            .map(|a| a.capacity)
            .unwrap_or_default()
    }
}

/// Returns the longest real time that a span of a worker's clock can take.
fn with_clock_drift(span: Duration) -> Duration {
    span * 100 / (100 - CLOCK_DRIFT_PERCENT)
}

/// Returns the resources that a task takes from the room of a worker.
fn required_resources(step: &Step) -> Resources {
    Resources {
        cpu: if step.best_effort { 0 } else { step.cpu },
        memory: step.memory,
        gpus: step.gpus,
    }
}

/// Returns the full name of a task.
fn task_id(job: &SmolStr, key: TaskKey) -> TaskId {
    TaskId {
        job: job.clone(),
        occurrence: key.0,
        step: key.1,
        index: key.2,
    }
}
