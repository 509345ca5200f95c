//! What must hold for every start and stop, one rule a test.

use crate::fixtures::Rig;
use crate::fixtures::job;
use crate::fixtures::rig;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::worker::End;
use std::time::Duration;

const MOMENT: Duration = Duration::from_millis(300);

fn gang(count: u32, gpus: u64) -> Step {
    Step {
        gang: true,
        ..step(count, gpus)
    }
}

/// Stores the cancellation of a job, as a gateway does.
fn cancel(rig: &mut Rig, id: &str) {
    let (mut record, _) = rig.stored[id].clone();
    record.cancelled = true;
    rig.revision += 1;
    rig.stored.insert(id.into(), (record.clone(), rig.revision));
    rig.ledger.put_job(record, rig.revision, rig.now);
}

#[test]
fn a_cancelled_job_starts_nothing_more() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    rig.submit(job("first", vec![step(1, 8)]));
    rig.run(MOMENT);
    rig.submit(job("second", vec![step(1, 8)]));
    rig.run(MOMENT);

    cancel(&mut rig, "second");
    rig.end("n1", "first", 0, End::Done);
    rig.run(MOMENT);

    assert_eq!(rig.starts.len(), 1);
}

#[test]
fn a_gang_waits_until_all_members_fit() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    rig.submit(job("pair", vec![gang(2, 8)]));
    rig.run(MOMENT);
    assert!(rig.starts.is_empty());

    rig.add("n2", worker("w2", "r1"));
    rig.run(MOMENT);

    assert_eq!(rig.places("pair").len(), 2);
}

#[test]
fn a_gang_that_lost_a_member_stops_the_others() {
    let mut rig = rig()
        .with("n1", worker("w1", "r1"))
        .with("n2", worker("w2", "r1"));
    rig.submit(job("pair", vec![gang(2, 8)]));
    rig.run(MOMENT);

    rig.workers.get_mut("n2").expect("it is there").reboot("w3");
    rig.run(MOMENT);

    let stopped: Vec<_> = rig.stops.iter().map(|(node, ..)| node.as_str()).collect();
    assert_eq!(stopped, ["n1"]);
    let numbers: Vec<u64> = rig.starts.iter().map(|(_, s)| s.run).collect();
    assert_eq!(numbers, [1, 1, 2, 2]);
}

#[test]
fn a_guarantee_is_reclaimed_whatever_work_is_lost() {
    let costly = Step {
        cpu: 8_000,
        ..step(1, 8)
    };
    let urgent = Job {
        priority: 0,
        ..job("urgent", vec![step(1, 8)])
    };
    for (guaranteed, reclaimed) in [(8, true), (0, false)] {
        let mut rig = rig().with("n1", worker("w1", "r1"));
        rig.guarantee("agency", guaranteed);
        rig.submit(job("low", vec![costly.clone()]));
        rig.run(Duration::from_secs(20));

        rig.submit(urgent.clone());
        rig.run(MOMENT);

        assert_eq!(!rig.places("urgent").is_empty(), reclaimed);
    }
}

#[test]
fn a_worker_that_leaves_gets_no_start() {
    let mut leaving = worker("w1", "r1");
    leaving.draining = true;
    let mut rig = rig().with("n1", leaving);
    rig.submit(job("job", vec![step(1, 1)]));
    rig.run(MOMENT);
    assert!(rig.starts.is_empty());

    rig.add("n2", worker("w2", "r1"));
    rig.run(MOMENT);

    assert_eq!(rig.places("job"), [(0, "n2".into())]);
}

#[test]
fn no_worker_gets_more_tasks_of_a_step_than_it_allows() {
    let mut rig = rig()
        .with("n1", worker("w1", "r1"))
        .with("n2", worker("w2", "r1"));
    let apart = Step {
        max_per_worker: 1,
        ..step(3, 1)
    };

    rig.submit(job("apart", vec![apart]));
    rig.run(MOMENT);

    let places = rig.places("apart");
    assert_eq!(places.len(), 2);
    assert_ne!(places[0].1, places[1].1);
}

#[test]
fn a_step_runs_only_on_workers_with_its_label() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    for (id, label) in [("other", "b"), ("same", "a")] {
        let labelled = Step {
            label: label.into(),
            ..step(1, 1)
        };
        rig.submit(job(id, vec![labelled]));
    }

    rig.run(MOMENT);

    assert!(rig.places("other").is_empty());
    assert_eq!(rig.places("same").len(), 1);
}

#[test]
fn room_of_a_stopped_run_is_used_only_once_its_end_is_listed() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    rig.guarantee("agency", 8);
    rig.submit(job("low", vec![step(1, 8)]));
    rig.run(MOMENT);
    rig.submit(Job {
        priority: 0,
        ..job("urgent", vec![step(1, 8)])
    });

    rig.plan();
    rig.plan();
    let before = rig.starts.len();
    rig.run(MOMENT);

    assert_eq!(rig.stops.len(), 1);
    assert_eq!(before, 1, "the stop was ordered, its end not listed");
    assert_eq!(rig.places("urgent").len(), 1);
}

#[test]
fn a_lasting_task_that_says_it_is_done_is_restarted() {
    let mut rig = rig().with("n1", worker("w1", "r1"));
    let lasting = Step {
        long_running: true,
        ..step(1, 1)
    };
    rig.submit(job("lasting", vec![lasting]));
    rig.run(MOMENT);

    rig.end("n1", "lasting", 0, End::Done);
    rig.run(MOMENT);

    assert_eq!(rig.places("lasting").len(), 1);
    assert_eq!(rig.starts.len(), 2);
}
