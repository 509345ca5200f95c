//! Plays one case of the review: `standin CASE RECORD`, with `TROUBLE=0` without its disruption.
//!
//! Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod runner;
mod store;

use record::Record;
use std::time::Duration;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(name), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    fleet::limit_time(Duration::from_secs(115));
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{path}: {e}");
            std::process::exit(2);
        }
    };
    record.note("bench", &format!("case {name}, trouble={trouble}"));
    let played = cases::play(name, trouble, record.clone());
    let breaks = record.breaks();
    let code = match &played {
        Err(e) => {
            record.note("bench", &format!("the case could not run: {e}"));
            println!("{name}: could not run: {e}");
            2
        }
        Ok(()) if breaks.is_empty() => {
            record.note("bench", "the rule held");
            println!("{name}: the rule held");
            0
        }
        Ok(()) => {
            record.note("bench", &format!("{} breaks of a rule", breaks.len()));
            println!("{name}: {} breaks; the first: {}", breaks.len(), breaks[0]);
            1
        }
    };
    std::process::exit(code);
}
