//! Takes in what workers report of themselves and of gangs.

use super::gangs::Finding;
use super::records;
use super::task::Stage;
use super::task::Task;
use super::workers::Sent;
use hibiscusbarrow_coordination::gang::GangPhase;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::job::Phase;
use hibiscusbarrow_model::order::OrderReply;
use hibiscusbarrow_placement::JobKey;
use hibiscusbarrow_placement::JobState;
use hibiscusbarrow_placement::WorkerSpec;
use smol_str::SmolStr;
use std::time::Duration;

impl Task {
    pub(super) fn hear_reply(
        &mut self,
        link: usize,
        sent: Vec<Sent>,
        reply: Option<OrderReply>,
        now: Duration,
    ) {
        self.links[link].busy = false;
        let Some(reply) = reply else { return };
        if self.stage == Stage::Follower {
            return;
        }
        if reply.report.epoch > self.epoch {
            self.step_down("a worker has seen a higher epoch");
            return;
        }
        self.note_worker(link, &reply, now);
        for (sent, result) in sent.iter().zip(&reply.results) {
            if let Some(gang) = self
                .gangs
                .get_mut(&sent.job)
                .filter(|g| g.name == result.gang)
            {
                gang.note_result(sent, result.code, now);
            }
        }
        if self.stage == Stage::Serving {
            self.note_members(link, &reply, now);
        } else {
            self.links[link].reply = Some(reply);
        }
    }

    pub(super) fn note_worker(&mut self, link: usize, reply: &OrderReply, now: Duration) {
        let report = &reply.report;
        let restarted =
            self.links[link].key.is_some() && self.links[link].incarnation != report.incarnation;
        if restarted && self.links[link].up {
            self.lose_worker(link);
        }
        let state = &mut self.links[link];
        state.seen = Some(now);
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

    pub(super) fn note_members(&mut self, link: usize, reply: &OrderReply, now: Duration) {
        let mut findings = Vec::new();
        for (key, gang) in &mut self.gangs {
            let member = gang.parts.iter().position(|p| p.link == link);
            let Some(member) = member else { continue };
            let reported = reply.report.gangs.iter().find(|g| g.gang == gang.name);
            match gang.note_report(member, reported.map(|g| g.state), now) {
                Finding::None => {}
                finding => findings.push((*key, finding)),
            }
        }
        for (key, finding) in findings {
            match finding {
                Finding::Failed => self.fail_job(key, link, now),
                Finding::Finished => self.end_job(key),
                Finding::None => {}
            }
        }
        for report in &reply.report.gangs {
            if !self.gangs.values().any(|g| g.name == report.gang) {
                self.links[link].orphans.push(report.gang.clone());
            }
        }
        self.note_starts();
    }

    pub(super) fn note_starts(&mut self) {
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

    pub(super) fn fail_job(&mut self, key: JobKey, link: usize, now: Duration) {
        let stopping = self.gangs[&key].run.phase();
        let Some(worker) = self.links[link].key else {
            return;
        };
        if matches!(stopping, GangPhase::Holding | GangPhase::Running) {
            self.scheduler.failed(key, worker, now);
            if self.scheduler.is_quarantined(worker, now) {
                let name = self.links[link].name.clone();
                self.node.log.emit(Event::WorkerQuarantined, name, "");
            }
            self.dirty = true;
        }
    }

    /// Stores that a job is done; its gang keeps its accelerators until then.
    pub(super) fn end_job(&mut self, key: JobKey) {
        let Some(gang) = self.gangs.get_mut(&key) else {
            return;
        };
        if gang.ending || gang.run.phase() != GangPhase::Running {
            return;
        }
        let Some(known) = self.records.get(&gang.job) else {
            return;
        };
        gang.ending = true;
        let mut record = known.record.clone();
        record.phase = Phase::Done;
        record.ended = self.node.clock.wall_ms();
        records::replace(self.node.clone(), self.asks.clone(), record, known.revision);
    }

    pub(super) fn note_end(&mut self, name: &SmolStr, stored: bool, now: Duration) {
        let Some(key) = self.scheduler.key(name) else {
            return;
        };
        let Some(gang) = self.gangs.get_mut(&key) else {
            return;
        };
        gang.ending = false;
        if stored {
            self.scheduler.finished(key, now);
            self.dirty = true;
        }
    }

    pub(super) fn drop_released(&mut self) {
        let lapsed: Vec<JobKey> = self
            .gangs
            .iter()
            .filter(|(_, g)| g.run.phase() != GangPhase::Holding)
            .filter(|(_, g)| g.run.phase() != GangPhase::Running)
            .map(|(key, _)| *key)
            .collect();
        for key in lapsed {
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
