//! The placer's task: owns the scheduler, the gangs and the links to workers.

use super::election::Election;
use super::election::Holder;
use super::election::Outcome;
use super::gangs::Gang;
use super::records;
use super::records::Known;
use super::workers::Sent;
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

/// Asks the task to do something.
pub(super) enum Ask {
    /// A job was stored or changed.
    Wake(SmolStr),
    /// Describes the region.
    View(oneshot::Sender<Option<PlacerView>>),
    /// Checks guarantees against the hardware.
    Quotas(Vec<AccountSpec>, oneshot::Sender<Result<(), Fault>>),
    /// Gives the lease up.
    Resign(oneshot::Sender<()>),
    /// A round of the election ended.
    Election(Outcome),
    /// A worker answered, or did not.
    Reply(usize, Vec<Sent>, Option<OrderReply>),
    /// A job record was read.
    Record(Known),
    /// All job records were read, or the store did not answer.
    Records(Option<Vec<Known>>),
    /// A job record of this revision was deleted.
    Removed(SmolStr, i64),
    /// A job record was replaced, or was not.
    Stored(SmolStr, Option<Known>),
}

/// Tells how far the task has come in serving its region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Another gateway holds the lease, or nobody does.
    Follower,
    /// The lease is held; workers and records are being heard.
    TakingOver { since: Duration, listed: bool },
    /// Jobs are being placed.
    Serving,
}

/// Owns the state of the placer.
pub(super) struct Task {
    pub(super) node: Rc<Node>,
    pub(super) asks: mpsc::UnboundedSender<Ask>,
    pub(super) holder: Rc<RefCell<Holder>>,
    pub(super) election: Election,
    pub(super) bidding: bool,
    pub(super) next_bid: Duration,
    pub(super) stage: Stage,
    pub(super) epoch: u64,
    pub(super) resigned: bool,
    pub(super) generation: u64,
    pub(super) scheduler: Scheduler,
    pub(super) links: Vec<WorkerLink>,
    pub(super) by_worker: HashMap<WorkerKey, usize>,
    pub(super) gangs: HashMap<JobKey, Gang>,
    pub(super) records: HashMap<SmolStr, Known>,
    /// Starts whose record is being written.
    pub(super) starting: HashMap<SmolStr, (JobKey, Vec<Cell>, bool)>,
    pub(super) timing: GangTiming,
    pub(super) passed: Duration,
    pub(super) listed: Duration,
    pub(super) dirty: bool,
}

impl Task {
    pub fn new(
        node: Rc<Node>,
        asks: mpsc::UnboundedSender<Ask>,
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
            asks,
            holder,
            bidding: false,
            next_bid: Duration::ZERO,
            stage: Stage::Follower,
            epoch: 0,
            resigned: false,
            generation: 0,
            scheduler: Scheduler::new(Policy::default()),
            links,
            by_worker: HashMap::new(),
            gangs: HashMap::new(),
            records: HashMap::new(),
            starting: HashMap::new(),
            timing: GangTiming {
                hold,
                min_run: hold / 3,
            },
            passed: Duration::ZERO,
            listed: Duration::ZERO,
            dirty: false,
            node,
        }
    }

    /// Runs until the last sender of questions is gone.
    pub async fn run(mut self, mut asks: mpsc::UnboundedReceiver<Ask>) {
        loop {
            let wait = self.next_wake();
            match compio::time::timeout(wait, asks.next()).await {
                Ok(Some(ask)) => {
                    self.hear(ask).await;
                    while let Ok(ask) = asks.try_recv() {
                        self.hear(ask).await;
                    }
                }
                Ok(None) => return,
                Err(_) => {}
            }
            self.step();
        }
    }

    fn next_wake(&self) -> Duration {
        let pending = !self.gangs.is_empty() || !self.starting.is_empty();
        if self.stage != Stage::Follower && pending {
            return Duration::from_millis(20);
        }
        Duration::from_millis(100)
    }

    async fn hear(&mut self, ask: Ask) {
        let now = self.node.clock.now();
        match ask {
            Ask::Wake(name) => {
                if self.stage == Stage::Serving {
                    records::fetch(self.node.clone(), self.asks.clone(), name);
                }
            }
            Ask::View(sender) => {
                let view = (self.stage == Stage::Serving).then(|| self.view());
                let _ = sender.send(view);
            }
            Ask::Quotas(accounts, sender) => {
                let _ = sender.send(self.check(accounts));
            }
            Ask::Resign(sender) => {
                self.resigned = true;
                self.step_down("handed over");
                self.election.resign().await;
                let _ = sender.send(());
            }
            Ask::Election(outcome) => self.hear_election(&outcome, now),
            Ask::Reply(link, sent, reply) => self.hear_reply(link, sent, reply, now),
            Ask::Record(known) => self.hear_record(known, now),
            Ask::Records(Some(records)) => self.hear_records(records, now),
            Ask::Records(None) => self.listed = Duration::ZERO,
            Ask::Removed(name, revision) => {
                if self
                    .records
                    .get(&name)
                    .is_some_and(|k| k.revision == revision)
                {
                    self.records.remove(&name);
                }
            }
            Ask::Stored(name, known) => self.hear_stored(name, known, now),
        }
    }

    fn step(&mut self) {
        let now = self.node.clock.now();
        self.bid(now);
        if self.stage == Stage::Follower {
            return;
        }
        if self.node.highest_epoch() > self.epoch {
            self.step_down("a higher epoch was heard");
            return;
        }
        self.load_accounts(now);
        self.relist(now);
        self.take_over(now);
        if self.stage == Stage::Serving {
            self.find_lost(now);
            self.decide(now);
        }
        self.send_orders(now);
        self.drop_released();
    }
}
