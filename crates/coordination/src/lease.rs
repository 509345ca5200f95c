//! A lease as its holder may count it.

use std::time::Duration;

/// Tells a holder whether its lease still stands.
///
/// The holder counts from before it sent the request that was granted, so that
/// it never believes in a lease longer than its grantor does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    ttl: Duration,
    renewed: Option<Duration>,
}

impl Lease {
    /// Creates a lease that is not held.
    pub const fn new(ttl: Duration) -> Self {
        Self { ttl, renewed: None }
    }

    /// Records that a request sent at `sent` was granted.
    pub fn confirm(&mut self, sent: Duration) {
        self.renewed = Some(self.renewed.map_or(sent, |held| held.max(sent)));
    }

    /// Gives the lease up.
    pub fn release(&mut self) {
        self.renewed = None;
    }

    /// Tells whether the lease stands.
    pub fn is_held(&self, now: Duration) -> bool {
        self.remaining(now) > Duration::ZERO
    }

    /// Returns how long the lease still stands.
    pub fn remaining(&self, now: Duration) -> Duration {
        let end = self.renewed.map_or(Duration::ZERO, |sent| sent + self.ttl);
        end.saturating_sub(now)
    }

    /// Tells whether a third of the lease has passed, so that it wants renewal.
    pub fn wants_renewal(&self, now: Duration) -> bool {
        self.remaining(now) < self.ttl * 2 / 3
    }
}
