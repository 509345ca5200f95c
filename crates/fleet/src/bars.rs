//! What a sidecar remembers of ended runs, across lives of its worker.
//!
//! A worker that starts again under its former identifier has forgotten which
//! runs ended, so that a start which was long on its way would run there again.

use crate::worker::TaskId;
use std::collections::HashMap;
use std::collections::VecDeque;

/// The tasks that are remembered; the oldest is forgotten first.
const CAPACITY: usize = 4_096;

/// Holds the highest run of each task that was stopped or has ended.
#[derive(Clone, Debug, Default)]
pub struct Bars {
    highest: HashMap<TaskId, u64>,
    order: VecDeque<TaskId>,
}

impl Bars {
    /// Remembers that a run was stopped or has ended.
    pub fn bar(&mut self, task: &TaskId, run: u64) {
        if let Some(highest) = self.highest.get_mut(task) {
            *highest = (*highest).max(run);
            return;
        }
        if self.order.len() == CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.highest.remove(&oldest);
        }
        self.highest.insert(task.clone(), run);
        self.order.push_back(task.clone());
    }

    /// Tells whether a run, or a higher one of its task, was stopped or has ended.
    pub fn is_barred(&self, task: &TaskId, run: u64) -> bool {
        self.highest
            .get(task)
            .is_some_and(|highest| run <= *highest)
    }
}
