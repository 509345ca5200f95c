//! `hibiscusbarrow evacuate`.

use super::client;
use crate::cli;
use crate::output;
use anyhow::Result;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::config::is_valid_name;
use hibiscusbarrow_model::state::EvacuationReply;

/// Requests or cancels the evacuation of a failure domain and prints the resulting set.
pub fn execute(args: cli::Evacuate) -> Result<()> {
    if !is_valid_name(&args.domain) {
        let detail = format!("{:?} is not a valid name of a failure domain", args.domain);
        return Err(Fault::new(Code::BadRequest, detail).into());
    }
    let method = if args.end {
        http::Method::DELETE
    } else {
        http::Method::PUT
    };
    let path = format!("/v1/evacuations/{}", args.domain);
    let call = client::call(args.gateway, method, &path, None::<&()>);
    let reply: EvacuationReply = client::block_on(call)?;
    output::print(args.json, &reply, format_reply);
    Ok(())
}

fn format_reply(reply: &EvacuationReply) -> String {
    let (domain, region) = (&reply.domain, &reply.region);
    let mut lines = vec![match (reply.evacuated, reply.changed) {
        (true, true) => format!("domain {domain} of region {region} is evacuated"),
        (true, false) => format!("domain {domain} of region {region} was evacuated already"),
        (false, true) => format!("domain {domain} of region {region} gets work again"),
        (false, false) => format!("domain {domain} of region {region} was not evacuated"),
    }];
    for gateway in &reply.pending {
        lines.push(format!("{gateway} has not confirmed it yet"));
    }
    lines.join("\n")
}
