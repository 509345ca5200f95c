//! Reaching the store through another gateway when the own path fails.
//!
//! A call goes to the store directly; if it is refused, or not answered in the
//! usual time, another gateway is asked to make the same call. Every write of
//! the fleet roles names the revisions that it builds on, so that a write which
//! arrives twice takes effect once.

use super::port::Item;
use super::port::LocalBoxFuture;
use super::port::Outcome;
use super::port::Page;
use super::port::Store;
use super::port::StoreError;
use super::port::Txn;
use bytes::Bytes;
use compio::time::sleep;
use futures_util::future::Either;
use futures_util::future::select;
use hibiscusbarrow_adapters::log::EventLog;
use hibiscusbarrow_adapters::rpc::ForwardReply;
use hibiscusbarrow_adapters::rpc::ForwardRequest;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::event::Event;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// The name under which a gateway makes calls for others.
pub const STORE: &str = "store";

/// The wait for the store before another gateway is asked as well; a slow store
/// answers within a quarter second.
const PATIENCE: Duration = Duration::from_millis(320);
/// The longest wait for the gateway that makes the call.
const RELAY_LIMIT: Duration = Duration::from_millis(800);
/// The longest wait for changes at another gateway, in milliseconds.
const RELAYED_WAIT: u64 = 300;
/// The time for which a gateway that did not answer is not asked.
const PEER_REST: Duration = Duration::from_secs(2);
/// The pause between two probes of a path that failed.
const PROBE: Duration = Duration::from_millis(500);

/// Enumerates the calls that a gateway makes for others.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Call {
    /// Reads one key.
    Get(SmolStr),
    /// Reads a page of all keys with a prefix, after a key.
    List(SmolStr, SmolStr),
    /// Waits for changes after a revision, for so many milliseconds.
    Watch(u64, u64),
    /// Runs a transaction.
    Commit(Txn),
    /// Grants a lease of so many milliseconds.
    Grant(u64),
    /// Renews a lease.
    Renew(u64),
    /// Ends a lease.
    Revoke(u64),
}

/// Enumerates the answers to the calls.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Done {
    /// The item of a key.
    Got(Option<Item>),
    /// A page of a listing or of changes.
    Page(Page),
    /// The outcome of a transaction.
    Committed(Outcome),
    /// A lease.
    Granted(u64),
    /// Whether a lease still stood.
    Renewed(bool),
    /// The lease has ended.
    Revoked,
}

/// Makes calls directly or through others.
pub struct Relay {
    store: Store,
    rpc: Rc<RpcClient>,
    log: EventLog,
    peers: Rc<dyn Fn() -> Vec<SocketAddr>>,
    up: Cell<bool>,
    probing: Cell<bool>,
    /// The gateway that last made a call.
    good: Cell<Option<SocketAddr>>,
    /// When a gateway last failed to answer.
    failed: RefCell<HashMap<SocketAddr, Duration>>,
    clock: Clock,
}

