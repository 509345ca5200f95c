//! Measures idle gateways and sidecars for increasing numbers of sidecars, which run on
//! threads of this process and communicate over loopback sockets.

use super::table::Table;
use super::table::resident_bytes;
use crate::cmd::apply;
use crate::cmd::client;
use crate::embedded::ClusterOptions;
use crate::embedded::EmbeddedCluster;
use anyhow::Result;
use anyhow::ensure;
use hibiscusbarrow_adapters::http::HttpClient;
use hibiscusbarrow_model::settings::Timing;
use hibiscusbarrow_model::state::ApplyRequest;
use hibiscusbarrow_model::state::Status;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// The numbers of sidecars, each with an upstream.
const SIZES: [u16; 4] = [4, 10, 30, 100];
const GATEWAYS: u16 = 3;
/// The time over which idle processes are measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);
/// The timeout for gateways to find all sidecars, and for a configuration to be applied.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);

/// Measures processor time, memory, control traffic, store calls and how long it takes to
/// apply a configuration everywhere.
pub fn measure() -> Result<Vec<Table>> {
    let mut table = Table::new(
        "Idle daemons by sidecars",
        &[
            "sidecars",
            "sidecar cpu %",
            "gateway cpu %",
            "sidecar bytes/s",
            "gateway bytes/s",
            "store calls/s",
            "MB per process",
            "generation applied everywhere s",
        ],
    );
    for size in SIZES {
        table.push(measure_size(size)?);
    }
    Ok(vec![table])
}

fn measure_size(size: u16) -> Result<Vec<f64>> {
    let memory_before = resident_bytes();
    let system = EmbeddedCluster::start(ClusterOptions {
        gateways: GATEWAYS,
        sidecars: size,
        workers: 1,
        timing: Timing::default(),
    })?;
    client::block_on(await_members(&system, size))?;
    let processes = f64::from(size + GATEWAYS);
    let memory_mb = (resident_bytes() - memory_before).max(0.0) / processes / 1e6;
    let first = Sample::collect(&system)?;
    std::thread::sleep(MEASUREMENT_TIME);
    let second = Sample::collect(&system)?;
    let rollout_s = client::block_on(time_rollout(&system))?;
    system.stop()?;
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    let gateways = usize::from(GATEWAYS);
    let cpu = second.cpu_since(&first);
    let bytes = second.bytes_since(&first);
    let mean = |v: &[f64]| v.iter().sum::<f64>() / v.len() as f64 / seconds;
    Ok(vec![
        f64::from(size),
        100.0 * mean(&cpu[gateways..]),
        100.0 * mean(&cpu[..gateways]),
        mean(&bytes[gateways..]),
        mean(&bytes[..gateways]),
        (second.store_calls - first.store_calls) / seconds,
        memory_mb,
        rollout_s,
    ])
}

/// Waits until every gateway knows all sidecars, and then another 15 s, after which the
/// processes count as idle.
async fn await_members(system: &EmbeddedCluster, size: u16) -> Result<()> {
    let started_at = Instant::now();
    for gateway in &system.gateways {
        loop {
            let status = client::get::<Status>(*gateway, "/v1/status").await;
            let known = status.map_or(0, |s| {
                s.members.iter().filter(|m| !m.service.is_empty()).count()
            });
            if known == usize::from(size) {
                break;
            }
            ensure!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "{gateway} knows {known} of {size} sidecars"
            );
            compio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    compio::time::sleep(Duration::from_secs(15)).await;
    Ok(())
}

/// Submits a configuration and returns the seconds until every process has applied it.
async fn time_rollout(system: &EmbeddedCluster) -> Result<f64> {
    let request = ApplyRequest {
        file: "bench".into(),
        text: r#"{ "accounts": [{ "name": "a" }] }"#.into(),
        base: None,
        operator: "bench".into(),
        operation: apply::new_operation_id().into(),
    };
    let started_at = Instant::now();
    let reply = apply::send(system.gateways[0], &request).await?;
    for addr in system.gateways.iter().chain(&system.sidecars) {
        while client::get::<Status>(*addr, "/v1/status").await?.generation < reply.generation {
            ensure!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "{addr} did not apply the generation in time"
            );
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(started_at.elapsed().as_secs_f64())
}

/// Counters since the start of the processes, with gateways before sidecars.
struct Sample {
    cpu: Vec<Duration>,
    bytes: Vec<f64>,
    store_calls: f64,
}

impl Sample {
    fn collect(system: &EmbeddedCluster) -> Result<Self> {
        let cpu = system.cpu_times();
        let (bytes, store_calls) = client::block_on(async {
            let mut bytes = Vec::new();
            for addr in system.gateways.iter().chain(&system.sidecars) {
                bytes.push(control_bytes(*addr).await?);
            }
            let counters: BTreeMap<String, f64> =
                client::get(system.store, "/standin/counters").await?;
            Ok((bytes, counters.values().sum()))
        })?;
        Ok(Self {
            cpu,
            bytes,
            store_calls,
        })
    }

    fn cpu_since(&self, earlier: &Self) -> Vec<f64> {
        let pairs = self.cpu.iter().zip(&earlier.cpu);
        pairs.map(|(b, a)| (*b - *a).as_secs_f64()).collect()
    }

    fn bytes_since(&self, earlier: &Self) -> Vec<f64> {
        self.bytes
            .iter()
            .zip(&earlier.bytes)
            .map(|(b, a)| b - a)
            .collect()
    }
}

/// Returns the bytes of control traffic that a gateway or sidecar has sent, from its metrics.
async fn control_bytes(addr: SocketAddr) -> Result<f64> {
    let request = http::Request::get("/metrics").header("host", "bench");
    let request = request.body(bytes::Bytes::new())?;
    let client = HttpClient::default();
    let reply = client
        .call(addr, request, Duration::from_secs(5), 1 << 20)
        .await?;
    let text = String::from_utf8_lossy(reply.body()).into_owned();
    let lines = text
        .lines()
        .filter(|l| l.starts_with("control_bytes_total") && l.contains("_out"));
    Ok(lines
        .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
        .sum())
}
