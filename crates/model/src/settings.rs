//! Settings of one process, read from JSON with comments.

use crate::code::Code;
use crate::code::Fault;
use crate::config::is_valid_name;
use crate::document::Document;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Holds the settings of a gateway or a sidecar.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The unique name of the process.
    pub name: SmolStr,
    /// The region.
    pub region: SmolStr,
    /// The failure domain.
    pub domain: SmolStr,
    /// Where HTTP is served: callers and operators at a gateway, the upstream at a sidecar.
    pub http: SocketAddr,
    /// Where peers reach the process by RPC (TCP) and gossip (UDP).
    pub peer: SocketAddr,
    /// The key-value service.
    pub store: SocketAddr,
    /// The key that authenticates gossip among the processes.
    pub secret: SmolStr,
    /// Workers of the region, reached by a gateway that holds the placer lease.
    #[serde(default)]
    pub workers: Vec<SocketAddr>,
    /// First peers besides those that the store names.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Where logs go.
    #[serde(default)]
    pub log: LogFormat,
    /// Durations that operators may tune.
    #[serde(default)]
    pub timing: Timing,
}

/// Enumerates the formats of logs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object on each line.
    #[default]
    Json,
    /// Readable lines for a terminal.
    Terminal,
}

/// Holds durations in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// The period of a gossip probe.
    pub probe_ms: u64,
    /// The period of polling the store for a configuration.
    pub poll_ms: u64,
    /// The life of the placer lease.
    pub lease_ms: u64,
    /// The life of a hold on a worker.
    pub hold_ms: u64,
    /// The period of orders to a worker.
    pub tick_ms: u64,
    /// The longest wait for work in flight at a planned stop.
    pub drain_ms: u64,
    /// The time for which the store remembers jobs that have ended.
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

impl Settings {
    /// Parses and checks the settings of one process.
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
                let detail = format!("{value:?} is not a name");
                return Err(document.fault(Code::OutOfRange, detail, field));
            }
        }
        if self.secret.len() < 16 {
            let detail = "the secret needs at least 16 characters";
            return Err(document.fault(Code::OutOfRange, detail, "secret"));
        }
        self.check_addresses(document)?;
        self.timing.check(document)
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
