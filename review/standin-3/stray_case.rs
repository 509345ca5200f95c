//! A runner leaves a start unanswered, crashes, starts again under its identifier and carries the
//! start out late, when the task has been done elsewhere.

use crate::Record;
use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::RunnerKind;
use crate::runner::Fate;
use crate::runner::Runner;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

const GATEWAYS: usize = 3;
const SIDECARS: usize = 8;
const KEY: &str = "d4a3hwrr6x73d3zji9n7";
/// A job whose first run fails, so that the placer prefers other runners afterwards.
const FAILING_JOB: &str = "00000000000000f1";
const JOB: &str = "00000000000000a1";
const TASK: &str = "00000000000000a1.0.0.0";
/// For how long the runner leaves orders unanswered.
const WINDOW: Duration = Duration::from_millis(5_500);
/// The number of stops that it leaves unanswered after its crash.
const SILENT_STOPS: u32 = 3;
/// The largest share of the starts and stops in that time that may get no answer: that of the site.
const MAX_SHARE: f64 = 0.055;
/// Ordinary jobs beside the case, one after the other: how many, and the time between two.
const OTHER_JOBS: u64 = 24;
const OTHER_JOBS_GAP: Duration = Duration::from_millis(230);
const OTHER_TASKS: u32 = 6;
/// The time after which it carries these out, and the least time for the starts.
const LATE_STOP: Duration = Duration::from_millis(4_000);
const LEAST_DELAY: Duration = Duration::from_millis(2_000);
/// The time from the new boot until it carries the starts out.
const START_DELAY: Duration = Duration::from_millis(1_200);
/// For how long the jobs are watched.
const WATCH_TIME: Duration = Duration::from_millis(10_000);
/// How long the runner is down.
const DOWNTIME: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Course {
    /// When the first start arrived, and at which runner.
    first: Option<(Instant, Arc<Runner>)>,
    crashed: bool,
    silent_stops: u32,
    /// The starts and stops that arrived within the window at all runners, and those of them that
    /// got no answer.
    orders: u32,
    unanswered: u32,
    /// Why the case cannot run.
    unclear: Option<String>,
}

/// Leaves the starts of the first run unanswered, and the stops after the crash.
fn decide(
    course: &Arc<Mutex<Course>>,
    path: &str,
    task: &str,
    run: u64,
    runner: &Arc<Runner>,
    boot: u64,
) -> Fate {
    let mut known = course.lock().unwrap();
    let in_window = known.first.as_ref().is_none_or(|f| f.0.elapsed() < WINDOW);
    let is_counted = path != "/hold" && in_window && (known.first.is_some() || task == TASK);
    known.orders += u32::from(is_counted);
    if task != TASK {
        return Fate::Answered;
    }
    let first = known
        .first
        .get_or_insert_with(|| (Instant::now(), runner.clone()));
    let (began, silent) = (first.0, first.1.clone());
    let is_silent = Arc::ptr_eq(&silent, runner) && began.elapsed() < WINDOW;
    match (path, run) {
        ("/run-start", 1) if is_silent && boot == 1 => {
            known.unanswered += 1;
            Fate::Held
        }
        ("/run-stop", 1) if is_silent && boot > 1 && known.silent_stops < SILENT_STOPS => {
            known.silent_stops += 1;
            known.unanswered += 1;
            Fate::Late(LATE_STOP)
        }
        ("/run-start", 2) if Arc::ptr_eq(&silent, runner) => {
            known.unclear = Some("the second run is at the same runner".to_owned());
            Fate::Answered
        }
        ("/run-start", 2) if !known.crashed => {
            known.crashed = true;
            std::thread::spawn(move || {
                silent.crash();
                std::thread::sleep(DOWNTIME);
                silent.boot().expect("the runner starts again");
                std::thread::sleep(START_DELAY);
                std::thread::sleep(LEAST_DELAY.saturating_sub(began.elapsed()));
                silent.carry_out_held();
            });
            Fate::Answered
        }
        _ => Fate::Answered,
    }
}

