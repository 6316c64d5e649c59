//! JSON messages of the etcd v3 API, as far as they are used: 64-bit numbers are strings, keys and values are
//! base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::KvEntry;
use crate::Result;

#[derive(Debug, Serialize)]
pub(crate) struct RangeRequest {
    pub key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<String>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub keys_only: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub kvs: Vec<WireEntry>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireEntry {
    pub key: String,
    pub value: String,
    pub mod_revision: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub succeeded: bool,
    pub header: ResponseHeader,
    pub responses: Vec<OpResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ResponseHeader {
    pub revision: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct OpResponse {
    pub response_range: RangeResponse,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub id: String,
    #[serde(rename = "TTL")]
    pub ttl: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct KeepAliveResponse {
    pub result: LeaseResponse,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResponse {
    pub result: WatchResult,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResult {
    /// Set when the service ends the watch, for example because its start revision was compacted.
    pub canceled: bool,
    pub compact_revision: String,
    pub events: Vec<WatchEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchEvent {
    /// `DELETE` for a removed key; absent for a put.
    #[serde(rename = "type")]
    pub kind: String,
    pub kv: WireEntry,
}

impl WireEntry {
    pub(crate) fn decode(self) -> Result<KvEntry> {
        let key =
            String::from_utf8(decode_base64(&self.key)?).map_err(|err| Error::Codec(err.to_string()))?;
        Ok(KvEntry { key, value: decode_base64(&self.value)?, revision: parse_number(&self.mod_revision)? })
    }
}

pub(crate) fn encode_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Parses a number; an empty text, as of a field that is left out, is 0.
pub(crate) fn parse_number(text: &str) -> Result<u64> {
    if text.is_empty() {
        return Ok(0);
    }
    text.parse().map_err(|err| Error::Codec(format!("number `{text}`: {err}")))
}

/// Returns the base64 of the end of the range of keys with a prefix: the prefix with its last byte increased
/// by 1.
pub(crate) fn encoded_range_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    encode_base64(&end)
}

fn decode_base64(text: &str) -> Result<Vec<u8>> {
    STANDARD.decode(text).map_err(|err| Error::Codec(err.to_string()))
}
