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
    pub(super) fn add(&mut self, sidecar: &SmolStr, id: &SmolStr, key: TaskKey) {
        let of_sidecar = self.runs.entry(sidecar.clone()).or_default();
        of_sidecar.insert((id.clone(), key));
    }

    /// Removes a run.
    pub(super) fn remove(&mut self, sidecar: &SmolStr, id: &SmolStr, key: TaskKey) {
        let Some(of_sidecar) = self.runs.get_mut(sidecar) else {
            return;
        };
        of_sidecar.remove(&(id.clone(), key));
        if of_sidecar.is_empty() {
            self.runs.remove(sidecar);
        }
    }

    /// Returns the runs on a worker, by job and task.
    pub(super) fn on_worker(&self, sidecar: &str) -> impl Iterator<Item = &(SmolStr, TaskKey)> {
        self.runs.get(sidecar).into_iter().flatten()
    }
}

impl Ledger {
    /// Adds the run of a task that has none, to its job and to the index.
    pub(super) fn add_run(&mut self, id: &SmolStr, key: TaskKey, run: Run) {
        if let Some(entry) = self.jobs.get_mut(id) {
            self.run_index.add(&run.sidecar, id, key);
            entry.runs.insert(key, run);
        }
    }

    /// Removes the run of a task from its job and from the index.
    pub(super) fn remove_run(&mut self, id: &SmolStr, key: TaskKey) -> Option<Run> {
        let run = self.jobs.get_mut(id)?.runs.remove(&key)?;
        self.run_index.remove(&run.sidecar, id, key);
        Some(run)
    }

    /// Returns the runs on a worker with their tasks.
    pub(super) fn iter_runs_on(
        &self,
        sidecar: &str,
    ) -> impl Iterator<Item = (&SmolStr, TaskKey, &Run)> {
        let indexed = self.run_index.on_worker(sidecar);
        indexed.filter_map(|(id, key)| Some((id, *key, self.jobs.get(id)?.runs.get(key)?)))
    }

    /// Returns whether the index holds exactly the runs of all jobs.
    pub(super) fn run_index_is_consistent(&self) -> bool {
        let mut expected = RunIndex::default();
        for (id, entry) in &self.jobs {
            for (key, run) in &entry.runs {
                expected.add(&run.sidecar, id, *key);
            }
        }
        expected == self.run_index
    }
}
