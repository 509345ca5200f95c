//! Sends orders to sidecars.

use bytes::Bytes;
use hibiscusbarrow_adapters::rpc::ForwardRequest;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_adapters::rpc::RpcError;
use hibiscusbarrow_fleet::worker::Answer;
use hibiscusbarrow_fleet::worker::Envelope;
use hibiscusbarrow_fleet::worker::Order;
use hibiscusbarrow_fleet::worker::Refusal;
use hibiscusbarrow_model::code::Code;
use std::net::SocketAddr;
use std::time::Duration;

/// The name of the service for orders at a sidecar.
pub const ORDER_SERVICE: &str = "orders";

/// Returns the metric label for the duration of an order.
pub fn order_kind(order: &Order) -> &'static str {
    match order {
        Order::Poll { .. } => "order_look",
        Order::Start(_) => "order_start",
        Order::Stop { .. } => "order_stop",
        Order::Pace { .. } => "order_pace",
    }
}

/// Sends an order to a sidecar and returns the answer; [`Answer::Silent`] if the outcome
/// is unknown.
pub async fn deliver(
    rpc: &RpcClient,
    addr: SocketAddr,
    envelope: &Envelope,
    timeout: Duration,
) -> Answer {
    let request = ForwardRequest {
        service: ORDER_SERVICE.into(),
        body: Bytes::from(serde_json::to_vec(envelope).expect("an order can be serialized")),
        ..ForwardRequest::default()
    };
    match rpc.forward(addr, &request, timeout).await {
        Ok(reply) if reply.code == Code::Done => {
            serde_json::from_slice(&reply.body).unwrap_or(Answer::Silent)
        }
        Ok(_) => Answer::Refused(Refusal::Boot),
        Err(RpcError::NotSent(_)) => {
            rpc.disconnect(addr);
            Answer::Refused(Refusal::Boot)
        }
        Err(RpcError::Unanswered(_)) => {
            rpc.disconnect(addr);
            Answer::Silent
        }
    }
}
