//! Tests of admission, one of them against a simple model of slots and queues.

use crate::fixtures::*;
use hibiscusbarrow_coordination::admission::*;
use proptest::prelude::*;
use smol_str::SmolStr;
use std::collections::BTreeSet;

#[derive(Clone, Debug)]
enum Step {
    Offer { account: u8, deadline: u64 },
    Finish,
    Cancel(usize),
    Wait(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..4u8, 1..500u64).prop_map(|(account, deadline)| Step::Offer { account, deadline }),
        4 => Just(Step::Finish),
        1 => (0..20usize).prop_map(Step::Cancel),
        2 => (1..100u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(fixed(1000))]

    #[test]
    fn each_request_runs_at_most_once_within_the_slots_and_none_is_lost(
        slots in 1..4usize,
        steps in prop::collection::vec(any_step(), 1..80),
    ) {
        let mut admission = Admission::new(slots, 3);
        let mut waiting: Vec<(RequestId, u64)> = Vec::new();
        let mut running = 0;
        let mut ran = BTreeSet::new();
        let mut now = 0;
        for step in steps {
            match step {
                Step::Offer { account, deadline } => {
                    let account: SmolStr = format!("a{account}").into();
                    match admission.offer(&account, ms(now + deadline)) {
                        Offer::Run(id) => {
                            prop_assert!(ran.insert(id));
                            running += 1;
                        }
                        Offer::Wait(id) => waiting.push((id, now + deadline)),
                        Offer::Full => {}
                    }
                }
                Step::Finish if running > 0 => {
                    running -= 1;
                    let (next, expired) = admission.finish(ms(now));
                    for id in &expired {
                        let position = waiting.iter().position(|w| w.0 == *id);
                        let (_, deadline) = waiting.remove(position.expect("it is queued"));
                        prop_assert!(deadline <= now);
                    }
                    if let Some(id) = next {
                        let position = waiting.iter().position(|w| w.0 == id);
                        let (_, deadline) = waiting.remove(position.expect("it is queued"));
                        prop_assert!(deadline > now);
                        prop_assert!(ran.insert(id));
                        running += 1;
                    }
                }
                Step::Finish => {}
                Step::Cancel(n) if !waiting.is_empty() => {
                    let (id, _) = waiting.remove(n % waiting.len());
                    prop_assert!(admission.cancel(id));
                    prop_assert!(!admission.cancel(id));
                }
                Step::Cancel(_) => {}
                Step::Wait(time) => now += time,
            }
            prop_assert!(running <= slots);
            prop_assert_eq!(admission.running(), running);
            prop_assert_eq!(admission.queued(), waiting.len());
            prop_assert!(
                running == slots || waiting.is_empty(),
                "a slot is free while requests wait"
            );
        }
    }
}

#[test]
fn burst_of_one_account_does_not_delay_another() {
    let mut admission = Admission::new(1, 50);
    admission.offer(&"busy".into(), ms(1000));
    (0..50).for_each(|_| {
        admission.offer(&"busy".into(), ms(1000));
    });
    let Offer::Wait(other) = admission.offer(&"other".into(), ms(1000)) else {
        panic!("the request did not wait although the slot is in use")
    };

    let first = admission.finish(ms(1)).0;
    let second = admission.finish(ms(2)).0;

    assert!(first == Some(other) || second == Some(other));
}
