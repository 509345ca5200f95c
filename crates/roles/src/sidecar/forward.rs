//! Forwards requests to the upstream: slots, keys, correlation and drain.

use crate::node::Node;
use bytes::Bytes;
use futures_channel::oneshot;
use hibiscusbarrow_adapters::http::HttpClient;
use hibiscusbarrow_adapters::http::SendError;
use hibiscusbarrow_adapters::rpc::ForwardReply;
use hibiscusbarrow_adapters::rpc::ForwardRequest;
use hibiscusbarrow_coordination::admission::Admission;
use hibiscusbarrow_coordination::admission::Offer;
use hibiscusbarrow_coordination::admission::RequestId;
use hibiscusbarrow_coordination::drain::Drain;
use hibiscusbarrow_coordination::key_gate::Arrival;
use hibiscusbarrow_coordination::key_gate::KeyGate;
use hibiscusbarrow_coordination::key_gate::Mode;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::state::Announcement;
use smol_str::SmolStr;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// The requests of one account that may wait for a slot.
const QUEUE_DEPTH: usize = 64;
/// The time for which an outcome is remembered: twice the life of a claim.
const KEY_MEMORY: Duration = Duration::from_secs(2 * 3600);
/// The keys that are remembered at most.
const MAX_KEYS: usize = 200_000;
/// The bytes of remembered answers at most.
const MAX_KEY_BYTES: usize = 64 << 20;
/// The largest answer that is remembered whole, in bytes.
const MAX_REMEMBERED: usize = 64 << 10;
/// The largest answer of an upstream, in bytes.
const MAX_ANSWER: usize = 16 << 20;
/// The time without an announcement after which an upstream counts as gone.
const UPSTREAM_SILENCE: Duration = Duration::from_secs(3);

/// Header fields of an upstream's answer that are not passed on.
const HOP_FIELDS: [&str; 4] = [
    "connection",
    "content-length",
    "keep-alive",
    "transfer-encoding",
];

struct Upstream {
    announcement: Announcement,
    heard: Duration,
    leaving: bool,
}

struct State {
    upstream: Option<Upstream>,
    admission: Admission,
    gate: KeyGate<ForwardReply>,
    drain: Drain,
    waiters: HashMap<RequestId, oneshot::Sender<bool>>,
    joiners: HashMap<SmolStr, Vec<oneshot::Sender<ForwardReply>>>,
}

/// Owns the way to one upstream.
pub struct Forwarder {
    node: Rc<Node>,
    client: HttpClient,
    state: RefCell<State>,
    in_flight: Cell<usize>,
}

impl Forwarder {
    /// Creates a forwarder that knows no upstream yet.
    pub fn new(node: Rc<Node>) -> Self {
        let state = State {
            upstream: None,
            admission: Admission::new(0, QUEUE_DEPTH),
            gate: KeyGate::new(KEY_MEMORY, MAX_KEYS, MAX_KEY_BYTES),
            drain: Drain::default(),
            waiters: HashMap::new(),
            joiners: HashMap::new(),
        };
        Self {
            node,
            client: HttpClient::default(),
            state: RefCell::new(state),
            in_flight: Cell::new(0),
        }
    }

    /// Takes in that the upstream announced itself.
    pub fn announced(&self, announcement: Announcement) {
        let now = self.node.clock.now();
        let mut state = self.state.borrow_mut();
        if let Some(upstream) = state.upstream.as_mut()
            && upstream.announcement == announcement
        {
            upstream.heard = now;
            return;
        }
        let slots = announcement.slots.min(announcement.connections);
        state.admission.set_slots(slots.into());
        self.node.log.emit(
            Event::UpstreamAnnounced,
            announcement.service.clone(),
            format!("{} slots {slots}", announcement.addr),
        );
        if !state.drain.is_draining() {
            self.node
                .announce_service(announcement.service.clone(), slots);
        }
        state.upstream = Some(Upstream {
            announcement,
            heard: now,
            leaving: false,
        });
    }

