//! An HTTP server with limits on requests and a graceful shutdown.

use super::body::BodyBuffer;
use crate::clients::BUFFER_BYTES;
use crate::clients::ClientConnection;
use crate::clients::ClientLimiter;
use crate::clients::Exhausted;
use crate::clients::LimitedStream;
use crate::clients::SMALL_BODY_BYTES;
use crate::signal::Flag;
use bytes::Buf;
use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpSocket;
use compio::net::TcpStream;
use compio::time::timeout;
use cyper_core::CompioTimer;
use futures_util::FutureExt;
use futures_util::future::AbortHandle;
use futures_util::future::Abortable;
use futures_util::future::Either;
use futures_util::future::poll_fn;
use futures_util::future::select;
use hibiscusbarrow_coordination::client_budget::Class;
use hibiscusbarrow_coordination::client_budget::Phase;
use hibiscusbarrow_coordination::client_budget::Size;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::service::service_fn;
use serde::Serialize;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

/// A response with its complete body.
pub type Reply = Response<Bytes>;

/// Limits of one listener, and the drain delay at shutdown.
///
/// What all listeners of a process hold together is limited by a [`ClientLimiter`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The class of the clients, whose pool they use.
    pub class: Class,
    /// The largest request body, in bytes.
    pub max_body_bytes: usize,
    /// The bytes that handling a request takes for each byte of its body, besides the body.
    pub handling_factor: u64,
    /// The longest wait for the head of a request to arrive.
    pub head_timeout: Duration,
    /// The longest wait for the complete body of a request.
    pub body_timeout: Duration,
    /// The longest time without a byte of a body, or without the client reading its answer.
    pub stall_timeout: Duration,
    /// Returns whether requests for a path are also answered when no connection is left for
    /// clients, such as readiness checks at the address of callers.
    pub is_reserved: fn(&str) -> bool,
    /// How long the server keeps accepting requests after a shutdown was requested.
    pub drain_delay: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            class: Class::Clients,
            max_body_bytes: 1 << 20,
            handling_factor: 4,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            stall_timeout: Duration::from_secs(10),
            is_reserved: |_| false,
            drain_delay: Duration::ZERO,
        }
    }
}

impl Limits {
    /// Returns the size of the system's receive buffer of a connection, in bytes.
    ///
    /// It holds what a client has sent and the process has not read yet. 64 KiB let a body of
    /// 1 MiB arrive in 1.6 s over a path with a round trip of 100 ms; 128 KiB let one of 16 MiB
    /// arrive in 13 s, well within the body timeout.
    fn receive_buffer(&self) -> u32 {
        if self.max_body_bytes > 1 << 20 {
            128 << 10
        } else {
            64 << 10
        }
    }
}

/// The largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The largest number of header fields of a request.
const MAX_HEADERS: usize = 100;
/// The size of the system's send buffer of a connection, in bytes.
const SEND_BUFFER_BYTES: u32 = 64 << 10;
/// The length of the queue of connections that are not accepted yet.
const BACKLOG: i32 = 128;
/// The longest wait for the head of a request that is about to be refused, as no connection is
/// left.
const OVERFLOW_HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// How many bytes of a refused request beyond the largest body are read and discarded before its
/// connection is closed. Unread bytes would make the system reset the connection, and a client that
/// sends its whole body before it reads would never see the answer.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// For how long they are discarded once the server is closing, which must not be delayed; otherwise
/// for the stall timeout at most.
const STOP_DISCARD_TIMEOUT: Duration = Duration::from_millis(100);
/// The first and the longest delay after a connection could not be accepted.
const MIN_ACCEPT_DELAY: Duration = Duration::from_millis(10);
const MAX_ACCEPT_DELAY: Duration = Duration::from_secs(1);

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The HTTP method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query string without its question mark; empty if there is none.
    pub query: String,
    /// The header fields.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Request {
    /// Returns the value of a header field; empty if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or("")
    }

    /// Returns the value of a query parameter, without percent-decoding.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// Parses the body as JSON; fails with [`Code::BadRequest`].
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, Fault> {
        serde_json::from_slice(&self.body).map_err(|e| Fault::new(Code::BadRequest, e.to_string()))
    }
}

