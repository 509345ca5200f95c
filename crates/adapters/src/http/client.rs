//! An HTTP client whose errors say whether the request may have been sent.

use super::body::BodyBuffer;
use crate::clients::LimitedStream;
use bytes::Bytes;
use compio::net::TcpStream;
use compio::time::sleep;
use compio::time::timeout;
use futures_util::future::Either;
use futures_util::future::select;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

/// The largest number of idle connections in the pool for one address.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// The largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The failure of an HTTP call.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[error("the request was not sent: {0}")]
    NotSent(String),
    /// The request may have arrived, but no complete answer was received.
    #[error("no answer was received: {0}")]
    Unanswered(String),
    /// The answer is incomplete, too large or unreadable.
    #[error("the answer is incomplete or unreadable: {0}")]
    Truncated(String),
    /// No byte of the request was sent, as the process gave another answer than expected to the
    /// greeting: this status and body.
    #[error("the greeting was answered with status {0}")]
    Unexpected(u16, Bytes),
}

/// A request that shows which process is at the other end of a new connection.
///
/// An address and a name may pass to another process; a connection does not.
#[derive(Clone)]
pub struct Greeting {
    /// The number of the process. Connections are used again for the same number only.
    pub process: u64,
    /// The request, which must have no effect on another process.
    pub request: http::Request<Bytes>,
    /// Returns whether the answer is that of the process.
    pub is_expected: fn(&Response<Bytes>, u64) -> bool,
}

/// The address of a process, and its number if connections are opened with a greeting.
type Peer = (SocketAddr, Option<u64>);

/// How long a call may take whose answer can be large and its path slow.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// The time until the first bytes of the answer's body.
    pub first: Duration,
    /// The time in which further bytes have to arrive.
    pub idle: Duration,
    /// The time for the whole call.
    pub total: Duration,
}

/// How far a call has come.
#[derive(Default)]
struct Progress {
    /// Whether the request may have been sent.
    sent: Cell<bool>,
    /// The bytes of the answer's body that have arrived.
    received: Cell<usize>,
}

impl Progress {
    /// Waits until the answer has ceased to arrive, or has taken too long.
    async fn wait_for_stall(&self, patience: Patience) {
        sleep(patience.first).await;
        let (mut elapsed, mut seen) = (patience.first, 0);
        while self.received.get() > seen && elapsed < patience.total {
            seen = self.received.get();
            sleep(patience.idle).await;
            elapsed += patience.idle;
        }
    }

    /// Returns the failure of a call that has timed out.
    fn timeout_error(&self) -> SendError {
        if !self.sent.get() {
            return SendError::NotSent("no connection was ready in time".into());
        }
        let detail = match self.received.get() {
            0 => "the call timed out".into(),
            count => format!("the call timed out after {count} bytes of its answer"),
        };
        SendError::Unanswered(detail)
    }
}

/// An HTTP client with a pool of persistent connections.
#[derive(Default)]
pub struct HttpClient {
    idle: RefCell<HashMap<Peer, Vec<SendRequest<Full<Bytes>>>>>,
}

impl HttpClient {
    /// Sends a request and returns the complete answer.
    ///
    /// `call_timeout` limits the whole call, including the connection attempt. An answer
    /// with a body larger than `max_body` bytes fails with [`SendError::Truncated`].
    pub async fn call(
        &self,
        addr: SocketAddr,
        request: http::Request<Bytes>,
        call_timeout: Duration,
        max_body: usize,
    ) -> Result<Response<Bytes>, SendError> {
        self.call_greeted(addr, None, request, call_timeout, max_body)
            .await
    }

