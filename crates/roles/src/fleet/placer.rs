//! The placer: drives the ledger with what the store and the workers say.

use super::Shared;
use super::cache::Change;
use super::cache::StoreCache;
use super::commit::Stored;
use super::commit::store;
use super::deliver::deliver;
use super::deliver::order_kind;
use super::election::PlacerLease;
use super::keys;
use super::notify::News;
use super::notify::Notifier;
use super::port::Item;
use super::port::PolicyService;
use bytes::Bytes;
use compio::time::sleep;
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::future::Either;
use futures_util::future::select;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_fleet::ledger::ApprovalRequest;
use hibiscusbarrow_fleet::ledger::Batch;
use hibiscusbarrow_fleet::ledger::Decision;
use hibiscusbarrow_fleet::ledger::Effect;
use hibiscusbarrow_fleet::ledger::Ledger;
use hibiscusbarrow_fleet::ledger::Note;
use hibiscusbarrow_fleet::record::Record;
use hibiscusbarrow_fleet::worker::Answer;
use hibiscusbarrow_fleet::worker::Boot;
use hibiscusbarrow_fleet::worker::Envelope;
use hibiscusbarrow_fleet::worker::Order;
use hibiscusbarrow_fleet::worker::Refusal;
use hibiscusbarrow_model::event::Event;
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// The time between two publications of levels.
const LEVELS: Duration = Duration::from_secs(1);
/// The longest time between two plans.
const TICK: Duration = Duration::from_millis(100);
/// Time for an order to be answered beyond the wait that it asks for.
const ORDER_LIMIT: Duration = Duration::from_millis(1_200);
/// The attempts to start a run before its outcome is in doubt.
const ATTEMPTS: u32 = 2;
/// The pause before a silent worker is looked at again.
const LOOK_PAUSE: Duration = Duration::from_millis(250);
/// The wait for the store before a worker with unstored ends is looked at again.
const STORE_WAIT: Duration = Duration::from_millis(250);

/// Enumerates what reaches the placer's task.
enum Input {
    Changed(Change),
    Looked(SmolStr, Duration, Answer),
    LookDue(SmolStr),
    Answered(SmolStr, Boot, Order, Answer, bool),
    Stored(Batch, Stored),
    Advised(ApprovalRequest, Duration, Option<Vec<(SmolStr, SmolStr)>>),
}

struct Placer {
    shared: Rc<Shared>,
    cache: Rc<StoreCache>,
    rpc: Rc<RpcClient>,
    advisor: PolicyService,
    notifier: Rc<Notifier>,
    tenure: Rc<PlacerLease>,
    ledger: Ledger,
    sender: mpsc::UnboundedSender<Input>,
    writing: bool,
    /// Orders that wait for the lease to be renewed.
    queued: VecDeque<Effect>,
    /// Workers that are being looked at.
    looking: BTreeSet<SmolStr>,
    /// Workers whose ends are being stored.
    waiting: BTreeSet<SmolStr>,
    silent: BTreeSet<SmolStr>,
    /// Whether something happened that a plan must take into account.
    stale: bool,
    /// The changes of the ledger that the last plan took into account.
    seen: u64,
    /// When the last plan was made.
    planned: Duration,
    /// When levels were last published.
    measured: Duration,
}

/// Places jobs until the lease is lost or the process stops.
pub async fn run(
    shared: &Rc<Shared>,
    cache: &Rc<StoreCache>,
    rpc: &Rc<RpcClient>,
    advisor: &PolicyService,
    notifier: &Rc<Notifier>,
    tenure: &Rc<PlacerLease>,
) {
    let mut changes = cache.subscribe();
    while cache.at() < tenure.epoch {
        if tenure.lost.is_raised() || shared.stop.is_raised() {
            return;
        }
        sleep(Duration::from_millis(2)).await;
    }
    let (sender, mut events) = mpsc::unbounded();
    let now = shared.clock.now();
    let mut placer = Placer {
        shared: shared.clone(),
        cache: cache.clone(),
        rpc: rpc.clone(),
        advisor: advisor.clone(),
        notifier: notifier.clone(),
        tenure: tenure.clone(),
        ledger: Ledger::new(shared.settings.bounds, tenure.epoch, now),
        sender,
        writing: false,
        queued: VecDeque::new(),
        looking: BTreeSet::new(),
        waiting: BTreeSet::new(),
        silent: BTreeSet::new(),
        stale: true,
        seen: 0,
        planned: now,
        measured: now,
    };
    placer.load();
    loop {
        while let Ok(change) = changes.try_recv() {
            placer.take(Input::Changed(change));
        }
        while let Ok(event) = events.try_recv() {
            placer.take(event);
        }
        let over = tenure.lost.is_raised() || placer.ledger.is_fenced();
        if over || shared.stop.is_raised() {
            return;
        }
        placer.act();
        let next = select(changes.next(), events.next());
        match select(next, pin!(sleep(TICK))).await {
            Either::Left((Either::Left((Some(change), _)), _)) => {
                placer.take(Input::Changed(change));
            }
            Either::Left((Either::Right((Some(event), _)), _)) => placer.take(event),
            _ => {}
        }
    }
}

