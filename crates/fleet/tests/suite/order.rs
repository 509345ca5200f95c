//! The order in which tasks start, and the workers chosen for them.

use crate::fixtures::START_UNIX_MS;
use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Objective;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::worker::End;
use proptest::prelude::*;
use std::time::Duration;

/// Time for the placer to poll, plan and have its orders carried out.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Returns a job of one task that fills a worker. Its objective allows one and a half
/// times the declared run time, and 250 ms more.
fn timed(id: &str, runtime: u64) -> Job {
    let step = Step {
        runtime,
        ..step(1, 8)
    };
    Job {
        objective: Some(Objective {
            stretch_percent: 150,
            base_ms: 250,
        }),
        ..job(id, vec![step])
    }
}

#[test]
fn within_a_class_the_job_with_the_earliest_deadline_starts_first() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    cluster.submit(job("running", vec![step(1, 8)]));
    cluster.advance(SETTLE_TIME);
    cluster.submit(timed("a-long", 9_000));
    cluster.submit(timed("b-short", 2_000));
    cluster.advance(SETTLE_TIME);

    cluster.end_run("n1", "running", 0, End::Done);
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.placements("b-short").len(), 1);
    assert_eq!(cluster.placements("a-long").len(), 0);
}

#[test]
fn a_job_that_cannot_meet_its_deadline_yields_to_one_that_can() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    cluster.submit(job("running", vec![step(1, 8)]));
    cluster.advance(SETTLE_TIME);
    let late = Job {
        accepted_at: START_UNIX_MS - 10_000,
        ..timed("a-late", 2_000)
    };
    cluster.submit(late);
    cluster.submit(timed("b-timely", 2_000));
    cluster.advance(SETTLE_TIME);

    cluster.end_run("n1", "running", 0, End::Done);
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.placements("b-timely").len(), 1);
    assert_eq!(cluster.placements("a-late").len(), 0);
}

#[test]
fn a_late_job_beyond_its_guarantee_preempts_nothing() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    cluster.submit(job("running", vec![step(1, 8)]));
    cluster.advance(SETTLE_TIME);

    cluster.submit(Job {
        priority: 0,
        accepted_at: START_UNIX_MS - 10_000,
        ..timed("late", 2_000)
    });
    cluster.advance(SETTLE_TIME * 2);

    assert_eq!(cluster.placements("running").len(), 1);
    assert!(cluster.stops.is_empty());
}

#[test]
fn an_urgent_task_is_placed_on_the_worker_measured_as_faster() {
    let mut cluster = cluster()
        .with_worker("n1", worker("w1", "r1"))
        .with_worker("n2", worker("w2", "r1"));
    for sample in 0..4 {
        let id = format!("probe{sample}");
        cluster.submit(job(&id, vec![step(2, 8)]));
        cluster.advance(SETTLE_TIME);
        let on_faster = cluster
            .placements(&id)
            .into_iter()
            .find(|(_, sidecar)| sidecar == "n2");
        let (index, _) = on_faster.expect("one of the two tasks runs on n2");
        cluster.end_run("n2", &id, index, End::Done);
        cluster.advance(SETTLE_TIME * 3);
        cluster.end_run("n1", &id, 1 - index, End::Done);
        cluster.advance(SETTLE_TIME);
    }

    cluster.submit(Job {
        priority: 0,
        ..job("urgent", vec![step(1, 1)])
    });
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.placements("urgent"), [(0, "n2".into())]);
}

#[test]
fn a_stalled_short_run_is_stopped_sooner_than_a_stalled_long_run() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    let short = Step {
        runtime: 2_000,
        ..step(1, 1)
    };
    let long = Step {
        runtime: 60_000,
        ..step(1, 1)
    };
    cluster.submit(job("short", vec![short]));
    cluster.submit(job("long", vec![long]));
    cluster.advance(SETTLE_TIME);

    cluster
        .workers
        .get_mut("n1")
        .expect("the worker exists")
        .stalled = true;
    cluster.advance(Duration::from_millis(2_000));

    let stopped: Vec<_> = cluster
        .stops
        .iter()
        .map(|(_, _, t)| t.job.as_str())
        .collect();
    assert_eq!(stopped, ["short"]);
}

