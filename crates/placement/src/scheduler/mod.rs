//! Queues jobs, places whole gangs and preempts borrowers for guaranteed jobs.

mod evacuate;
mod fit;
mod health;
mod pass;
mod reserve;

use crate::estimate::Estimator;
use crate::estimate::JobKind;
use crate::grid::Cell;
use crate::grid::Grid;
use crate::grid::JobKey;
use crate::grid::WorkerKey;
use crate::grid::WorkerSpec;
use crate::quota::AccountSpec;
use crate::quota::QuotaError;
use crate::quota::Quotas;
use crate::shape::Shape;
use crate::shape::ShapeCount;
use health::Health;
use reserve::Reservation;
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

/// The order in which a pass tries the waiting jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOrder {
    /// By submission time; a job that does not fit blocks all later ones.
    Fifo,
    /// By response ratio: short jobs go first, and since the ratio grows with the
    /// wait, no job starves.
    ResponseRatio,
}

/// Configures how a scheduler orders jobs, chooses cells and preempts.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// The order of waiting jobs.
    pub queue_order: QueueOrder,
    /// Whether cells are chosen by tightest fit instead of first fit.
    pub best_fit: bool,
    /// Whether jobs may claim their account's guarantee.
    pub guarantees: bool,
    /// Whether jobs that are not urgent borrow idle cells before they claim the guarantee.
    pub borrow_first: bool,
    /// The wait after which a gang is overdue. The oldest overdue gang reserves cells, and
    /// every overdue gang precedes later claims of its account; `None` disables both.
    pub reserve_after: Option<Duration>,
    /// The wait after which a gang with a reservation preempts smaller borrowers;
    /// `None` disables this preemption.
    pub preempt_after: Option<Duration>,
    /// The number of distinct workers on which a job has to fail to be parked.
    pub max_failed_workers: usize,
    /// Whether the response ratio uses learned run times instead of a moving average.
    pub learned_order: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            queue_order: QueueOrder::ResponseRatio,
            best_fit: true,
            guarantees: true,
            borrow_first: true,
            reserve_after: Some(Duration::from_secs(60)),
            preempt_after: Some(Duration::from_secs(60)),
            max_failed_workers: 3,
            learned_order: false,
        }
    }
}

impl Policy {
    /// Returns the first-fit FIFO baseline, without guarantees and reservations.
    pub fn first_fit_fifo() -> Self {
        Self {
            queue_order: QueueOrder::Fifo,
            best_fit: false,
            guarantees: false,
            reserve_after: None,
            preempt_after: None,
            ..Self::default()
        }
    }

    /// Returns the best-fit baseline, without reservations.
    pub fn best_fit() -> Self {
        Self {
            reserve_after: None,
            preempt_after: None,
            ..Self::default()
        }
    }
}

/// The state of a job that has not ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobState {
    /// The job waits for cells.
    Waiting,
    /// Cells are claimed; borrowers on them are being preempted.
    Claimed,
    /// The gang physically holds its cells.
    Placed,
    /// The gang is being stopped; its cells are not free yet.
    Stopping,
    /// The job is not tried, for the reason given.
    Parked(SmolStr),
}

/// A job whose members all start together, as a gang, or not at all.
#[derive(Clone, Debug)]
pub struct Job {
    /// The unique name.
    pub name: SmolStr,
    /// The account's name.
    pub account: SmolStr,
    /// The shape of each member's cell.
    pub shape: Shape,
    /// The number of members.
    pub count: u32,
    /// Whether the job precedes jobs that are not urgent and claims before it borrows.
    pub urgent: bool,
    /// The current state.
    pub state: JobState,
    /// Whether the job runs under its account's guarantee.
    pub guaranteed: bool,
    /// The cells that are claimed or held.
    pub cells: Vec<Cell>,
    /// When the job was submitted. All times count from the origin of the scheduler's clock.
    pub submitted_at: Duration,
    /// When the job last claimed guaranteed cells.
    pub claimed_at: Duration,
    /// When the gang was last started.
    pub started_at: Duration,
    /// The cells that the job claims under the guarantee. A worker that goes out of service
    /// takes its claims with it, although the gang may hold the cells for longer.
    claims: Vec<Cell>,
    /// Workers on which the job failed.
    failed_workers: BTreeSet<WorkerKey>,
    /// Whether the job is queued again once its cells are released.
    requeue: bool,
    /// How long earlier runs of the job took that ended in a stop.
    ran_for: Duration,
    /// Whether the job had started before this scheduler knew it.
    is_adopted: bool,
    account_index: usize,
    /// The submission number, which is unique, whereas keys are reused.
    serial: u64,
}

