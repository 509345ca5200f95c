//! The HTTP interface for callers: accepts, shows and cancels jobs.

mod submit;

use crate::fleet::Shared;
use crate::fleet::cache::StoreCache;
use crate::fleet::keys;
use crate::fleet::notify::Notifier;
use crate::fleet::port::CallerCodec;
use crate::fleet::port::Item;
use crate::fleet::port::Outcome;
use crate::fleet::port::StoreError;
use crate::fleet::port::Txn;
use crate::fleet::status;
use crate::fleet::status::StatusClient;
use crate::fleet::unconfirmed::UnconfirmedJobs;
use bytes::Bytes;
use compio::time::sleep;
use compio::time::timeout;
use hibiscusbarrow_adapters::http::Reply;
use hibiscusbarrow_adapters::http::Request;
use hibiscusbarrow_adapters::http::text_reply;
use hibiscusbarrow_coordination::retry_after::during_outage;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::manifest::Account;
use hibiscusbarrow_fleet::manifest::Manifest;
use hibiscusbarrow_fleet::manifest::Queue;
use hibiscusbarrow_fleet::record::Record;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::event::Event;
use http::HeaderValue;
use http::Method;
use http::header;
use smol_str::SmolStr;
use std::rc::Rc;
use std::time::Duration;

/// How long a caller waits for the response if its request names no time.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);
/// The time for the response to reach the caller: a few network delays of a millisecond
/// each, and as much again for a busy machine.
const RESPONSE_MARGIN: Duration = Duration::from_millis(40);
/// The delay before a call to the store is repeated.
const BACKOFF: Duration = Duration::from_millis(60);

/// The interface of one gateway for callers.
pub struct CallerService {
    /// The state that the tasks of the process share.
    pub shared: Rc<Shared>,
    /// The cache of the store.
    pub cache: Rc<StoreCache>,
    /// Decodes requests and encodes responses.
    pub codec: CallerCodec,
    /// Notifies other gateways of writes.
    pub notifier: Rc<Notifier>,
    /// Asks the gateways that follow all records.
    pub status: Rc<StatusClient>,
    /// The jobs with an unconfirmed write, which must not be reported as not accepted.
    pub unconfirmed: Rc<UnconfirmedJobs>,
}

/// A request that was checked against the manifest.
struct Admitted {
    queue: Queue,
    account: SmolStr,
    /// The path after the prefix of the queue: the identifier of a job, or empty.
    path_rest: SmolStr,
    /// The version of the manifest that the request was checked against.
    version: u64,
    /// When the response must be sent at the latest.
    deadline: Duration,
    /// How long the caller waits for the response.
    patience: Duration,
}

impl CallerService {
    /// Handles one request.
    pub async fn handle(self: Rc<Self>, request: Request) -> Reply {
        let started_at = self.shared.clock.now();
        let path = request.path.clone();
        let method = request.method.clone();
        let (code, reply) = self.dispatch(request, started_at).await;
        let elapsed = self.shared.clock.now() - started_at;
        self.shared.metrics.record_request(code.number(), elapsed);
        let notable = code != Code::Done || reply.status() == 410;
        if notable || elapsed > Duration::from_millis(500) {
            let subject = path.rsplit('/').next().unwrap_or("").to_owned();
            let version = self.cache.manifest().map_or(0, |m| m.version);
            let detail = format!(
                "{method} {path} status={} code={code} manifest={version} after={elapsed:?}",
                reply.status().as_u16()
            );
            self.shared.log.emit(Event::JobRefused, subject, detail);
        }
        reply
    }

    async fn dispatch(&self, request: Request, started_at: Duration) -> (Code, Reply) {
        let Some(manifest) = self.cache.manifest() else {
            return (Code::NotReady, self.retry_later(503, DEFAULT_TIMEOUT));
        };
        if !self.cache.allows_callers(started_at) {
            let code = Code::ConfigUnproven;
            let reply = self.retry_later(code_status(code), DEFAULT_TIMEOUT);
            return (code, reply);
        }
        let admitted = match self.admit(&manifest, &request, started_at) {
            Ok(admitted) => admitted,
            Err(code) => return (code, text_reply(code_status(code), "")),
        };
        let is_job_id = (self.codec.is_job_id)(&admitted.path_rest);
        match request.method {
            Method::GET if admitted.path_rest.is_empty() => self.count_waiting(&admitted).await,
            Method::GET if is_job_id => self.show(&admitted).await,
            Method::POST if is_job_id => self.submit(&admitted, &request.body).await,
            Method::DELETE if is_job_id => self.cancel(&admitted).await,
            _ => (Code::UnknownService, text_reply(404, "")),
        }
    }

