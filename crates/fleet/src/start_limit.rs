//! The latest time at which a start may be carried out, as the sidecar checks it.
//!
//! A start order can be delayed on a link for seconds. Carried out then, it could start work in a
//! failure domain that has been evacuated meanwhile. The order therefore names the latest time by
//! the worker's clock, which the sidecar knows from the worker's newest listing.

use crate::worker::Listing;
use crate::worker::Start;
use std::time::Duration;

/// How much faster than the sidecar's clock the worker's may run, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// The clock of one incarnation of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Reading {
    /// When the incarnation started, in milliseconds since the Unix epoch.
    born: u64,
    /// The clock, in milliseconds.
    clock: u64,
    /// When the listing with it arrived.
    at: Duration,
}

impl Reading {
    /// Returns the clock at a later time if it keeps pace with the sidecar's.
    fn clock_at(&self, now: Duration) -> u64 {
        let passed = now.saturating_sub(self.at);
        self.clock.saturating_add(passed.as_millis() as u64)
    }
}

/// What a sidecar knows of its worker's clock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerClock {
    newest: Option<Reading>,
}

impl WorkerClock {
    /// Reads the clock from a listing that arrived at `now`. The clock of an incarnation does not
    /// go back, as answers can overtake each other.
    pub fn read(&mut self, listing: &Listing, now: Duration) {
        let known = self.newest.filter(|r| r.born == listing.born);
        let least = known.map_or(0, |r| r.clock_at(now));
        self.newest = Some(Reading {
            born: listing.born,
            clock: listing.clock.max(least),
            at: now,
        });
    }

    /// Returns whether a start for the incarnation that started at `born` must no longer be carried
    /// out.
    ///
    /// The worker's clock is taken to be fast. A start with a limit is also refused while the clock
    /// of the incarnation is not known, as it cannot be checked.
    pub fn is_too_late(&self, start: &Start, born: u64, now: Duration) -> bool {
        let Some(latest) = start.latest else {
            return false;
        };
        let Some(reading) = self.newest.filter(|r| r.born == born) else {
            return true;
        };
        let fast = now.saturating_sub(reading.at) * CLOCK_DRIFT_PERCENT / 100;
        let clock = reading.clock_at(now + fast);
        clock > latest
    }
}
