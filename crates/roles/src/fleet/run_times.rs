//! Keeps learned run times in the store, for the next placer.

use super::Shared;
use super::keys;
use super::port::Outcome;
use super::port::Txn;
use bytes::Bytes;
use hibiscusbarrow_adapters::metrics::Metrics;
use hibiscusbarrow_coordination::runtime::RunTimes;
use hibiscusbarrow_model::event::Event;
use std::time::Duration;

/// The least time between two writes, except for the one when the placer hands over. Each placer and
/// standby receives the summary by its watch: 64 KiB in this time, encoded in 86 KiB, are 730 bytes
/// a second.
const WRITE_INTERVAL: Duration = Duration::from_secs(120);
/// The kinds of tasks that a log line names.
const LOGGED_ROWS: usize = 8;

/// When the learned run times are written.
pub struct SummarySchedule {
    /// Whether a write is in progress.
    pub writing: bool,
    written_at: Duration,
    /// The number of changes that the last write contained.
    written: u64,
}

impl SummarySchedule {
    /// Creates the schedule of a placer that starts now.
    pub fn new(now: Duration) -> Self {
        Self {
            writing: false,
            written_at: now,
            written: 0,
        }
    }

    /// Returns whether the next write is due.
    pub fn is_due(&self, now: Duration) -> bool {
        !self.writing && now >= self.written_at + WRITE_INTERVAL
    }

    /// Begins a write unless another one is in progress or nothing has changed.
    pub fn begin(&mut self, changes: u64, now: Duration) -> bool {
        self.written_at = now;
        if self.writing || changes == self.written {
            return false;
        }
        self.written = changes;
        self.writing = true;
        true
    }
}

/// Reads the run times that the last placer had learned; none without a usable summary.
pub async fn read(shared: &Shared) -> Option<RunTimes> {
    let item = match (shared.store.get)(keys::RUN_TIMES_KEY.into()).await {
        Ok(item) => item,
        Err(e) => {
            ignore(shared, e.to_string());
            return None;
        }
    };
    let value = item.and_then(|i| i.value)?;
    match RunTimes::from_summary(&value) {
        Ok(times) => {
            let detail = format!("bytes={} {}", value.len(), describe(&times));
            let subject = shared.settings.name.clone();
            shared.log.emit(Event::RunTimesRead, subject, detail);
            Some(times)
        }
        Err(reason) => {
            ignore(shared, format!("bytes={} {reason}", value.len()));
            None
        }
    }
}

fn ignore(shared: &Shared, reason: String) {
    let detail = format!("key={} {reason}", keys::RUN_TIMES_KEY);
    let subject = shared.settings.name.clone();
    shared.log.emit(Event::RunTimesIgnored, subject, detail);
}

/// Writes a summary if this process still is the placer. A write that fails is not repeated: the
/// next one has all of its content.
pub async fn write(shared: &Shared, epoch: u64, summary: Vec<u8>, detail: String) {
    let bytes = summary.len();
    let txn = Txn {
        conditions: vec![(keys::PLACER_KEY.into(), epoch)],
        puts: vec![(keys::RUN_TIMES_KEY.into(), Bytes::from(summary), 0)],
        ..Txn::default()
    };
    let subject = shared.settings.name.clone();
    match (shared.store.commit)(txn).await {
        Ok(Outcome::Committed(_)) => {
            let detail = format!("bytes={bytes} {detail}");
            shared.log.emit(Event::RunTimesStored, subject, detail);
        }
        Ok(Outcome::Conflict(_) | Outcome::NoLease) => {}
        Err(e) => {
            let detail = format!("key={} bytes={bytes}: {e}", keys::RUN_TIMES_KEY);
            shared.log.emit(Event::WriteFailed, subject, detail);
        }
    }
}

/// Returns the kinds of tasks with the most runs, with their expected times. Times of kinds that
/// declare one are multiples of it.
pub fn describe(times: &RunTimes) -> String {
    let mut text = format!("keys={}", times.len());
    for row in times.rows(LOGGED_ROWS) {
        let value = |time: Duration| {
            if row.declared {
                format!("{:.2}x", time.as_secs_f64())
            } else {
                format!("{time:.1?}")
            }
        };
        let kind = &row.kind;
        text += &format!(
            " [{}/{} step={} cpu={} memory={} gpus={} runs={:.0} p50={} p90={} p99={}]",
            kind.queue,
            kind.account,
            kind.step,
            kind.shape.cpu,
            kind.shape.memory,
            kind.shape.gpus,
            row.weight,
            value(row.times.p50),
            value(row.times.p90),
            value(row.times.p99)
        );
    }
    text
}

/// Sets the gauges of the learned run times.
pub fn publish(metrics: &Metrics, times: &RunTimes) {
    metrics.set_gauge("run_time_keys", times.len() as u64);
    let gauges = [
        ("run_time_error_p50_percent", 0.5),
        ("run_time_error_p90_percent", 0.9),
        ("run_time_error_p99_percent", 0.99),
    ];
    for (name, quantile) in gauges {
        if let Some(ratio) = times.error(quantile) {
            metrics.set_gauge(name, (ratio * 100.0).round() as u64);
        }
    }
}
