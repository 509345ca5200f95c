//! Reserves cells for the oldest waiting gang, which scattered borrowers could starve.

use super::JobState;
use super::Scheduler;
use crate::grid::Cell;
use crate::grid::JobKey;
use crate::grid::WorkerKey;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of accelerators preempted for a reservation, in percent of the gang's size.
const MAX_PREEMPTED_PERCENT: u32 = 120;

/// Cells that no other job may borrow while a gang waits for them.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    /// The waiting gang.
    pub job: JobKey,
    /// The reserved accelerators of each worker.
    pub masks: BTreeMap<WorkerKey, u8>,
    /// The reserved cells.
    pub cells: Vec<Cell>,
}

impl Reservation {
    /// Returns the reserved accelerators of a worker.
    pub fn mask(&self, worker: WorkerKey) -> u8 {
        self.masks.get(&worker).copied().unwrap_or(0)
    }
}

impl Scheduler {
    /// Reserves cells for the oldest overdue gang, unless the job of the current
    /// reservation still waits and its cells are usable and unclaimed.
    pub(super) fn update_reservation(&mut self, now: Duration) {
        let Some(after) = self.policy.reserve_after else {
            return;
        };
        if let Some(reservation) = &self.reservation {
            let waiting = self
                .job(reservation.job)
                .is_some_and(|j| j.state == JobState::Waiting);
            let serves = reservation.cells.iter().all(|c| {
                self.grid.usable_mask(c.worker) & !self.grid.claimed_mask(c.worker) & c.mask
                    == c.mask
            });
            if waiting && serves {
                return;
            }
        }
        self.reservation = self
            .oldest_waiting(now, after)
            .and_then(|j| self.reserve(j));
    }

    /// Returns the gang that has waited longest, if at least for `after`.
    fn oldest_waiting(&self, now: Duration, after: Duration) -> Option<JobKey> {
        let waiting = self
            .waiting
            .iter()
            .filter_map(|k| Some((*k, self.job(*k)?)));
        let overdue = waiting.filter(|(_, j)| now.saturating_sub(j.submitted_at) >= after);
        overdue
            .min_by_key(|(key, j)| (j.submitted_at, *key))
            .map(|(key, _)| key)
    }

    /// Returns a reservation of the unclaimed cells with the fewest accelerators in use.
    fn reserve(&self, key: JobKey) -> Option<Reservation> {
        let job = self.job(key)?;
        let mut cells = Vec::new();
        for worker in self.grid.workers() {
            let unclaimed = self.grid.usable_mask(worker) & !self.grid.claimed_mask(worker);
            for mask in job.shape.masks().filter(|m| unclaimed & m == *m) {
                let in_use = (self.grid.used_mask(worker) & mask).count_ones();
                let (rack, domain) = self.grid.location(worker);
                cells.push((in_use, domain, rack, Cell { worker, mask }));
            }
        }
        if cells.len() < job.count as usize {
            return None;
        }
        cells.sort_unstable();
        cells.truncate(job.count as usize);
        let cells: Vec<Cell> = cells.into_iter().map(|c| c.3).collect();
        let mut masks = BTreeMap::new();
        for cell in &cells {
            *masks.entry(cell.worker).or_insert(0) |= cell.mask;
        }
        Some(Reservation {
            job: key,
            masks,
            cells,
        })
    }

    /// Preempts the jobs on the reserved cells, if all are borrowers smaller than the
    /// gang and their sizes add up to at most [`MAX_PREEMPTED_PERCENT`] of its size.
    pub(super) fn preempt_borrowers(&mut self, now: Duration) {
        let Some(after) = self.policy.preempt_after else {
            return;
        };
        let Some(reservation) = self.reservation.clone() else {
            return;
        };
        let Some(job) = self.job(reservation.job) else {
            return;
        };
        if now.saturating_sub(job.submitted_at) < after {
            return;
        }
        let size = job.accelerators();
        let mut victims: Vec<JobKey> = reservation
            .cells
            .iter()
            .flat_map(|c| self.grid.users(*c))
            .collect();
        victims.sort_unstable();
        victims.dedup();
        let preemptible = |key: &JobKey| {
            let small = |j: &super::Job| !j.guaranteed && j.accelerators() < size;
            self.job(*key).is_some_and(small)
        };
        if victims.is_empty() || !victims.iter().all(preemptible) {
            return;
        }
        let preempted: u32 = victims
            .iter()
            .filter_map(|k| self.job(*k))
            .map(|j| j.accelerators())
            .sum();
        if preempted * 100 <= size * MAX_PREEMPTED_PERCENT {
            for victim in victims {
                self.stop(victim, "a larger gang waited long", true);
            }
        }
    }
}
