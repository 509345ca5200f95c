//! Expected run times, learned from finished runs.
//!
//! Declared run times are off by a factor, and some tasks declare none. [`RunTimes`] keeps, by
//! queue, account, shape and step of a task and by wider keys, how long runs took relative to their
//! declared time, or how long they took at all where none was declared. An estimate mixes the keys
//! of a task from narrow to wide, each with the weight of the runs behind it, and the declared time
//! as the prior.
//!
//! Nothing here reads a clock. The same runs in the same order give the same estimates.
//!
//! ```
//! use hibiscusbarrow_coordination::runtime::FinishedRun;
//! use hibiscusbarrow_coordination::runtime::Kind;
//! use hibiscusbarrow_coordination::runtime::RunTimes;
//! use std::time::Duration;
//!
//! let kind = Kind {
//!     queue: "train".into(),
//!     account: "agency".into(),
//!     ..Kind::default()
//! };
//! let mut times = RunTimes::default();
//! let declared = Duration::from_secs(10);
//! for _ in 0..100 {
//!     times.observe(&kind, declared, &FinishedRun::done(Duration::from_secs(20)));
//! }
//! let estimate = times.estimate(&kind, declared).expect("the time is declared");
//! assert!(estimate.total().p50 > Duration::from_secs(18));
//! ```

mod estimate;
mod keys;
mod sketch;
mod summary;

pub use estimate::Estimate;
pub use estimate::Times;
pub use summary::MAX_SUMMARY_BYTES;

use estimate::Distribution;
use estimate::Known;
use keys::Key;
use keys::Level;
use serde::Deserialize;
use serde::Serialize;
use sketch::Sketch;
use sketch::bin_of;
use smol_str::SmolStr;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// The most bins of a sketch of one account.
const NARROW_BINS: usize = 40;
/// The most bins that an account has in a key over all accounts.
const WIDE_BINS: usize = 16;
/// The number of runs after which older ones have faded to a third.
const NARROW_MEMORY: f32 = 128.0;
/// The same for the part of one account in a key over all accounts.
const WIDE_MEMORY: f32 = 32.0;
/// The most keys of one account. An account with more evicts keys of its own only.
const ACCOUNT_KEYS: usize = 64;
/// The most accounts; 130 are the design size.
const MAX_ACCOUNTS: usize = 256;
/// The most keys over all accounts.
const WIDE_KEYS: usize = 128;
/// The most estimates that are kept until the next run of their keys.
const CACHED_ESTIMATES: usize = 1_024;

/// The weight of the wider keys and of the declared time, in runs.
const NARROW_PRIOR: f64 = 4.0;
/// The same in a key over all accounts, in accounts.
const WIDE_PRIOR: f64 = 2.0;
/// The weight below which wider keys are left out.
const NEGLIGIBLE: f64 = 0.005;
/// How far a part of a key over all accounts may be from the median account, in bins: eight times as
/// long or as short. Tasks that take seven times longer than declared are common.
const MAX_DISTANCE: f64 = 21.0;
/// The runs of a key over all accounts after which its mix is renewed.
const SNAPSHOT_RUNS: u64 = 16;
/// The most runs in progress that are taken into account for one key.
const MAX_OVERDUE: usize = 32;
/// The largest weight of runs in progress relative to ended ones.
const OVERDUE_SHARE: f64 = 0.25;
/// The number of errors that are kept.
const KEPT_ERRORS: usize = 512;

/// Run times relative to the declared ones before any run has ended, in bins with their shares:
/// declared times are off by half to the double, and 3% of the tasks take seven times longer.
const DECLARED_PRIOR: [(i16, f64); 8] = [
    (-6, 0.1),
    (-4, 0.14),
    (-2, 0.17),
    (0, 0.2),
    (2, 0.15),
    (4, 0.12),
    (6, 0.09),
    (19, 0.03),
];

/// The resources of a task, in the units of the scheduler.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Shape {
    /// Processor time, such as thousandths of a core.
    pub cpu: u64,
    /// Memory.
    pub memory: u64,
    /// Accelerators.
    pub gpus: u64,
}

/// What tasks with similar run times have in common.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Kind {
    /// The queue.
    pub queue: SmolStr,
    /// The client account.
    pub account: SmolStr,
    /// The resources.
    pub shape: Shape,
    /// The position of the step in its job.
    pub step: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The task is done.
    Done,
    /// The run was stopped or lost, so that it would have taken longer.
    Cut,
    /// The run failed, which says nothing about how long the task takes.
    Failed,
}

