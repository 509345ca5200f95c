//! Load balancing by the power of two random choices, with ejection of failing upstreams.

use rand::Rng;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;

/// The number of consecutive failures after which an upstream is ejected.
const EJECTION_FAILURES: u32 = 3;
/// How long the first ejection lasts; each further one lasts twice as long.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// The number of doublings after which the duration of an ejection stops growing.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// The load and health of one upstream as its caller sees them.
#[derive(Clone, Debug, Default)]
struct Peer {
    in_flight: u32,
    /// The load in the upstream's last answer.
    reported_load: u32,
    /// Consecutive failures since the last answer or ejection.
    failures: u32,
    /// Ejections since the last answer.
    ejections: u32,
    ejected_until: Duration,
}

/// Chooses among upstreams and ejects those that fail.
///
/// A choice excludes at most half of the untried candidates: if more of them are ejected,
/// ejection is ignored.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    peers: BTreeMap<SmolStr, Peer>,
}

impl Balancer {
    /// Chooses one of `candidates` that is not in `tried`, if there is one.
    pub fn choose(
        &self,
        candidates: &[SmolStr],
        tried: &[SmolStr],
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<SmolStr> {
        let untried: Vec<_> = candidates.iter().filter(|c| !tried.contains(c)).collect();
        let healthy: Vec<_> = untried
            .iter()
            .copied()
            .filter(|c| !self.is_ejected(c, now))
            .collect();
        let eligible = if healthy.len() * 2 >= untried.len() {
            healthy
        } else {
            untried
        };
        if eligible.is_empty() {
            return None;
        }
        let first = eligible[rng.random_range(0..eligible.len())];
        let second = eligible[rng.random_range(0..eligible.len())];
        let better = if self.load(second) < self.load(first) {
            second
        } else {
            first
        };
        Some(better.clone())
    }

    /// Records that a request was sent to an upstream.
    pub fn sent(&mut self, name: &SmolStr) {
        self.peers.entry(name.clone()).or_default().in_flight += 1;
    }

    /// Records an answer and the load that it reported.
    pub fn answered(&mut self, name: &SmolStr, reported_load: u32) {
        let peer = self.peers.entry(name.clone()).or_default();
        peer.in_flight = peer.in_flight.saturating_sub(1);
        peer.reported_load = reported_load;
        peer.failures = 0;
        peer.ejections = 0;
    }

    /// Records that a request to an upstream failed.
    pub fn failed(&mut self, name: &SmolStr, now: Duration) {
        let peer = self.peers.entry(name.clone()).or_default();
        peer.in_flight = peer.in_flight.saturating_sub(1);
        peer.failures += 1;
        if peer.failures >= EJECTION_FAILURES {
            peer.ejected_until =
                now + BASE_EJECTION * (1 << peer.ejections.min(MAX_EJECTION_DOUBLINGS));
            peer.ejections += 1;
            peer.failures = 0;
        }
    }

    /// Removes the state of upstreams for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&SmolStr) -> bool) {
        self.peers.retain(|name, _| keep(name));
    }

    /// Returns whether an upstream is ejected.
    pub fn is_ejected(&self, name: &SmolStr, now: Duration) -> bool {
        self.peers
            .get(name)
            .is_some_and(|peer| now < peer.ejected_until)
    }

    fn load(&self, name: &SmolStr) -> u32 {
        self.peers.get(name).map_or(0, |peer| {
            peer.in_flight.max(peer.reported_load) + peer.failures
        })
    }
}
