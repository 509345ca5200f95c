//! Uses of learned run times: what the ledger learns from ends, and what it expects of tasks and runs.

use super::Entry;
use super::Ledger;
use super::Phase;
use super::Run;
use super::TaskKey;
use super::fit::Candidate;
use super::fit::Slot;
use super::required_resources;
use crate::job::Job;
use crate::job::Step;
use crate::worker::Resources;
use hibiscusbarrow_coordination::runtime::Estimate;
use hibiscusbarrow_coordination::runtime::FinishedRun;
use hibiscusbarrow_coordination::runtime::Kind;
use hibiscusbarrow_coordination::runtime::Outcome;
use hibiscusbarrow_coordination::runtime::RunTimes;
use hibiscusbarrow_coordination::runtime::Shape;
use hibiscusbarrow_coordination::runtime::Times;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

/// How long what is expected of the steps of a job is kept, and the time between two looks at all
/// runs in progress.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// The least number of runs behind an estimate that replaces the declared time in a stall timeout.
const MIN_STALL_EVIDENCE: f64 = 8.0;
/// The stall timeout as a share of the 99% quantile, in thousandths. A run that takes five times as
/// long still reports a percent within it.
const STALL_PERMILLE: u32 = 50;
/// The time from the end of a run until the next one has started on its worker.
const START_TIME: Duration = Duration::from_millis(250);
/// How long a candidate waits at most for runs that are expected to end soon.
const MAX_ENDING_WAIT: Duration = Duration::from_millis(1_500);
/// The least progress from which the remaining time of a run is extrapolated.
const MIN_PERCENT: u64 = 10;
/// The least time by which later jobs may overtake a job because they are shorter, and the same as
/// a multiple of the job's expected path.
const MIN_OVERTAKEN_MS: u64 = 120_000;
const OVERTAKEN_PATHS: u64 = 4;
/// How long a job that cannot be in time waits behind others, at least, and as a multiple of the
/// time that it had. After that the oldest such job of a class comes first.
const MIN_LATE_WAIT_MS: u64 = 10_000;
const LATE_WAIT_FACTOR: u64 = 3;

/// What learned run times are used for; nothing by default.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LearnedTimes {
    /// Orders the steps of a class by how much time their jobs have left.
    pub order: bool,
    /// Starts tasks on reserved workers if they end before the workers are needed.
    pub backfill: bool,
    /// Chooses the worker on which a task is expected to end first.
    pub placement: bool,
    /// Spares runs that are about to end, and stops those that lose the least work.
    pub preemption: bool,
    /// Derives the stall timeout from the 99% quantile.
    pub stall: bool,
}

impl LearnedTimes {
    /// The names of all uses.
    pub const NAMES: [&'static str; 5] = ["order", "backfill", "placement", "preemption", "stall"];

    /// Switches on the use with a name; returns whether there is one.
    pub fn enable(&mut self, name: &str) -> bool {
        let switch = match name {
            "order" => &mut self.order,
            "backfill" => &mut self.backfill,
            "placement" => &mut self.placement,
            "preemption" => &mut self.preemption,
            "stall" => &mut self.stall,
            _ => return false,
        };
        *switch = true;
        true
    }

    /// Returns whether any use is switched on.
    pub fn any(&self) -> bool {
        self.order || self.backfill || self.placement || self.preemption || self.stall
    }
}

/// The table of run times and its uses.
#[derive(Debug, Default)]
pub(super) struct Learning {
    pub(super) uses: LearnedTimes,
    pub(super) times: RunTimes,
    /// When the runs in progress were last looked at.
    scanned_at: Option<Duration>,
    /// The kinds that had runs in progress then.
    scanned: Vec<(Kind, Duration)>,
    /// The mean slowness of all workers. The first task of each step counts as slow if the declared
    /// time is too short, so that all workers may seem slow.
    mean_slowness: f64,
}

/// The job and task of a run.
type RunKey = (SmolStr, TaskKey);

/// The rank of a run among those that may be preempted on a worker; the lowest is stopped first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct VictimRank {
    /// Whether the job was preempted before.
    pub(super) is_repeat: bool,
    /// Whether the run saves no checkpoints.
    discards: bool,
    /// The work that is lost per resource that becomes free.
    cost: u64,
}

