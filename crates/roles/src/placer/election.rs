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
    Me,
    /// The gateway at this HTTP address holds it.
    Other(SocketAddr),
}

/// Tells what a round of the election found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    /// The lease was taken anew under this epoch.
    Elected(u64),
    /// The lease that was held still stands.
    Kept,
    /// The store did not answer.
    Silent,
    /// The lease is not ours.
    Lost(Holder),
}

/// Holds what is asked of the store in a round.
#[derive(Clone, Debug)]
pub(super) struct Bid {
    node: Rc<Node>,
    lease: Option<i64>,
    ttl: Duration,
}

/// Holds the answer of a round: the verdict, the store's lease, and when the
/// request was sent that it rests on.
pub(super) struct Outcome {
    pub verdict: Verdict,
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
    pub fn bid(&self) -> Bid {
        Bid {
            node: self.node.clone(),
            lease: self.id,
            ttl: self.ttl,
        }
    }

    /// Takes the outcome of a round in.
    pub fn settle(&mut self, outcome: &Outcome) {
        match outcome.verdict {
            Verdict::Elected(_) | Verdict::Kept => {
                self.id = outcome.lease;
                self.lease.confirm(outcome.sent);
            }
            Verdict::Lost(_) => {
                self.id = None;
                self.lease.release();
            }
            Verdict::Silent => {}
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

impl Bid {
    fn key(&self) -> String {
        format!("{PLACER_PREFIX}{}", self.node.settings.region)
    }

    /// Renews the lease, or takes it if it is free.
    pub async fn run(self) -> Outcome {
        let sent = self.node.clock.now();
        if let Some(id) = self.lease {
            match self.node.store.keep_alive(id).await {
                Ok(true) => return self.outcome(Verdict::Kept, Some(id), sent),
                Ok(false) => {}
                Err(_) => return self.outcome(Verdict::Silent, Some(id), sent),
            }
        }
        match self.contest().await {
            Ok(outcome) => outcome,
            Err(_) => self.outcome(Verdict::Silent, None, sent),
        }
    }

    fn outcome(&self, verdict: Verdict, lease: Option<i64>, sent: Duration) -> Outcome {
        Outcome {
            verdict,
            lease,
            sent,
        }
    }

    async fn contest(&self) -> Result<Outcome, StoreError> {
        let key = self.key();
        let sent = self.node.clock.now();
        if let Some(entry) = self.node.store.get(&key).await? {
            return Ok(self.outcome(Verdict::Lost(holder(&entry)), None, sent));
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
        let found = match self.node.store.txn(&request).await {
            Ok(reply) if reply.succeeded => {
                let epoch = reply.header.revision as u64;
                return Ok(self.outcome(Verdict::Elected(epoch), Some(lease), sent));
            }
            Ok(reply) => reply.found().cloned(),
            Err(StoreError::Unknown(_)) => self.node.store.get(&key).await?,
            Err(e) => return Err(e),
        };
        let verdict = match found {
            Some(entry) if entry.json::<PlacerRecord>().is_some_and(|r| r == record) => {
                Verdict::Elected(entry.mod_revision as u64)
            }
            Some(entry) => Verdict::Lost(holder(&entry)),
            None => Verdict::Lost(Holder::Unknown),
        };
        let lease = matches!(verdict, Verdict::Elected(_)).then_some(lease);
        Ok(self.outcome(verdict, lease, sent))
    }
}

fn holder(entry: &KeyValue) -> Holder {
    let record = entry.json::<PlacerRecord>();
    record.map_or(Holder::Unknown, |r| Holder::Other(r.http))
}
