//! `hibiscusbarrow demo`: a deployment of Covoyage's size on embedded stand-ins.

use super::client;
use super::timeline;
use crate::cli;
use crate::embedded::ClusterOptions;
use crate::embedded::EmbeddedCluster;
use crate::logs;
use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use hibiscusbarrow_model::job::JobView;
use hibiscusbarrow_model::settings::Timing;
use hibiscusbarrow_model::state::ApplyReply;
use hibiscusbarrow_model::state::ApplyRequest;
use hibiscusbarrow_model::state::Status;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

/// The configuration to apply.
const CONFIG: &str = include_str!("../../examples/covoyage/config.jsonc");
/// The number of requests in each batch.
const REQUEST_COUNT: usize = 200;
/// The timeout for each condition that the demonstration waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a deployment in this process, applies a configuration, sends requests, runs jobs
/// and draws the timeline of all events.
pub fn execute(args: cli::Demo) -> Result<()> {
    let svg = args
        .svg
        .unwrap_or_else(|| PathBuf::from("demo.timeline.svg"));
    let options = ClusterOptions {
        gateways: 3,
        sidecars: 10,
        workers: 10,
        timing: Timing {
            probe_ms: 500,
            tick_ms: 200,
            ..Timing::default()
        },
    };
    let mut system = EmbeddedCluster::start(options)?;
    println!(
        "started 3 gateways, 10 sidecars, 10 upstreams, 10 workers and a store in one process"
    );
    let gateway = system.gateways[0];
    client::block_on(async {
        await_members(gateway).await?;
        let reply = apply(gateway).await?;
        println!(
            "applied examples/covoyage/config.jsonc as generation {}",
            reply.generation
        );
        await_generation(&system.gateways, reply.generation).await?;
        send_requests(&system.gateways).await?;
        run_jobs(gateway).await
    })?;
    system.drain_upstream(0)?;
    println!("upstream-0 left; no request in flight was interrupted");
    client::block_on(async {
        send_requests(&system.gateways).await?;
        let mut records = timeline::collect_events(gateway).await?;
        logs::merge(&mut records);
        timeline::draw(&records, &svg)?;
        println!(
            "wrote {} events of the timeline to {}",
            records.len(),
            svg.display()
        );
        Ok(())
    })?;
    system.stop()
}

/// Waits until a condition on the status of a gateway holds.
async fn await_status(
    gateway: SocketAddr,
    description: &str,
    condition: impl Fn(&Status) -> bool,
) -> Result<()> {
    let started_at = Instant::now();
    loop {
        let status = client::get::<Status>(gateway, "/v1/status").await;
        if status.is_ok_and(|s| condition(&s)) {
            return Ok(());
        }
        ensure!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {description}"
        );
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn await_members(gateway: SocketAddr) -> Result<()> {
    let announced = |s: &Status| s.members.iter().filter(|m| !m.service.is_empty()).count() == 10;
    await_status(gateway, "the upstreams", announced).await?;
    let reported = |s: &Status| s.placer.as_ref().is_some_and(|p| p.workers == 10);
    await_status(gateway, "the workers", reported).await
}

async fn apply(gateway: SocketAddr) -> Result<ApplyReply> {
    let request = ApplyRequest {
        file: "examples/covoyage/config.jsonc".into(),
        text: CONFIG.into(),
        base: None,
        operator: "demo".into(),
        operation: super::apply::new_operation_id().into(),
    };
    super::apply::send(gateway, &request).await
}

async fn await_generation(gateways: &[SocketAddr], generation: u64) -> Result<()> {
    let started_at = Instant::now();
    for gateway in gateways {
        await_status(*gateway, "the generation", |s| s.generation >= generation).await?;
    }
    println!(
        "generation {generation} is in use at every gateway after {} ms",
        started_at.elapsed().as_millis()
    );
    Ok(())
}

async fn send_requests(gateways: &[SocketAddr]) -> Result<()> {
    let accounts = [
        "agence-gaspesie",
        "agence-laurentides",
        "agence-montreal",
        "agence-saguenay",
    ];
    for number in 0..REQUEST_COUNT {
        let gateway = gateways[number % gateways.len()];
        let account = accounts[number % accounts.len()];
        let body = format!("traveller {number}");
        let url = format!("http://{gateway}/v1/services/jumelage/pair");
        let request = cyper::Client::new()?
            .post(url)?
            .header("x-account", account)?;
        let response = request
            .body(body.clone())
            .send()
            .await
            .context("sending a request")?;
        let answer: Value = serde_json::from_slice(&response.bytes().await?)?;
        ensure!(
            answer["echo"] == body.as_str(),
            "request {number} was answered with {answer}"
        );
    }
    println!("{REQUEST_COUNT} requests answered, each with its own complete response");
    Ok(())
}

async fn run_jobs(gateway: SocketAddr) -> Result<()> {
    submit(gateway, "loan", "agence-saguenay", 8, 60_000).await?;
    await_job(gateway, "loan", "running").await?;
    println!("job loan runs on 8 workers that agence-saguenay borrows from other accounts");
    let started_at = Instant::now();
    submit(gateway, "rescore", "agence-gaspesie", 2, 300).await?;
    await_job(gateway, "rescore", "done").await?;
    println!(
        "job rescore reclaimed 2 guaranteed workers, ran 300 ms and was done after {} ms",
        started_at.elapsed().as_millis()
    );
    let path = "/v1/jobs/loan";
    let _: JobView = client::call(gateway, http::Method::DELETE, path, None::<&()>).await?;
    await_job(gateway, "loan", "cancelled").await
}

async fn submit(
    gateway: SocketAddr,
    name: &str,
    account: &str,
    count: u32,
    runtime_ms: u64,
) -> Result<()> {
    let spec = json!({
        "name": name, "account": account, "shape": "worker", "count": count,
        "runtime_ms": runtime_ms,
    });
    let _: JobView = client::call(gateway, http::Method::POST, "/v1/jobs", Some(&spec)).await?;
    Ok(())
}

async fn await_job(gateway: SocketAddr, name: &str, state: &str) -> Result<()> {
    let started_at = Instant::now();
    loop {
        let job: JobView = client::get(gateway, &format!("/v1/jobs/{name}")).await?;
        if job.state == state {
            return Ok(());
        }
        ensure!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "job {name} is {}: {}",
            job.state,
            job.reason
        );
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}
