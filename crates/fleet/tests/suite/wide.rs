//! Jobs whose records come close to what the store takes.

use crate::fixtures::Cluster;
use crate::fixtures::ORDER_TIMEOUT;
use crate::fixtures::START_UNIX_MS;
use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::MAX_JOB_TASKS;
use hibiscusbarrow_fleet::job::MAX_STEP_TASKS;
use hibiscusbarrow_fleet::job::Schedule;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_fleet::record_size::check_job;
use proptest::prelude::*;
use std::time::Duration;

/// The length of the names of a sidecar and of its worker in these tests.
const NAMES_BYTES: usize = 4;
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// The most starts that are open at a worker at first.
const FIRST_ORDERS: u32 = 128;

/// Returns a step of tasks that fit on a worker by the thousand.
fn tiny(count: u32) -> Step {
    Step {
        cpu: 1,
        memory: 0,
        ..step(count, 0)
    }
}

fn cluster_of(workers: u32, max_record: usize) -> Cluster {
    let cluster = cluster().with_max_record(max_record);
    (0..workers).fold(cluster, |cluster, i| {
        cluster.with_worker(&format!("n{i}"), worker(&format!("w{i}"), "r1"))
    })
}

/// Guards against a record that outgrows the store because all tasks of its job run at once.
#[test]
fn tasks_that_would_outgrow_the_record_of_their_job_wait() {
    let mut cluster = cluster_of(3, 1 << 20);
    cluster.submit(job("wide", vec![tiny(10_000), tiny(10_000)]));
    cluster.submit(job("other", vec![step(1, 1)]));

    cluster.advance(SETTLE_TIME * 2);

    assert_eq!(cluster.refused.len(), 0);
    assert!(cluster.placements("wide").len() > 2_000);
    assert_eq!(cluster.placements("other").len(), 1);
}

/// Guards against a plan whose starts take the placer longer to send than its lease lasts.
#[test]
fn the_tasks_of_a_wide_job_start_in_portions() {
    let mut cluster = cluster_of(3, 1 << 20);
    cluster.submit(job("wide", vec![tiny(3_000)]));
    let mut portions = Vec::new();

    for _ in 0..7 {
        let before = cluster.starts.len();
        cluster.advance(Duration::from_millis(50));
        portions.push(cluster.starts.len() - before);
    }

    assert!(portions.iter().all(|p| *p <= 500), "{portions:?}");
    assert_eq!(cluster.placements("wide").len(), 3_000);
}

/// Guards against one record that the store refuses and that keeps all others from being stored.
#[test]
fn a_record_that_the_store_refuses_holds_up_no_other_job() {
    let mut cluster = cluster_of(3, 1 << 20);
    cluster.store_limit = 10_000;
    for i in 0..5 {
        cluster.submit(job(&format!("before{i}"), vec![step(1, 0)]));
    }
    cluster.submit(job("wide", vec![tiny(500)]));
    for i in 0..5 {
        cluster.submit(job(&format!("after{i}"), vec![step(1, 0)]));
    }

    cluster.advance(SETTLE_TIME);

    for i in 0..5 {
        assert_eq!(cluster.placements(&format!("before{i}")).len(), 1);
        assert_eq!(cluster.placements(&format!("after{i}")).len(), 1);
    }
    assert!(cluster.refused.len() <= 3, "{:?}", cluster.refused);
}

/// Guards against ends that no worker may forget, as the record of their job cannot be stored.
#[test]
fn a_job_whose_record_is_refused_for_good_fails_and_lets_its_workers_go() {
    let mut cluster = cluster_of(1, 1 << 20);
    cluster.submit(job("wide", vec![tiny(200)]));
    cluster.submit(job("other", vec![step(1, 0)]));
    cluster.advance(SETTLE_TIME);
    cluster.store_limit = 3_000;

    cluster.end_run("n0", "wide", 0, hibiscusbarrow_fleet::worker::End::Done);
    cluster.end_run("n0", "other", 0, hibiscusbarrow_fleet::worker::End::Done);
    cluster.advance(Duration::from_secs(5));

    assert_eq!(cluster.state("wide"), State::Failed);
    assert_eq!(cluster.state("other"), State::Completed);
    assert_eq!(cluster.workers["n0"].ended.len(), 0);
    assert_eq!(cluster.placements("wide").len(), 0);
}

