//! `hibiscusbarrow renew`.

use super::apply;
use super::client;
use crate::cli;
use crate::output;
use anyhow::Result;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::config::Config;
use hibiscusbarrow_model::state::ApplyRequest;
use hibiscusbarrow_placement::Shape;
use hibiscusbarrow_placement::ShapeCount;

/// Applies the accepted configuration with one guarantee raised.
pub fn execute(args: cli::Renew) -> Result<()> {
    let shape = parse_shape(&args.shape)?;
    let reply = client::block_on(async {
        let body = client::accepted_config(args.gateway).await?;
        let body = body.ok_or_else(|| Fault::new(Code::NotReady, Code::NotReady.meaning()))?;
        let mut config = Config::parse("accepted configuration", &body.text)?;
        raise_quota(&mut config, &args.account, shape, args.count)?;
        let request = ApplyRequest {
            file: "renewal".into(),
            text: serde_json::to_string_pretty(&config)?.into(),
            base: Some(body.root.generation),
            operator: apply::current_user().into(),
            operation: apply::new_operation_id().into(),
        };
        apply::send(args.gateway, &request).await
    })?;
    output::print(args.json, &reply, |r| {
        format!("generation {} accepted", r.generation)
    });
    Ok(())
}

fn raise_quota(config: &mut Config, name: &str, shape: Shape, count: u32) -> Result<(), Fault> {
    let account = config.accounts.iter_mut().find(|a| a.name == name);
    let unknown = || Fault::new(Code::UnknownName, format!("no account is named {name:?}"));
    let account = account.ok_or_else(unknown)?;
    let current = account.quota_by_shape().get(&shape).copied().unwrap_or(0);
    if count < current {
        let detail = format!("account {name:?} is guaranteed {current} x {shape:?} already");
        return Err(Fault::new(Code::QuotaShrinks, detail));
    }
    account.quota.retain(|q| q.shape != shape);
    account.quota.push(ShapeCount { shape, count });
    Ok(())
}

/// Parses the name of a shape.
pub fn parse_shape(text: &str) -> Result<Shape, Fault> {
    serde_json::from_value(text.into()).map_err(|_| {
        let detail = format!("{text:?} is not accelerator, pair, quad or worker");
        Fault::new(Code::BadRequest, detail)
    })
}
