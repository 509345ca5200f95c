//! Jobs as callers submit them.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The longest payload of a job, in bytes.
pub const MAX_SPEC_BYTES: usize = 4_000;
/// The most tasks of one step.
pub const MAX_STEP_TASKS: u32 = 10_000;
/// The most steps of one job.
pub const MAX_STEPS: usize = 1_000;

/// Describes a job of one or more steps.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// The identifier chosen by the caller.
    pub id: SmolStr,
    /// The queue that accepted the job.
    pub queue: SmolStr,
    /// The service whose workers run the job.
    pub service: SmolStr,
    /// The client account that owns the job; empty for a public queue.
    pub account: SmolStr,
    /// The priority; 0 comes first and may preempt others.
    pub priority: u32,
    /// The failed attempts of one task after which the job fails.
    pub attempts: u32,
    /// By when callers expect the job to end, if they do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective: Option<Objective>,
    /// Whether a policy decides which workers may run a step.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<Policy>,
    /// Milliseconds since the Unix epoch at acceptance.
    #[serde(rename = "accepted")]
    pub accepted_at: u64,
    /// The payload that each task receives.
    pub spec: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// When the steps run, if they run more than once or later.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// Describes how long the jobs of a queue may take.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Objective {
    /// The share of the longest chain of declared run times, in percent.
    #[serde(rename = "stretch")]
    pub stretch_percent: u64,
    /// Time on top of that, in milliseconds.
    #[serde(rename = "base")]
    pub base_ms: u64,
}

/// Describes a policy service that approves workers for a step.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Policy {
    /// The time that one decision takes, in milliseconds.
    pub decision_ms: u64,
    /// The time that each named worker adds, in milliseconds.
    #[serde(rename = "each_ms")]
    pub per_worker_ms: u64,
    /// How long an approval stands, in milliseconds.
    pub valid_ms: u64,
}

/// Describes the occurrences of a recurring job.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Milliseconds since the Unix epoch at which the first occurrence is due.
    pub start: u64,
    /// Milliseconds between two occurrences.
    pub interval: u64,
    /// The number of occurrences.
    pub count: u32,
}

/// Describes one step.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// Thousandths of a core that each task needs.
    pub cpu: u64,
    /// Megabytes of memory that each task needs.
    #[serde(skip_serializing_if = "is_zero")]
    pub memory: u64,
    /// Accelerators that each task needs.
    #[serde(skip_serializing_if = "is_zero")]
    pub gpus: u64,
    /// The declared run time of a task in milliseconds; a hint, never trusted.
    #[serde(skip_serializing_if = "is_zero")]
    pub runtime: u64,
    /// Earlier steps whose tasks must all be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks save checkpoints.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether the tasks work only together.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks slow down when they run on more than one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// A label that the worker must have; empty for none.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub label: SmolStr,
    /// The rack that holds the data; empty for none.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub rack: SmolStr,
    /// The most tasks of the step on one worker; 0 for no limit.
    #[serde(rename = "spread", skip_serializing_if = "is_zero")]
    pub max_per_worker: u64,
    /// Whether copies of a task may run in parallel.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting", skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// The most lasting tasks that the system may make unavailable at once.
    #[serde(rename = "disruptions", skip_serializing_if = "Option::is_none")]
    pub max_disruptions: Option<u64>,
    /// What the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub image: SmolStr,
    /// The bound on the tail latency that a serving task reports, in milliseconds; 0 for none.
    #[serde(rename = "latency", skip_serializing_if = "is_zero")]
    pub max_latency: u64,
    /// Whether the tasks only use processor time that others leave.
    #[serde(rename = "filler", skip_serializing_if = "is_false")]
    pub best_effort: bool,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !value
}

impl Job {
    /// Checks what no later stage could repair.
    ///
    /// # Errors
    ///
    /// Returns the path of the field and what is wrong with it.
    pub fn validate(&self) -> Result<(), String> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(format!("spec: longer than {MAX_SPEC_BYTES} bytes"));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(format!("steps: not 1 to {MAX_STEPS} steps"));
        }
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_STEP_TASKS {
                return Err(format!("steps[{i}].count: not 1 to {MAX_STEP_TASKS}"));
            }
            if step.after.iter().any(|a| *a as usize >= i) {
                return Err(format!(
                    "steps[{i}].after: names a step that is not earlier"
                ));
            }
        }
        Ok(())
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |s| s.count.max(1))
    }

    /// Returns when an occurrence is due, in milliseconds since the Unix epoch.
    pub fn due(&self, occurrence: u32) -> u64 {
        let schedule = self.schedule.unwrap_or_default();
        schedule.start + schedule.interval * u64::from(occurrence)
    }

    /// Returns when an occurrence should have ended, in milliseconds since the Unix
    /// epoch; never without an objective.
    pub fn deadline(&self, occurrence: u32) -> u64 {
        let Some(objective) = self.objective else {
            return u64::MAX;
        };
        let start = if self.schedule.is_some() {
            self.due(occurrence)
        } else {
            self.accepted_at
        };
        start + self.critical_path(0) * objective.stretch_percent / 100 + objective.base_ms
    }

    /// Returns the longest chain of declared run times that begins with a step or a
    /// later one that depends on it, in milliseconds; from step 0, of the whole job.
    pub fn critical_path(&self, from: usize) -> u64 {
        let mut ends = vec![0; self.steps.len()];
        let mut longest = 0;
        for (i, step) in self.steps.iter().enumerate().skip(from) {
            let ready = step.after.iter().map(|a| ends[*a as usize]).max();
            let follows = i == from || from == 0 || ready.is_some_and(|end| end > 0);
            if follows {
                ends[i] = ready.unwrap_or(0) + step.runtime.max(1);
                longest = longest.max(ends[i]);
            }
        }
        longest
    }

    /// Returns the accelerators of the widest step, which a guarantee must cover.
    pub fn accelerators(&self) -> u64 {
        let steps = self.steps.iter();
        steps
            .map(|s| s.gpus * u64::from(s.count))
            .max()
            .unwrap_or(0)
    }
}
