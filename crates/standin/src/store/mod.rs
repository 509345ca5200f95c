//! A stand-in for the platform's key-value service.

mod kv;
mod server;

pub use kv::Kv;
pub use server::FaultMode;
pub use server::StoreFault;
pub use server::serve;
