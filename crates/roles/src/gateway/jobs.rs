//! Submission, queries and cancellation of jobs.
//!
//! A job is acknowledged only after the store has accepted its record.

use super::Gateway;
use super::apply::store_fault;
use hibiscusbarrow_adapters::store::Compare;
use hibiscusbarrow_adapters::store::KeyValue;
use hibiscusbarrow_adapters::store::RequestOp;
use hibiscusbarrow_adapters::store::StoreError;
use hibiscusbarrow_adapters::store::TxnRequest;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::config::MAX_GANG_ACCELERATORS;
use hibiscusbarrow_model::config::is_valid_name;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::job::JobRecord;
use hibiscusbarrow_model::job::JobSpec;
use hibiscusbarrow_model::job::JobView;
use hibiscusbarrow_model::job::Phase;
use hibiscusbarrow_model::state::JOB_PREFIX;

/// The number of attempts to cancel a job whose record changes concurrently.
const MAX_CANCEL_ATTEMPTS: usize = 5;

impl Gateway {
    fn job_key(&self, name: &str) -> String {
        format!("{JOB_PREFIX}{}/{name}", self.node.settings.region)
    }

    /// Stores a job and returns its view.
    ///
    /// Submitting the same specification again succeeds.
    pub(super) async fn submit(&self, spec: JobSpec) -> Result<JobView, Fault> {
        self.check_spec(&spec)?;
        let record = JobRecord {
            spec,
            phase: Phase::Accepted,
            accepted: self.node.clock.wall_ms(),
            ended: 0,
            attempts: 0,
            workers: Vec::new(),
        };
        let key = self.job_key(&record.spec.name);
        let request = TxnRequest {
            compare: vec![Compare::unchanged(&key, 0)],
            success: vec![RequestOp::put(&key, &record, 0)],
            failure: vec![RequestOp::get(&key)],
        };
        let found = match self.node.store.txn(&request).await {
            Ok(reply) if reply.succeeded => None,
            Ok(reply) => reply.found().cloned(),
            Err(StoreError::Unknown(detail)) => {
                self.resolve_unconfirmed_submit(&key, &detail).await?
            }
            Err(e) => return Err(Fault::new(Code::NotAccepted, e.to_string())),
        };
        check_same_spec(&record, found)?;
        let (name, account) = (record.spec.name.clone(), record.spec.account.clone());
        self.node
            .log
            .emit_for(Event::JobAccepted, name, account, "");
        self.placer.wake(&record.spec.name).await;
        Ok(job_view(&record, "waiting", "accepted"))
    }

    fn check_spec(&self, spec: &JobSpec) -> Result<(), Fault> {
        let loaded = self.node.require_config()?;
        if !is_valid_name(&spec.name) {
            return Err(Fault::new(
                Code::OutOfRange,
                format!("{:?} is not a valid job name", spec.name),
            ));
        }
        if loaded.config.account(&spec.account).is_none() {
            let detail = format!("no account is named {:?}", spec.account);
            return Err(Fault::new(Code::UnknownAccount, detail));
        }
        let size = spec.accelerators();
        if spec.count == 0 || size > MAX_GANG_ACCELERATORS {
            let detail =
                format!("a gang has 1 to {MAX_GANG_ACCELERATORS} accelerators, not {size}");
            return Err(Fault::new(Code::OutOfRange, detail));
        }
        Ok(())
    }

    /// Reads the job after the store did not confirm the write.
    async fn resolve_unconfirmed_submit(
        &self,
        key: &str,
        detail: &str,
    ) -> Result<Option<KeyValue>, Fault> {
        let unknown = |e| Fault::new(Code::AcceptUnknown, format!("{detail}; {e}"));
        let entry = self.node.store.get(key).await.map_err(unknown)?;
        if entry.is_none() {
            return Err(Fault::new(Code::AcceptUnknown, detail));
        }
        Ok(entry)
    }

    /// Returns the state of one job.
    pub(super) async fn job(&self, name: &str) -> Result<JobView, Fault> {
        let entry = self
            .node
            .store
            .get(&self.job_key(name))
            .await
            .map_err(store_fault)?;
        let record = entry.and_then(|e| e.json::<JobRecord>());
        let record = record.ok_or_else(|| unknown_job(name))?;
        self.describe(record).await
    }

