//! Evacuated failure domains: which workers nothing may start on, and until when a start that was
//! ordered may still be carried out.
//!
//! From the bound after an operator's request until its cancellation, nothing starts in the domain.
//! The placer knows the requests that were stored when its newest confirmed reading was sent. A
//! start is therefore planned and sent only while that reading is younger than the bound, less the
//! time that the order can be in transit, and it names the latest time at which it may be carried
//! out, which lies within the bound after that reading.

use super::Decision;
use super::Effect;
use super::Ledger;
use super::Phase;
use super::TaskKey;
use super::Worker;
use super::fit::CONTACT_TIMEOUT;
use crate::worker::Order;
use crate::worker::Resources;
use crate::worker::Start;
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

/// The time that a start order can be in transit from the placer to the sidecar: the placer sends
/// it twice and waits 1,200 ms for each answer.
const ORDER_TRANSIT: Duration = Duration::from_millis(2_400);
/// The time from the sidecar's check of the latest start time until the worker has carried out the
/// start; the sidecar waits 500 ms for the worker's answer.
const HANDOVER_TIME: Duration = Duration::from_millis(500);
/// The largest share of the bound that each of these takes, as a divisor. With a bound under 5 s
/// the placer would otherwise start nothing, or hardly ever.
const MAX_TRANSIT_DIVISOR: u32 = 2;
const MAX_HANDOVER_DIVISOR: u32 = 10;
/// How long after a takeover no lack of capacity is reported, as workers have yet to answer.
const REPORT_DELAY: Duration = Duration::from_secs(5);
/// The time between two computations of what is reported, which look at every worker.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The evacuated failure domains, and what was logged about them.
#[derive(Debug, Default)]
pub(super) struct Evacuation {
    domains: Rc<BTreeSet<SmolStr>>,
    /// When the call was sent that last confirmed them; none before the first one.
    confirmed_at: Option<Duration>,
    /// Whether the log says that nothing starts, as the knowledge is too old.
    is_paused: bool,
    /// When it was last computed whether capacity lacks.
    reported_at: Option<Duration>,
    /// Whether the log says that all domains are evacuated.
    is_total: bool,
    /// The guaranteed accelerators that the other domains lack.
    shortfall: u64,
}

impl Ledger {
    /// Replaces the set of evacuated failure domains. `confirmed_at` is when the newest call to
    /// the store was sent that confirmed it. Without a bound the set has no effect.
    pub fn set_evacuated(&mut self, domains: Rc<BTreeSet<SmolStr>>, confirmed_at: Duration) {
        if self.bounds.evacuation.is_none() {
            return;
        }
        let known = self.evacuation.confirmed_at;
        self.evacuation.confirmed_at = known.max(Some(confirmed_at));
        let former = std::mem::replace(&mut self.evacuation.domains, domains);
        if former == self.evacuation.domains {
            return;
        }
        let domains = self.evacuation.domains.clone();
        for domain in domains.difference(&former) {
            let detail = self.describe_domain(domain);
            self.note(Decision::EvacuationBegan, domain, "", detail);
        }
        for domain in former.difference(&domains) {
            let detail = self.describe_domain(domain);
            self.note(Decision::EvacuationEnded, domain, "", detail);
        }
    }

    /// Returns the failure domain of a worker; none before it has answered.
    pub fn domain(&self, sidecar: &str) -> Option<&SmolStr> {
        let worker = self.workers.get(sidecar)?;
        worker.announced.as_ref().map(|a| &a.domain)
    }

    /// Returns whether the evacuated domains are known well enough for starts to be planned and
    /// sent.
    pub(super) fn knows_evacuations(&self, now: Duration) -> bool {
        let Some(bound) = self.bounds.evacuation else {
            return true;
        };
        let in_transit = order_transit(bound) + handover_time(bound);
        let confirmed_at = self.evacuation.confirmed_at;
        confirmed_at.is_some_and(|at| now < at + bound.saturating_sub(in_transit))
    }

    /// Returns whether a worker is in an evacuated domain. A worker whose domain is not known may
    /// be in any of them.
    pub(super) fn is_evacuated(&self, worker: &Worker) -> bool {
        let domains = &self.evacuation.domains;
        let announced = worker.announced.as_ref();
        let of_any = |domain: &SmolStr| domain.is_empty() || domains.contains(domain.as_str());
        !domains.is_empty() && announced.is_some_and(|a| of_any(&a.domain))
    }

