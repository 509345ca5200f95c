//! The placer lease of a region and its fencing epoch.

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

/// Tells who holds the lease, as far as a gateway knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Holder {
    /// Nobody is known to hold it.
    Unknown,
    /// This gateway holds it.
    Local,
    /// The gateway at this HTTP address holds it.
    Remote(SocketAddr),
}

/// Tells what a round of the election found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LeaseResult {
    /// The lease was taken anew under this epoch.
    Acquired(u64),
    /// The lease that was held still stands.
    Renewed,
    /// The store did not answer.
    Unanswered,
    /// The lease is not ours.
    Lost(Holder),
}

/// Holds what is asked of the store in a round.
#[derive(Clone, Debug)]
pub(super) struct LeaseRequest {
    node: Rc<Node>,
    lease: Option<i64>,
    ttl: Duration,
}

/// Holds the answer of a round: the result, the store's lease, and when the
/// request was sent that it rests on.
pub(super) struct Outcome {
    pub result: LeaseResult,
    pub lease: Option<i64>,
    pub sent: Duration,
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Node").field(&self.settings.name).finish()
    }
}

/// Tracks the lease from the side of one gateway.
pub(super) struct Election {
    node: Rc<Node>,
    pub lease: Lease,
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

    /// Returns what to ask the store in the next round.
    pub fn request(&self) -> LeaseRequest {
        LeaseRequest {
            node: self.node.clone(),
            lease: self.id,
            ttl: self.ttl,
        }
    }

    /// Takes the outcome of a round in.
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

    /// Gives the lease up in the store.
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

    /// Renews the lease, or takes it if it is free.
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

fn holder(entry: &KeyValue) -> Holder {
    let record = entry.json::<PlacerRecord>();
    record.map_or(Holder::Unknown, |r| Holder::Remote(r.http))
}
