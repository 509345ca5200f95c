//! Handles the reports of workers about themselves and their gangs.

use super::gangs::GangChange;
use super::records;
use super::task::PlacerTask;
use super::task::Stage;
use super::workers::SentCommand;
use hibiscusbarrow_coordination::gang::GangPhase;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::job::Phase;
use hibiscusbarrow_model::order::OrderReply;
use hibiscusbarrow_placement::JobKey;
use hibiscusbarrow_placement::JobState;
use hibiscusbarrow_placement::WorkerSpec;
use smol_str::SmolStr;
use std::time::Duration;

impl PlacerTask {
    /// Handles the reply of a worker to a batch; `reply` is `None` if none came.
    pub(super) fn handle_reply(
        &mut self,
        link: usize,
        sent: Vec<SentCommand>,
        reply: Option<OrderReply>,
        now: Duration,
    ) {
        self.links[link].in_flight = false;
        let Some(reply) = reply else { return };
        if self.stage == Stage::Follower {
            return;
        }
        if reply.report.epoch > self.epoch {
            self.step_down("a worker has received a higher epoch");
            return;
        }
        self.update_worker(link, &reply, now);
        for (sent, result) in sent.iter().zip(&reply.results) {
            if let Some(gang) = self
                .gangs
                .get_mut(&sent.job)
                .filter(|g| g.name == result.gang)
            {
                gang.handle_result(sent, result.code, now);
            }
        }
        if self.stage == Stage::Serving {
            self.update_gangs(link, &reply, now);
        } else {
            self.links[link].last_reply = Some(reply);
        }
    }

    /// Records the report of a worker, and puts a worker that is new, restarted or was lost
    /// into service.
    pub(super) fn update_worker(&mut self, link: usize, reply: &OrderReply, now: Duration) {
        let report = &reply.report;
        let restarted =
            self.links[link].key.is_some() && self.links[link].incarnation != report.incarnation;
        if restarted && self.links[link].up {
            self.mark_worker_lost(link);
        }
        let state = &mut self.links[link];
        state.last_report = Some(now);
        state.incarnation = report.incarnation;
        state.name = report.worker.clone();
        if state.up {
            return;
        }
        state.up = true;
        let accelerators = report.accelerators.min(8) as u8;
        let spec = WorkerSpec::new(
            report.worker.clone(),
            report.rack.clone(),
            report.domain.clone(),
            accelerators,
        );
        let key = self.scheduler.add_worker(spec);
        state.key = Some(key);
        self.by_worker.insert(key, link);
        self.node
            .log
            .emit(Event::WorkerSeen, report.worker.clone(), "");
        self.dirty = true;
    }

    /// Applies a worker's report to the gangs on it, and marks gangs that belong to no job for
    /// release.
    pub(super) fn update_gangs(&mut self, link: usize, reply: &OrderReply, now: Duration) {
        let mut changes = Vec::new();
        for (key, gang) in &mut self.gangs {
            let index = gang.members.iter().position(|m| m.link == link);
            let Some(index) = index else { continue };
            let reported = reply.report.gangs.iter().find(|g| g.gang == gang.name);
            match gang.handle_report(index, reported.map(|g| g.state), now) {
                GangChange::None => {}
                change => changes.push((*key, change)),
            }
        }
        for (key, change) in changes {
            match change {
                GangChange::Failed => self.handle_member_failure(key, link, now),
                GangChange::Finished => self.store_end(key),
                GangChange::None => {}
            }
        }
        for report in &reply.report.gangs {
            if !self.gangs.values().any(|g| g.name == report.gang) {
                self.links[link].orphans.push(report.gang.clone());
            }
        }
        self.log_starts();
    }

    /// Logs each gang once when all its members run.
    pub(super) fn log_starts(&mut self) {
        for gang in self.gangs.values_mut() {
            if !gang.started && gang.run.phase() == GangPhase::Running {
                gang.started = true;
                let (job, account) = (gang.job.clone(), gang.account.clone());
                self.node
                    .log
                    .emit_for(Event::JobStarted, job, account, gang.name.clone());
            }
        }
    }

    /// Records a failed member, unless its gang is already being stopped.
    pub(super) fn handle_member_failure(&mut self, key: JobKey, link: usize, now: Duration) {
        let phase = self.gangs[&key].run.phase();
        let Some(worker) = self.links[link].key else {
            return;
        };
        if matches!(phase, GangPhase::Holding | GangPhase::Running) {
            self.scheduler.failed(key, worker, now);
            if self.scheduler.is_quarantined(worker, now) {
                let name = self.links[link].name.clone();
                self.node.log.emit(Event::WorkerQuarantined, name, "");
            }
            self.dirty = true;
        }
    }

    /// Stores that a job is done; its gang holds the accelerators until that is stored.
    pub(super) fn store_end(&mut self, key: JobKey) {
        let Some(gang) = self.gangs.get_mut(&key) else {
            return;
        };
        if gang.storing_end || gang.run.phase() != GangPhase::Running {
            return;
        }
        let Some(stored) = self.records.get(&gang.job) else {
            return;
        };
        gang.storing_end = true;
        let mut record = stored.record.clone();
        record.phase = Phase::Done;
        record.ended = self.node.clock.wall_ms();
        records::replace(
            self.node.clone(),
            self.messages.clone(),
            record,
            stored.revision,
        );
    }

    /// Finishes a job once its end is stored; if the write failed, the next report retries it.
    pub(super) fn handle_end_stored(&mut self, name: &SmolStr, is_stored: bool, now: Duration) {
        let Some(key) = self.scheduler.key(name) else {
            return;
        };
        let Some(gang) = self.gangs.get_mut(&key) else {
            return;
        };
        gang.storing_end = false;
        if is_stored {
            self.scheduler.finished(key, now);
            self.dirty = true;
        }
    }

    /// Queues the jobs of gangs that stopped on their own, and removes released gangs.
    pub(super) fn remove_released(&mut self) {
        let stopped: Vec<JobKey> = self
            .gangs
            .iter()
            .filter(|(_, g)| g.run.phase() != GangPhase::Holding)
            .filter(|(_, g)| g.run.phase() != GangPhase::Running)
            .map(|(key, _)| *key)
            .collect();
        for key in stopped {
            if self
                .scheduler
                .job(key)
                .is_some_and(|j| j.state == JobState::Placed)
            {
                self.scheduler.requeue_lost(key);
                self.dirty = true;
            }
            if self.gangs[&key].run.phase() == GangPhase::Released {
                self.gangs.remove(&key);
                self.scheduler.released(key);
                self.dirty = true;
            }
        }
    }
}
