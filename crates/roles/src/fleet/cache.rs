//! A local cache of the store's content, kept current by one watch.

use super::Shared;
use super::keys;
use super::keys::Key;
use super::port::Item;
use super::port::StoreError;
use bytes::Bytes;
use compio::time::sleep;
use futures_channel::mpsc;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_fleet::manifest::Manifest;
use hibiscusbarrow_fleet::record::Record;
use hibiscusbarrow_model::event::Event;
use smol_str::SmolStr;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);
/// The delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The time between two probes of a store that does not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// The cache may be out of date if its last successful update is older than this.
const MAX_AGE: Duration = Duration::from_millis(2_200);
/// The time between two requests to peers for a newer manifest.
const PEER_INTERVAL: Duration = Duration::from_millis(400);
/// The time that a peer may take to answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

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
#[derive(Default)]
pub struct StoreCache {
    /// The records of jobs.
    pub jobs: RefCell<HashMap<SmolStr, StoredJob>>,
    /// The addresses of sidecars.
    pub workers: RefCell<HashMap<SmolStr, SocketAddr>>,
    /// The addresses of gateways.
    pub gateways: RefCell<HashMap<SmolStr, SocketAddr>>,
    /// The holder of the placer's lease and the revision of its claim.
    pub placer: RefCell<Option<(SmolStr, u64)>>,
    manifest: RefCell<Option<Rc<Manifest>>>,
    /// The manifest as stored.
    raw_manifest: RefCell<Bytes>,
    /// The newest known revision of each key.
    revisions: RefCell<HashMap<SmolStr, u64>>,
    /// The revision of the store that the cache includes.
    revision: Cell<u64>,
    /// Whether the store was listed completely, so that a watch can continue from that
    /// listing.
    synced: Cell<bool>,
    /// When the last successful call that updates the cache was sent.
    confirmed_at: Cell<Option<Duration>>,
    /// Whether the last call to the store failed.
    store_down: Cell<bool>,
    subscribers: RefCell<Vec<mpsc::UnboundedSender<Change>>>,
}

impl StoreCache {
    /// Returns the current manifest.
    pub fn manifest(&self) -> Option<Rc<Manifest>> {
        self.manifest.borrow().clone()
    }

    /// Returns the manifest as stored if its version is above the given one.
    pub fn manifest_above(&self, version: u64) -> Option<(u64, Bytes)> {
        let current = self.manifest.borrow().as_ref()?.version;
        (current > version).then(|| (current, self.raw_manifest.borrow().clone()))
    }

