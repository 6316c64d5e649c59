//! JSON form of the etcd v3 API, in which 64-bit integers are strings and keys and values are base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde_json::Value;
use serde_json::json;

use super::store::Change;
use super::store::Stored;

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Range {
    #[serde(deserialize_with = "bytes")]
    pub key: Vec<u8>,
    #[serde(deserialize_with = "bytes", rename = "range_end", alias = "rangeEnd")]
    pub end: Vec<u8>,
    /// Whether the response leaves out the values.
    #[serde(alias = "keysOnly")]
    pub keys_only: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Put {
    #[serde(deserialize_with = "bytes")]
    pub key: Vec<u8>,
    #[serde(deserialize_with = "bytes")]
    pub value: Vec<u8>,
    #[serde(deserialize_with = "number")]
    pub lease: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Txn {
    pub compare: Vec<Compare>,
    pub success: Vec<Operation>,
    pub failure: Vec<Operation>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Compare {
    #[serde(default)]
    pub result: CompareResult,
    #[serde(default)]
    pub target: CompareTarget,
    #[serde(deserialize_with = "bytes")]
    pub key: Vec<u8>,
    #[serde(default, deserialize_with = "number", alias = "modRevision")]
    pub mod_revision: u64,
    #[serde(default, deserialize_with = "number", alias = "createRevision")]
    pub create_revision: u64,
    #[serde(default, deserialize_with = "number")]
    pub version: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum CompareResult {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum CompareTarget {
    #[default]
    Version,
    Create,
    Mod,
}

#[derive(Debug, Deserialize)]
pub(super) enum Operation {
    #[serde(rename = "requestRange", alias = "request_range")]
    Range(Range),
    #[serde(rename = "requestPut", alias = "request_put")]
    Put(Put),
    #[serde(rename = "requestDeleteRange", alias = "request_delete_range")]
    DeleteRange(Range),
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Lease {
    #[serde(rename = "ID", deserialize_with = "number")]
    pub id: u64,
    #[serde(rename = "TTL", deserialize_with = "number")]
    pub ttl: u64,
}

#[derive(Debug, Deserialize)]
pub(super) struct Watch {
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchCreate {
    #[serde(flatten)]
    pub range: Range,
    #[serde(deserialize_with = "number", alias = "startRevision")]
    pub start_revision: u64,
}

impl Stored {
    /// Renders the key and value as a `KeyValue` message, without a lease of zero, as the API's JSON form
    /// does.
    pub(super) fn render(&self, key: &[u8], keys_only: bool) -> Value {
        let mut kv = json!({
            "key": STANDARD.encode(key),
            "create_revision": self.create_revision.to_string(),
            "mod_revision": self.mod_revision.to_string(),
            "version": self.version.to_string(),
        });
        if !keys_only {
            kv["value"] = Value::String(STANDARD.encode(&self.value));
        }
        if self.lease > 0 {
            kv["lease"] = Value::String(self.lease.to_string());
        }
        kv
    }
}

impl Change {
    /// Renders the change as an `Event` message for a watch.
    pub(super) fn render(&self) -> Value {
        match &self.stored {
            Some(stored) => json!({"kv": stored.render(&self.key, false)}),
            None => json!({"type": "DELETE", "kv": {
                "key": STANDARD.encode(&self.key), "mod_revision": self.revision.to_string(),
            }}),
        }
    }
}

/// Renders the header that every response contains.
pub(super) fn header(revision: u64) -> Value {
    json!({"cluster_id": "1", "member_id": "1", "revision": revision.to_string(), "raft_term": "1"})
}

fn bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    STANDARD.decode(String::deserialize(deserializer)?).map_err(D::Error::custom)
}

fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    match Value::deserialize(deserializer)? {
        Value::String(text) => text.parse().map_err(D::Error::custom),
        Value::Number(number) => number.as_u64().ok_or_else(|| D::Error::custom("negative number")),
        _ => Err(D::Error::custom("not a number")),
    }
}
