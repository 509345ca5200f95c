//! Forwarding of requests to the upstream: slots, idempotency keys, checks of responses
//! and drain.

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

/// The number of requests of one account that may wait for a slot.
const MAX_QUEUED_PER_ACCOUNT: usize = 64;
/// How long the outcome of a key is retained: twice the time for which gateways report it.
const KEY_RETENTION: Duration = Duration::from_secs(2 * 3600);
/// The largest number of keys whose outcomes are retained.
const MAX_RETAINED_KEYS: usize = 200_000;
/// The total size of retained responses, in bytes, at which new keys are refused, on machines
/// with enough memory.
const MAX_RETAINED_BYTES: usize = 64 << 20;
/// Retained responses take this part of the machine's memory at most.
const RETAINED_MEMORY_DIVISOR: u64 = 4;
/// The largest response body that is retained, in bytes.
const MAX_RETAINED_RESPONSE_BYTES: usize = 64 << 10;
/// The largest response that is accepted from the upstream, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// How long after its last announcement an upstream is considered stopped.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Response headers of the upstream that are not returned to the gateway.
const UNFORWARDED_HEADERS: [&str; 4] = [
    "connection",
    "content-length",
    "keep-alive",
    "transfer-encoding",
];

struct Upstream {
    announcement: Announcement,
    /// The time of the last announcement.
    announced_at: Duration,
    leaving: bool,
}

struct State {
    upstream: Option<Upstream>,
    admission: Admission,
    gate: KeyGate<ForwardReply>,
    drain: Drain,
    /// The requests that wait for a slot, each with the channel that notifies it whether it was
    /// granted one.
    waiters: HashMap<RequestId, oneshot::Sender<bool>>,
    /// The requests that wait for the end of another request with the same key.
    joiners: HashMap<SmolStr, Vec<oneshot::Sender<ForwardReply>>>,
}

/// Admits requests to one upstream and forwards them to it.
pub struct Forwarder {
    node: Rc<Node>,
    client: HttpClient,
    state: RefCell<State>,
    /// The number of requests that wait for a slot or run.
    in_flight: Cell<usize>,
}

