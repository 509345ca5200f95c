//! Gang jobs, while placers and workers are killed or frozen and the store fails.

use crate::cluster::*;
use hibiscusbarrow_model::state::Status;
use serde_json::json;
use std::time::Duration;

/// Submits a job of `count` workers under the account `agence-a`.
fn submit(cluster: &Cluster, name: &str, count: u32, runtime_ms: u64) {
    let (count, runtime) = (count.to_string(), runtime_ms.to_string());
    let args = [
        "--account",
        "agence-a",
        "--shape",
        "worker",
        "--count",
        &count,
        "--runtime-ms",
        &runtime,
        name,
    ];
    cluster.run_at_gateway("submit", &args);
}

/// Returns the name of the gateway that holds the placer lease, as its events show it.
fn placer(cluster: &Cluster) -> String {
    let names = ["gateway-0", "gateway-1"];
    let holds_lease = |name: &&&str| {
        let events: Vec<serde_json::Value> = cluster
            .get(cluster.addr(name), "/v1/events")
            .unwrap_or_default();
        let elected = events.iter().rposition(|e| e["event"] == 1501);
        let lapsed = events.iter().rposition(|e| e["event"] == 1502);
        elected.is_some() && elected > lapsed
    };
    names
        .iter()
        .find(holds_lease)
        .expect("a gateway holds the placer lease")
        .to_string()
}

#[test]
fn gang_is_placed_and_run_and_reported_as_done() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);

    submit(&cluster, "rescore", 2, 300);
    cluster.wait_for_job("rescore", "done");

    for worker in 0..2 {
        assert_eq!(cluster.start_counts(worker).get("rescore~1"), Some(&1));
    }
    let status: Status = cluster
        .get(cluster.addr("gateway-0"), "/v1/status")
        .expect("the gateway responds");
    cluster.wait_for("the accelerators to be released", || {
        let status: Option<Status> = cluster.get(cluster.addr("gateway-1"), "/v1/status");
        status.and_then(|s| s.placer).is_some_and(|p| p.used == 0)
    });
    assert_eq!(
        status
            .placer
            .expect("the status includes the placer")
            .accelerators,
        16
    );
}

/// A changed configuration names the same job again, which has already run.
#[test]
fn job_of_a_configuration_runs_once() {
    let cluster = ClusterBuilder::small().start();
    let text = CONFIG.replace(
        "\"services\"",
        "\"jobs\": [{ \"name\": \"plan\", \"account\": \"agence-a\", \"shape\": \"quad\", \
         \"runtime_ms\": 100 }], \"services\"",
    );

    cluster.apply_config(&text);
    cluster.wait_for_job("plan", "done");
    cluster.apply_config(&text.replace("\"jumelage\"", "\"livraison\""));
    std::thread::sleep(Duration::from_millis(500));

    let starts: u64 = (0..2)
        .flat_map(|w| cluster.start_counts(w).into_values())
        .sum();
    assert_eq!(starts, 1);
}

#[test]
fn running_gang_survives_a_killed_placer() {
    let mut cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    submit(&cluster, "rescore", 2, 8000);
    cluster.wait_for_job("rescore", "running");

    let name = placer(&cluster);
    cluster.kill(&name);
    cluster.wait_for_job("rescore", "done");

    for worker in 0..2 {
        assert_eq!(
            cluster.start_counts(worker),
            [("rescore~1".to_owned(), 1)].into()
        );
    }
}

#[test]
fn running_gang_survives_a_planned_stop_of_its_placer() {
    let mut cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    submit(&cluster, "rescore", 2, 4000);
    cluster.wait_for_job("rescore", "running");

    let name = placer(&cluster);
    cluster.stop(&name);
    cluster.restart(&name);
    cluster.wait_for_job("rescore", "done");

    for worker in 0..2 {
        assert_eq!(
            cluster.start_counts(worker),
            [("rescore~1".to_owned(), 1)].into()
        );
    }
}

