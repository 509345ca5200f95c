//! `hibiscusbarrow fleet`.

use super::client;
use super::gateway::stop_flag;
use crate::cli;
use anyhow::Context;
use anyhow::Result;
use hibiscusbarrow_platform::Process;

/// Runs a role of the fleet until a termination signal arrives.
pub fn execute(args: cli::Fleet) -> Result<()> {
    let process = Process::load()?;
    client::block_on(async {
        let stop = stop_flag();
        match args.subcommand {
            cli::FleetCmd::Serve(_) => process
                .run_gateway(stop)
                .await
                .context("running the gateway"),
            cli::FleetCmd::Agent(_) => process
                .run_sidecar(stop)
                .await
                .context("running the sidecar"),
        }
    })
}
