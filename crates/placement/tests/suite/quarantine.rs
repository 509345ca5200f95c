//! Quarantine of workers on which every job fails, and parking of jobs that fail everywhere.

use crate::fixtures::*;
use hibiscusbarrow_placement::*;

/// Starts a job, fails it on its worker, cancels it and returns the worker.
fn fail_once(scheduler: &mut Scheduler, name: &str, now: u64) -> WorkerKey {
    scheduler.submit(Job::new(name, "a", Shape::Accelerator, 1), at(now));
    run_passes(scheduler, at(now));
    let key = scheduler.key(name).expect("the job has not ended");
    let worker = scheduler.job(key).expect("the job has not ended").cells[0].worker;
    scheduler.failed(key, worker, at(now));
    for decision in scheduler.pass(at(now)) {
        if let Decision::Stop { job, .. } = decision {
            scheduler.released(job);
        }
    }
    scheduler.cancel(key);
    run_passes(scheduler, at(now));
    worker
}

#[test]
fn worker_with_three_failed_jobs_is_quarantined_temporarily() {
    let mut scheduler = scheduler(&[8], vec![account("a", &[])], guarantees_only());

    let worker = (0..3)
        .map(|i| fail_once(&mut scheduler, &format!("j{i}"), i))
        .last();

    let worker = worker.expect("three jobs ran");
    assert!(scheduler.is_quarantined(worker, at(10)));
    scheduler.submit(Job::new("later", "a", Shape::Accelerator, 1), at(11));
    assert_eq!(run_passes(&mut scheduler, at(12)), Vec::<String>::new());
    assert_eq!(run_passes(&mut scheduler, at(200)), ["later"]);
}

/// A quarantine closes a worker to borrowers only, since the guarantee may not fit on any
/// other worker.
#[test]
fn quarantine_does_not_break_a_guarantee() {
    let quota = account("a", &[(Shape::Worker, 1)]);
    let mut scheduler = scheduler(&[8], vec![quota], guarantees_only());
    (0..3).for_each(|i| {
        fail_once(&mut scheduler, &format!("j{i}"), i);
    });

    scheduler.submit(Job::new("claim", "a", Shape::Worker, 1), at(10));

    assert_eq!(run_passes(&mut scheduler, at(10)), ["claim"]);
}

/// The job is at fault, so one failure on each worker must not quarantine any of them.
#[test]
fn job_that_fails_on_three_workers_is_parked_and_quarantines_none() {
    let mut scheduler = scheduler(&[1, 1, 1, 1], vec![account("a", &[])], guarantees_only());
    let key = scheduler.submit(Job::new("bad", "a", Shape::Accelerator, 1), at(0));
    for worker in 0..3 {
        run_passes(&mut scheduler, at(worker));
        scheduler.failed(key, WorkerKey(worker as u32), at(worker));
        run_passes(&mut scheduler, at(worker));
    }

    let state = &scheduler.job(key).expect("the job has not ended").state;

    assert_eq!(state, &JobState::Parked("failed on 3 workers".into()));
    assert!((0..4).all(|w| !scheduler.is_quarantined(WorkerKey(w), at(4))));
}
