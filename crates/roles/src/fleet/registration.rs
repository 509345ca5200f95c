//! Registers the address of a process in the store so that others find it.

use super::Shared;
use super::port::Txn;
use bytes::Bytes;
use compio::time::sleep;
use hibiscusbarrow_model::event::Event;
use smol_str::SmolStr;
use std::time::Duration;

/// The delay before a failed registration is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Stores the address of this process under a key; retries until the store confirms it.
pub async fn register(shared: &Shared, key: SmolStr) {
    let settings = &shared.settings;
    let txn = Txn {
        puts: vec![(key, Bytes::from(settings.peer_addr.to_string()), 0)],
        ..Txn::default()
    };
    let started_at = shared.clock.now();
    let mut failed = false;
    while let Err(e) = (shared.store.commit)(txn.clone()).await {
        if !std::mem::replace(&mut failed, true) {
            let detail = format!("cannot register the address {}: {e}", settings.peer_addr);
            shared.log.emit(Event::StoreDown, "entry", detail);
        }
        sleep(RETRY_DELAY).await;
    }
    if failed {
        let detail = format!("after={:?}", shared.clock.now() - started_at);
        shared.log.emit(Event::StoreBack, "entry", detail);
    }
}
