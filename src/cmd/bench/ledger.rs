//! Measures the cost of the fleet placer's decisions for increasing numbers of workers.

use super::table::Table;
use super::table::percentile;
use anyhow::Result;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::ledger::Bounds;
use hibiscusbarrow_fleet::ledger::Effect;
use hibiscusbarrow_fleet::ledger::LearnedTimes;
use hibiscusbarrow_fleet::ledger::Ledger;
use hibiscusbarrow_fleet::record::Record;
use hibiscusbarrow_fleet::worker::Announcement;
use hibiscusbarrow_fleet::worker::Answer;
use hibiscusbarrow_fleet::worker::Boot;
use hibiscusbarrow_fleet::worker::Listing;
use hibiscusbarrow_fleet::worker::Order;
use hibiscusbarrow_fleet::worker::Resources;
use hibiscusbarrow_fleet::worker::Running;
use hibiscusbarrow_fleet::worker::TaskId;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The numbers of workers.
const SIZES: [usize; 3] = [30, 100, 300];
/// The number of tasks that run on each worker.
const WORKER_TASKS: u32 = 7;
/// The number of times that each operation is timed, at each number of workers.
const ITERATIONS: usize = 300;
/// The wall-clock time of the start, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// A ledger with a simulated store, which accepts every write, and simulated workers,
/// which accept every order.
struct Fleet {
    ledger: Ledger,
    now: Duration,
    revision: u64,
    records: BTreeMap<SmolStr, (Record, u64)>,
    running: BTreeMap<SmolStr, Vec<Running>>,
}

/// Measures handling a status poll and its answer, planning after a new job, and a takeover
/// by another placer.
pub fn measure() -> Result<Vec<Table>> {
    let mut table = Table::new(
        "Fleet ledger by workers",
        &[
            "workers",
            "poll p50 us",
            "poll p99 us",
            "plan p50 us",
            "plan p99 us",
            "takeover ms",
        ],
    );
    for size in SIZES {
        table.push(measure_size(size));
    }
    Ok(vec![table])
}

/// The numbers of workers at which the cost of learned run times is measured.
const LEARNED_SIZES: [usize; 2] = [300, 4_600];
/// How often the plans without and with learned run times are timed in turn.
const LEARNED_ROUNDS: usize = 3;

/// Measures the cost of a plan with uses of learned run times against that without.
pub fn measure_learned(uses: LearnedTimes) -> Table {
    let mut table = Table::new(
        "Cost of learned run times by workers",
        &[
            "workers",
            "plan p50 us, off",
            "plan p50 us, on",
            "ratio of p50",
            "plan p99 us, off",
            "plan p99 us, on",
            "ratio of p99",
        ],
    );
    for size in LEARNED_SIZES {
        let (mut off, mut on) = (Vec::new(), Vec::new());
        for _ in 0..LEARNED_ROUNDS {
            off.extend(time_plans(size, LearnedTimes::default()));
            on.extend(time_plans(size, uses));
        }
        let middle = (percentile(&mut off, 0.5), percentile(&mut on, 0.5));
        let high = (percentile(&mut off, 0.99), percentile(&mut on, 0.99));
        table.push(vec![
            size as f64,
            middle.0,
            middle.1,
            middle.1 / middle.0,
            high.0,
            high.1,
            high.1 / high.0,
        ]);
    }
    table
}

/// Returns the times of plans after a new job on full workers, in microseconds.
fn time_plans(size: usize, uses: LearnedTimes) -> Vec<f64> {
    let mut fleet = Fleet::new(size);
    fleet.ledger = Ledger::new(Bounds::default(), 1, Duration::ZERO).with_learned_times(uses);
    fleet.add_workers();
    for number in 0..size {
        fleet.submit(&format!("fill{number}"), WORKER_TASKS, 1);
    }
    fleet.start_tasks();
    let sidecars: Vec<SmolStr> = fleet.running.keys().cloned().collect();
    let mut plans = Vec::new();
    for i in 0..ITERATIONS {
        fleet.now += Duration::from_millis(3);
        fleet.poll(&sidecars[i % size]);
        fleet.submit(&format!("new{i}"), 1, 8);
        let started_at = Instant::now();
        fleet.plan();
        plans.push(started_at.elapsed().as_secs_f64() * 1e6);
        fleet.commit();
    }
    plans
}

fn measure_size(size: usize) -> Vec<f64> {
    let mut fleet = Fleet::new(size);
    for number in 0..size {
        fleet.submit(&format!("fill{number}"), WORKER_TASKS, 1);
    }
    fleet.start_tasks();
    let sidecars: Vec<SmolStr> = fleet.running.keys().cloned().collect();
    let (mut polls, mut plans) = (Vec::new(), Vec::new());
    for i in 0..ITERATIONS {
        fleet.now += Duration::from_millis(3);
        let sidecar = &sidecars[i % size];
        let started_at = Instant::now();
        fleet.poll(sidecar);
        polls.push(started_at.elapsed().as_secs_f64() * 1e6);
        fleet.submit(&format!("new{i}"), 1, 8);
        let started_at = Instant::now();
        fleet.plan();
        plans.push(started_at.elapsed().as_secs_f64() * 1e6);
        fleet.commit();
    }
    vec![
        size as f64,
        percentile(&mut polls, 0.5),
        percentile(&mut polls, 0.99),
        percentile(&mut plans, 0.5),
        percentile(&mut plans, 0.99),
        fleet.replace_placer(),
    ]
}

