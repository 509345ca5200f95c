//! Measures what learned run times change for callers of a fleet, on a virtual clock.

use super::ledger;
use super::table::Table;
use super::table::percentile;
use anyhow::Result;
use hibiscusbarrow_coordination::runtime::FinishedRun;
use hibiscusbarrow_coordination::runtime::Kind;
use hibiscusbarrow_coordination::runtime::RunTimes;
use hibiscusbarrow_coordination::runtime::Shape;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Objective;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::ledger::Bounds;
use hibiscusbarrow_fleet::ledger::Effect;
use hibiscusbarrow_fleet::ledger::LearnedTimes;
use hibiscusbarrow_fleet::ledger::Ledger;
use hibiscusbarrow_fleet::manifest::Account;
use hibiscusbarrow_fleet::manifest::Manifest;
use hibiscusbarrow_fleet::record::Record;
use hibiscusbarrow_fleet::worker::Announcement;
use hibiscusbarrow_fleet::worker::Answer;
use hibiscusbarrow_fleet::worker::Boot;
use hibiscusbarrow_fleet::worker::End;
use hibiscusbarrow_fleet::worker::Ended;
use hibiscusbarrow_fleet::worker::Listing;
use hibiscusbarrow_fleet::worker::Order;
use hibiscusbarrow_fleet::worker::Resources;
use hibiscusbarrow_fleet::worker::Running;
use hibiscusbarrow_fleet::worker::TaskId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The seeds over which each figure is averaged.
const SEEDS: [u64; 4] = [1, 2, 3, 4];
/// The number of workers, each with 8 accelerators.
const WORKERS: usize = 24;
/// The number of jobs.
const JOBS: usize = 400;
/// The time over which the jobs arrive at a load of 1.
const LOAD: f64 = 0.95;
/// The time between two plans.
const TICK: Duration = Duration::from_millis(200);
/// The ticks between two polls of a worker on which nothing has ended.
const POLL_TICKS: u64 = 3;
/// When a workload that has not ended is given up.
const MAX_TIME: Duration = Duration::from_secs(3_600);
/// The wall-clock time of the start, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 1_700_000_000_000;
/// The runs of each kind that perfect knowledge has seen, each as long as declared.
const PERFECT_RUNS: usize = 200;

/// A way to know run times.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Knowledge {
    /// The declared times.
    Declared,
    /// The actual times of the tasks of each step, on average.
    Perfect,
}

/// Compares first-fit order, learned times and perfect knowledge, and each use alone; then the cost
/// of plans.
pub fn measure() -> Result<Vec<Table>> {
    let off = LearnedTimes::default();
    let mut all = off;
    let mut variants = vec![("first-fit order".to_owned(), off, Knowledge::Declared)];
    for name in LearnedTimes::NAMES {
        all.enable(name);
    }
    variants.push(("learned, all uses".to_owned(), all, Knowledge::Declared));
    variants.push(("perfect, all uses".to_owned(), all, Knowledge::Perfect));
    for name in LearnedTimes::NAMES {
        let mut alone = off;
        alone.enable(name);
        variants.push((format!("learned, {name}"), alone, Knowledge::Declared));
    }
    for name in LearnedTimes::NAMES {
        let mut others = off;
        for other in LearnedTimes::NAMES {
            if other != name {
                others.enable(other);
            }
        }
        variants.push((
            format!("learned, all but {name}"),
            others,
            Knowledge::Declared,
        ));
    }
    let mut order = off;
    order.enable("order");
    variants.push(("perfect, order".to_owned(), order, Knowledge::Perfect));
    let columns = [
        "knowledge",
        "mean completion s",
        "largest decile s",
        "longest s",
        "missed objectives %",
        "lost work %",
        "stops",
        "jobs not ended",
    ];
    let mut table = Table::new("Completion by knowledge of run times", &columns);
    for (name, uses, knowledge) in variants {
        let runs: Vec<Vec<f64>> = SEEDS
            .iter()
            .map(|seed| Replay::new(*seed, uses, knowledge).run())
            .collect();
        let mean = |i: usize| runs.iter().map(|r| r[i]).sum::<f64>() / runs.len() as f64;
        let figures: Vec<f64> = (0..columns.len() - 1).map(mean).collect();
        table.push_named(&name, figures);
    }
    Ok(vec![table, ledger::measure_learned(all)])
}

/// A job with the actual run time of each task, by step.
struct DrawnJob {
    arrives_at: Duration,
    job: Job,
    times: Vec<Vec<Duration>>,
    ended_at: Option<Duration>,
}

/// A worker and its runs.
struct SimWorker {
    slowness: f64,
    runs: Vec<SimRun>,
    ended: Vec<Ended>,
    next_end: u64,
}

struct SimRun {
    task: TaskId,
    number: u64,
    began: Duration,
    ends_at: Duration,
}