impl Job {
    /// Creates a waiting job.
    pub fn new(
        name: impl Into<SmolStr>,
        account: impl Into<SmolStr>,
        shape: Shape,
        count: u32,
    ) -> Self {
        Self {
            name: name.into(),
            account: account.into(),
            shape,
            count,
            urgent: false,
            state: JobState::Waiting,
            guaranteed: false,
            cells: Vec::new(),
            submitted_at: Duration::ZERO,
            claimed_at: Duration::ZERO,
            started_at: Duration::ZERO,
            claims: Vec::new(),
            failed_workers: BTreeSet::new(),
            requeue: false,
            ran_for: Duration::ZERO,
            is_adopted: false,
            account_index: 0,
            serial: 0,
        }
    }

    /// Sets whether the job is urgent.
    pub fn urgent(mut self, urgent: bool) -> Self {
        self.urgent = urgent;
        self
    }

    /// Returns what it has in common with jobs that take about as long.
    fn kind(&self) -> JobKind<'_> {
        JobKind {
            index: self.account_index,
            account: &self.account,
            shape: self.shape,
            count: self.count,
        }
    }

    /// Returns the number of accelerators of the whole gang.
    pub fn accelerators(&self) -> u32 {
        self.shape.accelerators() * self.count
    }
}

/// An action for the caller of [`Scheduler::pass`] to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Starts a gang on cells that are free and now marked as used.
    Start {
        /// The job.
        job: JobKey,
        /// The cells of all members.
        cells: Vec<Cell>,
        /// Whether the account's guarantee covers them.
        guaranteed: bool,
    },
    /// Checkpoints and stops a whole gang, after which the caller calls
    /// [`Scheduler::released`].
    Stop {
        /// The job.
        job: JobKey,
        /// The reason, as a short phrase.
        reason: &'static str,
    },
}

impl Decision {
    /// Returns the job that is started or stopped.
    pub fn job(&self) -> JobKey {
        match self {
            Decision::Start { job, .. } | Decision::Stop { job, .. } => *job,
        }
    }
}

/// Decides where and when gangs run in one region.
#[derive(Clone, Debug)]
pub struct Scheduler {
    policy: Policy,
    grid: Grid,
    quotas: Quotas,
    jobs: Vec<Option<Job>>,
    free_keys: Vec<JobKey>,
    names: HashMap<SmolStr, JobKey>,
    waiting: Vec<JobKey>,
    claimed: Vec<JobKey>,
    pending_stops: Vec<Decision>,
    /// The number of accelerators that each account uses, guaranteed or borrowed.
    usage: Vec<u32>,
    estimator: Estimator,
    health: Health,
    reservation: Option<Reservation>,
    /// The evacuated failure domains.
    evacuated: BTreeSet<SmolStr>,
    next_serial: u64,
}

