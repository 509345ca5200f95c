//! Planned stops that wait for work in flight.

use std::time::Duration;

/// The work in flight of a process, and the deadline of its drain.
///
/// Once a drain has begun, new work is refused.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    running: usize,
    deadline: Option<Duration>,
}

impl Drain {
    /// Admits one unit of work unless the drain has begun; returns whether it was admitted.
    pub fn enter(&mut self) -> bool {
        if self.is_draining() {
            return false;
        }
        self.running += 1;
        true
    }

    /// Records that one unit of work has ended.
    ///
    /// # Panics
    ///
    /// Panics if nothing is in flight.
    pub fn leave(&mut self) {
        assert!(self.running > 0, "nothing is in flight");
        self.running -= 1;
    }

    /// Begins the drain, which ends `limit` from now at the latest.
    ///
    /// A later call does not change the deadline.
    pub fn begin(&mut self, now: Duration, limit: Duration) {
        self.deadline.get_or_insert(now + limit);
    }

    /// Returns whether the drain has begun, so that new work is refused.
    pub fn is_draining(&self) -> bool {
        self.deadline.is_some()
    }

    /// Returns the number of units of work in flight.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns whether the process may stop: the drain has begun, and no work is in flight or
    /// the deadline has passed.
    pub fn may_stop(&self, now: Duration) -> bool {
        self.deadline
            .is_some_and(|deadline| self.running == 0 || now >= deadline)
    }
}
