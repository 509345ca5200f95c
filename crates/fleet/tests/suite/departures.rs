//! Workers that stop responding or leave, and the size of store transactions.

use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_fleet::worker::End;
use hibiscusbarrow_fleet::worker::Resources;
use std::time::Duration;

/// Time for the placer to poll, plan and have its orders carried out.
const SETTLE_TIME: Duration = Duration::from_millis(300);

#[test]
fn runs_of_an_unresponsive_worker_are_restarted_after_its_lease_expires() {
    let mut cluster = cluster()
        .with_worker("n1", worker("w1", "r1"))
        .with_worker("n2", worker("w2", "r1"));
    cluster.submit(job("j", vec![step(1, 8)]));
    cluster.advance(SETTLE_TIME);
    let sidecar = cluster.placements("j")[0].1.clone();

    cluster
        .workers
        .get_mut(&sidecar)
        .expect("the worker exists")
        .reachable = false;
    cluster.advance(Duration::from_secs(9));
    let starts_under_lease = cluster.starts.len();
    cluster.advance(Duration::from_secs(4));

    assert_eq!(starts_under_lease, 1);
    assert_eq!(cluster.starts.len(), 2);
}

#[test]
fn runs_of_a_worker_that_has_left_are_restarted_within_a_second() {
    let mut cluster = cluster()
        .with_worker("n1", worker("w1", "r1"))
        .with_worker("n2", worker("w2", "r1"));
    cluster.submit(job("j", vec![step(1, 8)]));
    cluster.advance(SETTLE_TIME);
    let sidecar = cluster.placements("j")[0].1.clone();

    let fake = cluster
        .workers
        .get_mut(&sidecar)
        .expect("the worker exists");
    fake.reachable = false;
    let id = fake.boot.id.clone();
    cluster.ledger.handle_departure(&sidecar, &id, cluster.now);
    cluster.advance(Duration::from_secs(1));

    assert_eq!(cluster.starts.len(), 2);
}

/// Guards against a departure that still counts after the worker has started again under the
/// same identifier: every run placed there was given up at once and started elsewhere.
#[test]
fn runs_on_a_worker_that_returns_under_its_identifier_are_kept() {
    let mut cluster = cluster()
        .with_worker("n1", worker("w1", "r1"))
        .with_worker("n2", worker("w2", "r1"));
    cluster.advance(SETTLE_TIME);
    let leaving = cluster.workers.get_mut("n1").expect("the worker exists");
    leaving.reachable = false;
    cluster
        .ledger
        .handle_departure(&"n1".into(), &"w1".into(), cluster.now);
    cluster.advance(Duration::from_secs(3));
    let returning = cluster.workers.get_mut("n1").expect("the worker exists");
    returning.restart("w1");
    returning.reachable = true;
    cluster.advance(SETTLE_TIME);

    cluster.submit(job("j", vec![step(2, 8)]));
    cluster.advance(Duration::from_secs(3));

    assert_eq!(cluster.placements("j").len(), 2);
    assert_eq!(cluster.starts.len(), 2);
    assert!(cluster.stops.is_empty(), "{:?}", cluster.stops);
}

/// Guards against runs that are given up because the list of ends is full: tasks that were done
/// ran again.
#[test]
fn runs_that_ended_beyond_a_full_list_of_ends_are_not_restarted() {
    let mut large = worker("w1", "r1");
    large.capacity.cpu = 1_000_000;
    large.capacity.memory = 1_000_000;
    let mut cluster = cluster().with_worker("n1", large);
    cluster.submit(job("j", vec![step(1_200, 0)]));
    cluster.advance(SETTLE_TIME);
    assert_eq!(cluster.starts.len(), 1_200);

    let fake = cluster.workers.get_mut("n1").expect("the worker exists");
    let keys: Vec<_> = fake.running.keys().cloned().collect();
    for key in keys {
        fake.end_run(&key, End::Done);
    }
    cluster.advance(Duration::from_secs(1));

    assert_eq!(cluster.starts.len(), 1_200);
    assert_eq!(cluster.stored["j"].0.state(), State::Completed);
}

#[test]
fn a_batch_fits_into_one_store_transaction() {
    const MAX_TXN_ENTRIES: usize = 32;
    let mut big = worker("w1", "r1");
    big.capacity = Resources {
        cpu: 1_000_000,
        memory: 1_000_000,
        gpus: 1_000,
    };
    let mut cluster = cluster().with_worker("n1", big);
    cluster.advance(SETTLE_TIME);
    for number in 0..40 {
        cluster.submit(job(&format!("j{number}"), vec![step(1, 1)]));
    }

    cluster.ledger.plan(cluster.now, 0);
    let batch = cluster.ledger.take_batch(0).expect("records changed");

    // Each record needs a condition and a put, and the placer's lease one condition.
    assert!(
        2 * batch.writes.len() < MAX_TXN_ENTRIES,
        "{} records in a batch",
        batch.writes.len()
    );
}

/// The lease of a worker that no longer answered was extended for 2.6 s more, so that its tasks
/// started elsewhere 13 s after it was lost. A long-running one has to run again after 9 s.
#[test]
fn the_tasks_of_a_lost_worker_start_elsewhere_once_its_lease_has_expired() {
    for (long_running, limit) in [(true, 9_000), (false, 11_000)] {
        let mut cluster = cluster()
            .with_worker("n1", worker("w1", "r1"))
            .with_worker("n2", worker("w2", "r1"));
        let lasting = Step {
            long_running,
            ..step(1, 1)
        };
        cluster.submit(job("j", vec![lasting]));
        cluster.advance(Duration::from_secs(15));
        let (sidecar, _) = cluster.starts[0].clone();
        let lost = cluster.workers.get_mut(&sidecar);
        lost.expect("the worker exists").reachable = false;

        cluster.advance(Duration::from_millis(limit));

        assert_eq!(cluster.starts.len(), 2, "long_running={long_running}");
    }
}
