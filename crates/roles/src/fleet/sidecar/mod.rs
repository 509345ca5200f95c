//! The sidecar of a fleet: receives the heartbeats of its worker and passes orders on to it.

mod drain;
mod incarnations;

use super::Shared;
use super::create_limiter;
use super::deliver::ORDER_SERVICE;
use super::keys;
use super::port::Worker;
use super::port::WorkerMessage;
use super::registration::register;
use super::serve_metrics;
use anyhow::Context;
use bytes::Bytes;
use compio::net::TcpListener;
use compio::time::sleep;
use futures_channel::oneshot;
use hibiscusbarrow_adapters::clients::Shares;
use hibiscusbarrow_adapters::http::Limits;
use hibiscusbarrow_adapters::http::Reply;
use hibiscusbarrow_adapters::http::Request;
use hibiscusbarrow_adapters::http::bind;
use hibiscusbarrow_adapters::http::serve_limited;
use hibiscusbarrow_adapters::http::text_reply;
use hibiscusbarrow_adapters::rpc;
use hibiscusbarrow_adapters::rpc::ForwardReply;
use hibiscusbarrow_adapters::rpc::ForwardRequest;
use hibiscusbarrow_adapters::rpc::Handlers;
use hibiscusbarrow_adapters::rpc::RpcLimits;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_fleet::announced::AnnouncedWorker;
use hibiscusbarrow_fleet::announced::Verdict;
use hibiscusbarrow_fleet::departure::Departure;
use hibiscusbarrow_fleet::ended_runs::EndedRuns;
use hibiscusbarrow_fleet::fencing::FencingTokens;
use hibiscusbarrow_fleet::last_listing::LastListing;
use hibiscusbarrow_fleet::start_limit::WorkerClock;
use hibiscusbarrow_fleet::stray_calls::StrayCalls;
use hibiscusbarrow_fleet::worker::Announcement;
use hibiscusbarrow_fleet::worker::Answer;
use hibiscusbarrow_fleet::worker::Boot;
use hibiscusbarrow_fleet::worker::Envelope;
use hibiscusbarrow_fleet::worker::Order;
use hibiscusbarrow_fleet::worker::Refusal;
use hibiscusbarrow_fleet::worker::Start;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::event::Event;
use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// A sidecar that receives no order for this long registers its address again.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(6);
/// The largest message of a peer, in bytes; orders take a few KiB.
const MAX_PEER_MESSAGE: u64 = 4 << 20;
/// The time for answers in flight to be sent at a planned stop.
const STOP_DELAY: Duration = Duration::from_millis(300);

struct Sidecar {
    shared: Rc<Shared>,
    worker: Worker,
    announced: RefCell<AnnouncedWorker>,
    /// The newest heartbeat of an incarnation that has yet to answer under its identifier.
    unconfirmed: RefCell<Option<Announcement>>,
    /// Whether an incarnation is being asked for an answer.
    confirming: Cell<bool>,
    /// The runs that ended or were stopped, so that no delayed order starts them again.
    ended_runs: RefCell<EndedRuns>,
    /// The calls to the worker that got no answer.
    stray_calls: RefCell<StrayCalls>,
    /// The fencing tokens of the orders to the worker.
    fencing: RefCell<FencingTokens>,
    /// The start time of the last incarnation that was put on hold.
    held: Cell<Option<u64>>,
    /// When the worker leaves, as announced in its heartbeats.
    departure: RefCell<Departure>,
    /// What the worker listed last if it drains.
    last_listing: RefCell<LastListing>,
    /// The worker's clock, against which the latest time of a start is checked.
    clock: Cell<WorkerClock>,
    /// Whether the worker is watched between the polls of the placer.
    watching: Cell<bool>,
    /// Cloned by each poll that has no answer yet.
    open_polls: Rc<()>,
    /// The highest epoch of a placer seen so far.
    epoch: Cell<u64>,
    /// When the last order arrived.
    last_order: Cell<Duration>,
    /// When this process started, in milliseconds since the Unix epoch.
    started: u64,
}

