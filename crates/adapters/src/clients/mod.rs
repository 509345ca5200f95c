//! The limits that all clients of a process share: one budget of memory and connections for
//! all listeners, and the connections that hold a part of it.

mod limits;
mod stream;

pub use limits::MachineLimits;
pub use limits::Shares;
pub use limits::default_descriptors;
pub use limits::default_memory;
pub(crate) use stream::BUFFER_BYTES;
pub use stream::LimitedStream;

use crate::log::EventLog;
use crate::metrics::Metrics;
use compio::time::sleep;
use compio::time::timeout;
use futures_util::future::AbortHandle;
use futures_util::future::poll_fn;
use hibiscusbarrow_coordination::client_budget::Class;
use hibiscusbarrow_coordination::client_budget::ClientBudget;
use hibiscusbarrow_coordination::client_budget::ConnectionId;
use hibiscusbarrow_coordination::client_budget::Phase;
use hibiscusbarrow_coordination::client_budget::Pool;
use hibiscusbarrow_coordination::client_budget::Size;
use hibiscusbarrow_coordination::client_budget::Verdict;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_model::event::Event;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

/// The bytes of memory that an open connection holds apart from heads, bodies and answers: its
/// task, the buffers of its stream and of its HTTP parser.
///
/// See docs/design/untrusted-clients.md for the measurement.
pub const CONNECTION_BYTES: u64 = 48 << 10;
/// The largest body of a request that counts as small, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// The time without a byte after which a connection may be closed to make room. A client that
/// sends steadily is rarely quiet for so long: a lost packet is repeated after 200 ms and a round
/// trip.
const STALL_GRACE: Duration = Duration::from_millis(500);
/// What is added to a wait for a stall, as the timer may end it a little early.
const STALL_SLACK: Duration = Duration::from_millis(5);
/// After a wait for a connection that did not make room, others are refused without a wait for
/// this time, so that clients that send steadily cannot delay all newcomers.
const NO_WAIT_PERIOD: Duration = Duration::from_secs(1);
/// The longest wait of a newcomer for a connection on which it can be refused. A burst fills them
/// before the first refusal is sent, and a client that sends its request leaves within milliseconds.
const OVERFLOW_WAIT: Duration = Duration::from_millis(250);
/// The longest wait for connections that are being closed to release what they hold.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The most lines that are logged for one event within [`LOG_WINDOW`], so that clients cannot
/// displace the other events that a process retains.
const MAX_LOG_LINES: u32 = 5;
/// The interval after which the line count of an event is reset.
const LOG_WINDOW: Duration = Duration::from_secs(1);

/// The memory in bytes and the descriptors of a stand-in's machine.
const DETACHED_MEMORY: u64 = 8 << 30;
const DETACHED_DESCRIPTORS: usize = 65_536;

/// The limits that all clients of a process share; clones share one budget.
#[derive(Clone)]
pub struct ClientLimiter {
    inner: Rc<Inner>,
}

struct Inner {
    budget: RefCell<ClientBudget>,
    open: RefCell<HashMap<ConnectionId, OpenEntry>>,
    /// Woken whenever a connection releases a part of what it holds.
    waiting: RefCell<Vec<Waker>>,
    lines: RefCell<BTreeMap<Event, LogWindow>>,
    /// Until when newcomers are refused without a wait for connections that may stall.
    no_wait_until: Cell<Duration>,
    /// Until when newcomers are closed without a wait for a connection to refuse them on.
    no_refusal_until: Cell<Duration>,
    clock: Clock,
    log: EventLog,
    metrics: Rc<Metrics>,
}

struct OpenEntry {
    abort: AbortHandle,
    addr: SocketAddr,
    class: Class,
}

#[derive(Clone, Copy, Default)]
struct LogWindow {
    start: Duration,
    lines: u32,
    dropped: u64,
}

/// The refusal of a share of the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the budget of the process for its clients is exhausted")]
pub struct Exhausted;

