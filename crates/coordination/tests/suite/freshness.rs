//! When a copy of a shared value may be used.

use hibiscusbarrow_coordination::freshness::Freshness;
use hibiscusbarrow_coordination::freshness::Poll;
use proptest::prelude::*;
use std::time::Duration;

const BOUND: Duration = Duration::from_millis(2_000);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn outage() -> Poll {
    Poll {
        asked: 5,
        answered: 3,
        proven: false,
    }
}

#[test]
fn copy_is_proven_for_the_bound_after_its_confirmation() {
    let mut freshness = Freshness::new(BOUND);
    assert!(!freshness.allows_use(at(0)));

    freshness.confirm(Some(at(1_000)));
    freshness.confirm(Some(at(400)));
    freshness.confirm(None);

    assert_eq!(freshness.age(at(1_500)), Some(at(500)));
    assert!(freshness.allows_use(at(3_000)));
    assert!(!freshness.allows_use(at(3_001)));
}

/// Asking others only once the copy is too old leaves no time for their answers.
#[test]
fn others_are_asked_well_before_the_copy_is_too_old() {
    let mut freshness = Freshness::new(BOUND);
    freshness.confirm(Some(at(0)));

    let first = (0..2_000).find(|ms| freshness.needs_peers(at(*ms)));

    assert!(first.is_some_and(|ms| ms <= 1_000), "{first:?}");
    let asked_each_time = freshness.confirm_interval().as_millis() as u64;
    assert!(!freshness.needs_peers(at(asked_each_time)));
}

/// The store is down for all: nobody can have written a newer value that others know.
#[test]
fn copy_is_used_while_most_others_answer_and_none_proves_its_own() {
    let mut freshness = Freshness::new(BOUND);
    freshness.confirm(Some(at(0)));

    freshness.record_poll(outage(), at(2_100));
    let after_one = freshness.allows_use(at(2_200));
    freshness.record_poll(outage(), at(2_300));

    assert!(!after_one);
    assert!(freshness.allows_use(at(2_400)));
    assert!(!freshness.allows_use(at(2_300) + BOUND + at(1)));
}

#[test]
fn copy_is_not_used_once_another_process_proves_its_own_or_most_are_silent() {
    let silent = Poll {
        answered: 2,
        ..outage()
    };
    let proven = Poll {
        proven: true,
        ..outage()
    };
    for poll in [silent, proven] {
        let mut freshness = Freshness::new(BOUND);
        freshness.confirm(Some(at(0)));
        freshness.record_poll(outage(), at(2_100));
        freshness.record_poll(outage(), at(2_200));

        freshness.record_poll(poll, at(2_300));

        assert!(!freshness.allows_use(at(2_400)), "{poll:?}");
    }
}

/// A step of a drawn history of processes that share a value.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The value changes.
    Write,
    /// The store confirms the copy of a process, unless it turns the process away.
    Read(usize),
    /// A process asks another one.
    Ask(usize, usize),
    /// Time passes, in milliseconds.
    Wait(u64),
    /// The store begins or ceases to turn a process away.
    Turn(usize),
}

const PROCESSES: usize = 4;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        Just(Step::Write),
        (0..PROCESSES).prop_map(Step::Read),
        (0..PROCESSES, 0..PROCESSES).prop_map(|(a, b)| Step::Ask(a, b)),
        (1_u64..900).prop_map(Step::Wait),
        (0..PROCESSES).prop_map(Step::Turn),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    /// Confirmations that pass from process to process add up their ages, so that none uses a value
    /// for longer than the bound after it was replaced.
    #[test]
    fn no_process_uses_a_value_that_was_replaced_longer_ago_than_the_bound(steps in steps()) {
        let mut now = 0;
        let mut written_at = vec![0_u64];
        let mut turned_away = [false; PROCESSES];
        let mut copies = vec![(0_usize, Freshness::new(BOUND)); PROCESSES];
        for step in steps {
            match step {
                Step::Write => written_at.push(now),
                Step::Read(process) if !turned_away[process] => {
                    copies[process].0 = written_at.len() - 1;
                    copies[process].1.confirm(Some(at(now)));
                }
                Step::Read(_) => {}
                Step::Ask(process, other) => {
                    let (version, peer) = copies[other].clone();
                    let copy = &mut copies[process];
                    if version >= copy.0 {
                        copy.0 = version;
                        copy.1.confirm(peer.age(at(now)).and_then(|a| at(now).checked_sub(a)));
                    }
                }
                Step::Wait(millis) => now += millis,
                Step::Turn(process) => turned_away[process] = !turned_away[process],
            }
            for (version, freshness) in &copies {
                let replaced_at = written_at.get(version + 1);
                let is_due = replaced_at.is_some_and(|t| at(now) > at(*t) + BOUND);
                prop_assert!(!(is_due && freshness.allows_use(at(now))));
            }
        }
    }
}
