//! The search for workers that fit the tasks of a step.

use super::Entry;
use super::Ledger;
use super::Phase;
use super::TaskKey;
use super::learned::Expected;
use super::plan::BEYOND_GUARANTEE;
use super::plan::GUARANTEED;
use super::policy::ApprovalState;
use super::required_resources;
use crate::job::Step;
use crate::worker::Boot;
use crate::worker::Resources;
use crate::worker::TaskId;
use smol_str::SmolStr;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

/// A worker whose last listing is older than this is assigned no work and granted no
/// lease.
pub(super) const CONTACT_TIMEOUT: Duration = Duration::from_millis(2_600);

/// The share of the workers of a service that may be left out at the same time as they may forget
/// ends and their sidecars do not stop their runs, in percent; of two or three, one.
const MAX_HELD_PERCENT: usize = 25;
/// The same for workers in quarantine.
const MAX_QUARANTINED_PERCENT: usize = 50;

/// The capacity of one worker while a plan is made.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) sidecar: SmolStr,
    pub(super) boot: Boot,
    pub(super) rack: SmolStr,
    /// Shared, as plans copy their slots often.
    labels: Rc<[SmolStr]>,
    pub(super) service: SmolStr,
    /// Whether the worker may forget ends: the next run there is stopped at once.
    on_hold: bool,
    /// Whether a run on the worker failed or stalled since the last success.
    suspect: bool,
    /// How slow the worker is, in units of `speed::BUCKET`; 0 for an average worker.
    slowness: i64,
    /// Whether the worker is still slow after its start.
    is_cold: bool,
    pub(super) total: Resources,
    pub(super) free: Resources,
    /// Resources that become free as the runs end that are being stopped.
    pub(super) freeing: Resources,
    /// Resources that the runs need beyond the capacity of a worker that has shrunk. Runs that
    /// end make up for these first.
    pub(super) excess: Resources,
    /// The resources of the long-running tasks, which do not become free.
    lasting: Resources,
    /// Whether a long-running task is on the worker.
    has_lasting: bool,
    /// Whether the worker is reserved for a task that waits for it.
    pub(super) reserved: bool,
    /// When the reservation can be used at the earliest; tasks that end before may still start.
    pub(super) needed_in: Duration,
    /// Whether tasks prefer the worker if it is fast, also those that are not urgent.
    ranks_speed: bool,
    /// The number of runs on the worker.
    runs: usize,
    /// The starts that are planned for the worker or that it has not answered, and the most.
    open_starts: usize,
    max_starts: usize,
    /// Whether the worker answers and has no runs.
    pub(super) vacant: bool,
    /// When the newest trial on the worker began; none if no run there is on trial.
    pub(super) trial_since: Option<Duration>,
}

/// Tasks of one step that are ready to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Candidate {
    /// The class of the job; lower classes are placed first.
    pub(super) class: u32,
    /// Whether the occurrence can no longer meet its deadline.
    pub(super) late: bool,
    /// When the occurrence should end, in milliseconds since the Unix epoch;
    /// `u64::MAX` without an objective.
    pub(super) deadline: u64,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub(super) accepted_at: u64,
    pub(super) job: SmolStr,
    pub(super) occurrence: u32,
    pub(super) step: u32,
    /// The tasks of the step, by index.
    pub(super) indices: Vec<u32>,
    /// The tasks among them that may start on trial only, by index.
    pub(super) suspects: Vec<u32>,
    /// The suspects among them that may start beside other runs, by index.
    pub(super) impatient: Vec<u32>,
    /// The others among them that may start beside runs on trial, by index.
    pub(super) beside_trials: Vec<u32>,
    /// How long a run on trial keeps these out.
    pub(super) exclusion: Duration,
    /// Whether it may take the workers for trials and the open starts that no other candidate needs.
    pub(super) spare: bool,
    /// How long the step has been ready.
    pub(super) waited: Duration,
    /// What is expected of its tasks, and its place within the class.
    pub(super) expected: Expected,
}

impl Candidate {
    /// Returns whether the job is urgent enough to prefer fast workers.
    pub(super) fn is_urgent(&self) -> bool {
        self.class <= BEYOND_GUARANTEE
    }

    /// Returns whether its tasks most likely end within a time.
    pub(super) fn ends_before(&self, limit: Duration) -> bool {
        !limit.is_zero() && self.expected.times.is_some_and(|t| t.p90 < limit)
    }

