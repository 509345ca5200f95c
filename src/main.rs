//! The `hibiscusbarrow` binary: all roles, the operators' commands and the stand-ins.

mod cli;
mod cmd;
mod embedded;
mod logs;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = cli::Hibiscusbarrow::from_env_or_exit();
    match cmd::execute(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => output::report(&error),
    }
}
