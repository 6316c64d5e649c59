use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Method;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

use crate::Error;
use crate::HttpClient;
use crate::Result;
use crate::kv_wire::KeepAliveResponse;
use crate::kv_wire::LeaseResponse;
use crate::kv_wire::RangeRequest;
use crate::kv_wire::RangeResponse;
use crate::kv_wire::TxnResponse;
use crate::kv_wire::WatchResponse;
use crate::kv_wire::encode_base64;
use crate::kv_wire::encoded_range_end;
use crate::kv_wire::parse_number;

/// Client of the platform's key-value service, over the JSON form of the etcd v3 API.
#[derive(Debug, Clone)]
pub struct KeyValueClient {
    http: HttpClient,
    base: String,
    timeout: Duration,
}

/// A key with its value and the revision of its last write.
#[derive(Debug, Clone, PartialEq)]
pub struct KvEntry {
    /// The key.
    pub key: String,
    /// The value, at most 1 MB.
    pub value: Vec<u8>,
    /// Revision of the last write; revisions never decrease.
    pub revision: u64,
}

/// Identifies a lease of the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// Condition that a key must meet for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Precondition {
    /// The key does not exist.
    Absent,
    /// The last write of the key has this revision.
    Revision(u64),
}

/// Outcome of a conditional write or deletion.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// The change took effect at this revision.
    Written(u64),
    /// The precondition did not hold; this is the current entry, or `None` if the key does not exist.
    Conflict(Option<KvEntry>),
}

/// Running watch on the keys with a prefix.
#[derive(Debug)]
pub struct Watch {
    body: Incoming,
    buffer: BytesMut,
}

impl KeyValueClient {
    /// Opens a client of the service at `base`, such as `http://127.0.0.1:7001`; its requests time out after
    /// `timeout`.
    pub fn open(base: &str, timeout: Duration) -> Self {
        Self { http: HttpClient::open(timeout), base: base.trim_end_matches('/').to_owned(), timeout }
    }

    /// Returns the entry of a key, or `None` if the key does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond in time or responds with an error.
    pub async fn get(&self, key: &str) -> Result<Option<KvEntry>> {
        let request = RangeRequest { key: encode_base64(key.as_bytes()), range_end: None, keys_only: false };
        Ok(self.range(&request).await?.pop())
    }

    /// Returns the entries of all keys with a prefix.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond in time or responds with an error.
    pub async fn list(&self, prefix: &str) -> Result<Vec<KvEntry>> {
        self.range(&prefix_range(prefix, false)).await
    }

    /// Returns all keys with a prefix and the revisions of their last writes.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond in time or responds with an error.
    pub async fn revisions(&self, prefix: &str) -> Result<Vec<(String, u64)>> {
        let entries = self.range(&prefix_range(prefix, true)).await?;
        Ok(entries.into_iter().map(|entry| (entry.key, entry.revision)).collect())
    }

    /// Writes a key if `precondition` holds, and attaches it to `lease` if one is given.
    ///
    /// # Errors
    ///
    /// After an error for which [`Error::is_ambiguous`] returns `true`, the write may have taken effect.
    pub async fn put_if(
        &self,
        key: &str,
        precondition: Precondition,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<WriteOutcome> {
        let encoded_key = encode_base64(key.as_bytes());
        let lease = lease.map_or(0, |lease| lease.0).to_string();
        let operation =
            json!({"requestPut": {"key": encoded_key, "value": encode_base64(value), "lease": lease}});
        self.compare_and_swap(&encoded_key, precondition, operation).await
    }

    /// Deletes a key if `precondition` holds.
    ///
    /// # Errors
    ///
    /// After an error for which [`Error::is_ambiguous`] returns `true`, the deletion may have taken effect.
    pub async fn delete_if(&self, key: &str, precondition: Precondition) -> Result<WriteOutcome> {
        let encoded_key = encode_base64(key.as_bytes());
        let operation = json!({"requestDeleteRange": {"key": encoded_key}});
        self.compare_and_swap(&encoded_key, precondition, operation).await
    }

    /// Creates a lease that expires `ttl`, in whole seconds, after its last renewal.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond in time or responds with an error.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        let request = json!({"TTL": ttl.as_secs().to_string()});
        let response: LeaseResponse = self.http.post(&self.url("/v3/lease/grant"), &request).await?;
        Ok(LeaseId(parse_number(&response.id)?))
    }

