//! The evacuated failure domains: reads of the store, exchange with peers, and the domains of
//! sidecars.

use super::Node;
use futures_util::future::join;
use futures_util::future::join_all;
use hibiscusbarrow_coordination::evacuation::RegionSet;
use hibiscusbarrow_coordination::membership::Member;
use hibiscusbarrow_coordination::membership::Role;
use hibiscusbarrow_coordination::membership::State;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::state::EVACUATION_PREFIX;
use hibiscusbarrow_model::state::Evacuations;
use hibiscusbarrow_model::state::EvacuationsView;
use hibiscusbarrow_model::state::ProcessLocation;
use hibiscusbarrow_model::state::RegionEvacuations;
use rand::seq::IndexedRandom;
use serde_json::json;
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The least age of the set at which gangs are no longer started; a store that takes up to
/// half of it to answer stops no start.
const MIN_AGE_LIMIT: Duration = Duration::from_secs(4);
/// The time that a peer may take to answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of gateways asked at once by a process that cannot read the store.
const ASKED_GATEWAYS: usize = 2;
/// The number of sidecars asked for their failure domain at once.
const MAX_LOCATING: usize = 32;
/// How long a gateway that did not confirm a new set is sent it again.
const RESEND_PERIOD: Duration = Duration::from_secs(60);

impl Node {
    /// Returns the interval at which the set of evacuated domains is confirmed.
    fn confirm_interval(&self) -> Duration {
        Duration::from_millis(self.settings.timing.poll_ms)
    }

    /// Returns whether the set is recent enough to start gangs by it.
    ///
    /// One lost answer of the store is allowed for; see `docs/design/operator-evacuation.md`.
    pub fn may_start_gangs(&self) -> bool {
        let limit = (self.confirm_interval() * 2).max(MIN_AGE_LIMIT);
        self.evacuations.borrow().is_fresh(self.clock.now(), limit)
    }

    /// Returns whether the set was received since the process started.
    pub fn knows_evacuations(&self) -> bool {
        self.evacuations.borrow().age(self.clock.now()).is_some()
    }

    /// Returns the evacuated domains of this process's region.
    pub fn evacuated_domains(&self) -> BTreeSet<SmolStr> {
        self.evacuations.borrow().domains(&self.settings.region)
    }

    /// Returns whether the failure domain of this process is evacuated.
    pub fn is_evacuated(&self) -> bool {
        let set = self.evacuations.borrow();
        set.contains(&self.settings.region, &self.settings.domain)
    }

    /// Returns whether new requests may be sent to a sidecar.
    ///
    /// While a domain of its region is evacuated, a sidecar whose domain is not known yet gets
    /// none.
    pub fn may_send_to(&self, member: &Member) -> bool {
        let info = &member.latest.info;
        let set = self.evacuations.borrow();
        if !set.has_any(&info.region) {
            return true;
        }
        let locations = self.locations.borrow();
        let domain = locations.get(&(member.latest.name.clone(), info.life));
        domain.is_some_and(|d| !set.contains(&info.region, d))
    }

    /// Returns the failure domain of a sidecar, if it has answered.
    pub fn domain_of(&self, member: &Member) -> Option<SmolStr> {
        let key = (member.latest.name.clone(), member.latest.info.life);
        self.locations.borrow().get(&key).cloned()
    }

    /// Returns what this process knows of all evacuations.
    pub fn evacuations_view(&self) -> EvacuationsView {
        let set = self.evacuations.borrow();
        let region = |(name, set): (&SmolStr, &RegionSet)| {
            let entry = RegionEvacuations {
                revision: set.revision,
                domains: set.domains.clone(),
            };
            (name.clone(), entry)
        };
        let age = set.age(self.clock.now());
        EvacuationsView {
            age_ms: age.map(|a| a.as_millis().try_into().unwrap_or(u64::MAX)),
            regions: set.regions().map(region).collect(),
        }
    }

