//! `hibiscusbarrow apply`.

use super::client;
use crate::cli;
use crate::output;
use anyhow::Result;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::config::Config;
use hibiscusbarrow_model::state::ApplyReply;
use hibiscusbarrow_model::state::ApplyRequest;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of attempts if a placer takeover, a store outage or a lost answer
/// prevents success.
const MAX_ATTEMPTS: u32 = 20;
/// The delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Applies a configuration file atomically.
pub fn execute(args: cli::Apply) -> Result<()> {
    let text = client::read_file(&args.file)?;
    let file = args.file.display().to_string();
    Config::parse(&file, &text)?;
    let request = ApplyRequest {
        file: file.into(),
        text: text.into(),
        base: args.base,
        operator: args.operator.unwrap_or_else(current_user).into(),
        operation: new_operation_id().into(),
    };
    let reply = client::block_on(send(args.gateway, &request))?;
    output::print(args.json, &reply, |r| {
        format!("generation {} accepted", r.generation)
    });
    Ok(())
}

/// Sends a configuration to a gateway and retries transient failures.
///
/// Retries are idempotent: each carries the same operation identifier.
pub async fn send(gateway: SocketAddr, request: &ApplyRequest) -> Result<ApplyReply> {
    let mut attempts = 1;
    loop {
        let result = client::call(gateway, http::Method::POST, "/v1/config", Some(request)).await;
        let transient = [Code::NotPlacer, Code::AcceptUnknown, Code::StoreDown];
        match result {
            Err(e)
                if attempts < MAX_ATTEMPTS
                    && transient.iter().any(|c| client::has_code(&e, *c)) =>
            {
                attempts += 1;
                compio::time::sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

/// Returns the value of `USER`, or `operator` if it is not set.
pub fn current_user() -> String {
    std::env::var("USER").unwrap_or_else(|_| "operator".to_owned())
}

/// Returns a random identifier, which the retries of one operation share.
pub fn new_operation_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}
