//! Batches of records to store, and the starts and acknowledgements that wait for their
//! commit.

use super::Entry;
use super::Ledger;
use super::Phase;
use super::Run;
use super::TaskKey;
use super::required_resources;
use crate::record::Record;
use crate::worker::Resources;
use smol_str::SmolStr;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// The most records of one transaction: the store takes 32 entries, of which each
/// record needs two, a condition and a put, and the placer's lease one.
const MAX_BATCH_RECORDS: usize = 15;
/// The most bytes of the records of one transaction. A gateway that relays it to the store holds
/// it three times, as message, copy and answer, in the 16 MB for peers of the smallest machine,
/// of which 90 peers take 4.5 MB. A single record may be larger.
const MAX_BATCH_BYTES: usize = 3 << 20;
/// The delay before a record that the store has refused is written again.
const REFUSAL_DELAY: Duration = Duration::from_millis(300);
/// The refusals in a row after which a job fails whose record can be made no smaller.
const MAX_REFUSALS: u32 = 5;
/// How long an ended job is kept beyond the guaranteed retention.
const STATUS_RETENTION_SLACK: Duration = Duration::from_secs(60);

/// Records to store in one transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// The records.
    pub writes: Vec<Write>,
}

/// A record to store or delete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// The job.
    pub job: SmolStr,
    /// The revision that the stored record must have for the write to apply.
    pub revision: u64,
    /// The encoded record; none deletes it.
    pub value: Option<Vec<u8>>,
    /// The record itself; none deletes it.
    pub record: Option<Rc<Record>>,
    /// Whether the job reached its final state.
    pub ended: bool,
    /// The number of the newest change that the value contains.
    change: u64,
}

impl Ledger {
    /// Returns the records to store next, as many as fit into one transaction.
    ///
    /// `wall` is the time of day in milliseconds since the Unix epoch. No further write
    /// of these records is returned until the outcome of this one is reported.
    pub fn take_batch(&mut self, wall: u64) -> Option<Batch> {
        self.mark_ended(wall);
        let mut batch = Batch::default();
        let now = self.planned_at;
        let unsaved =
            |e: &&mut Entry| e.changed > e.committed && !e.writing && now >= e.write_after;
        let mut due: Vec<&mut Entry> = self.jobs.values_mut().filter(unsaved).collect();
        // Without this order, a job whose identifier sorts last would wait while others change.
        due.sort_by_key(|e| e.unsaved_rank);
        if due.first().is_some_and(|e| e.is_apart) {
            due.truncate(1);
        } else {
            due.retain(|e| !e.is_apart);
        }
        let mut bytes = 0;
        for entry in due.into_iter().take(MAX_BATCH_RECORDS) {
            let value = entry.record.encode();
            bytes += value.len();
            if bytes > MAX_BATCH_BYTES && !batch.writes.is_empty() {
                break;
            }
            entry.writing = true;
            entry.unsaved_rank = 0;
            batch.writes.push(Write {
                job: entry.record.job.id.clone(),
                revision: entry.revision,
                value: Some(value),
                record: Some(Rc::new(entry.record.clone())),
                ended: entry.record.ended_at > 0,
                change: entry.changed,
            });
        }
        (!batch.writes.is_empty()).then_some(batch)
    }

    /// Returns the deletion of ended jobs whose retention has passed.
    pub fn take_expired(&mut self, wall: u64) -> Option<Batch> {
        let retention = (self.bounds.status_retention + STATUS_RETENTION_SLACK).as_millis() as u64;
        let mut batch = Batch::default();
        for (id, entry) in &mut self.jobs {
            let ended_at = entry.record.ended_at;
            let settled = entry.runs.is_empty() && entry.changed <= entry.committed;
            if ended_at == 0 || wall < ended_at + retention || !settled || entry.writing {
                continue;
            }
            entry.writing = true;
            batch.writes.push(Write {
                job: id.clone(),
                revision: entry.revision,
                value: None,
                record: None,
                ended: true,
                change: entry.changed,
            });
            if batch.writes.len() == MAX_BATCH_RECORDS {
                break;
            }
        }
        (!batch.writes.is_empty()).then_some(batch)
    }

    /// Handles the commit of a batch: sends the starts and acknowledges the ends that
    /// waited for it.
    pub fn handle_commit(&mut self, batch: &Batch, revision: u64, now: Duration) {
        for write in &batch.writes {
            if write.value.is_none() {
                self.remove_job(&write.job);
                continue;
            }
            if let Some(entry) = self.jobs.get_mut(&write.job) {
                entry.writing = false;
                entry.revision = entry.revision.max(revision);
                entry.committed = write.change;
                entry.refusals = 0;
                entry.is_apart = false;
            }
        }
        self.release_committed(now);
    }

    /// Handles the failure of a batch that was not stored and will not be; its records
    /// are due to be written again.
    pub fn handle_write_failure(&mut self, batch: &Batch) {
        for write in &batch.writes {
            if let Some(entry) = self.jobs.get_mut(&write.job) {
                entry.writing = false;
                entry.rank_unsaved(write.change);
            }
        }
    }

