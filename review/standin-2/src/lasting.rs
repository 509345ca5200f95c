//! A task that lasts, after its worker was lost for good.

use crate::Held;
use crate::cluster::Cluster;
use crate::cluster::job;
use crate::record::Record;
use crate::sleep_until;
use crate::unix_ms;
use std::time::Duration;

const WORKERS: usize = 8;
/// From how long after its last run a task that lasts has to run again, in milliseconds.
const RESTART_MS: u64 = 6_000;
/// For how long it has nothing running until the rule is broken, in milliseconds.
const IDLE_MS: u64 = 3_000;
/// How long the case waits for the next run, in milliseconds.
const WATCHED_MS: u64 = 20_000;
const JOB: &str = "00000000000000bb";

pub fn run(record: Record, trouble: bool) -> Result<Held, String> {
    let mut cluster = Cluster::start(3, WORKERS, record)?;
    cluster.request(
        0,
        "POST",
        &format!("/pairs/{JOB}"),
        &job(1, 1, 1_000, "lasts"),
    );
    std::thread::sleep(Duration::from_secs(3));
    let starts = cluster.starts(JOB);
    let [first] = &starts[..] else {
        return Err(format!("the task was started {} times", starts.len()));
    };
    let number = first.worker.trim_start_matches("i-").to_owned();
    if trouble {
        cluster.kill(&format!("worker-{number}"));
    }
    let lost = unix_ms();
    sleep_until(lost + WATCHED_MS);
    cluster.request(0, "GET", &format!("/pairs/{JOB}"), "");
    cluster.note_events();
    if !trouble {
        // The first run goes on.
        return Ok(cluster.starts(JOB).len() == 1);
    }
    let again = cluster
        .starts(JOB)
        .into_iter()
        .find(|e| e.at > lost)
        .map(|e| e.at - lost);
    let is_late = again.is_none_or(|after| after > RESTART_MS + IDLE_MS);
    if is_late {
        let after = again.map_or("never".to_owned(), |after| format!("after {after} ms"));
        cluster
            .record
            .note(&format!("BROKEN: the task was started again {after}"));
    }
    Ok(!is_late)
}
