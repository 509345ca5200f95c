//! A token bucket for request rates.

use std::time::Duration;

/// A bucket that admits a sustained rate with bursts.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl Bucket {
    /// Creates a full bucket of `burst` tokens that gains `rate` tokens per second.
    pub fn new(rate: u32, burst: u32, now: Duration) -> Self {
        Self {
            rate: rate.into(),
            burst: burst.into(),
            tokens: burst.into(),
            refilled_at: now,
        }
    }

    /// Takes one token; returns false if there is none.
    pub fn try_take(&mut self, now: Duration) -> bool {
        let gained = now.saturating_sub(self.refilled_at).as_secs_f64() * self.rate;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + gained).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
