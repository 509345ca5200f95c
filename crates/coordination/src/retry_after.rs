//! When a caller whose request was rejected should return.

use std::time::Duration;

/// The shortest time that callers are asked to stay away.
const MIN_WAIT: Duration = Duration::from_secs(1);
/// The longest time, so that callers return soon after a long outage.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Returns how long a caller should wait while a dependency has been down for `outage`.
///
/// The wait is about as long as the outage has lasted, so that a caller that retries a few times
/// covers an outage of several seconds, and one that comes during a short interruption loses
/// little time. It is at most a third of `patience`, the time for which the caller tries, as a
/// caller that is sent away for longer may not come again. `spread` is any number that differs
/// between requests; it spreads the return of callers that were rejected together over the
/// second half of the wait.
pub fn during_outage(outage: Duration, patience: Duration, spread: u64) -> Duration {
    let longest = (patience / 3).clamp(MIN_WAIT, MAX_WAIT);
    let wait = outage.clamp(MIN_WAIT, longest);
    let earlier = (wait / 2).mul_f64((spread % 1_024) as f64 / 1_024.0);
    (wait - earlier).max(MIN_WAIT)
}
