//! Replays generated workloads through the scheduler on a virtual clock.

use super::table::Table;
use super::table::percentile;
use anyhow::Result;
use hibiscusbarrow_placement::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

/// The seeds over which each figure is averaged.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
/// The time that a preempted job takes to write a checkpoint before it releases its cells.
const CHECKPOINT_TIME: Duration = Duration::from_secs(2);
/// The interval of passes that run without an event, so that the scheduler notices long waits.
const TICK_INTERVAL: Duration = Duration::from_secs(30);

/// A deployment and the jobs that it is offered.
#[derive(Clone)]
struct Scenario {
    name: &'static str,
    workers: Vec<u8>,
    quotas: Vec<Vec<(Shape, u32)>>,
    jobs: usize,
    /// The offered load as a share of all accelerators.
    load: f64,
    /// The gangs of the jobs: weight in the random choice, shape, and number of shapes.
    gangs: Vec<(u32, Shape, u32)>,
    /// The mean time between failures of one worker.
    mtbf: Duration,
}

fn scenarios() -> Vec<Scenario> {
    use Shape::*;
    let small_gangs = vec![
        (50, Accelerator, 1),
        (18, Pair, 1),
        (14, Quad, 1),
        (12, Worker, 1),
        (4, Worker, 2),
        (2, Worker, 4),
    ];
    let covoyage = Scenario {
        name: "covoyage",
        workers: vec![8; 10],
        quotas: vec![
            vec![(Worker, 2), (Pair, 2)],
            vec![(Worker, 2), (Quad, 1)],
            vec![(Quad, 2)],
            vec![(Pair, 2)],
        ],
        jobs: 2000,
        load: 0.85,
        gangs: small_gangs.clone(),
        mtbf: Duration::from_secs(7 * 24 * 3600),
    };
    let kitami = Scenario {
        name: "kitami",
        quotas: vec![
            vec![(Worker, 4)],
            vec![(Worker, 1)],
            vec![(Quad, 2)],
            vec![(Quad, 1), (Pair, 1)],
        ],
        gangs: vec![
            (40, Accelerator, 1),
            (15, Pair, 1),
            (15, Quad, 1),
            (18, Worker, 1),
            (8, Worker, 2),
            (4, Worker, 4),
        ],
        ..covoyage.clone()
    };
    let mut workers = vec![8; 100];
    workers.extend(vec![1; 4500]);
    let mut gangs = vec![
        (70, Accelerator, 1),
        (10, Accelerator, 16),
        (4, Accelerator, 128),
    ];
    gangs.extend([
        (1, Accelerator, 512),
        (6, Pair, 1),
        (5, Quad, 1),
        (3, Worker, 1),
        (1, Worker, 8),
    ]);
    let large = Scenario {
        name: "4600 workers",
        workers,
        quotas: vec![vec![(Accelerator, 20)]; 130],
        jobs: 7100,
        load: 0.85,
        gangs,
        mtbf: Duration::from_secs(51 * 24 * 3600),
    };
    vec![covoyage, kitami, large]
}

/// Compares the default policy with two baselines on every scenario.
pub fn measure() -> Result<Vec<Table>> {
    let columns = [
        "policy",
        "mean completion min",
        "p95 completion min",
        "free and unusable, % of free",
        "free and unusable, % of all",
        "large-decile wait min",
        "reclaim p99 s",
        "preemptions",
        "unsafe passes",
        "finished",
    ];
    let mut tables = Vec::new();
    for scenario in scenarios() {
        let title = format!("Workload {}", scenario.name);
        let mut table = Table::new(&title, &columns);
        let learned = Policy {
            learned_order: true,
            ..Policy::default()
        };
        let policies = [
            ("first-fit FIFO", Policy::first_fit_fifo()),
            ("best fit, no reservation", Policy::best_fit()),
            ("default", Policy::default()),
            ("default, learned order", learned),
        ];

        let seeds = if scenario.workers.len() > 100 {
            &SEEDS[..1]
        } else {
            &SEEDS
        };
        for (name, policy) in policies {
            let runs: Vec<Vec<f64>> = seeds
                .iter()
                .map(|s| Replay::new(&scenario, policy, *s).run())
                .collect();
            let mean = |i: usize| runs.iter().map(|r| r[i]).sum::<f64>() / runs.len() as f64;
            table.push_named(name, (0..columns.len() - 1).map(mean).collect::<Vec<f64>>());
        }
        tables.push(table);
    }
    Ok(tables)
}

