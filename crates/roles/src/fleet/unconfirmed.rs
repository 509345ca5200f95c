//! Jobs whose record may be stored although no gateway could confirm it.
//!
//! A write that received no answer may take effect seconds later. Until then no gateway,
//! whether or not it sent the write, may respond that the job was not accepted.

use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// How long a write without an answer may still take effect; the platform's store
/// may carry out a call several seconds late.
const MAX_DELAY: Duration = Duration::from_secs(30);
/// The most jobs that are kept; the oldest are dropped first.
const MAX_JOBS: usize = 4_096;

/// The jobs with an unconfirmed write.
#[derive(Default)]
pub struct UnconfirmedJobs {
    /// When the last unanswered write of each job was recorded.
    times: RefCell<HashMap<SmolStr, Duration>>,
}

impl UnconfirmedJobs {
    /// Records that a write of a job received no answer.
    pub fn record(&self, id: &SmolStr, now: Duration) {
        let mut times = self.times.borrow_mut();
        if times.len() >= MAX_JOBS {
            times.retain(|_, at| now < *at + MAX_DELAY);
        }
        if times.len() >= MAX_JOBS {
            let oldest = times.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                times.remove(&oldest);
            }
        }
        times.insert(id.clone(), now);
    }

    /// Returns whether an unconfirmed write of a job may still take effect.
    pub fn contains(&self, id: &str, now: Duration) -> bool {
        let times = self.times.borrow();
        times.get(id).is_some_and(|at| now < *at + MAX_DELAY)
    }
}
