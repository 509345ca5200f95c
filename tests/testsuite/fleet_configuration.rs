//! The time within which a change of the operators' manifest is in force at every gateway.

use crate::fleet_harness::API_KEY;
use crate::fleet_harness::Fleet;
use crate::store_link::StoreLink;
use hibiscusbarrow_platform::standin;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The bound within which a change is in force; the default of `config-apply-ms`.
const BOUND: Duration = Duration::from_millis(2_000);
/// The speed of the slowest link of a gateway that the platform states: 10 Mbit/s.
const SLOW_LINK: u64 = 1_250_000;
/// The number of routes that make a manifest about 0.4 MB.
const MANY_ROUTES: usize = 3_000;
/// A queue that every version of the manifest has.
const QUEUE: &str = "/pairs/";

/// Puts a link between each of the first gateways and the store, and restarts these gateways.
fn put_links(fleet: &mut Fleet, count: usize, speed: Option<u64>) -> Vec<StoreLink> {
    let targets = fleet.store.endpoints[..count].iter().map(|(addr, _)| *addr);
    let links: Vec<StoreLink> = targets.map(|a| StoreLink::start(a, speed)).collect();
    for (index, link) in links.iter().enumerate() {
        fleet.kill(index);
        fleet.set_store_addr(index, link.addr);
        fleet.spawn(index);
    }
    let gateways = fleet.gateways;
    fleet.wait_for("the gateways to know each other", |f| {
        (0..gateways).all(|g| f.is_ready(g) && f.knows_the_others(g))
    });
    links
}

/// Returns a manifest with many routes and one that is named after its version.
fn large_manifest(version: u64) -> String {
    let text = standin::manifest(version, API_KEY);
    let mut manifest: serde_json::Value = serde_json::from_str(&text).expect("it is JSON");
    let routes = manifest["routes"].as_array_mut().expect("it has routes");
    let new_route = |prefix: String| {
        serde_json::json!({"name": prefix.clone(), "host": "pairs.example",
            "prefix": format!("/{prefix}/"), "service": "svc", "max-attempts": 3, "priority": 1})
    };
    routes.extend((0..MANY_ROUTES).map(|n| new_route(format!("route-{n:05}"))));
    routes.push(new_route(format!("version-{version}")));
    manifest.to_string()
}

/// A watch returns every version since the last one that was seen. A gateway that needs longer for
/// them than the time-out of the call received nothing, asked again for even more, and served an old
/// version until the changes ended.
#[test]
fn gateway_on_a_slow_link_has_each_change_of_a_large_manifest_in_force_within_the_bound() {
    let mut fleet = Fleet::start(1, 0);
    let _links = put_links(&mut fleet, 1, Some(SLOW_LINK));
    let mut written: Vec<(u64, Instant)> = Vec::new();
    let mut late = Vec::new();

    for version in 2..32 {
        fleet.store.put_manifest(&large_manifest(version));
        written.push((version, Instant::now()));
        thread::sleep(Duration::from_millis(330));
        let due = written.iter().rfind(|(_, at)| at.elapsed() > BOUND);
        let Some((due, _)) = due else { continue };
        let (status, _) = fleet.call(0, "GET", &format!("/version-{due}/"), "");
        // A newer version no longer has the route.
        let newer = (due + 1..=version).map(|v| format!("/version-{v}/"));
        let has_newer = || {
            newer
                .into_iter()
                .any(|p| fleet.call(0, "GET", &p, "").0 == 200)
        };
        if status == 404 && !has_newer() {
            late.push(*due);
        }
    }

    assert_eq!(late, Vec::<u64>::new(), "versions not in force in time");
}

/// Asks gateways with the key of the manifest before and the one after until `end`, and returns the
/// answers that only the former manifest allows.
fn outdated_answers(
    fleet: &Fleet,
    gateways: &[usize],
    keys: (&str, &str),
    end: Instant,
) -> Vec<(usize, &'static str)> {
    let mut outdated = Vec::new();
    while Instant::now() < end {
        for &gateway in gateways {
            if fleet.call_with_key(gateway, "GET", QUEUE, "", keys.0).0 == 200 {
                outdated.push((gateway, "a revoked key was accepted"));
            }
            if fleet.call_with_key(gateway, "GET", QUEUE, "", keys.1).0 == 401 {
                outdated.push((gateway, "a new key was rejected"));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    outdated
}

/// The store is silent to most gateways and serves the others. The wait of a watch, the delay before
/// another gateway is asked and the time-outs of gateways that are turned away as well added up to
/// more than the bound.
#[test]
fn gateways_to_which_the_store_is_silent_have_a_change_in_force_within_the_bound() {
    let mut fleet = Fleet::start(5, 0);
    let links = put_links(&mut fleet, 4, None);
    let mut outdated = Vec::new();

    for version in 2..6 {
        let (before, after) = (format!("k-{}", version - 1), format!("k-{version}"));
        links.iter().for_each(|l| l.set_silent(true));
        fleet
            .store
            .put_manifest(&standin::manifest(version, &after));
        thread::sleep(BOUND);
        let end = Instant::now() + Duration::from_millis(1_500);
        let keys = (before.as_str(), after.as_str());
        outdated.extend(outdated_answers(&fleet, &[0, 1, 2, 3, 4], keys, end));
        links.iter().for_each(|l| l.set_silent(false));
        fleet.wait_for("all gateways to be ready", |f| {
            (0..5).all(|g| f.is_ready(g))
        });
    }

    outdated.dedup();
    assert_eq!(outdated, Vec::new());
}

/// A gateway that reaches neither the store nor another gateway cannot know of a change. It went on
/// to serve callers whose key had been revoked.
#[test]
fn gateway_that_cannot_prove_its_configuration_serves_no_caller_by_it() {
    let mut fleet = Fleet::start(3, 0);
    let links = put_links(&mut fleet, 1, None);

    fleet.signal(1, "-STOP");
    fleet.signal(2, "-STOP");
    links[0].set_silent(true);
    fleet.store.put_manifest(&standin::manifest(2, "k-2"));
    thread::sleep(BOUND);
    let end = Instant::now() + Duration::from_millis(2_500);
    let mut outdated = outdated_answers(&fleet, &[0], (API_KEY, "k-2"), end);
    fleet.signal(1, "-CONT");
    fleet.signal(2, "-CONT");

    outdated.dedup();
    assert_eq!(outdated, Vec::new());
}
