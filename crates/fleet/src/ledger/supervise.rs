//! Periodic checks of runs: expired leases, stalls, and checkpoints to save.

use super::Entry;
use super::Ledger;
use super::Phase;
use super::Run;
use super::TaskKey;
use super::Worker;
use crate::job::Step;
use smol_str::SmolStr;
use std::time::Duration;

/// A run without progress for this long is stalled, unless its declared run time is long.
const MAX_STALL_TIMEOUT: Duration = Duration::from_millis(3_500);
/// The same as a share of a long declared run time, in thousandths. Runs report whole percents,
/// which take up to a tenth of the declared time each if a task runs ten times longer than declared.
const LONG_STALL_TIMEOUT_PERMILLE: u32 = 125;
/// A limit for declared run times without sense.
const LONGEST_STALL_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);
/// The most times that the stall timeout of a task is doubled.
const MAX_STALL_DOUBLINGS: u32 = 12;
/// The least time without progress that counts as a stall; a shorter time may just be
/// the interval between two status polls.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The share of its declared run time, in thousandths, within which a short run makes progress even on a worker
/// that is ten times slower than declared.
const STALL_TIMEOUT_PERMILLE: u32 = 200;
/// Time for a worker that has left to terminate; then its runs are given up.
const DEPARTURE_DELAY: Duration = Duration::from_millis(500);

impl Worker {
    /// Returns the identifier of the incarnation that has left, once it has had the time to
    /// terminate.
    pub(super) fn departure(&self, now: Duration) -> Option<&SmolStr> {
        let (id, at) = self.departed.as_ref()?;
        (now > *at + DEPARTURE_DELAY).then_some(id)
    }
}
/// How many later changes of other records are written before a record with new checkpoints
/// only. Starts wait for their records, checkpoints do not.
const CHECKPOINT_PLACES: u64 = 500;
/// How often new checkpoints are copied into the records.
const CHECKPOINT_SAVE_INTERVAL: Duration = Duration::from_secs(1);

impl Ledger {
    /// Gives up runs on workers that have left, or that are unresponsive after their last
    /// lease has expired.
    pub(super) fn expire_runs(&mut self, now: Duration) {
        self.record_departures(now);
        let takeover_end = self.takeover_lease_end();
        let mut departed: Vec<(SmolStr, TaskKey)> = Vec::new();
        let mut expired: Vec<(SmolStr, TaskKey)> = Vec::new();
        for (id, entry) in &self.jobs {
            for (key, run) in &entry.runs {
                let worker = self.workers.get(&run.sidecar);
                let left = worker.and_then(|w| w.departure(now));
                if left.is_some_and(|id| *id == run.boot.id) {
                    departed.push((id.clone(), *key));
                    continue;
                }
                let lease_end = worker.map_or(takeover_end, |w| w.lease_end.max(takeover_end));
                let unseen = worker
                    .and_then(|w| w.last_contact)
                    .is_none_or(|at| at < run.phase_since);
                let last_contact = worker.and_then(|w| w.last_contact).unwrap_or_default();
                let max_lease = self.max_lease(entry.step(*key).long_running);
                let unresponsive = now > last_contact + max_lease;
                if run.phase != Phase::Planned && now > lease_end && (unseen || unresponsive) {
                    expired.push((id.clone(), *key));
                }
            }
        }
        self.keep_expired_runs(&expired, now);
        for (id, key) in departed {
            self.mark_lost(&id, key, "the worker has left", now);
        }
        for (id, key) in expired {
            self.mark_lost(&id, key, "the lease of the worker has expired", now);
        }
    }

