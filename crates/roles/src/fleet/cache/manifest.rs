//! Keeps the manifest current by calls to the store.

use super::StoreCache;
use crate::fleet::Shared;
use crate::fleet::port::Item;
use crate::fleet::port::Page;
use crate::fleet::port::Store;
use crate::fleet::port::StoreError;
use compio::time::sleep;
use hibiscusbarrow_model::event::Event;
use smol_str::SmolStr;
use std::rc::Rc;
use std::time::Duration;

/// The mean delay before the manifest is read again because the store has dropped its history.
const RESYNC_DELAY: Duration = Duration::from_millis(40);
/// The delay after the first failed call to the store; it doubles with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// The path by which the manifest is read from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reading {
    /// A watch for versions after a revision, which returns each of them in full.
    Watch(u64),
    /// A read of the newest version only. `known` is the revision that the last read returned.
    Newest { known: u64 },
}

/// Keeps the manifest current by calls to the store, until the process ends.
///
/// A gateway that falls behind reads the newest version alone. The versions that a watch would
/// return grow with each change until they take longer than the call may.
pub async fn follow_manifest(shared: Rc<Shared>, cache: Rc<StoreCache>, store: Store) {
    let mut reading = Reading::Newest { known: 0 };
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let sent = shared.clock.now();
        match read(&cache, &store, reading).await {
            Ok(page) => {
                if retry_delay > MIN_RETRY_DELAY {
                    let detail = format!("revision={}", page.revision);
                    shared.log.emit(Event::StoreBack, "manifest", detail);
                }
                retry_delay = MIN_RETRY_DELAY;
                reading = apply_page(&shared, &cache, page, reading);
                cache.freshness.borrow_mut().confirm(Some(sent));
            }
            Err(StoreError::Compacted) => {
                reading = Reading::Newest { known: 0 };
                sleep(RESYNC_DELAY.mul_f64(rand::random_range(0.5..1.5))).await;
            }
            Err(e) => {
                if retry_delay == MIN_RETRY_DELAY {
                    let detail = format!("{reading:?} waited={:?} {e}", shared.clock.now() - sent);
                    shared.log.emit(Event::StoreDown, "manifest", detail);
                }
                reading = Reading::Newest { known: 0 };
                sleep(retry_delay).await;
                retry_delay = (2 * retry_delay).min(MAX_RETRY_DELAY);
            }
        }
    }
}

async fn read(cache: &StoreCache, store: &Store, reading: Reading) -> Result<Page, StoreError> {
    let key = store.manifest_key.clone();
    match reading {
        Reading::Newest { .. } => (store.list)((key, SmolStr::default())).await,
        Reading::Watch(after) => {
            let wait = cache.freshness.borrow().confirm_interval();
            (store.watch)((key, after, wait)).await
        }
    }
}

/// Applies the newest version of a page, and returns how to read on.
fn apply_page(shared: &Shared, cache: &StoreCache, page: Page, reading: Reading) -> Reading {
    let is_manifest = |item: &Item| item.key == shared.store.manifest_key;
    let versions = page.items.iter().filter(|i| is_manifest(i)).count();
    let items = page.items.into_iter().filter(is_manifest);
    let newest = items.max_by_key(|item| item.revision);
    let revision = newest.as_ref().map_or(0, |item| item.revision);
    if let Some(item) = newest {
        cache.apply(shared, item);
    }
    let is_behind = match reading {
        Reading::Watch(_) => versions > 1,
        Reading::Newest { known } => known > 0 && revision > known,
    };
    if is_behind {
        Reading::Newest { known: revision }
    } else {
        Reading::Watch(page.revision)
    }
}
