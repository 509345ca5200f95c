//! Termination signals.

use hibiscusbarrow_adapters::signal::termination;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;

/// Set in the process that receives the signals.
const CHILD_VAR: &str = "SIGNAL_TEST_CHILD";
/// Signals that are sent while the process is stopped, so that any of its threads may receive them.
const ROUNDS: usize = 30_000;

/// A termination signal that reaches a thread while it starts aborts no process.
#[test]
fn signal_in_a_starting_thread_does_not_abort_the_process() {
    if std::env::var_os(CHILD_VAR).is_some() {
        start_threads_and_wait_for_signals();
    }
    let mut child = spawn_child();
    let pid = Pid::from_child(&child);

    let is_running = (0..ROUNDS).all(|_| {
        let signals = [Signal::STOP, Signal::TERM, Signal::CONT];
        let sent = signals.iter().all(|s| kill_process(pid, *s).is_ok());
        sent && matches!(child.try_wait(), Ok(None))
    });

    let _ = child.kill();
    let status = child.wait().expect("the process ends");
    assert!(is_running, "the process has ended: {status}");
}

/// Starts this test in a process of its own, and waits until it handles signals.
fn spawn_child() -> Child {
    let program = std::env::current_exe().expect("the test has a path");
    let name = "signal_in_a_starting_thread_does_not_abort_the_process";
    let mut child = Command::new(program)
        .args([name, "--exact", "--nocapture"])
        .env(CHILD_VAR, "1")
        .stdout(Stdio::piped())
        .spawn()
        .expect("the process can be started");
    let output = BufReader::new(child.stdout.take().expect("the output is piped"));
    let mut lines = output.lines().map_while(Result::ok);
    assert!(lines.any(|l| l.ends_with("ready")), "the process starts");
    child
}

/// Handles termination signals without end while threads start and end.
fn start_threads_and_wait_for_signals() -> ! {
    for _ in 0..3 {
        thread::spawn(|| {
            loop {
                let _ = thread::spawn(|| {}).join();
            }
        });
    }
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        // With several waiters, one is registered at any time.
        for _ in 0..3 {
            compio::runtime::spawn(async {
                loop {
                    termination().await;
                }
            })
            .detach();
        }
        compio::time::sleep(std::time::Duration::from_millis(100)).await;
        println!("ready");
        std::future::pending().await
    })
}
