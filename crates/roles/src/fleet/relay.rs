//! Store calls through another gateway, for when the direct path to the store fails.
//!
//! A call goes to the store directly. If it is refused or not answered in the usual time,
//! other gateways are asked to make the same call. Every write of the fleet roles is
//! conditional on the revisions that it builds on, so that a write which arrives twice
//! takes effect once.

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
use hibiscusbarrow_adapters::rpc::RpcError;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::event::Event;
use rand::seq::SliceRandom;
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

/// The name of the service for relayed store calls.
pub const SERVICE: &str = "store";

/// The wait for the store before another gateway is asked as well; a slow store answers
/// within 250 ms.
const HEDGE_DELAY: Duration = Duration::from_millis(320);
/// The time that another gateway may take for a relayed call.
const RELAY_TIMEOUT: Duration = Duration::from_millis(800);
/// The longest wait of a relayed watch for changes, in milliseconds.
const MAX_RELAYED_WAIT_MS: u64 = 300;
/// How long a gateway that did not answer is not asked again.
const PEER_COOLDOWN: Duration = Duration::from_secs(2);
/// The most gateways that are asked for one call. Each of them calls the store, so that a call
/// during an outage of the store is made at most this many times more.
const MAX_PEERS: usize = 3;
/// How long no gateway is asked after all that were asked could not reach the store either.
const OUTAGE_COOLDOWN: Duration = Duration::from_millis(500);
/// The time between two probes of the direct path after it failed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A store call that a gateway makes for another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Call {
    /// Reads one key.
    Get(SmolStr),
    /// Reads a page of all keys with a prefix, after a key.
    List(SmolStr, SmolStr),
    /// Waits for changes of all keys with a prefix after a revision, for at most the given
    /// number of milliseconds.
    Watch(SmolStr, u64, u64),
    /// Runs a transaction.
    Commit(Txn),
    /// Grants a lease with a time to live in milliseconds.
    Grant(u64),
    /// Renews a lease.
    Renew(u64),
    /// Ends a lease.
    Revoke(u64),
}

/// The successful response to a relayed call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Response {
    /// The item of a key.
    Got(Option<Item>),
    /// A page of a listing or of changes.
    Page(Page),
    /// The outcome of a transaction.
    Committed(Outcome),
    /// The identifier of the granted lease.
    Granted(u64),
    /// Whether the lease was still valid.
    Renewed(bool),
    /// The lease has ended.
    Revoked,
}

/// Makes store calls directly or through other gateways.
pub struct Relay {
    store: Store,
    rpc: Rc<RpcClient>,
    log: EventLog,
    peers: Rc<dyn Fn() -> Vec<SocketAddr>>,
    /// Whether the direct path works.
    store_reachable: Cell<bool>,
    /// Whether a task probes the direct path.
    probing: Cell<bool>,
    /// The gateway that last made a call successfully.
    preferred: Cell<Option<SocketAddr>>,
    /// When a gateway last failed to answer.
    failed_at: RefCell<HashMap<SocketAddr, Duration>>,
    /// When gateways were last asked and none could reach the store.
    outage_at: Cell<Option<Duration>>,
    clock: Clock,
}

/// Returns a store whose calls fall back to other gateways when the direct path fails.
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
        store_reachable: Cell::new(true),
        probing: Cell::new(false),
        preferred: Cell::new(None),
        failed_at: RefCell::new(HashMap::new()),
        outage_at: Cell::new(None),
        clock,
    });
    let r = || relay.clone();
    let (get, list, watch, commit) = (r(), r(), r(), r());
    let (grant, renew, revoke) = (r(), r(), r());
    Store {
        get: Rc::new(move |key| {
            let call = Call::Get(key);
            get.clone().call(call, HEDGE_DELAY, |r| match r {
                Response::Got(item) => Some(item),
                _ => None,
            })
        }),
        list: Rc::new(move |(prefix, after)| {
            let call = Call::List(prefix, after);
            list.clone().call(call, HEDGE_DELAY * 2, |r| match r {
                Response::Page(page) => Some(page),
                _ => None,
            })
        }),
        watch: Rc::new(move |(prefix, after, wait)| {
            let call = Call::Watch(prefix, after, wait.as_millis() as u64);
            watch.clone().call(call, wait + HEDGE_DELAY, |r| match r {
                Response::Page(page) => Some(page),
                _ => None,
            })
        }),
        commit: Rc::new(move |txn| {
            let call = Call::Commit(txn);
            commit.clone().call(call, HEDGE_DELAY, |r| match r {
                Response::Committed(outcome) => Some(outcome),
                _ => None,
            })
        }),
        grant: Rc::new(move |ttl| {
            let call = Call::Grant(ttl.as_millis() as u64);
            grant.clone().call(call, HEDGE_DELAY, |r| match r {
                Response::Granted(id) => Some(id),
                _ => None,
            })
        }),
        renew: Rc::new(move |id| {
            renew
                .clone()
                .call(Call::Renew(id), HEDGE_DELAY, |r| match r {
                    Response::Renewed(valid) => Some(valid),
                    _ => None,
                })
        }),
        revoke: Rc::new(move |id| {
            revoke
                .clone()
                .call(Call::Revoke(id), HEDGE_DELAY, |r| match r {
                    Response::Revoked => Some(()),
                    _ => None,
                })
        }),
        ..direct
    }
}

