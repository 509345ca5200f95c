//! Correcting the clocks of processes by what must have come first.

use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::event::Record;
use smol_str::SmolStr;
use std::collections::HashMap;

/// The most rounds of corrections; each can uncover another one along a chain of processes.
const ROUNDS: usize = 8;

/// Moves the clocks of processes forward until no effect stands before its cause:
/// a job is accepted before it is placed, and a higher epoch follows a lower one.
///
/// Returns the corrections in milliseconds.
pub fn align(records: &mut [Record]) -> HashMap<SmolStr, u64> {
    let mut moved: HashMap<SmolStr, u64> = HashMap::new();
    for _ in 0..ROUNDS {
        let late = violations(records);
        if late.is_empty() {
            break;
        }
        for record in records.iter_mut() {
            record.at += late.get(&record.process).copied().unwrap_or(0);
        }
        for (process, by) in late {
            *moved.entry(process).or_default() += by;
        }
    }
    moved
}

/// Returns by how much the clock of each process is behind at least.
fn violations(records: &[Record]) -> HashMap<SmolStr, u64> {
    let mut late: HashMap<SmolStr, u64> = HashMap::new();
    let mut accepted: HashMap<&SmolStr, &Record> = HashMap::new();
    for record in records.iter().filter(|r| r.event == Event::JobAccepted) {
        let first = accepted.entry(&record.subject).or_insert(record);
        if record.at < first.at {
            *first = record;
        }
    }
    let mut demand = |cause: &Record, effect: &Record| {
        if cause.process != effect.process && effect.at < cause.at {
            let by = late.entry(effect.process.clone()).or_default();
            *by = (*by).max(cause.at - effect.at);
        }
    };
    for record in records.iter().filter(|r| r.event == Event::JobPlaced) {
        if let Some(cause) = accepted.get(&record.subject) {
            demand(cause, record);
        }
    }
    let elected = records.iter().filter(|r| r.event == Event::PlacerElected);
    let mut elected: Vec<(u64, &Record)> = elected.filter_map(|r| Some((epoch(r)?, r))).collect();
    elected.sort_by_key(|(epoch, _)| *epoch);
    for pair in elected.windows(2) {
        demand(pair[0].1, pair[1].1);
    }
    late
}

fn epoch(record: &Record) -> Option<u64> {
    let field = record
        .detail
        .split(' ')
        .find_map(|f| f.strip_prefix("epoch="));
    field?.parse().ok()
}
