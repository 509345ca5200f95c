//! The placer: feeds changes of the store and answers of workers to the ledger, and
//! carries out what the ledger decides.

use super::Shared;
use super::cache::Change;
use super::cache::StoreCache;
use super::cache::StoredJob;
use super::commit::CommitResult;
use super::commit::commit_batch;
use super::deliver::deliver;
use super::deliver::order_kind;
use super::election::PlacerLease;
use super::keys;
use super::notify::Notifier;
use super::port::Item;
use super::port::PolicyService;
use super::run_times;
use super::run_times::SummarySchedule;
use super::status::StatusClient;
use bytes::Bytes;
use compio::time::sleep;
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::future::Either;
use futures_util::future::select;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_coordination::duty_cycle::DutyCycle;
use hibiscusbarrow_coordination::runtime::RunTimes;
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

/// The time between two updates of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);
/// The longest time between two planning passes.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// The time that an order may take beyond the wait that it asks for.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How many times an order is sent before its outcome is left unconfirmed.
const MAX_ORDER_ATTEMPTS: u32 = 2;
/// The delay before an unresponsive worker is polled again.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The longest wait for the answers to orders and writes before the lease is handed over.
const MAX_WIND_DOWN: Duration = Duration::from_millis(600);
/// The longest wait for the ends of runs to be stored before their worker is polled again.
const COMMIT_WAIT: Duration = Duration::from_millis(250);

/// An input of the placer's task.
enum Input {
    /// The cache of the store has changed.
    StoreChanged(Change),
    /// The answer of a worker to a poll, and when the poll was sent.
    Polled(SmolStr, Duration, Answer),
    /// A worker is due for another poll.
    PollDue(SmolStr),
    /// The answer to an order, and whether an attempt to send it received no answer.
    OrderAnswered(SmolStr, Boot, Order, Answer, bool),
    /// The result of storing a batch.
    BatchCommitted(Batch, CommitResult),
    /// The answer of the policy service, and when it was requested.
    ApprovalsReceived(ApprovalRequest, Duration, Option<Vec<(SmolStr, SmolStr)>>),
    /// The run times that the last placer had learned were read; none if there are no usable ones.
    RunTimesRead(Option<RunTimes>),
    /// A write of the learned run times ended.
    RunTimesWritten,
}

/// What a placer uses of its gateway.
#[derive(Clone)]
pub struct PlacerServices {
    /// The cache of the store.
    pub cache: Rc<StoreCache>,
    /// The connections to other processes.
    pub rpc: Rc<RpcClient>,
    /// The policy service.
    pub policy: PolicyService,
    /// Notifies other gateways of writes.
    pub notifier: Rc<Notifier>,
    /// Asks other gateways that follow all records.
    pub status: Rc<StatusClient>,
}

struct Placer {
    shared: Rc<Shared>,
    cache: Rc<StoreCache>,
    rpc: Rc<RpcClient>,
    policy: PolicyService,
    notifier: Rc<Notifier>,
    lease: Rc<PlacerLease>,
    ledger: Ledger,
    sender: mpsc::UnboundedSender<Input>,
    /// Whether a batch is being stored.
    writing: bool,
    /// The orders that are not answered yet.
    open_orders: usize,
    /// When this placer began to wind down, so that another one can take over.
    ending_since: Option<Duration>,
    /// Effects that wait for the lease to be renewed.
    queued_effects: VecDeque<Effect>,
    /// Workers with a poll in flight.
    polling: BTreeSet<SmolStr>,
    /// Workers that have reported ends of runs which are being stored.
    awaiting_commit: BTreeSet<SmolStr>,
    /// Workers that did not answer the last poll.
    unresponsive: BTreeSet<SmolStr>,
    /// Whether an input arrived that the next plan must take into account.
    needs_plan: bool,
    /// The ledger's change counter at the last plan.
    planned_changes: u64,
    /// When the last plan was made.
    planned_at: Duration,
    /// Leaves time for inputs and writes when plans take long.
    plan_cycle: DutyCycle,
    /// When the gauges were last updated.
    gauges_set_at: Duration,
    /// When the learned run times are written.
    summaries: SummarySchedule,
}