/// What is expected of the steps of a job, by position.
#[derive(Clone, Debug, Default)]
pub(super) struct Outlook {
    /// When it was computed.
    at: Duration,
    steps: Vec<StepOutlook>,
}

/// What is expected of a step.
#[derive(Clone, Copy, Debug, Default)]
struct StepOutlook {
    times: Option<Times>,
    /// The number of runs behind the estimate.
    weight: u64,
    /// The expected time of the longest chain that starts with the step, in milliseconds.
    path_ms: u64,
    /// The same by the low quantile of each step.
    low_path_ms: u64,
    /// The expected work of one task, in milliseconds times accelerators.
    task_work: u64,
    /// The expected work of all later steps.
    later_work: u64,
}

/// What is expected of the tasks of a candidate.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Expected {
    /// The place of the candidate within its class, by group and time.
    pub(super) turn: (u8, u64),
    /// The run time of one task, if it is known.
    pub(super) times: Option<Times>,
    /// The number of runs behind it.
    weight: u64,
}

/// The groups of candidates of one class, in their order.
const AGED: u8 = 0;
const IN_TIME: u8 = 1;
const WITHOUT_DEADLINE: u8 = 2;
const LATE: u8 = 3;

impl Expected {
    /// Returns the place of a candidate while run times are not learned.
    pub(super) fn by_deadline(late: bool, deadline: u64) -> Self {
        Self {
            turn: (u8::from(late), deadline),
            ..Self::default()
        }
    }

    /// Returns what the log says about it.
    pub(super) fn detail(&self) -> String {
        let times = self.times.map(|t| {
            format!(
                " expected={:?} p90={:?} runs={}",
                t.mean, t.p90, self.weight
            )
        });
        times.unwrap_or_default()
    }
}

/// Returns what the tasks of a step have in common with others.
fn kind_of(job: &Job, step: u32) -> Kind {
    let needs = &job.steps[step as usize];
    Kind {
        queue: job.queue.clone(),
        account: job.account.clone(),
        shape: Shape {
            cpu: needs.cpu,
            memory: needs.memory,
            gpus: needs.gpus,
        },
        step,
    }
}

fn declared(job: &Job, step: u32) -> Duration {
    Duration::from_millis(job.steps[step as usize].runtime)
}

fn as_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Learning {
    fn estimate(&self, job: &Job, step: u32) -> Option<Estimate> {
        self.times
            .estimate(&kind_of(job, step), declared(job, step))
    }

    /// Computes what is expected of the steps of a job.
    fn outlook(&self, job: &Job, now: Duration) -> Outlook {
        let mut steps = vec![StepOutlook::default(); job.steps.len()];
        let mut later_work: u64 = 0;
        for index in (0..steps.len()).rev() {
            let step = &job.steps[index];
            let estimate = self.estimate(job, index as u32);
            let times = estimate.as_ref().map(Estimate::total);
            let mean_ms = times.map_or(0, |t| as_ms(t.mean)).max(1);
            let low_ms = times.map_or(0, |t| as_ms(t.p10)).max(1);
            let outlook = &mut steps[index];
            outlook.times = times;
            outlook.weight = estimate.map_or(0, |e| e.weight.round() as u64);
            outlook.path_ms = outlook.path_ms.saturating_add(mean_ms);
            outlook.low_path_ms = outlook.low_path_ms.saturating_add(low_ms);
            outlook.task_work = mean_ms.saturating_mul(step.gpus.max(1));
            outlook.later_work = later_work;
            let of_step = outlook.task_work.saturating_mul(step.count.into());
            later_work = later_work.saturating_add(of_step);
            let (path_ms, low_path_ms) = (outlook.path_ms, outlook.low_path_ms);
            // Until its own turn, a step holds the longest chain that starts after it.
            for earlier in &step.after {
                let earlier = &mut steps[*earlier as usize];
                earlier.path_ms = earlier.path_ms.max(path_ms);
                earlier.low_path_ms = earlier.low_path_ms.max(low_path_ms);
            }
        }
        Outlook { at: now, steps }
    }
}

