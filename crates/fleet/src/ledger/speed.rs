//! How fast workers are, learned from the tasks that ended on them.
//!
//! Declared run times are off by a factor that the tasks of one step share, so a
//! task is compared with the tasks of its step that ended before it. What is
//! left is the slowness of the worker: the logarithm of the time that it takes,
//! against that of a mean worker.

use super::Ledger;
use super::Run;
use super::TaskKey;
use smol_str::SmolStr;
use std::time::Duration;

/// The weight of the declared run time against that of one ended task of the step.
const DECLARED_WEIGHT: f64 = 0.3;
/// The ended tasks that a worker's first estimate, an average one, weighs as much as.
const PRIOR_TASKS: f64 = 3.0;
/// The most ended tasks that an estimate remembers, so that it follows a change.
const MEMORY_TASKS: f64 = 12.0;
/// The largest step of an estimate, as a logarithm; a task may stand still for a while.
const MAX_RESIDUAL: f64 = 0.7;
/// The difference of two logarithms that counts as another speed.
const BUCKET: f64 = 0.12;

/// Holds how slow a worker is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Speed {
    slowness: f64,
    tasks: f64,
}

impl Speed {
    fn update(&mut self, residual: f64) {
        let residual = residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        self.tasks = (self.tasks + 1.0).min(MEMORY_TASKS);
        self.slowness += residual / (self.tasks + PRIOR_TASKS);
    }

    /// Returns how slow the worker is, in steps that make a difference; 0 for average.
    pub(super) fn bucket(&self) -> i64 {
        (self.slowness / BUCKET).round() as i64
    }
}

/// Holds how long the ended tasks of a step took against their declared run time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bias {
    sum: f64,
    tasks: f64,
}

impl Bias {
    fn mean(&self) -> f64 {
        self.sum / (self.tasks + DECLARED_WEIGHT)
    }
}

impl Ledger {
    /// Learns from a task that ran from its beginning to its end on one worker.
    pub(super) fn update_speed(&mut self, id: &str, key: TaskKey, run: &Run, now: Duration) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&run.node) else {
            return;
        };
        let step = entry.step(key);
        let alone = !step.gang || step.count == 1;
        let near = step.rack.is_empty() || step.rack == worker.rack;
        let comparable = alone && near && !step.long_running && !step.best_effort && !run.resumed;
        let took_ms = now.saturating_sub(run.phase_since).as_secs_f64() * 1_000.0;
        if !comparable || step.runtime == 0 || took_ms < 1.0 {
            return;
        }
        let ratio = (took_ms / step.runtime as f64).ln();
        let bias = entry.biases.entry((key.0, key.1)).or_default();
        let expected = bias.mean();
        bias.sum += ratio - worker.speed.slowness;
        bias.tasks += 1.0;
        worker
            .speed
            .update(ratio - expected - worker.speed.slowness);
    }

    /// Returns the mean slowness of the workers of a rack.
    pub(super) fn rack_slowness(&self, rack: &SmolStr) -> i64 {
        let of_rack = self.workers.values().filter(|w| w.rack == *rack);
        let (sum, count) = of_rack.fold((0.0, 0.0), |(s, n), w| (s + w.speed.slowness, n + 1.0));
        if count == 0.0 {
            return 0;
        }
        (sum / count / BUCKET).round() as i64
    }
}
