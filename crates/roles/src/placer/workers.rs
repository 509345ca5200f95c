//! The placer's links to workers and the batches of orders sent over them.

use hibiscusbarrow_adapters::http::HttpClient;
use hibiscusbarrow_coordination::gang::Command;
use hibiscusbarrow_model::order::Order;
use hibiscusbarrow_model::order::OrderBatch;
use hibiscusbarrow_model::order::OrderReply;
use hibiscusbarrow_placement::JobKey;
use hibiscusbarrow_placement::WorkerKey;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The time that a worker may take to answer a batch.
pub(super) const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// The shortest time between batches to one worker.
pub(super) const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(10);

/// A command that was sent, with the gang member that it is for.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentCommand {
    pub job: JobKey,
    /// The index of the member in its gang.
    pub member: usize,
    pub command: Command,
}

/// The state of the connection to one worker and what the worker last reported.
#[derive(Debug)]
pub(super) struct WorkerLink {
    pub addr: SocketAddr,
    pub key: Option<WorkerKey>,
    pub name: SmolStr,
    pub incarnation: u64,
    /// When the last report arrived.
    pub last_report: Option<Duration>,
    /// When the last batch was sent.
    pub last_sent: Option<Duration>,
    /// Whether a batch is sent and not answered yet.
    pub in_flight: bool,
    /// Whether the worker is in service.
    pub up: bool,
    /// The gangs on the worker that belong to no job and are to be released.
    pub orphans: Vec<SmolStr>,
    /// The latest reply, retained while the placer takes over.
    pub last_reply: Option<OrderReply>,
}

impl WorkerLink {
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            key: None,
            name: SmolStr::default(),
            incarnation: 0,
            last_report: None,
            last_sent: None,
            in_flight: false,
            up: false,
            orphans: Vec::new(),
            last_reply: None,
        }
    }

    /// Returns whether a batch may be sent.
    pub fn can_send(&self, now: Duration) -> bool {
        !self.in_flight
            && self
                .last_sent
                .is_none_or(|sent| now >= sent + MIN_BATCH_INTERVAL)
    }

    /// Returns whether a report is due.
    pub fn is_report_due(&self, now: Duration, interval: Duration) -> bool {
        self.last_sent.is_none_or(|sent| now >= sent + interval)
    }
}

/// Sends a batch and returns the worker's reply; `None` if none came in time.
pub(super) async fn send(
    http: Rc<HttpClient>,
    addr: SocketAddr,
    epoch: u64,
    orders: Vec<Order>,
) -> Option<OrderReply> {
    let batch = OrderBatch { epoch, orders };
    let call = http.post_json::<OrderReply>(addr, "/v1/orders", &batch, ORDER_TIMEOUT);
    let (status, reply) = call.await.ok()?;
    (status == 200).then_some(reply)
}
