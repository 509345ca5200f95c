//! Evacuation of failure domains: their workers get no new work, and what runs there goes on.

use super::JobState;
use super::Scheduler;
use crate::grid::Cell;
use crate::grid::JobKey;
use crate::grid::WorkerKey;
use smol_str::SmolStr;
use std::collections::BTreeSet;

impl Scheduler {
    /// Returns the evacuated failure domains.
    pub fn evacuated(&self) -> &BTreeSet<SmolStr> {
        &self.evacuated
    }

    /// Replaces the set of evacuated failure domains.
    ///
    /// Their workers count as no capacity. Guarantees bound there are to be bound elsewhere,
    /// gangs that only claimed cells there are queued again, and gangs that hold cells there
    /// keep them to their end. On workers that are no longer evacuated, a gang that still
    /// holds its cells runs under its account's guarantee again, as far as that is not in use.
    pub fn set_evacuated(&mut self, domains: BTreeSet<SmolStr>) {
        let closed = |worker: &WorkerKey| domains.contains(&self.grid.spec(*worker).domain);
        let changed = |worker: &WorkerKey| closed(worker) != self.grid.is_evacuated(*worker);
        let (left, returned): (Vec<WorkerKey>, Vec<WorkerKey>) =
            self.grid.workers().filter(changed).partition(closed);
        self.evacuated = domains;
        self.withdraw_claims(&left);
        for worker in &left {
            self.quotas.drop_worker(*worker);
            self.grid.set_evacuated(*worker, true);
        }
        for job in self.jobs.iter_mut().flatten() {
            job.claims.retain(|c| !left.contains(&c.worker));
        }
        for worker in &returned {
            self.grid.set_evacuated(*worker, false);
        }
        for key in self.placed_on(&returned) {
            self.release_claims(key);
            self.adopt_claims(key);
        }
        self.unpark();
    }

    /// Stops a placed gang that has not started in an evacuated domain; its job is queued again.
    pub fn withdraw(&mut self, key: JobKey) {
        if self.job(key).is_some_and(|j| j.state == JobState::Placed) {
            self.stop(key, "domain evacuated", true);
        }
    }

    /// Returns the end of a waiting reason that names the evacuated domains; empty without one.
    pub(super) fn evacuated_note(&self) -> String {
        if self.evacuated.is_empty() {
            return String::new();
        }
        let domains: Vec<&str> = self.evacuated.iter().map(SmolStr::as_str).collect();
        format!("; evacuated: {}", domains.join(", "))
    }

    /// Queues the gangs again that have claimed cells on these workers and do not hold them yet.
    fn withdraw_claims(&mut self, workers: &[WorkerKey]) {
        let on_workers = |c: &Cell| workers.contains(&c.worker);
        let claimed: Vec<JobKey> = self
            .jobs()
            .filter(|(_, j)| j.state == JobState::Claimed && j.cells.iter().any(on_workers))
            .map(|(key, _)| key)
            .collect();
        for key in claimed {
            self.stop(key, "domain evacuated", true);
        }
    }

    /// Lists the gangs that hold cells on these workers.
    fn placed_on(&self, workers: &[WorkerKey]) -> Vec<JobKey> {
        let on_workers = |c: &Cell| workers.contains(&c.worker);
        self.jobs()
            .filter(|(_, j)| j.state == JobState::Placed && j.cells.iter().any(on_workers))
            .map(|(key, _)| key)
            .collect()
    }

    /// Claims the cells that a gang holds, as far as its account's guarantee covers them.
    ///
    /// Cells on evacuated workers are left out, since no guarantee is bound there.
    pub(super) fn adopt_claims(&mut self, key: JobKey) {
        let Some(job) = self.job(key) else { return };
        let index = job.account_index;
        let mut cells = job.cells.clone();
        cells.retain(|c| !self.grid.is_evacuated(c.worker));
        let guaranteed = !cells.is_empty() && self.quotas.adopt(&mut self.grid, index, &cells);
        let job = self.job_mut(key);
        job.guaranteed = guaranteed;
        if guaranteed {
            job.claims = cells;
        }
    }
}
