//! Workers that fail what they start.

use super::Decision;
use super::Ledger;
use crate::worker::End;
use smol_str::SmolStr;
use std::time::Duration;

/// Failures of different jobs in a row that take a worker out.
const QUARANTINE_STREAK: u32 = 2;
/// The first time out; it doubles with each further one.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(3);
/// The longest time out.
const MAX_QUARANTINE: Duration = Duration::from_secs(12);
/// The pause after a worker refused a start or did not answer it.
const REFUSAL_COOLDOWN: Duration = Duration::from_millis(300);

/// Holds the evidence about one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    streak: u32,
    last_job: SmolStr,
    quarantines: u32,
    blocked_until: Duration,
}

impl Health {
    /// Tells whether the worker may get work.
    pub(super) fn is_usable(&self, now: Duration) -> bool {
        now >= self.blocked_until
    }

    /// Tells whether the last run failed.
    pub(super) fn is_suspect(&self) -> bool {
        self.streak > 0
    }

    /// Takes the worker out for a moment.
    pub(super) fn cool_down(&mut self, now: Duration) {
        self.blocked_until = self.blocked_until.max(now + REFUSAL_COOLDOWN);
    }

    /// Counts a failure; returns the time out that follows from it.
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
        self.blocked_until = self.blocked_until.max(now + quarantine);
        Some(quarantine)
    }

    fn record_success(&mut self) {
        self.streak = 0;
        self.quarantines = 0;
        self.last_job = SmolStr::default();
    }
}

impl Ledger {
    /// Judges a worker by how a run on it ended.
    pub(super) fn record_health(&mut self, node: &SmolStr, job: &SmolStr, end: End, now: Duration) {
        let Some(worker) = self.workers.get_mut(node) else {
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
        self.note_quarantine(node, quarantine);
    }

    /// Judges a worker on which a run stands still.
    pub(super) fn record_stall(&mut self, node: &SmolStr, now: Duration) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        worker.health.streak = worker.health.streak.max(QUARANTINE_STREAK - 1);
        worker.health.last_job = SmolStr::default();
        let quarantine = worker
            .health
            .record_failure(&SmolStr::new_static("stalled"), now);
        self.note_quarantine(node, quarantine);
    }

    fn note_quarantine(&mut self, node: &SmolStr, quarantine: Option<Duration>) {
        if let Some(quarantine) = quarantine {
            self.note(
                Decision::Quarantined,
                node,
                "",
                format!("for={quarantine:?}"),
            );
        }
    }
}
