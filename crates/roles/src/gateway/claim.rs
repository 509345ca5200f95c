//! Requests with an idempotency key.
//!
//! A claim in the store names the sidecar that owns the key and may run the request.
//! [`KeyedRequest`] decides the steps; this module carries them out.

use super::route::Attempt;
use super::route::Call;
use super::route::Router;
use super::route::to_reply;
use crate::node::Node;
use hibiscusbarrow_adapters::http::Reply;
use hibiscusbarrow_adapters::store::Compare;
use hibiscusbarrow_adapters::store::KeyValue;
use hibiscusbarrow_adapters::store::RequestOp;
use hibiscusbarrow_adapters::store::StoreError;
use hibiscusbarrow_adapters::store::TxnRequest;
use hibiscusbarrow_coordination::keyed::Claimed;
use hibiscusbarrow_coordination::keyed::KeyedRequest;
use hibiscusbarrow_coordination::keyed::Outcome;
use hibiscusbarrow_coordination::keyed::Step;
use hibiscusbarrow_coordination::keyed::Withdrawn;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::state::CLAIM_PREFIX;
use hibiscusbarrow_model::state::ClaimRecord;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How long the outcome of a key is reported; its claim is stored at least as long.
const CLAIM_TTL: Duration = Duration::from_secs(3600);
/// How long a store lease is reused for new claims.
const LEASE_REUSE_PERIOD: Duration = Duration::from_secs(600);

/// The claims in the store.
pub(super) struct Claims {
    node: Rc<Node>,
    /// The store lease of new claims, 0 for none, and the time until which it is reused.
    lease: Cell<(i64, Duration)>,
}

impl Claims {
    pub fn new(node: Rc<Node>) -> Self {
        Self {
            node,
            lease: Cell::new((0, Duration::ZERO)),
        }
    }

    /// Returns the lease for a new claim; requests a new lease if needed.
    async fn lease(&self) -> Result<i64, StoreError> {
        let now = self.node.clock.now();
        let (id, reuse_until) = self.lease.get();
        if id != 0 && now < reuse_until {
            return Ok(id);
        }
        let id = self
            .node
            .store
            .grant(CLAIM_TTL + LEASE_REUSE_PERIOD)
            .await?;
        self.lease.set((id, now + LEASE_REUSE_PERIOD));
        Ok(id)
    }

    /// Writes a claim if the key was last changed at `revision`; 0 means that it does not exist.
    ///
    /// If the store does not confirm the write, the claim is read back to find out whether it
    /// took effect.
    async fn write(
        &self,
        key: &str,
        record: &ClaimRecord,
        revision: i64,
    ) -> Result<Claimed<ClaimRecord>, StoreError> {
        let lease = self.lease().await?;
        let request = TxnRequest {
            compare: vec![Compare::unchanged(key, revision)],
            success: vec![RequestOp::put(key, record, lease)],
            failure: vec![RequestOp::get(key)],
        };
        let found = match self.node.store.txn(&request).await {
            Ok(reply) if reply.succeeded => {
                return Ok(Claimed::Mine(record.clone(), reply.header.revision));
            }
            Ok(reply) => reply.found().cloned(),
            Err(StoreError::Unknown(_)) => self.node.store.get(key).await?,
            Err(e) => {
                self.lease.set((0, Duration::ZERO));
                return Err(e);
            }
        };
        identify_owner(found, record)
            .ok_or_else(|| StoreError::Unknown("the claim was not found".into()))
    }

    /// Reads the owner of a key; used when no sidecar can be proposed as owner.
    async fn read_owner(&self, key: &str) -> Result<Claimed<ClaimRecord>, StoreError> {
        let stored = decode_claim(self.node.store.get(key).await?);
        Ok(stored.map_or(Claimed::NoOwner, |(owner, revision)| {
            Claimed::Other(owner, revision)
        }))
    }

    /// Deletes a claim whose request never ran, if the claim is still at `revision`.
    async fn withdraw(&self, key: &str, revision: i64) -> Withdrawn<ClaimRecord> {
        let request = TxnRequest {
            compare: vec![Compare::unchanged(key, revision)],
            success: vec![RequestOp::delete(key)],
            failure: vec![RequestOp::get(key)],
        };
        let found = match self.node.store.txn(&request).await {
            Ok(reply) if reply.succeeded => return Withdrawn::Done,
            Ok(reply) => Ok(reply.found().cloned()),
            Err(StoreError::Unknown(_)) => self.node.store.get(key).await,
            Err(e) => Err(e),
        };
        match found.map(decode_claim) {
            Ok(None) => Withdrawn::Done,
            Ok(Some((_, current))) if current == revision => Withdrawn::Unknown,
            Ok(Some((owner, current))) => Withdrawn::Other(owner, current),
            Err(_) => Withdrawn::Unknown,
        }
    }
}

fn decode_claim(found: Option<KeyValue>) -> Option<(ClaimRecord, i64)> {
    let entry = found?;
    Some((entry.json()?, entry.mod_revision))
}

fn identify_owner(found: Option<KeyValue>, record: &ClaimRecord) -> Option<Claimed<ClaimRecord>> {
    let entry = found?;
    let stored: ClaimRecord = entry.json()?;
    if stored == *record {
        return Some(Claimed::Mine(stored, entry.mod_revision));
    }
    Some(Claimed::Other(stored, entry.mod_revision))
}

