use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use super::wire::Compare;
use super::wire::CompareResult;
use super::wire::CompareTarget;
use super::wire::Operation;
use super::wire::Put;
use super::wire::Range;
use super::wire::header;

/// Number of changes that are kept for new watches; older changes count as compacted.
const MAX_HISTORY: usize = 20_000;

/// Keys, leases and watches of the key-value service, without I/O.
#[derive(Debug)]
pub(super) struct Store {
    revision: u64,
    keys: BTreeMap<Vec<u8>, Stored>,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
    history: VecDeque<Change>,
    watches: Vec<Watch>,
}

/// A value with its revisions.
#[derive(Debug, Clone)]
pub(super) struct Stored {
    pub value: Vec<u8>,
    pub create_revision: u64,
    pub mod_revision: u64,
    pub version: u64,
    pub lease: u64,
}

/// A change to one key; `stored` is `None` if the key was deleted.
#[derive(Debug, Clone)]
pub(super) struct Change {
    pub key: Vec<u8>,
    pub revision: u64,
    pub stored: Option<Stored>,
}

/// Response to a transaction, and whether the transaction changed any key.
#[derive(Debug)]
pub(super) struct TxnOutcome {
    pub body: Value,
    pub has_writes: bool,
}

/// Error for a watch that starts before the history; it contains the oldest revision that is kept.
#[derive(Debug)]
pub(super) struct Compacted(pub u64);

#[derive(Debug)]
struct Lease {
    ttl: u64,
    expires_at: Instant,
    keys: BTreeSet<Vec<u8>>,
}

#[derive(Debug)]
struct Watch {
    range: Range,
    sender: mpsc::UnboundedSender<Vec<Change>>,
}

