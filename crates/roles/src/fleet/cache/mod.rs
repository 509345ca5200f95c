//! A local cache of the store's content, kept current by watches.
//!
//! Every gateway follows the directory: the manifest, the registered gateways and the placer.
//! Only the standbys and the placer follow everything, job records included, as each of them
//! receives every change of every record. The other gateways ask them for the state of a job.

mod follow;
pub mod manifest;

pub use follow::follow;

use super::Shared;
use super::keys;
use super::keys::Key;
use super::port::Item;
use super::port::Settings;
use super::registration::GatewayEntry;
use bytes::Bytes;
use compio::time::sleep;
use follow::Feed;
use futures_channel::mpsc;
use hibiscusbarrow_coordination::freshness::Freshness;
use hibiscusbarrow_coordination::succession;
use hibiscusbarrow_coordination::succession::Candidate;
use hibiscusbarrow_coordination::succession::STANDBYS;
use hibiscusbarrow_fleet::manifest::Manifest;
use hibiscusbarrow_fleet::record::Record;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_model::event::Event;
use smol_str::SmolStr;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The time between two probes of a store that does not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// The most ended jobs whose states a gateway keeps without their records.
const MAX_ENDED_STATES: usize = 16_384;

/// A change of the cache that the placer must handle.
#[derive(Clone, Debug)]
pub enum Change {
    /// A job's record was written.
    Job(SmolStr),
    /// A job's record was deleted.
    JobDeleted(SmolStr),
    /// A sidecar registered its address.
    Worker(SmolStr, SocketAddr),
    /// A newer manifest took effect.
    Manifest,
    /// The placer's key was written or deleted.
    Placer,
    /// The set of evacuated failure domains has changed.
    Evacuations,
}

/// The record of a job and the revision at which it was stored.
#[derive(Clone, Debug)]
pub struct StoredJob {
    /// The record.
    pub record: Rc<Record>,
    /// The revision.
    pub revision: u64,
}

/// The cache of the store's content in one gateway.
pub struct StoreCache {
    /// The name of this gateway.
    name: SmolStr,
    /// The registration of this gateway.
    own: GatewayEntry,
    /// The records of jobs, if this gateway follows them.
    pub jobs: RefCell<HashMap<SmolStr, StoredJob>>,
    /// The states of ended jobs whose records are not cached, and when they became known.
    ended: RefCell<HashMap<SmolStr, (State, Duration)>>,
    /// The addresses of sidecars, if this gateway follows the records.
    pub workers: RefCell<HashMap<SmolStr, SocketAddr>>,
    /// The registrations of gateways.
    gateways: RefCell<HashMap<SmolStr, GatewayEntry>>,
    /// The holder of the placer's lease and the revision of its claim.
    pub placer: RefCell<Option<(SmolStr, u64)>>,
    /// The names of all gateways in the order in which they become placer.
    succession: RefCell<Vec<SmolStr>>,
    /// Whether this gateway holds the placer's lease.
    placing: Cell<bool>,
    /// The feed of all keys of the fleet roles.
    everything: Rc<Feed>,
    /// The feed of the evacuated failure domains, if they can be requested; the placer follows it.
    evacuations: Option<Rc<Feed>>,
    evacuated: RefCell<Rc<BTreeSet<SmolStr>>>,
    /// The feeds of the directory: the gateways and the placer.
    directory: [Rc<Feed>; 2],
    manifest: RefCell<Option<Rc<Manifest>>>,
    /// The manifest as stored.
    raw_manifest: RefCell<Bytes>,
    /// The same, compressed for another gateway that asked for it.
    packed_manifest: RefCell<Option<Bytes>>,
    /// When the manifest was confirmed.
    freshness: RefCell<Freshness>,
    /// Whether the manifest of another gateway is being fetched.
    fetching: Cell<bool>,
    /// How often records were dropped, as this gateway did not follow them.
    drops: Cell<u64>,
    /// The newest known revision of each key.
    revisions: RefCell<HashMap<SmolStr, u64>>,
    /// Since when calls to the store fail; none while it answers.
    down_since: Cell<Option<Duration>>,
    subscribers: RefCell<Vec<mpsc::UnboundedSender<Change>>>,
}

