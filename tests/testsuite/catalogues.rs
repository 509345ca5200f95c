//! The guide lists all result codes, events and pages, and `io-uring` is not a dependency.

use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::event::Event;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Returns the text of a file in the repository.
fn read(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

#[test]
fn guide_lists_every_result_code_and_no_other() {
    let rows = Code::ALL
        .iter()
        .map(|c| format!("| {c} | {:?} | {} | {} |", c, c.status(), c.meaning()));

    let expected: Vec<String> = rows.collect();

    let page = read("docs/reference/result-codes.md");
    let found: Vec<&str> = page.lines().filter(|l| l.starts_with("| HB")).collect();
    assert_eq!(found, expected);
}

#[test]
fn guide_lists_every_event_and_no_other() {
    let rows = Event::ALL
        .iter()
        .map(|e| format!("| {e} | {e:?} | {} |", e.meaning()));

    let expected: Vec<String> = rows.collect();

    let page = read("docs/reference/events.md");
    let found: Vec<&str> = page.lines().filter(|l| l.starts_with("| E")).collect();
    assert_eq!(found, expected);
}

#[test]
fn numbers_of_result_codes_and_events_are_unique() {
    let codes: BTreeSet<u16> = Code::ALL.iter().map(|c| c.number()).collect();
    let events: BTreeSet<u16> = Event::ALL.iter().map(|e| e.number()).collect();

    assert_eq!(codes.len(), Code::ALL.len());
    assert_eq!(events.len(), Event::ALL.len());
}

#[test]
fn io_uring_is_not_a_dependency() {
    let lock = read("Cargo.lock");

    assert!(!lock.contains("name = \"io-uring\""));
}

#[test]
fn summary_of_the_guide_lists_every_page_and_no_missing_one() {
    let summary = read("docs/SUMMARY.md");
    let linked: BTreeSet<&str> = summary
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next())
        .collect();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");

    let mut pages = Vec::new();
    collect_pages(&root, "", &mut pages);

    for page in &pages {
        assert!(
            linked.contains(page.as_str()),
            "SUMMARY.md does not list {page}"
        );
    }
    assert_eq!(
        pages.len(),
        linked.len(),
        "SUMMARY.md lists a page that does not exist"
    );
}

/// Collects the paths of all pages below a directory, except `SUMMARY.md`.
fn collect_pages(dir: &Path, prefix: &str, pages: &mut Vec<String>) {
    for entry in fs::read_dir(dir).expect("the directory of the guide is readable") {
        let entry = entry.expect("the entry is readable");
        let name = entry.file_name().to_string_lossy().into_owned();
        let path = format!("{prefix}{name}");
        if entry.path().is_dir() {
            collect_pages(&entry.path(), &format!("{path}/"), pages);
        } else if name.ends_with(".md") && name != "SUMMARY.md" {
            pages.push(path);
        }
    }
}