impl Store {
    pub(super) fn new() -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease_id: 0,
            history: VecDeque::new(),
            watches: Vec::new(),
        }
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn range(&self, range: &Range) -> Value {
        let found: Vec<Value> = self
            .keys
            .iter()
            .filter(|(key, _)| range.contains(key))
            .map(|(key, stored)| stored.render(key, range.keys_only))
            .collect();
        let count = found.len().to_string();
        json!({"header": header(self.revision), "kvs": found, "count": count})
    }

    /// Runs the `success` operations if all comparisons hold, or else the `failure` operations.
    ///
    /// All writes of a transaction have the same revision.
    pub(super) fn txn(
        &mut self,
        compares: &[Compare],
        success: Vec<Operation>,
        failure: Vec<Operation>,
    ) -> TxnOutcome {
        let succeeded = compares.iter().all(|compare| self.is_satisfied(compare));
        let revision = self.revision + 1;
        let mut changes = Vec::new();
        let mut responses = Vec::new();
        for operation in if succeeded { success } else { failure } {
            responses.push(match operation {
                Operation::Range(range) => json!({"response_range": self.range(&range)}),
                Operation::Put(put) => {
                    changes.push(self.put(put, revision));
                    json!({"response_put": {"header": header(revision)}})
                }
                Operation::DeleteRange(range) => {
                    let deleted = self.delete(&range, revision);
                    let count = deleted.len().to_string();
                    changes.extend(deleted);
                    json!({"response_delete_range": {"header": header(revision), "deleted": count}})
                }
            });
        }
        let has_writes = !changes.is_empty();
        self.commit(changes);
        let mut body = json!({"header": header(self.revision), "responses": responses});
        if succeeded {
            body["succeeded"] = Value::Bool(true);
        }
        TxnOutcome { body, has_writes }
    }

    /// Creates a lease with a time to live in seconds and returns its id.
    pub(super) fn grant(&mut self, ttl: u64, now: Instant) -> u64 {
        self.last_lease_id += 1;
        let expires_at = now + Duration::from_secs(ttl);
        self.leases.insert(self.last_lease_id, Lease { ttl, expires_at, keys: BTreeSet::new() });
        self.last_lease_id
    }

    /// Renews a lease and returns its time to live in seconds, or `None` if it has expired.
    pub(super) fn keep_alive(&mut self, id: u64, now: Instant) -> Option<u64> {
        let lease = self.leases.get_mut(&id).filter(|lease| lease.expires_at > now)?;
        lease.expires_at = now + Duration::from_secs(lease.ttl);
        Some(lease.ttl)
    }

    /// Removes a lease and its keys, and returns whether the lease existed.
    pub(super) fn revoke(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.remove(&id) else {
            return false;
        };
        let revision = self.revision + 1;
        let changes: Vec<Change> = lease
            .keys
            .into_iter()
            .filter(|key| self.keys.remove(key).is_some())
            .map(|key| Change { key, revision, stored: None })
            .collect();
        self.commit(changes);
        true
    }

    /// Removes the expired leases and their keys.
    pub(super) fn expire(&mut self, now: Instant) {
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.expires_at <= now).map(|(id, _)| *id).collect();
        for id in expired {
            self.revoke(id);
        }
    }

    /// Returns whether a lease exists; id 0 means no lease and is always accepted.
    pub(super) fn has_lease(&self, id: u64) -> bool {
        id == 0 || self.leases.contains_key(&id)
    }

    /// Starts a watch, which first receives the changes since revision `start`, unless that is zero.
    pub(super) fn watch(
        &mut self,
        range: Range,
        start: u64,
    ) -> Result<mpsc::UnboundedReceiver<Vec<Change>>, Compacted> {
        let (sender, receiver) = mpsc::unbounded_channel();
        if start > 0 {
            if let Some(oldest) = self.history.front().filter(|_| self.history.len() == MAX_HISTORY)
                && start < oldest.revision
            {
                return Err(Compacted(oldest.revision));
            }
            let missed =
                self.history.iter().filter(|change| change.revision >= start && range.contains(&change.key));
            let missed: Vec<Change> = missed.cloned().collect();
            if !missed.is_empty() {
                // The receiver still exists, so the send can't fail.
                let _ = sender.send(missed);
            }
        }
        self.watches.push(Watch { range, sender });
        Ok(receiver)
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let stored = self.keys.get(&compare.key);
        let (actual, expected) = match compare.target {
            CompareTarget::Version => (stored.map_or(0, |stored| stored.version), compare.version),
            CompareTarget::Create => {
                (stored.map_or(0, |stored| stored.create_revision), compare.create_revision)
            }
            CompareTarget::Mod => (stored.map_or(0, |stored| stored.mod_revision), compare.mod_revision),
        };
        match compare.result {
            CompareResult::Equal => actual == expected,
            CompareResult::Greater => actual > expected,
            CompareResult::Less => actual < expected,
            CompareResult::NotEqual => actual != expected,
        }
    }

    fn put(&mut self, put: Put, revision: u64) -> Change {
        let old = self.keys.get(&put.key);
        let create_revision = old.map_or(revision, |old| old.create_revision);
        let version = old.map_or(0, |old| old.version) + 1;
        if let Some(lease) = old.and_then(|old| self.leases.get_mut(&old.lease)) {
            lease.keys.remove(&put.key);
        }
        if let Some(lease) = self.leases.get_mut(&put.lease) {
            lease.keys.insert(put.key.clone());
        }
        let stored =
            Stored { value: put.value, create_revision, mod_revision: revision, version, lease: put.lease };
        self.keys.insert(put.key.clone(), stored.clone());
        Change { key: put.key, revision, stored: Some(stored) }
    }

    fn delete(&mut self, range: &Range, revision: u64) -> Vec<Change> {
        let keys: Vec<Vec<u8>> = self.keys.keys().filter(|key| range.contains(key)).cloned().collect();
        for key in &keys {
            let old = self.keys.remove(key);
            if let Some(lease) = old.and_then(|old| self.leases.get_mut(&old.lease)) {
                lease.keys.remove(key);
            }
        }
        keys.into_iter().map(|key| Change { key, revision, stored: None }).collect()
    }

    fn commit(&mut self, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        self.revision += 1;
        self.watches.retain(|watch| {
            let matching: Vec<Change> =
                changes.iter().filter(|change| watch.range.contains(&change.key)).cloned().collect();
            if matching.is_empty() { !watch.sender.is_closed() } else { watch.sender.send(matching).is_ok() }
        });
        self.history.extend(changes);
        let excess = self.history.len().saturating_sub(MAX_HISTORY);
        self.history.drain(..excess);
    }
}

impl Range {
    /// Returns whether the range contains a key.
    ///
    /// An empty end means only the start key, and a single zero byte means all keys from the start.
    fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.key,
            [0] => key >= self.key.as_slice(),
            end => key >= self.key.as_slice() && key < end,
        }
    }
}
