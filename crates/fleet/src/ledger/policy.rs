//! Approvals of workers by the policy of a queue.

use super::Effect;
use super::Entry;
use super::Ledger;
use super::fit::Area;
use super::fit::Candidate;
use super::fit::Slot;
use super::fit::below_worker_limit;
use super::fit::in_area;
use super::fit::suits;
use super::plan::GUARANTEED;
use super::plan::RESERVATION_DELAY;
use super::required_resources;
use crate::worker::Boot;
use hibiscusbarrow_coordination::call_window::CallWindow;
use smol_str::SmolStr;
use std::collections::HashMap;
use std::time::Duration;

/// The most workers that one request may name.
const MAX_WORKERS: usize = 100;
/// The most workers that a request names for a single task.
const MAX_WORKERS_PER_TASK: usize = 30;
/// How long a token must still be valid, so that a start order reaches the worker in time.
const ORDER_DELIVERY_MARGIN: Duration = Duration::from_millis(300);
/// How long an answer is awaited at least.
const MIN_TIMEOUT: Duration = Duration::from_secs(3);
/// A request without a result for this long after its timeout is taken for lost.
const RESULT_DELAY: Duration = Duration::from_secs(2);
/// How long the policy service may need for the requests that are open at the same time. It handles
/// those of one machine in turn, and an answer that has waited for others is less long valid.
const MAX_OPEN_TIME: Duration = Duration::from_millis(700);
/// The most requests that are open at the same time.
const MAX_OPEN_REQUESTS: usize = 8;
/// The time between a failed request and the next one; it doubles with each failure in a row.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// The largest number of these doublings.
const MAX_DOUBLINGS: u32 = 3;

/// A request to the policy service: which of these workers may run a step?
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApprovalRequest {
    /// The job.
    pub job: SmolStr,
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// The workers, in their present incarnations.
    pub workers: Vec<Boot>,
    /// How long to wait for the answer.
    pub timeout: Duration,
}

impl ApprovalRequest {
    fn is_for(&self, occurrence: u32, step: u32) -> bool {
        (self.occurrence, self.step) == (occurrence, step)
    }
}

/// What the policy service has said about one step.
#[derive(Clone, Debug, Default)]
pub(super) struct Approval {
    /// Its decision about each worker that was named. It never changes its decisions.
    decisions: HashMap<Boot, PolicyDecision>,
    /// When it may be asked again.
    next_request: Duration,
    /// How often it was asked.
    requests: u32,
}

#[derive(Clone, Debug)]
enum PolicyDecision {
    Denied,
    Approved {
        token: SmolStr,
        /// Until when a start with the token may be ordered.
        usable_until: Duration,
    },
}

/// What is known of whether a worker may run a step, from the worst to the best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum ApprovalState {
    /// The policy does not allow it.
    Denied,
    /// The policy was not asked.
    Unknown,
    /// The policy allows it, but the token has expired.
    Expired,
    /// The policy allows it, or there is none.
    Valid,
}

/// A request to the policy service that a step asks for.
#[derive(Clone, Debug)]
struct WantedRequest {
    open: OpenRequest,
    account: SmolStr,
    /// Whether the job is within the guarantee of its account.
    is_guaranteed: bool,
    /// How often the step was asked for before.
    requests: u32,
}

/// A request to the policy service that has no answer yet.
#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    request: ApprovalRequest,
    /// The time that the service needs for it, as the queue states.
    service_time: Duration,
    sent: Duration,
}

/// The requests to the policy service, and how many it can answer at present.
#[derive(Debug)]
pub(super) struct Requests {
    /// Those that steps ask for in the present plan.
    wanted: Vec<WantedRequest>,
    /// Those that have no answer yet.
    open: Vec<OpenRequest>,
    window: CallWindow,
    /// The number of requests in a row that failed.
    failures: u32,
    /// No request is sent before this time.
    paused_until: Duration,
    /// The number of requests sent, and what it was at the last one for each client account.
    sent: u64,
    last_turns: HashMap<SmolStr, u64>,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            wanted: Vec::new(),
            open: Vec::new(),
            window: CallWindow::new(1, 1..=MAX_OPEN_REQUESTS, MAX_OPEN_TIME),
            failures: 0,
            paused_until: Duration::ZERO,
            sent: 0,
            last_turns: HashMap::new(),
        }
    }
}

impl Requests {
    /// Returns whether no further request may be sent now, however short.
    fn is_full(&self, now: Duration) -> bool {
        now < self.paused_until || self.open.len() >= self.window.limit()
    }

    /// Returns whether a request may be sent beside the open ones.
    fn admits(&self, service_time: Duration, now: Duration) -> bool {
        let times = self.open.iter().map(|r| r.service_time);
        let open_time = times.fold(service_time, Duration::saturating_add);
        !self.is_full(now) && (self.open.is_empty() || open_time <= MAX_OPEN_TIME)
    }

