//! The decisions of one request with an idempotency key.
//!
//! The machine belongs to the process that serves the caller. It writes a claim
//! that names an owner, lets the owner run the key once, and asks the owner of
//! an earlier claim for its outcome. Together with a [`crate::key_gate::KeyGate`]
//! at each owner, whose keys include the revision of the claim, a key runs at
//! most once, and "not run" is only said while no other request can run it.

/// The tries to settle who owns a key.
const MAX_ROUNDS: u32 = 8;

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
    /// Nobody could be proposed as the owner.
    NoOwner,
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
    Doubtful,
}

/// Decides on one request with an idempotency key.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    rounds: u32,
    /// Whether another request's claim was found and may still be acted on.
    foreign: bool,
    mine: bool,
    claim: i64,
}

impl Default for KeyedRequest {
    fn default() -> Self {
        Self {
            rounds: 0,
            foreign: false,
            mine: false,
            claim: 0,
        }
    }
}

impl KeyedRequest {
    /// Returns the first step.
    pub fn begin<O>(&mut self) -> Step<O> {
        self.next_claim(0)
    }

    fn next_claim<O>(&mut self, revision: i64) -> Step<O> {
        self.rounds += 1;
        if self.rounds > MAX_ROUNDS {
            return self.give_up();
        }
        Step::Claim { revision }
    }

    /// Returns the verdict when nothing more can be tried.
    fn give_up<O>(&self) -> Step<O> {
        if self.foreign { Step::Unknown } else { Step::NotRun }
    }

    /// Returns the step after a claim was written or found.
    pub fn claimed<O>(&mut self, claimed: Claimed<O>) -> Step<O> {
        match claimed {
            Claimed::Mine(owner, claim) => {
                (self.mine, self.foreign, self.claim) = (true, false, claim);
                Step::Run { owner, claim }
            }
            Claimed::Other(owner, claim) => {
                (self.mine, self.foreign, self.claim) = (false, true, claim);
                Step::Repeat { owner, claim }
            }
            Claimed::NoOwner => self.give_up(),
        }
    }

    /// Returns the step after an owner was asked.
    ///
    /// `retry` tells whether another try is allowed to a request that was not run.
    pub fn replied<O>(&mut self, outcome: Outcome, retry: bool) -> Step<O> {
        match (outcome, self.mine) {
            (Outcome::Answer, _) => Step::Answer,
            (Outcome::Refused | Outcome::NotSent, true) if retry => self.next_claim(self.claim),
            (Outcome::Refused | Outcome::NotSent, true) => Step::NotRun,
            (Outcome::Refused, false) => self.next_claim(self.claim),
            (Outcome::NotSent | Outcome::Doubtful, _) => Step::Unknown,
        }
    }
}
