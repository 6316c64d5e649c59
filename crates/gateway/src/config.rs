use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use carobwick_core::gateway::RouteTable;
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

/// Longest wait of a follower's watch; the leader says when there is a newer configuration.
const FOLLOWER_WAIT: Duration = Duration::from_secs(30);
/// Longest wait of a watch by an instance without a leader.
const ALONE_WAIT: Duration = Duration::from_secs(10);
/// Part of the time for a new configuration for which the leader's watch waits, which it is late by if an answer is lost.
const LEADER_PART: f64 = 0.25;
/// Part of the time for a new configuration for which an answer may be late.
const LATE_PART: f64 = 0.25;

/// Keeps the routes up to date.
///
/// A connection on which an answer was lost stays silent although it is open. The leader's watch is short for this
/// reason, and it tells the others which version is in force.
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

/// What the reader does next.
enum Turn {
    Take(Source, Snapshot<Option<Arc<RouteTable>>>),
    /// Reads the whole configuration, since its watch may have lost its answer.
    Reread(&'static str),
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
                Ok(Turn::Take(source, news)) => {
                    backoff.reset();
                    self.after = Some(news.at);
                    if let Some(table) = news.value {
                        self.adopt(source, table);
                    }
                }
                Ok(Turn::Reread(reason)) => {
                    tracing::info!("config: is read again: {reason}");
                    self.after = None;
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
        let Some(after) = self.after else {
            return self.store.config().await.map(|news| Turn::Take(Source::Read, news));
        };
        let leads = self.coordinator.is_leading();
        let (wait, late) = (self.wait(), self.state.terms.get().apply.mul_f64(LATE_PART));
        let watch = timeout(wait + late, self.store.watch_config(after, wait));
        tokio::select! {
            biased;
            news = watch => {
                let silent = |_elapsed| Error::new(Category::Lost, "no answer to a watch in time");
                news.map_err(silent)?.map(|news| Turn::Take(Source::Watch, news))
            }
            () = self.overdue(late) => Ok(Turn::Reread("the leader has a newer one")),
            () = self.coordinator.until_leading(), if !leads => Ok(Turn::Reread("this instance leads now")),
        }
    }

    fn wait(&self) -> Duration {
        match (self.coordinator.is_leading(), self.state.has_leader()) {
            (true, _) => self.state.terms.get().apply.mul_f64(LEADER_PART),
            (false, true) => FOLLOWER_WAIT,
            (false, false) => ALONE_WAIT,
        }
    }

    /// Waits until the leader has had a newer version for some time.
    async fn overdue(&self, late: Duration) {
        loop {
            let told = self.state.told_version.notified();
            if self.state.is_outdated() {
                tokio::time::sleep(late).await;
                if self.state.take_outdated() {
                    return;
                }
            }
            told.await;
        }
    }

    /// Takes a configuration unless it is older than the one in force.
    fn adopt(&self, source: Source, table: Arc<RouteTable>) {
        let mut known = self.state.table.borrow_mut();
        if known.as_ref().is_some_and(|old| old.version >= table.version) {
            return;
        }
        tracing::info!(
            "config: version {} is in force, {} routes, by a {source:?}",
            table.version,
            table.routes().count()
        );
        self.state.meters.configured(table.version.0);
        let version = table.version;
        *known = Some(table);
        drop(known);
        if self.coordinator.is_leading() {
            self.coordinator.tell_version(version);
        }
    }
}

/// Returns where to go on after a failed call: a gap in the history is closed by reading the whole.
fn go_on(after: Option<Revision>, err: &Error) -> Option<Revision> {
    match err.category() {
        Category::Busy | Category::Connect | Category::Unreachable => after,
        Category::Compacted | Category::Lost | Category::Codec | Category::Start => None,
    }
}
