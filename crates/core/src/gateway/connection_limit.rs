use carobwick_derive::key;
use indexmap::IndexMap;

use crate::Time;

/// Part of the limit, one in so many, by which connections that are about to close may exceed it. Without a bound, callers
/// whose connections close slowly could use up the descriptors.
const EXCESS_DIVISOR: usize = 4;

/// Limits the connections of callers, and decides which one is closed for a new one.
///
/// It is meant for callers that open many connections without a request on them. The one that has been without a request
/// longest is closed. If all have requests, the new one is refused, unless the caller of [`Self::admit_beyond`] has ended a
/// request whose connection is about to close. Only a connection above the limit looks at all others.
#[derive(Debug)]
pub struct ConnectionLimit {
    limit: usize,
    next_id: u64,
    /// Time since which each connection has no request, or none while it has one.
    connections: IndexMap<ConnectionId, Option<Time>>,
}

/// Id of a caller's connection.
#[key]
#[derive(Copy)]
pub struct ConnectionId(u64);

/// Decision on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The connection is accepted.
    Accepted(ConnectionId),
    /// The connection is accepted in place of another one, which must be closed.
    Replaced {
        /// Id of the new connection.
        accepted: ConnectionId,
        /// Id of the connection to close.
        closed: ConnectionId,
    },
    /// All connections have requests.
    Refused,
}

impl ConnectionLimit {
    /// Creates a limit of so many connections, of which none are open.
    pub fn new(limit: usize) -> Self {
        Self { limit, next_id: 0, connections: IndexMap::new() }
    }

    /// Decides on a new connection.
    pub fn admit(&mut self, now: Time) -> Admission {
        if self.connections.len() < self.limit {
            return Admission::Accepted(self.insert(now));
        }
        let idle = self.connections.iter().filter_map(|(id, since)| since.map(|since| (since, *id)));
        let Some((_, closed)) = idle.min() else { return Admission::Refused };
        self.remove(closed);
        Admission::Replaced { accepted: self.insert(now), closed }
    }

    /// Accepts a connection above the limit in place of one that is about to close, unless too many still are.
    pub fn admit_beyond(&mut self, now: Time) -> Option<ConnectionId> {
        self.has_excess().then(|| self.insert(now))
    }

    /// Returns whether another connection may be accepted above the limit.
    pub fn has_excess(&self) -> bool {
        self.connections.len() < self.limit + self.limit / EXCESS_DIVISOR
    }

    /// Records that a request has begun on a connection.
    pub fn record_request(&mut self, id: ConnectionId) {
        if let Some(since) = self.connections.get_mut(&id) {
            *since = None;
        }
    }

    /// Records that a request on a connection has ended.
    pub fn record_idle(&mut self, id: ConnectionId, now: Time) {
        if let Some(since) = self.connections.get_mut(&id) {
            *since = Some(now);
        }
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, id: ConnectionId) {
        self.connections.swap_remove(&id);
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    fn insert(&mut self, now: Time) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.connections.insert(id, Some(now));
        id
    }
}