impl Router {
    /// Runs a request with a key at most once, even if several gateways receive it.
    pub(super) async fn run_keyed(&self, call: &mut Call) -> Result<Reply, Fault> {
        let key = format!(
            "{CLAIM_PREFIX}{}/{}",
            call.request.account, call.request.key
        );
        let mut machine = KeyedRequest::default();
        let mut last_fault = Fault::new(Code::NoUpstream, Code::NoUpstream.meaning());
        let mut step = machine.begin();
        loop {
            step = match step {
                Step::Claim { revision } => {
                    let claimed = self.claim(call, &key, revision).await;
                    machine.claimed(claimed.map_err(claim_fault)?)
                }
                Step::Run { owner, claim } => {
                    let attempt = self.run_claimed(call, &owner, claim).await;
                    match classify_attempt(attempt) {
                        Ok(reply) => return Ok(reply),
                        Err((outcome, fault)) => {
                            last_fault = fault;
                            let retry = outcome != Outcome::Unconfirmed && self.may_retry(call);
                            machine.replied(outcome, retry)
                        }
                    }
                }
                Step::Repeat { owner, claim } => match self.ask_owner(call, &owner, claim).await {
                    Ok(reply) => return Ok(reply),
                    Err((outcome, fault)) => {
                        last_fault = fault;
                        machine.replied(outcome, true)
                    }
                },
                Step::Withdraw { claim } => {
                    machine.withdrawn(self.claims.withdraw(&key, claim).await)
                }
                Step::Answer => unreachable!("answers are returned as soon as they arrive"),
                Step::NotRun => return Err(last_fault),
                Step::Unknown if !last_fault.code.is_not_run() => return Err(last_fault),
                Step::Unknown => return Err(Fault::new(Code::OutcomeUnknown, last_fault.detail)),
            };
        }
    }

    async fn claim(
        &self,
        call: &Call,
        key: &str,
        revision: i64,
    ) -> Result<Claimed<ClaimRecord>, StoreError> {
        match self.propose_owner(call) {
            Some(record) => self.claims.write(key, &record, revision).await,
            None => self.claims.read_owner(key).await,
        }
    }

    /// Returns a claim that names an available sidecar as the owner of the key.
    fn propose_owner(&self, call: &Call) -> Option<ClaimRecord> {
        let name = self.choose_sidecar(call)?;
        let members = self.node.members();
        let incarnation = members.live(&name)?.latest.info.life;
        Some(ClaimRecord {
            sidecar: name,
            incarnation,
            request: call.request.id.clone(),
            at: self.node.clock.wall_ms(),
        })
    }

    /// Sends the only request that may run under a claim.
    async fn run_claimed(&self, call: &mut Call, record: &ClaimRecord, claim: i64) -> Attempt {
        call.request.outcome_only = false;
        call.request.incarnation = record.incarnation;
        call.request.claim_revision = claim;
        call.tried.push(record.sidecar.clone());
        self.attempt(call, &record.sidecar).await
    }

    /// Asks the owner of a key for its outcome.
    async fn ask_owner(&self, call: &mut Call, stored: &ClaimRecord, claim: i64) -> AttemptResult {
        let unknown = |detail: &str| Fault::new(Code::OutcomeUnknown, detail);
        let members = self.node.members();
        let owner = members.live(&stored.sidecar);
        if owner.is_none_or(|m| m.latest.info.life != stored.incarnation) {
            let fault = unknown("the sidecar that owned the key has stopped or restarted");
            return Err((Outcome::Unconfirmed, fault));
        }
        call.request.outcome_only = true;
        call.request.incarnation = stored.incarnation;
        call.request.claim_revision = claim;
        let attempt = self.attempt(call, &stored.sidecar).await;
        let age = self.node.clock.wall_ms().saturating_sub(stored.at);
        match classify_attempt(attempt) {
            Err((Outcome::Refused, fault)) if fault.code == Code::DeadlinePassed => {
                let fault = unknown("the deadline passed before the owner of the key answered");
                Err((Outcome::Unconfirmed, fault))
            }
            Err((Outcome::Refused, _)) if age > CLAIM_TTL.as_millis() as u64 => {
                let fault = unknown("the key is too old; its outcome is no longer available");
                Err((Outcome::Unconfirmed, fault))
            }
            result => result,
        }
    }
}

/// The reply to the caller, or the outcome and cause of a failed attempt.
type AttemptResult = Result<Reply, (Outcome, Fault)>;

fn classify_attempt(attempt: Attempt) -> AttemptResult {
    match attempt {
        Attempt::Answered(reply) if reply.code == Code::Done => Ok(to_reply(reply)),
        Attempt::Answered(reply) if reply.code.is_not_run() => {
            Err((Outcome::Refused, Fault::new(reply.code, reply.detail)))
        }
        Attempt::Answered(reply) => {
            Err((Outcome::Unconfirmed, Fault::new(reply.code, reply.detail)))
        }
        Attempt::NotSent(detail) => Err((Outcome::NotSent, Fault::new(Code::NotRun, detail))),
        Attempt::Unanswered(detail) => Err((
            Outcome::Unconfirmed,
            Fault::new(Code::OutcomeUnknown, detail),
        )),
    }
}

/// Returns the fault of a request whose key could not be claimed.
///
/// The request was not forwarded, but an earlier one with the same key may have run.
fn claim_fault(error: StoreError) -> Fault {
    let detail = format!(
        "the key could not be claimed, so this request was not forwarded; \
         an earlier one with the same key may have run: {error}"
    );
    Fault::new(Code::StoreDown, detail)
}
