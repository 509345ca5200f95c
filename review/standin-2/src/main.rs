//! Stand-ins for the platform and the cases of the second review.
//!
//! `review-standin-2 worker ID ADDR CONTROL LOG` runs one worker; `review-standin-2 CASE RECORD`
//! runs a case, and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
//! run. With `TROUBLE=0` in the environment a case leaves its disruption out.

mod advice;
mod cluster;
mod http;
mod lasting;
mod policy;
mod record;
mod relisted;
mod reserved;
mod store;
mod wide;
mod withdrawn;
mod worker;

use record::Record;
use std::process::ExitCode;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Whether the rule held.
pub type Held = bool;

/// Returns the time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

/// Sleeps until a time in milliseconds since the Unix epoch.
pub fn sleep_until(at: u64) {
    std::thread::sleep(Duration::from_millis(at.saturating_sub(unix_ms())));
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    if let ["worker", id, addr, control, log] = words[..] {
        let (Ok(addr), Ok(control)) = (addr.parse(), control.parse()) else {
            return ExitCode::from(2);
        };
        return match worker::run(id, addr, control, log) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("worker {id}: {e}");
                ExitCode::from(2)
            }
        };
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let [name, path] = words[..] else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::new(path);
    let result = match name {
        "withdrawn" => withdrawn::run(record, trouble),
        "advice" => advice::run(record, trouble),
        "wide" => wide::run(record, trouble),
        "reserved" => reserved::run(record, trouble),
        "relisted" => relisted::run(record, trouble),
        "lasting" => lasting::run(record, trouble),
        _ => Err(format!("unknown case {name}")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
