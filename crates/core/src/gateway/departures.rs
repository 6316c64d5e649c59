use std::time::Duration;

use indexmap::IndexMap;

use crate::EndpointId;
use crate::Incarnation;
use crate::Time;
use crate::gateway::EndpointEntry;

/// Time for which a removed endpoint is remembered. It is well above the age of the copies from which the store
/// returns.
const MEMORY: Duration = Duration::from_mins(1);
/// Time after which an entry of a departed endpoint counts although its heartbeat has not been seen to rise: the
/// store removes the entry of a silent endpoint sooner.
const HOLD_TIME: Duration = Duration::from_secs(5);

/// Endpoints that left the list before the store returned from an older copy, in which they may still be listed.
///
/// The entry of a departed incarnation is held back until it is written again, which shows that the endpoint
/// lives.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    /// Incarnations that were removed from the list, with the time.
    removed: IndexMap<EndpointId, (Incarnation, Time)>,
    /// Incarnations that had been removed when the store returned.
    departed: IndexMap<EndpointId, Departed>,
}

#[derive(Debug)]
struct Departed {
    incarnation: Incarnation,
    /// The entry in the list of the store, as first seen since its return.
    held: Option<(EndpointEntry, Time)>,
}

impl Departures {
    /// Records that an incarnation was removed from the list.
    pub fn record_removal(&mut self, id: &EndpointId, incarnation: Incarnation, now: Time) {
        self.removed.insert(id.clone(), (incarnation, now));
    }

    /// Records that the store has returned from an older copy.
    pub fn record_return(&mut self, now: Time) {
        self.removed.retain(|_, (_, at)| now < *at + MEMORY);
        let departed = self.removed.drain(..).map(|(id, (incarnation, _))| {
            let departed = Departed { incarnation, held: None };
            (id, departed)
        });
        self.departed.extend(departed);
        for departed in self.departed.values_mut() {
            departed.held = None;
        }
    }

    /// Returns whether an entry is held back.
    pub fn holds(&mut self, entry: &EndpointEntry, now: Time) -> bool {
        let Some(departed) = self.departed.get_mut(&entry.id) else { return false };
        let is_alive = match &departed.held {
            _ if departed.incarnation != entry.incarnation => true,
            Some((first, _)) => entry.heartbeat > first.heartbeat,
            None => {
                departed.held = Some((entry.clone(), now));
                false
            }
        };
        if is_alive {
            self.departed.swap_remove(&entry.id);
        }
        !is_alive
    }

    /// Forgets the entry of an endpoint that is no longer listed.
    pub fn release(&mut self, id: &EndpointId) {
        if let Some(departed) = self.departed.get_mut(id) {
            departed.held = None;
        }
    }

    /// Returns the ids of the entries that are held back.
    pub fn held(&self) -> impl Iterator<Item = &EndpointId> {
        self.departed.iter().filter(|(_, departed)| departed.held.is_some()).map(|(id, _)| id)
    }

    /// Removes and returns the entries that have been listed for long enough to count.
    pub fn take_listed(&mut self, now: Time) -> Vec<EndpointEntry> {
        let is_due =
            |departed: &Departed| departed.held.as_ref().is_some_and(|(_, since)| now >= *since + HOLD_TIME);
        let due = self.departed.extract_if(.., |_, departed| is_due(departed));
        due.filter_map(|(_, departed)| departed.held).map(|(entry, _)| entry).collect()
    }
}
