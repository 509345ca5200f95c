//! The election of the placer by a lease in the store.

use super::Shared;
use super::cache::StoreCache;
use super::keys;
use super::placer;
use super::placer::PlacerServices;
use super::port::Item;
use super::port::Outcome;
use super::port::StoreError;
use super::port::Txn;
use super::status::StatusClient;
use bytes::Bytes;
use compio::time::sleep;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_coordination::lease::Lease;
use hibiscusbarrow_coordination::succession::STANDBYS;
use hibiscusbarrow_coordination::succession::takeover_delay;
use hibiscusbarrow_model::event::Event;
use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The time to live of the lease.
const LEASE_TTL: Duration = Duration::from_millis(1_000);
/// The time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(300);
/// The time between two checks whether the lease is free.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often a placer that is not a standby looks for a standby that could replace it.
const STANDBY_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The delay after a failed attempt to acquire the lease.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The placer's lease, as its holder sees it.
pub struct PlacerLease {
    /// The epoch: the revision at which the lease was acquired.
    pub epoch: u64,
    /// Raised once this process is no longer the placer under this lease.
    pub lost: Flag,
    /// Raised when this process hands the lease over to a better placer.
    pub resigned: Flag,
    id: u64,
    validity: RefCell<Lease>,
    /// Whether the lease has expired by its holder's clock because no renewal succeeded.
    expired: Cell<bool>,
}

impl PlacerLease {
    /// Returns whether the holder may rely on the lease.
    pub fn is_held(&self, now: Duration) -> bool {
        !self.lost.is_raised() && self.validity.borrow().is_held(now)
    }
}

/// Acquires the lease whenever it is free and places jobs while it is held.
///
/// A free lease is claimed in the order of succession, so that a large gateway that has the
/// records comes first and the others need not all call the store.
pub async fn run(shared: Rc<Shared>, services: PlacerServices) {
    let cache = services.cache.clone();
    release_previous(&shared, &cache).await;
    let mut free_since = None;
    while !shared.stop.is_raised() {
        let now = shared.clock.now();
        let is_free = cache.placer.borrow().is_none() && cache.is_fresh(now);
        let Some(rank) = cache.rank().filter(|_| is_free) else {
            free_since = None;
            sleep(CHECK_INTERVAL).await;
            continue;
        };
        let claim_at = *free_since.get_or_insert(now) + takeover_delay(rank);
        if now < claim_at {
            sleep((claim_at - now).min(CHECK_INTERVAL)).await;
            continue;
        }
        free_since = None;
        match acquire(&shared).await {
            Some(lease) => hold(&shared, &services, Rc::new(lease), rank).await,
            None => sleep(RETRY_DELAY).await,
        }
    }
}

/// Places jobs until the lease is lost, handed over or released.
async fn hold(shared: &Rc<Shared>, services: &PlacerServices, lease: Rc<PlacerLease>, rank: usize) {
    services.cache.set_placing(true);
    compio::runtime::spawn(renew(shared.clone(), lease.clone())).detach();
    if rank >= STANDBYS {
        let (cache, status) = (services.cache.clone(), services.status.clone());
        compio::runtime::spawn(resign_for_standby(cache, status, lease.clone())).detach();
    }
    placer::run(shared, services, &lease).await;
    lease.lost.raise();
    if shared.stop.is_raised() || lease.resigned.is_raised() {
        let _ = (shared.store.revoke)(lease.id).await;
    }
    services.cache.set_placing(false);
    let resigned = lease.resigned.is_raised();
    let detail = format!("epoch={} resigned={resigned}", lease.epoch);
    shared.log.emit(Event::PlacerLapsed, "placer", detail);
}

/// Hands the lease over once a standby could take it.
async fn resign_for_standby(
    cache: Rc<StoreCache>,
    status: Rc<StatusClient>,
    lease: Rc<PlacerLease>,
) {
    while !lease.lost.is_raised() {
        sleep(STANDBY_CHECK_INTERVAL).await;
        let is_standby = cache.rank().is_some_and(|r| r < STANDBYS);
        if !is_standby && status.has_better_placer().await {
            lease.resigned.raise();
            return;
        }
    }
}