    /// Removes and returns the request to send next: those for guarantees first, then those of the
    /// account whose last turn is the longest ago, then those of steps that were asked for least.
    fn take_next(&mut self) -> Option<WantedRequest> {
        let sort_key = |(index, wanted): &(usize, &WantedRequest)| {
            let last_turn = self.last_turns.get(&wanted.account).copied();
            (!wanted.is_guaranteed, last_turn, wanted.requests, *index)
        };
        let (index, _) = self.wanted.iter().enumerate().min_by_key(sort_key)?;
        Some(self.wanted.remove(index))
    }

    /// Adapts the number of open requests to an answer that took `time`; none if the request
    /// failed.
    fn adapt(&mut self, time: Option<Duration>, now: Duration) {
        if let Some(time) = time {
            self.window.record_answer(time);
            self.failures = 0;
            return;
        }
        self.window.record_failure();
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.paused_until = now + RETRY_DELAY * (1 << doublings);
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns how long to wait for the answer to a request.
    fn timeout(&self, service_time: Duration) -> Duration {
        let timeout = service_time.saturating_mul(2).max(MIN_TIMEOUT);
        if self.failures > 0 {
            timeout.saturating_mul(2)
        } else {
            timeout
        }
    }
}

impl Entry {
    /// Returns what is known of whether a worker may run a step.
    pub(super) fn approval_state(
        &self,
        occurrence: u32,
        step: u32,
        boot: &Boot,
        now: Duration,
    ) -> ApprovalState {
        if self.record.job.policy.is_none() {
            return ApprovalState::Valid;
        }
        let approval = self.approvals.get(&(occurrence, step));
        match approval.and_then(|a| a.decisions.get(boot)) {
            None => ApprovalState::Unknown,
            Some(PolicyDecision::Denied) => ApprovalState::Denied,
            Some(PolicyDecision::Approved { usable_until, .. }) if now < *usable_until => {
                ApprovalState::Valid
            }
            Some(PolicyDecision::Approved { .. }) => ApprovalState::Expired,
        }
    }

    /// Takes the token of a worker for a step as expired.
    pub(super) fn expire_token(&mut self, occurrence: u32, step: u32, boot: &Boot) {
        let approval = self.approvals.get_mut(&(occurrence, step));
        let decision = approval.and_then(|a| a.decisions.get_mut(boot));
        if let Some(PolicyDecision::Approved { usable_until, .. }) = decision {
            *usable_until = Duration::ZERO;
        }
    }
}

impl Ledger {
    /// Asks for the approvals that the tasks of a candidate lack to start now, and for those that
    /// it lacks to wait for workers.
    pub(super) fn want_approvals(
        &mut self,
        candidate: &Candidate,
        slots: &[Slot],
        areas: &[Area],
        now: Duration,
    ) {
        let id = &candidate.job;
        let (occurrence, step) = (candidate.occurrence, candidate.step);
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let Some(policy) = entry.record.job.policy else {
            return;
        };
        let approval = entry.approvals.get(&(occurrence, step));
        let is_open = |r: &OpenRequest| r.request.job == *id && r.request.is_for(occurrence, step);
        if self.requests.is_full(now)
            || approval.is_some_and(|a| now < a.next_request)
            || self.requests.open.iter().any(is_open)
        {
            return;
        }
        let workers = self.workers_to_name(entry, candidate, slots, areas, now);
        if workers.is_empty() {
            return;
        }
        let workers_ms = policy.per_worker_ms.saturating_mul(workers.len() as u64);
        let service_time = Duration::from_millis(policy.decision_ms.saturating_add(workers_ms));
        let request = ApprovalRequest {
            job: id.clone(),
            occurrence,
            step,
            workers,
            timeout: self.requests.timeout(service_time),
        };
        let wanted = WantedRequest {
            open: OpenRequest {
                request,
                service_time,
                sent: now,
            },
            account: entry.record.job.account.clone(),
            is_guaranteed: candidate.class == GUARANTEED,
            requests: approval.map_or(0, |a| a.requests),
        };
        self.requests.wanted.push(wanted);
    }

