//! The gateway of a fleet: serves callers, and may be the placer.

use super::Shared;
use super::cache;
use super::cache::StoreCache;
use super::callers::CallerService;
use super::election;
use super::keys;
use super::notify;
use super::notify::Notifier;
use super::port::CallerCodec;
use super::port::PolicyService;
use super::port::Store;
use super::registration::enter;
use super::relay;
use super::serve_metrics;
use super::unconfirmed::UnconfirmedJobs;
use anyhow::Context;
use compio::net::TcpListener;
use hibiscusbarrow_adapters::http::Limits;
use hibiscusbarrow_adapters::http::serve;
use hibiscusbarrow_adapters::http::text_reply;
use hibiscusbarrow_adapters::rpc;
use hibiscusbarrow_adapters::rpc::Handlers;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::event::Event;
use std::rc::Rc;

/// The part of the grace during which new connections are still served.
const NOTICE_SHARE: u32 = 2;

/// Runs a gateway until it is asked to stop.
///
/// # Errors
///
/// Fails if an address of the settings is missing or cannot be bound.
pub async fn run(
    shared: Shared,
    callers: CallerCodec,
    policy: PolicyService,
) -> anyhow::Result<()> {
    let cache = Rc::new(StoreCache::default());
    let rpc = Rc::new(RpcClient::default());
    let own = shared.store.clone();
    let shared = Rc::new(through_peers(shared, &cache, &rpc));
    let settings = &shared.settings;
    let front = settings
        .caller_addr
        .context("the settings name no address for callers")?;
    let ready = settings
        .ready_addr
        .context("the settings name no address for the balancer")?;
    let front = TcpListener::bind(front)
        .await
        .context("binding for callers")?;
    let ready = TcpListener::bind(ready)
        .await
        .context("binding for the balancer")?;
    let peers = TcpListener::bind(settings.peer_addr)
        .await
        .context("binding for peers")?;
    serve_metrics(&shared);
    let detail = format!(
        "gateway callers={:?} peer={}",
        settings.caller_addr, settings.peer_addr
    );
    shared
        .log
        .emit(Event::Started, settings.name.clone(), detail);

    spawn(cache::follow(shared.clone(), cache.clone()));
    spawn(cache::ask_peers(shared.clone(), cache.clone(), rpc.clone()));
    let entering = shared.clone();
    spawn(async move { enter(&entering, keys::gateway(&entering.settings.name)).await });
    let unconfirmed = Rc::new(UnconfirmedJobs::default());
    spawn(serve_peers(
        peers,
        own,
        shared.clone(),
        cache.clone(),
        unconfirmed.clone(),
    ));
    spawn(serve_ready(ready, shared.clone(), cache.clone()));
    let notifier = Rc::new(Notifier {
        name: settings.name.clone(),
        cache: cache.clone(),
        rpc: rpc.clone(),
    });
    let leading = election::run(shared.clone(), cache.clone(), rpc, policy, notifier.clone());
    let leading = compio::runtime::spawn(leading);

    let limits = Limits {
        max_connections: settings.max_connections,
        drain_delay: settings.shutdown_timeout / NOTICE_SHARE,
        ..Limits::default()
    };
    let handler = Rc::new(CallerService {
        shared: shared.clone(),
        cache,
        callers,
        notifier,
        unconfirmed,
    });
    let handle = move |request| handler.clone().handle(request);
    serve(front, limits, shared.stop.clone(), handle).await;
    let _ = leading.await;
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

/// Has calls to the store go through other gateways when the own path fails.
fn through_peers(shared: Shared, cache: &Rc<StoreCache>, rpc: &Rc<RpcClient>) -> Shared {
    let (name, cache) = (shared.settings.name.clone(), cache.clone());
    let peers = move || {
        let gateways = cache.gateways.borrow();
        let others = gateways.iter().filter(|(n, _)| **n != name);
        others.map(|(_, addr)| *addr).collect()
    };
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

async fn serve_peers(
    listener: TcpListener,
    store: Store,
    shared: Rc<Shared>,
    cache: Rc<StoreCache>,
    unconfirmed: Rc<UnconfirmedJobs>,
) {
    let listening = cache.clone();
    let handlers = Handlers {
        forward: Rc::new(move |request| {
            let (store, shared, cache) = (store.clone(), shared.clone(), listening.clone());
            let unconfirmed = unconfirmed.clone();
            Box::pin(async move {
                if request.service == relay::STORE {
                    return relay::serve(store, request).await;
                }
                if request.service == notify::NEWS {
                    return notify::take(&cache, &unconfirmed, &shared, &request);
                }
                rpc::ForwardReply::failure(Code::UnknownService, "")
            })
        }),
        config: Rc::new(move |above| cache.manifest_above(above)),
    };
    rpc::serve(listener, handlers, Flag::default()).await;
}

async fn serve_ready(listener: TcpListener, shared: Rc<Shared>, cache: Rc<StoreCache>) {
    let handler = move |_| {
        let fresh = cache.is_fresh(shared.clock.now());
        let able = fresh && cache.manifest().is_some() && !shared.stop.is_raised();
        async move { text_reply(if able { 200 } else { 503 }, "") }
    };
    serve(listener, Limits::default(), Flag::default(), handler).await;
}