impl ClientLimiter {
    /// Creates the limits of a process.
    pub fn new(
        pools: BTreeMap<Class, Pool>,
        clock: Clock,
        log: EventLog,
        metrics: Rc<Metrics>,
    ) -> Self {
        let inner = Inner {
            budget: RefCell::new(ClientBudget::new(pools, STALL_GRACE)),
            open: RefCell::default(),
            waiting: RefCell::default(),
            lines: RefCell::default(),
            no_wait_until: Cell::default(),
            no_refusal_until: Cell::default(),
            clock,
            log,
            metrics,
        };
        let inner = Rc::new(inner);
        let observed = Rc::downgrade(&inner);
        inner.metrics.add_observer(move |metrics| {
            if let Some(inner) = observed.upgrade() {
                set_levels(&inner.budget.borrow(), metrics);
            }
        });
        Self { inner }
    }

    /// Creates the limits of a large machine, which log and count nothing, for stand-ins.
    ///
    /// # Panics
    ///
    /// Panics if the metrics cannot be created.
    pub fn detached() -> Self {
        let clock = Clock::system();
        let machine = MachineLimits {
            memory: DETACHED_MEMORY,
            descriptors: DETACHED_DESCRIPTORS,
        };
        let pools = machine.pools(Shares::GATEWAY);
        let log = EventLog::new("", clock.clone(), crate::log::discard());
        let metrics = Rc::new(Metrics::new().expect("the metrics are valid"));
        Self::new(pools, clock, log, metrics)
    }

    /// Logs the limits.
    pub fn log_limits(&self) {
        let budget = self.inner.budget.borrow();
        let pools = Class::ALL.map(|class| {
            let (name, pool) = (class.name(), budget.pool(class));
            format!(
                "{name}_bytes={} {name}_connections={}",
                pool.bytes, pool.connections
            )
        });
        let log = &self.inner.log;
        log.emit(Event::ClientLimits, "limits", pools.join(" "));
    }

    /// Returns how long a client that was refused should wait.
    pub fn retry_after(&self) -> Duration {
        self.inner.budget.borrow().retry_after()
    }

    /// Opens a connection of a class; waits until stalled connections have made room for it.
    ///
    /// The abort handle has to end the task of the connection and drop all that it holds.
    ///
    /// # Errors
    ///
    /// Fails if no connection or memory is left and no stalled connection can be closed.
    pub async fn open(
        &self,
        class: Class,
        addr: SocketAddr,
        abort: AbortHandle,
    ) -> Result<Rc<ClientConnection>, Exhausted> {
        let mut opened = self.open_at_once(class, addr).await;
        let now = self.inner.clock.now();
        let may_wait = class != Class::Overflow && now >= self.inner.no_wait_until.get();
        let deadline = now + STALL_GRACE + STALL_SLACK;
        while opened.is_err() && self.wait_for_stall(class, may_wait, deadline).await {
            opened = self.open_at_once(class, addr).await;
        }
        if opened.is_err() && may_wait {
            let now = self.inner.clock.now();
            self.inner.no_wait_until.set(now + NO_WAIT_PERIOD);
        }
        let id = opened?;
        let entry = OpenEntry { abort, addr, class };
        self.inner.open.borrow_mut().insert(id, entry);
        let now = self.inner.clock.now();
        Ok(Rc::new(ClientConnection {
            limiter: self.clone(),
            id,
            class,
            addr,
            phase: Cell::new(Phase::Head),
            head_bytes: Cell::new(0),
            has_heads: Cell::new(true),
            last_read: Cell::new(now),
            is_refused: Cell::new(false),
        }))
    }

    /// Opens a connection on which a client can be refused; waits for a short time while all of them
    /// are in use.
    ///
    /// # Errors
    ///
    /// Fails if none becomes free, and for [`NO_WAIT_PERIOD`] after that without a wait.
    pub(crate) async fn open_overflow(
        &self,
        addr: SocketAddr,
        abort: AbortHandle,
    ) -> Result<Rc<ClientConnection>, Exhausted> {
        let now = self.inner.clock.now();
        let may_wait = now >= self.inner.no_refusal_until.get();
        let deadline = now + OVERFLOW_WAIT;
        loop {
            let opened = self.open(Class::Overflow, addr, abort.clone()).await;
            let now = self.inner.clock.now();
            if opened.is_ok() || !may_wait {
                return opened;
            }
            if now >= deadline || !self.wait_for_any_release(deadline - now).await {
                let now = self.inner.clock.now();
                self.inner.no_refusal_until.set(now + NO_WAIT_PERIOD);
                return opened;
            }
        }
    }

