//! The gateway process: serves callers' requests and operators' commands over HTTP.

mod apply;
mod claim;
mod evacuations;
mod jobs;
mod operator;
mod route;

use crate::node::Node;
use crate::placer::Placer;
use compio::net::TcpListener;
use hibiscusbarrow_adapters::http;
use hibiscusbarrow_adapters::http::Limits;
use hibiscusbarrow_adapters::http::Reply;
use hibiscusbarrow_adapters::http::Request;
use hibiscusbarrow_adapters::http::serve_limited;
use hibiscusbarrow_adapters::http::text_reply;
use hibiscusbarrow_adapters::rpc;
use hibiscusbarrow_adapters::rpc::ForwardReply;
use hibiscusbarrow_adapters::rpc::Handlers;
use hibiscusbarrow_adapters::rpc::RpcLimits;
use hibiscusbarrow_adapters::rpc::Shutdown;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_coordination::membership::Role;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::settings::Settings;
use route::Router;
use slog::Logger;
use std::rc::Rc;
use std::time::Duration;

/// The largest request body that a gateway accepts, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;
/// The bytes that a request takes for each byte of its body besides the body: its message to a
/// sidecar, and an answer of the same size.
const HANDLING_FACTOR: u64 = 2;
/// The largest message of a peer, in bytes; peers only ask for the configuration.
const MAX_PEER_MESSAGE: u64 = 1 << 20;
/// The beginning of the paths at which callers reach services; the others are for operators and
/// health checks, which are answered also when callers have taken all connections.
const SERVICE_PREFIX: &str = "/v1/services/";
/// How long a stopping gateway keeps accepting requests, so that the load balancer
/// notices that it is not ready before connections are refused.
const DRAIN_DELAY: Duration = Duration::from_millis(1500);

/// The state shared by all request handlers of a gateway.
#[derive(Clone)]
pub(crate) struct Gateway {
    pub node: Rc<Node>,
    pub router: Rc<Router>,
    pub placer: Placer,
}

/// Runs a gateway until `stop` is raised and all requests in flight are answered.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn run(settings: Settings, logger: Logger, stop: Flag) -> anyhow::Result<()> {
    let (http_addr, peer_addr) = (settings.http, settings.peer);
    let largest = Limits {
        max_body_bytes: MAX_BODY_BYTES as usize,
        ..Limits::default()
    };
    let http = http::bind(http_addr, &largest).await?;
    let peers = TcpListener::bind(peer_addr).await?;
    let node = Node::start(settings, Role::Gateway, logger, stop.clone()).await?;
    let gateway = Gateway {
        router: Rc::new(Router::new(node.clone())),
        placer: Placer::start(node.clone()),
        node: node.clone(),
    };
    let shutdown = Shutdown::default();
    let limits = RpcLimits::new(node.limiter.clone(), MAX_PEER_MESSAGE);
    let serving = rpc::serve_limited(peers, peer_handlers(&node), shutdown.clone(), limits);
    compio::runtime::spawn(serving).detach();
    compio::runtime::spawn(node.clone().follow_config()).detach();
    compio::runtime::spawn(announce_drain(node.clone())).detach();
    node.log_start();
    let limits = Limits {
        handling_factor: HANDLING_FACTOR,
        is_reserved: |path| !path.starts_with(SERVICE_PREFIX),
        drain_delay: DRAIN_DELAY,
        ..node.http_limits(MAX_BODY_BYTES)
    };
    let placer = gateway.placer.clone();
    let handler = move |request| handle_request(gateway.clone(), request);
    serve_limited(http, node.limiter.clone(), limits, stop, handler).await;
    placer.resign().await;
    node.announce_left().await;
    shutdown.closed.raise();
    node.log
        .emit(Event::Stopped, node.settings.name.clone(), "");
    Ok(())
}

async fn announce_drain(node: Rc<Node>) {
    node.stop.wait().await;
    node.log
        .emit(Event::DrainBegan, node.settings.name.clone(), "");
    node.announce_leaving();
}

fn peer_handlers(node: &Rc<Node>) -> Handlers {
    let node = node.clone();
    Handlers {
        forward: Rc::new(|_| {
            let refused = ForwardReply::failure(Code::NoUpstream, "a gateway has no upstream");
            Box::pin(std::future::ready(refused))
        }),
        config: Rc::new(move |generation| node.encoded_config(generation)),
    }
}

async fn handle_request(gateway: Gateway, request: Request) -> Reply {
    let path = request.path.clone();
    if let Some(target) = path.strip_prefix(SERVICE_PREFIX) {
        return gateway.router.clone().serve(target, request).await;
    }
    match path.as_str() {
        "/healthz" => text_reply(200, "ok\n"),
        "/readyz" if gateway.is_ready() => text_reply(200, "ready\n"),
        "/readyz" => text_reply(503, "not ready\n"),
        "/metrics" => text_reply(200, gateway.node.metrics.render()),
        _ => gateway.handle_operator_request(request).await,
    }
}

impl Gateway {
    /// Returns whether a load balancer should send requests to this gateway.
    fn is_ready(&self) -> bool {
        !self.node.stop.is_raised() && self.node.generation() > 0 && self.node.knows_evacuations()
    }
}
