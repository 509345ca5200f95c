//! RPC between processes through `capnp-rpc`.

mod client;
mod meter;
mod server;

pub use client::RpcClient;
pub use client::RpcError;
pub use server::Handlers;
pub use server::RpcLimits;
pub use server::Shutdown;
pub use server::serve;
pub use server::serve_limited;

use bytes::Bytes;
use hibiscusbarrow_model::code::Code;
use smol_str::SmolStr;

/// A caller's request, as a gateway forwards it to a sidecar.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ForwardRequest {
    /// The unique identifier of the request.
    pub id: SmolStr,
    /// The client account of the caller.
    pub account: SmolStr,
    /// The service that the request is addressed to.
    pub service: SmolStr,
    /// The HTTP method.
    pub method: SmolStr,
    /// The path and query of the request to the upstream.
    pub path: SmolStr,
    /// The header fields that are passed to the upstream.
    pub headers: Vec<(SmolStr, Bytes)>,
    /// The body of the request.
    pub body: Bytes,
    /// The idempotency key within the account; empty without one.
    pub key: SmolStr,
    /// Whether the request only queries the outcome of its key and must not run.
    pub outcome_only: bool,
    /// The store revision of the claim that binds the key to the sidecar; 0 without a key.
    pub claim_revision: i64,
    /// The incarnation of the sidecar that the key is bound to; 0 without a key.
    pub incarnation: u64,
    /// The time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u32,
}

/// The outcome of a forwarded request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardReply {
    /// The result; [`Code::Done`] if the upstream's answer is complete.
    pub code: Code,
    /// What went wrong; empty on success.
    pub detail: SmolStr,
    /// The HTTP status of the upstream's answer; 0 without one.
    pub status: u16,
    /// The header fields of the upstream's answer.
    pub headers: Vec<(SmolStr, Bytes)>,
    /// The body of the upstream's answer.
    pub body: Bytes,
    /// Whether the answer is the stored answer to an earlier request with the same key.
    pub replayed: bool,
    /// The number of requests that are running at the upstream.
    pub running: u16,
    /// The number of requests that are waiting for a slot at the sidecar.
    pub queued: u16,
}

impl ForwardReply {
    /// Creates a reply without an answer of the upstream.
    pub fn failure(code: Code, detail: impl Into<SmolStr>) -> Self {
        Self {
            code,
            detail: detail.into(),
            status: 0,
            headers: Vec::new(),
            body: Bytes::new(),
            replayed: false,
            running: 0,
            queued: 0,
        }
    }
}