    /// Checks the route and the account of a request against the manifest.
    fn admit(
        &self,
        manifest: &Manifest,
        request: &Request,
        started_at: Duration,
    ) -> Result<Admitted, Code> {
        let host = request.header("host");
        let (queue, rest) = manifest
            .route(host, &request.path)
            .ok_or(Code::UnknownService)?;
        let key = (self.codec.api_key)(request);
        let account: Option<&Account> = key.and_then(|k| manifest.account(&k));
        if account.is_none() && !queue.public {
            return Err(Code::UnknownAccount);
        }
        let caller_timeout = (self.codec.timeout)(request).unwrap_or(DEFAULT_TIMEOUT);
        Ok(Admitted {
            queue: queue.clone(),
            account: account.map(|a| a.name.clone()).unwrap_or_default(),
            path_rest: rest.into(),
            version: manifest.version,
            deadline: started_at + caller_timeout.saturating_sub(RESPONSE_MARGIN),
            patience: caller_timeout,
        })
    }

    async fn count_waiting(&self, admitted: &Admitted) -> (Code, Reply) {
        let queue = &admitted.queue.name;
        let waiting = if self.cache.has_records() {
            Some(status::count_waiting(&self.cache, queue))
        } else {
            self.status.waiting(queue).await
        };
        match waiting {
            Some(count) => (Code::Done, json_reply((self.codec.encode_waiting)(count))),
            None => (
                Code::StoreDown,
                self.retry_later(code_status(Code::StoreDown), admitted.patience),
            ),
        }
    }

    /// Responds with the state of a job.
    async fn show(&self, admitted: &Admitted) -> (Code, Reply) {
        let id = &admitted.path_rest;
        if let Some(state) = self.known_state(id).await {
            return self.state_reply(state);
        }
        match self.read_record(id, admitted.deadline).await {
            Ok(Some((record, _))) => self.state_reply(record.state()),
            Ok(None) => (Code::JobUnknown, text_reply(410, "")),
            Err(code) => (code, self.retry_later(code_status(code), admitted.patience)),
        }
    }

    /// Returns the state of a job from this gateway's records or from those of another one.
    async fn known_state(&self, id: &SmolStr) -> Option<State> {
        if let Some(stored) = self.cache.job(id) {
            return Some(stored.record.state());
        }
        if let Some(state) = self.cache.ended_state(id) {
            return Some(state);
        }
        if self.cache.has_records() {
            return None;
        }
        let state = self.status.state(id).await?;
        if state.is_final() {
            self.cache.put_ended(&self.shared, id, state);
        }
        Some(state)
    }

    /// Returns an empty response that says when to retry, by how long the store has been down and
    /// how long the caller waits.
    fn retry_later(&self, status: u16, patience: Duration) -> Reply {
        let outage = self.cache.outage_age(self.shared.clock.now());
        let wait = during_outage(outage, patience, rand::random());
        let mut reply = text_reply(status, "");
        let seconds = wait.as_secs_f64().ceil() as u64;
        let value = HeaderValue::from(seconds);
        reply.headers_mut().insert(header::RETRY_AFTER, value);
        reply
    }

    fn state_reply(&self, state: State) -> (Code, Reply) {
        match state {
            State::Withdrawn => (Code::Withdrawn, text_reply(410, "")),
            known => (Code::Done, json_reply((self.codec.encode_state)(known))),
        }
    }

    /// Caches a record that was just written, and notifies the placer.
    fn publish(&self, id: &SmolStr, record: Rc<Record>, revision: u64) {
        self.notifier.notify_placer(Item {
            key: keys::job(id),
            value: Some(Bytes::from(record.encode())),
            revision,
        });
        self.cache.put_job(&self.shared, id, record, revision);
    }

