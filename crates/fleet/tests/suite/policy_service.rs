//! A simulated policy service.

use hibiscusbarrow_fleet::ledger::ApprovalRequest;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

/// The most requests that wait at the service.
const MAX_WAITING: usize = 32;

/// A request and its result: the approved workers with their tokens, or none if it failed.
pub struct Answered {
    pub request: ApprovalRequest,
    pub sent: Duration,
    pub approvals: Option<Vec<(SmolStr, SmolStr)>>,
}

/// A service that handles one request at a time, as long as it takes.
#[derive(Default)]
pub struct PolicyService {
    /// The time that each request takes.
    pub decision: Duration,
    /// The time that each worker named in a request takes.
    pub per_worker: Duration,
    /// How long a token is valid from the answer.
    pub validity: Duration,
    /// Whether the service passes over requests that were given up.
    pub skips_given_up: bool,
    /// The workers that no step may use.
    pub denied: BTreeSet<SmolStr>,
    /// The jobs for which no worker is approved.
    pub denied_jobs: BTreeSet<SmolStr>,
    /// The requests received, answered and refused as too many were waiting.
    pub received: usize,
    pub answered: usize,
    pub refused: usize,
    /// The requests in turn; the first one is being handled.
    queue: VecDeque<Waiting>,
    /// When the service has handled the first one.
    done_at: Duration,
    /// Results that are not delivered yet.
    results: Vec<Answered>,
}

struct Waiting {
    request: ApprovalRequest,
    sent: Duration,
    given_up: bool,
}

impl PolicyService {
    /// Returns a service that approves all workers, with tokens that are valid for 3 s.
    pub fn new(decision_ms: u64, per_worker_ms: u64) -> Self {
        Self {
            decision: Duration::from_millis(decision_ms),
            per_worker: Duration::from_millis(per_worker_ms),
            validity: Duration::from_secs(3),
            ..Self::default()
        }
    }

    /// Receives a request.
    pub fn receive(&mut self, request: ApprovalRequest, now: Duration) {
        self.received += 1;
        if self.queue.len() >= MAX_WAITING {
            self.refused += 1;
            self.results.push(Answered {
                request,
                sent: now,
                approvals: None,
            });
            return;
        }
        if self.queue.is_empty() {
            self.done_at = now + self.time(&request);
        }
        self.queue.push_back(Waiting {
            request,
            sent: now,
            given_up: false,
        });
    }

    /// Returns the results that callers have by now.
    pub fn advance(&mut self, now: Duration) -> Vec<Answered> {
        let mut results = std::mem::take(&mut self.results);
        while self.done_at <= now
            && let Some(waiting) = self.queue.pop_front()
        {
            if !waiting.given_up {
                self.answered += 1;
                results.push(self.answer(waiting, self.done_at));
            }
            let skips = self.skips_given_up;
            self.queue.retain(|w| !(skips && w.given_up));
            let next = self.queue.front().map(|w| self.time(&w.request));
            self.done_at += next.unwrap_or_default();
        }
        for waiting in &mut self.queue {
            if !waiting.given_up && now >= waiting.sent + waiting.request.timeout {
                waiting.given_up = true;
                results.push(Answered {
                    request: waiting.request.clone(),
                    sent: waiting.sent,
                    approvals: None,
                });
            }
        }
        results
    }

    /// Returns whether a token lets a worker start a task now.
    pub fn accepts(&self, token: &str, worker: &str, now: Duration) -> bool {
        let parts = token.split_once('@');
        let issued = parts.and_then(|(id, at)| Some((id, at.parse::<u64>().ok()?)));
        issued.is_some_and(|(id, at)| {
            id == worker && now <= Duration::from_millis(at) + self.validity
        })
    }

    fn time(&self, request: &ApprovalRequest) -> Duration {
        self.decision + self.per_worker * request.workers.len() as u32
    }

    fn answer(&self, waiting: Waiting, now: Duration) -> Answered {
        let Waiting { request, sent, .. } = waiting;
        let may_run =
            |w: &&SmolStr| !self.denied.contains(*w) && !self.denied_jobs.contains(&request.job);
        let approved = request.workers.iter().map(|w| &w.id).filter(may_run);
        let approvals = approved
            .map(|w| (w.clone(), format_smolstr!("{w}@{}", now.as_millis())))
            .collect();
        Answered {
            request,
            sent,
            approvals: Some(approvals),
        }
    }
}
