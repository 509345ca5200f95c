//! The memory and descriptors of a machine, and their division among classes of clients.

use hibiscusbarrow_coordination::client_budget::Class;
use hibiscusbarrow_coordination::client_budget::Pool;
use std::collections::BTreeMap;

/// The memory that is assumed if none is stated and the machine has more, in bytes: that of the
/// largest machines the processes are made for.
const MAX_DEFAULT_MEMORY: u64 = 512_000_000;
/// The memory that is assumed if the system does not tell it, in bytes.
const FALLBACK_MEMORY: u64 = 128_000_000;
/// The descriptors that are assumed if none are stated and the system allows more.
const MAX_DEFAULT_DESCRIPTORS: usize = 8_192;
/// The file with the machine's memory.
const MEMORY_FILE: &str = "/proc/meminfo";
/// The descriptors for files; at most half of all.
const FILE_DESCRIPTORS: usize = 200;
/// The most connections for readiness checks and readers of metrics, and of clients that are
/// about to be refused; each at most an eighth of all.
const MAX_MINOR_CONNECTIONS: usize = 32;
/// The bytes for readiness checks and readers of metrics, and for clients that are about to be
/// refused; each at most an eighth of the share of clients.
const MAX_MINOR_BYTES: u64 = 4 << 20;
/// The most connections of peers: a design of 90 gateways, each with several connections while
/// old ones close. At most a quarter of all.
const MAX_PEER_CONNECTIONS: usize = 512;
/// The part of a class's bytes that only small requests can use is one quarter.
const SMALL_RESERVE_DIVISOR: u64 = 4;

/// What a machine has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MachineLimits {
    /// The memory in bytes.
    pub memory: u64,
    /// The number of file descriptors that the process may open.
    pub descriptors: usize,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self {
            memory: default_memory(),
            descriptors: default_descriptors(),
        }
    }
}

/// The shares of a process's memory and descriptors, in percent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shares {
    /// The share of the memory for clients; the rest of the memory is for the process itself.
    pub client_memory: u64,
    /// The share of the memory for messages and calls of peers.
    pub peer_memory: u64,
    /// The share of the descriptors, less those for files, for the process's own connections to
    /// the store, peers, workers and upstreams.
    pub outgoing: usize,
}

impl Shares {
    /// Those of a gateway. A placer has a connection to each sidecar.
    pub const GATEWAY: Self = Self {
        client_memory: 50,
        peer_memory: 10,
        outgoing: 60,
    };
    /// Those of a sidecar beside a worker, whose clients send small messages.
    pub const FLEET_SIDECAR: Self = Self {
        client_memory: 25,
        peer_memory: 20,
        outgoing: 10,
    };
    /// Those of a sidecar beside an upstream, which receives requests from peers, and retains
    /// answers to requests with keys in another quarter of the memory.
    pub const UPSTREAM_SIDECAR: Self = Self {
        client_memory: 15,
        peer_memory: 40,
        outgoing: 20,
    };
}

impl MachineLimits {
    /// Returns the pools of a process with these shares.
    pub fn pools(&self, shares: Shares) -> BTreeMap<Class, Pool> {
        let files = FILE_DESCRIPTORS.min(self.descriptors / 2);
        let connections = (self.descriptors - files) * (100 - shares.outgoing) / 100;
        let minor_connections = MAX_MINOR_CONNECTIONS.min(connections / 8).max(1);
        let peer_connections = MAX_PEER_CONNECTIONS.min(connections / 4).max(1);
        let others = peer_connections + 2 * minor_connections;
        let client_bytes = self.memory * shares.client_memory / 100;
        let minor_bytes = MAX_MINOR_BYTES.min(client_bytes / 8);
        let pool = |bytes, connections| Pool {
            bytes,
            small_reserve: bytes / SMALL_RESERVE_DIVISOR,
            connections,
        };
        BTreeMap::from([
            (
                Class::Clients,
                pool(
                    client_bytes - 2 * minor_bytes,
                    connections.saturating_sub(others).max(1),
                ),
            ),
            (Class::Overflow, pool(minor_bytes, minor_connections)),
            (Class::Checks, pool(minor_bytes, minor_connections)),
            (
                Class::Peers,
                pool(self.memory * shares.peer_memory / 100, peer_connections),
            ),
        ])
    }
}

/// Returns the memory of the machine in bytes, at most 512 MB.
pub fn default_memory() -> u64 {
    let text = std::fs::read_to_string(MEMORY_FILE).unwrap_or_default();
    let total = text.lines().find_map(|l| l.strip_prefix("MemTotal:"));
    let kilobytes = total.and_then(|t| t.trim().trim_end_matches(" kB").parse::<u64>().ok());
    let bytes = kilobytes.map_or(FALLBACK_MEMORY, |kilobytes| kilobytes << 10);
    bytes.min(MAX_DEFAULT_MEMORY)
}

/// Returns the number of descriptors that the system allows the process, at most 8,192.
pub fn default_descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(MAX_DEFAULT_DESCRIPTORS, |limit| {
        usize::try_from(limit)
            .unwrap_or(usize::MAX)
            .min(MAX_DEFAULT_DESCRIPTORS)
    })
}
