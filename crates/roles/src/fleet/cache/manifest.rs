//! Keeps the manifest in force within its bound.
//!
//! The store confirms the manifest by watches. A gateway that the store does not confirm in time
//! asks other gateways, which say how long ago theirs was confirmed.

use super::StoreCache;
use crate::fleet::Shared;
use crate::fleet::port::Item;
use crate::fleet::port::Page;
use crate::fleet::port::Store;
use crate::fleet::port::StoreError;
use bytes::Bytes;
use compio::time::sleep;
use compio::time::timeout;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use futures_channel::mpsc;
use futures_util::StreamExt;
use hibiscusbarrow_adapters::rpc::ForwardReply;
use hibiscusbarrow_adapters::rpc::ForwardRequest;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_coordination::freshness::Poll;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::event::Event;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The name of the service for questions about the manifest.
pub const SERVICE: &str = "configuration";

/// The mean delay before the manifest is read again because the store has dropped its history.
const RESYNC_DELAY: Duration = Duration::from_millis(40);
/// The delay after the first failed call to the store; it doubles with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// How often the age of the manifest is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The time between two polls of other gateways.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// The same once the store answers nobody.
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(450);
/// The time that gateways have to answer in a poll, which leaves time for several polls within the
/// shortest bound.
const POLL_TIMEOUT: Duration = Duration::from_millis(250);
/// The time that a gateway may take to send the manifest.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a gateway that did not answer is not asked again.
const PEER_COOLDOWN: Duration = Duration::from_secs(1);
/// The number of gateways that a poll asks.
const PEERS: usize = 3;
/// The same once the manifest is almost too old.
const MANY_PEERS: usize = 24;

/// A question to another gateway about its manifest.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
enum Question {
    /// Asks for the version and its age.
    Version,
    /// Asks for the manifest as well.
    Manifest,
}

/// The manifest of a gateway that answers.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Answer {
    version: u64,
    /// How long ago the version was confirmed, in milliseconds; none if it never was.
    age_ms: Option<u64>,
    /// The compressed manifest, if it was asked for.
    packed: Option<Bytes>,
}

/// The path by which the manifest is read from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reading {
    /// A watch for versions after a revision, which returns each of them in full.
    Watch(u64),
    /// A read of the newest version only. `known` is the revision that the last read returned.
    Newest { known: u64 },
}

/// Keeps the manifest current by calls to the store, until the process ends.
///
/// A gateway that falls behind reads the newest version alone. The versions that a watch would
/// return grow with each change until they take longer than the call may.
pub async fn follow_manifest(shared: Rc<Shared>, cache: Rc<StoreCache>, store: Store) {
    let mut reading = Reading::Newest { known: 0 };
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let sent = shared.clock.now();
        match read(&cache, &store, reading).await {
            Ok(page) => {
                if retry_delay > MIN_RETRY_DELAY {
                    let detail = format!("revision={}", page.revision);
                    shared.log.emit(Event::StoreBack, "manifest", detail);
                }
                retry_delay = MIN_RETRY_DELAY;
                reading = apply_page(&shared, &cache, page, reading);
                cache.freshness.borrow_mut().confirm(Some(sent));
            }
            Err(StoreError::Compacted) => {
                reading = Reading::Newest { known: 0 };
                sleep(RESYNC_DELAY.mul_f64(rand::random_range(0.5..1.5))).await;
            }
            Err(e) => {
                if retry_delay == MIN_RETRY_DELAY {
                    let detail = format!("{reading:?} waited={:?} {e}", shared.clock.now() - sent);
                    shared.log.emit(Event::StoreDown, "manifest", detail);
                }
                reading = Reading::Newest { known: 0 };
                sleep(retry_delay).await;
                retry_delay = (2 * retry_delay).min(MAX_RETRY_DELAY);
            }
        }
    }
}

async fn read(cache: &StoreCache, store: &Store, reading: Reading) -> Result<Page, StoreError> {
    let key = store.manifest_key.clone();
    match reading {
        Reading::Newest { .. } => (store.list)((key, SmolStr::default())).await,
        Reading::Watch(after) => {
            let wait = cache.freshness.borrow().confirm_interval();
            (store.watch)((key, after, wait)).await
        }
    }
}

/// Applies the newest version of a page, and returns how to read on.
fn apply_page(shared: &Shared, cache: &StoreCache, page: Page, reading: Reading) -> Reading {
    let is_manifest = |item: &Item| item.key == shared.store.manifest_key;
    let versions = page.items.iter().filter(|i| is_manifest(i)).count();
    let items = page.items.into_iter().filter(is_manifest);
    let newest = items.max_by_key(|item| item.revision);
    let revision = newest.as_ref().map_or(0, |item| item.revision);
    if let Some(item) = newest {
        cache.apply(shared, item);
    }
    let is_behind = match reading {
        Reading::Watch(_) => versions > 1,
        Reading::Newest { known } => known > 0 && revision > known,
    };
    if is_behind {
        Reading::Newest { known: revision }
    } else {
        Reading::Watch(page.revision)
    }
}

