//! The ends of runs: listed by a worker, lost, or ordered by a stop.

use super::Decision;
use super::Ledger;
use super::Phase;
use super::TaskKey;
use crate::record::Crashes;
use crate::worker::End;
use crate::worker::Ended;
use hibiscusbarrow_coordination::runtime::Outcome;
use smol_str::SmolStr;
use std::time::Duration;

impl Ledger {
    /// Applies an end that a worker lists to the record of the job.
    ///
    /// Ignores the end of an outdated run. The success of a run that was already given
    /// up counts as long as no later start was sent; one that is only planned is withdrawn.
    pub(super) fn apply_end(&mut self, sidecar: &SmolStr, ended: &Ended, now: Duration) {
        let id = &ended.task.job;
        let key = (ended.task.occurrence, ended.task.step, ended.task.index);
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        if key.1 as usize >= entry.record.job.steps.len() {
            return;
        }
        let account = entry.record.job.account.clone();
        let progress = entry.record.progress(key.0, key.1, key.2);
        let is_open = progress.is_some_and(|p| p.run >= ended.run && !p.done);
        let run = entry.runs.get(&key);
        let is_current = run.is_some_and(|r| r.number == ended.run && r.sidecar == *sidecar);
        let is_late = || ended.end == End::Done && !entry.has_sent_runs(key);
        if !is_open || !(is_current || is_late()) {
            return;
        }
        let detail = format!(
            "task={key:?} run={} worker={sidecar} end={:?} number={}",
            ended.run, ended.end, ended.number
        );
        let long_running = entry.step(key).long_running;
        let gang = entry.step(key).gang;
        if !is_current {
            self.mark_lost(id, key, "a former run is done", now);
        }
        let run = self.remove_run(id, key);
        self.note(Decision::Ended, id, &account, detail);
        self.store_checkpoint(id, key, &ended.checkpoint);
        self.record_health(sidecar, id, ended.end, now);
        if let Some(run) = &run {
            let outcome = match ended.end {
                End::Done => Outcome::Done,
                End::Failed => Outcome::Failed,
                _ => Outcome::Cut,
            };
            self.learn_from_end(id, key, run, outcome, now);
        }
        if let Some(run) = run.filter(|r| r.phase == Phase::Live && ended.end == End::Done) {
            self.update_speed(id, key, &run, now);
        }
        match ended.end {
            End::Done if !long_running => self.complete_task(id, key, gang, now),
            End::Failed if !long_running => self.count_failure(id, key, ended.run, sidecar, now),
            _ => {}
        }
        self.clear_placement(id, key);
        if gang && ended.end != End::Done {
            self.stop_gang(id, key, now);
        }
        self.mark_changed(id);
    }

    /// Writes the newest checkpoint of a task, or of its whole gang, into the record.
    ///
    /// The checkpoint of a gang is kept in the progress of its task 0.
    pub(super) fn store_checkpoint(&mut self, id: &str, key: TaskKey, checkpoint: &SmolStr) {
        if checkpoint.is_empty() {
            return;
        }
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let index = if entry.step(key).gang { 0 } else { key.2 };
        entry.record.progress_mut(key.0, key.1, index).checkpoint = checkpoint.clone();
    }

    fn clear_placement(&mut self, id: &str, key: TaskKey) {
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.record.progress_mut(key.0, key.1, key.2).placement = None;
        }
    }

    /// Marks a task as done, or all tasks of its gang, and finishes the job if it was the
    /// last one.
    fn complete_task(&mut self, id: &SmolStr, key: TaskKey, gang: bool, now: Duration) {
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let members = if gang {
            0..entry.step(key).count
        } else {
            key.2..key.2 + 1
        };
        for index in members {
            let member = (key.0, key.1, index);
            if let Some(entry) = self.jobs.get_mut(id) {
                let progress = entry.record.progress_mut(key.0, key.1, index);
                progress.done = true;
                progress.placement = None;
                progress.checkpoint = SmolStr::default();
                progress.crashes = Crashes::default();
                entry.crash_seen.remove(&member);
                entry.stalls.remove(&member);
            }
            self.remove_run(id, member);
        }
        if self.jobs.get(id).is_some_and(|e| e.record.is_over()) {
            self.finish_job(id, now);
        }
    }

    /// Counts a failed run, and fails the job once the attempts of the queue are used up.
    ///
    /// A gang start counts once, however many of its members fail.
    fn count_failure(
        &mut self,
        id: &SmolStr,
        key: TaskKey,
        number: u64,
        sidecar: &SmolStr,
        now: Duration,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        entry.avoided.insert(sidecar.clone());
        let gang = entry.step(key).gang;
        if gang && !entry.counted_failures.insert((key.0, key.1, number)) {
            return;
        }
        let index = if gang { 0 } else { key.2 };
        let progress = entry.record.progress_mut(key.0, key.1, index);
        progress.failures += 1;
        if progress.failures >= entry.record.job.attempts.max(1) && !entry.record.is_over() {
            entry.record.failed = true;
            self.finish_job(id, now);
        }
    }

    /// Stops the remaining members of a gang after one has ended.
    pub(super) fn stop_gang(&mut self, id: &SmolStr, key: TaskKey, now: Duration) {
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let of_step = |k: &&TaskKey| (k.0, k.1) == (key.0, key.1);
        let members: Vec<TaskKey> = entry.runs.keys().filter(of_step).copied().collect();
        for member in members {
            self.stop_run(id, member, "another member of the gang ended", now);
        }
    }

    /// Gives up a run whose start was never sent, or that is known to be over although no end was
    /// listed.
    pub(super) fn mark_lost(&mut self, id: &SmolStr, key: TaskKey, reason: &str, now: Duration) {
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let account = entry.record.job.account.clone();
        let gang = entry.step(key).gang;
        let Some(run) = self.remove_run(id, key) else {
            return;
        };
        if run.phase == Phase::Planned {
            self.uncount_try(id, key);
        }
        let last_contact = self.workers.get(&run.sidecar).and_then(|w| w.last_contact);
        let seen_until = last_contact.unwrap_or(run.phase_since);
        self.learn_from_end(id, key, &run, Outcome::Cut, seen_until);
        let worker = self.workers.get(&run.sidecar);
        let lease = worker.map(|w| w.lease_end.saturating_sub(now));
        let detail = format!(
            "task={key:?} run={} worker={} phase={:?} boot={} born={} percent={} checkpoint={:?} \
             lease={lease:?}: {reason}",
            run.number,
            run.sidecar,
            run.phase,
            run.boot.id,
            run.boot.born,
            run.percent,
            run.checkpoint
        );
        self.note(Decision::Lost, id, &account, detail);
        self.store_checkpoint(id, key, &run.checkpoint);
        self.clear_placement(id, key);
        if gang {
            self.stop_gang(id, key, now);
        }
        self.mark_changed(id);
    }

    /// Orders a run to stop; a run whose start was not sent yet is given up at once.
    pub(super) fn stop_run(&mut self, id: &SmolStr, key: TaskKey, reason: &str, now: Duration) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let account = entry.record.job.account.clone();
        let Some(run) = entry.runs.get_mut(&key) else {
            return;
        };
        match run.phase {
            Phase::Stopping => return,
            Phase::Planned => {
                self.mark_lost(id, key, reason, now);
                return;
            }
            _ => {}
        }
        run.set_phase(Phase::Stopping, now);
        run.stop_sent = None;
        let detail = format!(
            "task={key:?} run={} worker={}: {reason}",
            run.number, run.sidecar
        );
        self.note(Decision::Stopped, id, &account, detail);
        self.send_stop(id, key, now);
    }
}