/// The placer is suspended for longer than its lease of 1.5 s, and resumes as if it still
/// held the lease, which the other gateway may have taken over.
#[test]
fn frozen_placer_that_resumes_after_its_lease_starts_nothing_twice() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    submit(&cluster, "rescore", 2, 6000);
    cluster.wait_for_job("rescore", "running");

    let name = placer(&cluster);
    cluster.signal(&name, "-STOP");
    std::thread::sleep(Duration::from_secs(4));
    cluster.signal(&name, "-CONT");
    cluster.wait_for_job("rescore", "done");

    for worker in 0..2 {
        assert_eq!(
            cluster.start_counts(worker),
            [("rescore~1".to_owned(), 1)].into()
        );
    }
}

/// The outage lasts 8 s, the placer lease 1.5 s and a hold on a worker 3 s.
#[test]
fn running_gang_survives_a_store_outage_longer_than_lease_and_hold() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    submit(&cluster, "rescore", 2, 6000);
    cluster.wait_for_job("rescore", "running");

    cluster.set_store_fault(&json!({ "mode": "down" }));
    std::thread::sleep(Duration::from_secs(8));
    cluster.set_store_fault(&json!({ "mode": "up" }));
    cluster.wait_for_job("rescore", "done");

    for worker in 0..2 {
        assert_eq!(
            cluster.start_counts(worker),
            [("rescore~1".to_owned(), 1)].into()
        );
    }
}

/// A gang runs on all of its workers or on none: the second attempt starts on two workers
/// although only one was lost.
#[test]
fn gang_with_a_killed_worker_stops_everywhere_and_restarts() {
    let mut cluster = ClusterBuilder::small().workers(3).start();
    cluster.apply_config(CONFIG);
    submit(&cluster, "rescore", 2, 3000);
    cluster.wait_for_job("rescore", "running");
    let lost = cluster.job("rescore").expect("the job is known").workers[0].to_string();

    cluster.kill(&lost);
    cluster.wait_for_job("rescore", "done");

    let restarted = (0..3)
        .filter(|w| cluster.start_counts(*w).contains_key("rescore~2"))
        .count();
    assert_eq!(restarted, 2);
}

/// A job of an account without a guarantee borrows both workers, is preempted for the job
/// of the account with a guarantee, and runs again afterwards.
#[test]
fn guarantee_is_reclaimed_from_borrowers() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    let args = |name| {
        [
            "--account",
            "agence-b",
            "--shape",
            "worker",
            "--count",
            "2",
            "--runtime-ms",
            "600000",
            name,
        ]
    };
    cluster.run_at_gateway("submit", &args("loan"));
    cluster.wait_for_job("loan", "running");

    submit(&cluster, "claim", 1, 200);
    cluster.wait_for_job("claim", "done");

    cluster.wait_for_job("loan", "running");
}

/// The store carries out the writes of a submission but loses the responses, so the client
/// submits the job again.
#[test]
fn lost_response_to_a_submission_neither_loses_the_job_nor_runs_it_twice() {
    let cluster = ClusterBuilder::small().gateways(1).start();
    cluster.apply_config(CONFIG);
    let gateway = cluster.addr("gateway-0");
    let spec = json!({
        "name": "order", "account": "agence-a", "shape": "quad", "runtime_ms": 100,
    });

    cluster.set_store_fault(&json!({ "mode": "lose", "count": 3 }));
    cluster.post(gateway, "/v1/jobs", &spec);
    cluster.set_store_fault(&json!({ "mode": "up" }));
    let repeat = cluster.post(gateway, "/v1/jobs", &spec);
    cluster.wait_for_job("order", "done");

    assert_eq!(repeat.status(), 200);
    let starts: u64 = (0..2)
        .flat_map(|w| cluster.start_counts(w).into_values())
        .sum();
    assert_eq!(starts, 1);
}

