//! The gateway of a fleet: serves callers and may become the placer.

use super::Shared;
use super::cache;
use super::cache::StoreCache;
use super::cache::manifest;
use super::callers::CallerService;
use super::check_limits;
use super::create_limiter;
use super::election;
use super::keys;
use super::notify;
use super::notify::Notifier;
use super::placer::PlacerServices;
use super::port::CallerCodec;
use super::port::PolicyService;
use super::port::Store;
use super::registration::GatewayEntry;
use super::registration::register;
use super::relay;
use super::serve_metrics;
use super::status;
use super::status::StatusClient;
use super::unconfirmed::UnconfirmedJobs;
use anyhow::Context;
use compio::net::TcpListener;
use hibiscusbarrow_adapters::clients::ClientLimiter;
use hibiscusbarrow_adapters::clients::Shares;
use hibiscusbarrow_adapters::http::Limits;
use hibiscusbarrow_adapters::http::bind;
use hibiscusbarrow_adapters::http::serve_limited;
use hibiscusbarrow_adapters::http::text_reply;
use hibiscusbarrow_adapters::rpc;
use hibiscusbarrow_adapters::rpc::Handlers;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_adapters::rpc::RpcLimits;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::event::Event;
use std::rc::Rc;

/// After a request to stop, new connections are still served for the shutdown timeout
/// divided by this.
const DRAIN_DELAY_DIVISOR: u32 = 2;
/// The largest message of a peer, in bytes: a relayed transaction with several records.
const MAX_PEER_MESSAGE: u64 = 8 << 20;

/// Runs a gateway until a planned stop is complete.
///
/// # Errors
///
/// Fails if an address is missing from the settings or cannot be bound.
pub async fn run(
    shared: Shared,
    callers: CallerCodec,
    policy: PolicyService,
) -> anyhow::Result<()> {
    let evacuations = shared.store.evacuation_prefix.clone();
    let cache = StoreCache::new(&shared.settings, evacuations);
    let cache = Rc::new(cache);
    let rpc = Rc::new(RpcClient::default());
    let direct_store = shared.store.clone();
    let shared = Rc::new(with_relay(shared, &cache, &rpc));
    let settings = &shared.settings;
    let caller_addr = settings
        .caller_addr
        .context("the settings have no address for callers")?;
    let ready_addr = settings
        .ready_addr
        .context("the settings have no address for readiness checks")?;
    let limits = Limits {
        drain_delay: settings.shutdown_timeout / DRAIN_DELAY_DIVISOR,
        ..Limits::default()
    };
    let callers_listener = bind(caller_addr, &limits)
        .await
        .context("cannot bind the address for callers")?;
    let ready_listener = bind(ready_addr, &check_limits())
        .await
        .context("cannot bind the address for readiness checks")?;
    let peer_listener = TcpListener::bind(settings.peer_addr)
        .await
        .context("cannot bind the address for peers")?;
    let limiter = create_limiter(&shared, Shares::GATEWAY);
    serve_metrics(&shared, &limiter);
    let detail = format!(
        "gateway callers={:?} peer={}",
        settings.caller_addr, settings.peer_addr
    );
    shared
        .log
        .emit(Event::Started, settings.name.clone(), detail);
    limiter.log_limits();

    spawn(cache::follow(shared.clone(), cache.clone()));
    spawn(manifest::follow_manifest(
        shared.clone(),
        cache.clone(),
        direct_store.clone(),
    ));
    spawn(manifest::poll_peers(
        shared.clone(),
        cache.clone(),
        rpc.clone(),
    ));
    let register_shared = shared.clone();
    spawn(async move {
        let settings = &register_shared.settings;
        let (key, entry) = (keys::gateway(&settings.name), GatewayEntry::own(settings));
        register(&register_shared, key, entry).await
    });
    let unconfirmed = Rc::new(UnconfirmedJobs::default());
    spawn(serve_peers(
        peer_listener,
        direct_store,
        shared.clone(),
        cache.clone(),
        unconfirmed.clone(),
        RpcLimits::new(limiter.clone(), MAX_PEER_MESSAGE),
    ));
    spawn(serve_readiness(
        ready_listener,
        limiter.clone(),
        shared.clone(),
        cache.clone(),
    ));
    let notifier = Rc::new(Notifier {
        cache: cache.clone(),
        rpc: rpc.clone(),
    });
    let status = StatusClient::new(shared.clone(), cache.clone(), rpc.clone());
    let status = Rc::new(status);
    let services = PlacerServices {
        cache: cache.clone(),
        rpc,
        policy,
        notifier: notifier.clone(),
        status: status.clone(),
    };
    let election = election::run(shared.clone(), services);
    let election = compio::runtime::spawn(election);

    let handler = Rc::new(CallerService {
        shared: shared.clone(),
        cache,
        codec: callers,
        notifier,
        status,
        unconfirmed,
    });
    let handle = move |request| handler.clone().handle(request);
    let stop = shared.stop.clone();
    serve_limited(callers_listener, limiter, limits, stop, handle).await;
    let _ = election.await;
    shared.log.emit(
        Event::Stopped,
        shared.settings.name.clone(),
        "all requests answered",
    );
    Ok(())
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}

