//! The explanations of job outcomes that `explain` derives from logs.

use std::io::Write;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

const JOB: &str = "00000000000000a1";

/// Returns a log line with a time in milliseconds, as the program writes it.
fn line(at: u64, process: &str, event: u16, subject: &str, detail: &str) -> String {
    serde_json::json!({
        "msg": "text", "at": at, "process": process, "event": event,
        "subject": subject, "account": "", "detail": detail,
    })
    .to_string()
}

/// Runs `explain` for [`JOB`] with these log lines on its standard input.
fn explain(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hibiscusbarrow"))
        .args(["explain", JOB])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program can be started");
    let mut input = child.stdin.take().expect("the standard input is piped");
    input
        .write_all(lines.join("\n").as_bytes())
        .expect("the program reads its input");
    drop(input);
    child.wait_with_output().expect("the program ends")
}

/// Returns what a successful `explain` prints.
fn explanation_of(lines: &[String]) -> String {
    let output = explain(lines);
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Returns the line of the decisive event, which starts with `=>`.
fn decisive_line(explanation: &str) -> &str {
    let found = explanation.lines().find(|l| l.starts_with("=>"));
    found.expect("one event is marked as decisive")
}

#[test]
fn rejection_is_traced_to_the_loss_of_the_store() {
    let explanation = explanation_of(&[
        line(100, "g1", 1801, "store", "the time ran out"),
        line(150, "g2", 1801, "store", "the time ran out"),
        line(
            900,
            "g1",
            1609,
            JOB,
            "POST /pairs/a1 status=503 code=HB303 manifest=7 after=90µs",
        ),
    ]);

    assert!(decisive_line(&explanation).contains("g1"), "{explanation}");
    assert!(
        decisive_line(&explanation).contains("E1801"),
        "{explanation}"
    );
    assert!(
        explanation.contains("outcome: refused with status 503"),
        "{explanation}"
    );
    assert!(
        explanation.contains("cause: the store did not answer"),
        "{explanation}"
    );
}

#[test]
fn late_start_is_traced_to_the_takeover_of_the_placer_lease() {
    let explanation = explanation_of(&[
        line(
            1_000,
            "g1",
            1601,
            JOB,
            "queue=q priority=0 steps=1 revision=5",
        ),
        line(2_400, "g2", 1501, "placer", "epoch=9 lease=3"),
        line(2_450, "g2", 1610, JOB, "class=0 waited=5ms (0, 0, 0)#1@n1"),
        line(
            3_450,
            "g2",
            1611,
            JOB,
            "task=(0, 0, 0) run=1 worker=n1 end=Done number=1",
        ),
        line(3_450, "g2", 1604, JOB, "state=Completed"),
    ]);

    assert!(
        decisive_line(&explanation).contains("E1501"),
        "{explanation}"
    );
    assert!(
        explanation.contains("completed 2450 ms after"),
        "{explanation}"
    );
    assert!(
        explanation.contains("cause: 1450 ms: no process was the placer"),
        "{explanation}"
    );
}

#[test]
fn preempted_run_is_traced_to_the_urgent_job() {
    let explanation = explanation_of(&[
        line(0, "g1", 1601, JOB, "queue=q priority=2 steps=1 revision=5"),
        line(10, "g1", 1610, JOB, "class=4 waited=0ns (0, 0, 0)#1@n1"),
        line(
            6_000,
            "g1",
            1606,
            JOB,
            "task=(0, 0, 0) for=00000000000000ff cost=80",
        ),
        line(
            6_000,
            "g1",
            1612,
            JOB,
            "task=(0, 0, 0) run=1 worker=n1: preempted",
        ),
        line(
            6_500,
            "g1",
            1611,
            JOB,
            "task=(0, 0, 0) run=1 worker=n1 end=Stopped number=2",
        ),
        line(6_600, "g1", 1610, JOB, "class=4 waited=6s (0, 0, 0)#2@n2"),
        line(
            12_600,
            "g1",
            1611,
            JOB,
            "task=(0, 0, 0) run=2 worker=n2 end=Done number=3",
        ),
        line(12_600, "g1", 1604, JOB, "state=Completed"),
    ]);

    assert!(
        decisive_line(&explanation).contains("E1606"),
        "{explanation}"
    );
    let cause = "cause: 6490 ms of a run were lost: it was stopped for job 00000000000000ff";
    assert!(explanation.contains(cause), "{explanation}");
}

/// The clock of g2 is behind that of g1: by its times alone, the job would start before it
/// was accepted.
#[test]
fn clock_that_is_behind_is_corrected_by_the_order_of_events() {
    let output = explain(&[
        line(
            50_000,
            "g1",
            1601,
            JOB,
            "queue=q priority=1 steps=1 revision=5",
        ),
        line(20_000, "g2", 1610, JOB, "class=3 waited=0ns (0, 0, 0)#1@n1"),
        line(
            21_000,
            "g2",
            1611,
            JOB,
            "task=(0, 0, 0) run=1 worker=n1 end=Done number=1",
        ),
        line(21_000, "g2", 1604, JOB, "state=Completed"),
    ]);

    let explanation = String::from_utf8_lossy(&output.stdout);
    let accepted = explanation.find("E1601").expect("the event is listed");
    let placed = explanation.find("E1610").expect("the event is listed");
    assert!(accepted < placed, "{explanation}");
    assert!(
        explanation.contains("completed 1000 ms after"),
        "{explanation}"
    );
    let notes = String::from_utf8_lossy(&output.stderr);
    assert!(
        notes.contains("the clock of g2 was behind by 30000 ms"),
        "{notes}"
    );
}

#[test]
fn prefixes_of_events_and_lines_without_an_event_are_skipped() {
    let event = line(10, "g1", 1604, JOB, "state=Failed");
    let explanation = explanation_of(&[
        "a banner".to_owned(),
        format!("  12.5 g1 {}", line(0, "g1", 1601, JOB, "queue=q")),
        format!("  13.0 g1 {event}"),
        "{\"event\": \"not a number\"}".to_owned(),
    ]);

    assert!(
        explanation.contains("outcome: shown as failed"),
        "{explanation}"
    );
}

#[test]
fn job_that_is_not_in_the_log_is_an_error() {
    let output = explain(&[line(0, "g1", 1001, "g1", "gateway")]);

    assert_eq!(output.status.code(), Some(1));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains(&format!("nothing about {JOB}")), "{errors}");
}

