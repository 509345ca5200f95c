//! Accepts jobs.

use super::Admitted;
use super::BACKOFF;
use super::CallerService;
use super::json_reply;
use crate::fleet::keys;
use crate::fleet::notify::Notification;
use crate::fleet::port::Item;
use crate::fleet::port::Outcome;
use crate::fleet::port::StoreError;
use crate::fleet::port::Txn;
use bytes::Bytes;
use compio::time::sleep;
use futures_util::future::Either;
use futures_util::future::select;
use hibiscusbarrow_adapters::http::Reply;
use hibiscusbarrow_adapters::http::text_reply;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::record::Record;
use hibiscusbarrow_fleet::record_size;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::event::Event;
use smol_str::SmolStr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// How long an unconfirmed write is repeated before the caller learns that its outcome is
/// unknown.
const MAX_RETRY_TIME: Duration = Duration::from_millis(1_200);
/// The number of refusals by the store after which the caller is asked to retry later.
const MAX_REFUSALS: u32 = 2;
/// The time without an answer after which the other gateways are notified of an unconfirmed
/// write. It is well below the time after which the caller receives a response, as the caller
/// may then turn to one of them.
const NOTIFY_DELAY: Duration = Duration::from_millis(300);
/// The least time until the deadline in which a write is attempted; the store answers in
/// about 4 ms.
const MIN_STORE_TIME: Duration = Duration::from_millis(15);

/// The length of the names of a sidecar and of its worker together, of which a gateway that is
/// not the placer knows none.
const NAMES_BYTES: usize = 64;

impl CallerService {
    /// Accepts a job; it is stored before the caller receives the response.
    pub(super) async fn submit(&self, admitted: &Admitted, body: &[u8]) -> (Code, Reply) {
        let job = match self.build_job(admitted, body) {
            Ok(job) => job,
            Err(detail) => {
                self.shared.log.emit(
                    Event::JobRefused,
                    admitted.path_rest.clone(),
                    detail.clone(),
                );
                return (Code::BadRequest, text_reply(400, detail));
            }
        };
        let id = admitted.path_rest.clone();
        let late = self.shared.clock.now() + MIN_STORE_TIME > admitted.deadline;
        if self.cache.is_store_down() || late {
            return self.not_accepted(admitted, &id);
        }
        let record = Rc::new(Record::new(job));
        let txn = Txn {
            conditions: vec![(keys::job(&id), 0)],
            puts: vec![(keys::job(&id), Bytes::from(record.encode()), 0)],
            deletes: Vec::new(),
        };
        let started_at = self.shared.clock.now();
        let mut unconfirmed = false;
        let mut refusals = 0;
        loop {
            let retry_end = admitted.deadline.min(started_at + MAX_RETRY_TIME);
            let write = pin!(self.commit(txn.clone(), retry_end));
            let outcome = match select(write, pin!(sleep(NOTIFY_DELAY))).await {
                Either::Left((outcome, _)) => outcome,
                Either::Right((_, write)) => {
                    self.mark_unconfirmed(&id);
                    write.await
                }
            };
            match outcome {
                Ok(Outcome::Committed(revision)) => {
                    self.publish_accepted(admitted, &record, revision);
                    let elapsed = self.shared.clock.now() - started_at;
                    self.shared.metrics.record_step("accept", elapsed);
                    return (Code::Done, json_reply(Bytes::from_static(b"{}")));
                }
                Ok(Outcome::Conflict(items)) => return self.resubmitted(admitted, &record, &items),
                Err(StoreError::Invalid(detail)) => {
                    self.shared.log.emit(Event::JobRefused, id.clone(), detail);
                    return self.not_accepted(admitted, &id);
                }
                Ok(Outcome::NoLease) | Err(StoreError::Refused(_) | StoreError::Compacted) => {
                    refusals += 1;
                }
                Err(StoreError::Unknown(_)) => {
                    unconfirmed = true;
                    self.mark_unconfirmed(&id);
                }
            }
            let out_of_time = self.shared.clock.now() + BACKOFF > retry_end;
            if out_of_time && unconfirmed {
                return (Code::AcceptUnknown, text_reply(504, ""));
            }
            if !unconfirmed && (out_of_time || refusals >= MAX_REFUSALS) {
                return self.not_accepted(admitted, &id);
            }
            sleep(BACKOFF).await;
        }
    }

    /// Records that a job's write is unconfirmed, and notifies the other gateways once.
    fn mark_unconfirmed(&self, id: &SmolStr) {
        let now = self.shared.clock.now();
        if !self.unconfirmed.contains(id, now) {
            self.unconfirmed.record(id, now);
            self.notifier
                .notify_all(&Notification::Unconfirmed(id.clone()));
        }
    }

    /// Responds that a job was not accepted, or that this is unknown if an earlier write
    /// may still take effect.
    fn not_accepted(&self, admitted: &Admitted, id: &str) -> (Code, Reply) {
        if self.unconfirmed.contains(id, self.shared.clock.now()) {
            (Code::AcceptUnknown, text_reply(504, ""))
        } else {
            (Code::NotAccepted, self.retry_later(503, admitted.patience))
        }
    }

    /// Decodes a job and completes it from the queue and the account.
    fn build_job(&self, admitted: &Admitted, body: &[u8]) -> Result<Job, String> {
        let submission = (self.codec.decode_job)(body)?;
        let job = Job {
            id: admitted.path_rest.clone(),
            queue: admitted.queue.name.clone(),
            service: admitted.queue.service.clone(),
            account: admitted.account.clone(),
            priority: admitted.queue.priority,
            attempts: admitted.queue.attempts,
            objective: admitted.queue.objective,
            policy: admitted.queue.policy,
            accepted_at: self.shared.clock.wall_ms(),
            spec: submission.spec,
            steps: submission.steps,
            schedule: submission.schedule,
        };
        job.validate()?;
        record_size::check_job(&job, self.shared.settings.bounds.max_record, NAMES_BYTES)?;
        Ok(job)
    }

    /// Publishes the record of an accepted job and logs it.
    fn publish_accepted(&self, admitted: &Admitted, record: &Rc<Record>, revision: u64) {
        let id = &admitted.path_rest;
        self.publish(id, record.clone(), revision);
        let detail = format!(
            "queue={} priority={} steps={} revision={revision} manifest={}",
            admitted.queue.name,
            admitted.queue.priority,
            record.job.steps.len(),
            admitted.version
        );
        let account = admitted.account.clone();
        self.shared
            .log
            .emit_for(Event::JobAccepted, id.clone(), account, detail);
    }

    /// Responds to the submission of a job that is already stored: it is accepted again if
    /// it has the same content.
    fn resubmitted(&self, admitted: &Admitted, record: &Record, items: &[Item]) -> (Code, Reply) {
        let stored = items
            .iter()
            .find_map(|i| Some((i.value.as_ref()?, i.revision)));
        let stored =
            stored.and_then(|(v, r)| Some((Record::decode(&admitted.path_rest, v).ok()?, r)));
        if stored.as_ref().is_some_and(|(s, _)| s.withdrawn) {
            return (Code::Withdrawn, text_reply(410, ""));
        }
        let same = stored.as_ref().is_some_and(|(stored, _)| {
            stored.job.spec == record.job.spec && stored.job.steps == record.job.steps
        });
        if !same {
            return (Code::JobExists, text_reply(409, ""));
        }
        if let Some((stored, revision)) = stored {
            self.publish_accepted(admitted, &Rc::new(stored), revision);
        }
        (Code::Done, json_reply(Bytes::from_static(b"{}")))
    }
}
