//! The evacuated failure domains of all regions, as one process knows them.

use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// The age of a set whose confirmation lies before the origin of the process's clock.
const UNKNOWN_AGE: Duration = Duration::from_secs(u32::MAX as u64);

/// The evacuated domains of one region.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegionSet {
    /// The store revision of the set.
    pub revision: i64,
    /// The names of the domains.
    pub domains: BTreeSet<SmolStr>,
}

/// The evacuated domains of all regions, and when the store last confirmed them.
#[derive(Clone, Debug, Default)]
pub struct EvacuationSet {
    regions: BTreeMap<SmolStr, RegionSet>,
    /// Whether the whole set was received at least once.
    known: bool,
    /// When the whole set was last confirmed; `None` if that is before the clock's origin.
    confirmed_at: Option<Duration>,
}

impl EvacuationSet {
    /// Replaces the set of a region if `revision` is higher than the known one.
    ///
    /// Returns whether the domains changed.
    pub fn offer(&mut self, region: &SmolStr, revision: i64, domains: BTreeSet<SmolStr>) -> bool {
        let known = self.regions.entry(region.clone()).or_default();
        if revision <= known.revision {
            return false;
        }
        known.revision = revision;
        let changed = known.domains != domains;
        known.domains = domains;
        changed
    }

    /// Records that the whole set was received in the answer to a call sent at `sent`, from
    /// one who had it confirmed `age` before it answered.
    ///
    /// The age of an answer counts from when the call was sent, since the set may have changed
    /// while the answer was in transit.
    pub fn confirm(&mut self, sent: Duration, age: Duration) {
        self.known = true;
        self.confirmed_at = self.confirmed_at.max(sent.checked_sub(age));
    }

    /// Returns how long ago the set was confirmed; `None` if it was never received.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let age = |at| now.saturating_sub(at);
        self.known
            .then(|| self.confirmed_at.map_or(UNKNOWN_AGE, age))
    }

    /// Returns whether the set was confirmed at most `limit` ago.
    pub fn is_fresh(&self, now: Duration, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }

    /// Returns whether a domain of a region is evacuated.
    pub fn contains(&self, region: &str, domain: &str) -> bool {
        self.regions
            .get(region)
            .is_some_and(|set| set.domains.contains(domain))
    }

    /// Returns whether a region has an evacuated domain.
    pub fn has_any(&self, region: &str) -> bool {
        self.regions
            .get(region)
            .is_some_and(|set| !set.domains.is_empty())
    }

    /// Returns the evacuated domains of a region.
    pub fn domains(&self, region: &str) -> BTreeSet<SmolStr> {
        self.regions
            .get(region)
            .map(|set| set.domains.clone())
            .unwrap_or_default()
    }

    /// Lists the regions whose set was ever written.
    pub fn regions(&self) -> impl Iterator<Item = (&SmolStr, &RegionSet)> {
        self.regions.iter().filter(|(_, set)| set.revision > 0)
    }
}
