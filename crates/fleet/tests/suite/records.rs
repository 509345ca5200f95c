//! Stored records, as this and other writers leave them.

use crate::fixtures::START_UNIX_MS;
use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::record::Progress;
use hibiscusbarrow_fleet::record::Record;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_fleet::worker::Resources;
use std::time::Duration;

/// Returns the record of a job of two steps with two and three tasks, and the progress of these
/// tasks.
fn record_with(tasks: &[(u32, u32, u32)]) -> Record {
    let mut record = Record::new(job("j", vec![step(2, 1), step(3, 1)]));
    let progress = tasks
        .iter()
        .map(|(k, s, i)| (*k, *s, *i, Progress::default()));
    record.tasks = progress.collect();
    record
}

/// Guards against a record whose progress names a step that its job does not have: each gateway
/// that read it ended.
#[test]
fn a_record_that_does_not_fit_its_job_is_an_error_that_names_the_field() {
    let fits = record_with(&[(0, 0, 1), (0, 1, 0), (0, 1, 2)]);
    assert_eq!(Record::decode("j", &fits.encode()), Ok(fits));
    let unordered = Record {
        job: Job {
            steps: vec![step(1, 1), Default::default()],
            ..job("j", Vec::new())
        },
        ..record_with(&[])
    };
    let cases = [
        (
            record_with(&[(0, 7, 0)]),
            "tasks[0]: the job has no task (0, 7, 0)",
        ),
        (
            record_with(&[(0, 1, 3)]),
            "tasks[0]: the job has no task (0, 1, 3)",
        ),
        (
            record_with(&[(1, 0, 0)]),
            "tasks[0]: the job has no task (1, 0, 0)",
        ),
        (
            record_with(&[(0, 0, 1), (0, 0, 1)]),
            "tasks[1]: (0, 0, 1) is not above the task before it",
        ),
        (unordered, "job.steps[1].count: must be 1 to 10000"),
    ];
    for (record, error) in cases {
        assert_eq!(Record::decode("j", &record.encode()), Err(error.into()));
    }
    for ranges in ["[[3,2]]", "[[0,2],[2,3]]", "[[5,6],[1,2]]"] {
        let text = String::from_utf8(record_with(&[]).encode()).expect("JSON is text");
        let odd = format!("\"completed\":{{\"ranges\":{ranges}}}");
        let text = text.replace("\"tasks\":[]", &odd);
        let error = Record::decode("j", text.as_bytes()).expect_err("the ranges are invalid");
        assert!(error.starts_with("completed.ranges: "), "{error}");
    }
    let other = record_with(&[]).encode();
    assert_eq!(
        Record::decode("k", &other),
        Err(r#"job.id: is "j", expected "k""#.into())
    );
}

/// Guards against the records of withdrawn jobs being kept without a limit in time, or being
/// unreadable to other processes.
#[test]
fn the_record_of_a_withdrawn_job_is_read_and_deleted_after_its_retention() {
    let record = Record::withdrawn(job("j", Vec::new()), START_UNIX_MS);
    let mut cluster = cluster();

    let read = Record::decode("j", &record.encode());
    cluster.ledger.put_job(record.clone(), 2, cluster.now);
    let kept = cluster.ledger.take_expired(START_UNIX_MS + 120_000);
    let expired = cluster.ledger.take_expired(START_UNIX_MS + 600_000);

    assert_eq!(read.as_ref(), Ok(&record));
    assert_eq!(record.state(), State::Withdrawn);
    assert!(record.is_over() && kept.is_none());
    let writes = expired.expect("the record is deleted").writes;
    assert_eq!((writes.len(), writes[0].value.is_none()), (1, true));
}

/// Guards against transactions that the memory for peers of a gateway can never hold, and against
/// a record that is never written as it exceeds the limit by itself.
#[test]
fn a_batch_is_limited_in_bytes_and_holds_at_least_one_record() {
    let mut big = worker("w1", "r1");
    big.capacity = Resources {
        cpu: 1_000_000,
        memory: 1_000_000,
        gpus: 1_000,
    };
    let mut cluster = cluster().with_worker("n1", big);
    cluster.advance(Duration::from_secs(5));
    for number in 0..10 {
        let mut large = job(&format!("j{number}"), vec![step(1, 1)]);
        large.spec = "x".repeat(if number == 0 { 5 << 20 } else { 1_000_000 });
        cluster.submit(large);
    }
    cluster.ledger.plan(cluster.now, START_UNIX_MS);
    let mut batches: Vec<Vec<usize>> = Vec::new();

    while let Some(batch) = cluster.ledger.take_batch(START_UNIX_MS) {
        let sizes = batch.writes.iter().map(|w| w.value.as_ref());
        let sizes = sizes.map(|value| value.expect("no record is deleted").len());
        batches.push(sizes.collect());
    }

    for sizes in &batches {
        let total: usize = sizes.iter().sum();
        assert!(total <= 3 << 20 || sizes.len() == 1, "{batches:?}");
    }
    assert_eq!(batches.iter().map(Vec::len).sum::<usize>(), 10);
    assert!(
        batches.len() <= 5,
        "the batches are not filled: {batches:?}"
    );
}