    /// Installs the set of a region, if it is newer than the known one.
    pub fn install_evacuations(&self, region: &SmolStr, revision: i64, domains: BTreeSet<SmolStr>) {
        let names: Vec<&str> = domains.iter().map(SmolStr::as_str).collect();
        let detail = format!("revision={revision} domains={}", names.join(","));
        if !self
            .evacuations
            .borrow_mut()
            .offer(region, revision, domains)
        {
            return;
        }
        self.log
            .emit(Event::EvacuationApplied, region.clone(), detail);
        let count = self.evacuated_domains().len() as u64;
        self.metrics.set_gauge("domains_evacuated", count);
    }

    /// Installs every newer set in what a peer sent.
    pub fn merge_evacuations(&self, view: EvacuationsView) {
        for (region, set) in view.regions {
            self.install_evacuations(&region, set.revision, set.domains);
        }
    }

    /// Sends this process's sets to a peer and installs the ones in its answer.
    ///
    /// Returns whether the peer answered.
    async fn exchange_evacuations(&self, addr: SocketAddr) -> bool {
        let sent = self.clock.now();
        let own = self.evacuations_view();
        let call =
            self.http
                .post_json::<EvacuationsView>(addr, "/v1/evacuations", &own, PEER_TIMEOUT);
        let Ok((200, view)) = call.await else {
            return false;
        };
        let age = view.age_ms.map(Duration::from_millis);
        self.merge_evacuations(view);
        if let Some(age) = age {
            self.evacuations.borrow_mut().confirm(sent, age);
        }
        true
    }

    /// Lists the other gateways that may answer, with their HTTP addresses.
    fn other_gateways(&self) -> Vec<(SmolStr, SocketAddr)> {
        let members = self.members();
        let is_gateway =
            |m: &&Member| m.latest.info.role == Role::Gateway && m.latest.state != State::Dead;
        let gateways = members.entries.iter().filter(is_gateway);
        gateways
            .map(|m| (m.latest.name.clone(), m.latest.info.http))
            .collect()
    }

    /// Sends this process's sets to all other gateways.
    ///
    /// Returns the gateways that did not confirm them; they are sent them again in the
    /// background, until they confirm, are dead, or [`RESEND_PERIOD`] has passed.
    pub async fn spread_evacuations(self: &Rc<Self>) -> Vec<SmolStr> {
        let pending = self.send_evacuations(|_| true).await;
        if !pending.is_empty() {
            compio::runtime::spawn(self.clone().resend_evacuations(pending.clone())).detach();
        }
        pending
    }

    /// Sends this process's sets to the chosen gateways and returns those that did not confirm.
    async fn send_evacuations(&self, chosen: impl Fn(&SmolStr) -> bool) -> Vec<SmolStr> {
        let gateways = self.other_gateways().into_iter();
        let exchanges = gateways
            .filter(|(name, _)| chosen(name))
            .map(|(name, addr)| async move {
                let confirmed = self.exchange_evacuations(addr).await;
                (!confirmed).then_some(name)
            });
        join_all(exchanges).await.into_iter().flatten().collect()
    }

    async fn resend_evacuations(self: Rc<Self>, mut pending: Vec<SmolStr>) {
        let end = self.clock.now() + RESEND_PERIOD;
        let interval = Duration::from_millis(self.settings.timing.probe_ms);
        while !pending.is_empty() && self.clock.now() < end {
            compio::time::sleep(interval).await;
            pending = self.send_evacuations(|name| pending.contains(name)).await;
        }
    }

    /// Confirms the set at the poll interval: a gateway reads the store, and asks other
    /// gateways if that fails; a sidecar asks gateways only.
    pub async fn follow_evacuations(self: Rc<Self>, role: Role) {
        let interval = self.confirm_interval();
        let timeout = interval.max(MIN_AGE_LIMIT / 2);
        loop {
            let begun = self.clock.now();
            if role == Role::Sidecar {
                self.ask_gateways().await;
            } else if !self.knows_evacuations() {
                // A restarted gateway serves as soon as the store or a peer has answered.
                join(self.read_evacuations(timeout), self.ask_gateways()).await;
            } else if !self.read_evacuations(timeout).await {
                self.ask_gateways().await;
            }
            if role == Role::Gateway {
                self.locate_sidecars();
            }
            self.report_age();
            // Without a first set, no request is served, so it is asked for sooner.
            let wait = if self.knows_evacuations() {
                interval
            } else {
                interval / 10
            };
            compio::time::sleep((begun + wait).saturating_sub(self.clock.now())).await;
        }
    }

