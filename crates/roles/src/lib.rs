//! The roles of hibiscusbarrow: gateway, sidecar and placer.
//!
//! Each role is a set of tasks on one `compio` runtime. A task owns its socket
//! and its state; tasks exchange messages and publish snapshots of their state.
//!
//! ```no_run
//! # async fn run(settings: hibiscusbarrow_model::settings::Settings) -> anyhow::Result<()> {
//! use hibiscusbarrow_adapters::log;
//! use hibiscusbarrow_adapters::signal::Flag;
//!
//! let logger = log::logger(settings.log);
//! hibiscusbarrow_roles::gateway::run(settings, logger, Flag::default()).await
//! # }
//! ```

pub mod fleet;
pub mod gateway;
pub mod node;
pub mod placer;
pub mod sidecar;
