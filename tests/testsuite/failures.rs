//! Kills and freezes of each kind of process under load.

use crate::cluster::*;
use crate::load::*;
use std::time::Duration;

/// The requests that must end between two disturbances.
const REQUESTS_BETWEEN_DISRUPTIONS: usize = 60;
/// The length of a freeze.
const FREEZE_DURATION: Duration = Duration::from_millis(1500);

fn disrupt_under_load(kind: RequestKind, disrupt: impl FnOnce(&mut Cluster, &LoadGenerator)) {
    let mut cluster = ClusterBuilder::small().sidecars(3).start();
    cluster.apply_config(CONFIG);
    let load = LoadGenerator::start(&cluster, kind, 4);
    load.wait_for_requests(&cluster, REQUESTS_BETWEEN_DISRUPTIONS);

    disrupt(&mut cluster, &load);

    load.wait_for_requests(&cluster, REQUESTS_BETWEEN_DISRUPTIONS);
    let exchanges = load.finish();
    check_exchanges(&cluster, &exchanges);
    let good = exchanges
        .iter()
        .filter(|e| e.answers[0].status == 200)
        .count();
    assert!(
        good * 2 > exchanges.len(),
        "{:?}",
        count_results(&exchanges)
    );
}

fn kill_and_restart(name: &'static str) -> impl FnOnce(&mut Cluster, &LoadGenerator) {
    move |cluster, load| {
        cluster.kill(name);
        load.wait_for_requests(cluster, REQUESTS_BETWEEN_DISRUPTIONS);
        cluster.restart(name);
    }
}

fn freeze(name: &'static str) -> impl FnOnce(&mut Cluster, &LoadGenerator) {
    move |cluster, _| {
        cluster.signal(name, "-STOP");
        std::thread::sleep(FREEZE_DURATION);
        cluster.signal(name, "-CONT");
    }
}

#[test]
fn killed_sidecar_doubles_and_crosses_nothing() {
    disrupt_under_load(RequestKind::Unkeyed, kill_and_restart("sidecar-1"));
}

#[test]
fn killed_sidecar_doubles_no_key() {
    disrupt_under_load(RequestKind::Keyed, kill_and_restart("sidecar-1"));
}

#[test]
fn killed_gateway_doubles_no_key() {
    disrupt_under_load(RequestKind::Keyed, kill_and_restart("gateway-0"));
}

#[test]
fn killed_upstream_doubles_no_key() {
    disrupt_under_load(RequestKind::Keyed, kill_and_restart("upstream-1"));
}

#[test]
fn killed_upstream_leaves_plain_requests_truthful() {
    disrupt_under_load(RequestKind::Unkeyed, kill_and_restart("upstream-1"));
}

#[test]
fn killed_store_leaves_plain_requests_running() {
    disrupt_under_load(RequestKind::Unkeyed, kill_and_restart("store"));
}

#[test]
fn frozen_sidecar_doubles_no_key() {
    disrupt_under_load(RequestKind::Keyed, freeze("sidecar-1"));
}

#[test]
fn frozen_gateway_doubles_no_key() {
    disrupt_under_load(RequestKind::Keyed, freeze("gateway-0"));
}

#[test]
fn frozen_upstream_leaves_answers_truthful() {
    disrupt_under_load(RequestKind::Unkeyed, freeze("upstream-1"));
}

#[test]
fn frozen_store_doubles_no_key() {
    disrupt_under_load(RequestKind::Keyed, freeze("store"));
}

#[test]
fn killed_sidecar_and_gateway_together_double_no_key() {
    disrupt_under_load(RequestKind::Keyed, |cluster, load| {
        cluster.kill("sidecar-0");
        cluster.kill("gateway-1");
        load.wait_for_requests(cluster, REQUESTS_BETWEEN_DISRUPTIONS);
        cluster.restart("sidecar-0");
        cluster.restart("gateway-1");
    });
}
