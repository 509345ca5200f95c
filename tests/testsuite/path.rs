//! Requests from the caller through gateway and sidecar to an upstream and back.

use crate::cluster::*;
use serde_json::json;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;

#[test]
fn request_reaches_an_upstream_and_its_whole_response_returns() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);

    let responses = cluster
        .gateways()
        .into_iter()
        .map(|g| cluster.send_request(g, &[], "solo rider"));

    for response in responses {
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body["echo"], "solo rider");
        assert_eq!(response.body["id"], response.id.as_str());
    }
}

#[test]
fn invalid_headers_are_rejected_with_a_result_code_and_not_run() {
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
        let response = cluster.send_request(gateway, headers, "x");
        assert_eq!(response.code, code, "{headers:?}: {response:?}");
    }
    assert!(cluster.run_counts().is_empty());
}

#[test]
fn oversized_body_is_rejected_with_a_result_code_and_not_run() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);

    let response = cluster.send_request(cluster.addr("gateway-0"), &[], &"x".repeat(17 << 20));

    assert_eq!(response.code, 108, "{response:?}");
    assert!(cluster.run_counts().is_empty());
}

/// The upstream returns another request's response, status 500, or nothing before the
/// deadline. A caller must not receive a swapped response as its own, and a request
/// without a response must not be reported as not run.
#[test]
fn swapped_failed_and_missing_responses_are_reported_as_such() {
    let cluster = ClusterBuilder::small().sidecars(1).start();
    cluster.apply_config(CONFIG);
    let gateway = cluster.addr("gateway-0");
    let upstream = cluster.addr("upstream-0");
    let fault = |kind: &str| cluster.post(upstream, "/standin/fault", &json!(kind));

    fault("cross");
    let swapped = cluster.send_request(gateway, &[], "b");
    fault("fail");
    let failed = cluster.send_request(gateway, &[], "c");
    fault("hang");
    let hung = cluster.send_request(gateway, &[("x-deadline-ms", "300")], "d");

    assert_eq!((swapped.status, swapped.code), (502, 412), "{swapped:?}");
    assert_eq!(failed.status, 500);
    assert_eq!(failed.body["echo"], "c");
    assert_eq!((hung.status, hung.code), (504, 402), "{hung:?}");
    assert!(cluster.run_counts().values().all(|count| *count == 1));
}

/// Responds to one request with fewer bytes than `content-length` states, then closes the
/// connection.
fn send_truncated_response(listener: TcpListener) {
    let (mut stream, _) = listener.accept().expect("the sidecar connects");
    let mut request = [0; 4096];
    let _ = stream.read(&mut request).expect("a request arrives");
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"pair\":";
    stream
        .write_all(response)
        .expect("the sidecar reads the response");
}

/// The upstream closes the connection within the body. The caller must not receive the
/// part that arrived as a complete response.
#[test]
fn truncated_response_is_not_returned_as_complete() {
    let mut cluster = ClusterBuilder::small().sidecars(1).start();
    cluster.apply_config(CONFIG);
    cluster.kill("upstream-0");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let announcement = json!({
        "service": "jumelage", "addr": listener.local_addr().expect("the listener is bound"),
        "slots": 8, "connections": 64,
    });
    cluster.post(cluster.addr("sidecar-0"), "/v1/announce", &announcement);
    let upstream = std::thread::spawn(move || send_truncated_response(listener));

    let response = cluster.send_request(cluster.addr("gateway-0"), &[], "a");

    upstream.join().expect("the upstream does not panic");
    assert_eq!((response.status, response.code), (502, 403), "{response:?}");
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
                let timeout = std::time::Duration::from_secs(20);
                block_on(client.call(gateway, request, timeout, 1 << 20)).is_ok()
            })
        })
        .collect();
    threads
        .into_iter()
        .for_each(|t| assert!(t.join().expect("the caller does not panic")));

    let counts: serde_json::Value = cluster
        .get(cluster.addr("upstream-0"), "/standin/runs")
        .expect("the upstream responds");
    assert_eq!(counts["most"], 8);
    assert_eq!(counts["total"], 40);
}

#[test]
fn timeline_merges_the_events_of_all_processes_in_time_order() {
    let cluster = ClusterBuilder::small().start();
    cluster.apply_config(CONFIG);
    let response = cluster.send_request(cluster.addr("gateway-1"), &[], "solo rider");
    let svg_path = cluster.write_file("timeline.svg", "");

    let json = cluster.run_at_gateway("timeline", &["--json", "--svg", &svg_path]);
    let text = cluster.run_at_gateway("timeline", &["--subject", &response.id]);

    let records: Vec<serde_json::Value> = serde_json::from_str(&json).expect("the output is JSON");
    let times: Vec<u64> = records.iter().filter_map(|r| r["at"].as_u64()).collect();
    assert!(times.is_sorted());
    for process in ["gateway-0", "gateway-1", "sidecar-0", "sidecar-1"] {
        assert!(
            records.iter().any(|r| r["process"] == process),
            "the timeline has no event of {process}"
        );
    }
    assert_eq!(text.lines().count(), 2, "{text}");
    assert!(text.contains("E1301") && text.contains("E1302"), "{text}");
    let svg = std::fs::read_to_string(svg_path).expect("the SVG file was written");
    assert!(svg.contains("<svg") && svg.contains("gateway-0"));
}
