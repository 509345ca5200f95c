//! Checks of guarantees and views of the region, for operators.

use super::records::StoredJob;
use super::task::PlacerTask;
use super::task::Stage;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::job::JobView;
use hibiscusbarrow_model::job::Phase;
use hibiscusbarrow_model::state::PlacerView;
use hibiscusbarrow_placement::AccountSpec;
use hibiscusbarrow_placement::JobState;
use hibiscusbarrow_placement::QuotaError;
use hibiscusbarrow_placement::WorkerKey;
use smol_str::SmolStr;
use std::collections::BTreeMap;

impl PlacerTask {
    pub(super) fn check_quotas(&self, accounts: Vec<AccountSpec>) -> Result<(), Fault> {
        if self.stage != Stage::Serving {
            return Err(Fault::new(
                Code::NotPlacer,
                "the placer has not taken over yet",
            ));
        }
        self.scheduler.check_accounts(accounts).map_err(|e| {
            let code = match e {
                QuotaError::Shrinks { .. } => Code::QuotaShrinks,
                QuotaError::ExceedsHardware(_) | QuotaError::BlockedByClaims(_) => Code::QuotaUnfit,
            };
            Fault::new(code, e.to_string())
        })
    }

    pub(super) fn view(&self) -> PlacerView {
        let grid = self.scheduler.grid();
        let up: Vec<WorkerKey> = grid.workers().filter(|w| grid.is_up(*w)).collect();
        let used = up.iter().map(|w| grid.used_mask(*w).count_ones()).sum();
        let accelerators = up.iter().map(|w| grid.present_mask(*w).count_ones()).sum();
        let live = self
            .records
            .values()
            .filter(|s| s.record.phase == Phase::Accepted);
        let mut jobs: Vec<JobView> = live.map(|s| self.job_view(s)).collect();
        jobs.sort_by(|a, b| a.spec.name.cmp(&b.spec.name));
        PlacerView {
            epoch: self.epoch,
            workers: up.len(),
            accelerators,
            used,
            shortfall: self.scheduler.quotas().shortfall(grid).into(),
            jobs,
            domains: self.worker_domains(),
        }
    }

    /// Returns the failure domains of all workers, each with its number of workers in service.
    fn worker_domains(&self) -> BTreeMap<SmolStr, usize> {
        let grid = self.scheduler.grid();
        let mut domains = BTreeMap::new();
        for worker in grid.workers() {
            let domain = grid.spec(worker).domain.clone();
            *domains.entry(domain).or_default() += usize::from(grid.is_up(worker));
        }
        domains
    }

    pub(super) fn job_view(&self, stored: &StoredJob) -> JobView {
        let spec = stored.record.spec.clone();
        let mut view = JobView {
            state: "waiting".into(),
            reason: SmolStr::default(),
            guaranteed: false,
            workers: Vec::new(),
            spec,
        };
        let Some(key) = self.scheduler.key(&view.spec.name) else {
            view.reason = self
                .unconfirmed_reason(&stored.record)
                .unwrap_or_else(|| "not queued yet".into());
            return view;
        };
        let Some(job) = self.scheduler.job(key) else {
            return view;
        };
        view.guaranteed = job.guaranteed;
        view.workers = self.worker_names(&job.cells);
        match &job.state {
            JobState::Parked(reason) => {
                view.state = "parked".into();
                view.reason = reason.clone();
            }
            JobState::Waiting => view.reason = self.scheduler.waiting_reason(key).into(),
            JobState::Claimed => view.reason = "borrowers are being preempted for it".into(),
            JobState::Stopping => {
                view.state = "stopping".into();
                view.reason = "its gang is being stopped".into();
            }
            JobState::Placed => {
                let started = self.gangs.get(&key).is_some_and(|g| g.started);
                view.state = if started { "running" } else { "holding" }.into();
            }
        }
        view
    }
}
