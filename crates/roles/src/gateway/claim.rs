//! Requests with an idempotency key: the claim in the store names their owner.

use super::route::Attempt;
use super::route::Call;
use super::route::Router;
use super::route::to_reply;
use crate::node::Node;
use hibiscusbarrow_adapters::http::Reply;
use hibiscusbarrow_adapters::rpc::ForwardReply;
use hibiscusbarrow_adapters::store::Compare;
use hibiscusbarrow_adapters::store::KeyValue;
use hibiscusbarrow_adapters::store::RequestOp;
use hibiscusbarrow_adapters::store::StoreError;
use hibiscusbarrow_adapters::store::TxnRequest;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::state::CLAIMS;
use hibiscusbarrow_model::state::ClaimRecord;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The life of the lease that claims are attached to.
const CLAIM_LIFE: Duration = Duration::from_secs(3600);
/// The time for which new claims share one lease.
const LEASE_SHARED: Duration = Duration::from_secs(600);
/// The tries to settle who owns a key.
const MAX_ROUNDS: usize = 8;

/// Writes and reads claims.
pub(super) struct Claims {
    node: Rc<Node>,
    lease: Cell<(i64, Duration)>,
}

/// Tells who owns a key.
enum Owner {
    /// This request wrote the claim at a revision and alone may run.
    Mine(i64),
    /// Another request wrote the claim at a revision.
    Other(ClaimRecord, i64),
}

impl Claims {
    pub fn new(node: Rc<Node>) -> Self {
        Self {
            node,
            lease: Cell::new((0, Duration::ZERO)),
        }
    }

    async fn lease(&self) -> Result<i64, StoreError> {
        let now = self.node.clock.now();
        let (id, until) = self.lease.get();
        if id != 0 && now < until {
            return Ok(id);
        }
        let id = self.node.store.grant(CLAIM_LIFE).await?;
        self.lease.set((id, now + LEASE_SHARED));
        Ok(id)
    }

    /// Writes a claim if the key was last changed at `revision`; 0 means never.
    ///
    /// A lost answer is resolved by reading the claim.
    async fn write(
        &self,
        key: &str,
        record: &ClaimRecord,
        revision: i64,
    ) -> Result<Owner, StoreError> {
        let lease = self.lease().await?;
        let request = TxnRequest {
            compare: vec![Compare::unchanged(key, revision)],
            success: vec![RequestOp::put(key, record, lease)],
            failure: vec![RequestOp::get(key)],
        };
        let found = match self.node.store.txn(&request).await {
            Ok(reply) if reply.succeeded => return Ok(Owner::Mine(reply.header.revision)),
            Ok(reply) => reply.found().cloned(),
            Err(StoreError::Unknown(_)) => self.node.store.get(key).await?,
            Err(e) => return Err(e),
        };
        owner(found, record).ok_or_else(|| StoreError::Unknown("the claim is not there".into()))
    }
}

fn owner(found: Option<KeyValue>, record: &ClaimRecord) -> Option<Owner> {
    let entry = found?;
    let held: ClaimRecord = entry.json()?;
    if held == *record {
        return Some(Owner::Mine(entry.mod_revision));
    }
    Some(Owner::Other(held, entry.mod_revision))
}

impl Router {
    /// Runs a request with a key at most once, whichever gateways it reaches.
    ///
    /// Says "not run" only while no other request of the key can run.
    pub(super) async fn run_keyed(&self, call: &mut Call) -> Result<Reply, Fault> {
        let key = format!("{CLAIMS}{}/{}", call.request.account, call.request.key);
        let mut revision = 0;
        let mut refusal = Fault::new(Code::NoUpstream, Code::NoUpstream.meaning());
        for _ in 0..MAX_ROUNDS {
            let Some(record) = self.propose(call) else {
                return Err(refusal);
            };
            match self
                .claims
                .write(&key, &record, revision)
                .await
                .map_err(claim_fault)?
            {
                Owner::Mine(at) => {
                    refusal = match self.run_claimed(call, &record, at).await {
                        Err(fault) if fault.code.is_not_run() => fault,
                        result => return result,
                    };
                    if !self.may_retry(call) {
                        return Err(refusal);
                    }
                    self.log_retry(call, &refusal);
                    revision = at;
                }
                Owner::Other(held, at) => {
                    if let Some(reply) = self.ask_owner(call, &held, at).await? {
                        return Ok(reply);
                    }
                    let detail = "the owner of the key never ran it; another may";
                    refusal = Fault::new(Code::OutcomeUnknown, detail);
                    revision = at;
                }
            }
        }
        Err(Fault::new(
            Code::OutcomeUnknown,
            "the owner of the key keeps changing",
        ))
    }

    /// Proposes an owner for a key.
    fn propose(&self, call: &Call) -> Option<ClaimRecord> {
        let name = self.choose(call)?;
        let members = self.node.members();
        let life = members.live(&name)?.news.info.life;
        Some(ClaimRecord {
            sidecar: name,
            incarnation: life,
            request: call.request.id.clone(),
            at: self.node.clock.wall_ms(),
        })
    }

    /// Sends the one request that may run under a claim.
    async fn run_claimed(
        &self,
        call: &mut Call,
        record: &ClaimRecord,
        claim: i64,
    ) -> Result<Reply, Fault> {
        call.request.repeat = false;
        call.request.life = record.incarnation;
        call.request.claim = claim;
        call.tried.push(record.sidecar.clone());
        match self.attempt(call, &record.sidecar).await {
            Attempt::Answered(reply) => outcome(reply),
            Attempt::NotSent(detail) => Err(Fault::new(Code::NotRun, detail)),
            Attempt::Unanswered(detail) => Err(Fault::new(Code::OutcomeUnknown, detail)),
        }
    }

    /// Asks the owner of a key for its outcome.
    ///
    /// Returns nothing if the owner never ran the key under this claim and now never will.
    async fn ask_owner(
        &self,
        call: &mut Call,
        held: &ClaimRecord,
        claim: i64,
    ) -> Result<Option<Reply>, Fault> {
        let unknown = |detail: &str| Fault::new(Code::OutcomeUnknown, detail);
        let members = self.node.members();
        let owner = members.live(&held.sidecar);
        if owner.is_none_or(|m| m.news.info.life != held.incarnation) {
            return Err(unknown("the sidecar that owned the key is gone"));
        }
        call.request.repeat = true;
        call.request.life = held.incarnation;
        call.request.claim = claim;
        let age = self.node.clock.wall_ms().saturating_sub(held.at);
        match self.attempt(call, &held.sidecar).await {
            Attempt::Answered(reply) if reply.code == Code::DeadlinePassed => Err(unknown(
                "the deadline passed before the owner of the key answered",
            )),
            Attempt::Answered(reply) if reply.code.is_not_run() => {
                if age > CLAIM_LIFE.as_millis() as u64 {
                    return Err(unknown("the key is too old to be remembered"));
                }
                Ok(None)
            }
            Attempt::Answered(reply) => outcome(reply).map(Some),
            Attempt::NotSent(detail) | Attempt::Unanswered(detail) => Err(unknown(&detail)),
        }
    }
}

fn outcome(reply: ForwardReply) -> Result<Reply, Fault> {
    if reply.code == Code::Done {
        return Ok(to_reply(reply));
    }
    Err(Fault::new(reply.code, reply.detail))
}

/// Says that this request was not forwarded, though an earlier one of its key may have run.
fn claim_fault(error: StoreError) -> Fault {
    let detail = format!(
        "the key could not be claimed, so this request was not forwarded; \
         an earlier one with the same key may have run: {error}"
    );
    Fault::new(Code::StoreDown, detail)
}
