//! Takes over a region: rebuilds its state from job records and worker reports.

use super::account_specs;
use super::gangs::Gang;
use super::gangs::Member;
use super::gangs::has_started;
use super::gangs::job_of;
use super::gangs::mask_of;
use super::records;
use super::records::StoredJob;
use super::task::PlacerTask;
use super::task::Stage;
use hibiscusbarrow_coordination::gang::GangRun;
use hibiscusbarrow_model::job::JobRecord;
use hibiscusbarrow_model::job::Phase;
use hibiscusbarrow_model::order::GangReport;
use hibiscusbarrow_placement::Cell;
use hibiscusbarrow_placement::Job;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;

/// The number of ended jobs that are deleted after one reading of all records.
const MAX_REMOVED: usize = 64;
/// The longest time between readings of all job records.
const RELIST_INTERVAL: Duration = Duration::from_secs(60);

/// What the workers report of one gang.
#[derive(Debug, Default)]
struct ReportedGang {
    /// The highest sequence number of its holds.
    seq: u64,
    members: Vec<Member>,
    cells: Vec<Cell>,
}

impl PlacerTask {
    /// Applies the accounts and jobs of a new configuration.
    ///
    /// Accounts that fail the checks, for example because hardware is missing now, are
    /// restored all the same, since the configuration was accepted before.
    pub(super) fn load_accounts(&mut self, now: Duration) {
        let Some(loaded) = self.node.loaded() else {
            return;
        };
        let generation = loaded.body.root.generation;
        if generation <= self.generation {
            return;
        }
        let specs = account_specs(&loaded.config);
        if self.scheduler.set_accounts(specs.clone()).is_err() {
            let _ = self.scheduler.restore_accounts(specs);
        }
        self.generation = generation;
        self.dirty = true;
        if self.stage == Stage::Serving {
            self.create_jobs();
            let names: Vec<SmolStr> = self.records.keys().cloned().collect();
            names.iter().for_each(|name| self.apply_record(name, now));
        }
    }

    /// Stores the jobs of the configuration that have no record.
    pub(super) fn create_jobs(&self) {
        let Some(loaded) = self.node.loaded() else {
            return;
        };
        for spec in &loaded.config.jobs {
            if !self.records.contains_key(&spec.name) {
                records::create(self.node.clone(), self.messages.clone(), spec.clone());
            }
        }
    }

    /// Reads all job records again, if that is due.
    pub(super) fn relist(&mut self, now: Duration) {
        let retention = Duration::from_millis(self.node.settings.timing.keep_ms);
        let interval = RELIST_INTERVAL.min(retention / 2);
        if self.last_listed == Duration::ZERO || now >= self.last_listed + interval {
            self.last_listed = now.max(Duration::from_millis(1));
            records::fetch_all(self.node.clone(), self.messages.clone());
        }
    }

    /// Deletes records of ended jobs whose retention time has passed, unless the configuration
    /// names the job.
    fn remove_ended(&self) {
        let wall = self.node.clock.wall_ms();
        let retention = self.node.settings.timing.keep_ms;
        let loaded = self.node.loaded();
        let named = |name: &str| {
            let config = loaded.as_ref().map(|l| &l.config);
            config.is_some_and(|c| c.jobs.iter().any(|j| j.name == name))
        };
        let is_old = |s: &&StoredJob| {
            let record = &s.record;
            let ended = record.phase != Phase::Accepted && record.ended > 0;
            ended && wall > record.ended + retention && !named(&record.spec.name)
        };
        for stored in self.records.values().filter(is_old).take(MAX_REMOVED) {
            records::remove(self.node.clone(), self.messages.clone(), stored);
        }
    }

    /// Starts to serve once everything needed to rebuild the state is known.
    ///
    /// That is when all records, the configuration and the evacuations are read, and every
    /// worker has reported. The wait for reports ends after the longest time that a hold can last.
    pub(super) fn finish_takeover(&mut self, now: Duration) {
        let Stage::TakingOver { started, listed } = self.stage else {
            return;
        };
        let all_up = self.links.iter().all(|l| l.up);
        let timed_out = now >= started + self.timing.max_hold();
        let has_config = self.records.is_empty() || self.generation > 0;
        let knows_evacuations = self.node.knows_evacuations();
        if !listed || !has_config || !knows_evacuations || !(all_up || timed_out) {
            return;
        }
        self.adopt_gangs(now);
        self.stage = Stage::Serving;
        self.dirty = true;
        self.create_jobs();
    }

    pub(super) fn handle_records(&mut self, records: Vec<StoredJob>, now: Duration) {
        for stored in records {
            self.handle_record(stored, now);
        }
        match self.stage {
            Stage::Follower => {}
            Stage::Serving => self.remove_ended(),
            Stage::TakingOver { started, .. } => {
                self.stage = Stage::TakingOver {
                    started,
                    listed: true,
                };
            }
        }
    }

    pub(super) fn handle_record(&mut self, stored: StoredJob, now: Duration) {
        let name = stored.record.spec.name.clone();
        let newer = self
            .records
            .get(&name)
            .is_none_or(|old| old.revision < stored.revision);
        if newer {
            self.records.insert(name.clone(), stored);
        }
        if self.stage == Stage::Serving {
            self.apply_record(&name, now);
        }
    }

