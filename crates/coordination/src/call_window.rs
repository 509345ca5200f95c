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
}

impl CallWindow {
    /// Creates a window that admits `first` calls at first and a number within `range` later; an
    /// answer is late after `target`.
    pub fn new(first: usize, range: RangeInclusive<usize>, target: Duration) -> Self {
        Self {
            limit: first.clamp(*range.start(), *range.end()),
            range,
            target,
        }
    }

    /// Returns how many calls may be open at the same time.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Adapts the limit to an answer that took `time`.
    pub fn record_answer(&mut self, time: Duration) {
        if time > self.target {
            self.record_failure();
        } else {
            self.limit = (self.limit + 1).min(*self.range.end());
        }
    }

    /// Adapts the limit to a call that was refused for load or got no answer.
    pub fn record_failure(&mut self) {
        self.limit = (self.limit / 2).max(*self.range.start());
    }
}
