//! Uses of learned run times, each on and off.

use crate::fixtures::Cluster;
use crate::fixtures::START_UNIX_MS;
use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_coordination::runtime::FinishedRun;
use hibiscusbarrow_coordination::runtime::Kind;
use hibiscusbarrow_coordination::runtime::MAX_SUMMARY_BYTES;
use hibiscusbarrow_coordination::runtime::RunTimes;
use hibiscusbarrow_coordination::runtime::Shape;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Objective;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::ledger::LearnedTimes;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_fleet::worker::End;
use std::time::Duration;

/// Time for the placer to poll, plan and have its orders carried out.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// The declared time of the steps.
const DECLARED: Duration = Duration::from_secs(1);

const OFF: LearnedTimes = LearnedTimes {
    order: false,
    backfill: false,
    placement: false,
    preemption: false,
    stall: false,
};
const ALL: LearnedTimes = LearnedTimes {
    order: true,
    backfill: true,
    placement: true,
    preemption: true,
    stall: true,
};

/// Returns a cluster with one worker that knows how long the tasks of accounts take.
fn cluster_that_knows(uses: LearnedTimes, known: &[(&str, u64, Duration)]) -> Cluster {
    let mut cluster = cluster().with_learned_times(uses);
    cluster.add_worker("n1", worker("w1", "r1"));
    let mut times = RunTimes::default();
    for (account, gpus, took) in known {
        let kind = kind(account, *gpus);
        for _ in 0..100 {
            times.observe(&kind, DECLARED, &FinishedRun::done(*took));
        }
    }
    cluster.ledger.set_run_times(times);
    cluster
}

fn kind(account: &str, gpus: u64) -> Kind {
    Kind {
        queue: "queue".into(),
        account: account.into(),
        shape: Shape {
            cpu: 100,
            memory: 100,
            gpus,
        },
        step: 0,
    }
}

/// Returns a job of an account, accepted now.
fn job_of(cluster: &Cluster, account: &str, id: &str, steps: Vec<Step>) -> Job {
    Job {
        account: account.into(),
        accepted_at: START_UNIX_MS + cluster.now.as_millis() as u64,
        ..job(id, steps)
    }
}

fn submit(cluster: &mut Cluster, account: &str, id: &str, steps: Vec<Step>) {
    let job = job_of(cluster, account, id, steps);
    cluster.submit(job);
}

/// Guards against short tasks that wait behind long ones of the same class.
#[test]
fn the_shorter_of_two_jobs_starts_first() {
    for (uses, first) in [(OFF, "a"), (ALL, "b")] {
        let seconds = Duration::from_secs;
        let known = [("long", 8, seconds(30)), ("short", 8, seconds(1))];
        let mut cluster = cluster_that_knows(uses, &known);
        submit(&mut cluster, "long", "a", vec![step(1, 8)]);
        submit(&mut cluster, "short", "b", vec![step(1, 8)]);

        cluster.advance(SETTLE_TIME);

        assert_eq!(cluster.placements(first).len(), 1, "{uses:?}");
    }
}

/// Guards against starvation of a long task by short ones that keep arriving.
#[test]
fn a_long_task_starts_although_short_ones_keep_arriving() {
    let known = [
        ("long", 8, Duration::from_secs(30)),
        ("short", 8, Duration::from_millis(900)),
    ];
    let mut cluster = cluster_that_knows(ALL, &known);
    cluster.run_time = Some(Duration::from_millis(900));
    submit(&mut cluster, "short", "s0", vec![step(1, 8)]);
    cluster.advance(SETTLE_TIME);
    submit(&mut cluster, "long", "long", vec![step(1, 8)]);
    let mut waited = Duration::ZERO;
    let is_started = |c: &Cluster| c.starts.iter().any(|(_, s)| s.task.job == "long");
    while !is_started(&cluster) {
        let number = cluster.stored.len();
        submit(
            &mut cluster,
            "short",
            &format!("s{number}"),
            vec![step(1, 8)],
        );
        // A little more often than a task ends, so that the worker is never idle.
        cluster.advance(Duration::from_millis(900));
        waited += Duration::from_millis(900);
        assert!(waited < Duration::from_secs(300), "it starves");
    }
    // Its work is 240 s; jobs accepted more than four paths of 30 s later may not overtake.
    let accepted = |id: &str| cluster.stored[id].0.job.accepted_at;
    let started = cluster.starts.iter();
    let newest = started.map(|(_, s)| accepted(&s.task.job)).max();
    let newest = newest.expect("tasks have started");
    assert!(newest <= accepted("long") + 125_000);
    assert!(
        waited > Duration::from_secs(60),
        "it came first: {waited:?}"
    );
}

