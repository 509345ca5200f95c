//! A bounded histogram over the logarithm of a value, from which old entries fade.

use serde::Deserialize;
use serde::Serialize;

/// The width of a bin as a natural logarithm; a quantile is off by at most half of it.
pub(super) const BIN_WIDTH: f64 = 0.1;
/// The largest distance of a bin from zero. It holds 0.1 ms to 280 years, and any sensible ratio.
const MAX_BIN: f64 = 300.0;

/// Weights by bin, in ascending order of the bins.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(super) struct Sketch {
    /// The weight of each bin that has one.
    pub(super) bins: Vec<(i16, f32)>,
    /// The sum of the weights.
    pub(super) weight: f32,
}

/// Returns the bin of a positive value.
pub(super) fn bin_of(value: f64) -> i16 {
    (value.ln() / BIN_WIDTH).round().clamp(-MAX_BIN, MAX_BIN) as i16
}

/// Returns the value in the middle of a bin.
pub(super) fn value_of(bin: f64) -> f64 {
    (bin * BIN_WIDTH).exp()
}

impl Sketch {
    /// Adds weights, after the older ones have faded so that the total stays within `memory`.
    ///
    /// Keeps at most `max_bins` bins.
    pub(super) fn add(&mut self, added: &[(i16, f32)], memory: f32, max_bins: usize) {
        let sum: f32 = added.iter().map(|(_, w)| *w).sum();
        if self.weight > 0.0 && self.weight + sum > memory {
            let kept = ((memory - sum) / self.weight).max(0.0);
            self.scale(kept);
        }
        for (bin, weight) in added {
            match self.bins.binary_search_by_key(bin, |b| b.0) {
                Ok(at) => self.bins[at].1 += weight,
                Err(at) => self.bins.insert(at, (*bin, *weight)),
            }
        }
        while self.bins.len() > max_bins {
            self.merge_lightest();
        }
        self.weight = self.bins.iter().map(|(_, w)| *w).sum();
    }

    fn scale(&mut self, factor: f32) {
        for (_, weight) in &mut self.bins {
            *weight *= factor;
        }
        self.weight *= factor;
    }

    /// Adds the lightest bin between the first and the last to its nearest neighbour.
    ///
    /// The ends stay, as the tails decide the outer quantiles.
    fn merge_lightest(&mut self) {
        let inner = 1..self.bins.len() - 1;
        let lightest = inner.min_by(|a, b| self.bins[*a].1.total_cmp(&self.bins[*b].1));
        let Some(at) = lightest else {
            self.bins.truncate(1);
            return;
        };
        let (bin, weight) = self.bins.remove(at);
        let distance = |i: usize| self.bins[i].0.abs_diff(bin);
        let nearest = if distance(at - 1) <= distance(at) {
            at - 1
        } else {
            at
        };
        self.bins[nearest].1 += weight;
    }

    /// Returns whether a sketch that was read can be used: finite weights in ascending bins.
    pub(super) fn is_valid(&self, max_bins: usize) -> bool {
        let ascending = self.bins.windows(2).all(|pair| pair[0].0 < pair[1].0);
        let in_range = |b: &(i16, f32)| f64::from(b.0).abs() <= MAX_BIN && b.1.is_finite();
        let usable = self.bins.iter().all(|b| in_range(b) && b.1 >= 0.0);
        ascending && usable && self.bins.len() <= max_bins && self.weight.is_finite()
    }
}
