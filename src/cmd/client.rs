//! HTTP calls to a gateway, shared by the operators' commands.

use anyhow::Context;
use anyhow::Result;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::state::ConfigBody;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The timeout for one call to a gateway.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a future to completion on a new runtime.
pub fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = compio::runtime::Runtime::new().context("starting the runtime")?;
    runtime.block_on(future)
}

/// Reads a text file; an error names the file.
pub fn read_file(path: &Path) -> Result<String> {
    let fault = |e: std::io::Error| Fault::new(Code::Syntax, format!("{}: {e}", path.display()));
    Ok(std::fs::read_to_string(path).map_err(fault)?)
}

/// Calls a gateway and parses its JSON response.
///
/// # Errors
///
/// Fails with [`Code::PeerDown`] if the gateway does not respond within [`CALL_TIMEOUT`],
/// and with the [`Fault`] in the response if the status is not a success.
pub async fn call<T: DeserializeOwned>(
    gateway: SocketAddr,
    method: http::Method,
    path: &str,
    body: Option<&impl Serialize>,
) -> Result<T> {
    let client = cyper::Client::new()?;
    let mut request = client.request(method, format!("http://{gateway}{path}"))?;
    if let Some(body) = body {
        request = request.body(serde_json::to_vec(body)?);
    }
    let unreachable = |detail: String| Fault::new(Code::PeerDown, format!("{gateway}: {detail}"));
    let exchange = async {
        let response = request
            .send()
            .await
            .map_err(|e| unreachable(e.to_string()))?;
        let status = response.status();
        let bytes = response
            .bytes()
            .await
            .map_err(|e| unreachable(e.to_string()))?;
        Ok::<_, Fault>((status, bytes))
    };
    let result = compio::time::timeout(CALL_TIMEOUT, exchange).await;
    let (status, bytes) = result.map_err(|_| unreachable("the call timed out".into()))??;
    if !status.is_success() {
        let fault: Fault = serde_json::from_slice(&bytes)
            .with_context(|| format!("{gateway} answered {status} without a result code"))?;
        return Err(fault.into());
    }
    serde_json::from_slice(&bytes).with_context(|| format!("reading the answer of {gateway}"))
}

/// Sends a GET request to a gateway and parses its JSON response.
pub async fn get<T: DeserializeOwned>(gateway: SocketAddr, path: &str) -> Result<T> {
    call(gateway, http::Method::GET, path, None::<&()>).await
}

/// Returns the accepted configuration, or `None` before the first one.
pub async fn accepted_config(gateway: SocketAddr) -> Result<Option<ConfigBody>> {
    match get(gateway, "/v1/config").await {
        Ok(body) => Ok(Some(body)),
        Err(e) if has_code(&e, Code::NotReady) => Ok(None),
        Err(e) => Err(e),
    }
}

/// Returns whether an error is a [`Fault`] with this result code.
pub fn has_code(error: &anyhow::Error, code: Code) -> bool {
    error
        .downcast_ref::<Fault>()
        .is_some_and(|f| f.code == code)
}
