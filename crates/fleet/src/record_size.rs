//! Upper bounds for the size of encoded records, by which a job is refused or its tasks wait
//! before its record outgrows what the store holds.

use crate::job::Job;
use crate::job::Step;
use crate::record::Progress;
use crate::record::Record;
use std::collections::BTreeSet;

/// The fields of a record beside the job and the progress of its tasks.
const RECORD_FRAME_BYTES: usize = 200;
/// One range of compacted occurrences.
const RANGE_BYTES: usize = 24;
/// Brackets and separators of a task, and the progress of one that is done or failed a few times.
const DONE_TASK_BYTES: usize = 6 + r#"{"d":true,"r":99}"#.len();
/// A placement without the names of the sidecar and of the incarnation.
const PLACEMENT_BYTES: usize = r#""p":{"n":"","b":{"id":"","born":9999999999999}},"#.len();
/// The longest count of crashes under a task.
const CRASHES_BYTES: usize = r#""x":{"n":99,"a":99,"p":99,"y":99,"s":true,"t":9999999},"#.len();
/// The checkpoint of a task, by the length of those that workers are known to send.
const CHECKPOINT_BYTES: usize = 32;
/// What the store must take beyond the bound, as the figures of workers have no limit in length.
const SLACK_BYTES: usize = 4_096;
/// The tasks of a job that can run at the same time at least, whatever its size.
const MIN_RUNNING_TASKS: usize = 64;

/// Returns the bytes that a job takes in its record, without any progress.
pub fn job_bytes(job: &Job) -> usize {
    let encoded = serde_json::to_vec(job).expect("a job serialises to JSON");
    encoded.len() + RECORD_FRAME_BYTES
}

/// Returns the bytes that the start of a task may add to its record until the end of the run.
///
/// `names` is the length of the names of the sidecar and of the worker's incarnation.
pub fn run_bytes(step: &Step, names: usize) -> usize {
    let checkpoint = if step.checkpoints {
        CHECKPOINT_BYTES
    } else {
        0
    };
    PLACEMENT_BYTES + names + CRASHES_BYTES + checkpoint
}

/// Returns the bytes that one occurrence of a job takes once all its tasks are done, and of its
/// largest gang, or of a few tasks, the runs at the same time.
fn occurrence_bytes(job: &Job, occurrence: u32, names: usize) -> usize {
    let at_once = |step: &Step| {
        let count = step.count as usize;
        let tasks = if step.gang {
            count
        } else {
            count.min(MIN_RUNNING_TASKS)
        };
        tasks * run_bytes(step, names)
    };
    all_done_bytes(job, occurrence) + job.steps.iter().map(at_once).max().unwrap_or(0)
}

/// Returns the bytes of a task that is done.
fn done_bytes((occurrence, step, index): (u32, u32, u32)) -> usize {
    DONE_TASK_BYTES + digits(occurrence) + digits(step) + digits(index)
}

/// Returns the bytes of the progress of a task, with what may be added until it is done.
fn task_bytes(key: (u32, u32, u32), progress: &Progress, step: &Step) -> usize {
    let mut bytes = done_bytes(key);
    if !progress.checkpoint.is_empty() {
        bytes += progress.checkpoint.len() + r#""c":"","#.len();
    }
    if progress.failures > 0 {
        bytes += r#""f":9999,"#.len();
    }
    match &progress.placement {
        Some(placement) => {
            let names = placement.sidecar.len() + placement.boot.id.len();
            bytes += run_bytes(step, names);
        }
        None if !progress.crashes.is_empty() => bytes += CRASHES_BYTES,
        None => {}
    }
    bytes
}

/// Returns the size up to which tasks are started, if the store takes records of `max` bytes.
pub fn usable_bytes(max: usize) -> usize {
    max.saturating_sub(SLACK_BYTES)
}

/// Checks that a store which takes records of `max` bytes can hold that of a job until all its
/// tasks are done.
///
/// `names` is the length of the names of a sidecar and of its worker's incarnation.
///
/// # Errors
///
/// Returns the size that the record would reach if that is too much.
pub fn check_job(job: &Job, max: usize, names: usize) -> Result<(), String> {
    let last = job.occurrences().saturating_sub(1);
    let needed = job_bytes(job) + RANGE_BYTES + occurrence_bytes(job, last, names);
    let max = usable_bytes(max);
    if needed > max {
        return Err(format!(
            "steps: the record of the job with {} tasks would take {needed} bytes, must take at \
             most {max}",
            job.tasks()
        ));
    }
    Ok(())
}

/// How much of a record is taken, and what its runs may still take.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecordSize {
    /// The bytes taken by the job, by the tasks of the occurrences that have begun, and by their
    /// runs.
    used: usize,
    /// The occurrences that have begun.
    begun: BTreeSet<u32>,
}

impl RecordSize {
    /// Returns the size of a record; `job` is what [`job_bytes`] returns for its job.
    pub fn of(record: &Record, job: usize) -> Self {
        let mut size = Self {
            used: job + RANGE_BYTES * (record.compacted.ranges() + 1),
            begun: BTreeSet::new(),
        };
        for (occurrence, step, index, progress) in &record.tasks {
            let key = (*occurrence, *step, *index);
            if size.begun.insert(*occurrence) {
                size.used += all_done_bytes(&record.job, *occurrence);
            }
            let of_step = &record.job.steps[*step as usize];
            size.used += task_bytes(key, progress, of_step) - done_bytes(key);
        }
        size
    }

    /// Returns how many tasks of a step may start without the record outgrowing `max` bytes.
    ///
    /// Another occurrence begins only if it could be done beside those that have begun.
    pub fn room(
        &self,
        job: &Job,
        (occurrence, step): (u32, u32),
        max: usize,
        names: usize,
    ) -> usize {
        let mut used = self.used;
        if !self.begun.contains(&occurrence) {
            used += all_done_bytes(job, occurrence);
            let needed = self.used + occurrence_bytes(job, occurrence, names);
            if needed > max && !self.begun.is_empty() {
                return 0;
            }
        }
        max.saturating_sub(used) / run_bytes(&job.steps[step as usize], names)
    }

    /// Adds the runs of tasks of a step that are about to start.
    pub fn add_runs(
        &mut self,
        job: &Job,
        (occurrence, step): (u32, u32),
        count: usize,
        names: usize,
    ) {
        if self.begun.insert(occurrence) {
            self.used += all_done_bytes(job, occurrence);
        }
        self.used += count * run_bytes(&job.steps[step as usize], names);
    }
}

/// Returns the bytes of the tasks of an occurrence once all of them are done.
fn all_done_bytes(job: &Job, occurrence: u32) -> usize {
    let of_step = |(number, step): (usize, &Step)| {
        step.count as usize * done_bytes((occurrence, number as u32, step.count))
    };
    job.steps.iter().enumerate().map(of_step).sum()
}

fn digits(number: u32) -> usize {
    number.checked_ilog10().map_or(1, |log| log as usize + 1)
}