    /// Returns whether a start may be sent to a worker now.
    pub(super) fn may_start(&self, sidecar: &str, now: Duration) -> bool {
        let worker = self.workers.get(sidecar);
        self.knows_evacuations(now) && worker.is_none_or(|w| !self.is_evacuated(w))
    }

    /// Returns the latest time at which a start that is sent now may be carried out, by the
    /// worker's clock, in milliseconds; none without a bound.
    ///
    /// The worker's clock is taken to be slow, so that the time comes too early rather than too
    /// late.
    pub(super) fn latest_start(&self, sidecar: &str, now: Duration) -> Option<u64> {
        let bound = self.bounds.evacuation?;
        let confirmed_at = self.evacuation.confirmed_at?;
        let (clock, read_at) = self.workers.get(sidecar)?.clock?;
        let known_end = confirmed_at + bound.saturating_sub(handover_time(bound));
        let end = known_end.min(now + order_transit(bound)).max(now);
        let passed = (end - read_at) * (100 - super::CLOCK_DRIFT_PERCENT) / 100;
        Some(clock.saturating_add(passed.as_millis() as u64))
    }

    /// Gives up planned starts in domains that were evacuated since the plan, and all if the
    /// domains are not known well enough.
    pub(super) fn withdraw_evacuated(&mut self, due: &[(SmolStr, TaskKey)], now: Duration) {
        if self.bounds.evacuation.is_none() {
            return;
        }
        for (id, key) in due {
            let run = self.jobs.get(id).and_then(|e| e.runs.get(key));
            let Some(run) = run.filter(|r| r.phase == Phase::Planned) else {
                continue;
            };
            let sidecar = run.sidecar.clone();
            if !self.may_start(&sidecar, now) {
                self.mark_lost(id, *key, "its domain is or may be evacuated", now);
            }
        }
    }

    /// Checks the starts among effects again immediately before they are carried out, and returns
    /// the effects without those that may no longer be sent. These starts are given up, as they
    /// never reached a worker; of a gang, all members.
    pub fn recheck_starts<C>(&mut self, effects: C, now: Duration) -> C
    where
        C: FromIterator<Effect> + IntoIterator<Item = Effect>,
    {
        if self.bounds.evacuation.is_none() {
            return effects;
        }
        let effects: Vec<Effect> = effects.into_iter().collect();
        let mut barred: HashSet<(SmolStr, TaskKey)> = HashSet::new();
        let mut barred_gangs: HashSet<(SmolStr, u32, u32)> = HashSet::new();
        for (sidecar, start) in effects.iter().filter_map(start_of) {
            if self.may_start(sidecar, now) {
                continue;
            }
            let (id, key) = run_of(start);
            if self.is_gang(&id, key) {
                barred_gangs.insert((id.clone(), key.0, key.1));
            }
            barred.insert((id, key));
        }
        if barred.is_empty() {
            return effects.into_iter().collect();
        }
        for (_, start) in effects.iter().filter_map(start_of) {
            let (id, key) = run_of(start);
            if barred_gangs.contains(&(id.clone(), key.0, key.1)) {
                barred.insert((id, key));
            }
        }
        let is_kept = |effect: &Effect| {
            start_of(effect).is_none_or(|(_, start)| !barred.contains(&run_of(start)))
        };
        let (kept, dropped): (Vec<Effect>, Vec<Effect>) = effects.into_iter().partition(is_kept);
        self.give_up_unsent(&dropped, now);
        kept.into_iter().collect()
    }

    /// Gives up the runs whose start orders were not sent.
    fn give_up_unsent(&mut self, dropped: &[Effect], now: Duration) {
        let mut unsent = Vec::new();
        for (sidecar, start) in dropped.iter().filter_map(start_of) {
            let (id, key) = run_of(start);
            let run = self.jobs.get_mut(&id).and_then(|e| e.runs.get_mut(&key));
            let is_open = |r: &&mut super::Run| {
                r.number == start.run && r.sidecar == *sidecar && r.phase == Phase::Ordered
            };
            // A run that is being stopped meanwhile is settled by the answer to the stop.
            if let Some(run) = run.filter(is_open) {
                run.set_phase(Phase::Planned, now);
                run.started_at = None;
                unsent.push((id, key));
            }
        }
        for (id, key) in unsent {
            self.mark_lost(&id, key, "its domain is or may be evacuated", now);
        }
    }

    fn is_gang(&self, id: &str, key: TaskKey) -> bool {
        self.jobs.get(id).is_some_and(|e| e.step(key).gang)
    }

