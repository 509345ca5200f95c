//! The state of the key-value stand-in: keys, revisions and leases, without I/O.

use hibiscusbarrow_adapters::store::*;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Debug)]
struct Value {
    base64: String,
    create_revision: i64,
    mod_revision: i64,
    lease: i64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Duration,
}

/// An in-memory key-value store with revisions and leases.
#[derive(Clone, Debug)]
pub struct Kv {
    revision: i64,
    keys: BTreeMap<Vec<u8>, Value>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl Default for Kv {
    fn default() -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }
}

impl Kv {
    /// Returns the revision of the latest change.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Removes expired leases and the keys attached to them.
    pub fn expire(&mut self, now: Duration) {
        let expired = self.leases.iter().filter(|(_, l)| l.expires_at <= now);
        let expired: Vec<i64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.revoke(id);
        }
    }

    /// Returns the entry of a key, or all entries of a range if the request has an end.
    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let start = decode(&request.key).unwrap_or_default();
        let kvs = self
            .keys_in(&start, &request.range_end)
            .into_iter()
            .map(|key| self.entry(&key))
            .collect();
        RangeResponse {
            header: self.header(),
            kvs,
        }
    }

    /// Evaluates the comparisons and runs the operations of the branch that they select.
    ///
    /// All writes of the transaction are assigned the same new revision.
    pub fn txn(&mut self, request: &TxnRequest) -> TxnResponse {
        let succeeded = request.compare.iter().all(|c| self.evaluate(c));
        let operations = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        let is_write = |o: &RequestOp| o.request_range.is_none();
        if operations.iter().any(is_write) {
            self.revision += 1;
        }
        let responses = operations.iter().map(|o| self.run_operation(o)).collect();
        TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    /// Grants a lease; the store chooses the identifier if that in the request is 0.
    pub fn grant(&mut self, request: &GrantRequest, now: Duration) -> GrantResponse {
        let id = if request.id == 0 {
            self.next_lease
        } else {
            request.id
        };
        self.next_lease = self.next_lease.max(id) + 1;
        let ttl = Duration::from_secs(request.ttl.max(1) as u64);
        let lease = Lease {
            ttl,
            expires_at: now + ttl,
        };
        self.leases.insert(id, lease);
        GrantResponse {
            header: self.header(),
            id,
            ttl: request.ttl,
        }
    }

    /// Renews a lease; a TTL of 0 in the response means that the lease does not exist.
    pub fn keep_alive(&mut self, id: i64, now: Duration) -> KeepAliveResponse {
        let ttl = self.leases.get_mut(&id).map_or(0, |lease| {
            lease.expires_at = now + lease.ttl;
            lease.ttl.as_secs() as i64
        });
        KeepAliveResponse {
            result: GrantResponse {
                header: self.header(),
                id,
                ttl,
            },
        }
    }

    /// Revokes a lease and removes the keys attached to it.
    pub fn revoke(&mut self, id: i64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let old_len = self.keys.len();
        self.keys.retain(|_, value| value.lease != id);
        if self.keys.len() != old_len {
            self.revision += 1;
        }
    }

    fn header(&self) -> ResponseHeader {
        ResponseHeader {
            revision: self.revision,
        }
    }

    fn keys_in(&self, start: &[u8], end: &str) -> Vec<Vec<u8>> {
        let end = decode(end).unwrap_or_default();
        let in_range = |key: &&Vec<u8>| {
            if end.is_empty() {
                key.as_slice() == start
            } else {
                key.as_slice() >= start && (end == [0] || **key < end)
            }
        };
        self.keys.keys().filter(in_range).cloned().collect()
    }

    fn entry(&self, key: &[u8]) -> KeyValue {
        let value = &self.keys[key];
        KeyValue {
            key: encode_bytes(key),
            value: value.base64.clone(),
            create_revision: value.create_revision,
            mod_revision: value.mod_revision,
            lease: value.lease,
        }
    }

    fn evaluate(&self, compare: &Compare) -> bool {
        let key = decode(&compare.key).unwrap_or_default();
        let value = self.keys.get(&key);
        let (actual, expected) = match compare.target.as_str() {
            "CREATE" => (
                value.map_or(0, |v| v.create_revision),
                compare.create_revision,
            ),
            "MOD" => (value.map_or(0, |v| v.mod_revision), compare.mod_revision),
            _ => return false,
        };
        match compare.result.as_str() {
            "EQUAL" => actual == expected,
            "NOT_EQUAL" => actual != expected,
            "GREATER" => actual > expected,
            "LESS" => actual < expected,
            _ => false,
        }
    }

    fn run_operation(&mut self, operation: &RequestOp) -> ResponseOp {
        if let Some(request) = &operation.request_range {
            return ResponseOp {
                response_range: Some(self.range(request)),
            };
        }
        if let Some(request) = &operation.request_put {
            let key = decode(&request.key).unwrap_or_default();
            let create_revision = self
                .keys
                .get(&key)
                .map_or(self.revision, |v| v.create_revision);
            let value = Value {
                base64: request.value.clone(),
                create_revision,
                mod_revision: self.revision,
                lease: request.lease,
            };
            self.keys.insert(key, value);
        }
        if let Some(request) = &operation.request_delete_range {
            let start = decode(&request.key).unwrap_or_default();
            for key in self.keys_in(&start, &request.range_end) {
                self.keys.remove(&key);
            }
        }
        ResponseOp::default()
    }
}
