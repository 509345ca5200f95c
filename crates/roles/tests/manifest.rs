//! Questions to other gateways about the manifest.

use bytes::Bytes;
use compio::net::TcpListener;
use compio::runtime::Runtime;
use compio::time::sleep;
use hibiscusbarrow_adapters::clients::MachineLimits;
use hibiscusbarrow_adapters::log::EventLog;
use hibiscusbarrow_adapters::metrics::Metrics;
use hibiscusbarrow_adapters::rpc;
use hibiscusbarrow_adapters::rpc::ForwardReply;
use hibiscusbarrow_adapters::rpc::Handlers;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_adapters::rpc::Shutdown;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_fleet::ledger::Bounds;
use hibiscusbarrow_fleet::ledger::LearnedTimes;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_roles::fleet::Shared;
use hibiscusbarrow_roles::fleet::cache::StoreCache;
use hibiscusbarrow_roles::fleet::cache::manifest;
use hibiscusbarrow_roles::fleet::port::Item;
use hibiscusbarrow_roles::fleet::port::Settings;
use hibiscusbarrow_roles::fleet::port::Store;
use hibiscusbarrow_roles::fleet::port::StoreError;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Starts a gateway that has a newer version, but sends something that cannot be read.
async fn start_unreadable_peer(questions: Rc<Cell<usize>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it binds");
    let addr = listener.local_addr().expect("it has an address");
    let handlers = Handlers {
        forward: Rc::new(move |_| {
            questions.set(questions.get() + 1);
            let answer = (9_u64, Some(1_u64), Some(Bytes::from_static(b"text")));
            let body = postcard::to_allocvec(&answer).expect("it can be serialized");
            let reply = ForwardReply {
                body: Bytes::from(body),
                ..ForwardReply::failure(Code::Done, "")
            };
            Box::pin(std::future::ready(reply))
        }),
        config: Rc::new(|_| None),
    };
    compio::runtime::spawn(rpc::serve(listener, handlers, Shutdown::default())).detach();
    addr
}

fn refuse<T>() -> Result<T, StoreError> {
    Err(StoreError::Refused("turned away".into()))
}

fn shared() -> Rc<Shared> {
    let addr = "127.0.0.1:1".parse().expect("the address is valid");
    let clock = Clock::system();
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    Rc::new(Shared {
        settings: Settings {
            name: "gateway".into(),
            domain: "a".into(),
            capacity: 1_000,
            caller_addr: None,
            ready_addr: None,
            heartbeat_addr: None,
            peer_addr: addr,
            metrics_addr: addr,
            limits: MachineLimits::default(),
            shutdown_timeout: Duration::from_secs(1),
            config_bound: Duration::from_secs(2),
            bounds: Bounds::default(),
            learned_times: LearnedTimes::default(),
        },
        clock: clock.clone(),
        log: EventLog::new("gateway", clock, logger),
        metrics: Rc::new(Metrics::new().expect("the metrics are valid")),
        store: Store {
            manifest_key: "manifest".into(),
            evacuation_prefix: None,
            decode_manifest: Rc::new(|_| Err("no manifest".into())),
            get: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
            list: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
            watch: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
            commit: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
            grant: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
            renew: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
            revoke: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        },
        stop: Flag::default(),
    })
}

/// A manifest that cannot be read leaves the version as it was. It was fetched again at once, without
/// an end and without a pause.
#[test]
fn manifest_that_cannot_be_read_is_fetched_once_a_poll() {
    Runtime::new().expect("a runtime").block_on(async {
        let questions = Rc::new(Cell::new(0));
        let peer = start_unreadable_peer(questions.clone()).await;
        let shared = shared();
        let cache = Rc::new(StoreCache::new(&shared.settings, None));
        let entry = Item {
            key: "hibiscusbarrow/gateway/peer".into(),
            value: Some(Bytes::from(format!("{peer} 1000 a"))),
            revision: 1,
        };
        cache.apply(&shared, entry);

        let polling = manifest::poll_peers(shared, cache, Rc::new(RpcClient::default()));
        compio::runtime::spawn(polling).detach();
        sleep(Duration::from_secs(1)).await;

        let asked = questions.get();
        assert!((1..=20).contains(&asked), "{asked} questions in a second");
    });
}