/// Returns an ordinary job of some short tasks.
fn other_body() -> String {
    format!(
        r#"{{"spec":"span=100 fails=0","steps":[{{"count":{OTHER_TASKS},"cpu":1000,"mem-mb":512,"gpu":0,"estimated-ms":100}}]}}"#
    )
}

fn body(span_ms: u64, fails: u64) -> String {
    format!(
        r#"{{"spec":"span={span_ms} fails={fails}","steps":[{{"count":1,"cpu":4000,"mem-mb":4096,"gpu":2,"estimated-ms":{span_ms}}}]}}"#
    )
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let course: Arc<Mutex<Course>> = Arc::default();
    let of_plan = course.clone();
    let plan = move |path: &str, task: &str, run: u64, runner: &Arc<Runner>, boot: u64| {
        if trouble {
            decide(&of_plan, path, task, run, runner, boot)
        } else {
            Fate::Answered
        }
    };
    let runners = RunnerKind {
        plan: Arc::new(plan),
        keep_id: true,
        first_label: None,
    };
    let fleet = match Fleet::start(record, GATEWAYS, SIDECARS, &[KEY], runners) {
        Ok(fleet) => fleet,
        Err(why) => return Verdict::Unclear(why),
    };
    if fleet.call(0, "POST", FAILING_JOB, KEY, &body(600, 1)) != Some(200) {
        return Verdict::Unclear("the first job was not accepted".to_owned());
    }
    std::thread::sleep(Duration::from_millis(150));
    if fleet.call(1, "POST", JOB, KEY, &body(1_000, 0)) != Some(200) {
        return Verdict::Unclear("the job was not accepted".to_owned());
    }
    let accepted = Instant::now();
    for index in 0..OTHER_JOBS {
        let id = format!("{:016x}", 0xb00 + index);
        if fleet.call(2, "POST", &id, KEY, &other_body()) != Some(200) {
            return Verdict::Unclear("an ordinary job was not accepted".to_owned());
        }
        std::thread::sleep(OTHER_JOBS_GAP);
    }
    std::thread::sleep(WATCH_TIME.saturating_sub(accepted.elapsed()));
    for job in [FAILING_JOB, JOB] {
        let state = fleet.job_state(0, job, KEY);
        record.line(&format!("job {job} is shown as {state:?}"));
        if state != "completed" {
            return Verdict::Unclear(format!("job {job} is not completed"));
        }
    }
    let known = course.lock().unwrap();
    if trouble && !known.crashed {
        return Verdict::Unclear("the runner did not crash".to_owned());
    }
    let share = f64::from(known.unanswered) / f64::from(known.orders.max(1));
    record.line(&format!(
        "{} of the {} starts and stops in the window got no answer ({share:.3})",
        known.unanswered, known.orders
    ));
    if share > MAX_SHARE {
        return Verdict::Unclear("too many orders got no answer".to_owned());
    }
    let runs = fleet.runs.lock().unwrap();
    let mut broken = false;
    for (a, first) in runs.iter().enumerate() {
        for second in runs[a + 1..].iter().filter(|s| s.task == first.task) {
            let (at, how) = first
                .ended
                .map_or((None, ""), |(at, how, _)| (Some(at), how));
            let at_once = at.is_none_or(|at| at > second.started);
            let after_done = how == "done" && first.noted && !at_once;
            if at_once || after_done {
                broken = true;
                let what = if at_once {
                    "while another run goes on"
                } else {
                    "after a run has ended done, which was taken note of"
                };
                record.line(&format!(
                    "BROKEN: {} run {} began at {} {what} (run {} at {})",
                    second.task, second.run, second.runner, first.run, first.runner
                ));
            }
        }
    }
    match (broken, &known.unclear) {
        (true, _) => Verdict::Broken,
        (false, Some(why)) => Verdict::Unclear(why.clone()),
        (false, None) => Verdict::Held,
    }
}