/// A workload that is replayed against a ledger.
struct Replay {
    ledger: Ledger,
    now: Duration,
    ticks: u64,
    revision: u64,
    jobs: Vec<DrawnJob>,
    positions: BTreeMap<SmolStr, usize>,
    workers: BTreeMap<SmolStr, SimWorker>,
    stops: u64,
    /// The time of runs that were stopped, and of all runs, in accelerator-seconds.
    lost: f64,
    used: f64,
}

impl Replay {
    fn new(seed: u64, uses: LearnedTimes, knowledge: Knowledge) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut jobs = draw_jobs(&mut rng);
        let mut times = RunTimes::default();
        if knowledge == Knowledge::Perfect {
            for drawn in &mut jobs {
                teach(drawn, &mut times);
            }
        }
        let bounds = Bounds {
            status_retention: MAX_TIME,
            ..Bounds::default()
        };
        let mut ledger = Ledger::new(bounds, 1, Duration::ZERO).with_learned_times(uses);
        ledger.set_run_times(times);
        let manifest = Manifest {
            version: 1,
            accounts: vec![Account {
                name: "a0".into(),
                guaranteed: 24,
            }],
            ..Manifest::default()
        };
        ledger.set_manifest(Rc::new(manifest));
        let mut workers = BTreeMap::new();
        let addr = "127.0.0.1:1".parse().expect("the address is valid");
        for number in 0..WORKERS {
            let name = format_smolstr!("n{number:03}");
            ledger.put_worker(name.clone(), addr);
            let worker = SimWorker {
                slowness: if number % 3 == 0 { 1.3 } else { 1.0 },
                runs: Vec::new(),
                ended: Vec::new(),
                next_end: 1,
            };
            workers.insert(name, worker);
        }
        let positions = jobs.iter().enumerate();
        let positions = positions.map(|(i, d)| (d.job.id.clone(), i)).collect();
        Self {
            ledger,
            now: Duration::ZERO,
            ticks: 0,
            revision: 1,
            jobs,
            positions,
            workers,
            stops: 0,
            lost: 0.0,
            used: 0.0,
        }
    }

    /// Returns the figures of the table.
    fn run(mut self) -> Vec<f64> {
        let mut next = 0;
        while self.now < MAX_TIME && self.jobs.iter().any(|j| j.ended_at.is_none()) {
            self.now += TICK;
            self.ticks += 1;
            while next < self.jobs.len() && self.jobs[next].arrives_at <= self.now {
                self.submit(next);
                next += 1;
            }
            self.poll();
            let wall = START_UNIX_MS + self.now.as_millis() as u64;
            self.ledger.plan(self.now, wall);
            self.commit();
        }
        self.figures()
    }

    fn figures(self) -> Vec<f64> {
        let completion = |d: &DrawnJob| {
            let ended = d.ended_at.unwrap_or(MAX_TIME);
            (ended - d.arrives_at).as_secs_f64()
        };
        let mut all: Vec<f64> = self.jobs.iter().map(completion).collect();
        let mut by_work: Vec<(f64, f64)> = self
            .jobs
            .iter()
            .map(|d| (d.work(), completion(d)))
            .collect();
        by_work.sort_by(|a, b| b.0.total_cmp(&a.0));
        let largest = &by_work[..by_work.len() / 10];
        let largest = largest.iter().map(|(_, c)| c).sum::<f64>() / largest.len() as f64;
        let with_objective = || self.jobs.iter().filter(|d| d.job.objective.is_some());
        let in_time = |d: &&DrawnJob| {
            let deadline = Duration::from_millis(d.job.deadline(0) - START_UNIX_MS);
            d.ended_at.is_some_and(|at| at <= deadline)
        };
        let missed =
            1.0 - with_objective().filter(in_time).count() as f64 / with_objective().count() as f64;
        let open = self.jobs.iter().filter(|d| d.ended_at.is_none()).count();
        vec![
            all.iter().sum::<f64>() / all.len() as f64,
            largest,
            percentile(&mut all, 1.0),
            missed * 100.0,
            self.lost / self.used * 100.0,
            self.stops as f64,
            open as f64,
        ]
    }

    fn submit(&mut self, position: usize) {
        self.revision += 1;
        let record = Record::new(self.jobs[position].job.clone());
        self.ledger.put_job(record, self.revision, self.now);
    }

    /// Ends the runs that are due, and hands the listings of workers to the ledger.
    fn poll(&mut self) {
        let names: Vec<SmolStr> = self.workers.keys().cloned().collect();
        for (position, name) in names.iter().enumerate() {
            let envelope = self.ledger.next_poll(name, self.now);
            let Some(worker) = self.workers.get_mut(name) else {
                continue;
            };
            if let Some(Order::Poll { acknowledged, .. }) = envelope.map(|e| e.order) {
                worker.ended.retain(|e| e.number > acknowledged);
            }
            for run in worker.end_due(self.now) {
                self.used += self.jobs[self.positions[&run.task.job]].weight(&run, self.now);
            }
            let is_due = (self.ticks + position as u64).is_multiple_of(POLL_TICKS);
            if !is_due && worker.ended.is_empty() {
                continue;
            }
            let listing = worker.listing(self.now);
            let announced = announcement(name);
            self.ledger
                .handle_listing(name, self.now, self.now, announced, listing);
        }
    }

    /// Commits the pending writes and carries out the orders.
    fn commit(&mut self) {
        while let Some(batch) = self.ledger.take_batch(START_UNIX_MS) {
            self.revision += 1;
            for write in batch.writes.iter().filter(|w| w.ended) {
                let position = self.positions[&write.job];
                self.jobs[position].ended_at.get_or_insert(self.now);
            }
            self.ledger.handle_commit(&batch, self.revision, self.now);
        }
        for effect in self.ledger.take_effects() {
            if let Effect::Send {
                sidecar,
                boot,
                order,
            } = effect
            {
                self.carry_out(&sidecar, &order);
                let accepted = Answer::Accepted;
                self.ledger
                    .handle_answer(&sidecar, &boot, &order, &accepted, false, self.now);
            }
        }
    }

    fn carry_out(&mut self, sidecar: &SmolStr, order: &Order) {
        let Some(worker) = self.workers.get_mut(sidecar) else {
            return;
        };
        match order {
            Order::Start(start) => {
                let drawn = &self.jobs[self.positions[&start.task.job]];
                let time = drawn.times[start.task.step as usize][start.task.index as usize];
                worker.runs.push(SimRun {
                    task: start.task.clone(),
                    number: start.run,
                    began: self.now,
                    ends_at: self.now + time.mul_f64(worker.slowness),
                });
            }
            Order::Stop { task, run } => {
                let is_it = |r: &SimRun| r.task == *task && r.number == *run;
                if let Some(at) = worker.runs.iter().position(is_it) {
                    let stopped = worker.runs.remove(at);
                    let weight = self.jobs[self.positions[&task.job]].weight(&stopped, self.now);
                    self.lost += weight;
                    self.used += weight;
                    self.stops += 1;
                    worker.list_end(stopped, End::Stopped);
                }
            }
            _ => {}
        }
    }
}

