//! Routing of callers' requests: rate limits, choice of a sidecar, retries and results.

use super::claim::Claims;
use crate::node::LoadedConfig;
use crate::node::Node;
use hibiscusbarrow_adapters::http::Reply;
use hibiscusbarrow_adapters::http::Request;
use hibiscusbarrow_adapters::http::fault_reply;
use hibiscusbarrow_adapters::rpc::ForwardReply;
use hibiscusbarrow_adapters::rpc::ForwardRequest;
use hibiscusbarrow_adapters::rpc::RpcError;
use hibiscusbarrow_coordination::balance::Balancer;
use hibiscusbarrow_coordination::bucket::Bucket;
use hibiscusbarrow_coordination::budget::RetryBudget;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::event::Event;
use http::HeaderName;
use http::HeaderValue;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// The longest deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// How long past the deadline the gateway waits for the sidecar's reply, which says
/// whether the request ran.
const REPLY_MARGIN: Duration = Duration::from_millis(250);

/// The longest time that a request waits for a first configuration or upstream, which
/// a gateway that has just started may not have received yet.
const MAX_STARTUP_WAIT: Duration = Duration::from_secs(2);
/// How often a waiting request checks for a configuration or upstream.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Request headers that are not forwarded to the upstream.
const UNFORWARDED_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "idempotency-key",
    "transfer-encoding",
    "x-account",
    "x-deadline-ms",
    "x-idempotent",
    "x-request-id",
];

/// A caller's request while the gateway routes it.
pub(super) struct Call {
    pub request: ForwardRequest,
    /// Whether a request without a key may be retried after it may have run.
    pub idempotent: bool,
    pub deadline: Duration,
    /// The sidecars that refused the request or failed.
    pub tried: Vec<SmolStr>,
    /// Whether an earlier attempt may have run.
    pub unconfirmed: bool,
}

/// The result of sending a request to one sidecar.
pub(super) enum Attempt {
    /// The sidecar replied, possibly with a failure.
    Answered(ForwardReply),
    /// The request never left the gateway.
    NotSent(String),
    /// The request was sent and no reply arrived.
    Unanswered(String),
}

/// Chooses a sidecar for each request and forwards the request to it.
pub(crate) struct Router {
    pub(super) node: Rc<Node>,
    pub(super) claims: Claims,
    balancer: RefCell<Balancer>,
    budget: RefCell<RetryBudget>,
    /// The rate limit of each account, with the configuration generation that set it.
    buckets: RefCell<HashMap<SmolStr, (u64, Bucket)>>,
    rng: RefCell<SmallRng>,
}

impl Router {
    /// Creates a router whose random choices are seeded by the incarnation of `node`.
    pub fn new(node: Rc<Node>) -> Self {
        Self {
            claims: Claims::new(node.clone()),
            balancer: RefCell::new(Balancer::default()),
            budget: RefCell::new(RetryBudget::default()),
            buckets: RefCell::new(HashMap::new()),
            rng: RefCell::new(SmallRng::seed_from_u64(node.incarnation)),
            node,
        }
    }

    /// Serves one request of a caller.
    ///
    /// `target` is the name of the service, followed by `/` and the path at the upstream.
    pub async fn serve(self: Rc<Self>, target: &str, request: Request) -> Reply {
        let started_at = self.node.clock.now();
        let id = self.node.next_id();
        let account: SmolStr = request.header("x-account").into();
        let wait_until = self.node.clock.now() + MAX_STARTUP_WAIT;
        let is_ready = || self.node.loaded().is_some() && self.node.knows_evacuations();
        self.wait_for(wait_until, is_ready).await;
        let reply = match self.prepare(target, request, id.clone()) {
            Ok(call) => self.run(call).await,
            Err(fault) => Err(fault),
        };
        let code = reply
            .as_ref()
            .map_or_else(|fault| fault.code, |_| Code::Done);
        self.node
            .metrics
            .record_request(code.number(), self.node.clock.now() - started_at);
        self.log_result(&id, account, &reply);
        let mut reply = reply.unwrap_or_else(|fault| fault_reply(&fault));
        let value = HeaderValue::from_str(&id).expect("identifiers are ASCII");
        reply.headers_mut().insert("x-request-id", value);
        reply
    }

    fn log_result(&self, id: &SmolStr, account: SmolStr, reply: &Result<Reply, Fault>) {
        let (event, detail) = match reply {
            Ok(reply) => (Event::RequestAnswered, reply.status().to_string()),
            Err(fault) if fault.code.is_not_run() => (Event::RequestNotRun, fault.to_string()),
            Err(fault) => (Event::RequestUnknown, fault.to_string()),
        };
        self.node.log.emit_for(event, id.clone(), account, detail);
    }

