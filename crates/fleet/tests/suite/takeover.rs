//! Runs that a new placer takes over from a former one.

use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_fleet::worker::End;
use std::time::Duration;

/// Time for the placer to poll, plan and have its orders carried out.
const SETTLE_TIME: Duration = Duration::from_millis(300);

#[test]
fn a_run_that_is_still_running_is_not_restarted() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    cluster.submit(job("j", vec![step(2, 1)]));
    cluster.advance(SETTLE_TIME);

    cluster.replace_placer();
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.starts.len(), 2);
    cluster.end_run("n1", "j", 0, End::Done);
    cluster.end_run("n1", "j", 1, End::Done);
    cluster.advance(SETTLE_TIME);
    assert_eq!(cluster.stored["j"].0.state(), State::Completed);
}

/// A worker that lost power comes back under a new identifier. Its former runs are
/// known to be gone, so that they need not wait for a lease to expire.
#[test]
fn runs_of_a_worker_restarted_under_a_new_identifier_are_restarted_at_once() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    cluster.submit(job("j", vec![step(2, 1)]));
    cluster.advance(SETTLE_TIME);

    cluster
        .workers
        .get_mut("n1")
        .expect("the worker exists")
        .restart("w2");
    cluster.replace_placer();
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.placements("j").len(), 2);
}

/// Orders name an incarnation by its identifier alone, so that a start meant for the
/// former incarnation may still arrive at the new one. A stop must block it first.
#[test]
fn runs_of_a_worker_restarted_under_the_same_identifier_are_stopped_and_restarted() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    cluster.submit(job("j", vec![step(2, 1)]));
    cluster.advance(SETTLE_TIME);

    cluster
        .workers
        .get_mut("n1")
        .expect("the worker exists")
        .restart("w1");
    cluster.replace_placer();
    cluster.advance(SETTLE_TIME * 3);

    assert_eq!(cluster.stops.len(), 2);
    assert_eq!(cluster.placements("j").len(), 2);
}

#[test]
fn a_new_placer_restarts_runs_of_an_unresponsive_worker_only_after_its_lease_expires() {
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
    cluster.replace_placer();
    cluster.advance(Duration::from_secs(10));
    let starts_under_lease = cluster.starts.len();
    cluster.advance(Duration::from_secs(2));

    assert_eq!(starts_under_lease, 1);
    assert_eq!(cluster.starts.len(), 2);
}

/// Each listing is requested shortly before a repeated stop is answered. If that answer
/// moved the time at which the stop was confirmed, every listing would have been
/// requested before it, and the run would never end.
#[test]
fn a_stopped_run_ends_even_if_polls_overlap_its_stops() {
    let mut cluster = cluster().with_worker("n1", worker("w1", "r1"));
    cluster.submit(job("j", vec![step(1, 8)]));
    cluster.advance(SETTLE_TIME);
    cluster
        .workers
        .get_mut("n1")
        .expect("the worker exists")
        .running
        .clear();

    cluster.replace_placer();
    let mut sent = cluster.now;
    for _ in 0..6 {
        cluster.now += Duration::from_millis(3);
        cluster.deliver_orders();
        cluster.now = sent + Duration::from_millis(400);
        cluster.deliver_listing("n1", sent);
        sent = cluster.now;
    }
    cluster.plan();

    assert_eq!(cluster.placements("j").len(), 1);
}