impl Placer {
    fn load(&mut self) {
        let now = self.shared.clock.now();
        if let Some(manifest) = self.cache.manifest() {
            self.ledger.set_manifest(manifest);
        }
        for stored in self.cache.jobs.borrow().values() {
            let record = (*stored.record).clone();
            self.ledger.put_job(record, stored.revision, now);
        }
        let workers: Vec<_> = {
            let workers = self.cache.workers.borrow();
            workers.iter().map(|(n, a)| (n.clone(), *a)).collect()
        };
        for (name, addr) in workers {
            self.meet(name, addr);
        }
    }

    fn meet(&mut self, name: SmolStr, addr: SocketAddr) {
        self.ledger.put_worker(name.clone(), addr);
        self.look(name);
    }

    fn take(&mut self, event: Input) {
        let now = self.shared.clock.now();
        self.stale |= !matches!(event, Input::Looked(..) | Input::LookDue(_));
        match event {
            Input::Changed(change) => self.changed(change, now),
            Input::Looked(node, sent, answer) => self.looked(node, sent, answer, now),
            Input::LookDue(node) => self.look(node),
            Input::Answered(node, boot, order, answer, doubtful) => {
                self.ledger
                    .handle_answer(&node, &boot, &order, &answer, doubtful, now);
            }
            Input::Stored(batch, stored) => self.stored(&batch, stored, now),
            Input::Advised(inquiry, sent, answer) => {
                self.ledger.handle_approvals(&inquiry, sent, now, answer);
            }
        }
    }

    fn changed(&mut self, change: Change, now: Duration) {
        match change {
            Change::Job(id) => {
                if let Some(stored) = self.cache.job(&id) {
                    let record = (*stored.record).clone();
                    self.ledger.put_job(record, stored.revision, now);
                }
            }
            Change::JobGone(id) => self.ledger.remove_job(&id),
            Change::Worker(name, addr) => self.meet(name, addr),
            Change::Manifest => {
                if let Some(manifest) = self.cache.manifest() {
                    self.ledger.set_manifest(manifest);
                }
            }
            Change::Placer => {
                let held = self.cache.placer.borrow().clone();
                if held.is_none_or(|(_, revision)| revision != self.tenure.epoch) {
                    self.tenure.lost.raise();
                }
            }
        }
    }

    /// Plans, stores and sends.
    fn act(&mut self) {
        let now = self.shared.clock.now();
        self.measure(now);
        let wall = self.shared.clock.wall_ms();
        let fresh = self.stale || self.ledger.changes() != self.seen;
        if fresh || now >= self.planned + TICK {
            self.ledger.plan(now, wall);
            (self.stale, self.seen, self.planned) = (false, self.ledger.changes(), now);
        }
        if !self.writing {
            let batch = self.ledger.take_batch(wall);
            if let Some(batch) = batch.or_else(|| self.ledger.take_expired(wall)) {
                self.write(batch);
            }
        }
        let effects = self.ledger.take_effects();
        self.queued.extend(effects);
        let mut later = VecDeque::new();
        while let Some(effect) = self.queued.pop_front() {
            match effect {
                Effect::Note(note) => self.log(note),
                other if !self.tenure.is_held(now) => later.push_back(other),
                Effect::RequestApproval(inquiry) => self.ask(inquiry),
                Effect::Send { node, boot, order } => self.send(node, boot, order),
            }
        }
        self.queued = later;
    }

