//! Estimated run times, total and remaining.

use super::sketch::BIN_WIDTH;
use super::sketch::value_of;
use std::rc::Rc;
use std::time::Duration;

/// The longest time that an estimate states.
const MAX_TIME: Duration = Duration::from_secs(10 * 365 * 24 * 60 * 60);
/// The share of its age that a run is expected to take longer once it is older than any run known.
const OUTLIVED_SHARE: f64 = 0.5;

/// Shares of runs by bin of the run time, or of its ratio to the declared time.
#[derive(Clone, Debug, Default)]
pub(super) struct Distribution {
    /// The bins in ascending order, each with the share of runs in it; the shares sum up to 1.
    pub(super) bins: Vec<(i16, f64)>,
}

impl Distribution {
    /// Adds up weighted bins, and returns none if no weight is positive.
    pub(super) fn from_bins(mut bins: Vec<(i16, f64)>) -> Option<Self> {
        bins.sort_unstable_by_key(|b| b.0);
        bins.dedup_by(|next, kept| {
            let is_same = next.0 == kept.0;
            if is_same {
                kept.1 += next.1;
            }
            is_same
        });
        let sum: f64 = bins.iter().map(|b| b.1).sum();
        if sum <= 0.0 {
            return None;
        }
        for bin in &mut bins {
            bin.1 /= sum;
        }
        Some(Self { bins })
    }

    /// Returns the part of the distribution above a logarithm, with its share.
    fn above(&self, log: f64) -> (Vec<(f64, f64)>, f64) {
        let mut part = Vec::new();
        for (bin, share) in &self.bins {
            let (low, high) = edges(*bin);
            if high <= log {
                continue;
            }
            let cut = low.max(log);
            let kept = share * (high - cut) / BIN_WIDTH;
            part.push(((cut + high) / 2.0, kept));
        }
        let sum = part.iter().map(|p| p.1).sum();
        (part, sum)
    }

    /// Spreads a unit of weight over the bins above a logarithm, by their shares.
    pub(super) fn spread_above(&self, log: f64) -> Vec<(i16, f32)> {
        let (part, sum) = self.above(log);
        if sum <= 1e-9 {
            let longer = log + (1.0 + OUTLIVED_SHARE).ln();
            return vec![((longer / BIN_WIDTH).round() as i16, 1.0)];
        }
        part.iter()
            .map(|(middle, kept)| ((middle / BIN_WIDTH).round() as i16, (kept / sum) as f32))
            .collect()
    }
}

/// Returns the logarithms between which the values of a bin lie.
fn edges(bin: i16) -> (f64, f64) {
    let middle = f64::from(bin) * BIN_WIDTH;
    (middle - BIN_WIDTH / 2.0, middle + BIN_WIDTH / 2.0)
}

/// An expected run time with its quantiles.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Times {
    /// The expected value.
    pub mean: Duration,
    /// The time within which a tenth of the runs end.
    pub p10: Duration,
    /// The time within which half of the runs end.
    pub p50: Duration,
    /// The time within which 90% of the runs end.
    pub p90: Duration,
    /// The time within which 99% of the runs end.
    pub p99: Duration,
}

/// The expected run time of a task on an average worker.
#[derive(Clone, Debug)]
pub struct Estimate {
    distribution: Rc<Distribution>,
    /// The declared time in milliseconds; 1 if the distribution is one of times.
    scale_ms: f64,
    total: Times,
    /// The number of runs behind the estimate, of which older ones count less.
    pub weight: f64,
}

impl Estimate {
    pub(super) fn new(known: &Known, scale_ms: f64) -> Self {
        let scaled = |ratio: f64| millis(ratio * scale_ms);
        let [mean, p10, p50, p90, p99] = known.figures.map(scaled);
        Self {
            distribution: known.distribution.clone(),
            scale_ms,
            total: Times {
                mean,
                p10,
                p50,
                p90,
                p99,
            },
            weight: known.weight,
        }
    }

    /// Returns the total run time.
    pub fn total(&self) -> Times {
        self.total
    }

    /// Returns the run time that remains after some time has elapsed.
    pub fn remaining(&self, elapsed: Duration) -> Times {
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        if elapsed_ms < 1.0 {
            return self.total;
        }
        let (part, sum) = self.distribution.above((elapsed_ms / self.scale_ms).ln());
        if sum <= 1e-9 {
            let left = millis(elapsed_ms * OUTLIVED_SHARE);
            return Times {
                mean: left,
                p10: left,
                p50: left,
                p90: left * 4,
                p99: left * 8,
            };
        }
        let left = |log: f64| millis(log.exp() * self.scale_ms - elapsed_ms);
        let at = |quantile: f64| left(quantile_of(&part, sum, quantile));
        let mean = part.iter().map(|(log, kept)| log.exp() * kept).sum::<f64>() / sum;
        Times {
            mean: millis(mean * self.scale_ms - elapsed_ms),
            p10: at(0.1),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
        }
    }
}

/// A distribution with the figures that are computed from it once.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) distribution: Rc<Distribution>,
    /// The mean and the quantiles at 10, 50, 90 and 99%.
    figures: [f64; 5],
    weight: f64,
}

impl Known {
    pub(super) fn new(distribution: Distribution, weight: f64) -> Self {
        let bins = distribution.bins.iter();
        let points: Vec<(f64, f64)> = bins
            .map(|(bin, share)| (f64::from(*bin) * BIN_WIDTH, *share))
            .collect();
        let bins = distribution.bins.iter();
        let mean = bins.map(|(b, share)| value_of(f64::from(*b)) * share).sum();
        let at = |quantile: f64| quantile_of(&points, 1.0, quantile).exp();
        Self {
            figures: [mean, at(0.1), at(0.5), at(0.9), at(0.99)],
            distribution: Rc::new(distribution),
            weight,
        }
    }
}

/// Returns the logarithm below which a share of the weight lies; within a bin, the weight is spread
/// evenly.
fn quantile_of(points: &[(f64, f64)], sum: f64, quantile: f64) -> f64 {
    let mut left = quantile * sum;
    for (middle, weight) in points {
        if left <= *weight {
            let share = if *weight > 0.0 { left / weight } else { 0.5 };
            return middle + (share - 0.5) * BIN_WIDTH;
        }
        left -= weight;
    }
    points.last().map_or(0.0, |p| p.0 + BIN_WIDTH / 2.0)
}

/// Returns a time in milliseconds as a duration; 0 if it is negative.
fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1_000.0).map_or(MAX_TIME, |t| t.min(MAX_TIME))
}
