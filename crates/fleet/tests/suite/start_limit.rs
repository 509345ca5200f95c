//! The latest time of a start, as a sidecar checks it against its worker's clock.

use hibiscusbarrow_fleet::start_limit::WorkerClock;
use hibiscusbarrow_fleet::worker::Listing;
use hibiscusbarrow_fleet::worker::Start;
use hibiscusbarrow_fleet::worker::TaskId;
use std::time::Duration;

const BORN: u64 = 7;

/// Returns a clock that showed `clock` milliseconds in a listing that arrived at `at`.
fn clock(clock: u64, at: Duration) -> WorkerClock {
    let mut known = WorkerClock::default();
    let listing = Listing {
        born: BORN,
        clock,
        ..Listing::default()
    };
    known.read(&listing, at);
    known
}

fn start(latest: Option<u64>) -> Start {
    Start {
        task: TaskId {
            job: "j".into(),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
        spec: String::new(),
        deadline: 100_000,
        checkpoint: "".into(),
        approval: "".into(),
        latest,
    }
}

/// Guards against an order that a link held back and that starts work seconds later.
#[test]
fn start_is_refused_from_its_latest_time_on() {
    let read_at = Duration::from_secs(50);
    let known = clock(10_000, read_at);

    let is_late = |ms| known.is_too_late(&start(Some(12_040)), BORN, read_at + ms);

    assert!(!is_late(Duration::from_millis(1_900)));
    assert!(!is_late(Duration::from_millis(2_000)));
    assert!(is_late(Duration::from_millis(2_060)));
}

/// A worker's clock that runs faster than the sidecar's would let a start through too late.
#[test]
fn clock_of_the_worker_is_taken_to_be_fast() {
    let read_at = Duration::from_secs(50);
    let known = clock(10_000, read_at);

    let is_late = known.is_too_late(&start(Some(12_000)), BORN, read_at + Duration::from_secs(2));

    assert!(is_late);
}

/// The clock of a former incarnation says nothing about the present one, which starts at zero: a
/// start for it would never be too late, or always.
#[test]
fn start_with_a_limit_is_refused_while_the_clock_of_the_incarnation_is_not_known() {
    let unread = WorkerClock::default();
    let of_former = clock(0, Duration::ZERO);

    assert!(unread.is_too_late(&start(Some(u64::MAX)), BORN, Duration::ZERO));
    assert!(of_former.is_too_late(&start(Some(u64::MAX)), BORN + 1, Duration::ZERO));
}

/// A deployment without evacuations has no limit, and a sidecar that has yet to see a listing must
/// carry out starts there.
#[test]
fn start_without_a_limit_is_never_too_late() {
    let unread = WorkerClock::default();

    let is_late = unread.is_too_late(&start(None), BORN, Duration::from_secs(1_000));

    assert!(!is_late);
}

/// An order of a placer from before this field has to decode, and one without a limit must look as
/// it did, so that old sidecars read it.
#[test]
fn order_without_a_limit_has_the_former_format() {
    let without = serde_json::to_value(start(None)).expect("a start can be serialized");

    let decoded: Start = serde_json::from_value(without.clone()).expect("the start decodes");

    assert_eq!(without.get("latest"), None);
    assert_eq!(decoded, start(None));
}

/// An answer that was overtaken by a newer one would set the clock back, and let a start through
/// too late.
#[test]
fn late_listing_does_not_set_the_clock_back() {
    let read_at = Duration::from_secs(50);
    let mut known = clock(10_000, read_at);
    let overtaken = Listing {
        born: BORN,
        clock: 9_000,
        ..Listing::default()
    };

    known.read(&overtaken, read_at + Duration::from_millis(500));

    let now = read_at + Duration::from_millis(600);
    assert!(known.is_too_late(&start(Some(10_500)), BORN, now));
}
