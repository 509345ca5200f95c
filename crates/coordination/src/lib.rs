//! Coordination primitives as pure state machines to embed in other programs.
//!
//! No state machine does I/O or reads a clock: the caller passes `now` as the time
//! since an origin of its choice on a monotonic clock, and carries out what the state
//! machine returns. The guide shows how to embed each one, under "Coordination parts".
//! [`clock::Clock`] provides such a clock.
//!
//! ```
//! use hibiscusbarrow_coordination::lease::Lease;
//! use std::time::Duration;
//!
//! let mut lease = Lease::new(Duration::from_secs(10));
//! let sent = Duration::from_secs(100);
//! lease.confirm(sent);
//! assert!(lease.is_held(Duration::from_secs(109)));
//! assert!(!lease.is_held(Duration::from_secs(110)));
//! ```

pub mod admission;
pub mod balance;
pub mod bucket;
pub mod budget;
pub mod call_window;
pub mod client_budget;
pub mod clock;
pub mod drain;
pub mod duty_cycle;
pub mod evacuation;
pub mod fence;
pub mod freshness;
pub mod gang;
pub mod generation;
pub mod key_gate;
pub mod keyed;
pub mod lease;
pub mod membership;
pub mod retry_after;
pub mod runtime;
pub mod succession;

/// Runs the examples of the guide as documentation tests of this crate.
#[cfg(doctest)]
#[doc = include_str!("../../../docs/coordination/embedding.md")]
pub struct Embedding;
