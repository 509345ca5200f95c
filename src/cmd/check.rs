//! `hibiscusbarrow check`.

use super::client;
use crate::cli;
use crate::output;
use anyhow::Result;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::config::Config;
use hibiscusbarrow_model::settings::Settings;
use std::path::Path;

/// Checks the files in order and fails on the first invalid one.
pub fn execute(args: cli::Check) -> Result<()> {
    if args.files.is_empty() {
        return Err(Fault::new(Code::BadRequest, "no file is given").into());
    }
    let summaries = args
        .files
        .iter()
        .map(|file| check_file(file, args.settings));
    let summaries = summaries.collect::<Result<Vec<String>>>()?;
    output::print(args.json, &summaries, |lines| lines.join("\n"));
    Ok(())
}

fn check_file(path: &Path, is_settings: bool) -> Result<String> {
    let text = client::read_file(path)?;
    let name = path.display().to_string();
    if is_settings {
        let settings = Settings::parse(&name, &text)?;
        return Ok(format!("{name}: settings of {}", settings.name));
    }
    let config = Config::parse(&name, &text)?;
    Ok(format!(
        "{name}: {} accounts, {} services, {} jobs",
        config.accounts.len(),
        config.services.len(),
        config.jobs.len()
    ))
}
