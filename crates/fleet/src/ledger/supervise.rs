//! Ending runs that are gone, stopping those that stand still, saving what they did.

use super::Ledger;
use super::Phase;
use super::Run;
use super::TaskKey;
use crate::job::Step;
use smol_str::SmolStr;
use std::time::Duration;

/// A run without progress for this long stands still, whatever it does.
const MAX_STALL_TIMEOUT: Duration = Duration::from_millis(3_500);
/// A run without progress for less than this may just be between two looks.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The part of its declared run time, in percent, in which a run makes some progress
/// even on a worker that is ten times too slow.
const STALL_TIMEOUT_PERCENT: u32 = 20;
/// Time for a worker that has left to end.
const DEPARTURE_DELAY: Duration = Duration::from_millis(500);
/// The pause between two writes of new checkpoints.
const CHECKPOINT_SAVE_INTERVAL: Duration = Duration::from_secs(1);

impl Ledger {
    /// Ends runs on workers that are silent beyond the last lease.
    pub(super) fn expire_runs(&mut self, now: Duration) {
        let begun = self.takeover_lease_end();
        let mut lapsed: Vec<(SmolStr, TaskKey)> = Vec::new();
        for (id, entry) in &self.jobs {
            for (key, run) in &entry.runs {
                let worker = self.workers.get(&run.node);
                let left = worker.and_then(|w| w.departed.as_ref());
                let ended = left.filter(|(id, _)| *id == run.boot.id);
                if ended.is_some_and(|(_, at)| now > *at + DEPARTURE_DELAY) {
                    lapsed.push((id.clone(), *key));
                    continue;
                }
                let horizon = worker.map_or(begun, |w| w.lease_end.max(begun));
                let silent = worker
                    .and_then(|w| w.last_contact)
                    .is_none_or(|at| at < run.phase_since);
                let heard = worker.and_then(|w| w.last_contact).unwrap_or_default();
                let quiet = now > heard + self.bounds.max_lease;
                if run.phase != Phase::Planned && now > horizon && (silent || quiet) {
                    lapsed.push((id.clone(), *key));
                }
            }
        }
        for (id, key) in lapsed {
            self.mark_lost(&id, key, "the worker has left or its lease has lapsed", now);
        }
    }

    /// Takes new checkpoints into the records, so that they outlive every process.
    pub(super) fn save_checkpoints(&mut self, now: Duration) {
        if now < self.checkpoints_saved + CHECKPOINT_SAVE_INTERVAL {
            return;
        }
        self.checkpoints_saved = now;
        let mut fresh = Vec::new();
        for (id, entry) in &self.jobs {
            for (key, run) in &entry.runs {
                let gang = entry.step(*key).gang;
                let index = if gang { 0 } else { key.2 };
                let held = entry.record.progress(key.0, key.1, index);
                let known = held.is_some_and(|p| p.checkpoint == run.checkpoint);
                let speaks = !gang || key.2 == 0;
                if run.phase == Phase::Live && !run.checkpoint.is_empty() && !known && speaks {
                    fresh.push((id.clone(), *key, run.checkpoint.clone()));
                }
            }
        }
        for (id, key, checkpoint) in fresh {
            self.store_checkpoint(&id, key, &checkpoint);
            self.mark_changed(&id);
        }
    }

    /// Stops runs that make no progress, and leaves their workers out for a while.
    pub(super) fn stop_stalled(&mut self, now: Duration) {
        let mut stuck = Vec::new();
        for (id, entry) in &self.jobs {
            for (key, run) in &entry.runs {
                let step = entry.step(*key);
                let heard = self.workers.get(&run.node).and_then(|w| w.last_contact);
                let fresh =
                    heard.is_some_and(|at| at > run.progressed_at + stall_timeout(step, run));
                let paced = step.best_effort && run.pace_percent < 100;
                if run.phase == Phase::Live && run.percent < 100 && fresh && !paced {
                    stuck.push((id.clone(), *key, run.node.clone(), step.gang));
                }
            }
        }
        for (id, key, node, gang) in stuck {
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.avoided.insert(node.clone());
            }
            if !gang {
                self.record_stall(&node, now);
            }
            self.stop_run(&id, key, "the run stands still", now);
            if gang {
                self.stop_gang(&id, key, now);
            }
        }
    }
}

/// Returns the time without progress after which a run stands still.
fn stall_timeout(step: &Step, run: &Run) -> Duration {
    // Members of a gang wait for each other before they make progress.
    let waits = step.gang && run.percent == 0;
    if waits || step.long_running || step.runtime == 0 {
        return MAX_STALL_TIMEOUT;
    }
    let declared = Duration::from_millis(step.runtime);
    (declared * STALL_TIMEOUT_PERCENT / 100).clamp(MIN_STALL_TIMEOUT, MAX_STALL_TIMEOUT)
}
