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
/// A connection on which an answer was lost stays silent although it is open, so each watch is bounded. A follower's watch is long
/// as long as the leader says which version is the newest.
pub(crate) struct ConfigReader {
    state: Rc<State>,
    store: Rc<dyn Store>,
    coordinator: Rc<Coordinator>,
    after: Option<Revision>,
}

/// How a configuration was learnt.
#[derive(Debug, Clone, Copy)]
enum Source {
    Read,
    Watch,
}

/// What the store answered.
struct News {
    source: Source,
    /// When the answer was the newest state at the earliest.
    since: Time,
    snapshot: Snapshot<Option<Arc<RouteTable>>>,
}

/// What the reader does next.
enum Turn {
    Take(News),
    /// Reads the whole configuration, since its watch may have lost its answer.
    Reread(&'static str),
    /// Watches again on another connection, since nothing backs a long watch any more.
    Rewatch,
}

impl ConfigReader {
    pub fn new(state: Rc<State>, store: Rc<dyn Store>, coordinator: Rc<Coordinator>) -> Self {
        Self { state, store, coordinator, after: None }
    }

    /// Runs for as long as the process does.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new();
        loop {
            match self.turn().await {
                Ok(Turn::Take(news)) => {
                    backoff.reset();
                    self.take(news);
                }
                Ok(Turn::Reread(reason)) => {
                    tracing::info!("config: is read again: {reason}");
                    self.after = None;
                }
                Ok(Turn::Rewatch) => {
                    tracing::debug!("config: no word of the leader, watches by itself");
                }
                Err(err) => {
                    tracing::info!("config: the store did not answer: {err}");
                    self.after = go_on(self.after, &err);
                    backoff.wait().await;
                }
            }
        }
    }

    /// Reads the configuration, or waits for a change of it.
    async fn turn(&self) -> Result<Turn> {
        let Some(after) = self.after else { return self.read().await.map(Turn::Take) };
        let leads = self.coordinator.is_leading();
        let terms = self.state.freshness.borrow().watch(leads, now());
        let watch = timeout(terms.limit, self.watch(after, terms.wait));
        tokio::select! {
            biased;
            news = watch => {
                let silent = |_elapsed| Error::new(Category::Lost, "no answer to a watch in time");
                news.map_err(silent)?.map(Turn::Take)
            }
            () = self.overdue() => Ok(Turn::Reread("the leader has a newer one")),
            () = self.coordinator.wait_leading(), if !leads => Ok(Turn::Reread("this instance leads now")),
            () = self.until_stale(), if terms.backed => Ok(Turn::Rewatch),
        }
    }

    async fn read(&self) -> Result<News> {
        let since = now();
        let snapshot = self.store.config().await?;
        Ok(News { source: Source::Read, since, snapshot })
    }

    async fn watch(&self, after: Revision, wait: Duration) -> Result<News> {
        let sent = now();
        let snapshot = self.store.watch_config(after, wait).await?;
        let waited = sent + wait;
        // Without a change the store has waited before it answered.
        let since = if snapshot.value.is_none() && now() >= waited { waited } else { sent };
        Ok(News { source: Source::Watch, since, snapshot })
    }

    /// Waits until the leader has had a newer version for some time.
    async fn overdue(&self) {
        loop {
            let told = self.state.told_version.notified();
            if self.state.is_outdated() {
                let late = self.state.freshness.borrow().late();
                tokio::time::sleep(late).await;
                if self.state.take_outdated() {
                    return;
                }
            }
            told.await;
        }
    }

    /// Waits until the configuration can no longer be taken for the newest.
    async fn until_stale(&self) {
        loop {
            let trusted = self.state.freshness.borrow().trusted(now());
            if trusted.is_zero() {
                return;
            }
            tokio::time::sleep(trusted).await;
        }
    }

    fn take(&mut self, news: News) {
        self.after = Some(news.snapshot.revision);
        let adopted = news.snapshot.value.is_some_and(|table| self.adopt(news.source, table));
        self.state.freshness.borrow_mut().checked(news.since);
        if adopted && self.coordinator.is_leading() {
            self.coordinator.tell_version();
        }
    }

    /// Takes a configuration unless it is older than the one in force, and returns whether it did.
    fn adopt(&self, source: Source, table: Arc<RouteTable>) -> bool {
        let version = table.version;
        if self.state.version().is_some_and(|old| old >= version) {
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
fn go_on(after: Option<Revision>, err: &Error) -> Option<Revision> {
    match err.category() {
        Category::Busy | Category::Connect | Category::Unreachable => after,
        Category::Compacted | Category::Lost | Category::Codec | Category::Start => None,
    }
}
