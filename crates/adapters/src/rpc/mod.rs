//! RPC between processes by `capnp-rpc`.

mod client;
mod server;

pub use client::RpcClient;
pub use client::RpcError;
pub use server::Handlers;
pub use server::serve;

use bytes::Bytes;
use hibiscusbarrow_model::code::Code;
use smol_str::SmolStr;

/// Carries a caller's request to a sidecar.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ForwardRequest {
    /// Identifies this request among all.
    pub id: SmolStr,
    /// The client account.
    pub account: SmolStr,
    /// The service.
    pub service: SmolStr,
    /// The HTTP method.
    pub method: SmolStr,
    /// The path and query at the upstream.
    pub path: SmolStr,
    /// The header fields to pass on.
    pub headers: Vec<(SmolStr, Bytes)>,
    /// The body.
    pub body: Bytes,
    /// The idempotency key within the account; empty without one.
    pub key: SmolStr,
    /// Whether a keyed request only asks for the outcome of its key.
    pub outcome_only: bool,
    /// The revision of the claim that binds the key.
    pub claim_revision: i64,
    /// The life of the sidecar that the key is bound to; 0 for any.
    pub incarnation: u64,
    /// The time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u32,
}

/// Carries the outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardReply {
    /// The result; [`Code::Done`] with a whole answer of the upstream.
    pub code: Code,
    /// What went wrong.
    pub detail: SmolStr,
    /// The HTTP status of the upstream.
    pub status: u16,
    /// The header fields of the upstream.
    pub headers: Vec<(SmolStr, Bytes)>,
    /// The body of the upstream.
    pub body: Bytes,
    /// Whether the answer was remembered from an earlier request of the key.
    pub replayed: bool,
    /// Requests that run at the upstream.
    pub running: u16,
    /// Requests that wait for a slot.
    pub queued: u16,
}

impl ForwardReply {
    /// Creates a reply that carries no answer of the upstream.
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