    /// Sends a request and returns the complete answer, for which it waits as long as bytes arrive.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::call`].
    pub async fn download(
        &self,
        addr: SocketAddr,
        request: http::Request<Bytes>,
        patience: Patience,
        max_body: usize,
    ) -> Result<Response<Bytes>, SendError> {
        let progress = Progress::default();
        let call = pin!(self.exchange(addr, None, request, max_body, &progress));
        let stall = pin!(progress.wait_for_stall(patience));
        match select(call, stall).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(progress.timeout_error()),
        }
    }

    /// Sends a request to the process that a greeting names, and to no other at the same address.
    ///
    /// The limits are those of [`Self::call`]; the time for a greeting counts towards the timeout.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Unexpected`] if another process answers the greeting.
    pub async fn call_process(
        &self,
        addr: SocketAddr,
        greeting: Greeting,
        request: http::Request<Bytes>,
        call_timeout: Duration,
        max_body: usize,
    ) -> Result<Response<Bytes>, SendError> {
        self.call_greeted(addr, Some(greeting), request, call_timeout, max_body)
            .await
    }

    async fn call_greeted(
        &self,
        addr: SocketAddr,
        greeting: Option<Greeting>,
        request: http::Request<Bytes>,
        call_timeout: Duration,
        max_body: usize,
    ) -> Result<Response<Bytes>, SendError> {
        let progress = Progress::default();
        let call = self.exchange(addr, greeting, request, max_body, &progress);
        match timeout(call_timeout, call).await {
            Ok(result) => result,
            Err(_) => Err(progress.timeout_error()),
        }
    }

    /// Sends a JSON body with POST and returns the status and the parsed JSON answer.
    pub async fn post_json<T: serde::de::DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &impl serde::Serialize,
        call_timeout: Duration,
    ) -> Result<(u16, T), SendError> {
        let body = serde_json::to_vec(body).expect("the value serialises to JSON");
        let request = http::Request::post(path)
            .header("host", addr.to_string())
            .header("content-type", "application/json")
            .body(Bytes::from(body))
            .map_err(|e| SendError::NotSent(e.to_string()))?;
        let reply = self.call(addr, request, call_timeout, 16 << 20).await?;
        let status = reply.status().as_u16();
        let value = serde_json::from_slice(reply.body())
            .map_err(|e| SendError::Truncated(format!("status {status}: {e}")))?;
        Ok((status, value))
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        greeting: Option<Greeting>,
        request: http::Request<Bytes>,
        max_body: usize,
        progress: &Progress,
    ) -> Result<Response<Bytes>, SendError> {
        let peer = (addr, greeting.as_ref().map(|g| g.process));
        let mut request = request.map(Full::new);
        loop {
            let (mut sender, is_new) = self.connect(peer).await?;
            if let Some(greeting) = greeting.as_ref().filter(|_| is_new) {
                greet(&mut sender, greeting, max_body).await?;
                self.forget_others(peer);
            }
            progress.sent.set(true);
            match sender.try_send_request(request).await {
                Ok(reply) => {
                    let reply = read_body(reply, max_body, progress).await?;
                    self.put_idle(peer, sender);
                    return Ok(reply);
                }
                Err(mut failure) => match failure.take_message() {
                    Some(unsent) if !is_new => {
                        progress.sent.set(false);
                        request = unsent;
                    }
                    Some(_) => return Err(SendError::NotSent(failure.error().to_string())),
                    None => return Err(SendError::Unanswered(failure.error().to_string())),
                },
            }
        }
    }

    /// Returns an idle or new connection that is ready to send, and whether it is new.
    async fn connect(&self, peer: Peer) -> Result<(SendRequest<Full<Bytes>>, bool), SendError> {
        while let Some(mut sender) = self.take_idle(peer) {
            if !sender.is_closed() && sender.ready().await.is_ok() {
                return Ok((sender, false));
            }
        }
        let (addr, _) = peer;
        let not_sent = |e: String| SendError::NotSent(format!("{addr}: {e}"));
        let stream = TcpStream::connect(addr)
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(LimitedStream::outgoing(stream))
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        compio::runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        sender.ready().await.map_err(|e| not_sent(e.to_string()))?;
        Ok((sender, true))
    }

    fn take_idle(&self, peer: Peer) -> Option<SendRequest<Full<Bytes>>> {
        self.idle.borrow_mut().get_mut(&peer)?.pop()
    }

    fn put_idle(&self, peer: Peer, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(peer).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(sender);
        }
    }

    /// Closes the idle connections to former processes at the address of a peer.
    fn forget_others(&self, peer: Peer) {
        let is_current = |other: &Peer| other.0 != peer.0 || other.1.is_none() || *other == peer;
        self.idle.borrow_mut().retain(|other, _| is_current(other));
    }
}

/// Sends a greeting on a new connection.
///
/// # Errors
///
/// Returns [`SendError::NotSent`] if it is not answered, as nothing else was sent, and
/// [`SendError::Unexpected`] if the answer is not that of the process.
async fn greet(
    sender: &mut SendRequest<Full<Bytes>>,
    greeting: &Greeting,
    max_body: usize,
) -> Result<(), SendError> {
    let unanswered = |e: String| SendError::NotSent(format!("the greeting got no answer: {e}"));
    let request = greeting.request.clone().map(Full::new);
    let reply = sender.send_request(request).await;
    let reply = reply.map_err(|e| unanswered(e.to_string()))?;
    let reply = read_body(reply, max_body, &Progress::default()).await;
    let reply = reply.map_err(|e| unanswered(e.to_string()))?;
    if !(greeting.is_expected)(&reply, greeting.process) {
        let status = reply.status().as_u16();
        return Err(SendError::Unexpected(status, reply.into_body()));
    }
    let ready = sender.ready().await;
    ready.map_err(|e| SendError::NotSent(e.to_string()))
}

/// Reads the body of an answer into one buffer, which grows as the body arrives.
async fn read_body(
    reply: Response<Incoming>,
    max_body: usize,
    progress: &Progress,
) -> Result<Response<Bytes>, SendError> {
    let (parts, mut body) = reply.into_parts();
    let truncated = |e: &dyn std::fmt::Display| SendError::Truncated(e.to_string());
    let too_large = || SendError::Truncated(format!("the body exceeds {max_body} bytes"));
    let announced = body.size_hint().exact();
    let max_len = announced.unwrap_or(max_body as u64);
    if max_len > max_body as u64 {
        return Err(too_large());
    }
    let mut buffer = BodyBuffer::new(max_len as usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| truncated(&e))?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buffer.len() + data.len() > max_body {
            return Err(too_large());
        }
        if let Some(capacity) = buffer.next_capacity(data.len()) {
            buffer.grow(capacity).map_err(|e| truncated(&e))?;
        }
        buffer.extend(data);
        progress.received.set(buffer.len());
    }
    Ok(Response::from_parts(parts, buffer.into_bytes()))
}