    /// Returns whether all tasks may start on trial only.
    pub(super) fn is_trial(&self) -> bool {
        !self.suspects.is_empty() && self.indices.iter().all(|i| self.is_suspect(*i))
    }

    /// Returns the order in which candidates are placed. Trials come before all but guaranteed
    /// jobs, as any other task that starts on the last vacant worker keeps them waiting.
    pub(super) fn order(&self) -> (bool, bool, u32) {
        let guaranteed = self.class == GUARANTEED;
        (!guaranteed, !self.is_trial(), self.class)
    }

    /// Returns whether a task may start on trial only.
    pub(super) fn is_suspect(&self, index: u32) -> bool {
        self.suspects.contains(&index)
    }
}

impl Slot {
    /// Takes resources for a run that is on the worker, whether it has them or not.
    fn take(&mut self, required: &Resources) {
        let mut lacking = *required;
        lacking.subtract(&self.free);
        self.free.subtract(required);
        self.excess.add(&lacking);
    }

    /// Adds the resources of runs that are being stopped to those that become free.
    pub(super) fn release(&mut self, freed: &Resources) {
        let mut remaining = *freed;
        remaining.subtract(&self.excess);
        self.excess.subtract(freed);
        self.freeing.add(&remaining);
    }

    /// Returns whether the resources that are free or become free suffice.
    pub(super) fn will_cover(&self, required: &Resources) -> bool {
        let mut available = self.free;
        available.add(&self.freeing);
        available.covers(required)
    }

    /// Makes the slot that of the same worker once its runs have ended. A run on trial and
    /// long-running tasks stay.
    pub(super) fn empty(&mut self) {
        let lasting = self.lasting;
        self.free = self.total;
        self.excess = Resources::default();
        self.take(&lasting);
        self.vacant = self.trial_since.is_none() && !self.has_lasting;
        self.needed_in = Duration::ZERO;
        self.admit_all_starts();
    }

    /// Lifts the limit to the starts that are open at the worker.
    pub(super) fn admit_all_starts(&mut self) {
        self.max_starts = usize::MAX;
    }

    /// Returns whether a job with `own` open starts at the worker may have another one. Half of the
    /// starts are left to other jobs, unless they are `spare`.
    fn admits_start(&self, own: usize, spare: bool) -> bool {
        self.open_starts < self.max_starts && (spare || own < self.max_starts.div_ceil(2))
    }

    /// Returns whether a run is on trial on this worker of a service.
    pub(super) fn is_on_trial(&self, service: &str) -> bool {
        self.trial_since.is_some() && self.service == service
    }

    /// Returns whether a task of a candidate may start beside the runs on the worker.
    pub(super) fn admits(&self, candidate: &Candidate, index: u32, now: Duration) -> bool {
        let may_share = !candidate.is_suspect(index) || candidate.impatient.contains(&index);
        self.vacant || (may_share && self.admits_beside_trial(candidate, index, now))
    }

    /// Returns whether no trial on the worker keeps a task of a candidate out.
    pub(super) fn admits_beside_trial(
        &self,
        candidate: &Candidate,
        index: u32,
        now: Duration,
    ) -> bool {
        self.trial_since.is_none_or(|since| {
            candidate.beside_trials.contains(&index) && now >= since + candidate.exclusion
        })
    }

    /// Begins a trial on the worker.
    pub(super) fn begin_trial(&mut self, now: Duration) {
        self.trial_since = self.trial_since.max(Some(now));
    }
}

/// The service, label and resources that a task needs, if nothing else restricts its
/// workers.
///
/// While a plan is made, free capacity only shrinks. A demand that found no worker
/// therefore rules out all later ones that ask for at least as much.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Demand {
    service: SmolStr,
    label: SmolStr,
    resources: Resources,
}

impl Demand {
    /// Returns whether this demand asks for at least as much as another one.
    pub(super) fn covers(&self, other: &Demand) -> bool {
        self.service == other.service
            && self.label == other.label
            && self.resources.covers(&other.resources)
    }
}

/// The workers among which a candidate is placed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Area {
    /// All workers.
    Any,
    /// The workers of one rack.
    Rack(SmolStr),
}

