use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use carobwick_core::EndpointId;
use carobwick_core::Era;
use carobwick_core::Millis;
use carobwick_core::Revision;
use carobwick_core::Time;
use carobwick_core::gateway::EndpointChange;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::ListCursor;
use carobwick_core::gateway::ListRole;
use carobwick_core::gateway::RevisionRange;
use carobwick_runtime::now;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Category;
use crate::Error;
use crate::Result;
use crate::Snapshot;
use crate::Store;
use crate::backoff::Backoff;
use crate::coordinator::Coordinator;
use crate::message::ListUpdate;
use crate::served_versions;
use crate::state::State;

/// Fraction of the drain time within which the store must return the changes of the list.
const READ_TIMEOUT_FRACTION: f64 = 0.25;
/// Least time from a read to one that a request asks for. Callers decide how often requests ask.
const REQUESTED_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps the list of endpoints up to date, from the leader's updates or from the store.
pub(crate) struct ListReader {
    state: Rc<State>,
    store: Rc<dyn Store>,
    coordinator: Rc<Coordinator>,
    updates: mpsc::UnboundedReceiver<ListUpdate>,
    cursor: ListCursor,
    /// Entries as last received, to find what has changed.
    entries: IndexMap<EndpointId, EndpointEntry>,
    /// Revision up to which `entries` was complete when the last read failed.
    complete_revision: Option<Revision>,
    /// Era of the store at the last read of the whole list.
    era: Option<Era>,
    /// Time of the last read.
    last_read: Time,
    /// Whether the versions that had served before this instance started have been read.
    history_read: bool,
}

/// Response of the store.
enum Fetched {
    Full(Snapshot<Vec<EndpointEntry>>),
    Changes { after: Revision, changes: Snapshot<Vec<EndpointChange>> },
}

/// Next action of the reader.
enum Action {
    Receive(ListUpdate),
    Read,
    /// A read for requests that take streams up.
    ReadRequested,
}

impl ListReader {
    pub fn new(
        state: Rc<State>,
        store: Rc<dyn Store>,
        coordinator: Rc<Coordinator>,
        updates: mpsc::UnboundedReceiver<ListUpdate>,
    ) -> Self {
        let cursor = ListCursor::new(state.terms.get().drain);
        Self {
            state,
            store,
            coordinator,
            updates,
            cursor,
            entries: IndexMap::new(),
            complete_revision: None,
            era: None,
            last_read: Time::ZERO,
            history_read: false,
        }
    }

