//! Lists the differences between two configurations.

use crate::config::Config;
use serde::Serialize;

/// Returns one line for each entry that is added, removed or changed from `old` to `new`.
pub fn changes(old: &Config, new: &Config) -> Vec<String> {
    let mut lines = Vec::new();
    compare(
        "account",
        &old.accounts,
        &new.accounts,
        |a| &a.name,
        &mut lines,
    );
    compare(
        "service",
        &old.services,
        &new.services,
        |s| &s.name,
        &mut lines,
    );
    compare("job", &old.jobs, &new.jobs, |j| &j.name, &mut lines);
    lines
}

fn compare<T: PartialEq + Serialize>(
    kind: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &smol_str::SmolStr,
    lines: &mut Vec<String>,
) {
    for entry in old {
        match new.iter().find(|n| name(n) == name(entry)) {
            None => lines.push(format!("- {kind} {}", name(entry))),
            Some(changed) if changed != entry => {
                let (before, after) = (render(entry), render(changed));
                lines.push(format!("~ {kind} {}: {before} -> {after}", name(entry)));
            }
            Some(_) => {}
        }
    }
    for entry in new {
        if !old.iter().any(|o| name(o) == name(entry)) {
            lines.push(format!("+ {kind} {}: {}", name(entry), render(entry)));
        }
    }
}

fn render(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