    /// Returns the newest revision of the store that the cache includes.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Returns whether the cache was updated or confirmed within [`MAX_AGE`].
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.synced.get() && self.confirmed_at.get().is_some_and(|at| now < at + MAX_AGE)
    }

    /// Returns whether the last call to the store failed and no probe has succeeded since.
    pub fn is_store_down(&self) -> bool {
        self.store_down.get()
    }

    /// Records that a call to the store failed, and probes the store until it answers.
    pub fn handle_store_failure(self: &Rc<Self>, shared: &Rc<Shared>, reason: &str) {
        if self.store_down.replace(true) {
            return;
        }
        shared
            .log
            .emit(Event::StoreDown, "store", reason.to_owned());
        let (shared, cache) = (shared.clone(), self.clone());
        let since = shared.clock.now();
        compio::runtime::spawn(async move {
            // A probe may hang on an unresponsive connection; the next one does not wait
            // for it.
            while cache.store_down.get() {
                compio::runtime::spawn(probe(shared.clone(), cache.clone())).detach();
                sleep(PROBE_INTERVAL).await;
            }
            let detail = format!(
                "after={:?} at={}",
                shared.clock.now() - since,
                cache.revision()
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
    /// cached.
    pub fn put_job(&self, id: &SmolStr, record: Rc<Record>, revision: u64) {
        let mut jobs = self.jobs.borrow_mut();
        if jobs.get(id).is_some_and(|s| s.revision >= revision) {
            return;
        }
        jobs.insert(id.clone(), StoredJob { record, revision });
        drop(jobs);
        self.publish(&Change::Job(id.clone()));
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
        *self.manifest.borrow_mut() = Some(Rc::new(manifest));
        self.publish(&Change::Manifest);
    }

    /// Applies an item unless the same or a newer revision of its key is known.
    pub fn apply(&self, shared: &Shared, item: Item) {
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
        match keys::parse(&item.key) {
            Key::Job(id) => self.apply_job(shared, id, &item),
            Key::Worker(name) => {
                if let Some(addr) = self.apply_addr(shared, &self.workers, &name, &item) {
                    self.publish(&Change::Worker(name, addr));
                }
            }
            Key::Gateway(name) => {
                self.apply_addr(shared, &self.gateways, &name, &item);
                let known = self.gateways.borrow().len() as u64;
                shared.metrics.set_gauge("gateways_known", known);
            }
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
            Key::Other => {}
        }
    }

    fn apply_job(&self, shared: &Shared, id: SmolStr, item: &Item) {
        let Some(value) = &item.value else {
            self.jobs.borrow_mut().remove(&id);
            self.publish(&Change::JobDeleted(id));
            return;
        };
        match Record::decode(value) {
            Ok(record) => self.put_job(&id, Rc::new(record), item.revision),
            Err(e) => {
                let detail = format!("revision={} cannot decode the record: {e}", item.revision);
                shared.log.emit(Event::PeerRefused, id, detail);
            }
        }
    }

    fn apply_addr(
        &self,
        shared: &Shared,
        table: &RefCell<HashMap<SmolStr, SocketAddr>>,
        name: &SmolStr,
        item: &Item,
    ) -> Option<SocketAddr> {
        let Some(value) = &item.value else {
            table.borrow_mut().remove(name);
            return None;
        };
        let addr = std::str::from_utf8(value).ok().and_then(|t| t.parse().ok());
        match addr {
            Some(addr) => {
                table.borrow_mut().insert(name.clone(), addr);
            }
            None => {
                let detail = format!("revision={} cannot parse the address", item.revision);
                shared.log.emit(Event::PeerRefused, name.clone(), detail);
            }
        }
        addr
    }

    /// Lists the whole store and removes cached items that it no longer has.
    async fn resync(&self, shared: &Shared) -> Result<(), StoreError> {
        let mut after = SmolStr::default();
        let mut first = None;
        let mut listed: Vec<SmolStr> = Vec::new();
        loop {
            let page = (shared.store.list)((SmolStr::default(), after.clone())).await?;
            first.get_or_insert(page.revision);
            let last = page.items.last().map(|i| i.key.clone());
            for item in page.items {
                listed.push(item.key.clone());
                self.apply(shared, item);
            }
            match last.filter(|_| page.has_more) {
                Some(key) => after = key,
                None => break,
            }
        }
        let revision = first.unwrap_or(0);
        let known: Vec<SmolStr> = self.revisions.borrow().keys().cloned().collect();
        for key in known {
            let older = self.revisions.borrow()[&key] < revision;
            if older && !listed.contains(&key) {
                let deleted = Item {
                    key,
                    value: None,
                    revision,
                };
                self.apply(shared, deleted);
            }
        }
        self.revision.set(revision);
        self.synced.set(true);
        Ok(())
    }
}

/// Marks the store as reachable if it answers.
async fn probe(shared: Rc<Shared>, cache: Rc<StoreCache>) {
    if (shared.store.get)(keys::PLACER_KEY.into()).await.is_ok() {
        cache.store_down.set(false);
    }
}

/// Keeps the cache current until the process ends.
pub async fn follow(shared: Rc<Shared>, cache: Rc<StoreCache>) {
    loop {
        let sent = shared.clock.now();
        let result = if cache.synced.get() {
            watch_once(&shared, &cache).await
        } else {
            cache.resync(&shared).await
        };
        match result {
            Ok(()) => {
                cache.confirmed_at.set(Some(sent));
            }
            Err(StoreError::Compacted) => {
                let detail = format!(
                    "after={} the store no longer has this history; listing it again",
                    cache.revision()
                );
                shared.log.emit(Event::MirrorReset, "store", detail);
                cache.synced.set(false);
            }
            Err(e) => {
                cache.handle_store_failure(&shared, &e.to_string());
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits for changes once and applies them.
async fn watch_once(shared: &Shared, cache: &StoreCache) -> Result<(), StoreError> {
    // After a failure any answer shows that the store is back, so it must come at once.
    let wait = if cache.is_store_down() {
        Duration::ZERO
    } else {
        WATCH_WAIT
    };
    let page = (shared.store.watch)((cache.revision(), wait)).await?;
    for item in page.items {
        cache.apply(shared, item);
    }
    cache.revision.set(page.revision.max(cache.revision()));
    Ok(())
}

/// Requests a newer manifest from the other gateways while the cache is out of date.
pub async fn fetch_from_peers(shared: Rc<Shared>, cache: Rc<StoreCache>, rpc: Rc<RpcClient>) {
    loop {
        sleep(PEER_INTERVAL).await;
        if cache.is_fresh(shared.clock.now()) {
            continue;
        }
        let peers: Vec<(SmolStr, SocketAddr)> = {
            let gateways = cache.gateways.borrow();
            let others = gateways.iter().filter(|(n, _)| **n != shared.settings.name);
            others.map(|(n, a)| (n.clone(), *a)).collect()
        };
        for (name, addr) in peers {
            let version = cache.manifest().map_or(0, |m| m.version);
            match rpc.config(addr, version, PEER_TIMEOUT).await {
                Ok(Some((_, raw))) => cache.apply_manifest(&shared, &raw, &name),
                Ok(None) => {}
                Err(_) => rpc.disconnect(addr),
            }
        }
    }
}
