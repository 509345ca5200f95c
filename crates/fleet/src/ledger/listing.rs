//! Handling of listings: what workers run and which runs ended.

use super::Decision;
use super::Ledger;
use super::Phase;
use super::TaskKey;
use super::stops::STOP_RETRY_DELAY;
use crate::worker::Announcement;
use crate::worker::Boot;
use crate::worker::Ended;
use crate::worker::Listing;
use crate::worker::Running;
use smol_str::SmolStr;
use std::collections::HashSet;
use std::time::Duration;

/// The first character of a rack label; digits follow.
const RACK_PREFIX: char = 'r';

impl Ledger {
    /// Handles a listing that answers a status poll sent at `sent`.
    ///
    /// Ignores a listing whose poll was sent before that of an earlier listing, and one
    /// that comes from another incarnation of the worker than the announcement.
    pub fn handle_listing(
        &mut self,
        sidecar: &SmolStr,
        sent: Duration,
        now: Duration,
        announced: Announcement,
        listing: Listing,
    ) {
        let boot = Boot {
            id: announced.boot.id.clone(),
            born: listing.born,
        };
        let Some(worker) = self.workers.get_mut(sidecar) else {
            return;
        };
        let outdated = worker.last_polled.is_some_and(|at| sent < at);
        if announced.boot.born != listing.born || outdated {
            return;
        }
        let crashed = self.take_crashed_runs(sidecar, |b| *b != boot, now);
        let mut lost_power = false;
        if let Some(worker) = self.workers.get_mut(sidecar) {
            worker.last_polled = Some(sent);
            let known = std::mem::replace(&mut worker.sidecar_start, announced.sidecar_start);
            lost_power = known.is_some() && known != announced.sidecar_start;
        }
        self.update_incarnation(sidecar, &boot);
        for (id, key, phase) in self.runs_on(sidecar, |r| r.boot != boot) {
            if phase != Phase::Planned {
                self.settle_former_run(&id, key, &boot, now);
            }
        }
        self.record_crash(sidecar, &crashed, lost_power, now);
        let Some(worker) = self.workers.get_mut(sidecar) else {
            return;
        };
        worker.last_contact = Some(now);
        worker.silent_since = None;
        worker.first_listed = listing.ended.iter().map(|e| e.number).min();
        // A worker that answers has not left, or has started again under its identifier.
        worker.departed = None;
        worker.clock = Some((listing.clock, now));
        self.update_coldness(sidecar, &announced, now);
        self.update_announcement(sidecar, announced);
        self.apply_ends(sidecar, &listing.ended, now);
        let listed = self.apply_running(sidecar, &boot, &listing.running, sent, now);
        if !listing.is_partial {
            self.settle_unlisted(sidecar, &listed, sent, now);
        }
        self.adjust_pace(sidecar, now);
    }

    /// Replaces the newest heartbeat of a worker, unless the new one is older.
    fn update_announcement(&mut self, sidecar: &SmolStr, announced: Announcement) {
        let Some(worker) = self.workers.get_mut(sidecar) else {
            return;
        };
        let known = worker.announced.take();
        let was_draining = known.as_ref().is_some_and(|a| a.draining);
        let is_newer =
            |k: &Announcement| k.boot == announced.boot && k.sequence > announced.sequence;
        let announced = known.filter(is_newer).unwrap_or(announced);
        worker.rack = rack_label(&announced.labels);
        worker.labels = announced.labels.as_slice().into();
        let starts_draining = announced.draining && !was_draining;
        let detail = format!("boot={}", announced.boot.id);
        worker.announced = Some(announced);
        if starts_draining {
            self.note(Decision::WorkerDraining, sidecar, "", detail);
        }
    }

