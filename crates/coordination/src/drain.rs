//! Planned stops that cut nothing in flight.

use std::time::Duration;

/// Counts work in flight and refuses new work once a stop is planned.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    running: usize,
    deadline: Option<Duration>,
}

impl Drain {
    /// Admits a piece of work unless the drain has begun.
    pub fn enter(&mut self) -> bool {
        if self.is_draining() {
            return false;
        }
        self.running += 1;
        true
    }

    /// Records that a piece of work ended.
    ///
    /// # Panics
    ///
    /// Panics if nothing is in flight.
    pub fn leave(&mut self) {
        assert!(self.running > 0, "nothing is in flight");
        self.running -= 1;
    }

    /// Begins the drain; a later call does not extend the deadline.
    pub fn begin(&mut self, now: Duration, limit: Duration) {
        self.deadline.get_or_insert(now + limit);
    }

    /// Tells whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.deadline.is_some()
    }

    /// Returns the work in flight.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Tells whether the process may stop.
    pub fn may_stop(&self, now: Duration) -> bool {
        self.deadline
            .is_some_and(|deadline| self.running == 0 || now >= deadline)
    }
}
