//! Gang jobs: the specification, the stored record and the reported status.

use hibiscusbarrow_placement::Shape;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// A gang job as submitted: `count` members that start and stop together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The unique name, which identifies the job.
    pub name: SmolStr,
    /// The client account under which the job runs.
    pub account: SmolStr,
    /// The block of adjacent accelerators that each member needs.
    pub shape: Shape,
    /// The number of members.
    #[serde(default = "one")]
    pub count: u32,
    /// The declared run time, in milliseconds; a hint that is not relied on.
    #[serde(default)]
    pub runtime_ms: u64,
    /// Whether the job must start before all other jobs of its account.
    #[serde(default)]
    pub urgent: bool,
    /// Whether the job may run again if it is unknown whether it ran to its end.
    #[serde(default)]
    pub idempotent: bool,
}

fn one() -> u32 {
    1
}

impl JobSpec {
    /// Returns the number of accelerators that the whole gang needs.
    pub fn accelerators(&self) -> u32 {
        self.shape.accelerators().saturating_mul(self.count)
    }
}

/// The stored state of a job.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Accepted and waiting or running.
    #[default]
    Accepted,
    /// Run to its end.
    Done,
    /// Cancelled by its owner.
    Cancelled,
}

/// A job as stored in the key-value service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// The job as submitted.
    pub spec: JobSpec,
    /// The stored state.
    pub phase: Phase,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub accepted: u64,
    /// When the job ended, in milliseconds since the Unix epoch; 0 before.
    #[serde(default)]
    pub ended: u64,
    /// The number of gangs started for the job.
    #[serde(default)]
    pub attempts: u32,
    /// The workers of the newest gang.
    #[serde(default)]
    pub workers: Vec<SmolStr>,
}

/// The status of a job, as its owner queries it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobView {
    /// The job as submitted.
    pub spec: JobSpec,
    /// `waiting`, `holding`, `running`, `done`, `cancelled` or `parked`.
    pub state: SmolStr,
    /// Why the job is waiting; empty if it is not.
    pub reason: SmolStr,
    /// Whether the job runs under its account's guarantee.
    pub guaranteed: bool,
    /// The workers on which the gang has reserved accelerators.
    pub workers: Vec<SmolStr>,
}