    /// Waits until any connection releases a part of what it holds; returns whether one did in time.
    async fn wait_for_any_release(&self, longest: Duration) -> bool {
        let mut is_waiting = false;
        let release = poll_fn(|cx| {
            if std::mem::replace(&mut is_waiting, true) {
                return Poll::Ready(());
            }
            self.wait_for_release(cx);
            Poll::Pending
        });
        timeout(longest, release).await.is_ok()
    }

    async fn open_at_once(
        &self,
        class: Class,
        addr: SocketAddr,
    ) -> Result<ConnectionId, Exhausted> {
        let opening = poll_fn(|cx| {
            self.poll_verdict(cx, |budget, now| {
                budget.open(now, class, addr.ip(), CONNECTION_BYTES)
            })
        });
        timeout(CLOSE_TIMEOUT, opening)
            .await
            .unwrap_or(Err(Exhausted))
    }

    /// Waits until the next connection of a class makes way, if it stays quiet; returns whether
    /// that is before the deadline. Without `for_all`, only those that are closing count.
    async fn wait_for_stall(&self, class: Class, for_all: bool, deadline: Duration) -> bool {
        let now = self.inner.clock.now();
        let stall = {
            let budget = self.inner.budget.borrow();
            match for_all {
                true => budget.next_stall(now, class),
                false => budget.next_closing(now, class),
            }
        };
        let Some(stall) = stall.filter(|stall| *stall < deadline) else {
            return false;
        };
        sleep(stall.saturating_sub(now) + STALL_SLACK).await;
        true
    }

    /// Closes the connection that is idle or stalled for longest, as a descriptor is lacking.
    pub(crate) fn close_one(&self, class: Class) {
        let now = self.inner.clock.now();
        let victim = self.inner.budget.borrow_mut().close_quietest(now, class);
        self.close_all(victim);
    }

    /// Asks the budget; closes the connections that it names, and waits until they are closed.
    fn poll_verdict<T>(
        &self,
        cx: &mut Context<'_>,
        mut ask: impl FnMut(&mut ClientBudget, Duration) -> Verdict<T>,
    ) -> Poll<Result<T, Exhausted>> {
        let now = self.inner.clock.now();
        let verdict = ask(&mut self.inner.budget.borrow_mut(), now);
        match verdict {
            Verdict::Granted(value) => Poll::Ready(Ok(value)),
            Verdict::Refused => Poll::Ready(Err(Exhausted)),
            Verdict::Wait(victims) => {
                self.close_all(victims);
                self.wait_for_release(cx);
                Poll::Pending
            }
        }
    }

    /// Closes connections to make room.
    fn close_all(&self, victims: impl IntoIterator<Item = ConnectionId>) {
        let now = self.inner.clock.now();
        for id in victims {
            let described = self.inner.budget.borrow().describe(now, id);
            let open = self.inner.open.borrow();
            let (Some(entry), Some((phase, held, quiet))) = (open.get(&id), described) else {
                continue;
            };
            entry.abort.abort();
            if phase == Phase::Closing {
                continue;
            }
            let cause = match phase {
                Phase::Idle => "idle",
                Phase::Head => "stalled_head",
                Phase::Body => "stalled_body",
                Phase::Reply | Phase::Handling | Phase::Persistent | Phase::Closing => {
                    "stalled_reply"
                }
            };
            let class = entry.class.name();
            let detail = format!("cause={cause} class={class} bytes={held} quiet={quiet:?}");
            self.record_closed(cause, entry.addr, &detail);
        }
    }

    /// Counts and logs a connection that was closed without an answer.
    pub(crate) fn record_closed(&self, cause: &'static str, addr: SocketAddr, detail: &str) {
        self.inner.metrics.count_client_closed(cause);
        self.emit(Event::ClientClosed, addr, detail);
    }