/// A run that is over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinishedRun {
    /// How it ended.
    pub outcome: Outcome,
    /// How long it ran.
    pub took: Duration,
    /// The run time on its worker relative to that on an average worker.
    pub slowness: f64,
    /// Whether it resumed from a checkpoint.
    pub resumed: bool,
    /// Whether it ran away from its data.
    pub remote: bool,
}

impl FinishedRun {
    /// Returns a whole run on an average worker.
    pub fn done(took: Duration) -> Self {
        Self {
            outcome: Outcome::Done,
            took,
            slowness: 1.0,
            resumed: false,
            remote: false,
        }
    }

    /// Returns a run on an average worker that was stopped or lost.
    pub fn cut(took: Duration) -> Self {
        Self {
            outcome: Outcome::Cut,
            ..Self::done(took)
        }
    }
}

/// What is known under a key of one account.
#[derive(Clone, Debug, Default)]
struct Narrow {
    sketch: Sketch,
    /// The ages of runs in progress that are older than most, relative to the declared time, as
    /// logarithms.
    overdue: Vec<f64>,
    /// When the key was last used, in uses of all keys.
    used: Cell<u64>,
    /// The number of the change that was made last.
    version: u64,
}

/// What is known under a key over all accounts.
#[derive(Clone, Debug, Default)]
struct Wide {
    accounts: BTreeMap<SmolStr, Sketch>,
    runs: u64,
    /// The mix of all accounts with their number, as of the last renewal.
    snapshot: (Vec<(i16, f64)>, f64),
    used: Cell<u64>,
    /// The number of the change with which the mix was renewed.
    version: u64,
}

/// The versions of the four keys of a kind.
type Versions = [u64; 4];

/// Learned run times of all accounts.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    narrow: BTreeMap<SmolStr, HashMap<Key, Narrow>>,
    wide: HashMap<Key, Wide>,
    known: RefCell<HashMap<Key, (Versions, Known)>>,
    uses: Cell<u64>,
    changes: u64,
    /// The latest ratios of actual to expected run times.
    errors: VecDeque<f32>,
}

/// One learned key, for display.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The kind of task.
    pub kind: Kind,
    /// Whether the figures are relative to declared times, with a declared time of 1 s.
    pub declared: bool,
    /// The number of runs behind them.
    pub weight: f64,
    /// The figures.
    pub times: Times,
}

impl RunTimes {
    /// Learns from a run that is over; `declared` is zero if no run time was declared.
    ///
    /// Ignores failed and resumed runs, and those away from their data. A run that was cut short
    /// counts as one that takes longer than it ran.
    pub fn observe(&mut self, kind: &Kind, declared: Duration, run: &FinishedRun) {
        let is_usable = run.slowness.is_finite() && run.slowness > 0.0;
        let took_ms = run.took.as_secs_f64() * 1_000.0 / run.slowness.max(f64::MIN_POSITIVE);
        let counts = run.outcome != Outcome::Failed && !run.resumed && !run.remote;
        if !is_usable || !counts || took_ms < 1.0 {
            return;
        }
        let ratio = took_ms / scale_ms(declared);
        let added = if run.outcome == Outcome::Done {
            self.record_error(kind, declared, took_ms);
            vec![(bin_of(ratio), 1.0)]
        } else {
            self.spread_above(kind, declared, ratio.ln())
        };
        self.add(kind, !declared.is_zero(), &added);
    }

    /// Replaces the ages of the runs of a kind that are in progress.
    ///
    /// Only runs that are older than 90% of the runs matter.
    pub fn set_running(&mut self, kind: &Kind, declared: Duration, ages: &[Duration]) {
        let key = Key::new(Level::Step, kind, !declared.is_zero());
        let has_overdue = self
            .narrow_entry(&key)
            .is_some_and(|narrow| !narrow.overdue.is_empty());
        let p90 = self.estimate(kind, declared).map(|e| e.total().p90);
        let is_old = |age: &&Duration| p90.is_some_and(|p90| **age > p90);
        let scale_ms = scale_ms(declared);
        let mut overdue: Vec<f64> = ages
            .iter()
            .filter(is_old)
            .map(|age| (age.as_secs_f64() * 1_000.0 / scale_ms).ln())
            .collect();
        if overdue.is_empty() && !has_overdue {
            return;
        }
        overdue.sort_by(|a, b| b.total_cmp(a));
        overdue.truncate(MAX_OVERDUE);
        self.changes += 1;
        let version = self.changes;
        let narrow = self.narrow_mut(key);
        narrow.overdue = overdue;
        narrow.version = version;
    }

