//! A stand-in for the platform's store, with one address for each machine that calls it.

use crate::Record;
use crate::http::Request;
use crate::http::Server;
use crate::json::Json;
use crate::json::base64;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

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
    next_lease: u64,
    items: BTreeMap<String, Item>,
    /// All changes by revision; none in place of an item that was deleted.
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Machines that the store turns away with 503.
    rejected: Mutex<Vec<usize>>,
    record: Arc<Record>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let found = self.leases.remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == lease && lease > 0)
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
        found
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    Json::obj([
        ("key", Json::str(key)),
        ("value", Json::str(item.value.clone())),
        ("revision", Json::num(item.revision)),
        ("created", Json::num(item.created)),
        ("lease", Json::num(item.lease)),
    ])
}

impl Store {
    /// Starts a store with an address for each of `machines` calling machines.
    pub fn start(ip: &str, machines: usize, record: Arc<Record>) -> std::io::Result<Arc<Store>> {
        let store = Arc::new(Store {
            state: Mutex::new(State {
                revision: 100,
                next_lease: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            rejected: Mutex::default(),
            record,
        });
        for machine in 0..machines {
            let serving = store.clone();
            let handler = move |request: &Request| Some(serving.answer(machine, request));
            Server::start(&store_addr(ip, machine), Arc::new(handler))?;
        }
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                let mut state = expiring.state.lock().unwrap();
                let now = Instant::now();
                let over = state.leases.iter().filter(|(_, (_, end))| *end <= now);
                let over: Vec<u64> = over.map(|(id, _)| *id).collect();
                for lease in over {
                    state.end_lease(lease);
                    expiring.changed.notify_all();
                }
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator does; returns when the write was acknowledged.
    pub fn put_as_operator(&self, key: &str, text: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(text), 0);
        self.changed.notify_all();
        self.record.line(&format!("operator puts {key}: {text}"));
        Instant::now()
    }

    /// Turns these machines away from now on.
    pub fn reject(&self, machines: Vec<usize>) {
        self.record
            .line(&format!("the store turns away machines {machines:?}"));
        *self.rejected.lock().unwrap() = machines;
        self.changed.notify_all();
    }

    fn rejects(&self, machine: usize) -> bool {
        self.rejected.lock().unwrap().contains(&machine)
    }

    fn answer(&self, machine: usize, request: &Request) -> (u16, String) {
        if self.rejects(machine) {
            return (503, "{}".to_owned());
        }
        let (status, body) = self.dispatch(machine, request);
        (status, body.to_string())
    }

    fn dispatch(&self, machine: usize, request: &Request) -> (u16, Json) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            let found = pairs.into_iter().find(|(n, _)| *n == name);
            found.map_or("", |(_, v)| v)
        };
        let empty = Json::obj([]);
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => {
                let state = self.state.lock().unwrap();
                match state.items.get(param("key")) {
                    Some(item) => (200, item_json(param("key"), item)),
                    None => (404, empty),
                }
            }
            ("GET", "/kv-range") => {
                let state = self.state.lock().unwrap();
                let (prefix, after) = (param("prefix"), param("after"));
                let found = state.items.iter();
                let found: Vec<Json> = found
                    .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after)
                    .map(|(k, i)| item_json(k, i))
                    .collect();
                let page = Json::obj([
                    ("items", Json::Arr(found)),
                    ("has-more", Json::Bool(false)),
                    ("at", Json::num(state.revision)),
                ]);
                (200, page)
            }
            ("GET", "/kv-watch") => self.watch(
                machine,
                param("prefix"),
                param("after").parse().unwrap_or(0),
                param("wait-ms").parse().unwrap_or(0),
            ),
            ("POST", "/kv-txn") => self.transact(&request.body),
            ("POST", "/kv-lease") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let ttl = Duration::from_millis(body.u64("ttl-ms").clamp(1_000, 600_000));
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let id = state.next_lease;
                state.leases.insert(id, (ttl, Instant::now() + ttl));
                let answer = [
                    ("lease", Json::num(id)),
                    ("ttl-ms", Json::num(ttl.as_millis() as u64)),
                ];
                (200, Json::obj(answer))
            }
            ("POST", keep) if keep.starts_with("/kv-keep/") => {
                let id = keep["/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&id) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (
                            200,
                            Json::obj([("ttl-ms", Json::num(ttl.as_millis() as u64))]),
                        )
                    }
                    None => (404, empty),
                }
            }
            ("DELETE", end) if end.starts_with("/kv-lease-end/") => {
                let id = end["/kv-lease-end/".len()..].parse().unwrap_or(0);
                let found = self.state.lock().unwrap().end_lease(id);
                self.changed.notify_all();
                (if found { 200 } else { 404 }, empty)
            }
            _ => (400, empty),
        }
    }

    fn watch(&self, machine: usize, prefix: &str, after: u64, wait_ms: u64) -> (u16, Json) {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if self.rejects(machine) {
                return (503, Json::obj([]));
            }
            let newer = state
                .history
                .iter()
                .filter(|(r, k, _)| *r > after && k.starts_with(prefix));
            let events: Vec<Json> = newer
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => Json::obj([
                        ("key", Json::str(key.clone())),
                        ("revision", Json::num(*revision)),
                        ("deleted", Json::Bool(true)),
                    ]),
                })
                .collect();
            let remaining = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let at = Json::num(state.revision);
                return (200, Json::obj([("events", Json::Arr(events)), ("at", at)]));
            }
            state = self.changed.wait_timeout(state, remaining).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, Json) {
        let Some(body) = Json::parse(body) else {
            return (400, Json::obj([]));
        };
        let mut state = self.state.lock().unwrap();
        let conditions = body.rows("precondition");
        let revision_of = |state: &State, key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let holds = |c: &Json| revision_of(&state, &c.text("key")) == c.u64("revision");
        if !conditions.iter().all(holds) {
            let items = conditions.iter().map(|c| {
                let key = c.text("key");
                match state.items.get(&key) {
                    Some(item) => item_json(&key, item),
                    None => Json::obj([("key", Json::str(key)), ("revision", Json::num(0))]),
                }
            });
            return (412, Json::obj([("items", Json::Arr(items.collect()))]));
        }
        let lease_ends =
            |p: &Json| p.u64("lease") > 0 && !state.leases.contains_key(&p.u64("lease"));
        if body.rows("puts").iter().any(lease_ends) {
            return (404, Json::obj([]));
        }
        state.revision += 1;
        for put in body.rows("puts") {
            state.put(&put.text("key"), put.text("value"), put.u64("lease"));
        }
        for key in body.rows("deletes") {
            if let Json::Str(key) = key {
                state.delete(key);
            }
        }
        self.changed.notify_all();
        (200, Json::obj([("revision", Json::num(state.revision))]))
    }
}

/// Returns the address at which a machine finds the store.
pub fn store_addr(ip: &str, machine: usize) -> String {
    format!("{ip}:{}", 9_000 + machine)
}
