//! Jobs of a queue with advice that come at once.

use crate::Held;
use crate::cluster::Cluster;
use crate::cluster::job;
use crate::policy::Policy;
use crate::record::Record;
use crate::sleep_until;
use crate::unix_ms;
use std::time::Duration;

const GATEWAYS: usize = 3;
const WORKERS: usize = 8;
/// `finish_s`, in milliseconds.
const FINISH_MS: u64 = 14_000;
/// For how long a job has nothing running until the rule is broken, in milliseconds.
const IDLE_MS: u64 = 3_000;
/// The time between two jobs, in milliseconds.
const INTERVAL_MS: u64 = 550;
/// How long the jobs come, in milliseconds.
const TRAFFIC_MS: u64 = 14_000;
/// When the burst begins and ends, in milliseconds.
const BURST_MS: std::ops::Range<u64> = 4_000..8_000;
/// How many times more often the jobs come in the burst, in tenths.
const BURST_TENTHS: u64 = 27;

pub fn run(record: Record, trouble: bool) -> Result<Held, String> {
    let cluster = Cluster::start(GATEWAYS, WORKERS, record)?;
    let policy = Policy::start(cluster.policy_addr()).map_err(|e| format!("policy: {e}"))?;
    let from = unix_ms();
    let mut accepted = Vec::new();
    let (mut number, mut after) = (0, 0);
    while after < TRAFFIC_MS {
        sleep_until(from + after);
        let id = format!("{:016x}", 0x1000 + number);
        let path = format!("/advised/{id}");
        let gateway = number % GATEWAYS;
        let answer = cluster.request(gateway, "POST", &path, &job(1, 1, 1_000, "ticket"));
        if answer.is_some_and(|(status, _)| status == 200) {
            accepted.push(id);
        }
        number += 1;
        let is_burst = trouble && BURST_MS.contains(&after);
        after += if is_burst {
            INTERVAL_MS * 10 / BURST_TENTHS
        } else {
            INTERVAL_MS
        };
    }
    if accepted.is_empty() {
        return Err("no job was accepted".into());
    }
    let end = unix_ms();
    for second in 0..(FINISH_MS + IDLE_MS + 4_000) / 1_000 {
        sleep_until(end + second * 1_000);
        let begun = accepted
            .iter()
            .filter(|id| !cluster.starts(id).is_empty())
            .count();
        let (answered, rejected, abandoned) = policy.counts();
        cluster.record.note(&format!(
            "{begun} of {} jobs have begun; calls for advice: {answered} answered, {rejected} \
             rejected, {abandoned} given up by the caller",
            accepted.len()
        ));
    }
    std::thread::sleep(Duration::from_millis(100));
    cluster.note_events();
    let judged = end + FINISH_MS + IDLE_MS;
    let idle = accepted
        .iter()
        .filter(|id| cluster.starts(id).iter().all(|e| e.at > judged));
    let idle: Vec<&String> = idle.collect();
    for id in &idle {
        let text = format!(
            "BROKEN: {id} has not begun {} ms after the last job came",
            FINISH_MS + IDLE_MS
        );
        cluster.record.note(&text);
    }
    Ok(idle.is_empty())
}
