//! The stored record of a job.

use crate::job::Job;
use crate::job::Step;
use crate::occurrences::Occurrences;
use crate::worker::Boot;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The number of tasks with progress from which a record is compacted. Versions that do not
/// know compacted records can still read those of jobs with fewer tasks.
const MIN_COMPACTED_TASKS: usize = 1_000;

/// The stored state of a job: all that must survive a restart of every process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The job as submitted.
    pub job: Job,
    /// Whether the owner cancelled the job.
    #[serde(default)]
    pub cancelled: bool,
    /// Whether the owner cancelled the job before it was stored; callers are told that no such job
    /// exists.
    #[serde(default, skip_serializing_if = "is_false")]
    pub withdrawn: bool,
    /// Whether a task has used up the attempts that the queue allows.
    #[serde(default)]
    pub failed: bool,
    /// When the job ended, in milliseconds since the Unix epoch; 0 until then.
    #[serde(default, rename = "ended")]
    pub ended_at: u64,
    /// The progress of each task that was started, by occurrence, step and index;
    /// sorted.
    #[serde(default)]
    pub tasks: Vec<(u32, u32, u32, Progress)>,
    /// Occurrences of which all tasks are done and whose progress was removed.
    #[serde(
        default,
        rename = "completed",
        skip_serializing_if = "Occurrences::is_empty"
    )]
    pub compacted: Occurrences,
}

/// The progress of one task.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Progress {
    /// Whether the task is done.
    #[serde(rename = "d", skip_serializing_if = "is_false")]
    pub done: bool,
    /// The number of runs that failed; of a gang, the number of its failed starts, kept
    /// by its task 0.
    #[serde(rename = "f", skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// The number of the newest run.
    #[serde(rename = "r")]
    pub run: u64,
    /// The worker of the newest run; none once the end of the run is known.
    #[serde(rename = "p", skip_serializing_if = "Option::is_none")]
    pub placement: Option<Placement>,
    /// The newest checkpoint, if any; a gang keeps it with its task 0.
    #[serde(rename = "c", skip_serializing_if = "SmolStr::is_empty")]
    pub checkpoint: SmolStr,
    /// The crashes of workers on which the task ran; removed once the task is done.
    #[serde(rename = "x", skip_serializing_if = "Crashes::is_empty")]
    pub crashes: Crashes,
}

/// The crashes of workers on which a task ran.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Crashes {
    /// The number of crashes.
    #[serde(rename = "n")]
    pub count: u32,
    /// The number of those crashes in which no other task ran on the worker.
    #[serde(rename = "a", skip_serializing_if = "is_zero")]
    pub alone: u32,
    /// The number of those crashes that came soon after the start of the task.
    #[serde(rename = "p", skip_serializing_if = "is_zero")]
    pub prompt: u32,
    /// The number of starts since three workers have crashed under the task.
    #[serde(rename = "y", skip_serializing_if = "is_zero")]
    pub tries: u32,
    /// Whether the last of the crashes came soon after the start.
    #[serde(rename = "s", skip_serializing_if = "is_false")]
    pub was_prompt: bool,
    /// The longest time that the task had been started when one of these workers crashed, in
    /// milliseconds; none if that is known of no crash.
    #[serde(rename = "t", skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

impl Crashes {
    /// Returns whether no worker has crashed under the task.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}

/// The worker of a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// The name of the worker's sidecar.
    #[serde(rename = "n")]
    pub sidecar: SmolStr,
    /// The incarnation of the worker.
    #[serde(rename = "b")]
    pub boot: Boot,
}

fn is_false(value: &bool) -> bool {
    !value
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// The states of a job that callers see.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task used up its attempts.
    Failed,
    /// The owner cancelled the job.
    Cancelled,
    /// The owner cancelled the job before it was stored.
    Withdrawn,
}

impl State {
    /// Returns whether a job in this state stays in it. The tasks of a cancelled job may still
    /// turn out to be done.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Withdrawn)
    }
}

impl Record {
    /// Creates the record of a newly accepted job.
    pub fn new(job: Job) -> Self {
        Self {
            job,
            cancelled: false,
            withdrawn: false,
            failed: false,
            ended_at: 0,
            tasks: Vec::new(),
            compacted: Occurrences::default(),
        }
    }

    /// Creates the record of a job that is cancelled before it is stored.
    ///
    /// A write of the job that is still in flight requires that there is no record, and so fails.
    /// `job` has the identifier, queue, service and account only.
    pub fn withdrawn(job: Job, ended_at: u64) -> Self {
        let placeholder = Step {
            count: 1,
            ..Step::default()
        };
        Self {
            cancelled: true,
            withdrawn: true,
            ended_at,
            ..Self::new(Job {
                steps: vec![placeholder],
                ..job
            })
        }
    }

    /// Returns the progress of a task; none if it was never started.
    pub fn progress(&self, occurrence: u32, step: u32, index: u32) -> Option<&Progress> {
        let key = (occurrence, step, index);
        let position = self.tasks.binary_search_by_key(&key, |t| (t.0, t.1, t.2));
        position.ok().map(|i| &self.tasks[i].3)
    }

