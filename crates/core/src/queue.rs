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
    waiting: BTreeMap<QueueKey, Waiting>,
    keys: IndexMap<RequestId, QueueKey>,
    finish_tags: IndexMap<CallerId, u64>,
    groups: IndexMap<usize, usize>,
    virtual_time: u64,
    sequence: u64,
    tokens: u64,
}

/// Position in a [`FairQueue`]; a lower one is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
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
    pub fn groups_ahead(&self, caller: &CallerId, priority: Priority) -> impl Iterator<Item = usize> {
        self.waiting.range(..self.key(caller, priority)).map(|(_, waiting)| waiting.group)
    }

    /// Returns the groups of the requests that wait with at least a priority.
    pub fn groups_at_least(&self, priority: Priority) -> impl Iterator<Item = usize> {
        let end = QueueKey { priority: Reverse(priority), tag: u64::MAX, sequence: u64::MAX };
        self.waiting.range(..=end).map(|(_, waiting)| waiting.group)
    }

    /// Counts a request that is served without having waited.
    pub fn record_served(&mut self, caller: &CallerId, cost: u64) {
        let tag = self.tag(caller);
        self.finish_tags.insert(caller.clone(), tag + cost);
        if self.waiting.is_empty() {
            // Nobody waits, so no caller is owed anything for work that the others got.
            self.virtual_time = self.virtual_time.max(tag);
            self.remove_idle_callers();
        }
    }

    pub fn push(&mut self, waiting: Waiting, caller: &CallerId, priority: Priority, cost: u64) {
        let key = self.key(caller, priority);
        self.sequence += 1;
        self.finish_tags.insert(caller.clone(), key.tag + cost);
        self.tokens += waiting.tokens;
        *self.groups.entry(waiting.group).or_default() += 1;
        self.keys.insert(waiting.request, key);
        self.waiting.insert(key, waiting);
    }

    /// Removes a request, since it is served or given up.
    pub fn remove(&mut self, request: RequestId) {
        let Some(key) = self.keys.swap_remove(&request) else { return };
        let Some(waiting) = self.waiting.remove(&key) else { return };
        self.tokens -= waiting.tokens;
        if let Some(count) = self.groups.get_mut(&waiting.group) {
            *count -= 1;
        }
        self.virtual_time = self.virtual_time.max(key.tag);
        if self.waiting.is_empty() {
            self.remove_idle_callers();
        }
    }

    /// Returns the waiting requests in the order in which they are to be served.
    pub fn in_order(&self) -> Vec<Waiting> {
        self.waiting.values().copied().collect()
    }

    fn key(&self, caller: &CallerId, priority: Priority) -> QueueKey {
        QueueKey { priority: Reverse(priority), tag: self.tag(caller), sequence: self.sequence }
    }

    fn tag(&self, caller: &CallerId) -> u64 {
        self.finish_tags.get(caller).map_or(self.virtual_time, |end| self.virtual_time.max(*end))
    }

    fn remove_idle_callers(&mut self) {
        let now = self.virtual_time;
        self.finish_tags.retain(|_, end| *end > now);
    }
}
