//! The gateway of a fleet: serves callers, and may be the placer.

use super::Shared;
use super::doubt::Doubts;
use super::entry::enter;
use super::front::Front;
use super::keys;
use super::lead;
use super::mirror;
use super::mirror::Mirror;
use super::news;
use super::news::Courier;
use super::port::CallerCodec;
use super::port::PolicyService;
use super::port::Store;
use super::relay;
use super::serve_metrics;
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
    advisor: PolicyService,
) -> anyhow::Result<()> {
    let mirror = Rc::new(Mirror::default());
    let rpc = Rc::new(RpcClient::default());
    let own = shared.store.clone();
    let shared = Rc::new(through_peers(shared, &mirror, &rpc));
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

    spawn(mirror::follow(shared.clone(), mirror.clone()));
    spawn(mirror::ask_peers(
        shared.clone(),
        mirror.clone(),
        rpc.clone(),
    ));
    let entering = shared.clone();
    spawn(async move { enter(&entering, keys::gateway(&entering.settings.name)).await });
    let doubts = Rc::new(Doubts::default());
    spawn(serve_peers(
        peers,
        own,
        shared.clone(),
        mirror.clone(),
        doubts.clone(),
    ));
    spawn(serve_ready(ready, shared.clone(), mirror.clone()));
    let courier = Rc::new(Courier {
        name: settings.name.clone(),
        mirror: mirror.clone(),
        rpc: rpc.clone(),
    });
    let leading = lead::run(
        shared.clone(),
        mirror.clone(),
        rpc,
        advisor,
        courier.clone(),
    );
    let leading = compio::runtime::spawn(leading);

    let limits = Limits {
        max_connections: settings.max_connections,
        drain_delay: settings.shutdown_timeout / NOTICE_SHARE,
        ..Limits::default()
    };
    let handler = Rc::new(Front {
        shared: shared.clone(),
        mirror,
        callers,
        courier,
        doubts,
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
fn through_peers(shared: Shared, mirror: &Rc<Mirror>, rpc: &Rc<RpcClient>) -> Shared {
    let (name, mirror) = (shared.settings.name.clone(), mirror.clone());
    let peers = move || {
        let gateways = mirror.gateways.borrow();
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
    mirror: Rc<Mirror>,
    doubts: Rc<Doubts>,
) {
    let listening = mirror.clone();
    let handlers = Handlers {
        forward: Rc::new(move |request| {
            let (store, shared, mirror) = (store.clone(), shared.clone(), listening.clone());
            let doubts = doubts.clone();
            Box::pin(async move {
                if request.service == relay::STORE {
                    return relay::serve(store, request).await;
                }
                if request.service == news::NEWS {
                    return news::take(&mirror, &doubts, &shared, &request);
                }
                rpc::ForwardReply::failure(Code::UnknownService, "")
            })
        }),
        config: Rc::new(move |above| mirror.manifest_above(above)),
    };
    rpc::serve(listener, handlers, Flag::default()).await;
}

async fn serve_ready(listener: TcpListener, shared: Rc<Shared>, mirror: Rc<Mirror>) {
    let handler = move |_| {
        let fresh = mirror.is_fresh(shared.clock.now());
        let able = fresh && mirror.manifest().is_some() && !shared.stop.is_raised();
        async move { text_reply(if able { 200 } else { 503 }, "") }
    };
    serve(listener, Limits::default(), Flag::default(), handler).await;
}
