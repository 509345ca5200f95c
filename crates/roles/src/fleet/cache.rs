//! A copy of the store's content, kept current by one watch.

use super::Shared;
use super::keys;
use super::keys::Kind;
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
const RETRY: Duration = Duration::from_millis(150);
/// The pause between two probes of a store that is lost.
const PROBE: Duration = Duration::from_millis(100);
/// A copy whose last confirmation is older than this may be behind.
const STALE: Duration = Duration::from_millis(2_200);
/// The pause between two questions to peers for a newer manifest.
const PEER_PAUSE: Duration = Duration::from_millis(400);
/// The longest wait for a peer's answer.
const PEER_LIMIT: Duration = Duration::from_millis(400);

/// Enumerates changes that the placer follows.
#[derive(Clone, Debug)]
pub enum Change {
    /// A job's record was written.
    Job(SmolStr),
    /// A job's record was deleted.
    JobGone(SmolStr),
    /// A sidecar entered its address.
    Worker(SmolStr, SocketAddr),
    /// Another manifest is in force.
    Manifest,
    /// The placer's key was written or deleted.
    Placer,
}

/// Holds the record of a job and its revision.
#[derive(Clone, Debug)]
pub struct Stored {
    /// The record.
    pub record: Rc<Record>,
    /// The revision.
    pub revision: u64,
}

/// Holds the copy.
#[derive(Default)]
pub struct StoreCache {
    /// The records of jobs.
    pub jobs: RefCell<HashMap<SmolStr, Stored>>,
    /// The addresses of sidecars.
    pub workers: RefCell<HashMap<SmolStr, SocketAddr>>,
    /// The addresses of gateways.
    pub gateways: RefCell<HashMap<SmolStr, SocketAddr>>,
    /// The holder of the placer's lease and the revision of its entry.
    pub placer: RefCell<Option<(SmolStr, u64)>>,
    manifest: RefCell<Option<Rc<Manifest>>>,
    raw: RefCell<Bytes>,
    revisions: RefCell<HashMap<SmolStr, u64>>,
    at: Cell<u64>,
    synced: Cell<bool>,
    confirmed: Cell<Option<Duration>>,
    lost: Cell<bool>,
    listeners: RefCell<Vec<mpsc::UnboundedSender<Change>>>,
}

impl StoreCache {
    /// Returns the manifest in force.
    pub fn manifest(&self) -> Option<Rc<Manifest>> {
        self.manifest.borrow().clone()
    }

    /// Returns the manifest as stored if its version is above the given one.
    pub fn manifest_above(&self, version: u64) -> Option<(u64, Bytes)> {
        let held = self.manifest.borrow().as_ref()?.version;
        (held > version).then(|| (held, self.raw.borrow().clone()))
    }

    /// Returns the newest revision that the copy includes.
    pub fn at(&self) -> u64 {
        self.at.get()
    }

