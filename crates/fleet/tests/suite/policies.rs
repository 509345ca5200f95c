//! Jobs under a policy, whose workers a service with limited capacity approves.

use crate::fixtures::Cluster;
use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use crate::policy_service::PolicyService;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Policy;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::record::State;
use smol_str::format_smolstr;
use std::time::Duration;

/// The time between two jobs in the burst of the review, 2.7 times as many as before it.
const REVIEW_BURST: Duration = Duration::from_nanos(550_000_000 * 10 / 27);
/// The same in a larger burst. The cluster advances in steps of 50 ms, which make that of the
/// review smaller.
const LARGER_BURST: Duration = Duration::from_millis(150);

/// Submits a job of one task each 0.55 s, and more often for 4 s after the first 10 s, to eight
/// workers; returns the jobs that are open 14 s after the last one, and the number of jobs.
fn open_after_burst(
    stated: Policy,
    service: PolicyService,
    burst_interval: Duration,
) -> (Vec<i32>, i32) {
    let mut cluster = cluster();
    for n in 0..8 {
        cluster.add_worker(&format!("n{n}"), worker(&format!("w{n}"), "r1"));
    }
    cluster.run_time = Some(Duration::from_secs(1));
    cluster.policy = Some(service);
    let interval = Duration::from_millis(550);
    let phases = [(10, interval), (4, burst_interval), (20, interval)];
    let mut jobs = 0;
    for (seconds, interval) in phases {
        let end = cluster.now + Duration::from_secs(seconds);
        while cluster.now < end {
            cluster.submit(Job {
                policy: Some(stated),
                ..job(&format!("job{jobs}"), vec![step(1, 1)])
            });
            jobs += 1;
            cluster.advance(interval);
        }
    }

    cluster.advance(Duration::from_secs(14));

    assert_eq!(
        cluster.stale_tokens, 0,
        "starts were refused for their tokens"
    );
    let is_open = |n: &i32| cluster.state(&format!("job{n}")) != State::Completed;
    ((0..jobs).filter(is_open).collect(), jobs)
}

fn policy(decision_ms: u64, per_worker_ms: u64) -> Policy {
    Policy {
        decision_ms,
        per_worker_ms,
        valid_ms: 3_000,
    }
}

/// After a burst of jobs, the retries of their requests kept the policy service busy without end:
/// each answer came when its request had been given up, and the jobs never started.
#[test]
fn jobs_under_a_policy_start_after_a_burst() {
    for interval in [REVIEW_BURST, LARGER_BURST] {
        let service = PolicyService::new(300, 10);

        let (open, jobs) = open_after_burst(policy(300, 10), service, interval);

        assert!(open.is_empty(), "of {jobs} jobs: {open:?}");
    }
}

/// The number of open requests followed the stated times alone, so that a service slower than
/// stated was kept busy with requests that had been given up.
#[test]
fn jobs_under_a_policy_start_after_a_burst_although_it_is_slower_than_stated() {
    for skips_given_up in [false, true] {
        let mut service = PolicyService::new(300, 10);
        service.skips_given_up = skips_given_up;

        let (open, jobs) = open_after_burst(policy(10, 1), service, LARGER_BURST);

        assert!(
            open.is_empty(),
            "of {jobs} jobs: {open:?}; skips={skips_given_up}"
        );
    }
}

/// Returns a cluster of empty workers with 8 accelerators each, and a policy service.
fn cluster_of(workers: usize, service: PolicyService) -> Cluster {
    let mut cluster = cluster();
    for n in 0..workers {
        cluster.add_worker(&format!("n{n:03}"), worker(&format!("w{n:03}"), "r1"));
    }
    cluster.policy = Some(service);
    cluster.advance(Duration::from_millis(300));
    cluster
}

/// Each request named the same first 100 workers, so that a job whose policy allows only others
/// never started.
#[test]
fn a_job_starts_although_its_policy_allows_none_of_the_first_hundred_workers() {
    let mut service = PolicyService::new(30, 1);
    service.denied = (0..110).map(|n| format_smolstr!("w{n:03}")).collect();
    let mut cluster = cluster_of(120, service);
    cluster.submit(Job {
        policy: Some(policy(30, 1)),
        ..job("j", vec![step(1, 1)])
    });

    cluster.advance(Duration::from_secs(5));

    assert_eq!(cluster.starts.len(), 1);
}

/// A step whose tasks need more than 100 workers was approved on 100 of them only.
#[test]
fn a_step_under_a_policy_starts_on_more_than_a_hundred_workers() {
    for gang in [false, true] {
        let mut cluster = cluster_of(160, PolicyService::new(30, 1));
        cluster.submit(Job {
            policy: Some(policy(30, 1)),
            ..job(
                "j",
                vec![Step {
                    gang,
                    ..step(150, 8)
                }],
            )
        });

        cluster.advance(Duration::from_secs(5));

        assert_eq!(cluster.placements("j").len(), 150, "gang={gang}");
    }
}

/// Steps asked for approval again each 3 s while all workers were busy, and left no time for those
/// that could start.
#[test]
fn steps_without_room_do_not_keep_the_policy_service_busy() {
    let mut cluster = cluster_of(8, PolicyService::new(300, 10));
    cluster.submit(job("busy", vec![step(64, 1)]));
    cluster.advance(Duration::from_secs(1));
    for n in 0..20 {
        cluster.submit(Job {
            policy: Some(policy(300, 10)),
            ..job(&format!("waiting{n}"), vec![step(1, 1)])
        });
    }

    cluster.advance(Duration::from_secs(60));

    let received = cluster.policy.as_ref().map_or(0, |p| p.received);
    assert_eq!(received, 20);
}

/// The waiting steps of one account used up the time of the policy service.
#[test]
fn steps_that_a_policy_denies_leave_time_for_those_of_another_account() {
    let mut service = PolicyService::new(300, 10);
    service.denied_jobs = (0..300).map(|n| format_smolstr!("denied{n}")).collect();
    let mut cluster = cluster_of(8, service);
    cluster.run_time = Some(Duration::from_secs(1));
    for n in 0..300 {
        cluster.submit(Job {
            policy: Some(policy(300, 10)),
            ..job(&format!("denied{n}"), vec![step(1, 1)])
        });
    }
    cluster.advance(Duration::from_secs(2));
    for n in 0..5 {
        cluster.submit(Job {
            account: "other".into(),
            policy: Some(policy(300, 10)),
            ..job(&format!("other{n}"), vec![step(1, 1)])
        });
    }

    cluster.advance(Duration::from_secs(10));

    let is_open = |n: &i32| cluster.state(&format!("other{n}")) != State::Completed;
    let open: Vec<_> = (0..5).filter(is_open).collect();
    assert!(open.is_empty(), "{open:?}");
}

/// An approval counted from its request, so that no answer of a service that takes longer than
/// approvals are valid was of use.
#[test]
fn a_job_starts_although_the_policy_takes_longer_than_its_approval_is_valid() {
    for decision_ms in [2_900, 4_000, 7_000] {
        let mut cluster = cluster_of(4, PolicyService::new(decision_ms, 1));
        cluster.submit(Job {
            policy: Some(policy(decision_ms, 1)),
            ..job("j", vec![step(1, 1)])
        });

        cluster.advance(Duration::from_secs(20));

        assert_eq!(cluster.starts.len(), 1, "decision_ms={decision_ms}");
    }
}
