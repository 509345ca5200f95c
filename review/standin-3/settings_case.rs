//! The settings files of the gateways name another address of the service that gives tickets.

use crate::Record;
use crate::Verdict;
use crate::advice;
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

const GATEWAYS: usize = 3;
const SIDECARS: usize = 8;
const FIRST_JOB: &str = "00000000000000e1";
const JOB: &str = "00000000000000e2";
/// The time for the first job.
const FIRST_TIME: Duration = Duration::from_millis(3_000);
/// For how long the service answers at both addresses.
const OVERLAP: Duration = Duration::from_secs(6);
/// For how long the job is watched.
const WATCH_TIME: Duration = Duration::from_secs(25);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let plan = Arc::new(|_: &str, _: &str, _: u64, _: &Arc<_>, _: u64| Fate::Answered);
    let runners = RunnerKind {
        plan,
        keep_id: false,
        with_advice: true,
        first_label: Some(LABEL),
    };
    let fleet = match Fleet::start(record, GATEWAYS, SIDECARS, &[KEY], runners) {
        Ok(fleet) => fleet,
        Err(why) => return Verdict::Unclear(why),
    };
    let (from, to) = (fleet.advice_addr(0), fleet.advice_addr(1));
    let first = match advice::start(&from, record.clone()) {
        Ok(first) => first,
        Err(e) => return Verdict::Unclear(e.to_string()),
    };
    if fleet.call(0, "POST", FIRST_JOB, KEY, &body(500, false)) != Some(200) {
        return Verdict::Unclear("the first job was not accepted".to_owned());
    }
    std::thread::sleep(FIRST_TIME);
    let state = fleet.job_state(0, FIRST_JOB, KEY);
    if state != "completed" {
        return Verdict::Unclear(format!("the first job is {state:?}"));
    }
    if trouble {
        let second = advice::start(&to, record.clone());
        if let Err(e) = second.and_then(|_| fleet.change_advice(&from, &to)) {
            return Verdict::Unclear(e.to_string());
        }
        std::thread::sleep(OVERLAP);
        record.line(&format!("the service no longer answers at {from}"));
        first.close();
    }
    std::thread::sleep(CALM);
    waiting::check(&fleet, record, JOB, WATCH_TIME)
}
