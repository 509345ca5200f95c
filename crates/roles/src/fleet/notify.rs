//! Write notifications: gateways notify each other of writes ahead of the store's watch.
//!
//! The watch stays the source of truth. A notification only saves its delay, and is
//! ignored if a newer revision is known.

use super::cache::StoreCache;
use super::port::Item;
use super::unconfirmed::UnconfirmedJobs;
use bytes::Bytes;
use hibiscusbarrow_adapters::rpc::ForwardReply;
use hibiscusbarrow_adapters::rpc::ForwardRequest;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_model::code::Code;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The name of the service for notifications.
pub const SERVICE: &str = "news";

/// The time that a gateway may take to accept a notification.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);

/// A notification from one gateway to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Notification {
    /// Items that were written.
    Written(Vec<Item>),
    /// A job whose write has received no answer so far.
    #[serde(rename = "Doubtful")]
    Unconfirmed(SmolStr),
}

/// Sends notifications to other gateways.
pub struct Notifier {
    /// The cache of the store, which names the gateways and the placer.
    pub cache: Rc<StoreCache>,
    /// The connections to the gateways.
    pub rpc: Rc<RpcClient>,
}

impl Notifier {
    /// Notifies the placer of a write, unless this gateway is the placer.
    pub fn notify_placer(&self, item: Item) {
        if let Some(addr) = self.cache.placer_addr() {
            self.send(addr, &Notification::Written(vec![item]));
        }
    }

    /// Notifies the standbys of writes, as the other gateways ask them for the state of jobs.
    pub fn notify_standbys(&self, items: Vec<Item>) {
        let notification = Notification::Written(items);
        for addr in self.cache.standby_addrs() {
            self.send(addr, &notification);
        }
    }

    /// Notifies all other gateways.
    pub fn notify_all(&self, notification: &Notification) {
        for addr in self.cache.peer_addrs() {
            self.send(addr, notification);
        }
    }

    fn send(&self, addr: SocketAddr, notification: &Notification) {
        let body = postcard::to_allocvec(notification).expect("a notification can be serialized");
        let request = ForwardRequest {
            service: SERVICE.into(),
            body: Bytes::from(body),
            ..ForwardRequest::default()
        };
        let rpc = self.rpc.clone();
        compio::runtime::spawn(async move {
            // A lost notification needs no retry, as the watch delivers the write.
            if rpc.forward(addr, &request, SEND_TIMEOUT).await.is_err() {
                rpc.disconnect(addr);
            }
        })
        .detach();
    }
}

/// Applies a notification of another gateway.
pub fn handle(
    cache: &StoreCache,
    unconfirmed: &UnconfirmedJobs,
    shared: &super::Shared,
    request: &ForwardRequest,
) -> ForwardReply {
    match postcard::from_bytes::<Notification>(&request.body) {
        Ok(Notification::Unconfirmed(id)) => {
            unconfirmed.record(&id, shared.clock.now());
            ForwardReply::failure(Code::Done, "")
        }
        Ok(Notification::Written(items)) => {
            for item in items {
                cache.apply(shared, item);
            }
            ForwardReply::failure(Code::Done, "")
        }
        Err(e) => ForwardReply::failure(Code::BadRequest, e.to_string()),
    }
}
