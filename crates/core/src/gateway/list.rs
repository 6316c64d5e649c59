use std::time::Duration;

use crate::Time;

/// Part of the drain time between two reads of the list by an instance on its own; changes in between come with the
/// next read.
const LEADERLESS_FRACTION: f64 = 0.5;
/// Part of the drain time between two reads by the leader, which passes the changes on.
const LEADER_FRACTION: f64 = 0.3;
/// Part of the drain time without news from the leader after which an instance reads the list itself. News that are late
/// by as much are followed by a read well within the drain time.
const FOLLOWER_FRACTION: f64 = 0.4;
/// Time after the store's return in which each instance reads the list itself, so that each one knows of the return and
/// keeps the entries that lapsed meanwhile.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// How an instance learns of changes of the list of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRole {
    /// It leads, reads the list and passes changes on.
    Leader,
    /// It follows a leader that passes changes on.
    Follower,
    /// It knows no leader and reads the list itself.
    Leaderless,
}

/// Changes of the list between two revisions of the store, as the leader passes them on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionRange {
    /// Revision after which the changes begin.
    pub from: u64,
    /// Revision up to which they are complete.
    pub to: u64,
    /// Longest time since the store gave them out.
    pub age: Duration,
}

/// Up to where an instance knows the list of endpoints, and when it must read it from the store.
///
/// Whatever the leader does, a change is known within the drain time.
#[derive(Debug)]
pub struct ListCursor {
    drain_time: Duration,
    revision: Option<u64>,
    next_read: Time,
    /// Whether a call to the store has failed since the last that did not.
    unreachable: bool,
    /// When the store answered again after it was away.
    recovered: Option<Time>,
}

impl ListCursor {
    /// Starts without knowledge.
    pub fn new(drain_time: Duration) -> Self {
        Self { drain_time, revision: None, next_read: Time::ZERO, unreachable: false, recovered: None }
    }

    /// Sets the time within which a change must be known.
    pub fn set_drain_time(&mut self, drain_time: Duration) {
        self.drain_time = drain_time;
    }

    /// Returns the revision up to which the list is known; without one the whole list is read.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns the time until the list is read from the store if no news come before.
    pub fn wait(&self, now: Time) -> Duration {
        if self.revision.is_some() { self.next_read - now } else { Duration::ZERO }
    }

    /// Takes news of the leader; returns whether they go on from what is known.
    pub fn accept(&mut self, range: RevisionRange, now: Time) -> bool {
        let is_contiguous = self.revision.is_some_and(|known| range.from <= known && known <= range.to);
        if !is_contiguous || self.is_recovering(now) {
            return false;
        }
        self.revision = Some(range.to);
        let interval = self.interval(ListRole::Follower).saturating_sub(range.age);
        self.next_read = self.next_read.max(now + interval);
        true
    }

    /// Notes that the list was read from the store up to a revision; returns whether the store had been away.
    pub fn read_up_to(&mut self, revision: u64, role: ListRole, now: Time) -> bool {
        self.revision = Some(revision);
        self.next_read = now + self.interval(role);
        let recovered = std::mem::take(&mut self.unreachable);
        if recovered {
            self.recovered = Some(now);
        }
        recovered
    }

    /// Notes that the store did not answer, or that its history does not reach back.
    pub fn read_failed(&mut self, is_unreachable: bool) {
        self.revision = None;
        self.unreachable |= is_unreachable;
    }

    /// Returns whether entries that lapsed while the store was away may still come back.
    pub fn is_recovering(&self, now: Time) -> bool {
        self.unreachable || self.recovered.is_some_and(|time| now < time + RECOVERY_TIME)
    }

    fn interval(&self, role: ListRole) -> Duration {
        let fraction = match role {
            ListRole::Leader => LEADER_FRACTION,
            ListRole::Follower => FOLLOWER_FRACTION,
            ListRole::Leaderless => LEADERLESS_FRACTION,
        };
        self.drain_time.mul_f64(fraction)
    }
}
