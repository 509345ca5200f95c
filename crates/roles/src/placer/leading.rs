//! Acquires, renews and gives up the placer lease.

use super::election::Election;
use super::election::Holder;
use super::election::LeaseResult;
use super::election::Outcome;
use super::task::Message;
use super::task::PlacerTask;
use super::task::Stage;
use hibiscusbarrow_model::event::Event;
use std::time::Duration;

/// The number of lease requests during the time to live of a lease.
const REQUESTS_PER_LEASE: u32 = 4;

impl PlacerTask {
    /// Renews or acquires the lease in the background, if a request is due.
    ///
    /// A gateway without workers in its settings never requests the lease.
    pub(super) fn request_lease(&mut self, now: Duration) {
        if self.requesting || self.resigned || now < self.next_request || self.links.is_empty() {
            return;
        }
        self.requesting = true;
        let lease = Duration::from_millis(self.node.settings.timing.lease_ms);
        self.next_request = now + lease / REQUESTS_PER_LEASE;
        let (request, messages) = (self.election.request(), self.messages.clone());
        compio::runtime::spawn(async move {
            let _ = messages.unbounded_send(Message::Election(request.run().await));
        })
        .detach();
    }

    pub(super) fn handle_election(&mut self, outcome: &Outcome, now: Duration) {
        self.requesting = false;
        if self.resigned {
            return;
        }
        self.election.apply(outcome);
        match outcome.result {
            LeaseResult::Acquired(epoch) => self.handle_acquired(epoch, now),
            LeaseResult::Renewed | LeaseResult::Unanswered => {}
            LeaseResult::Lost(holder) => {
                if self.stage != Stage::Follower && holder != Holder::Unknown {
                    self.step_down("the lease expired and another gateway holds it");
                }
                if self.stage == Stage::Follower {
                    *self.holder.borrow_mut() = holder;
                }
            }
        }
    }

    /// Starts to take over the region, or adopts the new epoch if it already serves.
    pub(super) fn handle_acquired(&mut self, epoch: u64, now: Duration) {
        self.epoch = epoch;
        self.node.announce_epoch(epoch);
        *self.holder.borrow_mut() = Holder::Local;
        self.node.log.emit(
            Event::PlacerElected,
            self.node.settings.name.clone(),
            epoch.to_string(),
        );
        if self.stage == Stage::Serving {
            return;
        }
        self.stage = Stage::TakingOver {
            started: now,
            listed: false,
        };
        self.last_listed = Duration::ZERO;
    }

    /// Becomes a follower and drops all state of the placer.
    pub(super) fn step_down(&mut self, reason: &str) {
        if self.stage == Stage::Follower {
            return;
        }
        self.node
            .log
            .emit(Event::PlacerLapsed, self.node.settings.name.clone(), reason);
        let follower = PlacerTask::new(
            self.node.clone(),
            self.messages.clone(),
            self.holder.clone(),
        );
        let (requesting, resigned) = (self.requesting, self.resigned);
        *self.holder.borrow_mut() = Holder::Unknown;
        let election = std::mem::replace(&mut self.election, Election::new(self.node.clone()));
        let next_request = self.next_request;
        *self = follower;
        (self.requesting, self.resigned, self.next_request) = (requesting, resigned, next_request);
        // The lease is still to be revoked, for which its identifier is needed.
        if resigned {
            self.election = election;
        }
    }
}
