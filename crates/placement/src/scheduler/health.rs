//! Quarantines workers on which one job after another fails.

use crate::grid::WorkerKey;
use std::collections::HashMap;
use std::time::Duration;

/// The number of distinct jobs that have to fail in a row to quarantine a worker.
const FAILURE_THRESHOLD: usize = 3;
/// The length of the first quarantine; each further one is twice as long.
const BASE_QUARANTINE: Duration = Duration::from_secs(60);
/// The number of doublings after which quarantines stop growing.
const MAX_DOUBLINGS: u32 = 6;

#[derive(Clone, Debug, Default)]
struct Record {
    failed_jobs: Vec<u64>,
    quarantined_until: Duration,
    quarantines: u32,
}

/// Tracks consecutive failures and quarantines of each worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    records: HashMap<WorkerKey, Record>,
}

impl Health {
    /// Records that a task of the job with this serial number failed on a worker.
    pub fn record_failure(&mut self, worker: WorkerKey, job: u64, now: Duration) {
        let record = self.records.entry(worker).or_default();
        if !record.failed_jobs.contains(&job) {
            record.failed_jobs.push(job);
        }
        if record.failed_jobs.len() >= FAILURE_THRESHOLD {
            record.failed_jobs.clear();
            record.quarantined_until =
                now + BASE_QUARANTINE * (1 << record.quarantines.min(MAX_DOUBLINGS));
            record.quarantines += 1;
        }
    }

    /// Records that a task succeeded on a worker, which ends its quarantine.
    pub fn record_success(&mut self, worker: WorkerKey) {
        self.records.remove(&worker);
    }

    /// Returns whether a worker is quarantined.
    pub fn is_quarantined(&self, worker: WorkerKey, now: Duration) -> bool {
        self.records
            .get(&worker)
            .is_some_and(|r| now < r.quarantined_until)
    }

    /// Lists workers whose quarantine has ended.
    pub fn recovered(&self, now: Duration) -> Vec<WorkerKey> {
        let ended = |r: &Record| r.quarantines > 0 && now >= r.quarantined_until;
        let entries = self.records.iter().filter(|(_, r)| ended(r));
        entries.map(|(worker, _)| *worker).collect()
    }
}
