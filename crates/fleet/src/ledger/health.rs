//! Quarantine of workers on which runs fail or stall.

use super::Decision;
use super::Ledger;
use crate::worker::End;
use smol_str::SmolStr;
use std::time::Duration;

/// The failures of different jobs in a row after which a worker is quarantined.
const QUARANTINE_STREAK: u32 = 2;
/// The first quarantine; each further one is twice as long.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(3);
/// The longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(12);
/// How long a worker is assigned no work after it refused a start or did not answer it.
const REFUSAL_COOLDOWN: Duration = Duration::from_millis(300);

/// The recent failures of one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// Failures of different jobs since the last success.
    streak: u32,
    /// The job of the last failure.
    last_job: SmolStr,
    /// Quarantines since the last success.
    quarantines: u32,
    /// When the last quarantine ends.
    quarantined_until: Duration,
    /// The worker is assigned no work before this time.
    cooled_until: Duration,
}

impl Health {
    /// Returns whether the worker may be assigned work unless it is in quarantine.
    pub(super) fn is_usable(&self, now: Duration) -> bool {
        now >= self.cooled_until
    }

    /// Returns the number of quarantines since the last success if the worker is in one.
    pub(super) fn quarantines(&self, now: Duration) -> Option<u32> {
        (now < self.quarantined_until).then_some(self.quarantines)
    }

    /// Returns whether a run failed or stalled since the last success.
    pub(super) fn is_suspect(&self) -> bool {
        self.streak > 0
    }

    /// Assigns the worker no work for `REFUSAL_COOLDOWN`.
    pub(super) fn cool_down(&mut self, now: Duration) {
        self.cooled_until = self.cooled_until.max(now + REFUSAL_COOLDOWN);
    }

    /// Counts a failure, unless the last one was of the same job; returns the quarantine
    /// that follows from it.
    fn record_failure(&mut self, job: &SmolStr, now: Duration) -> Option<Duration> {
        if self.last_job == *job {
            return None;
        }
        self.last_job = job.clone();
        self.streak += 1;
        if self.streak < QUARANTINE_STREAK {
            return None;
        }
        let quarantine = (INITIAL_QUARANTINE * (1 << self.quarantines.min(3))).min(MAX_QUARANTINE);
        self.quarantines += 1;
        self.quarantined_until = self.quarantined_until.max(now + quarantine);
        Some(quarantine)
    }

    fn record_success(&mut self) {
        self.streak = 0;
        self.quarantines = 0;
        self.last_job = SmolStr::default();
    }
}

impl Ledger {
    /// Updates the health of a worker after a run on it has ended.
    pub(super) fn record_health(
        &mut self,
        sidecar: &SmolStr,
        job: &SmolStr,
        end: End,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(sidecar) else {
            return;
        };
        let quarantine = match end {
            End::Done => {
                worker.health.record_success();
                None
            }
            End::Failed => worker.health.record_failure(job, now),
            _ => None,
        };
        self.note_quarantine(sidecar, quarantine);
    }

    /// Quarantines a worker on which a run has stalled; a single stall suffices.
    pub(super) fn record_stall(&mut self, sidecar: &SmolStr, now: Duration) {
        let Some(worker) = self.workers.get_mut(sidecar) else {
            return;
        };
        worker.health.streak = worker.health.streak.max(QUARANTINE_STREAK - 1);
        worker.health.last_job = SmolStr::default();
        // With this placeholder for the job, the stall and any later failure are counted,
        // whichever job they belong to.
        let quarantine = worker
            .health
            .record_failure(&SmolStr::new_static("standstill"), now);
        self.note_quarantine(sidecar, quarantine);
    }

    fn note_quarantine(&mut self, sidecar: &SmolStr, quarantine: Option<Duration>) {
        if let Some(quarantine) = quarantine {
            self.note(
                Decision::Quarantined,
                sidecar,
                "",
                format!("for={quarantine:?}"),
            );
        }
    }
}
