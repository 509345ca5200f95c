//! A lease as seen by its holder.

use std::time::Duration;

/// The holder's view of its lease.
///
/// The holder counts from before it sent the request that was granted, so that it
/// never considers the lease valid for longer than its grantor does.
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

    /// Records that a request for the lease or its renewal, sent at `sent`, was granted.
    pub fn confirm(&mut self, sent: Duration) {
        self.renewed = Some(self.renewed.map_or(sent, |held| held.max(sent)));
    }

    /// Records that the holder no longer has the lease.
    pub fn release(&mut self) {
        self.renewed = None;
    }

    /// Returns whether the lease is valid.
    pub fn is_held(&self, now: Duration) -> bool {
        self.remaining(now) > Duration::ZERO
    }

    /// Returns how long the lease remains valid; zero if it is not held.
    pub fn remaining(&self, now: Duration) -> Duration {
        let end = self.renewed.map_or(Duration::ZERO, |sent| sent + self.ttl);
        end.saturating_sub(now)
    }

    /// Returns whether more than a third of the lease has passed, so that it should be renewed.
    pub fn needs_renewal(&self, now: Duration) -> bool {
        self.remaining(now) < self.ttl * 2 / 3
    }
}
