//! A client of the platform's key-value service, which has etcd v3's HTTP/JSON API.

mod wire;

pub use wire::*;

use crate::http::HttpClient;
use crate::http::SendError;
use crate::metrics::Metrics;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The failure of a call to the key-value service.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The call was not sent and had no effect.
    #[error("the key-value service is not reachable: {0}")]
    Unreachable(String),
    /// The call may have taken effect.
    #[error("the key-value service did not answer: {0}")]
    Unknown(String),
    /// The service rejected the call.
    #[error("the key-value service refused the call: {0}")]
    Refused(String),
}

/// A client of the key-value service that counts its calls.
pub struct Store {
    client: Rc<HttpClient>,
    addr: SocketAddr,
    metrics: Rc<Metrics>,
    up: Cell<bool>,
}

impl Store {
    /// Creates a client for the service at `addr`.
    pub fn new(client: Rc<HttpClient>, addr: SocketAddr, metrics: Rc<Metrics>) -> Self {
        Self {
            client,
            addr,
            metrics,
            up: Cell::new(true),
        }
    }

    /// Returns whether the last call was answered without a server error.
    pub fn is_up(&self) -> bool {
        self.up.get()
    }

    /// Reads one key.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        let request = RangeRequest {
            key: encode(key),
            range_end: String::new(),
        };
        let reply: RangeResponse = self.call("range", "/v3/kv/range", &request).await?;
        Ok(reply.kvs.into_iter().next())
    }

    /// Reads all keys that begin with a prefix.
    pub async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, StoreError> {
        Ok(self.list_at(prefix).await?.kvs)
    }

    /// Reads all keys that begin with a prefix, with the revision of the store.
    pub async fn list_at(&self, prefix: &str) -> Result<RangeResponse, StoreError> {
        let request = RangeRequest {
            key: encode(prefix),
            range_end: encode_bytes(&prefix_end(prefix)),
        };
        self.call("range", "/v3/kv/range", &request).await
    }

    /// Runs a transaction.
    pub async fn txn(&self, request: &TxnRequest) -> Result<TxnResponse, StoreError> {
        self.call("txn", "/v3/kv/txn", request).await
    }

    /// Requests a lease with a lifetime of `ttl`, rounded up to seconds; returns its identifier.
    pub async fn grant(&self, ttl: Duration) -> Result<i64, StoreError> {
        let request = GrantRequest {
            ttl: ttl.as_secs_f64().ceil() as i64,
            id: 0,
        };
        let reply: GrantResponse = self.call("grant", "/v3/lease/grant", &request).await?;
        Ok(reply.id)
    }

    /// Renews a lease; returns `false` if it had already expired.
    pub async fn keep_alive(&self, id: i64) -> Result<bool, StoreError> {
        let request = LeaseRequest { id };
        let path = "/v3/lease/keepalive";
        let reply: KeepAliveResponse = self.call("keepalive", path, &request).await?;
        Ok(reply.result.ttl > 0)
    }

    /// Revokes a lease, which deletes the keys attached to it.
    pub async fn revoke(&self, id: i64) -> Result<(), StoreError> {
        let request = LeaseRequest { id };
        let _: serde_json::Value = self.call("revoke", "/v3/lease/revoke", &request).await?;
        Ok(())
    }

    async fn call<T: serde::de::DeserializeOwned>(
        &self,
        kind: &'static str,
        path: &str,
        request: &impl serde::Serialize,
    ) -> Result<T, StoreError> {
        self.metrics.count_store_call(kind);
        let result: Result<(u16, serde_json::Value), SendError> = self
            .client
            .post_json(self.addr, path, request, CALL_TIMEOUT)
            .await;
        self.up
            .set(matches!(&result, Ok((status, _)) if *status < 500));
        let (status, value) = result.map_err(|e| match e {
            e @ SendError::Unexpected(..) => StoreError::Unreachable(e.to_string()),
            SendError::NotSent(detail) => StoreError::Unreachable(detail),
            SendError::Unanswered(detail) | SendError::Truncated(detail) => {
                StoreError::Unknown(detail)
            }
        })?;
        if status >= 500 {
            return Err(StoreError::Unknown(value.to_string()));
        }
        if status >= 400 {
            return Err(StoreError::Refused(value.to_string()));
        }
        serde_json::from_value(value).map_err(|e| StoreError::Unknown(e.to_string()))
    }
}