    /// Returns the expected run time of a task on an average worker; none if no run time is declared
    /// and none was observed.
    pub fn estimate(&self, kind: &Kind, declared: Duration) -> Option<Estimate> {
        let is_declared = !declared.is_zero();
        let keys = Level::ALL.map(|level| Key::new(level, kind, is_declared));
        let versions = self.touch(&keys);
        let mut known = self.known.borrow_mut();
        if let Some((of, found)) = known.get(&keys[0])
            && *of == versions
        {
            return Some(Estimate::new(found, scale_ms(declared)));
        }
        let built = self.build(&keys, is_declared)?;
        let estimate = Estimate::new(&built, scale_ms(declared));
        if known.len() >= CACHED_ESTIMATES {
            known.clear();
        }
        let [key, ..] = keys;
        known.insert(key, (versions, built));
        Some(estimate)
    }

    /// Returns the ratio of actual to expected run time below which a share of the latest runs was;
    /// none before the first run.
    pub fn error(&self, quantile: f64) -> Option<f64> {
        let mut errors: Vec<f32> = self.errors.iter().copied().collect();
        errors.sort_by(f32::total_cmp);
        let last = errors.len().checked_sub(1)?;
        let index = (last as f64 * quantile.clamp(0.0, 1.0)).round() as usize;
        Some(f64::from(errors[index]))
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.wide.len() + self.narrow.values().map(HashMap::len).sum::<usize>()
    }