/// Guards against a late job that keeps those from being in time that still can, and against one
/// that never starts behind them.
#[test]
fn a_job_that_cannot_be_in_time_waits_behind_others_for_a_limited_time() {
    let known = [("agency", 8, Duration::from_millis(900))];
    let mut cluster = cluster_that_knows(ALL, &known);
    cluster.run_time = Some(Duration::from_millis(900));
    let with_deadline = |cluster: &Cluster, id: &str, base_ms: u64| Job {
        objective: Some(Objective {
            stretch_percent: 100,
            base_ms,
        }),
        ..job_of(cluster, "agency", id, vec![step(1, 8)])
    };
    cluster.submit(with_deadline(&cluster, "s0", 20_000));
    cluster.advance(SETTLE_TIME);
    let mut late = with_deadline(&cluster, "late", 0);
    late.accepted_at -= 1_000;
    cluster.submit(late);
    let mut waited = Duration::ZERO;
    while cluster.placements("late").is_empty() {
        let id = format!("s{}", cluster.stored.len());
        cluster.submit(with_deadline(&cluster, &id, 20_000));
        cluster.advance(Duration::from_millis(500));
        waited += Duration::from_millis(500);
        assert!(waited < Duration::from_secs(14), "it starves");
    }
    assert!(waited > Duration::from_secs(4), "it came first: {waited:?}");
}

/// Guards against learned times that come before the customers' terms.
#[test]
fn a_guaranteed_long_task_comes_before_short_ones_of_other_classes() {
    let known = [
        ("agency", 8, Duration::from_secs(100)),
        ("short", 8, Duration::from_millis(100)),
    ];
    let mut cluster = cluster_that_knows(ALL, &known);
    cluster.set_guarantee("agency", 8);
    submit(&mut cluster, "short", "a", vec![step(1, 8)]);
    let guaranteed = Job {
        priority: 0,
        ..job_of(&cluster, "agency", "b", vec![step(1, 8)])
    };
    cluster.submit(guaranteed);

    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.placements("b").len(), 1);
}

/// Guards against the loss of work that would have been done before its capacity was free.
#[test]
fn a_run_that_is_about_to_end_is_not_stopped() {
    for (uses, stops) in [(OFF, 1), (ALL, 0)] {
        let known = [("other", 8, Duration::from_secs(5))];
        let mut cluster = cluster_that_knows(uses, &known);
        let fake = cluster.workers.get_mut("n1").expect("the worker exists");
        // 5 s per 100%; the progress alone tells when the run ends.
        fake.percent_time = Some(Duration::from_millis(50));
        cluster.run_time = Some(Duration::from_secs(5));
        cluster.set_guarantee("agency", 8);
        submit(&mut cluster, "other", "low", vec![step(1, 8)]);
        cluster.advance(Duration::from_millis(4_700));

        let urgent = Job {
            priority: 0,
            ..job_of(&cluster, "agency", "high", vec![step(1, 8)])
        };
        cluster.submit(urgent);
        cluster.advance(Duration::from_millis(1_000));

        assert_eq!(cluster.stops.len(), stops, "{uses:?}");
        assert_eq!(cluster.placements("high").len(), 1);
        assert_eq!(cluster.state("low") == State::Completed, stops == 0);
    }
}

/// Guards against a guarantee that is not reclaimed because runs are always about to end.
#[test]
fn a_run_that_does_not_end_as_expected_is_stopped_for_a_guarantee() {
    let mut cluster = cluster_that_knows(ALL, &[]);
    let fake = cluster.workers.get_mut("n1").expect("the worker exists");
    fake.percent_time = Some(Duration::from_millis(50));
    cluster.set_guarantee("agency", 8);
    // A declared time of 100 s, so that the run does not count as stalled.
    let declared = Step {
        runtime: 100_000,
        ..step(1, 8)
    };
    submit(&mut cluster, "other", "low", vec![declared]);
    cluster.advance(Duration::from_millis(4_900));
    let fake = cluster.workers.get_mut("n1").expect("the worker exists");
    fake.stalled = true;

    let urgent = Job {
        priority: 0,
        ..job_of(&cluster, "agency", "high", vec![step(1, 8)])
    };
    cluster.submit(urgent);
    cluster.advance(Duration::from_millis(2_500));

    assert_eq!(cluster.placements("high").len(), 1);
}

