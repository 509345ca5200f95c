//! Runs every role and stand-in on threads of one process.

use super::super::client;
use anyhow::Context;
use anyhow::Result;
use anyhow::anyhow;
use compio::net::TcpListener;
use futures_channel::oneshot;
use hibiscusbarrow_adapters::log;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_model::settings::LogFormat;
use hibiscusbarrow_model::settings::Settings;
use hibiscusbarrow_model::settings::Timing;
use hibiscusbarrow_model::state::Announcement;
use hibiscusbarrow_standin::store;
use hibiscusbarrow_standin::upstream;
use hibiscusbarrow_standin::worker;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::thread::JoinHandle;

const GATEWAYS: u16 = 3;
const SIDECARS: u16 = 10;
const WORKERS: u16 = 10;
/// The first port of each kind of process.
const STORE_PORT: u16 = 21_000;
const GATEWAY_PORT: u16 = 21_100;
const SIDECAR_PORT: u16 = 21_200;
const UPSTREAM_PORT: u16 = 21_300;
const WORKER_PORT: u16 = 21_400;
const PEER_OFFSET: u16 = 1_000;
/// The failure domains of the demonstration.
const DOMAINS: [&str; 3] = ["qc-montreal", "qc-capitale", "qc-saguenay"];

struct Task {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<Result<()>>,
}

/// Holds the threads of the system, in the order in which they stop.
pub struct Embedded {
    /// Where the gateways serve HTTP.
    pub gateways: Vec<SocketAddr>,
    upstreams: Vec<Option<Task>>,
    daemons: Vec<Task>,
    outside: Vec<Task>,
}

impl Embedded {
    /// Starts every process of a small deployment.
    pub fn start() -> Result<Self> {
        let ip = own_ip();
        let addr = |port| SocketAddr::from((ip, port));
        let workers: Vec<SocketAddr> = (0..WORKERS).map(|i| addr(WORKER_PORT + i)).collect();
        let mut outside = vec![start_store(addr(STORE_PORT))?];
        for (i, worker) in workers.iter().enumerate() {
            outside.push(start_worker(*worker, i)?);
        }
        let mut daemons = Vec::new();
        for i in 0..GATEWAYS {
            let settings = settings("gateway", i, addr(GATEWAY_PORT + i), addr(STORE_PORT));
            let settings = Settings {
                workers: workers.clone(),
                ..settings
            };
            daemons.push(start(move |stop| async move {
                hibiscusbarrow_roles::gateway::run(settings, log::silent(), stop).await
            })?);
        }
        let mut upstreams = Vec::new();
        for i in 0..SIDECARS {
            let settings = settings("sidecar", i, addr(SIDECAR_PORT + i), addr(STORE_PORT));
            daemons.push(start(move |stop| async move {
                hibiscusbarrow_roles::sidecar::run(settings, log::silent(), stop).await
            })?);
            upstreams.push(Some(start_upstream(
                addr(UPSTREAM_PORT + i),
                addr(SIDECAR_PORT + i),
            )?));
        }
        Ok(Self {
            gateways: (0..GATEWAYS).map(|i| addr(GATEWAY_PORT + i)).collect(),
            upstreams,
            daemons,
            outside,
        })
    }

    /// Has one upstream leave, and waits until it has.
    pub fn drain_upstream(&mut self, index: usize) -> Result<()> {
        let task = self.upstreams[index].take().context("the upstream runs")?;
        finish(task)
    }

    /// Stops everything as planned.
    pub fn stop(self) -> Result<()> {
        let upstreams = self.upstreams.into_iter().flatten();
        for task in upstreams.chain(self.daemons).chain(self.outside) {
            finish(task)?;
        }
        Ok(())
    }
}

/// Returns a loopback address that is this process's own.
fn own_ip() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 201 + high % 50, low, 1)
}

fn settings(role: &str, i: u16, http: SocketAddr, store: SocketAddr) -> Settings {
    let peer = SocketAddr::new(http.ip(), http.port() + PEER_OFFSET);
    Settings {
        name: format!("{role}-{i}").into(),
        region: "quebec".into(),
        domain: DOMAINS[usize::from(i) % DOMAINS.len()].into(),
        http,
        peer,
        store,
        secret: "a secret for the demonstration".into(),
        workers: Vec::new(),
        seeds: Vec::new(),
        log: LogFormat::Terminal,
        timing: Timing {
            probe_ms: 500,
            tick_ms: 200,
            ..Timing::default()
        },
    }
}

fn start_store(addr: SocketAddr) -> Result<Task> {
    start(move |stop| async move {
        let listener = TcpListener::bind(addr).await?;
        store::serve(listener, Clock::system(), stop).await;
        Ok(())
    })
}

fn start_worker(addr: SocketAddr, i: usize) -> Result<Task> {
    let settings = worker::WorkerSettings {
        name: format!("worker-{i}").into(),
        rack: format!("rack-{}", i / 3).into(),
        domain: DOMAINS[i / 3 % DOMAINS.len()].into(),
        accelerators: 8,
    };
    start(move |stop| async move {
        let listener = TcpListener::bind(addr).await?;
        worker::serve(listener, settings, Clock::system(), stop).await;
        Ok(())
    })
}

fn start_upstream(addr: SocketAddr, sidecar: SocketAddr) -> Result<Task> {
    let settings = upstream::UpstreamSettings {
        announcement: Announcement {
            service: "jumelage".into(),
            addr,
            slots: 8,
            connections: 64,
        },
        sidecar: Some(sidecar),
        journal: None,
    };
    start(move |stop| async move {
        let listener = TcpListener::bind(addr).await?;
        upstream::serve(listener, settings, stop).await
    })
}

/// Runs a future on a thread with a runtime of its own.
fn start<F>(run: impl FnOnce(Flag) -> F + Send + 'static) -> Result<Task>
where
    F: Future<Output = Result<()>>,
{
    let (stop, stopped) = oneshot::channel();
    let thread = std::thread::Builder::new().spawn(move || {
        client::block_on(async {
            let flag = Flag::default();
            let raised = flag.clone();
            compio::runtime::spawn(async move {
                let _ = stopped.await;
                raised.raise();
            })
            .detach();
            run(flag).await
        })
    })?;
    Ok(Task { stop, thread })
}

fn finish(task: Task) -> Result<()> {
    let _ = task.stop.send(());
    let result = task.thread.join();
    result.map_err(|_| anyhow!("a thread panicked"))?
}
