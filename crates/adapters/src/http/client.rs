//! An HTTP client whose errors say whether the request may have been sent.

use bytes::Bytes;
use compio::net::TcpStream;
use compio::time::timeout;
use cyper_core::HyperStream;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The largest number of idle connections in the pool for one address.
const MAX_IDLE_CONNECTIONS: usize = 32;

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
}

/// An HTTP client with a pool of persistent connections.
#[derive(Default)]
pub struct HttpClient {
    idle: RefCell<HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
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
        let sent = Cell::new(false);
        let call = self.exchange(addr, request, max_body, &sent);
        match timeout(call_timeout, call).await {
            Ok(result) => result,
            Err(_) if sent.get() => Err(SendError::Unanswered("the call timed out".into())),
            Err(_) => Err(SendError::NotSent("no connection was ready in time".into())),
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
        request: http::Request<Bytes>,
        max_body: usize,
        sent: &Cell<bool>,
    ) -> Result<Response<Bytes>, SendError> {
        let mut request = request.map(Full::new);
        loop {
            let (mut sender, is_new) = self.connect(addr).await?;
            sent.set(true);
            match sender.try_send_request(request).await {
                Ok(reply) => return self.read_body(addr, sender, reply, max_body).await,
                Err(mut failure) => match failure.take_message() {
                    Some(unsent) if !is_new => {
                        sent.set(false);
                        request = unsent;
                    }
                    Some(_) => return Err(SendError::NotSent(failure.error().to_string())),
                    None => return Err(SendError::Unanswered(failure.error().to_string())),
                },
            }
        }
    }

    /// Returns an idle or new connection that is ready to send, and whether it is new.
    async fn connect(
        &self,
        addr: SocketAddr,
    ) -> Result<(SendRequest<Full<Bytes>>, bool), SendError> {
        while let Some(mut sender) = self.take_idle(addr) {
            if !sender.is_closed() && sender.ready().await.is_ok() {
                return Ok((sender, false));
            }
        }
        let not_sent = |e: String| SendError::NotSent(format!("{addr}: {e}"));
        let stream = TcpStream::connect(addr)
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(HyperStream::new_plain(stream))
                .await
                .map_err(|e| not_sent(e.to_string()))?;
        compio::runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        sender.ready().await.map_err(|e| not_sent(e.to_string()))?;
        Ok((sender, true))
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        self.idle.borrow_mut().get_mut(&addr)?.pop()
    }

    async fn read_body(
        &self,
        addr: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        reply: Response<Incoming>,
        max_body: usize,
    ) -> Result<Response<Bytes>, SendError> {
        let (parts, body) = reply.into_parts();
        let body = Limited::new(body, max_body).collect().await;
        let body = body.map_err(|e| SendError::Truncated(e.to_string()))?;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(addr).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(sender);
        }
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}
