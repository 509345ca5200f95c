//! Reading and merging the logs of several processes.

mod align;

pub use align::align_clocks;

use crate::cmd::client;
use anyhow::Result;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::event::Record;
use serde_json::Value;
use std::path::Path;

/// Reads events from a log of JSON lines.
///
/// # Errors
///
/// Fails if the file cannot be read. Lines without an event are skipped.
pub fn read(path: &Path) -> Result<Vec<Record>> {
    Ok(parse(&client::read_file(path)?))
}

/// Parses the lines that contain an event, and skips the others.
///
/// Text before the first brace of a line is ignored: log collectors may add a time or name.
pub fn parse(text: &str) -> Vec<Record> {
    let lines = text.lines().enumerate();
    let records = lines.filter_map(|(number, line)| {
        let object = &line[line.find('{')?..];
        let value: Value = serde_json::from_str(object).ok()?;
        parse_record(&value, number as u64)
    });
    records.collect()
}

/// Sorts events by time, then by process and position.
///
/// Events of one process keep their order even if its clock is set back: a time lower than
/// an earlier one of the same process is raised to it.
pub fn merge(records: &mut [Record]) {
    records.sort_by(|a, b| (&a.process, a.seq).cmp(&(&b.process, b.seq)));
    let mut latest = 0;
    let mut process = smol_str::SmolStr::default();
    for record in records.iter_mut() {
        if record.process != process {
            process = record.process.clone();
            latest = 0;
        }
        latest = latest.max(record.at);
        record.at = latest;
    }
    records.sort_by(|a, b| (a.at, &a.process, a.seq).cmp(&(b.at, &b.process, b.seq)));
}

fn parse_record(line: &Value, seq: u64) -> Option<Record> {
    let text = |name: &str| line.get(name).and_then(|v| v.as_str()).unwrap_or("").into();
    let event = line.get("event")?.as_u64()?;
    Some(Record {
        at: line.get("at")?.as_u64()?,
        seq,
        process: text("process"),
        event: Event::try_from(u16::try_from(event).ok()?).ok()?,
        subject: text("subject"),
        account: text("account"),
        detail: text("detail"),
    })
}