impl Ledger {
    /// Returns the capacity of every worker that may be assigned work.
    pub(super) fn slots(&self, now: Duration) -> Vec<Slot> {
        let mut slots = Vec::new();
        if !self.knows_evacuations(now) {
            return slots;
        }
        // A worker without others beside it has to do the work although it may forget ends.
        let max_held = |size: usize| (size * MAX_HELD_PERCENT / 100).max(usize::from(size > 1));
        // Evacuated workers count here: a worker that may forget ends, and so have tasks run again
        // after their end, is not used only because others are evacuated for a time.
        let is_held = |w: &super::Worker| {
            let announced = w.announced.as_ref();
            announced.is_some_and(|a| a.on_hold && !a.probing)
        };
        let held = self.worst_workers(|_| true, max_held, |w| is_held(w).then_some(0));
        let max_quarantined = |size: usize| (size * MAX_QUARANTINED_PERCENT / 100).max(1);
        let remains = |w: &super::Worker| !self.is_evacuated(w);
        let quarantined =
            self.worst_workers(remains, max_quarantined, |w| w.health.quarantines(now));
        for (sidecar, worker) in &self.workers {
            let (Some(announced), Some(boot)) = (&worker.announced, &worker.boot) else {
                continue;
            };
            let in_contact = worker
                .last_contact
                .is_some_and(|at| now < at + CONTACT_TIMEOUT);
            if announced.is_ending()
                || self.is_evacuated(worker)
                || held.contains(sidecar.as_str())
                || quarantined.contains(sidecar.as_str())
                || !in_contact
                || !worker.health.is_usable(now)
            {
                continue;
            }
            slots.push(Slot {
                sidecar: sidecar.clone(),
                boot: boot.clone(),
                rack: worker.rack.clone(),
                labels: worker.labels.clone(),
                service: announced.service.clone(),
                on_hold: announced.on_hold,
                suspect: worker.health.is_suspect(),
                slowness: worker.speed.bucket(),
                is_cold: worker.is_cold(now),
                total: worker.capacity(),
                free: worker.capacity(),
                freeing: Resources::default(),
                excess: Resources::default(),
                lasting: Resources::default(),
                has_lasting: false,
                reserved: false,
                needed_in: Duration::ZERO,
                ranks_speed: self.learned_times().placement,
                runs: 0,
                open_starts: 0,
                max_starts: worker.starts.limit(),
                vacant: worker.silent_since.is_none(),
                trial_since: None,
            });
        }
        for slot in &mut slots {
            let mut stopping = Resources::default();
            let sidecar = slot.sidecar.clone();
            for (id, key, run) in self.iter_runs_on(&sidecar) {
                slot.runs += 1;
                slot.vacant = false;
                if run.on_trial {
                    slot.begin_trial(run.planned_at);
                }
                slot.open_starts += usize::from(run.is_start_open());
                let step = self.jobs[id].step(key);
                let required = required_resources(step);
                slot.take(&required);
                if run.phase == Phase::Stopping {
                    stopping.add(&required);
                } else if step.long_running {
                    slot.lasting.add(&required);
                    slot.has_lasting = true;
                }
            }
            slot.release(&stopping);
            for orphan in &self.workers[&sidecar].orphans {
                slot.vacant = false;
                slot.take(&self.required_by_orphan(orphan).unwrap_or(slot.total));
            }
        }
        slots
    }

    /// Returns the workers to leave out of those that have a rank, the highest ranks first.
    ///
    /// `limit` says how many may be left out in a service with a number of workers, as the others
    /// have to do its work. Only workers for which `counts` holds are among these. None that is
    /// evacuated takes up a place.
    fn worst_workers(
        &self,
        counts: impl Fn(&super::Worker) -> bool,
        limit: impl Fn(usize) -> usize,
        rank: impl Fn(&super::Worker) -> Option<u32>,
    ) -> HashSet<&str> {
        let mut sizes: HashMap<SmolStr, usize> = HashMap::new();
        // A new placer has yet to hear from most workers; they may be of any service.
        let mut unheard = 0;
        for worker in self.workers.values().filter(|w| counts(w)) {
            match &worker.announced {
                Some(announced) => *sizes.entry(announced.service.clone()).or_default() += 1,
                None => unheard += 1,
            }
        }
        let mut places: HashMap<SmolStr, usize> = sizes
            .into_iter()
            .map(|(service, size)| (service, limit(size + unheard)))
            .collect();
        let workers = self.workers.iter();
        let workers = workers.filter(|(_, w)| !self.is_evacuated(w));
        let mut ranked: Vec<_> = workers
            .filter_map(|(sidecar, w)| {
                let announced = w.announced.as_ref()?;
                Some((Reverse(rank(w)?), sidecar, &announced.service))
            })
            .collect();
        ranked.sort();
        let mut worst = HashSet::new();
        for (_, sidecar, service) in ranked {
            if let Some(left) = places.get_mut(service).filter(|left| **left > 0) {
                *left -= 1;
                worst.insert(sidecar.as_str());
            }
        }
        worst
    }

