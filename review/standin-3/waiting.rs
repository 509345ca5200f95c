//! Watches a job that was accepted and for which there is room.

use crate::Record;
use crate::Verdict;
use crate::fleet::Fleet;
use std::time::Duration;
use std::time::Instant;

/// The label of one runner, which the jobs of these cases need.
pub const LABEL: &str = "b";
pub const KEY: &str = "d4a3hwrr6x73d3zji9n7";
/// The time without disruption before the job is handed in.
pub const CALM: Duration = Duration::from_millis(8_000);
/// `finish_s`, and the 3 s for which the rule lets a job wait.
const BOUND: Duration = Duration::from_millis(14_000 + 3_000);
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Returns a job with one task that needs the label; one that lasts runs until it is cancelled.
pub fn body(span_ms: u64, lasts: bool) -> String {
    let (word, flag) = if lasts {
        ("lasts", r#","long-running":true"#)
    } else {
        ("", "")
    };
    format!(
        r#"{{"spec":"span={span_ms} {word}","steps":[{{"count":1,"cpu":4000,"mem-mb":4096,"gpu":2,"estimated-ms":1000,"constraints":"{LABEL}"{flag}}}]}}"#
    )
}

/// Returns whether a run of a job is or was in progress.
pub fn has_run(fleet: &Fleet, job: &str) -> bool {
    let runs = fleet.runs.lock().unwrap();
    runs.iter().any(|r| r.task.starts_with(job))
}

/// Hands a job in, watches it for a time, and checks that it runs within the bound.
pub fn check(fleet: &Fleet, record: &Record, job: &str, watch_time: Duration) -> Verdict {
    if fleet.call(1, "POST", job, KEY, &body(500, false)) != Some(200) {
        return Verdict::Unclear("the job was not accepted".to_owned());
    }
    let accepted = Instant::now();
    let mut reported = accepted;
    while !has_run(fleet, job) && accepted.elapsed() < watch_time {
        std::thread::sleep(Duration::from_millis(50));
        if reported.elapsed() > REPORT_INTERVAL {
            reported = Instant::now();
            let state = fleet.job_state(0, job, KEY);
            record.line(&format!(
                "after {:?} the job is {state:?}",
                accepted.elapsed()
            ));
        }
    }
    let waited = accepted.elapsed();
    record.line(&format!(
        "the job waited {waited:?}, and ran: {}",
        has_run(fleet, job)
    ));
    if waited > BOUND {
        record.line("BROKEN: the job had nothing running, although its runner had room for it");
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
