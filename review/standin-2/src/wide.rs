//! One job of many small tasks among ordinary jobs.

use crate::Held;
use crate::cluster::Cluster;
use crate::cluster::job;
use crate::cluster::wide_job;
use crate::record::Record;
use crate::sleep_until;
use crate::unix_ms;

const WORKERS: usize = 3;
/// The ordinary jobs before and after the wide one.
const BEFORE: u64 = 20;
const AFTER: u64 = 4;
/// The steps of the wide job, and the tasks of each with and without the disruption.
const STEPS: usize = 2;
const COUNT: u32 = 7_500;
const SMALL_COUNT: u32 = 100;
/// `finish_s`, in milliseconds.
const FINISH_MS: u64 = 14_000;
/// For how long a job has nothing running until the rule is broken, in milliseconds.
const IDLE_MS: u64 = 3_000;
const JOB: &str = "00000000000000dd";

pub fn run(record: Record, trouble: bool) -> Result<Held, String> {
    let cluster = Cluster::start(3, WORKERS, record)?;
    let submit = |number: u64| {
        let id = format!("{:016x}", 0x1000 + number);
        let answer = cluster.request(1, "POST", &format!("/pairs/{id}"), &job(1, 1, 500, ""));
        answer
            .is_some_and(|(status, _)| status == 200)
            .then_some(id)
    };
    let from = unix_ms();
    let mut accepted: Vec<String> = Vec::new();
    for number in 0..BEFORE {
        sleep_until(from + number * 100);
        accepted.extend(submit(number));
    }
    let count = if trouble { COUNT } else { SMALL_COUNT };
    let body = wide_job(STEPS, count, 20_000);
    let answer = cluster.request(1, "POST", &format!("/filler/{JOB}"), &body);
    let status = answer.map(|(status, _)| status);
    let text = format!("the job with {STEPS} steps of {count} tasks was answered with {status:?}");
    cluster.record.note(&text);
    for number in BEFORE..BEFORE + AFTER {
        sleep_until(from + number * 100 + 500);
        accepted.extend(submit(number));
    }
    if accepted.is_empty() {
        return Err("no job was accepted".into());
    }
    let end = unix_ms();
    sleep_until(end + FINISH_MS + IDLE_MS + 3_000);
    let refused = cluster.store.refused();
    cluster.record.note(&format!(
        "the store refused {refused} transactions with too large a value"
    ));
    let begun = cluster.starts(JOB).len();
    cluster
        .record
        .note(&format!("{begun} tasks of the wide job have begun"));
    cluster.note_events();
    let mut held = true;
    for id in &accepted {
        let starts = cluster.starts(id);
        if starts.iter().all(|e| e.at > end + FINISH_MS + IDLE_MS) {
            held = false;
            cluster
                .record
                .note(&format!("BROKEN: the ordinary job {id} has not begun"));
        }
    }
    Ok(held)
}