/// Guards against jobs that are accepted although no record can hold their progress.
#[test]
fn a_job_whose_record_cannot_be_stored_is_refused_with_its_size() {
    let full_steps = (MAX_JOB_TASKS / u64::from(MAX_STEP_TASKS)) as usize;
    let widest = job("wide", vec![tiny(MAX_STEP_TASKS); full_steps]);
    let gang = |count| {
        let step = Step {
            gang: true,
            ..tiny(count)
        };
        job("gang", vec![step])
    };

    assert_eq!(check_job(&widest, 1 << 20, 64), Ok(()));
    assert_eq!(check_job(&gang(5_000), 1 << 20, 64), Ok(()));
    let refused = check_job(&gang(MAX_STEP_TASKS), 1 << 20, 64);
    let message = refused.expect_err("the gang does not fit");
    assert!(message.contains("would take"), "{message}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(30))]

    /// Guards against any job that is accepted and then outgrows its record or never ends: wide
    /// steps, gangs, occurrences, checkpoints and crashes of workers beside small jobs.
    #[test]
    fn accepted_jobs_stay_within_their_records_and_end(
        max_record in 9_000_usize..30_000,
        wide in prop::collection::vec(
            (
                prop::collection::vec((1_u32..150, any::<bool>(), any::<bool>()), 1..4),
                0_u32..4,
            ),
            1..4,
        ),
        crashes in prop::collection::vec((0_u32..3, 0_u64..4_000), 0..4),
    ) {
        let mut cluster = cluster_of(3, max_record);
        cluster.run_time = Some(Duration::from_millis(400));
        for fake in cluster.workers.values_mut() {
            fake.checkpoint = "00000bb87a21d94b".into();
        }
        for (number, (steps, occurrences)) in wide.into_iter().enumerate() {
            let steps = steps.into_iter().map(|(count, gang, checkpoints)| Step {
                gang,
                checkpoints,
                ..tiny(count)
            });
            let schedule = (occurrences > 0).then_some(Schedule {
                start: START_UNIX_MS,
                interval: 500,
                count: occurrences,
            });
            let wide = Job { schedule, ..job(&format!("wide{number}"), steps.collect()) };
            if check_job(&wide, max_record, NAMES_BYTES).is_ok() {
                cluster.submit(wide);
            }
        }
        cluster.submit(job("small", vec![step(1, 1)]));
        for (sidecar, pause) in crashes {
            cluster.advance(Duration::from_millis(pause));
            cluster.crash(&format!("n{sidecar}"));
        }
        cluster.advance(Duration::from_secs(60));

        prop_assert_eq!(cluster.refused.len(), 0);
        for (record, _) in cluster.stored.values() {
            prop_assert_eq!(record.state(), State::Completed, "{}", record.job.id);
        }
    }
}

/// Submits a wide job to two workers that carry out one start after the other, and a small one of
/// another account 1 s later.
fn start_beside_wide_job(order_time: Duration, tasks: u32) -> Cluster {
    let mut cluster = cluster_of(2, 1 << 20);
    for worker in cluster.workers.values_mut() {
        worker.order_time = order_time;
    }
    cluster.submit(job("wide", vec![tiny(tasks)]));
    cluster.advance(Duration::from_secs(1));
    cluster.submit(Job {
        account: "other".into(),
        ..job("other", vec![step(1, 1)])
    });
    cluster.advance(Duration::from_secs(3));
    cluster
}

/// All starts that there was room for were sent at once; a worker that could not answer them in
/// time got stops and further starts for each, and other jobs waited behind them.
#[test]
fn the_starts_that_are_open_at_a_worker_follow_how_fast_it_answers() {
    for start_ms in [5, 10, 15] {
        let order_time = Duration::from_millis(start_ms);
        let mut cluster = start_beside_wide_job(order_time, 800);

        let others = cluster.placements("other").len();
        cluster.advance(order_time * 800);

        let stops = cluster.stops.len();
        let started = cluster.placements("wide").len();
        assert_eq!((others, stops, started), (1, 0, 800), "{start_ms} ms");
    }
}

/// A worker that is slower than the first starts suppose gets fewer from then on.
#[test]
fn a_worker_that_answers_no_start_in_time_gets_fewer() {
    for start_ms in [40, 100] {
        let order_time = Duration::from_millis(start_ms);
        let mut cluster = start_beside_wide_job(order_time, 800);

        cluster.advance(order_time * 800);

        let stops = cluster.stops.len();
        // The first starts of both workers, then a start and a stop for each timeout until the
        // worker has carried out these and their stops.
        let queue = order_time * 2 * FIRST_ORDERS;
        let timeouts = queue.div_duration_f64(ORDER_TIMEOUT).ceil() as usize;
        let most = 2 * (FIRST_ORDERS as usize + 2 * timeouts);
        let open = [State::Running; 2];
        assert!(stops <= most, "{stops} stops at {start_ms} ms");
        assert_eq!([cluster.state("wide"), cluster.state("other")], open);
        assert_eq!(cluster.placements("wide").len(), 800, "{start_ms} ms");
    }
}

/// The stops of a wide job were sent again each 0.4 s, whether the worker had answered them or not.
#[test]
fn the_stops_of_a_cancelled_job_are_sent_once() {
    for order_ms in [5, 15] {
        let mut cluster = cluster_of(2, 1 << 20);
        cluster.submit(job("wide", vec![tiny(800)]));
        cluster.advance(SETTLE_TIME);
        for worker in cluster.workers.values_mut() {
            worker.order_time = Duration::from_millis(order_ms);
        }

        cluster.cancel("wide");
        cluster.advance(Duration::from_millis(order_ms) * 800);

        let running = cluster.placements("wide").len();
        assert_eq!((running, cluster.stops.len()), (0, 800), "{order_ms} ms");
    }
}
