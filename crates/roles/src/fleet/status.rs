//! Questions about jobs to the gateways that follow all records.

use super::Shared;
use super::cache::StoreCache;
use bytes::Bytes;
use hibiscusbarrow_adapters::rpc::ForwardReply;
use hibiscusbarrow_adapters::rpc::ForwardRequest;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_model::code::Code;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The name of the service for questions about jobs.
pub const SERVICE: &str = "status";

/// The time that a gateway may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// The most gateways that are asked for one answer.
const MAX_ASKED: usize = 2;
/// How long a gateway that did not answer is not asked again.
const COOLDOWN: Duration = Duration::from_secs(1);

/// A question to a gateway that follows all records.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Question {
    /// Asks for the state of a job.
    State(SmolStr),
    /// Asks how many jobs of a queue have not started.
    Waiting(SmolStr),
    /// Asks whether the gateway could become the placer at once.
    Standby,
}

/// The answer to a question.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The state of the job; none if the gateway does not know the job.
    State(Option<State>),
    /// The number of jobs.
    Waiting(u64),
    /// Whether the records of the gateway are current.
    Standby(bool),
    /// The gateway does not have the records.
    NoRecords,
}

/// Returns the number of jobs of a queue that have not started, by the cached records.
pub fn count_waiting(cache: &StoreCache, queue: &str) -> u64 {
    let jobs = cache.jobs.borrow();
    let queue_jobs = jobs.values().filter(|s| s.record.job.queue == queue);
    queue_jobs
        .filter(|s| s.record.state() == State::Queued)
        .count() as u64
}

/// Answers a question of another gateway.
pub fn handle(cache: &StoreCache, shared: &Shared, request: &ForwardRequest) -> ForwardReply {
    let question = match postcard::from_bytes::<Question>(&request.body) {
        Ok(question) => question,
        Err(e) => return ForwardReply::failure(Code::BadRequest, e.to_string()),
    };
    let answer = match question {
        Question::Standby => Answer::Standby(cache.has_fresh_records(shared.clock.now())),
        _ if !cache.has_records() => Answer::NoRecords,
        Question::State(id) => Answer::State(cache.job(&id).map(|s| s.record.state())),
        Question::Waiting(queue) => Answer::Waiting(count_waiting(cache, &queue)),
    };
    let body = postcard::to_allocvec(&answer).expect("an answer can be serialized");
    ForwardReply {
        body: Bytes::from(body),
        ..ForwardReply::failure(Code::Done, "")
    }
}

/// Asks the placer and the standbys about jobs.
pub struct StatusClient {
    shared: Rc<Shared>,
    cache: Rc<StoreCache>,
    rpc: Rc<RpcClient>,
    /// When a gateway last failed to answer.
    failed_at: RefCell<HashMap<SocketAddr, Duration>>,
}

impl StatusClient {
    /// Creates a client of the gateways that the cache knows.
    pub fn new(shared: Rc<Shared>, cache: Rc<StoreCache>, rpc: Rc<RpcClient>) -> Self {
        Self {
            shared,
            cache,
            rpc,
            failed_at: RefCell::default(),
        }
    }

    /// Returns the state of a job as another gateway knows it.
    pub async fn state(&self, id: &SmolStr) -> Option<State> {
        match self.ask(&Question::State(id.clone())).await? {
            Answer::State(state) => state,
            _ => None,
        }
    }

    /// Returns how many jobs of a queue have not started; none if no gateway answers.
    pub async fn waiting(&self, queue: &SmolStr) -> Option<u64> {
        match self.ask(&Question::Waiting(queue.clone())).await? {
            Answer::Waiting(count) => Some(count),
            _ => None,
        }
    }

    /// Returns whether a standby other than this gateway could become the placer at once.
    pub async fn has_better_placer(&self) -> bool {
        for addr in self.cache.standby_addrs() {
            if self.ask_one(addr, &Question::Standby).await == Some(Answer::Standby(true)) {
                return true;
            }
        }
        false
    }

    /// Asks the placer first, as its records are the newest, and then the standbys.
    async fn ask(&self, question: &Question) -> Option<Answer> {
        let mut addrs: Vec<SocketAddr> = self.cache.placer_addr().into_iter().collect();
        for addr in self.cache.standby_addrs() {
            if !addrs.contains(&addr) {
                addrs.push(addr);
            }
        }
        let now = self.shared.clock.now();
        addrs.retain(|a| {
            let failed_at = self.failed_at.borrow();
            failed_at.get(a).is_none_or(|at| now >= *at + COOLDOWN)
        });
        for addr in addrs.into_iter().take(MAX_ASKED) {
            let answer = self.ask_one(addr, question).await;
            if answer.as_ref().is_some_and(|a| *a != Answer::NoRecords) {
                return answer;
            }
        }
        None
    }

    async fn ask_one(&self, addr: SocketAddr, question: &Question) -> Option<Answer> {
        let body = postcard::to_allocvec(question).expect("a question can be serialized");
        let request = ForwardRequest {
            service: SERVICE.into(),
            body: Bytes::from(body),
            ..ForwardRequest::default()
        };
        match self.rpc.forward(addr, &request, ANSWER_TIMEOUT).await {
            Ok(reply) => postcard::from_bytes(&reply.body).ok(),
            Err(_) => {
                let now = self.shared.clock.now();
                self.failed_at.borrow_mut().insert(addr, now);
                None
            }
        }
    }
}
