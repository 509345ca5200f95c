//! Measures the cost of a placement decision for increasing numbers of workers.

use super::table::Table;
use super::table::percentile;
use super::table::resident_bytes;
use anyhow::Result;
use hibiscusbarrow_placement::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use std::time::Instant;

/// The numbers of workers.
const SIZES: [usize; 5] = [10, 100, 500, 1000, 4600];
/// The number of times that each operation is timed, at each number of workers.
const ITERATIONS: usize = 400;
/// The number of accounts, at each number of workers.
const ACCOUNTS: usize = 130;
/// The number of jobs that wait while decisions are timed.
const WAITING_JOBS: usize = 500;

/// Measures placement, release, reclaim by an urgent job, a pass without changes, the
/// placement of a large gang, and memory.
pub fn measure() -> Result<Vec<Table>> {
    let mut table = Table::new(
        "Decisions by workers",
        &[
            "workers",
            "place p50 us",
            "place p99 us",
            "release p99 us",
            "reclaim p99 us",
            "idle pass p99 us",
            "gang of 64 ms",
            "memory MB",
        ],
    );
    for size in SIZES {
        table.push(measure_size(size));
    }
    Ok(vec![table])
}

/// Returns workers of which one in 46 has eight accelerators and the others one.
fn worker_specs(count: usize) -> impl Iterator<Item = WorkerSpec> {
    (0..count).map(|i| {
        let accelerators = if i % 46 == 0 { 8 } else { 1 };
        let (rack, domain) = (format!("r{}", i / 16), format!("d{}", i % 20));
        WorkerSpec::new(format!("w{i}"), rack, domain, accelerators)
    })
}

/// Returns a scheduler whose grid is 95 % used by running jobs, and those jobs.
///
/// Quotas cover half of the accelerators, and further gangs wait in the queue.
fn full_scheduler(size: usize) -> (Scheduler, Vec<JobKey>) {
    let mut scheduler = Scheduler::new(Policy::default());
    for spec in worker_specs(size) {
        scheduler.add_worker(spec);
    }
    let total = scheduler.grid().total().accelerators();
    let quota = (total as usize / 2 / ACCOUNTS) as u32;
    let accounts = (0..ACCOUNTS).map(|i| AccountSpec {
        name: format!("a{i}").into(),
        weight: 1,
        quota: vec![ShapeCount {
            shape: Shape::Accelerator,
            count: quota.max(u32::from(i == 0)),
        }],
    });
    scheduler
        .set_accounts(accounts.collect())
        .expect("the quotas cover half of the grid");
    let mut running = Vec::new();
    for i in 0..total * 95 / 100 {
        let account = format!("a{}", i as usize % ACCOUNTS);
        let job = Job::new(format!("fill{i}"), account, Shape::Accelerator, 1);
        running.push(scheduler.submit(job, Duration::ZERO));
    }
    let _ = scheduler.pass(Duration::ZERO);
    for i in 0..WAITING_JOBS {
        let account = format!("a{}", i % ACCOUNTS);
        let job = Job::new(format!("queue{i}"), account, Shape::Worker, 512 / 8);
        scheduler.submit(job, Duration::ZERO);
    }
    let _ = scheduler.pass(Duration::ZERO);
    (scheduler, running)
}

/// Runs an operation and adds its duration to the samples, in microseconds.
fn timed<T>(samples: &mut Vec<f64>, operation: impl FnOnce() -> T) -> T {
    let started_at = Instant::now();
    let value = operation();
    samples.push(started_at.elapsed().as_secs_f64() * 1e6);
    value
}

fn measure_size(size: usize) -> Vec<f64> {
    let memory_before = resident_bytes();
    let (mut scheduler, mut running) = full_scheduler(size);
    let memory_mb = (resident_bytes() - memory_before).max(0.0) / 1e6;
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut place, mut release, mut reclaim, mut idle) = (vec![], vec![], vec![], vec![]);
    for i in 0..ITERATIONS {
        let now = Duration::from_millis(i as u64);
        let finished_job = running.swap_remove(rng.random_range(0..running.len()));
        timed(&mut release, || {
            scheduler.finished(finished_job, now);
            let _ = scheduler.pass(now);
            scheduler.released(finished_job);
        });
        let account = format!("a{}", i % ACCOUNTS);
        let job = Job::new(format!("new{i}"), account, Shape::Accelerator, 1);
        let key = timed(&mut place, || {
            let key = scheduler.submit(job, now);
            let _ = scheduler.pass(now);
            key
        });
        running.push(key);
        timed(&mut idle, || scheduler.pass(now));
    }
    for i in 0..ITERATIONS.min(size) {
        let now = Duration::from_secs(10 + i as u64);
        let account = format!("a{}", i % ACCOUNTS);
        let job = Job::new(format!("urgent{i}"), account, Shape::Accelerator, 1).urgent(true);
        let decisions = timed(&mut reclaim, || {
            scheduler.submit(job, now);
            scheduler.pass(now)
        });
        for decision in decisions {
            if let Decision::Stop { job, .. } = decision {
                scheduler.released(job);
            }
        }
        let _ = scheduler.pass(now);
    }
    vec![
        size as f64,
        percentile(&mut place, 0.5),
        percentile(&mut place, 0.99),
        percentile(&mut release, 0.99),
        percentile(&mut reclaim, 0.99),
        percentile(&mut idle, 0.99),
        time_large_gang(size),
        memory_mb,
    ]
}

/// Returns the milliseconds that it takes to place a gang of 64 single accelerators on
/// an empty grid, or of all accelerators if the grid has fewer.
fn time_large_gang(size: usize) -> f64 {
    let mut scheduler = Scheduler::new(Policy::default());
    for spec in worker_specs(size) {
        scheduler.add_worker(spec);
    }
    let account = AccountSpec {
        name: "a".into(),
        weight: 1,
        quota: Vec::new(),
    };
    scheduler
        .set_accounts(vec![account])
        .expect("an empty quota is accepted");
    let count = scheduler.grid().idle().min(64);
    let started_at = Instant::now();
    scheduler.submit(
        Job::new("g", "a", Shape::Accelerator, count),
        Duration::ZERO,
    );
    let decisions = scheduler.pass(Duration::ZERO);
    assert_eq!(decisions.len(), 1, "the gang fits an empty grid");
    started_at.elapsed().as_secs_f64() * 1e3
}
