//! Jobs whose record may be stored although no caller was told so.
//!
//! A write that got no answer may take effect seconds later. Until then no
//! gateway may say that the job was not accepted, whichever gateway sent it.

use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// How long a write without an answer may still take effect; the platform's store
/// carries calls out up to some seconds late.
const LIFE: Duration = Duration::from_secs(30);
/// The most jobs that are remembered; beyond, the oldest are forgotten.
const MAX_JOBS: usize = 4_096;

/// Holds the jobs whose writes got no answer.
#[derive(Default)]
pub struct UnconfirmedJobs {
    since: RefCell<HashMap<SmolStr, Duration>>,
}

impl UnconfirmedJobs {
    /// Remembers that a write of a job got no answer.
    pub fn note(&self, id: &SmolStr, now: Duration) {
        let mut since = self.since.borrow_mut();
        if since.len() >= MAX_JOBS {
            since.retain(|_, at| now < *at + LIFE);
        }
        if since.len() >= MAX_JOBS {
            let oldest = since.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                since.remove(&oldest);
            }
        }
        since.insert(id.clone(), now);
    }

    /// Tells whether a job may be stored yet.
    pub fn holds(&self, id: &str, now: Duration) -> bool {
        let since = self.since.borrow();
        since.get(id).is_some_and(|at| now < *at + LIFE)
    }
}