impl SimWorker {
    /// Ends the runs that are due and returns them.
    fn end_due(&mut self, now: Duration) -> Vec<SimRun> {
        let runs = std::mem::take(&mut self.runs);
        let (due, left): (Vec<_>, Vec<_>) = runs.into_iter().partition(|r| r.ends_at <= now);
        self.runs = left;
        for run in &due {
            let run = SimRun {
                task: run.task.clone(),
                ..*run
            };
            self.list_end(run, End::Done);
        }
        due
    }

    fn list_end(&mut self, run: SimRun, end: End) {
        self.ended.push(Ended {
            number: self.next_end,
            task: run.task,
            run: run.number,
            end,
            checkpoint: SmolStr::default(),
        });
        self.next_end += 1;
    }

    fn listing(&self, now: Duration) -> Listing {
        let running = self.runs.iter().map(|run| {
            let share = (now - run.began).as_secs_f64() / (run.ends_at - run.began).as_secs_f64();
            Running {
                task: run.task.clone(),
                run: run.number,
                checkpoint: SmolStr::default(),
                percent: (share * 100.0) as u64,
                load: 0,
            }
        });
        Listing {
            is_partial: false,
            born: 1,
            clock: now.as_millis() as u64,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}

impl DrawnJob {
    /// Returns the work of all tasks in accelerator-seconds.
    fn work(&self) -> f64 {
        let steps = self.job.steps.iter().zip(&self.times);
        steps
            .map(|(step, times)| {
                let sum: f64 = times.iter().map(Duration::as_secs_f64).sum();
                sum * step.gpus.max(1) as f64
            })
            .sum()
    }

    /// Returns what a run has taken until now, in accelerator-seconds.
    fn weight(&self, run: &SimRun, now: Duration) -> f64 {
        let gpus = self.job.steps[run.task.step as usize].gpus.max(1);
        (now - run.began).as_secs_f64() * gpus as f64
    }
}

/// Declares the actual times of a job, on average over the tasks of each step, and teaches that
/// declared times are right.
fn teach(drawn: &mut DrawnJob, known: &mut RunTimes) {
    for (number, step) in drawn.job.steps.iter_mut().enumerate() {
        let times = &drawn.times[number];
        let mean = times.iter().sum::<Duration>() / times.len() as u32;
        step.runtime = (mean.as_millis() as u64).max(1);
        let kind = Kind {
            queue: drawn.job.queue.clone(),
            account: drawn.job.account.clone(),
            shape: Shape {
                cpu: step.cpu,
                memory: step.memory,
                gpus: step.gpus,
            },
            step: number as u32,
        };
        let declared = Duration::from_millis(step.runtime);
        let estimate = known.estimate(&kind, declared);
        if estimate.is_none_or(|e| e.weight < 100.0) {
            for _ in 0..PERFECT_RUNS {
                known.observe(&kind, declared, &FinishedRun::done(declared));
            }
        }
    }
}

/// Draws jobs of 12 accounts in 4 queues, one of which declares no times.
///
/// Each kind of task takes 0.5 to 1.9 times as long as declared, and 3% of the tasks seven times
/// longer. A third of the jobs arrives in bursts.
fn draw_jobs(rng: &mut SmallRng) -> Vec<DrawnJob> {
    let mut factors: BTreeMap<(usize, usize, u64), f64> = BTreeMap::new();
    let mut drawn: Vec<DrawnJob> = (0..JOBS)
        .map(|number| draw_job(rng, number, &mut factors))
        .collect();
    let work: f64 = drawn.iter().map(DrawnJob::work).sum();
    let span = work / (WORKERS as f64 * 8.0 * LOAD);
    for job in &mut drawn {
        let at = rng.random_range(0.0..span);
        let in_burst = rng.random_range(0..3) == 0;
        let at = if in_burst {
            (at / 120.0).floor() * 120.0 + at % 5.0
        } else {
            at
        };
        job.arrives_at = Duration::from_secs_f64(at);
        job.job.accepted_at = START_UNIX_MS + job.arrives_at.as_millis() as u64;
    }
    drawn.sort_by_key(|a| a.arrives_at);
    drawn
}

fn draw_job(
    rng: &mut SmallRng,
    number: usize,
    factors: &mut BTreeMap<(usize, usize, u64), f64>,
) -> DrawnJob {
    let (queue, account) = (rng.random_range(0..4), rng.random_range(0..12));
    let declares = queue != 3;
    let mut steps = Vec::new();
    let mut times = Vec::new();
    let mut path_ms = 0;
    for position in 0..rng.random_range(1..4_u32) {
        let gpus = [1, 1, 1, 2, 4, 8][rng.random_range(0..6)];
        let factor = *factors
            .entry((queue, account, gpus))
            .or_insert_with(|| rng.random_range(0.5..1.9));
        // Queues differ in how long their tasks are.
        let middle_ms = [2_000.0, 6_000.0, 20_000.0, 8_000.0][queue];
        let declared_ms = if declares {
            middle_ms * rng.random_range(0.5..2.0)
        } else {
            middle_ms
        };
        let count = [1, 1, 2, 4, 12][rng.random_range(0..5)];
        let of_tasks = (0..count).map(|_| {
            let tail = if rng.random_range(0..100) < 3 {
                7.0
            } else {
                1.0
            };
            let ms = declared_ms * factor * rng.random_range(0.85..1.15) * tail;
            Duration::from_millis(ms as u64)
        });
        times.push(of_tasks.collect());
        path_ms += declared_ms as u64;
        steps.push(Step {
            count,
            cpu: 1_000,
            memory: 1_000,
            gpus,
            runtime: if declares { declared_ms as u64 } else { 0 },
            after: position.checked_sub(1).into_iter().collect(),
            checkpoints: rng.random_range(0..4) == 0,
            gang: count > 1 && rng.random_range(0..4) == 0,
            ..Step::default()
        });
    }
    // Independent of the declared times of the variant, so that all have the same objectives.
    let objective = Objective {
        stretch_percent: 0,
        base_ms: path_ms * 4 + 5_000,
    };
    let job = Job {
        id: format_smolstr!("j{number:05}"),
        queue: format_smolstr!("q{queue}"),
        service: "service".into(),
        account: format_smolstr!("a{account}"),
        priority: [0, 1, 1, 1, 1, 2][rng.random_range(0..6)],
        attempts: 3,
        objective: (queue < 2).then_some(objective),
        spec: "text".into(),
        steps,
        ..Job::default()
    };
    DrawnJob {
        arrives_at: Duration::ZERO,
        job,
        times,
        ended_at: None,
    }
}

fn announcement(name: &SmolStr) -> Announcement {
    Announcement {
        boot: Boot {
            id: name.clone(),
            born: 1,
        },
        sequence: 1,
        service: "service".into(),
        domain: SmolStr::default(),
        capacity: Resources {
            cpu: 128_000,
            memory: 512_000,
            gpus: 8,
        },
        labels: vec!["a".into(), "r1-1".into()],
        draining: false,
        leaving: false,
        remaining: None,
        cold_left: 0,
        on_hold: false,
        probing: false,
        sidecar_start: None,
    }
}