    fn report_age(&self) {
        let age = self.evacuations.borrow().age(self.clock.now());
        let age_ms = age.map_or(0, |a| a.as_millis() as u64);
        self.metrics.set_gauge("evacuations_age_ms", age_ms);
    }

    /// Reads the sets of all regions from the store.
    ///
    /// Returns whether the store answered within `timeout`.
    async fn read_evacuations(&self, timeout: Duration) -> bool {
        let sent = self.clock.now();
        let call = self.store.list_at(EVACUATION_PREFIX);
        let Ok(Ok(reply)) = compio::time::timeout(timeout, call).await else {
            return false;
        };
        let mut listed = BTreeSet::new();
        for entry in &reply.kvs {
            let key = entry.key_text();
            let region: SmolStr = key.strip_prefix(EVACUATION_PREFIX).unwrap_or("").into();
            listed.insert(region.clone());
            match entry.json::<Evacuations>() {
                Some(stored) => {
                    self.install_evacuations(&region, entry.mod_revision, stored.domains);
                }
                None => self.log.emit(
                    Event::PeerRefused,
                    key,
                    "the value is no set of evacuations",
                ),
            }
        }
        let regions: Vec<SmolStr> = {
            let set = self.evacuations.borrow();
            set.regions().map(|(name, _)| name.clone()).collect()
        };
        for region in regions.iter().filter(|r| !listed.contains(*r)) {
            self.install_evacuations(region, reply.header.revision, BTreeSet::new());
        }
        self.evacuations.borrow_mut().confirm(sent, Duration::ZERO);
        true
    }

    async fn ask_gateways(&self) {
        let gateways = self.other_gateways();
        let asked: Vec<SocketAddr> = gateways
            .choose_multiple(&mut rand::rng(), ASKED_GATEWAYS)
            .map(|(_, addr)| *addr)
            .collect();
        join_all(
            asked
                .into_iter()
                .map(|addr| self.exchange_evacuations(addr)),
        )
        .await;
    }

    /// Asks the sidecars whose failure domain is not known for it, and forgets those that left.
    pub(super) fn locate_sidecars(self: &Rc<Self>) {
        let members = self.members();
        let is_sidecar =
            |m: &&Member| m.latest.info.role == Role::Sidecar && m.latest.state != State::Dead;
        let sidecars: Vec<_> = members
            .entries
            .iter()
            .filter(is_sidecar)
            .map(|m| {
                (
                    (m.latest.name.clone(), m.latest.info.life),
                    m.latest.info.http,
                )
            })
            .collect();
        let current: BTreeSet<_> = sidecars.iter().map(|(key, _)| key).collect();
        self.locations
            .borrow_mut()
            .retain(|key, _| current.contains(key));
        for (key, addr) in &sidecars {
            let mut locating = self.locating.borrow_mut();
            if locating.len() >= MAX_LOCATING {
                return;
            }
            if !self.locations.borrow().contains_key(key) && locating.insert(key.clone()) {
                compio::runtime::spawn(self.clone().locate(key.clone(), *addr)).detach();
            }
        }
    }

    /// Asks one sidecar for its failure domain.
    async fn locate(self: Rc<Self>, key: (SmolStr, u64), addr: SocketAddr) {
        let result = self
            .http
            .post_json::<ProcessLocation>(addr, "/v1/location", &json!({}), PEER_TIMEOUT)
            .await;
        self.locating.borrow_mut().remove(&key);
        if let Ok((200, location)) = result {
            self.locations.borrow_mut().insert(key, location.domain);
            self.locate_sidecars();
        }
    }
}
