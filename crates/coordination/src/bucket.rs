//! A token bucket for request rates.

use std::time::Duration;

/// Admits a sustained rate with bursts.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Duration,
}

impl Bucket {
    /// Creates a full bucket of `burst` tokens that gains `rate` a second.
    pub fn new(rate: u32, burst: u32, now: Duration) -> Self {
        Self {
            rate: rate.into(),
            burst: burst.into(),
            tokens: burst.into(),
            filled: now,
        }
    }

    /// Takes one token, or refuses.
    pub fn take(&mut self, now: Duration) -> bool {
        let gained = now.saturating_sub(self.filled).as_secs_f64() * self.rate;
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + gained).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
