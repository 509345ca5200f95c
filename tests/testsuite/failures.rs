//! Kills and freezes of each kind of process under load.

use crate::cluster::*;
use crate::load::*;
use std::time::Duration;

/// The requests that must end between two disturbances.
const BETWEEN: usize = 60;
/// The length of a freeze.
const FREEZE: Duration = Duration::from_millis(1500);

fn disturb_under_load(kind: Kind, disturb: impl FnOnce(&mut Cluster, &Load)) {
    let mut cluster = Plan::small().sidecars(3).start();
    cluster.apply(CONFIG);
    let load = Load::start(&cluster, kind, 4);
    load.wait(&cluster, BETWEEN);

    disturb(&mut cluster, &load);

    load.wait(&cluster, BETWEEN);
    let exchanges = load.finish();
    check_truth(&cluster, &exchanges);
    let good = exchanges
        .iter()
        .filter(|e| e.answers[0].status == 200)
        .count();
    assert!(good * 2 > exchanges.len(), "{:?}", tally(&exchanges));
}

fn kill_and_restart(name: &'static str) -> impl FnOnce(&mut Cluster, &Load) {
    move |cluster, load| {
        cluster.kill(name);
        load.wait(cluster, BETWEEN);
        cluster.restart(name);
    }
}

fn freeze(name: &'static str) -> impl FnOnce(&mut Cluster, &Load) {
    move |cluster, _| {
        cluster.signal(name, "-STOP");
        std::thread::sleep(FREEZE);
        cluster.signal(name, "-CONT");
    }
}

#[test]
fn killed_sidecar_doubles_and_crosses_nothing() {
    disturb_under_load(Kind::Plain, kill_and_restart("sidecar-1"));
}

#[test]
fn killed_sidecar_doubles_no_key() {
    disturb_under_load(Kind::Keyed, kill_and_restart("sidecar-1"));
}

#[test]
fn killed_gateway_doubles_no_key() {
    disturb_under_load(Kind::Keyed, kill_and_restart("gateway-0"));
}

#[test]
fn killed_upstream_doubles_no_key() {
    disturb_under_load(Kind::Keyed, kill_and_restart("upstream-1"));
}

#[test]
fn killed_upstream_leaves_plain_requests_truthful() {
    disturb_under_load(Kind::Plain, kill_and_restart("upstream-1"));
}

#[test]
fn killed_store_leaves_plain_requests_running() {
    disturb_under_load(Kind::Plain, kill_and_restart("store"));
}

#[test]
fn frozen_sidecar_doubles_no_key() {
    disturb_under_load(Kind::Keyed, freeze("sidecar-1"));
}

#[test]
fn frozen_gateway_doubles_no_key() {
    disturb_under_load(Kind::Keyed, freeze("gateway-0"));
}

#[test]
fn frozen_upstream_leaves_answers_truthful() {
    disturb_under_load(Kind::Plain, freeze("upstream-1"));
}

#[test]
fn frozen_store_doubles_no_key() {
    disturb_under_load(Kind::Keyed, freeze("store"));
}

#[test]
fn killed_sidecar_and_gateway_together_double_no_key() {
    disturb_under_load(Kind::Keyed, |cluster, load| {
        cluster.kill("sidecar-0");
        cluster.kill("gateway-1");
        load.wait(cluster, BETWEEN);
        cluster.restart("sidecar-0");
        cluster.restart("gateway-1");
    });
}