/// Asks other gateways whenever the store does not confirm the manifest in time, until the process
/// ends.
pub async fn poll_peers(shared: Rc<Shared>, cache: Rc<StoreCache>, rpc: Rc<RpcClient>) {
    let poller = Rc::new(Poller {
        shared,
        cache,
        rpc,
        failed_at: RefCell::default(),
        preferred: Cell::new(None),
    });
    let mut allows_use = true;
    loop {
        let now = poller.shared.clock.now();
        poller.report(&mut allows_use, now);
        let freshness = poller.cache.freshness.borrow().clone();
        if !freshness.needs_peers(now) {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        poller.poll(freshness.is_almost_too_old(now)).await;
        let freshness = poller.cache.freshness.borrow().clone();
        let now = poller.shared.clock.now();
        let is_outage = !freshness.is_proven(now) && freshness.allows_use(now);
        sleep(if is_outage {
            OUTAGE_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        })
        .await;
    }
}

/// Asks other gateways about their manifest.
struct Poller {
    shared: Rc<Shared>,
    cache: Rc<StoreCache>,
    rpc: Rc<RpcClient>,
    /// When a gateway last failed to answer.
    failed_at: RefCell<HashMap<SocketAddr, Duration>>,
    /// The gateway that last proved its manifest.
    preferred: Cell<Option<SocketAddr>>,
}

impl Poller {
    /// Logs when callers begin to be refused, or are served again, because of the manifest's age.
    fn report(&self, allowed: &mut bool, now: Duration) {
        let freshness = self.cache.freshness.borrow();
        let age = freshness.age(now);
        let age_ms = age.map_or(0, |age| age.as_millis() as u64);
        let metrics = &self.shared.metrics;
        metrics.set_gauge("manifest_age_ms", age_ms);
        let allows_use = freshness.allows_use(now) || self.cache.manifest().is_none();
        if std::mem::replace(allowed, allows_use) == allows_use {
            return;
        }
        let version = self.cache.manifest().map_or(0, |m| m.version);
        let detail = format!("version={version} age={age:?}");
        let event = if allows_use {
            Event::ConfigProven
        } else {
            Event::ConfigUnproven
        };
        self.shared.log.emit(event, "manifest", detail);
    }

    /// Asks some gateways at the same time, until one proves its manifest or the time is over.
    async fn poll(self: &Rc<Self>, asks_many: bool) {
        let count = if asks_many { MANY_PEERS } else { PEERS };
        let (peers, asked) = self.choose_peers(count);
        let (sender, mut answers) = mpsc::unbounded();
        for peer in peers {
            let (poller, sender) = (self.clone(), sender.clone());
            // The task ends by itself. A dropped call would leave its new connection open.
            compio::runtime::spawn(async move {
                let sent = poller.shared.clock.now();
                let answer = poller.ask(peer, Question::Version, POLL_TIMEOUT).await;
                let _ = sender.unbounded_send((peer, sent, answer));
            })
            .detach();
        }
        drop(sender);
        let mut poll = Poll {
            asked,
            ..Poll::default()
        };
        let _ = timeout(POLL_TIMEOUT, async {
            while let Some((peer, sent, answer)) = answers.next().await {
                let Some(answer) = answer else { continue };
                poll.answered += 1;
                poll.proven |= self.is_proven(&answer, sent);
                if self.take(peer, sent, &answer) {
                    break;
                }
            }
        })
        .await;
        let now = self.shared.clock.now();
        if asks_many {
            self.cache.freshness.borrow_mut().record_poll(poll, now);
        }
    }

    /// Uses an answer, and returns whether the manifest is proven by it.
    fn take(self: &Rc<Self>, peer: SocketAddr, sent: Duration, answer: &Answer) -> bool {
        if self.is_proven(answer, sent) {
            self.preferred.set(Some(peer));
        }
        let version = self.cache.manifest().map_or(0, |m| m.version);
        if answer.version > version {
            self.fetch(peer);
        }
        self.confirm(sent, answer)
    }

    /// Confirms the manifest by an answer with the same version, and returns whether that proves it.
    fn confirm(&self, sent: Duration, answer: &Answer) -> bool {
        let version = self.cache.manifest().map(|m| m.version);
        if version != Some(answer.version) {
            return false;
        }
        let mut freshness = self.cache.freshness.borrow_mut();
        freshness.confirm(confirmed_at(answer, sent));
        self.is_proven(answer, sent)
    }

    /// Fetches the manifest of a gateway, unless another transfer is in progress.
    fn fetch(self: &Rc<Self>, peer: SocketAddr) {
        if self.cache.fetching.replace(true) {
            return;
        }
        let poller = self.clone();
        compio::runtime::spawn(async move {
            let sent = poller.shared.clock.now();
            let answer = poller.ask(peer, Question::Manifest, FETCH_TIMEOUT).await;
            poller.cache.fetching.set(false);
            let Some(answer) = answer else { return };
            let limit = poller.shared.settings.bounds.max_record;
            let packed = answer.packed.clone().unwrap_or_default();
            match unpack(&packed, limit) {
                Ok(raw) => {
                    let (shared, source) = (&poller.shared, peer.to_string());
                    poller.cache.apply_manifest(shared, &raw, &source);
                }
                Err(e) => {
                    let detail = format!("cannot decompress the manifest of {peer}: {e}");
                    let log = &poller.shared.log;
                    log.emit(Event::PeerRefused, "manifest", detail);
                }
            }
            poller.confirm(sent, &answer);
        })
        .detach();
    }

    fn is_proven(&self, answer: &Answer, sent: Duration) -> bool {
        let bound = self.shared.settings.config_bound;
        let now = self.shared.clock.now();
        confirmed_at(answer, sent).is_some_and(|at| now.saturating_sub(at) <= bound)
    }

    /// Returns gateways that may answer, and how many were chosen with those that failed lately: first
    /// the one that last proved its manifest, then those with the largest capacity.
    fn choose_peers(&self, count: usize) -> (Vec<SocketAddr>, usize) {
        let (now, preferred) = (self.shared.clock.now(), self.preferred.get());
        let mut peers = self.cache.peers();
        peers.shuffle(&mut rand::rng());
        peers.sort_by_key(|(addr, capacity)| {
            (Some(*addr) != preferred, std::cmp::Reverse(*capacity))
        });
        peers.truncate(count);
        let chosen = peers.len();
        let failed_at = self.failed_at.borrow();
        let cools_down = |addr: &SocketAddr| {
            let failed_at = failed_at.get(addr);
            failed_at.is_some_and(|at| now < *at + PEER_COOLDOWN)
        };
        let addrs = peers.into_iter().map(|(addr, _)| addr);
        (addrs.filter(|a| !cools_down(a)).collect(), chosen)
    }

    async fn ask(
        &self,
        peer: SocketAddr,
        question: Question,
        call_timeout: Duration,
    ) -> Option<Answer> {
        let body = postcard::to_allocvec(&question).expect("a question can be serialized");
        let request = ForwardRequest {
            service: SERVICE.into(),
            body: Bytes::from(body),
            ..ForwardRequest::default()
        };
        match self.rpc.forward(peer, &request, call_timeout).await {
            Ok(reply) if reply.code == Code::Done => postcard::from_bytes(&reply.body).ok(),
            Ok(_) => None,
            Err(_) => {
                let now = self.shared.clock.now();
                self.failed_at.borrow_mut().insert(peer, now);
                self.rpc.disconnect(peer);
                None
            }
        }
    }
}

/// Returns when the manifest of an answer was confirmed at the earliest; none if it never was.
fn confirmed_at(answer: &Answer, sent: Duration) -> Option<Duration> {
    sent.checked_sub(Duration::from_millis(answer.age_ms?))
}

/// Answers a question of another gateway.
pub fn handle(cache: &StoreCache, shared: &Shared, request: &ForwardRequest) -> ForwardReply {
    let question = match postcard::from_bytes(&request.body) {
        Ok(question) => question,
        Err(e) => return ForwardReply::failure(Code::BadRequest, e.to_string()),
    };
    let Some(manifest) = cache.manifest() else {
        return ForwardReply::failure(Code::NotReady, "");
    };
    let age = cache.freshness.borrow().age(shared.clock.now());
    let answer = Answer {
        version: manifest.version,
        age_ms: age.map(|age| age.as_millis() as u64 + 1),
        packed: matches!(question, Question::Manifest).then(|| cache.packed_manifest()),
    };
    let body = postcard::to_allocvec(&answer).expect("an answer can be serialized");
    ForwardReply {
        body: Bytes::from(body),
        ..ForwardReply::failure(Code::Done, "")
    }
}

/// Compresses a manifest for other gateways, some of which have slow links.
pub fn pack(raw: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder
        .write_all(raw)
        .and_then(|()| encoder.finish())
        .map(Bytes::from)
        .expect("memory can be written to")
}

/// Decompresses a manifest of at most `limit` bytes.
fn unpack(packed: &[u8], limit: usize) -> Result<Bytes, String> {
    let mut raw = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(limit as u64 + 1);
    decoder.read_to_end(&mut raw).map_err(|e| e.to_string())?;
    if raw.len() > limit {
        return Err(format!("it exceeds {limit} bytes"));
    }
    Ok(Bytes::from(raw))
}