/// Places jobs until the lease is lost or the process stops.
pub async fn run(shared: &Rc<Shared>, services: &PlacerServices, lease: &Rc<PlacerLease>) {
    let cache = &services.cache;
    let mut changes = cache.subscribe();
    while !cache.includes_records(lease.epoch) {
        if lease.lost.is_raised() || shared.stop.is_raised() {
            return;
        }
        sleep(Duration::from_millis(2)).await;
    }
    let (sender, mut inputs) = mpsc::unbounded();
    let now = shared.clock.now();
    let mut placer = Placer {
        shared: shared.clone(),
        cache: cache.clone(),
        rpc: services.rpc.clone(),
        policy: services.policy.clone(),
        notifier: services.notifier.clone(),
        lease: lease.clone(),
        ledger: Ledger::new(shared.settings.bounds, lease.epoch, now)
            .with_learned_times(shared.settings.learned_times),
        sender,
        writing: false,
        open_orders: 0,
        ending_since: None,
        queued_effects: VecDeque::new(),
        polling: BTreeSet::new(),
        awaiting_commit: BTreeSet::new(),
        unresponsive: BTreeSet::new(),
        needs_plan: true,
        planned_changes: 0,
        planned_at: now,
        plan_cycle: DutyCycle::default(),
        gauges_set_at: now,
        summaries: SummarySchedule::new(now),
    };
    placer.load();
    placer.read_run_times();
    loop {
        while let Ok(change) = changes.try_recv() {
            placer.handle_input(Input::StoreChanged(change));
        }
        while let Ok(input) = inputs.try_recv() {
            placer.handle_input(input);
        }
        if lease.lost.is_raised() || placer.ledger.is_fenced() {
            return;
        }
        placer.advance();
        if placer.has_wound_down() {
            return;
        }
        let next = select(changes.next(), inputs.next());
        match select(next, pin!(sleep(placer.idle_time()))).await {
            Either::Left((Either::Left((Some(change), _)), _)) => {
                placer.handle_input(Input::StoreChanged(change));
            }
            Either::Left((Either::Right((Some(input), _)), _)) => placer.handle_input(input),
            _ => {}
        }
    }
}