    /// Stores the cancellation of a job, unless the job is over.
    ///
    /// A job without a record may still be stored by a write in flight, of this gateway or of another
    /// one. Storing a record that says the job is cancelled makes such a write fail.
    async fn cancel(&self, admitted: &Admitted) -> (Code, Reply) {
        let id = &admitted.path_rest;
        let mut stored = self
            .cache
            .job(id)
            .map(|s| ((*s.record).clone(), s.revision));
        let mut unconfirmed = false;
        loop {
            let (mut record, revision) = match stored.take() {
                Some(known) => known,
                None => match self.read_record(id, admitted.deadline).await {
                    Ok(Some(found)) => found,
                    Ok(None) => (self.withdrawn_record(admitted), 0),
                    Err(code) => {
                        return (code, self.retry_later(code_status(code), admitted.patience));
                    }
                },
            };
            if record.is_over() && revision > 0 {
                return cancelled_reply(&record);
            }
            record.cancelled = true;
            let txn = Txn {
                conditions: vec![(keys::job(id), revision)],
                puts: vec![(keys::job(id), Bytes::from(record.encode()), 0)],
                deletes: Vec::new(),
            };
            match self.commit(txn, admitted.deadline).await {
                Ok(Outcome::Committed(revision)) => {
                    self.publish_cancelled(admitted, &record, revision);
                    return cancelled_reply(&record);
                }
                Ok(Outcome::Conflict(items)) => {
                    let item = items.into_iter().find(|i| i.key == keys::job(id));
                    stored =
                        item.and_then(|i| Some((Record::decode(id, &i.value?).ok()?, i.revision)));
                    continue;
                }
                Ok(Outcome::NoLease)
                | Err(StoreError::Refused(_) | StoreError::Invalid(_) | StoreError::Compacted) => {}
                Err(StoreError::Unknown(_)) => unconfirmed = true,
            }
            if self.shared.clock.now() + BACKOFF > admitted.deadline {
                let code = if unconfirmed {
                    Code::AcceptUnknown
                } else {
                    Code::NotAccepted
                };
                return (code, self.retry_later(code_status(code), admitted.patience));
            }
            sleep(BACKOFF).await;
            record.cancelled = false;
            stored = (revision > 0).then_some((record, revision));
        }
    }

    /// Returns the record that takes the place of a job which is cancelled before it is stored.
    fn withdrawn_record(&self, admitted: &Admitted) -> Record {
        let now = self.shared.clock.wall_ms();
        let job = Job {
            id: admitted.path_rest.clone(),
            queue: admitted.queue.name.clone(),
            service: admitted.queue.service.clone(),
            account: admitted.account.clone(),
            accepted_at: now,
            ..Job::default()
        };
        Record::withdrawn(job, now)
    }

    /// Publishes the record of a job that was cancelled and logs it.
    fn publish_cancelled(&self, admitted: &Admitted, record: &Record, revision: u64) {
        let id = &admitted.path_rest;
        self.publish(id, Rc::new(record.clone()), revision);
        let detail = format!(
            "revision={revision} manifest={} withdrawn={}",
            admitted.version, record.withdrawn
        );
        let account = admitted.account.clone();
        let log = &self.shared.log;
        log.emit_for(Event::JobCancelled, id.clone(), account, detail);
    }

    /// Runs a transaction; its outcome is unknown if the store does not answer by `deadline`.
    async fn commit(&self, txn: Txn, deadline: Duration) -> Result<Outcome, StoreError> {
        let remaining = deadline.saturating_sub(self.shared.clock.now());
        match timeout(remaining, (self.shared.store.commit)(txn)).await {
            Ok(Err(e)) => {
                self.cache
                    .handle_store_failure(&self.shared, &e.to_string());
                Err(e)
            }
            Ok(result) => result,
            Err(_) => Err(StoreError::Unknown(
                "the caller's deadline has passed".into(),
            )),
        }
    }

    /// Reads a record from the store; retries failed calls until the given time.
    async fn read_record(
        &self,
        id: &SmolStr,
        until: Duration,
    ) -> Result<Option<(Record, u64)>, Code> {
        loop {
            if self.cache.is_store_down() {
                return Err(Code::StoreDown);
            }
            let remaining = until.saturating_sub(self.shared.clock.now());
            let read = timeout(remaining, (self.shared.store.get)(keys::job(id))).await;
            let late = || {
                Err(StoreError::Unknown(
                    "the caller's deadline has passed".into(),
                ))
            };
            match read.unwrap_or_else(|_| late()) {
                Ok(None) => return Ok(None),
                Ok(Some(item)) => {
                    let value = item.value.unwrap_or_default();
                    return match Record::decode(id, &value) {
                        Ok(record) => {
                            let cached = Rc::new(record.clone());
                            self.cache.put_job(&self.shared, id, cached, item.revision);
                            Ok(Some((record, item.revision)))
                        }
                        Err(e) => {
                            let detail = format!("cannot decode the record: {e}");
                            self.shared.log.emit(Event::PeerRefused, id.clone(), detail);
                            Err(Code::Internal)
                        }
                    };
                }
                Err(_) if self.shared.clock.now() + BACKOFF > until => return Err(Code::StoreDown),
                Err(_) => sleep(BACKOFF).await,
            }
        }
    }
}

/// Returns the HTTP status that callers receive for a result code.
fn code_status(code: Code) -> u16 {
    match code {
        Code::UnknownAccount => 401,
        other => other.status(),
    }
}

/// Returns the response to the cancelling of a job that is over.
fn cancelled_reply(record: &Record) -> (Code, Reply) {
    if record.withdrawn {
        (Code::Withdrawn, text_reply(410, ""))
    } else {
        (Code::Done, json_reply(Bytes::from_static(b"{}")))
    }
}

fn json_reply(body: Bytes) -> Reply {
    let mut reply = text_reply(200, body);
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}
