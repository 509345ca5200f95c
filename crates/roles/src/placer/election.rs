//! The placer lease of a region and its fencing epoch.
//!
//! The epoch is the store revision at which the holder wrote its record.

use crate::node::Node;
use hibiscusbarrow_adapters::store::Compare;
use hibiscusbarrow_adapters::store::KeyValue;
use hibiscusbarrow_adapters::store::RequestOp;
use hibiscusbarrow_adapters::store::StoreError;
use hibiscusbarrow_adapters::store::TxnRequest;
use hibiscusbarrow_coordination::lease::Lease;
use hibiscusbarrow_model::state::PLACER_PREFIX;
use hibiscusbarrow_model::state::PlacerRecord;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The holder of the lease, as far as this gateway knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Holder {
    /// No holder is known.
    Unknown,
    /// This gateway holds the lease.
    Local,
    /// The gateway at this HTTP address holds the lease.
    Remote(SocketAddr),
}

/// The result of a lease request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LeaseResult {
    /// The lease was acquired under this epoch.
    Acquired(u64),
    /// The lease that this gateway held was renewed.
    Renewed,
    /// The store did not answer.
    Unanswered,
    /// This gateway does not hold the lease.
    Lost(Holder),
}

/// A request to the store to renew or acquire the lease.
#[derive(Clone, Debug)]
pub(super) struct LeaseRequest {
    node: Rc<Node>,
    /// The store's identifier of the lease to renew, if one is held.
    lease: Option<i64>,
    ttl: Duration,
}

/// The outcome of a [`LeaseRequest`].
pub(super) struct Outcome {
    pub result: LeaseResult,
    /// The store's identifier of the lease, if it is held.
    pub lease: Option<i64>,
    /// When the request was sent; the time to live of the lease is counted from then.
    pub sent: Duration,
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Node").field(&self.settings.name).finish()
    }
}

/// The state of the lease, as this gateway knows it.
pub(super) struct Election {
    node: Rc<Node>,
    pub lease: Lease,
    /// The store's identifier of the lease, if it is held.
    id: Option<i64>,
    ttl: Duration,
}

impl Election {
    pub fn new(node: Rc<Node>) -> Self {
        let ttl = Duration::from_millis(node.settings.timing.lease_ms);
        Self {
            node,
            lease: Lease::new(ttl),
            id: None,
            ttl,
        }
    }

    /// Returns the request to send to the store next.
    pub fn request(&self) -> LeaseRequest {
        LeaseRequest {
            node: self.node.clone(),
            lease: self.id,
            ttl: self.ttl,
        }
    }

    /// Applies the outcome of a lease request.
    pub fn apply(&mut self, outcome: &Outcome) {
        match outcome.result {
            LeaseResult::Acquired(_) | LeaseResult::Renewed => {
                self.id = outcome.lease;
                self.lease.confirm(outcome.sent);
            }
            LeaseResult::Lost(_) => {
                self.id = None;
                self.lease.release();
            }
            LeaseResult::Unanswered => {}
        }
    }

    /// Revokes the lease in the store.
    pub async fn resign(&mut self) {
        if let Some(id) = self.id.take() {
            let _ = self.node.store.revoke(id).await;
        }
        self.lease.release();
    }
}

impl LeaseRequest {
    fn key(&self) -> String {
        format!("{PLACER_PREFIX}{}", self.node.settings.region)
    }

    /// Renews the lease, or acquires it if no gateway holds it.
    pub async fn run(self) -> Outcome {
        let sent = self.node.clock.now();
        if let Some(id) = self.lease {
            match self.node.store.keep_alive(id).await {
                Ok(true) => return self.outcome(LeaseResult::Renewed, Some(id), sent),
                Ok(false) => {}
                Err(_) => return self.outcome(LeaseResult::Unanswered, Some(id), sent),
            }
        }
        match self.acquire().await {
            Ok(outcome) => outcome,
            Err(_) => self.outcome(LeaseResult::Unanswered, None, sent),
        }
    }

    fn outcome(&self, result: LeaseResult, lease: Option<i64>, sent: Duration) -> Outcome {
        Outcome {
            result,
            lease,
            sent,
        }
    }

    /// Acquires the lease unless another gateway holds it.
    ///
    /// If the store does not confirm the write, the record is read back to find out
    /// whether it took effect.
    async fn acquire(&self) -> Result<Outcome, StoreError> {
        let key = self.key();
        let sent = self.node.clock.now();
        if let Some(entry) = self.node.store.get(&key).await? {
            return Ok(self.outcome(LeaseResult::Lost(holder(&entry)), None, sent));
        }
        let sent = self.node.clock.now();
        let lease = self.node.store.grant(self.ttl).await?;
        let record = PlacerRecord {
            holder: self.node.settings.name.clone(),
            operation: self.node.next_id(),
            http: self.node.settings.http,
        };
        let request = TxnRequest {
            compare: vec![Compare::unchanged(&key, 0)],
            success: vec![RequestOp::put(&key, &record, lease)],
            failure: vec![RequestOp::get(&key)],
        };
        let current = match self.node.store.txn(&request).await {
            Ok(reply) if reply.succeeded => {
                let epoch = reply.header.revision as u64;
                return Ok(self.outcome(LeaseResult::Acquired(epoch), Some(lease), sent));
            }
            Ok(reply) => reply.found().cloned(),
            Err(StoreError::Unknown(_)) => self.node.store.get(&key).await?,
            Err(e) => return Err(e),
        };
        let result = match current {
            Some(entry) if entry.json::<PlacerRecord>().is_some_and(|r| r == record) => {
                LeaseResult::Acquired(entry.mod_revision as u64)
            }
            Some(entry) => LeaseResult::Lost(holder(&entry)),
            None => LeaseResult::Lost(Holder::Unknown),
        };
        let lease = matches!(result, LeaseResult::Acquired(_)).then_some(lease);
        Ok(self.outcome(result, lease, sent))
    }
}

/// Returns the gateway that an entry in the store names as the holder.
fn holder(entry: &KeyValue) -> Holder {
    let record = entry.json::<PlacerRecord>();
    record.map_or(Holder::Unknown, |r| Holder::Remote(r.http))
}
