//! `hibiscusbarrow timeline`.

use super::client;
use crate::cli;
use crate::logs;
use crate::output;
use anyhow::Context;
use anyhow::Result;
use hibiscusbarrow_model::event::Record;
use hibiscusbarrow_model::state::Status;
use plotters::prelude::*;
use std::net::SocketAddr;
use std::path::Path;

/// The width of the chart.
const WIDTH_PX: u32 = 1200;
/// The height of the row of one process.
const ROW_HEIGHT_PX: u32 = 26;
/// The height of the title and the x axis together.
const FRAME_HEIGHT_PX: u32 = 110;

/// The names of event families, indexed by the hundreds digit of an event's number.
const FAMILIES: [&str; 10] = [
    "process", "member", "upstream", "request", "config", "placer", "job", "worker", "store",
    "peer",
];

/// Merges and filters events, prints them and optionally draws them.
pub fn execute(args: cli::Timeline) -> Result<()> {
    let mut records = match args.gateway {
        Some(gateway) => client::block_on(collect_events(gateway))?,
        None => Vec::new(),
    };
    for path in &args.log {
        records.extend(logs::read(path)?);
    }
    logs::merge(&mut records);
    let matches = |r: &Record| {
        let subject = args.subject.as_ref().is_none_or(|s| r.subject == *s);
        subject && args.account.as_ref().is_none_or(|a| r.account == *a)
    };
    records.retain(matches);
    if let Some(path) = &args.svg {
        draw(&records, path)?;
    }
    output::print(args.json, &records, |r| format_records(r));
    Ok(())
}

/// Returns the events of every process that a gateway knows.
///
/// Prints a warning for each process that does not respond and omits its events.
pub async fn collect_events(gateway: SocketAddr) -> Result<Vec<Record>> {
    let status: Status = client::get(gateway, "/v1/status").await?;
    let mut records = Vec::new();
    for member in &status.members {
        match client::get::<Vec<Record>>(member.http, "/v1/events").await {
            Ok(events) => records.extend(events),
            Err(e) => eprintln!("warning: {} did not answer: {e:#}", member.name),
        }
    }
    Ok(records)
}

fn format_records(records: &[Record]) -> String {
    let origin = records.first().map_or(0, |r| r.at);
    let line = |r: &Record| {
        let fields = [&r.subject, &r.account, &r.detail].map(|s| s.as_str());
        let fields: Vec<&str> = fields.into_iter().filter(|s| !s.is_empty()).collect();
        let elapsed = (r.at - origin) as f64 / 1000.0;
        let (event, meaning) = (r.event, r.event.meaning());
        format!(
            "{elapsed:>9.3} {:<14} {event} {meaning} [{}]",
            r.process,
            fields.join(" | ")
        )
    };
    records.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Writes an SVG chart with a row for each process and a mark for each event.
pub fn draw(records: &[Record], path: &Path) -> Result<()> {
    let mut processes: Vec<_> = records.iter().map(|r| r.process.clone()).collect();
    processes.sort();
    processes.dedup();
    let origin = records.first().map_or(0, |r| r.at);
    let end = records.last().map_or(1, |r| r.at - origin).max(1) as f64 / 1000.0;
    let rows = processes.len().max(1);
    let size = (WIDTH_PX, FRAME_HEIGHT_PX + ROW_HEIGHT_PX * rows as u32);
    let area = SVGBackend::new(path, size).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("events by process", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(110)
        .build_cartesian_2d(0.0..end * 1.15, -0.5..rows as f64 - 0.5)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .max_light_lines(0)
        .y_labels(rows + 1)
        .y_label_formatter(&|y| {
            let name = processes.get(*y as usize).filter(|_| y.fract() == 0.0);
            name.map(ToString::to_string).unwrap_or_default()
        })
        .draw()?;
    for (family, name) in FAMILIES.iter().enumerate() {
        let colour = Palette99::pick(family).to_rgba();
        let of_family = |r: &&Record| usize::from(r.event.number() / 100 % 10) == family;
        let marks = records.iter().filter(of_family).map(|r| {
            let row = processes.iter().position(|p| *p == r.process).unwrap_or(0);
            let at = (r.at - origin) as f64 / 1000.0;
            Circle::new((at, row as f64), 3, colour.filled())
        });
        chart
            .draw_series(marks)?
            .label(*name)
            .legend(move |(x, y)| Circle::new((x + 7, y), 3, colour.filled()));
    }
    let legend = chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw();
    legend?;
    area.present()
        .with_context(|| format!("writing {}", path.display()))?;
    Ok(())
}
