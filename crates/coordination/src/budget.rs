//! A budget that keeps retries a fixed share of requests.

/// The cost of one retry in units of the budget.
const RETRY_COST: u32 = 10;
/// What each request adds to the budget: retries stay at most a fifth of requests.
const REQUEST_GAIN: u32 = 2;
/// The most that the budget saves up: ten retries.
const MAX_BALANCE: u32 = 100;

/// Allows retries while they stay a small share of requests.
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
    /// Records a first attempt.
    pub fn request(&mut self) {
        self.balance = (self.balance + REQUEST_GAIN).min(MAX_BALANCE);
    }

    /// Takes the cost of a retry, or refuses it.
    pub fn retry(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
