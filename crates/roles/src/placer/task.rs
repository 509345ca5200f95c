//! The placer task, which owns the scheduler, the gangs and the links to workers.

use super::election::Election;
use super::election::Holder;
use super::election::Outcome;
use super::gangs::Gang;
use super::records;
use super::records::StoredJob;
use super::workers::SentCommand;
use super::workers::WorkerLink;
use crate::node::Node;
use futures_channel::mpsc;
use futures_channel::oneshot;
use futures_util::StreamExt;
use hibiscusbarrow_coordination::gang::GangTiming;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::order::OrderReply;
use hibiscusbarrow_model::state::PlacerView;
use hibiscusbarrow_placement::AccountSpec;
use hibiscusbarrow_placement::Cell;
use hibiscusbarrow_placement::JobKey;
use hibiscusbarrow_placement::Policy;
use hibiscusbarrow_placement::Scheduler;
use hibiscusbarrow_placement::WorkerKey;
use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// A message to the placer task.
pub(super) enum Message {
    /// A job was stored or changed.
    Wake(SmolStr),
    /// Requests the view of the region; `None` if this gateway is not the serving placer.
    View(oneshot::Sender<Option<PlacerView>>),
    /// Requests a check of guarantees against the hardware.
    Quotas(Vec<AccountSpec>, oneshot::Sender<Result<(), Fault>>),
    /// Requests that the lease be given up.
    Resign(oneshot::Sender<()>),
    /// A lease request ended.
    Election(Outcome),
    /// A worker answered the commands sent to it, or did not answer.
    Reply(usize, Vec<SentCommand>, Option<OrderReply>),
    /// A job record was read.
    Record(StoredJob),
    /// All job records were read; `None` if the store did not answer.
    Records(Option<Vec<StoredJob>>),
    /// A job record of this revision was deleted.
    Removed(SmolStr, i64),
    /// A job record was replaced; `None` if it was not, or if that is unconfirmed.
    Stored(SmolStr, Option<StoredJob>),
}

/// The stage of the task in serving its region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// This gateway does not hold the lease.
    Follower,
    /// The lease is held; worker reports and job records are being collected.
    ///
    /// `listed` becomes true once all records have been read.
    TakingOver { started: Duration, listed: bool },
    /// Jobs are being placed.
    Serving,
}

/// The state of the placer.
pub(super) struct PlacerTask {
    pub(super) node: Rc<Node>,
    pub(super) messages: mpsc::UnboundedSender<Message>,
    pub(super) holder: Rc<RefCell<Holder>>,
    pub(super) election: Election,
    /// Whether a lease request is in progress.
    pub(super) requesting: bool,
    /// When the next lease request is due.
    pub(super) next_request: Duration,
    pub(super) stage: Stage,
    pub(super) epoch: u64,
    /// Whether the lease was given up for a planned stop; it is not requested again.
    pub(super) resigned: bool,
    /// The generation of the configuration whose accounts the scheduler has.
    pub(super) generation: u64,
    pub(super) scheduler: Scheduler,
    pub(super) links: Vec<WorkerLink>,
    /// The index of each worker's link.
    pub(super) by_worker: HashMap<WorkerKey, usize>,
    pub(super) gangs: HashMap<JobKey, Gang>,
    pub(super) records: HashMap<SmolStr, StoredJob>,
    /// The starts whose job record is being written: the job, its cells, and whether it is
    /// guaranteed.
    pub(super) starting: HashMap<SmolStr, (JobKey, Vec<Cell>, bool)>,
    pub(super) timing: GangTiming,
    /// When the scheduler last ran a pass.
    pub(super) last_pass: Duration,
    /// When all job records were last requested; zero if they are to be requested at once.
    pub(super) last_listed: Duration,
    /// Whether something changed since the last pass.
    pub(super) dirty: bool,
    /// Whether gangs are not started because the set of evacuated domains is too old.
    pub(super) stale: bool,
    /// The accelerators that guarantees lacked beside evacuated domains when last reported.
    pub(super) shortfall: u32,
}

