use std::time::Duration;

use crate::Revision;
use crate::Time;

/// Fraction of the drain time between two reads of the list by an instance without a leader. Changes in
/// between are seen with the next read.
const LEADERLESS_READ_FRACTION: f64 = 0.5;
/// Fraction of the drain time between two reads by the leader, which broadcasts the changes.
const LEADER_READ_FRACTION: f64 = 0.3;
/// Fraction of the drain time without an update of the leader after which a follower reads the list itself.
/// An update that is late by as much is still followed by a read well within the drain time.
const FOLLOWER_READ_FRACTION: f64 = 0.4;
/// Time after an outage of the store in which each instance reads the list itself, so that each one knows of
/// the outage and keeps the entries that expired meanwhile.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Role of an instance, which decides how it learns of changes of the list of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRole {
    /// It reads the list from the store and broadcasts the changes.
    Leader,
    /// It receives the changes from a leader.
    Follower,
    /// It knows no leader and reads the list itself.
    Leaderless,
}

/// Range of revisions of the store that an update of the leader covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionRange {
    /// Revision after which the changes begin.
    pub from: Revision,
    /// Revision up to which the changes are complete.
    pub to: Revision,
    /// Upper bound of the time since the store returned the changes.
    pub age: Duration,
}

impl RevisionRange {
    /// Returns whether the range adds to what is known up to a revision; ranges of another era do not.
    fn continues(&self, known: Revision) -> bool {
        let is_one_era = self.from.era() == known.era() && self.to.era() == known.era();
        is_one_era && self.from <= known && known <= self.to
    }
}

/// Tracks up to which revision an instance knows the list of endpoints, and when it must read the list from
/// the store.
///
/// A change is known within the drain time, even without updates of the leader.
#[derive(Debug)]
pub struct ListCursor {
    drain_time: Duration,
    revision: Option<Revision>,
    next_read: Time,
    /// Whether a call to the store has failed since the last successful one.
    unreachable: bool,
    /// When the store was reachable again after the last outage.
    recovered: Option<Time>,
}

impl ListCursor {
    /// Creates a cursor for a list that is not known yet; a change must be known within `drain_time`.
    pub fn new(drain_time: Duration) -> Self {
        Self { drain_time, revision: None, next_read: Time::ZERO, unreachable: false, recovered: None }
    }

    /// Sets the time within which a change must be known.
    pub fn set_drain_time(&mut self, drain_time: Duration) {
        self.drain_time = drain_time;
    }

    /// Returns the revision up to which the list is known, or none if the whole list must be read.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns the time until the list must be read from the store, unless an update arrives before.
    pub fn wait(&self, now: Time) -> Duration {
        if self.revision.is_some() { self.next_read - now } else { Duration::ZERO }
    }

    /// Accepts an update of the leader if it is contiguous with the known revision and the store is not
    /// recovering from an outage; returns whether it was accepted.
    pub fn accept(&mut self, range: RevisionRange, now: Time) -> bool {
        let is_contiguous = self.revision.is_some_and(|known| range.continues(known));
        if !is_contiguous || self.is_recovering(now) {
            return false;
        }
        self.revision = Some(range.to);
        let interval = self.interval(ListRole::Follower).saturating_sub(range.age);
        self.next_read = self.next_read.max(now + interval);
        true
    }

    /// Records that the list was read from the store up to a revision; returns whether the store was
    /// unreachable before.
    pub fn record_read(&mut self, revision: Revision, role: ListRole, now: Time) -> bool {
        self.revision = Some(revision);
        self.next_read = now + self.interval(role);
        let recovered = std::mem::take(&mut self.unreachable);
        if recovered {
            self.recovered = Some(now);
        }
        recovered
    }

    /// Records that a read failed: because the store was unreachable or has returned from an older copy, or because
    /// its history no longer has the known revision.
    pub fn record_failure(&mut self, is_unreachable: bool) {
        self.revision = None;
        self.unreachable |= is_unreachable;
    }

    /// Returns whether entries that expired during an outage of the store may still be added again.
    pub fn is_recovering(&self, now: Time) -> bool {
        self.unreachable || self.recovered.is_some_and(|time| now < time + RECOVERY_TIME)
    }

    fn interval(&self, role: ListRole) -> Duration {
        let fraction = match role {
            ListRole::Leader => LEADER_READ_FRACTION,
            ListRole::Follower => FOLLOWER_READ_FRACTION,
            ListRole::Leaderless => LEADERLESS_READ_FRACTION,
        };
        self.drain_time.mul_f64(fraction)
    }
}
