//! A placer that takes over from one that is gone.

use crate::fixtures::job;
use crate::fixtures::rig;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_fleet::worker::End;
use std::time::Duration;

const MOMENT: Duration = Duration::from_millis(300);

#[test]
fn a_run_that_goes_on_is_not_started_again() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    rig.submit(job("j", vec![step(2, 1)]));
    rig.run(MOMENT);

    rig.take_over();
    rig.run(MOMENT);

    assert_eq!(rig.starts.len(), 2);
    rig.end("n1", "j", 0, End::Done);
    rig.end("n1", "j", 1, End::Done);
    rig.run(MOMENT);
    assert_eq!(rig.stored["j"].0.state(), State::Completed);
}

#[test]
fn runs_of_a_worker_that_lost_power_are_started_again_at_once() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    rig.submit(job("j", vec![step(2, 1)]));
    rig.run(MOMENT);

    rig.workers.get_mut("n1").expect("it is there").reboot("w2");
    rig.take_over();
    rig.run(MOMENT);

    assert_eq!(rig.places("j").len(), 2);
}

#[test]
fn runs_of_a_worker_reborn_under_its_name_are_barred_and_started_again() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    rig.submit(job("j", vec![step(2, 1)]));
    rig.run(MOMENT);

    rig.workers.get_mut("n1").expect("it is there").reboot("w1");
    rig.take_over();
    rig.run(MOMENT * 3);

    assert_eq!(rig.stops.len(), 2);
    assert_eq!(rig.places("j").len(), 2);
}

#[test]
fn runs_on_a_silent_worker_wait_for_its_lease() {
    let mut rig = rig()
        .with("n1", worker("w1", "r1"))
        .with("n2", worker("w2", "r1"));
    rig.submit(job("j", vec![step(1, 8)]));
    rig.run(MOMENT);
    let node = rig.places("j")[0].1.clone();

    rig.workers.get_mut(&node).expect("it is there").reachable = false;
    rig.take_over();
    rig.run(Duration::from_secs(10));
    let early = rig.starts.len();
    rig.run(Duration::from_secs(2));

    assert_eq!(early, 1);
    assert_eq!(rig.starts.len(), 2);
}

#[test]
fn a_barred_run_is_over_though_looks_overlap_its_stops() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    rig.submit(job("j", vec![step(1, 8)]));
    rig.run(MOMENT);
    rig.workers
        .get_mut("n1")
        .expect("it is there")
        .running
        .clear();

    rig.take_over();
    let mut sent = rig.now;
    for _ in 0..6 {
        rig.now += Duration::from_millis(3);
        rig.obey_all();
        rig.now = sent + Duration::from_millis(400);
        rig.list("n1", sent);
        sent = rig.now;
    }
    rig.plan();

    assert_eq!(rig.places("j").len(), 1);
}
