//! Run-time estimates from finished jobs.

use crate::shape::Shape;
use hibiscusbarrow_coordination::runtime;
use hibiscusbarrow_coordination::runtime::FinishedRun;
use hibiscusbarrow_coordination::runtime::Kind;
use hibiscusbarrow_coordination::runtime::RunTimes;
use std::collections::HashMap;
use std::time::Duration;

/// The weight of a new observation in the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.25;
/// The estimate for a job while no similar job has finished.
const DEFAULT_ESTIMATE: Duration = Duration::from_secs(600);
/// The least estimate.
const MIN_ESTIMATE: Duration = Duration::from_millis(1);

/// What jobs with similar run times have in common.
#[derive(Clone, Copy, Debug)]
pub struct JobKind<'a> {
    /// The position of the account.
    pub index: usize,
    /// The name of the account.
    pub account: &'a str,
    /// The shape of each member.
    pub shape: Shape,
    /// The number of members.
    pub count: u32,
}

/// Estimates run times by account, shape and gang size from observed run times,
/// because declared ones are not trusted.
///
/// Uses a moving average, or the learned run times if they are switched on.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    means: HashMap<(usize, Shape, u32), f64>,
    learned: Option<RunTimes>,
}

impl Estimator {
    /// Creates an estimator that uses learned run times, or a moving average.
    pub fn new(is_learned: bool) -> Self {
        Self {
            learned: is_learned.then(RunTimes::default),
            ..Self::default()
        }
    }

    /// Records the run time of a finished job.
    ///
    /// `total` adds the times of its earlier runs, from whose checkpoints it went on; none if they
    /// are not known.
    pub fn observe(&mut self, kind: JobKind<'_>, runtime: Duration, total: Option<Duration>) {
        if let Some(learned) = &mut self.learned {
            let run = total.map_or(FinishedRun::cut(runtime), FinishedRun::done);
            learned.observe(&kind.learned(), Duration::ZERO, &run);
            return;
        }
        let seconds = runtime.as_secs_f64();
        let mean = self.means.entry(kind.averaged()).or_insert(seconds);
        *mean += SMOOTHING_FACTOR * (seconds - *mean);
    }

    /// Returns the expected run time of a job.
    pub fn estimate(&self, kind: JobKind<'_>) -> Duration {
        if let Some(learned) = &self.learned {
            let estimate = learned.estimate(&kind.learned(), Duration::ZERO);
            return estimate.map_or(DEFAULT_ESTIMATE, |e| e.total().mean.max(MIN_ESTIMATE));
        }
        self.means
            .get(&kind.averaged())
            .map_or(DEFAULT_ESTIMATE, |s| Duration::from_secs_f64(s.max(0.001)))
    }
}

impl JobKind<'_> {
    fn averaged(&self) -> (usize, Shape, u32) {
        (self.index, self.shape, size_class(self.count))
    }

    fn learned(&self) -> Kind {
        Kind {
            account: self.account.into(),
            shape: runtime::Shape {
                gpus: self.shape.accelerators().into(),
                cpu: size_class(self.count).into(),
                ..runtime::Shape::default()
            },
            ..Kind::default()
        }
    }
}

/// Groups gang sizes by powers of two.
fn size_class(count: u32) -> u32 {
    count.max(1).ilog2()
}