impl Ledger {
    /// Switches on uses of learned run times.
    pub fn with_learned_times(mut self, uses: LearnedTimes) -> Self {
        self.learning.uses = uses;
        self
    }

    /// Returns the uses of learned run times that are switched on.
    pub fn learned_times(&self) -> LearnedTimes {
        self.learning.uses
    }

    /// Returns the run times learned so far.
    pub fn run_times(&self) -> &RunTimes {
        &self.learning.times
    }

    /// Replaces the learned run times by those of the last placer.
    pub fn set_run_times(&mut self, times: RunTimes) {
        self.learning.times = times;
    }

    /// Learns from a run that is over.
    ///
    /// A gang counts once. Best-effort and long-running tasks have no run time of their own. A run
    /// that another placer started took longer than this placer has seen. `until` is when the run was
    /// last known to go on.
    pub(super) fn learn_from_end(
        &mut self,
        id: &str,
        key: TaskKey,
        run: &Run,
        outcome: Outcome,
        until: Duration,
    ) {
        if !self.learning.uses.any() {
            return;
        }
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let step = entry.step(key);
        let is_counted = outcome == Outcome::Done || !step.gang || key.2 == 0;
        let has_run_time = !step.long_running && !step.best_effort;
        let worker = self.workers.get(&run.sidecar);
        if !is_counted || !has_run_time || !run.is_seen {
            return;
        }
        let (took, is_whole) = run_time(run, outcome, until);
        let rack = worker.map(|w| &w.rack);
        let near = |r: &Run| self.workers.get(&r.sidecar).map(|w| &w.rack) == rack;
        let of_step = |k: &TaskKey| (k.0, k.1) == (key.0, key.1);
        let members = || entry.runs.iter().filter(|(k, _)| of_step(k));
        let apart = step.gang && step.same_rack && !members().all(|(_, r)| near(r));
        let far = !step.rack.is_empty() && rack != Some(&step.rack);
        let finished = FinishedRun {
            outcome: match outcome {
                Outcome::Done if !is_whole => Outcome::Cut,
                other => other,
            },
            took,
            slowness: self.relative_slowness(&run.sidecar),
            resumed: run.resumed,
            remote: far || apart,
        };
        let job = entry.job();
        let (kind, declared) = (kind_of(job, key.1), declared(job, key.1));
        self.learning.times.observe(&kind, declared, &finished);
    }

    /// Returns the run time on a worker relative to that on an average one.
    fn relative_slowness(&self, sidecar: &str) -> f64 {
        let worker = self.workers.get(sidecar);
        worker.map_or(1.0, |w| {
            (w.speed.slowness() - self.learning.mean_slowness).exp()
        })
    }

    /// Looks at the ages of all runs in progress, so that tasks that suddenly take long are noticed
    /// before the first of them ends.
    pub(super) fn watch_run_times(&mut self, now: Duration) {
        let scanned_at = self.learning.scanned_at;
        let is_due = scanned_at.is_none_or(|at| now >= at + REFRESH_INTERVAL);
        if !self.learning.uses.any() || !is_due {
            return;
        }
        self.learning.scanned_at = Some(now);
        let slowness = || self.workers.values().map(|w| w.speed.slowness());
        self.learning.mean_slowness = slowness().sum::<f64>() / slowness().count().max(1) as f64;
        let mut ages: BTreeMap<(Kind, Duration), Vec<Duration>> = BTreeMap::new();
        for entry in self.jobs.values() {
            let mut by_step: BTreeMap<u32, Vec<Duration>> = BTreeMap::new();
            for (key, run) in &entry.runs {
                let step = entry.step(*key);
                let is_counted = (!step.gang || key.2 == 0) && !run.resumed;
                let has_run_time = !step.long_running && !step.best_effort;
                if run.phase == Phase::Live && is_counted && has_run_time {
                    let age = now.saturating_sub(run.phase_since);
                    by_step.entry(key.1).or_default().push(age);
                }
            }
            let job = entry.job();
            for (step, of_step) in by_step {
                let kind = (kind_of(job, step), declared(job, step));
                ages.entry(kind).or_default().extend(of_step);
            }
        }
        let before = std::mem::take(&mut self.learning.scanned);
        for (kind, declared) in before {
            if !ages.contains_key(&(kind.clone(), declared)) {
                self.learning.times.set_running(&kind, declared, &[]);
            }
        }
        for ((kind, declared), of_kind) in ages {
            self.learning.times.set_running(&kind, declared, &of_kind);
            self.learning.scanned.push((kind, declared));
        }
    }