/// A job that was given up because its task crashed workers has no failed run to name.
#[test]
fn failure_is_traced_to_the_crashes_of_workers() {
    let explanation = explanation_of(&[
        line(100, "g1", 1601, JOB, "queue=q"),
        line(110, "g1", 1610, JOB, "class=3 (0, 0, 0)#1@s1"),
        line(900, "g1", 1707, "s1", "boot=w1 runs=1 alone=true"),
        line(
            901,
            "g1",
            1619,
            JOB,
            "task=(0, 0, 0) run=3 worker=s1 crashes=3 alone=2 prompt=2",
        ),
        line(902, "g1", 1604, JOB, "state=Failed"),
    ]);

    assert!(explanation.contains("workers crashed under one of its tasks"));
    assert!(decisive_line(&explanation).contains("E1619"));
}

/// Guards against a job that waits for the end of an evacuation and is said to wait for
/// capacity alone, also if the request was made long before the job.
#[test]
fn wait_beside_an_evacuated_domain_names_the_domain() {
    let explanation = explanation_of(&[
        line(100, "g1", 1711, "qc-saguenay", "region=quebec"),
        line(200, "g1", 1711, "qc-montreal", "region=quebec"),
        line(300, "g1", 1712, "qc-saguenay", "region=quebec"),
        line(90_000, "g1", 1601, JOB, ""),
        line(95_000, "g1", 1609, JOB, "POST /pairs/a1 status=304"),
    ]);

    assert!(
        explanation.contains("no worker outside the evacuated domain qc-montreal"),
        "{explanation}"
    );
    assert!(decisive_line(&explanation).contains("E1711 qc-montreal"));
}
