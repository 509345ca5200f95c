//! Takes a region over from what the store and the workers remember.

use super::account_specs;
use super::gangs::Gang;
use super::gangs::Part;
use super::gangs::job_of;
use super::gangs::mask_of;
use super::records;
use super::records::Known;
use super::task::Stage;
use super::task::Task;
use hibiscusbarrow_coordination::gang::GangRun;
use hibiscusbarrow_model::job::JobRecord;
use hibiscusbarrow_model::job::Phase;
use hibiscusbarrow_model::order::GangReport;
use hibiscusbarrow_placement::Cell;
use hibiscusbarrow_placement::Job;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;

/// The ended jobs that are forgotten after one reading of all records.
const MAX_REMOVED: usize = 64;
/// The time between readings of all job records.
const RELIST: Duration = Duration::from_secs(60);

/// Holds what workers report of one gang.
#[derive(Debug, Default)]
struct Found {
    seq: u64,
    parts: Vec<Part>,
    cells: Vec<Cell>,
}

impl Task {
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
            names.iter().for_each(|name| self.consider(name, now));
        }
    }

    /// Stores the jobs that the configuration names and the store does not know.
    pub(super) fn create_jobs(&self) {
        let Some(loaded) = self.node.loaded() else {
            return;
        };
        for spec in &loaded.config.jobs {
            if !self.records.contains_key(&spec.name) {
                records::create(self.node.clone(), self.asks.clone(), spec.clone());
            }
        }
    }

    pub(super) fn relist(&mut self, now: Duration) {
        let keep = Duration::from_millis(self.node.settings.timing.keep_ms);
        let every = RELIST.min(keep / 2);
        if self.listed == Duration::ZERO || now >= self.listed + every {
            self.listed = now.max(Duration::from_millis(1));
            records::fetch_all(self.node.clone(), self.asks.clone());
        }
    }

    /// Has the store forget jobs that ended long ago and stand in no configuration.
    fn forget_ended(&self) {
        let wall = self.node.clock.wall_ms();
        let keep = self.node.settings.timing.keep_ms;
        let loaded = self.node.loaded();
        let named = |name: &str| {
            let config = loaded.as_ref().map(|l| &l.config);
            config.is_some_and(|c| c.jobs.iter().any(|j| j.name == name))
        };
        let is_old = |k: &&Known| {
            let record = &k.record;
            let ended = record.phase != Phase::Accepted && record.ended > 0;
            ended && wall > record.ended + keep && !named(&record.spec.name)
        };
        for known in self.records.values().filter(is_old).take(MAX_REMOVED) {
            records::remove(self.node.clone(), self.asks.clone(), known);
        }
    }

    pub(super) fn take_over(&mut self, now: Duration) {
        let Stage::TakingOver { since, listed } = self.stage else {
            return;
        };
        let heard = self.links.iter().all(|l| l.up);
        let waited = now >= since + self.timing.max_hold();
        let configured = self.records.is_empty() || self.generation > 0;
        if !listed || !configured || !(heard || waited) {
            return;
        }
        self.adopt_region(now);
        self.stage = Stage::Serving;
        self.dirty = true;
        self.create_jobs();
    }

    pub(super) fn hear_records(&mut self, records: Vec<Known>, now: Duration) {
        for known in records {
            self.hear_record(known, now);
        }
        match self.stage {
            Stage::Follower => {}
            Stage::Serving => self.forget_ended(),
            Stage::TakingOver { since, .. } => {
                self.stage = Stage::TakingOver {
                    since,
                    listed: true,
                };
            }
        }
    }

    pub(super) fn hear_record(&mut self, known: Known, now: Duration) {
        let name = known.record.spec.name.clone();
        let newer = self
            .records
            .get(&name)
            .is_none_or(|k| k.revision < known.revision);
        if newer {
            self.records.insert(name.clone(), known);
        }
        if self.stage == Stage::Serving {
            self.consider(&name, now);
        }
    }

    /// Queues, cancels or leaves a job as its record demands.
    pub(super) fn consider(&mut self, name: &SmolStr, now: Duration) {
        let Some(known) = self.records.get(name) else {
            return;
        };
        let record = known.record.clone();
        let key = self.scheduler.key(name);
        match (record.phase, key) {
            (Phase::Accepted, None) => {
                let spec = &record.spec;
                let known_account = self.scheduler.quotas().index(&spec.account).is_some();
                if known_account && self.doubt(&record).is_none() {
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
    pub(super) fn adopt_region(&mut self, now: Duration) {
        let mut found = self.reported_gangs();
        let mut names: Vec<SmolStr> = self.records.keys().cloned().collect();
        names.sort();
        for name in names {
            let record = self.records[&name].record.clone();
            if record.phase != Phase::Accepted {
                continue;
            }
            let newest = super::gangs::gang_name(&name, record.attempts);
            match found.remove(&newest) {
                Some(gang) => self.adopt_gang(newest, record, gang, now),
                None => self.consider(&name, now),
            }
        }
        for gang in found.into_keys() {
            self.disown(&gang);
        }
    }

    fn reported_gangs(&mut self) -> BTreeMap<SmolStr, Found> {
        let mut found: BTreeMap<SmolStr, Found> = BTreeMap::new();
        for (index, link) in self.links.iter_mut().enumerate() {
            let Some(reply) = link.reply.take() else {
                continue;
            };
            let Some(worker) = link.key else { continue };
            for report in reply.report.gangs {
                let mask = mask_of(&report.accelerators);
                let gang = found.entry(report.gang.clone()).or_default();
                gang.seq = gang.seq.max(report.seq);
                gang.parts.push(reported_part(index, mask, &report));
                gang.cells.push(Cell { worker, mask });
            }
        }
        found
    }

    fn adopt_gang(&mut self, name: SmolStr, record: JobRecord, found: Found, now: Duration) {
        let spec = &record.spec;
        if self.scheduler.quotas().index(&spec.account).is_none() {
            self.disown(&name);
            return;
        }
        let held: u32 = found.parts.iter().map(|p| p.mask.count_ones()).sum();
        let whole = held == spec.accelerators();
        let job = Job::new(
            spec.name.clone(),
            spec.account.clone(),
            spec.shape,
            spec.count,
        )
        .urgent(spec.urgent);
        let key = self
            .scheduler
            .adopt(job, split(&found.cells, spec.shape), now);
        let size = found.parts.len();
        let mut run = GangRun::adopt(size, found.seq, self.timing, now);
        if !whole {
            run.stop();
            self.scheduler.requeue_lost(key);
        }
        let gang = Gang {
            name,
            job: spec.name.clone(),
            account: spec.account.clone(),
            run,
            parts: found.parts,
            work: Duration::from_millis(spec.runtime_ms),
            hold: self.timing.hold,
            ending: false,
            started: true,
        };
        self.gangs.insert(key, gang);
    }

    fn disown(&mut self, gang: &SmolStr) {
        for link in &mut self.links {
            link.orphans.push(gang.clone());
        }
    }

    /// Tells why a job must not be started yet, if it may still run where nobody sees it.
    pub(super) fn doubt(&self, record: &JobRecord) -> Option<SmolStr> {
        if record.spec.idempotent || record.attempts == 0 {
            return None;
        }
        let seen = |name: &SmolStr| self.links.iter().any(|l| l.up && l.name == *name);
        let unseen = record.workers.iter().find(|name| !seen(name))?;
        if record.workers.iter().any(seen) {
            return None;
        }
        let gang = job_of(&record.spec.name);
        Some(format!("{gang} may still run on {unseen}, which does not report").into())
    }
}

fn reported_part(link: usize, mask: u8, report: &GangReport) -> Part {
    Part {
        link,
        mask,
        seen: true,
        done: report.state == hibiscusbarrow_model::order::MemberState::Done,
    }
}

/// Splits the accelerators of a gang into cells of its shape.
fn split(cells: &[Cell], shape: hibiscusbarrow_placement::Shape) -> Vec<Cell> {
    let within = |cell: &Cell| {
        let (worker, held) = (cell.worker, cell.mask);
        let masks = shape.masks().filter(move |m| held & m == *m);
        masks
            .map(move |mask| Cell { worker, mask })
            .collect::<Vec<_>>()
    };
    cells.iter().flat_map(within).collect()
}