    /// Returns whether nothing has been learned.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of changes, which tells whether anything was learned since.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns an upper limit of the memory that the keys take, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let sketch = |s: &Sketch| s.bins.capacity() * size_of::<(i16, f32)>();
        let narrow = self.narrow.values().flat_map(HashMap::values);
        let narrow: usize = narrow
            .map(|n| size_of::<(Key, Narrow)>() + sketch(&n.sketch) + n.overdue.capacity() * 8)
            .sum();
        let of_account = |s: &Sketch| size_of::<(SmolStr, Sketch)>() + sketch(s);
        let wide = self.wide.values().map(|w| {
            let accounts: usize = w.accounts.values().map(of_account).sum();
            size_of::<(Key, Wide)>() + accounts + w.snapshot.0.capacity() * size_of::<(i16, f64)>()
        });
        let known = self.known.borrow();
        let known = known.values().map(|(_, known)| {
            let bins = known.distribution.bins.capacity() * size_of::<(i16, f64)>();
            size_of::<(Key, (Versions, Known))>() + bins
        });
        narrow + wide.sum::<usize>() + known.sum::<usize>()
    }

    /// Returns the keys with the most runs behind them, at most `limit`.
    pub fn rows(&self, limit: usize) -> Vec<Row> {
        let keys = self.narrow.values().flatten();
        let mut keys: Vec<(&Key, &Narrow)> = keys.filter(|k| k.0.level == Level::Step).collect();
        keys.sort_by(|a, b| {
            let weight = b.1.sketch.weight.total_cmp(&a.1.sketch.weight);
            weight.then_with(|| a.0.cmp(b.0))
        });
        let row = |(key, narrow): (&Key, &Narrow)| {
            let bins = narrow.sketch.bins.iter();
            let bins = bins.map(|(bin, w)| (*bin, f64::from(*w))).collect();
            let weight = f64::from(narrow.sketch.weight);
            let known = Known::new(Distribution::from_bins(bins)?, weight);
            let unit_ms = if key.declared { 1_000.0 } else { 1.0 };
            Some(Row {
                kind: key.kind.clone(),
                declared: key.declared,
                weight,
                times: Estimate::new(&known, unit_ms).total(),
            })
        };
        keys.into_iter().filter_map(row).take(limit).collect()
    }

    fn record_error(&mut self, kind: &Kind, declared: Duration, took_ms: f64) {
        let Some(estimate) = self.estimate(kind, declared) else {
            return;
        };
        let expected_ms = estimate.total().mean.as_secs_f64() * 1_000.0;
        if self.errors.len() >= KEPT_ERRORS {
            self.errors.pop_front();
        }
        let error = took_ms / expected_ms.max(0.001);
        self.errors.push_back(error as f32);
    }

    /// Returns the weight of a run that takes longer than a logarithm of the ratio.
    fn spread_above(&self, kind: &Kind, declared: Duration, log: f64) -> Vec<(i16, f32)> {
        let is_declared = !declared.is_zero();
        let keys = Level::ALL.map(|level| Key::new(level, kind, is_declared));
        let known = self.build(&keys, is_declared);
        let distribution = known.map(|k| k.distribution).unwrap_or_default();
        distribution.spread_above(log)
    }

    fn add(&mut self, kind: &Kind, is_declared: bool, added: &[(i16, f32)]) {
        self.changes += 1;
        let version = self.changes;
        for level in [Level::Step, Level::Shape] {
            let narrow = self.narrow_mut(Key::new(level, kind, is_declared));
            narrow.sketch.add(added, NARROW_MEMORY, NARROW_BINS);
            narrow.version = version;
        }
        for level in [Level::AllAccounts, Level::Queue] {
            let wide = self.wide_mut(Key::new(level, kind, is_declared));
            let has_place =
                wide.accounts.len() < MAX_ACCOUNTS || wide.accounts.contains_key(&kind.account);
            if !has_place {
                continue;
            }
            let sketch = wide.accounts.entry(kind.account.clone()).or_default();
            sketch.add(added, WIDE_MEMORY, WIDE_BINS);
            wide.runs += 1;
            if wide.runs <= SNAPSHOT_RUNS || wide.runs.is_multiple_of(SNAPSHOT_RUNS) {
                wide.snapshot = mix(&wide.accounts);
                wide.version = version;
            }
        }
    }

    fn narrow_entry(&self, key: &Key) -> Option<&Narrow> {
        self.narrow.get(&key.kind.account)?.get(key)
    }

    /// Returns the entry of a key of one account; evicts the least recently used one if there are
    /// too many.
    fn narrow_mut(&mut self, key: Key) -> &mut Narrow {
        let account = key.kind.account.clone();
        if !self.narrow.contains_key(&account) && self.narrow.len() >= MAX_ACCOUNTS {
            let last_use = |keys: &HashMap<Key, Narrow>| keys.values().map(|n| n.used.get()).max();
            let oldest = self.narrow.iter().min_by_key(|(_, keys)| last_use(keys));
            if let Some(oldest) = oldest.map(|(account, _)| account.clone()) {
                self.narrow.remove(&oldest);
            }
        }
        let used = self.next_use();
        let keys = self.narrow.entry(account).or_default();
        if !keys.contains_key(&key) && keys.len() >= ACCOUNT_KEYS {
            let oldest = keys.iter().min_by_key(|(key, n)| (n.used.get(), *key));
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                keys.remove(&oldest);
            }
        }
        let narrow = keys.entry(key).or_default();
        narrow.used.set(used);
        narrow
    }

    fn wide_mut(&mut self, key: Key) -> &mut Wide {
        if !self.wide.contains_key(&key) && self.wide.len() >= WIDE_KEYS {
            let oldest = self.wide.iter().min_by_key(|(key, w)| (w.used.get(), *key));
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.wide.remove(&oldest);
            }
        }
        let used = self.next_use();
        let wide = self.wide.entry(key).or_default();
        wide.used.set(used);
        wide
    }

    fn next_use(&self) -> u64 {
        self.uses.set(self.uses.get() + 1);
        self.uses.get()
    }

    /// Marks the keys of a kind as used, and returns their versions.
    fn touch(&self, keys: &[Key; 4]) -> Versions {
        let used = self.next_use();
        let mut versions = Versions::default();
        for (key, version) in keys.iter().zip(&mut versions) {
            if key.level.is_wide() {
                if let Some(wide) = self.wide.get(key) {
                    wide.used.set(used);
                    *version = wide.version;
                }
            } else if let Some(narrow) = self.narrow_entry(key) {
                narrow.used.set(used);
                *version = narrow.version;
            }
        }
        versions
    }

    /// Mixes the keys of a kind, from narrow to wide, and the declared time.
    fn build(&self, keys: &[Key; 4], is_declared: bool) -> Option<Known> {
        let mut bins: Vec<(i16, f64)> = Vec::new();
        let mut left = 1.0;
        let mut evidence: f64 = 0.0;
        for key in keys {
            if left < NEGLIGIBLE {
                break;
            }
            if key.level.is_wide() {
                let Some(wide) = self.wide.get(key) else {
                    continue;
                };
                let (mix, accounts) = &wide.snapshot;
                let share = accounts / (accounts + WIDE_PRIOR);
                bins.extend(mix.iter().map(|(bin, w)| (*bin, w * left * share)));
                left *= 1.0 - share;
                if evidence == 0.0 {
                    evidence = *accounts;
                }
            } else {
                let Some(sketch) = self.narrow_entry(key).map(|n| &n.sketch) else {
                    continue;
                };
                let weight = f64::from(sketch.weight);
                if weight <= 0.0 {
                    continue;
                }
                let share = weight / (weight + NARROW_PRIOR);
                let scaled = |(bin, w): &(i16, f32)| (*bin, f64::from(*w) / weight * left * share);
                bins.extend(sketch.bins.iter().map(scaled));
                left *= 1.0 - share;
                evidence = evidence.max(weight);
            }
        }
        if is_declared {
            bins.extend(DECLARED_PRIOR.map(|(bin, w)| (bin, w * left)));
        }
        let distribution = Distribution::from_bins(bins)?;
        let distribution = self.with_overdue(distribution, &keys[0], evidence);
        Some(Known::new(distribution, evidence))
    }

    /// Adds the runs in progress that are older than most.
    fn with_overdue(&self, distribution: Distribution, key: &Key, evidence: f64) -> Distribution {
        let overdue = self.narrow_entry(key).map_or(&[][..], |n| &n.overdue);
        if overdue.is_empty() {
            return distribution;
        }
        let ended = evidence + NARROW_PRIOR;
        let weight = (overdue.len() as f64).min(ended * OVERDUE_SHARE) / overdue.len() as f64;
        let mut bins = distribution.bins.clone();
        for log in overdue {
            let spread = distribution.spread_above(*log).into_iter();
            bins.extend(spread.map(|(bin, w)| (bin, f64::from(w) * weight / ended)));
        }
        Distribution::from_bins(bins).unwrap_or(distribution)
    }
}

