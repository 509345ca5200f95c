//! A retry budget that limits retries to a fixed share of requests.

/// The cost of one retry, in units of the budget.
const RETRY_COST: u32 = 10;
/// The units that each request adds, which limits retries to a fifth of requests.
const REQUEST_GAIN: u32 = 2;
/// The largest balance, which pays for ten retries.
const MAX_BALANCE: u32 = 100;

/// A budget that requests fill and retries spend.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + REQUEST_GAIN).min(MAX_BALANCE);
    }

    /// Spends the cost of a retry; returns whether the retry is allowed.
    pub fn try_retry(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
