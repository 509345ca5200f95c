//! The worker's side of the gang protocol: which gang holds which accelerators, and until when.

use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

/// The number of ended gangs that a worker remembers, to refuse holds that arrive late.
const MAX_ENDED_GANGS: usize = 1024;

/// The state of a gang's member on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldState {
    /// The accelerators are held and the member has not started.
    Held,
    /// The member is running.
    Running,
    /// The member was stopped by a command or because it was not renewed.
    Stopped,
}

/// The reason why a worker refuses a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Another gang holds one of the accelerators.
    Busy,
    /// The gang has no unexpired hold with this sequence number.
    NoHold,
}

/// A worker's grant of accelerators to one gang.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The sequence number of the current hold.
    pub seq: u64,
    /// The granted accelerators as a bit mask.
    pub mask: u64,
    /// The state of the member.
    pub state: HoldState,
    /// When the current hold was first received.
    received_at: Duration,
    expires_at: Duration,
    run_until: Duration,
}

/// The grants of one worker, which decide whether it accepts a command.
#[derive(Clone, Debug, Default)]
pub struct HoldTable {
    grants: BTreeMap<SmolStr, Grant>,
    /// For each ended gang, the highest sequence number of a hold that is refused.
    ended: BTreeMap<SmolStr, u64>,
    /// The ended gangs, oldest first.
    ended_order: VecDeque<SmolStr>,
}

impl HoldTable {
    /// Grants or renews a hold that expires `ttl` from now.
    ///
    /// Only a higher sequence number renews a hold. A repeated command changes
    /// nothing, even after the hold has expired, because the placer computes run
    /// durations from its first reception.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Busy`] if another gang holds one of the accelerators, and
    /// [`Refusal::NoHold`] if the gang was released or this hold has expired.
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

    /// Lets the member run until `run_time` after hold `seq` was first received.
    ///
    /// Returns true if the member starts now, and false if it was already running.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::NoHold`] if the gang has no unexpired hold `seq`, the run would
    /// already be over, or the member was stopped.
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

    /// Stops the member and keeps its accelerators held.
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

    /// Stops members whose run time is over and removes expired holds.
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

    /// Returns every grant with its gang; call [`HoldTable::expire`] first to leave out expired
    /// ones.
    pub fn grants(&self) -> impl Iterator<Item = (&SmolStr, &Grant)> {
        self.grants.iter()
    }

    /// Returns the grant of a gang, if it has one.
    pub fn grant(&self, gang: &SmolStr) -> Option<&Grant> {
        self.grants.get(gang)
    }
}
