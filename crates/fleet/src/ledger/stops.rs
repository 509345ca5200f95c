//! The orders that stop runs, and how many of them are open at a worker.

use super::Effect;
use super::Ledger;
use super::Phase;
use super::TaskKey;
use super::task_id;
use crate::worker::Answer;
use crate::worker::Boot;
use crate::worker::Order;
use crate::worker::TaskId;
use smol_str::SmolStr;
use std::time::Duration;

/// The time between two stops of the same run.
pub(super) const STOP_RETRY_DELAY: Duration = Duration::from_millis(400);

impl Ledger {
    /// Orders the stop of a run, which blocks its start if that has not arrived yet.
    ///
    /// Does nothing if the last stop is too recent, has no answer yet, or too many others have none.
    pub(super) fn send_stop(&mut self, id: &SmolStr, key: TaskKey, now: Duration) {
        let run = self.jobs.get(id).and_then(|e| e.runs.get(&key));
        let Some(run) = run else {
            return;
        };
        if run.stop_sent.is_some_and(|at| now < at + STOP_RETRY_DELAY) {
            return;
        }
        let (sidecar, boot, number) = (run.sidecar.clone(), run.boot.clone(), run.number);
        let is_sent = self.order_stop(&sidecar, boot, task_id(id, key), number, now);
        let run = self.jobs.get_mut(id).and_then(|e| e.runs.get_mut(&key));
        if let Some(run) = run.filter(|_| is_sent) {
            run.stop_sent = Some(now);
        }
    }

    /// Orders a stop unless it is open at the worker, or as many as may be; returns whether it did.
    pub(super) fn order_stop(
        &mut self,
        sidecar: &SmolStr,
        boot: Boot,
        task: TaskId,
        run: u64,
        now: Duration,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(sidecar) else {
            return false;
        };
        let stop = (task, run);
        let is_full = worker.open_stops.len() >= worker.stops.limit();
        if is_full || worker.open_stops.contains_key(&stop) {
            return false;
        }
        worker.open_stops.insert(stop.clone(), now);
        let (task, run) = stop;
        self.effects.push(Effect::Send {
            sidecar: sidecar.clone(),
            boot,
            order: Order::Stop { task, run },
        });
        true
    }

    /// Handles the answer to a stop of a run, which may be over or unknown by now, and orders stops
    /// that have waited for it.
    pub(super) fn settle_stop(
        &mut self,
        sidecar: &SmolStr,
        task: &TaskId,
        run: u64,
        answer: &Answer,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(sidecar) else {
            return;
        };
        let Some(sent) = worker.open_stops.remove(&(task.clone(), run)) else {
            return;
        };
        if *answer == Answer::Silent {
            worker.stops.record_failure();
        } else {
            worker.stops.record_answer(now.saturating_sub(sent));
        }
        if worker.open_stops.len() > worker.stops.limit() / 2 {
            return;
        }
        for (id, key, phase) in self.runs_on(sidecar, |r| r.stop_sent.is_none()) {
            if phase == Phase::Stopping {
                self.send_stop(&id, key, now);
            }
        }
    }
}
