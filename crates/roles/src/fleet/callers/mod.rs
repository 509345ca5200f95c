//! Serving callers: accepting, showing and cancelling jobs.

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
use crate::fleet::unconfirmed::UnconfirmedJobs;
use bytes::Bytes;
use compio::time::sleep;
use compio::time::timeout;
use hibiscusbarrow_adapters::http::Reply;
use hibiscusbarrow_adapters::http::Request;
use hibiscusbarrow_adapters::http::text_reply;
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

/// The wait of a caller that names none.
const DEFAULT_LIMIT: Duration = Duration::from_secs(3);
/// Time for the answer to reach the caller: a few network delays of a millisecond, and
/// as much again for a busy machine.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// The pause before a call to the store is repeated.
const RETRY: Duration = Duration::from_millis(60);
/// When a refused caller should come back, in seconds.
const COME_BACK: &str = "1";

/// Serves callers of one gateway.
pub struct CallerService {
    /// What the tasks of the process share.
    pub shared: Rc<Shared>,
    /// The copy of the store.
    pub cache: Rc<StoreCache>,
    /// Translates requests.
    pub callers: CallerCodec,
    /// Tells the placer of jobs at once.
    pub notifier: Rc<Notifier>,
    /// The jobs of which no gateway may say that they were not accepted.
    pub unconfirmed: Rc<UnconfirmedJobs>,
}

/// Holds a request that was checked against the manifest.
struct Admitted {
    queue: Queue,
    account: SmolStr,
    rest: SmolStr,
    version: u64,
    /// When the answer must be on its way.
    until: Duration,
}

