//! `hibiscusbarrow standin`.

use super::client;
use super::gateway::stop_flag;
use crate::cli;
use anyhow::Context;
use anyhow::Result;
use compio::net::TcpListener;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_model::state::Announcement;
use hibiscusbarrow_standin::store;
use hibiscusbarrow_standin::upstream;
use hibiscusbarrow_standin::worker;
use std::net::SocketAddr;

/// The number of accelerators of a worker without `--accelerators`.
const DEFAULT_ACCELERATORS: u16 = 8;
/// The number of slots of an upstream without `--slots`.
const DEFAULT_SLOTS: u16 = 8;
/// The maximum number of connections of an upstream without `--connections`.
const DEFAULT_CONNECTIONS: u16 = 64;

/// Runs a stand-in until a termination signal arrives.
pub fn execute(args: cli::Standin) -> Result<()> {
    client::block_on(async {
        match args.subcommand {
            cli::StandinCmd::Store(args) => run_store(args).await,
            cli::StandinCmd::Worker(args) => run_workers(args).await,
            cli::StandinCmd::Upstream(args) => run_upstream(args).await,
        }
    })
}

async fn listen(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .with_context(|| format!("listening on {addr}"))
}

async fn run_store(args: cli::Store) -> Result<()> {
    let listener = listen(args.listen).await?;
    store::serve(listener, Clock::system(), stop_flag()).await;
    Ok(())
}

async fn run_workers(args: cli::Worker) -> Result<()> {
    let stop = stop_flag();
    let copies = args.copies.unwrap_or(1);
    let mut servers = Vec::new();
    for copy in 0..copies {
        let mut addr = args.listen;
        addr.set_port(addr.port() + copy);
        let name = if copies == 1 {
            args.name.clone()
        } else {
            format!("{}-{copy}", args.name)
        };
        let settings = worker::WorkerSettings {
            name: name.into(),
            rack: args.rack.as_str().into(),
            domain: args.domain.as_str().into(),
            accelerators: args.accelerators.unwrap_or(DEFAULT_ACCELERATORS),
        };
        let listener = listen(addr).await?;
        let serve = worker::serve(listener, settings, Clock::system(), stop.clone());
        servers.push(compio::runtime::spawn(serve));
    }
    for server in servers {
        let _ = server.await;
    }
    Ok(())
}

async fn run_upstream(args: cli::Upstream) -> Result<()> {
    let listener = listen(args.listen).await?;
    let announcement = Announcement {
        service: args.service.into(),
        addr: args.listen,
        slots: args.slots.unwrap_or(DEFAULT_SLOTS),
        connections: args.connections.unwrap_or(DEFAULT_CONNECTIONS),
    };
    let settings = upstream::UpstreamSettings {
        announcement,
        sidecar: args.sidecar,
        journal: args.journal,
    };
    upstream::serve(listener, settings, stop_flag()).await
}
