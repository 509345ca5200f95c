//! Places jobs: passes of the scheduler, starts and stops of gangs, and orders to workers.

use super::gangs::Gang;
use super::gangs::gang_name;
use super::gangs::members_of;
use super::records;
use super::records::StoredJob;
use super::task::Message;
use super::task::PlacerTask;
use super::workers;
use super::workers::SentCommand;
use hibiscusbarrow_coordination::gang::GangRun;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::order::Order;
use hibiscusbarrow_placement::Cell;
use hibiscusbarrow_placement::Decision;
use hibiscusbarrow_placement::JobKey;
use hibiscusbarrow_placement::JobState;
use smol_str::SmolStr;
use std::collections::HashMap;
use std::time::Duration;

/// The number of reporting intervals without a report after which a worker is considered
/// lost.
const MISSED_REPORTS: u32 = 3;
/// The shortest time without a report after which a worker is considered lost.
const MIN_REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// The time between passes of the scheduler when nothing changes.
const IDLE_PASS_INTERVAL: Duration = Duration::from_secs(1);

impl PlacerTask {
    /// Marks the workers that have not reported in time as lost.
    pub(super) fn mark_lost_workers(&mut self, now: Duration) {
        let interval = Duration::from_millis(self.node.settings.timing.tick_ms);
        let timeout = (interval * MISSED_REPORTS).max(MIN_REPORT_TIMEOUT);
        for link in 0..self.links.len() {
            let state = &self.links[link];
            let lost = state.up && state.last_report.is_some_and(|at| now >= at + timeout);
            if lost {
                self.mark_worker_lost(link);
            }
        }
    }

    /// Takes a worker out of service, which stops every gang on it.
    pub(super) fn mark_worker_lost(&mut self, link: usize) {
        let state = &mut self.links[link];
        state.up = false;
        self.node
            .log
            .emit(Event::WorkerLost, state.name.clone(), "");
        if let Some(key) = state.key {
            self.scheduler.fail_worker(key);
        }
        self.dirty = true;
    }

    /// Runs a pass of the scheduler if one is due and the lease is held.
    pub(super) fn run_pass(&mut self, now: Duration) {
        if !self.dirty && now < self.last_pass + IDLE_PASS_INTERVAL {
            return;
        }
        if !self.election.lease.is_held(now) {
            return;
        }
        self.dirty = false;
        self.last_pass = now;
        for decision in self.scheduler.pass(now) {
            match decision {
                Decision::Start {
                    job,
                    cells,
                    guaranteed,
                } => self.store_start(job, cells, guaranteed),
                Decision::Stop { job, reason } => self.stop_gang(job, reason),
            }
        }
    }

    /// Stores the attempt and the workers of a gang; the gang starts once they are stored.
    ///
    /// A later placer thus knows where a job may still be running.
    pub(super) fn store_start(&mut self, key: JobKey, cells: Vec<Cell>, guaranteed: bool) {
        let Some(name) = self.scheduler.job(key).map(|j| j.name.clone()) else {
            return;
        };
        let Some(stored) = self.records.get(&name) else {
            return;
        };
        let mut record = stored.record.clone();
        record.attempts += 1;
        record.workers = self.worker_names(&cells);
        self.starting.insert(name, (key, cells, guaranteed));
        records::replace(
            self.node.clone(),
            self.messages.clone(),
            record,
            stored.revision,
        );
    }

    /// Returns the names of the workers of these cells, sorted and without duplicates.
    pub(super) fn worker_names(&self, cells: &[Cell]) -> Vec<SmolStr> {
        let mut names: Vec<SmolStr> = cells
            .iter()
            .map(|c| self.scheduler.grid().spec(c.worker).name.clone())
            .collect();
        names.sort();
        names.dedup();
        names
    }

    /// Handles the end of a write of a job record.
    ///
    /// `stored` is `None` if the write failed; the record is then read again.
    pub(super) fn handle_stored(
        &mut self,
        name: SmolStr,
        stored: Option<StoredJob>,
        now: Duration,
    ) {
        if let Some(stored) = &stored {
            self.records.insert(name.clone(), stored.clone());
        } else {
            records::fetch(self.node.clone(), self.messages.clone(), name.clone());
        }
        if let Some((key, cells, guaranteed)) = self.starting.remove(&name) {
            let job = self.scheduler.job(key);
            let stopped = job.is_some_and(|j| j.state == JobState::Stopping);
            match stored {
                Some(stored) => self.start_gang(key, &cells, guaranteed, &stored),
                // Its stop found no gang while the record was being written.
                None if stopped => self.scheduler.released(key),
                None => self.scheduler.requeue_lost(key),
            }
            self.dirty = true;
            return;
        }
        self.handle_end_stored(&name, stored.is_some(), now);
    }

