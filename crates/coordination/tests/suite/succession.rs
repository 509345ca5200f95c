//! The order of succession at the size of a large fleet.

use hibiscusbarrow_coordination::succession::*;
use std::time::Duration;

fn candidate(name: &str, domain: &str, capacity: u64) -> Candidate {
    Candidate {
        name: name.into(),
        domain: domain.into(),
        capacity,
    }
}

/// Returns 55 gateways in five failure domains: three with half a core and eight small ones
/// in each. The small ones have names that sort first.
fn large_fleet() -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for domain in ["d0", "d1", "d2", "d3", "d4"] {
        for i in 0..11 {
            let capacity = if i < 8 { 120 } else { 500 };
            candidates.push(candidate(&format!("{domain}-{i:02}"), domain, capacity));
        }
    }
    candidates
}

/// Guards against a placer for hundreds of workers on a gateway with a tenth of a core while
/// larger ones are there.
#[test]
fn large_gateways_of_different_domains_come_first() {
    let order = order(large_fleet());

    assert_eq!(order[..5], ["d0-08", "d1-08", "d2-08", "d3-08", "d4-08"]);
    assert!(order[..15].iter().all(|n| n.ends_with(['8', '9', '0'])));
    assert_eq!(order.len(), 55);
}

/// All gateways must derive the same order, in whatever order they hear of each other.
#[test]
fn order_does_not_depend_on_the_order_of_the_entries() {
    let mut reversed = large_fleet();
    reversed.reverse();

    assert_eq!(order(reversed), order(large_fleet()));
}

/// Guards against 55 gateways that claim a free lease in the same moment, and against a fleet
/// that waits long because only the last in order is left.
#[test]
fn gateways_claim_one_after_the_other_and_the_last_within_seconds() {
    let delays: Vec<Duration> = (0..55).map(takeover_delay).collect();

    assert!(delays.is_sorted());
    assert_eq!(delays[0], Duration::ZERO);
    let first_cold = delays[STANDBYS] - delays[STANDBYS - 1];
    assert!(first_cold >= Duration::from_millis(200), "{first_cold:?}");
    assert!(delays[54] <= Duration::from_millis(2_500));
    assert_eq!(takeover_delay(usize::MAX), Duration::from_millis(2_500));
}