impl StoreCache {
    /// Creates an empty cache of the gateway with these settings.
    ///
    /// `evacuations` is the prefix of requests to evacuate a failure domain, if there are any.
    pub fn new(settings: &Settings, evacuations: Option<SmolStr>) -> Self {
        let bound = settings.bounds.evacuation;
        let evacuations = evacuations.zip(bound);
        Self {
            name: settings.name.clone(),
            own: GatewayEntry::own(settings),
            jobs: RefCell::default(),
            ended: RefCell::default(),
            workers: RefCell::default(),
            gateways: RefCell::default(),
            placer: RefCell::default(),
            succession: RefCell::new(vec![settings.name.clone()]),
            placing: Cell::new(false),
            everything: Feed::new(keys::PREFIX),
            evacuations: evacuations.map(|(prefix, bound)| Feed::of_evacuations(prefix, bound)),
            evacuated: RefCell::default(),
            directory: [keys::GATEWAY_PREFIX, keys::PLACER_KEY].map(Feed::new),
            manifest: RefCell::default(),
            raw_manifest: RefCell::default(),
            packed_manifest: RefCell::default(),
            freshness: RefCell::new(Freshness::new(settings.config_bound)),
            fetching: Cell::new(false),
            drops: Cell::new(0),
            revisions: RefCell::default(),
            down_since: Cell::new(None),
            subscribers: RefCell::default(),
        }
    }

    /// Returns the current manifest.
    pub fn manifest(&self) -> Option<Rc<Manifest>> {
        self.manifest.borrow().clone()
    }

    /// Returns the manifest as stored if its version is above the given one.
    pub fn manifest_above(&self, version: u64) -> Option<(u64, Bytes)> {
        let current = self.manifest.borrow().as_ref()?.version;
        (current > version).then(|| (current, self.raw_manifest.borrow().clone()))
    }

    /// Returns the manifest in compressed form.
    fn packed_manifest(&self) -> Bytes {
        let mut packed = self.packed_manifest.borrow_mut();
        packed
            .get_or_insert_with(|| manifest::pack(&self.raw_manifest.borrow()))
            .clone()
    }

    /// Returns whether callers may be served by the manifest: none can be in force that it lacks, or
    /// the store is out of reach for all gateways.
    pub fn allows_callers(&self, now: Duration) -> bool {
        self.freshness.borrow().allows_use(now)
    }

    /// Returns the evacuated failure domains, and when the newest call was sent that confirmed them;
    /// none before the first one.
    pub fn evacuated(&self) -> Option<(Rc<BTreeSet<SmolStr>>, Duration)> {
        let confirmed_at = self.evacuations.as_ref()?.confirmed_at()?;
        Some((self.evacuated.borrow().clone(), confirmed_at))
    }

    /// Returns whether a failure domain is evacuated; one without a name may be.
    pub fn bars(&self, domain: &str) -> bool {
        let domains = self.evacuated.borrow();
        !domains.is_empty() && (domain.is_empty() || domains.contains(domain))
    }

    /// Returns whether the cache includes all records up to a revision of the store.
    pub fn includes_records(&self, revision: u64) -> bool {
        self.everything.synced.get() && self.everything.revision.get() >= revision
    }

    /// Returns whether this gateway caches all records, although they may be out of date.
    pub fn has_records(&self) -> bool {
        self.follows_records() && self.everything.synced.get()
    }

    /// Returns whether all records are cached and were updated within [`MAX_AGE`].
    pub fn has_fresh_records(&self, now: Duration) -> bool {
        self.follows_records() && self.everything.is_fresh(now)
    }