#[test]
fn submission_while_the_store_is_down_is_rejected_and_not_stored() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    let spec = json!({ "name": "order", "account": "agence-a", "shape": "quad" });

    cluster.set_store_fault(&json!({ "mode": "down" }));
    let response = cluster.post(cluster.addr("gateway-0"), "/v1/jobs", &spec);
    cluster.set_store_fault(&json!({ "mode": "up" }));

    assert_eq!(response.status().as_u16() / 100, 5, "{response:?}");
    assert!(cluster.job("order").is_none());
}

#[test]
fn cancelled_job_stops_and_frees_its_workers() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    submit(&cluster, "rescore", 2, 600_000);
    cluster.wait_for_job("rescore", "running");

    cluster.run_at_gateway("cancel", &["rescore"]);

    cluster.wait_for_job("rescore", "cancelled");
    cluster.wait_for("the accelerators to be released", || {
        let status: Option<Status> = cluster.get(cluster.addr("gateway-0"), "/v1/status");
        status.and_then(|s| s.placer).is_some_and(|p| p.used == 0)
    });
}

#[test]
fn job_that_can_never_run_is_parked_with_a_reason() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);

    submit(&cluster, "huge", 5, 100);
    cluster.wait_for_job("huge", "parked");

    let job = cluster.job("huge").expect("the job is known");
    assert_eq!(
        job.reason,
        "needs 5 x Worker; the workers in service have 2 Worker"
    );
}

/// A worker that fails every task at once is always free, and receives every job again
/// unless it is quarantined.
#[test]
fn jobs_finish_although_one_worker_fails_every_task() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    cluster.post(
        cluster.addr("worker-0"),
        "/standin/fault",
        &json!({ "fail_tasks": true }),
    );

    for i in 0..6 {
        let name = format!("small-{i}");
        let args = [
            "--account",
            "agence-b",
            "--shape",
            "accelerator",
            "--runtime-ms",
            "50",
            &name,
        ];
        cluster.run_at_gateway("submit", &args);
    }
    for i in 0..6 {
        cluster.wait_for_job(&format!("small-{i}"), "done");
    }
}

#[test]
fn ended_job_is_removed_after_its_retention_time_unless_the_configuration_names_it() {
    let cluster = ClusterBuilder::small().keep_ms(1000).start();
    let job = r#"{ "name": "plan", "account": "agence-a", "shape": "quad" }"#;
    cluster
        .apply_config(&CONFIG.replace("\"services\"", &format!("\"jobs\": [{job}], \"services\"")));
    cluster.wait_for_job("plan", "done");
    submit(&cluster, "rescore", 1, 100);
    cluster.wait_for_job("rescore", "done");

    cluster.wait_for("the ended job to be removed", || {
        cluster.job("rescore").is_none()
    });

    assert_eq!(
        cluster
            .job("plan")
            .expect("the configuration still names the job")
            .state,
        "done"
    );
}

/// The frozen worker resumes after the second attempt has started without it; no worker
/// may start an attempt twice.
#[test]
fn gang_with_a_frozen_worker_stops_everywhere_and_restarts_on_other_workers() {
    let cluster = ClusterBuilder::small().workers(3).start();
    cluster.apply_config(CONFIG);
    submit(&cluster, "rescore", 2, 4000);
    cluster.wait_for_job("rescore", "running");
    let frozen = cluster.job("rescore").expect("the job is known").workers[0].to_string();

    cluster.signal(&frozen, "-STOP");
    cluster.wait_for("the second attempt on the two other workers", || {
        let others = (0..3).filter(|w| format!("worker-{w}") != frozen);
        let restarted = others.filter(|w| cluster.start_counts(*w).contains_key("rescore~2"));
        restarted.count() == 2
    });
    cluster.signal(&frozen, "-CONT");
    cluster.wait_for_job("rescore", "done");

    for worker in 0..3 {
        assert!(
            cluster
                .start_counts(worker)
                .values()
                .all(|count| *count == 1)
        );
    }
}
