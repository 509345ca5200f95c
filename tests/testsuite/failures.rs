//! Kills and freezes of each kind of process while callers send requests.

use crate::cluster::*;
use crate::load::*;
use std::time::Duration;

/// The number of requests that must end before and after a disruption, and while a killed
/// process is down.
const REQUESTS_BETWEEN_DISRUPTIONS: usize = 60;
/// The length of a freeze.
const FREEZE_DURATION: Duration = Duration::from_millis(1500);

/// Disrupts a cluster while callers send requests.
///
/// Checks that the responses agree with the runs at the upstreams, and that more than
/// half of the requests succeed at the first attempt.
fn disrupt_under_load(kind: RequestKind, disrupt: impl FnOnce(&mut Cluster, &LoadGenerator)) {
    let mut cluster = ClusterBuilder::small().sidecars(3).start();
    cluster.apply_config(CONFIG);
    let load = LoadGenerator::start(&cluster, kind, 4);
    load.wait_for_requests(&cluster, REQUESTS_BETWEEN_DISRUPTIONS);

    disrupt(&mut cluster, &load);

    load.wait_for_requests(&cluster, REQUESTS_BETWEEN_DISRUPTIONS);
    let exchanges = load.finish();
    check_exchanges(&cluster, &exchanges);
    let succeeded = exchanges
        .iter()
        .filter(|e| e.responses[0].status == 200)
        .count();
    assert!(
        succeeded * 2 > exchanges.len(),
        "{:?}",
        count_results(&exchanges)
    );
}

/// Kills a process and restarts it after [`REQUESTS_BETWEEN_DISRUPTIONS`] requests.
fn kill_and_restart(name: &'static str) -> impl FnOnce(&mut Cluster, &LoadGenerator) {
    move |cluster, load| {
        cluster.kill(name);
        load.wait_for_requests(cluster, REQUESTS_BETWEEN_DISRUPTIONS);
        cluster.restart(name);
    }
}

/// Suspends a process for [`FREEZE_DURATION`]; it resumes with the requests and
/// connections that it had before.
fn freeze(name: &'static str) -> impl FnOnce(&mut Cluster, &LoadGenerator) {
    move |cluster, _| {
        cluster.signal(name, "-STOP");
        std::thread::sleep(FREEZE_DURATION);
        cluster.signal(name, "-CONT");
    }
}

/// A gateway loses the connection to a sidecar with requests in flight, which may have
/// run: sending them again would run them twice.
#[test]
fn killed_sidecar_runs_no_request_twice_and_swaps_no_responses() {
    disrupt_under_load(RequestKind::Unkeyed, kill_and_restart("sidecar-1"));
}

/// The killed sidecar loses the responses that it retained for keys; a repeated request
/// with the same key must still not run again.
#[test]
fn killed_sidecar_runs_no_keyed_request_twice() {
    disrupt_under_load(RequestKind::Keyed, kill_and_restart("sidecar-1"));
}

/// A request whose gateway was killed may have run, and is repeated through the other
/// gateway.
#[test]
fn killed_gateway_runs_no_keyed_request_twice() {
    disrupt_under_load(RequestKind::Keyed, kill_and_restart("gateway-0"));
}

#[test]
fn killed_upstream_runs_no_keyed_request_twice() {
    disrupt_under_load(RequestKind::Keyed, kill_and_restart("upstream-1"));
}

#[test]
fn killed_upstream_leaves_responses_to_unkeyed_requests_correct() {
    disrupt_under_load(RequestKind::Unkeyed, kill_and_restart("upstream-1"));
}

/// Requests without a key do not depend on the store.
#[test]
fn killed_store_does_not_interrupt_unkeyed_requests() {
    disrupt_under_load(RequestKind::Unkeyed, kill_and_restart("store"));
}

#[test]
fn frozen_sidecar_runs_no_keyed_request_twice() {
    disrupt_under_load(RequestKind::Keyed, freeze("sidecar-1"));
}

#[test]
fn frozen_gateway_runs_no_keyed_request_twice() {
    disrupt_under_load(RequestKind::Keyed, freeze("gateway-0"));
}

#[test]
fn frozen_upstream_leaves_responses_to_unkeyed_requests_correct() {
    disrupt_under_load(RequestKind::Unkeyed, freeze("upstream-1"));
}

#[test]
fn frozen_store_runs_no_keyed_request_twice() {
    disrupt_under_load(RequestKind::Keyed, freeze("store"));
}

#[test]
fn sidecar_and_gateway_killed_together_run_no_keyed_request_twice() {
    disrupt_under_load(RequestKind::Keyed, |cluster, load| {
        cluster.kill("sidecar-0");
        cluster.kill("gateway-1");
        load.wait_for_requests(cluster, REQUESTS_BETWEEN_DISRUPTIONS);
        cluster.restart("sidecar-0");
        cluster.restart("gateway-1");
    });
}