    fn prepare(&self, target: &str, request: Request, id: SmolStr) -> Result<Call, Fault> {
        let loaded = self.node.require_config()?;
        if !self.node.knows_evacuations() {
            let detail = "the gateway does not know yet which failure domains are evacuated";
            return Err(Fault::new(Code::NotReady, detail));
        }
        let (name, path) = target.split_once('/').unwrap_or((target, ""));
        let service = loaded.config.service(name).ok_or_else(|| {
            Fault::new(
                Code::UnknownService,
                format!("no service is named {name:?}"),
            )
        })?;
        let account = request.header("x-account");
        self.check_account(&loaded, account)?;
        let key = request.header("idempotency-key");
        if key.len() > MAX_KEY_BYTES
            || request.headers.contains_key("idempotency-key") && key.is_empty()
        {
            let detail =
                format!("an idempotency key must have 1 to {MAX_KEY_BYTES} ASCII characters");
            return Err(Fault::new(Code::BadRequest, detail));
        }
        let idempotent = match request.header("x-idempotent") {
            "" => service.idempotent,
            "true" => true,
            "false" => false,
            other => {
                let detail = format!("x-idempotent is {other:?}, not true or false");
                return Err(Fault::new(Code::BadRequest, detail));
            }
        };
        let timeout = request_timeout(&request, service.deadline_ms)?;
        let query = if request.query.is_empty() { "" } else { "?" };
        let forward = ForwardRequest {
            id,
            account: account.into(),
            service: service.name.clone(),
            method: request.method.as_str().into(),
            path: format!("/{path}{query}{}", request.query).into(),
            headers: forwarded_headers(&request),
            key: key.into(),
            outcome_only: false,
            incarnation: 0,
            claim_revision: 0,
            remaining_ms: 0,
            body: request.body.clone(),
        };
        Ok(Call {
            request: forward,
            idempotent: idempotent && key.is_empty(),
            deadline: self.node.clock.now() + timeout,
            tried: Vec::new(),
            unconfirmed: false,
        })
    }

    fn check_account(&self, loaded: &LoadedConfig, name: &str) -> Result<(), Fault> {
        let account = loaded.config.account(name).ok_or_else(|| {
            Fault::new(
                Code::UnknownAccount,
                format!("no account is named {name:?}"),
            )
        })?;
        let Some(rate) = &account.rate else {
            return Ok(());
        };
        let now = self.node.clock.now();
        let generation = loaded.body.root.generation;
        let mut buckets = self.buckets.borrow_mut();
        let new_entry = || (generation, Bucket::new(rate.rps, rate.burst, now));
        let entry = buckets
            .entry(account.name.clone())
            .or_insert_with(new_entry);
        if entry.0 != generation {
            *entry = new_entry();
        }
        if entry.1.try_take(now) {
            return Ok(());
        }
        let detail = format!(
            "account {name:?} exceeds its limit of {} requests per second",
            rate.rps
        );
        Err(Fault::new(Code::RateLimited, detail))
    }

    async fn run(&self, mut call: Call) -> Result<Reply, Fault> {
        self.budget.borrow_mut().record_request();
        let service = call.request.service.clone();
        let wait_until = call.deadline.min(self.node.clock.now() + MAX_STARTUP_WAIT);
        let is_known = || !self.upstreams(&service).is_empty();
        self.wait_for(wait_until, is_known).await;
        if call.request.key.is_empty() {
            self.run_unkeyed(&mut call).await
        } else {
            self.run_keyed(&mut call).await
        }
    }

    /// Waits until `is_known` returns true or the time `until` is reached.
    async fn wait_for(&self, until: Duration, is_known: impl Fn() -> bool) {
        while !is_known() && self.node.clock.now() < until {
            compio::time::sleep(STARTUP_POLL_INTERVAL).await;
        }
    }

    /// Runs a request without a key.
    ///
    /// It is retried at another sidecar only if it has not run or is idempotent.
    async fn run_unkeyed(&self, call: &mut Call) -> Result<Reply, Fault> {
        loop {
            let Some(name) = self.choose_sidecar(call) else {
                return Err(self.final_fault(call, Code::NoUpstream, Code::NoUpstream.meaning()));
            };
            let fault = match self.attempt(call, &name).await {
                Attempt::Answered(reply) if reply.code == Code::Done => return Ok(to_reply(reply)),
                Attempt::Answered(reply) => {
                    call.unconfirmed |= !reply.code.is_not_run();
                    Fault::new(reply.code, reply.detail)
                }
                Attempt::NotSent(detail) => Fault::new(Code::NotRun, detail),
                Attempt::Unanswered(detail) => {
                    call.unconfirmed = true;
                    Fault::new(Code::OutcomeUnknown, detail)
                }
            };
            let repeatable = fault.code.is_not_run() || call.idempotent;
            call.tried.push(name);
            if !repeatable || !self.may_retry(call) {
                return Err(self.final_fault(call, fault.code, &fault.detail));
            }
            self.log_retry(call, &fault);
        }
    }

    pub(super) fn log_retry(&self, call: &Call, fault: &Fault) {
        let (id, account) = (call.request.id.clone(), call.request.account.clone());
        self.node
            .log
            .emit_for(Event::RequestRetried, id, account, fault.to_string());
    }

