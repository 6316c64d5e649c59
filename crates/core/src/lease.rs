use std::time::Duration;

use carobwick_derive::data;

use crate::Era;
use crate::Fence;
use crate::InstanceId;
use crate::Time;
use crate::WriteId;

/// Time to live of the lease in the key-value service.
pub const LEASE_TTL: Duration = Duration::from_secs(5);

/// Part of the lease that the holder does not use, since clocks may drift apart by this much during one
/// lease.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_secs(1);

/// Part of [`LeaseTiming::reserve`] by which clocks may drift apart during one lease of a gateway.
const DRIFT_MARGIN: Duration = Duration::from_millis(100);

const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500);

/// Durations of a lease.
#[data]
#[derive(Copy)]
pub struct LeaseTiming {
    /// Time to live in the key-value service.
    pub ttl: Duration,
    /// Time in which the holder may act, from the sending of its last successful renewal.
    pub usable: Duration,
    /// Time between renewals.
    pub renewal: Duration,
}

impl LeaseTiming {
    /// Returns how long the lease surely goes on in the key-value service after the holder has ceased to act.
    pub fn reserve(&self) -> Duration {
        self.ttl.saturating_sub(self.usable).saturating_sub(DRIFT_MARGIN)
    }
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            ttl: LEASE_TTL,
            usable: LEASE_TTL.saturating_sub(CLOCK_DRIFT_MARGIN),
            renewal: RENEWAL_INTERVAL,
        }
    }
}
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Election of a zone's leader by a lease, from the side of one planner.
///
/// [`Lease::step`] returns the next call to make, and [`Lease::on_event`] handles its outcome; one call is in
/// flight at a time. [`Lease::leadership`] needs only the clock to tell whether the planner leads.
///
/// # Examples
///
/// ```
/// use carobwick_core::Lease;
/// use carobwick_core::LeaseEvent;
/// use carobwick_core::LeaseStep;
/// use carobwick_core::Leadership;
/// use carobwick_core::Time;
/// use carobwick_core::WriteId;
///
/// let mut lease = Lease::new("i1".parse().unwrap());
/// assert_eq!(lease.step(Time::ZERO, WriteId(7)), LeaseStep::Read);
/// lease.on_event(Time::ZERO, LeaseEvent::Read(None));
/// assert_eq!(lease.step(Time::ZERO, WriteId(7)), LeaseStep::Grant);
/// lease.on_event(Time::ZERO, LeaseEvent::Granted(1));
/// assert!(matches!(lease.step(Time::ZERO, WriteId(7)), LeaseStep::Create { .. }));
/// lease.on_event(Time::ZERO, LeaseEvent::Created(42));
/// assert!(matches!(lease.leadership(Time::ZERO), Leadership::Leader(_)));
/// ```
#[derive(Debug, Clone)]
pub struct Lease {
    instance: InstanceId,
    state: State,
    sent_at: Option<Time>,
    resigned: bool,
    read_interval: Duration,
    timing: LeaseTiming,
    era: Era,
}

/// Value of the leader key of a zone.
#[data]
pub struct LeaderRecord {
    /// The leader.
    pub instance: InstanceId,
    /// Identity of the write, by which a writer whose reply was lost recognises its own.
    pub write_id: WriteId,
}

/// Whether a planner leads, according to its lease and the clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leadership {
    /// It does not lead.
    Follower,
    /// It leads, from this first fencing number on.
    Leader(Fence),
    /// Its lease may have ended; it may still send orders to engines that check fencing numbers.
    Expired(Fence),
}

/// The next call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// No call for now.
    Wait,
    /// Read the leader key.
    Read,
    /// Create a lease with the time to live of the [`LeaseTiming`].
    Grant,
    /// Create the leader key, if absent, attached to the lease.
    Create {
        /// The lease.
        lease: u64,
        /// Identity of the write.
        write_id: WriteId,
    },
    /// Read the leader key, not stale, to learn whether this planner's write is still there.
    Verify,
    /// Renew the lease.
    KeepAlive(u64),
    /// Revoke the lease.
    Revoke(u64),
}

