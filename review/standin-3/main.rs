//! The cases of the review that are scripts: starts the project's programs beside stand-ins,
//! brings one disruption about, and checks a rule by what clients and runners have seen.

mod fleet;
mod held_case;
mod http;
mod json;
mod manifest_case;
mod runner;
mod store;
mod stray_case;
mod trial_case;
mod waiting;

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// The file with what was sent, answered and run, with the seconds since the start.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    pub fn at(&self, time: Instant) -> f64 {
        time.saturating_duration_since(self.began).as_secs_f64()
    }
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run.
    Unclear(String),
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, record] = words.as_slice() else {
        eprintln!("usage: cases CASE RECORD-FILE");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let file = File::create(record).expect("the record can be written");
    let record = std::sync::Arc::new(Record {
        file: Mutex::new(file),
        began: Instant::now(),
    });
    record.line(&format!("case {case}, trouble {trouble}"));
    let verdict = match case.as_str() {
        "stray-start" => stray_case::run(&record, trouble),
        "manifest" => manifest_case::run(&record, trouble),
        "held" => held_case::run(&record, trouble),
        "trial" => trial_case::run(&record, trouble),
        other => Verdict::Unclear(format!("no case {other}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::Unclear(why) => (format!("the case could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{case}, trouble {trouble}: {text}");
    std::process::exit(code);
}
