//! An index of runs by worker.

use super::Ledger;
use super::Run;
use super::TaskKey;
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// The job and task of each run by worker, so that handling one worker does not go
/// through all jobs.
#[derive(Debug, Default, Eq, PartialEq)]
pub(super) struct RunIndex {
    runs: HashMap<SmolStr, BTreeSet<(SmolStr, TaskKey)>>,
}

impl RunIndex {
    /// Adds a run.
    pub(super) fn add(&mut self, node: &SmolStr, id: &SmolStr, key: TaskKey) {
        let of_node = self.runs.entry(node.clone()).or_default();
        of_node.insert((id.clone(), key));
    }

    /// Removes a run.
    pub(super) fn remove(&mut self, node: &SmolStr, id: &SmolStr, key: TaskKey) {
        let Some(of_node) = self.runs.get_mut(node) else {
            return;
        };
        of_node.remove(&(id.clone(), key));
        if of_node.is_empty() {
            self.runs.remove(node);
        }
    }

    /// Returns the runs on a worker, by job and task.
    pub(super) fn on_worker(&self, node: &str) -> impl Iterator<Item = &(SmolStr, TaskKey)> {
        self.runs.get(node).into_iter().flatten()
    }
}

impl Ledger {
    /// Adds the run of a task that has none, to its job and to the index.
    pub(super) fn add_run(&mut self, id: &SmolStr, key: TaskKey, run: Run) {
        if let Some(entry) = self.jobs.get_mut(id) {
            self.run_index.add(&run.node, id, key);
            entry.runs.insert(key, run);
        }
    }

    /// Removes the run of a task from its job and from the index.
    pub(super) fn remove_run(&mut self, id: &SmolStr, key: TaskKey) -> Option<Run> {
        let run = self.jobs.get_mut(id)?.runs.remove(&key)?;
        self.run_index.remove(&run.node, id, key);
        Some(run)
    }

    /// Returns the runs on a worker with their tasks.
    pub(super) fn iter_runs_on(
        &self,
        node: &str,
    ) -> impl Iterator<Item = (&SmolStr, TaskKey, &Run)> {
        let indexed = self.run_index.on_worker(node);
        indexed.filter_map(|(id, key)| Some((id, *key, self.jobs.get(id)?.runs.get(key)?)))
    }

    /// Returns whether the index holds exactly the runs of all jobs.
    pub(super) fn run_index_is_consistent(&self) -> bool {
        let mut expected = RunIndex::default();
        for (id, entry) in &self.jobs {
            for (key, run) in &entry.runs {
                expected.add(&run.node, id, *key);
            }
        }
        expected == self.run_index
    }
}
