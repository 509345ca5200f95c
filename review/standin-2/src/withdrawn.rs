//! A job that its client withdraws before the store has executed the write that accepts it.

use crate::Held;
use crate::cluster::Cluster;
use crate::cluster::job;
use crate::record::Record;
use crate::sleep_until;
use crate::unix_ms;
use std::time::Duration;

/// `cancel_ms`, in milliseconds.
const CANCEL_MS: u64 = 3_000;
/// `contact-ms`, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// How late the store executes the writes that it does not answer; the pages allow 1 to 6 s.
const DELAY: Duration = Duration::from_millis(5_900);
/// How long the store leaves writes unanswered, in milliseconds.
const LOSS_MS: u64 = 1_400;
/// The largest share of writes that are left unanswered, in percent.
const MAX_LOST_PERCENT: usize = 30;
/// The other jobs that are submitted in that time.
const OTHER_JOBS: u64 = 16;
const JOB: &str = "00000000000000aa";

pub fn run(record: Record, trouble: bool) -> Result<Held, String> {
    let cluster = Cluster::start(2, 3, record)?;
    let from = unix_ms();
    let loss_end = from + LOSS_MS;
    if trouble {
        let key = format!("hibiscusbarrow/job/{JOB}");
        cluster.store.set_lose_write(Some(Box::new(move |txn| {
            let puts = txn["puts"].as_array()?;
            let is_hit = unix_ms() < loss_end && puts.iter().any(|p| p["key"] == key.as_str());
            is_hit.then_some(DELAY)
        })));
    }
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for number in 0..OTHER_JOBS {
                sleep_until(from + number * LOSS_MS / OTHER_JOBS);
                let path = format!("/filler/{:016x}", 0x1000 + number);
                cluster.request(1, "POST", &path, &job(1, 1, 300, ""));
            }
        });
        cluster.request(0, "POST", &format!("/pairs/{JOB}"), &job(1, 1, 20_000, ""));
    });
    // The client has been told that the outcome is unknown, and withdraws the job.
    sleep_until(loss_end);
    let answer = cluster.request(0, "DELETE", &format!("/pairs/{JOB}"), "");
    let acknowledged = unix_ms();
    let is_acknowledged = answer.is_some_and(|(status, _)| status / 100 == 2 || status == 410);
    let (writes, lost) = cluster.store.writes_since(from);
    cluster.record.note(&format!(
        "the store left {lost} of {writes} writes unanswered"
    ));
    sleep_until(from + 12_000);
    cluster.note_events();
    if lost * 100 > writes * MAX_LOST_PERCENT {
        return Err(format!(
            "{lost} of {writes} writes were lost, which is too large a share"
        ));
    }
    if !is_acknowledged {
        return Ok(true);
    }
    let limit = (acknowledged + CANCEL_MS).max(loss_end + CONTACT_MS);
    let late = cluster.starts(JOB).into_iter().filter(|e| e.at > limit);
    let late: Vec<_> = late.collect();
    for e in &late {
        let after = e.at - acknowledged;
        let text = format!(
            "BROKEN: {} started {after} ms after the DELETE was answered",
            e.task
        );
        cluster.record.note(&text);
    }
    Ok(late.is_empty())
}
