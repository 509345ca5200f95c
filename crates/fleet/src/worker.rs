//! What workers say of themselves, and the orders they take.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Names one task of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// The job.
    pub job: SmolStr,
    /// The occurrence, from 0.
    #[serde(rename = "round")]
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// The task of the step, from 0.
    pub index: u32,
}

/// Identifies one life of a worker; an identifier alone may be used again.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Boot {
    /// The identifier that the worker announces.
    pub id: SmolStr,
    /// Milliseconds since the Unix epoch at the start of this life.
    pub born: u64,
}

/// Holds resources of a worker, or what a task takes of them.
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
    /// Tells whether `other` fits into this room.
    pub fn covers(&self, other: &Resources) -> bool {
        self.cpu >= other.cpu && self.memory >= other.memory && self.gpus >= other.gpus
    }

    /// Takes resources away, down to none.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.gpus = self.gpus.saturating_sub(other.gpus);
    }

    /// Gives resources back.
    pub fn add(&mut self, other: &Resources) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.gpus += other.gpus;
    }
}

/// Holds what a worker announces in a heartbeat.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// This life of the worker.
    pub boot: Boot,
    /// The number of the heartbeat; it grows within a life.
    pub sequence: u64,
    /// The service that the worker belongs to.
    pub service: SmolStr,
    /// The total resources of the worker.
    #[serde(rename = "room")]
    pub capacity: Resources,
    /// Labels, the rack among them.
    pub labels: Vec<SmolStr>,
    /// Whether the worker is about to leave.
    pub draining: bool,
    /// The least time that is left, in milliseconds, while draining.
    pub remaining: Option<u64>,
}

/// Holds what a worker lists.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Milliseconds since the Unix epoch at the start of this life.
    pub born: u64,
    /// The worker's steady clock, in milliseconds.
    pub clock: u64,
    /// What runs.
    pub running: Vec<Running>,
    /// What ended and was not acknowledged yet.
    pub ended: Vec<Ended>,
}

/// Describes a run that a worker lists.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub run: u64,
    /// The newest checkpoint; empty without one.
    pub checkpoint: SmolStr,
    /// The progress in percent.
    pub percent: u64,
    /// The tail latency in milliseconds of a serving task, else the processor in use.
    pub load: u64,
}

/// Enumerates how a run ends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum End {
    /// Reached its end.
    Done,
    /// Failed by its own fault or the worker's.
    Failed,
    /// Was stopped by an order.
    Stopped,
    /// Was killed as the worker's lease ran out.
    Lapsed,
    /// Was killed because another member of its gang ended.
    Broken,
    /// Waited in vain for the other members of its gang.
    Alone,
}

/// Describes the end of a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ended {
    /// The number of the end within this life of the worker, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub run: u64,
    /// How the run ended.
    pub end: End,
    /// The newest checkpoint; empty without one.
    pub checkpoint: SmolStr,
}

/// Orders the start of a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub run: u64,
    /// The payload.
    pub spec: String,
    /// The worker's lease ends at this time of its clock, in milliseconds.
    pub deadline: u64,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: SmolStr,
    /// The approval of the policy; empty for none.
    #[serde(rename = "ticket")]
    pub approval: SmolStr,
}

/// Enumerates the orders of the placer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Order {
    /// Extends the lease and lists what runs and what ended.
    #[serde(rename = "Look")]
    Poll {
        /// Ends up to this number are stored and may be forgotten.
        #[serde(rename = "seen")]
        acknowledged: u64,
        /// The worker's lease ends at this time of its clock, in milliseconds.
        deadline: Option<u64>,
        /// How long the answer may wait for an end, in milliseconds.
        wait: u64,
    },
    /// Starts a run.
    Start(Box<Start>),
    /// Stops a run, or bars it if it has not arrived yet.
    Stop {
        /// The task.
        task: TaskId,
        /// The number of the start.
        run: u64,
    },
    /// Sets the share at which a run works.
    Pace {
        /// The task.
        task: TaskId,
        /// The number of the start.
        run: u64,
        /// The share in percent.
        percent: u64,
    },
}

/// Carries an order to the sidecar of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// The epoch of the placer.
    pub epoch: u64,
    /// The life that the order is meant for; none is known before the first listing.
    pub boot: Option<Boot>,
    /// The order.
    pub order: Order,
}

/// Enumerates why a worker or its sidecar refuses an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// The worker has seen a higher epoch.
    Epoch,
    /// The run, or a higher one, ended there already.
    Old,
    /// The deadline has passed.
    Late,
    /// The task does not fit.
    Room,
    /// The approval is missing or no longer valid.
    Ticket,
    /// The worker is leaving.
    Draining,
    /// Another life of the worker answered, or none has announced itself.
    Boot,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The worker does not understand the order.
    Invalid,
}

/// Enumerates the answers to an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The order was carried out.
    Accepted,
    /// Lists what runs and what ended, with the newest heartbeat.
    Listed(Box<Announcement>, Box<Listing>),
    /// The order was not carried out.
    Refused(Refusal),
    /// The worker with this identifier has left; nothing runs on it any longer.
    Left(SmolStr),
    /// The worker listed something that cannot be read; says what.
    Unreadable(SmolStr),
    /// The worker did not answer; the order may take effect later.
    Silent,
}
