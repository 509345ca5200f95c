//! `hibiscusbarrow diff`.

use super::client;
use crate::cli;
use crate::output;
use anyhow::Result;
use hibiscusbarrow_model::config::Config;
use hibiscusbarrow_model::diff::changes;

/// Shows what a file would change.
pub fn execute(args: cli::Diff) -> Result<()> {
    let text = client::read(&args.file)?;
    let new = Config::parse(&args.file.display().to_string(), &text)?;
    let held = client::block_on(client::accepted(args.gateway))?;
    let old = match held {
        Some(body) => Config::parse("accepted configuration", &body.text)?,
        None => Config::default(),
    };
    output::show(args.json, &changes(&old, &new), |lines| match lines.len() {
        0 => "no difference".to_owned(),
        _ => lines.join("\n"),
    });
    Ok(())
}
