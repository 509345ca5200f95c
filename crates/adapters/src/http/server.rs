//! An HTTP server with limits on requests and a graceful shutdown.

use crate::signal::Flag;
use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::time::timeout;
use cyper_core::CompioTimer;
use cyper_core::HyperStream;
use futures_util::future::Either;
use futures_util::future::select;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::service::service_fn;
use serde::Serialize;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// A response with its complete body.
pub type Reply = Response<Bytes>;

/// Limits on the resources that clients can occupy, and the drain delay at shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The largest request body, in bytes.
    pub max_body_bytes: usize,
    /// The longest wait for the head of a request to arrive.
    pub head_timeout: Duration,
    /// The longest wait for the complete body of a request.
    pub body_timeout: Duration,
    /// The largest number of open connections; further ones are closed at once.
    pub max_connections: usize,
    /// How long the server keeps accepting requests after a shutdown was requested.
    pub drain_delay: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            max_connections: 4096,
            drain_delay: Duration::ZERO,
        }
    }
}

/// The largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The largest number of header fields of a request.
const MAX_HEADERS: usize = 100;

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

/// Serves requests until `stop` is raised and all requests in flight are answered.
///
/// After `stop` is raised, the server accepts requests for [`Limits::drain_delay`] and
/// adds `connection: close` to its replies, so that a load balancer can remove it from
/// rotation. Then it closes the listener and answers the requests in flight.
pub async fn serve<H, F>(listener: TcpListener, limits: Limits, stop: Flag, handler: H)
where
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
    loop {
        let accept = pin!(listener.accept());
        let close = pin!(closing.wait());
        let stream = match select(accept, close).await {
            Either::Left((Ok((stream, _)), _)) => stream,
            Either::Left((Err(_), _)) => {
                compio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
            Either::Right(_) => break,
        };
        if open.get() >= limits.max_connections {
            continue;
        }
        open.set(open.get() + 1);
        let (open, closing, stop) = (open.clone(), closing.clone(), stop.clone());
        let handler = handler.clone();
        compio::runtime::spawn(async move {
            serve_connection(stream, limits, stop, closing, handler).await;
            open.set(open.get() - 1);
        })
        .detach();
    }
    drop(listener);
    while open.get() > 0 {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(drain);
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: Limits,
    stop: Flag,
    closing: Flag,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let (handler, stop) = (handler.clone(), stop.clone());
        async move {
            let mut reply = match read_request(request, limits).await {
                Ok(request) => handler(request).await,
                Err(fault) => fault_reply(&fault),
            };
            if stop.is_raised() {
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(reply.map(Full::new))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.head_timeout)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(HyperStream::new_plain(stream), service);
    let mut connection = pin!(connection);
    let close = pin!(closing.wait());
    match select(connection.as_mut(), close).await {
        Either::Left(_) => {}
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

async fn read_request(request: hyper::Request<Incoming>, limits: Limits) -> Result<Request, Fault> {
    let (head, body) = request.into_parts();
    let body = timeout(
        limits.body_timeout,
        Limited::new(body, limits.max_body_bytes).collect(),
    )
    .await
    .map_err(|_| Fault::new(Code::BadRequest, "the request body did not arrive in time"))?
    .map_err(|e| {
        if e.is::<http_body_util::LengthLimitError>() {
            let detail = format!("the request body exceeds {} bytes", limits.max_body_bytes);
            return Fault::new(Code::TooLarge, detail);
        }
        Fault::new(
            Code::BadRequest,
            "the request body ended early or is malformed",
        )
    })?;
    Ok(Request {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or("").to_owned(),
        headers: head.headers,
        body: body.to_bytes(),
    })
}