/// Creates a reply with a JSON body.
pub fn json_reply(status: u16, value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).expect("the value serialises to JSON");
    let mut reply = Response::new(Bytes::from(body));
    *reply.status_mut() = status.try_into().expect("the status is valid");
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

/// Creates a reply with a fault as its JSON body, and its code as `x-result-code`.
pub fn fault_reply(fault: &Fault) -> Reply {
    let mut reply = json_reply(fault.code.status(), fault);
    let code = HeaderValue::from_str(&fault.code.to_string()).expect("codes are ASCII");
    reply.headers_mut().insert("x-result-code", code);
    reply
}

/// Creates a reply with a plain text body.
pub fn text_reply(status: u16, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(text.into());
    *reply.status_mut() = status.try_into().expect("the status is valid");
    reply
}

/// Binds a listener whose connections have system buffers of the sizes that the limits count.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn bind(addr: SocketAddr, limits: &Limits) -> std::io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4().await?,
        SocketAddr::V6(_) => TcpSocket::new_v6().await?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(limits.receive_buffer())?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(addr).await?;
    socket.listen(BACKLOG).await
}

/// Serves requests until `stop` is raised and all requests in flight are answered.
///
/// The limits for all clients together are those of a large machine, as stand-ins need them.
pub async fn serve<H, F>(listener: TcpListener, limits: Limits, stop: Flag, handler: H)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    serve_limited(listener, ClientLimiter::detached(), limits, stop, handler).await;
}

