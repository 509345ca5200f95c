//! Registers the address of a process in the store so that others find it.

use super::Shared;
use super::port::Settings;
use super::port::Txn;
use bytes::Bytes;
use compio::time::sleep;
use hibiscusbarrow_model::event::Event;
use smol_str::SmolStr;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The delay before a failed registration is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The registration of a gateway, stored as its address, capacity and failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewayEntry {
    /// The address at which peers reach the gateway.
    pub addr: SocketAddr,
    /// The processor capacity, in thousandths of a core.
    pub capacity: u64,
    /// The failure domain.
    pub domain: SmolStr,
}

impl GatewayEntry {
    /// Returns the registration of this process.
    pub fn own(settings: &Settings) -> Self {
        Self {
            addr: settings.peer_addr,
            capacity: settings.capacity,
            domain: settings.domain.clone(),
        }
    }

    /// Parses a stored registration. One of an older version has only the address.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(' ');
        Some(Self {
            addr: parts.next()?.parse().ok()?,
            capacity: parts.next().and_then(|p| p.parse().ok()).unwrap_or(0),
            domain: parts.next().unwrap_or("").into(),
        })
    }
}

impl fmt::Display for GatewayEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.addr, self.capacity, self.domain)
    }
}

/// Stores the registration of this process under a key; retries until the store confirms it.
pub async fn register(shared: &Shared, key: SmolStr, entry: impl fmt::Display) {
    let settings = &shared.settings;
    let txn = Txn {
        puts: vec![(key, Bytes::from(entry.to_string()), 0)],
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
