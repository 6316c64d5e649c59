use std::cmp::Reverse;
use std::collections::BTreeMap;

use indexmap::IndexMap;

use crate::CallerId;
use crate::Priority;
use crate::RequestId;

/// Waiting requests, ordered by priority and then by start-time fair queueing over the callers.
///
/// The start tag of a request is the finish tag of its caller's previous one, or the current virtual time if
/// that is later. Serving by start tag lets a caller with few requests go before the burst of another.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    waiting: BTreeMap<QueueKey, WaitingRequest>,
    keys: IndexMap<RequestId, QueueKey>,
    /// Finish tag of the last request of each caller, in the unit of cost.
    finish_tags: IndexMap<CallerId, u64>,
    /// Number of waiting requests of each group.
    groups: IndexMap<usize, usize>,
    /// Virtual time of the fair queueing, in the unit of cost; start tags of new requests are at least this.
    virtual_time: u64,
    /// Number of requests queued so far; it orders requests with equal start tags.
    sequence: u64,
    /// Prompt tokens of all waiting requests.
    prompt_tokens: u64,
}

/// Sort key in a [`FairQueue`]; the lowest one is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    priority: Reverse<Priority>,
    start_tag: u64,
    sequence: u64,
}

/// A request in a [`FairQueue`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingRequest {
    pub request: RequestId,
    /// Index of the base model or plain service of the request, as in `TargetSpec::group`.
    pub group: usize,
    pub prompt_tokens: u64,
}

impl FairQueue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the total number of prompt tokens of the waiting requests.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt_tokens
    }

    /// Returns the groups that have waiting requests.
    pub fn groups(&self) -> impl Iterator<Item = usize> {
        self.groups.iter().filter(|(_, count)| **count > 0).map(|(group, _)| *group)
    }

    /// Returns the group of each request that would be served before a new request of the caller.
    pub fn groups_ahead(&self, caller: &CallerId, priority: Priority) -> impl Iterator<Item = usize> {
        self.waiting.range(..self.key(caller, priority)).map(|(_, waiting)| waiting.group)
    }

    /// Returns the group of each waiting request whose priority is `priority` or higher.
    pub fn groups_at_or_above(&self, priority: Priority) -> impl Iterator<Item = usize> {
        let end = QueueKey { priority: Reverse(priority), start_tag: u64::MAX, sequence: u64::MAX };
        self.waiting.range(..=end).map(|(_, waiting)| waiting.group)
    }

    /// Advances the finish tag of a caller by the cost of a request that is served without waiting.
    pub fn record_served(&mut self, caller: &CallerId, cost: u64) {
        let start_tag = self.start_tag(caller);
        self.finish_tags.insert(caller.clone(), start_tag + cost);
        if self.waiting.is_empty() {
            // No request waits, so advancing the virtual time puts no caller at a disadvantage.
            self.virtual_time = self.virtual_time.max(start_tag);
            self.remove_idle_callers();
        }
    }

    /// Adds a request and advances the finish tag of its caller by the cost of the request.
    pub fn push(&mut self, waiting: WaitingRequest, caller: &CallerId, priority: Priority, cost: u64) {
        let key = self.key(caller, priority);
        self.sequence += 1;
        self.finish_tags.insert(caller.clone(), key.start_tag + cost);
        self.prompt_tokens += waiting.prompt_tokens;
        *self.groups.entry(waiting.group).or_default() += 1;
        self.keys.insert(waiting.request, key);
        self.waiting.insert(key, waiting);
    }

    /// Removes a request when it is served or abandoned.
    pub fn remove(&mut self, request: RequestId) {
        let Some(key) = self.keys.swap_remove(&request) else { return };
        let Some(waiting) = self.waiting.remove(&key) else { return };
        self.prompt_tokens -= waiting.prompt_tokens;
        if let Some(count) = self.groups.get_mut(&waiting.group) {
            *count -= 1;
        }
        self.virtual_time = self.virtual_time.max(key.start_tag);
        if self.waiting.is_empty() {
            self.remove_idle_callers();
        }
    }

    /// Returns the waiting requests, the next to be served first.
    pub fn in_order(&self) -> Vec<WaitingRequest> {
        self.waiting.values().copied().collect()
    }

    fn key(&self, caller: &CallerId, priority: Priority) -> QueueKey {
        QueueKey { priority: Reverse(priority), start_tag: self.start_tag(caller), sequence: self.sequence }
    }

    fn start_tag(&self, caller: &CallerId) -> u64 {
        self.finish_tags
            .get(caller)
            .map_or(self.virtual_time, |finish_tag| self.virtual_time.max(*finish_tag))
    }

    /// Removes the callers whose finish tag has passed; their next start tag is the virtual time anyway.
    fn remove_idle_callers(&mut self) {
        let virtual_time = self.virtual_time;
        self.finish_tags.retain(|_, finish_tag| *finish_tag > virtual_time);
    }
}
