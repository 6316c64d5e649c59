use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use carobwick_core::Time;
use carobwick_core::gateway::RouteTable;
use carobwick_runtime::now;
use tokio::time::timeout;

use crate::Category;
use crate::Error;
use crate::Result;
use crate::Revision;
use crate::Snapshot;
use crate::Store;
use crate::backoff::Backoff;
use crate::coordinator::Coordinator;
use crate::state::State;

/// Keeps the routes up to date.
///
/// A connection on which an answer was lost stays silent although it is open, so each watch is bounded. A
/// follower's watch is long as long as the leader says which version is the newest.
pub(crate) struct ConfigReader {
    state: Rc<State>,
    store: Rc<dyn Store>,
    coordinator: Rc<Coordinator>,
    revision: Option<Revision>,
}

/// How a configuration was learnt.
#[derive(Debug, Clone, Copy)]
enum Source {
    Read,
    Watch,
}

/// What the store answered.
struct ConfigUpdate {
    source: Source,
    /// When the answer was the newest state at the earliest.
    as_of: Time,
    snapshot: Snapshot<Option<Arc<RouteTable>>>,
}

/// What the reader does next.
enum Action {
    Receive(ConfigUpdate),
    /// Reads the whole configuration, since its watch may have lost its answer.
    Reread(&'static str),
    /// Watches again on another connection, since nothing backs a long watch any more.
    Rewatch,
}

impl ConfigReader {
    pub fn new(state: Rc<State>, store: Rc<dyn Store>, coordinator: Rc<Coordinator>) -> Self {
        Self { state, store, coordinator, revision: None }
    }

    /// Runs for as long as the process does.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new();
        loop {
            match self.next_action().await {
                Ok(Action::Receive(update)) => {
                    backoff.reset();
                    self.receive(update);
                }
                Ok(Action::Reread(reason)) => {
                    tracing::info!("config: is read again: {reason}");
                    self.revision = None;
                }
                Ok(Action::Rewatch) => {
                    tracing::debug!("config: no word of the leader, watches by itself");
                }
                Err(err) => {
                    tracing::info!("config: the store did not answer: {err}");
                    self.revision = revision_after_error(self.revision, &err);
                    backoff.wait().await;
                }
            }
        }
    }

    /// Reads the configuration, or waits for a change of it.
    async fn next_action(&self) -> Result<Action> {
        let Some(revision) = self.revision else { return self.read().await.map(Action::Receive) };
        let is_leading = self.coordinator.is_leading();
        let timeouts = self.state.freshness.borrow().watch(is_leading, now());
        let watch = timeout(timeouts.limit, self.watch(revision, timeouts.wait));
        tokio::select! {
            biased;
            update = watch => {
                let silent = |_elapsed| Error::new(Category::Lost, "no answer to a watch in time");
                update.map_err(silent)?.map(Action::Receive)
            }
            () = self.wait_outdated() => Ok(Action::Reread("the leader has a newer one")),
            () = self.coordinator.wait_leading(), if !is_leading => Ok(Action::Reread("this instance leads now")),
            () = self.wait_stale(), if timeouts.backed => Ok(Action::Rewatch),
        }
    }

    async fn read(&self) -> Result<ConfigUpdate> {
        let as_of = now();
        let snapshot = self.store.config().await?;
        Ok(ConfigUpdate { source: Source::Read, as_of, snapshot })
    }

    async fn watch(&self, revision: Revision, wait: Duration) -> Result<ConfigUpdate> {
        let sent = now();
        let snapshot = self.store.watch_config(revision, wait).await?;
        let waited = sent + wait;
        // Without a change the store has waited before it answered.
        let as_of = if snapshot.value.is_none() && now() >= waited { waited } else { sent };
        Ok(ConfigUpdate { source: Source::Watch, as_of, snapshot })
    }

    /// Waits until the leader has had a newer version for some time.
    async fn wait_outdated(&self) {
        loop {
            let changed = self.state.leader_version_changed.notified();
            if self.state.is_outdated() {
                let late = self.state.freshness.borrow().late();
                tokio::time::sleep(late).await;
                if self.state.take_outdated() {
                    return;
                }
            }
            changed.await;
        }
    }

    /// Waits until the configuration can no longer be taken for the newest.
    async fn wait_stale(&self) {
        loop {
            let trusted = self.state.freshness.borrow().trusted(now());
            if trusted.is_zero() {
                return;
            }
            tokio::time::sleep(trusted).await;
        }
    }

    fn receive(&mut self, update: ConfigUpdate) {
        self.revision = Some(update.snapshot.revision);
        let applied = update.snapshot.value.is_some_and(|table| self.apply(update.source, table));
        self.state.freshness.borrow_mut().checked(update.as_of);
        if applied && self.coordinator.is_leading() {
            self.coordinator.broadcast_version();
        }
    }

    /// Takes a configuration unless it is older than the one in force, and returns whether it did.
    fn apply(&self, source: Source, table: Arc<RouteTable>) -> bool {
        let version = table.version;
        if self.state.config_version().is_some_and(|old| old >= version) {
            return false;
        }
        let routes = table.routes().count();
        tracing::info!("config: version {version} is in force, {routes} routes, by a {source:?}");
        self.state.meters.set_config_version(version.0);
        *self.state.table.borrow_mut() = Some(table);
        true
    }
}

/// Returns where to go on after a failed call: a gap in the history is closed by reading the whole.
fn revision_after_error(revision: Option<Revision>, err: &Error) -> Option<Revision> {
    match err.category() {
        Category::Busy | Category::Connect | Category::Unreachable => revision,
        Category::Compacted | Category::Lost | Category::Codec | Category::Start => None,
    }
}
