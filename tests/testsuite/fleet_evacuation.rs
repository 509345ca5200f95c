//! The evacuation of a failure domain by operators, with separate processes.

use crate::fleet::Fleet;
use hibiscusbarrow_platform::standin;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

/// The bound in the settings.
const BOUND: Duration = Duration::from_secs(5);
/// The time between two jobs, which are more than the workers can run at once.
const JOB_INTERVAL: Duration = Duration::from_millis(100);
/// The time of two heartbeats, after which sidecars know the domains of their workers.
const HEARTBEATS_TIME: Duration = Duration::from_millis(700);
/// How long nothing may start after the bound.
const CHECKED_TIME: Duration = Duration::from_secs(2);

/// Submits jobs to one gateway after the other.
struct Load {
    gateways: Vec<usize>,
    submitted: usize,
    /// The paths of the jobs that were accepted.
    accepted: Vec<String>,
}

impl Load {
    /// Submits jobs for some time.
    fn submit_for(&mut self, fleet: &Fleet, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.submit(fleet);
            sleep(JOB_INTERVAL);
        }
    }

    fn submit(&mut self, fleet: &Fleet) {
        let gateway = self.gateways[self.submitted % self.gateways.len()];
        self.submitted += 1;
        let path = format!("/pairs/{:016x}", self.submitted);
        let body = standin::job(&[(4, 2)], 150);
        if fleet.call(gateway, "POST", &path, &body).0 == 200 {
            self.accepted.push(path);
        }
    }
}

/// Returns how many runs a worker has started since a time.
fn starts_since(fleet: &Fleet, worker: usize, since: Instant) -> usize {
    let history = fleet.workers[worker].history();
    history.iter().filter(|r| r.started >= since).count()
}

/// Guards against starts in the domain after the bound if the placer that knew the request is
/// killed, if the store has dropped the history with the request, and if the request is cancelled
/// and made again at once; and against a domain or a job that is forgotten after the cancellation.
#[test]
fn nothing_starts_in_an_evacuated_domain_whatever_happens_to_placer_and_history() {
    let mut fleet = Fleet::start_with_bound(3, 2, BOUND);
    let (evacuated, other) = (0, 1);
    fleet.workers[evacuated].set_zone(Some("za"));
    // The sidecar fills in the domain of its settings, which is z.
    fleet.workers[other].set_zone(None);
    sleep(HEARTBEATS_TIME);
    let mut load = Load {
        gateways: vec![0, 1, 2],
        submitted: 0,
        accepted: Vec::new(),
    };
    load.submit_for(&fleet, Duration::from_secs(1));
    let begin = Instant::now();
    load.submit_for(&fleet, Duration::from_secs(1));
    assert!(starts_since(&fleet, evacuated, begin) > 0);
    assert!(starts_since(&fleet, other, begin) > 0);

    let placer = fleet.placer();
    load.gateways.retain(|g| *g != placer);
    fleet.store.put("op/evacuate/za", b"any");
    let bound = Instant::now() + BOUND;
    fleet.kill(placer);
    load.submit_for(&fleet, BOUND + CHECKED_TIME);
    assert_eq!(starts_since(&fleet, evacuated, bound), 0);
    assert!(starts_since(&fleet, other, bound) > 0);

    fleet.store.drop_history();
    fleet.store.delete("op/evacuate/za");
    fleet.store.put("op/evacuate/za", b"");
    fleet.store.drop_history();
    let bound = Instant::now() + BOUND;
    load.submit_for(&fleet, BOUND + CHECKED_TIME);
    assert_eq!(starts_since(&fleet, evacuated, bound), 0);
    assert!(starts_since(&fleet, other, bound) > 0);

    fleet.store.delete("op/evacuate/za");
    let cancelled = Instant::now();
    load.submit_for(&fleet, CHECKED_TIME);
    assert!(starts_since(&fleet, evacuated, cancelled) > 0);
    let gateway = load.gateways[0];
    let completed = |f: &Fleet, path: &String| f.get_body(gateway, path).contains("completed");
    fleet.wait_for("all jobs to complete", |f| {
        load.accepted.iter().all(|path| completed(f, path))
    });
    for worker in &fleet.workers {
        assert!(worker.duplicate_starts().is_empty());
    }
}
