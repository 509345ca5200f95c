//! Planning: which tasks start next, on which workers, and which runs they preempt.

use super::Decision;
use super::Entry;
use super::Ledger;
use super::Phase;
use super::Run;
use super::TaskKey;
use super::fit::Area;
use super::fit::Candidate;
use super::fit::Demand;
use super::fit::Slot;
use super::learned::Expected;
use super::policy::ApprovalState;
use super::task_id;
use crate::record::Placement;
use crate::record::Record;
use crate::worker::Order;
use crate::worker::Start;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

/// The longest time that a step waits for workers on its data's rack, or for a rack
/// that can run its whole gang.
const MAX_LOCALITY_WAIT: Duration = Duration::from_secs(8);
/// How long a step waits before workers are reserved for it.
pub(super) const RESERVATION_DELAY: Duration = Duration::from_millis(1_500);
/// The most steps that have workers reserved at the same time.
const MAX_RESERVATIONS: usize = 2;
/// How long workers of a service stay reserved while less than half of it is in use. Other
/// tasks, which would fit, wait no longer than that.
const MAX_IDLE_RESERVATION: Duration = Duration::from_secs(2);
/// How long no worker of such a service is reserved after that.
const RESERVATION_PAUSE: Duration = Duration::from_secs(2);

/// The most due occurrences of one job with tasks to start that a plan considers; the others
/// wait until tasks of these have started.
pub(super) const MAX_WAITING_OCCURRENCES: usize = 100;

/// The share of its declared run time that a task takes at least, in percent; declared
/// run times are off by half in either direction.
const MIN_RUNTIME_PERCENT: u64 = 70;

/// The most core-seconds of work that preemption may discard for a job of priority 0
/// beyond its guarantee.
const MAX_URGENT_COST: u64 = 500;

/// The class of jobs within the guarantee of their account.
pub(super) const GUARANTEED: u32 = 0;
/// The class of jobs with long-running tasks, which are restarted at once.
const LONG_RUNNING: u32 = 1;
/// The class of jobs of priority 0 beyond their guarantee.
pub(super) const BEYOND_GUARANTEE: u32 = 2;

impl Ledger {
    /// Decides which runs start and stop.
    ///
    /// `now` is the process's monotonic time, `wall` the time of day in milliseconds
    /// since the Unix epoch.
    pub fn plan(&mut self, now: Duration, wall: u64) {
        debug_assert!(
            self.run_index_is_consistent(),
            "the run index differs from the runs of all jobs"
        );
        self.expire_runs(now);
        self.stop_stalled(now);
        self.save_checkpoints(now);
        self.watch_run_times(now);
        self.planned_at = now;
        self.report_evacuation(now);
        let classes = self.classes();
        let mut slots = self.slots(now);
        let names = self.longest_names();
        let mut starts_left = self.starts_left(now);
        self.measure_records(names);
        let mut reservations = 0;
        let mut unmet: Vec<Demand> = Vec::new();
        let mut leftover = Vec::new();
        for candidate in self.candidates(&classes, &slots, now, wall) {
            if self.give_up_after_tries(&candidate, now) {
                continue;
            }
            let Some(candidate) = self.limit_starts(candidate, names, starts_left) else {
                continue;
            };
            let areas = self.areas(&candidate, &slots, now);
            let demand = self.unconstrained_demand(&candidate);
            let known_unfit = |d: &Demand| unmet.iter().any(|u| d.covers(u));
            let may_backfill = slots.iter().any(|s| candidate.ends_before(s.needed_in));
            let candidate = if demand.as_ref().is_some_and(known_unfit) && !may_backfill {
                candidate
            } else {
                let wanted = candidate.indices.len();
                let unplaced = self.try_start(candidate, &mut slots, &areas, now);
                starts_left = starts_left.saturating_sub(wanted - unplaced_tasks(&unplaced));
                let Some(unplaced) = unplaced else {
                    continue;
                };
                if self.awaits_answers(&unplaced, &slots, &areas, now) {
                    leftover.push((unplaced, areas));
                    continue;
                }
                unmet.extend(demand);
                unplaced
            };
            self.want_approvals(&candidate, &slots, &areas, now);
            let budget = match candidate.class {
                GUARANTEED => Some(u64::MAX),
                BEYOND_GUARANTEE if !candidate.late => Some(MAX_URGENT_COST),
                _ => None,
            };
            if let Some(budget) = budget
                && self.preempt(&candidate, &classes, &mut slots, &areas, budget, now)
            {
                continue;
            }
            let waits = candidate.waited > RESERVATION_DELAY || candidate.is_trial();
            if reservations < MAX_RESERVATIONS && waits {
                reservations += usize::from(self.reserve(&candidate, &mut slots, &areas, now));
            }
            if candidate.is_trial() {
                leftover.push((candidate, areas));
            }
        }
        for (candidate, areas) in leftover {
            let candidate = Candidate {
                spare: true,
                ..candidate
            };
            let Some(candidate) = self.limit_starts(candidate, names, starts_left) else {
                continue;
            };
            let wanted = candidate.indices.len();
            let unplaced = self.try_start(candidate, &mut slots, &areas, now);
            starts_left = starts_left.saturating_sub(wanted - unplaced_tasks(&unplaced));
        }
        self.send_requests(now);
    }

