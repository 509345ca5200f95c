//! Configurations are accepted as a whole and from one operator at a time, reach every
//! gateway and sidecar, and are never replaced by an older generation.

use crate::cluster::*;
use serde_json::Value;
use serde_json::json;
use std::thread;

/// Returns the tests' configuration with one more service.
fn with_service(name: &str) -> String {
    CONFIG.replace(
        "{ \"name\": \"jumelage\" }",
        &format!("{{ \"name\": \"jumelage\" }}, {{ \"name\": \"{name}\" }}"),
    )
}

fn apply_request(text: &str, base: Option<u64>, operation: &str) -> Value {
    json!({
        "file": "test.jsonc", "text": text, "base": base,
        "operator": operation, "operation": operation,
    })
}

#[test]
fn concurrent_applies_have_one_winner_and_the_others_get_a_conflict() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    let gateways = cluster.gateways();

    let applies = ["anna", "ben", "chie", "dan"].map(|operator| {
        let gateway = gateways[operator.len() % gateways.len()];
        let body = apply_request(&with_service(operator), Some(1), operator);
        let request = http::Request::post("/v1/config")
            .header("host", "test")
            .body(bytes::Bytes::from(body.to_string()))
            .expect("the request is valid");
        thread::spawn(move || {
            let client = hibiscusbarrow_adapters::http::HttpClient::default();
            let reply = block_on(client.call(gateway, request, WAIT_TIMEOUT, 1 << 20));
            let reply = reply.expect("the gateway answers");
            (
                reply.status().as_u16(),
                String::from_utf8_lossy(reply.body()).into_owned(),
            )
        })
    });
    let replies = applies.map(|t| t.join().expect("the operator does not panic"));

    let winners = replies.iter().filter(|(status, _)| *status == 200).count();
    assert_eq!(winners, 1, "{replies:?}");
    for (_, body) in replies.iter().filter(|(status, _)| *status != 200) {
        assert!(body.contains("203"), "{body}");
    }
    cluster.wait_for("generation 2 on every gateway and sidecar", || {
        cluster.lowest_generation() == 2
    });
}

#[test]
fn stale_base_is_rejected_and_the_differences_are_printed() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    cluster.apply_config(&with_service("tournee"));

    let path = cluster.write_file("stale.jsonc", &with_service("rabais"));
    let gateway = cluster.addr("gateway-1").to_string();
    let output = cluster.run_program(&["apply", "-g", &gateway, "--base", "1", &path]);

    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(4), "{errors}");
    assert!(errors.contains("HB203"), "{errors}");
    assert!(errors.contains("- service tournee"), "{errors}");
    assert!(errors.contains("+ service rabais"), "{errors}");
    assert_eq!(cluster.lowest_generation(), 2);
}

/// The store commits the generation but its response is lost. A repeat with the same
/// operation identifier must find that commit instead of a conflict with it.
#[test]
fn lost_response_to_the_commit_is_resolved_and_a_repeat_changes_nothing() {
    let cluster = ClusterBuilder::small().gateways(1).start();
    cluster.apply_config(CONFIG);
    let gateway = cluster.addr("gateway-0");
    let body = apply_request(&with_service("tournee"), Some(1), "op-1");

    cluster.set_store_fault(&json!({ "mode": "lose", "delay_ms": 20, "count": 40 }));
    let first = cluster.post(gateway, "/v1/config", &body);
    cluster.set_store_fault(&json!({ "mode": "up" }));
    let second = cluster.post(gateway, "/v1/config", &body);
    let third = cluster.post(gateway, "/v1/config", &body);

    assert_eq!(second.status(), 200, "{first:?} {second:?}");
    assert_eq!(second.body(), third.body());
    cluster.wait_for("generation 2 on every gateway and sidecar", || {
        cluster.lowest_generation() == 2
    });
}

#[test]
fn killed_frozen_and_restarted_processes_reach_the_newest_generation() {
    let mut cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    cluster.kill("sidecar-0");
    cluster.signal("sidecar-1", "-STOP");
    cluster.signal("gateway-1", "-STOP");
    let path = cluster.write_file("next.jsonc", &with_service("tournee"));
    cluster.run_at_gateway("apply", &[&path]);

    cluster.restart("sidecar-0");
    cluster.signal("sidecar-1", "-CONT");
    cluster.signal("gateway-1", "-CONT");

    cluster.wait_for("generation 2 on every gateway and sidecar", || {
        cluster.lowest_generation() == 2
    });
    for name in ["sidecar-0", "sidecar-1", "gateway-0", "gateway-1"] {
        let events: Vec<Value> = cluster
            .get(cluster.addr(name), "/v1/events")
            .expect("the process responds");
        let applied = events.iter().filter(|e| e["event"] == 1402);
        let generations: Vec<u64> = applied
            .map(|e| e["subject"].as_str().unwrap_or("0").parse().unwrap_or(0))
            .collect();
        assert!(
            generations.is_sorted(),
            "{name} applied an older generation: {generations:?}"
        );
        assert_eq!(generations.last(), Some(&2), "{name}");
    }
}

#[test]
fn restarted_gateway_never_applies_an_older_generation() {
    let mut cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    cluster.apply_config(&with_service("tournee"));

    cluster.stop("gateway-0");
    cluster.restart("gateway-0");

    cluster.wait_for("generation 2 on every gateway and sidecar", || {
        cluster.lowest_generation() == 2
    });
    let events: Vec<Value> = cluster
        .get(cluster.addr("gateway-0"), "/v1/events")
        .expect("the process responds");
    let applied: Vec<&Value> = events.iter().filter(|e| e["event"] == 1402).collect();
    assert!(applied.iter().all(|e| e["subject"] == "2"), "{applied:?}");
}

#[test]
fn shrunk_and_unsatisfiable_guarantees_reject_the_whole_file() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    let cases = [
        (
            CONFIG.replace("\"count\": 1", "\"count\": 3"),
            "HB202",
            "missing",
        ),
        (
            CONFIG.replace("\"worker\", \"count\": 1", "\"quad\", \"count\": 1"),
            "HB201",
            "grants 0",
        ),
    ];
    for (text, code, message) in cases {
        let path = cluster.write_file("bad.jsonc", &text);
        let gateway = cluster.addr("gateway-0").to_string();

        let output = cluster.run_program(&["apply", "-g", &gateway, &path]);

        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(4), "{errors}");
        assert!(
            errors.contains(code) && errors.contains(message),
            "{errors}"
        );
    }
    assert_eq!(cluster.lowest_generation(), 1);
}

#[test]
fn large_file_is_stored_in_parts_and_reaches_every_gateway_and_sidecar() {
    let cluster = ClusterBuilder::small().start();
    let services: Vec<Value> = (0..30_000)
        .map(|i| json!({ "name": format!("service-number-{i}"), "deadline_ms": 1000 + i }))
        .collect();
    let text = json!({ "accounts": [{ "name": "agence-a" }], "services": services }).to_string();
    assert!(text.len() > 1 << 20);

    let generation = cluster.apply_config(&text);

    assert_eq!(generation, 1);
}