    /// Returns the progress of a task for modification; adds it if there is none.
    pub fn progress_mut(&mut self, occurrence: u32, step: u32, index: u32) -> &mut Progress {
        let key = (occurrence, step, index);
        let position = self.tasks.binary_search_by_key(&key, |t| (t.0, t.1, t.2));
        let position = position.unwrap_or_else(|new| {
            self.tasks
                .insert(new, (occurrence, step, index, Progress::default()));
            new
        });
        &mut self.tasks[position].3
    }

    /// Returns whether every task of a step of an occurrence is done.
    pub fn step_done(&self, occurrence: u32, step: u32) -> bool {
        if self.compacted.contains(occurrence) {
            return true;
        }
        let first = self
            .tasks
            .partition_point(|t| (t.0, t.1) < (occurrence, step));
        let of_step = self.tasks[first..].iter();
        let done = of_step
            .take_while(|t| (t.0, t.1) == (occurrence, step))
            .filter(|t| t.3.done);
        done.count() as u32 >= self.job.steps[step as usize].count
    }

    /// Returns whether every task of every occurrence is done.
    pub fn all_done(&self) -> bool {
        let done = self.tasks.iter().filter(|t| t.3.done).count() as u64;
        let per_occurrence = self.job.tasks();
        done + per_occurrence * self.compacted.len()
            >= per_occurrence * u64::from(self.job.occurrences())
    }

    /// Replaces the progress of occurrences of which all tasks are done by their numbers.
    ///
    /// Does nothing while the progress of few tasks is kept. Returns whether the record has
    /// changed.
    pub fn compact(&mut self) -> bool {
        self.tasks.len() >= MIN_COMPACTED_TASKS && self.compact_all()
    }

    /// Removes the progress that a job which is over does not need: that of its tasks that are
    /// done, or, if the job was not completed, of all tasks that do not run.
    pub fn shrink(&mut self) {
        self.compact_all();
        if !self.all_done() {
            self.tasks.retain(|t| t.3.placement.is_some());
        }
    }

    /// Replaces the progress of all occurrences of which all tasks are done; returns whether there
    /// are any.
    pub fn compact_all(&mut self) -> bool {
        let per_occurrence = self.job.tasks();
        let mut done = Vec::new();
        for of_occurrence in self.tasks.chunk_by(|a, b| a.0 == b.0) {
            let count = of_occurrence.iter().filter(|t| t.3.done).count() as u64;
            if count >= per_occurrence {
                done.push(of_occurrence[0].0);
            }
        }
        for occurrence in &done {
            self.compacted.insert(*occurrence);
        }
        let compacted = &self.compacted;
        self.tasks.retain(|t| !compacted.contains(t.0));
        !done.is_empty()
    }

    /// Returns whether the job is over, so that no task may start any more.
    pub fn is_over(&self) -> bool {
        self.cancelled || self.failed || self.all_done()
    }

    /// Returns the state that callers see.
    pub fn state(&self) -> State {
        if self.withdrawn {
            State::Withdrawn
        } else if self.all_done() {
            State::Completed
        } else if self.cancelled {
            State::Cancelled
        } else if self.failed {
            State::Failed
        } else if !self.compacted.is_empty() || self.tasks.iter().any(|t| t.3.run > 0) {
            State::Running
        } else {
            State::Queued
        }
    }

    /// Encodes the record for the store.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record serialises to JSON")
    }

    /// Decodes the stored record of the job with this identifier.
    ///
    /// # Errors
    ///
    /// Returns a message that says what is wrong if the bytes are not the JSON of a record, if
    /// the record is that of another job, if its job is invalid, or if its progress does not fit
    /// the steps of its job.
    pub fn decode(id: &str, bytes: &[u8]) -> Result<Self, String> {
        let record: Self = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
        record.check(id)?;
        Ok(record)
    }

    /// Checks what the ledger relies on.
    fn check(&self, id: &str) -> Result<(), String> {
        if self.job.id != id {
            return Err(format!("job.id: is {:?}, expected {id:?}", self.job.id));
        }
        self.job.validate().map_err(|e| format!("job.{e}"))?;
        if !self.compacted.is_valid() {
            return Err("completed.ranges: must be ascending, with a gap between any two".into());
        }
        let mut last = None;
        for (position, (occurrence, step, index, _)) in self.tasks.iter().enumerate() {
            let key = (*occurrence, *step, *index);
            let count = self.job.steps.get(*step as usize).map_or(0, |s| s.count);
            if *occurrence >= self.job.occurrences() || *index >= count {
                return Err(format!("tasks[{position}]: the job has no task {key:?}"));
            }
            if last.is_some_and(|last| last >= key) {
                return Err(format!(
                    "tasks[{position}]: {key:?} is not above the task before it"
                ));
            }
            last = Some(key);
        }
        Ok(())
    }
}
