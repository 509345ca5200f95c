//! Whether a process can prove that its copy of a shared value was in force recently enough.
//!
//! A change is in force in time if nothing is done by a copy that was last confirmed longer than
//! the bound ago: whatever the copy lacks was written later. The store confirms a copy, and so does
//! another process that says how long ago its own copy was confirmed.

use std::time::Duration;

/// A copy is confirmed at least this often by the store, as a share of the bound.
const CONFIRM_DIVISOR: u32 = 3;
/// Other processes are asked once a confirmation is late by this share of the bound.
const LATE_DIVISOR: u32 = 8;
/// The consecutive polls of many processes that show an outage for all.
const OUTAGE_POLLS: u32 = 2;

/// The outcome of a poll of other processes about their copies.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Poll {
    /// The number of processes that were asked.
    pub asked: usize,
    /// The number that answered.
    pub answered: usize,
    /// Whether one of them could prove its copy.
    pub proven: bool,
}

/// When the copy of a value was confirmed, and what other processes know.
#[derive(Clone, Debug)]
pub struct Freshness {
    bound: Duration,
    confirmed_at: Option<Duration>,
    /// The polls in succession after which most processes answered and none could prove its copy.
    outage_polls: u32,
    polled_at: Option<Duration>,
}

impl Freshness {
    /// Creates the state of a copy that was never confirmed; a change must be in force within
    /// `bound`.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            confirmed_at: None,
            outage_polls: 0,
            polled_at: None,
        }
    }

    /// Returns how often the store should confirm the copy.
    pub fn confirm_interval(&self) -> Duration {
        self.bound / CONFIRM_DIVISOR
    }

    /// Records that the copy was the newest value at some time.
    ///
    /// An answer confirms the copy from when its request was sent, less the age that it states, as
    /// the value may have changed while the answer was in transit.
    pub fn confirm(&mut self, at: Option<Duration>) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Records a poll of as many processes as show an outage for all.
    pub fn record_poll(&mut self, poll: Poll, now: Duration) {
        let is_outage = !poll.proven && 2 * poll.answered >= poll.asked;
        self.outage_polls = if is_outage { self.outage_polls + 1 } else { 0 };
        self.polled_at = Some(now);
    }

    /// Returns how long ago the copy was confirmed; none if it never was.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether no change can have been due that the copy lacks.
    pub fn is_proven(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= self.bound)
    }

    /// Returns whether other processes should be asked for a newer value or a confirmation.
    pub fn needs_peers(&self, now: Duration) -> bool {
        let limit = self.confirm_interval() + self.bound / LATE_DIVISOR;
        self.age(now).is_none_or(|age| age > limit)
    }

    /// Returns whether the copy will soon be too old, so that many processes should be asked.
    pub fn is_almost_too_old(&self, now: Duration) -> bool {
        let age = self.age(now);
        age.is_none_or(|age| age > self.bound * 2 / CONFIRM_DIVISOR)
    }

    /// Returns whether requests may be handled by the copy.
    ///
    /// An unproven copy is used only while most other processes answer and none can prove its own:
    /// the store then confirms nothing to anyone, and nobody knows of a newer value.
    pub fn allows_use(&self, now: Duration) -> bool {
        let polled_at = self.polled_at;
        let is_recent = polled_at.is_some_and(|at| now.saturating_sub(at) <= self.bound);
        self.is_proven(now) || (self.outage_polls >= OUTAGE_POLLS && is_recent)
    }
}