impl Placer {
    /// Fills the ledger from the cache of the store.
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
            self.add_worker(name, addr);
        }
    }

    fn add_worker(&mut self, name: SmolStr, addr: SocketAddr) {
        self.ledger.put_worker(name.clone(), addr);
        self.poll(name);
    }

    fn handle_input(&mut self, input: Input) {
        let now = self.shared.clock.now();
        self.update_evacuated();
        let changes_nothing = matches!(
            input,
            Input::Polled(..) | Input::PollDue(_) | Input::RunTimesWritten
        );
        self.needs_plan |= !changes_nothing;
        match input {
            Input::StoreChanged(change) => self.handle_change(change, now),
            Input::Polled(sidecar, sent, answer) => {
                self.handle_poll_answer(sidecar, sent, answer, now)
            }
            Input::PollDue(sidecar) => self.poll(sidecar),
            Input::OrderAnswered(sidecar, boot, order, answer, unconfirmed) => {
                self.open_orders -= 1;
                self.ledger
                    .handle_answer(&sidecar, &boot, &order, &answer, unconfirmed, now);
            }
            Input::BatchCommitted(batch, result) => self.handle_commit(&batch, result, now),
            Input::ApprovalsReceived(request, sent, answer) => {
                self.ledger.handle_approvals(&request, sent, now, answer);
            }
            Input::RunTimesRead(times) => {
                if let Some(times) = times {
                    self.ledger.set_run_times(times);
                }
            }
            Input::RunTimesWritten => self.summaries.writing = false,
        }
    }

    fn handle_change(&mut self, change: Change, now: Duration) {
        match change {
            Change::Job(id) => {
                let stored = self.cache.job(&id);
                let is_new = |s: &StoredJob| !self.ledger.knows_revision(&id, s.revision);
                if let Some(stored) = stored.filter(is_new) {
                    let record = (*stored.record).clone();
                    self.ledger.put_job(record, stored.revision, now);
                }
            }
            Change::JobDeleted(id) => self.ledger.remove_job(&id),
            Change::Worker(name, addr) => self.add_worker(name, addr),
            Change::Manifest => {
                if let Some(manifest) = self.cache.manifest() {
                    self.ledger.set_manifest(manifest);
                }
            }
            Change::Evacuations => {}
            Change::Placer => {
                let holder = self.cache.placer.borrow().clone();
                if holder.is_none_or(|(_, revision)| revision != self.lease.epoch) {
                    self.lease.lost.raise();
                }
            }
        }
    }

    /// Returns how long to wait for an input before the next plan.
    fn idle_time(&self) -> Duration {
        let pause = self.plan_cycle.pause(self.shared.clock.now());
        let is_due = self.needs_plan || self.ledger.changes() != self.planned_changes;
        if is_due && !pause.is_zero() {
            pause.min(MAX_PLAN_INTERVAL)
        } else {
            MAX_PLAN_INTERVAL
        }
    }

    /// Returns whether this placer hands over and all its orders and writes are answered, or
    /// have been waited for long enough.
    ///
    /// A successor would otherwise find starts that are stored and not sent, or sent and not
    /// answered, and could only stop them.
    fn has_wound_down(&mut self) -> bool {
        if !self.shared.stop.is_raised() && !self.lease.resigned.is_raised() {
            return false;
        }
        let now = self.shared.clock.now();
        let is_first = self.ending_since.is_none();
        let since = *self.ending_since.get_or_insert(now);
        if is_first {
            self.write_run_times(now);
        }
        let idle = !self.writing && self.open_orders == 0 && !self.summaries.writing;
        idle || now >= since + MAX_WIND_DOWN
    }

    /// Plans, stores what the plan changed, and carries out the ledger's effects.
    fn advance(&mut self) {
        let now = self.shared.clock.now();
        self.update_evacuated();
        self.publish_gauges(now);
        if self.summaries.is_due(now) {
            self.write_run_times(now);
        }
        let wall = self.shared.clock.wall_ms();
        let may_plan =
            self.ending_since.is_none() && self.lease.is_held(now) && self.plan_cycle.may_run(now);
        let changed = self.needs_plan || self.ledger.changes() != self.planned_changes;
        if may_plan && (changed || now >= self.planned_at + MAX_PLAN_INTERVAL) {
            self.ledger.plan(now, wall);
            self.plan_cycle.record(now, self.shared.clock.now());
            (self.needs_plan, self.planned_changes, self.planned_at) =
                (false, self.ledger.changes(), now);
        }
        if !self.writing {
            let batch = self.ledger.take_batch(wall);
            if let Some(batch) = batch.or_else(|| self.ledger.take_expired(wall)) {
                self.commit(batch);
            }
        }
        let effects = self.ledger.take_effects();
        self.queued_effects.extend(effects);
        let queued = std::mem::take(&mut self.queued_effects);
        self.queued_effects = self.ledger.recheck_starts(queued, self.shared.clock.now());
        self.queued_effects.extend(self.ledger.take_effects());
        let mut deferred = VecDeque::new();
        while let Some(effect) = self.queued_effects.pop_front() {
            match effect {
                Effect::Note(note) => self.log_decision(note),
                other if !self.lease.is_held(now) => deferred.push_back(other),
                Effect::RequestApproval(request) => self.request_approvals(request),
                Effect::Send {
                    sidecar,
                    boot,
                    order,
                } => self.send_order(sidecar, boot, order),
            }
        }
        self.queued_effects = deferred;
    }

    /// Tells the ledger which failure domains are evacuated, and when that was confirmed.
    fn update_evacuated(&mut self) {
        if let Some((domains, confirmed_at)) = self.cache.evacuated() {
            self.ledger.set_evacuated(domains, confirmed_at);
        }
    }

    /// Sets the gauges from the ledger's summary.
    fn publish_gauges(&mut self, now: Duration) {
        if now < self.gauges_set_at + GAUGE_INTERVAL {
            return;
        }
        self.gauges_set_at = now;
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
        metrics.set_gauge("placer_epoch", self.lease.epoch);
        if self.shared.settings.bounds.evacuation.is_some() {
            let (domains, shortfall) = self.ledger.evacuation_figures();
            metrics.set_gauge("domains_evacuated", domains);
            metrics.set_gauge("guarantees_short", shortfall);
            if let Some((_, confirmed_at)) = self.cache.evacuated() {
                let age = now.saturating_sub(confirmed_at);
                metrics.set_gauge("evacuations_age_ms", age.as_millis() as u64);
            }
        }
        if self.ledger.learned_times().any() {
            run_times::publish(metrics, self.ledger.run_times());
        }
    }

    /// Reads what the last placer has learned, if learned run times are used. Jobs are placed by
    /// declared times meanwhile.
    fn read_run_times(&mut self) {
        if !self.ledger.learned_times().any() {
            return;
        }
        let (shared, sender) = (self.shared.clone(), self.sender.clone());
        compio::runtime::spawn(async move {
            let times = run_times::read(&shared).await;
            let _ = sender.unbounded_send(Input::RunTimesRead(times));
        })
        .detach();
    }

    /// Writes what was learned, unless nothing was since the last write.
    fn write_run_times(&mut self, now: Duration) {
        let times = self.ledger.run_times();
        let is_used = self.ledger.learned_times().any();
        if !is_used || !self.summaries.begin(times.changes(), now) {
            return;
        }
        let max_bytes = self.shared.settings.bounds.max_record;
        let (summary, detail) = (times.summary(max_bytes), run_times::describe(times));
        let (shared, lease) = (self.shared.clone(), self.lease.clone());
        let sender = self.sender.clone();
        compio::runtime::spawn(async move {
            run_times::write(&shared, lease.epoch, summary, detail).await;
            let _ = sender.unbounded_send(Input::RunTimesWritten);
        })
        .detach();
    }

    fn log_decision(&self, note: Note) {
        let event = match note.decision {
            Decision::Placed => Event::JobPlaced,
            Decision::Ended => Event::RunEnded,
            Decision::Stopped => Event::RunStopped,
            Decision::Preempted => Event::JobPreempted,
            Decision::StartFailed => Event::StartFailed,
            Decision::Adopted => Event::RunAdopted,
            Decision::Lost => Event::RunLost,
            Decision::GivenUp => Event::JobGivenUp,
            Decision::Finished => Event::JobFinished,
            Decision::WorkerSeen => Event::WorkerSeen,
            Decision::WorkerLost => Event::WorkerLost,
            Decision::WorkerCrashed => Event::WorkerCrashed,
            Decision::WorkerDraining => Event::WorkerDraining,
            Decision::Quarantined => Event::WorkerQuarantined,
            Decision::Paced => Event::RunPaced,
            Decision::EvacuationBegan => Event::EvacuationBegan,
            Decision::EvacuationEnded => Event::EvacuationEnded,
            Decision::AllEvacuated => Event::AllEvacuated,
            Decision::GuaranteeShort => Event::GuaranteeShort,
            Decision::StartsPaused => Event::StartsPaused,
            Decision::StartsResumed => Event::StartsResumed,
        };
        self.shared.metrics.count_decision(event);
        let log = &self.shared.log;
        log.emit_for(event, note.subject, note.account, note.detail);
    }

    /// Polls a worker unless a poll is in flight. Without a valid lease the poll is delayed by
    /// [`POLL_RETRY_DELAY`].
    fn poll(&mut self, sidecar: SmolStr) {
        self.awaiting_commit.remove(&sidecar);
        if self.polling.contains(&sidecar) {
            return;
        }
        let now = self.shared.clock.now();
        if !self.lease.is_held(now) {
            self.poll_later(sidecar, POLL_RETRY_DELAY);
            return;
        }
        let Some(addr) = self.ledger.addr(&sidecar) else {
            return;
        };
        let Some(envelope) = self.ledger.next_poll(&sidecar, now) else {
            self.poll_later(sidecar, POLL_RETRY_DELAY);
            return;
        };
        let wait = match envelope.order {
            Order::Poll { wait, .. } => Duration::from_millis(wait),
            _ => Duration::ZERO,
        };
        self.polling.insert(sidecar.clone());
        let (rpc, sender) = (self.rpc.clone(), self.sender.clone());
        compio::runtime::spawn(async move {
            let answer = deliver(&rpc, addr, &envelope, wait + ORDER_TIMEOUT).await;
            let _ = sender.unbounded_send(Input::Polled(sidecar, now, answer));
        })
        .detach();
    }

    fn poll_later(&self, sidecar: SmolStr, pause: Duration) {
        let sender = self.sender.clone();
        compio::runtime::spawn(async move {
            sleep(pause).await;
            let _ = sender.unbounded_send(Input::PollDue(sidecar));
        })
        .detach();
    }

    fn handle_poll_answer(
        &mut self,
        sidecar: SmolStr,
        sent: Duration,
        answer: Answer,
        now: Duration,
    ) {
        self.polling.remove(&sidecar);
        match answer {
            Answer::Listed(announced, listing) => {
                self.unresponsive.remove(&sidecar);
                self.ledger
                    .handle_listing(&sidecar, sent, now, *announced, *listing);
                if self.ledger.awaits_commit(&sidecar) {
                    self.poll_after_commit(sidecar);
                } else {
                    self.poll(sidecar);
                }
            }
            Answer::Left(id) => {
                self.ledger.handle_departure(&sidecar, &id, now);
                self.poll_later(sidecar, POLL_RETRY_DELAY);
            }
            other => {
                if self.unresponsive.insert(sidecar.clone()) {
                    self.ledger.handle_unresponsive(&sidecar, now);
                }
                if other == Answer::Refused(Refusal::Epoch) {
                    self.lease.lost.raise();
                }
                self.poll_later(sidecar, POLL_RETRY_DELAY);
            }
        }
    }

    /// Polls a worker again once its ends are stored, or after [`COMMIT_WAIT`].
    fn poll_after_commit(&mut self, sidecar: SmolStr) {
        self.awaiting_commit.insert(sidecar.clone());
        self.poll_later(sidecar, COMMIT_WAIT);
    }

    fn send_order(&mut self, sidecar: SmolStr, boot: Boot, order: Order) {
        let Some(addr) = self.ledger.addr(&sidecar) else {
            return;
        };
        let envelope = Envelope {
            epoch: self.lease.epoch,
            boot: Some(boot.clone()),
            order: order.clone(),
        };
        let (rpc, sender) = (self.rpc.clone(), self.sender.clone());
        let (lease, clock) = (self.lease.clone(), self.shared.clock.clone());
        let metrics = self.shared.metrics.clone();
        let (kind, sent) = (order_kind(&order), clock.now());
        let is_start = matches!(order, Order::Start(_));
        let domain = self.ledger.domain(&sidecar).filter(|_| is_start).cloned();
        let cache = self.cache.clone();
        self.open_orders += 1;
        compio::runtime::spawn(async move {
            let mut unconfirmed = false;
            let mut answer = Answer::Silent;
            for _ in 0..MAX_ORDER_ATTEMPTS {
                let is_barred = unconfirmed && domain.as_ref().is_some_and(|d| cache.bars(d));
                if is_barred || !lease.is_held(clock.now()) {
                    break;
                }
                answer = deliver(&rpc, addr, &envelope, ORDER_TIMEOUT).await;
                if answer != Answer::Silent {
                    break;
                }
                unconfirmed = true;
            }
            metrics.record_step(kind, clock.now() - sent);
            let input = Input::OrderAnswered(sidecar, boot, order, answer, unconfirmed);
            let _ = sender.unbounded_send(input);
        })
        .detach();
    }

    fn request_approvals(&self, request: ApprovalRequest) {
        let (policy, sender) = (self.policy.clone(), self.sender.clone());
        let (shared, sent) = (self.shared.clone(), self.shared.clock.now());
        compio::runtime::spawn(async move {
            let answer = policy(request.clone()).await;
            let detail = match &answer {
                Ok(approvals) => format!("approved={}", approvals.len()),
                Err(e) => format!("failed: {e}"),
            };
            let detail = format!(
                "step={}.{} asked={} after={:?} {detail}",
                request.occurrence,
                request.step,
                request.workers.len(),
                shared.clock.now().saturating_sub(sent)
            );
            shared
                .log
                .emit(Event::PolicyAnswered, request.job.clone(), detail);
            let _ = sender.unbounded_send(Input::ApprovalsReceived(request, sent, answer.ok()));
        })
        .detach();
    }

    fn commit(&mut self, batch: Batch) {
        self.writing = true;
        let started_at = self.shared.clock.now();
        let (shared, lease) = (self.shared.clone(), self.lease.clone());
        let sender = self.sender.clone();
        compio::runtime::spawn(async move {
            let result = commit_batch(&shared, &lease, &batch).await;
            shared
                .metrics
                .record_step("write", shared.clock.now() - started_at);
            let _ = sender.unbounded_send(Input::BatchCommitted(batch, result));
        })
        .detach();
    }

    fn handle_commit(&mut self, batch: &Batch, result: CommitResult, now: Duration) {
        self.writing = false;
        match result {
            CommitResult::Committed(revision) => {
                self.ledger.handle_commit(batch, revision, now);
                for write in &batch.writes {
                    if let Some(record) = &write.record {
                        self.cache.put_written(&write.job, record.clone(), revision);
                    }
                }
                self.notify_ended(batch, revision);
            }
            CommitResult::LeaseLost => self.lease.lost.raise(),
            CommitResult::Refused(reason) => self.handle_refusal(batch, reason, now),
            CommitResult::Conflict(items) => {
                self.ledger.handle_write_failure(batch);
                for item in items {
                    self.handle_conflict(&item, now);
                }
            }
        }
        let waiting: Vec<SmolStr> = self.awaiting_commit.iter().cloned().collect();
        for sidecar in waiting {
            if !self.ledger.awaits_commit(&sidecar) {
                self.poll(sidecar);
            }
        }
    }

    fn handle_refusal(&mut self, batch: &Batch, reason: String, now: Duration) {
        let is_first = self.ledger.handle_refusal(batch, now);
        let Some(write) = batch.writes.first().filter(|_| is_first) else {
            return;
        };
        let bytes = write.value.as_ref().map_or(0, Vec::len);
        let detail = format!("bytes={bytes} key={} {reason}", keys::job(&write.job));
        let log = &self.shared.log;
        log.emit(Event::RecordRefused, write.job.clone(), detail);
    }

    /// Notifies the standbys of ended jobs, so that they show them at once.
    fn notify_ended(&self, batch: &Batch, revision: u64) {
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
        self.notifier.notify_standbys(items);
    }

    fn handle_conflict(&mut self, item: &Item, now: Duration) {
        let keys::Key::Job(id) = keys::parse(&item.key, None) else {
            return;
        };
        let detail = format!("revision={}", item.revision);
        self.shared
            .log
            .emit(Event::StoreConflict, id.clone(), detail);
        match item.value.as_ref().map(|v| Record::decode(&id, v)) {
            Some(Ok(record)) => self.ledger.handle_conflict(record, item.revision, now),
            Some(Err(e)) => {
                let detail = format!("cannot decode the record: {e}");
                self.shared.log.emit(Event::PeerRefused, id, detail);
            }
            None => self.ledger.remove_job(&id),
        }
    }
}
