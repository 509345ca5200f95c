//! Recognises workers that fail everything they start.

use crate::grid::WorkerKey;
use std::collections::HashMap;
use std::time::Duration;

/// The distinct jobs that must fail in a row before a worker is quarantined.
const FAILED_JOBS: usize = 3;
/// The length of the first quarantine.
const BASE_QUARANTINE: Duration = Duration::from_secs(60);
/// The exponent at which quarantines stop growing.
const MAX_DOUBLINGS: u32 = 6;

#[derive(Clone, Debug, Default)]
struct Record {
    failed: Vec<u64>,
    until: Duration,
    rounds: u32,
}

/// CellCounts failures in a row for each worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    records: HashMap<WorkerKey, Record>,
}

impl Health {
    /// Records that a task of the job with this serial number failed on a worker.
    pub fn failed(&mut self, worker: WorkerKey, job: u64, now: Duration) {
        let record = self.records.entry(worker).or_default();
        if !record.failed.contains(&job) {
            record.failed.push(job);
        }
        if record.failed.len() >= FAILED_JOBS {
            record.failed.clear();
            record.until = now + BASE_QUARANTINE * (1 << record.rounds.min(MAX_DOUBLINGS));
            record.rounds += 1;
        }
    }

    /// Records that a task ended well on a worker.
    pub fn succeeded(&mut self, worker: WorkerKey) {
        self.records.remove(&worker);
    }

    /// Tells whether a worker is quarantined.
    pub fn is_quarantined(&self, worker: WorkerKey, now: Duration) -> bool {
        self.records.get(&worker).is_some_and(|r| now < r.until)
    }

    /// Lists workers whose quarantine has ended.
    pub fn recovered(&self, now: Duration) -> Vec<WorkerKey> {
        let ended = |r: &Record| r.rounds > 0 && now >= r.until;
        let entries = self.records.iter().filter(|(_, r)| ended(r));
        entries.map(|(worker, _)| *worker).collect()
    }
}
