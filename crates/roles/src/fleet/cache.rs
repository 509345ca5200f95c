//! A copy of the store's content, kept current by one watch.

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
/// The pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The pause between two probes of a store that is lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// A copy whose last confirmation is older than this may be behind.
const MAX_AGE: Duration = Duration::from_millis(2_200);
/// The pause between two questions to peers for a newer manifest.
const PEER_INTERVAL: Duration = Duration::from_millis(400);
/// The longest wait for a peer's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Enumerates changes that the placer follows.
#[derive(Clone, Debug)]
pub enum Change {
    /// A job's record was written.
    Job(SmolStr),
    /// A job's record was deleted.
    JobDeleted(SmolStr),
    /// A sidecar entered its address.
    Worker(SmolStr, SocketAddr),
    /// Another manifest is in force.
    Manifest,
    /// The placer's key was written or deleted.
    Placer,
}

/// Holds the record of a job and its revision.
#[derive(Clone, Debug)]
pub struct StoredJob {
    /// The record.
    pub record: Rc<Record>,
    /// The revision.
    pub revision: u64,
}

/// Holds the copy.
#[derive(Default)]
pub struct StoreCache {
    /// The records of jobs.
    pub jobs: RefCell<HashMap<SmolStr, StoredJob>>,
    /// The addresses of sidecars.
    pub workers: RefCell<HashMap<SmolStr, SocketAddr>>,
    /// The addresses of gateways.
    pub gateways: RefCell<HashMap<SmolStr, SocketAddr>>,
    /// The holder of the placer's lease and the revision of its entry.
    pub placer: RefCell<Option<(SmolStr, u64)>>,
    manifest: RefCell<Option<Rc<Manifest>>>,
    raw_manifest: RefCell<Bytes>,
    revisions: RefCell<HashMap<SmolStr, u64>>,
    revision: Cell<u64>,
    synced: Cell<bool>,
    confirmed_at: Cell<Option<Duration>>,
    store_down: Cell<bool>,
    subscribers: RefCell<Vec<mpsc::UnboundedSender<Change>>>,
}

impl StoreCache {
    /// Returns the manifest in force.
    pub fn manifest(&self) -> Option<Rc<Manifest>> {
        self.manifest.borrow().clone()
    }

    /// Returns the manifest as stored if its version is above the given one.
    pub fn manifest_above(&self, version: u64) -> Option<(u64, Bytes)> {
        let current = self.manifest.borrow().as_ref()?.version;
        (current > version).then(|| (current, self.raw_manifest.borrow().clone()))
    }

    /// Returns the newest revision that the copy includes.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Tells whether the copy was confirmed_at lately.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.synced.get() && self.confirmed_at.get().is_some_and(|at| now < at + MAX_AGE)
    }

    /// Tells whether the last call to the store failed.
    pub fn is_store_down(&self) -> bool {
        self.store_down.get()
    }

    /// Takes in that a call to the store failed; probes it until it answers.
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
            // A probe may hang on a silent path; the next one does not wait for it.
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

    /// Returns a receiver of all further changes.
    pub fn subscribe(&self) -> mpsc::UnboundedReceiver<Change> {
        let (sender, receiver) = mpsc::unbounded();
        self.subscribers.borrow_mut().push(sender);
        receiver
    }

    /// Returns a job.
    pub fn job(&self, id: &str) -> Option<StoredJob> {
        self.jobs.borrow().get(id).cloned()
    }

    /// Takes in a record that this process has just read or written.
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
        subscribers.retain(|l| l.unbounded_send(change.clone()).is_ok());
    }

    /// Puts a manifest into force unless a newer one is.
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

    /// Takes in an item unless a newer one of its key is known.
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
            }
            Key::Placer => {
                let holder = item.value.as_ref().map(|v| {
                    let text = String::from_utf8_lossy(v);
                    let name = text.split(' ').next().unwrap_or("");
                    (SmolStr::from(name), item.revision)
                });
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
                let detail = format!("revision={} the record is unreadable: {e}", item.revision);
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
                let detail = format!("revision={} the address is unreadable", item.revision);
                shared.log.emit(Event::PeerRefused, name.clone(), detail);
            }
        }
        addr
    }

    /// Reads everything anew and drops what is no longer there.
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
        let at = first.unwrap_or(0);
        let known: Vec<SmolStr> = self.revisions.borrow().keys().cloned().collect();
        for key in known {
            let older = self.revisions.borrow()[&key] < at;
            if older && !listed.contains(&key) {
                let deleted = Item {
                    key,
                    value: None,
                    revision: at,
                };
                self.apply(shared, deleted);
            }
        }
        self.revision.set(at);
        self.synced.set(true);
        Ok(())
    }
}

/// Ends the loss of the store if it answers.
async fn probe(shared: Rc<Shared>, cache: Rc<StoreCache>) {
    if (shared.store.get)(keys::PLACER_KEY.into()).await.is_ok() {
        cache.store_down.set(false);
    }
}

/// Keeps the copy current until the process ends.
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
                    "after={} the history is gone; reading anew",
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

async fn watch_once(shared: &Shared, cache: &StoreCache) -> Result<(), StoreError> {
    // After a failure the answer itself is the news.
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

/// Asks other gateways for a newer manifest while the store does not answer.
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
