//! Idempotency keys through gateways, sidecars and a failing store.

use crate::cluster::*;
use serde_json::json;

#[test]
fn repeated_key_gets_the_first_answer_through_any_gateway() {
    let cluster = Plan::small().start();
    cluster.apply(CONFIG);
    let gateways = cluster.gateways();
    let key = [("idempotency-key", "order-7")];

    let first = cluster.ask(gateways[0], &key, "two tonnes");
    let second = cluster.ask(gateways[1], &key, "two tonnes");

    assert_eq!((first.status, first.repeated), (200, false), "{first:?}");
    assert_eq!((second.status, second.repeated), (200, true), "{second:?}");
    assert_eq!(first.body, second.body);
    assert_eq!(cluster.runs()["order-7"], 1);
}

#[test]
fn key_whose_owner_died_is_answered_as_unknown_and_not_run_again() {
    let mut cluster = Plan::small().sidecars(1).start();
    cluster.apply(CONFIG);
    let gateway = cluster.addr("gateway-0");
    let key = [("idempotency-key", "order-8")];
    assert_eq!(cluster.ask(gateway, &key, "x").status, 200);

    cluster.kill("sidecar-0");
    cluster.restart("sidecar-0");
    cluster.wait("the new sidecar", || {
        cluster.ask(gateway, &[], "y").status == 200
    });
    let repeat = cluster.ask(gateway, &key, "x");

    assert_eq!((repeat.status, repeat.code), (504, 402), "{repeat:?}");
    assert_eq!(cluster.runs()["order-8"], 1);
}

#[test]
fn lost_answer_of_the_store_neither_loses_nor_doubles_a_key() {
    let cluster = Plan::small().start();
    cluster.apply(CONFIG);
    let gateway = cluster.addr("gateway-0");
    assert_eq!(
        cluster
            .ask(gateway, &[("idempotency-key", "warm-up")], "x")
            .status,
        200
    );

    for i in 0..10 {
        let key = format!("order-{i}");
        cluster.store_fault(&json!({ "mode": "lose", "count": 1 }));
        let answer = cluster.ask(gateway, &[("idempotency-key", &key)], "x");
        let repeat = cluster.ask(gateway, &[("idempotency-key", &key)], "x");

        assert_eq!(repeat.status, 200, "{repeat:?} after {answer:?}");
        assert_eq!(cluster.runs()[&key], 1);
    }
}

#[test]
fn new_key_is_not_forwarded_while_the_store_is_down() {
    let cluster = Plan::small().start();
    cluster.apply(CONFIG);
    let gateway = cluster.addr("gateway-0");

    cluster.store_fault(&json!({ "mode": "down" }));
    let keyed = cluster.ask(gateway, &[("idempotency-key", "order-9")], "x");
    let plain = cluster.ask(gateway, &[], "y");
    cluster.store_fault(&json!({ "mode": "up" }));
    let later = cluster.ask(gateway, &[("idempotency-key", "order-9")], "x");

    assert_eq!((keyed.status, keyed.code), (503, 501), "{keyed:?}");
    assert_eq!(plain.status, 200, "{plain:?}");
    assert_eq!(later.status, 200, "{later:?}");
    assert_eq!(cluster.runs()["order-9"], 1);
}