    /// Returns the fault of a request that failed.
    ///
    /// Once an attempt may have run, a later refusal is reported as an unknown outcome
    /// and not as "not run".
    pub(super) fn final_fault(&self, call: &Call, code: Code, detail: &str) -> Fault {
        if call.unconfirmed && code.is_not_run() {
            let detail =
                format!("an earlier attempt may have run; the request then failed: {detail}");
            return Fault::new(Code::OutcomeUnknown, detail);
        }
        Fault::new(code, detail)
    }

    /// Takes a retry from the budget if the deadline has not passed.
    ///
    /// Returns whether the request may be retried.
    pub(super) fn may_retry(&self, call: &Call) -> bool {
        self.node.clock.now() < call.deadline && self.budget.borrow_mut().try_retry()
    }

    /// Lists the sidecars of a service to which new requests may be sent.
    fn upstreams(&self, service: &str) -> Vec<SmolStr> {
        let allowed = |member: &_| self.node.may_send_to(member);
        self.node.members().upstreams(service, allowed)
    }

    /// Chooses a sidecar of the service that was not tried yet.
    pub(super) fn choose_sidecar(&self, call: &Call) -> Option<SmolStr> {
        let candidates = self.upstreams(&call.request.service);
        let now = self.node.clock.now();
        let mut rng = self.rng.borrow_mut();
        self.balancer
            .borrow()
            .choose(&candidates, &call.tried, now, &mut *rng)
    }

    /// Sends a request to one sidecar.
    pub(super) async fn attempt(&self, call: &mut Call, name: &SmolStr) -> Attempt {
        let now = self.node.clock.now();
        let remaining = call.deadline.saturating_sub(now);
        let members = self.node.members();
        let Some(member) = members.live(name) else {
            return Attempt::NotSent(format!("sidecar {name} is no longer available"));
        };
        // The claim of a key takes time, in which the domain may have been evacuated. Asking
        // for the outcome of an earlier request starts nothing.
        if !call.request.outcome_only && !self.node.may_send_to(member) {
            return Attempt::NotSent(format!("the failure domain of sidecar {name} is evacuated"));
        }
        if remaining.is_zero() {
            let expired =
                ForwardReply::failure(Code::DeadlinePassed, Code::DeadlinePassed.meaning());
            return Attempt::Answered(expired);
        }
        call.request.remaining_ms = remaining.as_millis().min(u32::MAX.into()) as u32;
        self.balancer.borrow_mut().sent(name);
        let timeout = remaining + REPLY_MARGIN;
        let outcome = self
            .node
            .rpc
            .forward(member.latest.info.addr, &call.request, timeout)
            .await;
        let now = self.node.clock.now();
        let mut balancer = self.balancer.borrow_mut();
        match outcome {
            Ok(reply) => {
                if reply.code == Code::Done || reply.code.is_not_run() {
                    balancer.answered(name, u32::from(reply.running) + u32::from(reply.queued));
                } else {
                    balancer.failed(name, now);
                }
                Attempt::Answered(reply)
            }
            Err(RpcError::NotSent(detail)) => {
                balancer.failed(name, now);
                Attempt::NotSent(detail)
            }
            Err(RpcError::Unanswered(detail)) => {
                balancer.failed(name, now);
                Attempt::Unanswered(detail)
            }
        }
    }
}

/// Returns the time that the caller allows for the request.
fn request_timeout(request: &Request, default_ms: u32) -> Result<Duration, Fault> {
    let text = request.header("x-deadline-ms");
    if text.is_empty() {
        return Ok(Duration::from_millis(default_ms.into()));
    }
    let timeout = text.parse().map(Duration::from_millis).unwrap_or_default();
    if timeout.is_zero() || timeout > MAX_DEADLINE {
        let detail = format!(
            "x-deadline-ms is {text:?}, not a number from 1 to {}",
            MAX_DEADLINE.as_millis()
        );
        return Err(Fault::new(Code::BadRequest, detail));
    }
    Ok(timeout)
}

fn forwarded_headers(request: &Request) -> Vec<(SmolStr, bytes::Bytes)> {
    let forwarded = request
        .headers
        .iter()
        .filter(|(n, _)| !UNFORWARDED_HEADERS.contains(&n.as_str()));
    forwarded
        .map(|(n, v)| {
            (
                n.as_str().into(),
                bytes::Bytes::copy_from_slice(v.as_bytes()),
            )
        })
        .collect()
}

/// Converts the complete response of an upstream into the reply to the caller.
pub(super) fn to_reply(forward: ForwardReply) -> Reply {
    let mut reply = http::Response::new(forward.body);
    if let Ok(status) = forward.status.try_into() {
        *reply.status_mut() = status;
    }
    for (name, value) in &forward.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            reply.headers_mut().append(name, value);
        }
    }
    if forward.replayed {
        let repeated = HeaderValue::from_static("true");
        reply.headers_mut().insert("x-repeated", repeated);
    }
    reply
}