/// Returns a store whose calls go through other gateways when they must.
pub fn relayed(
    store: Store,
    rpc: Rc<RpcClient>,
    log: EventLog,
    clock: Clock,
    peers: Rc<dyn Fn() -> Vec<SocketAddr>>,
) -> Store {
    let direct = store.clone();
    let relay = Rc::new(Relay {
        store,
        rpc,
        log,
        peers,
        up: Cell::new(true),
        probing: Cell::new(false),
        good: Cell::new(None),
        failed: RefCell::new(HashMap::new()),
        clock,
    });
    let r = || relay.clone();
    let (get, list, watch, commit) = (r(), r(), r(), r());
    let (grant, renew, revoke) = (r(), r(), r());
    Store {
        get: Rc::new(move |key| {
            let call = Call::Get(key);
            get.clone().make(call, PATIENCE, |d| match d {
                Done::Got(item) => Some(item),
                _ => None,
            })
        }),
        list: Rc::new(move |(prefix, after)| {
            let call = Call::List(prefix, after);
            list.clone().make(call, PATIENCE * 2, |d| match d {
                Done::Page(page) => Some(page),
                _ => None,
            })
        }),
        watch: Rc::new(move |(after, wait)| {
            let call = Call::Watch(after, wait.as_millis() as u64);
            watch.clone().make(call, wait + PATIENCE, |d| match d {
                Done::Page(page) => Some(page),
                _ => None,
            })
        }),
        commit: Rc::new(move |txn| {
            let call = Call::Commit(txn);
            commit.clone().make(call, PATIENCE, |d| match d {
                Done::Committed(outcome) => Some(outcome),
                _ => None,
            })
        }),
        grant: Rc::new(move |life| {
            let call = Call::Grant(life.as_millis() as u64);
            grant.clone().make(call, PATIENCE, |d| match d {
                Done::Granted(id) => Some(id),
                _ => None,
            })
        }),
        renew: Rc::new(move |id| {
            renew.clone().make(Call::Renew(id), PATIENCE, |d| match d {
                Done::Renewed(stood) => Some(stood),
                _ => None,
            })
        }),
        revoke: Rc::new(move |id| {
            revoke
                .clone()
                .make(Call::Revoke(id), PATIENCE, |d| match d {
                    Done::Revoked => Some(()),
                    _ => None,
                })
        }),
        ..direct
    }
}

/// Makes a call for another gateway.
pub async fn serve(store: Store, request: ForwardRequest) -> ForwardReply {
    let Ok(call) = postcard::from_bytes::<Call>(&request.body) else {
        return ForwardReply::failure(Code::BadRequest, "unreadable call");
    };
    let done = direct(&store, call).await;
    let body = postcard::to_allocvec(&done).expect("an answer serialises");
    ForwardReply {
        body: Bytes::from(body),
        ..ForwardReply::failure(Code::Done, "")
    }
}

async fn direct(store: &Store, call: Call) -> Result<Done, StoreError> {
    match call {
        Call::Get(key) => (store.get)(key).await.map(Done::Got),
        Call::List(prefix, after) => (store.list)((prefix, after)).await.map(Done::Page),
        Call::Watch(after, wait) => {
            let wait = Duration::from_millis(wait);
            (store.watch)((after, wait)).await.map(Done::Page)
        }
        Call::Commit(txn) => (store.commit)(txn).await.map(Done::Committed),
        Call::Grant(life) => {
            let life = Duration::from_millis(life);
            (store.grant)(life).await.map(Done::Granted)
        }
        Call::Renew(id) => (store.renew)(id).await.map(Done::Renewed),
        Call::Revoke(id) => (store.revoke)(id).await.map(|()| Done::Revoked),
    }
}

