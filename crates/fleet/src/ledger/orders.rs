//! Leases, status polls, and the answers to orders.

use super::Decision;
use super::Ledger;
use super::Phase;
use super::TaskKey;
use super::fit::CONTACT_TIMEOUT;
use super::with_clock_drift;
use crate::worker::Answer;
use crate::worker::Boot;
use crate::worker::Envelope;
use crate::worker::Order;
use crate::worker::Refusal;
use smol_str::SmolStr;
use std::time::Duration;

/// The difference between the longest lease and a granted one, which leaves time for the
/// delivery of the grant.
const LEASE_DELIVERY_SLACK: Duration = Duration::from_millis(200);
/// The longest lease of a worker that runs long-running tasks. These have to run again 9 s after their
/// worker was lost, and start elsewhere only once its lease has expired.
const LONG_RUNNING_LEASE: Duration = Duration::from_secs(8);
/// The longest time that a grant is in transit; a lease may count from its arrival.
const MAX_GRANT_DELIVERY: Duration = Duration::from_millis(100);
/// How long a worker may hold back the answer to a status poll until a run ends.
const MAX_POLL_WAIT: Duration = Duration::from_millis(1_000);
/// The same limit while changes on the worker must be noticed soon.
const BUSY_POLL_WAIT: Duration = Duration::from_millis(400);

impl Ledger {
    /// Returns the next status poll of a worker, which also extends its lease.
    ///
    /// The worker answers at once if its lease is not extended, if ends wait for their records to
    /// be stored, or if the poll acknowledges ends. A poll acknowledges only ends that the worker
    /// still lists: one that is carried out late would acknowledge ends of a later incarnation
    /// that have the same numbers.
    pub fn next_poll(&mut self, sidecar: &SmolStr, now: Duration) -> Option<Envelope> {
        // The lease of a worker that may be lost is not extended, so that its runs can start again
        // sooner.
        let is_silent = self.workers.get(sidecar)?.silent_since.is_some();
        let deadline = if is_silent {
            None
        } else {
            self.grant_lease(sidecar, now)
        };
        let frequent = self.needs_frequent_polls(sidecar);
        let worker = self.workers.get(sidecar)?;
        let is_listed = worker
            .first_listed
            .is_some_and(|n| n <= worker.acknowledged);
        let acknowledged = if is_listed { worker.acknowledged } else { 0 };
        let wait = match (
            deadline.is_some() && worker.uncommitted_ends.is_empty() && !is_listed,
            frequent,
        ) {
            (false, _) => Duration::ZERO,
            (true, true) => BUSY_POLL_WAIT,
            (true, false) => MAX_POLL_WAIT,
        };
        Some(Envelope {
            epoch: self.epoch,
            boot: worker.boot.clone(),
            order: Order::Poll {
                acknowledged,
                deadline,
                wait: wait.as_millis() as u64,
            },
        })
    }

    /// Grants a lease; returns its end on the worker's clock, in milliseconds, or none
    /// without recent contact.
    ///
    /// Records the latest time at which the lease can expire, drift of the worker's
    /// clock included.
    pub(super) fn grant_lease(&mut self, sidecar: &str, now: Duration) -> Option<u64> {
        let long_running = self
            .iter_runs_on(sidecar)
            .any(|(id, key, _)| self.jobs[id].step(key).long_running);
        let lease = self.max_lease(long_running) - LEASE_DELIVERY_SLACK;
        let worker = self.workers.get_mut(sidecar)?;
        // Without recent contact no lease is granted, so that the last one is certain to expire.
        worker
            .last_contact
            .filter(|at| now < *at + CONTACT_TIMEOUT)?;
        let (clock, read_at) = worker.clock?;
        let passed = (now - read_at) * (100 - super::CLOCK_DRIFT_PERCENT) / 100;
        let expiry = now + with_clock_drift(lease) + MAX_GRANT_DELIVERY;
        worker.lease_end = worker.lease_end.max(expiry);
        Some(clock.saturating_add((passed + lease).as_millis() as u64))
    }

    /// Returns the longest lease of a worker, which depends on whether it has long-running tasks.
    pub(super) fn max_lease(&self, long_running: bool) -> Duration {
        if long_running {
            self.bounds.max_lease.min(LONG_RUNNING_LEASE)
        } else {
            self.bounds.max_lease
        }
    }

    /// Logs that a worker did not answer a status poll.
    pub fn handle_unresponsive(&mut self, sidecar: &SmolStr, now: Duration) {
        let Some(worker) = self.workers.get_mut(sidecar) else {
            return;
        };
        worker.silent_since.get_or_insert(now);
        let detail = format!(
            "heard={:?} horizon={:?} now={now:?}",
            worker.last_contact, worker.lease_end
        );
        self.note(Decision::WorkerLost, sidecar, "", detail);
    }