/// Replaces the store by one that calls through other gateways when the direct path fails.
fn with_relay(shared: Shared, cache: &Rc<StoreCache>, rpc: &Rc<RpcClient>) -> Shared {
    let cache = cache.clone();
    let peers = move || cache.peer_addrs();
    let (log, clock) = (shared.log.clone(), shared.clock.clone());
    let store = relay::relayed(
        shared.store.clone(),
        rpc.clone(),
        log,
        clock,
        Rc::new(peers),
    );
    Shared { store, ..shared }
}

/// Serves relayed store calls, notifications and requests for the manifest to peers.
async fn serve_peers(
    listener: TcpListener,
    store: Store,
    shared: Rc<Shared>,
    cache: Rc<StoreCache>,
    unconfirmed: Rc<UnconfirmedJobs>,
    limits: RpcLimits,
) {
    let forward_cache = cache.clone();
    let handlers = Handlers {
        forward: Rc::new(move |request| {
            let (store, shared, cache) = (store.clone(), shared.clone(), forward_cache.clone());
            let unconfirmed = unconfirmed.clone();
            Box::pin(async move {
                if request.service == relay::SERVICE {
                    return relay::serve(store, request).await;
                }
                if request.service == status::SERVICE {
                    return status::handle(&cache, &shared, &request);
                }
                if request.service == manifest::SERVICE {
                    return manifest::handle(&cache, &shared, &request);
                }
                if request.service == notify::SERVICE {
                    return notify::handle(&cache, &unconfirmed, &shared, &request);
                }
                rpc::ForwardReply::failure(Code::UnknownService, "")
            })
        }),
        config: Rc::new(move |above| cache.manifest_above(above)),
    };
    rpc::serve_limited(listener, handlers, rpc::Shutdown::default(), limits).await;
}

/// Serves readiness checks. The gateway is ready while its cache is up to date, it may serve
/// callers by its manifest and no planned stop has begun.
async fn serve_readiness(
    listener: TcpListener,
    limiter: ClientLimiter,
    shared: Rc<Shared>,
    cache: Rc<StoreCache>,
) {
    let handler = move |_| {
        let fresh = cache.is_fresh(shared.clock.now());
        let allows_callers = cache.allows_callers(shared.clock.now());
        let serves = allows_callers && cache.manifest().is_some();
        let is_ready = fresh && serves && !shared.stop.is_raised();
        async move { text_reply(if is_ready { 200 } else { 503 }, "") }
    };
    serve_limited(listener, limiter, check_limits(), Flag::default(), handler).await;
}
