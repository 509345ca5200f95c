//! `hibiscusbarrow get`.

use super::client;
use crate::cli;
use crate::output;
use anyhow::Result;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::config::Config;
use hibiscusbarrow_model::job::JobView;

/// Shows the configuration or an entry of it.
pub fn execute(args: cli::Get) -> Result<()> {
    let name = args.name.as_deref();
    match args.kind.as_str() {
        "jobs" => {
            let jobs: Vec<JobView> = client::block_on(client::get(args.gateway, "/v1/jobs"))?;
            output::show(args.json, &jobs, |jobs| job_table(jobs));
        }
        "job" => {
            let path = format!("/v1/jobs/{}", require(name)?);
            let job: JobView = client::block_on(client::get(args.gateway, &path))?;
            output::show(args.json, &job, job_text);
        }
        kind => show_config(&args, kind, name)?,
    }
    Ok(())
}

fn show_config(args: &cli::Get, kind: &str, name: Option<&str>) -> Result<()> {
    let body = client::block_on(client::accepted(args.gateway))?;
    let body = body.ok_or_else(|| Fault::new(Code::NotReady, Code::NotReady.meaning()))?;
    let config = Config::parse("accepted configuration", &body.text)?;
    let lines = |values: &Vec<serde_json::Value>| {
        values
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("\n")
    };
    match kind {
        "config" if args.json => output::show(true, &body, |_| String::new()),
        "config" => println!("{}", body.text.trim_end()),
        "accounts" => output::show(args.json, &values(&config.accounts)?, lines),
        "services" => output::show(args.json, &values(&config.services)?, lines),
        "account" => {
            let name = require(name)?;
            let account = config.account(name).ok_or_else(|| unknown(kind, name))?;
            output::show(true, account, |_| String::new());
        }
        "service" => {
            let name = require(name)?;
            let service = config.service(name).ok_or_else(|| unknown(kind, name))?;
            output::show(true, service, |_| String::new());
        }
        _ => {
            let detail = format!("{kind:?} is not a kind; see hibiscusbarrow get --help");
            return Err(Fault::new(Code::BadRequest, detail).into());
        }
    }
    Ok(())
}

fn values(entries: &[impl serde::Serialize]) -> Result<Vec<serde_json::Value>> {
    Ok(entries
        .iter()
        .map(serde_json::to_value)
        .collect::<Result<_, _>>()?)
}

fn require(name: Option<&str>) -> Result<&str, Fault> {
    name.ok_or_else(|| Fault::new(Code::BadRequest, "a name is missing"))
}

fn unknown(kind: &str, name: &str) -> Fault {
    Fault::new(Code::UnknownName, format!("no {kind} is named {name:?}"))
}

/// Lays jobs out in a table.
pub fn job_table(jobs: &[JobView]) -> String {
    let mut rows = vec![
        ["JOB", "ACCOUNT", "GANG", "STATE", "REASON"]
            .map(String::from)
            .to_vec(),
    ];
    for job in jobs {
        rows.push(vec![
            job.spec.name.to_string(),
            job.spec.account.to_string(),
            format!("{} x {:?}", job.spec.count, job.spec.shape).to_lowercase(),
            job.state.to_string(),
            job.reason.to_string(),
        ]);
    }
    output::table(&rows)
}

fn job_text(job: &JobView) -> String {
    let mut lines = vec![
        format!("job        {}", job.spec.name),
        format!("account    {}", job.spec.account),
        format!("gang       {} x {:?}", job.spec.count, job.spec.shape).to_lowercase(),
        format!("state      {}", job.state),
    ];
    if !job.reason.is_empty() {
        lines.push(format!("reason     {}", job.reason));
    }
    if !job.workers.is_empty() {
        lines.push(format!("guaranteed {}", job.guaranteed));
        lines.push(format!("workers    {}", job.workers.join(" ")));
    }
    lines.join("\n")
}
