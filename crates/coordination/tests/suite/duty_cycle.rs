//! A planner that is due after every input, on a processor that its passes would fill.

use hibiscusbarrow_coordination::duty_cycle::DutyCycle;
use std::time::Duration;

/// Handles inputs of 1 ms each for a second, and plans whenever it may. Returns the inputs
/// handled and the plans made.
fn play_second(plan_time: Duration) -> (u32, u32) {
    let (mut cycle, mut now) = (DutyCycle::default(), Duration::ZERO);
    let (mut inputs, mut plans) = (0, 0);
    while now < Duration::from_secs(1) {
        now += Duration::from_millis(1);
        inputs += 1;
        if cycle.may_run(now) {
            let began = now;
            now += plan_time;
            cycle.record(began, now);
            plans += 1;
        }
    }
    (inputs, plans)
}

/// Guards against commits and answers that wait for one long plan after the other.
#[test]
fn long_plans_leave_half_of_the_time_to_inputs() {
    let (inputs, plans) = play_second(Duration::from_millis(40));

    assert!(inputs >= 450, "{inputs}");
    assert!(plans >= 10, "{plans}");
}

#[test]
fn short_plans_follow_nearly_every_input() {
    let (inputs, plans) = play_second(Duration::from_micros(100));

    assert_eq!(plans, inputs);
}

#[test]
fn pause_ends_when_the_task_may_run() {
    let mut cycle = DutyCycle::default();
    cycle.record(Duration::from_millis(10), Duration::from_millis(30));

    let pause = cycle.pause(Duration::from_millis(35));

    assert_eq!(pause, Duration::from_millis(15));
    assert!(!cycle.may_run(Duration::from_millis(49)));
    assert!(cycle.may_run(Duration::from_millis(50)));
}
