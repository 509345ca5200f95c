//! Jobs as callers submit them: steps of tasks, their needs, and their schedule.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The largest payload of a job, in bytes.
pub const MAX_SPEC_BYTES: usize = 4_000;
/// The most tasks of one step.
pub const MAX_STEP_TASKS: u32 = 10_000;
/// The most steps of one job.
pub const MAX_STEPS: usize = 1_000;
/// The most tasks of all steps of one job together. A store that holds values of up to 1 MiB
/// cannot hold the progress of more.
pub const MAX_JOB_TASKS: u64 = 30_000;

/// A job of one or more steps, each with one or more tasks.
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
    /// The number of failures of one task after which the job fails.
    pub attempts: u32,
    /// How long the job may take, if its callers have an expectation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective: Option<Objective>,
    /// The policy that approves workers for steps, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<Policy>,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    #[serde(rename = "accepted")]
    pub accepted_at: u64,
    /// The payload that each task receives; the scheduler does not read it.
    pub spec: String,
    /// The steps; a step may depend on earlier ones only.
    pub steps: Vec<Step>,
    /// The occurrences of a recurring or delayed job; none to run once, at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// How long the jobs of a queue may take: a share of the critical path plus a constant.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Objective {
    /// The share of the critical path of declared run times, in percent.
    #[serde(rename = "stretch")]
    pub stretch_percent: u64,
    /// The constant part, in milliseconds.
    #[serde(rename = "base")]
    pub base_ms: u64,
}

/// A policy service that approves workers for a step.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Policy {
    /// The time that one decision takes, in milliseconds.
    pub decision_ms: u64,
    /// The time that each worker in a request adds, in milliseconds.
    #[serde(rename = "each_ms")]
    pub per_worker_ms: u64,
    /// How long an approval is valid, in milliseconds.
    pub valid_ms: u64,
}

/// The occurrences of a recurring job.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    pub start: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval: u64,
    /// The number of occurrences; 0 counts as 1.
    pub count: u32,
}

/// A step: tasks that are alike, and what they need.
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
    /// The declared run time of a task, in milliseconds; 0 if unknown. A hint
    /// only: it may be far off.
    #[serde(skip_serializing_if = "is_zero")]
    pub runtime: u64,
    /// The earlier steps whose tasks must all be done first, by position.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks save checkpoints from which they can resume.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether the tasks form a gang, which runs only as a whole.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks of a gang slow down if they run on more than one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// A label that the worker must have; empty for none.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub label: SmolStr,
    /// The rack that has the tasks' data; empty for none.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub rack: SmolStr,
    /// The most tasks of the step on one worker; 0 for no limit.
    #[serde(rename = "spread", skip_serializing_if = "is_zero")]
    pub max_per_worker: u64,
    /// Whether several copies of a task may run in parallel.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting", skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// The most long-running tasks that the system may make unavailable at once.
    #[serde(rename = "disruptions", skip_serializing_if = "Option::is_none")]
    pub max_disruptions: Option<u64>,
    /// The image that the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub image: SmolStr,
    /// The limit on the tail latency that a serving task reports, in milliseconds; 0 for
    /// none.
    #[serde(rename = "latency", skip_serializing_if = "is_zero")]
    pub max_latency: u64,
    /// Whether the tasks use only processor time that other tasks leave.
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
    /// Checks the limits and dependencies that the scheduler relies on.
    ///
    /// # Errors
    ///
    /// Returns the path of the invalid field and what is wrong with it.
    pub fn validate(&self) -> Result<(), String> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(format!("spec: longer than {MAX_SPEC_BYTES} bytes"));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(format!("steps: must have 1 to {MAX_STEPS} steps"));
        }
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_STEP_TASKS {
                return Err(format!("steps[{i}].count: must be 1 to {MAX_STEP_TASKS}"));
            }
            if step.after.iter().any(|a| *a as usize >= i) {
                return Err(format!("steps[{i}].after: must name earlier steps only"));
            }
        }
        let tasks = self.tasks();
        if tasks > MAX_JOB_TASKS {
            return Err(format!(
                "steps: have {tasks} tasks together, must have at most {MAX_JOB_TASKS}"
            ));
        }
        Ok(())
    }

    /// Returns the number of tasks of one occurrence.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|s| u64::from(s.count)).sum()
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |s| s.count.max(1))
    }

    /// Returns when an occurrence is due, in milliseconds since the Unix epoch.
    pub fn due(&self, occurrence: u32) -> u64 {
        let schedule = self.schedule.unwrap_or_default();
        let offset = schedule.interval.saturating_mul(u64::from(occurrence));
        schedule.start.saturating_add(offset)
    }

    /// Returns when an occurrence should have ended, in milliseconds since the Unix
    /// epoch; `u64::MAX` without an objective.
    pub fn deadline(&self, occurrence: u32) -> u64 {
        let Some(objective) = self.objective else {
            return u64::MAX;
        };
        let start = if self.schedule.is_some() {
            self.due(occurrence)
        } else {
            self.accepted_at
        };
        let path = self.critical_path(0);
        let stretched = path.saturating_mul(objective.stretch_percent) / 100;
        start
            .saturating_add(stretched)
            .saturating_add(objective.base_ms)
    }

    /// Returns the length of the critical path from a step on, in milliseconds: the
    /// longest chain of declared run times that starts with the step. From step 0 it
    /// covers the whole job.
    pub fn critical_path(&self, from: usize) -> u64 {
        let mut ends = vec![0_u64; self.steps.len()];
        let mut longest = 0;
        for (i, step) in self.steps.iter().enumerate().skip(from) {
            let ready = step.after.iter().map(|a| ends[*a as usize]).max();
            let follows = i == from || from == 0 || ready.is_some_and(|end| end > 0);
            if follows {
                ends[i] = ready.unwrap_or(0).saturating_add(step.runtime.max(1));
                longest = longest.max(ends[i]);
            }
        }
        longest
    }

    /// Returns the accelerators of the largest step, which count towards a guarantee.
    pub fn accelerators(&self) -> u64 {
        let steps = self.steps.iter();
        steps
            .map(|s| s.gpus.saturating_mul(u64::from(s.count)))
            .max()
            .unwrap_or(0)
    }
}
