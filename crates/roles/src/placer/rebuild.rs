//! Takes a region over from what the store and the workers remember.

use super::gangs::Gang;
use super::gangs::Part;
use super::gangs::job_of;
use super::gangs::mask_of;
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

/// Holds what workers report of one gang.
#[derive(Debug, Default)]
struct Found {
    seq: u64,
    parts: Vec<Part>,
    cells: Vec<Cell>,
}

impl Task {
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
            self.scheduler.abandon(key);
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
