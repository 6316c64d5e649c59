use std::cmp::Reverse;
use std::collections::BTreeMap;

use indexmap::IndexMap;

use crate::CallerId;
use crate::Priority;
use crate::RequestId;

/// Requests that wait, in the order of priority and then of start-time fair queueing over the callers.
///
/// Each request gets the tag at which its caller's previous one ends, or the current virtual time if that is later.
/// Serving by tag lets a caller with few requests go before the burst of another.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    waiting: BTreeMap<Place, Waiting>,
    places: IndexMap<RequestId, Place>,
    ends: IndexMap<CallerId, u64>,
    groups: IndexMap<usize, usize>,
    virtual_time: u64,
    sequence: u64,
    tokens: u64,
}

/// Position in a [`FairQueue`]; a lower one is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    priority: Reverse<Priority>,
    tag: u64,
    sequence: u64,
}

/// A request that waits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub request: RequestId,
    pub group: usize,
    pub tokens: u64,
}

impl FairQueue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the tokens of prompts that wait.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the groups with requests that wait.
    pub fn groups(&self) -> impl Iterator<Item = usize> {
        self.groups.iter().filter(|(_, count)| **count > 0).map(|(group, _)| *group)
    }

    /// Returns the groups of the requests that would be served before a new one of a caller.
    pub fn ahead(&self, caller: &CallerId, priority: Priority) -> impl Iterator<Item = usize> {
        self.waiting.range(..self.place(caller, priority)).map(|(_, waiting)| waiting.group)
    }

    /// Returns the groups of the requests that wait with at least a priority.
    pub fn at_least(&self, priority: Priority) -> impl Iterator<Item = usize> {
        let end = Place { priority: Reverse(priority), tag: u64::MAX, sequence: u64::MAX };
        self.waiting.range(..=end).map(|(_, waiting)| waiting.group)
    }

    /// Counts a request that is served without having waited.
    pub fn served(&mut self, caller: &CallerId, cost: u64) {
        let tag = self.tag(caller);
        self.ends.insert(caller.clone(), tag + cost);
        if self.waiting.is_empty() {
            // Nobody waits, so no caller is owed anything for work that the others got.
            self.virtual_time = self.virtual_time.max(tag);
            self.forget_idle();
        }
    }

    pub fn push(&mut self, waiting: Waiting, caller: &CallerId, priority: Priority, cost: u64) {
        let place = self.place(caller, priority);
        self.sequence += 1;
        self.ends.insert(caller.clone(), place.tag + cost);
        self.tokens += waiting.tokens;
        *self.groups.entry(waiting.group).or_default() += 1;
        self.places.insert(waiting.request, place);
        self.waiting.insert(place, waiting);
    }

    /// Removes a request, since it is served or given up.
    pub fn remove(&mut self, request: RequestId) {
        let Some(place) = self.places.swap_remove(&request) else { return };
        let Some(waiting) = self.waiting.remove(&place) else { return };
        self.tokens -= waiting.tokens;
        if let Some(count) = self.groups.get_mut(&waiting.group) {
            *count -= 1;
        }
        self.virtual_time = self.virtual_time.max(place.tag);
        if self.waiting.is_empty() {
            self.forget_idle();
        }
    }

    /// Returns the waiting requests in the order in which they are to be served.
    pub fn in_order(&self) -> Vec<Waiting> {
        self.waiting.values().copied().collect()
    }

    fn place(&self, caller: &CallerId, priority: Priority) -> Place {
        Place { priority: Reverse(priority), tag: self.tag(caller), sequence: self.sequence }
    }

    fn tag(&self, caller: &CallerId) -> u64 {
        self.ends.get(caller).map_or(self.virtual_time, |end| self.virtual_time.max(*end))
    }

    fn forget_idle(&mut self) {
        let now = self.virtual_time;
        self.ends.retain(|_, end| *end > now);
    }
}
