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

/// The state that a process shares with its peers, with notice of its changes.
#[derive(Debug, Clone)]
pub struct Node {
    state: Arc<Mutex<SharedState>>,
    changes: watch::Sender<u64>,
}

/// What an exchange brought.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MergeOutcome {
    /// What changed here.
    pub changes: Vec<Change>,
    /// Version of the manifest in force here, if the peer has another content under it. It is not adopted.
    pub conflicting_version: Option<Version>,
}

impl Node {
    /// Opens a node with empty state.
    pub fn open() -> Self {
        Self { state: Arc::default(), changes: watch::Sender::new(0) }
    }

    /// Reads the state. The function must not block.
    pub fn read<T>(&self, f: impl FnOnce(&SharedState) -> T) -> T {
        f(&self.lock())
    }

    /// Changes the state and notifies the subscribers. The function must not block.
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

    /// Takes over what is newer in a delta and notifies the subscribers if anything changed.
    pub fn merge(&self, delta: Delta) -> Vec<Change> {
        let changes = self.lock().merge(delta);
        if !changes.is_empty() {
            self.changes.send_modify(|count| *count += 1);
        }
        changes
    }

    /// Notes that an instance has a version in force.
    pub fn record_applied(&self, instance: &InstanceId, version: Version) {
        self.lock().record_applied(instance, version);
    }

    /// Answers a message of the exchange; other messages are acknowledged.
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

    /// Exchanges state with the peer at `addr` (`IP:port`) and returns what was learned.
    ///
    /// Equal states, the usual case, cost two small messages.
    ///
    /// # Errors
    ///
    /// Fails as [`PeerClient::exchange`] does, or if the peer's reply is of the wrong kind.
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

    /// Takes over which instances have the manifest in force, and returns the version if the peer has another one
    /// of the same version.
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
        // The state is replaced value by value, so it is whole even after a panic elsewhere.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unexpected_reply(addr: &str) -> Error {
    Error::Codec(format!("{addr} replied with a message of the wrong kind"))
}