/// Guards against lost work where a run with checkpoints could have been stopped, and against one
/// job that is stopped time and again.
#[test]
fn runs_with_checkpoints_are_stopped_first_and_no_job_twice_while_others_run() {
    let mut cluster = cluster_that_knows(ALL, &[("other", 4, Duration::from_secs(60))]);
    cluster.set_guarantee("agency", 4);
    let saving = Step {
        checkpoints: true,
        ..step(1, 4)
    };
    submit(&mut cluster, "other", "saving", vec![saving.clone()]);
    cluster.advance(Duration::from_secs(3));
    submit(&mut cluster, "other", "plain", vec![step(1, 4)]);
    cluster.advance(SETTLE_TIME);
    for (round, victim) in [(1, "saving"), (2, "plain")] {
        let id = format!("high{round}");
        let urgent = Job {
            priority: 0,
            ..job_of(&cluster, "agency", &id, vec![step(1, 4)])
        };
        cluster.submit(urgent);
        cluster.advance(SETTLE_TIME * 2);
        let newest = cluster.stops.last().map(|(_, _, task)| task.job.clone());
        assert_eq!(newest.as_deref(), Some(victim));
        cluster.end_run("n1", &id, 0, End::Done);
        cluster.advance(SETTLE_TIME * 2);
    }
}

/// Guards against tasks that take much longer than declared and are stopped between two percents.
#[test]
fn a_run_that_is_known_to_take_long_does_not_count_as_stalled() {
    for (uses, is_stopped) in [(OFF, true), (ALL, false)] {
        let known = [("agency", 8, Duration::from_secs(400))];
        let mut cluster = cluster_that_knows(uses, &known);
        let fake = cluster.workers.get_mut("n1").expect("the worker exists");
        fake.percent_time = Some(Duration::from_secs(4));
        submit(&mut cluster, "agency", "a", vec![step(1, 8)]);

        cluster.advance(Duration::from_secs(20));

        assert_eq!(!cluster.stops.is_empty(), is_stopped, "{uses:?}");
    }
}

/// Guards against reserved workers that stay empty although a task would end before they are needed.
#[test]
fn a_short_task_starts_on_a_worker_that_is_reserved_for_a_gang() {
    for (uses, count) in [(OFF, 0), (ALL, 1)] {
        let known = [
            ("long", 8, Duration::from_secs(30)),
            ("short", 2, Duration::from_millis(900)),
        ];
        let mut cluster = cluster_that_knows(uses, &known);
        cluster.add_worker("n2", worker("w2", "r1"));
        submit(&mut cluster, "long", "long", vec![step(1, 8)]);
        cluster.advance(SETTLE_TIME);
        let gang = Step {
            gang: true,
            ..step(2, 8)
        };
        submit(&mut cluster, "long", "gang", vec![gang]);
        cluster.advance(Duration::from_millis(1_700));

        let low = Job {
            priority: 2,
            ..job_of(&cluster, "short", "short", vec![step(1, 2)])
        };
        cluster.submit(low);
        cluster.advance(Duration::from_millis(250));

        assert_eq!(cluster.placements("short").len(), count, "{uses:?}");
    }
}

/// Guards against a new placer that knows nothing although the last one left a summary, and against
/// decisions that fail without one.
#[test]
fn a_new_placer_uses_the_summary_of_the_last_one() {
    for with_summary in [false, true] {
        let mut cluster = cluster_that_knows(ALL, &[]);
        cluster.run_time = Some(Duration::from_secs(3));
        for number in 0..8 {
            submit(
                &mut cluster,
                "agency",
                &format!("j{number}"),
                vec![step(2, 4)],
            );
        }
        cluster.advance(Duration::from_secs(40));
        assert_eq!(cluster.state("j7"), State::Completed);
        let summary = cluster.ledger.run_times().summary(MAX_SUMMARY_BYTES);

        cluster.replace_placer();
        if with_summary {
            let times = RunTimes::from_summary(&summary).expect("the summary is readable");
            cluster.ledger.set_run_times(times);
        }

        let estimate = cluster
            .ledger
            .run_times()
            .estimate(&kind("agency", 4), DECLARED);
        let mean = estimate.expect("the time is declared").total().mean;
        let is_known = mean > Duration::from_millis(2_000);
        assert_eq!(is_known, with_summary, "{mean:?}");
        submit(&mut cluster, "agency", "next", vec![step(2, 4)]);
        cluster.advance(Duration::from_secs(15));
        assert_eq!(cluster.state("next"), State::Completed);
    }
}

/// Guards against calls and estimates in deployments that do not use learned run times.
#[test]
fn nothing_is_learned_while_no_use_is_switched_on() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    cluster.run_time = Some(Duration::from_millis(500));
    cluster.submit(job("a", vec![step(4, 4)]));

    cluster.advance(Duration::from_secs(5));

    assert_eq!(cluster.state("a"), State::Completed);
    assert!(cluster.ledger.run_times().is_empty());
}
