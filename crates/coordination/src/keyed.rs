//! The state machine of one request with an idempotency key.
//!
//! The state machine runs in the process that serves the caller. It writes a claim that
//! names an owner, lets that owner run the key once, and asks the owner of an earlier
//! claim for its outcome. Together with a [`crate::key_gate::KeyGate`] at each owner,
//! whose keys include the revision of the claim, a key runs at most once.
//!
//! The caller is told "not run" only after the claim was withdrawn at a revision
//! that never ran, so that no earlier request with the key has run or will run.

/// The maximum number of claims that one request attempts to write.
const MAX_CLAIM_ATTEMPTS: u32 = 8;

/// The next action of the process that serves the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<O> {
    /// Chooses an owner and writes the claim if the stored one still has this revision.
    Claim {
        /// The expected revision; 0 means that no claim exists.
        revision: i64,
    },
    /// Sends the only request that may run under this claim.
    Run {
        /// The owner that the claim names.
        owner: O,
        /// The revision of the claim.
        claim: i64,
    },
    /// Asks the owner of another request's claim for the outcome.
    Repeat {
        /// The owner that the claim names.
        owner: O,
        /// The revision of the claim.
        claim: i64,
    },
    /// Deletes the claim if it still has this revision.
    Withdraw {
        /// The revision of the claim.
        claim: i64,
    },
    /// Returns the owner's answer to the caller.
    Answer,
    /// Tells the caller that its request was not run.
    NotRun,
    /// Tells the caller that the outcome is unknown.
    Unknown,
}

/// The result of writing a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claimed<O> {
    /// This request's claim was written with this owner and revision.
    Mine(O, i64),
    /// Another request's claim exists with this owner and revision.
    Other(O, i64),
    /// No owner was available, and no claim exists.
    NoOwner,
}

/// The result of withdrawing a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Withdrawn<O> {
    /// No claim exists any more.
    Done,
    /// Another request's claim exists with this owner and revision.
    Other(O, i64),
    /// The store did not confirm the withdrawal, so the claim may still exist.
    Unknown,
}

/// The result of a request to an owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The owner sent its complete answer.
    Answer,
    /// The owner refused before forwarding the request; the claim can no longer run.
    Refused,
    /// The request never left this process.
    NotSent,
    /// Any other result; the request may have run.
    Unconfirmed,
}

/// The state of one request with an idempotency key.
#[derive(Clone, Debug, Default)]
pub struct KeyedRequest {
    /// The number of claims attempted so far.
    attempts: u32,
    /// Whether the last seen claim is this request's own.
    is_own: bool,
    /// The revision of the last seen claim; 0 before the first.
    claim: i64,
}

impl KeyedRequest {
    /// Returns the first step.
    pub fn begin<O>(&mut self) -> Step<O> {
        self.next_claim(0)
    }

    fn next_claim<O>(&mut self, revision: i64) -> Step<O> {
        self.attempts += 1;
        if self.attempts > MAX_CLAIM_ATTEMPTS {
            return self.give_up();
        }
        Step::Claim { revision }
    }

    /// Returns the step to take when no further claim can be written.
    fn give_up<O>(&self) -> Step<O> {
        match (self.is_own, self.claim) {
            (true, claim) => Step::Withdraw { claim },
            (false, 0) => Step::NotRun,
            (false, _) => Step::Unknown,
        }
    }

    /// Returns the step after a claim was written or found.
    pub fn claimed<O>(&mut self, claimed: Claimed<O>) -> Step<O> {
        match claimed {
            Claimed::Mine(owner, claim) => {
                (self.is_own, self.claim) = (true, claim);
                Step::Run { owner, claim }
            }
            Claimed::Other(owner, claim) => self.ask_owner(owner, claim),
            Claimed::NoOwner => Step::NotRun,
        }
    }

    fn ask_owner<O>(&mut self, owner: O, claim: i64) -> Step<O> {
        (self.is_own, self.claim) = (false, claim);
        Step::Repeat { owner, claim }
    }

    /// Returns the step after a request to an owner.
    ///
    /// `retry` allows another attempt if the request was not run.
    pub fn replied<O>(&mut self, outcome: Outcome, retry: bool) -> Step<O> {
        match (outcome, self.is_own) {
            (Outcome::Answer, _) => Step::Answer,
            (Outcome::Refused | Outcome::NotSent, true) if retry => self.next_claim(self.claim),
            (Outcome::Refused | Outcome::NotSent, true) => self.give_up(),
            (Outcome::Refused, false) => self.next_claim(self.claim),
            (Outcome::NotSent | Outcome::Unconfirmed, _) => Step::Unknown,
        }
    }

    /// Returns the step after a claim was withdrawn.
    pub fn withdrawn<O>(&mut self, withdrawn: Withdrawn<O>) -> Step<O> {
        match withdrawn {
            Withdrawn::Done => Step::NotRun,
            Withdrawn::Other(owner, claim) => self.ask_owner(owner, claim),
            Withdrawn::Unknown => Step::Unknown,
        }
    }
}
