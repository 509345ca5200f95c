//! Rules that hold for every start and stop.

use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::worker::End;
use std::time::Duration;

/// Time for the placer to poll, plan and have its orders carried out.
const SETTLE_TIME: Duration = Duration::from_millis(300);

fn gang_step(count: u32, gpus: u64) -> Step {
    Step {
        gang: true,
        ..step(count, gpus)
    }
}

#[test]
fn a_cancelled_job_starts_no_more_tasks() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    cluster.submit(job("first", vec![step(1, 8)]));
    cluster.advance(SETTLE_TIME);
    cluster.submit(job("second", vec![step(1, 8)]));
    cluster.advance(SETTLE_TIME);

    cluster.cancel("second");
    cluster.end_run("n1", "first", 0, End::Done);
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.starts.len(), 1);
}

#[test]
fn a_gang_waits_until_all_members_fit() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    cluster.submit(job("pair", vec![gang_step(2, 8)]));
    cluster.advance(SETTLE_TIME);
    assert!(cluster.starts.is_empty());

    cluster.add_worker("n2", worker("w2", "r1"));
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.placements("pair").len(), 2);
}

#[test]
fn a_gang_that_loses_a_member_is_stopped_and_restarted_as_a_whole() {
    let mut cluster = cluster()
        .with_worker("n1", worker("w1", "r1"))
        .with_worker("n2", worker("w2", "r1"));
    cluster.submit(job("pair", vec![gang_step(2, 8)]));
    cluster.advance(SETTLE_TIME);

    cluster
        .workers
        .get_mut("n2")
        .expect("the worker exists")
        .restart("w3");
    cluster.advance(SETTLE_TIME);

    let stopped: Vec<_> = cluster
        .stops
        .iter()
        .map(|(sidecar, ..)| sidecar.as_str())
        .collect();
    assert_eq!(stopped, ["n1"]);
    let numbers: Vec<u64> = cluster.starts.iter().map(|(_, s)| s.run).collect();
    assert_eq!(numbers, [1, 1, 2, 2]);
}

/// The running task has done more work than a job of priority 0 beyond its guarantee
/// may discard.
#[test]
fn only_a_guaranteed_job_preempts_work_of_any_cost() {
    let costly = Step {
        cpu: 8_000,
        ..step(1, 8)
    };
    let urgent = Job {
        priority: 0,
        ..job("urgent", vec![step(1, 8)])
    };
    for (guaranteed, preempts) in [(8, true), (0, false)] {
        let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
        cluster.set_guarantee("agency", guaranteed);
        cluster.submit(job("low", vec![costly.clone()]));
        cluster.advance(Duration::from_secs(20));

        cluster.submit(urgent.clone());
        cluster.advance(SETTLE_TIME);

        assert_eq!(!cluster.placements("urgent").is_empty(), preempts);
    }
}

#[test]
fn a_draining_worker_is_assigned_no_tasks() {
    let mut draining = worker("w1", "r1");
    draining.draining = true;
    let mut cluster = cluster().with_worker("n1", draining);
    cluster.submit(job("job", vec![step(1, 1)]));
    cluster.advance(SETTLE_TIME);
    assert!(cluster.starts.is_empty());

    cluster.add_worker("n2", worker("w2", "r1"));
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.placements("job"), [(0, "n2".into())]);
}

#[test]
fn no_worker_runs_more_tasks_of_a_step_than_the_step_allows() {
    let mut cluster = cluster()
        .with_worker("n1", worker("w1", "r1"))
        .with_worker("n2", worker("w2", "r1"));
    let limited = Step {
        max_per_worker: 1,
        ..step(3, 1)
    };

    cluster.submit(job("limited", vec![limited]));
    cluster.advance(SETTLE_TIME);

    let placements = cluster.placements("limited");
    assert_eq!(placements.len(), 2);
    assert_ne!(placements[0].1, placements[1].1);
}

#[test]
fn a_step_runs_only_on_workers_with_its_label() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    for (id, label) in [("other", "b"), ("same", "a")] {
        let labelled = Step {
            label: label.into(),
            ..step(1, 1)
        };
        cluster.submit(job(id, vec![labelled]));
    }

    cluster.advance(SETTLE_TIME);

    assert!(cluster.placements("other").is_empty());
    assert_eq!(cluster.placements("same").len(), 1);
}

#[test]
fn capacity_of_a_stopped_run_is_reused_only_once_its_end_is_listed() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    cluster.set_guarantee("agency", 8);
    cluster.submit(job("low", vec![step(1, 8)]));
    cluster.advance(SETTLE_TIME);
    cluster.submit(Job {
        priority: 0,
        ..job("urgent", vec![step(1, 8)])
    });

    cluster.plan();
    cluster.plan();
    let before = cluster.starts.len();
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.stops.len(), 1);
    assert_eq!(
        before, 1,
        "the stop was ordered, but the end is not listed yet"
    );
    assert_eq!(cluster.placements("urgent").len(), 1);
}

#[test]
fn a_long_running_task_that_reports_done_is_restarted() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    let long_running = Step {
        long_running: true,
        ..step(1, 1)
    };
    cluster.submit(job("long-running", vec![long_running]));
    cluster.advance(SETTLE_TIME);

    cluster.end_run("n1", "long-running", 0, End::Done);
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.placements("long-running").len(), 1);
    assert_eq!(cluster.starts.len(), 2);
}

/// More workers may forget ends than can be left out, so that one of them was used like the others:
/// a task whose end it forgets runs twice.
#[test]
fn workers_that_may_forget_ends_get_only_what_has_no_room_elsewhere() {
    let mut cluster = cluster();
    for n in 0..3 {
        let mut fake = worker(&format!("w{n}"), "r1");
        fake.on_hold = n < 2;
        cluster.add_worker(&format!("n{n}"), fake);
    }
    cluster.submit(job("fits", vec![step(2, 4)]));
    cluster.advance(Duration::from_millis(300));
    cluster.submit(job("more", vec![step(1, 4)]));
    cluster.advance(Duration::from_millis(300));

    let sidecars = |id| cluster.placements(id).into_iter().map(|(_, s)| s);
    assert_eq!(sidecars("fits").collect::<Vec<_>>(), ["n2", "n2"]);
    assert_ne!(sidecars("more").collect::<Vec<_>>(), ["n2"]);
    assert_eq!(cluster.placements("more").len(), 1);
}

/// Guards against a worker on hold that is left out although its sidecar stops the next run there: no
/// run ended there, so that the hold had no end.
#[test]
fn worker_on_hold_is_used_if_its_sidecar_stops_its_runs() {
    let mut cluster = cluster();
    for n in 0..8 {
        let mut fake = worker(&format!("w{n}"), "r1");
        (fake.on_hold, fake.probing) = (n == 0, true);
        cluster.add_worker(&format!("n{n}"), fake);
    }
    cluster.submit(job("fits", vec![step(7, 8)]));
    cluster.advance(Duration::from_millis(300));
    assert!(cluster.placements("fits").iter().all(|(_, s)| s != "n0"));

    cluster.submit(job("more", vec![step(1, 8)]));
    cluster.advance(Duration::from_millis(300));

    assert_eq!(cluster.placements("more"), [(0, "n0".into())]);
}
