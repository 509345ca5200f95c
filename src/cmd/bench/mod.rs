//! `hibiscusbarrow bench`: runs benchmarks and writes their tables and plots.
//!
//! Most benchmarks repeat a measurement for increasing sizes of a deployment and fit
//! a line, whose slope is the cost of each further worker or process.

mod daemons;
mod gossip;
mod ledger;
mod path;
mod placement;
mod placer;
mod run_times;
mod table;
mod workload;

use crate::cli;
use anyhow::Context;
use anyhow::Result;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use std::path::Path;
use table::Table;

type Benchmark = fn() -> Result<Vec<Table>>;

/// The benchmarks by name, in the order in which they run.
const BENCHMARKS: [(&str, Benchmark); 8] = [
    ("ledger", ledger::measure),
    ("run-times", run_times::measure),
    ("placement", placement::measure),
    ("workload", workload::measure),
    ("gossip", gossip::measure),
    ("daemons", daemons::measure),
    ("placer", placer::measure),
    ("path", path::measure),
];

/// Runs all benchmarks, or only the one given by `--only`.
pub fn execute(args: cli::Bench) -> Result<()> {
    std::fs::create_dir_all(&args.out)
        .with_context(|| format!("creating {}", args.out.display()))?;
    let is_selected = |name: &str| args.only.as_deref().is_none_or(|only| only == name);
    let selected: Vec<_> = BENCHMARKS
        .iter()
        .filter(|(name, _)| is_selected(name))
        .collect();
    if selected.is_empty() {
        let names = BENCHMARKS.map(|(name, _)| name).join(", ");
        return Err(Fault::new(Code::BadRequest, format!("--only must be one of {names}")).into());
    }
    for (name, benchmark) in selected {
        write_results(name, &benchmark()?, &args.out)?;
    }
    Ok(())
}

/// Writes the tables to `NAME.md`, prints them and draws a plot of each table with a fit.
fn write_results(name: &str, tables: &[Table], out: &Path) -> Result<()> {
    let text: Vec<String> = tables.iter().map(Table::markdown).collect();
    let path = out.join(format!("{name}.md"));
    std::fs::write(&path, text.join("\n"))
        .with_context(|| format!("writing {}", path.display()))?;
    println!("{}", text.join("\n"));
    for table in tables.iter().filter(|t| t.has_fit()) {
        table.draw_plot(&out.join(format!("{}.svg", table.file_stem())))?;
    }
    Ok(())
}
