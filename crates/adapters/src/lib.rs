//! The I/O of hibiscusbarrow: network, logs, metrics and signals.
//!
//! The crate has HTTP on `hyper`, RPC between processes on `capnp-rpc`, gossip over
//! UDP, a client of the key-value service, logs on `slog` and metrics on
//! `opentelemetry`. Everything runs on one `compio` runtime per process.
//!
//! ```
//! use hibiscusbarrow_adapters::store::encode;
//!
//! assert_eq!(encode("/a"), "L2E=");
//! ```

#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    unused_qualifications,
    reason = "generated from schema/node.capnp by capnpc-rust"
)]
#[rustfmt::skip]
pub mod node_capnp;

pub mod clients;
pub mod gossip;
pub mod http;
pub mod log;
pub mod metrics;
pub mod probe;
pub mod rpc;
pub mod signal;
pub mod store;