/// Makes a store call for another gateway.
pub async fn serve(store: Store, request: ForwardRequest) -> ForwardReply {
    let Ok(call) = postcard::from_bytes::<Call>(&request.body) else {
        return ForwardReply::failure(Code::BadRequest, "cannot decode the call");
    };
    let response = call_store(&store, call).await;
    let body = postcard::to_allocvec(&response).expect("a response can be serialized");
    ForwardReply {
        body: Bytes::from(body),
        ..ForwardReply::failure(Code::Done, "")
    }
}

/// Makes a call directly.
async fn call_store(store: &Store, call: Call) -> Result<Response, StoreError> {
    match call {
        Call::Get(key) => (store.get)(key).await.map(Response::Got),
        Call::List(prefix, after) => (store.list)((prefix, after)).await.map(Response::Page),
        Call::Watch(prefix, after, wait) => {
            let wait = Duration::from_millis(wait);
            let page = (store.watch)((prefix, after, wait)).await;
            page.map(Response::Page)
        }
        Call::Commit(txn) => (store.commit)(txn).await.map(Response::Committed),
        Call::Grant(ttl) => {
            let ttl = Duration::from_millis(ttl);
            (store.grant)(ttl).await.map(Response::Granted)
        }
        Call::Renew(id) => (store.renew)(id).await.map(Response::Renewed),
        Call::Revoke(id) => (store.revoke)(id).await.map(|()| Response::Revoked),
    }
}

