//! The set of evacuated domains: order of its versions and its age.

use hibiscusbarrow_coordination::evacuation::EvacuationSet;
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::time::Duration;

/// Returns a set of domains.
fn domains(names: &[&str]) -> BTreeSet<SmolStr> {
    names.iter().map(|n| SmolStr::from(*n)).collect()
}

/// Returns a time in seconds from the origin of the clock.
fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against a delayed answer that brings back a set that was replaced.
#[test]
fn late_answer_with_an_older_revision_changes_nothing() {
    let mut set = EvacuationSet::default();
    let region = SmolStr::from("quebec");
    set.offer(&region, 7, domains(&["d0"]));

    let changed = set.offer(&region, 6, domains(&[]));

    assert!(!changed && set.contains("quebec", "d0"));
    assert!(!set.contains("ontario", "d0"));
}

/// Guards against a set that counts as new because a peer answered, although the peer's own
/// knowledge is old, and against one that is older than the clock and counts as new.
#[test]
fn age_counts_from_the_call_and_includes_the_age_at_the_peer() {
    let mut set = EvacuationSet::default();
    assert!(!set.is_fresh(at(10), at(1000)), "nothing was received yet");

    set.confirm(at(10), at(3));
    set.confirm(at(11), at(60));

    assert_eq!(set.age(at(12)), Some(at(5)));
    let mut started = EvacuationSet::default();
    started.confirm(at(1), at(60));
    assert!(started.age(at(2)) > Some(at(60)));
}
