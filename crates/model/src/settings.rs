//! The settings of one process, read from JSON with comments.

use crate::code::Code;
use crate::code::Fault;
use crate::config::is_valid_name;
use crate::document::Document;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The settings of a gateway or a sidecar.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The unique name of the process.
    pub name: SmolStr,
    /// The region of the process.
    pub region: SmolStr,
    /// The failure domain of the process.
    pub domain: SmolStr,
    /// The HTTP address: for callers and operators at a gateway, for the upstream at a sidecar.
    pub http: SocketAddr,
    /// The address for RPC (TCP) and gossip (UDP) with other processes.
    pub peer: SocketAddr,
    /// The address of the key-value service.
    pub store: SocketAddr,
    /// The secret shared by all processes, from which the key for gossip tags is derived.
    pub secret: SmolStr,
    /// The workers of the region; used by a gateway while it holds the placer lease.
    #[serde(default)]
    pub workers: Vec<SocketAddr>,
    /// Initial gossip peers, in addition to those listed in the key-value service.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The format of the log.
    #[serde(default)]
    pub log: LogFormat,
    /// Intervals, lifetimes and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// Limits for clients.
    #[serde(default)]
    pub limits: ClientLimits,
    /// Optional parts of scheduling.
    #[serde(default)]
    pub scheduling: Scheduling,
}

/// Optional parts of scheduling.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scheduling {
    /// The uses of learned run times that are switched on.
    pub learned_times: Vec<SmolStr>,
}

/// The uses of learned run times that the scheduler has.
pub const LEARNED_TIMES: [&str; 1] = ["order"];

/// The format of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line, on standard output.
    #[default]
    Json,
    /// Lines for a terminal, on standard error.
    Terminal,
}

/// Intervals, lifetimes and timeouts, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// The interval between gossip probes.
    pub probe_ms: u64,
    /// The interval at which the key-value service is polled for a newer configuration.
    pub poll_ms: u64,
    /// The lifetime of the placer lease.
    pub lease_ms: u64,
    /// The lifetime of a hold on a worker.
    pub hold_ms: u64,
    /// The interval at which orders are sent to a worker.
    pub tick_ms: u64,
    /// The longest wait for requests in flight at a graceful shutdown.
    pub drain_ms: u64,
    /// How long the records of ended jobs are retained.
    pub keep_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_ms: 1_000,
            poll_ms: 2_000,
            lease_ms: 10_000,
            hold_ms: 30_000,
            tick_ms: 5_000,
            drain_ms: 60_000,
            keep_ms: 86_400_000,
        }
    }
}

/// Limits for the clients of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientLimits {
    /// The memory of the machine in MB; by default what the system reports, at most 512.
    pub memory_mb: Option<u64>,
    /// The number of file descriptors that the process may open; by default what the system
    /// allows, at most 8,192.
    pub max_descriptors: Option<u64>,
    /// The largest request body; by default 16 MiB at a gateway and 1 MiB at a sidecar.
    pub max_body_bytes: Option<u64>,
    /// The longest wait for the head of a request.
    pub head_timeout_ms: u64,
    /// The longest wait for the complete body of a request.
    pub body_timeout_ms: u64,
    /// The longest time without a byte of a body, or without the client reading its answer.
    pub stall_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            memory_mb: None,
            max_descriptors: None,
            max_body_bytes: None,
            head_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            stall_timeout_ms: 10_000,
        }
    }
}

/// The largest body may take this part of the machine's memory at most, so that one request of
/// that size and its copies fit into the share of clients.
pub const BODY_MEMORY_DIVISOR: u64 = 9;

impl ClientLimits {
    fn check(&self, document: &Document<'_>) -> Result<(), Fault> {
        for (field, value, min, max) in [
            ("memory_mb", self.memory_mb, 64, 1 << 20),
            ("max_descriptors", self.max_descriptors, 64, 1 << 20),
            ("max_body_bytes", self.max_body_bytes, 1 << 10, 1 << 30),
            ("head_timeout_ms", Some(self.head_timeout_ms), 50, 600_000),
            ("body_timeout_ms", Some(self.body_timeout_ms), 50, 600_000),
            ("stall_timeout_ms", Some(self.stall_timeout_ms), 50, 600_000),
        ] {
            if value.is_some_and(|value| !(min..=max).contains(&value)) {
                let value = value.unwrap_or(0);
                let detail = format!("{value} lies outside {min} to {max}");
                return Err(document.fault(Code::OutOfRange, detail, &format!("limits.{field}")));
            }
        }
        let (Some(memory), Some(body)) = (self.memory_mb, self.max_body_bytes) else {
            return Ok(());
        };
        let max_body = memory * 1_000_000 / BODY_MEMORY_DIVISOR;
        if body > max_body {
            let detail = format!("{body} exceeds {max_body}, the most for {memory} MB of memory");
            return Err(document.fault(Code::OutOfRange, detail, "limits.max_body_bytes"));
        }
        Ok(())
    }
}

