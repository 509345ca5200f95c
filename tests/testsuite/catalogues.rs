//! The catalogues in the guide and the state of the tree, against the code.

use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::event::Event;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

fn read(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

#[test]
fn every_result_code_stands_in_the_guide_and_no_other() {
    let rows = Code::ALL
        .iter()
        .map(|c| format!("| {c} | {:?} | {} | {} |", c, c.status(), c.meaning()));

    let expected: Vec<String> = rows.collect();

    let page = read("docs/reference/result-codes.md");
    let found: Vec<&str> = page.lines().filter(|l| l.starts_with("| HB")).collect();
    assert_eq!(found, expected);
}

#[test]
fn every_event_stands_in_the_guide_and_no_other() {
    let rows = Event::ALL
        .iter()
        .map(|e| format!("| {e} | {e:?} | {} |", e.meaning()));

    let expected: Vec<String> = rows.collect();

    let page = read("docs/reference/events.md");
    let found: Vec<&str> = page.lines().filter(|l| l.starts_with("| E")).collect();
    assert_eq!(found, expected);
}

#[test]
fn numbers_are_unique() {
    let codes: BTreeSet<u16> = Code::ALL.iter().map(|c| c.number()).collect();
    let events: BTreeSet<u16> = Event::ALL.iter().map(|e| e.number()).collect();

    assert_eq!(codes.len(), Code::ALL.len());
    assert_eq!(events.len(), Event::ALL.len());
}

#[test]
fn io_uring_is_not_in_the_tree() {
    let lock = read("Cargo.lock");

    assert!(!lock.contains("name = \"io-uring\""));
}

#[test]
fn every_page_of_the_guide_is_in_its_summary() {
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
            "{page} is not in SUMMARY.md"
        );
    }
    assert_eq!(
        pages.len(),
        linked.len(),
        "SUMMARY.md names a page that is missing"
    );
}

fn collect_pages(dir: &Path, prefix: &str, pages: &mut Vec<String>) {
    for entry in fs::read_dir(dir).expect("the guide is there") {
        let entry = entry.expect("it is readable");
        let name = entry.file_name().to_string_lossy().into_owned();
        let path = format!("{prefix}{name}");
        if entry.path().is_dir() {
            collect_pages(&entry.path(), &format!("{path}/"), pages);
        } else if name.ends_with(".md") && name != "SUMMARY.md" {
            pages.push(path);
        }
    }
}
