//! Coordination parts as pure state machines, for others to embed.
//!
//! No part does I/O or reads a clock: the caller passes `now` as the time since
//! an origin of its choice on a monotonic clock, and carries out what a part
//! returns. Each page of the guide under "Coordination parts" embeds one part.
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
pub mod clock;
pub mod drain;
pub mod fence;
pub mod gang;
pub mod generation;
pub mod key_gate;
pub mod keyed;
pub mod lease;
pub mod membership;

/// Runs the examples of the guide with the tests of the crate.
#[cfg(doctest)]
#[doc = include_str!("../../../docs/coordination/embedding.md")]
pub struct Embedding;
