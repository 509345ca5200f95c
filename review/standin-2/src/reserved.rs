//! A job that needs whole workers, beside a task that lasts on each of them.

use crate::Held;
use crate::cluster::Cluster;
use crate::cluster::job;
use crate::record::Record;
use crate::sleep_until;
use crate::unix_ms;
use std::time::Duration;

const WORKERS: u32 = 8;
/// The ordinary jobs before and after the large one.
const BEFORE: u64 = 20;
const AFTER: u64 = 6;
/// `finish_s`, in milliseconds.
const FINISH_MS: u64 = 14_000;
/// For how long a job has nothing running until the rule is broken, in milliseconds.
const IDLE_MS: u64 = 3_000;
const LASTING_JOB: &str = "00000000000000ee";
const LARGE_JOB: &str = "00000000000000ef";

pub fn run(record: Record, trouble: bool) -> Result<Held, String> {
    let cluster = Cluster::start(3, WORKERS as usize, record)?;
    let lasting = job(WORKERS, 1, 1_000, "lasts apart");
    cluster.request(0, "POST", &format!("/pairs/{LASTING_JOB}"), &lasting);
    std::thread::sleep(Duration::from_secs(1));
    if cluster.starts(LASTING_JOB).len() != WORKERS as usize {
        return Err("the tasks that last do not run on all workers".into());
    }
    let submit = |number: u64| {
        let id = format!("{:016x}", 0x1000 + number);
        let answer = cluster.request(1, "POST", &format!("/low/{id}"), &job(1, 1, 500, ""));
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
    if trouble {
        let large = job(WORKERS, 8, 2_000, "");
        cluster.request(0, "POST", &format!("/pairs/{LARGE_JOB}"), &large);
    }
    // The large job waits by then.
    std::thread::sleep(Duration::from_secs(3));
    for number in BEFORE..BEFORE + AFTER {
        std::thread::sleep(Duration::from_millis(100));
        accepted.extend(submit(number));
    }
    if accepted.is_empty() {
        return Err("no job was accepted".into());
    }
    let end = unix_ms();
    sleep_until(end + FINISH_MS + IDLE_MS + 3_000);
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
