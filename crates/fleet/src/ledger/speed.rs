//! Estimates of worker speed, from the run times of the tasks that ended on them.
//!
//! Declared run times are off by a factor that the tasks of one step share. A task is
//! therefore compared with the tasks of its step that ended before it. What remains is
//! the slowness of the worker: the natural logarithm of its run time relative to that
//! of an average worker.

use super::Ledger;
use super::Run;
use super::TaskKey;
use smol_str::SmolStr;
use std::time::Duration;

/// The weight of the declared run time of a step, relative to one ended task.
const DECLARED_WEIGHT: f64 = 0.3;
/// The weight of the initial estimate, an average worker, in ended tasks.
const PRIOR_TASKS: f64 = 3.0;
/// The largest weight of past tasks, in ended tasks; the limit lets the estimate follow
/// a change of speed.
const MEMORY_TASKS: f64 = 12.0;
/// The largest residual of one task, as a logarithm; limits the effect of a task that
/// stalled for part of its run.
const MAX_RESIDUAL: f64 = 0.7;
/// The difference in slowness, as a logarithm, that makes workers rank differently.
const BUCKET: f64 = 0.12;

/// The estimated slowness of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Speed {
    /// The logarithm of the relative run time; 0 for an average worker.
    slowness: f64,
    /// The number of ended tasks behind the estimate, up to `MEMORY_TASKS`.
    tasks: f64,
}

impl Speed {
    /// Moves the estimate towards a task that took longer or shorter than expected.
    fn update(&mut self, residual: f64) {
        let residual = residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        self.tasks = (self.tasks + 1.0).min(MEMORY_TASKS);
        self.slowness += residual / (self.tasks + PRIOR_TASKS);
    }

    /// Returns the logarithm of the relative run time.
    pub(super) fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns the slowness in units of `BUCKET`; 0 for an average worker.
    pub(super) fn bucket(&self) -> i64 {
        (self.slowness / BUCKET).round() as i64
    }
}

/// How long the ended tasks of a step took, relative to their declared run time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bias {
    /// The sum of the logarithms, less the slowness of the workers.
    sum: f64,
    /// The number of ended tasks.
    tasks: f64,
}

impl Bias {
    fn mean(&self) -> f64 {
        self.sum / (self.tasks + DECLARED_WEIGHT)
    }
}

impl Ledger {
    /// Updates the estimates from a task that is done.
    ///
    /// Skips tasks whose run time says little about the worker: members of a gang,
    /// tasks away from their data, long-running, best-effort or resumed ones, and tasks that began
    /// on a cold worker.
    pub(super) fn update_speed(&mut self, id: &str, key: TaskKey, run: &Run, now: Duration) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&run.sidecar) else {
            return;
        };
        let step = entry.step(key);
        let alone = !step.gang || step.count == 1;
        let near = step.rack.is_empty() || step.rack == worker.rack;
        let comparable = alone && near && !step.long_running && !step.best_effort && !run.resumed;
        let took_ms = now.saturating_sub(run.phase_since).as_secs_f64() * 1_000.0;
        let began_cold = worker.is_cold(run.phase_since);
        if !comparable || began_cold || step.runtime == 0 || took_ms < 1.0 {
            return;
        }
        let log_ratio = (took_ms / step.runtime as f64).ln();
        let bias = entry.biases.entry((key.0, key.1)).or_default();
        let expected = bias.mean();
        bias.sum += log_ratio - worker.speed.slowness;
        bias.tasks += 1.0;
        worker
            .speed
            .update(log_ratio - expected - worker.speed.slowness);
    }

    /// Returns the mean slowness of the workers of a rack, in units of `BUCKET`.
    pub(super) fn rack_slowness(&self, rack: &SmolStr) -> i64 {
        let of_rack = self.workers.values().filter(|w| w.rack == *rack);
        let (sum, count) = of_rack.fold((0.0, 0.0), |(s, n), w| (s + w.speed.slowness, n + 1.0));
        if count == 0.0 {
            return 0;
        }
        (sum / count / BUCKET).round() as i64
    }
}
