//! What a sidecar keeps of the listings of a draining worker.

use hibiscusbarrow_fleet::last_listing::LastListing;
use hibiscusbarrow_fleet::worker::Announcement;
use hibiscusbarrow_fleet::worker::Boot;
use hibiscusbarrow_fleet::worker::End;
use hibiscusbarrow_fleet::worker::Ended;
use hibiscusbarrow_fleet::worker::Listing;
use hibiscusbarrow_fleet::worker::Running;
use hibiscusbarrow_fleet::worker::TaskId;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn boot(born: u64) -> Boot {
    Boot {
        id: "w1".into(),
        born,
    }
}

fn heartbeat(born: u64, draining: bool) -> Announcement {
    Announcement {
        boot: boot(born),
        draining,
        ..Announcement::default()
    }
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: "j".into(),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// Returns a listing with ends of these numbers.
fn listing(born: u64, numbers: &[u64]) -> Listing {
    let end = |number: &u64| Ended {
        number: *number,
        task: task(*number as u32),
        run: 1,
        end: End::Done,
        checkpoint: "".into(),
    };
    Listing {
        born,
        ended: numbers.iter().map(end).collect(),
        ..Listing::default()
    }
}

/// Returns the numbers of the ends that are still to be delivered.
fn undelivered(last: &mut LastListing, born: u64, acknowledged: u64) -> Vec<u64> {
    let kept = last.unacknowledged(&boot(born), acknowledged);
    kept.map_or_else(Vec::new, |(_, listing)| {
        listing.ended.iter().map(|e| e.number).collect()
    })
}

#[test]
fn ends_of_a_draining_worker_are_kept_until_they_are_acknowledged() {
    let mut last = LastListing::default();
    last.keep(&heartbeat(7, true), &listing(7, &[1]), SECOND);
    last.keep(&heartbeat(7, true), &listing(7, &[2, 3]), SECOND);

    let acknowledged = [0, 2, 0, 3, 0].map(|n| undelivered(&mut last, 7, n));

    assert_eq!(acknowledged, [vec![2, 3], vec![3], vec![3], vec![], vec![]]);
}

/// Guards against ends that are delivered as those of another incarnation, whose numbering they
/// do not follow.
#[test]
fn ends_of_another_incarnation_or_of_a_worker_that_stays_are_not_delivered() {
    let mut last = LastListing::default();
    last.keep(&heartbeat(7, false), &listing(7, &[1]), SECOND);
    last.keep(&heartbeat(7, true), &listing(6, &[1]), SECOND);
    assert_eq!(undelivered(&mut last, 7, 0), Vec::<u64>::new());

    last.keep(&heartbeat(7, true), &listing(7, &[1]), SECOND);

    assert_eq!(undelivered(&mut last, 8, 0), Vec::<u64>::new());
    assert_eq!(undelivered(&mut last, 7, 0), [1]);
}

/// Guards against ends that are forgotten, as an answer from before them arrives after them: the
/// sidecar polls on several connections.
#[test]
fn older_listing_that_arrives_late_replaces_no_newer_one() {
    let mut last = LastListing::default();
    let at = |clock: u64, numbers: &[u64]| Listing {
        clock,
        ..listing(7, numbers)
    };
    last.keep(&heartbeat(7, true), &at(500, &[1]), SECOND);

    last.keep(&heartbeat(7, true), &at(499, &[]), SECOND);
    last.keep(&heartbeat(7, true), &at(500, &[]), SECOND);

    assert_eq!(undelivered(&mut last, 7, 0), [1]);
    last.keep(&heartbeat(7, true), &at(501, &[2]), SECOND);
    assert_eq!(undelivered(&mut last, 7, 0), [2]);
}

/// Guards against departures after which the log does not tell whether the sidecar had received an
/// end.
#[test]
fn description_of_the_last_listing_names_its_age_its_runs_and_its_ends() {
    let mut last = LastListing::default();
    let running = Running {
        task: task(4),
        run: 2,
        checkpoint: "".into(),
        percent: 97,
        load: 0,
    };
    let listing = Listing {
        running: vec![running],
        ..listing(7, &[3])
    };
    last.keep(&heartbeat(7, true), &listing, SECOND);

    let described = last.describe(&boot(7), SECOND + Duration::from_millis(6));

    let expected = "listed=6ms ago j (0, 0, 4)#2 at 97% j (0, 0, 3)#1 Done";
    assert_eq!(described, expected);
    assert_eq!(last.describe(&boot(8), SECOND), "listed=none");
}
