//! The client side of the RPC protocol.

use super::ForwardReply;
use super::ForwardRequest;
use super::server::reader_options;
use crate::clients::LimitedStream;
use crate::http::body::copy_body;
use crate::node_capnp::node;
use crate::signal::Flag;
use bytes::Bytes;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use compio::net::TcpStream;
use compio::time::timeout;
use futures_util::AsyncReadExt;
use futures_util::future::select;
use hibiscusbarrow_model::code::Code;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time that the close of a connection may take.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The failure of a call to a peer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RpcError {
    /// The call was not sent, so the peer cannot have received it.
    #[error("the call was not sent to the peer: {0}")]
    NotSent(String),
    /// The call may have been sent, so the peer may have received it.
    #[error("the peer did not answer: {0}")]
    Unanswered(String),
}

/// Calls peers over one persistent connection to each.
#[derive(Default)]
pub struct RpcClient {
    peers: Peers,
}

type Peers = Rc<RefCell<HashMap<SocketAddr, Rc<Connection>>>>;

/// An open connection to a peer.
///
/// It is retired when it fails, when a call on it times out, and when the peer begins a
/// planned stop. New calls then use another connection, and this one is closed after its last
/// answer.
struct Connection {
    client: node::Client,
    /// The calls that wait for an answer.
    calls: Cell<usize>,
    retired: Cell<bool>,
    /// Raised once the connection is retired and has no calls.
    unused: Flag,
}

impl Connection {
    fn retire(&self) {
        self.retired.set(true);
        self.close_if_unused();
    }

    fn close_if_unused(&self) {
        if self.retired.get() && self.calls.get() == 0 {
            self.unused.raise();
        }
    }
}

/// A call in progress, which keeps its connection open.
struct Call {
    connection: Rc<Connection>,
}

impl Call {
    fn begin(connection: Rc<Connection>) -> Self {
        connection.calls.set(connection.calls.get() + 1);
        Self { connection }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.connection.calls.set(self.connection.calls.get() - 1);
        self.connection.close_if_unused();
    }
}

impl RpcClient {
    /// Forwards a request to a sidecar.
    pub async fn forward(
        &self,
        addr: SocketAddr,
        request: &ForwardRequest,
        call_timeout: Duration,
    ) -> Result<ForwardReply, RpcError> {
        let connection = self.connection(addr).await?;
        let mut call = connection.client.forward_request();
        write_request(call.get().init_request(), request);
        let answer = async {
            let response = call.send().promise.await?;
            read_reply(response.get()?.get_reply()?)
        };
        self.await_reply(addr, connection, call_timeout, answer)
            .await
    }

    /// Fetches the configuration of a peer if its generation is higher than `above`.
    pub async fn config(
        &self,
        addr: SocketAddr,
        above: u64,
        call_timeout: Duration,
    ) -> Result<Option<(u64, Bytes)>, RpcError> {
        let connection = self.connection(addr).await?;
        let mut call = connection.client.config_request();
        call.get().set_above(above);
        let answer = async {
            let response = call.send().promise.await?;
            let reply = response.get()?.get_reply()?;
            let body = Bytes::copy_from_slice(reply.get_body()?);
            Ok((reply.get_generation() > above).then(|| (reply.get_generation(), body)))
        };
        self.await_reply(addr, connection, call_timeout, answer)
            .await
    }

    async fn await_reply<T>(
        &self,
        addr: SocketAddr,
        connection: Rc<Connection>,
        call_timeout: Duration,
        answer: impl Future<Output = Result<T, capnp::Error>>,
    ) -> Result<T, RpcError> {
        let call = Call::begin(connection);
        let failure = match timeout(call_timeout, answer).await {
            Ok(Ok(value)) => return Ok(value),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "the call timed out".into(),
        };
        retire(&self.peers, addr, &call.connection);
        Err(RpcError::Unanswered(failure))
    }

    /// Returns the connection to a peer, and opens it if there is none.
    async fn connection(&self, addr: SocketAddr) -> Result<Rc<Connection>, RpcError> {
        if let Some(connection) = self.peers.borrow().get(&addr) {
            return Ok(connection.clone());
        }
        let connection = open(&self.peers, addr)
            .await
            .map_err(|e| RpcError::NotSent(format!("{addr}: {e}")))?;
        let mut peers = self.peers.borrow_mut();
        if let Some(previous) = peers.insert(addr, connection.clone()) {
            previous.retire();
        }
        let leaving = follow_leaving(self.peers.clone(), addr, connection.clone());
        compio::runtime::spawn(leaving).detach();
        Ok(connection)
    }