    /// Stops new work and waits until the upstream has nothing in flight.
    pub async fn upstream_leaves(&self) {
        if let Some(upstream) = self.state.borrow_mut().upstream.as_mut() {
            upstream.leaving = true;
            let service = upstream.announcement.service.clone();
            self.node.log.emit(Event::UpstreamLeaving, service, "");
        }
        self.node.announce_service(SmolStr::default(), 0);
        while self.in_flight.get() > 0 {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        self.state.borrow_mut().upstream = None;
    }

    /// Withdraws an upstream that stopped announcing itself.
    pub async fn watch_upstream(self: Rc<Self>) {
        while !self.node.stop.is_raised() {
            compio::time::sleep(UPSTREAM_SILENCE / 4).await;
            let now = self.node.clock.now();
            let mut state = self.state.borrow_mut();
            let silent = |u: &Upstream| !u.leaving && now >= u.heard + UPSTREAM_SILENCE;
            if state.upstream.as_ref().is_some_and(silent) {
                let upstream = state.upstream.take().expect("an upstream was found silent");
                let service = upstream.announcement.service;
                self.node
                    .log
                    .emit(Event::UpstreamLeaving, service, "silent");
                self.node.announce_service(SmolStr::default(), 0);
            }
        }
    }

    /// Tells whether requests can be forwarded.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.upstream.as_ref().is_some_and(|u| !u.leaving) && !state.drain.is_draining()
    }

    /// Refuses new work from now on.
    pub fn begin_drain(&self) {
        let limit = Duration::from_millis(self.node.settings.timing.drain_ms);
        self.state
            .borrow_mut()
            .drain
            .begin(self.node.clock.now(), limit);
    }

    /// Tells whether nothing is in flight or the time for it has run out.
    pub fn may_stop(&self) -> bool {
        self.state.borrow().drain.may_stop(self.node.clock.now())
    }

    /// Runs a request, or tells why it was not run.
    ///
    /// The work goes on to its end even if the caller loses interest.
    pub async fn forward(self: Rc<Self>, request: ForwardRequest) -> ForwardReply {
        let (sender, receiver) = oneshot::channel();
        let this = self.clone();
        compio::runtime::spawn(async move {
            let reply = this.clone().admit(request).await;
            let _ = sender.send(this.with_load(reply));
        })
        .detach();
        let lost = |_| ForwardReply::failure(Code::OutcomeUnknown, "the request's task ended");
        receiver.await.unwrap_or_else(lost)
    }

    fn with_load(&self, mut reply: ForwardReply) -> ForwardReply {
        let state = self.state.borrow();
        reply.running = state.admission.running() as u16;
        reply.queued = state.admission.queued() as u16;
        reply
    }

    async fn admit(self: Rc<Self>, request: ForwardRequest) -> ForwardReply {
        if request.key.is_empty() {
            return self.run_in_slot(&request).await;
        }
        if request.incarnation != self.node.incarnation {
            return ForwardReply::failure(Code::OutcomeUnknown, "the key's owner was replaced");
        }
        let (account, claim) = (&request.account, request.claim_revision);
        let key = smol_str::format_smolstr!("{account}/{}@{claim}", request.key);
        let mode = if request.outcome_only {
            Mode::Repeat
        } else {
            Mode::Run
        };
        let now = self.node.clock.now();
        let arrival = self.state.borrow_mut().gate.arrive(&key, mode, now);
        match arrival {
            Arrival::Run => self.run_keyed(key, &request).await,
            Arrival::Join => self.join(key).await,
            Arrival::Answer(answer) => self.repeat(&request, answer),
            Arrival::Closed => ForwardReply::failure(Code::NotRun, "the key was never run here"),
            Arrival::Full if request.outcome_only => {
                ForwardReply::failure(Code::OutcomeUnknown, "no further key can be remembered")
            }
            Arrival::Full => {
                ForwardReply::failure(Code::Overloaded, "no further key can be remembered")
            }
        }
    }

