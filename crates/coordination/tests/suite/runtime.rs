//! Run times learned from drawn histories.

use hibiscusbarrow_coordination::runtime::FinishedRun;
use hibiscusbarrow_coordination::runtime::Kind;
use hibiscusbarrow_coordination::runtime::MAX_SUMMARY_BYTES;
use hibiscusbarrow_coordination::runtime::Outcome;
use hibiscusbarrow_coordination::runtime::RunTimes;
use hibiscusbarrow_coordination::runtime::Shape;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::format_smolstr;
use std::time::Duration;

/// The declared time of most runs.
const DECLARED: Duration = Duration::from_secs(10);
/// The accounts of the design size.
const ACCOUNTS: usize = 130;

fn kind(account: &str, cpu: u64) -> Kind {
    Kind {
        queue: "queue".into(),
        account: account.into(),
        shape: Shape {
            cpu,
            memory: 100,
            gpus: 0,
        },
        step: 0,
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Returns a run time around `middle`, off by up to half, of which 3% take seven times longer.
fn draw(rng: &mut SmallRng, middle: Duration) -> Duration {
    let tail = if rng.random_range(0..100) < 3 {
        7.0
    } else {
        1.0
    };
    middle.mul_f64(rng.random_range(0.5..1.5) * tail)
}

/// Returns the shares of the last half of the runs that ended within the expected 50, 90 and 99%.
fn calibrate(declared: Duration, runs: usize, middle: impl Fn(usize) -> Duration) -> [f64; 3] {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut times = RunTimes::default();
    let kind = kind("agency", 100);
    let mut within = [0.0; 3];
    for run in 0..runs {
        let took = draw(&mut rng, middle(run));
        if let Some(estimate) = times.estimate(&kind, declared)
            && run >= runs / 2
        {
            let total = estimate.total();
            let limits = [total.p50, total.p90, total.p99];
            for (count, limit) in within.iter_mut().zip(limits) {
                *count += f64::from(u8::from(took <= limit));
            }
        }
        times.observe(&kind, declared, &FinishedRun::done(took));
    }
    within.map(|count| count / (runs - runs / 2) as f64)
}

fn assert_calibrated(shares: [f64; 3]) {
    assert!((0.44..0.56).contains(&shares[0]), "{shares:?}");
    assert!((0.86..0.94).contains(&shares[1]), "{shares:?}");
    assert!((0.97..=1.0).contains(&shares[2]), "{shares:?}");
}

/// Guards against quantiles that promise too much or too little when declared times are too short,
/// too long or absent.
#[test]
fn quantiles_hold_the_share_of_runs_that_they_state() {
    for factor in [0.1, 0.5, 1.0, 1.9, 20.0] {
        assert_calibrated(calibrate(DECLARED, 4_000, |_| DECLARED.mul_f64(factor)));
    }
    assert_calibrated(calibrate(Duration::ZERO, 4_000, |_| seconds(3.0)));
}

/// Guards against estimates that keep to old runs while the times drift.
#[test]
fn quantiles_follow_a_drift() {
    let shares = calibrate(DECLARED, 4_000, |run| seconds(2.0 + run as f64 * 0.002));
    assert!((0.38..0.62).contains(&shares[0]), "{shares:?}");

    let mut times = RunTimes::default();
    let kind = kind("agency", 100);
    for took in [seconds(2.0), seconds(20.0)] {
        for _ in 0..300 {
            times.observe(&kind, DECLARED, &FinishedRun::done(took));
        }
        let estimate = times.estimate(&kind, DECLARED).expect("it is declared");
        let ratio = estimate.total().mean.as_secs_f64() / took.as_secs_f64();
        assert!((0.8..1.2).contains(&ratio), "{took:?}: {ratio}");
    }
}

/// Guards against long runs that are stopped before their end and make all runs seem short.
#[test]
fn runs_that_were_cut_short_count_as_longer_than_they_ran() {
    let (mut ignoring, mut times) = (RunTimes::default(), RunTimes::default());
    let mut rng = SmallRng::seed_from_u64(3);
    let (kind, declared) = (kind("agency", 100), Duration::ZERO);
    let mut actual = 0.0;
    for _ in 0..1_000 {
        // Half of the tasks take 1 s and half 10 s; half of all runs are stopped after 2 s.
        let took = seconds(if rng.random_range(0..2) == 0 {
            1.0
        } else {
            10.0
        });
        let is_stopped = rng.random_range(0..2) == 0;
        let limit = seconds(2.0);
        let run = if is_stopped && took > limit {
            FinishedRun::cut(limit)
        } else {
            FinishedRun::done(took)
        };
        if run.outcome == Outcome::Done {
            ignoring.observe(&kind, declared, &run);
        }
        times.observe(&kind, declared, &run);
        actual += took.as_secs_f64() / 1_000.0;
    }
    let mean = |times: &RunTimes| {
        let estimate = times.estimate(&kind, declared).expect("runs were observed");
        estimate.total().mean.as_secs_f64() / actual
    };
    assert!(mean(&ignoring) < 0.8, "{}", mean(&ignoring));
    assert!((0.85..1.15).contains(&mean(&times)), "{}", mean(&times));
}

/// Guards against tasks that suddenly take much longer and are expected to be short until the first
/// of them ends.
#[test]
fn runs_in_progress_that_are_older_than_most_lengthen_the_estimate() {
    let mut times = RunTimes::default();
    let kind = kind("agency", 100);
    for _ in 0..50 {
        times.observe(&kind, DECLARED, &FinishedRun::done(seconds(10.0)));
    }
    let mean = |times: &RunTimes| {
        let estimate = times.estimate(&kind, DECLARED).expect("it is declared");
        estimate.total().mean
    };
    let before = mean(&times);

    times.set_running(&kind, DECLARED, &[seconds(1.0); 20]);
    assert_eq!(mean(&times), before);
    times.set_running(&kind, DECLARED, &[seconds(60.0); 20]);
    let during = mean(&times);
    times.set_running(&kind, DECLARED, &[]);

    assert!(during > before.mul_f64(1.5), "{during:?} {before:?}");
    assert_eq!(mean(&times), before);
}

/// Guards against runs that say nothing about a whole run on an average worker.
#[test]
fn failed_resumed_and_remote_runs_do_not_count_and_slow_workers_are_taken_into_account() {
    let mut times = RunTimes::default();
    let kind = kind("agency", 100);
    let short = FinishedRun::done(seconds(0.1));
    for run in [
        FinishedRun {
            outcome: Outcome::Failed,
            ..short
        },
        FinishedRun {
            resumed: true,
            ..short
        },
        FinishedRun {
            remote: true,
            ..short
        },
        FinishedRun {
            slowness: f64::NAN,
            ..short
        },
        FinishedRun::done(Duration::ZERO),
    ] {
        times.observe(&kind, DECLARED, &run);
    }
    assert!(times.is_empty());

    for _ in 0..200 {
        let run = FinishedRun {
            slowness: 1.3,
            ..FinishedRun::done(seconds(13.0))
        };
        times.observe(&kind, DECLARED, &run);
    }
    let estimate = times.estimate(&kind, DECLARED).expect("it is declared");
    let mean = estimate.total().mean.as_secs_f64();
    assert!((9.0..11.0).contains(&mean), "{mean}");
}

/// Guards against one account that shifts the expected run times of others.
#[test]
fn a_poisoned_history_changes_the_estimates_of_its_own_account_only() {
    for (poison, declared, honest_runs) in [
        (seconds(100_000.0), DECLARED, 600),
        (seconds(0.002), DECLARED, 600),
        (seconds(100_000.0), Duration::ZERO, 600),
        // Few honest runs must not be outvoted by the number of the others.
        (seconds(100_000.0), DECLARED, 20),
    ] {
        let mut times = RunTimes::default();
        let mut rng = SmallRng::seed_from_u64(5);
        for run in 0..6_000 {
            let honest = format_smolstr!("a{}", run % 10);
            let took = seconds(10.0 * rng.random_range(0.8..1.2));
            if run < honest_runs {
                times.observe(&kind(&honest, 100), declared, &FinishedRun::done(took));
            }
            times.observe(&kind("bad", 100), declared, &FinishedRun::done(poison));
        }
        let mean = |account: &str| {
            let estimate = times.estimate(&kind(account, 100), declared);
            estimate.expect("runs were observed").total().mean
        };
        let own = mean("a0").as_secs_f64() / 10.0;
        let new = mean("new").as_secs_f64() / 10.0;
        let own_limit = if honest_runs < 100 { 2.0 } else { 1.4 };
        assert!((0.7..own_limit).contains(&own), "{own}");
        assert!((0.5..2.0).contains(&new), "{new}");
    }
}

/// Guards against memory that grows with what clients submit, and against one account whose many
/// shapes evict what is known of others.
#[test]
fn memory_is_bounded_and_an_account_evicts_its_own_keys_only() {
    const MAX_BYTES: usize = 16 << 20;
    let mut times = RunTimes::default();
    let mut rng = SmallRng::seed_from_u64(1);
    for account in 0..ACCOUNTS {
        for run in 0..400 {
            let queue = format_smolstr!("queue{}", run % 8);
            let of_account = kind(&format!("a{account}"), run % 100);
            let kind = Kind {
                queue,
                ..of_account
            };
            let took = draw(&mut rng, DECLARED);
            times.observe(&kind, DECLARED, &FinishedRun::done(took));
            let _ = times.estimate(&kind, DECLARED);
        }
    }
    assert!(times.memory_bytes() < MAX_BYTES, "{}", times.memory_bytes());

    let known = kind("quiet", 5);
    for _ in 0..100 {
        times.observe(&known, DECLARED, &FinishedRun::done(DECLARED * 3));
    }
    for run in 0..20_000 {
        let took = FinishedRun::done(seconds(0.01));
        times.observe(&kind("a0", run), DECLARED, &took);
    }
    assert!(times.memory_bytes() < MAX_BYTES, "{}", times.memory_bytes());
    let estimate = times.estimate(&known, DECLARED).expect("it is declared");
    assert!(estimate.weight > 90.0, "{}", estimate.weight);
}

/// Guards against a new placer that does not know what the last one knew, and against summaries
/// that the store does not take.
#[test]
fn a_summary_brings_the_estimates_to_another_placer() {
    let mut times = RunTimes::default();
    let mut rng = SmallRng::seed_from_u64(2);
    for run in 0..20_000 {
        let account = format_smolstr!("a{}", run % ACCOUNTS);
        let took = draw(&mut rng, DECLARED * 3);
        times.observe(&kind(&account, 100), DECLARED, &FinishedRun::done(took));
    }
    let summary = times.summary(MAX_SUMMARY_BYTES);
    assert!(summary.len() <= MAX_SUMMARY_BYTES, "{}", summary.len());

    let read = RunTimes::from_summary(&summary).expect("the summary is readable");

    for account in ["a0", "a129"] {
        let kind = kind(account, 100);
        let mean = |times: &RunTimes| {
            let estimate = times.estimate(&kind, DECLARED).expect("it is declared");
            estimate.total().p50.as_secs_f64()
        };
        let ratio = mean(&read) / mean(&times);
        assert!((0.85..1.15).contains(&ratio), "{account}: {ratio}");
    }
    assert_eq!(
        read.summary(1_000).len().min(1_000),
        read.summary(1_000).len()
    );
}

/// Guards against a placer that does not start because of what it finds in the store.
#[test]
fn an_unreadable_summary_is_refused_with_a_reason() {
    let valid = RunTimes::default().summary(MAX_SUMMARY_BYTES);
    assert!(RunTimes::from_summary(&valid).is_ok());
    for bytes in [
        vec![],
        vec![9, 0],
        vec![1, 255, 255, 255, 255, 15],
        vec![0; MAX_SUMMARY_BYTES + 1],
    ] {
        let reason = RunTimes::from_summary(&bytes).map(|_| ()).unwrap_err();
        assert!(!reason.is_empty());
    }
}

/// Guards against estimates that depend on when they were asked for.
#[test]
fn the_same_runs_give_the_same_estimates() {
    let (mut often, mut once) = (RunTimes::default(), RunTimes::default());
    let mut rng = SmallRng::seed_from_u64(11);
    for run in 0..3_000 {
        let kind = kind(&format!("a{}", run % 7), run % 5);
        let took = FinishedRun::done(draw(&mut rng, DECLARED));
        often.observe(&kind, DECLARED, &took);
        once.observe(&kind, DECLARED, &took);
        let _ = often.estimate(&kind, DECLARED);
    }
    for account in 0..8 {
        for cpu in 0..6 {
            let kind = kind(&format!("a{account}"), cpu);
            let total = |times: &RunTimes| times.estimate(&kind, DECLARED).map(|e| e.total());
            assert_eq!(total(&often), total(&once));
        }
    }
}

proptest! {
    /// Guards against estimates out of order, and against a remaining time below zero or without end.
    #[test]
    fn estimates_are_ordered_for_any_history(
        runs in prop::collection::vec((1_u64..100_000_000, 0_u64..100_000, 0_u8..4), 0..60),
        declared in 0_u64..1_000_000,
        elapsed in 0_u64..1_000_000_000,
    ) {
        let mut times = RunTimes::default();
        let kind = kind("agency", 1);
        let declared = Duration::from_millis(declared);
        for (took, of_run, outcome) in runs {
            let took = Duration::from_millis(took);
            let of_run = if of_run % 3 == 0 { declared } else { Duration::from_millis(of_run) };
            let run = if outcome == 0 { FinishedRun::cut(took) } else { FinishedRun::done(took) };
            times.observe(&kind, of_run, &run);
        }
        if let Some(estimate) = times.estimate(&kind, declared) {
            let elapsed = Duration::from_millis(elapsed);
            for times in [estimate.total(), estimate.remaining(elapsed)] {
                prop_assert!(times.p10 <= times.p50 && times.p50 <= times.p90);
                prop_assert!(times.p90 <= times.p99);
            }
        }
        let read = RunTimes::from_summary(&times.summary(MAX_SUMMARY_BYTES));
        prop_assert!(read.is_ok());
    }

    /// Guards against a panic while a summary is read.
    #[test]
    fn no_bytes_of_a_summary_end_the_process(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = RunTimes::from_summary(&bytes);
    }
}
