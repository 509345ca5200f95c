//! When the runs of a worker are stopped that says when it leaves.

use hibiscusbarrow_fleet::departure::Departure;
use hibiscusbarrow_fleet::departure::first_stop;
use hibiscusbarrow_fleet::departure::stop_time;
use hibiscusbarrow_fleet::worker::Announcement;
use hibiscusbarrow_fleet::worker::Boot;
use hibiscusbarrow_fleet::worker::Running;
use hibiscusbarrow_fleet::worker::TaskId;
use std::time::Duration;

const STOP_TIMEOUT: Duration = Duration::from_millis(200);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn boot(born: u64) -> Boot {
    Boot {
        id: "w1".into(),
        born,
    }
}

fn heartbeat(born: u64, remaining: Option<u64>) -> Announcement {
    Announcement {
        boot: boot(born),
        draining: true,
        remaining,
        ..Announcement::default()
    }
}

fn running(checkpoint: &str) -> Running {
    Running {
        task: TaskId {
            job: "j".into(),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
        checkpoint: checkpoint.into(),
        percent: 50,
        load: 0,
    }
}

/// Guards against runs that go on until the worker has left, as a heartbeat was late.
#[test]
fn delayed_heartbeat_does_not_put_off_the_departure() {
    let mut departure = Departure::default();

    let first = departure.read(&heartbeat(7, Some(2_000)), ms(1_000));
    let late = departure.read(&heartbeat(7, Some(1_500)), ms(2_300));

    assert_eq!((first, late), (true, false));
    assert_eq!(departure.time(&boot(7)), Some(ms(3_000)));
}

/// Guards against runs that are stopped on a worker that stays.
#[test]
fn departure_applies_to_the_draining_incarnation_that_announced_it() {
    let mut departure = Departure::default();
    assert!(!departure.read(&heartbeat(7, None), ms(1_000)));
    assert_eq!(departure.time(&boot(7)), None);
    let stays = Announcement {
        draining: false,
        ..heartbeat(7, Some(2_000))
    };
    assert!(!departure.read(&stays, ms(1_000)));

    departure.read(&heartbeat(7, Some(2_000)), ms(1_000));
    let is_first = departure.read(&heartbeat(8, Some(9_000)), ms(1_500));

    assert!(is_first);
    assert_eq!(departure.time(&boot(7)), None);
    assert_eq!(departure.time(&boot(8)), Some(ms(10_500)));
    let stays = Announcement {
        boot: boot(8),
        ..stays
    };
    departure.read(&stays, ms(1_600));
    assert_eq!(departure.time(&boot(8)), None);
}

/// Guards against ends that come as the worker leaves, and against lost checkpoints.
#[test]
fn runs_are_stopped_before_the_departure_and_with_checkpoints_early_enough_to_save_them() {
    let departure = ms(5_000);

    let with_checkpoint = stop_time(&running("c1"), departure, STOP_TIMEOUT);
    let without = stop_time(&running(""), departure, STOP_TIMEOUT);

    assert!(without < departure);
    assert_eq!(with_checkpoint + STOP_TIMEOUT, without);
    assert_eq!(first_stop(departure, STOP_TIMEOUT), with_checkpoint);
    assert_eq!(first_stop(ms(100), STOP_TIMEOUT), Duration::ZERO);
}
