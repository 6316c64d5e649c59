use std::rc::Rc;
use std::time::Duration;

use carobwick_core::EndpointId;
use carobwick_core::Millis;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::ListCursor;
use carobwick_core::gateway::ListSource;
use carobwick_core::gateway::ListSpan;
use carobwick_core::gateway::Listed;
use carobwick_runtime::now;
use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::Category;
use crate::Result;
use crate::Revision;
use crate::Store;
use crate::coordinator::Coordinator;
use crate::follow::Backoff;
use crate::follow::WAIT;
use crate::message::ListNews;
use crate::state::State;

/// Keeps the list of endpoints up to date, by the leader's news or from the store.
pub(crate) struct ListReader {
    state: Rc<State>,
    store: Rc<dyn Store>,
    coordinator: Rc<Coordinator>,
    news: mpsc::UnboundedReceiver<ListNews>,
    cursor: ListCursor,
    /// Entries as last read from the store, to pass on what has changed.
    read: IndexMap<EndpointId, EndpointEntry>,
}

/// What the reader does next.
enum Turn {
    Take(ListNews),
    Read,
}

impl ListReader {
    pub fn new(
        state: Rc<State>,
        store: Rc<dyn Store>,
        coordinator: Rc<Coordinator>,
        news: mpsc::UnboundedReceiver<ListNews>,
    ) -> Self {
        let cursor = ListCursor::new(state.terms.get().drain);
        Self { state, store, coordinator, news, cursor, read: IndexMap::new() }
    }

    /// Runs for as long as the process does.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new();
        loop {
            self.cursor.set_drain(self.state.terms.get().drain);
            match self.turn().await {
                Turn::Take(news) => self.take_news(&news),
                Turn::Read => match self.read().await {
                    Ok(()) => backoff.reset(),
                    Err(err) => {
                        tracing::info!("list: the store did not answer: {err}");
                        self.cursor.failed(err.category() != Category::Compacted);
                        backoff.wait().await;
                    }
                },
            }
            self.settle();
        }
    }

    async fn turn(&mut self) -> Turn {
        match timeout(self.cursor.wait(now()), self.news.recv()).await {
            Ok(Some(news)) if self.cursor.after().is_some() => Turn::Take(news),
            Ok(_) | Err(_) => Turn::Read,
        }
    }

    fn source(&self) -> ListSource {
        match (self.coordinator.is_leading(), self.state.has_leader()) {
            (true, _) => ListSource::Leader,
            (false, true) => ListSource::Follower,
            (false, false) => ListSource::Alone,
        }
    }

    /// Takes the leader's news if they go on from what is known.
    fn take_news(&mut self, news: &ListNews) {
        let span = ListSpan { from: news.from, at: news.at, age: news.age.duration() };
        if self.cursor.take(span, now()) {
            let changes = self.changes(&news.changes);
            self.apply(changes);
        }
    }

    async fn read(&mut self) -> Result<()> {
        match self.cursor.after() {
            None => self.read_whole().await,
            Some(after) => self.read_changes(after).await,
        }
    }

    async fn read_whole(&mut self) -> Result<()> {
        let list = self.store.endpoints().await?;
        if self.cursor.read(list.at, self.source(), now()) {
            self.state.roster.borrow_mut().store_returned(now());
            tracing::info!("list: the store answers again");
        }
        self.read = list.value.iter().map(|entry| (entry.id.clone(), entry.clone())).collect();
        self.state.roster.borrow_mut().replace(list.value, now());
        self.updated();
        Ok(())
    }

    async fn read_changes(&mut self, after: Revision) -> Result<()> {
        let sent = now();
        // The leader's answers are passed on even if nothing has changed, so it does not wait for a change.
        let wait = if self.coordinator.is_leading() { Duration::ZERO } else { WAIT };
        let news = self.store.watch_endpoints(after, wait).await?;
        self.cursor.read(news.at, self.source(), now());
        let changes = self.changes(&news.value);
        if self.coordinator.is_leading() && !self.cursor.is_unsettled(now()) {
            let age = Millis((now() - sent).as_millis() as u64);
            self.coordinator.pass_on(&ListNews { from: after, at: news.at, age, changes });
        }
        self.apply(news.value);
        Ok(())
    }

    /// Returns the news without the entries that differ from those before in nothing but their heartbeat.
    fn changes(&mut self, news: &[Listed]) -> Vec<Listed> {
        let mut changes = Vec::new();
        for change in news {
            let is_new = match change {
                Listed::Entry(entry) => {
                    let before = self.read.insert(entry.id.clone(), (**entry).clone());
                    before.is_none_or(|before| {
                        EndpointEntry { heartbeat: entry.heartbeat, ..before } != **entry
                    })
                }
                Listed::Removed(id) => self.read.swap_remove(id).is_some(),
            };
            if is_new {
                changes.push(change.clone());
            }
        }
        changes
    }

    fn apply(&self, changes: Vec<Listed>) {
        let mut roster = self.state.roster.borrow_mut();
        for change in changes {
            if let Listed::Removed(id) = &change {
                tracing::info!("list: endpoint {id} was removed");
            }
            roster.change(change, now());
        }
        drop(roster);
        self.updated();
    }

    fn settle(&self) {
        let gone = self.state.roster.borrow_mut().settle(now());
        for id in &gone {
            tracing::info!("list: endpoint {id} did not come back");
        }
        self.state.pool.tidy();
    }

    /// Passes the list on to those who work with it.
    fn updated(&self) {
        let state = &self.state;
        if !state.listed.replace(true) {
            tracing::info!("list: {} endpoints are known", state.roster.borrow().iter().count());
        }
        let roster = state.roster.borrow();
        state.meters.listed(roster.iter().count());
        state.balancer.borrow_mut().retain(|id| roster.get(id).is_some());
        self.coordinator.listed(&roster);
        drop(roster);
        state.changed.notify_waiters();
    }
}