    /// Counts and logs a request that was refused.
    pub(crate) fn record_refused(&self, cause: &'static str, addr: SocketAddr, detail: &str) {
        self.inner.metrics.count_client_refused(cause);
        let event = match cause {
            "too_large" => Event::BodyTooLarge,
            "peer_message" | "peer_call" => Event::PeerLimited,
            _ => Event::ClientRefused,
        };
        self.emit(event, addr, detail);
    }

    /// Counts and logs a connection that could not be accepted.
    pub(crate) fn record_accept_failure(&self, error: &std::io::Error) {
        self.inner.metrics.count_client_closed("accept_failed");
        let detail = error.to_string();
        self.emit_about(Event::AcceptFailed, "accept".to_owned(), &detail);
    }

    fn emit(&self, event: Event, addr: SocketAddr, detail: &str) {
        self.emit_about(event, addr.to_string(), detail);
    }

    /// Logs an event unless [`MAX_LOG_LINES`] of it were logged within the window.
    fn emit_about(&self, event: Event, subject: String, detail: &str) {
        let now = self.inner.clock.now();
        let mut windows = self.inner.lines.borrow_mut();
        let window = windows.entry(event).or_default();
        if now >= window.start + LOG_WINDOW {
            (window.start, window.lines) = (now, 0);
        }
        if window.lines >= MAX_LOG_LINES {
            window.dropped += 1;
            return;
        }
        window.lines += 1;
        let dropped = std::mem::take(&mut window.dropped);
        let detail = match dropped {
            0 => detail.to_owned(),
            _ => format!("{detail} not_logged={dropped}"),
        };
        self.inner.log.emit(event, subject, detail);
    }

    /// Waits until any connection releases a part of what it holds.
    pub(crate) fn wait_for_release(&self, cx: &mut Context<'_>) {
        let mut waiting = self.inner.waiting.borrow_mut();
        if !waiting.iter().any(|waker| waker.will_wake(cx.waker())) {
            waiting.push(cx.waker().clone());
        }
    }

    fn wake_waiting(&self) {
        for waker in self.inner.waiting.take() {
            waker.wake();
        }
    }
}

/// Sets the gauges of the limits and of what the clients hold.
fn set_levels(budget: &ClientBudget, metrics: &Metrics) {
    for class in Class::ALL {
        let (pool, usage) = (budget.pool(class), budget.usage(class));
        let levels = [
            ("bytes", usage.bytes),
            ("bytes_limit", pool.bytes),
            ("connections", usage.connections as u64),
            ("connections_limit", pool.connections as u64),
        ];
        for (name, value) in levels {
            metrics.set_client_level(class.name(), name, value);
        }
    }
}

/// An open connection of a client, which returns what it holds when it is dropped.
pub struct ClientConnection {
    limiter: ClientLimiter,
    id: ConnectionId,
    /// The class of the client.
    pub class: Class,
    /// The address of the client.
    pub addr: SocketAddr,
    phase: Cell<Phase>,
    /// The bytes of the current request's head that were received.
    head_bytes: Cell<u64>,
    /// Whether the received bytes are parsed as requests of HTTP.
    has_heads: Cell<bool>,
    last_read: Cell<Duration>,
    /// Whether a request was refused before it was read completely.
    is_refused: Cell<bool>,
}

impl ClientConnection {
    /// Holds `bytes` in addition to the fixed cost and the head; waits until stalled
    /// connections have made room.
    ///
    /// # Errors
    ///
    /// Fails if they do not fit; what the connection holds is then unchanged.
    pub async fn hold(&self, bytes: u64, size: Size) -> Result<(), Exhausted> {
        let mut held = Self::wait_for_room(|cx| self.poll_hold(cx, bytes, size)).await;
        if size == Size::Large {
            return held;
        }
        // A small request is worth a short wait for connections that have just gone quiet. It
        // is quiet itself meanwhile, for no fault of its client, and must not make way.
        let deadline = self.now() + STALL_GRACE + STALL_SLACK;
        let (limiter, class, phase) = (&self.limiter, self.class, self.phase.get());
        self.enter(Phase::Handling);
        while held.is_err() && limiter.wait_for_stall(class, true, deadline).await {
            held = Self::wait_for_room(|cx| self.poll_hold(cx, bytes, size)).await;
        }
        self.enter(phase);
        held
    }

