//! Urgent jobs and guarantees.

use crate::fixtures::job;
use crate::fixtures::rig;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Step;
use std::time::Duration;

const MOMENT: Duration = Duration::from_millis(300);

fn urgent(id: &str, steps: Vec<Step>) -> Job {
    Job {
        priority: 0,
        ..job(id, steps)
    }
}

#[test]
fn a_guaranteed_gang_takes_the_room_of_others() {
    let mut rig = rig()
        .with("n1", worker("w1", "r1"))
        .with("n2", worker("w2", "r1"));
    rig.guarantee("agency", 16);
    rig.submit(job("low", vec![step(4, 4)]));
    rig.run(MOMENT);

    let gang = Step {
        gang: true,
        ..step(2, 8)
    };
    rig.submit(urgent("high", vec![gang]));
    rig.run(MOMENT * 2);

    assert_eq!(rig.places("high").len(), 2);
    assert_eq!(rig.places("low").len(), 0);
}

#[test]
fn an_urgent_job_too_wide_for_the_fleet_takes_what_there_is() {
    let mut rig = rig()
        .with("n1", worker("w1", "r1"))
        .with("n2", worker("w2", "r1"));
    rig.submit(job("low", vec![step(4, 4)]));
    rig.run(MOMENT);

    rig.submit(urgent("high", vec![step(3, 8)]));
    rig.run(MOMENT * 2);

    assert_eq!(rig.places("high").len(), 2);
}

#[test]
fn a_job_of_lower_priority_stops_no_one() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    rig.submit(job("first", vec![step(1, 8)]));
    rig.run(MOMENT);

    rig.submit(job("second", vec![step(1, 8)]));
    rig.run(MOMENT * 4);

    assert_eq!(rig.places("first").len(), 1);
    assert!(rig.stops.is_empty());
}