    /// Tells whether the copy was confirmed lately.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.synced.get() && self.confirmed.get().is_some_and(|at| now < at + STALE)
    }

    /// Tells whether the last call to the store failed.
    pub fn is_lost(&self) -> bool {
        self.lost.get()
    }

    /// Takes in that a call to the store failed; probes it until it answers.
    pub fn lose(self: &Rc<Self>, shared: &Rc<Shared>, why: &str) {
        if self.lost.replace(true) {
            return;
        }
        shared.log.emit(Event::StoreDown, "store", why.to_owned());
        let (shared, cache) = (shared.clone(), self.clone());
        let since = shared.clock.now();
        compio::runtime::spawn(async move {
            // A probe may hang on a silent path; the next one does not wait for it.
            while cache.lost.get() {
                compio::runtime::spawn(probe(shared.clone(), cache.clone())).detach();
                sleep(PROBE).await;
            }
            let detail = format!("after={:?} at={}", shared.clock.now() - since, cache.at());
            shared.log.emit(Event::StoreBack, "store", detail);
        })
        .detach();
    }

    /// Returns a receiver of all further changes.
    pub fn subscribe(&self) -> mpsc::UnboundedReceiver<Change> {
        let (sender, receiver) = mpsc::unbounded();
        self.listeners.borrow_mut().push(sender);
        receiver
    }

    /// Returns a job.
    pub fn job(&self, id: &str) -> Option<Stored> {
        self.jobs.borrow().get(id).cloned()
    }

    /// Takes in a record that this process has just read or written.
    pub fn put_job(&self, id: &SmolStr, record: Rc<Record>, revision: u64) {
        let mut jobs = self.jobs.borrow_mut();
        if jobs.get(id).is_some_and(|s| s.revision >= revision) {
            return;
        }
        jobs.insert(id.clone(), Stored { record, revision });
        drop(jobs);
        self.tell(&Change::Job(id.clone()));
    }

    fn tell(&self, change: &Change) {
        let mut listeners = self.listeners.borrow_mut();
        listeners.retain(|l| l.unbounded_send(change.clone()).is_ok());
    }

    /// Puts a manifest into force unless a newer one is.
    fn adopt(&self, shared: &Shared, raw: &Bytes, source: &str) {
        let manifest = match (shared.store.decode_manifest)(raw) {
            Ok(manifest) => manifest,
            Err(detail) => {
                shared.log.emit(Event::ConfigRefused, source, detail);
                return;
            }
        };
        let held = self.manifest.borrow().as_ref().map(|m| m.version);
        if held.is_some_and(|v| v >= manifest.version) {
            return;
        }
        let detail = format!(
            "version={} before={held:?} queues={} accounts={} source={source}",
            manifest.version,
            manifest.queues.len(),
            manifest.accounts.len()
        );
        shared.log.emit(Event::ConfigApplied, "manifest", detail);
        shared
            .metrics
            .set_gauge("manifest_version", manifest.version);
        *self.raw.borrow_mut() = raw.clone();
        *self.manifest.borrow_mut() = Some(Rc::new(manifest));
        self.tell(&Change::Manifest);
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
                self.adopt(shared, raw, "store");
            }
            return;
        }
        match keys::kind(&item.key) {
            Kind::Job(id) => self.apply_job(shared, id, &item),
            Kind::Worker(name) => {
                if let Some(addr) = self.apply_addr(shared, &self.workers, &name, &item) {
                    self.tell(&Change::Worker(name, addr));
                }
            }
            Kind::Gateway(name) => {
                self.apply_addr(shared, &self.gateways, &name, &item);
            }
            Kind::Placer => {
                let holder = item.value.as_ref().map(|v| {
                    let text = String::from_utf8_lossy(v);
                    let name = text.split(' ').next().unwrap_or("");
                    (SmolStr::from(name), item.revision)
                });
                *self.placer.borrow_mut() = holder;
                self.tell(&Change::Placer);
            }
            Kind::Other => {}
        }
    }

    fn apply_job(&self, shared: &Shared, id: SmolStr, item: &Item) {
        let Some(value) = &item.value else {
            self.jobs.borrow_mut().remove(&id);
            self.tell(&Change::JobGone(id));
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
        let mut found: Vec<SmolStr> = Vec::new();
        loop {
            let page = (shared.store.list)((SmolStr::default(), after.clone())).await?;
            first.get_or_insert(page.revision);
            let last = page.items.last().map(|i| i.key.clone());
            for item in page.items {
                found.push(item.key.clone());
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
            if older && !found.contains(&key) {
                let gone = Item {
                    key,
                    value: None,
                    revision: at,
                };
                self.apply(shared, gone);
            }
        }
        self.at.set(at);
        self.synced.set(true);
        Ok(())
    }
}

/// Ends the loss of the store if it answers.
async fn probe(shared: Rc<Shared>, cache: Rc<StoreCache>) {
    if (shared.store.get)(keys::PLACER.into()).await.is_ok() {
        cache.lost.set(false);
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
                cache.confirmed.set(Some(sent));
            }
            Err(StoreError::Compacted) => {
                let detail = format!("after={} the history is gone; reading anew", cache.at());
                shared.log.emit(Event::MirrorReset, "store", detail);
                cache.synced.set(false);
            }
            Err(e) => {
                cache.lose(&shared, &e.to_string());
                sleep(RETRY).await;
            }
        }
    }
}

async fn watch_once(shared: &Shared, cache: &StoreCache) -> Result<(), StoreError> {
    // After a failure the answer itself is the news.
    let wait = if cache.is_lost() {
        Duration::ZERO
    } else {
        WATCH_WAIT
    };
    let page = (shared.store.watch)((cache.at(), wait)).await?;
    for item in page.items {
        cache.apply(shared, item);
    }
    cache.at.set(page.revision.max(cache.at()));
    Ok(())
}

/// Asks other gateways for a newer manifest while the store does not answer.
pub async fn ask_peers(shared: Rc<Shared>, cache: Rc<StoreCache>, rpc: Rc<RpcClient>) {
    loop {
        sleep(PEER_PAUSE).await;
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
            match rpc.config(addr, version, PEER_LIMIT).await {
                Ok(Some((_, raw))) => cache.adopt(&shared, &raw, &name),
                Ok(None) => {}
                Err(_) => rpc.disconnect(addr),
            }
        }
    }
}