    /// Returns the resources that a run without a record takes; none if its job is not known.
    pub(super) fn required_by_orphan(&self, task: &TaskId) -> Option<Resources> {
        let job = &self.jobs.get(&task.job)?.record.job;
        Some(required_resources(job.steps.get(task.step as usize)?))
    }

    /// Finds a worker for each task, and takes the resources from its slot.
    ///
    /// Workers that have less than the `least` state of approval are passed over. Returns the tasks
    /// that fit, each with the position of its slot; for a gang, either all or none.
    pub(super) fn fit(
        &self,
        candidate: &Candidate,
        slots: &mut [Slot],
        area: &Area,
        least: ApprovalState,
        now: Duration,
    ) -> Vec<(u32, usize)> {
        let Some(entry) = self.jobs.get(&candidate.job) else {
            return Vec::new();
        };
        let step = &entry.record.job.steps[candidate.step as usize];
        let required = required_resources(step);
        let mut placed: Vec<(u32, usize)> = Vec::new();
        // The slot of each placed task, whether it was vacant, and its trial before.
        let mut former_trials: Vec<(usize, bool, Option<Duration>)> = Vec::new();
        let open_starts = entry.open_starts();
        for index in &candidate.indices {
            let is_suspect = candidate.is_suspect(*index);
            let is_limited = is_suspect && !step.gang && !candidate.impatient.contains(index);
            if is_limited && !self.may_try(entry, candidate, slots, now) {
                continue;
            }
            let is_suitable = |(slot_index, slot): &(usize, &Slot)| {
                let own_starts = || {
                    let open = open_starts.get(&slot.sidecar).copied().unwrap_or(0);
                    open + placed.iter().filter(|(_, p)| p == slot_index).count()
                };
                let beside_member = || {
                    let former = former_trials.iter().find(|(i, ..)| i == slot_index);
                    step.gang && former.is_some_and(|(_, vacant, _)| *vacant)
                };
                (!slot.reserved || candidate.ends_before(slot.needed_in))
                    && slot.free.covers(&required)
                    && (step.gang || slot.admits_start(own_starts(), candidate.spare))
                    && (slot.admits(candidate, *index, now) || beside_member())
                    && in_area(slot, area)
                    && is_eligible(entry, candidate, slot, least, now)
                    && below_worker_limit(entry, candidate, step, slot, *slot_index, &placed)
            };
            let best = slots.iter().enumerate().filter(is_suitable);
            let best = best.min_by_key(|(slot_index, slot)| {
                rank(entry, candidate, slot, *slot_index, &placed)
            });
            let Some(slot_index) = best.map(|(i, _)| i) else {
                // The others need the same, but some suspects may start where this one may not.
                if candidate.is_trial() && !step.gang {
                    continue;
                }
                break;
            };
            let slot = &mut slots[slot_index];
            former_trials.push((slot_index, slot.vacant, slot.trial_since));
            slot.free.subtract(&required);
            slot.open_starts += 1;
            slot.vacant = false;
            if is_suspect {
                slot.begin_trial(now);
            }
            placed.push((*index, slot_index));
        }
        if step.gang && placed.len() < candidate.indices.len() {
            for (slot_index, vacant, trial_since) in former_trials.into_iter().rev() {
                let slot = &mut slots[slot_index];
                slot.free.add(&required);
                slot.open_starts -= 1;
                (slot.vacant, slot.trial_since) = (vacant, trial_since);
            }
            placed.clear();
        }
        placed
    }

    /// Returns whether tasks of a candidate would fit if workers had answered the starts that are
    /// open there.
    pub(super) fn awaits_answers(
        &self,
        candidate: &Candidate,
        slots: &[Slot],
        areas: &[Area],
        now: Duration,
    ) -> bool {
        if slots.iter().all(|s| s.admits_start(s.open_starts, false)) {
            return false;
        }
        let mut slots = slots.to_vec();
        for slot in &mut slots {
            slot.admit_all_starts();
        }
        areas.iter().any(|area| {
            let placed = self.fit(candidate, &mut slots, area, ApprovalState::Valid, now);
            !placed.is_empty()
        })
    }

