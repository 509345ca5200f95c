//! Kinds of steps: recurring, lasting, served, under a policy, with attempts.

use crate::fixtures::WALL;
use crate::fixtures::job;
use crate::fixtures::rig;
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

const MOMENT: Duration = Duration::from_millis(300);

#[test]
fn an_occurrence_does_not_start_before_it_is_due() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    let schedule = Schedule {
        start: WALL + 2_000,
        interval: 3_000,
        count: 2,
    };
    rig.submit(Job {
        schedule: Some(schedule),
        ..job("j", vec![step(1, 1)])
    });

    rig.run(Duration::from_millis(1_900));
    let early = rig.starts.len();
    rig.run(Duration::from_millis(1_000));
    let first = rig.starts.len();
    rig.run(Duration::from_millis(3_000));

    assert_eq!((early, first, rig.starts.len()), (0, 1, 2));
    assert_eq!(rig.starts[1].1.task.occurrence, 1);
}

#[test]
fn a_lasting_task_is_restarted_however_often_it_ends() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    let lasting = Step {
        long_running: true,
        ..step(1, 1)
    };
    rig.submit(job("j", vec![lasting]));
    rig.run(MOMENT);

    for _ in 0..5 {
        rig.end("n1", "j", 0, End::Failed);
        rig.run(MOMENT);
    }

    assert_eq!(rig.starts.len(), 6);
    assert_eq!(rig.stored["j"].0.state(), State::Running);
}

#[test]
fn a_task_that_fails_too_often_fails_its_job_and_stops_the_rest() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    rig.submit(job("j", vec![step(2, 1)]));
    rig.run(MOMENT);

    for _ in 0..3 {
        rig.end("n1", "j", 0, End::Failed);
        rig.run(MOMENT);
    }

    assert_eq!(rig.stored["j"].0.state(), State::Failed);
    assert!(rig.places("j").is_empty());
    assert_eq!(rig.starts.len(), 4);
}

#[test]
fn a_run_resumes_from_the_checkpoint_of_the_one_before() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    let saving = Step {
        checkpoints: true,
        ..step(1, 1)
    };
    rig.submit(job("j", vec![saving]));
    rig.workers.get_mut("n1").expect("it is there").checkpoint = "saved".into();
    rig.run(Duration::from_secs(2));

    rig.workers.get_mut("n1").expect("it is there").reboot("w2");
    rig.take_over();
    rig.run(MOMENT);

    let last = &rig.starts.last().expect("it was started").1;
    assert_eq!((last.run, last.checkpoint.as_str()), (2, "saved"));
}

#[test]
fn a_filler_slows_down_while_it_disturbs_a_serving_task() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    let serving = Step {
        long_running: true,
        max_latency: 100,
        ..step(1, 1)
    };
    let filling = Step {
        best_effort: true,
        ..step(1, 1)
    };
    rig.submit(job("serving", vec![serving]));
    rig.submit(job("filling", vec![filling]));
    rig.run(MOMENT);

    rig.workers.get_mut("n1").expect("it is there").load = 150;
    rig.look_all();
    let effects = rig.ledger.take_effects();

    let slowed = effects.iter().any(|e| {
        matches!(e, Effect::Send { order: Order::Pace { task, percent, .. }, .. }
            if task.job == "filling" && *percent == 50)
    });
    assert!(slowed, "{effects:?}");
}

#[test]
fn a_step_under_a_policy_runs_only_where_it_is_approved() {
    let mut rig = rig()
        .with("n1", worker("w1", "r1"))
        .with("n2", worker("w2", "r1"));
    let policy = Policy {
        decision_ms: 1,
        per_worker_ms: 1,
        valid_ms: 3_000,
    };
    rig.run(MOMENT);
    rig.submit(Job {
        policy: Some(policy),
        ..job("j", vec![step(1, 1)])
    });
    rig.ledger.plan(rig.now, WALL);
    let asked = rig.ledger.take_effects().into_iter().find_map(|e| match e {
        Effect::RequestApproval(inquiry) => Some(inquiry),
        _ => None,
    });
    let asked = asked.expect("the policy is asked");

    let rows = vec![("w2".into(), "ticket".into())];
    rig.ledger
        .handle_approvals(&asked, rig.now, rig.now, Some(rows));
    rig.run(MOMENT);

    assert_eq!(asked.workers.len(), 2);
    let (node, start) = &rig.starts[0];
    assert_eq!((node.as_str(), start.approval.as_str()), ("n2", "ticket"));
}

#[test]
fn a_worker_that_fails_jobs_in_a_row_is_left_out_for_a_while() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    for id in ["a", "b"] {
        rig.submit(job(id, vec![step(1, 1)]));
        rig.run(MOMENT);
        rig.end("n1", id, 0, End::Failed);
    }
    rig.run(MOMENT);
    let before = rig.starts.len();

    rig.submit(job("c", vec![step(1, 1)]));
    rig.run(Duration::from_secs(1));
    let during = rig.starts.len();
    rig.run(Duration::from_secs(4));

    assert_eq!(before, during);
    assert!(rig.places("c").len() == 1);
}

#[test]
fn a_run_that_stands_still_is_stopped_and_started_again() {
    let mut rig = rig()
        .with("n1", worker("w1", "r1"))
        .with("n2", worker("w2", "r1"));
    rig.submit(job("j", vec![step(1, 1)]));
    rig.run(MOMENT);
    let node = rig.places("j")[0].1.clone();

    rig.workers.get_mut(&node).expect("it is there").stuck = true;
    rig.run(Duration::from_secs(5));

    let places = rig.places("j");
    assert_eq!(places.len(), 1);
    assert_ne!(places[0].1, node);
}
