//! Run-time estimates learned from finished jobs.

use crate::shape::Shape;
use std::collections::HashMap;
use std::time::Duration;

/// The weight of a new observation in the moving average.
const LEARNING_RATE: f64 = 0.25;
/// The estimate of a job of which nothing is known.
const UNKNOWN: Duration = Duration::from_secs(600);

/// Learns run times by account and gang size, without trusting declarations.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    means: HashMap<(usize, Shape, u32), f64>,
}

impl Estimator {
    /// Records the run time of a finished job.
    pub fn observe(&mut self, account: usize, shape: Shape, count: u32, runtime: Duration) {
        let seconds = runtime.as_secs_f64();
        let mean = self
            .means
            .entry((account, shape, class(count)))
            .or_insert(seconds);
        *mean += LEARNING_RATE * (seconds - *mean);
    }

    /// Returns the expected run time of a job.
    pub fn estimate(&self, account: usize, shape: Shape, count: u32) -> Duration {
        self.means
            .get(&(account, shape, class(count)))
            .map_or(UNKNOWN, |s| Duration::from_secs_f64(s.max(0.001)))
    }
}

/// Groups gang sizes by powers of two.
fn class(count: u32) -> u32 {
    count.max(1).ilog2()
}
