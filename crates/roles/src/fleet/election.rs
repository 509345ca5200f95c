//! The election of the placer by a lease in the store.

use super::Shared;
use super::cache::StoreCache;
use super::keys;
use super::notify::Notifier;
use super::placer;
use super::port::Item;
use super::port::Outcome;
use super::port::PolicyService;
use super::port::StoreError;
use super::port::Txn;
use bytes::Bytes;
use compio::time::sleep;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_coordination::lease::Lease;
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
/// The delay after a failed attempt to acquire the lease.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The placer's lease, as its holder sees it.
pub struct PlacerLease {
    /// The epoch: the revision at which the lease was acquired.
    pub epoch: u64,
    /// Raised once this process is no longer the placer under this lease.
    pub lost: Flag,
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
pub async fn run(
    shared: Rc<Shared>,
    cache: Rc<StoreCache>,
    rpc: Rc<RpcClient>,
    policy: PolicyService,
    notifier: Rc<Notifier>,
) {
    release_previous(&shared, &cache).await;
    while !shared.stop.is_raised() {
        let is_free = cache.placer.borrow().is_none();
        if !is_free || !cache.is_fresh(shared.clock.now()) {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        match acquire(&shared).await {
            Some(lease) => {
                let lease = Rc::new(lease);
                compio::runtime::spawn(renew(shared.clone(), lease.clone())).detach();
                placer::run(&shared, &cache, &rpc, &policy, &notifier, &lease).await;
                lease.lost.raise();
                if shared.stop.is_raised() {
                    let _ = (shared.store.revoke)(lease.id).await;
                }
                let detail = format!("epoch={}", lease.epoch);
                shared.log.emit(Event::PlacerLapsed, "placer", detail);
            }
            None => sleep(RETRY_DELAY).await,
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
