//! Stand-ins for the systems that hibiscusbarrow meets.
//!
//! Each speaks the published protocol of what it stands for and can be told to
//! fail: the key-value service, workers and upstreams. They keep nothing on
//! disk and exist for tests, measurements and the quick start.
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
