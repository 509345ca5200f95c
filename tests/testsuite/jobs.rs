//! Gang jobs through the death of placers, workers and the store.

use crate::cluster::*;
use hibiscusbarrow_model::state::Status;
use serde_json::json;
use std::time::Duration;

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

/// Returns the name of the gateway that holds the placer lease.
fn placer(cluster: &Cluster) -> String {
    let names = ["gateway-0", "gateway-1"];
    let elected = |name: &&&str| {
        let events: Vec<serde_json::Value> = cluster
            .get(cluster.addr(name), "/v1/events")
            .unwrap_or_default();
        let took = events.iter().rposition(|e| e["event"] == 1501);
        let lost = events.iter().rposition(|e| e["event"] == 1502);
        took.is_some() && took > lost
    };
    names
        .iter()
        .find(elected)
        .expect("a gateway holds the lease")
        .to_string()
}

#[test]
fn gang_is_placed_runs_and_is_reported_complete() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);

    submit(&cluster, "rescore", 2, 300);
    cluster.wait_for_job("rescore", "done");

    for worker in 0..2 {
        assert_eq!(cluster.start_counts(worker).get("rescore~1"), Some(&1));
    }
    let status: Status = cluster
        .get(cluster.addr("gateway-0"), "/v1/status")
        .expect("it answers");
    cluster.wait_for("release", || {
        let status: Option<Status> = cluster.get(cluster.addr("gateway-1"), "/v1/status");
        status.and_then(|s| s.placer).is_some_and(|p| p.used == 0)
    });
    assert_eq!(status.placer.expect("the placer answers").accelerators, 16);
}

#[test]
fn jobs_of_an_accepted_file_run_once() {
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
fn running_gang_survives_the_death_of_its_placer() {
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
fn running_gang_survives_the_planned_stop_of_its_placer() {
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

#[test]
fn frozen_placer_that_wakes_after_its_lease_does_no_harm() {
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

#[test]
fn gang_whose_worker_died_stops_whole_and_runs_again() {
    let mut cluster = ClusterBuilder::small().workers(3).start();
    cluster.apply_config(CONFIG);
    submit(&cluster, "rescore", 2, 3000);
    cluster.wait_for_job("rescore", "running");
    let lost = cluster.job("rescore").expect("it is known").workers[0].to_string();

    cluster.kill(&lost);
    cluster.wait_for_job("rescore", "done");

    let again = (0..3)
        .filter(|w| cluster.start_counts(*w).contains_key("rescore~2"))
        .count();
    assert_eq!(again, 2);
}

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

#[test]
fn lost_answer_to_a_submission_neither_loses_nor_doubles_the_job() {
    let cluster = ClusterBuilder::small().gateways(1).start();
    cluster.apply_config(CONFIG);
    let gateway = cluster.addr("gateway-0");
    let spec = json!({
        "name": "order", "account": "agence-a", "shape": "quad", "runtime_ms": 100,
    });

    cluster.set_store_fault(&json!({ "mode": "lose", "count": 3 }));
    cluster.post(gateway, "/v1/jobs", &spec);
    cluster.set_store_fault(&json!({ "mode": "up" }));
    let again = cluster.post(gateway, "/v1/jobs", &spec);
    cluster.wait_for_job("order", "done");

    assert_eq!(again.status(), 200);
    let starts: u64 = (0..2)
        .flat_map(|w| cluster.start_counts(w).into_values())
        .sum();
    assert_eq!(starts, 1);
}

#[test]
fn submission_while_the_store_is_down_is_not_accepted_and_that_is_true() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    let spec = json!({ "name": "order", "account": "agence-a", "shape": "quad" });

    cluster.set_store_fault(&json!({ "mode": "down" }));
    let refused = cluster.post(cluster.addr("gateway-0"), "/v1/jobs", &spec);
    cluster.set_store_fault(&json!({ "mode": "up" }));

    assert_eq!(refused.status().as_u16() / 100, 5, "{refused:?}");
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
    cluster.wait_for("release", || {
        let status: Option<Status> = cluster.get(cluster.addr("gateway-0"), "/v1/status");
        status.and_then(|s| s.placer).is_some_and(|p| p.used == 0)
    });
}

#[test]
fn job_that_can_never_run_says_why() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);

    submit(&cluster, "huge", 5, 100);
    cluster.wait_for_job("huge", "parked");

    let job = cluster.job("huge").expect("it is known");
    assert_eq!(
        job.reason,
        "needs 5 x Worker; the workers in service have 2 Worker"
    );
}

#[test]
fn worker_that_fails_everything_is_quarantined() {
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
fn ended_job_is_forgotten_after_its_time_and_a_named_one_is_not() {
    let cluster = ClusterBuilder::small().keep_ms(1000).start();
    let job = r#"{ "name": "plan", "account": "agence-a", "shape": "quad" }"#;
    cluster
        .apply_config(&CONFIG.replace("\"services\"", &format!("\"jobs\": [{job}], \"services\"")));
    cluster.wait_for_job("plan", "done");
    submit(&cluster, "rescore", 1, 100);
    cluster.wait_for_job("rescore", "done");

    cluster.wait_for("the job to be forgotten", || {
        cluster.job("rescore").is_none()
    });

    assert_eq!(
        cluster.job("plan").expect("it is still named").state,
        "done"
    );
}

#[test]
fn gang_with_a_frozen_worker_stops_whole_and_runs_again_elsewhere() {
    let cluster = ClusterBuilder::small().workers(3).start();
    cluster.apply_config(CONFIG);
    submit(&cluster, "rescore", 2, 4000);
    cluster.wait_for_job("rescore", "running");
    let frozen = cluster.job("rescore").expect("it is known").workers[0].to_string();

    cluster.signal(&frozen, "-STOP");
    cluster.wait_for("a second attempt", || {
        let others = (0..3).filter(|w| format!("worker-{w}") != frozen);
        let again = others.filter(|w| cluster.start_counts(*w).contains_key("rescore~2"));
        again.count() == 2
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
