//! Helpers shared by the simulations.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// Returns a configuration that generates the same `cases` cases in every run.
pub fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

/// Returns a duration of `n` milliseconds.
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A network that loses, repeats and delays messages.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// The probability that a message is lost, in percent.
    pub loss: u32,
    /// The probability that a message arrives twice, in percent.
    pub repeat: u32,
    /// The longest delay, in milliseconds.
    pub delay: u64,
}

impl Network {
    /// Returns the delays after which the copies of one message arrive.
    pub fn arrivals(&self, rng: &mut SmallRng) -> Vec<Duration> {
        if rng.random_range(0..100) < self.loss {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.random_range(0..100) < self.repeat);
        (0..copies)
            .map(|_| ms(rng.random_range(0..=self.delay)))
            .collect()
    }
}

/// Generates networks with up to 39% loss, 29% repeats and 3 s of delay.
pub fn any_network() -> impl Strategy<Value = Network> {
    (0..40u32, 0..30u32, 1..3000u64).prop_map(|(loss, repeat, delay)| Network {
        loss,
        repeat,
        delay,
    })
}
