//! The platform's metadata store: keys, leases, watches and transactions.

use crate::http::Answer;
use crate::http::Request;
use crate::http::Server;
use crate::json::Json;
use crate::json::map;
use crate::json::num;
use crate::json::str;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// The largest value, in bytes before the encoding as base64.
pub const VALUE_BYTES: usize = 1_048_576;
/// The most items and encoded bytes of one page of a listing.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// The most entries of a transaction.
const TXN_ENTRIES: usize = 32;
/// The time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The revision, the key and the item of each change; none for a deletion.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Since when all calls are answered with 503. Leases pause meanwhile.
    down_since: Option<Instant>,
}

/// A store that runs on threads of its own.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let store = Self {
            state: Arc::default(),
        };
        store.state.0.lock().unwrap().revision = 1;
        let served = store.clone();
        let server = Server::start(addr, move |r| served.handle(&r))?;
        std::mem::forget(server);
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                expiring.expire_leases();
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        put(&mut state, key, encode_base64(value), 0);
        self.state.1.notify_all();
    }

    /// Answers every call with 503 from now on, or ends that.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state.0.lock().unwrap();
        if down {
            state.down_since = Some(Instant::now());
        } else if let Some(since) = state.down_since.take() {
            let pause = since.elapsed();
            for (end, _) in state.leases.values_mut() {
                *end += pause;
            }
        }
        self.state.1.notify_all();
    }

    /// Returns how many keys have a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.state.0.lock().unwrap();
        state.items.keys().filter(|k| k.starts_with(prefix)).count()
    }

    /// Returns the decoded value of a key as text.
    pub fn read(&self, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let bytes = decode_base64(&state.items.get(key)?.value);
        String::from_utf8(bytes).ok()
    }

    fn expire_leases(&self) {
        let mut state = self.state.0.lock().unwrap();
        if state.down_since.is_some() {
            return;
        }
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            end_lease(&mut state, id);
        }
        self.state.1.notify_all();
    }

    fn handle(&self, request: &Request) -> Answer {
        std::thread::sleep(ANSWER_TIME);
        if self.state.0.lock().unwrap().down_since.is_some() {
            return Some((503, String::new()));
        }
        let path = request.path.clone();
        let last: u64 = path
            .rsplit('/')
            .next()
            .and_then(|t| t.parse().ok())
            .unwrap_or(0);
        match path.as_str() {
            "/kv-key" => self.read_key(request.param("key")),
            "/kv-range" => self.list(request.param("prefix"), request.param("after")),
            "/kv-watch" => self.watch(request),
            "/kv-txn" => self.commit(&Json::parse(&request.body)?),
            "/kv-lease" => self.grant(&Json::parse(&request.body)?),
            p if p.starts_with("/kv-keep/") => self.keep(last),
            p if p.starts_with("/kv-lease-end/") => {
                let mut state = self.state.0.lock().unwrap();
                end_lease(&mut state, last);
                self.state.1.notify_all();
                Some((200, "{}".into()))
            }
            _ => Some((400, String::new())),
        }
    }

    fn read_key(&self, key: &str) -> Answer {
        let state = self.state.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => Some((200, item_json(key, item).to_string())),
            None => Some((404, String::new())),
        }
    }

    fn list(&self, prefix: &str, after: &str) -> Answer {
        let state = self.state.0.lock().unwrap();
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, item) in &state.items {
            if !key.starts_with(prefix) || (!after.is_empty() && key.as_str() <= after) {
                continue;
            }
            if items.len() == PAGE_ITEMS || (bytes > 0 && bytes + item.value.len() > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += item.value.len();
            items.push(item_json(key, item));
        }
        let body = map([
            ("items", Json::List(items)),
            ("has-more", Json::Bool(more)),
            ("at", num(state.revision)),
        ]);
        Some((200, body.to_string()))
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.param("prefix");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait: u64 = request.param("wait-ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.down_since.is_some() {
                return Some((503, String::new()));
            }
            let first = state.history.partition_point(|(r, ..)| *r <= after);
            let new = state.history[first..]
                .iter()
                .filter(|(_, k, _)| k.starts_with(prefix));
            let events: Vec<Json> = new
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => map([
                        ("key", str(key.as_str())),
                        ("revision", num(*revision)),
                        ("deleted", Json::Bool(true)),
                    ]),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let body = map([("events", Json::List(events)), ("at", num(state.revision))]);
                return Some((200, body.to_string()));
            }
            state = self.state.1.wait_timeout(state, end - now).unwrap().0;
        }
    }

    fn commit(&self, body: &Json) -> Answer {
        let mut state = self.state.0.lock().unwrap();
        let conditions = body.get("precondition").list();
        let puts = body.get("puts").list();
        let deletes = body.get("deletes").list();
        if conditions.len() + puts.len() + deletes.len() > TXN_ENTRIES {
            return Some((400, String::new()));
        }
        let too_large = |p: &&Json| p.get("value").str().len() / 4 * 3 > VALUE_BYTES + 2;
        if puts.iter().any(|p| too_large(&p)) {
            return Some((413, String::new()));
        }
        let revision_of = |key: &str, state: &State| state.items.get(key).map_or(0, |i| i.revision);
        let failed = conditions
            .iter()
            .any(|c| revision_of(c.get("key").str(), &state) != c.get("revision").num());
        if failed {
            let items = conditions.iter().map(|c| {
                let key = c.get("key").str();
                match state.items.get(key) {
                    Some(item) => item_json(key, item),
                    None => map([("key", str(key)), ("revision", num(0))]),
                }
            });
            let body = map([("items", Json::List(items.collect()))]);
            return Some((412, body.to_string()));
        }
        let leases = puts.iter().map(|p| p.get("lease").num());
        if leases
            .clone()
            .any(|l| l != 0 && !state.leases.contains_key(&l))
        {
            return Some((404, String::new()));
        }
        state.revision += 1;
        for item in puts {
            let value = item.get("value").str().to_owned();
            put(
                &mut state,
                item.get("key").str(),
                value,
                item.get("lease").num(),
            );
        }
        for key in deletes {
            delete(&mut state, key.str());
        }
        self.state.1.notify_all();
        Some((200, map([("revision", num(state.revision))]).to_string()))
    }

    fn grant(&self, body: &Json) -> Answer {
        let mut state = self.state.0.lock().unwrap();
        let ttl = Duration::from_millis(body.get("ttl-ms").num().clamp(1_000, 600_000));
        state.revision += 1;
        let id = state.revision;
        state.leases.insert(id, (Instant::now() + ttl, ttl));
        let body = map([("lease", num(id)), ("ttl-ms", num(ttl.as_millis() as u64))]);
        Some((200, body.to_string()))
    }

    fn keep(&self, id: u64) -> Answer {
        let mut state = self.state.0.lock().unwrap();
        let Some((end, ttl)) = state.leases.get_mut(&id) else {
            return Some((404, String::new()));
        };
        *end = Instant::now() + *ttl;
        Some((200, "{}".into()))
    }
}

fn put(state: &mut State, key: &str, value: String, lease: u64) {
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |i| i.created);
    let item = Item {
        value,
        revision,
        created,
        lease,
    };
    state.items.insert(key.to_owned(), item.clone());
    state.history.push((revision, key.to_owned(), Some(item)));
}

fn delete(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        state.history.push((state.revision, key.to_owned(), None));
    }
}

fn end_lease(state: &mut State, id: u64) {
    if state.leases.remove(&id).is_none() {
        return;
    }
    let bound = state.items.iter().filter(|(_, i)| i.lease == id);
    let bound: Vec<String> = bound.map(|(k, _)| k.clone()).collect();
    if !bound.is_empty() {
        state.revision += 1;
    }
    for key in bound {
        delete(state, &key);
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    map([
        ("key", str(key)),
        ("value", str(item.value.as_str())),
        ("revision", num(item.revision)),
        ("created", num(item.created)),
        ("lease", num(item.lease)),
    ])
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn decode_base64(text: &str) -> Vec<u8> {
    let (mut bits, mut count, mut out) = (0u32, 0, Vec::new());
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|d| *d == byte) else {
            break;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    out
}
