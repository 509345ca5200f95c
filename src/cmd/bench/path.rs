//! The latency that gateway and sidecar add, and their cost for each request.

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

/// The requests that are timed one after the other.
const SEQUENTIAL: usize = 5000;
/// The callers at once, equal to the slots of the upstream.
const CALLERS: usize = 8;
/// The requests of each caller.
const EACH: usize = 4000;
const LIMIT: Duration = Duration::from_secs(5);

/// Compares the upstream called directly with the whole path, in one run.
pub fn measure() -> Result<Vec<Table>> {
    let system = EmbeddedCluster::start(ClusterOptions {
        gateways: 1,
        sidecars: 1,
        workers: 1,
        timing: Timing::default(),
    })?;
    let (upstream, gateway) = (system.upstream_addrs[0], system.gateways[0]);
    let direct_path = "/pair";
    let whole_path = "/v1/services/jumelage/pair";
    client::block_on(prepare(gateway, whole_path))?;
    let mut direct = client::block_on(sequence(upstream, direct_path))?;
    let mut whole = client::block_on(sequence(gateway, whole_path))?;
    let direct_rate = client::block_on(burst(upstream, direct_path))?;
    let before = system.cpu_times();
    let whole_rate = client::block_on(burst(gateway, whole_path))?;
    let after = system.cpu_times();
    system.stop()?;
    let total = (CALLERS * EACH) as f64;
    let cost = |i: usize| (after[i] - before[i]).as_secs_f64() / total * 1e6;

    let columns = ["way", "p50 us", "p99 us", "requests/s at 8 callers"];
    let mut latency = Table::slope("Path latency", &columns);
    let (d50, d99) = (percentile(&mut direct, 0.5), percentile(&mut direct, 0.99));
    let (w50, w99) = (percentile(&mut whole, 0.5), percentile(&mut whole, 0.99));
    latency.push_named("upstream directly", [d50, d99, direct_rate]);
    latency.push_named("through gateway and sidecar", [w50, w99, whole_rate]);
    latency.push_named("ratio", [w50 / d50, w99 / d99, whole_rate / direct_rate]);
    latency.push_named("added", [w50 - d50, w99 - d99, 0.0]);
    let columns = ["daemon", "cpu us a request", "requests/s a core"];
    let mut costs = Table::slope("Path cost", &columns);
    costs.push_named("gateway", [cost(0), 1e6 / cost(0)]);
    costs.push_named("sidecar", [cost(1), 1e6 / cost(1)]);
    Ok(vec![latency, costs])
}

async fn prepare(gateway: SocketAddr, path: &str) -> Result<()> {
    let request = ApplyRequest {
        file: "bench".into(),
        text: r#"{ "accounts": [{ "name": "a" }], "services": [{ "name": "jumelage" }] }"#.into(),
        base: None,
        operator: "bench".into(),
        operation: apply::new_operation_id().into(),
    };
    apply::send(gateway, &request).await?;
    let began = Instant::now();
    while send(&HttpClient::default(), gateway, path).await.is_err() {
        ensure!(
            began.elapsed() < Duration::from_secs(20),
            "the path does not get ready"
        );
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn send(client: &HttpClient, addr: SocketAddr, path: &str) -> Result<()> {
    let request = http::Request::post(path)
        .header("host", "bench")
        .header("x-account", "a")
        .header("x-request-id", "direct")
        .body(Bytes::from_static(b"from Montreal to Gaspe"))?;
    let reply = client.call(addr, request, LIMIT, 1 << 20).await?;
    ensure!(reply.status() == 200, "status {}", reply.status());
    Ok(())
}

/// Returns the microseconds of each of a sequence of requests.
async fn sequence(addr: SocketAddr, path: &str) -> Result<Vec<f64>> {
    let client = HttpClient::default();
    let mut times = Vec::with_capacity(SEQUENTIAL);
    for _ in 0..SEQUENTIAL {
        let began = Instant::now();
        send(&client, addr, path).await?;
        times.push(began.elapsed().as_secs_f64() * 1e6);
    }
    Ok(times)
}

/// Returns the requests per second of several callers at once.
async fn burst(addr: SocketAddr, path: &'static str) -> Result<f64> {
    let client = Rc::new(HttpClient::default());
    let began = Instant::now();
    let callers = (0..CALLERS).map(|_| {
        let client = client.clone();
        compio::runtime::spawn(async move {
            for _ in 0..EACH {
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
    Ok((CALLERS * EACH) as f64 / began.elapsed().as_secs_f64())
}
