//! A stand-in for the service that answers calls for advice.
//!
//! It handles the calls of one machine in turn, as `PROTOCOL.md` says, and skips a call whose
//! caller has closed its connection.

use crate::http;
use crate::unix_ms;
use serde_json::Value;
use serde_json::json;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

/// How long a ticket is valid, in milliseconds.
pub const VALID_MS: u64 = 3_000;
/// The time that one decision takes, in milliseconds.
pub const DECISION_MS: u64 = 300;
/// The time that each worker named in a call adds, in milliseconds.
pub const EACH_MS: u64 = 10;
const MAX_WAITING: usize = 32;

#[derive(Default)]
struct Queue {
    /// The numbers of the calls that wait, in turn; the first one is being handled.
    waiting: VecDeque<u64>,
    next: u64,
    answered: usize,
    rejected: usize,
    abandoned: usize,
}

/// The service; clones share one state.
#[derive(Clone, Default)]
pub struct Policy {
    queue: Arc<(Mutex<Queue>, Condvar)>,
}

impl Policy {
    /// Starts the service on an address. All calls come from one machine, that of the placer.
    pub fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let policy = Self::default();
        let server = policy.clone();
        http::serve(TcpListener::bind(addr)?, move |request, stream| {
            server.handle(&request.body, stream)
        });
        Ok(policy)
    }

    /// Returns how many calls were answered, rejected with 429, and given up by their caller.
    pub fn counts(&self) -> (usize, usize, usize) {
        let queue = self.lock();
        (queue.answered, queue.rejected, queue.abandoned)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Queue> {
        self.queue.0.lock().expect("no thread panicked")
    }

    fn handle(&self, body: &[u8], stream: &TcpStream) -> http::Reply {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let workers = body["workers"].as_array().cloned().unwrap_or_default();
        let mut queue = self.lock();
        if queue.waiting.len() >= MAX_WAITING {
            queue.rejected += 1;
            return Some((429, String::new()));
        }
        let number = queue.next;
        queue.next += 1;
        queue.waiting.push_back(number);
        while queue.waiting.front() != Some(&number) {
            queue = self.queue.1.wait(queue).expect("no thread panicked");
        }
        drop(queue);
        let is_open = is_open(stream);
        if is_open {
            let time = DECISION_MS + EACH_MS * workers.len() as u64;
            std::thread::sleep(Duration::from_millis(time));
        }
        let mut queue = self.lock();
        queue.waiting.pop_front();
        queue.answered += usize::from(is_open);
        queue.abandoned += usize::from(!is_open);
        drop(queue);
        self.queue.1.notify_all();
        let ids = workers.iter().filter_map(Value::as_str);
        let rows: Vec<Value> = ids
            .map(|id| json!([id, format!("{id}@{}", unix_ms())]))
            .collect();
        Some((
            200,
            json!({"approved": rows, "valid-ms": VALID_MS}).to_string(),
        ))
    }
}

/// Returns whether the caller still holds its connection open.
fn is_open(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    !matches!(peeked, Ok(0)) && !peeked.is_err_and(|e| e.kind() != std::io::ErrorKind::WouldBlock)
}

/// Returns whether a ticket was given for a worker and is still valid.
pub fn is_valid(ticket: &Value, worker: &str) -> bool {
    let parts = ticket.as_str().and_then(|t| t.split_once('@'));
    let issued = parts.and_then(|(id, at)| Some((id, at.parse::<u64>().ok()?)));
    issued.is_some_and(|(id, at)| id == worker && unix_ms() <= at + VALID_MS)
}
