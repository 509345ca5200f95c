//! Reads and writes of job records in the store.

use super::task::Message;
use crate::node::Node;
use futures_channel::mpsc;
use hibiscusbarrow_adapters::store::Compare;
use hibiscusbarrow_adapters::store::KeyValue;
use hibiscusbarrow_adapters::store::RequestOp;
use hibiscusbarrow_adapters::store::StoreError;
use hibiscusbarrow_adapters::store::TxnRequest;
use hibiscusbarrow_model::job::JobRecord;
use hibiscusbarrow_model::job::JobSpec;
use hibiscusbarrow_model::job::Phase;
use hibiscusbarrow_model::state::JOB_PREFIX;
use smol_str::SmolStr;
use std::rc::Rc;

/// A job record with the store revision at which it was last written.
#[derive(Clone, Debug)]
pub(super) struct StoredJob {
    pub record: JobRecord,
    pub revision: i64,
}

impl StoredJob {
    pub fn from_entry(entry: &KeyValue) -> Option<Self> {
        Some(Self {
            record: entry.json()?,
            revision: entry.mod_revision,
        })
    }
}

/// Returns the key of a job's record; an empty name gives the prefix of all records of
/// the region.
pub(super) fn job_key(node: &Node, name: &str) -> String {
    format!("{JOB_PREFIX}{}/{name}", node.settings.region)
}

/// Reads one record and passes it to the task.
pub(super) fn fetch(node: Rc<Node>, messages: mpsc::UnboundedSender<Message>, name: SmolStr) {
    compio::runtime::spawn(async move {
        if let Ok(Some(entry)) = node.store.get(&job_key(&node, &name)).await
            && let Some(stored) = StoredJob::from_entry(&entry)
        {
            let _ = messages.unbounded_send(Message::Record(stored));
        }
    })
    .detach();
}

/// Reads every record of the region and passes them to the task.
pub(super) fn fetch_all(node: Rc<Node>, messages: mpsc::UnboundedSender<Message>) {
    compio::runtime::spawn(async move {
        let listed = node.store.list(&job_key(&node, "")).await;
        let records = listed
            .ok()
            .map(|l| l.iter().filter_map(StoredJob::from_entry).collect());
        let _ = messages.unbounded_send(Message::Records(records));
    })
    .detach();
}

/// Stores a job of the configuration unless a job of that name is stored.
pub(super) fn create(node: Rc<Node>, messages: mpsc::UnboundedSender<Message>, spec: JobSpec) {
    compio::runtime::spawn(async move {
        let key = job_key(&node, &spec.name);
        let record = JobRecord {
            spec,
            phase: Phase::Accepted,
            accepted: node.clock.wall_ms(),
            ended: 0,
            attempts: 0,
            workers: Vec::new(),
        };
        let request = TxnRequest {
            compare: vec![Compare::unchanged(&key, 0)],
            success: vec![RequestOp::put(&key, &record, 0)],
            failure: vec![],
        };
        if node.store.txn(&request).await.is_ok() {
            fetch(node, messages, record.spec.name);
        }
    })
    .detach();
}

/// Deletes a record if it is unchanged, and notifies the task if that succeeded.
pub(super) fn remove(node: Rc<Node>, messages: mpsc::UnboundedSender<Message>, stored: &StoredJob) {
    let (name, revision) = (stored.record.spec.name.clone(), stored.revision);
    compio::runtime::spawn(async move {
        let key = job_key(&node, &name);
        let request = TxnRequest {
            compare: vec![Compare::unchanged(&key, revision)],
            success: vec![RequestOp::delete(&key)],
            failure: vec![],
        };
        if node.store.txn(&request).await.is_ok_and(|r| r.succeeded) {
            let _ = messages.unbounded_send(Message::Removed(name, revision));
        }
    })
    .detach();
}

/// Replaces a record if it is unchanged, and notifies the task of the result.
pub(super) fn replace(
    node: Rc<Node>,
    messages: mpsc::UnboundedSender<Message>,
    record: JobRecord,
    revision: i64,
) {
    compio::runtime::spawn(async move {
        let result = try_replace(&node, &record, revision).await;
        let name = record.spec.name.clone();
        let _ = messages.unbounded_send(Message::Stored(name, result.unwrap_or(None)));
    })
    .detach();
}

/// Replaces a record; returns the stored record if the replacement took effect.
///
/// If the store does not confirm the write, the record is read back to find out
/// whether it took effect.
async fn try_replace(
    node: &Node,
    record: &JobRecord,
    revision: i64,
) -> Result<Option<StoredJob>, StoreError> {
    let key = job_key(node, &record.spec.name);
    let request = TxnRequest {
        compare: vec![Compare::unchanged(&key, revision)],
        success: vec![RequestOp::put(&key, record, 0)],
        failure: vec![],
    };
    let revision = match node.store.txn(&request).await {
        Ok(reply) if reply.succeeded => reply.header.revision,
        Ok(_) => return Ok(None),
        Err(StoreError::Unknown(_)) => {
            let entry = node.store.get(&key).await?;
            return Ok(entry
                .and_then(|e| StoredJob::from_entry(&e))
                .filter(|s| s.record == *record));
        }
        Err(e) => return Err(e),
    };
    Ok(Some(StoredJob {
        record: record.clone(),
        revision,
    }))
}