    /// Polls for a share until stalled connections have made room, for a bounded time.
    pub(crate) async fn wait_for_room(
        poll: impl FnMut(&mut Context<'_>) -> Poll<Result<(), Exhausted>>,
    ) -> Result<(), Exhausted> {
        let granted = timeout(CLOSE_TIMEOUT, poll_fn(poll));
        granted.await.unwrap_or(Err(Exhausted))
    }

    /// Polls for a share as [`Self::hold`] does, without a timeout.
    pub(crate) fn poll_hold(
        &self,
        cx: &mut Context<'_>,
        bytes: u64,
        size: Size,
    ) -> Poll<Result<(), Exhausted>> {
        let total = CONNECTION_BYTES + self.head_share() + bytes;
        let limiter = &self.limiter;
        let held = limiter.poll_verdict(cx, |budget, now| budget.hold(now, self.id, total, size));
        // A refusal changes nothing; woken by it, two that wait for a release would wake each
        // other without end.
        if matches!(held, Poll::Ready(Ok(()))) {
            limiter.wake_waiting();
        }
        held
    }

    /// Lowers what is held in addition to the fixed cost and the head.
    pub(crate) fn lower(&self, bytes: u64, size: Size) {
        let total = CONNECTION_BYTES + self.head_share() + bytes;
        let (limiter, now) = (&self.limiter, self.now());
        let mut budget = limiter.inner.budget.borrow_mut();
        budget.hold(now, self.id, total, size);
        drop(budget);
        limiter.wake_waiting();
    }

    /// Holds nothing but the fixed cost from now on, and waits for the next request.
    pub(crate) fn finish_request(&self) {
        self.head_bytes.set(0);
        self.enter(Phase::Idle);
        self.lower(0, Size::Small);
    }

    /// Returns the bytes held for the head of the current request.
    ///
    /// The parser's buffer grows by doubling and is part of the fixed cost up to
    /// [`BUFFER_BYTES`].
    fn head_share(&self) -> u64 {
        let bytes = self.head_bytes.get();
        if bytes <= BUFFER_BYTES as u64 {
            return 0;
        }
        2 * bytes
    }

    /// Records bytes that were received.
    fn record_read(&self, bytes: usize) {
        let now = self.now();
        self.last_read.set(now);
        self.record_progress();
        if !self.has_heads.get() {
            return;
        }
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Head);
        }
        if self.phase.get() == Phase::Head {
            self.head_bytes.set(self.head_bytes.get() + bytes as u64);
        }
    }

    /// Records progress other than a received byte.
    fn record_progress(&self) {
        let now = self.now();
        let mut budget = self.limiter.inner.budget.borrow_mut();
        budget.record_progress(now, self.id);
    }

    pub(crate) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        let now = self.now();
        let mut budget = self.limiter.inner.budget.borrow_mut();
        budget.enter(now, self.id, phase);
    }

    pub(crate) fn now(&self) -> Duration {
        self.limiter.inner.clock.now()
    }

    /// Returns when the last byte was received.
    pub(crate) fn last_read(&self) -> Duration {
        self.last_read.get()
    }

    pub(crate) fn limiter(&self) -> &ClientLimiter {
        &self.limiter
    }

    /// Records that the connection does not carry HTTP.
    pub(crate) fn use_other_protocol(&self) {
        self.has_heads.set(false);
        self.enter(Phase::Body);
    }

    pub(crate) fn mark_refused(&self) {
        self.is_refused.set(true);
    }

    pub(crate) fn is_refused(&self) -> bool {
        self.is_refused.get()
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let limiter = &self.limiter;
        limiter.inner.open.borrow_mut().remove(&self.id);
        limiter.inner.budget.borrow_mut().close(self.id);
        limiter.wake_waiting();
    }
}
