//! Keeps the cache of the fleet roles' keys current by watches and listings of the store.

use super::StoreCache;
use crate::fleet::Shared;
use crate::fleet::port::Item;
use crate::fleet::port::StoreError;
use compio::time::sleep;
use hibiscusbarrow_model::event::Event;
use smol_str::SmolStr;
use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);
/// The same for the watch of evacuated failure domains. A connection that has fallen silent is
/// noticed 700 ms later, well before the knowledge is too old for starts (2,100 ms with a bound of
/// 5 s).
const EVACUATION_WATCH_WAIT: Duration = Duration::from_millis(400);
/// The largest share of the bound of evacuations that such a watch waits, as a divisor.
const MAX_WATCH_DIVISOR: u32 = 12;
/// The shortest wait of such a watch, so that a short bound does not make it call without a pause.
const MIN_EVACUATION_WAIT: Duration = Duration::from_millis(50);
/// The delay before the evacuated domains are listed again because the store has dropped its
/// history. Only the placer lists them, and they are few.
const EVACUATION_RESYNC_DELAY: Duration = Duration::from_millis(40);
/// The pause between two watches of everything, which collects the changes of that time in one
/// answer. Gateways notify the placer of new jobs without the watch.
const WATCH_PAUSE: Duration = Duration::from_millis(20);
/// How often a feed that is not followed checks whether it should be.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// The mean delay before keys are listed again because the store has dropped its history. It
/// spreads the listings of many gateways, and limits them while the store keeps no history.
const RESYNC_DELAY: Duration = Duration::from_millis(250);
/// The delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// How often a feed checks whether the store has answered a probe.
const DOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The cache may be out of date if its last successful update is older than this.
const MAX_AGE: Duration = Duration::from_millis(2_200);

/// The keys with one prefix, as far as they are followed.
pub(super) struct Feed {
    pub(super) prefix: SmolStr,
    /// The revision of the store that the cache includes for these keys.
    pub(super) revision: Cell<u64>,
    /// Whether the keys were listed completely, so that a watch can continue from that listing.
    pub(super) synced: Cell<bool>,
    /// When the last successful call that updates the cache was sent.
    confirmed_at: Cell<Option<Duration>>,
    /// How long a watch waits for a change.
    wait: Duration,
    /// The mean delay before the keys are listed again after a loss of history.
    resync_delay: Duration,
    /// Whether a failed call shows that the store is down. A watch with a short timeout may fail
    /// although the store only is slow.
    is_critical: bool,
    /// Whether the last call failed. The next watch then does not wait for a change.
    has_failed: Cell<bool>,
}

impl Feed {
    pub(super) fn new(prefix: impl Into<SmolStr>) -> Rc<Self> {
        Rc::new(Self::with_times(prefix.into(), WATCH_WAIT, RESYNC_DELAY))
    }

    /// Creates the feed of the evacuated failure domains, which must be known within a bound.
    pub(super) fn of_evacuations(prefix: SmolStr, bound: Duration) -> Rc<Self> {
        let wait = EVACUATION_WATCH_WAIT.min(bound / MAX_WATCH_DIVISOR);
        let wait = wait.max(MIN_EVACUATION_WAIT);
        Rc::new(Self {
            is_critical: false,
            ..Self::with_times(prefix, wait, EVACUATION_RESYNC_DELAY)
        })
    }

    fn with_times(prefix: SmolStr, wait: Duration, resync_delay: Duration) -> Self {
        Self {
            prefix,
            revision: Cell::new(0),
            synced: Cell::new(false),
            confirmed_at: Cell::new(None),
            wait,
            resync_delay,
            is_critical: true,
            has_failed: Cell::new(false),
        }
    }

    /// Returns when the newest successful call was sent; none unless the keys were listed
    /// completely.
    pub(super) fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at.get()
    }

    pub(super) fn is_fresh(&self, now: Duration) -> bool {
        self.synced.get() && self.confirmed_at.get().is_some_and(|at| now < at + MAX_AGE)
    }
}

