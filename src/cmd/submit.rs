//! `hibiscusbarrow submit`.

use super::client;
use super::renew::parse_shape;
use crate::cli;
use crate::output;
use anyhow::Result;
use hibiscusbarrow_model::job::JobSpec;
use hibiscusbarrow_model::job::JobView;

/// Submits a job and prints that it was accepted, which means that it is stored.
pub fn execute(args: cli::Submit) -> Result<()> {
    let spec = JobSpec {
        name: args.name.into(),
        account: args.account.into(),
        shape: parse_shape(&args.shape)?,
        count: args.count.unwrap_or(1),
        runtime_ms: args.runtime_ms.unwrap_or(0),
        urgent: args.urgent,
        idempotent: args.idempotent,
    };
    let call = client::call(args.gateway, http::Method::POST, "/v1/jobs", Some(&spec));
    let view: JobView = client::block_on(call)?;
    output::print(args.json, &view, |v| {
        format!("job {} accepted", v.spec.name)
    });
    Ok(())
}
