//! Stand-ins for the systems that hibiscusbarrow works with: the key-value
//! service, workers and upstreams.
//!
//! Each implements the published protocol of the system that it replaces and can
//! inject faults. Their state is in memory only. They are meant for tests,
//! benchmarks and the quick start.
//!
//! ```
//! use hibiscusbarrow_standin::store::Kv;
//! use std::time::Duration;
//!
//! let mut kv = Kv::default();
//! assert_eq!(kv.revision(), 1);
//! kv.expire(Duration::from_secs(1));
//! ```

pub mod store;
pub mod upstream;
pub mod worker;
