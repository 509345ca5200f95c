//! Evacuation of a failure domain: no new request and no gang member there after the bound.

use crate::cluster::*;
use crate::load::*;
use hibiscusbarrow_adapters::http::HttpClient;
use hibiscusbarrow_model::state::Status;
use serde_json::json;
use std::net::SocketAddr;
use std::process::Output;
use std::time::Duration;

/// The time from the answer to a request until no process starts anything in the domain, as
/// `docs/design/operator-evacuation.md` states it for polls of up to 2 s.
const BOUND: Duration = Duration::from_secs(5);
/// The failure domains; process 0 of each kind is in the first one, process 1 in the second.
const DOMAINS: &[&str] = &["qc-montreal", "qc-capitale"];

/// Starts a cluster over two failure domains, with its configuration applied.
fn two_domains(gateways: usize) -> Cluster {
    let cluster = ClusterBuilder::small()
        .gateways(gateways)
        .domains(DOMAINS)
        .start();
    cluster.apply_config(CONFIG);
    cluster.wait_for("both workers to report", || {
        let status: Option<Status> = cluster.get(cluster.addr("gateway-0"), "/v1/status");
        status
            .and_then(|s| s.placer)
            .is_some_and(|p| p.workers == 2)
    });
    cluster
}

/// Runs `evacuate` against a gateway.
fn evacuate(cluster: &Cluster, gateway: &str, args: &[&str]) -> Output {
    let addr = cluster.addr(gateway).to_string();
    let mut command_line = vec!["evacuate", "-g", &addr];
    command_line.extend(args);
    cluster.run_program(&command_line)
}

