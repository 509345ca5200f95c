//! Callers that were rejected during an outage of the store and return by themselves.

use hibiscusbarrow_coordination::retry_after::during_outage;
use std::collections::BTreeSet;
use std::time::Duration;

/// The retries that a caller makes before it gives up.
const RETRIES: u32 = 4;
/// The time for which a patient caller tries.
const PATIENCE: Duration = Duration::from_secs(30);

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Returns whether a caller that is first rejected at `start` finds the dependency back before
/// its retries are used up.
fn outlasts(outage: Duration, start: Duration, spread: u64) -> bool {
    let mut now = start;
    for _ in 0..RETRIES {
        // A `retry-after` header has whole seconds.
        let wait = during_outage(now, PATIENCE, spread).as_secs_f64().ceil();
        now += Duration::from_secs_f64(wait);
        if now >= outage {
            return true;
        }
    }
    false
}

/// Guards against callers that use up their retries within an outage of some seconds.
#[test]
fn every_caller_outlasts_an_outage_of_six_seconds() {
    let outage = Duration::from_secs(6);

    for start in (0..6_000).step_by(50) {
        for spread in 0..64 {
            let spread = spread * 16;
            assert!(outlasts(outage, millis(start), spread), "{start} {spread}");
        }
    }
}

/// Guards against a long wait after a short interruption.
#[test]
fn wait_is_between_one_second_and_the_age_of_the_outage() {
    for age in (0..60_000).step_by(100).map(millis) {
        for spread in 0..32 {
            let wait = during_outage(age, PATIENCE, spread * 32);
            assert!(wait >= millis(1_000), "{age:?}: {wait:?}");
            assert!(wait <= age.max(millis(1_000)), "{age:?}: {wait:?}");
            assert!(wait <= millis(5_000), "{age:?}: {wait:?}");
        }
    }
}

/// Guards against a wait after which a caller that tries for three seconds has given up.
#[test]
fn impatient_caller_is_asked_to_return_while_it_still_tries() {
    for age in (0..60_000).step_by(100).map(millis) {
        let wait = during_outage(age, millis(3_000), 7);
        assert_eq!(wait, millis(1_000), "{age:?}");
    }
}

/// Guards against callers that were rejected in the same moment and return in the same moment.
#[test]
fn callers_of_one_moment_return_at_different_times() {
    let waits: BTreeSet<Duration> = (0..1_024)
        .map(|spread| during_outage(millis(4_000), PATIENCE, spread))
        .collect();

    assert!(waits.len() > 500, "{}", waits.len());
}
