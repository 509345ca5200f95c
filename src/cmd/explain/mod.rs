//! `hibiscusbarrow explain`.

mod cause;
mod select;

use crate::cli;
use crate::logs;
use crate::output;
use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use hibiscusbarrow_model::event::Record;
use serde::Serialize;
use std::io::Read;

/// The outcome of a job and its cause, as derived from logs.
#[derive(Serialize)]
struct Explanation {
    /// The identifier of the job.
    job: String,
    /// How the job ended, or that it has not finished.
    outcome: String,
    /// The cause of the outcome; empty if the logs do not show it.
    cause: String,
    /// The index of the decisive event in `events`.
    decisive: Option<usize>,
    /// The events of the job and of the processes it depended on, in time order.
    events: Vec<Record>,
}

/// Reads logs and prints the events of one job, with the decisive event marked, and the
/// outcome and its cause.
pub fn execute(args: cli::Explain) -> Result<()> {
    let mut records = Vec::new();
    for path in &args.log {
        records.extend(logs::read(path)?);
    }
    if args.log.is_empty() {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.context("reading the log from standard input")?;
        records = logs::parse(&text);
    }
    logs::merge(&mut records);
    let corrections = logs::align_clocks(&mut records);
    for (process, lag) in &corrections {
        eprintln!("note: the clock of {process} was behind by {lag} ms at least; corrected");
    }
    logs::merge(&mut records);
    let events = select::related_events(&records, &args.name);
    if !events.iter().any(|e| e.subject == args.name) {
        bail!("the logs contain nothing about {}", args.name);
    }
    let diagnosis = cause::diagnose(&events, &args.name);
    let explanation = Explanation {
        job: args.name,
        outcome: diagnosis.outcome,
        cause: diagnosis.cause,
        decisive: diagnosis.decisive,
        events,
    };
    output::print(args.json, &explanation, format_explanation);
    Ok(())
}

fn format_explanation(explanation: &Explanation) -> String {
    let origin = explanation.events.first().map_or(0, |r| r.at);
    let mut lines = Vec::new();
    for (index, record) in explanation.events.iter().enumerate() {
        let mark = if explanation.decisive == Some(index) {
            "=>"
        } else {
            "  "
        };
        let elapsed = (record.at - origin) as f64 / 1000.0;
        let own = record.subject == explanation.job.as_str();
        let subject = if own { "" } else { record.subject.as_str() };
        let line = format!(
            "{mark}{elapsed:>9.3} {:<22} {} {subject} {}",
            record.process, record.event, record.detail
        );
        lines.push(line.trim_end().to_owned());
    }
    lines.push(format!("outcome: {}", explanation.outcome));
    let cause = match explanation.cause.as_str() {
        "" => "not shown by these logs",
        known => known,
    };
    lines.push(format!("cause: {cause}"));
    lines.join("\n")
}
