//! Correction of clock differences between processes by the causal order of events.

use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::event::Record;
use smol_str::SmolStr;
use std::collections::HashMap;

/// The maximum number of passes; correcting one process can require correcting the next one
/// in a chain of processes.
const MAX_PASSES: usize = 8;

/// Moves the clocks of processes forward until no effect precedes its cause: a job is
/// accepted before it is placed, and a higher placer epoch follows a lower one.
///
/// Returns the total correction of each corrected process, in milliseconds.
pub fn align_clocks(records: &mut [Record]) -> HashMap<SmolStr, u64> {
    let mut corrections: HashMap<SmolStr, u64> = HashMap::new();
    for _ in 0..MAX_PASSES {
        let lags = clock_lags(records);
        if lags.is_empty() {
            break;
        }
        for record in records.iter_mut() {
            record.at += lags.get(&record.process).copied().unwrap_or(0);
        }
        for (process, lag) in lags {
            *corrections.entry(process).or_default() += lag;
        }
    }
    corrections
}

/// Returns the minimum lag of each process whose clock is behind, in milliseconds.
fn clock_lags(records: &[Record]) -> HashMap<SmolStr, u64> {
    let mut lags: HashMap<SmolStr, u64> = HashMap::new();
    let mut accepted: HashMap<&SmolStr, &Record> = HashMap::new();
    for record in records.iter().filter(|r| r.event == Event::JobAccepted) {
        let first = accepted.entry(&record.subject).or_insert(record);
        if record.at < first.at {
            *first = record;
        }
    }
    let mut require_order = |cause: &Record, effect: &Record| {
        if cause.process != effect.process && effect.at < cause.at {
            let lag = lags.entry(effect.process.clone()).or_default();
            *lag = (*lag).max(cause.at - effect.at);
        }
    };
    for record in records.iter().filter(|r| r.event == Event::JobPlaced) {
        if let Some(cause) = accepted.get(&record.subject) {
            require_order(cause, record);
        }
    }
    let elected = records.iter().filter(|r| r.event == Event::PlacerElected);
    let mut elected: Vec<(u64, &Record)> = elected.filter_map(|r| Some((epoch(r)?, r))).collect();
    elected.sort_by_key(|(epoch, _)| *epoch);
    for pair in elected.windows(2) {
        require_order(pair[0].1, pair[1].1);
    }
    lags
}

fn epoch(record: &Record) -> Option<u64> {
    let field = record
        .detail
        .split(' ')
        .find_map(|f| f.strip_prefix("epoch="));
    field?.parse().ok()
}