    /// Returns what each task of a candidate needs, if nothing but service, label and
    /// resources restricts its workers and each task may start alone.
    pub(super) fn unconstrained_demand(&self, candidate: &Candidate) -> Option<Demand> {
        let job = &self.jobs.get(&candidate.job)?.record.job;
        let step = &job.steps[candidate.step as usize];
        let alone = !step.gang || step.count == 1;
        let free = step.rack.is_empty()
            && step.max_per_worker == 0
            && job.policy.is_none()
            && candidate.suspects.is_empty()
            && candidate.beside_trials.is_empty();
        (alone && free).then(|| Demand {
            service: job.service.clone(),
            label: step.label.clone(),
            resources: required_resources(step),
        })
    }

    /// Returns the racks that have a worker which suits a step.
    pub(super) fn racks(
        &self,
        candidate: &Candidate,
        slots: &[Slot],
        now: Duration,
    ) -> BTreeSet<SmolStr> {
        let Some(entry) = self.jobs.get(&candidate.job) else {
            return BTreeSet::new();
        };
        let suitable = slots
            .iter()
            .filter(|s| is_eligible(entry, candidate, s, ApprovalState::Unknown, now));
        suitable.map(|s| s.rack.clone()).collect()
    }
}

/// Returns whether a worker has the service and the label that a step needs.
pub(super) fn suits(entry: &Entry, candidate: &Candidate, slot: &Slot) -> bool {
    let step = &entry.record.job.steps[candidate.step as usize];
    slot.service == entry.record.job.service
        && (step.label.is_empty() || slot.labels.contains(&step.label))
}

/// Returns whether a worker may run a step, whatever its free capacity, with an approval of at
/// least the given state.
pub(super) fn is_eligible(
    entry: &Entry,
    candidate: &Candidate,
    slot: &Slot,
    least: ApprovalState,
    now: Duration,
) -> bool {
    let (occurrence, step) = (candidate.occurrence, candidate.step);
    suits(entry, candidate, slot)
        && entry.approval_state(occurrence, step, &slot.boot, now) >= least
}

pub(super) fn in_area(slot: &Slot, area: &Area) -> bool {
    match area {
        Area::Any => true,
        Area::Rack(rack) => slot.rack == *rack,
    }
}

/// Returns whether the step's limit of tasks per worker allows another task there.
pub(super) fn below_worker_limit(
    entry: &Entry,
    candidate: &Candidate,
    step: &Step,
    slot: &Slot,
    slot_index: usize,
    placed: &[(u32, usize)],
) -> bool {
    if step.max_per_worker == 0 {
        return true;
    }
    let of_step = |key: &TaskKey| (key.0, key.1) == (candidate.occurrence, candidate.step);
    let runs = entry.runs.iter();
    let running = runs
        .filter(|(k, r)| of_step(k) && r.sidecar == slot.sidecar)
        .count();
    let planned = placed.iter().filter(|(_, p)| *p == slot_index).count();
    ((running + planned) as u64) < step.max_per_worker
}

/// Ranks a worker for a task; the lowest rank is the best.
///
/// Prefers, in this order, workers that list all ends, without a trial, on the rack of the task's data, with the
/// fewest runs if the task is a suspect, without failures, that run another member of the gang,
/// that are warm and fast if the task is urgent, and that have the least free capacity.
fn rank(
    entry: &Entry,
    candidate: &Candidate,
    slot: &Slot,
    slot_index: usize,
    placed: &[(u32, usize)],
) -> impl Ord + use<> {
    let step = &entry.record.job.steps[candidate.step as usize];
    let far = !step.rack.is_empty() && slot.rack != step.rack;
    let unreliable = slot.suspect || entry.avoided.contains(&slot.sidecar);
    let apart = step.gang && !placed.is_empty() && !placed.iter().any(|(_, p)| *p == slot_index);
    let cold = candidate.is_urgent() && slot.is_cold;
    let slowness = if candidate.is_urgent() || slot.ranks_speed {
        slot.slowness
    } else {
        0
    };
    let crowd = if candidate.suspects.is_empty() {
        0
    } else {
        slot.runs
    };
    let unsure = (slot.on_hold, slot.trial_since.is_some());
    (
        unsure,
        far,
        crowd,
        unreliable,
        apart,
        cold,
        slowness,
        slot.free.gpus,
        slot.free.memory,
        slot_index,
    )
}