/// Releases the lease of a previous incarnation of this process.
async fn release_previous(shared: &Shared, cache: &StoreCache) {
    while !cache.is_fresh(shared.clock.now()) {
        if shared.stop.is_raised() {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
    let current = cache.placer.borrow().clone();
    let Some((_, revision)) = current.filter(|(name, _)| *name == shared.settings.name) else {
        return;
    };
    let txn = Txn {
        conditions: vec![(keys::PLACER_KEY.into(), revision)],
        deletes: vec![keys::PLACER_KEY.into()],
        ..Txn::default()
    };
    if let Err(e) = (shared.store.commit)(txn).await {
        let detail = format!("cannot release the lease of the previous incarnation: {e}");
        shared.log.emit(Event::StoreDown, "placer", detail);
    }
}

/// Acquires the lease if no process holds it.
async fn acquire(shared: &Shared) -> Option<PlacerLease> {
    let sent = shared.clock.now();
    let id = (shared.store.grant)(LEASE_TTL).await.ok()?;
    let claim = Bytes::from(format!("{} {id}", shared.settings.name));
    let txn = Txn {
        conditions: vec![(keys::PLACER_KEY.into(), 0)],
        puts: vec![(keys::PLACER_KEY.into(), claim.clone(), id)],
        deletes: Vec::new(),
    };
    let epoch = match (shared.store.commit)(txn).await {
        Ok(Outcome::Committed(revision)) => revision,
        Ok(Outcome::Conflict(items)) if stored(&items, &claim).is_some() => stored(&items, &claim)?,
        Ok(_) => {
            let _ = (shared.store.revoke)(id).await;
            return None;
        }
        Err(e) => {
            let detail = format!("lease={id} abandons the claim: {e}");
            shared.log.emit(Event::WriteFailed, "placer", detail);
            // A claim that takes effect late must not stay under a lease that no
            // process renews.
            let _ = (shared.store.revoke)(id).await;
            return None;
        }
    };
    let mut validity = Lease::new(LEASE_TTL);
    validity.confirm(sent);
    shared.log.emit(
        Event::PlacerElected,
        "placer",
        format!("epoch={epoch} lease={id}"),
    );
    Some(PlacerLease {
        epoch,
        lost: Flag::default(),
        resigned: Flag::default(),
        id,
        validity: RefCell::new(validity),
        expired: Cell::new(false),
    })
}

/// Returns the revision of this process's claim if an earlier attempt stored it.
fn stored(items: &[Item], claim: &Bytes) -> Option<u64> {
    let item = items.iter().find(|i| i.key == keys::PLACER_KEY);
    item.filter(|i| i.value.as_ref() == Some(claim))
        .map(|i| i.revision)
}

/// Renews the lease until it is lost.
async fn renew(shared: Rc<Shared>, lease: Rc<PlacerLease>) {
    while !lease.lost.is_raised() {
        sleep(RENEW_INTERVAL).await;
        let sent = shared.clock.now();
        match (shared.store.renew)(lease.id).await {
            Ok(true) => {
                lease.validity.borrow_mut().confirm(sent);
                if lease.expired.replace(false) {
                    let detail =
                        format!("epoch={} renewed the lease after its expiry", lease.epoch);
                    shared.log.emit(Event::StoreBack, "placer", detail);
                }
            }
            Ok(false) => lease.lost.raise(),
            Err(StoreError::Compacted) => {}
            Err(e) => {
                let has_expired = !lease.is_held(shared.clock.now());
                if has_expired && !lease.expired.replace(true) {
                    let detail = format!("epoch={} cannot renew the lease: {e}", lease.epoch);
                    shared.log.emit(Event::StoreDown, "placer", detail);
                }
            }
        }
    }
}
