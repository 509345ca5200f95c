//! Workers that are still slow after their start, by their own word.
//!
//! Workers of a failure domain may be cold when its evacuation ends. Urgent tasks prefer warm
//! workers, and run times on cold workers say nothing about their usual speed. Without a bound of
//! evacuations, no worker counts as cold.

use super::Ledger;
use super::Worker;
use crate::worker::Announcement;
use std::time::Duration;

impl Worker {
    /// Returns whether the worker is still slow after its start.
    pub(super) fn is_cold(&self, now: Duration) -> bool {
        self.cold_until.is_some_and(|end| now < end)
    }
}

impl Ledger {
    /// Updates until when a worker is cold, from a heartbeat that is about to replace the newest
    /// one.
    ///
    /// A heartbeat arrives again with each listing until there is a newer one; the time counts from
    /// its first arrival. The end of a past cold time stays known, as runs that began before it may
    /// end later.
    pub(super) fn update_coldness(
        &mut self,
        sidecar: &str,
        announced: &Announcement,
        now: Duration,
    ) {
        if self.bounds.evacuation.is_none() {
            return;
        }
        let Some(worker) = self.workers.get_mut(sidecar) else {
            return;
        };
        let known = worker.announced.as_ref();
        let same_boot = known.filter(|k| k.boot == announced.boot);
        if same_boot.is_some_and(|k| k.sequence >= announced.sequence) {
            return;
        }
        let former = worker.cold_until.filter(|_| same_boot.is_some());
        worker.cold_until = if announced.cold_left > 0 {
            Some(now + Duration::from_millis(announced.cold_left))
        } else {
            former.map(|end| end.min(now))
        };
    }
}
