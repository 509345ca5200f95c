//! Workers that fall silent or leave.

use crate::fixtures::job;
use crate::fixtures::rig;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::worker::Resources;
use std::time::Duration;

const MOMENT: Duration = Duration::from_millis(300);

#[test]
fn runs_of_a_worker_that_falls_silent_are_started_again_after_its_lease() {
    let mut rig = rig()
        .with("n1", worker("w1", "r1"))
        .with("n2", worker("w2", "r1"));
    rig.submit(job("j", vec![step(1, 8)]));
    rig.run(MOMENT);
    let node = rig.places("j")[0].1.clone();

    rig.workers.get_mut(&node).expect("it is there").reachable = false;
    rig.run(Duration::from_secs(9));
    let early = rig.starts.len();
    rig.run(Duration::from_secs(4));

    assert_eq!(early, 1);
    assert_eq!(rig.starts.len(), 2);
}

#[test]
fn runs_of_a_worker_that_has_left_are_started_again_within_a_second() {
    let mut rig = rig()
        .with("n1", worker("w1", "r1"))
        .with("n2", worker("w2", "r1"));
    rig.submit(job("j", vec![step(1, 8)]));
    rig.run(MOMENT);
    let node = rig.places("j")[0].1.clone();

    let fake = rig.workers.get_mut(&node).expect("it is there");
    fake.reachable = false;
    let id = fake.boot.id.clone();
    rig.ledger.handle_departure(&node, &id, rig.now);
    rig.run(Duration::from_secs(1));

    assert_eq!(rig.starts.len(), 2);
}

#[test]
fn a_batch_fits_one_transaction_of_the_store() {
    const ENTRIES: usize = 32;
    let mut big = worker("w1", "r1");
    big.room = Resources {
        cpu: 1_000_000,
        memory: 1_000_000,
        gpus: 1_000,
    };
    let mut rig = rig().with("n1", big);
    rig.run(MOMENT);
    for number in 0..40 {
        rig.submit(job(&format!("j{number}"), vec![step(1, 1)]));
    }

    rig.ledger.plan(rig.now, 0);
    let batch = rig.ledger.take_batch(0).expect("records changed");

    // A condition and a put for each record, and a condition on the lease.
    assert!(2 * batch.writes.len() < ENTRIES, "{}", batch.writes.len());
}
