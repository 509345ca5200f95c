//! Roles that run multi-step jobs on a fleet whose state lives in one store.
//!
//! Gateways serve callers and cache the content of the store; the one that holds the
//! placement lease is the placer. Each sidecar passes orders on to the worker beside it.
//! The ports in [`port`] abstract from the platform.

pub mod cache;
mod callers;
mod commit;
mod deliver;
mod election;
pub mod gateway;
mod keys;
mod notify;
mod placer;
pub mod port;
mod registration;
pub mod relay;
pub mod run_times;
pub mod sidecar;
mod status;
mod unconfirmed;

use hibiscusbarrow_adapters::clients::ClientLimiter;
use hibiscusbarrow_adapters::clients::Shares;
use hibiscusbarrow_adapters::http::Limits;
use hibiscusbarrow_adapters::http::bind;
use hibiscusbarrow_adapters::http::serve_limited;
use hibiscusbarrow_adapters::http::text_reply;
use hibiscusbarrow_adapters::log::EventLog;
use hibiscusbarrow_adapters::metrics::Metrics;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_coordination::client_budget::Class;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_model::event::Event;
use std::rc::Rc;

/// The largest body of a readiness check or of a request for metrics, in bytes; it is ignored.
const MAX_CHECK_BYTES: usize = 4 << 10;

/// The state that the tasks of one process share.
pub struct Shared {
    /// The settings.
    pub settings: port::Settings,
    /// The clock, which advances while the machine is suspended.
    pub clock: Clock,
    /// The event log.
    pub log: EventLog,
    /// The metrics.
    pub metrics: Rc<Metrics>,
    /// The store.
    pub store: port::Store,
    /// Raised when a planned stop begins.
    pub stop: Flag,
}

/// Serves the metrics of a process until it ends.
fn serve_metrics(shared: &Rc<Shared>, limiter: &ClientLimiter) {
    let (metrics, log) = (shared.metrics.clone(), shared.log.clone());
    let addr = shared.settings.metrics_addr;
    let (limiter, limits) = (limiter.clone(), check_limits());
    compio::runtime::spawn(async move {
        let handler = move |_| {
            let body = metrics.render();
            async move { text_reply(200, body) }
        };
        match bind(addr, &limits).await {
            Ok(listener) => {
                serve_limited(listener, limiter, limits, Flag::default(), handler).await
            }
            Err(e) => log.emit(Event::MetricsUnserved, "metrics", format!("{addr}: {e}")),
        }
    })
    .detach();
}

/// Creates the limits that all clients of a process share.
fn create_limiter(shared: &Shared, shares: Shares) -> ClientLimiter {
    let pools = shared.settings.limits.pools(shares);
    let (clock, log) = (shared.clock.clone(), shared.log.clone());
    ClientLimiter::new(pools, clock, log, shared.metrics.clone())
}

/// Returns the limits of an address for readiness checks or metrics.
fn check_limits() -> Limits {
    Limits {
        class: Class::Checks,
        max_body_bytes: MAX_CHECK_BYTES,
        ..Limits::default()
    }
}
