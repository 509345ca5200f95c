//! The limits to the tasks that start: what the record of their job has room for, and what the
//! placer can send in time.

use super::Entry;
use super::Ledger;
use super::Phase;
use super::fit::Candidate;
use super::plan::MAX_WAITING_OCCURRENCES;
use crate::record_size::RecordSize;
use crate::record_size::run_bytes;
use crate::record_size::usable_bytes;
use std::collections::HashSet;
use std::time::Duration;

/// The most starts that are planned or not answered yet, gangs excepted. The placer sends each by
/// itself, and renews its lease in between.
const MAX_OPEN_STARTS: usize = 500;
/// The time after which a start without an answer no longer counts among them.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(500);

impl Ledger {
    /// Returns how many starts may be added to those that are planned or not answered yet.
    pub(super) fn starts_left(&self, now: Duration) -> usize {
        let runs = self.jobs.values().flat_map(|e| e.runs.values());
        let open = runs.filter(|r| match r.phase {
            Phase::Planned => true,
            // A silent worker must not keep tasks from starting on others.
            Phase::Ordered => now < r.phase_since + MAX_ANSWER_TIME,
            _ => false,
        });
        MAX_OPEN_STARTS.saturating_sub(open.count())
    }

    /// Returns the greatest length of the names of a sidecar and of its worker together.
    pub(super) fn longest_names(&self) -> usize {
        let names = self.workers.iter().map(|(sidecar, worker)| {
            let boot = worker.boot.as_ref();
            sidecar.len() + boot.map_or(0, |b| b.id.len())
        });
        names.max().unwrap_or(0)
    }

    /// Compacts the records of all jobs that are not over, and measures those of jobs that are too
    /// wide to run all their tasks at the same time.
    pub(super) fn measure_records(&mut self, names: usize) {
        let max = usable_bytes(self.bounds.max_record);
        for entry in self.jobs.values_mut().filter(|e| !e.record.is_over()) {
            let record = &entry.record;
            let widest = record.job.steps.iter().map(|s| run_bytes(s, names)).max();
            let occurrences = (record.job.occurrences() as usize).min(MAX_WAITING_OCCURRENCES);
            let tasks = occurrences * record.job.tasks() as usize + record.tasks.len();
            let is_wide = entry.job_bytes + 2 * tasks * widest.unwrap_or(0) > max;
            entry.compact(is_wide);
            entry.size = is_wide.then(|| RecordSize::of(&entry.record, entry.job_bytes));
        }
    }

    /// Returns the candidate with as many of its tasks as may start now; none if that is no task,
    /// or not the whole gang, or if the store refuses the record of the job as it is.
    pub(super) fn limit_starts(
        &self,
        mut candidate: Candidate,
        names: usize,
        starts_left: usize,
    ) -> Option<Candidate> {
        let entry = self.jobs.get(&candidate.job)?;
        if entry.refusals > 0 {
            return None;
        }
        let gang = entry.record.job.steps[candidate.step as usize].gang;
        let least = if gang { candidate.indices.len() } else { 1 };
        let room = self.room_in_record(entry, &candidate, least, names);
        let room = if gang { room } else { room.min(starts_left) };
        if room < least {
            return None;
        }
        if room >= candidate.indices.len() {
            return Some(candidate);
        }
        candidate.indices.truncate(room);
        let kept: HashSet<u32> = candidate.indices.iter().copied().collect();
        candidate.suspects.retain(|i| kept.contains(i));
        candidate.impatient.retain(|i| kept.contains(i));
        Some(candidate)
    }

    /// Returns how many tasks of a candidate the record of its job has room for. At least `least`
    /// if the job has no runs, as nothing would make room then; if that is too much, the store
    /// refuses it.
    fn room_in_record(
        &self,
        entry: &Entry,
        candidate: &Candidate,
        least: usize,
        names: usize,
    ) -> usize {
        let Some(size) = &entry.size else {
            return usize::MAX;
        };
        let step = (candidate.occurrence, candidate.step);
        let max = usable_bytes(self.bounds.max_record);
        let room = size.room(&entry.record.job, step, max, names);
        if entry.runs.is_empty() {
            room.max(least)
        } else {
            room
        }
    }
}