    /// Retires the connection to a peer; the next call opens a new one.
    pub fn disconnect(&self, addr: SocketAddr) {
        let connection = self.peers.borrow_mut().remove(&addr);
        if let Some(connection) = connection {
            connection.retire();
        }
    }
}

/// Opens a connection and waits until the peer answers on it.
///
/// A stopping process may still hold a connection that it never accepts. Without the answer,
/// a call that was sent on it could not be told from one that the peer has received.
async fn open(peers: &Peers, addr: SocketAddr) -> Result<Rc<Connection>, String> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| "the connection attempt timed out".to_owned())?
        .map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let (reader, writer) = LimitedStream::outgoing(stream).split();
    let network = VatNetwork::new(reader, writer, Side::Client, reader_options());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: node::Client = system.bootstrap(Side::Server);
    let disconnector = system.get_disconnector();
    let connection = Rc::new(Connection {
        client: client.clone(),
        calls: Cell::new(0),
        retired: Cell::new(false),
        unused: Flag::default(),
    });
    let (peers, opened) = (peers.clone(), connection.clone());
    compio::runtime::spawn(async move {
        let close = async {
            opened.unused.wait().await;
            let _ = timeout(CLOSE_TIMEOUT, disconnector).await;
        };
        let _ = select(system, pin!(close)).await;
        retire(&peers, addr, &opened);
    })
    .detach();
    let mut probe = client.config_request();
    probe.get().set_above(u64::MAX);
    let failure = match timeout(CONNECT_TIMEOUT, probe.send().promise).await {
        Ok(Ok(_)) => return Ok(connection),
        Ok(Err(e)) => e.to_string(),
        Err(_) => "the peer did not answer on a new connection".to_owned(),
    };
    connection.retire();
    Err(failure)
}

/// Retires a connection and removes it from the table, unless another one took its place.
fn retire(peers: &Peers, addr: SocketAddr, connection: &Rc<Connection>) {
    let mut peers = peers.borrow_mut();
    if peers.get(&addr).is_some_and(|c| Rc::ptr_eq(c, connection)) {
        peers.remove(&addr);
    }
    connection.retire();
}

/// Retires a connection once the peer begins a planned stop.
async fn follow_leaving(peers: Peers, addr: SocketAddr, connection: Rc<Connection>) {
    let leaving = connection.client.leaving_request().send().promise;
    // A peer of an older version does not know the call; its connection is kept.
    if leaving.await.is_ok() {
        retire(&peers, addr, &connection);
    }
}

fn write_request(
    mut out: crate::node_capnp::forward_request::Builder<'_>,
    request: &ForwardRequest,
) {
    out.set_id(request.id.as_str());
    out.set_account(request.account.as_str());
    out.set_service(request.service.as_str());
    out.set_method(request.method.as_str());
    out.set_path(request.path.as_str());
    out.set_body(&request.body);
    out.set_key(request.key.as_str());
    out.set_repeat(request.outcome_only);
    out.set_life(request.incarnation);
    out.set_claim(request.claim_revision);
    out.set_remaining_ms(request.remaining_ms);
    let mut headers = out.init_headers(request.headers.len() as u32);
    for (i, (name, value)) in request.headers.iter().enumerate() {
        let mut header = headers.reborrow().get(i as u32);
        header.set_name(name.as_str());
        header.set_value(value);
    }
}

fn read_reply(
    reader: crate::node_capnp::forward_reply::Reader<'_>,
) -> Result<ForwardReply, capnp::Error> {
    let mut headers = Vec::new();
    for header in reader.get_headers()? {
        let name = header.get_name()?.to_str()?;
        headers.push((name.into(), Bytes::copy_from_slice(header.get_value()?)));
    }
    let code = Code::try_from(reader.get_code()).map_err(capnp::Error::failed)?;
    Ok(ForwardReply {
        code,
        detail: reader.get_detail()?.to_str()?.into(),
        status: reader.get_status(),
        headers,
        body: copy_body(reader.get_body()?)?,
        replayed: reader.get_repeated(),
        running: reader.get_running(),
        queued: reader.get_queued(),
    })
}
