//! Recurring jobs, long-running tasks, retries, checkpoints, best-effort tasks,
//! policies, quarantine and stalled runs.

use crate::fixtures::FakeWorker;
use crate::fixtures::START_UNIX_MS;
use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Policy;
use hibiscusbarrow_fleet::job::Schedule;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::ledger::Effect;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_fleet::worker::End;
use hibiscusbarrow_fleet::worker::Order;
use std::time::Duration;

/// Time for the placer to poll, plan and have its orders carried out.
const SETTLE_TIME: Duration = Duration::from_millis(300);

#[test]
fn an_occurrence_does_not_start_before_it_is_due() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    let schedule = Schedule {
        start: START_UNIX_MS + 2_000,
        interval: 3_000,
        count: 2,
    };
    cluster.submit(Job {
        schedule: Some(schedule),
        ..job("j", vec![step(1, 1)])
    });

    cluster.advance(Duration::from_millis(1_900));
    let before_due = cluster.starts.len();
    cluster.advance(Duration::from_millis(1_000));
    let after_first_due = cluster.starts.len();
    cluster.advance(Duration::from_millis(3_000));

    assert_eq!(
        (before_due, after_first_due, cluster.starts.len()),
        (0, 1, 2)
    );
    assert_eq!(cluster.starts[1].1.task.occurrence, 1);
}

#[test]
fn a_long_running_task_is_restarted_after_any_number_of_failures() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    let long_running = Step {
        long_running: true,
        ..step(1, 1)
    };
    cluster.submit(job("j", vec![long_running]));
    cluster.advance(SETTLE_TIME);

    for _ in 0..5 {
        cluster.end_run("n1", "j", 0, End::Failed);
        cluster.advance(SETTLE_TIME);
    }

    assert_eq!(cluster.starts.len(), 6);
    assert_eq!(cluster.stored["j"].0.state(), State::Running);
}

#[test]
fn a_task_that_exhausts_its_attempts_fails_the_job_and_stops_its_other_tasks() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    cluster.submit(job("j", vec![step(2, 1)]));
    cluster.advance(SETTLE_TIME);

    for _ in 0..3 {
        cluster.end_run("n1", "j", 0, End::Failed);
        cluster.advance(SETTLE_TIME);
    }

    assert_eq!(cluster.stored["j"].0.state(), State::Failed);
    assert!(cluster.placements("j").is_empty());
    assert_eq!(cluster.starts.len(), 4);
}

#[test]
fn a_run_resumes_from_the_checkpoint_of_the_previous_run() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    let checkpointed = Step {
        checkpoints: true,
        ..step(1, 1)
    };
    cluster.submit(job("j", vec![checkpointed]));
    cluster
        .workers
        .get_mut("n1")
        .expect("the worker exists")
        .checkpoint = "saved".into();
    cluster.advance(Duration::from_secs(2));

    cluster
        .workers
        .get_mut("n1")
        .expect("the worker exists")
        .restart("w2");
    cluster.replace_placer();
    cluster.advance(SETTLE_TIME);

    let last = &cluster.starts.last().expect("the task was started").1;
    assert_eq!((last.run, last.checkpoint.as_str()), (2, "saved"));
}

#[test]
fn a_best_effort_task_slows_down_while_a_serving_task_exceeds_its_latency_limit() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    let serving = Step {
        long_running: true,
        max_latency: 100,
        ..step(1, 1)
    };
    let best_effort = Step {
        best_effort: true,
        ..step(1, 1)
    };
    cluster.submit(job("serving", vec![serving]));
    cluster.submit(job("best-effort", vec![best_effort]));
    cluster.advance(SETTLE_TIME);

    cluster
        .workers
        .get_mut("n1")
        .expect("the worker exists")
        .load = 150;
    cluster.poll_all();
    let effects = cluster.ledger.take_effects();

    let slowed = effects.iter().any(|e| {
        matches!(e, Effect::Send { order: Order::Pace { task, percent, .. }, .. }
            if task.job == "best-effort" && *percent == 50)
    });
    assert!(slowed, "{effects:?}");
}

#[test]
fn a_step_under_a_policy_runs_only_on_an_approved_worker() {
    let mut cluster = cluster()
        .with_worker("n1", worker("w1", "r1"))
        .with_worker("n2", worker("w2", "r1"));
    let policy = Policy {
        decision_ms: 1,
        per_worker_ms: 1,
        valid_ms: 3_000,
    };
    cluster.advance(SETTLE_TIME);
    cluster.submit(Job {
        policy: Some(policy),
        ..job("j", vec![step(1, 1)])
    });
    cluster.ledger.plan(cluster.now, START_UNIX_MS);
    let request = cluster
        .ledger
        .take_effects()
        .into_iter()
        .find_map(|e| match e {
            Effect::RequestApproval(request) => Some(request),
            _ => None,
        });
    let request = request.expect("the approval is requested");

    let approvals = vec![("w2".into(), "token".into())];
    cluster
        .ledger
        .handle_approvals(&request, cluster.now, cluster.now, Some(approvals));
    cluster.advance(SETTLE_TIME);

    assert_eq!(request.workers.len(), 2);
    let (sidecar, start) = &cluster.starts[0];
    assert_eq!((sidecar.as_str(), start.approval.as_str()), ("n2", "token"));
}

