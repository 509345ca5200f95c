//! Messages between the placer and workers: announcements, listings and orders.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The identifier of a task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// The identifier of the job.
    pub job: SmolStr,
    /// The occurrence, from 0.
    #[serde(rename = "round")]
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// The index of the task within its step, from 0.
    pub index: u32,
}

/// The identity of one incarnation of a worker, as a restarted worker may announce its
/// former identifier again.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Boot {
    /// The identifier that the worker announces.
    pub id: SmolStr,
    /// When this incarnation started, in milliseconds since the Unix epoch.
    pub born: u64,
}

/// Resources of a worker, or those that a task needs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes of memory.
    pub memory: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Returns whether these resources suffice for `other`.
    pub fn covers(&self, other: &Resources) -> bool {
        self.cpu >= other.cpu && self.memory >= other.memory && self.gpus >= other.gpus
    }

    /// Subtracts resources; each stops at 0.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.gpus = self.gpus.saturating_sub(other.gpus);
    }

    /// Adds resources; each stops at the largest number.
    pub fn add(&mut self, other: &Resources) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory = self.memory.saturating_add(other.memory);
        self.gpus = self.gpus.saturating_add(other.gpus);
    }
}

/// The heartbeat of a worker.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The incarnation of the worker.
    pub boot: Boot,
    /// The number of the heartbeat, which grows within an incarnation.
    pub sequence: u64,
    /// The service that the worker belongs to.
    pub service: SmolStr,
    /// The failure domain; empty if it is not known. Set by the sidecar if the heartbeat has none.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub domain: SmolStr,
    /// The total resources of the worker.
    #[serde(rename = "room")]
    pub capacity: Resources,
    /// The labels, one of which names the rack.
    pub labels: Vec<SmolStr>,
    /// Whether the worker is about to leave and accepts no further starts, by its own word.
    pub draining: bool,
    /// Whether a notice of the incarnation's end has arrived since its newest heartbeat. It may
    /// be a late one of a former incarnation. Set by the sidecar.
    #[serde(default, skip_serializing_if = "is_false")]
    pub leaving: bool,
    /// How much longer the worker stays slow after its start, in milliseconds; 0 if it is warm.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_left: u64,
    /// The least time until a draining worker leaves, in milliseconds.
    pub remaining: Option<u64>,
    /// Whether no run should end on this incarnation, as it may forget ends that nobody has seen.
    /// Set by the sidecar.
    #[serde(default, skip_serializing_if = "is_false")]
    pub on_hold: bool,
    /// Whether the sidecar stops each run that starts while the worker is on hold, so that it may be
    /// used: the end of such a run shows that the worker forgets none. Set by the sidecar.
    #[serde(default, skip_serializing_if = "is_false")]
    pub probing: bool,
    /// When the sidecar started, in milliseconds since the Unix epoch; none from a sidecar that does
    /// not say it. Set by the sidecar.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sidecar_start: Option<u64>,
}

impl Announcement {
    /// Returns whether nothing should start on the worker, as it drains or may be leaving.
    pub fn is_ending(&self) -> bool {
        self.draining || self.leaving
    }
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !value
}

/// A worker's answer to a status poll.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// When this incarnation started, in milliseconds since the Unix epoch.
    pub born: u64,
    /// The worker's monotonic clock, in milliseconds.
    pub clock: u64,
    /// The runs in progress.
    pub running: Vec<Running>,
    /// The runs that ended and are not acknowledged yet.
    pub ended: Vec<Ended>,
    /// Whether further runs may have ended that are listed only once these are acknowledged.
    #[serde(default)]
    pub is_partial: bool,
}

/// A run in progress, as a worker lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// The number of the run, which grows with each start of the task.
    pub run: u64,
    /// The newest checkpoint; empty without one.
    pub checkpoint: SmolStr,
    /// The progress in percent.
    pub percent: u64,
    /// The tail latency of a serving task, in milliseconds; the processor use of others.
    pub load: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum End {
    /// The task is done.
    Done,
    /// The run failed, by its own fault or the worker's.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The run was killed because the worker's lease expired.
    Lapsed,
    /// The run was killed because another member of its gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// A run that ended, as a worker lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ended {
    /// The number of the end within this incarnation of the worker, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The number of the run, which grows with each start of the task.
    pub run: u64,
    /// How the run ended.
    pub end: End,
    /// The newest checkpoint; empty without one.
    pub checkpoint: SmolStr,
}

/// The order to start a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// The number of the run, which grows with each start of the task.
    pub run: u64,
    /// The payload of the job.
    pub spec: String,
    /// When the worker's lease expires, by the worker's clock, in milliseconds.
    pub deadline: u64,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: SmolStr,
    /// The approval token of the policy; empty for none.
    #[serde(rename = "ticket")]
    pub approval: SmolStr,
    /// The latest time at which the sidecar may pass the order on, by the worker's clock, in
    /// milliseconds; none if there is no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latest: Option<u64>,
}

/// An order of the placer to a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Order {
    /// Polls the worker's status: extends its lease and asks for a listing.
    #[serde(rename = "Look")]
    Poll {
        /// Ends up to this number are stored, so that the worker may forget them.
        #[serde(rename = "seen")]
        acknowledged: u64,
        /// When the worker's lease expires, by the worker's clock, in milliseconds; none
        /// to leave the lease as it is.
        deadline: Option<u64>,
        /// How long the worker may hold back the answer until a run ends, in milliseconds.
        wait: u64,
    },
    /// Starts a run.
    Start(Box<Start>),
    /// Stops a run, or blocks its start if that has not arrived yet.
    Stop {
        /// The task.
        task: TaskId,
        /// The number of the run, which grows with each start of the task.
        run: u64,
    },
    /// Sets the share of its full speed at which a run works.
    Pace {
        /// The task.
        task: TaskId,
        /// The number of the run, which grows with each start of the task.
        run: u64,
        /// The share in percent.
        percent: u64,
    },
}

/// An order on its way to the sidecar of a worker, with the checks that it must pass.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// The epoch of the placer; workers refuse an epoch below the highest one seen.
    pub epoch: u64,
    /// The incarnation that the order is meant for; none before the first listing.
    pub boot: Option<Boot>,
    /// The order.
    pub order: Order,
}

/// Why a worker or its sidecar refuses an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// The worker has seen a higher epoch.
    Epoch,
    /// This run, or a higher one of the task, was stopped or has ended there.
    Old,
    /// The deadline has passed.
    Late,
    /// The task exceeds the free capacity.
    Room,
    /// The approval of the policy is missing or no longer valid.
    Ticket,
    /// The worker is leaving.
    Draining,
    /// Another incarnation of the worker runs there, or none has announced itself.
    Boot,
    /// The worker is unhealthy and did not carry out the order.
    Unhealthy,
    /// The worker could not read the order.
    Invalid,
}

/// The answer to an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The order was carried out.
    Accepted,
    /// The status of the worker, with its newest heartbeat.
    Listed(Box<Announcement>, Box<Listing>),
    /// The order was refused and not carried out.
    Refused(Refusal),
    /// The worker with this identifier has left, and none of its runs remains.
    Left(SmolStr),
    /// The listing could not be read, for this reason.
    Unreadable(SmolStr),
    /// The worker did not answer; the order may take effect later.
    Silent,
}
