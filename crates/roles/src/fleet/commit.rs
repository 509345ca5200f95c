//! Stores the placer's decisions.

use super::Shared;
use super::election::PlacerLease;
use super::keys;
use super::port::Item;
use super::port::Outcome;
use super::port::StoreError;
use super::port::Txn;
use bytes::Bytes;
use compio::time::sleep;
use hibiscusbarrow_fleet::ledger::Batch;
use hibiscusbarrow_model::event::Event;
use std::time::Duration;

/// The delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// The result of storing a batch.
pub enum CommitResult {
    /// The batch took effect at this revision.
    Committed(u64),
    /// The batch had no effect; these are the stored items, if they are known.
    Conflict(Vec<Item>),
    /// The batch had no effect, and the store will never take it, for this reason.
    Refused(String),
    /// This process is no longer the placer.
    LeaseLost,
}

/// Stores a batch in one transaction that requires the placer's lease; repeats it until
/// its outcome is known.
pub async fn commit_batch(shared: &Shared, lease: &PlacerLease, batch: &Batch) -> CommitResult {
    let mut txn = Txn {
        conditions: vec![(keys::PLACER_KEY.into(), lease.epoch)],
        ..Txn::default()
    };
    for write in &batch.writes {
        let key = keys::job(&write.job);
        txn.conditions.push((key.clone(), write.revision));
        match &write.value {
            Some(value) => txn.puts.push((key, Bytes::from(value.clone()), 0)),
            None => txn.deletes.push(key),
        }
    }
    while !lease.lost.is_raised() {
        match (shared.store.commit)(txn.clone()).await {
            Ok(Outcome::Committed(revision)) => return CommitResult::Committed(revision),
            Ok(Outcome::Conflict(items)) => return resolve_conflict(lease, batch, items),
            Ok(Outcome::NoLease) => return CommitResult::LeaseLost,
            Err(StoreError::Invalid(detail)) => {
                shared.metrics.count_decision(Event::RecordRefused);
                return CommitResult::Refused(detail);
            }
            Err(e) => {
                let detail = format!("epoch={} records={}: {e}", lease.epoch, batch.writes.len());
                shared.log.emit(Event::WriteFailed, "placer", detail);
                sleep(RETRY_DELAY).await;
            }
        }
    }
    CommitResult::LeaseLost
}

/// Distinguishes a conflict from an earlier attempt that took effect although its answer
/// was lost.
fn resolve_conflict(lease: &PlacerLease, batch: &Batch, items: Vec<Item>) -> CommitResult {
    let holder = items.iter().find(|i| i.key == keys::PLACER_KEY);
    if holder.is_some_and(|i| i.revision != lease.epoch || i.value.is_none()) {
        return CommitResult::LeaseLost;
    }
    let applied = batch.writes.iter().all(|w| {
        let key = keys::job(&w.job);
        let item = items.iter().find(|i| i.key == key);
        let stored = item.and_then(|i| i.value.as_deref());
        stored == w.value.as_deref()
    });
    let newest = items
        .iter()
        .filter(|i| i.key != keys::PLACER_KEY)
        .map(|i| i.revision)
        .max();
    match newest {
        Some(revision) if applied => CommitResult::Committed(revision),
        _ => CommitResult::Conflict(items),
    }
}