    /// Handles the departure of an incarnation of a worker.
    pub fn handle_departure(&mut self, sidecar: &SmolStr, id: &SmolStr, now: Duration) {
        let Some(worker) = self.workers.get_mut(sidecar) else {
            return;
        };
        worker.last_contact = None;
        worker.silent_since.get_or_insert(now);
        if worker
            .departed
            .as_ref()
            .is_none_or(|(known, _)| known != id)
        {
            worker.departed = Some((id.clone(), now));
            self.note(
                Decision::WorkerLost,
                sidecar,
                "",
                format!("boot={id} has left"),
            );
        }
    }

    /// Handles the answer to an order other than a status poll.
    ///
    /// `unconfirmed` means that an earlier attempt got no answer, so that it may have
    /// taken effect.
    pub fn handle_answer(
        &mut self,
        sidecar: &SmolStr,
        boot: &Boot,
        order: &Order,
        answer: &Answer,
        unconfirmed: bool,
        now: Duration,
    ) {
        if *answer == Answer::Refused(Refusal::Epoch) {
            self.fenced = true;
            return;
        }
        match order {
            Order::Start(start) => {
                let id = &start.task.job;
                let key = (start.task.occurrence, start.task.step, start.task.index);
                if self.is_current(id, key, start.run, sidecar) {
                    self.handle_start_answer(id, key, answer, unconfirmed, now);
                }
            }
            Order::Stop { task, run } => {
                self.settle_stop(sidecar, task, *run, answer, now);
                let key = (task.occurrence, task.step, task.index);
                let same_boot =
                    self.workers.get(sidecar).and_then(|w| w.boot.as_ref()) == Some(boot);
                if self.is_current(&task.job, key, *run, sidecar) && same_boot {
                    self.handle_stop_answer(&task.job, key, answer, now);
                }
            }
            Order::Poll { .. } | Order::Pace { .. } => {}
        }
    }

    /// Returns whether a run is the task's current one and was placed on the worker.
    fn is_current(&self, id: &SmolStr, key: TaskKey, number: u64, sidecar: &str) -> bool {
        let run = self.jobs.get(id).and_then(|e| e.runs.get(&key));
        run.is_some_and(|r| r.number == number && r.sidecar == sidecar)
    }

    fn handle_start_answer(
        &mut self,
        id: &SmolStr,
        key: TaskKey,
        answer: &Answer,
        unconfirmed: bool,
        now: Duration,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let account = entry.record.job.account.clone();
        let Some(run) = entry.runs.get_mut(&key) else {
            return;
        };
        let sidecar = run.sidecar.clone();
        if let Some(worker) = self.workers.get_mut(&sidecar) {
            if unconfirmed || *answer == Answer::Silent {
                worker.starts.record_failure();
            } else if let Some(started) = run.started_at {
                worker.starts.record_answer(now.saturating_sub(started));
            }
        }
        run.start_unanswered |= unconfirmed || *answer == Answer::Silent;
        if *answer == Answer::Accepted {
            run.is_seen = true;
            if run.phase == Phase::Ordered {
                run.set_phase(Phase::Live, now);
            }
            return;
        }
        let detail = format!(
            "task={key:?} run={} worker={sidecar} answer={answer:?} doubtful={unconfirmed}",
            run.number
        );
        let (phase, unanswered, is_seen) = (run.phase, run.start_unanswered, run.is_seen);
        self.note(Decision::StartFailed, id, &account, detail);
        self.handle_failed_start(&sidecar, id, key, answer, now);
        match phase {
            Phase::Ordered if unanswered => {
                self.stop_run(id, key, "the worker did not answer the start", now);
                self.stop_if_gang(id, key, now);
            }
            // A member of a gang is also stopped before the answer to its start arrives.
            Phase::Ordered | Phase::Stopping if !unanswered && !is_seen => {
                self.uncount_try(id, key);
                self.mark_lost(id, key, "the worker refused the start", now);
            }
            _ => {}
        }
    }

    fn stop_if_gang(&mut self, id: &SmolStr, key: TaskKey, now: Duration) {
        if self.jobs.get(id).is_some_and(|e| e.step(key).gang) {
            self.stop_gang(id, key, now);
        }
    }

    /// Updates what is known of a worker that refused or did not answer a start.
    fn handle_failed_start(
        &mut self,
        sidecar: &SmolStr,
        id: &SmolStr,
        key: TaskKey,
        answer: &Answer,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(sidecar) else {
            return;
        };
        match answer {
            Answer::Refused(Refusal::Draining) => {
                if let Some(announced) = &mut worker.announced {
                    announced.leaving = true;
                }
            }
            Answer::Refused(Refusal::Ticket) => {
                if let (Some(entry), Some(boot)) = (self.jobs.get_mut(id), &worker.boot) {
                    entry.expire_token(key.0, key.1, boot);
                }
            }
            Answer::Refused(Refusal::Boot) => worker.last_contact = None,
            _ => worker.health.cool_down(now),
        }
    }

    fn handle_stop_answer(&mut self, id: &SmolStr, key: TaskKey, answer: &Answer, now: Duration) {
        let run = self.jobs.get_mut(id).and_then(|e| e.runs.get_mut(&key));
        if let Some(run) = run.filter(|_| *answer == Answer::Accepted) {
            run.stop_confirmed.get_or_insert(now);
        }
    }
}