#[test]
fn a_worker_that_fails_different_jobs_in_a_row_is_quarantined_for_a_limited_time() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    for id in ["a", "b"] {
        cluster.submit(job(id, vec![step(1, 1)]));
        cluster.advance(SETTLE_TIME);
        cluster.end_run("n1", id, 0, End::Failed);
    }
    cluster.advance(SETTLE_TIME);
    let before = cluster.starts.len();

    cluster.submit(job("c", vec![step(1, 1)]));
    cluster.advance(Duration::from_secs(1));
    let during = cluster.starts.len();
    cluster.advance(Duration::from_secs(4));

    assert_eq!(before, during);
    assert!(cluster.placements("c").len() == 1);
}

/// Long runs were stopped for a percent that did not change for 3.5 s, so that no task that takes
/// longer than some minutes could ever end, and all workers were quarantined.
#[test]
fn a_long_run_that_makes_progress_is_not_stopped_whatever_its_declared_run_time() {
    for minutes in [10, 60, 600] {
        for (declared_tenths, percents) in [(1, 3), (10, 3), (100, 10)] {
            let run_time = Duration::from_secs(60 * minutes);
            let percent_time = run_time / 100;
            let declared = run_time.as_millis() as u64 * declared_tenths / 10;
            for gang in [false, true] {
                let mut cluster = cluster();
                for n in 0..2 {
                    let fake = FakeWorker {
                        percent_time: Some(percent_time),
                        ..worker(&format!("w{n}"), "r1")
                    };
                    cluster.add_worker(&format!("n{n}"), fake);
                }
                let step = Step {
                    runtime: declared,
                    gang,
                    ..step(2, 1)
                };
                cluster.submit(job("long", vec![step]));

                cluster.advance((percent_time * percents).min(Duration::from_secs(600)));

                let case = format!("{minutes} min, declared {declared} ms, gang {gang}");
                assert_eq!(cluster.starts.len(), 2, "{case}");
            }
        }
    }
}

/// Guards against a longer stall timeout under which a run stands still and is never stopped.
#[test]
fn a_long_run_that_stands_still_is_stopped_within_an_eighth_of_its_declared_run_time() {
    for minutes in [1, 10, 60] {
        let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
        let declared = Duration::from_secs(60 * minutes);
        let step = Step {
            runtime: declared.as_millis() as u64,
            ..step(1, 1)
        };
        cluster.submit(job("long", vec![step]));
        cluster.advance(SETTLE_TIME);
        let fake = cluster.workers.get_mut("n1").expect("the worker exists");
        fake.stalled = true;

        cluster.advance(declared / 8 - SETTLE_TIME);
        let stopped_before = cluster.stops.len();
        cluster.advance(Duration::from_secs(1));

        assert_eq!(
            (stopped_before, cluster.stops.len()),
            (0, 1),
            "{minutes} min"
        );
    }
}

/// Guards against a task that is stopped again and again since its declared run time is missing.
#[test]
fn a_task_without_a_declared_run_time_is_stopped_more_seldom_each_time() {
    let mut cluster = cluster();
    for n in 0..3 {
        let fake = FakeWorker {
            percent_time: Some(Duration::from_secs(36)),
            ..worker(&format!("w{n}"), "r1")
        };
        cluster.add_worker(&format!("n{n}"), fake);
    }
    cluster.submit(job("hour", vec![step(1, 1)]));

    cluster.advance(Duration::from_secs(600));
    let stops = cluster.stops.len();
    cluster.advance(Duration::from_secs(600));

    assert_eq!(cluster.stops.len(), stops);
    assert!(stops < 6, "{stops} stops");
}

/// Guards against quarantines of all workers at the same time: nothing started anywhere.
#[test]
fn half_of_the_workers_of_a_service_stay_in_use_beside_quarantines() {
    let mut cluster = cluster();
    for n in 0..4 {
        let fake = FakeWorker {
            stalled: true,
            ..worker(&format!("w{n}"), "r1")
        };
        cluster.add_worker(&format!("n{n}"), fake);
    }
    cluster.submit(job("stalling", vec![step(4, 6)]));
    cluster.advance(Duration::from_secs(2));
    let stops = cluster.stops.len();
    for worker in cluster.workers.values_mut() {
        worker.stalled = false;
    }

    cluster.submit(job("sound", vec![step(2, 1)]));
    cluster.advance(Duration::from_secs(1));

    assert_eq!(stops, 4);
    assert_eq!(cluster.placements("sound").len(), 2);
}

#[test]
fn a_stalled_run_is_stopped_and_restarted_on_another_worker() {
    let mut cluster = cluster()
        .with_worker("n1", worker("w1", "r1"))
        .with_worker("n2", worker("w2", "r1"));
    cluster.submit(job("j", vec![step(1, 1)]));
    cluster.advance(SETTLE_TIME);
    let sidecar = cluster.placements("j")[0].1.clone();

    cluster
        .workers
        .get_mut(&sidecar)
        .expect("the worker exists")
        .stalled = true;
    cluster.advance(Duration::from_secs(5));

    let placements = cluster.placements("j");
    assert_eq!(placements.len(), 1);
    assert_ne!(placements[0].1, sidecar);
}
