//! `hibiscusbarrow sidecar`.

use super::client;
use super::gateway::load_settings;
use super::gateway::stop_flag;
use crate::cli;
use anyhow::Context;
use anyhow::Result;
use hibiscusbarrow_adapters::log;

/// Runs a sidecar until a termination signal arrives.
pub fn execute(args: cli::Sidecar) -> Result<()> {
    let settings = load_settings(&args.settings)?;
    let logger = log::logger(settings.log);
    client::block_on(async {
        let run = hibiscusbarrow_roles::sidecar::run(settings, logger, stop_flag());
        run.await.context("running the sidecar")
    })
}