    fn repeat(&self, request: &ForwardRequest, answer: ForwardReply) -> ForwardReply {
        let account = request.account.clone();
        self.node
            .log
            .emit_for(Event::RequestRepeated, request.id.clone(), account, "");
        ForwardReply {
            replayed: true,
            ..answer
        }
    }

    async fn join(&self, key: SmolStr) -> ForwardReply {
        let (sender, receiver) = oneshot::channel();
        self.state
            .borrow_mut()
            .joiners
            .entry(key)
            .or_default()
            .push(sender);
        let lost = |_| ForwardReply::failure(Code::OutcomeUnknown, "the run in progress ended");
        receiver.await.unwrap_or_else(lost)
    }

    async fn run_keyed(&self, key: SmolStr, request: &ForwardRequest) -> ForwardReply {
        let reply = self.run_in_slot(request).await;
        let now = self.node.clock.now();
        let mut state = self.state.borrow_mut();
        if reply.code.is_not_run() {
            state.gate.close(&key, now);
        } else {
            let kept = remembered(&reply);
            let size = kept.body.len() + key.len();
            state.gate.answer(&key, kept, size, now);
        }
        for joiner in state.joiners.remove(&key).unwrap_or_default() {
            let _ = joiner.send(reply.clone());
        }
        reply
    }

    async fn run_in_slot(&self, request: &ForwardRequest) -> ForwardReply {
        if let Err(reply) = self.enter(request) {
            return reply;
        }
        let reply = self.wait_and_run(request).await;
        self.state.borrow_mut().drain.leave();
        self.in_flight.set(self.in_flight.get() - 1);
        reply
    }

    /// Counts a request as in flight, or says why it cannot be run.
    fn enter(&self, request: &ForwardRequest) -> Result<(), ForwardReply> {
        let mut state = self.state.borrow_mut();
        let Some(upstream) = state.upstream.as_ref() else {
            return Err(ForwardReply::failure(
                Code::NoUpstream,
                "the upstream is gone",
            ));
        };
        if upstream.announcement.service != request.service {
            return Err(ForwardReply::failure(
                Code::NoUpstream,
                "another service stands here",
            ));
        }
        if upstream.leaving || !state.drain.enter() {
            return Err(ForwardReply::failure(
                Code::Draining,
                Code::Draining.meaning(),
            ));
        }
        self.in_flight.set(self.in_flight.get() + 1);
        Ok(())
    }

    async fn wait_and_run(&self, request: &ForwardRequest) -> ForwardReply {
        let now = self.node.clock.now();
        let deadline = now + Duration::from_millis(request.remaining_ms.into());
        let offer = self
            .state
            .borrow_mut()
            .admission
            .offer(&request.account, deadline);
        match offer {
            Offer::Run(_) => {}
            Offer::Wait(ticket) => {
                if let Err(reply) = self.wait(ticket, deadline).await {
                    return reply;
                }
            }
            Offer::Full => {
                return ForwardReply::failure(Code::Overloaded, Code::Overloaded.meaning());
            }
        }
        let reply = self.call(request, deadline).await;
        self.release();
        reply
    }

    async fn wait(&self, ticket: RequestId, deadline: Duration) -> Result<(), ForwardReply> {
        let (sender, mut receiver) = oneshot::channel();
        self.state.borrow_mut().waiters.insert(ticket, sender);
        let left = deadline.saturating_sub(self.node.clock.now());
        let granted = match compio::time::timeout(left, &mut receiver).await {
            Ok(granted) => granted.unwrap_or(false),
            Err(_) => {
                self.give_up(ticket, receiver);
                false
            }
        };
        if granted {
            return Ok(());
        }
        Err(ForwardReply::failure(
            Code::DeadlinePassed,
            Code::DeadlinePassed.meaning(),
        ))
    }

