//! Finding workers for tasks.

use super::Entry;
use super::Ledger;
use super::Phase;
use super::TaskKey;
use super::plan::ORDINARY;
use super::required_resources;
use crate::job::Step;
use crate::worker::Boot;
use crate::worker::Resources;
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::time::Duration;

/// A worker that was not heard for this long gets no work.
pub(super) const CONTACT_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Holds the room of one worker while a plan is made.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) node: SmolStr,
    pub(super) boot: Boot,
    pub(super) rack: SmolStr,
    labels: Vec<SmolStr>,
    service: SmolStr,
    suspect: bool,
    /// How slow the worker is, in steps that make a difference.
    slowness: i64,
    pub(super) total: Resources,
    pub(super) free: Resources,
    /// Resources of runs that are being stopped.
    pub(super) freeing: Resources,
    /// Whether the room is kept for a task that waits for it.
    pub(super) reserved: bool,
}

/// Describes tasks of one step that may start together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Candidate {
    /// Lower classes come first.
    pub(super) class: u32,
    /// Whether the job can no longer end when its callers expect it.
    pub(super) late: bool,
    /// When the occurrence should end, in milliseconds since the Unix epoch.
    pub(super) deadline: u64,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub(super) accepted_at: u64,
    pub(super) job: SmolStr,
    pub(super) occurrence: u32,
    pub(super) step: u32,
    pub(super) indices: Vec<u32>,
    /// How long the step has been ready.
    pub(super) waited: Duration,
}

impl Candidate {
    /// Tells whether a fast worker matters to the job.
    pub(super) fn is_urgent(&self) -> bool {
        self.class <= ORDINARY
    }
}

/// Describes what a task needs that any worker of a service may give it.
///
/// While a plan is made room only shrinks, so that what found none cannot fit later.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Demand {
    service: SmolStr,
    label: SmolStr,
    resources: Resources,
}

impl Demand {
    /// Tells whether a demand asks for all that another one asks for.
    pub(super) fn covers(&self, other: &Demand) -> bool {
        self.service == other.service
            && self.label == other.label
            && self.resources.covers(&other.resources)
    }
}

/// Enumerates where tasks may go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Area {
    /// On any worker.
    Any,
    /// On the workers of one rack.
    Rack(SmolStr),
}

impl Ledger {
    /// Returns the room of every worker that may get work.
    pub(super) fn slots(&self, now: Duration) -> Vec<Slot> {
        let mut slots = Vec::new();
        for (node, worker) in &self.workers {
            let (Some(announced), Some(boot)) = (&worker.announced, &worker.boot) else {
                continue;
            };
            let in_contact = worker
                .last_contact
                .is_some_and(|at| now < at + CONTACT_TIMEOUT);
            if announced.draining || !in_contact || !worker.health.is_usable(now) {
                continue;
            }
            slots.push(Slot {
                node: node.clone(),
                boot: boot.clone(),
                rack: worker.rack.clone(),
                labels: announced.labels.clone(),
                service: announced.service.clone(),
                suspect: worker.health.is_suspect(),
                slowness: worker.speed.bucket(),
                total: worker.capacity(),
                free: worker.capacity(),
                freeing: Resources::default(),
                reserved: false,
            });
        }
        for slot in &mut slots {
            for (id, key, run) in self.iter_runs_on(&slot.node) {
                let taken = required_resources(self.jobs[id].step(key));
                slot.free.subtract(&taken);
                if run.phase == Phase::Stopping {
                    slot.freeing.add(&taken);
                }
            }
        }
        slots
    }

    /// Tells whether a worker may run a step at all, whatever its room.
    pub(super) fn is_eligible(&self, entry: &Entry, candidate: &Candidate, slot: &Slot) -> bool {
        let step = &entry.record.job.steps[candidate.step as usize];
        slot.service == entry.record.job.service
            && (step.label.is_empty() || slot.labels.contains(&step.label))
            && self
                .approval(
                    &candidate.job,
                    candidate.occurrence,
                    candidate.step,
                    &slot.boot.id,
                )
                .is_some()
    }

