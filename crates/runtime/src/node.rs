use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use carobwick_core::Change;
use carobwick_core::Delta;
use carobwick_core::InstanceId;
use carobwick_core::PeerMessage;
use carobwick_core::SharedState;
use tokio::sync::watch;

use crate::Error;
use crate::PeerClient;
use crate::Result;

/// The state that a process shares with its peers, with notice of its changes.
#[derive(Debug, Clone)]
pub struct Node {
    state: Arc<Mutex<SharedState>>,
    changes: watch::Sender<u64>,
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
        let result = f(&mut self.lock());
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

    /// Answers a message of the exchange and returns what it changed; other messages are acknowledged.
    pub fn answer(&self, message: PeerMessage) -> (PeerMessage, Vec<Change>) {
        match message {
            PeerMessage::Sync { digest, .. } => {
                let reply = self.read(|state| (state.digest(), state.delta_for(&digest)));
                (PeerMessage::SyncReply { digest: reply.0, delta: reply.1 }, Vec::new())
            }
            PeerMessage::Push { delta } => (PeerMessage::Ack, self.merge(delta)),
            PeerMessage::SyncReply { .. }
            | PeerMessage::Demand(_)
            | PeerMessage::Relayed(_)
            | PeerMessage::Ack => (PeerMessage::Ack, Vec::new()),
        }
    }

    /// Exchanges state with the peer at `addr` (`IP:port`) and returns what changed here.
    ///
    /// # Errors
    ///
    /// Fails as [`PeerClient::exchange`] does, or if the peer's reply is of the wrong kind.
    pub async fn exchange(&self, peers: &PeerClient, addr: &str, from: &InstanceId) -> Result<Vec<Change>> {
        let digest = self.read(SharedState::digest);
        let sync = PeerMessage::Sync { from: from.clone(), digest };
        let PeerMessage::SyncReply { digest, delta } = peers.exchange(addr, &sync).await? else {
            return Err(Error::Codec(format!("{addr} answered `Sync` with another message")));
        };
        let changes = self.merge(delta);
        let delta = self.read(|state| state.delta_for(&digest));
        if delta != Delta::default() {
            peers.exchange(addr, &PeerMessage::Push { delta }).await?;
        }
        Ok(changes)
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
