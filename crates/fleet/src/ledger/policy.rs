//! Approvals of workers by the policy of a queue.

use super::Effect;
use super::Ledger;
use smol_str::SmolStr;
use std::collections::HashMap;
use std::time::Duration;

/// The most workers that one request names.
const MAX_WORKERS: usize = 100;
/// How long an approval must still be valid, so that a start order reaches the worker
/// in time.
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
    /// The identifiers that the workers announce.
    pub workers: Vec<SmolStr>,
    /// How long to wait for the answer.
    pub timeout: Duration,
}

impl ApprovalRequest {
    fn is_for(&self, occurrence: u32, step: u32) -> bool {
        (self.occurrence, self.step) == (occurrence, step)
    }
}

/// The newest approvals of the policy for one step.
#[derive(Clone, Debug, Default)]
pub(super) struct Approval {
    /// The approval token of each worker, by the worker's identifier.
    tokens: HashMap<SmolStr, SmolStr>,
    valid_until: Duration,
    /// When the policy may be asked again.
    next_request: Duration,
    /// How often the policy was asked.
    requests: u32,
}

/// A request to the policy service that is to be sent, or has no answer yet.
#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    request: ApprovalRequest,
    /// The time that the service needs for it.
    service_time: Duration,
    /// The time of the plan that asked for it, and that sends it or drops it.
    sent: Duration,
}

/// The requests to the policy service, and how many it can answer at present.
#[derive(Debug, Default)]
pub(super) struct Requests {
    /// Those that steps ask for in the present plan.
    wanted: Vec<OpenRequest>,
    /// Those that have no answer yet.
    open: Vec<OpenRequest>,
    /// How many of the last requests were answered in time, up to the limit of open ones. Late
    /// answers halve it.
    window: usize,
    /// The number of requests in a row that failed.
    failures: u32,
    /// No request is sent before this time.
    paused_until: Duration,
}

impl Requests {
    /// Returns whether another request may be sent beside the open ones.
    fn admits(&self, request: &OpenRequest, now: Duration) -> bool {
        if self.open.is_empty() {
            return now >= self.paused_until;
        }
        let times = self.open.iter().map(|r| r.service_time);
        let open_time = times.fold(request.service_time, Duration::saturating_add);
        now >= self.paused_until && self.open.len() < self.window && open_time <= MAX_OPEN_TIME
    }

    /// Adapts the number of open requests to an answer that took `time`; none if the request
    /// failed.
    fn adapt(&mut self, time: Option<Duration>, now: Duration) {
        match time {
            Some(time) if time <= MAX_OPEN_TIME => {
                self.window = (self.window + 1).min(MAX_OPEN_REQUESTS);
            }
            _ => self.window /= 2,
        }
        if time.is_some() {
            self.failures = 0;
            return;
        }
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

impl Approval {
    fn is_valid(&self, now: Duration) -> bool {
        now + ORDER_DELIVERY_MARGIN < self.valid_until
    }
}

impl Ledger {
    /// Returns whether a step may be placed; asks for approval if there is no valid one.
    pub(super) fn ensure_approved(
        &mut self,
        id: &SmolStr,
        occurrence: u32,
        step: u32,
        now: Duration,
    ) -> bool {
        let Some(entry) = self.jobs.get_mut(id) else {
            return false;
        };
        let Some(policy) = entry.record.job.policy else {
            return true;
        };
        let approval = entry.approvals.entry((occurrence, step)).or_default();
        if approval.is_valid(now) {
            return true;
        }
        let is_open = |r: &OpenRequest| r.request.job == *id && r.request.is_for(occurrence, step);
        if now < approval.next_request || self.requests.open.iter().any(is_open) {
            return false;
        }
        let service = &entry.record.job.service;
        let announced = self.workers.values().filter_map(|w| w.announced.as_ref());
        let suitable = announced.filter(|a| a.service == *service && !a.is_ending());
        let workers = suitable
            .map(|a| a.boot.id.clone())
            .take(MAX_WORKERS)
            .collect::<Vec<_>>();
        let workers_ms = policy.per_worker_ms.saturating_mul(workers.len() as u64);
        let service_time = Duration::from_millis(policy.decision_ms.saturating_add(workers_ms));
        self.requests.wanted.push(OpenRequest {
            request: ApprovalRequest {
                job: id.clone(),
                occurrence,
                step,
                workers,
                timeout: self.requests.timeout(service_time),
            },
            service_time,
            sent: now,
        });
        false
    }

    /// Sends the requests that the policy service can answer soon: those of steps that were asked
    /// for least often, then of the most urgent ones.
    pub(super) fn send_requests(&mut self, now: Duration) {
        self.requests
            .open
            .retain(|r| now < r.sent + r.request.timeout + RESULT_DELAY);
        let mut wanted = std::mem::take(&mut self.requests.wanted);
        wanted.sort_by_key(|w| self.approval_of(&w.request).map_or(0, |a| a.requests));
        for request in wanted {
            if !self.requests.admits(&request, now) {
                break;
            }
            if let Some(approval) = self.approval_of(&request.request) {
                approval.requests = approval.requests.saturating_add(1);
            }
            self.effects
                .push(Effect::RequestApproval(request.request.clone()));
            self.requests.open.push(request);
        }
    }

    fn approval_of(&mut self, request: &ApprovalRequest) -> Option<&mut Approval> {
        let step = (request.occurrence, request.step);
        self.jobs.get_mut(&request.job)?.approvals.get_mut(&step)
    }

    /// Returns the approval token of a worker for a step; empty if none is needed.
    pub(super) fn approval(
        &self,
        id: &str,
        occurrence: u32,
        step: u32,
        boot: &str,
    ) -> Option<SmolStr> {
        let entry = self.jobs.get(id)?;
        if entry.record.job.policy.is_none() {
            return Some(SmolStr::default());
        }
        entry
            .approvals
            .get(&(occurrence, step))?
            .tokens
            .get(boot)
            .cloned()
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
        match answer {
            Some(tokens) => {
                approval.tokens = tokens.into_iter().collect();
                approval.valid_until = sent + Duration::from_millis(valid);
                approval.next_request = now;
            }
            None => approval.next_request = now + RETRY_DELAY,
        }
    }
}
