//! The memory and the descriptors that a process uses, as the operating system reports them.

use std::fs;
use std::net::SocketAddr;

/// The columns of the operating system's table of sockets.
const LOCAL_COLUMN: usize = 1;
const REMOTE_COLUMN: usize = 2;
const STATE_COLUMN: usize = 3;
const QUEUES_COLUMN: usize = 4;
/// The state of a listening socket in the operating system's table of sockets.
const LISTEN_STATE: &str = "0A";

/// What a process uses at most among several observations.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// The largest resident memory that the process ever had, in bytes.
    pub peak: u64,
    /// The resident memory with the bytes that were received but not yet read, in bytes.
    pub held: u64,
    /// The number of open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Observes a process and its connections at a listening address.
    ///
    /// Everything is 0 if the process has ended.
    pub fn observe(pid: u32, addr: SocketAddr) -> Self {
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd"));
        Self {
            peak: kilobytes(&status, "VmHWM:"),
            held: kilobytes(&status, "VmRSS:") + unread_bytes(addr),
            descriptors: descriptors.map_or(0, Iterator::count),
        }
    }

    /// Returns the larger of each figure.
    pub fn max(self, other: Self) -> Self {
        Self {
            peak: self.peak.max(other.peak),
            held: self.held.max(other.held),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Returns a figure of a process's status in bytes; 0 if it is absent.
fn kilobytes(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|l| l.strip_prefix(name));
    let number = line.and_then(|l| l.trim().strip_suffix(" kB"));
    number.and_then(|n| n.parse().ok()).unwrap_or(0) * 1_024
}

/// Returns the bytes that were received on connections to an address but not yet read.
fn unread_bytes(addr: SocketAddr) -> u64 {
    let rows = sockets(addr, LOCAL_COLUMN);
    rows.iter().map(|queues| queues.1).sum()
}

/// Returns the bytes that were sent on connections to an address but have not arrived there.
pub fn undelivered_bytes(addr: SocketAddr) -> u64 {
    let rows = sockets(addr, REMOTE_COLUMN);
    rows.iter().map(|queues| queues.0).sum()
}

/// Returns the bytes in the send and the receive queue of each connection that has an IPv4 address
/// in a column of the operating system's table of sockets.
fn sockets(addr: SocketAddr, column: usize) -> Vec<(u64, u64)> {
    let SocketAddr::V4(addr) = addr else {
        return Vec::new();
    };
    let ip = u32::from_ne_bytes(addr.ip().octets());
    let text = format!("{ip:08X}:{:04X}", addr.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().map(|l| l.split_whitespace().collect());
    let rows = rows.filter(|r: &Vec<&str>| r.len() > QUEUES_COLUMN && r[column] == text);
    let connections = rows.filter(|r| r[STATE_COLUMN] != LISTEN_STATE);
    let queues = connections.filter_map(|r| r[QUEUES_COLUMN].split_once(':'));
    let number = |hex| u64::from_str_radix(hex, 16).unwrap_or(0);
    queues.map(|(s, r)| (number(s), number(r))).collect()
}
