//! The order of waiting jobs by learned run times.

use crate::fixtures::*;
use hibiscusbarrow_placement::*;

/// Returns a scheduler that has seen pairs take 1,000 s and gangs of two accelerators 100 s.
///
/// Each pair is stopped after 50 s by a lost gang and goes on later, if `is_cut`.
fn experienced(learned_order: bool, is_cut: bool) -> (Scheduler, u64) {
    let policy = Policy {
        learned_order,
        ..guarantees_only()
    };
    let mut scheduler = scheduler(&[2], vec![account("a", &[])], policy);
    let mut second = 0;
    for number in 0..20 {
        for (shape, count, seconds) in [(Shape::Pair, 1, 1_000), (Shape::Accelerator, 2, 100)] {
            let job = Job::new(format!("{shape:?}{number}"), "a", shape, count);
            let key = scheduler.submit(job, at(second));
            run_passes(&mut scheduler, at(second));
            let mut left = seconds;
            if is_cut && shape == Shape::Pair {
                second += 950;
                left -= 950;
                scheduler.requeue_lost(key);
                run_passes(&mut scheduler, at(second));
            }
            second += left;
            scheduler.finished(key, at(second));
            run_passes(&mut scheduler, at(second));
        }
    }
    (scheduler, second)
}

/// Returns which job starts first if one of each shape waits for the same time.
fn first_started(mut scheduler: Scheduler, second: u64) -> String {
    for (shape, count) in [(Shape::Pair, 1), (Shape::Accelerator, 2)] {
        let job = Job::new(format!("{shape:?}"), "a", shape, count);
        scheduler.submit(job, at(second));
    }
    run_passes(&mut scheduler, at(second + 10))
        .first()
        .cloned()
        .expect("a job starts")
}

/// Guards against short jobs that wait behind long ones, also if the long ones were stopped and
/// only their last part counted.
#[test]
fn the_shorter_of_two_jobs_starts_first() {
    for (learned_order, is_cut, first) in [
        (false, false, "Accelerator"),
        (true, false, "Accelerator"),
        (true, true, "Accelerator"),
        // The moving average takes the last 50 s of each pair for its run time.
        (false, true, "Pair"),
    ] {
        let (scheduler, second) = experienced(learned_order, is_cut);

        let started = first_started(scheduler, second);

        assert_eq!(started, first, "learned {learned_order}, cut {is_cut}");
    }
}

/// Guards against starvation of a long job by shorter ones.
#[test]
fn a_long_job_starts_although_short_ones_keep_arriving() {
    let (mut scheduler, begin) = experienced(true, false);
    let mut second = begin;
    let blocker = scheduler.submit(Job::new("s", "a", Shape::Accelerator, 2), at(second));
    run_passes(&mut scheduler, at(second));
    scheduler.submit(Job::new("long", "a", Shape::Pair, 1), at(second));
    let mut running = blocker;
    for number in 0..200 {
        let job = Job::new(format!("s{number}"), "a", Shape::Accelerator, 2);
        scheduler.submit(job, at(second));
        second += 100;
        scheduler.finished(running, at(second));
        let started = run_passes(&mut scheduler, at(second));
        let name = started.first().expect("a job starts").clone();
        if name == "long" {
            return;
        }
        running = scheduler.key(&name).expect("the job runs");
    }
    panic!("the long job did not start in 20,000 s");
}
