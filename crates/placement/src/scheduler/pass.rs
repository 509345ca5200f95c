//! One pass over the queue: starts, claims, loans and moves.

use super::Decision;
use super::Job;
use super::JobState;
use super::QueueOrder;
use super::Scheduler;
use super::fit::find_cells;
use crate::grid::Cell;
use crate::grid::JobKey;
use crate::shape::Shape;
use std::time::Duration;

impl Scheduler {
    /// Decides what starts and stops now.
    ///
    /// Urgent jobs claim their guarantee first. Others take idle cells if they
    /// can, which binds nothing, and claim only what is left to be had by
    /// preemption.
    pub fn pass(&mut self, now: Duration) -> Vec<Decision> {
        for worker in self.health.recovered(now) {
            self.grid.set_quarantined(worker, false);
        }
        let order = self.queue_order(now);
        if self.policy.guarantees {
            let all = !self.policy.borrow_first;
            self.claim_guarantees(&order, now, |job| all || job.urgent);
        }
        self.renew_reservation(now);
        let mut starts = self.lend(&order, now);
        if self.policy.guarantees && self.policy.borrow_first {
            self.claim_guarantees(&order, now, |job| !job.urgent);
        }
        self.move_borrowers(now);
        self.undo_starts(&mut starts);
        let mut decisions = std::mem::take(&mut self.stops);
        self.start_claimed(&mut starts, now);
        decisions.append(&mut starts);
        decisions
    }

    /// Takes back starts of this pass whose cells were claimed later in it.
    fn undo_starts(&mut self, starts: &mut Vec<Decision>) {
        let stopped: Vec<JobKey> = self.stops.iter().map(Decision::job).collect();
        let (undone, kept): (Vec<_>, Vec<_>) =
            starts.drain(..).partition(|s| stopped.contains(&s.job()));
        *starts = kept;
        for start in undone {
            let key = start.job();
            self.stops.retain(|s| s.job() != key);
            self.released(key);
        }
    }

    fn queue_order(&self, now: Duration) -> Vec<JobKey> {
        let mut order: Vec<(bool, f64, Duration, JobKey)> = self
            .waiting
            .iter()
            .filter_map(|key| {
                let job = self.job(*key)?;
                let rank = match self.policy.queue_order {
                    QueueOrder::Fifo => 0.0,
                    QueueOrder::ResponseRatio => -self.response_ratio(*key, now),
                };
                Some((!job.urgent, rank, job.submitted_at, *key))
            })
            .collect();
        order.sort_unstable_by(|a, b| {
            let rank = a.1.total_cmp(&b.1);
            a.0.cmp(&b.0).then(rank).then((a.2, a.3).cmp(&(b.2, b.3)))
        });
        order.into_iter().map(|entry| entry.3).collect()
    }

    /// Returns the wait and expected run time over the expected run time.
    fn response_ratio(&self, key: JobKey, now: Duration) -> f64 {
        let Some(job) = self.job(key) else { return 0.0 };
        let expected = self.estimator.estimate(job.index, job.shape, job.count);
        let wait = now.saturating_sub(job.submitted_at);
        1.0 + wait.as_secs_f64() / expected.as_secs_f64()
    }

    /// Claims guaranteed cells for every waiting gang that its account's quota covers.
    fn claim_guarantees(&mut self, order: &[JobKey], now: Duration, wanted: impl Fn(&Job) -> bool) {
        let mut closed = vec![[u32::MAX; 4]; self.quotas.len()];
        for key in order {
            let waits = |j: &&Job| j.state == JobState::Waiting && wanted(j);
            let Some(job) = self.job(*key).filter(waits) else {
                continue;
            };
            let (index, shape, count) = (job.index, job.shape, job.count);
            let aged = self
                .policy
                .reserve_after
                .is_some_and(|after| now.saturating_sub(job.submitted_at) >= after);
            if count >= closed[index][shape as usize] {
                continue;
            }
            match self.quotas.claim(&mut self.grid, index, shape, count) {
                Some(cells) => self.take_claim(*key, cells, now),
                None => self.close(&mut closed[index], index, shape, count, aged),
            }
        }
    }

    /// Remembers a claim that failed, so that like ones are not tried in this pass.
    ///
    /// An aged gang that the whole quota covers keeps the account's later jobs
    /// from claiming what it waits for; these may still borrow.
    fn close(&self, closed: &mut [u32; 4], index: usize, shape: Shape, count: u32, aged: bool) {
        let quota = self.quotas.spec(index).quota.iter().copied();
        let total: crate::shape::CellCounts = quota.collect();
        let mut needs = crate::shape::CellCounts::default();
        needs.add(shape, count);
        if aged && total.packs(&needs) {
            *closed = [0; 4];
        } else {
            closed[shape as usize] = count;
        }
    }

