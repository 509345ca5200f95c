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
/// The time that a checkpoint takes before cells are free.
const CHECKPOINT: Duration = Duration::from_secs(2);
/// The time between passes at which waits are noticed without an event.
const TICK: Duration = Duration::from_secs(30);

/// Describes a deployment and its jobs.
#[derive(Clone)]
struct Scenario {
    name: &'static str,
    workers: Vec<u8>,
    quotas: Vec<Vec<(Shape, u32)>>,
    jobs: usize,
    /// The offered load as a share of all accelerators.
    load: f64,
    /// Gang sizes with their weights.
    sizes: Vec<(u32, Shape, u32)>,
    /// The mean time between failures of one worker.
    failure: Duration,
}

fn scenarios() -> Vec<Scenario> {
    use Shape::*;
    let small = vec![
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
        sizes: small.clone(),
        failure: Duration::from_secs(7 * 24 * 3600),
    };
    let kitami = Scenario {
        name: "kitami",
        quotas: vec![
            vec![(Worker, 4)],
            vec![(Worker, 1)],
            vec![(Quad, 2)],
            vec![(Quad, 1), (Pair, 1)],
        ],
        sizes: vec![
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
    let mut sizes = vec![
        (70, Accelerator, 1),
        (10, Accelerator, 16),
        (4, Accelerator, 128),
    ];
    sizes.extend([
        (1, Accelerator, 512),
        (6, Pair, 1),
        (5, Quad, 1),
        (3, Worker, 1),
        (1, Worker, 8),
    ]);
    let letter = Scenario {
        name: "letter size",
        workers,
        quotas: vec![vec![(Accelerator, 20)]; 130],
        jobs: 7100,
        load: 0.85,
        sizes,
        failure: Duration::from_secs(51 * 24 * 3600),
    };
    vec![covoyage, kitami, letter]
}

/// Compares the scheduler with two baselines on every scenario.
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
        let mut table = Table::slope(&title, &columns);
        let policies = [
            ("first-fit FIFO", Policy::first_fit_fifo()),
            ("best fit, no reservation", Policy::best_fit()),
            ("default", Policy::default()),
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
struct Work {
    account: usize,
    shape: Shape,
    count: u32,
    arrives: Duration,
    left: Duration,
    cancelled: Option<Duration>,
    started: Option<Duration>,
    first_start: Option<Duration>,
    done: Option<Duration>,
    /// Counts starts, so that the end of an earlier one is ignored.
    round: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    End(usize, u32),
    Free(usize),
    Cancel(usize),
    Fail(u32),
    Heal(u32),
    Tick,
}

struct Replay<'a> {
    scenario: &'a Scenario,
    scheduler: Scheduler,
    jobs: Vec<Work>,
    keys: HashMap<JobKey, usize>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    now: Duration,
    rng: SmallRng,
    open: usize,
    preemptions: f64,
    unsafe_passes: f64,
    /// Accelerator time that is free while a gang waits, and the part it cannot use.
    free_time: f64,
    wasted_time: f64,
    claim_waits: Vec<f64>,
    down: usize,
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
            .expect("the quotas fit");
        let mut rng = SmallRng::seed_from_u64(seed);
        let jobs = generate(scenario, &mut rng);
        let mut replay = Self {
            scenario,
            scheduler,
            open: jobs.len(),
            jobs,
            keys: HashMap::new(),
            events: BinaryHeap::new(),
            now: Duration::ZERO,
            rng,
            preemptions: 0.0,
            unsafe_passes: 0.0,
            free_time: 0.0,
            wasted_time: 0.0,
            claim_waits: Vec::new(),
            down: 0,
        };
        replay.plan();
        replay
    }

    fn plan(&mut self) {
        for i in 0..self.jobs.len() {
            self.at(self.jobs[i].arrives, Event::Arrive(i));
            if let Some(at) = self.jobs[i].cancelled {
                self.at(at, Event::Cancel(i));
            }
        }
        for w in 0..self.scenario.workers.len() as u32 {
            let first = self.exponential(self.scenario.failure);
            self.at(first, Event::Fail(w));
        }
        self.at(TICK, Event::Tick);
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.events.push(Reverse((time, event)));
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-self.rng.random_range(f64::EPSILON..1.0).ln())
    }

    fn run(mut self) -> Vec<f64> {
        while self.open > 0 {
            let Some(Reverse((time, event))) = self.events.pop() else {
                break;
            };
            self.account_for(time);
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
            self.pass();
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
                self.keys.insert(key, i);
            }
            Event::End(i, round) => {
                if self.jobs[i].round == round && self.jobs[i].started.is_some() {
                    let key = self.scheduler.key(&format!("j{i}")).expect("it runs");
                    self.close(i);
                    self.scheduler.finished(key, now);
                }
            }
            Event::Free(i) => {
                if let Some(key) = self.scheduler.key(&format!("j{i}")) {
                    self.scheduler.released(key);
                }
            }
            Event::Cancel(i) => {
                let key = self.scheduler.key(&format!("j{i}"));
                if let Some(key) = key.filter(|_| self.jobs[i].done.is_none()) {
                    self.open -= 1;
                    self.jobs[i].done = Some(Duration::MAX);
                    self.scheduler.cancel(key);
                }
            }
            Event::Fail(w) => {
                self.scheduler.fail_worker(WorkerKey(w));
                self.down += 1;
                self.at(now + Duration::from_secs(1200), Event::Heal(w));
            }
            Event::Heal(w) => {
                let spec = self.scheduler.grid().spec(WorkerKey(w)).clone();
                self.scheduler.add_worker(spec);
                self.down -= 1;
                let next = now + self.exponential(self.scenario.failure);
                self.at(next, Event::Fail(w));
            }
            Event::Tick => self.at(now + TICK, Event::Tick),
        }
    }

    fn close(&mut self, i: usize) {
        let job = &mut self.jobs[i];
        job.done = Some(self.now);
        job.started = None;
        self.open -= 1;
    }

    fn pass(&mut self) {
        for decision in self.scheduler.pass(self.now) {
            match decision {
                Decision::Start {
                    job, guaranteed, ..
                } => self.start(job, guaranteed),
                Decision::Stop { job, .. } => self.stop(job),
            }
        }
        let safe = self.scheduler.quotas().is_safe(self.scheduler.grid());
        if !safe && self.down == 0 {
            self.unsafe_passes += 1.0;
        }
    }

    fn start(&mut self, key: JobKey, guaranteed: bool) {
        let i = self.keys[&key];
        let now = self.now;
        if let Some(job) = self.scheduler.job(key).filter(|_| guaranteed) {
            self.claim_waits.push((now - job.claimed_at).as_secs_f64());
        }
        let job = &mut self.jobs[i];
        job.round += 1;
        job.started = Some(now);
        job.first_start.get_or_insert(now);
        let (end, round) = (now + job.left, job.round);
        self.at(end, Event::End(i, round));
    }

    fn stop(&mut self, key: JobKey) {
        let i = self.keys[&key];
        let now = self.now;
        let job = &mut self.jobs[i];
        let mut free = now;
        if let Some(started) = job.started.take() {
            job.left = job.left.saturating_sub(now - started) + CHECKPOINT;
            job.round += 1;
            free = now + CHECKPOINT;
            self.preemptions += 1.0;
        }
        self.at(free, Event::Free(i));
    }

    /// Adds up free accelerators, and those that the largest waiting gang cannot use.
    fn account_for(&mut self, until: Duration) {
        let span = (until - self.now).as_secs_f64();
        let grid = self.scheduler.grid();
        let waiting = self.scheduler.waiting_jobs();
        let Some(largest) = waiting.max_by_key(|j| j.accelerators()) else {
            return;
        };
        let shape = largest.shape;
        let free = |w| grid.present_mask(w) & !grid.used_mask(w);
        let usable = |w| shape.masks().filter(|m| free(w) & m == *m).count() as u32;
        let total: u32 = grid.workers().map(|w| free(w).count_ones()).sum();
        let fits: u32 = grid
            .workers()
            .map(|w| usable(w) * shape.accelerators())
            .sum();
        self.free_time += f64::from(total) * span;
        self.wasted_time += f64::from(total - fits) * span;
    }

    /// Returns the accelerator time of the whole replay.
    fn capacity(&self) -> f64 {
        let total: u32 = self.scenario.workers.iter().map(|s| u32::from(*s)).sum();
        f64::from(total) * self.now.as_secs_f64()
    }

    fn report(mut self) -> Vec<f64> {
        let minutes = |d: Duration| d.as_secs_f64() / 60.0;
        let finished = self
            .jobs
            .iter()
            .filter(|j| j.done.is_some_and(|d| d < Duration::MAX));
        let mut spans: Vec<f64> = finished
            .clone()
            .map(|j| minutes(j.done.unwrap_or_default() - j.arrives))
            .collect();
        let mut sizes: Vec<u32> = finished.clone().map(size_of).collect();
        sizes.sort_unstable();
        let decile = sizes[sizes.len() * 9 / 10];
        let large = finished.filter(|j| size_of(j) >= decile);
        let waits: Vec<f64> = large
            .map(|j| minutes(j.first_start.unwrap_or_default() - j.arrives))
            .collect();
        let mean = |v: &[f64]| v.iter().sum::<f64>() / v.len().max(1) as f64;
        vec![
            mean(&spans),
            percentile(&mut spans, 0.95),
            100.0 * self.wasted_time / self.free_time.max(1.0),
            100.0 * self.wasted_time / self.capacity().max(1.0),
            mean(&waits),
            percentile(&mut self.claim_waits, 0.99),
            self.preemptions,
            self.unsafe_passes,
            spans.len() as f64,
        ]
    }
}

