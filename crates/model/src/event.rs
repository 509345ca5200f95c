//! The catalogue of numbered log events, and the record of one event.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::fmt;

macro_rules! events {
    ($($name:ident = $number:literal, $meaning:literal;)*) => {
        /// A numbered log event.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Event {
            $(#[doc = $meaning] $name,)*
        }

        impl Event {
            /// All events, in the order of the catalogue.
            pub const ALL: &'static [Event] = &[$(Event::$name),*];

            /// Returns the number of the event.
            pub const fn number(self) -> u16 {
                match self { $(Event::$name => $number,)* }
            }

            /// Returns the meaning of the event as one sentence.
            pub const fn meaning(self) -> &'static str {
                match self { $(Event::$name => $meaning,)* }
            }
        }
    };
}

events! {
    Started = 1001, "The process started and listens.";
    DrainBegan = 1002, "The process stopped accepting new work.";
    Stopped = 1003, "The process finished its work and stopped.";
    Reloaded = 1004, "The settings were read again.";
    LinesDropped = 1005, "Lines of one event were dropped by the rate limit.";
    MetricsUnserved = 1006, "The metrics address could not be bound.";
    ClientRefused = 1007, "A client's request was refused because a limit of the process was reached.";
    ClientClosed = 1008, "A client's connection was closed because it stalled or to make room for others.";
    BodyTooLarge = 1009, "A request was refused because its body exceeds the limit.";
    AcceptFailed = 1010, "A connection could not be accepted.";
    ClientLimits = 1011, "The limits for clients were derived from the settings.";
    PeerLimited = 1012, "A message or call of a peer was refused because of a limit.";
    MemberJoined = 1101, "A member was seen alive.";
    MemberSuspected = 1102, "A member stopped answering and is suspected.";
    MemberDied = 1103, "A member is considered dead.";
    MemberLeft = 1104, "A member announced that it is leaving.";
    UpstreamAnnounced = 1201, "An upstream announced itself to its sidecar.";
    UpstreamLeaving = 1202, "An upstream announced that it is leaving.";
    RequestForwarded = 1301, "A request was forwarded to an upstream.";
    RequestAnswered = 1302, "A caller received the whole answer to its request.";
    RequestNotRun = 1303, "A request ended without having been run.";
    RequestUnknown = 1304, "A request ended with an unknown outcome.";
    RequestRetried = 1305, "A request that was not run was offered to another upstream.";
    RequestRepeated = 1306, "A stored answer was returned again for an idempotency key.";
    ConfigAccepted = 1401, "A configuration generation was accepted.";
    ConfigApplied = 1402, "A configuration generation took effect in this process.";
    ConfigRefused = 1403, "A configuration was refused.";
    ConfigUnproven = 1404, "Callers are refused, as the process cannot prove that its configuration is in force.";
    ConfigProven = 1405, "Callers are served again, as the configuration is proven to be in force.";
    PlacerElected = 1501, "The process acquired the placer lease of its region.";
    PlacerLapsed = 1502, "The placer lease expired or was handed over.";
    JobAccepted = 1601, "A job was stored and acknowledged.";
    JobHolding = 1602, "Workers were asked to hold accelerators for the gang of a job.";
    JobStarted = 1603, "Every member of a gang was ordered to start.";
    JobFinished = 1604, "A job finished.";
    JobCancelled = 1605, "A job was cancelled.";
    JobPreempted = 1606, "A job was preempted in favour of a guarantee.";
    JobRequeued = 1607, "A job lost its gang and waits for a new one.";
    JobParked = 1608, "A job cannot run on the available hardware and is parked.";
    JobRefused = 1609, "A request about a job was refused.";
    JobPlaced = 1610, "Tasks were placed on workers; the placement is being stored.";
    RunEnded = 1611, "A worker reported the end of a run.";
    RunStopped = 1612, "A run was ordered to stop.";
    RunLost = 1613, "A run is over, but no worker reported how it ended.";
    RunAdopted = 1614, "A run with an unconfirmed start order was found on its worker.";
    StartFailed = 1615, "The start of a run was refused or not answered.";
    RunPaced = 1616, "A run was ordered to change its pace.";
    JobAnswered = 1617, "The owner was sent the state of a job.";
    PolicyAnswered = 1618, "A call to the policy of a queue was answered or failed.";
    JobGivenUp = 1619, "A job failed because workers crashed under one of its tasks.";
    WorkerSeen = 1701, "A worker reported to the placer.";
    WorkerLost = 1702, "A worker stopped reporting.";
    WorkerQuarantined = 1703, "A worker failed too many tasks and is quarantined.";
    WorkerDraining = 1704, "A worker is leaving and is assigned no more work.";
    BeatRefused = 1705, "A heartbeat could not be read, is outdated, or its sender is not the worker.";
    OrderRefused = 1706, "A sidecar or its worker refused an order, or did not answer it.";
    WorkerCrashed = 1707, "A worker has restarted without having left, while runs were on it.";
    StrayBlocked = 1708, "A start for a former life of a worker, which got no answer, was blocked in the present one.";
    WorkerHeld = 1709, "A worker may forget ends that nobody has seen; each run there is stopped until the worker has listed an end.";
    EndsKept = 1710, "A sidecar answers a poll with the last ends of a worker that drained and no longer answers.";
    EvacuationBegan = 1711, "The evacuation of a failure domain began: nothing more starts there.";
    EvacuationEnded = 1712, "The evacuation of a failure domain was cancelled.";
    EvacuationUnreadable = 1713, "A request to evacuate names no failure domain; it is ignored.";
    AllEvacuated = 1714, "All known failure domains are evacuated; nothing starts.";
    GuaranteeShort = 1715, "The failure domains that are not evacuated lack capacity for all guarantees, or have it again.";
    StartsPaused = 1716, "The placer starts nothing, as its knowledge of evacuations is missing or too old.";
    StartsResumed = 1717, "The placer knows the evacuations again and starts work.";
    EvacuationApplied = 1718, "A new set of evacuated failure domains took effect in this process.";
    RunTimesRead = 1719, "The placer read the run times that the last one had learned.";
    RunTimesIgnored = 1720, "The stored run times cannot be used; declared times are used until runs have ended.";
    RunTimesStored = 1721, "The placer stored the learned run times; the line names the most frequent kinds of tasks.";
    ProbeStopped = 1722, "A run on a worker on hold was stopped, so that its end shows whether the worker forgets ends.";
    WorkerReleased = 1723, "A worker on hold has listed an end; it forgets none and is used like the others.";
    EarlyStop = 1724, "A sidecar ordered the stop of a run, as its worker is about to leave.";
    StoreDown = 1801, "The key-value service stopped answering.";
    StoreBack = 1802, "The key-value service answers again.";
    MirrorReset = 1803, "The store no longer has the history needed; its content is read again.";
    StoreConflict = 1804, "A write found another revision than it expected.";
    WriteFailed = 1807, "A write of the placer failed and is retried.";
    RecordRefused = 1808, "The store does not take the record of a job; it is written apart from others.";
    PathLost = 1805, "Calls to the key-value service go through another gateway.";
    PathBack = 1806, "Calls to the key-value service go to it directly again.";
    PeerRefused = 1901, "A malformed or forged message was dropped.";
}

impl From<Event> for u16 {
    fn from(event: Event) -> Self {
        event.number()
    }
}

impl TryFrom<u16> for Event {
    type Error = String;

    fn try_from(number: u16) -> Result<Self, String> {
        Event::ALL
            .iter()
            .copied()
            .find(|event| event.number() == number)
            .ok_or_else(|| format!("no event {number}"))
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{}", self.number())
    }
}

/// One logged event of one process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The time on the clock of the process, in milliseconds since the Unix epoch.
    pub at: u64,
    /// The position among the events of the process, counted from 0.
    pub seq: u64,
    /// The name of the process.
    pub process: SmolStr,
    /// What happened.
    pub event: Event,
    /// The job, request, worker or member that the event is about.
    pub subject: SmolStr,
    /// The client account that the event is about; empty if there is none.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub account: SmolStr,
    /// Further details as text, such as `key=value` pairs.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub detail: SmolStr,
}
