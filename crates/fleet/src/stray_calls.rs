//! Calls to a worker that got no answer and may still be carried out.
//!
//! A worker compares the identifier that a call is meant for, and its next incarnation may have
//! the same one. A call that is carried out late can therefore take effect there: a start runs a
//! task that has long been started elsewhere, and an acknowledgement makes the worker forget ends
//! that have the same numbers and that nobody has seen.
//!
//! From the first call of its sidecar on, an incarnation refuses such calls by their fencing
//! tokens. What it carried out before shows in its ends: it forgets those up to the highest number
//! that it was told, so that none is forgotten any more once it has listed one.

use crate::worker::Boot;
use crate::worker::Order;
use crate::worker::TaskId;
use std::time::Duration;

/// The longest time after which a call is carried out.
const MAX_DELAY: Duration = Duration::from_secs(15);
/// The most calls that are remembered; the oldest are forgotten first.
const CAPACITY: usize = 4_096;

/// What a stray call may do.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Effect {
    Acknowledges,
    Starts(TaskId, u64),
}

/// A call without an answer.
#[derive(Clone, Debug)]
struct Stray {
    boot: Boot,
    sent: Duration,
    effect: Effect,
}

/// The calls to one worker that got no answer, remembered by its sidecar.
#[derive(Clone, Debug, Default)]
pub struct StrayCalls {
    strays: Vec<Stray>,
    /// The incarnation that may forget ends that nobody has seen.
    forgetful: Option<Boot>,
    /// The last incarnation that has listed an end.
    proved: Option<Boot>,
}

impl StrayCalls {
    /// Records that an order to an incarnation got no answer.
    pub fn record(&mut self, boot: &Boot, order: &Order, now: Duration) {
        let effect = match order {
            Order::Poll { acknowledged, .. } if *acknowledged > 0 => Effect::Acknowledges,
            Order::Start(start) => Effect::Starts(start.task.clone(), start.run),
            _ => return,
        };
        if self.strays.len() == CAPACITY {
            self.strays.remove(0);
        }
        self.strays.push(Stray {
            boot: boot.clone(),
            sent: now,
            effect,
        });
    }

    /// Forgets the calls that are not carried out any more, as the present incarnation has
    /// answered. Until the worker answers, it may have started again at any time.
    pub fn handle_answer(&mut self, now: Duration) {
        self.strays.retain(|s| now < s.sent + MAX_DELAY);
    }

    /// Returns whether an incarnation may forget ends that nobody has seen, so that no run should
    /// end there by itself.
    pub fn may_lose_ends(&mut self, boot: &Boot) -> bool {
        if self.proved.as_ref() == Some(boot) {
            return false;
        }
        let is_known = self.forgetful.as_ref() == Some(boot);
        let acknowledges = |s: &Stray| s.effect == Effect::Acknowledges;
        if !is_known && self.of_former(boot).any(acknowledges) {
            self.forgetful = Some(boot.clone());
            return true;
        }
        is_known
    }

    /// Records that an incarnation has listed an end; returns whether it was one that may forget ends.
    pub fn handle_end(&mut self, boot: &Boot) -> bool {
        let was_forgetful = self.may_lose_ends(boot);
        self.proved = Some(boot.clone());
        self.forgetful = None;
        was_forgetful
    }

    /// Returns the starts, by task and run, that an incarnation may carry out although they were
    /// meant for a former one.
    pub fn starts_for(&self, boot: &Boot) -> Vec<(TaskId, u64)> {
        let starts = self.of_former(boot).filter_map(|s| match &s.effect {
            Effect::Starts(task, run) => Some((task.clone(), *run)),
            Effect::Acknowledges => None,
        });
        starts.collect()
    }

    fn of_former(&self, boot: &Boot) -> impl Iterator<Item = &Stray> {
        let same_id = self.strays.iter().filter(|s| s.boot.id == boot.id);
        same_id.filter(|s| s.boot.born != boot.born)
    }
}