impl StoreCache {
    /// Lists the keys of a feed and removes cached items that the store no longer has.
    async fn resync(&self, shared: &Shared, feed: &Feed) -> Result<(), StoreError> {
        let drops = self.drops.get();
        let mut after = SmolStr::default();
        let mut first = None;
        let mut listed: HashSet<SmolStr> = HashSet::new();
        loop {
            let page = (shared.store.list)((feed.prefix.clone(), after.clone())).await?;
            first.get_or_insert(page.revision);
            let last = page.items.last().map(|i| i.key.clone());
            for item in page.items {
                listed.insert(item.key.clone());
                self.apply(shared, item);
            }
            match last.filter(|_| page.has_more) {
                Some(key) => after = key,
                None => break,
            }
        }
        let revision = first.unwrap_or(0);
        let outdated = |(key, known): &(&SmolStr, &u64)| {
            **known < revision && key.starts_with(feed.prefix.as_str()) && !listed.contains(*key)
        };
        let deleted: Vec<SmolStr> = {
            let revisions = self.revisions.borrow();
            let keys = revisions.iter().filter(outdated);
            keys.map(|(key, _)| key.clone()).collect()
        };
        for key in deleted {
            let item = Item {
                key,
                value: None,
                revision,
            };
            self.apply(shared, item);
        }
        feed.revision.set(revision);
        // A standby does not follow the records while the gateways are listed again.
        let has_records = feed.prefix == self.everything.prefix;
        let is_kept = !has_records || (self.follows_records() && self.drops.get() == drops);
        feed.synced.set(is_kept);
        Ok(())
    }
}

/// Keeps the cache current until the process ends.
pub async fn follow(shared: Rc<Shared>, cache: Rc<StoreCache>) {
    for feed in cache.directory.clone() {
        let (shared, cache) = (shared.clone(), cache.clone());
        compio::runtime::spawn(async move {
            loop {
                if cache.has_fresh_records(shared.clock.now()) {
                    sleep(IDLE_INTERVAL).await;
                } else {
                    advance(&shared, &cache, &feed).await;
                }
            }
        })
        .detach();
    }
    if let Some(feed) = cache.evacuations.clone() {
        let (shared, cache) = (shared.clone(), cache.clone());
        compio::runtime::spawn(follow_evacuations(shared, cache, feed)).detach();
    }
    let feed = cache.everything.clone();
    loop {
        if cache.follows_records() {
            advance(&shared, &cache, &feed).await;
            sleep(WATCH_PAUSE).await;
        } else {
            sleep(IDLE_INTERVAL).await;
        }
    }
}

/// Keeps the evacuated failure domains current while this gateway is the placer. A standby that
/// becomes the placer lists them first, which takes one call.
async fn follow_evacuations(shared: Rc<Shared>, cache: Rc<StoreCache>, feed: Rc<Feed>) {
    loop {
        if cache.placing.get() {
            advance(&shared, &cache, &feed).await;
        } else {
            feed.synced.set(false);
            feed.confirmed_at.set(None);
            sleep(DOWN_CHECK_INTERVAL).await;
        }
    }
}

/// Makes one call that brings a feed up to date.
async fn advance(shared: &Rc<Shared>, cache: &Rc<StoreCache>, feed: &Feed) {
    let sent = shared.clock.now();
    let result = if feed.synced.get() {
        watch_once(shared, cache, feed).await
    } else {
        cache.resync(shared, feed).await
    };
    match result {
        Ok(()) => {
            feed.has_failed.set(false);
            feed.confirmed_at.set(Some(sent));
        }
        Err(StoreError::Compacted) => {
            let detail = format!(
                "prefix={:?} after={} the store no longer has this history; listing it again",
                feed.prefix,
                feed.revision.get()
            );
            shared.log.emit(Event::MirrorReset, "store", detail);
            feed.synced.set(false);
            sleep(feed.resync_delay.mul_f64(rand::random_range(0.5..1.5))).await;
        }
        Err(e) => {
            feed.has_failed.set(true);
            if feed.is_critical {
                let detail = format!(
                    "prefix={:?} after={} waited={:?} {e}",
                    feed.prefix,
                    feed.revision.get(),
                    shared.clock.now() - sent
                );
                cache.handle_store_failure(shared, &detail);
            }
            sleep(RETRY_DELAY).await;
            // One probe for all feeds finds out when the store is back.
            while cache.is_store_down() {
                sleep(DOWN_CHECK_INTERVAL).await;
            }
        }
    }
}

/// Waits for changes once and applies them.
async fn watch_once(shared: &Shared, cache: &StoreCache, feed: &Feed) -> Result<(), StoreError> {
    let confirms_at_once = feed.has_failed.get() && !feed.is_critical;
    let wait = if confirms_at_once {
        Duration::ZERO
    } else {
        feed.wait
    };
    let page = (shared.store.watch)((feed.prefix.clone(), feed.revision.get(), wait)).await?;
    for item in page.items {
        cache.apply(shared, item);
    }
    feed.revision.set(page.revision.max(feed.revision.get()));
    Ok(())
}