    /// Returns the class of each job that is not over; lower classes are placed first.
    ///
    /// The guarantee of an account goes to its oldest jobs of priority 0.
    fn classes(&self) -> HashMap<SmolStr, u32> {
        let mut open: Vec<_> = self.jobs.values().filter(|e| !e.record.is_over()).collect();
        open.sort_by(|a, b| {
            let sort_key = |e: &Entry| (e.job().accepted_at, e.job().id.clone());
            sort_key(a).cmp(&sort_key(b))
        });
        let mut used: HashMap<SmolStr, u64> = HashMap::new();
        let mut classes = HashMap::new();
        for entry in open {
            let job = entry.job();
            let mut class = BEYOND_GUARANTEE.saturating_add(job.priority);
            if job.priority == 0 {
                let sum = used.entry(job.account.clone()).or_default();
                *sum = sum.saturating_add(job.accelerators());
                if *sum <= self.manifest.guaranteed(&job.account) {
                    class = GUARANTEED;
                }
            }
            if class != GUARANTEED && job.steps.iter().any(|s| s.long_running) {
                class = LONG_RUNNING;
            }
            classes.insert(job.id.clone(), class);
        }
        classes
    }

    /// Returns the tasks that are ready to start, by step, the most urgent first.
    fn candidates(
        &mut self,
        classes: &HashMap<SmolStr, u32>,
        slots: &[Slot],
        now: Duration,
        wall: u64,
    ) -> Vec<Candidate> {
        let mut found = Vec::new();
        for (id, entry) in &mut self.jobs {
            let Some(class) = classes.get(id) else {
                continue;
            };
            let Entry {
                record,
                runs,
                ready_since,
                ..
            } = entry;
            let job = &record.job;
            let found_in_job = found.len();
            let mut waiting = 0;
            let mut next = 0;
            while waiting < MAX_WAITING_OCCURRENCES {
                let occurrence = record.compacted.next_missing(next);
                let due = job.schedule.is_none() || wall >= job.due(occurrence);
                if occurrence >= job.occurrences() || !due {
                    break;
                }
                next = occurrence + 1;
                let found_before = found.len();
                for (step_index, step) in job.steps.iter().enumerate() {
                    let step_index = step_index as u32;
                    if step.after.iter().any(|a| !record.step_done(occurrence, *a)) {
                        continue;
                    }
                    let indices = idle_tasks(record, runs, occurrence, step_index, step.count);
                    let complete = !step.gang || indices.len() == step.count as usize;
                    if indices.is_empty() || !complete {
                        continue;
                    }
                    let since = *ready_since.entry((occurrence, step_index)).or_insert(now);
                    let deadline = job.deadline(occurrence);
                    let path = job.critical_path(step_index as usize);
                    let remaining = path.saturating_mul(MIN_RUNTIME_PERCENT) / 100;
                    let late = wall.saturating_add(remaining) > deadline;
                    found.push(Candidate {
                        class: *class,
                        late,
                        deadline,
                        accepted_at: job.accepted_at,
                        job: id.clone(),
                        occurrence,
                        step: step_index,
                        indices,
                        suspects: Vec::new(),
                        impatient: Vec::new(),
                        beside_trials: Vec::new(),
                        exclusion: Duration::ZERO,
                        spare: false,
                        waited: now.saturating_sub(since),
                        expected: Expected::by_deadline(late, deadline),
                    });
                }
                waiting += usize::from(found.len() > found_before);
            }
            let service = &entry.record.job.service;
            let has_trials = slots.iter().any(|s| s.is_on_trial(service));
            if found.len() == found_in_job || (entry.crash_seen.is_empty() && !has_trials) {
                continue;
            }
            let service_is_idle = Self::is_idle(service, slots);
            for candidate in found.split_off(found_in_job) {
                let mut parts = match entry.crash_seen.is_empty() {
                    true => vec![candidate],
                    false => entry.split_suspects(candidate, service_is_idle, now),
                };
                if has_trials {
                    for part in &mut parts {
                        entry.allow_beside_trials(part, service_is_idle, now);
                    }
                }
                found.extend(parts);
            }
        }
        self.expect(&mut found, now, wall);
        found.sort_by(|a, b| {
            let urgency = |c: &Candidate| (c.order(), c.expected.turn, c.accepted_at);
            let name = |c: &Candidate| (c.job.clone(), c.occurrence, c.step);
            urgency(a)
                .cmp(&urgency(b))
                .then_with(|| name(a).cmp(&name(b)))
        });
        found
    }