    /// Runs until the task is aborted.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new();
        loop {
            self.cursor.set_drain_time(self.state.terms.get().drain);
            match self.next_action().await {
                Action::Receive(update) => {
                    self.receive_update(update);
                }
                action => match self.read(matches!(action, Action::ReadRequested)).await {
                    Ok(()) => backoff.reset(),
                    Err(err) => {
                        tracing::info!("list: can't read from the store: {err}");
                        self.complete_revision = self.cursor.revision().or(self.complete_revision);
                        self.cursor.record_failure(err.category() != Category::Compacted);
                        backoff.wait().await;
                    }
                },
            }
            self.remove_expired();
        }
    }

    async fn next_action(&mut self) -> Action {
        let state = Rc::clone(&self.state);
        let next_requested = self.last_read + REQUESTED_READ_INTERVAL;
        let requested = async {
            state.list_requested.notified().await;
            sleep(next_requested - now()).await;
        };
        tokio::select! {
            update = timeout(self.cursor.wait(now()), self.updates.recv()) => match update {
                Ok(Some(update)) if self.cursor.revision().is_some() => Action::Receive(update),
                Ok(_) | Err(_) => Action::Read,
            },
            () = requested => Action::ReadRequested,
        }
    }

    fn role(&self) -> ListRole {
        match (self.coordinator.is_leading(), self.state.has_leader()) {
            (true, _) => ListRole::Leader,
            (false, true) => ListRole::Follower,
            (false, false) => ListRole::Leaderless,
        }
    }

    /// Applies an update of the leader if it continues from the known revision; returns whether it did.
    fn receive_update(&mut self, update: ListUpdate) -> bool {
        let range = RevisionRange { from: update.from, to: update.to, age: update.age.duration() };
        let is_accepted = self.cursor.accept(range, now());
        if is_accepted {
            let changes = self.filter_changes(&update.into_changes());
            self.apply(changes);
        }
        is_accepted
    }

    /// Reads from the store, unless an update of the leader arrives first.
    async fn read(&mut self, is_requested: bool) -> Result<()> {
        if !self.history_read {
            // Before the list, without which the instance is not ready.
            served_versions::load(&self.state, self.store.as_ref()).await?;
            self.history_read = true;
        } else if is_requested && !self.state.knows_history() {
            served_versions::reload(&self.state, self.store.as_ref()).await?;
        }
        let (after, sent_at) = (self.cursor.revision(), now());
        self.last_read = sent_at;
        let mut fetch = pin!(fetch(Rc::clone(&self.store), after, self.state.terms.get().drain));
        let fetched = loop {
            tokio::select! {
                biased;
                fetched = &mut fetch => break fetched?,
                // If the network path to the store is broken, the read takes seconds to fail.
                Some(update) = self.updates.recv(), if after.is_some() => {
                    if self.receive_update(update) {
                        return Ok(());
                    }
                }
            }
        };
        match fetched {
            Fetched::Full(list) => self.receive_entries(list, sent_at),
            Fetched::Changes { after, changes } => self.receive_changes(after, changes, sent_at),
        }
        self.state.list_read.set(Some(sent_at));
        self.state.streams_changed.notify_waiters();
        Ok(())
    }

    fn receive_entries(&mut self, list: Snapshot<Vec<EndpointEntry>>, sent_at: Time) {
        if self.cursor.record_read(list.revision, self.role(), now()) {
            self.state.endpoints.borrow_mut().record_recovery(now());
            tracing::info!("list: the store is reachable again");
        }
        let era = list.revision.era();
        if self.era.replace(era).is_some_and(|known| known != era) {
            self.state.endpoints.borrow_mut().record_return(now());
            tracing::warn!("list: the store has returned from an older copy, era {era}");
        }
        let changes = self.diff_entries(&list.value);
        if let Some(from) = self.complete_revision.take()
            && self.coordinator.is_leading()
            && !self.cursor.is_recovering(now())
        {
            // This spares the followers a read of the whole list after the history was compacted.
            let age = Millis((now() - sent_at).as_millis() as u64);
            self.coordinator.broadcast_list(ListUpdate::new(from, list.revision, age, changes));
        }
        self.state.endpoints.borrow_mut().replace(list.value, now());
        self.notify_changed();
    }

    /// Returns the changes from the last received entries to a whole list.
    fn diff_entries(&mut self, list: &[EndpointEntry]) -> Vec<EndpointChange> {
        let present: IndexSet<&EndpointId> = list.iter().map(|entry| &entry.id).collect();
        let removed =
            self.entries.keys().filter(|id| !present.contains(*id)).cloned().map(EndpointChange::Removed);
        let entries = list.iter().cloned().map(|entry| EndpointChange::Updated(Box::new(entry)));
        let changes: Vec<EndpointChange> = removed.chain(entries).collect();
        self.filter_changes(&changes)
    }

    fn receive_changes(&mut self, after: Revision, snapshot: Snapshot<Vec<EndpointChange>>, sent_at: Time) {
        self.cursor.record_read(snapshot.revision, self.role(), now());
        let changes = self.filter_changes(&snapshot.value);
        if self.coordinator.is_leading() && !self.cursor.is_recovering(now()) {
            let age = Millis((now() - sent_at).as_millis() as u64);
            self.coordinator.broadcast_list(ListUpdate::new(after, snapshot.revision, age, changes));
        }
        self.apply(snapshot.value);
    }

    /// Returns the changes without entries in which only the heartbeat differs, and remembers all entries.
    fn filter_changes(&mut self, changes: &[EndpointChange]) -> Vec<EndpointChange> {
        let mut kept = Vec::new();
        for change in changes {
            let is_new = match change {
                EndpointChange::Updated(entry) => {
                    let before = self.entries.insert(entry.id.clone(), (**entry).clone());
                    before.is_none_or(|before| {
                        EndpointEntry { heartbeat: entry.heartbeat, ..before } != **entry
                    })
                }
                EndpointChange::Removed(id) => self.entries.swap_remove(id).is_some(),
            };
            if is_new {
                kept.push(change.clone());
            }
        }
        kept
    }

    fn apply(&self, changes: Vec<EndpointChange>) {
        let mut endpoints = self.state.endpoints.borrow_mut();
        for change in changes {
            if let EndpointChange::Removed(id) = &change {
                tracing::info!("list: endpoint {id} was removed");
            }
            endpoints.apply(change, now());
        }
        drop(endpoints);
        self.notify_changed();
    }

    /// Removes endpoints that were not listed again in time, and expired idle connections.
    fn remove_expired(&self) {
        let expired = self.state.endpoints.borrow_mut().expire(now());
        for id in &expired {
            tracing::info!("list: endpoint {id} was not listed again in time and is removed");
        }
        self.state.pool.close_expired();
    }

    /// Updates everything that depends on the list and notifies waiting requests.
    fn notify_changed(&self) {
        let state = &self.state;
        if state.list_known.get().is_none() {
            state.list_known.set(Some(now()));
            tracing::info!("list: {} endpoints are known", state.endpoints.borrow().iter().count());
        }
        let endpoints = state.endpoints.borrow();
        state.update_endpoint_metrics();
        state.balancer.borrow_mut().retain(|id| endpoints.get(id).is_some(), now());
        self.coordinator.update_endpoints(&endpoints);
        drop(endpoints);
        state.share_streams();
        state.endpoints_changed.notify_waiters();
    }
}

/// Reads the changes of the list after a revision, or the whole list if there is none.
///
/// The read of changes doesn't wait, since heartbeats change the list all the time. A connection on which a
/// response was lost stays open and silent, so the timeout keeps it from delaying the next read beyond the
/// drain time.
async fn fetch(store: Rc<dyn Store>, after: Option<Revision>, drain: Duration) -> Result<Fetched> {
    let Some(after) = after else { return store.endpoints().await.map(Fetched::Full) };
    let timed_out = |_elapsed| Error::new(Category::Lost, "no changes of the list in time");
    let watch = store.watch_endpoints(after, Duration::ZERO);
    let changes = timeout(drain.mul_f64(READ_TIMEOUT_FRACTION), watch).await.map_err(timed_out)??;
    Ok(Fetched::Changes { after, changes })
}
