//! Jobs whose record may be stored although no gateway could confirm it.
//!
//! A write that got no answer may take effect seconds later. Until then no gateway,
//! whether or not it sent the write, may answer that the job was not accepted.

use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// How long a write without an answer may still take effect; the platform's store
/// may carry out a call several seconds late.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(30);
/// The most jobs that are kept; the oldest are dropped first.
const MAX_JOBS: usize = 4_096;

/// The jobs with an unconfirmed write.
#[derive(Default)]
pub struct UnconfirmedJobs {
    /// When the last unanswered write of each job was recorded.
    recorded_at: RefCell<HashMap<SmolStr, Duration>>,
}

impl UnconfirmedJobs {
    /// Records that a write of a job got no answer.
    pub fn record(&self, id: &SmolStr, now: Duration) {
        let mut recorded_at = self.recorded_at.borrow_mut();
        if recorded_at.len() >= MAX_JOBS {
            recorded_at.retain(|_, at| now < *at + MAX_WRITE_DELAY);
        }
        if recorded_at.len() >= MAX_JOBS {
            let oldest = recorded_at.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                recorded_at.remove(&oldest);
            }
        }
        recorded_at.insert(id.clone(), now);
    }

    /// Returns whether an unconfirmed write of a job may still take effect.
    pub fn contains(&self, id: &str, now: Duration) -> bool {
        let recorded_at = self.recorded_at.borrow();
        recorded_at
            .get(id)
            .is_some_and(|at| now < *at + MAX_WRITE_DELAY)
    }
}
