//! `hibiscusbarrow diff`.

use super::client;
use crate::cli;
use crate::output;
use anyhow::Result;
use hibiscusbarrow_model::config::Config;
use hibiscusbarrow_model::diff::changes;

/// Prints the differences between the accepted configuration and a file.
pub fn execute(args: cli::Diff) -> Result<()> {
    let text = client::read_file(&args.file)?;
    let new = Config::parse(&args.file.display().to_string(), &text)?;
    let accepted = client::block_on(client::accepted_config(args.gateway))?;
    let old = match accepted {
        Some(body) => Config::parse("accepted configuration", &body.text)?,
        None => Config::default(),
    };
    output::print(args.json, &changes(&old, &new), |lines| match lines.len() {
        0 => "no difference".to_owned(),
        _ => lines.join("\n"),
    });
    Ok(())
}
