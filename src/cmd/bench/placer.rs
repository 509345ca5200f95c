//! Measures the placer for increasing numbers of workers, which run on threads of this
//! process and communicate over loopback sockets.

use super::table::Table;
use super::table::percentile;
use super::table::resident_bytes;
use crate::cmd::apply;
use crate::cmd::client;
use crate::embedded::ClusterOptions;
use crate::embedded::EmbeddedCluster;
use anyhow::Result;
use anyhow::ensure;
use hibiscusbarrow_model::job::JobView;
use hibiscusbarrow_model::order::*;
use hibiscusbarrow_model::settings::Timing;
use hibiscusbarrow_model::state::ApplyRequest;
use hibiscusbarrow_model::state::Status;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// The numbers of workers.
const SIZES: [u16; 4] = [10, 50, 150, 300];
/// The time over which processor time is measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);
/// The number of urgent jobs that are timed, at each number of workers.
const URGENT_JOBS: usize = 20;
/// The timeout for the placer to find all workers, and for an urgent job to start.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The size of the head of an HTTP request or response between placer and worker.
const HEAD_BYTES: usize = 130;

/// Measures the placer's processor time, traffic to workers, time to start urgent jobs,
/// time to find all workers after its start, and memory.
pub fn measure() -> Result<Vec<Table>> {
    let mut table = Table::new(
        "Placer by workers",
        &[
            "workers",
            "cpu %",
            "cpu % with a gang on each",
            "worker bytes/s",
            "urgent start p50 ms",
            "urgent start max ms",
            "takeover s",
            "MB",
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
        gateways: 1,
        sidecars: 0,
        workers: size,
        timing: Timing::default(),
    })?;
    let gateway = system.gateways[0];
    let started_at = Instant::now();
    client::block_on(await_status(gateway, |s| {
        s.placer
            .as_ref()
            .is_some_and(|p| p.workers == usize::from(size))
    }))?;
    let takeover_s = started_at.elapsed().as_secs_f64();
    let memory_mb = (resident_bytes() - memory_before) / 1e6;
    client::block_on(apply_accounts(gateway))?;
    let idle = cpu_percent(&system);
    client::block_on(submit(gateway, "fill", "b", size, 600_000, false))?;
    let busy = cpu_percent(&system);
    let mut starts = client::block_on(time_urgent_starts(gateway))?;
    system.stop()?;
    let tick_s = Timing::default().tick_ms as f64 / 1e3;
    Ok(vec![
        f64::from(size),
        idle,
        busy,
        f64::from(size) * exchange_bytes() / tick_s,
        percentile(&mut starts, 0.5),
        percentile(&mut starts, 1.0),
        takeover_s,
        memory_mb,
    ])
}

/// Returns the size of one batch of orders and its reply, in bytes, for a worker with one
/// running gang.
///
/// The batch is empty. At the default timing, one batch in four also carries the hold and
/// the run order of a renewal, which are not counted.
fn exchange_bytes() -> f64 {
    let batch = OrderBatch {
        epoch: 123_456,
        orders: Vec::new(),
    };
    let gang = GangReport {
        gang: "rescore-0001~1".into(),
        seq: 100,
        accelerators: vec![0],
        state: MemberState::Running,
    };
    let report = WorkerReport {
        worker: "worker-montreal-0001".into(),
        incarnation: 1_796_374_103_957,
        rack: "rack-0001".into(),
        domain: "qc-montreal".into(),
        accelerators: 1,
        epoch: 123_456,
        gangs: vec![gang],
    };
    let reply = OrderReply {
        results: Vec::new(),
        report,
    };
    let size = |v: serde_json::Result<Vec<u8>>| v.map_or(0, |b| b.len() + HEAD_BYTES);
    (size(serde_json::to_vec(&batch)) + size(serde_json::to_vec(&reply))) as f64
}

/// Returns the processor time of the gateway over [`MEASUREMENT_TIME`], in percent of a core.
fn cpu_percent(system: &EmbeddedCluster) -> f64 {
    let first = system.cpu_times()[0];
    std::thread::sleep(MEASUREMENT_TIME);
    let used = system.cpu_times()[0] - first;
    100.0 * used.as_secs_f64() / MEASUREMENT_TIME.as_secs_f64()
}

async fn await_status(gateway: SocketAddr, condition: impl Fn(&Status) -> bool) -> Result<()> {
    let started_at = Instant::now();
    while !client::get::<Status>(gateway, "/v1/status")
        .await
        .is_ok_and(|s| condition(&s))
    {
        ensure!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "the placer did not find all workers in time"
        );
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn apply_accounts(gateway: SocketAddr) -> Result<()> {
    let request = ApplyRequest {
        file: "bench".into(),
        text: r#"{ "accounts": [
            { "name": "a", "quota": [{ "shape": "worker", "count": 1 }] }, { "name": "b" }
        ] }"#
            .into(),
        base: None,
        operator: "bench".into(),
        operation: apply::new_operation_id().into(),
    };
    apply::send(gateway, &request).await?;
    Ok(())
}

async fn submit(
    gateway: SocketAddr,
    name: &str,
    account: &str,
    count: u16,
    runtime_ms: u64,
    urgent: bool,
) -> Result<()> {
    // A gang has at most 512 accelerators, that is, 64 workers of 8; a larger one is split.
    let mut remaining = count;
    let mut part = 0;
    while remaining > 0 {
        let members = remaining.min(64);
        let spec = json!({
            "name": if part == 0 { name.to_owned() } else { format!("{name}-{part}") },
            "account": account, "shape": "worker", "count": members,
            "runtime_ms": runtime_ms, "urgent": urgent,
        });
        let _: JobView = client::call(gateway, http::Method::POST, "/v1/jobs", Some(&spec)).await?;
        remaining -= members;
        part += 1;
    }
    Ok(())
}

/// Returns the milliseconds from submission to start of several urgent jobs, each of which
/// preempts a gang of up to 64 workers.
async fn time_urgent_starts(gateway: SocketAddr) -> Result<Vec<f64>> {
    let mut times = Vec::new();
    for i in 0..URGENT_JOBS {
        let name = format!("urgent-{i}");
        let started_at = Instant::now();
        submit(gateway, &name, "a", 1, 600_000, true).await?;
        loop {
            let job: JobView = client::get(gateway, &format!("/v1/jobs/{name}")).await?;
            if job.state == "running" {
                break;
            }
            ensure!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "{name} did not start in time; it is {}: {}",
                job.state,
                job.reason
            );
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        times.push(started_at.elapsed().as_secs_f64() * 1e3);
        let path = format!("/v1/jobs/{name}");
        let _: JobView = client::call(gateway, http::Method::DELETE, &path, None::<&()>).await?;
        compio::time::sleep(Duration::from_millis(300)).await;
    }
    Ok(times)
}
