//! Tests of leases, fences, generations, drains, retry budgets, buckets and balancers.

use crate::fixtures::*;
use hibiscusbarrow_coordination::balance::Balancer;
use hibiscusbarrow_coordination::bucket::Bucket;
use hibiscusbarrow_coordination::budget::RetryBudget;
use hibiscusbarrow_coordination::drain::Drain;
use hibiscusbarrow_coordination::fence::Fence;
use hibiscusbarrow_coordination::generation::Generation;
use hibiscusbarrow_coordination::lease::Lease;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

proptest! {
    #![proptest_config(fixed(1000))]

    #[test]
    fn holder_never_considers_a_lease_valid_longer_than_its_grantor(
        renewals in prop::collection::vec((0..500u64, 0..300u64, any::<bool>()), 1..20),
        offset in 0..5000u64,
    ) {
        let ttl = ms(400);
        let mut lease = Lease::new(ttl);
        let (mut now, mut granted_until) = (0, ms(0));
        for (interval, delay, answered) in renewals {
            now += interval;
            let sent = ms(now);
            let arrival = ms(now + delay / 2);
            granted_until = granted_until.max(arrival + ttl);
            now += delay;
            if answered {
                lease.confirm(sent);
            }
            let at = ms(now + offset % 600);
            prop_assert!(!lease.is_held(at) || at < granted_until);
        }
    }

    #[test]
    fn generation_never_decreases(offers in prop::collection::vec(0..20u64, 1..50)) {
        let mut generation = Generation::default();
        let mut highest = 0;
        for offer in offers {
            generation.offer(offer, offer);
            highest = highest.max(offer);

            prop_assert_eq!(generation.current(), highest);
            prop_assert_eq!(generation.value().copied().unwrap_or(0), highest);
        }
    }

    #[test]
    fn fence_refuses_exactly_the_lower_epochs(epochs in prop::collection::vec(0..10u64, 1..50)) {
        let mut fence = Fence::default();
        let mut highest = 0;
        for epoch in epochs {
            prop_assert_eq!(fence.admit(epoch), epoch >= highest);
            highest = highest.max(epoch);
        }
    }

    #[test]
    fn bucket_never_exceeds_rate_and_burst(intervals in prop::collection::vec(0..300u64, 1..200)) {
        let mut bucket = Bucket::new(10, 5, ms(0));
        let (mut now, mut taken) = (0, 0u64);
        for interval in intervals {
            now += interval;
            taken += u64::from(bucket.try_take(ms(now)));
            prop_assert!(taken <= 5 + now * 10 / 1000);
        }
    }
}

#[test]
fn drain_refuses_new_work_and_waits_for_work_in_flight() {
    let mut drain = Drain::default();
    assert!(drain.enter());

    drain.begin(ms(0), ms(1000));

    assert!(!drain.enter());
    assert!(!drain.may_stop(ms(10)));
    drain.leave();
    assert!(drain.may_stop(ms(10)));
}

#[test]
fn drain_ends_at_its_deadline() {
    let mut drain = Drain::default();
    drain.enter();
    drain.begin(ms(0), ms(1000));

    assert!(!drain.may_stop(ms(999)));
    assert!(drain.may_stop(ms(1000)));
}

#[test]
fn retries_stay_within_a_fifth_of_requests() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_request();
        retries += u32::from(budget.try_retry());
    }

    assert!(retries <= 2_010, "{retries}");
}

#[test]
fn failing_upstream_is_ejected_but_never_all_are() {
    let names: Vec<SmolStr> = ["a", "b", "c", "d"].map(SmolStr::from).to_vec();
    let mut balancer = Balancer::default();
    let mut rng = SmallRng::seed_from_u64(1);
    (0..3).for_each(|_| {
        balancer.sent(&names[0]);
        balancer.failed(&names[0], ms(0));
    });

    let mut choose = |balancer: &Balancer| balancer.choose(&names, &[], ms(10), &mut rng);
    let ejected = (0..100).all(|_| choose(&balancer) != Some(names[0].clone()));
    for name in &names[1..] {
        (0..3).for_each(|_| balancer.failed(name, ms(0)));
    }
    let chosen = choose(&balancer);

    assert!(ejected);
    assert!(chosen.is_some());
}

#[test]
fn less_loaded_upstream_is_chosen_more_often() {
    let names: Vec<SmolStr> = ["a", "b"].map(SmolStr::from).to_vec();
    let mut balancer = Balancer::default();
    let mut rng = SmallRng::seed_from_u64(1);
    balancer.answered(&names[0], 8);

    let chosen = (0..200)
        .filter(|_| balancer.choose(&names, &[], ms(0), &mut rng) == Some(names[1].clone()));

    assert!(chosen.count() > 120);
}
