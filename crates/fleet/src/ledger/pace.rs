//! Throttling of best-effort tasks that raise the latency of serving tasks.

use super::Decision;
use super::Effect;
use super::Ledger;
use super::Phase;
use super::TaskKey;
use super::task_id;
use crate::worker::Order;
use smol_str::SmolStr;
use std::time::Duration;

/// The share of a latency limit, in percent, above which best-effort tasks slow down.
const SLOWDOWN_PERCENT: u64 = 85;
/// The share of a latency limit, in percent, below which best-effort tasks speed up.
const SPEEDUP_PERCENT: u64 = 60;
/// What a best-effort task gains per listing while the latency is low, in percent of its
/// full speed.
const PACE_INCREMENT_PERCENT: u64 = 10;
/// The least share of its full speed at which a best-effort task works, in percent; below
/// it the task is suspended.
const MIN_PACE_PERCENT: u64 = 8;

impl Ledger {
    /// Returns whether changes on a worker must be noticed soon, so that it is polled more
    /// often.
    pub(super) fn needs_frequent_polls(&self, sidecar: &str) -> bool {
        let draining = self
            .workers
            .get(sidecar)
            .and_then(|w| w.announced.as_ref())
            .is_some_and(|a| a.draining);
        draining
            || self.iter_runs_on(sidecar).any(|(id, key, run)| {
                let step = self.jobs[id].step(key);
                let pending = matches!(run.phase, Phase::Unconfirmed | Phase::Stopping);
                pending || run.on_trial || step.max_latency > 0 || step.best_effort
            })
    }

    /// Adjusts the pace of best-effort tasks to the worst latency on their worker.
    pub(super) fn adjust_pace(&mut self, sidecar: &SmolStr, _now: Duration) {
        let mut worst = None;
        let mut best_effort: Vec<(SmolStr, TaskKey)> = Vec::new();
        for (id, key, run) in self.iter_runs_on(sidecar) {
            if run.phase != Phase::Live {
                continue;
            }
            let step = self.jobs[id].step(key);
            if let Some(latency_percent) =
                run.load.saturating_mul(100).checked_div(step.max_latency)
            {
                worst = worst.max(Some(latency_percent));
            } else if step.best_effort {
                best_effort.push((id.clone(), key));
            }
        }
        let latency_percent = worst.unwrap_or(0);
        for (id, key) in best_effort {
            self.adjust_run_pace(&id, key, latency_percent);
        }
    }

    /// Halves, raises or keeps the pace of a run, depending on the worst latency in percent
    /// of its limit.
    fn adjust_run_pace(&mut self, id: &SmolStr, key: TaskKey, latency_percent: u64) {
        let run = self.jobs.get_mut(id).and_then(|e| e.runs.get_mut(&key));
        let Some(run) = run else {
            return;
        };
        let pace_percent = match latency_percent {
            r if r > SLOWDOWN_PERCENT && run.pace_percent / 2 < MIN_PACE_PERCENT => 0,
            r if r > SLOWDOWN_PERCENT => run.pace_percent / 2,
            r if r < SPEEDUP_PERCENT => (run.pace_percent + PACE_INCREMENT_PERCENT).min(100),
            _ => run.pace_percent,
        };
        if pace_percent == run.pace_percent {
            return;
        }
        let detail = format!(
            "task={key:?} worker={} latency={latency_percent}% from={} to={pace_percent}",
            run.sidecar, run.pace_percent
        );
        run.pace_percent = pace_percent;
        let effect = Effect::Send {
            sidecar: run.sidecar.clone(),
            boot: run.boot.clone(),
            order: Order::Pace {
                task: task_id(id, key),
                run: run.number,
                percent: pace_percent,
            },
        };
        self.effects.push(effect);
        self.note(Decision::Paced, id, "", detail);
    }
}