/// Runs a sidecar until a planned stop is complete.
///
/// # Errors
///
/// Fails if an address is missing from the settings or cannot be bound.
pub async fn run(shared: Shared, worker: Worker) -> anyhow::Result<()> {
    let shared = Rc::new(shared);
    let settings = &shared.settings;
    let heartbeat_addr = settings
        .heartbeat_addr
        .context("the settings have no address for heartbeats")?;
    let limits = Limits {
        is_reserved: |_| true,
        ..Limits::default()
    };
    let heartbeat_listener = bind(heartbeat_addr, &limits)
        .await
        .context("cannot bind the address for heartbeats")?;
    let peer_listener = TcpListener::bind(settings.peer_addr)
        .await
        .context("cannot bind the address for peers")?;
    let limiter = create_limiter(&shared, Shares::FLEET_SIDECAR);
    serve_metrics(&shared, &limiter);
    let detail = format!(
        "sidecar beats={:?} peer={}",
        settings.heartbeat_addr, settings.peer_addr
    );
    shared
        .log
        .emit(Event::Started, settings.name.clone(), detail);
    limiter.log_limits();
    let sidecar = Rc::new(Sidecar {
        worker,
        announced: RefCell::default(),
        unconfirmed: RefCell::default(),
        confirming: Cell::new(false),
        ended_runs: RefCell::new(EndedRuns::default()),
        stray_calls: RefCell::default(),
        fencing: RefCell::default(),
        held: Cell::new(None),
        departure: RefCell::default(),
        last_listing: RefCell::default(),
        clock: Cell::default(),
        watching: Cell::new(false),
        open_polls: Rc::default(),
        epoch: Cell::new(0),
        last_order: Cell::new(shared.clock.now()),
        started: shared.clock.wall_ms(),
        shared: shared.clone(),
    });
    let peer_limits = RpcLimits::new(limiter.clone(), MAX_PEER_MESSAGE);
    compio::runtime::spawn(sidecar.clone().keep_registered()).detach();
    compio::runtime::spawn(sidecar.clone().serve_orders(peer_listener, peer_limits)).detach();
    let handler = {
        let sidecar = sidecar.clone();
        move |request: Request| {
            let reply = sidecar.clone().handle_message(&request);
            async move { reply }
        }
    };
    let stop = Flag::default();
    let serving = serve_limited(heartbeat_listener, limiter, limits, stop, handler);
    compio::runtime::spawn(serving).detach();
    shared.stop.wait().await;
    sleep(STOP_DELAY).await;
    shared.log.emit(
        Event::Stopped,
        shared.settings.name.clone(),
        "orders answered",
    );
    Ok(())
}

impl Sidecar {
    /// Registers the sidecar's address, and again whenever no order arrives for
    /// [`REGISTRATION_TIMEOUT`], so that the placer finds it.
    async fn keep_registered(self: Rc<Self>) {
        loop {
            let settings = &self.shared.settings;
            let key = keys::worker(&settings.name);
            register(&self.shared, key, settings.peer_addr).await;
            self.wait_without_orders().await;
        }
    }

    /// Waits until no order has arrived for [`REGISTRATION_TIMEOUT`].
    async fn wait_without_orders(&self) {
        let registered_at = self.shared.clock.now();
        loop {
            let last = self.last_order.get().max(registered_at);
            let idle_time = self.shared.clock.now() - last;
            if idle_time >= REGISTRATION_TIMEOUT {
                return;
            }
            sleep(REGISTRATION_TIMEOUT - idle_time).await;
        }
    }

