//! The messages of etcd v3's JSON gateway, as its published API defines them.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;
use serde::Serialize;

/// Encodes a key or value in base64.
pub fn encode(text: &str) -> String {
    encode_bytes(text.as_bytes())
}

/// Encodes the bytes of a key or value in base64.
pub fn encode_bytes(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// Decodes a key or value from base64; returns `None` if it is malformed.
pub fn decode(text: &str) -> Option<Vec<u8>> {
    BASE64_STANDARD.decode(text).ok()
}

/// Returns the exclusive end of the range of keys that begin with a prefix.
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// Serialises 64-bit integers as strings, as the JSON form of Protocol Buffers does.
pub mod int {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Either {
        Text(String),
        Number(i64),
    }

    /// Serialises an integer as a string.
    pub fn serialize<S: Serializer>(value: &i64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(value)
    }

    /// Deserialises an integer from a string or a number.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
        match Either::deserialize(deserializer)? {
            Either::Text(text) => text.parse().map_err(serde::de::Error::custom),
            Either::Number(number) => Ok(number),
        }
    }
}

fn is_zero(value: &i64) -> bool {
    *value == 0
}

/// The header of each response.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ResponseHeader {
    /// The revision of the store when it answered.
    #[serde(with = "int")]
    pub revision: i64,
}

/// A key with its value and revisions.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key in base64.
    pub key: String,
    /// The value in base64.
    pub value: String,
    /// The revision that created the key.
    #[serde(with = "int")]
    pub create_revision: i64,
    /// The revision that last changed the key.
    #[serde(with = "int")]
    pub mod_revision: i64,
    /// The identifier of the lease that the key is attached to; 0 without one.
    #[serde(with = "int")]
    pub lease: i64,
}

impl KeyValue {
    /// Returns the decoded key; bytes that are not UTF-8 are replaced.
    pub fn key_text(&self) -> String {
        let bytes = decode(&self.key).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Parses the decoded value as JSON; returns `None` if it is malformed.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&decode(&self.value)?).ok()
    }
}

/// A request to read a key or a range of keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key, in base64.
    pub key: String,
    /// The exclusive end of the range, in base64; empty for a single key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
}

/// The answer to a [`RangeRequest`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The header.
    pub header: ResponseHeader,
    /// The keys found, with their values.
    pub kvs: Vec<KeyValue>,
}

/// A condition on one property of a key.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Compare {
    /// `EQUAL`, `GREATER`, `LESS` or `NOT_EQUAL`.
    pub result: String,
    /// `CREATE`, `MOD` or `VERSION`.
    pub target: String,
    /// The key in base64.
    pub key: String,
    /// The revision to compare with if the target is `MOD`; not sent if 0.
    #[serde(skip_serializing_if = "is_zero", with = "int")]
    pub mod_revision: i64,
    /// The revision to compare with if the target is `CREATE`; not sent if 0.
    ///
    /// Both revisions are members of one union (`oneof`), so at most one may be sent.
    #[serde(skip_serializing_if = "is_zero", with = "int")]
    pub create_revision: i64,
}

impl Compare {
    /// Creates the condition that a key was last changed at `revision`; 0 requires that the
    /// key does not exist.
    pub fn unchanged(key: &str, revision: i64) -> Self {
        Self {
            result: "EQUAL".into(),
            target: "MOD".into(),
            key: encode(key),
            mod_revision: revision,
            create_revision: 0,
        }
    }
}

/// A request to write a key.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key in base64.
    pub key: String,
    /// The value in base64.
    pub value: String,
    /// The identifier of the lease to attach the key to; 0 for none.
    #[serde(with = "int")]
    pub lease: i64,
}

/// A request to delete a key or a range of keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// The first key, in base64.
    pub key: String,
    /// The exclusive end of the range, in base64; empty for a single key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
}

/// One operation of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct RequestOp {
    /// A read operation.
    #[serde(alias = "requestRange", skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// A write operation.
    #[serde(alias = "requestPut", skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// A delete operation.
    #[serde(alias = "requestDeleteRange", skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

impl RequestOp {
    /// Creates an operation that writes a value as JSON.
    pub fn put(key: &str, value: &impl Serialize, lease: i64) -> Self {
        let value = serde_json::to_vec(value).expect("the value serialises to JSON");
        Self {
            request_put: Some(PutRequest {
                key: encode(key),
                value: encode_bytes(&value),
                lease,
            }),
            ..Self::default()
        }
    }

    /// Creates an operation that reads one key.
    pub fn get(key: &str) -> Self {
        Self {
            request_range: Some(RangeRequest {
                key: encode(key),
                range_end: String::new(),
            }),
            ..Self::default()
        }
    }

    /// Creates an operation that deletes one key.
    pub fn delete(key: &str) -> Self {
        Self {
            request_delete_range: Some(DeleteRangeRequest {
                key: encode(key),
                range_end: String::new(),
            }),
            ..Self::default()
        }
    }
}

/// A transaction: conditions, and the operations for either outcome.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions; the transaction succeeds only if all of them are met.
    pub compare: Vec<Compare>,
    /// The operations to run if all conditions are met.
    pub success: Vec<RequestOp>,
    /// The operations to run otherwise.
    pub failure: Vec<RequestOp>,
}

/// The answer to one operation of a transaction.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ResponseOp {
    /// The result of a read operation.
    #[serde(alias = "responseRange", skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// The answer to a [`TxnRequest`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The header, with the revision of the transaction.
    pub header: ResponseHeader,
    /// Whether all conditions were met.
    pub succeeded: bool,
    /// The answers to the operations, in their order.
    pub responses: Vec<ResponseOp>,
}

impl TxnResponse {
    /// Returns the first key found by a read operation of the transaction.
    pub fn found(&self) -> Option<&KeyValue> {
        let ranges = self
            .responses
            .iter()
            .filter_map(|r| r.response_range.as_ref());
        ranges.flat_map(|r| r.kvs.iter()).next()
    }
}

/// A request for a lease.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct GrantRequest {
    /// The lifetime of the lease, in seconds.
    #[serde(rename = "TTL", with = "int")]
    pub ttl: i64,
    /// The identifier of the lease; 0 lets the service choose one.
    #[serde(rename = "ID", with = "int")]
    pub id: i64,
}

/// The answer to a [`GrantRequest`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct GrantResponse {
    /// The header.
    pub header: ResponseHeader,
    /// The identifier of the lease.
    #[serde(rename = "ID", with = "int")]
    pub id: i64,
    /// The granted lifetime, in seconds.
    #[serde(rename = "TTL", with = "int")]
    pub ttl: i64,
}

/// A request to renew or revoke a lease.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The identifier of the lease.
    #[serde(rename = "ID", with = "int")]
    pub id: i64,
}

/// The answer to the renewal of a lease.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct KeepAliveResponse {
    /// The renewed lease; a lifetime of 0 means that the lease has expired.
    pub result: GrantResponse,
}
