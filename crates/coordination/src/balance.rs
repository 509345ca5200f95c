//! Chooses an upstream by two random choices on load and health.

use rand::Rng;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;

/// The failures in a row after which an upstream is avoided.
const EJECTION_FAILURES: u32 = 3;
/// The first time for which an upstream is avoided.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// The doublings at which the time stops growing.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// Tracks the load and health of one upstream as a caller sees it.
#[derive(Clone, Debug, Default)]
struct Peer {
    in_flight: u32,
    reported_load: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Duration,
}

/// Chooses among upstreams of one service.
///
/// Ejection is gradual: at most half of the candidates are avoided at a time.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    peers: BTreeMap<SmolStr, Peer>,
}

impl Balancer {
    /// Chooses one of the candidates that `tried` does not name.
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

    /// Records that a request goes to an upstream.
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

    /// Records that an upstream failed to answer.
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

    /// Forgets upstreams that are not named.
    pub fn retain(&mut self, keep: impl Fn(&SmolStr) -> bool) {
        self.peers.retain(|name, _| keep(name));
    }

    /// Tells whether an upstream is avoided.
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