    /// Starts a gang whose attempt is stored, unless its job was stopped in the meantime.
    pub(super) fn start_gang(
        &mut self,
        key: JobKey,
        cells: &[Cell],
        guaranteed: bool,
        stored: &StoredJob,
    ) {
        let Some(job) = self
            .scheduler
            .job(key)
            .filter(|j| j.state == JobState::Placed)
        else {
            self.scheduler.released(key);
            return;
        };
        let name = job.name.clone();
        let members = members_of(cells, |c| self.by_worker.get(&c.worker).copied());
        let Some(members) = members else {
            return self.scheduler.requeue_lost(key);
        };
        let spec = &stored.record.spec;
        let detail = format!(
            "guaranteed {guaranteed} on {}",
            stored.record.workers.join(" ")
        );
        self.node.log.emit_for(
            Event::JobHolding,
            name.clone(),
            spec.account.clone(),
            detail,
        );
        let gang = Gang {
            name: gang_name(&name, stored.record.attempts),
            job: name,
            account: spec.account.clone(),
            run: GangRun::new(members.len(), self.timing),
            members,
            runtime: Duration::from_millis(spec.runtime_ms),
            hold_ttl: self.timing.hold,
            storing_end: false,
            started: false,
        };
        self.gangs.insert(key, gang);
    }

    /// Stops a gang for a reason given by the scheduler, which determines the logged event.
    pub(super) fn stop_gang(&mut self, key: JobKey, reason: &'static str) {
        let Some(gang) = self.gangs.get_mut(&key) else {
            let starting = self.starting.values().any(|(k, _, _)| *k == key);
            if !starting {
                self.scheduler.released(key);
                self.dirty = true;
            }
            return;
        };
        gang.run.stop();
        let event = match reason {
            "finished" => Event::JobFinished,
            "cancelled" => Event::JobCancelled,
            "worker lost" | "member failed" | "domain evacuated" => Event::JobRequeued,
            _ => Event::JobPreempted,
        };
        let (job, account) = (gang.job.clone(), gang.account.clone());
        self.node.log.emit_for(event, job, account, reason);
    }

    /// Sends the due commands of all gangs, and asks for the reports that are due.
    ///
    /// Commands that would start a member on a worker closed to new work are left out, and are
    /// due again in the next step.
    pub(super) fn send_orders(&mut self, now: Duration) {
        let mut batches: HashMap<usize, Vec<SentCommand>> = HashMap::new();
        let closed: Vec<bool> = (0..self.links.len()).map(|l| self.is_closed(l)).collect();
        for (job, gang) in &mut self.gangs {
            for (member, command) in gang.run.poll(now) {
                if gang.starts_member(member, command) && closed[gang.members[member].link] {
                    continue;
                }
                let sent = SentCommand {
                    job: *job,
                    member,
                    command,
                };
                batches
                    .entry(gang.members[member].link)
                    .or_default()
                    .push(sent);
            }
        }
        let interval = Duration::from_millis(self.node.settings.timing.tick_ms);
        for link in 0..self.links.len() {
            let sent = batches.remove(&link).unwrap_or_default();
            let state = &self.links[link];
            let due = state.is_report_due(now, interval) || !state.orphans.is_empty();
            if state.can_send(now) && (due || !sent.is_empty()) {
                self.send_batch(link, sent, now);
            }
        }
    }

    /// Sends commands to one worker, together with releases of the orphans on it.
    pub(super) fn send_batch(&mut self, link: usize, sent: Vec<SentCommand>, now: Duration) {
        let order = |s: &SentCommand| self.gangs[&s.job].order(s.member, s.command);
        let mut orders: Vec<Order> = sent.iter().map(order).collect();
        let state = &mut self.links[link];
        for gang in state.orphans.drain(..) {
            orders.push(Order::Release { gang });
        }
        state.in_flight = true;
        state.last_sent = Some(now);
        let (addr, epoch) = (state.addr, self.epoch);
        let (http, messages) = (self.node.http.clone(), self.messages.clone());
        compio::runtime::spawn(async move {
            let reply = workers::send(http, addr, epoch, orders).await;
            let _ = messages.unbounded_send(Message::Reply(link, sent, reply));
        })
        .detach();
    }
}
