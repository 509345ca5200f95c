//! Idempotency keys across gateways and sidecars, and while the store fails.

use crate::cluster::*;
use serde_json::json;

#[test]
fn repeated_key_returns_the_first_response_through_any_gateway() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    let gateways = cluster.gateways();
    let key = [("idempotency-key", "order-7")];

    let first = cluster.send_request(gateways[0], &key, "two tonnes");
    let second = cluster.send_request(gateways[1], &key, "two tonnes");

    assert_eq!((first.status, first.repeated), (200, false), "{first:?}");
    assert_eq!((second.status, second.repeated), (200, true), "{second:?}");
    assert_eq!(first.body, second.body);
    assert_eq!(cluster.run_counts()["order-7"], 1);
}

/// The stored response to a keyed request is lost with the sidecar that ran the request. No
/// other process knows the outcome, so a repeat must not run the request again.
#[test]
fn key_of_a_killed_sidecar_is_reported_as_unknown_and_not_run_again() {
    let mut cluster = ClusterBuilder::small().sidecars(1).start();
    cluster.apply_config(CONFIG);
    let gateway = cluster.addr("gateway-0");
    let key = [("idempotency-key", "order-8")];
    assert_eq!(cluster.send_request(gateway, &key, "x").status, 200);

    cluster.kill("sidecar-0");
    cluster.restart("sidecar-0");
    cluster.wait_for("the restarted sidecar to serve requests", || {
        cluster.send_request(gateway, &[], "y").status == 200
    });
    let repeat = cluster.send_request(gateway, &key, "x");

    assert_eq!((repeat.status, repeat.code), (504, 402), "{repeat:?}");
    assert_eq!(cluster.run_counts()["order-8"], 1);
}

/// The store carries out a write for the key but its response is lost. Treating the write
/// as failed would lose the request or run it twice.
#[test]
fn lost_store_response_neither_loses_a_key_nor_runs_it_twice() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    let gateway = cluster.addr("gateway-0");
    assert_eq!(
        cluster
            .send_request(gateway, &[("idempotency-key", "warm-up")], "x")
            .status,
        200
    );

    for i in 0..10 {
        let key = format!("order-{i}");
        cluster.set_store_fault(&json!({ "mode": "lose", "count": 1 }));
        let response = cluster.send_request(gateway, &[("idempotency-key", &key)], "x");
        let repeat = cluster.send_request(gateway, &[("idempotency-key", &key)], "x");

        assert_eq!(repeat.status, 200, "{repeat:?} after {response:?}");
        assert_eq!(cluster.run_counts()[&key], 1);
    }
}

/// A keyed request that is forwarded without its entry in the store could run twice.
/// Requests without a key do not depend on the store.
#[test]
fn new_key_is_not_forwarded_while_the_store_is_down() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    let gateway = cluster.addr("gateway-0");

    cluster.set_store_fault(&json!({ "mode": "down" }));
    let keyed = cluster.send_request(gateway, &[("idempotency-key", "order-9")], "x");
    let plain = cluster.send_request(gateway, &[], "y");
    cluster.set_store_fault(&json!({ "mode": "up" }));
    let later = cluster.send_request(gateway, &[("idempotency-key", "order-9")], "x");

    assert_eq!((keyed.status, keyed.code), (503, 501), "{keyed:?}");
    assert_eq!(plain.status, 200, "{plain:?}");
    assert_eq!(later.status, 200, "{later:?}");
    assert_eq!(cluster.run_counts()["order-9"], 1);
}