/// Outcome of a call for a [`LeaseStep`].
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseEvent {
    /// The leader key was read, with the revision of its write; `None` if it is absent.
    Read(Option<(LeaderRecord, u64)>),
    /// The lease was created.
    Granted(u64),
    /// The key was created at this revision.
    Created(u64),
    /// The key exists already; its value and revision are given, if known.
    Exists(Option<(LeaderRecord, u64)>),
    /// The lease was renewed, or has expired if `false`.
    Kept(bool),
    /// The lease was revoked.
    Revoked,
    /// The call failed or its outcome is unknown.
    Failed,
}

#[derive(Debug, Clone)]
enum State {
    Follower {
        next: Time,
    },
    Granting,
    Creating {
        lease: u64,
        granted: Time,
        write_id: WriteId,
        read_back: bool,
    },
    Holder(Holding),
    /// The store has returned from an older copy, which may lack the key or the lease.
    Verifying(Holding),
}

/// Lease of this planner, with which it has created the leader key.
#[derive(Debug, Clone, Copy)]
struct Holding {
    lease: u64,
    write_id: WriteId,
    /// Era and revision of the store at which the key was created.
    era: Era,
    revision: u64,
    until: Time,
    next: Time,
}

impl Lease {
    /// Creates a follower that reads the leader key at its first step.
    pub fn new(instance: InstanceId) -> Self {
        let state = State::Follower { next: Time::ZERO };
        let timing = LeaseTiming::default();
        Self {
            instance,
            state,
            sent_at: None,
            resigned: false,
            read_interval: Duration::from_secs(1),
            timing,
            era: Era::default(),
        }
    }

    /// Sets the era that the store's last response names.
    ///
    /// A lease of an earlier era may have come back with the copy after it had ended, may be lost, or its id may
    /// be another planner's, so a leader makes sure that its key is there before it relies on a renewal.
    pub fn set_era(&mut self, era: Era, now: Time) {
        if era == self.era {
            return;
        }
        // The first era that is known is not a return of the store.
        let has_returned = self.era != Era::default();
        self.era = era;
        if has_returned {
            // The outcome of a call in flight may be that of an earlier era.
            self.sent_at = None;
            self.state = match self.state.clone() {
                State::Holder(holding) => State::Verifying(Holding { next: now, ..holding }),
                State::Granting | State::Creating { .. } => State::Follower { next: now },
                state @ (State::Follower { .. } | State::Verifying(_)) => state,
            };
        }
    }

    /// Returns the fencing number of the term, which rises with each term across all eras of the store.
    pub fn era_fence(&self) -> Option<Fence> {
        self.holding().map(|holding| Fence::in_era(holding.era, holding.revision))
    }

    /// Returns the era in which the term began.
    pub fn term_era(&self) -> Option<Era> {
        self.holding().map(|holding| holding.era)
    }

    /// Sets the durations of the lease.
    pub fn set_timing(&mut self, timing: LeaseTiming) {
        self.timing = timing;
    }

    /// Returns the value to write to the leader key.
    pub fn record(&self, write_id: WriteId) -> LeaderRecord {
        LeaderRecord { instance: self.instance.clone(), write_id }
    }

    /// Sets the time between two reads of the leader key by a follower.
    pub fn set_read_interval(&mut self, interval: Duration) {
        self.read_interval = interval;
    }

    /// Makes a follower read the leader key at its next step.
    pub fn read_now(&mut self, now: Time) {
        if let State::Follower { next } = &mut self.state {
            *next = now;
        }
    }

    /// Sets whether the planner is resigned: it then revokes its lease and takes no part in elections.
    pub fn set_resigned(&mut self, resigned: bool) {
        self.resigned = resigned;
    }

    /// Stops leading at once without revoking the lease, which expires.
    pub fn step_down(&mut self, now: Time) {
        self.state = State::Follower { next: now + self.read_interval };
    }

    /// Returns whether the planner leads at `now`.
    pub fn leadership(&self, now: Time) -> Leadership {
        match self.holding() {
            Some(holding) if now < holding.until => Leadership::Leader(Fence::first(holding.revision)),
            Some(holding) => Leadership::Expired(Fence::first(holding.revision)),
            None => Leadership::Follower,
        }
    }

    /// Returns the next call, which counts as sent at `now`.
    ///
    /// `write_id` identifies the write if this step starts one.
    pub fn step(&mut self, now: Time, write_id: WriteId) -> LeaseStep {
        if self.sent_at.is_some() {
            return LeaseStep::Wait;
        }
        let step = self.next_call(now, write_id);
        if step != LeaseStep::Wait {
            self.sent_at = Some(now);
        }
        step
    }

