//! `hibiscusbarrow gateway`.

use super::client;
use crate::cli;
use anyhow::Context;
use anyhow::Result;
use hibiscusbarrow_adapters::log;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_adapters::signal::termination;
use hibiscusbarrow_model::settings::Settings;

/// Runs a gateway until a termination signal arrives.
pub fn execute(args: cli::Gateway) -> Result<()> {
    let settings = load_settings(&args.settings)?;
    let logger = log::logger(settings.log);
    client::block_on(async {
        let stop = stop_flag();
        let run = hibiscusbarrow_roles::gateway::run(settings, logger, stop);
        run.await.context("running the gateway")
    })
}

/// Reads and validates the settings file of a process.
pub fn load_settings(path: &std::path::Path) -> Result<Settings> {
    let text = client::read_file(path)?;
    Ok(Settings::parse(&path.display().to_string(), &text)?)
}

/// Returns a flag that is raised when a termination signal arrives.
pub fn stop_flag() -> Flag {
    let stop = Flag::default();
    let setter = stop.clone();
    compio::runtime::spawn(async move {
        termination().await;
        setter.raise();
    })
    .detach();
    stop
}
