//! The server side of the RPC protocol.

use super::ForwardReply;
use super::ForwardRequest;
use super::meter::MessageMeter;
use super::meter::PeerShare;
use crate::clients::ClientConnection;
use crate::clients::ClientLimiter;
use crate::clients::LimitedStream;
use crate::http::body::copy_body;
use crate::node_capnp::node;
use crate::signal::Flag;
use bytes::Bytes;
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use compio::net::TcpListener;
use compio::net::TcpStream;
use futures_util::AsyncReadExt;
use futures_util::future::AbortHandle;
use futures_util::future::Abortable;
use futures_util::future::Either;
use futures_util::future::LocalBoxFuture;
use futures_util::future::select;
use hibiscusbarrow_coordination::client_budget::Class;
use hibiscusbarrow_model::code::Code;
use smol_str::SmolStr;
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

/// The largest message that is read, in words of eight bytes.
const MAX_MESSAGE_WORDS: usize = 4 << 20;

/// The bytes that a call takes for each byte of its body: its message, the copy for the handler
/// and an answer of the same size.
const CALL_FACTOR: u64 = 3;
/// The first and the longest delay after a connection could not be accepted.
const MIN_ACCEPT_DELAY: Duration = Duration::from_millis(10);
const MAX_ACCEPT_DELAY: Duration = Duration::from_secs(1);

type Forward = dyn Fn(ForwardRequest) -> LocalBoxFuture<'static, ForwardReply>;
type Config = dyn Fn(u64) -> Option<(u64, Bytes)>;

/// The functions that answer the calls of peers.
#[derive(Clone)]
pub struct Handlers {
    /// Runs a forwarded request.
    pub forward: Rc<Forward>,
    /// Returns generation and body of the configuration if its generation is higher than
    /// the given one.
    pub config: Rc<Config>,
}

/// How often a call reads its message: once for the length of its body, and once to copy it.
const READS_PER_CALL: usize = 2;

/// Returns the limits under which answers of peers are read.
pub(super) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options
}

/// Returns the limits under which calls of peers are read, whose size is limited by
/// [`RpcLimits::max_message`].
fn call_reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(READS_PER_CALL * MAX_MESSAGE_WORDS));
    options
}

/// The stop of a server in two phases, so that no call is cut off.
///
/// The process that holds it raises [`leaving`](Self::leaving) when a planned stop begins,
/// waits until [`is_unused`](Self::is_unused), and then raises [`closed`](Self::closed).
/// Connections that arrive while it is leaving are closed unanswered, so that none is open
/// when the process exits. Their peers have sent no call yet.
#[derive(Clone, Default)]
pub struct Shutdown {
    /// Asks all peers to send no further calls and to close their connections; new ones are
    /// not served from then on.
    pub leaving: Flag,
    /// Ends the server, which accepts no connections from then on.
    pub closed: Flag,
    connections: Rc<Cell<usize>>,
}

/// A connection of a peer, which counts as used until it is dropped.
struct InUse(Shutdown);

impl Drop for InUse {
    fn drop(&mut self) {
        let connections = &self.0.connections;
        connections.set(connections.get() - 1);
    }
}

impl Shutdown {
    fn begin_use(&self) -> InUse {
        self.connections.set(self.connections.get() + 1);
        InUse(self.clone())
    }

    /// Returns whether no peer has a connection to the server.
    pub fn is_unused(&self) -> bool {
        self.connections.get() == 0
    }
}

/// The limits of a server for peers.
#[derive(Clone)]
pub struct RpcLimits {
    /// The budget of the process.
    pub limiter: ClientLimiter,
    /// The largest message, in bytes.
    pub max_message: u64,
    /// The longest time without a byte of a message that has begun, until the first message, or
    /// without the peer reading its answer.
    pub stall_timeout: Duration,
}

impl RpcLimits {
    /// Creates limits with the given budget and largest message in bytes.
    pub fn new(limiter: ClientLimiter, max_message: u64) -> Self {
        Self {
            limiter,
            max_message,
            stall_timeout: Duration::from_secs(10),
        }
    }
}

/// Accepts connections of peers until the server is closed, and serves their calls.
///
/// The limits are those of a large machine, as stand-ins need them.
pub async fn serve(listener: TcpListener, handlers: Handlers, shutdown: Shutdown) {
    let max_message = (MAX_MESSAGE_WORDS * 8) as u64;
    let limits = RpcLimits::new(ClientLimiter::detached(), max_message);
    serve_limited(listener, handlers, shutdown, limits).await;
}

