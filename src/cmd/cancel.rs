//! `hibiscusbarrow cancel`.

use super::client;
use crate::cli;
use crate::output;
use anyhow::Result;
use hibiscusbarrow_model::job::JobView;

/// Cancels a job and prints its state.
pub fn execute(args: cli::Cancel) -> Result<()> {
    let path = format!("/v1/jobs/{}", args.name);
    let call = client::call(args.gateway, http::Method::DELETE, &path, None::<&()>);
    let view: JobView = client::block_on(call)?;
    output::print(args.json, &view, |v| {
        format!("job {} {}", v.spec.name, v.state)
    });
    Ok(())
}
