//! The subcommands, one file each.

mod apply;
mod bench;
mod cancel;
mod check;
pub mod client;
mod demo;
mod diff;
mod evacuate;
mod explain;
mod fleet;
mod gateway;
mod get;
mod renew;
mod sidecar;
mod standin;
mod status;
mod submit;
mod timeline;

use crate::cli::Hibiscusbarrow;
use crate::cli::HibiscusbarrowCmd as Command;
use anyhow::Result;

/// Runs the chosen subcommand.
pub fn execute(flags: Hibiscusbarrow) -> Result<()> {
    match flags.subcommand {
        Command::Version(_) => {
            println!("hibiscusbarrow {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Fleet(args) => fleet::execute(args),
        Command::Gateway(args) => gateway::execute(args),
        Command::Sidecar(args) => sidecar::execute(args),
        Command::Standin(args) => standin::execute(args),
        Command::Check(args) => check::execute(args),
        Command::Diff(args) => diff::execute(args),
        Command::Apply(args) => apply::execute(args),
        Command::Renew(args) => renew::execute(args),
        Command::Get(args) => get::execute(args),
        Command::Status(args) => status::execute(args),
        Command::Submit(args) => submit::execute(args),
        Command::Cancel(args) => cancel::execute(args),
        Command::Evacuate(args) => evacuate::execute(args),
        Command::Explain(args) => explain::execute(args),
        Command::Timeline(args) => timeline::execute(args),
        Command::Demo(args) => demo::execute(args),
        Command::Bench(args) => bench::execute(args),
    }
}
