//! What starts first, and where.

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

/// Returns a job of one task that fills a worker and may take one and a half times
/// its declared run time.
fn timed(id: &str, runtime: u64) -> Job {
    let whole = Step {
        runtime,
        ..step(1, 8)
    };
    Job {
        objective: Some(Objective {
            stretch: 150,
            base: 250,
        }),
        ..job(id, vec![whole])
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
        accepted: START_UNIX_MS - 10_000,
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
        accepted: START_UNIX_MS - 10_000,
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
    for round in 0..4 {
        let id = format!("probe{round}");
        cluster.submit(job(&id, vec![step(2, 8)]));
        cluster.advance(SETTLE_TIME);
        let fast = cluster
            .placements(&id)
            .into_iter()
            .find(|(_, node)| node == "n2");
        let (index, _) = fast.expect("one of the two tasks runs there");
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
fn the_longest_chain_follows_dependencies() {
    let of = |runtime, after: &[u32]| Step {
        runtime,
        after: after.to_vec(),
        ..step(1, 1)
    };
    let job = job(
        "j",
        vec![of(10, &[]), of(50, &[]), of(5, &[0]), of(7, &[2])],
    );

    assert_eq!(job.chain(0), 50);
    assert_eq!(job.chain(2), 12);
    assert_eq!(job.chain(3), 7);
}

proptest! {
    /// A plan leaves no task waiting that a worker still has room for.
    #[test]
    fn no_task_that_fits_is_left_waiting(
        jobs in proptest::collection::vec((1u32..5, 0u64..9, 1u64..60), 1..30),
        workers in 1usize..5,
    ) {
        let mut cluster = cluster();
        for at in 0..workers {
            cluster.add_worker(&format!("n{at}"), worker(&format!("w{at}"), "r1"));
        }
        cluster.poll_all();
        for (at, (count, gpus, memory)) in jobs.iter().enumerate() {
            let step = Step {
                memory: memory * 100,
                ..step(*count, *gpus)
            };
            cluster.submit(job(&format!("j{at:02}"), vec![step]));
        }

        cluster.plan();

        let mut free: Vec<(u64, u64)> = vec![(8, 8_000); workers];
        let mut waiting = Vec::new();
        for (at, (count, gpus, memory)) in jobs.iter().enumerate() {
            let places = cluster.placements(&format!("j{at:02}"));
            for (_, node) in &places {
                let number: usize = node[1..].parse().expect("it ends in its number");
                let room = &mut free[number];
                prop_assert!(room.0 >= *gpus && room.1 >= memory * 100, "over {node}");
                *room = (room.0 - gpus, room.1 - memory * 100);
            }
            if places.len() < *count as usize {
                waiting.push((*gpus, memory * 100));
            }
        }
        for (gpus, memory) in waiting {
            let fits = free.iter().any(|room| room.0 >= gpus && room.1 >= memory);
            prop_assert!(!fits, "{gpus} and {memory} fit into {free:?}");
        }
    }
}
