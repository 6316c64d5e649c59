use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use carobwick_core::Change;
use carobwick_core::Delta;
use carobwick_core::Digest;
use carobwick_core::InstanceId;
use carobwick_core::PeerMessage;
use carobwick_core::SharedState;
use carobwick_core::Version;
use tokio::sync::watch;

use crate::Error;
use crate::PeerClient;
use crate::Result;
use crate::wall_ms;

/// State that a process shares with its peers; subscribers are notified of its changes.
#[derive(Debug, Clone)]
pub struct Node {
    state: Arc<Mutex<SharedState>>,
    changes: watch::Sender<u64>,
}

/// Result of merging received state into the state of this process.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MergeOutcome {
    /// What changed in the state of this process.
    pub changes: Vec<Change>,
    /// Version of the manifest in force here, if the peer has different content under it; that
    /// content is not adopted.
    pub conflicting_version: Option<Version>,
}

impl Node {
    /// Opens a node with empty state.
    pub fn open() -> Self {
        Self { state: Arc::default(), changes: watch::Sender::new(0) }
    }

    /// Calls `f` with the state and returns its result; `f` runs under the lock and must not block.
    pub fn read<T>(&self, f: impl FnOnce(&SharedState) -> T) -> T {
        f(&self.lock())
    }

    /// Changes the state with `f`, notifies the subscribers and returns the result of `f`.
    ///
    /// `f` runs under the lock and must not block. Crash reports without a time get the current one.
    pub fn update<T>(&self, f: impl FnOnce(&mut SharedState) -> T) -> T {
        let result = {
            let mut state = self.lock();
            let result = f(&mut state);
            state.crash_reports.set_missing_times(wall_ms());
            result
        };
        self.changes.send_modify(|count| *count += 1);
        result
    }

    /// Merges what is newer in a delta, notifies the subscribers if anything changed, and returns the
    /// changes.
    pub fn merge(&self, delta: Delta) -> Vec<Change> {
        let changes = self.lock().merge(delta);
        if !changes.is_empty() {
            self.changes.send_modify(|count| *count += 1);
        }
        changes
    }

    /// Records that an instance has a manifest version in force.
    pub fn record_applied(&self, instance: &InstanceId, version: Version) {
        self.lock().record_applied(instance, version);
    }

    /// Handles a message of an anti-entropy exchange and returns the reply; other messages get an
    /// acknowledgement.
    pub fn handle_message(&self, message: PeerMessage) -> (PeerMessage, MergeOutcome) {
        match message {
            PeerMessage::Probe { state_hash, .. } => {
                let own_hash = self.read(|state| state.digest().state_hash());
                let reply = if own_hash == state_hash { PeerMessage::Same } else { PeerMessage::Differs };
                (reply, MergeOutcome::default())
            }
            PeerMessage::Sync { digest, .. } => {
                let conflicting_version = self.merge_digest(&digest);
                let (own_digest, delta) = self.read(|state| (state.digest(), state.delta_for(&digest)));
                let outcome = MergeOutcome { changes: Vec::new(), conflicting_version };
                (PeerMessage::SyncReply { digest: own_digest, delta }, outcome)
            }
            PeerMessage::Push { delta } => {
                (PeerMessage::Ack, MergeOutcome { changes: self.merge(delta), conflicting_version: None })
            }
            _ => (PeerMessage::Ack, MergeOutcome::default()),
        }
    }

    /// Runs an anti-entropy exchange with the peer at `addr` (`IP:port`) and returns what it changed here.
    ///
    /// Equal states, the usual case, cost two small messages.
    ///
    /// # Errors
    ///
    /// Fails as [`PeerClient::exchange`] does, or with [`Error::Codec`] if the peer's reply is of the wrong
    /// kind.
    pub async fn exchange(&self, peers: &PeerClient, addr: &str, from: &InstanceId) -> Result<MergeOutcome> {
        let own_digest = self.read(SharedState::digest);
        let probe = PeerMessage::Probe { from: from.clone(), state_hash: own_digest.state_hash() };
        match peers.exchange(addr, &probe).await? {
            PeerMessage::Same => return Ok(MergeOutcome::default()),
            PeerMessage::Differs => {}
            _ => return Err(unexpected_reply(addr)),
        }
        let sync = PeerMessage::Sync { from: from.clone(), digest: own_digest };
        let PeerMessage::SyncReply { digest, delta } = peers.exchange(addr, &sync).await? else {
            return Err(unexpected_reply(addr));
        };
        let changes = self.merge(delta);
        let conflicting_version = self.merge_digest(&digest);
        let delta = self.read(|state| state.delta_for(&digest));
        if delta != Delta::default() {
            peers.exchange(addr, &PeerMessage::Push { delta }).await?;
        }
        Ok(MergeOutcome { changes, conflicting_version })
    }

    /// Records which instances have the manifest in force according to a peer's digest, and returns the
    /// version in force here if the peer has a different manifest under it.
    fn merge_digest(&self, peer: &Digest) -> Option<Version> {
        let mut state = self.lock();
        state.merge_applied(peer);
        state.digest().conflicting_version(peer)
    }

    /// Returns a receiver that is notified after each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, SharedState> {
        // Changes replace whole values, so the state is consistent even if a panic poisoned the lock.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unexpected_reply(addr: &str) -> Error {
    Error::Codec(format!("{addr} replied with an unexpected kind of message"))
}
