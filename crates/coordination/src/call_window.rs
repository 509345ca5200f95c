//! A limit on the calls that are open at a service, which follows how fast it answers.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Limits how many calls may be open at a service at the same time.
///
/// Calls that wait at a service until their callers give them up, and are then sent again, keep it
/// busy without end. The limit therefore grows by one with each answer that comes within the target
/// time, and is halved by each one that comes later or not at all.
///
/// ```
/// use hibiscusbarrow_coordination::call_window::CallWindow;
/// use std::time::Duration;
///
/// let mut window = CallWindow::new(4, 1..=8, Duration::from_millis(500));
/// window.record_answer(Duration::from_millis(20));
/// assert_eq!(window.limit(), 5);
/// window.record_failure();
/// assert_eq!(window.limit(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct CallWindow {
    limit: usize,
    range: RangeInclusive<usize>,
    target: Duration,
    /// Late answers leave at least this limit.
    late_least: usize,
}

impl CallWindow {
    /// Creates a window that admits `first` calls at first and a number within `range` later; an
    /// answer is late after `target`.
    pub fn new(first: usize, range: RangeInclusive<usize>, target: Duration) -> Self {
        Self {
            limit: first.clamp(*range.start(), *range.end()),
            late_least: *range.start(),
            range,
            target,
        }
    }

    /// Sets the limit that late answers leave at least. A network that delays all answers then
    /// allows for as many calls; failures go on to the start of the range.
    pub fn with_late_least(mut self, least: usize) -> Self {
        self.late_least = least;
        self
    }

    /// Returns how many calls may be open at the same time.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Adapts the limit to an answer that took `time`.
    pub fn record_answer(&mut self, time: Duration) {
        if time <= self.target {
            self.limit = (self.limit + 1).min(*self.range.end());
        } else if self.limit > self.late_least {
            self.limit = (self.limit / 2).max(self.late_least);
        }
    }

    /// Adapts the limit to a call that was refused for load or got no answer.
    pub fn record_failure(&mut self) {
        self.limit = (self.limit / 2).max(*self.range.start());
    }
}
