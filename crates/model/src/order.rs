//! Messages between a placer and a worker.

use crate::code::Code;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// A batch of orders from a placer to one worker, all under one fencing epoch.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OrderBatch {
    /// The fencing epoch of the placer.
    pub epoch: u64,
    /// The orders, in the sequence in which the worker executes them.
    pub orders: Vec<Order>,
}

/// An instruction from a placer to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase", tag = "op")]
pub enum Order {
    /// Reserves accelerators for a gang, or extends the reservation.
    Hold {
        /// The gang.
        gang: SmolStr,
        /// The sequence number of the hold; only a number above the current one extends the
        /// reservation.
        seq: u64,
        /// Indices of the accelerators on the worker.
        accelerators: Vec<u16>,
        /// The lifetime of the hold from its receipt by the worker, in milliseconds.
        ttl_ms: u64,
    },
    /// Starts a gang's member on the worker, or extends its run.
    Run {
        /// The gang.
        gang: SmolStr,
        /// The sequence number of the hold under which the member runs.
        seq: u64,
        /// How long the member may run after the worker received that hold, in milliseconds.
        until_ms: u64,
        /// The duration of the task, in milliseconds; used only by the stand-in for a worker.
        work_ms: u64,
    },
    /// Checkpoints and stops the member; its accelerators stay reserved.
    Stop {
        /// The gang.
        gang: SmolStr,
    },
    /// Stops the member and releases its accelerators.
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

/// The answer to an [`OrderBatch`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OrderReply {
    /// One result for each order, in the sequence of the orders.
    pub results: Vec<OrderResult>,
    /// The state of the worker after it executed the orders.
    pub report: WorkerReport,
}

/// The result of one order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderResult {
    /// The gang of the order.
    pub gang: SmolStr,
    /// [`Code::Done`], or the reason for which the order was refused.
    pub code: Code,
}

/// The hardware of a worker and the gangs on it, as the worker reports them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkerReport {
    /// The name of the worker.
    pub worker: SmolStr,
    /// The incarnation of the worker, which changes with each restart.
    pub incarnation: u64,
    /// The rack of the worker.
    pub rack: SmolStr,
    /// The failure domain of the worker.
    pub domain: SmolStr,
    /// The number of accelerators.
    pub accelerators: u16,
    /// The highest fencing epoch received; orders with a lower epoch are refused.
    pub epoch: u64,
    /// Every gang that has a hold or a member on the worker.
    pub gangs: Vec<GangReport>,
}

/// The state of a gang's member on a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Its accelerators are reserved and its task has not started.
    Held,
    /// The task is running.
    Running,
    /// The task succeeded; the accelerators stay reserved.
    Done,
    /// The task failed; the accelerators stay reserved.
    Failed,
    /// The member was stopped by an order, or because its hold was not renewed.
    Stopped,
}

/// One gang's member on a worker, as the worker reports it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GangReport {
    /// The gang.
    pub gang: SmolStr,
    /// The sequence number of the current hold.
    pub seq: u64,
    /// Indices of the accelerators on the worker.
    pub accelerators: Vec<u16>,
    /// The state of the member.
    pub state: MemberState,
}
