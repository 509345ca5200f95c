//! A stand-in for the service that gives tickets for the runners of a queue; it allows all runners.

use crate::Record;
use crate::http::Request;
use crate::http::Server;
use crate::json::Json;
use std::sync::Arc;
use std::time::Duration;

/// The time for a call and for each worker that it names, as the manifest states them.
pub const DECISION_MS: u64 = 50;
pub const EACH_MS: u64 = 5;
pub const VALID_MS: u64 = 3_000;

/// Returns the ticket of a runner for a step.
pub fn ticket(step: &str, id: &str) -> String {
    format!("t-{step}-{id}")
}

/// Starts the service at an address.
pub fn start(addr: &str, record: Arc<Record>) -> std::io::Result<Server> {
    let name = addr.to_owned();
    let handler = move |request: &Request| {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let step = body.text("step");
        let workers = body.rows("workers").iter().filter_map(|w| match w {
            Json::Str(id) => Some(id.clone()),
            _ => None,
        });
        let approved: Vec<Json> = workers
            .map(|id| Json::Arr(vec![Json::str(id.clone()), Json::str(ticket(&step, &id))]))
            .collect();
        let time = DECISION_MS + EACH_MS * approved.len() as u64;
        std::thread::sleep(Duration::from_millis(time));
        let line = format!("advice at {name} for {step}: {} runners", approved.len());
        record.line(&line);
        let fields = [
            ("approved", Json::Arr(approved)),
            ("valid-ms", Json::num(VALID_MS)),
        ];
        Some((200, Json::obj(fields).to_string()))
    };
    Server::start(addr, Arc::new(handler))
}