    /// Renews a lease and returns whether it still existed.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond in time or responds with an error; the lease may have been
    /// renewed.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<bool> {
        let request = json!({"ID": lease.0.to_string()});
        let response: KeepAliveResponse = self.http.post(&self.url("/v3/lease/keepalive"), &request).await?;
        Ok(parse_number(&response.result.ttl)? > 0)
    }

    /// Revokes a lease and deletes the keys attached to it.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond in time or responds with an error; the lease may have been
    /// revoked.
    pub async fn revoke(&self, lease: LeaseId) -> Result<()> {
        let request = json!({"ID": lease.0.to_string()});
        let _: Value = self.http.post(&self.url("/v3/lease/revoke"), &request).await?;
        Ok(())
    }

    /// Starts a watch that receives all changes of keys with a prefix from `revision` on.
    ///
    /// # Errors
    ///
    /// Fails if the service does not accept the watch in time.
    pub async fn watch(&self, prefix: &str, revision: u64) -> Result<Watch> {
        let request = json!({"create_request": {
            "key": encode_base64(prefix.as_bytes()),
            "range_end": encoded_range_end(prefix),
            "start_revision": revision.to_string(),
        }});
        let body = Bytes::from(serde_json::to_vec(&request)?);
        let url = self.url("/v3/watch");
        let opening = self.http.open_stream(Method::POST, &url, body);
        let response = match tokio::time::timeout(self.timeout, opening).await {
            Ok(response) => response?,
            Err(_) => return Err(Error::Lost(format!("no response from {url} within {:?}", self.timeout))),
        };
        if response.status().is_success() {
            return Ok(Watch { body: response.into_body(), buffer: BytesMut::new() });
        }
        Err(Error::Status(response.status().as_u16(), "watch refused".to_owned()))
    }

    async fn range(&self, request: &RangeRequest) -> Result<Vec<KvEntry>> {
        let response: RangeResponse = self.http.post(&self.url("/v3/kv/range"), request).await?;
        response.kvs.into_iter().map(crate::kv_wire::WireEntry::decode).collect()
    }

    async fn compare_and_swap(
        &self,
        encoded_key: &str,
        precondition: Precondition,
        operation: Value,
    ) -> Result<WriteOutcome> {
        let compare = match precondition {
            Precondition::Absent => {
                json!({"result": "EQUAL", "target": "CREATE", "key": encoded_key, "create_revision": "0"})
            }
            Precondition::Revision(revision) => {
                json!({
                    "result": "EQUAL",
                    "target": "MOD",
                    "key": encoded_key,
                    "mod_revision": revision.to_string(),
                })
            }
        };
        let request = json!({
            "compare": [compare],
            "success": [operation],
            "failure": [{"requestRange": {"key": encoded_key}}],
        });
        let response: TxnResponse = self.http.post(&self.url("/v3/kv/txn"), &request).await?;
        if response.succeeded {
            return Ok(WriteOutcome::Written(parse_number(&response.header.revision)?));
        }
        let current = response.responses.into_iter().flat_map(|response| response.response_range.kvs).next();
        Ok(WriteOutcome::Conflict(current.map(crate::kv_wire::WireEntry::decode).transpose()?))
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }
}

impl Watch {
    /// Waits for the next changes and returns them; a deleted key has an empty value.
    ///
    /// # Errors
    ///
    /// Fails if the watch ended; changes may have been missed, so the keys must be read again.
    pub async fn next(&mut self) -> Result<Vec<KvEntry>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                let response: WatchResponse = serde_json::from_slice(&line)?;
                let compacted = parse_number(&response.result.compact_revision)? > 0;
                if response.result.canceled || compacted {
                    return Err(Error::Lost("the service cancelled the watch".to_owned()));
                }
                let entries: Result<Vec<KvEntry>> =
                    response.result.events.into_iter().map(|event| event.kv.decode()).collect();
                let entries = entries?;
                if !entries.is_empty() {
                    return Ok(entries);
                }
                continue;
            }
            match self.body.frame().await {
                None => return Err(Error::Lost("the service closed the connection of the watch".to_owned())),
                Some(Err(err)) => return Err(Error::Lost(err.to_string())),
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend_from_slice(data);
                    }
                }
            }
        }
    }
}

fn prefix_range(prefix: &str, keys_only: bool) -> RangeRequest {
    RangeRequest {
        key: encode_base64(prefix.as_bytes()),
        range_end: Some(encoded_range_end(prefix)),
        keys_only,
    }
}