/// Accepts connections of peers until the server is closed, and serves their calls within the
/// limits.
pub async fn serve_limited(
    listener: TcpListener,
    handlers: Handlers,
    shutdown: Shutdown,
    limits: RpcLimits,
) {
    let limiter = &limits.limiter;
    let mut accept_delay = MIN_ACCEPT_DELAY;
    let mut shares: Vec<Weak<PeerShare>> = Vec::new();
    loop {
        let accept = pin!(listener.accept());
        let closed = pin!(shutdown.closed.wait());
        let (stream, addr) = match select(accept, closed).await {
            Either::Left((Ok(_), _)) if shutdown.leaving.is_raised() => continue,
            Either::Left((Ok(accepted), _)) => accepted,
            Either::Left((Err(e), _)) => {
                limiter.record_accept_failure(&e);
                limiter.close_one(Class::Peers);
                compio::time::sleep(accept_delay).await;
                accept_delay = (2 * accept_delay).min(MAX_ACCEPT_DELAY);
                continue;
            }
            Either::Right(_) => return,
        };
        accept_delay = MIN_ACCEPT_DELAY;
        let (abort, registration) = AbortHandle::new_pair();
        let Ok(connection) = limiter.open(Class::Peers, addr, abort).await else {
            limiter.record_closed("no_connection", addr, "cause=no_connection class=peers");
            ask_to_close(&shares);
            continue;
        };
        let in_use = shutdown.begin_use();
        let share = Rc::new(PeerShare::new(connection.clone()));
        shares.retain(|share| share.strong_count() > 0);
        shares.push(Rc::downgrade(&share));
        let peer = serve_peer(
            stream,
            connection,
            share,
            handlers.clone(),
            in_use,
            limits.clone(),
        );
        let peer = Abortable::new(peer, registration);
        compio::runtime::spawn(async move {
            let _ = peer.await;
        })
        .detach();
    }
}

/// Asks the peer that has been idle longest to close its connection, which makes room for the
/// next newcomer without cutting off a call.
fn ask_to_close(shares: &[Weak<PeerShare>]) {
    let open = shares.iter().filter_map(Weak::upgrade);
    let idle = open.filter(|share| share.is_idle());
    if let Some(share) = idle.min_by_key(|share| share.last_read()) {
        share.leaving.raise();
    }
}

async fn serve_peer(
    stream: TcpStream,
    connection: Rc<ClientConnection>,
    share: Rc<PeerShare>,
    handlers: Handlers,
    in_use: InUse,
    limits: RpcLimits,
) {
    let _ = stream.set_nodelay(true);
    connection.use_other_protocol();
    let stream = LimitedStream::incoming(stream, connection, limits.stall_timeout);
    let (reader, writer) = stream.split();
    let reader = MessageMeter::new(reader, share.clone(), limits);
    let network = VatNetwork::new(reader, writer, Side::Server, call_reader_options());
    let client: node::Client = capnp_rpc::new_client(NodeServer {
        handlers,
        leaving: in_use.0.leaving.clone(),
        share,
    });
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    let _ = system.await;
}

struct NodeServer {
    handlers: Handlers,
    leaving: Flag,
    share: Rc<PeerShare>,
}

impl node::Server for NodeServer {
    async fn forward(
        self: Rc<Self>,
        params: node::ForwardParams,
        mut results: node::ForwardResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let request = params.get_request()?;
        let body_len = request.get_body()?.len() as u64;
        // Without a request, the call's message was discarded as it did not fit.
        let call = match params.has_request() {
            true => self.share.begin_call(CALL_FACTOR * body_len).await,
            false => None,
        };
        let reply = match call {
            Some(_call) => {
                let request = read_request(request)?;
                (self.handlers.forward)(request).await
            }
            None => {
                let detail = "the process has no memory left for the call";
                ForwardReply::failure(Code::Overloaded, detail)
            }
        };
        let mut out = results.get().init_reply();
        out.set_code(reply.code.number());
        out.set_detail(reply.detail.as_str());
        out.set_status(reply.status);
        out.set_body(&reply.body);
        out.set_repeated(reply.replayed);
        out.set_running(reply.running);
        out.set_queued(reply.queued);
        let mut headers = out.init_headers(reply.headers.len() as u32);
        for (i, (name, value)) in reply.headers.iter().enumerate() {
            let mut header = headers.reborrow().get(i as u32);
            header.set_name(name.as_str());
            header.set_value(value);
        }
        Ok(())
    }

    async fn config(
        self: Rc<Self>,
        params: node::ConfigParams,
        mut results: node::ConfigResults,
    ) -> Result<(), capnp::Error> {
        let above = params.get()?.get_above();
        if let Some((generation, body)) = (self.handlers.config)(above) {
            let mut out = results.get().init_reply();
            out.set_generation(generation);
            out.set_body(&body);
        }
        Ok(())
    }

    async fn leaving(
        self: Rc<Self>,
        _params: node::LeavingParams,
        _results: node::LeavingResults,
    ) -> Result<(), capnp::Error> {
        let stopping = pin!(self.leaving.wait());
        let asked = pin!(self.share.leaving.wait());
        select(stopping, asked).await;
        Ok(())
    }
}

fn text(reader: capnp::text::Reader<'_>) -> Result<SmolStr, capnp::Error> {
    Ok(reader.to_str()?.into())
}

fn read_request(
    reader: crate::node_capnp::forward_request::Reader<'_>,
) -> Result<ForwardRequest, capnp::Error> {
    let mut headers = Vec::new();
    for header in reader.get_headers()? {
        let value = Bytes::copy_from_slice(header.get_value()?);
        headers.push((text(header.get_name()?)?, value));
    }
    Ok(ForwardRequest {
        id: text(reader.get_id()?)?,
        account: text(reader.get_account()?)?,
        service: text(reader.get_service()?)?,
        method: text(reader.get_method()?)?,
        path: text(reader.get_path()?)?,
        headers,
        body: copy_body(reader.get_body()?)?,
        key: text(reader.get_key()?)?,
        outcome_only: reader.get_repeat(),
        incarnation: reader.get_life(),
        claim_revision: reader.get_claim(),
        remaining_ms: reader.get_remaining_ms(),
    })
}
