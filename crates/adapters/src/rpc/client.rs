//! The client side of the RPC protocol.

use super::ForwardReply;
use super::ForwardRequest;
use super::server::reader_options;
use crate::node_capnp::node;
use bytes::Bytes;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use compio::time::timeout;
use futures_util::AsyncReadExt;
use hibiscusbarrow_model::code::Code;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

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
    peers: Rc<RefCell<HashMap<SocketAddr, Peer>>>,
    next_number: Cell<u64>,
}

/// An open connection, numbered so that a connection that ends late does not remove
/// its successor from the table.
struct Peer {
    number: u64,
    client: node::Client,
}

impl RpcClient {
    /// Forwards a request to a sidecar.
    pub async fn forward(
        &self,
        addr: SocketAddr,
        request: &ForwardRequest,
        call_timeout: Duration,
    ) -> Result<ForwardReply, RpcError> {
        let client = self.client(addr).await?;
        let mut call = client.forward_request();
        write_request(call.get().init_request(), request);
        let answer = async {
            let response = call.send().promise.await?;
            read_reply(response.get()?.get_reply()?)
        };
        self.await_reply(addr, call_timeout, answer).await
    }

    /// Fetches the configuration of a peer if its generation is higher than `above`.
    pub async fn config(
        &self,
        addr: SocketAddr,
        above: u64,
        call_timeout: Duration,
    ) -> Result<Option<(u64, Bytes)>, RpcError> {
        let client = self.client(addr).await?;
        let mut call = client.config_request();
        call.get().set_above(above);
        let answer = async {
            let response = call.send().promise.await?;
            let reply = response.get()?.get_reply()?;
            let body = Bytes::copy_from_slice(reply.get_body()?);
            Ok((reply.get_generation() > above).then(|| (reply.get_generation(), body)))
        };
        self.await_reply(addr, call_timeout, answer).await
    }

    async fn await_reply<T>(
        &self,
        addr: SocketAddr,
        call_timeout: Duration,
        answer: impl Future<Output = Result<T, capnp::Error>>,
    ) -> Result<T, RpcError> {
        match timeout(call_timeout, answer).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(e)) => {
                self.peers.borrow_mut().remove(&addr);
                Err(RpcError::Unanswered(e.to_string()))
            }
            Err(_) => Err(RpcError::Unanswered("the call timed out".into())),
        }
    }

    async fn client(&self, addr: SocketAddr) -> Result<node::Client, RpcError> {
        if let Some(peer) = self.peers.borrow().get(&addr) {
            return Ok(peer.client.clone());
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
            .await
            .map_err(|_| RpcError::NotSent(format!("{addr}: the connection attempt timed out")))?
            .map_err(|e| RpcError::NotSent(format!("{addr}: {e}")))?;
        let _ = stream.set_nodelay(true);
        let (reader, writer) = AsyncStream::new(stream).split();
        let network = VatNetwork::new(reader, writer, Side::Client, reader_options());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: node::Client = system.bootstrap(Side::Server);
        let number = self.next_number.replace(self.next_number.get() + 1);
        let peer = Peer {
            number,
            client: client.clone(),
        };
        self.peers.borrow_mut().insert(addr, peer);
        let peers = self.peers.clone();
        compio::runtime::spawn(async move {
            let _ = system.await;
            let mut peers = peers.borrow_mut();
            if peers.get(&addr).is_some_and(|p| p.number == number) {
                peers.remove(&addr);
            }
        })
        .detach();
        Ok(client)
    }

    /// Drops the connection to a peer; the next call opens a new one.
    pub fn disconnect(&self, addr: SocketAddr) {
        self.peers.borrow_mut().remove(&addr);
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
        body: Bytes::copy_from_slice(reader.get_body()?),
        replayed: reader.get_repeated(),
        running: reader.get_running(),
        queued: reader.get_queued(),
    })
}
