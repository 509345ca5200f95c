//! The sidecar process, through which all requests to its upstream pass.

mod forward;

use crate::node::Node;
use compio::net::TcpListener;
use forward::Forwarder;
use hibiscusbarrow_adapters::http;
use hibiscusbarrow_adapters::http::Limits;
use hibiscusbarrow_adapters::http::Reply;
use hibiscusbarrow_adapters::http::Request;
use hibiscusbarrow_adapters::http::fault_reply;
use hibiscusbarrow_adapters::http::json_reply;
use hibiscusbarrow_adapters::http::serve_limited;
use hibiscusbarrow_adapters::http::text_reply;
use hibiscusbarrow_adapters::rpc;
use hibiscusbarrow_adapters::rpc::Handlers;
use hibiscusbarrow_adapters::rpc::RpcLimits;
use hibiscusbarrow_adapters::rpc::Shutdown;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_coordination::membership::Role;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::settings::Settings;
use hibiscusbarrow_model::state::Announcement;
use hibiscusbarrow_model::state::ProcessLocation;
use hibiscusbarrow_model::state::Status;
use serde_json::json;
use slog::Logger;
use std::rc::Rc;
use std::time::Duration;

/// The largest request body that a sidecar accepts from its upstream, in bytes.
const MAX_BODY_BYTES: u64 = 1 << 20;
/// The largest message of a peer, in bytes; it carries the body of a caller's request.
const MAX_PEER_MESSAGE: u64 = 32 << 20;
/// How often a stopping sidecar checks whether its requests in flight have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The longest wait for peers to close their connections; one that is frozen or cut off
/// never does.
const PEER_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a sidecar until `stop` is raised and either its requests in flight have ended or
/// the drain timeout has passed.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn run(settings: Settings, logger: Logger, stop: Flag) -> anyhow::Result<()> {
    let http = http::bind(settings.http, &Limits::default()).await?;
    let peers = TcpListener::bind(settings.peer).await?;
    let node = Node::start(settings, Role::Sidecar, logger, stop.clone()).await?;
    let forwarder = Rc::new(Forwarder::new(node.clone()));
    let shutdown = Shutdown::default();
    let closed = shutdown.closed.clone();
    let peer_handlers = peer_handlers(&node, &forwarder);
    let limits = RpcLimits::new(node.limiter.clone(), MAX_PEER_MESSAGE);
    let serving = rpc::serve_limited(peers, peer_handlers, shutdown.clone(), limits);
    compio::runtime::spawn(serving).detach();
    let handler = {
        let (node, forwarder) = (node.clone(), forwarder.clone());
        move |request| handle_request(node.clone(), forwarder.clone(), request)
    };
    let limits = Limits {
        is_reserved: |_| true,
        ..node.http_limits(MAX_BODY_BYTES)
    };
    let serving = serve_limited(http, node.limiter.clone(), limits, closed.clone(), handler);
    compio::runtime::spawn(serving).detach();
    compio::runtime::spawn(forwarder.clone().expire_upstream()).detach();
    node.log_start();
    stop.wait().await;
    drain(&node, &forwarder, &shutdown).await;
    closed.raise();
    Ok(())
}

/// Finishes the requests in flight, and waits until all peers have closed their connections.
///
/// A connection that the sidecar closed itself could cut off a call that it has not read yet,
/// and the peer could not tell that the call never ran.
async fn drain(node: &Node, forwarder: &Forwarder, shutdown: &Shutdown) {
    node.log
        .emit(Event::DrainBegan, node.settings.name.clone(), "");
    node.announce_leaving();
    forwarder.begin_drain();
    shutdown.leaving.raise();
    while !forwarder.may_stop() {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let closing_at = node.clock.now();
    while !shutdown.is_unused() && node.clock.now() < closing_at + PEER_CLOSE_TIMEOUT {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    node.announce_left().await;
    compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    node.log
        .emit(Event::Stopped, node.settings.name.clone(), "");
}

fn peer_handlers(node: &Rc<Node>, forwarder: &Rc<Forwarder>) -> Handlers {
    let (node, forwarder) = (node.clone(), forwarder.clone());
    Handlers {
        forward: Rc::new(move |request| {
            let forwarder = forwarder.clone();
            Box::pin(async move { forwarder.forward(request).await })
        }),
        config: Rc::new(move |generation| node.encoded_config(generation)),
    }
}

async fn handle_request(node: Rc<Node>, forwarder: Rc<Forwarder>, request: Request) -> Reply {
    match request.path.as_str() {
        "/v1/announce" => match request.json::<Announcement>() {
            Ok(announcement) => {
                forwarder.handle_announcement(announcement);
                json_reply(200, &json!({ "generation": node.generation() }))
            }
            Err(fault) => fault_reply(&fault),
        },
        "/v1/leave" => {
            forwarder.drain_upstream().await;
            json_reply(200, &json!({}))
        }
        "/v1/location" => json_reply(200, &location(&node)),
        "/v1/status" => json_reply(200, &status(&node)),
        "/v1/events" => json_reply(200, &node.log.records()),
        "/healthz" => text_reply(200, "ok\n"),
        "/readyz" if forwarder.is_ready() => text_reply(200, "ready\n"),
        "/readyz" => text_reply(503, "no upstream\n"),
        "/metrics" => text_reply(200, node.metrics.render()),
        path => fault_reply(&Fault::new(
            Code::BadRequest,
            format!("no such path: {path}"),
        )),
    }
}

fn status(node: &Node) -> Status {
    Status {
        name: node.settings.name.clone(),
        generation: node.generation(),
        members: node.member_views(),
        placer: None,
        evacuations: node.evacuations_view(),
    }
}

fn location(node: &Node) -> ProcessLocation {
    ProcessLocation {
        domain: node.settings.domain.clone(),
    }
}
