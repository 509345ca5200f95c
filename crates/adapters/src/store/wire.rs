//! The JSON form of etcd v3's gateway, as its published API defines it.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;
use serde::Serialize;

/// Encodes a key or value.
pub fn encode(text: &str) -> String {
    encode_bytes(text.as_bytes())
}

/// Encodes a key or value of raw bytes.
pub fn encode_bytes(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// Decodes a key or value; malformed input gives nothing.
pub fn decode(text: &str) -> Option<Vec<u8>> {
    BASE64_STANDARD.decode(text).ok()
}

/// Returns the end of the range of keys that begin with a prefix.
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

/// Carries 64-bit integers as text, as JSON gateways do.
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

    /// Writes an integer as text.
    pub fn serialize<S: Serializer>(value: &i64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(value)
    }

    /// Reads an integer from text or a number.
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

/// Stands at the head of each response.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ResponseHeader {
    /// The revision of the store.
    #[serde(with = "int")]
    pub revision: i64,
}

/// Holds a key with its value and versions.
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
    /// The lease that the key is attached to; 0 without one.
    #[serde(with = "int")]
    pub lease: i64,
}

impl KeyValue {
    /// Returns the key as text.
    pub fn key_text(&self) -> String {
        let bytes = decode(&self.key).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Parses the value as JSON.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&decode(&self.value)?).ok()
    }
}

/// Reads a key or a range of keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: String,
    /// The end of the range, not included; empty for one key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
}

/// Answers a [`RangeRequest`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The head.
    pub header: ResponseHeader,
    /// The keys found.
    pub kvs: Vec<KeyValue>,
}

/// Compares one property of a key.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Compare {
    /// `EQUAL`, `GREATER`, `LESS` or `NOT_EQUAL`.
    pub result: String,
    /// `CREATE`, `MOD` or `VERSION`.
    pub target: String,
    /// The key.
    pub key: String,
    /// The revision compared with for `MOD`; left out if 0.
    #[serde(skip_serializing_if = "is_zero", with = "int")]
    pub mod_revision: i64,
    /// The revision compared with for `CREATE`; left out if 0.
    ///
    /// Both revisions are members of one union, so at most one may be sent.
    #[serde(skip_serializing_if = "is_zero", with = "int")]
    pub create_revision: i64,
}

impl Compare {
    /// Requires that a key was last changed at a revision; 0 means that it is absent.
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

/// Writes a key.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The lease to attach the key to; 0 for none.
    #[serde(with = "int")]
    pub lease: i64,
}

/// Deletes a key or a range of keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// The first key.
    pub key: String,
    /// The end of the range, not included; empty for one key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
}

/// Holds one operation of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct RequestOp {
    /// Reads.
    #[serde(alias = "requestRange", skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// Writes.
    #[serde(alias = "requestPut", skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Deletes.
    #[serde(alias = "requestDeleteRange", skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

impl RequestOp {
    /// Writes a JSON value.
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

    /// Reads one key.
    pub fn get(key: &str) -> Self {
        Self {
            request_range: Some(RangeRequest {
                key: encode(key),
                range_end: String::new(),
            }),
            ..Self::default()
        }
    }

    /// Deletes one key.
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

/// Runs operations on a condition.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct TxnRequest {
    /// All must hold.
    pub compare: Vec<Compare>,
    /// Run if they do.
    pub success: Vec<RequestOp>,
    /// Run if they do not.
    pub failure: Vec<RequestOp>,
}

/// Answers one operation of a transaction.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ResponseOp {
    /// What a read found.
    #[serde(alias = "responseRange", skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Answers a [`TxnRequest`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The head; its revision is that of the transaction.
    pub header: ResponseHeader,
    /// Whether the condition held.
    pub succeeded: bool,
    /// An answer to each operation.
    pub responses: Vec<ResponseOp>,
}

impl TxnResponse {
    /// Returns the first key that a read of the transaction found.
    pub fn found(&self) -> Option<&KeyValue> {
        let ranges = self
            .responses
            .iter()
            .filter_map(|r| r.response_range.as_ref());
        ranges.flat_map(|r| r.kvs.iter()).next()
    }
}

/// Asks for a lease.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct GrantRequest {
    /// The life, in seconds.
    #[serde(rename = "TTL", with = "int")]
    pub ttl: i64,
    /// The wanted identifier; 0 lets the service choose.
    #[serde(rename = "ID", with = "int")]
    pub id: i64,
}

/// Answers a [`GrantRequest`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct GrantResponse {
    /// The head.
    pub header: ResponseHeader,
    /// The identifier.
    #[serde(rename = "ID", with = "int")]
    pub id: i64,
    /// The life granted, in seconds.
    #[serde(rename = "TTL", with = "int")]
    pub ttl: i64,
}

/// Names a lease.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The identifier.
    #[serde(rename = "ID", with = "int")]
    pub id: i64,
}

/// Answers a renewal of a lease.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct KeepAliveResponse {
    /// The result; a life of 0 says that the lease is gone.
    pub result: GrantResponse,
}
