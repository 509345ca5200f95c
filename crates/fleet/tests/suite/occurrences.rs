//! Recurring jobs with many occurrences.

use crate::fixtures::Cluster;
use crate::fixtures::FakeWorker;
use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Schedule;
use hibiscusbarrow_fleet::occurrences::Occurrences;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_fleet::worker::End;
use hibiscusbarrow_fleet::worker::Resources;
use std::collections::BTreeSet;
use std::time::Duration;

/// Returns a job of one task without accelerators whose occurrences are all due.
fn overdue_job(id: &str, count: u32) -> Job {
    let schedule = Schedule {
        start: 0,
        interval: 1_000,
        count,
    };
    Job {
        schedule: Some(schedule),
        ..job(id, vec![step(1, 0)])
    }
}

/// Returns a worker on which every test's tasks fit at once.
fn vast_worker(id: &str) -> FakeWorker {
    let capacity = Resources {
        cpu: 1 << 40,
        memory: 1 << 40,
        gpus: 1 << 40,
    };
    FakeWorker {
        capacity,
        ..worker(id, "r1")
    }
}

/// Ends everything that runs on a worker as done.
fn finish_all(cluster: &mut Cluster, sidecar: &str) {
    let fake = cluster.workers.get_mut(sidecar).expect("the worker exists");
    let keys: Vec<_> = fake.running.keys().cloned().collect();
    for key in keys {
        fake.end_run(&key, End::Done);
    }
}

/// Guards against plans that list every due occurrence of a job: with millions of them, no
/// gateway survived its first plan, and nobody else's jobs started.
#[test]
fn a_plan_starts_a_bounded_number_of_due_occurrences_and_other_jobs() {
    let mut cluster = cluster().with_worker("n1", vast_worker("w1"));
    cluster.poll_all();
    cluster.submit(overdue_job("endless", 20_000));
    cluster.submit(job("other", vec![step(3, 1)]));

    cluster.plan();

    let of_job = |id: &str| {
        cluster
            .starts
            .iter()
            .filter(|(_, s)| s.task.job == id)
            .count()
    };
    assert_eq!((of_job("endless"), of_job("other")), (100, 3));
}

/// Guards against a record that grows with each occurrence until the store refuses it.
#[test]
fn each_due_occurrence_runs_once_and_its_progress_is_compacted() {
    let mut cluster = cluster().with_worker("n1", vast_worker("w1"));
    cluster.submit(overdue_job("j", 2_500));
    let mut most_tasks = 0;
    for round in 0..80 {
        cluster.advance(Duration::from_millis(50));
        finish_all(&mut cluster, "n1");
        most_tasks = most_tasks.max(cluster.stored["j"].0.tasks.len());
        if round == 15 {
            cluster.replace_placer();
        }
    }

    let started: BTreeSet<u32> = cluster
        .starts
        .iter()
        .map(|(_, s)| s.task.occurrence)
        .collect();
    assert_eq!((cluster.starts.len(), started.len()), (2_500, 2_500));
    assert_eq!(cluster.stored["j"].0.state(), State::Completed);
    assert!(most_tasks < 1_200, "{most_tasks} tasks in one record");
}

#[test]
fn a_set_of_occurrences_joins_neighbours_in_any_order() {
    let mut set = Occurrences::default();
    for occurrence in [5, 3, 4, 9, 0, 1, u32::MAX - 1, u32::MAX] {
        set.insert(occurrence);
        set.insert(occurrence);
    }

    let text = serde_json::to_string(&set).expect("the set serialises");
    assert_eq!(
        text,
        r#"{"ranges":[[0,2],[3,6],[9,10],[4294967294,4294967295]]}"#
    );
    assert_eq!(set.len(), 7);
    let missing: Vec<u32> = [0, 2, 3, 8, 9, u32::MAX - 1]
        .map(|o| set.next_missing(o))
        .into();
    assert_eq!(missing, [2, 2, 6, 8, 10, u32::MAX]);
}
