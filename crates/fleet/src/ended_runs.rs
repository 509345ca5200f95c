//! The runs of a worker that have ended, remembered by its sidecar across worker
//! restarts.
//!
//! A worker that restarts under its former identifier no longer knows which runs
//! ended, so a delayed start order could run an ended task there again. The
//! sidecar outlives the worker and rejects such a start.

use crate::worker::TaskId;
use std::collections::HashMap;
use std::collections::VecDeque;

/// The number of tasks that are remembered; the oldest is evicted first.
const CAPACITY: usize = 4_096;

/// A bounded map from each task to its highest run that was stopped or has ended.
#[derive(Clone, Debug, Default)]
pub struct EndedRuns {
    highest: HashMap<TaskId, u64>,
    insertion_order: VecDeque<TaskId>,
}

impl EndedRuns {
    /// Records that a run was stopped or has ended.
    pub fn insert(&mut self, task: &TaskId, run: u64) {
        if let Some(highest) = self.highest.get_mut(task) {
            *highest = (*highest).max(run);
            return;
        }
        if self.insertion_order.len() == CAPACITY
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.highest.remove(&oldest);
        }
        self.highest.insert(task.clone(), run);
        self.insertion_order.push_back(task.clone());
    }

    /// Returns whether this run, or a higher run of its task, was stopped or has ended.
    pub fn contains(&self, task: &TaskId, run: u64) -> bool {
        self.highest
            .get(task)
            .is_some_and(|highest| run <= *highest)
    }
}