    fn handle_message(self: Rc<Self>, request: &Request) -> Reply {
        match (self.worker.decode_message)(request) {
            Ok(WorkerMessage::Heartbeat(heartbeat)) => self.handle_heartbeat(heartbeat),
            Ok(WorkerMessage::Left(id)) => {
                if self.announced.borrow_mut().announce_end(&id) {
                    let log = &self.shared.log;
                    log.emit(Event::UpstreamLeaving, id, "the worker ends");
                }
                text_reply(200, "")
            }
            Err(detail) => {
                let log = &self.shared.log;
                log.emit(
                    Event::BeatRefused,
                    self.shared.settings.name.clone(),
                    detail,
                );
                text_reply(400, "")
            }
        }
    }

    fn handle_heartbeat(self: Rc<Self>, mut heartbeat: Announcement) -> Reply {
        if heartbeat.domain.is_empty() {
            heartbeat.domain = self.shared.settings.domain.clone();
        }
        let former = self.announced.borrow().current().cloned();
        let verdict = self.announced.borrow_mut().hear(&heartbeat);
        match verdict {
            Verdict::Accepted => {
                self.log_accepted(&heartbeat, former.as_ref());
                self.schedule_early_stops(&heartbeat);
            }
            Verdict::Outdated => {
                let known = former.map_or(0, |a| a.sequence);
                let detail = format!(
                    "born={} sequence={} is not above {known}",
                    heartbeat.boot.born, heartbeat.sequence
                );
                let log = &self.shared.log;
                log.emit(Event::BeatRefused, heartbeat.boot.id, detail);
            }
            Verdict::Unconfirmed => {
                *self.unconfirmed.borrow_mut() = Some(heartbeat);
                if !self.confirming.replace(true) {
                    compio::runtime::spawn(self.confirm_incarnations()).detach();
                }
            }
        }
        text_reply(200, "{}")
    }

    /// Logs a heartbeat that shows another incarnation or state than the former one.
    fn log_accepted(&self, heartbeat: &Announcement, former: Option<&Announcement>) {
        if former.is_some_and(|f| (&f.boot, f.draining) == (&heartbeat.boot, heartbeat.draining)) {
            return;
        }
        let former = former.map(|f| (&f.boot, f.sequence));
        let detail = format!(
            "born={} draining={} sequence={} room={:?} labels={:?} former={former:?}",
            heartbeat.boot.born,
            heartbeat.draining,
            heartbeat.sequence,
            heartbeat.capacity,
            heartbeat.labels
        );
        let event = if heartbeat.draining {
            Event::UpstreamLeaving
        } else {
            Event::UpstreamAnnounced
        };
        let log = &self.shared.log;
        log.emit(event, heartbeat.boot.id.clone(), detail);
    }

    async fn serve_orders(self: Rc<Self>, listener: TcpListener, limits: RpcLimits) {
        let sidecar = self.clone();
        let handlers = Handlers {
            forward: Rc::new(move |request| Box::pin(sidecar.clone().handle_request(request))),
            config: Rc::new(|_| None),
        };
        rpc::serve_limited(listener, handlers, rpc::Shutdown::default(), limits).await;
    }

    async fn handle_request(self: Rc<Self>, request: ForwardRequest) -> ForwardReply {
        let envelope: Result<Envelope, _> = serde_json::from_slice(&request.body);
        let envelope = match envelope {
            Ok(envelope) if request.service == ORDER_SERVICE => envelope,
            _ => {
                self.shared.log.emit(
                    Event::PeerRefused,
                    "order",
                    "the request is not a valid order",
                );
                return ForwardReply::failure(Code::BadRequest, "the request is not a valid order");
            }
        };
        self.last_order.set(self.shared.clock.now());
        // The call ends with its connection. What an order has done must be recorded all the same.
        let (sender, receiver) = oneshot::channel();
        compio::runtime::spawn(async move {
            let _ = sender.send(self.handle_order(envelope).await);
        })
        .detach();
        let answer = receiver.await.unwrap_or(Answer::Silent);
        ForwardReply {
            code: Code::Done,
            body: Bytes::from(serde_json::to_vec(&answer).expect("an answer can be serialized")),
            ..ForwardReply::failure(Code::Done, "")
        }
    }

