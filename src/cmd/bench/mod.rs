//! `hibiscusbarrow bench`: measures slopes and writes tables and plots.

mod daemons;
mod gossip;
mod ledger;
mod path;
mod placement;
mod placer;
mod table;
mod workload;

use crate::cli;
use anyhow::Context;
use anyhow::Result;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use std::path::Path;
use table::Table;

type Measure = fn() -> Result<Vec<Table>>;

/// The measurements by name.
const MEASURES: [(&str, Measure); 7] = [
    ("ledger", ledger::measure),
    ("placement", placement::measure),
    ("workload", workload::measure),
    ("gossip", gossip::measure),
    ("daemons", daemons::measure),
    ("placer", placer::measure),
    ("path", path::measure),
];

/// Runs the chosen measurements.
pub fn execute(args: cli::Bench) -> Result<()> {
    std::fs::create_dir_all(&args.out).with_context(|| format!("making {}", args.out.display()))?;
    let wanted = |name: &str| args.only.as_deref().is_none_or(|only| only == name);
    let chosen: Vec<_> = MEASURES.iter().filter(|(name, _)| wanted(name)).collect();
    if chosen.is_empty() {
        let names = MEASURES.map(|(name, _)| name).join(", ");
        return Err(Fault::new(Code::BadRequest, format!("--only takes one of {names}")).into());
    }
    for (name, measure) in chosen {
        write(name, &measure()?, &args.out)?;
    }
    Ok(())
}

fn write(name: &str, tables: &[Table], out: &Path) -> Result<()> {
    let text: Vec<String> = tables.iter().map(Table::markdown).collect();
    let path = out.join(format!("{name}.md"));
    std::fs::write(&path, text.join("\n"))
        .with_context(|| format!("writing {}", path.display()))?;
    println!("{}", text.join("\n"));
    for table in tables.iter().filter(|t| t.has_slope()) {
        table.draw(&out.join(format!("{}.svg", table.file())))?;
    }
    Ok(())
}