    async fn describe(&self, record: JobRecord) -> Result<JobView, Fault> {
        match record.phase {
            Phase::Done => return Ok(job_view(&record, "done", "")),
            Phase::Cancelled => return Ok(job_view(&record, "cancelled", "")),
            Phase::Accepted => {}
        }
        let placer_view = self.placer.job(&record.spec.name).await;
        Ok(placer_view
            .unwrap_or_else(|| job_view(&record, "waiting", "no placer of the region answered")))
    }

    /// Returns the state of every job in the store.
    pub(super) async fn jobs(&self) -> Result<Vec<JobView>, Fault> {
        let entries = self
            .node
            .store
            .list(&self.job_key(""))
            .await
            .map_err(store_fault)?;
        let mut views = Vec::new();
        let placer_views = self.placer.view().await.unwrap_or_default().jobs;
        for record in entries.iter().filter_map(|e| e.json::<JobRecord>()) {
            let placer_view = placer_views
                .iter()
                .find(|v| v.spec.name == record.spec.name);
            views.push(match (record.phase, placer_view) {
                (Phase::Done, _) => job_view(&record, "done", ""),
                (Phase::Cancelled, _) => job_view(&record, "cancelled", ""),
                (Phase::Accepted, Some(placer_view)) => placer_view.clone(),
                (Phase::Accepted, None) => job_view(&record, "waiting", ""),
            });
        }
        Ok(views)
    }

    /// Cancels a job unless it has finished.
    pub(super) async fn cancel(&self, name: &str) -> Result<JobView, Fault> {
        let key = self.job_key(name);
        for _ in 0..MAX_CANCEL_ATTEMPTS {
            let entry = self.node.store.get(&key).await.map_err(store_fault)?;
            let entry = entry.ok_or_else(|| unknown_job(name))?;
            let mut record: JobRecord = entry.json().ok_or_else(|| unknown_job(name))?;
            match record.phase {
                Phase::Done => return Ok(job_view(&record, "done", "it had already finished")),
                Phase::Cancelled => return Ok(job_view(&record, "cancelled", "")),
                Phase::Accepted => record.phase = Phase::Cancelled,
            }
            record.ended = self.node.clock.wall_ms();
            let request = TxnRequest {
                compare: vec![Compare::unchanged(&key, entry.mod_revision)],
                success: vec![RequestOp::put(&key, &record, 0)],
                ..TxnRequest::default()
            };
            match self.node.store.txn(&request).await {
                Ok(reply) if reply.succeeded => {
                    let (name, account) = (record.spec.name.clone(), record.spec.account.clone());
                    self.node
                        .log
                        .emit_for(Event::JobCancelled, name, account, "");
                    self.placer.wake(&record.spec.name).await;
                    return Ok(job_view(&record, "cancelled", ""));
                }
                Ok(_) | Err(StoreError::Unknown(_)) => {}
                Err(e) => return Err(store_fault(e)),
            }
        }
        Err(Fault::new(
            Code::Conflict,
            "the job was changed concurrently; try again",
        ))
    }
}

/// Refuses a job whose name is stored with another specification.
fn check_same_spec(record: &JobRecord, found: Option<KeyValue>) -> Result<(), Fault> {
    let stored = found.and_then(|e| e.json::<JobRecord>());
    if stored.is_none_or(|s| s.spec == record.spec) {
        return Ok(());
    }
    let detail = format!(
        "a different job with the name {:?} exists",
        record.spec.name
    );
    Err(Fault::new(Code::JobExists, detail))
}

fn unknown_job(name: &str) -> Fault {
    Fault::new(Code::JobUnknown, format!("no job is named {name:?}"))
}

fn job_view(record: &JobRecord, state: &str, reason: &str) -> JobView {
    JobView {
        spec: record.spec.clone(),
        state: state.into(),
        reason: reason.into(),
        guaranteed: false,
        workers: Vec::new(),
    }
}
