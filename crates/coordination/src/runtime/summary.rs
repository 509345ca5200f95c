//! The summary that one placer leaves to the next.

use super::ACCOUNT_KEYS;
use super::MAX_ACCOUNTS;
use super::NARROW_BINS;
use super::RunTimes;
use super::WIDE_BINS;
use super::WIDE_KEYS;
use super::keys::Key;
use super::mix;
use super::sketch::Sketch;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::cmp::Reverse;

/// The largest summary that is written or read, in bytes.
pub const MAX_SUMMARY_BYTES: usize = 64 * 1024;
/// The version of the format.
const VERSION: u8 = 1;
/// The parts of a weight of one run.
const WEIGHT_PARTS: f32 = 100.0;
/// The share of the summary for keys over all accounts.
const WIDE_DIVISOR: usize = 2;

/// One sketch of a key.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Part {
    key: Key,
    /// The account whose part of a key over all accounts this is; empty in other keys.
    account: SmolStr,
    /// The bins with their weights, in hundredths of a run.
    bins: Vec<(i16, u16)>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct Summary {
    version: u8,
    parts: Vec<Part>,
}

impl Part {
    fn new(key: &Key, account: &SmolStr, sketch: &Sketch) -> Self {
        let mut reduced = sketch.clone();
        reduced.add(&[], f32::MAX, WIDE_BINS);
        let bins = reduced.bins.iter();
        let parts = |weight: f32| (weight * WEIGHT_PARTS).round().min(f32::from(u16::MAX)) as u16;
        let bins = bins.map(|(bin, weight)| (*bin, parts(*weight)));
        Self {
            key: key.clone(),
            account: account.clone(),
            bins: bins.filter(|(_, weight)| *weight > 0).collect(),
        }
    }

    fn sketch(&self) -> Sketch {
        let bins = self.bins.iter();
        let bins: Vec<_> = bins
            .map(|(bin, parts)| (*bin, f32::from(*parts) / WEIGHT_PARTS))
            .collect();
        Sketch {
            weight: bins.iter().map(|(_, w)| *w).sum(),
            bins,
        }
    }
}

impl RunTimes {
    /// Returns what fits into a summary of a limited size, the most recently used keys first.
    pub fn summary(&self, max_bytes: usize) -> Vec<u8> {
        let max_bytes = max_bytes.min(MAX_SUMMARY_BYTES);
        let mut wide: Vec<_> = self.wide.iter().collect();
        wide.sort_by_key(|(key, w)| (Reverse(w.used.get()), *key));
        let wide = wide
            .into_iter()
            .flat_map(|(key, w)| w.accounts.iter().map(move |(a, s)| Part::new(key, a, s)));
        let mut narrow: Vec<_> = self.narrow.values().flatten().collect();
        narrow.sort_by_key(|(key, n)| (Reverse(n.used.get()), *key));
        let none = SmolStr::default();
        let narrow = narrow
            .into_iter()
            .map(|(key, n)| Part::new(key, &none, &n.sketch));
        let mut summary = Summary {
            version: VERSION,
            parts: Vec::new(),
        };
        // Leaves room for the version and the number of parts.
        let mut left = max_bytes.saturating_sub(16);
        let reserved = left - left / WIDE_DIVISOR;
        for part in wide {
            let size = encoded(&part).len();
            if left < reserved + size {
                break;
            }
            left -= size;
            summary.parts.push(part);
        }
        for part in narrow {
            let size = encoded(&part).len();
            if left < size {
                break;
            }
            left -= size;
            summary.parts.push(part);
        }
        // A part that was used later is also evicted later.
        summary.parts.reverse();
        encoded(&summary)
    }

    /// Reads a summary.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with a summary that is too large, unreadable or of another version.
    pub fn from_summary(bytes: &[u8]) -> Result<Self, String> {
        if bytes.len() > MAX_SUMMARY_BYTES {
            let size = bytes.len();
            return Err(format!("{size} bytes, at most {MAX_SUMMARY_BYTES}"));
        }
        let summary: Summary =
            postcard::from_bytes(bytes).map_err(|e| format!("cannot be read: {e}"))?;
        if summary.version != VERSION {
            let version = summary.version;
            return Err(format!("version {version}, expected {VERSION}"));
        }
        let mut times = RunTimes::default();
        for part in &summary.parts {
            let sketch = part.sketch();
            if !sketch.is_valid(NARROW_BINS) {
                return Err(format!("the bins of {:?} are not in order", part.key));
            }
            times.load(part, sketch)?;
        }
        times.changes += 1;
        let version = times.changes;
        for wide in times.wide.values_mut() {
            wide.snapshot = mix(&wide.accounts);
            wide.version = version;
        }
        Ok(times)
    }

    fn load(&mut self, part: &Part, sketch: Sketch) -> Result<(), String> {
        if part.key.level.is_wide() {
            let wide = self.wide_mut(part.key.clone());
            wide.accounts.insert(part.account.clone(), sketch);
            // Later runs renew the mix as seldom as in the table that was summarized.
            wide.runs = super::SNAPSHOT_RUNS;
        } else {
            let narrow = self.narrow_mut(part.key.clone());
            narrow.sketch = sketch;
            narrow.version = 1;
        }
        let of_account = self.narrow.values().all(|keys| keys.len() <= ACCOUNT_KEYS);
        let is_bounded = self.wide.len() <= WIDE_KEYS && self.narrow.len() <= MAX_ACCOUNTS;
        let accounts = self
            .wide
            .get(&part.key)
            .map_or(0, |wide| wide.accounts.len());
        if of_account && is_bounded && accounts <= MAX_ACCOUNTS {
            Ok(())
        } else {
            Err("it has too many keys".to_owned())
        }
    }
}

/// Returns the bytes of a value. Its types hold nothing that the format cannot represent.
fn encoded(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}
