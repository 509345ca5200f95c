//! Figures of jobs at the limits of their types, and of what a record can hold.

use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::MAX_JOB_TASKS;
use hibiscusbarrow_fleet::job::MAX_STEP_TASKS;
use hibiscusbarrow_fleet::job::Objective;
use hibiscusbarrow_fleet::job::Schedule;
use hibiscusbarrow_fleet::job::Step;
use std::time::Duration;

/// Guards against sums of a client's figures that overflow and stop the process.
#[test]
fn figures_at_the_limits_of_their_types_neither_overflow_nor_hold_up_other_jobs() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    let extreme = Step {
        cpu: u64::MAX,
        memory: u64::MAX,
        gpus: u64::MAX,
        runtime: u64::MAX,
        max_per_worker: u64::MAX,
        max_latency: u64::MAX,
        best_effort: true,
        ..step(2, 0)
    };
    let chained = Step {
        after: vec![0],
        ..extreme.clone()
    };
    let schedule = Schedule {
        start: u64::MAX,
        interval: u64::MAX,
        count: u32::MAX,
    };
    let objective = Objective {
        stretch_percent: u64::MAX,
        base_ms: u64::MAX,
    };
    let job_of = |id: &str, start: u64| Job {
        schedule: Some(Schedule { start, ..schedule }),
        objective: Some(objective),
        priority: u32::MAX,
        ..job(id, vec![extreme.clone(), chained.clone()])
    };
    cluster.submit(job_of("never", u64::MAX));
    cluster.submit(job_of("due", 0));
    let urgent = |id: &str| Job {
        priority: 0,
        ..job_of(id, 0)
    };
    cluster.submit(urgent("urgent-1"));
    cluster.submit(urgent("urgent-2"));

    cluster.submit(job("other", vec![step(3, 1)]));
    cluster.advance(Duration::from_secs(1));

    assert_eq!(cluster.placements("other").len(), 3);
    assert_eq!(cluster.starts.len(), 3);
}

/// Guards against a job of a few bytes whose tasks fill every plan and no record can hold.
#[test]
fn a_job_of_more_tasks_than_a_record_holds_is_invalid() {
    let full_steps = MAX_JOB_TASKS / u64::from(MAX_STEP_TASKS);
    let at_limit = job("j", vec![step(MAX_STEP_TASKS, 0); full_steps as usize]);
    let mut above = at_limit.clone();
    above.steps.push(step(1, 0));

    assert_eq!(at_limit.validate(), Ok(()));
    assert_eq!(
        above.validate(),
        Err("steps: have 30001 tasks together, must have at most 30000".into())
    );
}
