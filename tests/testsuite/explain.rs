//! The stories that `explain` tells from logs.

use std::io::Write;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

const JOB: &str = "00000000000000a1";

/// Returns a line of a log: time in milliseconds, process, event, subject, detail.
fn line(at: u64, process: &str, event: u16, subject: &str, detail: &str) -> String {
    serde_json::json!({
        "msg": "text", "at": at, "process": process, "event": event,
        "subject": subject, "account": "", "detail": detail,
    })
    .to_string()
}

fn explain(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hibiscusbarrow"))
        .args(["explain", JOB])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut input = child.stdin.take().expect("its input is piped");
    input
        .write_all(lines.join("\n").as_bytes())
        .expect("the input is taken");
    drop(input);
    child.wait_with_output().expect("the program ends")
}

fn story(lines: &[String]) -> String {
    let output = explain(lines);
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn marked(story: &str) -> &str {
    let found = story.lines().find(|l| l.starts_with("=>"));
    found.expect("one event is marked")
}

#[test]
fn refusal_is_traced_to_the_loss_of_the_store() {
    let told = story(&[
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

    assert!(marked(&told).contains("g1"), "{told}");
    assert!(marked(&told).contains("E1801"), "{told}");
    assert!(told.contains("outcome: refused with status 503"), "{told}");
    assert!(told.contains("cause: the store was lost"), "{told}");
}

#[test]
fn late_start_is_traced_to_the_takeover() {
    let told = story(&[
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

    assert!(marked(&told).contains("E1501"), "{told}");
    assert!(told.contains("completed 2450 ms after"), "{told}");
    assert!(
        told.contains("cause: 1450 ms: no process was the placer"),
        "{told}"
    );
}

#[test]
fn run_that_made_way_is_traced_to_the_urgent_job() {
    let told = story(&[
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

    assert!(marked(&told).contains("E1606"), "{told}");
    let cause = "cause: 6490 ms of a run were lost: it was stopped for job 00000000000000ff";
    assert!(told.contains(cause), "{told}");
}

#[test]
fn clock_that_is_behind_is_corrected_by_what_came_first() {
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

    let told = String::from_utf8_lossy(&output.stdout);
    let accepted = told.find("E1601").expect("it is told");
    let placed = told.find("E1610").expect("it is told");
    assert!(accepted < placed, "{told}");
    assert!(told.contains("completed 1000 ms after"), "{told}");
    let notes = String::from_utf8_lossy(&output.stderr);
    assert!(
        notes.contains("the clock of g2 was behind by 30000 ms"),
        "{notes}"
    );
}

#[test]
fn text_before_an_event_and_lines_without_one_are_passed_over() {
    let event = line(10, "g1", 1604, JOB, "state=Failed");
    let told = story(&[
        "a banner".to_owned(),
        format!("  12.5 g1 {}", line(0, "g1", 1601, JOB, "queue=q")),
        format!("  13.0 g1 {event}"),
        "{\"event\": \"not a number\"}".to_owned(),
    ]);

    assert!(told.contains("outcome: shown as failed"), "{told}");
}

#[test]
fn job_that_no_line_names_is_an_error() {
    let output = explain(&[line(0, "g1", 1001, "g1", "gateway")]);

    assert_eq!(output.status.code(), Some(1));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains(&format!("nothing about {JOB}")), "{errors}");
}