    /// Logs when starts pause as the evacuated domains are not known well enough, when all domains
    /// are evacuated, and when the others cannot hold all guarantees.
    pub(super) fn report_evacuation(&mut self, now: Duration) {
        if self.bounds.evacuation.is_none() {
            return;
        }
        let is_paused = !self.knows_evacuations(now);
        if is_paused != self.evacuation.is_paused {
            self.evacuation.is_paused = is_paused;
            let detail = format!("confirmed={:?} now={now:?}", self.evacuation.confirmed_at);
            let decision = if is_paused {
                Decision::StartsPaused
            } else {
                Decision::StartsResumed
            };
            self.note(decision, "placer", "", detail);
        }
        let reported_at = self.evacuation.reported_at;
        if now < self.took_over + REPORT_DELAY
            || reported_at.is_some_and(|at| now < at + REPORT_INTERVAL)
        {
            return;
        }
        self.evacuation.reported_at = Some(now);
        let (is_total, shortfall) = if self.evacuation.domains.is_empty() {
            (false, 0)
        } else {
            (self.is_all_evacuated(), self.guarantee_shortfall(now))
        };
        let was_total = std::mem::replace(&mut self.evacuation.is_total, is_total);
        if is_total && !was_total {
            let detail = format!("domains={:?} nothing starts", self.evacuation.domains);
            self.note(Decision::AllEvacuated, "placer", "", detail);
        }
        let before = std::mem::replace(&mut self.evacuation.shortfall, shortfall);
        if (before > 0) != (shortfall > 0) {
            let detail = format!(
                "accelerators={shortfall} before={before} domains={:?}",
                self.evacuation.domains
            );
            self.note(Decision::GuaranteeShort, "placer", "", detail);
        }
    }

    /// Returns the number of evacuated domains, and the guaranteed accelerators that the other
    /// domains lack.
    pub fn evacuation_figures(&self) -> (u64, u64) {
        let evacuation = &self.evacuation;
        (evacuation.domains.len() as u64, evacuation.shortfall)
    }

    fn is_all_evacuated(&self) -> bool {
        let mut heard = self.workers.values().filter(|w| w.announced.is_some());
        let mut any = false;
        let all = heard.all(|w| {
            any = true;
            self.is_evacuated(w)
        });
        any && all
    }

    fn guarantee_shortfall(&self, now: Duration) -> u64 {
        let mut remaining = Resources::default();
        for worker in self.workers.values() {
            let in_contact = worker
                .last_contact
                .is_some_and(|at| now < at + CONTACT_TIMEOUT);
            let is_ending = worker.announced.as_ref().is_none_or(|a| a.is_ending());
            if in_contact && !is_ending && !self.is_evacuated(worker) {
                remaining.add(&worker.capacity());
            }
        }
        let guarantees = self.manifest.accounts.iter().map(|a| a.guaranteed);
        let guaranteed = guarantees.fold(0, u64::saturating_add);
        guaranteed.saturating_sub(remaining.gpus)
    }

    /// Describes what is in a domain: its workers, and the runs on them.
    fn describe_domain(&self, domain: &SmolStr) -> String {
        let (mut workers, mut runs) = (0, 0);
        for (sidecar, worker) in &self.workers {
            if worker
                .announced
                .as_ref()
                .is_some_and(|a| a.domain == *domain)
            {
                workers += 1;
                runs += self.iter_runs_on(sidecar).count();
            }
        }
        format!("workers={workers} runs={runs}")
    }
}

/// Returns the time that a start order can be in transit.
fn order_transit(bound: Duration) -> Duration {
    ORDER_TRANSIT.min(bound / MAX_TRANSIT_DIVISOR)
}

/// Returns the time from the sidecar's check until the worker has carried out a start.
fn handover_time(bound: Duration) -> Duration {
    HANDOVER_TIME.min(bound / MAX_HANDOVER_DIVISOR)
}

/// Returns the sidecar and the start if an effect sends one.
fn start_of(effect: &Effect) -> Option<(&SmolStr, &Start)> {
    match effect {
        Effect::Send {
            sidecar,
            order: Order::Start(start),
            ..
        } => Some((sidecar, start)),
        _ => None,
    }
}

/// Returns the job and the task of a start.
fn run_of(start: &Start) -> (SmolStr, TaskKey) {
    let task = &start.task;
    let key = (task.occurrence, task.step, task.index);
    (task.job.clone(), key)
}