/// A job of the workload.
struct WorkloadJob {
    account: usize,
    shape: Shape,
    count: u32,
    arrives_at: Duration,
    /// The run time that is left at the start of the current or next run.
    remaining: Duration,
    cancelled_at: Option<Duration>,
    started_at: Option<Duration>,
    first_started_at: Option<Duration>,
    /// `Duration::MAX` if the job was cancelled.
    ended_at: Option<Duration>,
    /// Changes with each start and stop, so that the end event of an earlier run is ignored.
    run_number: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    End(usize, u32),
    Release(usize),
    Cancel(usize),
    Fail(u32),
    Restore(u32),
    Tick,
}

/// One simulation of a scenario under a policy.
struct Replay<'a> {
    scenario: &'a Scenario,
    scheduler: Scheduler,
    jobs: Vec<WorkloadJob>,
    job_indices: HashMap<JobKey, usize>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    now: Duration,
    rng: SmallRng,
    unfinished: usize,
    preemptions: f64,
    unsafe_passes: f64,
    /// The accelerator-seconds that are free while jobs wait, and the part of them that the
    /// largest waiting gang cannot use.
    free_time: f64,
    unusable_time: f64,
    claim_waits: Vec<f64>,
    failed_workers: usize,
}

impl<'a> Replay<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let mut scheduler = Scheduler::new(policy);
        for (i, size) in scenario.workers.iter().enumerate() {
            let spec = WorkerSpec::new(
                format!("w{i}"),
                format!("r{}", i / 3),
                format!("d{}", i % 3),
                *size,
            );
            scheduler.add_worker(spec);
        }
        let accounts = scenario
            .quotas
            .iter()
            .enumerate()
            .map(|(i, quota)| AccountSpec {
                name: format!("a{i}").into(),
                weight: 1,
                quota: quota
                    .iter()
                    .map(|(shape, count)| ShapeCount {
                        shape: *shape,
                        count: *count,
                    })
                    .collect(),
            });
        scheduler
            .set_accounts(accounts.collect())
            .expect("the quotas fit the grid");
        let mut rng = SmallRng::seed_from_u64(seed);
        let jobs = generate(scenario, &mut rng);
        let mut replay = Self {
            scenario,
            scheduler,
            unfinished: jobs.len(),
            jobs,
            job_indices: HashMap::new(),
            events: BinaryHeap::new(),
            now: Duration::ZERO,
            rng,
            preemptions: 0.0,
            unsafe_passes: 0.0,
            free_time: 0.0,
            unusable_time: 0.0,
            claim_waits: Vec::new(),
            failed_workers: 0,
        };
        replay.schedule_initial();
        replay
    }

    /// Schedules all arrivals and cancellations, and the first failures and tick.
    fn schedule_initial(&mut self) {
        for i in 0..self.jobs.len() {
            self.schedule(self.jobs[i].arrives_at, Event::Arrive(i));
            if let Some(at) = self.jobs[i].cancelled_at {
                self.schedule(at, Event::Cancel(i));
            }
        }
        for w in 0..self.scenario.workers.len() as u32 {
            let first = self.exponential(self.scenario.mtbf);
            self.schedule(first, Event::Fail(w));
        }
        self.schedule(TICK_INTERVAL, Event::Tick);
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.events.push(Reverse((time, event)));
    }

    /// Draws a duration from an exponential distribution.
    fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-self.rng.random_range(f64::EPSILON..1.0).ln())
    }

    fn run(mut self) -> Vec<f64> {
        while self.unfinished > 0 {
            let Some(Reverse((time, event))) = self.events.pop() else {
                break;
            };
            self.record_free_time(time);
            self.now = time;
            self.handle(event);
            while self
                .events
                .peek()
                .is_some_and(|Reverse((at, _))| *at == time)
            {
                let Some(Reverse((_, event))) = self.events.pop() else {
                    break;
                };
                self.handle(event);
            }
            self.run_pass();
        }
        self.report()
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrive(i) => {
                let job = &self.jobs[i];
                let account = format!("a{}", job.account);
                let job = Job::new(format!("j{i}"), account, job.shape, job.count);
                let key = self.scheduler.submit(job, now);
                self.job_indices.insert(key, i);
            }
            Event::End(i, run_number) => {
                if self.jobs[i].run_number == run_number && self.jobs[i].started_at.is_some() {
                    let key = self
                        .scheduler
                        .key(&format!("j{i}"))
                        .expect("the job is running");
                    self.finish_job(i);
                    self.scheduler.finished(key, now);
                }
            }
            Event::Release(i) => {
                if let Some(key) = self.scheduler.key(&format!("j{i}")) {
                    self.scheduler.released(key);
                }
            }
            Event::Cancel(i) => {
                let key = self.scheduler.key(&format!("j{i}"));
                if let Some(key) = key.filter(|_| self.jobs[i].ended_at.is_none()) {
                    self.unfinished -= 1;
                    self.jobs[i].ended_at = Some(Duration::MAX);
                    self.scheduler.cancel(key);
                }
            }
            Event::Fail(w) => {
                self.scheduler.fail_worker(WorkerKey(w));
                self.failed_workers += 1;
                self.schedule(now + Duration::from_secs(1200), Event::Restore(w));
            }
            Event::Restore(w) => {
                let spec = self.scheduler.grid().spec(WorkerKey(w)).clone();
                self.scheduler.add_worker(spec);
                self.failed_workers -= 1;
                let next = now + self.exponential(self.scenario.mtbf);
                self.schedule(next, Event::Fail(w));
            }
            Event::Tick => self.schedule(now + TICK_INTERVAL, Event::Tick),
        }
    }

    fn finish_job(&mut self, i: usize) {
        let job = &mut self.jobs[i];
        job.ended_at = Some(self.now);
        job.started_at = None;
        self.unfinished -= 1;
    }

    fn run_pass(&mut self) {
        for decision in self.scheduler.pass(self.now) {
            match decision {
                Decision::Start {
                    job, guaranteed, ..
                } => self.start(job, guaranteed),
                Decision::Stop { job, .. } => self.stop(job),
            }
        }
        let safe = self.scheduler.quotas().is_safe(self.scheduler.grid());
        if !safe && self.failed_workers == 0 {
            self.unsafe_passes += 1.0;
        }
    }

    fn start(&mut self, key: JobKey, guaranteed: bool) {
        let i = self.job_indices[&key];
        let now = self.now;
        if let Some(job) = self.scheduler.job(key).filter(|_| guaranteed) {
            self.claim_waits.push((now - job.claimed_at).as_secs_f64());
        }
        let job = &mut self.jobs[i];
        job.run_number += 1;
        job.started_at = Some(now);
        job.first_started_at.get_or_insert(now);
        let (end, run_number) = (now + job.remaining, job.run_number);
        self.schedule(end, Event::End(i, run_number));
    }

    fn stop(&mut self, key: JobKey) {
        let i = self.job_indices[&key];
        let now = self.now;
        let job = &mut self.jobs[i];
        let mut released_at = now;
        if let Some(started_at) = job.started_at.take() {
            job.remaining = job.remaining.saturating_sub(now - started_at) + CHECKPOINT_TIME;
            job.run_number += 1;
            released_at = now + CHECKPOINT_TIME;
            self.preemptions += 1.0;
        }
        self.schedule(released_at, Event::Release(i));
    }

    /// Adds the free and unusable accelerator-seconds from now to `until`, if a job waits.
    fn record_free_time(&mut self, until: Duration) {
        let seconds = (until - self.now).as_secs_f64();
        let grid = self.scheduler.grid();
        let waiting = self.scheduler.waiting_jobs();
        let Some(largest) = waiting.max_by_key(|j| j.accelerators()) else {
            return;
        };
        let shape = largest.shape;
        let free = |w| grid.present_mask(w) & !grid.used_mask(w);
        let fitting = |w| shape.masks().filter(|m| free(w) & m == *m).count() as u32;
        let total: u32 = grid.workers().map(|w| free(w).count_ones()).sum();
        let usable_total: u32 = grid
            .workers()
            .map(|w| fitting(w) * shape.accelerators())
            .sum();
        self.free_time += f64::from(total) * seconds;
        self.unusable_time += f64::from(total - usable_total) * seconds;
    }

    /// Returns the accelerator-seconds of all workers over the replay.
    fn accelerator_seconds(&self) -> f64 {
        let total: u32 = self.scenario.workers.iter().map(|s| u32::from(*s)).sum();
        f64::from(total) * self.now.as_secs_f64()
    }

    /// Returns the values of a row, in the order of the columns.
    fn report(mut self) -> Vec<f64> {
        let minutes = |d: Duration| d.as_secs_f64() / 60.0;
        let finished = self
            .jobs
            .iter()
            .filter(|j| j.ended_at.is_some_and(|d| d < Duration::MAX));
        let mut completion_minutes: Vec<f64> = finished
            .clone()
            .map(|j| minutes(j.ended_at.unwrap_or_default() - j.arrives_at))
            .collect();
        let mut sizes: Vec<u32> = finished.clone().map(gang_size).collect();
        sizes.sort_unstable();
        let top_decile = sizes[sizes.len() * 9 / 10];
        let large_jobs = finished.filter(|j| gang_size(j) >= top_decile);
        let waits: Vec<f64> = large_jobs
            .map(|j| minutes(j.first_started_at.unwrap_or_default() - j.arrives_at))
            .collect();
        let mean = |v: &[f64]| v.iter().sum::<f64>() / v.len().max(1) as f64;
        vec![
            mean(&completion_minutes),
            percentile(&mut completion_minutes, 0.95),
            100.0 * self.unusable_time / self.free_time.max(1.0),
            100.0 * self.unusable_time / self.accelerator_seconds().max(1.0),
            mean(&waits),
            percentile(&mut self.claim_waits, 0.99),
            self.preemptions,
            self.unsafe_passes,
            completion_minutes.len() as f64,
        ]
    }
}

