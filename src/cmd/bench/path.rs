//! Measures the latency that gateway and sidecar add to a request, and their processor
//! time for each request.

use super::table::Table;
use super::table::percentile;
use crate::cmd::apply;
use crate::cmd::client;
use crate::embedded::ClusterOptions;
use crate::embedded::EmbeddedCluster;
use anyhow::Result;
use anyhow::ensure;
use bytes::Bytes;
use hibiscusbarrow_adapters::http::HttpClient;
use hibiscusbarrow_model::settings::Timing;
use hibiscusbarrow_model::state::ApplyRequest;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

/// The number of requests that are timed one after the other.
const SEQUENTIAL_REQUESTS: usize = 5000;
/// The number of concurrent callers, equal to the slots of the upstream.
const CALLERS: usize = 8;
/// The number of requests from each concurrent caller.
const CALLER_REQUESTS: usize = 4000;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Compares direct calls to the upstream with calls through gateway and sidecar, in one run.
pub fn measure() -> Result<Vec<Table>> {
    let system = EmbeddedCluster::start(ClusterOptions {
        gateways: 1,
        sidecars: 1,
        workers: 1,
        timing: Timing::default(),
    })?;
    let (upstream, gateway) = (system.upstream_addrs[0], system.gateways[0]);
    let direct_path = "/pair";
    let full_path = "/v1/services/jumelage/pair";
    client::block_on(apply_config(gateway, full_path))?;
    let mut direct = client::block_on(time_requests(upstream, direct_path))?;
    let mut full = client::block_on(time_requests(gateway, full_path))?;
    let direct_rate = client::block_on(measure_rate(upstream, direct_path))?;
    let cpu_before = system.cpu_times();
    let full_rate = client::block_on(measure_rate(gateway, full_path))?;
    let cpu_after = system.cpu_times();
    system.stop()?;
    let total = (CALLERS * CALLER_REQUESTS) as f64;
    let cost_us = |i: usize| (cpu_after[i] - cpu_before[i]).as_secs_f64() / total * 1e6;

    let columns = ["path", "p50 us", "p99 us", "requests/s at 8 callers"];
    let mut latency = Table::new("Path latency", &columns);
    let (direct_p50, direct_p99) = (percentile(&mut direct, 0.5), percentile(&mut direct, 0.99));
    let (full_p50, full_p99) = (percentile(&mut full, 0.5), percentile(&mut full, 0.99));
    latency.push_named("upstream directly", [direct_p50, direct_p99, direct_rate]);
    latency.push_named(
        "through gateway and sidecar",
        [full_p50, full_p99, full_rate],
    );
    latency.push_named(
        "ratio",
        [
            full_p50 / direct_p50,
            full_p99 / direct_p99,
            full_rate / direct_rate,
        ],
    );
    latency.push_named("added", [full_p50 - direct_p50, full_p99 - direct_p99, 0.0]);
    let columns = ["process", "cpu us/request", "requests/s per core"];
    let mut costs = Table::new("Path cost", &columns);
    costs.push_named("gateway", [cost_us(0), 1e6 / cost_us(0)]);
    costs.push_named("sidecar", [cost_us(1), 1e6 / cost_us(1)]);
    Ok(vec![latency, costs])
}

/// Applies a configuration with the service and waits until a request succeeds.
async fn apply_config(gateway: SocketAddr, path: &str) -> Result<()> {
    let request = ApplyRequest {
        file: "bench".into(),
        text: r#"{ "accounts": [{ "name": "a" }], "services": [{ "name": "jumelage" }] }"#.into(),
        base: None,
        operator: "bench".into(),
        operation: apply::new_operation_id().into(),
    };
    apply::send(gateway, &request).await?;
    let started_at = Instant::now();
    while send(&HttpClient::default(), gateway, path).await.is_err() {
        ensure!(
            started_at.elapsed() < Duration::from_secs(20),
            "no request to the gateway succeeded in time"
        );
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Sends one request and checks that its status is 200.
async fn send(client: &HttpClient, addr: SocketAddr, path: &str) -> Result<()> {
    let request = http::Request::post(path)
        .header("host", "bench")
        .header("x-account", "a")
        .header("x-request-id", "direct")
        .body(Bytes::from_static(b"from Montreal to Gaspe"))?;
    let reply = client.call(addr, request, CALL_TIMEOUT, 1 << 20).await?;
    ensure!(
        reply.status() == 200,
        "unexpected status {}",
        reply.status()
    );
    Ok(())
}

/// Returns the duration of each of several sequential requests, in microseconds.
async fn time_requests(addr: SocketAddr, path: &str) -> Result<Vec<f64>> {
    let client = HttpClient::default();
    let mut times = Vec::with_capacity(SEQUENTIAL_REQUESTS);
    for _ in 0..SEQUENTIAL_REQUESTS {
        let started_at = Instant::now();
        send(&client, addr, path).await?;
        times.push(started_at.elapsed().as_secs_f64() * 1e6);
    }
    Ok(times)
}

/// Returns the rate of requests from concurrent callers, per second.
async fn measure_rate(addr: SocketAddr, path: &'static str) -> Result<f64> {
    let client = Rc::new(HttpClient::default());
    let started_at = Instant::now();
    let callers = (0..CALLERS).map(|_| {
        let client = client.clone();
        compio::runtime::spawn(async move {
            for _ in 0..CALLER_REQUESTS {
                send(&client, addr, path).await?;
            }
            Ok::<_, anyhow::Error>(())
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller
            .await
            .map_err(|_| anyhow::anyhow!("a caller panicked"))??;
    }
    Ok((CALLERS * CALLER_REQUESTS) as f64 / started_at.elapsed().as_secs_f64())
}
