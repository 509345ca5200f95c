//! Recognises workers that fail everything they start.

use crate::grid::WorkerKey;
use std::collections::HashMap;
use std::time::Duration;

/// The distinct jobs that must fail in a row before a worker is quarantined.
const FAILURE_THRESHOLD: usize = 3;
/// The length of the first quarantine.
const BASE_QUARANTINE: Duration = Duration::from_secs(60);
/// The exponent at which quarantines stop growing.
const MAX_DOUBLINGS: u32 = 6;

#[derive(Clone, Debug, Default)]
struct Record {
    failed_jobs: Vec<u64>,
    quarantined_until: Duration,
    quarantines: u32,
}

/// Counts failures in a row for each worker.
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

    /// Records that a task ended well on a worker.
    pub fn record_success(&mut self, worker: WorkerKey) {
        self.records.remove(&worker);
    }

    /// Tells whether a worker is quarantined.
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