impl Forwarder {
    /// Creates a forwarder without an upstream.
    pub fn new(node: Rc<Node>) -> Self {
        let affordable = node.machine.memory / RETAINED_MEMORY_DIVISOR;
        let max_retained = MAX_RETAINED_BYTES.min(affordable as usize);
        let state = State {
            upstream: None,
            admission: Admission::new(0, MAX_QUEUED_PER_ACCOUNT),
            gate: KeyGate::new(KEY_RETENTION, MAX_RETAINED_KEYS, max_retained),
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

    /// Handles an announcement of the upstream, which repeats it regularly while it runs.
    pub fn handle_announcement(&self, announcement: Announcement) {
        let now = self.node.clock.now();
        let mut state = self.state.borrow_mut();
        if let Some(upstream) = state.upstream.as_mut()
            && upstream.announcement == announcement
        {
            upstream.announced_at = now;
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
            announced_at: now,
            leaving: false,
        });
    }

    /// Rejects new requests, waits until none is in flight and removes the upstream.
    pub async fn drain_upstream(&self) {
        if let Some(upstream) = self.state.borrow_mut().upstream.as_mut() {
            upstream.leaving = true;
            let service = upstream.announcement.service.clone();
            self.node.log.emit(Event::UpstreamLeaving, service, "");
        }
        self.node.announce_service(SmolStr::default(), 0);
        while self.in_flight.get() > 0 {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        // Another upstream may have announced itself during the drain.
        let mut state = self.state.borrow_mut();
        state.upstream.take_if(|u| u.leaving);
    }

    /// Rejects the requests that wait for a slot if the domain is evacuated.
    fn reject_waiting(&self) {
        if !self.node.is_evacuated() {
            return;
        }
        let mut state = self.state.borrow_mut();
        for (id, waiter) in std::mem::take(&mut state.waiters) {
            state.admission.cancel(id);
            let _ = waiter.send(false);
        }
    }

    /// Removes the upstream when its announcements stop, and the waiting requests when the
    /// domain is evacuated; runs until the process stops.
    pub async fn expire_upstream(self: Rc<Self>) {
        while !self.node.stop.is_raised() {
            compio::time::sleep(ANNOUNCEMENT_TIMEOUT / 4).await;
            self.reject_waiting();
            let now = self.node.clock.now();
            let mut state = self.state.borrow_mut();
            let is_expired =
                |u: &Upstream| !u.leaving && now >= u.announced_at + ANNOUNCEMENT_TIMEOUT;
            if state.upstream.as_ref().is_some_and(is_expired) {
                let upstream = state.upstream.take().expect("the upstream is present");
                let service = upstream.announcement.service;
                self.node
                    .log
                    .emit(Event::UpstreamLeaving, service, "silent");
                self.node.announce_service(SmolStr::default(), 0);
            }
        }
    }

    /// Returns whether requests can be forwarded.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.upstream.as_ref().is_some_and(|u| !u.leaving) && !state.drain.is_draining()
    }

    /// Starts the drain; new requests are refused from then on.
    pub fn begin_drain(&self) {
        let timeout = Duration::from_millis(self.node.settings.timing.drain_ms);
        self.state
            .borrow_mut()
            .drain
            .begin(self.node.clock.now(), timeout);
    }

    /// Returns whether the drain has begun and either no request is in flight or the drain
    /// timeout has passed.
    pub fn may_stop(&self) -> bool {
        self.state.borrow().drain.may_stop(self.node.clock.now())
    }

    /// Runs a request, or returns the reason why it was not run.
    ///
    /// The request runs in a task of its own, so that it completes even if the returned
    /// future is dropped.
    pub async fn forward(self: Rc<Self>, request: ForwardRequest) -> ForwardReply {
        let (sender, receiver) = oneshot::channel();
        let this = self.clone();
        compio::runtime::spawn(async move {
            let reply = this.clone().dispatch(request).await;
            let _ = sender.send(this.with_load(reply));
        })
        .detach();
        let interrupted = |_| {
            ForwardReply::failure(
                Code::OutcomeUnknown,
                "the task of the request ended without a reply",
            )
        };
        receiver.await.unwrap_or_else(interrupted)
    }

    /// Adds the number of running and queued requests, by which gateways balance the load.
    fn with_load(&self, mut reply: ForwardReply) -> ForwardReply {
        let state = self.state.borrow();
        reply.running = state.admission.running() as u16;
        reply.queued = state.admission.queued() as u16;
        reply
    }

    async fn dispatch(self: Rc<Self>, request: ForwardRequest) -> ForwardReply {
        if request.key.is_empty() {
            return self.run_in_slot(&request).await;
        }
        if request.incarnation != self.node.incarnation {
            return ForwardReply::failure(
                Code::OutcomeUnknown,
                "the sidecar that owned the key has restarted",
            );
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
            Arrival::Join => self.join_run(key).await,
            Arrival::Answer(reply) => self.replay(&request, reply),
            Arrival::Closed => ForwardReply::failure(
                Code::NotRun,
                "this sidecar did not run the key and will not run it",
            ),
            Arrival::Full if request.outcome_only => ForwardReply::failure(
                Code::OutcomeUnknown,
                "the limit of retained keys is reached",
            ),
            Arrival::Full => {
                ForwardReply::failure(Code::Overloaded, "the limit of retained keys is reached")
            }
        }
    }

    /// Returns the retained reply of a key, marked as replayed.
    fn replay(&self, request: &ForwardRequest, reply: ForwardReply) -> ForwardReply {
        let account = request.account.clone();
        self.node
            .log
            .emit_for(Event::RequestRepeated, request.id.clone(), account, "");
        ForwardReply {
            replayed: true,
            ..reply
        }
    }

    /// Waits for the result of the request that is running the key.
    async fn join_run(&self, key: SmolStr) -> ForwardReply {
        let (sender, receiver) = oneshot::channel();
        self.state
            .borrow_mut()
            .joiners
            .entry(key)
            .or_default()
            .push(sender);
        let interrupted = |_| {
            ForwardReply::failure(
                Code::OutcomeUnknown,
                "the request that ran the key ended without a reply",
            )
        };
        receiver.await.unwrap_or_else(interrupted)
    }

    async fn run_keyed(&self, key: SmolStr, request: &ForwardRequest) -> ForwardReply {
        let reply = self.run_in_slot(request).await;
        let now = self.node.clock.now();
        let mut state = self.state.borrow_mut();
        if reply.code.is_not_run() {
            state.gate.close(&key, now);
        } else {
            let retained = retained_reply(&reply);
            let size = retained.body.len() + key.len();
            state.gate.answer(&key, retained, size, now);
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

    /// Counts a request as in flight, or returns the reason why it cannot run.
    fn enter(&self, request: &ForwardRequest) -> Result<(), ForwardReply> {
        let mut state = self.state.borrow_mut();
        let Some(upstream) = state.upstream.as_ref() else {
            return Err(ForwardReply::failure(
                Code::NoUpstream,
                "the sidecar has no upstream",
            ));
        };
        if upstream.announcement.service != request.service {
            return Err(ForwardReply::failure(
                Code::NoUpstream,
                "the upstream provides another service",
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

    /// Rejects a request that waited for a slot if the domain is evacuated.
    ///
    /// Requests that need not wait are left to the gateways, which know of a cancellation
    /// before the sidecar does and would spend their retries on its refusals.
    fn reject_if_evacuated(&self) -> Result<(), ForwardReply> {
        if !self.node.is_evacuated() {
            return Ok(());
        }
        let detail = "the failure domain of the upstream is evacuated";
        Err(ForwardReply::failure(Code::NoUpstream, detail))
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
            Offer::Wait(id) => {
                if let Err(reply) = self.wait(id, deadline).await {
                    return reply;
                }
                if let Err(reply) = self.reject_if_evacuated() {
                    self.release_slot();
                    return reply;
                }
            }
            Offer::Full => {
                return ForwardReply::failure(Code::Overloaded, Code::Overloaded.meaning());
            }
        }
        let reply = self.send_to_upstream(request, deadline).await;
        self.release_slot();
        reply
    }

    async fn wait(&self, id: RequestId, deadline: Duration) -> Result<(), ForwardReply> {
        let (sender, mut receiver) = oneshot::channel();
        self.state.borrow_mut().waiters.insert(id, sender);
        let remaining = deadline.saturating_sub(self.node.clock.now());
        let granted = match compio::time::timeout(remaining, &mut receiver).await {
            Ok(granted) => granted.unwrap_or(false),
            Err(_) => {
                self.cancel_wait(id, receiver);
                false
            }
        };
        if granted {
            return Ok(());
        }
        self.reject_if_evacuated()?;
        Err(ForwardReply::failure(
            Code::DeadlinePassed,
            Code::DeadlinePassed.meaning(),
        ))
    }

    /// Removes a waiting request whose deadline passed, or releases the slot that it was
    /// granted meanwhile.
    fn cancel_wait(&self, id: RequestId, mut receiver: oneshot::Receiver<bool>) {
        if receiver.try_recv() == Ok(Some(true)) {
            self.release_slot();
            return;
        }
        let mut state = self.state.borrow_mut();
        state.waiters.remove(&id);
        state.admission.cancel(id);
    }

    /// Releases the slot of a request, grants it to the next one that waits, and notifies
    /// the waiting requests whose deadlines have passed.
    fn release_slot(&self) {
        let mut state = self.state.borrow_mut();
        loop {
            let (next, expired) = state.admission.finish(self.node.clock.now());
            for id in expired {
                if let Some(waiter) = state.waiters.remove(&id) {
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

    async fn send_to_upstream(&self, request: &ForwardRequest, deadline: Duration) -> ForwardReply {
        let addr = self
            .state
            .borrow()
            .upstream
            .as_ref()
            .map(|u| u.announcement.addr);
        let Some(addr) = addr else {
            return ForwardReply::failure(Code::NoUpstream, "the sidecar has no upstream");
        };
        let outgoing = match build_request(request, addr) {
            Ok(outgoing) => outgoing,
            Err(e) => return ForwardReply::failure(Code::BadRequest, e.to_string()),
        };
        let timeout = deadline.saturating_sub(self.node.clock.now());
        let account = request.account.clone();
        self.node
            .log
            .emit_for(Event::RequestForwarded, request.id.clone(), account, "");
        match self
            .client
            .call(addr, outgoing, timeout, MAX_RESPONSE_BYTES)
            .await
        {
            Ok(response) => check_response(request, response),
            Err(e @ SendError::Unexpected(..)) => {
                ForwardReply::failure(Code::NotRun, e.to_string())
            }
            Err(SendError::NotSent(e)) => ForwardReply::failure(Code::NotRun, e),
            Err(SendError::Unanswered(e)) => ForwardReply::failure(Code::OutcomeUnknown, e),
            Err(SendError::Truncated(e)) => ForwardReply::failure(Code::Truncated, e),
        }
    }
}

/// Returns the reply to retain for a key; a large one is replaced by an unknown outcome.
fn retained_reply(reply: &ForwardReply) -> ForwardReply {
    if reply.body.len() <= MAX_RETAINED_RESPONSE_BYTES {
        return reply.clone();
    }
    ForwardReply::failure(
        Code::OutcomeUnknown,
        "the request ran, but its response was too large to retain",
    )
}

fn build_request(
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

/// Converts a response of the upstream into a reply.
///
/// A response that names another request becomes a failure.
fn check_response(request: &ForwardRequest, response: http::Response<Bytes>) -> ForwardReply {
    let echoed = response.headers().get("x-request-id");
    if echoed.is_some_and(|id| id.as_bytes() != request.id.as_bytes()) {
        return ForwardReply::failure(Code::WrongAnswer, Code::WrongAnswer.meaning());
    }
    let forwarded = response
        .headers()
        .iter()
        .filter(|(n, _)| !UNFORWARDED_HEADERS.contains(&n.as_str()));
    let headers = forwarded
        .map(|(n, v)| (n.as_str().into(), Bytes::copy_from_slice(v.as_bytes())))
        .collect();
    ForwardReply {
        code: Code::Done,
        detail: SmolStr::default(),
        status: response.status().as_u16(),
        headers,
        body: response.into_body(),
        replayed: false,
        running: 0,
        queued: 0,
    }
}
