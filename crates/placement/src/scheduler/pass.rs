//! One pass over the queue: claims, borrowing, preemption and starts.

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
    /// Returns the gangs to stop and to start now.
    ///
    /// Urgent jobs claim their guarantee first. With `borrow_first`, the others
    /// borrow idle cells if they can, which binds no guaranteed shape, and claim
    /// the guarantee only if no idle cells fit.
    pub fn pass(&mut self, now: Duration) -> Vec<Decision> {
        for worker in self.health.recovered(now) {
            self.grid.set_quarantined(worker, false);
        }
        let order = self.queue_order(now);
        if self.policy.guarantees {
            let all = !self.policy.borrow_first;
            self.claim_guarantees(&order, now, |job| all || job.urgent);
        }
        self.update_reservation(now);
        let mut starts = self.start_borrowers(&order, now);
        if self.policy.guarantees && self.policy.borrow_first {
            self.claim_guarantees(&order, now, |job| !job.urgent);
        }
        self.preempt_borrowers(now);
        self.undo_starts(&mut starts);
        let mut decisions = std::mem::take(&mut self.pending_stops);
        self.add_run_times(&decisions, now);
        self.start_claimed(&mut starts, now);
        decisions.append(&mut starts);
        decisions
    }

    /// Undoes starts of gangs that were preempted later in the same pass.
    fn undo_starts(&mut self, starts: &mut Vec<Decision>) {
        let stopped: Vec<JobKey> = self.pending_stops.iter().map(Decision::job).collect();
        let (undone, retained): (Vec<_>, Vec<_>) =
            starts.drain(..).partition(|s| stopped.contains(&s.job()));
        *starts = retained;
        for start in undone {
            let key = start.job();
            self.pending_stops.retain(|s| s.job() != key);
            self.released(key);
        }
    }

    /// Adds the run times of the gangs that are stopped and queued again, which go on from their
    /// checkpoints.
    fn add_run_times(&mut self, stops: &[Decision], now: Duration) {
        for stop in stops {
            let key = stop.job();
            if self.job(key).is_some_and(|j| j.requeue) {
                let job = self.job_mut(key);
                job.ran_for += now.saturating_sub(job.started_at);
            }
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

    /// Returns the sum of wait and expected run time, divided by the expected run time.
    fn response_ratio(&self, key: JobKey, now: Duration) -> f64 {
        let Some(job) = self.job(key) else { return 0.0 };
        let expected = self.estimator.estimate(job.kind());
        let wait = now.saturating_sub(job.submitted_at);
        1.0 + wait.as_secs_f64() / expected.as_secs_f64()
    }

    /// Claims cells for each waiting gang that its account's unclaimed guarantee covers.
    fn claim_guarantees(&mut self, order: &[JobKey], now: Duration, wanted: impl Fn(&Job) -> bool) {
        let mut failed_counts = vec![[u32::MAX; 4]; self.quotas.len()];
        for key in order {
            let eligible = |j: &&Job| j.state == JobState::Waiting && wanted(j);
            let Some(job) = self.job(*key).filter(eligible) else {
                continue;
            };
            let (index, shape, count) = (job.account_index, job.shape, job.count);
            let overdue = self
                .policy
                .reserve_after
                .is_some_and(|after| now.saturating_sub(job.submitted_at) >= after);
            if count >= failed_counts[index][shape as usize] {
                continue;
            }
            match self.quotas.claim(&mut self.grid, index, shape, count) {
                Some(cells) => self.apply_claim(*key, cells, now),
                None => self.record_failed_claim(
                    &mut failed_counts[index],
                    index,
                    shape,
                    count,
                    overdue,
                ),
            }
        }
    }

    /// Records a failed claim, so that this pass skips gangs of the same shape that
    /// are at least as large.
    ///
    /// If the gang is overdue and the account's whole quota covers it, the account's
    /// later jobs may only borrow in this pass, so that they don't claim the cells that
    /// the gang waits for.
    fn record_failed_claim(
        &self,
        failed_counts: &mut [u32; 4],
        index: usize,
        shape: Shape,
        count: u32,
        overdue: bool,
    ) {
        let quota = self.quotas.spec(index).quota.iter().copied();
        let total: crate::shape::CellCounts = quota.collect();
        let mut needs = crate::shape::CellCounts::default();
        needs.add(shape, count);
        if overdue && total.packs(&needs) {
            *failed_counts = [0; 4];
        } else {
            failed_counts[shape as usize] = count;
        }
    }

    fn apply_claim(&mut self, key: JobKey, cells: Vec<Cell>, now: Duration) {
        let victims: Vec<JobKey> = cells.iter().flat_map(|c| self.grid.users(*c)).collect();
        let job = self.job_mut(key);
        job.state = JobState::Claimed;
        job.guaranteed = true;
        job.claimed_at = now;
        job.claims = cells.clone();
        job.cells = cells;
        let (index, size) = (job.account_index, job.accelerators());
        self.usage[index] += size;
        self.waiting.retain(|k| *k != key);
        self.claimed.push(key);
        for victim in victims {
            self.stop(victim, "a guarantee was claimed", true);
        }
    }

    /// Starts the claimed gangs whose cells are no longer in use.
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

    /// Starts waiting gangs on idle cells, each time from the account that uses the
    /// fewest accelerators relative to its weight.
    fn start_borrowers(&mut self, order: &[JobKey], now: Duration) -> Vec<Decision> {
        let mut starts = Vec::new();
        let mut queues = vec![Vec::new(); self.quotas.len()];
        for key in order.iter().rev() {
            if let Some(job) = self.job(*key).filter(|j| j.state == JobState::Waiting) {
                queues[job.account_index].push(*key);
            }
        }
        if self.policy.queue_order == QueueOrder::Fifo {
            queues = vec![order.iter().rev().copied().collect()];
        }
        let mut failed_counts = [u32::MAX; 4];
        while let Some(index) = self.next_account(&queues) {
            let Some((key, cells)) = self.next_borrower(&mut queues[index], &mut failed_counts)
            else {
                continue;
            };
            let job = self.job_mut(key);
            let (account, size) = (job.account_index, job.accelerators());
            self.usage[account] += size;
            self.waiting.retain(|k| *k != key);
            starts.push(self.start(key, cells, false, now));
        }
        starts
    }

    /// Removes jobs from an account's queue until one fits.
    fn next_borrower(
        &self,
        queue: &mut Vec<JobKey>,
        failed_counts: &mut [u32; 4],
    ) -> Option<(JobKey, Vec<Cell>)> {
        while let Some(key) = queue.pop() {
            if let Some(cells) = self.find_idle_cells(key, failed_counts) {
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
        let nonempty = (0..queues.len()).filter(|i| !queues[*i].is_empty());
        nonempty.min_by(|a, b| share(a).total_cmp(&share(b)).then(a.cmp(b)))
    }

    fn find_idle_cells(&self, key: JobKey, failed_counts: &mut [u32; 4]) -> Option<Vec<Cell>> {
        let job = self.job(key)?;
        let other_reservation = self.reservation.as_ref().filter(|r| r.job != key);
        let holds_reservation = self.reservation.is_some() && other_reservation.is_none();
        if !holds_reservation && job.count >= failed_counts[job.shape as usize] {
            return None;
        }
        let usable = |worker| {
            let reserved = other_reservation.map_or(0, |r| r.mask(worker));
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
            let smallest = &mut failed_counts[job.shape as usize];
            *smallest = (*smallest).min(job.count);
        }
        cells
    }
}
