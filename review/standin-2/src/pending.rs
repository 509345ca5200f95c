//! The number of pending jobs after a worker has crashed and the others are full.

use crate::Held;
use crate::cluster::Cluster;
use crate::cluster::job;
use crate::record::Record;
use crate::sleep_until;
use crate::unix_ms;
use std::time::Duration;

const GATEWAYS: usize = 3;
const WORKERS: usize = 8;
/// `visible_ms` and 2 s, in milliseconds.
const COUNT_AGE_MS: u64 = 5_000;
const JOBS: u64 = 6;
const FILLER: &str = "00000000000000ff";

pub fn run(record: Record, trouble: bool) -> Result<Held, String> {
    let mut cluster = Cluster::start(GATEWAYS, WORKERS, record)?;
    // One task for each worker but one, which takes all its accelerators.
    let filler = job(WORKERS as u32 - 1, 8, 40_000, "");
    cluster.request(0, "POST", &format!("/filler/{FILLER}"), &filler);
    std::thread::sleep(Duration::from_secs(1));
    let busy: Vec<String> = cluster.starts(FILLER).into_iter().map(|e| e.worker).collect();
    let idle = (0..WORKERS).find(|n| !busy.contains(&format!("i-{n}")));
    let idle = idle.filter(|_| busy.len() == WORKERS - 1);
    let idle = idle.ok_or("the filler does not run on all workers but one")?;
    if trouble {
        cluster.kill(&format!("worker-{idle}"));
    }
    std::thread::sleep(Duration::from_millis(300));
    let mut accepted: Vec<(String, u64)> = Vec::new();
    for number in 0..JOBS {
        let id = format!("{:016x}", 0x1000 + number);
        let answer = cluster.request(0, "POST", &format!("/pairs/{id}"), &job(1, 1, 500, ""));
        if answer.is_some_and(|(status, _)| status == 200) {
            accepted.push((id, unix_ms()));
        }
    }
    let submitted = unix_ms();
    let mut wrong = 0;
    for round in 0..6 {
        sleep_until(submitted + COUNT_AGE_MS + 500 + round * 500);
        for gateway in 0..GATEWAYS {
            let sent = unix_ms();
            let answer = cluster.request(gateway, "GET", "/pairs/", "");
            let body = answer.filter(|(status, _)| *status == 200).map(|(_, body)| body);
            let body = body.and_then(|b| serde_json::from_str::<serde_json::Value>(&b).ok());
            let Some(pending) = body.and_then(|b| b["pending"].as_u64()) else {
                continue;
            };
            let old = accepted.iter().filter(|(_, at)| at + COUNT_AGE_MS < sent);
            // Jobs that begin later than the answer count as not begun.
            let waiting = old.filter(|(id, _)| cluster.starts(id).is_empty()).count() as u64;
            if pending * 2 < waiting {
                wrong += 1;
                let text = format!(
                    "BROKEN: edge-{gateway} gives {pending} as pending; {waiting} jobs that were \
                     accepted over {COUNT_AGE_MS} ms ago have not begun"
                );
                cluster.record.note(&text);
            }
        }
    }
    let (first, _) = accepted.first().ok_or("no job was accepted")?;
    cluster.request(0, "GET", &format!("/pairs/{first}"), "");
    cluster.note_events();
    Ok(wrong == 0)
}
