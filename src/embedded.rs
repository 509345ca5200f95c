//! A whole deployment in one process: every gateway, sidecar and stand-in on its own thread.

use crate::cmd::client;
use anyhow::Context;
use anyhow::Result;
use anyhow::anyhow;
use compio::net::TcpListener;
use futures_channel::oneshot;
use hibiscusbarrow_adapters::log;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_model::settings::ClientLimits;
use hibiscusbarrow_model::settings::LogFormat;
use hibiscusbarrow_model::settings::Scheduling;
use hibiscusbarrow_model::settings::Settings;
use hibiscusbarrow_model::settings::Timing;
use hibiscusbarrow_model::state::Announcement;
use hibiscusbarrow_standin::store;
use hibiscusbarrow_standin::upstream;
use hibiscusbarrow_standin::worker;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

/// The size and the timing of an [`EmbeddedCluster`].
#[derive(Clone, Copy, Debug)]
pub struct ClusterOptions {
    /// The number of gateways.
    pub gateways: u16,
    /// The number of sidecars, each with an upstream.
    pub sidecars: u16,
    /// The number of workers, each with eight accelerators, three to a rack.
    pub workers: u16,
    /// The intervals and timeouts of all gateways and sidecars.
    pub timing: Timing,
}

/// The port of the store; the next four constants are the first port of each kind of process.
const STORE_PORT: u16 = 21_000;
const GATEWAY_PORT: u16 = 21_100;
const SIDECAR_PORT: u16 = 22_000;
const UPSTREAM_PORT: u16 = 23_000;
const WORKER_PORT: u16 = 24_000;
/// The offset from a process's HTTP port to its peer port.
const PEER_OFFSET: u16 = 4_000;
/// The failure domains, assigned to processes and racks in turn.
const DOMAINS: [&str; 3] = ["qc-montreal", "qc-capitale", "qc-saguenay"];

/// A thread that runs one process of the deployment.
struct ThreadHandle {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<Result<()>>,
    /// The kernel's identifier of the thread, for its CPU time.
    id: u32,
}

/// A running deployment; it stops in the order upstreams, processes, external systems.
pub struct EmbeddedCluster {
    /// The HTTP addresses of the gateways.
    pub gateways: Vec<SocketAddr>,
    /// The HTTP addresses of the sidecars.
    pub sidecars: Vec<SocketAddr>,
    /// The addresses of the upstreams.
    pub upstream_addrs: Vec<SocketAddr>,
    /// The address of the key-value store.
    pub store: SocketAddr,
    upstreams: Vec<Option<ThreadHandle>>,
    /// The gateways, then the sidecars.
    processes: Vec<ThreadHandle>,
    /// The store and the workers.
    external: Vec<ThreadHandle>,
}

impl EmbeddedCluster {
    /// Starts the store, the workers, the gateways, and the sidecars with their upstreams.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be started.
    pub fn start(options: ClusterOptions) -> Result<Self> {
        let ip = loopback_ip();
        let addr = |port| SocketAddr::from((ip, port));
        let workers: Vec<SocketAddr> = (0..options.workers)
            .map(|i| addr(WORKER_PORT + i))
            .collect();
        let mut external = vec![start_store(addr(STORE_PORT))?];
        for (i, worker) in workers.iter().enumerate() {
            external.push(start_worker(*worker, i)?);
        }
        let mut processes = Vec::new();
        for i in 0..options.gateways {
            let settings = process_settings("gateway", i, addr(GATEWAY_PORT + i), addr(STORE_PORT));
            let settings = Settings {
                timing: options.timing,
                workers: workers.clone(),
                ..settings
            };
            processes.push(spawn_thread(move |stop| async move {
                hibiscusbarrow_roles::gateway::run(settings, log::discard(), stop).await
            })?);
        }
        let mut upstreams = Vec::new();
        for i in 0..options.sidecars {
            let settings = process_settings("sidecar", i, addr(SIDECAR_PORT + i), addr(STORE_PORT));
            let settings = Settings {
                timing: options.timing,
                ..settings
            };
            processes.push(spawn_thread(move |stop| async move {
                hibiscusbarrow_roles::sidecar::run(settings, log::discard(), stop).await
            })?);
            upstreams.push(Some(start_upstream(
                addr(UPSTREAM_PORT + i),
                addr(SIDECAR_PORT + i),
            )?));
        }
        Ok(Self {
            gateways: (0..options.gateways)
                .map(|i| addr(GATEWAY_PORT + i))
                .collect(),
            sidecars: (0..options.sidecars)
                .map(|i| addr(SIDECAR_PORT + i))
                .collect(),
            upstream_addrs: (0..options.sidecars)
                .map(|i| addr(UPSTREAM_PORT + i))
                .collect(),
            store: addr(STORE_PORT),
            upstreams,
            processes,
            external,
        })
    }

