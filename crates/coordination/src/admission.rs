//! Admission to the slots of an upstream, fair between accounts.

use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Identifies a request in the admission of one upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// The decision on an offered request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// The request was assigned a slot and runs now.
    Run(RequestId),
    /// The request waits for a slot.
    Wait(RequestId),
    /// The account's queue is full; the request is rejected.
    Full,
}

/// Assigns requests to a limited number of slots, round-robin over accounts.
///
/// Each account has its own queue, all with the same limit, so that a burst of one
/// account never causes requests of another to be rejected.
#[derive(Clone, Debug)]
pub struct Admission {
    slots: usize,
    running: usize,
    queue_limit: usize,
    next_id: u64,
    /// The waiting requests of each account, with their deadlines.
    queues: BTreeMap<SmolStr, VecDeque<(RequestId, Duration)>>,
    /// The accounts that have waiting requests, in the order of their next turns.
    rotation: VecDeque<SmolStr>,
}

impl Admission {
    /// Creates an admission with `slots` slots and up to `queue_limit` queued requests per account.
    pub fn new(slots: usize, queue_limit: usize) -> Self {
        Self {
            slots,
            running: 0,
            queue_limit,
            next_id: 0,
            queues: BTreeMap::new(),
            rotation: VecDeque::new(),
        }
    }

    /// Changes the number of slots; running requests are not affected.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Offers a request, which is dropped if it still waits at `deadline`.
    pub fn offer(&mut self, account: &SmolStr, deadline: Duration) -> Offer {
        let id = RequestId(self.next_id);
        if self.running < self.slots {
            self.next_id += 1;
            self.running += 1;
            return Offer::Run(id);
        }
        let queue = self.queues.entry(account.clone()).or_default();
        if queue.len() >= self.queue_limit {
            return Offer::Full;
        }
        self.next_id += 1;
        if queue.is_empty() {
            self.rotation.push_back(account.clone());
        }
        queue.push_back((id, deadline));
        Offer::Wait(id)
    }

    /// Frees a slot and returns the waiting request that now runs in it, if any.
    ///
    /// The second value lists waiting requests that were dropped because their deadline
    /// has passed.
    pub fn finish(&mut self, now: Duration) -> (Option<RequestId>, Vec<RequestId>) {
        self.running -= 1;
        let mut expired = Vec::new();
        while self.running < self.slots {
            let Some(account) = self.rotation.pop_front() else {
                break;
            };
            let Some(queue) = self.queues.get_mut(&account) else {
                continue;
            };
            let Some((id, deadline)) = queue.pop_front() else {
                continue;
            };
            if queue.is_empty() {
                self.queues.remove(&account);
            } else {
                self.rotation.push_back(account);
            }
            if deadline <= now {
                expired.push(id);
                continue;
            }
            self.running += 1;
            return (Some(id), expired);
        }
        (None, expired)
    }

    /// Cancels a waiting request; returns whether it was still waiting.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        for (account, queue) in &mut self.queues {
            if let Some(i) = queue.iter().position(|(queued, _)| *queued == id) {
                queue.remove(i);
                if queue.is_empty() {
                    let account = account.clone();
                    self.rotation.retain(|a| *a != account);
                    self.queues.remove(&account);
                }
                return true;
            }
        }
        false
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }
}
