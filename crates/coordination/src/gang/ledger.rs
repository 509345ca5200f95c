//! The worker's side: who holds which accelerator, and until when.

use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

/// The gangs whose end a worker remembers, to refuse holds that come late.
const MAX_ENDED_GANGS: usize = 1024;

/// Enumerates the states of a gang's member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldState {
    /// Accelerators are held and nothing has run.
    Held,
    /// The member runs.
    Running,
    /// The member was stopped by an order or for lack of renewal.
    Stopped,
}

/// Enumerates the reasons for which an order is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Another gang holds an accelerator.
    Busy,
    /// The gang has no live hold of this sequence number.
    NoHold,
}

/// Holds what a worker has granted to one gang.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The sequence number of the hold in force.
    pub seq: u64,
    /// The accelerators, one bit each.
    pub mask: u64,
    /// The state of the member.
    pub state: HoldState,
    received_at: Duration,
    expires_at: Duration,
    run_until: Duration,
}

/// Decides on the orders that a worker receives.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    grants: BTreeMap<SmolStr, Grant>,
    /// The highest sequence number of each gang whose hold ended here.
    ended: BTreeMap<SmolStr, u64>,
    ended_order: VecDeque<SmolStr>,
}

impl Ledger {
    /// Grants or renews a hold of `ttl` from now.
    ///
    /// Only a higher sequence number renews; a repeated order changes nothing,
    /// even after the hold has lapsed, since the placer counts from its first
    /// reception.
    pub fn hold(
        &mut self,
        gang: &SmolStr,
        seq: u64,
        mask: u64,
        ttl: Duration,
        now: Duration,
    ) -> Result<(), Refusal> {
        self.expire(now);
        if self.ended.get(gang).is_some_and(|ended| seq <= *ended) {
            return Err(Refusal::NoHold);
        }
        if let Some(grant) = self.grants.get_mut(gang) {
            if seq > grant.seq {
                grant.seq = seq;
                grant.received_at = now;
                grant.expires_at = now + ttl;
            }
            return Ok(());
        }
        if self.grants.values().any(|g| g.mask & mask != 0) {
            return Err(Refusal::Busy);
        }
        let grant = Grant {
            seq,
            mask,
            state: HoldState::Held,
            received_at: now,
            expires_at: now + ttl,
            run_until: Duration::ZERO,
        };
        self.grants.insert(gang.clone(), grant);
        Ok(())
    }

    /// Lets the member run until `limit` after the hold was first received.
    ///
    /// Returns whether the member starts now, rather than runs on.
    pub fn run(
        &mut self,
        gang: &SmolStr,
        seq: u64,
        run_time: Duration,
        now: Duration,
    ) -> Result<bool, Refusal> {
        self.expire(now);
        let grant = self.grants.get_mut(gang).ok_or(Refusal::NoHold)?;
        let until = (grant.received_at + run_time).min(grant.expires_at);
        if grant.seq != seq || until <= now || grant.state == HoldState::Stopped {
            return Err(Refusal::NoHold);
        }
        grant.run_until = grant.run_until.max(until);
        let starts = grant.state == HoldState::Held;
        grant.state = HoldState::Running;
        Ok(starts)
    }

    /// Stops the member; its accelerators stay held.
    pub fn stop(&mut self, gang: &SmolStr, now: Duration) {
        self.expire(now);
        if let Some(grant) = self.grants.get_mut(gang) {
            grant.state = HoldState::Stopped;
        }
    }

    /// Stops the member and frees its accelerators.
    pub fn release(&mut self, gang: &SmolStr) {
        self.grants.remove(gang);
        self.record_ended(gang.clone(), u64::MAX);
    }

    /// Stops members that were not renewed in time and drops holds that lapsed.
    pub fn expire(&mut self, now: Duration) {
        for grant in self.grants.values_mut() {
            if grant.state == HoldState::Running && now >= grant.run_until {
                grant.state = HoldState::Stopped;
            }
        }
        let expired = self.grants.iter().filter(|(_, g)| now >= g.expires_at);
        let expired: Vec<(SmolStr, u64)> = expired.map(|(n, g)| (n.clone(), g.seq)).collect();
        for (gang, seq) in expired {
            self.grants.remove(&gang);
            self.record_ended(gang, seq);
        }
    }

    fn record_ended(&mut self, gang: SmolStr, seq: u64) {
        if self.ended.insert(gang.clone(), seq).is_none() {
            self.ended_order.push_back(gang);
        }
        if self.ended_order.len() > MAX_ENDED_GANGS {
            let oldest = self
                .ended_order
                .pop_front()
                .expect("the queue is not empty");
            self.ended.remove(&oldest);
        }
    }

    /// Lists every grant; call [`Ledger::expire`] first.
    pub fn grants(&self) -> impl Iterator<Item = (&SmolStr, &Grant)> {
        self.grants.iter()
    }

    /// Returns the grant of a gang.
    pub fn grant(&self, gang: &SmolStr) -> Option<&Grant> {
        self.grants.get(gang)
    }
}