#[test]
fn the_critical_path_follows_dependencies() {
    let timed_step = |runtime, after: &[u32]| Step {
        runtime,
        after: after.to_vec(),
        ..step(1, 1)
    };
    let job = job(
        "j",
        vec![
            timed_step(10, &[]),
            timed_step(50, &[]),
            timed_step(5, &[0]),
            timed_step(7, &[2]),
        ],
    );

    assert_eq!(job.critical_path(0), 50);
    assert_eq!(job.critical_path(2), 12);
    assert_eq!(job.critical_path(3), 7);
}

proptest! {
    /// A plan leaves no task waiting that fits into the free capacity of a worker.
    #[test]
    fn no_task_that_fits_is_left_waiting(
        jobs in proptest::collection::vec((1u32..5, 0u64..9, 1u64..60), 1..30),
        workers in 1usize..5,
    ) {
        let mut cluster = cluster();
        for number in 0..workers {
            cluster.add_worker(&format!("n{number}"), worker(&format!("w{number}"), "r1"));
        }
        cluster.poll_all();
        for (index, (count, gpus, memory)) in jobs.iter().enumerate() {
            let step = Step {
                memory: memory * 100,
                ..step(*count, *gpus)
            };
            cluster.submit(job(&format!("j{index:02}"), vec![step]));
        }

        cluster.plan();

        let mut free: Vec<(u64, u64)> = vec![(8, 8_000); workers];
        let mut waiting = Vec::new();
        for (index, (count, gpus, memory)) in jobs.iter().enumerate() {
            let placements = cluster.placements(&format!("j{index:02}"));
            for (_, sidecar) in &placements {
                let number: usize = sidecar[1..].parse().expect("the name ends in its number");
                let capacity = &mut free[number];
                prop_assert!(
                    capacity.0 >= *gpus && capacity.1 >= memory * 100,
                    "the tasks on {sidecar} exceed its capacity"
                );
                *capacity = (capacity.0 - gpus, capacity.1 - memory * 100);
            }
            if placements.len() < *count as usize {
                waiting.push((*gpus, memory * 100));
            }
        }
        for (gpus, memory) in waiting {
            let fits = free
                .iter()
                .any(|capacity| capacity.0 >= gpus && capacity.1 >= memory);
            prop_assert!(
                !fits,
                "a waiting task of {gpus} accelerators and {memory} MB fits into {free:?}"
            );
        }
    }
}

/// Many jobs end tasks all the time, so that more records change than one transaction takes.
/// A job must not wait for its start until the records that sort before its own are at rest.
#[test]
fn a_start_is_stored_soon_although_more_records_change_than_a_batch_takes() {
    let busy_jobs = 32;
    let mut cluster = cluster();
    for i in 0..busy_jobs {
        cluster.add_worker(&format!("n{i:02}"), worker(&format!("w{i}"), "r1"));
        cluster.submit(job(&format!("a{i:02}"), vec![step(8, 1)]));
        cluster.tick();
    }
    cluster.advance(SETTLE_TIME);
    cluster.add_worker("idle", worker("idle", "r1"));
    cluster.tick();
    cluster.submit(job("z", vec![step(1, 8)]));

    for round in 0..4 {
        for i in 0..busy_jobs {
            let id = format!("a{i:02}");
            let (_, sidecar) = cluster.placements(&id)[0].clone();
            cluster.end_run(&sidecar, &id, round, End::Done);
        }
        cluster.now += Duration::from_millis(10);
        cluster.poll_all();
        let wall = START_UNIX_MS + cluster.now.as_millis() as u64;
        cluster.ledger.plan(cluster.now, wall);
        cluster.commit_batch();
        cluster.deliver_orders();
    }

    let started = cluster.starts.iter().any(|(_, s)| s.task.job == "z");
    assert!(started, "the start of z is not stored after four batches");
}