/// Runs `evacuate` against a gateway, and fails if the command does.
fn evacuate_ok(cluster: &Cluster, gateway: &str, args: &[&str]) -> String {
    let output = evacuate(cluster, gateway, args);
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Submits a gang of `count` whole workers.
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

/// Sends requests, with and without a key, through a gateway; each must be answered.
fn assert_served(cluster: &Cluster, gateway: SocketAddr, name: &str) {
    for i in 0..10 {
        let key = format!("{name}-{i}");
        let headers: &[(&str, &str)] = if i % 2 == 0 {
            &[]
        } else {
            &[("idempotency-key", &key)]
        };
        let response = cluster.send_request(gateway, headers, "body");
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Returns the gateway that holds the placer lease.
fn placer(cluster: &Cluster) -> String {
    let names = ["gateway-0", "gateway-1"];
    let holds_lease = |name: &&&str| {
        let events: Option<Vec<serde_json::Value>> = cluster.get(cluster.addr(name), "/v1/events");
        let events = events.unwrap_or_default();
        let elected = events.iter().rposition(|e| e["event"] == 1501);
        let lapsed = events.iter().rposition(|e| e["event"] == 1502);
        elected.is_some() && elected > lapsed
    };
    let found = names.iter().find(holds_lease);
    found.expect("a gateway holds the lease").to_string()
}

/// Guards against requests and gangs that still go to the domain after the bound, against
/// requests that fail because of it, and against work that does not return.
#[test]
fn no_new_work_runs_in_the_domain_until_the_cancellation() {
    let cluster = two_domains(2);
    let load = LoadGenerator::start_balanced(&cluster, RequestKind::Unkeyed, 4);
    load.wait_for_requests(&cluster, 40);

    evacuate_ok(&cluster, "gateway-1", &["qc-montreal"]);
    std::thread::sleep(BOUND);
    let before = cluster.runs_at(0);
    load.wait_for_requests(&cluster, 40);
    assert_served(&cluster, cluster.addr("gateway-0"), "evacuated");
    submit(&cluster, "single", 1, 100);
    submit(&cluster, "wide", 2, 100);
    cluster.wait_for_job("single", "done");

    assert_eq!(
        cluster.runs_at(0),
        before,
        "an upstream of the domain ran a request"
    );
    assert!(cluster.start_counts(0).is_empty());
    let status = cluster.run_at_gateway("status", &[]);
    assert!(
        status.contains("domain qc-montreal of region quebec is evacuated"),
        "{status}"
    );
    let wide = cluster.job("wide").expect("the job is known");
    assert!(wide.reason.contains("evacuated: qc-montreal"), "{wide:?}");
    evacuate_ok(&cluster, "gateway-0", &["--end", "qc-montreal"]);
    cluster.wait_for_job("wide", "done");
    cluster.wait_for("requests to return", || cluster.runs_at(0) > before);
    let exchanges = load.finish();
    let failed = exchanges.iter().flat_map(|e| &e.responses);
    let failed: Vec<_> = failed.filter(|r| r.status != 200).collect();
    assert!(failed.is_empty(), "{failed:?}");
    check_exchanges(&cluster, &exchanges);
}

/// Guards against a request that only the gateway knows that stored it: it is the placer, is
/// killed right after its answer, and the store is down from then on. The gateway that starts
/// again meanwhile must not send to the domain either.
#[test]
fn request_holds_without_the_store_and_the_placer_that_answered() {
    let mut cluster = two_domains(2);
    let answering = placer(&cluster);
    let other = if answering == "gateway-0" {
        "gateway-1"
    } else {
        "gateway-0"
    };

    evacuate_ok(&cluster, &answering, &["qc-montreal"]);
    cluster.set_store_fault(&json!({ "mode": "down" }));
    cluster.kill(&answering);
    std::thread::sleep(BOUND);
    let before = cluster.runs_at(0);
    for _ in 0..20 {
        let response = cluster.send_request(cluster.addr(other), &[], "body");
        assert_eq!(response.status, 200, "{response:?}");
    }
    let seed = cluster.settings(other)["peer"].clone();
    cluster.edit_settings(&answering, |settings| settings["seeds"] = json!([seed]));
    cluster.restart(&answering);
    let addr = cluster.addr(&answering);
    cluster.wait_for("the restarted gateway to be ready", || {
        block_on(is_ready(&HttpClient::default(), addr))
    });
    for _ in 0..20 {
        let response = cluster.send_request(addr, &[], "body");
        assert!(
            response.status == 200 || response.is_not_run(),
            "{response:?}"
        );
    }
    cluster.set_store_fault(&json!({ "mode": "up" }));
    cluster.wait_for("a placer", || {
        let view: Option<Status> = cluster.get(addr, "/v1/status");
        view.is_some_and(|s| s.placer.is_some())
    });
    submit(&cluster, "single", 1, 100);
    submit(&cluster, "wide", 2, 100);
    cluster.wait_for_job("single", "done");

    assert_eq!(
        cluster.runs_at(0),
        before,
        "an upstream of the domain ran a request"
    );
    assert!(cluster.start_counts(0).is_empty());
    evacuate_ok(&cluster, other, &["--end", "qc-montreal"]);
    cluster.wait_for_job("wide", "done");
}

/// Guards against a gateway that cannot read the store and goes on with the set that it had: it
/// was frozen while the others were told, and learns of the request from another gateway.
#[test]
fn gateway_without_a_path_to_the_store_learns_of_the_request_from_others() {
    let mut cluster = two_domains(2);
    let seed = cluster.settings("gateway-0")["peer"].clone();
    cluster.kill("gateway-1");
    cluster.edit_settings("gateway-1", |settings| {
        settings["store"] = json!("127.0.0.1:1");
        settings["seeds"] = json!([seed]);
    });
    cluster.restart("gateway-1");
    let addr = cluster.addr("gateway-1");
    cluster.wait_for("the gateway to serve", || {
        cluster.send_request(addr, &[], "body").status == 200
    });
    cluster.signal("gateway-1", "-STOP");

    let answer = evacuate_ok(&cluster, "gateway-0", &["qc-montreal"]);
    cluster.signal("gateway-1", "-CONT");
    std::thread::sleep(BOUND);
    let before = cluster.runs_at(0);
    for _ in 0..20 {
        let response = cluster.send_request(addr, &[], "body");
        assert_eq!(response.status, 200, "{response:?}");
    }

    assert!(answer.contains("gateway-1 has not confirmed"), "{answer}");
    assert_eq!(
        cluster.runs_at(0),
        before,
        "an upstream of the domain ran a request"
    );
}

/// Guards against a gang that has its accelerators held in the domain when the request is made,
/// and starts when the last worker has answered.
#[test]
fn gang_that_is_held_but_not_started_does_not_start_in_the_domain() {
    let cluster = two_domains(2);
    cluster.signal("worker-1", "-STOP");
    submit(&cluster, "wide", 2, 100);
    cluster.wait_for_job("wide", "holding");

    evacuate_ok(&cluster, "gateway-0", &["qc-montreal"]);
    cluster.signal("worker-1", "-CONT");
    std::thread::sleep(BOUND);
    let starts = [cluster.start_counts(0), cluster.start_counts(1)];
    evacuate_ok(&cluster, "gateway-0", &["--end", "qc-montreal"]);
    cluster.wait_for_job("wide", "done");

    assert!(starts.iter().all(|s| s.is_empty()), "{starts:?}");
}

/// Guards against an evacuation that interrupts requests or gangs that run there, and against
/// requests that wait at the sidecar and still reach the upstream later.
#[test]
fn what_runs_ends_normally_and_what_waits_does_not_run_there() {
    let cluster = two_domains(2);
    submit(&cluster, "wide", 2, 7000);
    cluster.wait_for_job("wide", "running");
    let gateway = cluster.addr("gateway-0");
    let caller = move || {
        let request = caller_request(&[("x-work-ms", "6000"), ("x-deadline-ms", "30000")], "long");
        CallerResponse::from_result(block_on(HttpClient::default().call(
            gateway,
            request,
            WAIT_TIMEOUT,
            1 << 20,
        )))
    };
    let callers: Vec<_> = (0..24).map(|_| std::thread::spawn(caller)).collect();
    cluster.wait_for("both upstreams to be full", || {
        cluster.runs_at(0) == 8 && cluster.runs_at(1) == 8
    });

    evacuate_ok(&cluster, "gateway-0", &["qc-montreal"]);
    let responses: Vec<_> = callers
        .into_iter()
        .map(|c| c.join().expect("the caller does not panic"))
        .collect();
    cluster.wait_for_job("wide", "done");

    assert_eq!(cluster.runs_at(0), 8, "a waiting request ran in the domain");
    let answered = responses.iter().filter(|r| r.status == 200).count();
    assert_eq!(answered, cluster.runs_at(0) + cluster.runs_at(1));
    let refused: Vec<_> = responses.iter().filter(|r| r.status != 200).collect();
    assert!(refused.iter().all(|r| r.is_not_run()), "{refused:?}");
    for worker in 0..2 {
        assert_eq!(
            cluster.start_counts(worker),
            [("wide~1".to_owned(), 1)].into()
        );
    }
}

/// Guards against requests that are refused without the domain and the count, and against an
/// evacuation of the whole region, also by two requests at once.
#[test]
fn invalid_requests_are_refused_and_repeated_ones_accepted() {
    let cluster = two_domains(2);
    let fails_with = |args: &[&str], code: i32, texts: &[&str]| {
        let output = evacuate(&cluster, "gateway-0", args);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(code), "{error}");
        assert!(texts.iter().all(|t| error.contains(t)), "{error}");
    };

    fails_with(&["qc-mars"], 4, &["HB204", "qc-mars", "has 2"]);
    fails_with(&["../config"], 3, &["HB411", "../config"]);
    let ended = evacuate_ok(&cluster, "gateway-0", &["--end", "qc-mars"]);
    let both: Vec<Output> = std::thread::scope(|scope| {
        let request = |gateway, domain| {
            let cluster = &cluster;
            scope.spawn(move || evacuate(cluster, gateway, &[domain]))
        };
        let requests = [
            request("gateway-0", DOMAINS[0]),
            request("gateway-1", DOMAINS[1]),
        ];
        requests.map(|r| r.join().expect("the command runs")).into()
    });
    let evacuated = if both[0].status.success() { 0 } else { 1 };
    let repeated = evacuate_ok(&cluster, "gateway-0", &[DOMAINS[evacuated]]);

    assert!(ended.contains("was not evacuated"), "{ended}");
    assert!(repeated.contains("was evacuated already"), "{repeated}");
    assert_eq!(
        both.iter().filter(|o| o.status.success()).count(),
        1,
        "{both:?}"
    );
    let other = DOMAINS[1 - evacuated];
    fails_with(&[other], 4, &["HB205", other, "none of the 2"]);
    evacuate_ok(&cluster, "gateway-1", &["--end", DOMAINS[evacuated]]);
    evacuate_ok(&cluster, "gateway-1", &["--end", DOMAINS[evacuated]]);
    evacuate_ok(&cluster, "gateway-1", &[other]);
}
