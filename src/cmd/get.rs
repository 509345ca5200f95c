//! `hibiscusbarrow get`.

use super::client;
use crate::cli;
use crate::output;
use anyhow::Result;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::config::Config;
use hibiscusbarrow_model::job::JobView;

/// Prints the configuration, an entry of it, or jobs.
pub fn execute(args: cli::Get) -> Result<()> {
    let name = args.name.as_deref();
    match args.kind.as_str() {
        "jobs" => {
            let jobs: Vec<JobView> = client::block_on(client::get(args.gateway, "/v1/jobs"))?;
            output::print(args.json, &jobs, |jobs| format_jobs(jobs));
        }
        "job" => {
            let path = format!("/v1/jobs/{}", require_name(name)?);
            let job: JobView = client::block_on(client::get(args.gateway, &path))?;
            output::print(args.json, &job, format_job);
        }
        kind => print_config(&args, kind, name)?,
    }
    Ok(())
}

fn print_config(args: &cli::Get, kind: &str, name: Option<&str>) -> Result<()> {
    let body = client::block_on(client::accepted_config(args.gateway))?;
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
        "config" if args.json => output::print(true, &body, |_| String::new()),
        "config" => println!("{}", body.text.trim_end()),
        "accounts" => output::print(args.json, &to_json_values(&config.accounts)?, lines),
        "services" => output::print(args.json, &to_json_values(&config.services)?, lines),
        "account" => {
            let name = require_name(name)?;
            let account = config
                .account(name)
                .ok_or_else(|| unknown_name(kind, name))?;
            output::print(true, account, |_| String::new());
        }
        "service" => {
            let name = require_name(name)?;
            let service = config
                .service(name)
                .ok_or_else(|| unknown_name(kind, name))?;
            output::print(true, service, |_| String::new());
        }
        _ => {
            let detail = format!("{kind:?} is not a kind; see hibiscusbarrow get --help");
            return Err(Fault::new(Code::BadRequest, detail).into());
        }
    }
    Ok(())
}

fn to_json_values(entries: &[impl serde::Serialize]) -> Result<Vec<serde_json::Value>> {
    Ok(entries
        .iter()
        .map(serde_json::to_value)
        .collect::<Result<_, _>>()?)
}

fn require_name(name: Option<&str>) -> Result<&str, Fault> {
    name.ok_or_else(|| Fault::new(Code::BadRequest, "a name is missing"))
}

fn unknown_name(kind: &str, name: &str) -> Fault {
    Fault::new(Code::UnknownName, format!("no {kind} is named {name:?}"))
}

/// Formats jobs as a table with a header.
pub fn format_jobs(jobs: &[JobView]) -> String {
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
    output::format_table(&rows)
}

fn format_job(job: &JobView) -> String {
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