    /// Resets what is known of a worker if a new incarnation answers.
    fn update_incarnation(&mut self, sidecar: &SmolStr, boot: &Boot) {
        let Some(worker) = self.workers.get_mut(sidecar) else {
            return;
        };
        if worker.boot.as_ref() == Some(boot) {
            return;
        }
        let before = worker.boot.replace(boot.clone());
        worker.applied_ends = 0;
        worker.acknowledged = 0;
        worker.first_listed = None;
        worker.uncommitted_ends.clear();
        worker.orphan_stops.clear();
        worker.open_stops.clear();
        worker.health = super::health::Health::default();
        let detail = format!("boot={} born={} before={before:?}", boot.id, boot.born);
        self.note(Decision::WorkerSeen, sidecar, "", detail);
    }

    /// Handles a run that was placed on a previous incarnation of a worker.
    fn settle_former_run(&mut self, id: &SmolStr, key: TaskKey, boot: &Boot, now: Duration) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(run) = entry.runs.get_mut(&key) else {
            return;
        };
        // Workers check only the identifier of the incarnation that an order is meant
        // for, so another one with the same identifier may have carried it out.
        if run.boot.id == boot.id {
            run.stop_confirmed = None;
            run.stop_sent = None;
            run.boot = boot.clone();
            run.is_seen = false;
            run.phase = Phase::Unconfirmed;
            // The next placer must not take this for another crash.
            let progress = entry.record.progress_mut(key.0, key.1, key.2);
            if let Some(placement) = &mut progress.placement {
                placement.boot = boot.clone();
            }
            self.mark_changed(id);
        } else {
            self.mark_lost(id, key, "the worker restarted", now);
        }
    }

    /// Returns the runs on a worker that match a predicate.
    pub(super) fn runs_on(
        &self,
        sidecar: &str,
        predicate: impl Fn(&super::Run) -> bool,
    ) -> Vec<(SmolStr, TaskKey, Phase)> {
        self.iter_runs_on(sidecar)
            .filter(|(_, _, run)| predicate(run))
            .map(|(id, key, run)| (id.clone(), key, run.phase))
            .collect()
    }

    /// Applies ends that were not listed before to the records.
    fn apply_ends(&mut self, sidecar: &SmolStr, ended: &[Ended], now: Duration) {
        let mut changes = Vec::new();
        let mut newest = 0;
        for end in ended {
            let applied = self.workers.get(sidecar).map_or(0, |w| w.applied_ends);
            if end.number <= applied {
                continue;
            }
            newest = end.number;
            self.apply_end(sidecar, end, now);
            if let Some(entry) = self.jobs.get(&end.task.job) {
                changes.push((end.task.job.clone(), entry.changed));
            }
            if let Some(worker) = self.workers.get_mut(sidecar) {
                worker.applied_ends = end.number;
            }
        }
        let Some(worker) = self.workers.get_mut(sidecar) else {
            return;
        };
        if newest > 0 {
            worker.uncommitted_ends.push((newest, changes));
        }
        self.handle_commit(&super::Batch::default(), 0, now);
    }

    /// Updates the runs that a worker lists, and stops those that no record names.
    ///
    /// Returns the tasks of the runs that are known.
    fn apply_running(
        &mut self,
        sidecar: &SmolStr,
        boot: &Boot,
        running: &[Running],
        sent: Duration,
        now: Duration,
    ) -> HashSet<(SmolStr, TaskKey)> {
        let mut listed = HashSet::new();
        let mut orphans = Vec::new();
        for reported in running {
            let key = (
                reported.task.occurrence,
                reported.task.step,
                reported.task.index,
            );
            let entry = self.jobs.get_mut(&reported.task.job);
            let run = entry.and_then(|e| e.runs.get_mut(&key));
            let Some(run) = run.filter(|r| r.number == reported.run && r.sidecar == *sidecar)
            else {
                self.stop_orphan(sidecar, boot, reported, now);
                orphans.push(reported.task.clone());
                continue;
            };
            listed.insert((reported.task.job.clone(), key));
            run.boot = boot.clone();
            run.is_seen = true;
            run.load = reported.load;
            if run.percent != reported.percent {
                run.percent = reported.percent;
                run.progressed_at = now;
            }
            if !reported.checkpoint.is_empty() {
                run.checkpoint = reported.checkpoint.clone();
            }
            let newly_started = matches!(run.phase, Phase::Ordered | Phase::Unconfirmed);
            if newly_started {
                let unconfirmed = run.phase == Phase::Unconfirmed;
                run.set_phase(Phase::Live, now);
                self.settle_started(&reported.task.job, key, unconfirmed, now);
            }
            self.end_trial(&reported.task.job, key, sent);
        }
        if let Some(worker) = self.workers.get_mut(sidecar) {
            worker.orphans = orphans;
        }
        listed
    }

    /// Stops a run that turned out to have started if its job is over or its gang is
    /// incomplete; otherwise logs the adoption of an unconfirmed one.
    fn settle_started(&mut self, id: &SmolStr, key: TaskKey, unconfirmed: bool, now: Duration) {
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let over = entry.record.is_over();
        let step = entry.step(key);
        let number = entry.runs[&key].number;
        let complete = !step.gang
            || (0..step.count).all(|i| {
                let member = entry.runs.get(&(key.0, key.1, i));
                member.is_some_and(|r| r.number == number && r.phase != Phase::Stopping)
            });
        if over || !complete {
            self.stop_run(id, key, "the job is over or its gang is incomplete", now);
        } else if unconfirmed {
            let account = entry.record.job.account.clone();
            let detail = format!("task={key:?} run={number}");
            self.note(Decision::Adopted, id, &account, detail);
        }
    }

    /// Stops a run that no record names.
    fn stop_orphan(&mut self, sidecar: &SmolStr, boot: &Boot, reported: &Running, now: Duration) {
        let Some(worker) = self.workers.get(sidecar) else {
            return;
        };
        let orphan = (reported.task.clone(), reported.run);
        let last = worker.orphan_stops.get(&orphan);
        if last.is_some_and(|at| now < *at + STOP_RETRY_DELAY) {
            return;
        }
        let (task, run) = orphan.clone();
        if !self.order_stop(sidecar, boot.clone(), task, run, now) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(sidecar) {
            worker.orphan_stops.insert(orphan, now);
        }
        let detail = format!("worker={sidecar} run={run} no record of this run");
        self.note(Decision::Stopped, &reported.task.job, "", detail);
    }

    /// Handles runs that a complete listing does not show.
    ///
    /// Only a poll that was sent after the run was accepted, or after its stop was
    /// confirmed, proves that the run is over.
    fn settle_unlisted(
        &mut self,
        sidecar: &SmolStr,
        listed: &HashSet<(SmolStr, TaskKey)>,
        sent: Duration,
        now: Duration,
    ) {
        for (id, key, phase) in self.runs_on(sidecar, |_| true) {
            if listed.contains(&(id.clone(), key)) {
                if matches!(phase, Phase::Stopping) {
                    self.send_stop(&id, key, now);
                }
                continue;
            }
            let Some(run) = self.jobs.get(&id).and_then(|e| e.runs.get(&key)) else {
                continue;
            };
            let stop_confirmed = run.stop_confirmed.is_some_and(|at| at < sent);
            let accepted = run.phase_since < sent;
            match phase {
                Phase::Live if accepted => self.mark_lost(&id, key, "no longer listed", now),
                Phase::Unconfirmed | Phase::Stopping if stop_confirmed => {
                    self.mark_lost(&id, key, "stopped before it started", now);
                }
                Phase::Unconfirmed | Phase::Stopping => self.send_stop(&id, key, now),
                _ => {}
            }
        }
    }
}

/// Returns the label that names a rack.
fn rack_label(labels: &[SmolStr]) -> SmolStr {
    let named = |l: &&SmolStr| {
        l.starts_with(RACK_PREFIX) && l[1..].starts_with(|c: char| c.is_ascii_digit())
    };
    labels.iter().find(named).cloned().unwrap_or_default()
}
