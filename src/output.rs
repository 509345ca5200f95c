//! Output of commands and their exit codes.

use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use serde::Serialize;
use std::process::ExitCode;

/// An internal error.
const EXIT_INTERNAL: u8 = 1;
/// The input is invalid.
const EXIT_BAD_INPUT: u8 = 3;
/// The system refused the request and changed nothing.
const EXIT_REFUSED: u8 = 4;
/// The system or a part of it is unreachable.
const EXIT_UNAVAILABLE: u8 = 5;
/// The outcome is unknown; the request may have taken effect.
const EXIT_UNKNOWN: u8 = 6;

/// Prints an error to standard error and returns the exit code of its result code.
pub fn report(error: &anyhow::Error) -> ExitCode {
    eprintln!("error: {error:#}");
    let code = error
        .downcast_ref::<Fault>()
        .map_or(EXIT_INTERNAL, |f| exit_code(f.code));
    ExitCode::from(code)
}

fn exit_code(code: Code) -> u8 {
    match code {
        Code::OutcomeUnknown | Code::AcceptUnknown | Code::Truncated | Code::WrongAnswer => {
            EXIT_UNKNOWN
        }
        Code::StoreDown | Code::PeerDown | Code::NotPlacer | Code::NotReady => EXIT_UNAVAILABLE,
        Code::Internal => EXIT_INTERNAL,
        Code::BadRequest => EXIT_BAD_INPUT,
        other if other.number() < 200 => EXIT_BAD_INPUT,
        _ => EXIT_REFUSED,
    }
}

/// Prints a value to standard output as JSON, or as the text that `text` returns.
pub fn print<T: Serialize>(json: bool, value: &T, text: impl Fn(&T) -> String) {
    if json {
        let rendered = serde_json::to_string_pretty(value);
        println!("{}", rendered.expect("the value serialises to JSON"));
    } else {
        println!("{}", text(value).trim_end());
    }
}

/// Aligns the cells of rows in columns two spaces apart.
pub fn format_table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |c: usize| rows.iter().filter_map(|r| r.get(c)).map(String::len).max();
    let widths: Vec<usize> = (0..columns).map(|c| width(c).unwrap_or(0)).collect();
    let line = |row: &Vec<String>| {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, w)| format!("{cell:<w$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}
