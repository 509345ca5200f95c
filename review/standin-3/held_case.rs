//! A runner leaves the acknowledgement of an end unanswered, crashes and starts again under its
//! identifier; a job that only this runner may run is then accepted.

use crate::Record;
use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::RunnerKind;
use crate::runner::Fate;
use crate::runner::Runner;
use crate::waiting;
use crate::waiting::CALM;
use crate::waiting::KEY;
use crate::waiting::LABEL;
use crate::waiting::body;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

const GATEWAYS: usize = 3;
const SIDECARS: usize = 8;
const FIRST_JOB: &str = "00000000000000d1";
const JOB: &str = "00000000000000d2";
/// The time after which the unanswered order is carried out.
const LATE: Duration = Duration::from_millis(4_000);
/// The time from the unanswered order to the crash, and how long the runner is down.
const CRASH_DELAY: Duration = Duration::from_millis(1_200);
const DOWNTIME: Duration = Duration::from_millis(500);
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
/// For how long the job is watched.
const WATCH_TIME: Duration = Duration::from_secs(25);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let is_silent = Arc::new(AtomicBool::new(false));
    let of_plan = is_silent.clone();
    let plan = move |path: &str, _: &str, seen: u64, _: &Arc<Runner>, _: u64| {
        let acknowledges = path == "/hold" && seen > 0;
        if trouble && acknowledges && !of_plan.swap(true, Ordering::SeqCst) {
            Fate::Late(LATE)
        } else {
            Fate::Answered
        }
    };
    let runners = RunnerKind {
        plan: Arc::new(plan),
        keep_id: true,
        first_label: Some(LABEL),
    };
    let fleet = match Fleet::start(record, GATEWAYS, SIDECARS, &[KEY], runners) {
        Ok(fleet) => fleet,
        Err(why) => return Verdict::Unclear(why),
    };
    if fleet.call(0, "POST", FIRST_JOB, KEY, &body(500, false)) != Some(200) {
        return Verdict::Unclear("the first job was not accepted".to_owned());
    }
    if trouble {
        let end = Instant::now() + ORDER_TIMEOUT;
        while !is_silent.load(Ordering::SeqCst) {
            if Instant::now() > end {
                return Verdict::Unclear("no end was acknowledged".to_owned());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        std::thread::sleep(CRASH_DELAY);
        fleet.runners[0].crash();
        std::thread::sleep(DOWNTIME);
        if let Err(e) = fleet.runners[0].boot() {
            return Verdict::Unclear(format!("the runner does not start again: {e}"));
        }
    }
    std::thread::sleep(CALM);
    let state = fleet.job_state(0, FIRST_JOB, KEY);
    record.line(&format!("the first job is {state:?}"));
    waiting::check(&fleet, record, JOB, WATCH_TIME)
}
