//! The limit on the calls that are open at a service.

use hibiscusbarrow_coordination::call_window::CallWindow;
use std::time::Duration;

const TARGET: Duration = Duration::from_millis(250);

fn window() -> CallWindow {
    CallWindow::new(128, 1..=512, TARGET).with_late_least(8)
}

#[test]
fn answers_in_time_open_the_window_up_to_its_end() {
    let mut window = window();

    for _ in 0..1_000 {
        window.record_answer(TARGET);
    }

    assert_eq!(window.limit(), 512);
}

/// A slow network delays all answers, however few calls are open.
#[test]
fn late_answers_leave_the_window_open() {
    let mut window = window();

    for _ in 0..1_000 {
        window.record_answer(TARGET * 2);
    }

    assert_eq!(window.limit(), 8);
}

#[test]
fn failures_close_the_window_but_for_one_call() {
    let mut window = window();

    for _ in 0..1_000 {
        window.record_failure();
    }
    let closed = window.limit();
    window.record_answer(TARGET * 2);
    let late = window.limit();
    window.record_answer(TARGET);

    assert_eq!((closed, late, window.limit()), (1, 1, 2));
}
