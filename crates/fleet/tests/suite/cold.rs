//! Workers that are still slow after their start.

use crate::fixtures::Cluster;
use crate::fixtures::FakeWorker;
use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::worker::Announcement;
use hibiscusbarrow_fleet::worker::End;
use std::time::Duration;

/// The stated bound of evacuations.
const BOUND: Duration = Duration::from_secs(5);
/// How long the cold worker says that it is slow.
const COLD_TIME: Duration = Duration::from_secs(4);
/// Time for the placer to poll, plan and have its orders carried out.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Returns a cluster in which n1, the first choice among equal workers, is cold, and n2 warm.
fn cold_and_warm(bound: Option<Duration>) -> Cluster {
    let cold = FakeWorker {
        cold_left: COLD_TIME.as_millis() as u64,
        ..worker("w1", "r1")
    };
    let cluster = cluster();
    let cluster = match bound {
        Some(bound) => cluster.with_evacuations(bound),
        None => cluster,
    };
    let cluster = cluster.with_worker("n1", cold);
    cluster.with_worker("n2", worker("w2", "r1"))
}

fn with_priority(id: &str, priority: u8) -> Job {
    Job {
        priority: priority.into(),
        ..job(id, vec![step(1, 1)])
    }
}

/// Submits a job of one task and returns the sidecar on which it starts.
fn place(cluster: &mut Cluster, id: &str, priority: u8) -> String {
    cluster.submit(with_priority(id, priority));
    cluster.advance(SETTLE_TIME);
    let placements = cluster.placements(id);
    placements[0].1.to_string()
}

/// Guards against urgent tasks that are slow on a cold worker beside a warm one, and against a
/// worker that stays the last choice although its cold time has passed without another heartbeat.
#[test]
fn urgent_tasks_prefer_warm_workers_while_others_are_cold() {
    for (waited, expected) in [(SETTLE_TIME, "n2"), (COLD_TIME + SETTLE_TIME, "n1")] {
        let mut cluster = cold_and_warm(Some(BOUND));
        cluster.advance(waited);

        assert_eq!(place(&mut cluster, "job", 0), expected);
    }
}

/// Guards against a change of other decisions: those for tasks that are not urgent, and all without
/// a bound of evacuations.
#[test]
fn cold_workers_rank_as_others_for_other_tasks_and_without_a_bound() {
    for (bound, priority) in [(Some(BOUND), 1), (None, 0), (None, 1)] {
        let mut cluster = cold_and_warm(bound);
        cluster.advance(SETTLE_TIME);

        assert_eq!(place(&mut cluster, "job", priority), "n1");
    }
}

/// Guards against urgent tasks that wait for a warm worker.
#[test]
fn urgent_tasks_start_on_cold_workers_if_there_are_no_others() {
    let mut cluster = cold_and_warm(Some(BOUND));
    cluster.workers.get_mut("n2").expect("n2 exists").reachable = false;
    cluster.advance(Duration::from_secs(3));

    assert_eq!(place(&mut cluster, "job", 0), "n1");
}

/// Guards against a worker that stays ranked as slow because its first runs were slow.
#[test]
fn runs_that_began_on_a_cold_worker_say_nothing_about_its_speed() {
    for (bound, expected) in [(Some(BOUND), "n1"), (None, "n2")] {
        let mut cluster = cold_and_warm(bound);
        cluster.advance(SETTLE_TIME);
        assert_eq!(place(&mut cluster, "slow", 1), "n1");
        cluster.advance(COLD_TIME);
        cluster.end_run("n1", "slow", 0, End::Done);
        cluster.advance(SETTLE_TIME);

        assert_eq!(place(&mut cluster, "next", 0), expected);
    }
}

/// Guards against a worker that counts as cold although a newer heartbeat says that it is warm, or
/// another incarnation is.
#[test]
fn a_newer_heartbeat_or_another_incarnation_ends_the_cold_time() {
    for restarts in [false, true] {
        let mut cluster = cold_and_warm(Some(BOUND));
        cluster.advance(SETTLE_TIME);
        let worker = cluster.workers.get_mut("n1").expect("n1 exists");
        worker.cold_left = 0;
        if restarts {
            worker.restart("w1x");
        } else {
            worker.sequence += 1;
        }
        cluster.advance(SETTLE_TIME);

        assert_eq!(place(&mut cluster, "job", 0), "n1");
    }
}

/// Guards against messages that older processes or their peers cannot decode.
#[test]
fn announcements_name_a_cold_time_only_if_there_is_one() {
    let warm = Announcement::default();
    let cold = Announcement {
        cold_left: 7,
        ..Announcement::default()
    };

    let text = serde_json::to_string(&warm).expect("it encodes");
    assert!(!text.contains("cold"));
    assert_eq!(serde_json::from_str::<Announcement>(&text).ok(), Some(warm));
    let text = serde_json::to_string(&cold).expect("it encodes");
    assert_eq!(serde_json::from_str::<Announcement>(&text).ok(), Some(cold));
}
