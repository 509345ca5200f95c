//! Workers that fail everything, and jobs that fail everywhere.

use crate::fixtures::*;
use hibiscusbarrow_placement::*;

/// Runs one job to its failure on the worker that it was given.
fn fail_once(scheduler: &mut Scheduler, name: &str, now: u64) -> WorkerKey {
    scheduler.submit(Job::new(name, "a", Shape::Accelerator, 1), at(now));
    settle(scheduler, at(now));
    let key = scheduler.key(name).expect("it is live");
    let worker = scheduler.job(key).expect("it is live").cells[0].worker;
    scheduler.failed(key, worker, at(now));
    for decision in scheduler.pass(at(now)) {
        if let Decision::Stop { job, .. } = decision {
            scheduler.released(job);
        }
    }
    scheduler.cancel(key);
    settle(scheduler, at(now));
    worker
}

#[test]
fn worker_that_fails_three_jobs_is_shunned_for_a_while() {
    let mut scheduler = scheduler(&[8], vec![account("a", &[])], plain_policy());

    let worker = (0..3)
        .map(|i| fail_once(&mut scheduler, &format!("j{i}"), i))
        .last();

    let worker = worker.expect("three jobs ran");
    assert!(scheduler.is_quarantined(worker, at(10)));
    scheduler.submit(Job::new("later", "a", Shape::Accelerator, 1), at(11));
    assert_eq!(settle(&mut scheduler, at(12)), Vec::<String>::new());
    assert_eq!(settle(&mut scheduler, at(200)), ["later"]);
}

#[test]
fn quarantine_does_not_break_a_guarantee() {
    let quota = account("a", &[(Shape::Worker, 1)]);
    let mut scheduler = scheduler(&[8], vec![quota], plain_policy());
    (0..3).for_each(|i| {
        fail_once(&mut scheduler, &format!("j{i}"), i);
    });

    scheduler.submit(Job::new("claim", "a", Shape::Worker, 1), at(10));

    assert_eq!(settle(&mut scheduler, at(10)), ["claim"]);
}

#[test]
fn job_that_fails_on_three_workers_is_parked_and_blames_none() {
    let mut scheduler = scheduler(&[1, 1, 1, 1], vec![account("a", &[])], plain_policy());
    let key = scheduler.submit(Job::new("bad", "a", Shape::Accelerator, 1), at(0));
    for worker in 0..3 {
        settle(&mut scheduler, at(worker));
        scheduler.failed(key, WorkerKey(worker as u32), at(worker));
        settle(&mut scheduler, at(worker));
    }

    let state = &scheduler.job(key).expect("it is live").state;

    assert_eq!(state, &JobState::Parked("failed on 3 workers".into()));
    assert!((0..4).all(|w| !scheduler.is_quarantined(WorkerKey(w), at(4))));
}
