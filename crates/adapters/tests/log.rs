//! The rate limit of the event log.

use hibiscusbarrow_adapters::log;
use hibiscusbarrow_adapters::log::EventLog;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_model::event::Event;
use std::time::Duration;

/// Guards against a log flood: a process that emits one event in a loop must not fill the
/// log or crowd out other events, and the dropped lines must be reported.
#[test]
fn lines_beyond_the_rate_limit_are_dropped_and_counted() {
    let (clock, time) = Clock::manual();
    let log = EventLog::new("p", clock, log::discard());
    time.set(Duration::from_secs(5));
    for _ in 0..1_000 {
        log.emit(Event::JobRefused, "j", "flood");
    }
    log.emit(Event::JobAccepted, "k", "another event");

    time.set(Duration::from_secs(7));
    log.emit(Event::JobRefused, "j", "later");

    let records = log.records();
    assert_eq!(records.len(), 53);
    assert_eq!(records[51].event, Event::LinesDropped);
    assert_eq!(records[51].detail, "event=E1609 lines=950");
}
