//! A runner crashes three times under two tasks that last; another job, which only this runner may
//! run, is then accepted.

use crate::Record;
use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::RunnerKind;
use crate::runner::Fate;
use crate::waiting;
use crate::waiting::CALM;
use crate::waiting::KEY;
use crate::waiting::LABEL;
use crate::waiting::body;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

const GATEWAYS: usize = 3;
const SIDECARS: usize = 8;
/// Two jobs whose tasks last, and the one that is handed in afterwards.
const LASTING_JOBS: [&str; 2] = ["00000000000000c1", "00000000000000c2"];
const JOB: &str = "00000000000000c3";
const CRASHES: usize = 3;
/// How long the runner is down, and works between two crashes.
const DOWNTIME: Duration = Duration::from_millis(500);
const WORK_TIME: Duration = Duration::from_millis(3_000);
/// The longest wait for the lasting task to run again.
const RESTART_TIMEOUT: Duration = Duration::from_secs(12);
/// For how long the job is watched: longer than it takes until the crashes are forgotten.
const WATCH_TIME: Duration = Duration::from_secs(62);

/// Returns how many of the lasting tasks run.
fn lasting_runs(fleet: &Fleet) -> usize {
    let runs = fleet.runs.lock().unwrap();
    let lasts = |task: &str| LASTING_JOBS.iter().any(|j| task.starts_with(j));
    let open = runs.iter().filter(|r| r.ended.is_none());
    open.filter(|r| lasts(&r.task)).count()
}

/// Waits until at least so many of the lasting tasks run.
fn wait_for_runs(fleet: &Fleet, count: usize) -> bool {
    let end = Instant::now() + RESTART_TIMEOUT;
    while Instant::now() < end {
        if lasting_runs(fleet) >= count {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let plan = Arc::new(|_: &str, _: &str, _: u64, _: &Arc<_>, _: u64| Fate::Answered);
    let runners = RunnerKind {
        plan,
        keep_id: false,
        first_label: Some(LABEL),
    };
    let fleet = match Fleet::start(record, GATEWAYS, SIDECARS, &[KEY], runners) {
        Ok(fleet) => fleet,
        Err(why) => return Verdict::Unclear(why),
    };
    for job in LASTING_JOBS {
        if fleet.call(0, "POST", job, KEY, &body(600_000, true)) != Some(200) {
            return Verdict::Unclear("a lasting job was not accepted".to_owned());
        }
    }
    for _ in 0..if trouble { CRASHES } else { 0 } {
        if !wait_for_runs(&fleet, LASTING_JOBS.len()) {
            return Verdict::Unclear("the lasting tasks do not run".to_owned());
        }
        std::thread::sleep(WORK_TIME);
        fleet.runners[0].crash();
        std::thread::sleep(DOWNTIME);
        if let Err(e) = fleet.runners[0].boot() {
            return Verdict::Unclear(format!("the runner does not start again: {e}"));
        }
    }
    if !wait_for_runs(&fleet, 1) {
        return Verdict::Unclear("no lasting task runs again".to_owned());
    }
    std::thread::sleep(CALM);
    let verdict = waiting::check(&fleet, record, JOB, WATCH_TIME);
    let lasting = lasting_runs(&fleet);
    record.line(&format!(
        "{lasting} of {} lasting tasks run",
        LASTING_JOBS.len()
    ));
    for job in LASTING_JOBS {
        let state = fleet.job_state(0, job, KEY);
        record.line(&format!("the lasting job {job} is {state:?}"));
    }
    verdict
}