    /// Returns whether the gateways and the placer were updated or confirmed within [`MAX_AGE`].
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.has_fresh_records(now) || self.directory.iter().all(|f| f.is_fresh(now))
    }

    /// Returns whether this gateway is the placer or a standby, which follow all records.
    fn follows_records(&self) -> bool {
        self.placing.get() || self.rank().is_some_and(|r| r < STANDBYS)
    }

    /// Records whether this gateway holds the placer's lease.
    pub fn set_placing(&self, placing: bool) {
        self.placing.set(placing);
        self.release_records();
    }

    /// Returns the position of this gateway in the order of succession; none before the
    /// registered gateways are known.
    pub fn rank(&self) -> Option<usize> {
        let [gateways, _] = &self.directory;
        if !gateways.synced.get() && !self.everything.synced.get() {
            return None;
        }
        let order = self.succession.borrow();
        order.iter().position(|n| *n == self.name)
    }

    /// Returns the addresses of the other standbys, in the order of succession.
    pub fn standby_addrs(&self) -> Vec<SocketAddr> {
        let (order, gateways) = (self.succession.borrow(), self.gateways.borrow());
        let standbys = order.iter().take(STANDBYS).filter(|n| **n != self.name);
        standbys
            .filter_map(|n| gateways.get(n).map(|g| g.addr))
            .collect()
    }

    /// Returns the addresses of all other gateways.
    pub fn peer_addrs(&self) -> Vec<SocketAddr> {
        let gateways = self.gateways.borrow();
        let others = gateways.iter().filter(|(n, _)| **n != self.name);
        others.map(|(_, g)| g.addr).collect()
    }

    /// Returns the addresses and capacities of all other gateways.
    fn peers(&self) -> Vec<(SocketAddr, u64)> {
        let gateways = self.gateways.borrow();
        let others = gateways.iter().filter(|(n, _)| **n != self.name);
        others.map(|(_, g)| (g.addr, g.capacity)).collect()
    }

    /// Returns the address of the placer, unless this gateway is the placer.
    pub fn placer_addr(&self) -> Option<SocketAddr> {
        let (name, _) = self.placer.borrow().clone()?;
        let gateways = self.gateways.borrow();
        let entry = gateways.get(&name).filter(|_| name != self.name)?;
        Some(entry.addr)
    }

    /// Returns the state of an ended job whose record is not cached.
    pub fn ended_state(&self, id: &str) -> Option<State> {
        self.ended.borrow().get(id).map(|(state, _)| *state)
    }

    /// Keeps the state of an ended job for as long as it must stay available.
    pub fn put_ended(&self, shared: &Shared, id: &SmolStr, state: State) {
        let now = shared.clock.now();
        let mut ended = self.ended.borrow_mut();
        if ended.len() >= MAX_ENDED_STATES {
            let retention = shared.settings.bounds.status_retention;
            ended.retain(|_, (_, at)| now < *at + retention);
        }
        if ended.len() < MAX_ENDED_STATES {
            ended.insert(id.clone(), (state, now));
        }
    }

    /// Returns whether the last call to the store failed and no probe has succeeded since.
    pub fn is_store_down(&self) -> bool {
        self.down_since.get().is_some()
    }

    /// Returns for how long calls to the store have failed; zero while it answers.
    pub fn outage_age(&self, now: Duration) -> Duration {
        let since = self.down_since.get().unwrap_or(now);
        now.saturating_sub(since)
    }

    /// Records that a call to the store failed, and probes the store until it answers.
    pub fn handle_store_failure(self: &Rc<Self>, shared: &Rc<Shared>, reason: &str) {
        if self.is_store_down() {
            return;
        }
        let since = shared.clock.now();
        self.down_since.set(Some(since));
        shared
            .log
            .emit(Event::StoreDown, "store", reason.to_owned());
        let (shared, cache) = (shared.clone(), self.clone());
        compio::runtime::spawn(async move {
            // A probe may hang on an unresponsive connection; the next one does not wait
            // for it.
            while cache.is_store_down() {
                compio::runtime::spawn(probe(shared.clone(), cache.clone())).detach();
                sleep(PROBE_INTERVAL).await;
            }
            let detail = format!(
                "after={:?} at={}",
                shared.clock.now() - since,
                cache.everything.revision.get()
            );
            shared.log.emit(Event::StoreBack, "store", detail);
        })
        .detach();
    }

    /// Returns a receiver of all later changes.
    pub fn subscribe(&self) -> mpsc::UnboundedReceiver<Change> {
        let (sender, receiver) = mpsc::unbounded();
        self.subscribers.borrow_mut().push(sender);
        receiver
    }

    /// Returns a job by its identifier.
    pub fn job(&self, id: &str) -> Option<StoredJob> {
        self.jobs.borrow().get(id).cloned()
    }

    /// Adds a record that this process has just read or written, unless a newer one is
    /// cached. Without the other records only the state of an ended job is kept.
    pub fn put_job(&self, shared: &Shared, id: &SmolStr, record: Rc<Record>, revision: u64) {
        if !self.follows_records() {
            if record.state().is_final() {
                self.put_ended(shared, id, record.state());
            }
            return;
        }
        let mut jobs = self.jobs.borrow_mut();
        if jobs.get(id).is_some_and(|s| s.revision >= revision) {
            return;
        }
        jobs.insert(id.clone(), StoredJob { record, revision });
        drop(jobs);
        self.publish(&Change::Job(id.clone()));
    }

    /// Adds a record that the placer of this gateway has written. The watch delivers it again,
    /// and it is not decoded then.
    pub fn put_written(&self, id: &SmolStr, record: Rc<Record>, revision: u64) {
        let mut revisions = self.revisions.borrow_mut();
        let known = revisions.entry(keys::job(id)).or_default();
        if *known < revision {
            *known = revision;
            let stored = StoredJob { record, revision };
            self.jobs.borrow_mut().insert(id.clone(), stored);
        }
    }

    fn publish(&self, change: &Change) {
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|s| s.unbounded_send(change.clone()).is_ok());
    }

    /// Applies a manifest if its version is above the current one.
    fn apply_manifest(&self, shared: &Shared, raw: &Bytes, source: &str) {
        let manifest = match (shared.store.decode_manifest)(raw) {
            Ok(manifest) => manifest,
            Err(detail) => {
                shared.log.emit(Event::ConfigRefused, source, detail);
                return;
            }
        };
        let current = self.manifest.borrow().as_ref().map(|m| m.version);
        if current.is_some_and(|v| v >= manifest.version) {
            return;
        }
        let detail = format!(
            "version={} before={current:?} queues={} accounts={} source={source}",
            manifest.version,
            manifest.queues.len(),
            manifest.accounts.len()
        );
        shared.log.emit(Event::ConfigApplied, "manifest", detail);
        shared
            .metrics
            .set_gauge("manifest_version", manifest.version);
        *self.raw_manifest.borrow_mut() = raw.clone();
        *self.packed_manifest.borrow_mut() = None;
        *self.manifest.borrow_mut() = Some(Rc::new(manifest));
        self.publish(&Change::Manifest);
    }

    /// Applies an item unless the same or a newer revision of its key is known.
    pub fn apply(&self, shared: &Shared, item: Item) {
        let prefix = self.evacuations.as_ref().map(|f| f.prefix.as_str());
        let key = keys::parse(&item.key, prefix);
        if matches!(key, Key::Job(_) | Key::Worker(_)) && !self.follows_records() {
            self.drops.set(self.drops.get() + 1);
            return;
        }
        let known = self.revisions.borrow().get(&item.key).copied().unwrap_or(0);
        if item.revision <= known {
            return;
        }
        self.revisions
            .borrow_mut()
            .insert(item.key.clone(), item.revision);
        if item.key == shared.store.manifest_key {
            if let Some(raw) = &item.value {
                self.apply_manifest(shared, raw, "store");
            }
            return;
        }
        match key {
            Key::Job(id) => self.apply_job(shared, id, &item),
            Key::Worker(name) => self.apply_worker(shared, name, &item),
            Key::Gateway(name) => self.apply_gateway(shared, name, &item),
            Key::Placer => {
                let holder = item.value.as_ref().map(|v| {
                    let text = String::from_utf8_lossy(v);
                    let name = text.split(' ').next().unwrap_or("");
                    (SmolStr::from(name), item.revision)
                });
                let epoch = holder.as_ref().map_or(0, |(_, epoch)| *epoch);
                shared.metrics.set_gauge("known_epoch", epoch);
                *self.placer.borrow_mut() = holder;
                self.publish(&Change::Placer);
            }
            Key::Evacuation(domain) => self.apply_evacuation(shared, domain, &item),
            Key::Other => {}
        }
    }

    /// Applies a request to evacuate a failure domain, or its cancellation. Its value has no meaning.
    fn apply_evacuation(&self, shared: &Shared, domain: SmolStr, item: &Item) {
        if !keys::is_domain(&domain) {
            let detail = format!("revision={} key={:?} is ignored", item.revision, item.key);
            let log = &shared.log;
            log.emit(Event::EvacuationUnreadable, "evacuation", detail);
            return;
        }
        let mut domains = (**self.evacuated.borrow()).clone();
        let has_changed = match item.value {
            Some(_) => domains.insert(domain),
            None => domains.remove(&domain),
        };
        if has_changed {
            *self.evacuated.borrow_mut() = Rc::new(domains);
            self.publish(&Change::Evacuations);
        }
    }

    fn apply_job(&self, shared: &Shared, id: SmolStr, item: &Item) {
        let Some(value) = &item.value else {
            self.jobs.borrow_mut().remove(&id);
            self.publish(&Change::JobDeleted(id));
            return;
        };
        match Record::decode(&id, value) {
            Ok(record) => self.put_job(shared, &id, Rc::new(record), item.revision),
            Err(e) => {
                let detail = format!("revision={} cannot decode the record: {e}", item.revision);
                shared.log.emit(Event::PeerRefused, id, detail);
            }
        }
    }

    fn apply_worker(&self, shared: &Shared, name: SmolStr, item: &Item) {
        let Some(value) = &item.value else {
            self.workers.borrow_mut().remove(&name);
            return;
        };
        let addr = std::str::from_utf8(value).ok().and_then(|t| t.parse().ok());
        match addr {
            Some(addr) => {
                self.workers.borrow_mut().insert(name.clone(), addr);
                self.publish(&Change::Worker(name, addr));
            }
            None => log_unreadable(shared, name, item),
        }
    }

    fn apply_gateway(&self, shared: &Shared, name: SmolStr, item: &Item) {
        let entry = item.value.as_ref().map(|value| {
            let text = std::str::from_utf8(value).ok();
            text.and_then(GatewayEntry::parse)
        });
        match entry {
            Some(Some(entry)) => {
                self.gateways.borrow_mut().insert(name, entry);
            }
            Some(None) => return log_unreadable(shared, name, item),
            None => {
                self.gateways.borrow_mut().remove(&name);
            }
        }
        let mut gateways = self.gateways.borrow().clone();
        shared
            .metrics
            .set_gauge("gateways_known", gateways.len() as u64);
        gateways
            .entry(self.name.clone())
            .or_insert_with(|| self.own.clone());
        let candidates = gateways.into_iter().map(|(name, entry)| Candidate {
            name,
            domain: entry.domain,
            capacity: entry.capacity,
        });
        *self.succession.borrow_mut() = succession::order(candidates);
        self.release_records();
    }

    /// Drops the records unless this gateway follows them, as they would become outdated.
    fn release_records(&self) {
        if self.rank().is_none() || self.follows_records() {
            return;
        }
        self.everything.synced.set(false);
        self.drops.set(self.drops.get() + 1);
        self.jobs.borrow_mut().clear();
        self.workers.borrow_mut().clear();
        self.revisions
            .borrow_mut()
            .retain(|key, _| !matches!(keys::parse(key, None), Key::Job(_) | Key::Worker(_)));
    }
}

fn log_unreadable(shared: &Shared, name: SmolStr, item: &Item) {
    let detail = format!("revision={} cannot parse the registration", item.revision);
    shared.log.emit(Event::PeerRefused, name, detail);
}

/// Marks the store as reachable if it answers.
async fn probe(shared: Rc<Shared>, cache: Rc<StoreCache>) {
    if (shared.store.get)(keys::PLACER_KEY.into()).await.is_ok() {
        cache.down_since.set(None);
    }
}