/// Returns the number of accelerators of a job.
fn gang_size(job: &WorkloadJob) -> u32 {
    job.shape.accelerators() * job.count
}

/// Generates jobs with heavy-tailed (log-normal) run times.
///
/// 30 % of the jobs arrive in bursts, within the first minute of every two hours. Halfway
/// through the arrivals, half of the jobs that arrived in the last 30 minutes are cancelled.
fn generate(scenario: &Scenario, rng: &mut SmallRng) -> Vec<WorkloadJob> {
    let total: u32 = scenario.workers.iter().map(|s| u32::from(*s)).sum();
    let weights: u32 = scenario.gangs.iter().map(|s| s.0).sum();
    let mut jobs = Vec::new();
    let mut demand = 0.0;
    for i in 0..scenario.jobs {
        let mut pick = rng.random_range(0..weights);
        let entry = scenario.gangs.iter().find(|s| {
            let selected = pick < s.0;
            pick = pick.saturating_sub(s.0);
            selected
        });
        let (_, shape, count) = *entry.expect("the weights add up");
        let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let seconds = (1500.0 * (normal * 0.9).exp()).clamp(30.0, 6.0 * 3600.0);
        demand += seconds * f64::from(shape.accelerators() * count);
        jobs.push(WorkloadJob {
            account: i % scenario.quotas.len(),
            shape,
            count,
            arrives_at: Duration::ZERO,
            remaining: Duration::from_secs_f64(seconds),
            cancelled_at: None,
            started_at: None,
            first_started_at: None,
            ended_at: None,
            run_number: 0,
        });
    }
    let arrival_seconds = demand / (f64::from(total) * scenario.load);
    for job in &mut jobs {
        let in_burst = rng.random_range(0..100) < 30;
        let at = rng.random_range(0.0..arrival_seconds);
        let at = if in_burst {
            (at / 7200.0).floor() * 7200.0 + at % 60.0
        } else {
            at
        };
        job.arrives_at = Duration::from_secs_f64(at);
    }
    let mass_cancel_at = Duration::from_secs_f64(arrival_seconds / 2.0);
    for job in &mut jobs {
        let is_recent = job.arrives_at < mass_cancel_at
            && mass_cancel_at - job.arrives_at < Duration::from_secs(1800);
        if is_recent && rng.random_range(0..100) < 50 {
            job.cancelled_at = Some(mass_cancel_at);
        }
    }
    jobs
}
