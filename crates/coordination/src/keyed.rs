//! The decisions of one request with an idempotency key.
//!
//! The machine belongs to the process that serves the caller. It writes a claim
//! that names an owner, lets the owner run the key once, and asks the owner of
//! an earlier claim for its outcome. Together with a [`crate::key_gate::KeyGate`]
//! at each owner, whose keys include the revision of the claim, a key runs at
//! most once. "Not run" is only said once the claim was withdrawn at the revision
//! that never ran, so that no earlier request of the key has run or will.

/// The tries to settle who owns a key.
const MAX_CLAIM_ATTEMPTS: u32 = 8;

/// Enumerates what the owner of the machine must do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<O> {
    /// Proposes an owner and writes the claim if it is still at this revision.
    Claim {
        /// The revision; 0 means that no claim exists.
        revision: i64,
    },
    /// Sends the one request that may run under this claim.
    Run {
        /// The owner.
        owner: O,
        /// The revision of the claim.
        claim: i64,
    },
    /// Asks the owner of another request's claim for the outcome.
    Repeat {
        /// The owner.
        owner: O,
        /// The revision of the claim.
        claim: i64,
    },
    /// Withdraws the claim if it is still at this revision.
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

/// Tells how writing a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claimed<O> {
    /// The claim was written at this revision.
    Mine(O, i64),
    /// Another claim stands at this revision.
    Other(O, i64),
    /// Nobody could be proposed as the owner, and no claim stands.
    NoOwner,
}

/// Tells how withdrawing a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Withdrawn<O> {
    /// No claim stands any more.
    Done,
    /// Another claim stands at this revision.
    Other(O, i64),
    /// The store did not say.
    Unknown,
}

/// Tells what came back from an owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer.
    Answer,
    /// A refusal before the request was forwarded; the claim can never run again.
    Refused,
    /// The request never left this process.
    NotSent,
    /// Anything else.
    Unconfirmed,
}

/// Decides on one request with an idempotency key.
#[derive(Clone, Debug, Default)]
pub struct KeyedRequest {
    attempts: u32,
    /// Whether the claim that was last seen is this request's own.
    is_own: bool,
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

    /// Returns the step when no further owner can be tried.
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

    /// Returns the step after an owner was asked.
    ///
    /// `retry` tells whether another try is allowed to a request that was not run.
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