    /// Publishes the levels of the ledger.
    fn measure(&mut self, now: Duration) {
        if now < self.measured + LEVELS {
            return;
        }
        self.measured = now;
        let summary = self.ledger.summary(now);
        let metrics = &self.shared.metrics;
        metrics.set_gauge("jobs_waiting", summary.waiting);
        metrics.set_gauge("jobs_open", summary.open);
        metrics.set_gauge("runs", summary.runs);
        metrics.set_gauge("runs_in_doubt", summary.unconfirmed);
        metrics.set_gauge("workers", summary.workers);
        metrics.set_gauge("workers_usable", summary.usable);
        metrics.set_gauge("accelerators_free", summary.gpus_free);
        metrics.set_gauge("accelerators_usable", summary.gpus_usable);
        metrics.set_gauge("placer_epoch", self.tenure.epoch);
    }

    fn log(&self, note: Note) {
        let event = match note.decision {
            Decision::Placed => Event::JobPlaced,
            Decision::Ended => Event::RunEnded,
            Decision::Stopped => Event::RunStopped,
            Decision::Preempted => Event::JobPreempted,
            Decision::StartFailed => Event::StartFailed,
            Decision::Adopted => Event::RunAdopted,
            Decision::Lost => Event::RunLost,
            Decision::Finished => Event::JobFinished,
            Decision::WorkerSeen => Event::WorkerSeen,
            Decision::WorkerLost => Event::WorkerLost,
            Decision::WorkerDraining => Event::WorkerDraining,
            Decision::Quarantined => Event::WorkerQuarantined,
            Decision::Paced => Event::RunPaced,
        };
        self.shared.metrics.count_decision(event);
        let log = &self.shared.log;
        log.emit_for(event, note.subject, note.account, note.detail);
    }

    fn look(&mut self, node: SmolStr) {
        self.waiting.remove(&node);
        if self.looking.contains(&node) {
            return;
        }
        let now = self.shared.clock.now();
        if !self.tenure.is_held(now) {
            self.later(node, LOOK_PAUSE);
            return;
        }
        let Some(addr) = self.ledger.addr(&node) else {
            return;
        };
        let Some(envelope) = self.ledger.next_poll(&node, now) else {
            self.later(node, LOOK_PAUSE);
            return;
        };
        let wait = match envelope.order {
            Order::Poll { wait, .. } => Duration::from_millis(wait),
            _ => Duration::ZERO,
        };
        self.looking.insert(node.clone());
        let (rpc, sender) = (self.rpc.clone(), self.sender.clone());
        compio::runtime::spawn(async move {
            let answer = deliver(&rpc, addr, &envelope, wait + ORDER_LIMIT).await;
            let _ = sender.unbounded_send(Input::Looked(node, now, answer));
        })
        .detach();
    }

    fn later(&self, node: SmolStr, pause: Duration) {
        let sender = self.sender.clone();
        compio::runtime::spawn(async move {
            sleep(pause).await;
            let _ = sender.unbounded_send(Input::LookDue(node));
        })
        .detach();
    }

    fn looked(&mut self, node: SmolStr, sent: Duration, answer: Answer, now: Duration) {
        self.looking.remove(&node);
        match answer {
            Answer::Listed(announced, listing) => {
                self.silent.remove(&node);
                self.ledger
                    .handle_listing(&node, sent, now, *announced, *listing);
                if self.ledger.awaits_commit(&node) {
                    self.await_store(node);
                } else {
                    self.look(node);
                }
            }
            Answer::Left(id) => {
                self.ledger.handle_departure(&node, &id, now);
                self.later(node, LOOK_PAUSE);
            }
            other => {
                if self.silent.insert(node.clone()) {
                    self.ledger.handle_unresponsive(&node, now);
                }
                if other == Answer::Refused(Refusal::Epoch) {
                    self.tenure.lost.raise();
                }
                self.later(node, LOOK_PAUSE);
            }
        }
    }

    /// Looks again once the ends are stored, or after a while.
    fn await_store(&mut self, node: SmolStr) {
        self.waiting.insert(node.clone());
        self.later(node, STORE_WAIT);
    }