fn size_of(job: &Work) -> u32 {
    job.shape.accelerators() * job.count
}

/// Generates arrivals with bursts, heavy-tailed run times and waves of cancellations.
fn generate(scenario: &Scenario, rng: &mut SmallRng) -> Vec<Work> {
    let total: u32 = scenario.workers.iter().map(|s| u32::from(*s)).sum();
    let weights: u32 = scenario.sizes.iter().map(|s| s.0).sum();
    let mut jobs = Vec::new();
    let mut demand = 0.0;
    for i in 0..scenario.jobs {
        let mut pick = rng.random_range(0..weights);
        let entry = scenario.sizes.iter().find(|s| {
            let hit = pick < s.0;
            pick = pick.saturating_sub(s.0);
            hit
        });
        let (_, shape, count) = *entry.expect("the weights add up");
        let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let seconds = (1500.0 * (normal * 0.9).exp()).clamp(30.0, 6.0 * 3600.0);
        demand += seconds * f64::from(shape.accelerators() * count);
        jobs.push(Work {
            account: i % scenario.quotas.len(),
            shape,
            count,
            arrives: Duration::ZERO,
            left: Duration::from_secs_f64(seconds),
            cancelled: None,
            started: None,
            first_start: None,
            done: None,
            round: 0,
        });
    }
    let horizon = demand / (f64::from(total) * scenario.load);
    for job in &mut jobs {
        let burst = rng.random_range(0..100) < 30;
        let at = rng.random_range(0.0..horizon);
        let at = if burst {
            (at / 7200.0).floor() * 7200.0 + at % 60.0
        } else {
            at
        };
        job.arrives = Duration::from_secs_f64(at);
    }
    let wave = Duration::from_secs_f64(horizon / 2.0);
    for job in &mut jobs {
        let near = job.arrives < wave && wave - job.arrives < Duration::from_secs(1800);
        if near && rng.random_range(0..100) < 50 {
            job.cancelled = Some(wave);
        }
    }
    jobs
}