    /// Handles the outcome of the call in flight.
    pub fn on_event(&mut self, now: Time, event: LeaseEvent) {
        let Some(sent) = self.sent_at.take() else {
            return;
        };
        let follower = State::Follower { next: now + self.read_interval };
        self.state = match (self.state.clone(), event) {
            (State::Follower { .. }, LeaseEvent::Read(None)) if !self.resigned => State::Granting,
            (State::Granting, LeaseEvent::Granted(lease)) => {
                State::Creating { lease, granted: sent, write_id: WriteId::default(), read_back: false }
            }
            (State::Creating { lease, granted, write_id, .. }, LeaseEvent::Created(revision)) => {
                self.holder(lease, revision, write_id, granted)
            }
            (
                State::Creating { lease, granted, write_id, .. },
                LeaseEvent::Read(Some((record, revision))) | LeaseEvent::Exists(Some((record, revision))),
            ) if record.write_id == write_id => self.holder(lease, revision, write_id, granted),
            // The lost create may still take effect; a repeated one with the same write id then finds the
            // key.
            (
                State::Creating { lease, granted, write_id, .. },
                LeaseEvent::Read(None) | LeaseEvent::Exists(None),
            ) => State::Creating { lease, granted, write_id, read_back: false },
            (State::Creating { lease, granted, write_id, .. }, LeaseEvent::Failed) => {
                State::Creating { lease, granted, write_id, read_back: true }
            }
            (State::Holder(holding), LeaseEvent::Kept(true)) => State::Holder(Holding {
                until: holding.until.max(sent + self.timing.usable),
                next: sent + self.timing.renewal,
                ..holding
            }),
            (State::Holder(holding), LeaseEvent::Failed) if !self.resigned => {
                State::Holder(Holding { next: now + RENEWAL_RETRY_DELAY, ..holding })
            }
            (State::Verifying(holding), LeaseEvent::Read(Some((record, _))))
                if record.write_id == holding.write_id && !self.resigned =>
            {
                State::Holder(Holding { next: now, ..holding })
            }
            (State::Holder(_), LeaseEvent::Kept(false)) | (State::Verifying(_), LeaseEvent::Read(_)) => {
                State::Follower { next: now }
            }
            (State::Verifying(holding), _) if !self.resigned => {
                State::Verifying(Holding { next: now + RENEWAL_RETRY_DELAY, ..holding })
            }
            _ => follower,
        };
    }

    fn next_call(&mut self, now: Time, write_id: WriteId) -> LeaseStep {
        match &mut self.state {
            State::Follower { next } if now >= *next && !self.resigned => LeaseStep::Read,
            State::Granting => LeaseStep::Grant,
            State::Creating { granted, .. } if now - *granted >= self.timing.usable => {
                // The lease may have ended, so a key created now would be deleted or could not be used.
                self.state = State::Follower { next: now };
                LeaseStep::Wait
            }
            State::Creating { read_back: true, .. } => LeaseStep::Read,
            State::Creating { lease, write_id: own, .. } => {
                if *own == WriteId::default() {
                    *own = write_id;
                }
                LeaseStep::Create { lease: *lease, write_id: *own }
            }
            State::Holder(holding) if self.resigned => LeaseStep::Revoke(holding.lease),
            State::Holder(holding) if now >= holding.next => LeaseStep::KeepAlive(holding.lease),
            State::Verifying(holding) if now >= holding.until + self.timing.reserve() => {
                // The lease may have ended in the earlier era, and another planner may have led since.
                self.state = State::Follower { next: now };
                LeaseStep::Wait
            }
            State::Verifying(holding) if now >= holding.next => LeaseStep::Verify,
            State::Follower { .. } | State::Holder(_) | State::Verifying(_) => LeaseStep::Wait,
        }
    }

    fn holding(&self) -> Option<Holding> {
        match self.state {
            State::Holder(holding) | State::Verifying(holding) => Some(holding),
            State::Follower { .. } | State::Granting | State::Creating { .. } => None,
        }
    }

    fn holder(&self, lease: u64, revision: u64, write_id: WriteId, sent: Time) -> State {
        State::Holder(Holding {
            lease,
            write_id,
            era: self.era,
            revision,
            until: sent + self.timing.usable,
            next: sent + self.timing.renewal,
        })
    }
}
