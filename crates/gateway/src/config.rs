use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use carobwick_core::Revision;
use carobwick_core::Time;
use carobwick_core::gateway::RouteTable;
use carobwick_runtime::now;
use tokio::time::timeout;

use crate::Category;
use crate::Error;
use crate::Result;
use crate::Snapshot;
use crate::Store;
use crate::backoff::Backoff;
use crate::coordinator::Coordinator;
use crate::message::FollowerMessage;
use crate::state::State;

/// Keeps the configuration up to date.
///
/// A connection on which a response was lost stays open and silent, so each watch has a timeout. It is long
/// on a follower while the leader announces which version is the newest.
pub(crate) struct ConfigReader {
    state: Rc<State>,
    store: Rc<dyn Store>,
    coordinator: Rc<Coordinator>,
    revision: Option<Revision>,
    /// Whether the configuration is read again since the leader has a newer version.
    outdated: bool,
    /// Error of the last call, which is logged once while it repeats.
    last_error: Option<String>,
}

/// Call by which a configuration was received.
#[derive(Debug, Clone, Copy)]
enum Source {
    Read,
    Watch,
}

/// Response of the store.
struct ConfigUpdate {
    source: Source,
    /// Time at which the snapshot was certainly the newest state.
    as_of: Time,
    snapshot: Snapshot<Option<Arc<RouteTable>>>,
}

/// Next action of the reader.
enum Action {
    Receive(ConfigUpdate),
    /// Read the whole configuration for this reason, since the response to the watch may be lost.
    Reread(&'static str),
    /// Read the whole configuration, since the leader has a newer version.
    Outdated,
    /// Start a watch on another connection, since the leader no longer confirms the version during a long
    /// one.
    Rewatch,
}

impl ConfigReader {
    pub fn new(state: Rc<State>, store: Rc<dyn Store>, coordinator: Rc<Coordinator>) -> Self {
        Self { state, store, coordinator, revision: None, outdated: false, last_error: None }
    }

    /// Runs until the task is aborted.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new();
        loop {
            match self.next_action().await {
                Ok(Action::Receive(update)) => {
                    backoff.reset();
                    self.last_error = None;
                    self.receive(update);
                }
                Ok(Action::Reread(reason)) => {
                    tracing::info!("config: reading again: {reason}");
                    self.revision = None;
                }
                Ok(Action::Outdated) => {
                    tracing::info!("config: reading again: the leader has a newer version");
                    self.revision = None;
                    self.outdated = true;
                }
                Ok(Action::Rewatch) => {
                    tracing::debug!("config: no confirmation from the leader, watching without it");
                }
                Err(err) => {
                    self.log_error(&err);
                    self.revision = revision_after_error(self.revision, &err);
                    backoff.wait().await;
                }
            }
        }
    }

    /// Logs an error unless the call before failed with the same one, as each read of an invalid configuration does.
    fn log_error(&mut self, err: &Error) {
        let text = err.to_string();
        if self.last_error.as_ref() != Some(&text) {
            tracing::warn!("config: can't read from the store: {text}");
        }
        self.last_error = Some(text);
    }

    /// Reads the configuration if its revision is unknown, or else waits for a change of it.
    async fn next_action(&self) -> Result<Action> {
        let Some(revision) = self.revision else { return self.read().await.map(Action::Receive) };
        let is_leading = self.coordinator.is_leading();
        let timeouts = self.state.freshness.borrow().watch_timeouts(is_leading, now());
        let watch = timeout(timeouts.timeout, self.watch(revision, timeouts.wait));
        tokio::select! {
            biased;
            update = watch => {
                let timed_out = |_elapsed| Error::new(Category::Lost, "no response to a watch in time");
                update.map_err(timed_out)?.map(Action::Receive)
            }
            () = self.wait_outdated() => Ok(Action::Outdated),
            () = self.coordinator.wait_leading(), if !is_leading => Ok(Action::Reread("this instance is the leader now")),
            () = self.wait_stale(), if timeouts.leader_backed => Ok(Action::Rewatch),
        }
    }

    async fn read(&self) -> Result<ConfigUpdate> {
        let as_of = now();
        let snapshot = self.store.config().await?;
        Ok(ConfigUpdate { source: Source::Read, as_of, snapshot })
    }

    async fn watch(&self, revision: Revision, wait: Duration) -> Result<ConfigUpdate> {
        let sent_at = now();
        let snapshot = self.store.watch_config(revision, wait).await?;
        let waited = sent_at + wait;
        // Without a change, the store responds when the wait is over, so the configuration was the newest
        // until then.
        let as_of = if snapshot.value.is_none() && now() >= waited { waited } else { sent_at };
        Ok(ConfigUpdate { source: Source::Watch, as_of, snapshot })
    }

    /// Waits until the leader has had a newer version for longer than a watch takes to deliver it.
    async fn wait_outdated(&self) {
        loop {
            let changed = self.state.leader_version_changed.notified();
            if self.state.is_outdated() {
                let max_lag = self.state.freshness.borrow().max_lag();
                tokio::time::sleep(max_lag).await;
                if self.state.take_outdated() {
                    return;
                }
            }
            changed.await;
        }
    }

    /// Waits until the configuration is no longer known to be the newest.
    async fn wait_stale(&self) {
        loop {
            let remaining = self.state.freshness.borrow().remaining_trust(now());
            if remaining.is_zero() {
                return;
            }
            tokio::time::sleep(remaining).await;
        }
    }

    fn receive(&mut self, update: ConfigUpdate) {
        self.revision = Some(update.snapshot.revision);
        let source = update.source;
        let received = format!("received by a {source:?}");
        let applied = update.snapshot.value.is_some_and(|table| self.state.apply_config(table, &received));
        if std::mem::take(&mut self.outdated) && !applied && matches!(source, Source::Read) {
            // The store has returned from a copy, and the operators have not written again yet.
            self.state.send_to_leader(FollowerMessage::RequestConfig);
        }
        self.state.freshness.borrow_mut().record_confirmed(update.as_of);
        if applied && self.coordinator.is_leading() {
            self.coordinator.broadcast_version();
        }
    }
}

/// Returns the revision from which to watch after a failed call, or none if the whole configuration must be
/// read since a change may have been missed.
fn revision_after_error(revision: Option<Revision>, err: &Error) -> Option<Revision> {
    match err.category() {
        Category::Busy | Category::Connect | Category::Unreachable => revision,
        Category::Compacted | Category::Returned | Category::Lost | Category::Codec | Category::Start => None,
    }
}