    /// Returns the CPU time that each gateway and then each sidecar has used.
    pub fn cpu_times(&self) -> Vec<Duration> {
        self.processes
            .iter()
            .map(|handle| thread_cpu_time(handle.id))
            .collect()
    }

    /// Stops one upstream gracefully and waits until its thread has ended.
    pub fn drain_upstream(&mut self, index: usize) -> Result<()> {
        let handle = self.upstreams[index]
            .take()
            .context("the upstream has already stopped")?;
        stop_thread(handle)
    }

    /// Stops all threads gracefully, one after the other.
    pub fn stop(self) -> Result<()> {
        let upstreams = self.upstreams.into_iter().flatten();
        for handle in upstreams.chain(self.processes).chain(self.external) {
            stop_thread(handle)?;
        }
        Ok(())
    }
}

/// Returns a loopback address for one deployment.
///
/// It is derived from the process identifier and the number of deployments started before,
/// so that concurrent deployments on one machine use different addresses.
fn loopback_ip() -> Ipv4Addr {
    static STARTED: AtomicU8 = AtomicU8::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let sequence = STARTED.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 201 + high % 50, low, 1 + sequence % 250)
}

fn process_settings(role: &str, i: u16, http: SocketAddr, store: SocketAddr) -> Settings {
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
        timing: Timing::default(),
        limits: ClientLimits::default(),
        scheduling: Scheduling::default(),
    }
}

fn start_store(addr: SocketAddr) -> Result<ThreadHandle> {
    spawn_thread(move |stop| async move {
        let listener = TcpListener::bind(addr).await?;
        store::serve(listener, Clock::system(), stop).await;
        Ok(())
    })
}

fn start_worker(addr: SocketAddr, i: usize) -> Result<ThreadHandle> {
    let settings = worker::WorkerSettings {
        name: format!("worker-{i}").into(),
        rack: format!("rack-{}", i / 3).into(),
        domain: DOMAINS[i / 3 % DOMAINS.len()].into(),
        accelerators: 8,
    };
    spawn_thread(move |stop| async move {
        let listener = TcpListener::bind(addr).await?;
        worker::serve(listener, settings, Clock::system(), stop).await;
        Ok(())
    })
}

fn start_upstream(addr: SocketAddr, sidecar: SocketAddr) -> Result<ThreadHandle> {
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
    spawn_thread(move |stop| async move {
        let listener = TcpListener::bind(addr).await?;
        upstream::serve(listener, settings, stop).await
    })
}

/// Runs a future on a new thread with its own runtime.
fn spawn_thread<F>(run: impl FnOnce(Flag) -> F + Send + 'static) -> Result<ThreadHandle>
where
    F: Future<Output = Result<()>>,
{
    let (stop, stopped) = oneshot::channel();
    let (id_sender, id_receiver) = std::sync::mpsc::channel();
    let thread = std::thread::Builder::new().spawn(move || {
        let _ = id_sender.send(thread_id());
        client::block_on(async {
            let flag = Flag::default();
            let setter = flag.clone();
            compio::runtime::spawn(async move {
                let _ = stopped.await;
                setter.raise();
            })
            .detach();
            run(flag).await
        })
    })?;
    let id = id_receiver.recv().unwrap_or(0);
    Ok(ThreadHandle { stop, thread, id })
}

/// Returns the kernel's identifier of the current thread; 0 if it is unavailable.
fn thread_id() -> u32 {
    let link = std::fs::read_link("/proc/thread-self").unwrap_or_default();
    let name = link.file_name().and_then(|n| n.to_str());
    name.and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Returns the CPU time that a thread has used; zero if it is unavailable.
fn thread_cpu_time(id: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/self/task/{id}/schedstat"));
    let first = text
        .ok()
        .and_then(|t| t.split_whitespace().next()?.parse().ok());
    Duration::from_nanos(first.unwrap_or(0))
}

/// Signals a thread to stop, joins it and returns its result.
fn stop_thread(handle: ThreadHandle) -> Result<()> {
    let _ = handle.stop.send(());
    let result = handle.thread.join();
    result.map_err(|_| anyhow!("a thread panicked"))?
}