impl Relay {
    /// Makes a call by the path that works, and unpacks its response.
    fn call<T: 'static>(
        self: Rc<Self>,
        call: Call,
        hedge_delay: Duration,
        unpack: fn(Response) -> Option<T>,
    ) -> LocalBoxFuture<Result<T, StoreError>> {
        Box::pin(async move {
            let response = if self.store_reachable.get() {
                self.hedge(call, hedge_delay).await
            } else {
                match self.call_peers(&call).await {
                    Err(StoreError::Compacted) => Err(StoreError::Compacted),
                    // A refusal by the store does not settle an unconfirmed call of a peer.
                    Err(failure) => call_store(&self.store, call)
                        .await
                        .map_err(|e| less_certain(failure, e)),
                    response => response,
                }
            };
            let mismatch =
                || StoreError::Unknown("the response belongs to another kind of call".into());
            response.and_then(|r| unpack(r).ok_or_else(mismatch))
        })
    }

    /// Makes a call directly, and also through peers if it fails or takes longer than
    /// `hedge_delay`.
    async fn hedge(
        self: &Rc<Self>,
        call: Call,
        hedge_delay: Duration,
    ) -> Result<Response, StoreError> {
        let direct = pin!(call_store(&self.store, call.clone()));
        match select(direct, pin!(sleep(hedge_delay))).await {
            Either::Left((Ok(response), _)) => Ok(response),
            Either::Left((Err(StoreError::Compacted), _)) => Err(StoreError::Compacted),
            Either::Left((Err(failure), _)) => {
                let response = self.call_peers(&call).await;
                if response.is_ok() {
                    self.fail_over(&failure.to_string());
                }
                // A refusal by a peer does not settle an unconfirmed direct call.
                response.map_err(|e| less_certain(failure, e))
            }
            Either::Right((_, direct)) => {
                let relayed = pin!(self.call_peers(&call));
                match select(direct, relayed).await {
                    Either::Left((Ok(response), _)) => Ok(response),
                    Either::Left((Err(failure), relayed)) => {
                        relayed.await.map_err(|e| less_certain(failure, e))
                    }
                    Either::Right((Ok(response), _)) => {
                        self.fail_over("the store did not answer in the usual time");
                        Ok(response)
                    }
                    Either::Right((Err(e), direct)) => direct.await.map_err(|f| less_certain(f, e)),
                }
            }
        }
    }

    /// Asks other gateways, one after the other, to make a call.
    async fn call_peers(&self, call: &Call) -> Result<Response, StoreError> {
        let peers = self.choose_peers();
        let call = match call {
            Call::Watch(prefix, after, wait) => {
                Call::Watch(prefix.clone(), *after, (*wait).min(MAX_RELAYED_WAIT_MS))
            }
            other => other.clone(),
        };
        let body = postcard::to_allocvec(&call).expect("a call can be serialized");
        let request = ForwardRequest {
            service: SERVICE.into(),
            body: Bytes::from(body),
            ..ForwardRequest::default()
        };
        let mut failure = StoreError::Refused("no other gateway is asked".into());
        let asked = !peers.is_empty();
        for peer in peers {
            failure = match self.rpc.forward(peer, &request, RELAY_TIMEOUT).await {
                Ok(reply) if reply.code == Code::Done => {
                    match postcard::from_bytes::<Result<Response, StoreError>>(&reply.body) {
                        Ok(Ok(response)) => {
                            self.preferred.set(Some(peer));
                            self.outage_at.set(None);
                            return Ok(response);
                        }
                        Ok(Err(StoreError::Compacted)) => return Err(StoreError::Compacted),
                        Ok(Err(e)) => less_certain(failure, e),
                        Err(e) => StoreError::Unknown(e.to_string()),
                    }
                }
                Ok(reply) => less_certain(failure, StoreError::Refused(reply.detail.into())),
                Err(e) => {
                    self.rpc.disconnect(peer);
                    self.failed_at.borrow_mut().insert(peer, self.clock.now());
                    let detail = e.to_string();
                    match e {
                        RpcError::NotSent(_) => less_certain(failure, StoreError::Refused(detail)),
                        RpcError::Unanswered(_) => StoreError::Unknown(detail),
                    }
                }
            };
        }
        if asked {
            self.outage_at.set(Some(self.clock.now()));
        }
        Err(failure)
    }

    /// Returns the gateways to ask: a random choice without those in cooldown, the preferred
    /// one first; none while the store is down for all.
    fn choose_peers(&self) -> Vec<SocketAddr> {
        let (now, preferred) = (self.clock.now(), self.preferred.get());
        let outage_at = self.outage_at.get();
        if outage_at.is_some_and(|at| now < at + OUTAGE_COOLDOWN) {
            return Vec::new();
        }
        let failed_at = self.failed_at.borrow();
        let cooling_down =
            |p: &SocketAddr| failed_at.get(p).is_some_and(|at| now < *at + PEER_COOLDOWN);
        let mut peers = (self.peers)();
        peers.retain(|p| !cooling_down(p));
        peers.shuffle(&mut rand::rng());
        peers.sort_by_key(|p| Some(*p) != preferred);
        peers.truncate(MAX_PEERS);
        peers
    }

    /// Routes calls through other gateways until the direct path works again.
    fn fail_over(self: &Rc<Self>, reason: &str) {
        self.store_reachable.set(false);
        if self.probing.replace(true) {
            return;
        }
        let detail = format!("store calls go through other gateways: {reason}");
        self.log.emit(Event::PathLost, "store", detail);
        let relay = self.clone();
        compio::runtime::spawn(async move {
            loop {
                sleep(PROBE_INTERVAL).await;
                if (relay.store.get)(relay.store.manifest_key.clone())
                    .await
                    .is_ok()
                {
                    break;
                }
            }
            relay.store_reachable.set(true);
            relay.probing.set(false);
            relay
                .log
                .emit(Event::PathBack, "store", "store calls go directly again");
        })
        .detach();
    }
}

/// Returns the less certain of two failures: a call that may have taken effect stays
/// unconfirmed.
fn less_certain(a: StoreError, b: StoreError) -> StoreError {
    match (a, b) {
        (StoreError::Unknown(detail), _) | (_, StoreError::Unknown(detail)) => {
            StoreError::Unknown(detail)
        }
        (a, _) => a,
    }
}