    fn take_claim(&mut self, key: JobKey, cells: Vec<Cell>, now: Duration) {
        let victims: Vec<JobKey> = cells.iter().flat_map(|c| self.grid.users(*c)).collect();
        let job = self.job_mut(key);
        job.state = JobState::Claimed;
        job.guaranteed = true;
        job.claimed_at = now;
        job.cells = cells;
        let (index, size) = (job.index, job.accelerators());
        self.usage[index] += size;
        self.waiting.retain(|k| *k != key);
        self.claimed.push(key);
        for victim in victims {
            self.stop(victim, "a guarantee was claimed", true);
        }
    }

    /// Starts claimed gangs whose cells everyone else has left.
    fn start_claimed(&mut self, starts: &mut Vec<Decision>, now: Duration) {
        for key in std::mem::take(&mut self.claimed) {
            let cells = self.job(key).map(|j| j.cells.clone()).unwrap_or_default();
            let busy = |c: &Cell| self.grid.used_mask(c.worker) & c.mask != 0;
            if cells.iter().any(busy) {
                self.claimed.push(key);
            } else {
                starts.push(self.start(key, cells, true, now));
            }
        }
    }

    fn start(
        &mut self,
        key: JobKey,
        cells: Vec<Cell>,
        guaranteed: bool,
        now: Duration,
    ) -> Decision {
        for cell in &cells {
            self.grid.occupy(*cell, key);
        }
        let job = self.job_mut(key);
        job.state = JobState::Placed;
        job.guaranteed = guaranteed;
        job.started_at = now;
        job.cells = cells.clone();
        Decision::Start {
            job: key,
            cells,
            guaranteed,
        }
    }

    /// Lends idle cells, the account with the least use for its weight first.
    fn lend(&mut self, order: &[JobKey], now: Duration) -> Vec<Decision> {
        let mut starts = Vec::new();
        let mut queues = vec![Vec::new(); self.quotas.len()];
        for key in order.iter().rev() {
            if let Some(job) = self.job(*key).filter(|j| j.state == JobState::Waiting) {
                queues[job.index].push(*key);
            }
        }
        if self.policy.queue_order == QueueOrder::Fifo {
            queues = vec![order.iter().rev().copied().collect()];
        }
        let mut closed = [u32::MAX; 4];
        while let Some(index) = self.next_account(&queues) {
            let Some((key, cells)) = self.next_loan(&mut queues[index], &mut closed) else {
                continue;
            };
            let job = self.job_mut(key);
            let (account, size) = (job.index, job.accelerators());
            self.usage[account] += size;
            self.waiting.retain(|k| *k != key);
            starts.push(self.start(key, cells, false, now));
        }
        starts
    }

    /// Takes jobs off an account's queue until one fits.
    fn next_loan(
        &self,
        queue: &mut Vec<JobKey>,
        closed: &mut [u32; 4],
    ) -> Option<(JobKey, Vec<Cell>)> {
        while let Some(key) = queue.pop() {
            if let Some(cells) = self.lend_one(key, closed) {
                return Some((key, cells));
            }
            if self.policy.queue_order == QueueOrder::Fifo {
                queue.clear();
            }
        }
        None
    }

    fn next_account(&self, queues: &[Vec<JobKey>]) -> Option<usize> {
        let share = |index: &usize| {
            let weight = f64::from(self.quotas.spec(*index).weight.max(1));
            f64::from(self.usage[*index]) / weight
        };
        let open = (0..queues.len()).filter(|i| !queues[*i].is_empty());
        open.min_by(|a, b| share(a).total_cmp(&share(b)).then(a.cmp(b)))
    }

    fn lend_one(&self, key: JobKey, closed: &mut [u32; 4]) -> Option<Vec<Cell>> {
        let job = self.job(key)?;
        let foreign = self.reservation.as_ref().filter(|r| r.job != key);
        let holder = self.reservation.is_some() && foreign.is_none();
        if !holder && job.count >= closed[job.shape as usize] {
            return None;
        }
        let usable = |worker| {
            let reserved = foreign.map_or(0, |r| r.mask(worker));
            self.grid.idle_mask(worker) & !reserved
        };
        let cells = find_cells(
            &self.grid,
            usable,
            job.shape,
            job.count,
            self.policy.best_fit,
        );
        if cells.is_none() {
            let limit = &mut closed[job.shape as usize];
            *limit = (*limit).min(job.count);
        }
        cells
    }
}
