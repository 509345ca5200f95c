//! The HTTP side of the key-value stand-in, with its faults and counters.

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

/// The largest value that the service accepts, in bytes of base64.
const MAX_ENCODED_BYTES: usize = (1 << 20) * 4 / 3 + 4;

/// Enumerates the ways in which the stand-in misbehaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultMode {
    /// Answers as it should.
    #[default]
    Up,
    /// Refuses every call without any effect.
    Down,
    /// Carries a write out and loses the answer.
    Lose,
}

/// Tells the stand-in how to misbehave.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct StoreFault {
    /// The way.
    pub mode: FaultMode,
    /// A delay before each answer, in milliseconds.
    pub delay_ms: u64,
    /// The calls after which the stand-in works again; 0 for never.
    pub count: u64,
}

struct State {
    kv: Kv,
    fault: StoreFault,
    calls: BTreeMap<String, u64>,
}

/// Serves the stand-in until `stop` is raised.
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

/// Counts a call and returns the fault that it meets.
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