    /// Queues or cancels a job, if its record requires it.
    pub(super) fn apply_record(&mut self, name: &SmolStr, now: Duration) {
        let Some(stored) = self.records.get(name) else {
            return;
        };
        let record = stored.record.clone();
        let key = self.scheduler.key(name);
        match (record.phase, key) {
            (Phase::Accepted, None) => {
                let spec = &record.spec;
                let known_account = self.scheduler.quotas().index(&spec.account).is_some();
                if known_account && self.unconfirmed_reason(&record).is_none() {
                    let job = Job::new(name.clone(), spec.account.clone(), spec.shape, spec.count)
                        .urgent(spec.urgent);
                    self.scheduler.submit(job, now);
                    self.dirty = true;
                }
            }
            (Phase::Cancelled | Phase::Done, Some(key)) => {
                self.scheduler.cancel(key);
                self.dirty = true;
            }
            _ => {}
        }
    }

    /// Adopts every gang that workers report and queues every other accepted job.
    pub(super) fn adopt_gangs(&mut self, now: Duration) {
        let mut gangs = self.reported_gangs();
        let mut names: Vec<SmolStr> = self.records.keys().cloned().collect();
        names.sort();
        for name in names {
            let record = self.records[&name].record.clone();
            if record.phase != Phase::Accepted {
                continue;
            }
            let newest = super::gangs::gang_name(&name, record.attempts);
            match gangs.remove(&newest) {
                Some(gang) => self.adopt_gang(newest, record, gang, now),
                None => self.apply_record(&name, now),
            }
        }
        for gang in gangs.into_keys() {
            self.mark_orphan(&gang);
        }
    }

    /// Collects the gangs from the reports that arrived during the takeover.
    fn reported_gangs(&mut self) -> BTreeMap<SmolStr, ReportedGang> {
        let mut gangs: BTreeMap<SmolStr, ReportedGang> = BTreeMap::new();
        for (index, link) in self.links.iter_mut().enumerate() {
            let Some(reply) = link.last_reply.take() else {
                continue;
            };
            let Some(worker) = link.key else { continue };
            for report in reply.report.gangs {
                let mask = mask_of(&report.accelerators);
                let gang = gangs.entry(report.gang.clone()).or_default();
                gang.seq = gang.seq.max(report.seq);
                gang.members.push(reported_member(index, mask, &report));
                gang.cells.push(Cell { worker, mask });
            }
        }
        gangs
    }

    /// Adopts a gang that workers report; if members are missing, the gang is stopped and its
    /// job queued again.
    ///
    /// A gang of an unknown account is released.
    fn adopt_gang(
        &mut self,
        name: SmolStr,
        record: JobRecord,
        reported: ReportedGang,
        now: Duration,
    ) {
        let spec = &record.spec;
        if self.scheduler.quotas().index(&spec.account).is_none() {
            self.mark_orphan(&name);
            return;
        }
        let accelerators: u32 = reported.members.iter().map(|m| m.mask.count_ones()).sum();
        let complete = accelerators == spec.accelerators();
        let job = Job::new(
            spec.name.clone(),
            spec.account.clone(),
            spec.shape,
            spec.count,
        )
        .urgent(spec.urgent);
        let key = self
            .scheduler
            .adopt(job, split_cells(&reported.cells, spec.shape), now);
        let size = reported.members.len();
        let mut run = GangRun::adopt(size, reported.seq, self.timing, now);
        if !complete {
            run.stop();
            self.scheduler.requeue_lost(key);
        }
        let gang = Gang {
            name,
            job: spec.name.clone(),
            account: spec.account.clone(),
            run,
            members: reported.members,
            runtime: Duration::from_millis(spec.runtime_ms),
            hold_ttl: self.timing.hold,
            storing_end: false,
            started: true,
        };
        self.gangs.insert(key, gang);
    }

    /// Has every worker release a gang that belongs to no job.
    fn mark_orphan(&mut self, gang: &SmolStr) {
        for link in &mut self.links {
            link.orphans.push(gang.clone());
        }
    }

    /// Returns why a job must not be started yet, if it may still be running.
    ///
    /// This applies to a job that is not idempotent if no worker of its newest gang reports.
    pub(super) fn unconfirmed_reason(&self, record: &JobRecord) -> Option<SmolStr> {
        if record.spec.idempotent || record.attempts == 0 {
            return None;
        }
        let reports = |name: &SmolStr| self.links.iter().any(|l| l.up && l.name == *name);
        let unresponsive = record.workers.iter().find(|name| !reports(name))?;
        if record.workers.iter().any(reports) {
            return None;
        }
        let job = job_of(&record.spec.name);
        Some(format!("{job} may still run on {unresponsive}, which does not report").into())
    }
}

fn reported_member(link: usize, mask: u8, report: &GangReport) -> Member {
    Member {
        link,
        mask,
        reported: true,
        started: has_started(report.state),
        done: report.state == hibiscusbarrow_model::order::MemberState::Done,
    }
}

/// Splits the cells of a gang into cells of its shape.
fn split_cells(cells: &[Cell], shape: hibiscusbarrow_placement::Shape) -> Vec<Cell> {
    let within = |cell: &Cell| {
        let (worker, held) = (cell.worker, cell.mask);
        let masks = shape.masks().filter(move |m| held & m == *m);
        masks
            .map(move |mask| Cell { worker, mask })
            .collect::<Vec<_>>()
    };
    cells.iter().flat_map(within).collect()
}