impl Scheduler {
    /// Creates a scheduler without workers and accounts.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            grid: Grid::default(),
            quotas: Quotas::default(),
            jobs: Vec::new(),
            free_keys: Vec::new(),
            names: HashMap::new(),
            waiting: Vec::new(),
            claimed: Vec::new(),
            pending_stops: Vec::new(),
            usage: Vec::new(),
            estimator: Estimator::new(policy.learned_order),
            health: Health::default(),
            reservation: None,
            evacuated: BTreeSet::new(),
            next_serial: 0,
        }
    }

    /// Returns the workers and the use of their accelerators.
    pub fn grid(&self) -> &Grid {
        &self.grid
    }

    /// Returns the guarantees of all accounts and their bindings.
    pub fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// Returns a job, or `None` if it has ended.
    pub fn job(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key.0 as usize)?.as_ref()
    }

    /// Returns the key of the job with this name.
    pub fn key(&self, name: &str) -> Option<JobKey> {
        self.names.get(name).copied()
    }

    /// Lists the jobs that have not ended.
    pub fn jobs(&self) -> impl Iterator<Item = (JobKey, &Job)> {
        let entry = |(i, job): (usize, &'_ Option<Job>)| (JobKey(i as u32), job.is_some());
        let keys: Vec<_> = self.jobs.iter().enumerate().map(entry).collect();
        keys.into_iter()
            .filter(|(_, live)| *live)
            .filter_map(|(key, _)| Some((key, self.job(key)?)))
    }

    /// Returns the number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Lists the waiting jobs.
    pub fn waiting_jobs(&self) -> impl Iterator<Item = &Job> {
        self.waiting.iter().filter_map(|key| self.job(*key))
    }

    /// Replaces the accounts and their guarantees, under the checks of [`Quotas::update`].
    pub fn set_accounts(&mut self, accounts: Vec<AccountSpec>) -> Result<(), QuotaError> {
        self.quotas.update(&self.grid, accounts)?;
        self.usage.resize(self.quotas.len(), 0);
        Ok(())
    }

    /// Checks whether [`Scheduler::set_accounts`] would succeed.
    pub fn check_accounts(&self, accounts: Vec<AccountSpec>) -> Result<(), QuotaError> {
        self.quotas.clone().update(&self.grid, accounts)
    }

    /// Restores accounts that were accepted before, even if hardware is missing now.
    pub fn restore_accounts(&mut self, accounts: Vec<AccountSpec>) -> Result<(), QuotaError> {
        self.quotas.restore(accounts)?;
        self.usage.resize(self.quotas.len(), 0);
        Ok(())
    }

    /// Adds a worker or puts it back into service.
    pub fn add_worker(&mut self, spec: WorkerSpec) -> WorkerKey {
        let key = self.grid.add(spec);
        self.grid.set_up(key, true);
        let evacuated = self.evacuated.contains(&self.grid.spec(key).domain);
        self.grid.set_evacuated(key, evacuated);
        self.unpark();
        key
    }

    /// Takes a worker out of service and stops every gang that has a member on it.
    pub fn fail_worker(&mut self, key: WorkerKey) {
        self.quotas.drop_worker(key);
        self.grid.set_up(key, false);
        for job in self.jobs.iter_mut().flatten() {
            job.claims.retain(|c| c.worker != key);
        }
        let lost: Vec<JobKey> = self
            .jobs()
            .filter(|(_, job)| job.cells.iter().any(|c| c.worker == key))
            .map(|(job, _)| job)
            .collect();
        for job in lost {
            self.stop(job, "worker lost", true);
        }
    }

    /// Queues a job and returns its key.
    ///
    /// # Panics
    ///
    /// Panics if the account is unknown; callers check it first.
    pub fn submit(&mut self, mut job: Job, now: Duration) -> JobKey {
        if let Some(key) = self.key(&job.name) {
            return key;
        }
        job.account_index = self
            .quotas
            .index(&job.account)
            .expect("the account is known");
        job.submitted_at = now;
        job.serial = self.next_serial;
        self.next_serial += 1;
        let key = self.free_keys.pop().unwrap_or_else(|| {
            self.jobs.push(None);
            JobKey(self.jobs.len() as u32 - 1)
        });
        self.names.insert(job.name.clone(), key);
        self.jobs[key.0 as usize] = Some(job);
        self.waiting.push(key);
        self.park_unschedulable(key);
        key
    }

    /// Adds a gang that already holds its cells, after a change of placer.
    pub fn adopt(&mut self, mut job: Job, cells: Vec<Cell>, now: Duration) -> JobKey {
        job.cells = cells;
        let key = self.submit(job, now);
        self.waiting.retain(|k| *k != key);
        let slot = self.jobs[key.0 as usize].as_mut();
        let job = slot.expect("the job was just submitted");
        let (index, cells) = (job.account_index, job.cells.clone());
        job.state = JobState::Placed;
        job.is_adopted = true;
        job.started_at = now;
        self.usage[index] += job.accelerators();
        self.adopt_claims(key);
        for cell in cells {
            self.grid.occupy(cell, key);
        }
        key
    }

    /// Cancels a job; a gang that holds cells is stopped before its job is removed.
    pub fn cancel(&mut self, key: JobKey) {
        let Some(job) = self.job(key) else { return };
        match job.state {
            JobState::Waiting | JobState::Parked(_) => {
                self.waiting.retain(|k| *k != key);
                self.remove_job(key);
            }
            JobState::Claimed | JobState::Placed => self.stop(key, "cancelled", false),
            JobState::Stopping => self.job_mut(key).requeue = false,
        }
    }

    /// Records that a gang finished its work; its cells stay used until released.
    pub fn finished(&mut self, key: JobKey, now: Duration) {
        let Some(job) = self.job(key).cloned() else {
            return;
        };
        let runtime = now.saturating_sub(job.started_at);
        let total = (!job.is_adopted).then_some(job.ran_for + runtime);
        self.estimator.observe(job.kind(), runtime, total);
        for cell in &job.cells {
            self.health.record_success(cell.worker);
        }
        self.apply_health(&job.cells, now);
        self.stop(key, "finished", false);
    }

    /// Records that a member of a gang failed on a worker.
    ///
    /// The gang is stopped and its job queued again, or parked if it failed on
    /// too many workers.
    pub fn failed(&mut self, key: JobKey, worker: WorkerKey, now: Duration) {
        let Some(job) = self.job(key) else { return };
        let (cells, serial) = (job.cells.clone(), job.serial);
        self.job_mut(key).failed_workers.insert(worker);
        self.health.record_failure(worker, serial, now);
        self.apply_health(&cells, now);
        self.stop(key, "member failed", true);
    }

    /// Stops a gang that was lost without a failure of its job, and queues the job again.
    pub fn requeue_lost(&mut self, key: JobKey) {
        self.stop(key, "gang lost", true);
    }

    /// Returns a message that explains why a job waits.
    pub fn waiting_reason(&self, key: JobKey) -> String {
        let Some(job) = self.job(key) else {
            return String::new();
        };
        let spec = self.quotas.spec(job.account_index);
        let quota: crate::shape::CellCounts = spec.quota.iter().copied().collect();
        let mut needs = crate::shape::CellCounts::default();
        needs.add(job.shape, job.count);
        let coverage = if quota.packs(&needs) {
            "its account's guarantee is in use"
        } else {
            "it exceeds its account's guarantee"
        };
        let other = self.reservation.as_ref().filter(|r| r.job != key);
        let holder = other.and_then(|r| self.job(r.job)).map(|j| j.name.clone());
        let reserved = holder.map_or(String::new(), |n| format!("; cells are reserved for {n}"));
        let evacuated = self.evacuated_note();
        format!(
            "{coverage}; {} of {} needed accelerators are idle{reserved}{evacuated}",
            self.grid.idle(),
            job.accelerators()
        )
    }

    fn apply_health(&mut self, cells: &[Cell], now: Duration) {
        for cell in cells {
            let quarantined = self.health.is_quarantined(cell.worker, now);
            self.grid.set_quarantined(cell.worker, quarantined);
        }
    }

    /// Returns whether a worker is quarantined, that is, closed to borrowers.
    pub fn is_quarantined(&self, worker: WorkerKey, now: Duration) -> bool {
        self.health.is_quarantined(worker, now)
    }

    /// Records that every member of a stopped gang has released its cell.
    pub fn released(&mut self, key: JobKey) {
        let Some(job) = self.job(key) else { return };
        if job.state != JobState::Stopping {
            return;
        }
        let cells = job.cells.clone();
        // A stop that no pass has returned yet would undo the next start of the job.
        self.pending_stops.retain(|stop| stop.job() != key);
        for cell in &cells {
            self.grid.vacate(*cell);
        }
        self.release_claims(key);
        let job = self.job_mut(key);
        job.cells.clear();
        if job.requeue {
            self.requeue(key);
        } else {
            self.remove_job(key);
        }
    }

    fn requeue(&mut self, key: JobKey) {
        let limit = self.policy.max_failed_workers;
        let job = self.job_mut(key);
        job.guaranteed = false;
        job.requeue = false;
        if job.failed_workers.len() >= limit {
            let reason = format!("failed on {} workers", job.failed_workers.len());
            job.state = JobState::Parked(reason.into());
        } else {
            job.state = JobState::Waiting;
            self.waiting.push(key);
        }
    }

    fn stop(&mut self, key: JobKey, reason: &'static str, requeue: bool) {
        let Some(job) = self.jobs[key.0 as usize].as_mut() else {
            return;
        };
        match job.state {
            JobState::Stopping => job.requeue &= requeue,
            JobState::Placed => {
                job.state = JobState::Stopping;
                job.requeue = requeue;
                let (index, size) = (job.account_index, job.accelerators());
                self.usage[index] -= size;
                self.pending_stops.push(Decision::Stop { job: key, reason });
            }
            JobState::Claimed => {
                let (index, size) = (job.account_index, job.accelerators());
                self.usage[index] -= size;
                self.claimed.retain(|k| *k != key);
                self.release_claims(key);
                self.job_mut(key).cells.clear();
                if requeue {
                    self.requeue(key);
                } else {
                    self.remove_job(key);
                }
            }
            JobState::Waiting | JobState::Parked(_) => {}
        }
    }

    fn release_claims(&mut self, key: JobKey) {
        let job = self.job_mut(key);
        if !job.guaranteed {
            return;
        }
        job.guaranteed = false;
        let (index, claims) = (job.account_index, std::mem::take(&mut job.claims));
        self.quotas.release(&mut self.grid, index, &claims);
    }

    fn remove_job(&mut self, key: JobKey) {
        if let Some(job) = self.jobs[key.0 as usize].take() {
            self.names.remove(&job.name);
            self.free_keys.push(key);
        }
    }

    fn job_mut(&mut self, key: JobKey) -> &mut Job {
        let slot = self.jobs[key.0 as usize].as_mut();
        slot.expect("the key names a live job")
    }

    /// Returns whether the workers in service could hold a gang if all were idle.
    pub fn could_fit(&self, shape: Shape, count: u32) -> bool {
        let mut needs = crate::shape::CellCounts::default();
        needs.add(shape, count);
        self.grid.total().packs(&needs)
    }

    fn park_unschedulable(&mut self, key: JobKey) {
        let job = self.job(key).expect("the key names a live job");
        if self.could_fit(job.shape, job.count) {
            return;
        }
        let total: Vec<ShapeCount> = (*self.grid.total()).into();
        let have = total.iter().map(|e| format!("{} {:?}", e.count, e.shape));
        let reason = format!(
            "needs {} x {:?}; the workers in service have {}{}",
            job.count,
            job.shape,
            have.collect::<Vec<_>>().join(", "),
            self.evacuated_note()
        );
        self.waiting.retain(|k| *k != key);
        self.job_mut(key).state = JobState::Parked(reason.into());
    }

    fn unpark(&mut self) {
        let parked: Vec<JobKey> = self
            .jobs()
            .filter(|(_, j)| matches!(j.state, JobState::Parked(_)))
            .filter(|(_, j)| j.failed_workers.len() < self.policy.max_failed_workers)
            .filter(|(_, j)| self.could_fit(j.shape, j.count))
            .map(|(key, _)| key)
            .collect();
        for key in parked {
            self.job_mut(key).state = JobState::Waiting;
            self.waiting.push(key);
        }
    }
}