    fn send(&self, node: SmolStr, boot: Boot, order: Order) {
        let Some(addr) = self.ledger.addr(&node) else {
            return;
        };
        let envelope = Envelope {
            epoch: self.tenure.epoch,
            boot: Some(boot.clone()),
            order: order.clone(),
        };
        let (rpc, sender) = (self.rpc.clone(), self.sender.clone());
        let (tenure, clock) = (self.tenure.clone(), self.shared.clock.clone());
        let metrics = self.shared.metrics.clone();
        let (kind, sent) = (order_kind(&order), clock.now());
        compio::runtime::spawn(async move {
            let mut doubtful = false;
            let mut answer = Answer::Silent;
            for _ in 0..ATTEMPTS {
                if !tenure.is_held(clock.now()) {
                    break;
                }
                answer = deliver(&rpc, addr, &envelope, ORDER_LIMIT).await;
                if answer != Answer::Silent {
                    break;
                }
                doubtful = true;
            }
            metrics.record_step(kind, clock.now() - sent);
            let event = Input::Answered(node, boot, order, answer, doubtful);
            let _ = sender.unbounded_send(event);
        })
        .detach();
    }

    fn ask(&self, inquiry: ApprovalRequest) {
        let (advisor, sender) = (self.advisor.clone(), self.sender.clone());
        let (shared, sent) = (self.shared.clone(), self.shared.clock.now());
        compio::runtime::spawn(async move {
            let answer = advisor(inquiry.clone()).await;
            let detail = match &answer {
                Ok(rows) => format!(
                    "step={}.{} asked={} approved={}",
                    inquiry.occurrence,
                    inquiry.step,
                    inquiry.workers.len(),
                    rows.len()
                ),
                Err(e) => format!("step={}.{} failed: {e}", inquiry.occurrence, inquiry.step),
            };
            shared
                .log
                .emit(Event::PolicyAnswered, inquiry.job.clone(), detail);
            let _ = sender.unbounded_send(Input::Advised(inquiry, sent, answer.ok()));
        })
        .detach();
    }

    fn write(&mut self, batch: Batch) {
        self.writing = true;
        let began = self.shared.clock.now();
        let (shared, tenure) = (self.shared.clone(), self.tenure.clone());
        let sender = self.sender.clone();
        compio::runtime::spawn(async move {
            let stored = store(&shared, &tenure, &batch).await;
            shared
                .metrics
                .record_step("write", shared.clock.now() - began);
            let _ = sender.unbounded_send(Input::Stored(batch, stored));
        })
        .detach();
    }

    fn stored(&mut self, batch: &Batch, stored: Stored, now: Duration) {
        self.writing = false;
        match stored {
            Stored::At(revision) => {
                self.ledger.handle_commit(batch, revision, now);
                self.tell_ended(batch, revision);
            }
            Stored::Deposed => self.tenure.lost.raise(),
            Stored::Conflict(items) => {
                self.ledger.handle_write_failure(batch);
                for item in items {
                    self.conflicted(&item, now);
                }
            }
        }
        let waiting: Vec<SmolStr> = self.waiting.iter().cloned().collect();
        for node in waiting {
            if !self.ledger.awaits_commit(&node) {
                self.look(node);
            }
        }
    }

    /// Has every gateway show ended jobs at once.
    fn tell_ended(&self, batch: &Batch, revision: u64) {
        let ended = batch.writes.iter().filter(|w| w.ended);
        let items: Vec<Item> = ended
            .filter_map(|w| {
                Some(Item {
                    key: keys::job(&w.job),
                    value: Some(Bytes::from(w.value.clone()?)),
                    revision,
                })
            })
            .collect();
        if items.is_empty() {
            return;
        }
        self.notifier.tell_all(&News::Written(items.clone()));
        for item in items {
            self.cache.apply(&self.shared, item);
        }
    }

    fn conflicted(&mut self, item: &Item, now: Duration) {
        let keys::Kind::Job(id) = keys::kind(&item.key) else {
            return;
        };
        let detail = format!("revision={}", item.revision);
        self.shared
            .log
            .emit(Event::StoreConflict, id.clone(), detail);
        match item.value.as_ref().map(|v| Record::decode(v)) {
            Some(Ok(record)) => self.ledger.handle_conflict(record, item.revision, now),
            Some(Err(e)) => {
                let detail = format!("the record is unreadable: {e}");
                self.shared.log.emit(Event::PeerRefused, id, detail);
            }
            None => self.ledger.remove_job(&id),
        }
    }
}
