//! The lease of the placer.

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

/// The life of the lease.
const LEASE: Duration = Duration::from_millis(1_000);
/// The pause between two renewals.
const RENEW: Duration = Duration::from_millis(300);
/// The pause between two looks at whether the lease is free.
const LOOK: Duration = Duration::from_millis(50);
/// The pause after a failed attempt.
const RETRY: Duration = Duration::from_millis(200);

/// Holds what the placer knows of its lease.
pub struct PlacerLease {
    /// The epoch: the revision at which the lease was taken.
    pub epoch: u64,
    /// Raised when the lease is lost for good.
    pub lost: Flag,
    id: u64,
    lease: RefCell<Lease>,
    pausing: Cell<bool>,
}

impl PlacerLease {
    /// Tells whether the lease stands, as its holder may count it.
    pub fn is_held(&self, now: Duration) -> bool {
        !self.lost.is_raised() && self.lease.borrow().is_held(now)
    }
}

/// Takes the lease whenever it is free and places jobs while it is held.
pub async fn run(
    shared: Rc<Shared>,
    cache: Rc<StoreCache>,
    rpc: Rc<RpcClient>,
    advisor: PolicyService,
    notifier: Rc<Notifier>,
) {
    release_former(&shared, &cache).await;
    while !shared.stop.is_raised() {
        let free = cache.placer.borrow().is_none();
        if !free || !cache.is_fresh(shared.clock.now()) {
            sleep(LOOK).await;
            continue;
        }
        match take(&shared).await {
            Some(tenure) => {
                let tenure = Rc::new(tenure);
                compio::runtime::spawn(renew(shared.clone(), tenure.clone())).detach();
                placer::run(&shared, &cache, &rpc, &advisor, &notifier, &tenure).await;
                tenure.lost.raise();
                if shared.stop.is_raised() {
                    let _ = (shared.store.revoke)(tenure.id).await;
                }
                let detail = format!("epoch={}", tenure.epoch);
                shared.log.emit(Event::PlacerLapsed, "placer", detail);
            }
            None => sleep(RETRY).await,
        }
    }
}

/// Ends the lease of a former life of this process.
async fn release_former(shared: &Shared, cache: &StoreCache) {
    while !cache.is_fresh(shared.clock.now()) {
        if shared.stop.is_raised() {
            return;
        }
        sleep(LOOK).await;
    }
    let held = cache.placer.borrow().clone();
    let Some((_, revision)) = held.filter(|(name, _)| *name == shared.settings.name) else {
        return;
    };
    let txn = Txn {
        conditions: vec![(keys::PLACER.into(), revision)],
        deletes: vec![keys::PLACER.into()],
        ..Txn::default()
    };
    if let Err(e) = (shared.store.commit)(txn).await {
        let detail = format!("releasing the lease of the former life: {e}");
        shared.log.emit(Event::StoreDown, "placer", detail);
    }
}

/// Takes the lease if no one holds it.
async fn take(shared: &Shared) -> Option<PlacerLease> {
    let sent = shared.clock.now();
    let id = (shared.store.grant)(LEASE).await.ok()?;
    let claim = Bytes::from(format!("{} {id}", shared.settings.name));
    let txn = Txn {
        conditions: vec![(keys::PLACER.into(), 0)],
        puts: vec![(keys::PLACER.into(), claim.clone(), id)],
        deletes: Vec::new(),
    };
    let epoch = match (shared.store.commit)(txn).await {
        Ok(Outcome::Committed(revision)) => revision,
        Ok(Outcome::Conflict(items)) if holds(&items, &claim).is_some() => holds(&items, &claim)?,
        Ok(_) => {
            let _ = (shared.store.revoke)(id).await;
            return None;
        }
        Err(e) => {
            let detail = format!("lease={id} the claim is given up: {e}");
            shared.log.emit(Event::WriteFailed, "placer", detail);
            // A late arrival must not leave a lease that no one renews.
            let _ = (shared.store.revoke)(id).await;
            return None;
        }
    };
    let mut lease = Lease::new(LEASE);
    lease.confirm(sent);
    shared.log.emit(
        Event::PlacerElected,
        "placer",
        format!("epoch={epoch} lease={id}"),
    );
    Some(PlacerLease {
        epoch,
        lost: Flag::default(),
        id,
        lease: RefCell::new(lease),
        pausing: Cell::new(false),
    })
}

/// Returns the revision of the own claim if an earlier attempt entered it.
fn holds(items: &[Item], claim: &Bytes) -> Option<u64> {
    let item = items.iter().find(|i| i.key == keys::PLACER);
    item.filter(|i| i.value.as_ref() == Some(claim))
        .map(|i| i.revision)
}

async fn renew(shared: Rc<Shared>, tenure: Rc<PlacerLease>) {
    while !tenure.lost.is_raised() {
        sleep(RENEW).await;
        let sent = shared.clock.now();
        match (shared.store.renew)(tenure.id).await {
            Ok(true) => {
                tenure.lease.borrow_mut().confirm(sent);
                if tenure.pausing.replace(false) {
                    let detail = format!("epoch={} renewed late", tenure.epoch);
                    shared.log.emit(Event::StoreBack, "placer", detail);
                }
            }
            Ok(false) => tenure.lost.raise(),
            Err(StoreError::Compacted) => {}
            Err(e) => {
                let lapsed = !tenure.is_held(shared.clock.now());
                if lapsed && !tenure.pausing.replace(true) {
                    let detail = format!("epoch={} not renewed: {e}", tenure.epoch);
                    shared.log.emit(Event::StoreDown, "placer", detail);
                }
            }
        }
    }
}
