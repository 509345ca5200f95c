//! Store calls through other gateways.

use bytes::Bytes;
use compio::net::TcpListener;
use compio::runtime::Runtime;
use hibiscusbarrow_adapters::log::EventLog;
use hibiscusbarrow_adapters::rpc;
use hibiscusbarrow_adapters::rpc::Handlers;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_adapters::rpc::Shutdown;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_roles::fleet::port::Outcome;
use hibiscusbarrow_roles::fleet::port::Store;
use hibiscusbarrow_roles::fleet::port::StoreError;
use hibiscusbarrow_roles::fleet::port::Txn;
use hibiscusbarrow_roles::fleet::relay;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Returns a store that refuses every call except transactions, which `commit` answers.
fn store(commit: impl Fn() -> Result<Outcome, StoreError> + 'static) -> Store {
    fn refuse<T>() -> Result<T, StoreError> {
        Err(StoreError::Refused("turned away".into()))
    }
    Store {
        manifest_key: "manifest".into(),
        evacuation_prefix: None,
        decode_manifest: Rc::new(|_| Err("no manifest".into())),
        get: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        list: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        watch: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        commit: Rc::new(move |_| Box::pin(std::future::ready(commit()))),
        grant: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        renew: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        revoke: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
    }
}

/// Starts a gateway that makes calls to the given store for its peers.
async fn start_peer(store: Store) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it binds");
    let addr = listener.local_addr().expect("it has an address");
    let handlers = Handlers {
        forward: Rc::new(move |request| Box::pin(relay::serve(store.clone(), request))),
        config: Rc::new(|_| None),
    };
    compio::runtime::spawn(rpc::serve(listener, handlers, Shutdown::default())).detach();
    addr
}

fn relayed_through(peers: Vec<SocketAddr>) -> Store {
    let refused = || Err(StoreError::Refused("turned away".into()));
    let clock = Clock::system();
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    relay::relayed(
        store(refused),
        Rc::new(RpcClient::default()),
        EventLog::new("gateway", clock.clone(), logger),
        clock,
        Rc::new(move || peers.clone()),
    )
}

fn txn() -> Txn {
    Txn {
        puts: vec![("job".into(), Bytes::from_static(b"{}"), 0)],
        ..Txn::default()
    }
}

/// The store turns this gateway away, and another gateway gets no answer for it. The write
/// may have taken effect, so the caller must not hear that it was refused.
#[test]
fn refusal_does_not_settle_a_write_that_a_peer_left_unconfirmed() {
    Runtime::new().expect("a runtime").block_on(async {
        let calls = Rc::new(Cell::new(0));
        let counted = calls.clone();
        let peer = start_peer(store(move || {
            counted.set(counted.get() + 1);
            match counted.get() {
                1 => Ok(Outcome::Committed(7)),
                _ => Err(StoreError::Unknown("no answer".into())),
            }
        }))
        .await;
        let store = relayed_through(vec![peer]);

        let first = (store.commit)(txn()).await;
        let second = (store.commit)(txn()).await;

        assert_eq!(first, Ok(Outcome::Committed(7)));
        assert_eq!(calls.get(), 2);
        assert!(matches!(second, Err(StoreError::Unknown(_))), "{second:?}");
    });
}

/// Nobody can have received a call for a gateway that is gone, so a write that the store
/// refused stays refused.
#[test]
fn gateway_that_cannot_be_reached_leaves_no_write_unconfirmed() {
    Runtime::new().expect("a runtime").block_on(async {
        let gone = TcpListener::bind("127.0.0.1:0").await.expect("it binds");
        let addr = gone.local_addr().expect("it has an address");
        drop(gone);
        let store = relayed_through(vec![addr]);

        let result = (store.commit)(txn()).await;

        assert!(matches!(result, Err(StoreError::Refused(_))), "{result:?}");
    });
}