    /// Returns the areas to try for a candidate, the best first.
    ///
    /// Racks come before [`Area::Any`]. Until the candidate has waited for its declared run
    /// time, at most `MAX_LOCALITY_WAIT`, only racks are tried if a suitable one exists.
    fn areas(&self, candidate: &Candidate, slots: &[Slot], now: Duration) -> Vec<Area> {
        let entry = &self.jobs[&candidate.job];
        let step = &entry.record.job.steps[candidate.step as usize];
        let run_time = self.placement_time(candidate, step);
        let max_wait = run_time.min(MAX_LOCALITY_WAIT);
        let may_wait = candidate.waited < max_wait;
        let on_one_rack = step.gang && step.same_rack && step.count > 1;
        if !on_one_rack && step.rack.is_empty() {
            return vec![Area::Any];
        }
        let racks = self.racks(candidate, slots, now);
        let mut areas = Vec::new();
        if on_one_rack {
            let fits = |rack: &SmolStr| {
                let mut empty: Vec<Slot> = slots.to_vec();
                for slot in &mut empty {
                    slot.trial_since = None;
                    slot.empty();
                    slot.reserved = false;
                }
                let area = Area::Rack(rack.clone());
                let least = ApprovalState::Unknown;
                !self
                    .fit(candidate, &mut empty, &area, least, now)
                    .is_empty()
            };
            let mut sufficient: Vec<SmolStr> = racks.iter().filter(|r| fits(r)).cloned().collect();
            if candidate.is_urgent() {
                sufficient.sort_by_key(|r| self.rack_slowness(r));
            }
            let rack_suffices = !sufficient.is_empty();
            areas.extend(sufficient.into_iter().map(Area::Rack));
            if rack_suffices && may_wait {
                return areas;
            }
        } else if racks.contains(&step.rack) {
            areas.push(Area::Rack(step.rack.clone()));
            if may_wait {
                return areas;
            }
        }
        areas.push(Area::Any);
        areas
    }

    /// Plans the start of the tasks that fit, and returns those that do not, if any.
    fn try_start(
        &mut self,
        candidate: Candidate,
        slots: &mut [Slot],
        areas: &[Area],
        now: Duration,
    ) -> Option<Candidate> {
        let mut unplaced = candidate;
        for area in areas {
            let placed = self.fit(&unplaced, slots, area, ApprovalState::Valid, now);
            if placed.is_empty() {
                continue;
            }
            let placed: Vec<(u32, Placement)> = placed
                .into_iter()
                .map(|(index, slot_index)| {
                    let placement = Placement {
                        sidecar: slots[slot_index].sidecar.clone(),
                        boot: slots[slot_index].boot.clone(),
                    };
                    (index, placement)
                })
                .collect();
            let started: HashSet<u32> = placed.iter().map(|(index, _)| *index).collect();
            unplaced.indices.retain(|i| !started.contains(i));
            self.plan_starts(&unplaced, placed, now);
            if unplaced.indices.is_empty() {
                return None;
            }
        }
        Some(unplaced)
    }

    /// Writes the intent to start tasks into the record of their job.
    ///
    /// The members of a gang share one run number.
    fn plan_starts(&mut self, candidate: &Candidate, placed: Vec<(u32, Placement)>, now: Duration) {
        let id = &candidate.job;
        let (occurrence, step) = (candidate.occurrence, candidate.step);
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let gang = entry.step((occurrence, step, 0)).gang;
        let newest = |index: u32| {
            entry
                .record
                .progress(occurrence, step, index)
                .map_or(0, |p| p.run)
        };
        let shared = placed.iter().map(|(i, _)| newest(*i)).max().unwrap_or(0) + 1;
        let numbers: Vec<u64> = placed
            .iter()
            .map(|(i, _)| if gang { shared } else { newest(*i) + 1 })
            .collect();
        let longest = |p: &Placement| p.sidecar.len() + p.boot.id.len();
        let names = placed.iter().map(|(_, p)| longest(p)).max().unwrap_or(0);
        if let Some(size) = &mut entry.size {
            size.add_runs(&entry.record.job, (occurrence, step), placed.len(), names);
        }
        let account = entry.record.job.account.clone();
        let mut detail = format!("class={} waited={:?}", candidate.class, candidate.waited);
        detail += &candidate.expected.detail();
        let mut planned = Vec::new();
        for ((index, placement), number) in placed.into_iter().zip(numbers) {
            let key = (occurrence, step, index);
            detail += &format!(" {key:?}#{number}@{}", placement.sidecar);
            if candidate.is_suspect(index) {
                detail += " (on trial)";
            }
            let progress = entry.record.progress_mut(occurrence, step, index);
            progress.run = number;
            progress.placement = Some(placement.clone());
            planned.push((key, number, placement));
        }
        for (key, ..) in &planned {
            self.count_try(id, *key);
        }
        let change = self.mark_changed(id);
        for (key, number, placement) in planned {
            let run = Run {
                on_trial: candidate.is_suspect(key.2),
                ..Run::planned(number, &placement, now)
            };
            self.add_run(id, key, run);
            self.pending_starts.push((id.clone(), change, key, number));
        }
        self.note(Decision::Placed, id, &account, detail);
    }

