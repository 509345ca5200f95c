//! The HTTP API of the key-value stand-in, with fault injection and call counters.

use super::kv::Kv;
use compio::net::TcpListener;
use hibiscusbarrow_adapters::http::Limits;
use hibiscusbarrow_adapters::http::Reply;
use hibiscusbarrow_adapters::http::Request;
use hibiscusbarrow_adapters::http::json_reply;
use hibiscusbarrow_adapters::http::serve as serve_http;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_adapters::store::*;
use hibiscusbarrow_coordination::clock::Clock;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The largest value that the service accepts: 1 MiB, encoded as base64.
const MAX_ENCODED_BYTES: usize = (1 << 20) * 4 / 3 + 4;

/// How the stand-in handles calls.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultMode {
    /// Handles calls normally.
    #[default]
    Up,
    /// Rejects every call as unavailable, without executing it.
    Down,
    /// Executes calls but responds that the service is unavailable, as if the
    /// response had been lost.
    Lose,
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct StoreFault {
    /// How calls are handled.
    pub mode: FaultMode,
    /// The delay before each call is handled, in milliseconds.
    pub delay_ms: u64,
    /// The number of calls that the fault affects; 0 for all calls until it is replaced.
    pub count: u64,
}

struct State {
    kv: Kv,
    fault: StoreFault,
    calls: BTreeMap<String, u64>,
}

/// Serves a new, empty store until `stop` is raised.
pub async fn serve(listener: TcpListener, clock: Clock, stop: Flag) {
    let state = Rc::new(RefCell::new(State {
        kv: Kv::default(),
        fault: StoreFault::default(),
        calls: BTreeMap::new(),
    }));
    let limits = Limits {
        max_body_bytes: 8 << 20,
        ..Limits::default()
    };
    let handler = move |request| handle(state.clone(), clock.clone(), request);
    serve_http(listener, limits, stop, handler).await;
}

async fn handle(state: Rc<RefCell<State>>, clock: Clock, request: Request) -> Reply {
    match request.path.as_str() {
        "/standin/fault" => set_fault(&state, &request),
        "/standin/counters" => json_reply(200, &state.borrow().calls),
        _ => handle_call(state, clock, request).await,
    }
}

fn set_fault(state: &RefCell<State>, request: &Request) -> Reply {
    match request.json() {
        Ok(fault) => {
            state.borrow_mut().fault = fault;
            json_reply(200, &fault)
        }
        Err(error) => json_reply(400, &error),
    }
}

async fn handle_call(state: Rc<RefCell<State>>, clock: Clock, request: Request) -> Reply {
    let fault = count_call(&mut state.borrow_mut(), &request.path);
    if fault.delay_ms > 0 {
        compio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
    }
    // Codes in error responses are gRPC status codes.
    let unavailable = json!({"error": "unavailable", "code": 14});
    if fault.mode == FaultMode::Down {
        return json_reply(503, &unavailable);
    }
    let reply = run_operation(&mut state.borrow_mut().kv, clock.now(), &request);
    if fault.mode == FaultMode::Lose {
        return json_reply(503, &unavailable);
    }
    reply
}

/// Counts a call by path and returns the fault to inject into it.
fn count_call(state: &mut State, path: &str) -> StoreFault {
    *state.calls.entry(path.to_owned()).or_default() += 1;
    let fault = state.fault;
    if fault.count == 1 {
        state.fault = StoreFault::default();
    }
    state.fault.count = state.fault.count.saturating_sub(1);
    fault
}

fn run_operation(kv: &mut Kv, now: Duration, request: &Request) -> Reply {
    kv.expire(now);
    match request.path.as_str() {
        "/v3/kv/range" => with_body(request, |r: RangeRequest| json_reply(200, &kv.range(&r))),
        "/v3/kv/txn" => with_body(request, |r: TxnRequest| {
            let puts = r
                .success
                .iter()
                .chain(&r.failure)
                .filter_map(|o| o.request_put.as_ref());
            if puts.into_iter().any(|p| p.value.len() > MAX_ENCODED_BYTES) {
                return json_reply(400, &json!({"error": "value is too large", "code": 3}));
            }
            json_reply(200, &kv.txn(&r))
        }),
        "/v3/lease/grant" => with_body(request, |r: GrantRequest| {
            json_reply(200, &kv.grant(&r, now))
        }),
        "/v3/lease/keepalive" => with_body(request, |r: LeaseRequest| {
            json_reply(200, &kv.keep_alive(r.id, now))
        }),
        "/v3/lease/revoke" => with_body(request, |r: LeaseRequest| {
            kv.revoke(r.id);
            json_reply(200, &json!({}))
        }),
        _ => json_reply(404, &json!({"error": "not found", "code": 5})),
    }
}

fn with_body<T: serde::de::DeserializeOwned>(
    request: &Request,
    handler: impl FnOnce(T) -> Reply,
) -> Reply {
    match request.json() {
        Ok(value) => handler(value),
        Err(error) => json_reply(400, &json!({"error": error.to_string(), "code": 3})),
    }
}
