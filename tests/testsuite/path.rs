//! The whole path, end to end.

use crate::cluster::*;
use serde_json::json;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;

#[test]
fn request_reaches_an_upstream_and_its_whole_answer_comes_back() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);

    let answers = cluster
        .gateways()
        .into_iter()
        .map(|g| cluster.send_request(g, &[], "solo rider"));

    for answer in answers {
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body["echo"], "solo rider");
        assert_eq!(answer.body["id"], answer.id.as_str());
    }
}

#[test]
fn bad_requests_are_refused_by_number_and_not_run() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    let gateway = cluster.addr("gateway-0");
    let long_key = "k".repeat(201);

    let cases: [(&[(&str, &str)], u64); 3] = [
        (&[("x-idempotent", "perhaps")], 411),
        (&[("x-deadline-ms", "0")], 411),
        (&[("idempotency-key", &long_key)], 411),
    ];
    for (headers, code) in cases {
        let answer = cluster.send_request(gateway, headers, "x");
        assert_eq!(answer.code, code, "{headers:?}: {answer:?}");
    }
    assert!(cluster.run_counts().is_empty());
}

#[test]
fn oversized_body_is_refused_by_number() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);

    let answer = cluster.send_request(cluster.addr("gateway-0"), &[], &"x".repeat(17 << 20));

    assert_eq!(answer.code, 108, "{answer:?}");
    assert!(cluster.run_counts().is_empty());
}

#[test]
fn crossed_failed_and_missing_answers_are_told_as_such() {
    let cluster = ClusterBuilder::small().sidecars(1).start();
    cluster.apply_config(CONFIG);
    let gateway = cluster.addr("gateway-0");
    let upstream = cluster.addr("upstream-0");
    let fault = |kind: &str| cluster.post(upstream, "/standin/fault", &json!(kind));

    fault("cross");
    let crossed = cluster.send_request(gateway, &[], "b");
    fault("fail");
    let failed = cluster.send_request(gateway, &[], "c");
    fault("hang");
    let hung = cluster.send_request(gateway, &[("x-deadline-ms", "300")], "d");

    assert_eq!((crossed.status, crossed.code), (502, 412), "{crossed:?}");
    assert_eq!(failed.status, 500);
    assert_eq!(failed.body["echo"], "c");
    assert_eq!((hung.status, hung.code), (504, 402), "{hung:?}");
    assert!(cluster.run_counts().values().all(|count| *count == 1));
}

/// Answers one request with less than it promises and closes the connection.
fn break_off(listener: TcpListener) {
    let (mut stream, _) = listener.accept().expect("the sidecar connects");
    let mut request = [0; 4096];
    let _ = stream.read(&mut request).expect("a request comes");
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"pair\":";
    stream.write_all(answer).expect("the sidecar reads");
}

#[test]
fn broken_off_answer_is_never_passed_off_as_whole() {
    let mut cluster = ClusterBuilder::small().sidecars(1).start();
    cluster.apply_config(CONFIG);
    cluster.kill("upstream-0");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let announcement = json!({
        "service": "jumelage", "addr": listener.local_addr().expect("it is bound"),
        "slots": 8, "connections": 64,
    });
    cluster.post(cluster.addr("sidecar-0"), "/v1/announce", &announcement);
    let upstream = std::thread::spawn(move || break_off(listener));

    let answer = cluster.send_request(cluster.addr("gateway-0"), &[], "a");

    upstream.join().expect("the upstream ends");
    assert_eq!((answer.status, answer.code), (502, 403), "{answer:?}");
}

#[test]
fn slots_of_an_upstream_are_never_exceeded() {
    let cluster = ClusterBuilder::small().sidecars(1).start();
    cluster.apply_config(CONFIG);
    let gateways = cluster.gateways();

    let threads: Vec<_> = (0..40)
        .map(|i| {
            let gateway = gateways[i % gateways.len()];
            std::thread::spawn(move || {
                let client = hibiscusbarrow_adapters::http::HttpClient::default();
                let request = caller_request(&[("x-work-ms", "50")], "x");
                let limit = std::time::Duration::from_secs(20);
                block_on(client.call(gateway, request, limit, 1 << 20)).is_ok()
            })
        })
        .collect();
    threads
        .into_iter()
        .for_each(|t| assert!(t.join().expect("it ends")));

    let counts: serde_json::Value = cluster
        .get(cluster.addr("upstream-0"), "/standin/runs")
        .expect("it answers");
    assert_eq!(counts["most"], 8);
    assert_eq!(counts["total"], 40);
}

#[test]
fn timeline_merges_the_events_of_all_processes_in_one_order() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    let answer = cluster.send_request(cluster.addr("gateway-1"), &[], "solo rider");
    let svg = cluster.write_file("timeline.svg", "");

    let json = cluster.run_at_gateway("timeline", &["--json", "--svg", &svg]);
    let text = cluster.run_at_gateway("timeline", &["--subject", &answer.id]);

    let records: Vec<serde_json::Value> = serde_json::from_str(&json).expect("it is JSON");
    let times: Vec<u64> = records.iter().filter_map(|r| r["at"].as_u64()).collect();
    assert!(times.is_sorted());
    for process in ["gateway-0", "gateway-1", "sidecar-0", "sidecar-1"] {
        assert!(
            records.iter().any(|r| r["process"] == process),
            "{process} is missing"
        );
    }
    assert_eq!(text.lines().count(), 2, "{text}");
    assert!(text.contains("E1301") && text.contains("E1302"), "{text}");
    let picture = std::fs::read_to_string(svg).expect("it was written");
    assert!(picture.contains("<svg") && picture.contains("gateway-0"));
}