    /// Adds what is expected of each candidate and, if that is switched on, orders the candidates of
    /// a class by it.
    pub(super) fn expect(&mut self, candidates: &mut [Candidate], now: Duration, wall: u64) {
        if !self.learning.uses.any() {
            return;
        }
        // The oldest late job that has waited long enough, by class.
        let mut aged: HashMap<u32, (u64, SmolStr)> = HashMap::new();
        for candidate in candidates.iter_mut() {
            let Some(entry) = self.jobs.get_mut(&candidate.job) else {
                continue;
            };
            let outlook = entry.refresh_outlook(&self.learning, now);
            let Some(step) = outlook.steps.get(candidate.step as usize).copied() else {
                continue;
            };
            candidate.expected.times = step.times;
            candidate.expected.weight = step.weight;
            if !self.learning.uses.order {
                continue;
            }
            candidate.late = wall.saturating_add(step.low_path_ms) > candidate.deadline;
            candidate.expected.turn = turn(candidate, &step, wall);
            if candidate.late && is_aged(candidate, wall) {
                let own = (candidate.accepted_at, candidate.job.clone());
                let oldest = aged.entry(candidate.class).or_insert_with(|| own.clone());
                if own < *oldest {
                    *oldest = own;
                }
            }
        }
        for candidate in candidates.iter_mut() {
            let oldest = aged.get(&candidate.class);
            if candidate.late && oldest.is_some_and(|(_, job)| *job == candidate.job) {
                candidate.expected.turn = (AGED, candidate.deadline);
            }
        }
    }

    /// Returns how long a run is expected to go on; none if that is not known.
    ///
    /// Progress that a run reports is more certain than what other runs took.
    pub(super) fn remaining_time(
        &self,
        entry: &Entry,
        key: TaskKey,
        now: Duration,
    ) -> Option<Times> {
        let run = entry.runs.get(&key)?;
        let step = entry.step(key);
        if step.long_running || step.best_effort || run.phase == Phase::Stopping {
            return None;
        }
        let slowness = self.relative_slowness(&run.sidecar);
        let elapsed = match run.phase {
            Phase::Live => now.saturating_sub(run.phase_since),
            _ => Duration::ZERO,
        };
        let is_whole = run.started_at.is_some() && !run.resumed;
        if is_whole && (MIN_PERCENT..100).contains(&run.percent) {
            let left = elapsed.mul_f64((100 - run.percent) as f64 / run.percent as f64);
            return Some(Times {
                mean: left,
                p10: left,
                p50: left,
                p90: left,
                p99: left,
            });
        }
        let estimate = self.learning.estimate(entry.job(), key.1)?;
        let left = estimate.remaining(elapsed.div_f64(slowness));
        let on_worker = |time: Duration| time.mul_f64(slowness);
        Some(Times {
            mean: on_worker(left.mean),
            p10: on_worker(left.p10),
            p50: on_worker(left.p50),
            p90: on_worker(left.p90),
            p99: on_worker(left.p99),
        })
    }