    /// Finds a worker for each task, or for as many as fit outside of gangs.
    pub(super) fn fit(
        &self,
        candidate: &Candidate,
        slots: &mut [Slot],
        area: &Area,
    ) -> Vec<(u32, usize)> {
        let Some(entry) = self.jobs.get(&candidate.job) else {
            return Vec::new();
        };
        let step = &entry.record.job.steps[candidate.step as usize];
        let taken = required_resources(step);
        let mut placed: Vec<(u32, usize)> = Vec::new();
        for index in &candidate.indices {
            let open = |(at, slot): &(usize, &Slot)| {
                !slot.reserved
                    && slot.free.covers(&taken)
                    && in_area(slot, area)
                    && self.is_eligible(entry, candidate, slot)
                    && below_worker_limit(entry, candidate, step, slot, *at, &placed)
            };
            let best = slots.iter().enumerate().filter(open);
            let best = best.min_by_key(|(at, slot)| rank(entry, candidate, slot, *at, &placed));
            let Some(at) = best.map(|(at, _)| at) else {
                break;
            };
            slots[at].free.subtract(&taken);
            placed.push((*index, at));
        }
        if step.gang && placed.len() < candidate.indices.len() {
            for (_, at) in placed.drain(..) {
                slots[at].free.add(&taken);
            }
        }
        placed
    }

    /// Returns what each task of a candidate needs, if nothing else restricts where its
    /// tasks may go and each may start alone.
    pub(super) fn unconstrained_demand(&self, candidate: &Candidate) -> Option<Demand> {
        let job = &self.jobs.get(&candidate.job)?.record.job;
        let step = &job.steps[candidate.step as usize];
        let alone = !step.gang || step.count == 1;
        let free = step.rack.is_empty() && step.max_per_worker == 0 && job.policy.is_none();
        (alone && free).then(|| Demand {
            service: job.service.clone(),
            label: step.label.clone(),
            resources: required_resources(step),
        })
    }

    /// Returns the racks that have a worker which suits a step.
    pub(super) fn racks(&self, candidate: &Candidate, slots: &[Slot]) -> BTreeSet<SmolStr> {
        let Some(entry) = self.jobs.get(&candidate.job) else {
            return BTreeSet::new();
        };
        let suitable = slots
            .iter()
            .filter(|s| self.is_eligible(entry, candidate, s));
        suitable.map(|s| s.rack.clone()).collect()
    }
}

pub(super) fn in_area(slot: &Slot, area: &Area) -> bool {
    match area {
        Area::Any => true,
        Area::Rack(rack) => slot.rack == *rack,
    }
}

/// Tells whether the limit of tasks of one step on one worker allows another.
pub(super) fn below_worker_limit(
    entry: &Entry,
    candidate: &Candidate,
    step: &Step,
    slot: &Slot,
    at: usize,
    placed: &[(u32, usize)],
) -> bool {
    if step.max_per_worker == 0 {
        return true;
    }
    let same = |key: &TaskKey| (key.0, key.1) == (candidate.occurrence, candidate.step);
    let running = entry.runs.iter();
    let there = running
        .filter(|(k, r)| same(k) && r.node == slot.node)
        .count();
    let here = placed.iter().filter(|(_, p)| *p == at).count();
    ((there + here) as u64) < step.max_per_worker
}

/// Ranks a worker for a task: near its data, sound, fast if the task is urgent, and
/// tightly filled.
fn rank(
    entry: &Entry,
    candidate: &Candidate,
    slot: &Slot,
    at: usize,
    placed: &[(u32, usize)],
) -> (bool, bool, bool, i64, u64, u64, usize) {
    let step = &entry.record.job.steps[candidate.step as usize];
    let far = !step.rack.is_empty() && slot.rack != step.rack;
    let unreliable = slot.suspect || entry.avoided.contains(&slot.node);
    let apart = step.gang && !placed.is_empty() && !placed.iter().any(|(_, p)| *p == at);
    let slowness = if candidate.is_urgent() {
        slot.slowness
    } else {
        0
    };
    (
        far,
        unreliable,
        apart,
        slowness,
        slot.free.gpus,
        slot.free.memory,
        at,
    )
}