/// Serves requests within the limits of the process until `stop` is raised and all requests in
/// flight are answered.
///
/// After `stop` is raised, the server accepts requests for [`Limits::drain_delay`] and
/// adds `connection: close` to its replies, so that a load balancer can remove it from
/// rotation. Then it closes the listener and answers the requests in flight.
pub async fn serve_limited<H, F>(
    listener: TcpListener,
    limiter: ClientLimiter,
    limits: Limits,
    stop: Flag,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let open = Rc::new(Cell::new(0usize));
    let closing = Flag::default();
    let drain = {
        let (stop, closing) = (stop.clone(), closing.clone());
        compio::runtime::spawn(async move {
            stop.wait().await;
            compio::time::sleep(limits.drain_delay).await;
            closing.raise();
        })
    };
    let mut accept_delay = MIN_ACCEPT_DELAY;
    loop {
        let accept = pin!(listener.accept());
        let close = pin!(closing.wait());
        let (stream, addr) = match select(accept, close).await {
            Either::Left((Ok(accepted), _)) => accepted,
            Either::Left((Err(e), _)) => {
                limiter.record_accept_failure(&e);
                limiter.close_one(limits.class);
                compio::time::sleep(accept_delay).await;
                accept_delay = (2 * accept_delay).min(MAX_ACCEPT_DELAY);
                continue;
            }
            Either::Right(_) => break,
        };
        accept_delay = MIN_ACCEPT_DELAY;
        let (abort, registration) = AbortHandle::new_pair();
        let opening = pin!(open_connection(&limiter, limits.class, addr, abort));
        let close = pin!(closing.wait());
        let connection = match select(opening, close).await {
            Either::Left((connection, _)) => connection,
            Either::Right(_) => {
                limiter.record_closed("no_connection", addr, "cause=no_connection");
                break;
            }
        };
        let Some(connection) = connection else {
            limiter.record_closed("no_connection", addr, "cause=no_connection");
            continue;
        };
        let context = Rc::new(Exchange {
            limits,
            stop: stop.clone(),
            is_overflow: connection.class != limits.class,
            connection,
        });
        let serving = serve_connection(stream, context, closing.clone(), handler.clone());
        let serving = Abortable::new(serving, registration);
        let counted = InUse::begin(open.clone());
        compio::runtime::spawn(async move {
            let _ = serving.await;
            drop(counted);
        })
        .detach();
    }
    drop(listener);
    while open.get() > 0 {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(drain);
}

/// A connection that counts as open until it is dropped, also when its handler panics.
struct InUse(Rc<Cell<usize>>);

impl InUse {
    fn begin(open: Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open)
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Opens a connection of its class or, if none is left, one that can be refused.
async fn open_connection(
    limiter: &ClientLimiter,
    class: Class,
    addr: SocketAddr,
    abort: AbortHandle,
) -> Option<Rc<ClientConnection>> {
    match limiter.open(class, addr, abort.clone()).await {
        Ok(connection) => Some(connection),
        Err(Exhausted) => limiter.open_overflow(addr, abort).await.ok(),
    }
}

/// What the requests of one connection share.
struct Exchange {
    limits: Limits,
    stop: Flag,
    connection: Rc<ClientConnection>,
    /// Whether no connection was left, so that only reserved paths are answered.
    is_overflow: bool,
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    exchange: Rc<Exchange>,
    closing: Flag,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let _ = stream.set_nodelay(true);
    let limits = exchange.limits;
    let head_timeout = match exchange.is_overflow {
        true => limits.head_timeout.min(OVERFLOW_HEAD_TIMEOUT),
        false => limits.head_timeout,
    };
    let connection = exchange.connection.clone();
    let stream = LimitedStream::incoming(stream, connection.clone(), limits.stall_timeout);
    // The parser's connection has to stay movable, which a reference-counted handler is.
    let handler = Rc::new(handler);
    let service = service_fn(move |request| {
        let (exchange, handler) = (exchange.clone(), handler.clone());
        Box::pin(async move { Ok::<_, Infallible>(exchange.answer(request, handler).await) })
    });
    let http = hyper::server::conn::http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(head_timeout)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(stream, service);
    let mut http = Some(http);
    let mut close = pin!(closing.wait());
    let mut is_closing = false;
    let served = poll_fn(|cx| {
        let http = http.as_mut().expect("the connection is present");
        if !is_closing && close.as_mut().poll(cx).is_ready() {
            is_closing = true;
            Pin::new(&mut *http).graceful_shutdown();
        }
        http.poll_without_shutdown(cx)
    })
    .await;
    let Some(http) = http.take().filter(|_| served.is_ok()) else {
        return;
    };
    let mut stream = http.into_parts().io;
    connection.enter(Phase::Closing);
    let shut_down = poll_fn(|cx| hyper::rt::Write::poll_shutdown(Pin::new(&mut stream), cx));
    if shut_down.await.is_err() || !connection.is_refused() {
        return;
    }
    let limit = match is_closing {
        true => STOP_DISCARD_TIMEOUT,
        false => limits.stall_timeout,
    };
    let max_bytes = limits.max_body_bytes.saturating_add(MAX_DISCARDED_BYTES);
    let discard = pin!(timeout(limit, discard(&mut stream, max_bytes)));
    match is_closing {
        true => drop(discard.await),
        false => drop(select(discard, close).await),
    }
}

/// Reads and discards what a client still sends after its request was refused.
async fn discard(stream: &mut LimitedStream, max_bytes: usize) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut left = max_bytes;
    while left > 0 {
        let count = futures_util::AsyncReadExt::read(stream, &mut buffer).await?;
        if count == 0 {
            break;
        }
        left = left.saturating_sub(count);
    }
    Ok(())
}

/// The refusal of a request that has not reached its handler.
struct Refusal {
    cause: &'static str,
    fault: Fault,
    /// Whether the same request can succeed later.
    is_temporary: bool,
}

impl Refusal {
    fn new(cause: &'static str, code: Code, detail: impl Into<smol_str::SmolStr>) -> Self {
        Self {
            cause,
            fault: Fault::new(code, detail),
            is_temporary: false,
        }
    }

    fn overloaded(cause: &'static str, detail: &'static str) -> Self {
        Self {
            is_temporary: true,
            ..Self::new(cause, Code::Overloaded, detail)
        }
    }
}

impl Exchange {
    /// Answers one request of the connection.
    async fn answer<H, F>(
        self: Rc<Self>,
        request: hyper::Request<Incoming>,
        handler: Rc<H>,
    ) -> Response<ReplyBody>
    where
        H: Fn(Request) -> F,
        F: Future<Output = Reply>,
    {
        let mut reply = match self.receive(request).await {
            Ok(request) => {
                let reply = handler(request).await;
                self.hold_reply(reply).await
            }
            Err(refusal) => self.refuse(refusal),
        };
        if self.stop.is_raised() {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(header::CONNECTION, close);
        }
        self.connection.enter(Phase::Reply);
        reply.map(|body| ReplyBody::new(body, &self.connection))
    }

    /// Receives a request completely, and holds what its handler needs.
    async fn receive(&self, request: hyper::Request<Incoming>) -> Result<Request, Refusal> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        if self.is_overflow && !(self.limits.is_reserved)(path) {
            let detail = "the process has no connection left for the request";
            return Err(Refusal::overloaded("connections", detail));
        }
        let body = self.receive_body(body).await?;
        self.connection.enter(Phase::Handling);
        let receive_buffer = u64::from(self.limits.receive_buffer());
        let needed = receive_buffer + body.len() as u64 * (1 + self.limits.handling_factor);
        let held = self.connection.hold(needed, size_of_body(body.len())).await;
        held.map_err(|Exhausted| no_memory("handling the request"))?;
        Ok(Request {
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or("").to_owned(),
            headers: head.headers,
            body,
        })
    }

    /// Receives a body into one buffer, whose growth is charged before it is allocated.
    async fn receive_body(&self, mut body: Incoming) -> Result<Bytes, Refusal> {
        let max_body = match self.is_overflow {
            true => self.limits.max_body_bytes.min(SMALL_BODY_BYTES),
            false => self.limits.max_body_bytes,
        };
        let announced = body.size_hint().exact();
        if announced.is_some_and(|len| len > max_body as u64) {
            return Err(self.body_too_large(announced.unwrap_or(0)));
        }
        let max_len = announced.map_or(max_body, |len| len as usize);
        self.connection.enter(Phase::Body);
        let mut buffer = BodyBuffer::new(max_len);
        let deadline = self.connection.now() + self.limits.body_timeout;
        while let Some(frame) = self.next_frame(&mut body, deadline).await? {
            let Some(data) = frame.data_ref() else {
                continue;
            };
            let len = buffer.len() + data.len();
            if len > max_body {
                return Err(self.body_too_large(len as u64));
            }
            if let Some(capacity) = buffer.next_capacity(data.len()) {
                self.grow(&mut buffer, capacity).await?;
            }
            buffer.extend(data);
        }
        Ok(buffer.into_bytes())
    }

    /// Returns the refusal of a body that is larger than this connection may send.
    fn body_too_large(&self, len: u64) -> Refusal {
        let max_body = self.limits.max_body_bytes;
        if len <= max_body as u64 {
            let detail = "the process has no connection left for a large request";
            return Refusal::overloaded("connections", detail);
        }
        let detail = format!("the request body exceeds {max_body} bytes");
        Refusal::new("too_large", Code::TooLarge, detail)
    }

    /// Grows a buffer; holds both the former and the new one while the bytes are copied.
    async fn grow(&self, buffer: &mut BodyBuffer, capacity: usize) -> Result<(), Refusal> {
        let receive_buffer = u64::from(self.limits.receive_buffer());
        let both = receive_buffer + (buffer.capacity() + capacity) as u64;
        let size = size_of_body(capacity);
        let held = self.connection.hold(both, size).await;
        held.map_err(|Exhausted| no_memory("the request body"))?;
        buffer
            .grow(capacity)
            .map_err(|_| no_memory("the request body"))?;
        let held = self
            .connection
            .hold(receive_buffer + capacity as u64, size)
            .await;
        held.map_err(|Exhausted| no_memory("the request body"))
    }

    /// Returns the next part of a body, or nothing at its end.
    async fn next_frame(
        &self,
        body: &mut Incoming,
        deadline: Duration,
    ) -> Result<Option<Frame<Bytes>>, Refusal> {
        loop {
            // A part that is there needs no timer; a body of tiny chunks has very many.
            if let Some(ready) = body.frame().now_or_never() {
                return ready.transpose().map_err(|_| malformed_body());
            }
            let stall_end = self.connection.last_read() + self.limits.stall_timeout;
            let wait_end = stall_end.min(deadline);
            let wait = wait_end.saturating_sub(self.connection.now());
            match timeout(wait, body.frame()).await {
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => return Ok(Some(frame)),
                Ok(Some(Err(_))) => return Err(malformed_body()),
                Err(_) => {
                    let now = self.connection.now();
                    let late = "the request body did not arrive in time";
                    if now >= deadline {
                        return Err(Refusal::new("body_timeout", Code::BadRequest, late));
                    }
                    if now >= self.connection.last_read() + self.limits.stall_timeout {
                        return Err(Refusal::new("stalled_body", Code::BadRequest, late));
                    }
                }
            }
        }
    }

    /// Holds the memory of an answer until it is sent.
    ///
    /// If it does not fit, the client learns that the outcome is unknown, as its request was
    /// handled.
    async fn hold_reply(&self, reply: Reply) -> Reply {
        let receive_buffer = u64::from(self.limits.receive_buffer());
        let len = reply.body().len();
        let size = size_of_body(len);
        let held = self
            .connection
            .hold(receive_buffer + len as u64, size)
            .await;
        if held.is_ok() {
            return reply;
        }
        drop(reply);
        let detail = "the process has no memory left for the answer";
        let refusal = Refusal::new("reply_memory", Code::OutcomeUnknown, detail);
        self.refuse(refusal)
    }

    /// Returns the answer to a request that is refused, after which the connection is closed.
    fn refuse(&self, refusal: Refusal) -> Reply {
        let limiter = self.connection.limiter();
        let detail = format!(
            "cause={} code={} class={}",
            refusal.cause,
            refusal.fault.code,
            self.connection.class.name()
        );
        limiter.record_refused(refusal.cause, self.connection.addr, &detail);
        self.connection.mark_refused();
        let mut reply = fault_reply(&refusal.fault);
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(header::CONNECTION, close);
        if refusal.is_temporary {
            let seconds = HeaderValue::from(limiter.retry_after().as_secs());
            reply.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        reply
    }
}

fn size_of_body(len: usize) -> Size {
    if len <= SMALL_BODY_BYTES {
        Size::Small
    } else {
        Size::Large
    }
}

fn malformed_body() -> Refusal {
    let detail = "the request body ended early or is malformed";
    Refusal::new("malformed_body", Code::BadRequest, detail)
}

fn no_memory(what: &str) -> Refusal {
    let detail = match what {
        "the request body" => "the process has no memory left for the request body",
        _ => "the process has no memory left for handling the request",
    };
    Refusal::overloaded("memory", detail)
}

/// The body of an answer, which is held until it has been sent.
struct ReplyBody {
    data: Option<ReplyData>,
}

impl ReplyBody {
    fn new(bytes: Bytes, connection: &Rc<ClientConnection>) -> Self {
        let data = ReplyData {
            bytes,
            connection: connection.clone(),
        };
        // An empty body is complete at once, so that its share is released here.
        let data = Some(data).filter(|d| !d.bytes.is_empty());
        Self { data }
    }
}

impl Body for ReplyBody {
    type Data = ReplyData;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<ReplyData>, Infallible>>> {
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let len = self.data.as_ref().map_or(0, |d| d.bytes.len());
        SizeHint::with_exact(len as u64)
    }
}

/// The bytes of an answer; when they are dropped, the connection waits for the next request.
struct ReplyData {
    bytes: Bytes,
    connection: Rc<ClientConnection>,
}

impl Buf for ReplyData {
    fn remaining(&self) -> usize {
        self.bytes.len()
    }

    fn chunk(&self) -> &[u8] {
        &self.bytes
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}

impl Drop for ReplyData {
    fn drop(&mut self) {
        self.connection.finish_request();
    }
}