impl Settings {
    /// Parses and validates the settings of one process.
    pub fn parse(name: &str, text: &str) -> Result<Self, Fault> {
        let document = Document::new(name, text);
        let settings: Settings = document.parse()?;
        settings.check(&document)?;
        Ok(settings)
    }

    fn check(&self, document: &Document<'_>) -> Result<(), Fault> {
        for (field, value) in [
            ("name", &self.name),
            ("region", &self.region),
            ("domain", &self.domain),
        ] {
            if !is_valid_name(value) {
                let detail = format!("{value:?} is not a valid name");
                return Err(document.fault(Code::OutOfRange, detail, field));
            }
        }
        if self.secret.len() < 16 {
            let detail = "the secret needs at least 16 characters";
            return Err(document.fault(Code::OutOfRange, detail, "secret"));
        }
        self.check_addresses(document)?;
        self.scheduling.check(document)?;
        self.timing.check(document)?;
        self.limits.check(document)
    }

    fn check_addresses(&self, document: &Document<'_>) -> Result<(), Fault> {
        let mut seen = BTreeMap::from([(self.http, "http".to_owned())]);
        let single = [("peer", self.peer), ("store", self.store)];
        let named = single.into_iter().map(|(f, a)| (f.to_owned(), a));
        let workers = self.workers.iter().enumerate();
        let listed = workers.map(|(i, a)| (format!("workers[{i}]"), *a));
        for (field, addr) in named.chain(listed) {
            if addr.port() == 0 && field != "peer" {
                return Err(document.fault(Code::OutOfRange, "port 0 cannot be reached", &field));
            }
            if addr.port() == 0 {
                continue;
            }
            if let Some(other) = seen.insert(addr, field.clone()) {
                let detail = format!("{addr} is also the address of {other}");
                return Err(document.fault(Code::Duplicate, detail, &field));
            }
        }
        Ok(())
    }
}

impl Scheduling {
    /// Returns whether a use of learned run times is switched on.
    pub fn uses(&self, name: &str) -> bool {
        self.learned_times.iter().any(|n| n == name)
    }

    fn check(&self, document: &Document<'_>) -> Result<(), Fault> {
        for (i, name) in self.learned_times.iter().enumerate() {
            if !LEARNED_TIMES.contains(&name.as_str()) {
                let known = LEARNED_TIMES.join(", ");
                let detail =
                    format!("unknown use of learned run times {name:?}; known are {known}");
                let field = format!("scheduling.learned_times[{i}]");
                return Err(document.fault(Code::UnknownName, detail, &field));
            }
        }
        Ok(())
    }
}

impl Timing {
    fn check(&self, document: &Document<'_>) -> Result<(), Fault> {
        for (field, value, min, max) in [
            ("probe_ms", self.probe_ms, 50, 10_000),
            ("poll_ms", self.poll_ms, 50, 10_000),
            ("lease_ms", self.lease_ms, 500, 120_000),
            ("hold_ms", self.hold_ms, 500, 600_000),
            ("tick_ms", self.tick_ms, 50, 60_000),
            ("drain_ms", self.drain_ms, 0, 3_600_000),
            ("keep_ms", self.keep_ms, 1_000, 31_536_000_000),
        ] {
            if !(min..=max).contains(&value) {
                let detail = format!("{value} lies outside {min} to {max}");
                return Err(document.fault(Code::OutOfRange, detail, &format!("timing.{field}")));
            }
        }
        if self.hold_ms < 4 * self.tick_ms {
            let detail = "hold_ms must be at least four times tick_ms";
            return Err(document.fault(Code::OutOfRange, detail, "timing.hold_ms"));
        }
        Ok(())
    }
}
