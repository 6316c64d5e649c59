use std::time::Duration;

use crate::Time;

/// Part of the drain time between two reads of the list by an instance on its own; changes in between come with the
/// next read.
const OWN_PART: f64 = 0.5;
/// Part of the drain time between two reads by the leader, which passes the changes on.
const LEADER_PART: f64 = 0.3;
/// Part of the drain time without news from the leader after which an instance reads the list itself. News that are late
/// by as much are followed by a read well within the drain time.
const PATIENCE_PART: f64 = 0.4;
/// Time after the store's return in which each instance reads the list itself, so that each one knows of the return and
/// keeps the entries that lapsed meanwhile.
const UNSETTLED: Duration = Duration::from_secs(2);

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
    drain: Duration,
    after: Option<u64>,
    due: Time,
    /// Whether a call to the store has failed since the last that did not.
    away: bool,
    /// When the store answered again after it was away.
    returned: Option<Time>,
}

impl ListCursor {
    /// Starts without knowledge.
    pub fn new(drain: Duration) -> Self {
        Self { drain, after: None, due: Time::ZERO, away: false, returned: None }
    }

    /// Sets the time within which a change must be known.
    pub fn set_drain_time(&mut self, drain: Duration) {
        self.drain = drain;
    }

    /// Returns the revision up to which the list is known; without one the whole list is read.
    pub fn revision(&self) -> Option<u64> {
        self.after
    }

    /// Returns the time until the list is read from the store if no news come before.
    pub fn wait(&self, now: Time) -> Duration {
        if self.after.is_some() { self.due - now } else { Duration::ZERO }
    }

    /// Takes news of the leader; returns whether they go on from what is known.
    pub fn accept(&mut self, span: RevisionRange, now: Time) -> bool {
        let follows = self.after.is_some_and(|after| span.from <= after && after <= span.to);
        if !follows || self.is_recovering(now) {
            return false;
        }
        self.after = Some(span.to);
        let patience = self.interval(ListRole::Follower).saturating_sub(span.age);
        self.due = self.due.max(now + patience);
        true
    }

    /// Notes that the list was read from the store up to a revision; returns whether the store had been away.
    pub fn read_up_to(&mut self, at: u64, source: ListRole, now: Time) -> bool {
        self.after = Some(at);
        self.due = now + self.interval(source);
        let returned = std::mem::take(&mut self.away);
        if returned {
            self.returned = Some(now);
        }
        returned
    }

    /// Notes that the store did not answer, or that its history does not reach back.
    pub fn read_failed(&mut self, is_away: bool) {
        self.after = None;
        self.away |= is_away;
    }

    /// Returns whether entries that lapsed while the store was away may still come back.
    pub fn is_recovering(&self, now: Time) -> bool {
        self.away || self.returned.is_some_and(|at| now < at + UNSETTLED)
    }

    fn interval(&self, source: ListRole) -> Duration {
        let part = match source {
            ListRole::Leader => LEADER_PART,
            ListRole::Follower => PATIENCE_PART,
            ListRole::Leaderless => OWN_PART,
        };
        self.drain.mul_f64(part)
    }
}
