//! Schedulers, workers and an exhaustive packer for the tests.

use hibiscusbarrow_placement::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

/// Returns workers `w0`, `w1`, … with these numbers of accelerators, three to a rack and six
/// to a failure domain.
pub fn workers(sizes: &[u8]) -> Vec<WorkerSpec> {
    let spec = |(i, size): (usize, &u8)| {
        WorkerSpec::new(
            format!("w{i}"),
            format!("r{}", i / 3),
            format!("d{}", i / 6),
            *size,
        )
    };
    sizes.iter().enumerate().map(spec).collect()
}

/// Returns an account with guaranteed shapes.
pub fn account(name: &str, quota: &[(Shape, u32)]) -> AccountSpec {
    let entry = |(shape, count): &(Shape, u32)| ShapeCount {
        shape: *shape,
        count: *count,
    };
    AccountSpec {
        name: name.into(),
        weight: 1,
        quota: quota.iter().map(entry).collect(),
    }
}

/// Returns a policy with guarantees and without reservations.
pub fn guarantees_only() -> Policy {
    Policy {
        reserve_after: None,
        preempt_after: None,
        ..Policy::default()
    }
}

/// Returns a scheduler over workers of these sizes with these accounts.
pub fn scheduler(sizes: &[u8], accounts: Vec<AccountSpec>, policy: Policy) -> Scheduler {
    let mut scheduler = Scheduler::new(policy);
    for spec in workers(sizes) {
        scheduler.add_worker(spec);
    }
    scheduler.set_accounts(accounts).expect("the accounts fit");
    scheduler
}

/// Returns a time on the scheduler's clock, in seconds from its origin.
pub fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Runs passes until one decides nothing, releasing each stopped gang immediately.
///
/// Returns the names of the started jobs, in order.
pub fn run_passes(scheduler: &mut Scheduler, now: Duration) -> Vec<String> {
    let mut started = Vec::new();
    loop {
        let decisions = scheduler.pass(now);
        if decisions.is_empty() {
            return started;
        }
        for decision in decisions {
            match decision {
                Decision::Start { job, .. } => {
                    started.push(
                        scheduler
                            .job(job)
                            .expect("the job has not ended")
                            .name
                            .to_string(),
                    );
                }
                Decision::Stop { job, .. } => scheduler.released(job),
            }
        }
    }
}

/// Returns whether shapes fit into free masks, by trying every position.
pub fn fits_by_search(free: &[u8], shapes: &[Shape]) -> bool {
    let Some((shape, rest)) = shapes.split_first() else {
        return true;
    };
    let mut free = free.to_vec();
    for worker in 0..free.len() {
        for mask in shape.masks() {
            if free[worker] & mask != mask {
                continue;
            }
            free[worker] &= !mask;
            if fits_by_search(&free, rest) {
                return true;
            }
            free[worker] |= mask;
        }
    }
    false
}

/// Lists each counted shape as often as it is counted.
pub fn expand(counts: &CellCounts) -> Vec<Shape> {
    let repeat = |shape| std::iter::repeat_n(shape, counts.get(shape) as usize);
    Shape::ALL.into_iter().flat_map(repeat).collect()
}

/// Generates a shape.
pub fn any_shape() -> impl Strategy<Value = Shape> {
    (0..4usize).prop_map(|i| Shape::ALL[i])
}

/// Returns a configuration that runs the same cases each time.
pub fn fixed_seed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        max_global_rejects: 10 * cases,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}