    /// Handles the refusal of a batch that the store will never take; returns whether the record
    /// of a job was refused for the first time.
    ///
    /// The records of a batch are written one by one, so that those which the store takes wait for
    /// no other. A record that is refused by itself loses the starts that were planned last; a job
    /// whose record is still refused fails, as its progress cannot be kept.
    pub fn handle_refusal(&mut self, batch: &Batch, now: Duration) -> bool {
        self.handle_write_failure(batch);
        for write in &batch.writes {
            if let Some(entry) = self.jobs.get_mut(&write.job) {
                entry.is_apart = true;
            }
        }
        let [write] = batch.writes.as_slice() else {
            return false;
        };
        let id = &write.job;
        let Some(entry) = self.jobs.get_mut(id) else {
            return false;
        };
        entry.refusals += 1;
        entry.write_after = now + REFUSAL_DELAY;
        let refusals = entry.refusals;
        let planned = entry.runs.iter().filter(|(_, r)| r.phase == Phase::Planned);
        let planned: Vec<TaskKey> = planned.map(|(key, _)| *key).collect();
        for key in &planned {
            self.mark_lost(id, *key, "the store refuses the record", now);
        }
        let Some(entry) = self.jobs.get_mut(id) else {
            return false;
        };
        if entry.record.is_over() {
            entry.record.shrink();
            self.mark_changed(id);
        } else if planned.is_empty() && refusals >= MAX_REFUSALS {
            entry.record.failed = true;
            self.finish_job(id, now);
        }
        refusals == 1
    }

    /// Applies the stored state of a record whose write failed on its revision.
    pub fn handle_conflict(&mut self, record: Record, revision: u64, now: Duration) {
        self.put_job(record, revision, now);
    }

    /// Returns whether ends of a worker wait for their records to be stored.
    pub fn awaits_commit(&self, sidecar: &str) -> bool {
        self.workers
            .get(sidecar)
            .is_some_and(|w| !w.uncommitted_ends.is_empty())
    }

    /// Sets the end time of jobs that are over and about to be stored.
    fn mark_ended(&mut self, wall: u64) {
        for entry in self.jobs.values_mut() {
            if entry.record.ended_at == 0
                && entry.changed > entry.committed
                && entry.record.is_over()
            {
                entry.record.ended_at = wall;
            }
        }
    }

    /// Sends the starts whose intents are stored, and acknowledges the ends.
    fn release_committed(&mut self, now: Duration) {
        let mut due = Vec::new();
        for (id, change, key, number) in std::mem::take(&mut self.pending_starts) {
            let Some(entry) = self.jobs.get(&id) else {
                continue;
            };
            let run = entry.runs.get(&key);
            let is_pending = run.is_some_and(|r| r.phase == Phase::Planned && r.number == number);
            if is_pending && entry.committed >= change {
                due.push((id, key));
            } else if is_pending {
                self.pending_starts.push((id, change, key, number));
            }
        }
        // A gang is withdrawn before any of its members is sent.
        self.withdraw_evacuated(&due, now);
        self.withdraw_overfull(&due, now);
        for (id, key) in due {
            let run = self.jobs.get(&id).and_then(|e| e.runs.get(&key));
            if run.is_some_and(|r| r.phase == Phase::Planned) {
                self.send_start(&id, key, now);
            }
        }
        self.acknowledge_committed();
    }

    /// Gives up planned starts for which their worker has no room any more, as it has reported a
    /// smaller capacity since the plan.
    fn withdraw_overfull(&mut self, due: &[(SmolStr, TaskKey)], now: Duration) {
        let mut used: HashMap<SmolStr, Resources> = HashMap::new();
        for (id, key) in due {
            let Some((run, required)) = self.planned_run(id, *key) else {
                continue;
            };
            let sidecar = run.sidecar.clone();
            let used = used
                .entry(sidecar.clone())
                .or_insert_with(|| self.used_by_started_runs(&sidecar));
            used.add(&required);
            let worker = self.workers.get(&sidecar);
            let announced = worker.and_then(|w| w.announced.as_ref());
            if announced.is_some_and(|a| !a.capacity.covers(used)) {
                used.subtract(&required);
                self.mark_lost(id, *key, "the worker has shrunk since the plan", now);
            }
        }
    }

    /// Returns a run whose start has not been sent, and what it needs.
    fn planned_run(&self, id: &str, key: TaskKey) -> Option<(&Run, Resources)> {
        let entry = self.jobs.get(id)?;
        let run = entry.runs.get(&key)?;
        (run.phase == Phase::Planned).then(|| (run, required_resources(entry.step(key))))
    }

    /// Returns the resources that the runs on a worker need whose starts were sent.
    fn used_by_started_runs(&self, sidecar: &str) -> Resources {
        let mut used = Resources::default();
        for (id, key, run) in self.iter_runs_on(sidecar) {
            if run.phase != Phase::Planned {
                used.add(&required_resources(self.jobs[id].step(key)));
            }
        }
        let orphans = self.workers.get(sidecar).map(|w| &w.orphans);
        for orphan in orphans.into_iter().flatten() {
            used.add(&self.required_by_orphan(orphan).unwrap_or_default());
        }
        used
    }

    /// Acknowledges the ends whose records are stored.
    fn acknowledge_committed(&mut self) {
        let jobs = &self.jobs;
        for worker in self.workers.values_mut() {
            while let Some((number, changes)) = worker.uncommitted_ends.first() {
                let stored = |(id, change): &(SmolStr, u64)| {
                    jobs.get(id).is_none_or(|e| e.committed >= *change)
                };
                if !changes.iter().all(stored) {
                    break;
                }
                worker.acknowledged = *number;
                worker.uncommitted_ends.remove(0);
            }
        }
    }
}