    /// Returns when the workers that are reserved for a candidate can be used at the earliest; zero
    /// if that is not known or no task may start there before.
    ///
    /// A gang needs all of its workers, other tasks need theirs.
    pub(super) fn reservation_start(
        &self,
        candidate: &Candidate,
        placed: &[(u32, usize)],
        slots: &[Slot],
        now: Duration,
    ) -> Duration {
        if !self.learning.uses.backfill || candidate.is_trial() {
            return Duration::ZERO;
        }
        let Some(entry) = self.jobs.get(&candidate.job) else {
            return Duration::ZERO;
        };
        let step = &entry.job().steps[candidate.step as usize];
        let mut needs: BTreeMap<usize, Resources> = BTreeMap::new();
        for (_, slot_index) in placed {
            let needed = needs.entry(*slot_index).or_default();
            needed.add(&required_resources(step));
        }
        let starts = needs
            .iter()
            .map(|(slot_index, needed)| self.free_in(&slots[*slot_index], needed, now));
        let start = if step.gang {
            starts.max()
        } else {
            starts.min()
        };
        start.unwrap_or_default()
    }

    /// Returns in what time the runs on a worker are expected to leave enough free; zero if that is
    /// not known.
    fn free_in(&self, slot: &Slot, needed: &Resources, now: Duration) -> Duration {
        let mut ends: Vec<(Duration, Resources)> = self
            .iter_runs_on(&slot.sidecar)
            .map(|(id, key, run)| {
                let entry = &self.jobs[id];
                let left = self.remaining_time(entry, key, now).map(|t| t.p50);
                let is_lasting = entry.step(key).long_running;
                let left = match run.phase {
                    Phase::Stopping => Duration::ZERO,
                    _ if is_lasting => Duration::MAX,
                    _ => left.unwrap_or_default(),
                };
                (left, required_resources(entry.step(key)))
            })
            .collect();
        ends.sort_by_key(|(left, _)| *left);
        let mut after = slot.clone();
        let mut free_in = Duration::ZERO;
        for (left, freed) in ends {
            if after.will_cover(needed) {
                break;
            }
            after.release(&freed);
            free_in = left;
        }
        free_in
    }

    /// Returns the runs on a worker that are expected to end before their stop would have freed their
    /// resources, with these.
    ///
    /// They are not stopped for a candidate until it has waited for `MAX_ENDING_WAIT`.
    pub(super) fn ending_runs(
        &self,
        candidate: &Candidate,
        slot: &Slot,
        now: Duration,
    ) -> Vec<(RunKey, Resources)> {
        if !self.learning.uses.preemption || candidate.waited > MAX_ENDING_WAIT {
            return Vec::new();
        }
        let limit = self.bounds.stop_timeout + START_TIME;
        self.iter_runs_on(&slot.sidecar)
            .filter_map(|(id, key, run)| {
                let entry = &self.jobs[id];
                if run.phase != Phase::Live || entry.is_far_from_end(key, run, limit, now) {
                    return None;
                }
                let left = self.remaining_time(entry, key, now)?;
                let is_ending = left.mean < limit;
                let freed = required_resources(entry.step(key));
                is_ending.then(|| ((id.clone(), key), freed))
            })
            .collect()
    }

    /// Adds the resources of runs that are expected to end soon to those that become free.
    pub(super) fn release_ending(&self, candidate: &Candidate, slot: &mut Slot, now: Duration) {
        for (_, freed) in self.ending_runs(candidate, slot, now) {
            slot.release(&freed);
        }
    }

    /// Returns the rank of a run among those that may be preempted on a worker.
    pub(super) fn victim_rank(
        &self,
        id: &str,
        key: TaskKey,
        cost: u64,
        freed: &Resources,
    ) -> VictimRank {
        let per_accelerator = VictimRank {
            cost: cost / (1 + freed.gpus),
            ..VictimRank::default()
        };
        let entry = self.jobs.get(id).filter(|_| self.learning.uses.preemption);
        entry.map_or(per_accelerator, |entry| VictimRank {
            is_repeat: entry.preemptions > 0,
            discards: !entry.step(key).checkpoints,
            cost: cost.saturating_mul(1_000) / (1 + freed.gpus * 8_000 + freed.cpu),
        })
    }

