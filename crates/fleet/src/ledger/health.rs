//! Workers that fail what they start.

use super::Decision;
use super::Ledger;
use crate::worker::End;
use smol_str::SmolStr;
use std::time::Duration;

/// Failures of different jobs in a row that take a worker out.
const STREAK: u32 = 2;
/// The first time out; it doubles with each further one.
const TIME_OUT: Duration = Duration::from_secs(3);
/// The longest time out.
const MAX_TIME_OUT: Duration = Duration::from_secs(12);
/// The pause after a worker refused a start or did not answer it.
const PAUSE: Duration = Duration::from_millis(300);

/// Holds the evidence about one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    streak: u32,
    last: SmolStr,
    outs: u32,
    until: Duration,
}

impl Health {
    /// Tells whether the worker may get work.
    pub(super) fn is_sound(&self, now: Duration) -> bool {
        now >= self.until
    }

    /// Tells whether the last run failed.
    pub(super) fn is_suspect(&self) -> bool {
        self.streak > 0
    }

    /// Takes the worker out for a moment.
    pub(super) fn pause(&mut self, now: Duration) {
        self.until = self.until.max(now + PAUSE);
    }

    /// Counts a failure; returns the time out that follows from it.
    fn fail(&mut self, job: &SmolStr, now: Duration) -> Option<Duration> {
        if self.last == *job {
            return None;
        }
        self.last = job.clone();
        self.streak += 1;
        if self.streak < STREAK {
            return None;
        }
        let out = (TIME_OUT * (1 << self.outs.min(3))).min(MAX_TIME_OUT);
        self.outs += 1;
        self.until = self.until.max(now + out);
        Some(out)
    }

    fn succeed(&mut self) {
        self.streak = 0;
        self.outs = 0;
        self.last = SmolStr::default();
    }
}

impl Ledger {
    /// Judges a worker by how a run on it ended.
    pub(super) fn judge(&mut self, node: &SmolStr, job: &SmolStr, end: End, now: Duration) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        let out = match end {
            End::Done => {
                worker.health.succeed();
                None
            }
            End::Failed => worker.health.fail(job, now),
            _ => None,
        };
        self.note_out(node, out);
    }

    /// Judges a worker on which a run stands still.
    pub(super) fn blame_standstill(&mut self, node: &SmolStr, now: Duration) {
        let Some(worker) = self.workers.get_mut(node) else {
            return;
        };
        worker.health.streak = worker.health.streak.max(STREAK - 1);
        worker.health.last = SmolStr::default();
        let out = worker.health.fail(&SmolStr::new_static("standstill"), now);
        self.note_out(node, out);
    }

    fn note_out(&mut self, node: &SmolStr, out: Option<Duration>) {
        if let Some(out) = out {
            self.note(Decision::Quarantined, node, "", format!("for={out:?}"));
        }
    }
}
