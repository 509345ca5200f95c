//! Messages between a placer and a worker.

use crate::code::Code;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Carries orders for one worker under one epoch.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OrderBatch {
    /// The fencing epoch of the placer.
    pub epoch: u64,
    /// The orders, carried out in sequence.
    pub orders: Vec<Order>,
}

/// Enumerates what a placer can ask of a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase", tag = "op")]
pub enum Order {
    /// Reserves accelerators for a gang or extends the reservation.
    Hold {
        /// The gang.
        gang: SmolStr,
        /// The sequence number of the hold; only a higher one counts anew.
        seq: u64,
        /// Indices of the accelerators on the worker.
        accelerators: Vec<u16>,
        /// How long the hold lasts from its reception, in milliseconds.
        ttl_ms: u64,
    },
    /// Starts or extends the run of a gang's member.
    Run {
        /// The gang.
        gang: SmolStr,
        /// The hold that the run is bound to.
        seq: u64,
        /// How long after reception of that hold the member may run, in milliseconds.
        until_ms: u64,
        /// How long the task takes, in milliseconds; known to the stand-in only.
        work_ms: u64,
    },
    /// Checkpoints and stops the member; its accelerators stay held.
    Stop {
        /// The gang.
        gang: SmolStr,
    },
    /// Stops the member and gives its accelerators up.
    Release {
        /// The gang.
        gang: SmolStr,
    },
}

impl Order {
    /// Returns the gang that the order concerns.
    pub fn gang(&self) -> &SmolStr {
        match self {
            Order::Hold { gang, .. } | Order::Run { gang, .. } => gang,
            Order::Stop { gang } | Order::Release { gang } => gang,
        }
    }
}

/// Answers an [`OrderBatch`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OrderReply {
    /// One result for each order, in sequence.
    pub results: Vec<OrderResult>,
    /// The state of the worker after the orders.
    pub report: WorkerReport,
}

/// Tells how one order ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderResult {
    /// The gang of the order.
    pub gang: SmolStr,
    /// The result.
    pub code: Code,
}

/// Reports what a worker has and holds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkerReport {
    /// The name of the worker.
    pub worker: SmolStr,
    /// Distinguishes the lives of a worker of one name.
    pub incarnation: u64,
    /// The rack.
    pub rack: SmolStr,
    /// The failure domain.
    pub domain: SmolStr,
    /// The number of accelerators.
    pub accelerators: u16,
    /// The highest epoch seen; orders under a lower one are refused.
    pub epoch: u64,
    /// Every gang that the worker knows.
    pub gangs: Vec<GangReport>,
}

/// Enumerates the states of a gang's member on a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Accelerators are reserved and nothing runs.
    Held,
    /// The task runs.
    Running,
    /// The task ended well; the accelerators stay held.
    Done,
    /// The task failed; the accelerators stay held.
    Failed,
    /// The member was stopped by an order or for lack of renewal.
    Stopped,
}

/// Reports one gang's member on a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GangReport {
    /// The gang.
    pub gang: SmolStr,
    /// The sequence number of the hold in force.
    pub seq: u64,
    /// Indices of the accelerators on the worker.
    pub accelerators: Vec<u16>,
    /// The state.
    pub state: MemberState,
}
