//! A limit on the share of time that a repeated task takes from its process.

use std::time::Duration;

/// Lets a task run for at most half of the time, however long one run takes.
///
/// After each run the task pauses for as long as the run took. Short runs are hardly delayed;
/// long ones leave the process as much time for everything else.
#[derive(Clone, Copy, Debug, Default)]
pub struct DutyCycle {
    resume_at: Duration,
}

impl DutyCycle {
    /// Returns whether the task may run.
    pub fn may_run(&self, now: Duration) -> bool {
        now >= self.resume_at
    }

    /// Returns the time until the task may run.
    pub fn pause(&self, now: Duration) -> Duration {
        self.resume_at.saturating_sub(now)
    }

    /// Records a run of the task.
    pub fn record(&mut self, began: Duration, ended: Duration) {
        self.resume_at = ended + ended.saturating_sub(began);
    }
}
