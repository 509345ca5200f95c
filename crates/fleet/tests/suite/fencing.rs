//! Tests of the fencing tokens of a worker's incarnations.

use hibiscusbarrow_fleet::fencing::FencingTokens;
use hibiscusbarrow_fleet::stray_calls::StrayCalls;
use hibiscusbarrow_fleet::worker::Boot;
use hibiscusbarrow_fleet::worker::Order;
use std::time::Duration;

/// Returns an incarnation of one worker that starts under the same identifier each time.
fn incarnation(born: u64) -> Boot {
    Boot {
        id: "w".into(),
        born,
    }
}

/// A call for a former incarnation is refused only if its token is lower.
#[test]
fn each_incarnation_has_a_higher_token_than_those_before() {
    let mut tokens = FencingTokens::default();

    let first = tokens.token(7, &incarnation(1));
    let second = tokens.token(7, &incarnation(2));
    let third = tokens.token(8, &incarnation(3));

    assert!(first < second && second < third);
    assert_eq!(tokens.token(7, &incarnation(1)) >> 16, 7);
    assert!(tokens.token(8, &incarnation(2)) < third);
}

/// An order of the former placer must not pass as one of the present placer, however many
/// incarnations there were in its time.
#[test]
fn token_of_a_newer_epoch_is_higher_than_any_of_the_former() {
    let mut tokens = FencingTokens::default();
    let former = (0..70_000).map(|born| tokens.token(7, &incarnation(born)));
    let highest = former.max().expect("there are tokens");

    assert!(tokens.token(8, &incarnation(0)) > highest);
}

/// A worker may have seen a higher token than its sidecar knows, which has started again.
#[test]
fn token_is_raised_above_any_of_its_epoch_in_few_steps() {
    let mut tokens = FencingTokens::default();
    let boot = incarnation(1);
    let next_epoch = 8 << 16;
    tokens.token(7, &boot);

    let raises = (0..20).take_while(|n| tokens.raise(&boot, 1 << n)).count();

    assert!(raises <= 17, "{raises}");
    assert_eq!(tokens.token(7, &boot), next_epoch - 1);
}

/// Guards against a hold without an end after a second crash: the unanswered acknowledgement puts the
/// third incarnation on hold as well, until that one lists an end.
#[test]
fn each_incarnation_after_an_unanswered_acknowledgement_is_held_until_it_lists_an_end() {
    let mut strays = StrayCalls::default();
    let acknowledgement = Order::Poll {
        acknowledged: 1,
        deadline: None,
        wait: 0,
    };
    strays.record(&incarnation(1), &acknowledgement, Duration::ZERO);

    assert!(strays.may_lose_ends(&incarnation(2)));
    assert!(strays.may_lose_ends(&incarnation(3)));
    assert!(strays.handle_end(&incarnation(3)));
    assert!(!strays.may_lose_ends(&incarnation(3)));
    assert!(strays.may_lose_ends(&incarnation(4)));
}
