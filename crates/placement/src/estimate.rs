//! Run-time estimates from finished jobs.

use crate::shape::Shape;
use std::collections::HashMap;
use std::time::Duration;

/// The weight of a new observation in the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.25;
/// The estimate for a job while no similar job has finished.
const DEFAULT_ESTIMATE: Duration = Duration::from_secs(600);

/// Estimates run times by account, shape and gang size from observed run times,
/// because declared ones are not trusted.
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
            .entry((account, shape, size_class(count)))
            .or_insert(seconds);
        *mean += SMOOTHING_FACTOR * (seconds - *mean);
    }

    /// Returns the expected run time of a job.
    pub fn estimate(&self, account: usize, shape: Shape, count: u32) -> Duration {
        self.means
            .get(&(account, shape, size_class(count)))
            .map_or(DEFAULT_ESTIMATE, |s| Duration::from_secs_f64(s.max(0.001)))
    }
}

/// Groups gang sizes by powers of two.
fn size_class(count: u32) -> u32 {
    count.max(1).ilog2()
}