impl PlacerTask {
    pub fn new(
        node: Rc<Node>,
        messages: mpsc::UnboundedSender<Message>,
        holder: Rc<RefCell<Holder>>,
    ) -> Self {
        let hold = Duration::from_millis(node.settings.timing.hold_ms);
        let links = node
            .settings
            .workers
            .iter()
            .map(|a| WorkerLink::new(*a))
            .collect();
        Self {
            election: Election::new(node.clone()),
            messages,
            holder,
            requesting: false,
            next_request: Duration::ZERO,
            stage: Stage::Follower,
            epoch: 0,
            resigned: false,
            generation: 0,
            scheduler: Scheduler::new(Policy {
                learned_order: node.settings.scheduling.uses("order"),
                ..Policy::default()
            }),
            links,
            by_worker: HashMap::new(),
            gangs: HashMap::new(),
            records: HashMap::new(),
            starting: HashMap::new(),
            timing: GangTiming {
                hold,
                min_run: hold / 3,
            },
            last_pass: Duration::ZERO,
            last_listed: Duration::ZERO,
            dirty: false,
            stale: false,
            shortfall: 0,
            node,
        }
    }

    /// Runs until the last sender of messages is dropped.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        loop {
            let wait = self.next_wake();
            match compio::time::timeout(wait, messages.next()).await {
                Ok(Some(message)) => {
                    self.handle(message).await;
                    while let Ok(message) = messages.try_recv() {
                        self.handle(message).await;
                    }
                }
                Ok(None) => return,
                Err(_) => {}
            }
            self.step();
        }
    }

    /// Returns how long to wait for a message before the next step.
    fn next_wake(&self) -> Duration {
        let pending = !self.gangs.is_empty() || !self.starting.is_empty();
        if self.stage != Stage::Follower && pending {
            return Duration::from_millis(20);
        }
        Duration::from_millis(100)
    }

    async fn handle(&mut self, message: Message) {
        let now = self.node.clock.now();
        match message {
            Message::Wake(name) => {
                if self.stage == Stage::Serving {
                    records::fetch(self.node.clone(), self.messages.clone(), name);
                }
            }
            Message::View(sender) => {
                let view = (self.stage == Stage::Serving).then(|| self.view());
                let _ = sender.send(view);
            }
            Message::Quotas(accounts, sender) => {
                let _ = sender.send(self.check_quotas(accounts));
            }
            Message::Resign(sender) => {
                self.resigned = true;
                self.step_down("handed over");
                self.election.resign().await;
                let _ = sender.send(());
            }
            Message::Election(outcome) => self.handle_election(&outcome, now),
            Message::Reply(link, sent, reply) => self.handle_reply(link, sent, reply, now),
            Message::Record(stored) => self.handle_record(stored, now),
            Message::Records(Some(records)) => self.handle_records(records, now),
            Message::Records(None) => self.last_listed = Duration::ZERO,
            Message::Removed(name, revision) => {
                if self
                    .records
                    .get(&name)
                    .is_some_and(|stored| stored.revision == revision)
                {
                    self.records.remove(&name);
                }
            }
            Message::Stored(name, stored) => self.handle_stored(name, stored, now),
        }
    }

    fn step(&mut self) {
        let now = self.node.clock.now();
        self.request_lease(now);
        if self.stage == Stage::Follower {
            return;
        }
        if self.node.highest_epoch() > self.epoch {
            self.step_down("another gateway announced a higher epoch");
            return;
        }
        self.apply_evacuations();
        self.load_accounts(now);
        self.relist(now);
        self.finish_takeover(now);
        if self.stage == Stage::Serving {
            self.mark_lost_workers(now);
            self.withdraw_gangs();
            self.run_pass(now);
            self.report_shortfall();
        }
        self.send_orders(now);
        self.remove_released();
    }
}