    /// Withdraws a waiting request, or gives back the slot that it was just granted.
    fn give_up(&self, ticket: RequestId, mut receiver: oneshot::Receiver<bool>) {
        if receiver.try_recv() == Ok(Some(true)) {
            self.release();
            return;
        }
        let mut state = self.state.borrow_mut();
        state.waiters.remove(&ticket);
        state.admission.cancel(ticket);
    }

    /// Frees the slot of a request and wakes the next one.
    fn release(&self) {
        let mut state = self.state.borrow_mut();
        loop {
            let (next, expired) = state.admission.finish(self.node.clock.now());
            for ticket in expired {
                if let Some(waiter) = state.waiters.remove(&ticket) {
                    let _ = waiter.send(false);
                }
            }
            let Some(next) = next else { return };
            let waiter = state.waiters.remove(&next);
            if waiter.is_some_and(|w| w.send(true).is_ok()) {
                return;
            }
        }
    }

    async fn call(&self, request: &ForwardRequest, deadline: Duration) -> ForwardReply {
        let target = self
            .state
            .borrow()
            .upstream
            .as_ref()
            .map(|u| u.announcement.addr);
        let Some(addr) = target else {
            return ForwardReply::failure(Code::NoUpstream, "the upstream is gone");
        };
        let outgoing = match build(request, addr) {
            Ok(outgoing) => outgoing,
            Err(e) => return ForwardReply::failure(Code::BadRequest, e.to_string()),
        };
        let limit = deadline.saturating_sub(self.node.clock.now());
        let account = request.account.clone();
        self.node
            .log
            .emit_for(Event::RequestForwarded, request.id.clone(), account, "");
        match self.client.call(addr, outgoing, limit, MAX_ANSWER).await {
            Ok(answer) => accept(request, answer),
            Err(SendError::NotSent(e)) => ForwardReply::failure(Code::NotRun, e),
            Err(SendError::Unanswered(e)) => ForwardReply::failure(Code::OutcomeUnknown, e),
            Err(SendError::Truncated(e)) => ForwardReply::failure(Code::Truncated, e),
        }
    }
}

/// Returns what is remembered of an answer; one that is too large is forgotten.
fn remembered(reply: &ForwardReply) -> ForwardReply {
    if reply.body.len() <= MAX_REMEMBERED {
        return reply.clone();
    }
    ForwardReply::failure(
        Code::OutcomeUnknown,
        "it ran; its answer was too large to remember",
    )
}

fn build(
    request: &ForwardRequest,
    addr: std::net::SocketAddr,
) -> Result<http::Request<Bytes>, http::Error> {
    let mut builder = http::Request::builder()
        .method(request.method.as_str())
        .uri(request.path.as_str())
        .header("host", addr.to_string())
        .header("x-request-id", request.id.as_str())
        .header("x-account", request.account.as_str());
    if !request.key.is_empty() {
        builder = builder.header("idempotency-key", request.key.as_str());
    }
    for (name, value) in &request.headers {
        builder = builder.header(name.as_str(), value.as_ref());
    }
    builder.body(request.body.clone())
}

/// Accepts an answer only if it belongs to the request.
fn accept(request: &ForwardRequest, answer: http::Response<Bytes>) -> ForwardReply {
    let echoed = answer.headers().get("x-request-id");
    if echoed.is_some_and(|id| id.as_bytes() != request.id.as_bytes()) {
        return ForwardReply::failure(Code::WrongAnswer, Code::WrongAnswer.meaning());
    }
    let passed = answer
        .headers()
        .iter()
        .filter(|(n, _)| !HOP_FIELDS.contains(&n.as_str()));
    let headers = passed
        .map(|(n, v)| (n.as_str().into(), Bytes::copy_from_slice(v.as_bytes())))
        .collect();
    ForwardReply {
        code: Code::Done,
        detail: SmolStr::default(),
        status: answer.status().as_u16(),
        headers,
        body: answer.into_body(),
        replayed: false,
        running: 0,
        queued: 0,
    }
}
