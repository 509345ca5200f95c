//! A stand-in for an upstream: announces itself to a sidecar, responds to requests
//! and counts every run.

use compio::net::TcpListener;
use hibiscusbarrow_adapters::http::HttpClient;
use hibiscusbarrow_adapters::http::Limits;
use hibiscusbarrow_adapters::http::Reply;
use hibiscusbarrow_adapters::http::Request;
use hibiscusbarrow_adapters::http::fault_reply;
use hibiscusbarrow_adapters::http::json_reply;
use hibiscusbarrow_adapters::http::serve as serve_http;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_model::state::Announcement;
use http::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// The timeout of an announcement to the sidecar.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The settings of an upstream stand-in.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// The service, address and capacity that it announces.
    pub announcement: Announcement,
    /// The sidecar that receives the announcements; `None` to announce nothing.
    pub sidecar: Option<SocketAddr>,
    /// A file to which the idempotency key of each run, or else its request identifier, is
    /// appended on a line of its own before the request is answered.
    pub journal: Option<PathBuf>,
}

/// How the stand-in responds to requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamFault {
    /// Responds normally.
    #[default]
    None,
    /// Runs the request and responds with status 500.
    Fail,
    /// Never responds; the request counts as running.
    Hang,
    /// Responds with the identifier of another request.
    Cross,
}

#[derive(Debug, Default, Serialize)]
struct RunCounts {
    /// The runs of each idempotency key, or of each request identifier without a key.
    runs: BTreeMap<String, u64>,
    total: u64,
    running: u64,
    /// The most requests that were running at the same time.
    #[serde(rename = "most")]
    max_running: u64,
}

#[derive(Default)]
struct State {
    counts: RunCounts,
    fault: UpstreamFault,
    journal: Option<File>,
}

/// Serves the upstream until `stop` is raised and its sidecar has been notified.
///
/// The listener stays open until then, as the sidecar may still forward requests.
///
/// # Errors
///
/// Returns an error if the journal cannot be opened.
pub async fn serve(
    listener: TcpListener,
    settings: UpstreamSettings,
    stop: Flag,
) -> anyhow::Result<()> {
    let journal = match &settings.journal {
        Some(path) => Some(OpenOptions::new().append(true).create(true).open(path)?),
        None => None,
    };
    let state = Rc::new(RefCell::new(State {
        journal,
        ..State::default()
    }));
    let departed = Flag::default();
    let signal = departed.clone();
    compio::runtime::spawn(async move {
        match settings.sidecar {
            Some(sidecar) => announce(settings.announcement, sidecar, stop).await,
            None => stop.wait().await,
        }
        signal.raise();
    })
    .detach();
    let handler = move |request| handle(state.clone(), request);
    serve_http(listener, Limits::default(), departed, handler).await;
    Ok(())
}

/// Announces the upstream periodically until `stop` is raised, then announces its
/// departure.
///
/// The sidecar responds to the departure only once no request is in flight.
async fn announce(announcement: Announcement, sidecar: SocketAddr, stop: Flag) {
    let client = HttpClient::default();
    while !stop.is_raised() {
        let call = client.post_json::<serde_json::Value>(
            sidecar,
            "/v1/announce",
            &announcement,
            CALL_TIMEOUT,
        );
        let _ = call.await;
        let interval = Box::pin(compio::time::sleep(ANNOUNCE_INTERVAL));
        let stopped = Box::pin(stop.wait());
        futures_util::future::select(interval, stopped).await;
    }
    let leave_timeout = Duration::from_secs(120);
    let _ = client
        .post_json::<serde_json::Value>(sidecar, "/v1/leave", &announcement, leave_timeout)
        .await;
}

async fn handle(state: Rc<RefCell<State>>, request: Request) -> Reply {
    match request.path.as_str() {
        "/standin/runs" => json_reply(200, &state.borrow().counts),
        "/standin/fault" => match request.json::<UpstreamFault>() {
            Ok(fault) => {
                state.borrow_mut().fault = fault;
                json_reply(200, &fault)
            }
            Err(error) => fault_reply(&error),
        },
        _ => run_request(state, request).await,
    }
}

async fn run_request(state: Rc<RefCell<State>>, request: Request) -> Reply {
    let fault = record_start(&mut state.borrow_mut(), &request);
    let work_ms: u64 = request.header("x-work-ms").parse().unwrap_or(0);
    if fault == UpstreamFault::Hang {
        std::future::pending::<()>().await;
    }
    if work_ms > 0 {
        compio::time::sleep(Duration::from_millis(work_ms)).await;
    }
    state.borrow_mut().counts.running -= 1;
    let id = match fault {
        UpstreamFault::Cross => "another-request",
        _ => request.header("x-request-id"),
    };
    let status = if fault == UpstreamFault::Fail {
        500
    } else {
        200
    };
    let body = json!({
        "id": id,
        "key": request.header("idempotency-key"),
        "echo": String::from_utf8_lossy(&request.body),
    });
    let mut reply = json_reply(status, &body);
    if let Ok(value) = HeaderValue::from_str(id) {
        reply.headers_mut().insert("x-request-id", value);
    }
    reply
}

/// Counts a run by its idempotency key, or else by its request identifier, appends that to
/// the journal and returns the fault to inject.
fn record_start(state: &mut State, request: &Request) -> UpstreamFault {
    let key = match request.header("idempotency-key") {
        "" => request.header("x-request-id"),
        key => key,
    };
    let counts = &mut state.counts;
    *counts.runs.entry(key.to_owned()).or_default() += 1;
    if let Some(journal) = state.journal.as_mut() {
        let _ = writeln!(journal, "{key}");
    }
    counts.total += 1;
    counts.running += 1;
    counts.max_running = counts.max_running.max(counts.running);
    state.fault
}
