use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use carobwick_core::EndpointId;
use carobwick_core::Millis;
use carobwick_core::Time;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::ListCursor;
use carobwick_core::gateway::ListSource;
use carobwick_core::gateway::ListSpan;
use carobwick_core::gateway::Listed;
use carobwick_runtime::now;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::Category;
use crate::Error;
use crate::Result;
use crate::Revision;
use crate::Snapshot;
use crate::Store;
use crate::backoff::Backoff;
use crate::coordinator::Coordinator;
use crate::message::ListUpdate;
use crate::state::State;

/// Part of the drain time in which the store must give out the changes of the list.
const ANSWER_PART: f64 = 0.25;

/// Keeps the list of endpoints up to date, by the leader's news or from the store.
pub(crate) struct ListReader {
    state: Rc<State>,
    store: Rc<dyn Store>,
    coordinator: Rc<Coordinator>,
    news: mpsc::UnboundedReceiver<ListUpdate>,
    cursor: ListCursor,
    /// Entries as last read from the store, to pass on what has changed.
    read: IndexMap<EndpointId, EndpointEntry>,
    /// Revision up to which `read` was complete when the history was lost.
    lost: Option<Revision>,
}

/// What the store answered.
enum Fetched {
    Whole(Snapshot<Vec<EndpointEntry>>),
    Changes { after: Revision, news: Snapshot<Vec<Listed>> },
}

/// What the reader does next.
enum Turn {
    Take(ListUpdate),
    Read,
}

impl ListReader {
    pub fn new(
        state: Rc<State>,
        store: Rc<dyn Store>,
        coordinator: Rc<Coordinator>,
        news: mpsc::UnboundedReceiver<ListUpdate>,
    ) -> Self {
        let cursor = ListCursor::new(state.terms.get().drain);
        Self { state, store, coordinator, news, cursor, read: IndexMap::new(), lost: None }
    }

    /// Runs for as long as the process does.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new();
        loop {
            self.cursor.set_drain(self.state.terms.get().drain);
            match self.turn().await {
                Turn::Take(news) => {
                    self.take_news(&news);
                }
                Turn::Read => match self.read().await {
                    Ok(()) => backoff.reset(),
                    Err(err) => {
                        tracing::info!("list: the store did not answer: {err}");
                        self.lost = self.cursor.after().or(self.lost);
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

    /// Takes the leader's news if they go on from what is known, and returns whether they do.
    fn take_news(&mut self, news: &ListUpdate) -> bool {
        let span = ListSpan { from: news.from, at: news.to, age: news.age.duration() };
        let follows = self.cursor.take(span, now());
        if follows {
            let changes = self.changes(&news.changes);
            self.apply(changes);
        }
        follows
    }

    /// Reads from the store, unless the leader's news make that needless meanwhile.
    async fn read(&mut self) -> Result<()> {
        let (after, sent) = (self.cursor.after(), now());
        let mut fetch = pin!(fetch(Rc::clone(&self.store), after, self.state.terms.get().drain));
        let fetched = loop {
            tokio::select! {
                biased;
                fetched = &mut fetch => break fetched?,
                // A path to the store that has gone silent holds up the read for seconds.
                Some(news) = self.news.recv(), if after.is_some() => {
                    if self.take_news(&news) {
                        return Ok(());
                    }
                }
            }
        };
        match fetched {
            Fetched::Whole(list) => self.take_whole(list, sent),
            Fetched::Changes { after, news } => self.take_changes(after, news, sent),
        }
        Ok(())
    }

    fn take_whole(&mut self, list: Snapshot<Vec<EndpointEntry>>, sent: Time) {
        if self.cursor.read(list.revision, self.source(), now()) {
            self.state.roster.borrow_mut().store_returned(now());
            tracing::info!("list: the store answers again");
        }
        let changes = self.whole_changes(&list.value);
        if let Some(from) = self.lost.take()
            && self.coordinator.is_leading()
            && !self.cursor.is_unsettled(now())
        {
            // The others need not find out by themselves that the history is gone.
            let age = Millis((now() - sent).as_millis() as u64);
            self.coordinator.pass_on(&ListUpdate { from, to: list.revision, age, changes });
        }
        self.state.roster.borrow_mut().replace(list.value, now());
        self.updated();
    }

    /// Returns what a whole list changes of the entries as read before.
    fn whole_changes(&mut self, list: &[EndpointEntry]) -> Vec<Listed> {
        let present: IndexSet<&EndpointId> = list.iter().map(|entry| &entry.id).collect();
        let removed = self.read.keys().filter(|id| !present.contains(*id)).cloned().map(Listed::Removed);
        let entries = list.iter().cloned().map(|entry| Listed::Entry(Box::new(entry)));
        let news: Vec<Listed> = removed.chain(entries).collect();
        self.changes(&news)
    }

    fn take_changes(&mut self, after: Revision, news: Snapshot<Vec<Listed>>, sent: Time) {
        self.cursor.read(news.revision, self.source(), now());
        let changes = self.changes(&news.value);
        if self.coordinator.is_leading() && !self.cursor.is_unsettled(now()) {
            let age = Millis((now() - sent).as_millis() as u64);
            self.coordinator.pass_on(&ListUpdate { from: after, to: news.revision, age, changes });
        }
        self.apply(news.value);
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
        self.state.pool.close_expired();
    }

    /// Passes the list on to those who work with it.
    fn updated(&self) {
        let state = &self.state;
        if !state.listed.replace(true) {
            tracing::info!("list: {} endpoints are known", state.roster.borrow().iter().count());
        }
        let roster = state.roster.borrow();
        state.count_endpoints();
        state.balancer.borrow_mut().retain(|id| roster.get(id).is_some(), now());
        self.coordinator.listed(&roster);
        drop(roster);
        state.changed.notify_waiters();
    }
}

/// Reads the whole list, or its changes after a revision.
///
/// Heartbeats change the list all the time, so the changes are there at once. A connection on which an answer was lost stays
/// silent although it is open, and must not hold up the next read beyond the drain time.
async fn fetch(store: Rc<dyn Store>, after: Option<Revision>, drain: Duration) -> Result<Fetched> {
    let Some(after) = after else { return store.endpoints().await.map(Fetched::Whole) };
    let silent = |_elapsed| Error::new(Category::Lost, "no changes of the list in time");
    let changes = store.watch_endpoints(after, Duration::ZERO);
    let news = timeout(drain.mul_f64(ANSWER_PART), changes).await.map_err(silent)??;
    Ok(Fetched::Changes { after, news })
}