    /// Returns the workers that a request for a candidate names; none if it needs no request now.
    ///
    /// Those are workers with room, the ones with expired tokens first. Once the step may preempt
    /// runs or has workers reserved, it has to know others that may run it as well.
    fn workers_to_name(
        &self,
        entry: &Entry,
        candidate: &Candidate,
        slots: &[Slot],
        areas: &[Area],
        now: Duration,
    ) -> Vec<Boot> {
        let step = &entry.record.job.steps[candidate.step as usize];
        let required = required_resources(step);
        let has_room = !step.gang || {
            let mut slots = slots.to_vec();
            let mut fits = |area| {
                let placed = self.fit(candidate, &mut slots, area, ApprovalState::Unknown, now);
                !placed.is_empty()
            };
            areas.iter().any(&mut fits)
        };
        let may_wait = candidate.waited > RESERVATION_DELAY || candidate.is_urgent();
        let rank = |(index, slot): (usize, &Slot)| {
            let is_suitable = suits(entry, candidate, slot)
                && slot.total.covers(&required)
                && areas.iter().any(|a| in_area(slot, a));
            let fits_now = has_room
                && !slot.reserved
                && slot.free.covers(&required)
                && candidate
                    .indices
                    .iter()
                    .any(|i| slot.admits(candidate, *i, now))
                && below_worker_limit(entry, candidate, step, slot, index, &[]);
            let state = entry.approval_state(candidate.occurrence, candidate.step, &slot.boot, now);
            let rank = match state {
                _ if !is_suitable => None,
                ApprovalState::Denied => None,
                ApprovalState::Expired => fits_now.then_some(0),
                ApprovalState::Unknown if fits_now => Some(1),
                // The tokens of a gang have to be valid at the same time.
                ApprovalState::Valid => (fits_now && step.gang).then_some(2),
                ApprovalState::Unknown => may_wait.then_some(3),
            };
            rank.map(|rank| (rank, slot.boot.clone()))
        };
        let mut ranked: Vec<(u32, Boot)> = slots.iter().enumerate().filter_map(rank).collect();
        if ranked.iter().all(|(rank, _)| *rank == 2) {
            return Vec::new();
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        let two_per_task = candidate.indices.len().saturating_mul(2);
        ranked.truncate(two_per_task.clamp(MAX_WORKERS_PER_TASK, MAX_WORKERS));
        ranked.into_iter().map(|(_, boot)| boot).collect()
    }

    /// Sends the requests that the policy service can answer soon.
    pub(super) fn send_requests(&mut self, now: Duration) {
        self.requests
            .open
            .retain(|r| now < r.sent + r.request.timeout + RESULT_DELAY);
        while let Some(wanted) = self.requests.take_next() {
            let open = wanted.open;
            if !self.requests.admits(open.service_time, now) {
                break;
            }
            self.requests.sent += 1;
            let turn = self.requests.sent;
            self.requests.last_turns.insert(wanted.account, turn);
            let step = (open.request.occurrence, open.request.step);
            if let Some(entry) = self.jobs.get_mut(&open.request.job) {
                let approval = entry.approvals.entry(step).or_default();
                approval.requests = approval.requests.saturating_add(1);
            }
            self.effects
                .push(Effect::RequestApproval(open.request.clone()));
            self.requests.open.push(open);
        }
        self.requests.wanted.clear();
    }

    /// Returns the approval token of a worker for a step; empty if none is needed.
    pub(super) fn approval(
        &self,
        id: &str,
        occurrence: u32,
        step: u32,
        boot: &Boot,
    ) -> Option<SmolStr> {
        let entry = self.jobs.get(id)?;
        if entry.record.job.policy.is_none() {
            return Some(SmolStr::default());
        }
        let approval = entry.approvals.get(&(occurrence, step))?;
        match approval.decisions.get(boot)? {
            PolicyDecision::Approved { token, .. } => Some(token.clone()),
            PolicyDecision::Denied => None,
        }
    }

    /// Handles the answer to a request that was sent at `sent`.
    ///
    /// The answer lists the identifiers of the approved workers with their tokens; it is
    /// none if the request failed.
    pub fn handle_approvals(
        &mut self,
        request: &ApprovalRequest,
        sent: Duration,
        now: Duration,
        answer: Option<Vec<(SmolStr, SmolStr)>>,
    ) {
        let is_same = |r: &OpenRequest| {
            r.request.job == request.job && r.request.is_for(request.occurrence, request.step)
        };
        self.requests.open.retain(|r| !is_same(r));
        let time = answer.is_some().then(|| now.saturating_sub(sent));
        self.requests.adapt(time, now);
        let Some(entry) = self.jobs.get_mut(&request.job) else {
            return;
        };
        let valid = entry.record.job.policy.map_or(0, |p| p.valid_ms);
        let approval = entry.approvals.entry((request.occurrence, request.step));
        let approval = approval.or_default();
        let Some(tokens) = answer else {
            approval.next_request = now + RETRY_DELAY;
            return;
        };
        let valid = Duration::from_millis(valid);
        let margin = ORDER_DELIVERY_MARGIN.min(valid / 3);
        // The tokens were issued between the request and the answer. Those of a late answer are
        // used once all the same; a worker refuses a start whose token has expired.
        let usable_until = (sent + valid - margin).max(now + margin);
        let mut tokens: HashMap<SmolStr, SmolStr> = tokens.into_iter().collect();
        for boot in &request.workers {
            let decision = match tokens.remove(&boot.id) {
                Some(token) => PolicyDecision::Approved {
                    token,
                    usable_until,
                },
                None => PolicyDecision::Denied,
            };
            approval.decisions.insert(boot.clone(), decision);
        }
    }
}