impl Fleet {
    fn new(size: usize) -> Self {
        let sidecar = |number: usize| SmolStr::from(format!("n{number:05}"));
        let mut fleet = Self {
            ledger: Ledger::new(Bounds::default(), 1, Duration::ZERO),
            now: Duration::ZERO,
            revision: 1,
            records: BTreeMap::new(),
            running: (0..size).map(|n| (sidecar(n), Vec::new())).collect(),
        };
        fleet.add_workers();
        fleet
    }

    /// Adds every worker to the ledger and polls it once.
    fn add_workers(&mut self) {
        let addr = "127.0.0.1:1".parse().expect("the address is valid");
        let sidecars: Vec<SmolStr> = self.running.keys().cloned().collect();
        for sidecar in sidecars {
            self.ledger.put_worker(sidecar.clone(), addr);
            self.poll(&sidecar);
        }
    }

    fn poll(&mut self, sidecar: &SmolStr) {
        let _ = self.ledger.next_poll(sidecar, self.now);
        let announced = Announcement {
            boot: Boot {
                id: sidecar.clone(),
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
            cold_left: 0,
            remaining: None,
            on_hold: false,
            probing: false,
            sidecar_start: None,
        };
        let listing = Listing {
            is_partial: false,
            born: 1,
            clock: self.now.as_millis() as u64,
            running: self.running[sidecar].clone(),
            ended: Vec::new(),
        };
        self.ledger
            .handle_listing(sidecar, self.now, self.now, announced, listing);
    }

    fn submit(&mut self, id: &str, count: u32, gpus: u64) {
        let step = Step {
            count,
            cpu: 1_000,
            memory: 1_000,
            gpus,
            runtime: 60_000,
            ..Step::default()
        };
        let job = Job {
            id: id.into(),
            service: "service".into(),
            account: "agency".into(),
            priority: 1,
            attempts: 3,
            accepted_at: START_UNIX_MS,
            spec: "text".into(),
            steps: vec![step],
            ..Job::default()
        };
        self.revision += 1;
        let record = Record::new(job);
        self.records
            .insert(id.into(), (record.clone(), self.revision));
        self.ledger.put_job(record, self.revision, self.now);
    }

    fn plan(&mut self) {
        self.ledger
            .plan(self.now, START_UNIX_MS + self.now.as_millis() as u64);
    }

    /// Commits the pending writes and lets workers accept the orders.
    fn commit(&mut self) {
        while let Some(batch) = self.ledger.take_batch(START_UNIX_MS) {
            self.revision += 1;
            for write in &batch.writes {
                let Some(value) = &write.value else {
                    continue;
                };
                let record = Record::decode(&write.job, value).expect("the record is readable");
                self.records
                    .insert(write.job.clone(), (record, self.revision));
            }
            self.ledger.handle_commit(&batch, self.revision, self.now);
        }
        for effect in self.ledger.take_effects() {
            let Effect::Send {
                sidecar,
                boot,
                order,
            } = effect
            else {
                continue;
            };
            if let Order::Start(start) = &order {
                let listed = running_task(start.task.clone(), start.run);
                self.running
                    .entry(sidecar.clone())
                    .or_default()
                    .push(listed);
            }
            let accepted = Answer::Accepted;
            self.ledger
                .handle_answer(&sidecar, &boot, &order, &accepted, false, self.now);
        }
    }

    /// Starts all tasks that fit and polls every worker.
    fn start_tasks(&mut self) {
        self.plan();
        self.commit();
        let sidecars: Vec<SmolStr> = self.running.keys().cloned().collect();
        for sidecar in sidecars {
            self.poll(&sidecar);
        }
    }

    /// Replaces the placer by a new one and returns the milliseconds until it has loaded all
    /// jobs, polled all workers and planned.
    fn replace_placer(&mut self) -> f64 {
        let started_at = Instant::now();
        self.ledger = Ledger::new(Bounds::default(), 2, self.now);
        for (record, revision) in self.records.values() {
            self.ledger.put_job(record.clone(), *revision, self.now);
        }
        self.add_workers();
        self.plan();
        started_at.elapsed().as_secs_f64() * 1e3
    }
}

fn running_task(task: TaskId, run: u64) -> Running {
    Running {
        task,
        run,
        checkpoint: SmolStr::default(),
        percent: 1,
        load: 0,
    }
}
