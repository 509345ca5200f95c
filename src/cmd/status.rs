//! `hibiscusbarrow status`.

use super::client;
use super::get::format_jobs;
use crate::cli;
use crate::output;
use anyhow::Result;
use hibiscusbarrow_model::state::EvacuationsView;
use hibiscusbarrow_model::state::Status;

/// Prints the members, their configuration generations and the placement.
pub fn execute(args: cli::Status) -> Result<()> {
    let status: Status = client::block_on(client::get(args.gateway, "/v1/status"))?;
    output::print(args.json, &status, format_status);
    Ok(())
}

fn format_status(status: &Status) -> String {
    let mut rows = vec![
        ["MEMBER", "ROLE", "STATE", "GENERATION", "SERVICE"]
            .map(String::from)
            .to_vec(),
    ];
    for member in &status.members {
        rows.push(vec![
            member.name.to_string(),
            member.role.to_string(),
            member.state.to_string(),
            member.generation.to_string(),
            member.service.to_string(),
        ]);
    }
    let mut lines = vec![output::format_table(&rows)];
    lines.extend(format_evacuations(&status.evacuations));
    match &status.placer {
        None => lines.push("no placer of the region answers".to_owned()),
        Some(placer) => {
            lines.push(format!(
                "placer epoch {}: {} workers, {} of {} accelerators in use",
                placer.epoch, placer.workers, placer.used, placer.accelerators
            ));
            for entry in &placer.shortfall {
                lines.push(format!(
                    "guarantees lack {} x {:?}: hardware is out of service or evacuated",
                    entry.count, entry.shape
                ));
            }
            if !placer.jobs.is_empty() {
                lines.push(format_jobs(&placer.jobs));
            }
        }
    }
    lines.join("\n")
}

/// Lists the evacuated domains, and how old the set is.
fn format_evacuations(view: &EvacuationsView) -> Vec<String> {
    let age = match view.age_ms {
        Some(age) => format!("confirmed {age} ms ago"),
        None => "not known yet".to_owned(),
    };
    let mut lines = Vec::new();
    for (region, set) in &view.regions {
        for domain in &set.domains {
            lines.push(format!(
                "domain {domain} of region {region} is evacuated, {age}"
            ));
        }
    }
    if view.age_ms.is_none() {
        lines.push(format!("evacuations: {age}"));
    }
    lines
}