    /// Copies new checkpoints into the records, so that they survive the failure of any process.
    pub(super) fn save_checkpoints(&mut self, now: Duration) {
        if now < self.checkpoints_saved + CHECKPOINT_SAVE_INTERVAL {
            return;
        }
        self.checkpoints_saved = now;
        let mut unsaved = Vec::new();
        for (id, entry) in &self.jobs {
            for (key, run) in &entry.runs {
                let gang = entry.step(*key).gang;
                let index = if gang { 0 } else { key.2 };
                let saved = entry.record.progress(key.0, key.1, index);
                let is_saved = saved.is_some_and(|p| p.checkpoint == run.checkpoint);
                // The checkpoint of a gang is stored with its task 0, as listed for that task.
                let saves_checkpoint = !gang || key.2 == 0;
                if run.phase == Phase::Live
                    && !run.checkpoint.is_empty()
                    && !is_saved
                    && saves_checkpoint
                {
                    unsaved.push((id.clone(), *key, run.checkpoint.clone()));
                }
            }
        }
        for (id, key, checkpoint) in unsaved {
            self.store_checkpoint(&id, key, &checkpoint);
            self.mark_changed_behind(&id, CHECKPOINT_PLACES);
        }
    }

    /// Stops runs that make no progress, and quarantines their workers.
    ///
    /// The stall of a gang does not count against workers, as its members wait for each
    /// other.
    pub(super) fn stop_stalled(&mut self, now: Duration) {
        let mut stalled = Vec::new();
        for (id, entry) in &self.jobs {
            for (key, run) in &entry.runs {
                let step = entry.step(*key);
                let last_contact = self.workers.get(&run.sidecar).and_then(|w| w.last_contact);
                // No timeout is shorter. Most runs end the check here.
                if last_contact.is_none_or(|at| at <= run.progressed_at + MIN_STALL_TIMEOUT) {
                    continue;
                }
                let stalls = entry.stalls.get(key).copied().unwrap_or(0);
                // A task that stalls everywhere may just report its progress more seldom.
                let timeout =
                    self.stall_timeout(entry, *key, run) * (1 << stalls.min(MAX_STALL_DOUBLINGS));
                let is_stalled = last_contact.is_some_and(|at| at > run.progressed_at + timeout);
                let slowed = step.best_effort && run.pace_percent < 100;
                if run.phase == Phase::Live && run.percent < 100 && is_stalled && !slowed {
                    stalled.push((id.clone(), *key, run.sidecar.clone(), step.gang));
                }
            }
        }
        for (id, key, sidecar, gang) in stalled {
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.avoided.insert(sidecar.clone());
                *entry.stalls.entry(key).or_default() += 1;
            }
            if !gang {
                self.record_stall(&sidecar, now);
            }
            self.stop_run(&id, key, "the run makes no progress", now);
            if gang {
                self.stop_gang(&id, key, now);
            }
        }
    }
}

impl Ledger {
    /// Returns the time without progress after which a run is stalled.
    fn stall_timeout(&self, entry: &Entry, key: TaskKey, run: &Run) -> Duration {
        let learned = self.learned_stall_timeout(entry, key);
        let within = |t: Duration| t.clamp(MIN_STALL_TIMEOUT, LONGEST_STALL_TIMEOUT);
        learned.map_or_else(|| declared_stall_timeout(entry.step(key), run), within)
    }
}

/// Returns the time without progress after which a run is stalled, by its declared run time.
fn declared_stall_timeout(step: &Step, run: &Run) -> Duration {
    let share = |permille: u32| {
        let millis = step.runtime.saturating_mul(permille.into()) / 1_000;
        Duration::from_millis(millis).min(LONGEST_STALL_TIMEOUT)
    };
    let longest = MAX_STALL_TIMEOUT.max(share(LONG_STALL_TIMEOUT_PERMILLE));
    // Members of a gang wait for each other before they make progress.
    let waits = step.gang && run.percent == 0;
    if waits || step.runtime == 0 {
        return longest;
    }
    if step.long_running {
        return MAX_STALL_TIMEOUT;
    }
    share(STALL_TIMEOUT_PERMILLE).clamp(MIN_STALL_TIMEOUT, longest)
}