impl CallerService {
    /// Answers one request.
    pub async fn handle(self: Rc<Self>, request: Request) -> Reply {
        let began = self.shared.clock.now();
        let path = request.path.clone();
        let method = request.method.clone();
        let (code, reply) = self.dispatch(request, began).await;
        let elapsed = self.shared.clock.now() - began;
        self.shared.metrics.record_request(code.number(), elapsed);
        let explained = code != Code::Done || reply.status() == 410;
        if explained || elapsed > Duration::from_millis(500) {
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

    async fn dispatch(&self, request: Request, began: Duration) -> (Code, Reply) {
        let Some(manifest) = self.cache.manifest() else {
            return (Code::NotReady, come_back(503));
        };
        let admitted = match self.admit(&manifest, &request, began) {
            Ok(admitted) => admitted,
            Err(code) => return (code, text_reply(code_status(code), "")),
        };
        let is_id = (self.callers.is_job_id)(&admitted.rest);
        match request.method {
            Method::GET if admitted.rest.is_empty() => self.count_waiting(&admitted),
            Method::GET if is_id => self.show(&admitted).await,
            Method::POST if is_id => self.submit(&admitted, &request.body).await,
            Method::DELETE if is_id => self.cancel(&admitted).await,
            _ => (Code::UnknownService, text_reply(404, "")),
        }
    }

    fn admit(
        &self,
        manifest: &Manifest,
        request: &Request,
        began: Duration,
    ) -> Result<Admitted, Code> {
        let host = request.header("host");
        let (queue, rest) = manifest
            .route(host, &request.path)
            .ok_or(Code::UnknownService)?;
        let key = (self.callers.api_key)(request);
        let account: Option<&Account> = key.and_then(|k| manifest.account(&k));
        if account.is_none() && !queue.public {
            return Err(Code::UnknownAccount);
        }
        let limit = (self.callers.timeout)(request).unwrap_or(DEFAULT_LIMIT);
        Ok(Admitted {
            queue: queue.clone(),
            account: account.map(|a| a.name.clone()).unwrap_or_default(),
            rest: rest.into(),
            version: manifest.version,
            until: began + limit.saturating_sub(ANSWER_MARGIN),
        })
    }

    fn count_waiting(&self, admitted: &Admitted) -> (Code, Reply) {
        let jobs = self.cache.jobs.borrow();
        let of_queue = jobs
            .values()
            .filter(|s| s.record.job.queue == admitted.queue.name);
        let waiting = of_queue
            .filter(|s| s.record.state() == State::Queued)
            .count();
        (
            Code::Done,
            json((self.callers.encode_waiting)(waiting as u64)),
        )
    }

    async fn show(&self, admitted: &Admitted) -> (Code, Reply) {
        let id = &admitted.rest;
        if let Some(stored) = self.cache.job(id) {
            return (Code::Done, self.state_reply(stored.record.state()));
        }
        match self.read(id, admitted.until).await {
            Ok(Some((record, _))) => (Code::Done, self.state_reply(record.state())),
            Ok(None) => (Code::JobUnknown, text_reply(410, "")),
            Err(code) => (code, come_back(code_status(code))),
        }
    }

    fn state_reply(&self, state: State) -> Reply {
        json((self.callers.encode_state)(state))
    }

    /// Takes in a record that was just written, and tells the placer of it.
    fn keep(&self, id: &SmolStr, record: Rc<Record>, revision: u64) {
        self.notifier.tell_placer(Item {
            key: keys::job(id),
            value: Some(Bytes::from(record.encode())),
            revision,
        });
        self.cache.put_job(id, record, revision);
    }

    async fn cancel(&self, admitted: &Admitted) -> (Code, Reply) {
        let id = &admitted.rest;
        let mut held = self
            .cache
            .job(id)
            .map(|s| ((*s.record).clone(), s.revision));
        let mut doubt = false;
        loop {
            if held.is_none() {
                held = match self.read(id, admitted.until).await {
                    Ok(Some(found)) => Some(found),
                    Ok(None) => return (Code::JobUnknown, text_reply(410, "")),
                    Err(code) => return (code, come_back(code_status(code))),
                };
            }
            let Some((record, revision)) = held.as_mut() else {
                continue;
            };
            if record.is_over() {
                return (Code::Done, json(Bytes::from_static(b"{}")));
            }
            record.cancelled = true;
            let txn = Txn {
                conditions: vec![(keys::job(id), *revision)],
                puts: vec![(keys::job(id), Bytes::from(record.encode()), 0)],
                deletes: Vec::new(),
            };
            match self.commit(txn, admitted.until).await {
                Ok(Outcome::Committed(revision)) => {
                    let record = Rc::new(record.clone());
                    self.keep(id, record, revision);
                    let detail = format!("revision={revision} manifest={}", admitted.version);
                    let account = admitted.account.clone();
                    let log = &self.shared.log;
                    log.emit_for(Event::JobCancelled, id.clone(), account, detail);
                    return (Code::Done, json(Bytes::from_static(b"{}")));
                }
                Ok(Outcome::Conflict(items)) => {
                    let item = items.into_iter().find(|i| i.key == keys::job(id));
                    held = item.and_then(|i| Some((Record::decode(&i.value?).ok()?, i.revision)));
                    continue;
                }
                Ok(Outcome::NoLease)
                | Err(StoreError::Refused(_) | StoreError::Invalid(_) | StoreError::Compacted) => {
                    record.cancelled = false;
                }
                Err(StoreError::Unknown(_)) => {
                    doubt = true;
                    record.cancelled = false;
                }
            }
            if self.shared.clock.now() + RETRY > admitted.until {
                let code = if doubt {
                    Code::AcceptUnknown
                } else {
                    Code::NotAccepted
                };
                return (code, come_back(code_status(code)));
            }
            sleep(RETRY).await;
        }
    }

    /// Runs a transaction; its outcome is in doubt once the caller's time is up.
    async fn commit(&self, txn: Txn, until: Duration) -> Result<Outcome, StoreError> {
        let rest = until.saturating_sub(self.shared.clock.now());
        match timeout(rest, (self.shared.store.commit)(txn)).await {
            Ok(Err(e)) => {
                self.cache.lose(&self.shared, &e.to_string());
                Err(e)
            }
            Ok(result) => result,
            Err(_) => Err(StoreError::Unknown("the caller's time is up".into())),
        }
    }

    /// Reads a record from the store until the caller's time is up.
    async fn read(&self, id: &SmolStr, until: Duration) -> Result<Option<(Record, u64)>, Code> {
        loop {
            if self.cache.is_lost() {
                return Err(Code::StoreDown);
            }
            let rest = until.saturating_sub(self.shared.clock.now());
            let read = timeout(rest, (self.shared.store.get)(keys::job(id))).await;
            let late = || Err(StoreError::Unknown("the caller's time is up".into()));
            match read.unwrap_or_else(|_| late()) {
                Ok(None) => return Ok(None),
                Ok(Some(item)) => {
                    let value = item.value.unwrap_or_default();
                    return match Record::decode(&value) {
                        Ok(record) => {
                            let shown = Rc::new(record.clone());
                            self.cache.put_job(id, shown, item.revision);
                            Ok(Some((record, item.revision)))
                        }
                        Err(e) => {
                            let detail = format!("the record is unreadable: {e}");
                            self.shared.log.emit(Event::PeerRefused, id.clone(), detail);
                            Err(Code::Internal)
                        }
                    };
                }
                Err(_) if self.shared.clock.now() + RETRY > until => return Err(Code::StoreDown),
                Err(_) => sleep(RETRY).await,
            }
        }
    }
}

/// Returns the status that callers of the fleet see for a code.
fn code_status(code: Code) -> u16 {
    match code {
        Code::UnknownAccount => 401,
        other => other.status(),
    }
}

fn json(body: Bytes) -> Reply {
    let mut reply = text_reply(200, body);
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

fn come_back(status: u16) -> Reply {
    let mut reply = text_reply(status, "");
    let wait = HeaderValue::from_static(COME_BACK);
    reply.headers_mut().insert(header::RETRY_AFTER, wait);
    reply
}
