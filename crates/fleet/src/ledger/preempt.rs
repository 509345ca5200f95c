//! Preemption: stopping runs of lower classes so that a more urgent task can start.

use super::Decision;
use super::Ledger;
use super::Phase;
use super::TaskKey;
use super::fit::Area;
use super::fit::Candidate;
use super::fit::Slot;
use super::fit::below_worker_limit;
use super::fit::in_area;
use super::fit::is_eligible;
use super::plan::GUARANTEED;
use super::policy::ApprovalState;
use super::required_resources;
use crate::worker::Resources;
use smol_str::SmolStr;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

/// The number of cores that an accelerator counts as in the cost of a preemption.
const CORES_PER_GPU: u64 = 8;
/// The longest run time that a stop discards of a task that saves checkpoints.
const MAX_CHECKPOINT_LOSS: Duration = Duration::from_millis(700);

/// The job and task of a run.
type RunKey = (SmolStr, TaskKey);

/// A plan to free capacity for a candidate in one area.
#[derive(Clone, Debug, Default)]
struct Preemption {
    /// The work that the stops discard, in core-seconds.
    cost: u64,
    /// The number of victims whose job was preempted before.
    repeats: u64,
    /// The runs to stop.
    victims: BTreeSet<RunKey>,
    /// The workers as they are once the victims have ended and the tasks are placed.
    slots: Vec<Slot>,
    /// The slot of each task that is placed.
    used: Vec<usize>,
}

