//! Storing what the placer decided.

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

/// The pause before a write is repeated.
const WRITE_PAUSE: Duration = Duration::from_millis(40);

/// Enumerates how a write ended.
pub enum Stored {
    /// Took effect at this revision.
    At(u64),
    /// Had no effect; these are the stored items, if they are known.
    Conflict(Vec<Item>),
    /// Another process is the placer.
    Deposed,
}

/// Stores a batch; repeats it until its outcome is known.
pub async fn store(shared: &Shared, tenure: &PlacerLease, batch: &Batch) -> Stored {
    let mut txn = Txn {
        conditions: vec![(keys::PLACER.into(), tenure.epoch)],
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
    while !tenure.lost.is_raised() {
        match (shared.store.commit)(txn.clone()).await {
            Ok(Outcome::Committed(revision)) => return Stored::At(revision),
            Ok(Outcome::Conflict(items)) => return settle(tenure, batch, items),
            Ok(Outcome::NoLease) => return Stored::Deposed,
            Err(StoreError::Invalid(detail)) => {
                let detail = format!("epoch={} given up: {detail}", tenure.epoch);
                shared.log.emit(Event::WriteFailed, "placer", detail);
                return Stored::Conflict(Vec::new());
            }
            Err(e) => {
                let detail = format!("epoch={} records={}: {e}", tenure.epoch, batch.writes.len());
                shared.log.emit(Event::WriteFailed, "placer", detail);
                sleep(WRITE_PAUSE).await;
            }
        }
    }
    Stored::Deposed
}

/// Tells a conflict from an earlier attempt that did take effect.
fn settle(tenure: &PlacerLease, batch: &Batch, items: Vec<Item>) -> Stored {
    let holder = items.iter().find(|i| i.key == keys::PLACER);
    if holder.is_some_and(|i| i.revision != tenure.epoch || i.value.is_none()) {
        return Stored::Deposed;
    }
    let landed = batch.writes.iter().all(|w| {
        let key = keys::job(&w.job);
        let item = items.iter().find(|i| i.key == key);
        let held = item.and_then(|i| i.value.as_deref());
        held == w.value.as_deref()
    });
    let newest = items
        .iter()
        .filter(|i| i.key != keys::PLACER)
        .map(|i| i.revision)
        .max();
    match newest {
        Some(revision) if landed => Stored::At(revision),
        _ => Stored::Conflict(items),
    }
}
