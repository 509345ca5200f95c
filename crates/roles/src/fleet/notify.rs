//! Telling other gateways of fresh writes ahead of their watches.
//!
//! The store's watch stays the source of truth; notification only saves its delay, and
//! is ignored where a newer revision is known.

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

/// The name under which gateways take notification.
pub const SERVICE: &str = "news";

/// The longest wait for a gateway to take notification.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);

/// Enumerates what gateways tell each other.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Notification {
    /// Items as they were written.
    Written(Vec<Item>),
    /// A job whose write got no answer yet.
    #[serde(rename = "Doubtful")]
    Unconfirmed(SmolStr),
}

/// Sends notification to other gateways.
pub struct Notifier {
    /// The name of this gateway.
    pub name: SmolStr,
    /// The copy of the store, which names the gateways and the placer.
    pub cache: Rc<StoreCache>,
    /// Reaches the gateways.
    pub rpc: Rc<RpcClient>,
}

impl Notifier {
    /// Tells the placer of a write.
    pub fn notify_placer(&self, item: Item) {
        let holder = self.cache.placer.borrow().clone();
        let addr = holder
            .filter(|(name, _)| *name != self.name)
            .and_then(|(name, _)| self.cache.gateways.borrow().get(&name).copied());
        if let Some(addr) = addr {
            self.send(addr, &Notification::Written(vec![item]));
        }
    }

    /// Tells all other gateways of writes.
    pub fn notify_all(&self, notification: &Notification) {
        let addrs: Vec<SocketAddr> = {
            let gateways = self.cache.gateways.borrow();
            let others = gateways.iter().filter(|(n, _)| **n != self.name);
            others.map(|(_, addr)| *addr).collect()
        };
        for addr in addrs {
            self.send(addr, notification);
        }
    }

    fn send(&self, addr: SocketAddr, notification: &Notification) {
        let body = postcard::to_allocvec(notification).expect("notification serialise");
        let request = ForwardRequest {
            service: SERVICE.into(),
            body: Bytes::from(body),
            ..ForwardRequest::default()
        };
        let rpc = self.rpc.clone();
        compio::runtime::spawn(async move {
            // The watch brings the writes that get lost here.
            if rpc.forward(addr, &request, SEND_TIMEOUT).await.is_err() {
                rpc.disconnect(addr);
            }
        })
        .detach();
    }
}

/// Takes notification in.
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