impl Relay {
    fn make<T: 'static>(
        self: Rc<Self>,
        call: Call,
        patience: Duration,
        unpack: fn(Done) -> Option<T>,
    ) -> LocalBoxFuture<Result<T, StoreError>> {
        Box::pin(async move {
            let done = if self.up.get() {
                self.hedge(call, patience).await
            } else {
                match self.through_peer(&call).await {
                    Err(StoreError::Compacted) => Err(StoreError::Compacted),
                    Err(_) => direct(&self.store, call).await,
                    done => done,
                }
            };
            let mixed = || StoreError::Unknown("the answer fits another call".into());
            done.and_then(|d| unpack(d).ok_or_else(mixed))
        })
    }

    /// Makes a call directly, and through a peer as well if that takes long or fails.
    async fn hedge(self: &Rc<Self>, call: Call, patience: Duration) -> Result<Done, StoreError> {
        let own = pin!(direct(&self.store, call.clone()));
        match select(own, pin!(sleep(patience))).await {
            Either::Left((Ok(done), _)) => Ok(done),
            Either::Left((Err(StoreError::Compacted), _)) => Err(StoreError::Compacted),
            Either::Left((Err(failure), _)) => {
                let done = self.through_peer(&call).await;
                if done.is_ok() {
                    self.fail_over(&failure.to_string());
                }
                // A refusal by a peer says nothing about an own call in doubt.
                done.map_err(|e| worse(failure, e))
            }
            Either::Right((_, own)) => {
                let relayed = pin!(self.through_peer(&call));
                match select(own, relayed).await {
                    Either::Left((Ok(done), _)) => Ok(done),
                    Either::Left((Err(failure), relayed)) => {
                        relayed.await.map_err(|e| worse(failure, e))
                    }
                    Either::Right((Ok(done), _)) => {
                        self.fail_over("no answer in the usual time");
                        Ok(done)
                    }
                    Either::Right((Err(e), own)) => own.await.map_err(|f| worse(f, e)),
                }
            }
        }
    }

    /// Has another gateway make a call.
    async fn through_peer(&self, call: &Call) -> Result<Done, StoreError> {
        let peers = self.choose_peers();
        let call = match call {
            Call::Watch(after, wait) => Call::Watch(*after, (*wait).min(RELAYED_WAIT)),
            other => other.clone(),
        };
        let body = postcard::to_allocvec(&call).expect("a call serialises");
        let request = ForwardRequest {
            service: STORE.into(),
            body: Bytes::from(body),
            ..ForwardRequest::default()
        };
        let mut failure = StoreError::Refused("no other gateway is known".into());
        for peer in peers {
            failure = match self.rpc.forward(peer, &request, RELAY_LIMIT).await {
                Ok(reply) if reply.code == Code::Done => {
                    match postcard::from_bytes::<Result<Done, StoreError>>(&reply.body) {
                        Ok(Ok(done)) => {
                            self.good.set(Some(peer));
                            return Ok(done);
                        }
                        Ok(Err(StoreError::Compacted)) => return Err(StoreError::Compacted),
                        Ok(Err(e)) => worse(failure, e),
                        Err(e) => StoreError::Unknown(e.to_string()),
                    }
                }
                Ok(reply) => worse(failure, StoreError::Refused(reply.detail.into())),
                Err(e) => {
                    self.rpc.disconnect(peer);
                    self.failed.borrow_mut().insert(peer, self.clock.now());
                    StoreError::Unknown(e.to_string())
                }
            };
        }
        Err(failure)
    }

    /// Returns the gateways to ask, the best first, without those that just failed.
    fn choose_peers(&self) -> Vec<SocketAddr> {
        let (now, good) = (self.clock.now(), self.good.get());
        let failed = self.failed.borrow();
        let rests = |p: &SocketAddr| failed.get(p).is_some_and(|at| now < *at + PEER_REST);
        let mut peers = (self.peers)();
        peers.retain(|p| !rests(p));
        peers.sort_by_key(|p| Some(*p) != good);
        peers
    }

    /// Uses other gateways until the own path answers again.
    fn fail_over(self: &Rc<Self>, why: &str) {
        self.up.set(false);
        if self.probing.replace(true) {
            return;
        }
        let detail = format!("calls go through another gateway: {why}");
        self.log.emit(Event::PathLost, "store", detail);
        let relay = self.clone();
        compio::runtime::spawn(async move {
            loop {
                sleep(PROBE).await;
                if (relay.store.get)(relay.store.manifest_key.clone())
                    .await
                    .is_ok()
                {
                    break;
                }
            }
            relay.up.set(true);
            relay.probing.set(false);
            relay
                .log
                .emit(Event::PathBack, "store", "calls go to the store directly");
        })
        .detach();
    }
}

/// Returns the failure that says less: a call in doubt stays in doubt.
fn worse(a: StoreError, b: StoreError) -> StoreError {
    match (a, b) {
        (StoreError::Unknown(detail), _) | (_, StoreError::Unknown(detail)) => {
            StoreError::Unknown(detail)
        }
        (a, _) => a,
    }
}
