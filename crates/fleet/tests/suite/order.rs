//! What starts first, and where.

use crate::fixtures::WALL;
use crate::fixtures::job;
use crate::fixtures::rig;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Objective;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::worker::End;
use proptest::prelude::*;
use std::time::Duration;

const MOMENT: Duration = Duration::from_millis(300);

/// Returns a job of one task that fills a worker and may take one and a half times
/// its declared run time.
fn timed(id: &str, runtime: u64) -> Job {
    let whole = Step {
        runtime,
        ..step(1, 8)
    };
    Job {
        objective: Some(Objective {
            stretch_percent: 150,
            base_ms: 250,
        }),
        ..job(id, vec![whole])
    }
}

#[test]
fn of_one_class_the_job_with_the_earliest_deadline_starts_first() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    rig.submit(job("running", vec![step(1, 8)]));
    rig.run(MOMENT);
    rig.submit(timed("a-long", 9_000));
    rig.submit(timed("b-short", 2_000));
    rig.run(MOMENT);

    rig.end("n1", "running", 0, End::Done);
    rig.run(MOMENT);

    assert_eq!(rig.places("b-short").len(), 1);
    assert_eq!(rig.places("a-long").len(), 0);
}

#[test]
fn a_job_that_is_late_anyway_waits_for_one_that_can_be_in_time() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    rig.submit(job("running", vec![step(1, 8)]));
    rig.run(MOMENT);
    let late = Job {
        accepted_at: WALL - 10_000,
        ..timed("a-late", 2_000)
    };
    rig.submit(late);
    rig.submit(timed("b-timely", 2_000));
    rig.run(MOMENT);

    rig.end("n1", "running", 0, End::Done);
    rig.run(MOMENT);

    assert_eq!(rig.places("b-timely").len(), 1);
    assert_eq!(rig.places("a-late").len(), 0);
}

#[test]
fn a_late_job_beyond_its_guarantee_stops_no_one() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    rig.submit(job("running", vec![step(1, 8)]));
    rig.run(MOMENT);

    rig.submit(Job {
        priority: 0,
        accepted_at: WALL - 10_000,
        ..timed("late", 2_000)
    });
    rig.run(MOMENT * 2);

    assert_eq!(rig.places("running").len(), 1);
    assert!(rig.stops.is_empty());
}

#[test]
fn an_urgent_task_goes_to_the_worker_that_proved_fast() {
    let mut rig = rig()
        .with("n1", worker("w1", "r1"))
        .with("n2", worker("w2", "r1"));
    for round in 0..4 {
        let id = format!("probe{round}");
        rig.submit(job(&id, vec![step(2, 8)]));
        rig.run(MOMENT);
        let fast = rig.places(&id).into_iter().find(|(_, node)| node == "n2");
        let (index, _) = fast.expect("one of the two tasks runs there");
        rig.end("n2", &id, index, End::Done);
        rig.run(MOMENT * 3);
        rig.end("n1", &id, 1 - index, End::Done);
        rig.run(MOMENT);
    }

    rig.submit(Job {
        priority: 0,
        ..job("urgent", vec![step(1, 1)])
    });
    rig.run(MOMENT);

    assert_eq!(rig.places("urgent"), [(0, "n2".into())]);
}

#[test]
fn a_short_run_without_progress_is_given_up_sooner_than_a_long_one() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    let short = Step {
        runtime: 2_000,
        ..step(1, 1)
    };
    let long = Step {
        runtime: 60_000,
        ..step(1, 1)
    };
    rig.submit(job("short", vec![short]));
    rig.submit(job("long", vec![long]));
    rig.run(MOMENT);

    rig.workers.get_mut("n1").expect("it is there").stuck = true;
    rig.run(Duration::from_millis(2_000));

    let stopped: Vec<_> = rig.stops.iter().map(|(_, _, t)| t.job.as_str()).collect();
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

    assert_eq!(job.critical_path(0), 50);
    assert_eq!(job.critical_path(2), 12);
    assert_eq!(job.critical_path(3), 7);
}

proptest! {
    /// A plan leaves no task waiting that a worker still has room for.
    #[test]
    fn nothing_that_fits_is_left_waiting(
        jobs in proptest::collection::vec((1u32..5, 0u64..9, 1u64..60), 1..30),
        workers in 1usize..5,
    ) {
        let mut rig = rig();
        for at in 0..workers {
            rig.add(&format!("n{at}"), worker(&format!("w{at}"), "r1"));
        }
        rig.look_all();
        for (at, (count, gpus, memory)) in jobs.iter().enumerate() {
            let step = Step {
                memory: memory * 100,
                ..step(*count, *gpus)
            };
            rig.submit(job(&format!("j{at:02}"), vec![step]));
        }

        rig.plan();

        let mut free: Vec<(u64, u64)> = vec![(8, 8_000); workers];
        let mut waiting = Vec::new();
        for (at, (count, gpus, memory)) in jobs.iter().enumerate() {
            let places = rig.places(&format!("j{at:02}"));
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