impl Ledger {
    /// Stops runs of lower classes so that a candidate can start later.
    ///
    /// Chooses the area in which most tasks fit, then the one with the lowest cost.
    /// Options that discard more than `budget` core-seconds are rejected. Returns
    /// whether capacity is free or will be.
    pub(super) fn preempt(
        &mut self,
        candidate: &Candidate,
        classes: &HashMap<SmolStr, u32>,
        slots: &mut Vec<Slot>,
        areas: &[Area],
        budget: u64,
        now: Duration,
    ) -> bool {
        let options = areas
            .iter()
            .filter_map(|a| self.plan_preemption(candidate, classes, slots, a, now));
        let affordable = options.filter(|o| o.cost <= budget);
        let Some(chosen) = affordable.min_by_key(|o| (Reverse(o.used.len()), o.repeats, o.cost))
        else {
            return false;
        };
        *slots = chosen.slots;
        for slot_index in chosen.used {
            slots[slot_index].reserved = true;
        }
        for (id, key) in chosen.victims {
            let detail = format!("task={key:?} for={} cost={}", candidate.job, chosen.cost);
            let account = self.account_of(&id);
            self.note(Decision::Preempted, &id, &account, detail);
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.preemptions += 1;
            }
            self.stop_run(&id, key, "preempted", now);
        }
        true
    }

    fn account_of(&self, id: &str) -> SmolStr {
        self.jobs
            .get(id)
            .map(|e| e.record.job.account.clone())
            .unwrap_or_default()
    }

    /// Finds the cheapest victims for the tasks of a candidate within an area; for a
    /// gang, only if all members fit.
    fn plan_preemption(
        &self,
        candidate: &Candidate,
        classes: &HashMap<SmolStr, u32>,
        slots: &[Slot],
        area: &Area,
        now: Duration,
    ) -> Option<Preemption> {
        let entry = self.jobs.get(&candidate.job)?;
        let step = &entry.record.job.steps[candidate.step as usize];
        let required = required_resources(step);
        if step.gang && !candidate.suspects.is_empty() {
            return None;
        }
        let mut plan = Preemption {
            slots: slots.to_vec(),
            ..Preemption::default()
        };
        let mut placed: Vec<(u32, usize)> = Vec::new();
        let certain = candidate
            .indices
            .iter()
            .filter(|i| !candidate.is_suspect(**i));
        for index in certain {
            let mut best: Option<((u64, u64), usize, BTreeSet<RunKey>)> = None;
            for (slot_index, slot) in plan.slots.iter().enumerate() {
                let suitable = in_area(slot, area)
                    && slot.admits_beside_trial(candidate, *index, now)
                    && (!slot.reserved || plan.used.contains(&slot_index))
                    && slot.total.covers(&required)
                    && is_eligible(entry, candidate, slot, ApprovalState::Expired, now)
                    && below_worker_limit(entry, candidate, step, slot, slot_index, &placed);
                if !suitable {
                    continue;
                }
                // What becomes free without a stop was given to an earlier task of the plan.
                let mut slot = slot.clone();
                if !plan.used.contains(&slot_index) {
                    self.release_ending(candidate, &mut slot, now);
                }
                let found = self.victims(candidate, classes, slot, &required, &plan.victims, now);
                let Some((cost, victims)) = found else {
                    continue;
                };
                if best.as_ref().is_none_or(|b| cost < b.0) {
                    best = Some((cost, slot_index, victims));
                }
            }
            let Some(((repeats, cost), slot_index, victims)) = best else {
                if step.gang {
                    return None;
                }
                break;
            };
            plan.cost = plan.cost.saturating_add(cost);
            plan.repeats += repeats;
            self.release_victims(&mut plan, victims);
            reserve_freeing(&mut plan.slots[slot_index], &required);
            plan.used.push(slot_index);
            placed.push((*index, slot_index));
        }
        (!placed.is_empty()).then_some(plan)
    }

    /// Returns the cheapest runs on a worker whose end frees the capacity for a task,
    /// and their cost, after the number of runs among them whose job was preempted before.
    ///
    /// Skips the runs in `chosen`, which the plan stops already. Long-running tasks are stopped
    /// only for a guarantee, and not where their step limits disruptions.
    fn victims(
        &self,
        candidate: &Candidate,
        classes: &HashMap<SmolStr, u32>,
        slot: Slot,
        required: &Resources,
        chosen: &BTreeSet<RunKey>,
        now: Duration,
    ) -> Option<((u64, u64), BTreeSet<RunKey>)> {
        let sidecar = slot.sidecar.clone();
        let mut slot_after = slot;
        let mut victims = BTreeSet::new();
        if slot_after.will_cover(required) {
            return Some(((0, 0), victims));
        }
        let ending = self.ending_runs(candidate, &slot_after, now);
        let mut options = Vec::new();
        for (id, key, phase) in self.runs_on(&sidecar, |_| true) {
            let run = (id.clone(), key);
            let lower = classes.get(&id).is_none_or(|c| *c > candidate.class);
            let active = matches!(phase, Phase::Live | Phase::Ordered | Phase::Planned);
            let is_protected = self.jobs.get(&id).is_none_or(|e| {
                let step = e.step(key);
                let for_guarantee = candidate.class == GUARANTEED;
                step.long_running && (!for_guarantee || step.max_disruptions.is_some())
            });
            let is_ending = ending.iter().any(|(ending, _)| *ending == run);
            if chosen.contains(&run) || !lower || !active || is_protected || is_ending {
                continue;
            }
            let (cost, members) = self.cost_of(&id, key, now);
            let freed = required_resources(self.jobs[&id].step(key));
            let rank = self.victim_rank(&id, key, cost, &freed);
            options.push((rank, cost, freed, members));
        }
        options.sort_by_key(|o| o.0);
        let (mut total, mut repeats): (u64, u64) = (0, 0);
        for (rank, cost, freed, members) in options {
            if slot_after.will_cover(required) {
                break;
            }
            if members.is_subset(&victims) {
                continue;
            }
            slot_after.release(&freed);
            total = total.saturating_add(cost);
            repeats += u64::from(rank.is_repeat);
            victims.extend(members);
        }
        let covers = slot_after.will_cover(required);
        covers.then_some(((repeats, total), victims))
    }

    /// Returns the core-seconds that a stop discards, and all runs that it ends: of a
    /// gang, every member.
    fn cost_of(&self, id: &SmolStr, key: TaskKey, now: Duration) -> (u64, BTreeSet<RunKey>) {
        let entry = &self.jobs[id];
        let step = entry.step(key);
        let same = |k: &TaskKey| *k == key || (step.gang && (k.0, k.1) == (key.0, key.1));
        let members: Vec<TaskKey> = entry.runs.keys().copied().filter(same).collect();
        let gpu_weight = step.gpus.saturating_mul(CORES_PER_GPU);
        let weight = gpu_weight.saturating_add(step.cpu / 1_000);
        let discarded = |k: &TaskKey| {
            let age = now.saturating_sub(entry.runs[k].planned_at);
            let age = if step.checkpoints {
                age.min(MAX_CHECKPOINT_LOSS)
            } else {
                age
            };
            1 + weight.saturating_mul(age.as_millis() as u64) / 1_000
        };
        let cost = members.iter().map(discarded).fold(0, u64::saturating_add);
        (cost, members.into_iter().map(|k| (id.clone(), k)).collect())
    }

    /// Adds victims to a plan, and their resources to those that become free.
    fn release_victims(&self, plan: &mut Preemption, victims: BTreeSet<RunKey>) {
        for (id, key) in victims {
            let Some(entry) = self.jobs.get(&id) else {
                continue;
            };
            let run = &entry.runs[&key];
            let slot = plan.slots.iter_mut().find(|s| s.sidecar == run.sidecar);
            if let Some(slot) = slot.filter(|_| !plan.victims.contains(&(id.clone(), key))) {
                slot.release(&required_resources(entry.step(key)));
            }
            plan.victims.insert((id, key));
        }
    }
}

/// Takes resources from those that are free or become free.
///
/// What is left counts as becoming free, so that no task starts there in this plan.
fn reserve_freeing(slot: &mut Slot, required: &Resources) {
    let mut remaining = slot.free;
    remaining.add(&slot.freeing);
    remaining.subtract(required);
    slot.freeing = remaining;
    slot.free = Resources::default();
}
