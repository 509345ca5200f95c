//! Jobs as submitted, stored and reported.

use hibiscusbarrow_placement::Shape;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Describes a gang job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The unique name, which also identifies the job.
    pub name: SmolStr,
    /// The client account that the job runs under.
    pub account: SmolStr,
    /// The cell of adjacent accelerators that each member needs.
    pub shape: Shape,
    /// The number of members.
    #[serde(default = "one")]
    pub count: u32,
    /// The declared run time in milliseconds; a hint, never trusted.
    #[serde(default)]
    pub runtime_ms: u64,
    /// Whether the job must start ahead of all others of its account.
    #[serde(default)]
    pub urgent: bool,
    /// Whether the job may safely run again after a loss that leaves doubt.
    #[serde(default)]
    pub idempotent: bool,
}

fn one() -> u32 {
    1
}

impl JobSpec {
    /// Returns the number of accelerators of the whole gang.
    pub fn accelerators(&self) -> u32 {
        self.shape.accelerators().saturating_mul(self.count)
    }
}

/// Enumerates the states that the store remembers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Accepted and waiting or running.
    #[default]
    Accepted,
    /// Ran to its end.
    Done,
    /// Cancelled by its owner.
    Cancelled,
}

/// Holds a job as the store keeps it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// The job as submitted.
    pub spec: JobSpec,
    /// The remembered state.
    pub phase: Phase,
    /// Milliseconds since the Unix epoch at acceptance.
    pub accepted: u64,
    /// Milliseconds since the Unix epoch at the end; 0 before.
    #[serde(default)]
    pub ended: u64,
    /// How many times a gang was started.
    #[serde(default)]
    pub attempts: u32,
    /// The workers of the newest gang.
    #[serde(default)]
    pub workers: Vec<SmolStr>,
}

/// Reports a job to its owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobView {
    /// The job as submitted.
    pub spec: JobSpec,
    /// The state in words: `waiting`, `holding`, `running`, `done`, `cancelled` or `parked`.
    pub state: SmolStr,
    /// Why the job waits, if it does.
    pub reason: SmolStr,
    /// Whether it runs under its account's guarantee.
    pub guaranteed: bool,
    /// The workers that hold its gang.
    pub workers: Vec<SmolStr>,
}