    async fn handle_order(self: &Rc<Self>, envelope: Envelope) -> Answer {
        if envelope.epoch < self.epoch.get() {
            return Answer::Refused(Refusal::Epoch);
        }
        self.epoch.set(envelope.epoch);
        let is_poll = matches!(envelope.order, Order::Poll { .. });
        let _open = is_poll.then(|| self.open_polls.clone());
        let announced = self.announced.borrow().current().cloned();
        let Some(announced) = announced else {
            let Some(left) = self.announced.borrow().departed().cloned() else {
                return Answer::Refused(Refusal::Boot);
            };
            let kept = self.answer_in_place(&envelope, &left);
            return kept.unwrap_or(Answer::Left(left.id));
        };
        if let Some(kept) = self.answer_for_former(&envelope, &announced.boot) {
            return kept;
        }
        let mut envelope = envelope;
        if envelope.boot.as_ref() != Some(&announced.boot) {
            match &mut envelope.order {
                // The numbering of ends and the clock of a previous incarnation do not apply.
                Order::Poll {
                    acknowledged,
                    deadline,
                    wait,
                } => {
                    (*acknowledged, *deadline, *wait) = (0, None, 0);
                }
                _ => return Answer::Refused(Refusal::Boot),
            }
        }
        if let Order::Start(start) = &envelope.order {
            if announced.is_ending() || self.shared.stop.is_raised() {
                return Answer::Refused(Refusal::Draining);
            }
            if self.ended_runs.borrow().contains(&start.task, start.run) {
                return Answer::Refused(Refusal::Old);
            }
            let now = self.shared.clock.now();
            let clock = self.clock.get();
            if clock.is_too_late(start, announced.boot.born, now) {
                return self.refuse_late(&announced.boot, start);
            }
        }
        if let Order::Stop { task, run } = &envelope.order {
            self.ended_runs.borrow_mut().insert(task, *run);
        }
        let answer = self
            .send_to_worker(envelope.clone(), announced.clone())
            .await;
        self.track_strays(&announced.boot, &envelope.order, &answer)
            .await;
        self.probe_if_on_hold(&announced, &envelope.order, &answer);
        if !matches!(answer, Answer::Listed(..)) {
            let left = self.check_departure(&announced.boot).await;
            if let Some(kept) = self.answer_in_place(&envelope, &announced.boot) {
                return kept;
            }
            if let Some(left) = left {
                return Answer::Left(left);
            }
        }
        match answer {
            Answer::Listed(_, listing) => {
                let mut clock = self.clock.get();
                clock.read(&listing, self.shared.clock.now());
                self.clock.set(clock);
                for end in &listing.ended {
                    self.ended_runs.borrow_mut().insert(&end.task, end.run);
                }
                self.release_if_ended(&announced.boot, &listing);
                let newest = self.newest_of(announced);
                self.keep_listing(&newest, &listing);
                Answer::Listed(Box::new(newest), listing)
            }
            Answer::Accepted | Answer::Left(_) => answer,
            Answer::Refused(_) | Answer::Unreadable(_) | Answer::Silent => {
                let detail = format!("epoch={} {:?}: {answer:?}", envelope.epoch, envelope.order);
                let log = &self.shared.log;
                log.emit(
                    Event::OrderRefused,
                    self.shared.settings.name.clone(),
                    detail,
                );
                answer
            }
        }
    }

    /// Refuses a start whose latest time has passed, or cannot be checked.
    fn refuse_late(&self, boot: &Boot, start: &Start) -> Answer {
        let detail = format!(
            "boot={} {:?} run={} latest={:?} {:?}: refused as too late",
            boot.id,
            start.task,
            start.run,
            start.latest,
            self.clock.get()
        );
        let log = &self.shared.log;
        log.emit(
            Event::OrderRefused,
            self.shared.settings.name.clone(),
            detail,
        );
        Answer::Refused(Refusal::Late)
    }
}