    /// Returns the run time for which a step waits for a worker near its data.
    pub(super) fn placement_time(&self, candidate: &Candidate, step: &Step) -> Duration {
        let learned = candidate.expected.times.map(|t| t.mean);
        learned
            .filter(|_| self.learning.uses.placement)
            .unwrap_or(Duration::from_millis(step.runtime))
    }

    /// Returns the stall timeout of a run by its 99% quantile; none if too little is known.
    pub(super) fn learned_stall_timeout(&self, entry: &Entry, key: TaskKey) -> Option<Duration> {
        let step = entry.step(key);
        if !self.learning.uses.stall || step.long_running || step.best_effort || step.gang {
            return None;
        }
        let estimate = self.learning.estimate(entry.job(), key.1)?;
        let is_known = estimate.weight >= MIN_STALL_EVIDENCE;
        is_known.then(|| estimate.total().p99 / 1_000 * STALL_PERMILLE)
    }
}

impl Entry {
    /// Returns whether a run is so young that its expected remaining time is above a limit, by what
    /// was expected of its step when that was last computed. Spares most runs a full estimate.
    fn is_far_from_end(&self, key: TaskKey, run: &Run, limit: Duration, now: Duration) -> bool {
        let outlook = self.outlook.as_ref();
        let times = outlook.and_then(|o| o.steps.get(key.1 as usize)?.times);
        let elapsed = now.saturating_sub(run.phase_since);
        run.percent < MIN_PERCENT && times.is_some_and(|t| elapsed + limit * 4 < t.p10)
    }

    /// Returns what is expected of the steps, computed anew if it is old.
    fn refresh_outlook(&mut self, learning: &Learning, now: Duration) -> &Outlook {
        let is_old = |o: &Outlook| now >= o.at + REFRESH_INTERVAL;
        if self.outlook.as_ref().is_none_or(is_old) {
            self.outlook = Some(learning.outlook(&self.record.job, now));
        }
        self.outlook.get_or_insert_default()
    }
}

/// Returns the place of a candidate within its class.
///
/// Jobs that are expected to be in time come first, by the latest time at which they have to go on.
/// The others are ordered by when they were accepted, put back by their work. Because of the limit
/// to that, only jobs that are accepted within a time later can overtake.
fn turn(candidate: &Candidate, step: &StepOutlook, wall: u64) -> (u8, u64) {
    let latest = candidate.deadline.saturating_sub(step.path_ms);
    if candidate.deadline < u64::MAX && latest >= wall {
        return (IN_TIME, latest);
    }
    let waiting = candidate.indices.len() as u64;
    let own_work = step.task_work.saturating_mul(waiting);
    let work = own_work.saturating_add(step.later_work);
    let max_ms = step.path_ms.saturating_mul(OVERTAKEN_PATHS);
    let put_back = work.min(max_ms.max(MIN_OVERTAKEN_MS));
    let group = if candidate.late {
        LATE
    } else {
        WITHOUT_DEADLINE
    };
    (group, candidate.accepted_at.saturating_add(put_back))
}

/// Returns whether a late candidate has waited so long that it no longer waits behind others.
fn is_aged(candidate: &Candidate, wall: u64) -> bool {
    let had_ms = candidate.deadline.saturating_sub(candidate.accepted_at);
    let max_ms = had_ms.saturating_mul(LATE_WAIT_FACTOR);
    wall.saturating_sub(candidate.accepted_at) > max_ms.max(MIN_LATE_WAIT_MS)
}

/// Returns how long a run has run, and whether its start is known.
fn run_time(run: &Run, outcome: Outcome, until: Duration) -> (Duration, bool) {
    let began = match (run.phase, run.started_at) {
        (Phase::Live, _) => run.phase_since,
        (_, started_at) => started_at.unwrap_or(run.phase_since),
    };
    let is_stopped = run.phase == Phase::Stopping && outcome != Outcome::Done;
    let until = if is_stopped { run.phase_since } else { until };
    (until.saturating_sub(began), run.started_at.is_some())
}
