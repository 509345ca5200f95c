//! Reaching the store through another gateway when the direct path fails.
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
pub const SERVICE: &str = "store";

/// The wait for the store before another gateway is asked as well; a slow store
/// answers within a quarter second.
const HEDGE_DELAY: Duration = Duration::from_millis(320);
/// The longest wait for the gateway that makes the call.
const RELAY_TIMEOUT: Duration = Duration::from_millis(800);
/// The longest wait for changes at another gateway, in milliseconds.
const MAX_RELAYED_WAIT_MS: u64 = 300;
/// The time for which a gateway that did not answer is not asked.
const PEER_COOLDOWN: Duration = Duration::from_secs(2);
/// The pause between two probes of a path that failed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

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
pub enum Response {
    /// The item of a key.
    Got(Option<Item>),
    /// A page of a listing or of changes.
    Page(Page),
    /// The outcome of a transaction.
    Committed(Outcome),
    /// A lease.
    Granted(u64),
    /// Whether a lease still valid.
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
    store_reachable: Cell<bool>,
    probing: Cell<bool>,
    /// The gateway that last made a call.
    preferred: Cell<Option<SocketAddr>>,
    /// When a gateway last failed to answer.
    failed_at: RefCell<HashMap<SocketAddr, Duration>>,
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
        store_reachable: Cell::new(true),
        probing: Cell::new(false),
        preferred: Cell::new(None),
        failed_at: RefCell::new(HashMap::new()),
        clock,
    });
    let r = || relay.clone();
    let (get, list, watch, commit) = (r(), r(), r(), r());
    let (grant, renew, revoke) = (r(), r(), r());
    Store {
        get: Rc::new(move |key| {
            let call = Call::Get(key);
            get.clone().call(call, HEDGE_DELAY, |d| match d {
                Response::Got(item) => Some(item),
                _ => None,
            })
        }),
        list: Rc::new(move |(prefix, after)| {
            let call = Call::List(prefix, after);
            list.clone().call(call, HEDGE_DELAY * 2, |d| match d {
                Response::Page(page) => Some(page),
                _ => None,
            })
        }),
        watch: Rc::new(move |(after, wait)| {
            let call = Call::Watch(after, wait.as_millis() as u64);
            watch.clone().call(call, wait + HEDGE_DELAY, |d| match d {
                Response::Page(page) => Some(page),
                _ => None,
            })
        }),
        commit: Rc::new(move |txn| {
            let call = Call::Commit(txn);
            commit.clone().call(call, HEDGE_DELAY, |d| match d {
                Response::Committed(outcome) => Some(outcome),
                _ => None,
            })
        }),
        grant: Rc::new(move |ttl| {
            let call = Call::Grant(ttl.as_millis() as u64);
            grant.clone().call(call, HEDGE_DELAY, |d| match d {
                Response::Granted(id) => Some(id),
                _ => None,
            })
        }),
        renew: Rc::new(move |id| {
            renew
                .clone()
                .call(Call::Renew(id), HEDGE_DELAY, |d| match d {
                    Response::Renewed(valid) => Some(valid),
                    _ => None,
                })
        }),
        revoke: Rc::new(move |id| {
            revoke
                .clone()
                .call(Call::Revoke(id), HEDGE_DELAY, |d| match d {
                    Response::Revoked => Some(()),
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
    let response = call_store(&store, call).await;
    let body = postcard::to_allocvec(&response).expect("an answer serialises");
    ForwardReply {
        body: Bytes::from(body),
        ..ForwardReply::failure(Code::Done, "")
    }
}

async fn call_store(store: &Store, call: Call) -> Result<Response, StoreError> {
    match call {
        Call::Get(key) => (store.get)(key).await.map(Response::Got),
        Call::List(prefix, after) => (store.list)((prefix, after)).await.map(Response::Page),
        Call::Watch(after, wait) => {
            let wait = Duration::from_millis(wait);
            (store.watch)((after, wait)).await.map(Response::Page)
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
                    Err(_) => call_store(&self.store, call).await,
                    response => response,
                }
            };
            let mismatch = || StoreError::Unknown("the answer fits another call".into());
            response.and_then(|d| unpack(d).ok_or_else(mismatch))
        })
    }

    /// Makes a call directly, and through a peer as well if that takes long or fails.
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
                // A refusal by a peer says nothing about an direct call in doubt.
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
                        self.fail_over("no answer in the usual time");
                        Ok(response)
                    }
                    Either::Right((Err(e), direct)) => direct.await.map_err(|f| less_certain(f, e)),
                }
            }
        }
    }

    /// Has another gateway make a call.
    async fn call_peers(&self, call: &Call) -> Result<Response, StoreError> {
        let peers = self.choose_peers();
        let call = match call {
            Call::Watch(after, wait) => Call::Watch(*after, (*wait).min(MAX_RELAYED_WAIT_MS)),
            other => other.clone(),
        };
        let body = postcard::to_allocvec(&call).expect("a call serialises");
        let request = ForwardRequest {
            service: SERVICE.into(),
            body: Bytes::from(body),
            ..ForwardRequest::default()
        };
        let mut failure = StoreError::Refused("no other gateway is known".into());
        for peer in peers {
            failure = match self.rpc.forward(peer, &request, RELAY_TIMEOUT).await {
                Ok(reply) if reply.code == Code::Done => {
                    match postcard::from_bytes::<Result<Response, StoreError>>(&reply.body) {
                        Ok(Ok(response)) => {
                            self.preferred.set(Some(peer));
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
                    StoreError::Unknown(e.to_string())
                }
            };
        }
        Err(failure)
    }

    /// Returns the gateways to ask, the best first, without those that just failed.
    fn choose_peers(&self) -> Vec<SocketAddr> {
        let (now, preferred) = (self.clock.now(), self.preferred.get());
        let failed_at = self.failed_at.borrow();
        let cooling_down =
            |p: &SocketAddr| failed_at.get(p).is_some_and(|at| now < *at + PEER_COOLDOWN);
        let mut peers = (self.peers)();
        peers.retain(|p| !cooling_down(p));
        peers.sort_by_key(|p| Some(*p) != preferred);
        peers
    }

    /// Uses other gateways until the direct path answers again.
    fn fail_over(self: &Rc<Self>, reason: &str) {
        self.store_reachable.set(false);
        if self.probing.replace(true) {
            return;
        }
        let detail = format!("calls go through another gateway: {reason}");
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
                .emit(Event::PathBack, "store", "calls go to the store directly");
        })
        .detach();
    }
}

/// Returns the failure that says less: a call in doubt stays in doubt.
fn less_certain(a: StoreError, b: StoreError) -> StoreError {
    match (a, b) {
        (StoreError::Unknown(detail), _) | (_, StoreError::Unknown(detail)) => {
            StoreError::Unknown(detail)
        }
        (a, _) => a,
    }
}