    /// Sends the start order of a run whose intent is stored.
    pub(super) fn send_start(&mut self, id: &SmolStr, key: TaskKey, now: Duration) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let gang = entry.step(key).gang;
        let index = if gang { 0 } else { key.2 };
        let saved = entry.record.progress(key.0, key.1, index);
        let checkpoint = saved.map(|p| p.checkpoint.clone()).unwrap_or_default();
        let spec = entry.record.job.spec.clone();
        let Some(run) = entry.runs.get_mut(&key) else {
            return;
        };
        let (sidecar, boot, number) = (run.sidecar.clone(), run.boot.clone(), run.number);
        let latest = self.latest_start(&sidecar, now);
        let deadline = self.grant_lease(&sidecar, now);
        let approval = self.approval(id, key.0, key.1, &boot);
        let (Some(deadline), Some(approval)) = (deadline, approval) else {
            self.mark_lost(id, key, "no contact with the worker or no approval", now);
            return;
        };
        if let Some(run) = self.jobs.get_mut(id).and_then(|e| e.runs.get_mut(&key)) {
            run.set_phase(Phase::Ordered, now);
            run.started_at = Some(now);
            run.resumed = !checkpoint.is_empty();
        }
        let start = Start {
            task: task_id(id, key),
            run: number,
            spec,
            deadline,
            checkpoint,
            approval,
            latest,
        };
        let order = Order::Start(Box::new(start));
        self.effects.push(super::Effect::Send {
            sidecar,
            boot,
            order,
        });
    }

    /// Reserves workers on which a waiting step would fit once their runs have ended; returns
    /// whether there are any.
    ///
    /// A reserved worker is assigned no other task in this plan, so that capacity becomes free
    /// for the step as its runs end.
    fn reserve(
        &mut self,
        candidate: &Candidate,
        slots: &mut [Slot],
        areas: &[Area],
        now: Duration,
    ) -> bool {
        if self.pauses_reservations(&candidate.job, slots, now) {
            return false;
        }
        for area in areas {
            let mut empty: Vec<Slot> = slots.to_vec();
            for slot in &mut empty {
                slot.empty();
            }
            let placed = self.fit(candidate, &mut empty, area, ApprovalState::Expired, now);
            if placed.is_empty() {
                continue;
            }
            let needed_in = self.reservation_start(candidate, &placed, slots, now);
            for (_, slot_index) in placed {
                slots[slot_index].reserved = true;
                slots[slot_index].needed_in = needed_in;
                if candidate.is_trial() {
                    slots[slot_index].begin_trial(now);
                }
            }
            return true;
        }
        false
    }

    /// Returns whether no worker may be reserved now for a job, as its service is mostly idle and
    /// workers of it were reserved for `MAX_IDLE_RESERVATION`.
    fn pauses_reservations(&mut self, id: &str, slots: &[Slot], now: Duration) -> bool {
        let service = &self.jobs[id].record.job.service;
        if !Self::is_idle(service, slots) {
            return false;
        }
        let since = self.reserving_since.entry(service.clone()).or_insert(now);
        if now >= *since + MAX_IDLE_RESERVATION + RESERVATION_PAUSE {
            *since = now;
        }
        now >= *since + MAX_IDLE_RESERVATION
    }
}

/// Returns the number of tasks that found no worker.
fn unplaced_tasks(unplaced: &Option<Candidate>) -> usize {
    unplaced.as_ref().map_or(0, |u| u.indices.len())
}

/// Returns the tasks of a step that are neither done nor started.
fn idle_tasks(
    record: &Record,
    runs: &BTreeMap<TaskKey, Run>,
    occurrence: u32,
    step: u32,
    count: u32,
) -> Vec<u32> {
    let idle = |index: &u32| {
        let done = record
            .progress(occurrence, step, *index)
            .is_some_and(|p| p.done);
        !done && !runs.contains_key(&(occurrence, step, *index))
    };
    (0..count).filter(idle).collect()
}