/// Mixes the accounts of a key, each with the same weight or less; returns the shares by bin and
/// the weight of all in accounts.
///
/// What is far from the median account is moved closer, so that one account cannot change the
/// expected run times of others much.
fn mix(accounts: &BTreeMap<SmolStr, Sketch>) -> (Vec<(i16, f64)>, f64) {
    let sketches = || accounts.values().filter(|s| s.weight > 0.0);
    let mut medians: Vec<i16> = sketches().map(median).collect();
    medians.sort_unstable();
    let Some(median) = medians.get(medians.len().saturating_sub(1) / 2) else {
        return (Vec::new(), 0.0);
    };
    let limit = |bin: i16| {
        let from_median = f64::from(bin - median);
        median + from_median.clamp(-MAX_DISTANCE, MAX_DISTANCE) as i16
    };
    let mut sum = 0.0;
    let mut bins = Vec::new();
    for sketch in sketches() {
        let weight = f64::from(sketch.weight).min(1.0);
        sum += weight;
        let share = weight / f64::from(sketch.weight);
        let parts = sketch.bins.iter();
        bins.extend(parts.map(|(bin, w)| (limit(*bin), f64::from(*w) * share)));
    }
    let distribution = Distribution::from_bins(bins).unwrap_or_default();
    (distribution.bins, sum)
}

/// Returns the bin in the middle of the weight.
fn median(sketch: &Sketch) -> i16 {
    let mut left = sketch.weight / 2.0;
    for (bin, weight) in &sketch.bins {
        left -= weight;
        if left <= 0.0 {
            return *bin;
        }
    }
    sketch.bins.last().map_or(0, |b| b.0)
}

/// Returns the unit of a kind's sketches in milliseconds: the declared time, or 1 ms without one.
fn scale_ms(declared: Duration) -> f64 {
    if declared.is_zero() {
        1.0
    } else {
        declared.as_secs_f64() * 1_000.0
    }
}
