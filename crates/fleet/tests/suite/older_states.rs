//! Decisions that an older state of a run, a record or a worker must not lead to.

use crate::fixtures::Cluster;
use crate::fixtures::START_UNIX_MS;
use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::ledger::Batch;
use hibiscusbarrow_fleet::record::Record;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_fleet::worker::End;
use std::time::Duration;

/// Time for the placer to poll, plan and have its orders carried out.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// The time after which runs on a worker that has left are given up.
const DEPARTURE_TIME: Duration = Duration::from_millis(550);

/// Returns two workers and a job with one task that runs on one of them.
fn cluster_with_run() -> Cluster {
    let mut cluster = cluster()
        .with_worker("n1", worker("w1", "r1"))
        .with_worker("n2", worker("w2", "r1"));
    cluster.submit(job("j", vec![step(1, 8)]));
    cluster.advance(SETTLE_TIME);
    assert_eq!(cluster.starts.len(), 1);
    cluster
}

/// Makes a plan and returns the batch of records that it changed, which is not stored yet.
fn plan_batch(cluster: &mut Cluster) -> Batch {
    cluster.ledger.plan(cluster.now, START_UNIX_MS);
    let batch = cluster.ledger.take_batch(START_UNIX_MS);
    batch.expect("a record has changed")
}

/// Stores a batch without an answer to the placer; returns the revision.
fn store(cluster: &mut Cluster, batch: &Batch) -> u64 {
    cluster.revision += 1;
    for write in &batch.writes {
        let value = write.value.as_ref().expect("no record is deleted");
        let record = Record::decode(&write.job, value).expect("the record decodes");
        let stored = (record, cluster.revision);
        cluster.stored.insert(write.job.clone(), stored);
    }
    cluster.revision
}

/// The sidecar says that the worker has left, and lists what the worker had listed last once the
/// run was given up. The next start was planned then and not sent, and was sent although the end
/// of the task was known.
#[test]
fn end_that_is_listed_before_the_next_start_is_sent_completes_the_task() {
    let mut cluster = cluster_with_run();
    let sidecar = cluster.placements("j")[0].1.clone();
    let id = cluster.workers[&sidecar].boot.id.clone();
    cluster.ledger.handle_departure(&sidecar, &id, cluster.now);
    cluster.now += DEPARTURE_TIME;
    let other = if sidecar == "n1" { "n2" } else { "n1" };
    cluster.deliver_listing(other, cluster.now);
    let batch = plan_batch(&mut cluster);

    cluster.end_run(&sidecar, "j", 0, End::Done);
    cluster.deliver_listing(&sidecar, cluster.now);
    let revision = store(&mut cluster, &batch);
    cluster.ledger.handle_commit(&batch, revision, cluster.now);
    cluster.deliver_orders();
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.starts.len(), 1, "{:?}", cluster.starts);
    assert_eq!(cluster.state("j"), State::Completed);
}

/// The same with a successor that was planned, never sent and given up as well, so that the end is
/// that of neither the newest run nor a known one.
#[test]
fn end_that_is_listed_after_a_planned_start_was_given_up_completes_the_task() {
    let mut cluster = cluster_with_run();
    let sidecar = cluster.placements("j")[0].1.clone();
    let other = if sidecar == "n1" { "n2" } else { "n1" };
    let id = cluster.workers[&sidecar].boot.id.clone();
    cluster.ledger.handle_departure(&sidecar, &id, cluster.now);
    cluster.now += DEPARTURE_TIME;
    cluster.deliver_listing(other, cluster.now);
    let batch = plan_batch(&mut cluster);
    cluster.resize(other, 1);
    cluster.deliver_listing(other, cluster.now);
    let revision = store(&mut cluster, &batch);
    cluster.ledger.handle_commit(&batch, revision, cluster.now);
    cluster.deliver_orders();
    assert_eq!(cluster.starts.len(), 1);

    cluster.end_run(&sidecar, "j", 0, End::Done);
    cluster.deliver_listing(&sidecar, cluster.now);
    cluster.resize(other, 8);
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.starts.len(), 1, "{:?}", cluster.starts);
    assert_eq!(cluster.state("j"), State::Completed);
}
