//! Takes, keeps and gives up the placer lease.

use super::election::Election;
use super::election::Holder;
use super::election::Outcome;
use super::election::Verdict;
use super::task::Ask;
use super::task::Stage;
use super::task::Task;
use hibiscusbarrow_model::event::Event;
use std::time::Duration;

/// The rounds of the election within the life of a lease.
const ROUNDS_PER_LEASE: u32 = 4;

impl Task {
    pub(super) fn bid(&mut self, now: Duration) {
        if self.bidding || self.resigned || now < self.next_bid || self.links.is_empty() {
            return;
        }
        self.bidding = true;
        let lease = Duration::from_millis(self.node.settings.timing.lease_ms);
        self.next_bid = now + lease / ROUNDS_PER_LEASE;
        let (bid, asks) = (self.election.bid(), self.asks.clone());
        compio::runtime::spawn(async move {
            let _ = asks.unbounded_send(Ask::Election(bid.run().await));
        })
        .detach();
    }

    pub(super) fn hear_election(&mut self, outcome: &Outcome, now: Duration) {
        self.bidding = false;
        if self.resigned {
            return;
        }
        self.election.settle(outcome);
        match outcome.verdict {
            Verdict::Elected(epoch) => self.begin(epoch, now),
            Verdict::Kept | Verdict::Silent => {}
            Verdict::Lost(holder) => {
                if self.stage != Stage::Follower && holder != Holder::Unknown {
                    self.step_down("the lease lapsed and another holds it");
                }
                if self.stage == Stage::Follower {
                    *self.holder.borrow_mut() = holder;
                }
            }
        }
    }

    pub(super) fn begin(&mut self, epoch: u64, now: Duration) {
        self.epoch = epoch;
        self.node.announce_epoch(epoch);
        *self.holder.borrow_mut() = Holder::Me;
        self.node.log.emit(
            Event::PlacerElected,
            self.node.settings.name.clone(),
            epoch.to_string(),
        );
        if self.stage == Stage::Serving {
            return;
        }
        self.stage = Stage::TakingOver {
            since: now,
            listed: false,
        };
        self.listed = Duration::ZERO;
    }

    pub(super) fn step_down(&mut self, reason: &str) {
        if self.stage == Stage::Follower {
            return;
        }
        self.node
            .log
            .emit(Event::PlacerLapsed, self.node.settings.name.clone(), reason);
        let fresh = Task::new(self.node.clone(), self.asks.clone(), self.holder.clone());
        let (bidding, resigned) = (self.bidding, self.resigned);
        *self.holder.borrow_mut() = Holder::Unknown;
        let election = std::mem::replace(&mut self.election, Election::new(self.node.clone()));
        let next_bid = self.next_bid;
        *self = fresh;
        (self.bidding, self.resigned, self.next_bid) = (bidding, resigned, next_bid);
        if resigned {
            self.election = election;
        }
    }
}
