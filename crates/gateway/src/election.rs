use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use carobwick_core::Era;
use carobwick_core::Fence;
use carobwick_core::Leadership;
use carobwick_core::Lease;
use carobwick_core::LeaseEvent;
use carobwick_core::LeaseStep;
use carobwick_core::LeaseTiming;
use carobwick_core::Time;
use carobwick_core::WriteId;
use carobwick_core::gateway::Candidacy;
use carobwick_runtime::now;
use tokio::sync::Notify;

use crate::ClaimOutcome;
use crate::LeaderEntry;
use crate::Settings;
use crate::Store;

/// Interval at which a follower without a connection to the leader reads the leader's entry.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// Interval at which a follower with a connection to the leader reads the leader's entry. It notices a change
/// without reading: a leader that loses its lease closes its connections, and the follower closes a connection
/// on which no messages arrive.
const CONNECTED_READ_INTERVAL: Duration = Duration::from_secs(30);
/// Interval at which the election checks the clock.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Times of the leader's lease. The leader acts only during the usable part, so its last order precedes the
/// lease of the next leader by the difference, and the next leader has to wait less before its first order.
const LEASE_TIMING: LeaseTiming = LeaseTiming {
    ttl: Duration::from_secs(3),
    usable: Duration::from_millis(1_400),
    renewal: Duration::from_millis(500),
};

/// Election of the region's leader, as one instance takes part in it.
#[derive(Debug)]
pub struct Election {
    lease: RefCell<Lease>,
    /// Leader's entry as last read from the store.
    leader: RefCell<Option<LeaderEntry>>,
    /// Time since which this instance has been the leader.
    leading_since: RefCell<Option<Time>>,
    /// Notifies tasks that wait for a change of the leader.
    changed: Notify,
    /// Next read of the leader's entry by a stopping instance, which is no longer a candidate.
    next_read: Cell<Option<Time>>,
    candidacy: RefCell<Candidacy>,
    /// Era of the store, and when this instance learned of it.
    era: Cell<(Era, Time)>,
}

impl Election {
    /// Creates the election of a follower that knows no leader.
    pub fn new(settings: &Settings) -> Self {
        let mut lease = Lease::new(settings.instance.clone());
        lease.set_read_interval(READ_INTERVAL);
        lease.set_timing(LEASE_TIMING);
        Self {
            lease: RefCell::new(lease),
            leader: RefCell::default(),
            leading_since: RefCell::default(),
            changed: Notify::new(),
            next_read: Cell::new(None),
            candidacy: RefCell::new(Candidacy::new(settings.instance.clone(), settings.size)),
            era: Cell::new((Era::default(), Time::ZERO)),
        }
    }

    /// Returns what this instance may do now, by its lease and the clock.
    pub fn leadership(&self) -> Leadership {
        self.lease.borrow().leadership(now())
    }

    /// Returns the fencing number if this instance is the leader and `handover` has passed since the last
    /// order of the previous leader.
    pub fn order_fence(&self, handover: Duration) -> Option<Fence> {
        let start = self.last_foreign_order()? + handover;
        match self.leadership() {
            Leadership::Leader(_) if now() >= start => self.lease.borrow().era_fence(),
            _ => None,
        }
    }

    /// Returns the time after which no previous leader can have given an order, or none if this instance is not
    /// the leader.
    fn last_foreign_order(&self) -> Option<Time> {
        let since = self.leading_since()?;
        let (era, known) = self.era.get();
        if self.lease.borrow().term_era() == Some(era) {
            // If the store has returned from a copy without the previous leader's lease, that leader goes on
            // until its last renewal before that runs out.
            return Some((since - LEASE_TIMING.reserve()).max(known + LEASE_TIMING.usable));
        }
        Some(since - LEASE_TIMING.reserve())
    }

    /// Returns the time since which this instance has been the leader, or none if it isn't.
    pub fn leading_since(&self) -> Option<Time> {
        *self.leading_since.borrow()
    }

    /// Returns the leader's entry as last read, or none if there was no leader.
    pub fn leader(&self) -> Option<LeaderEntry> {
        self.leader.borrow().clone()
    }

    /// Waits until there is another leader, or this instance is the leader.
    pub async fn wait_changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until the leader is not the given one any more, or this instance is the leader.
    pub async fn wait_leader_changed(&self, entry: &LeaderEntry) {
        loop {
            let changed = self.changed.notified();
            if self.leading_since().is_some() || self.leader().as_ref() != Some(entry) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until this instance is the leader.
    pub async fn wait_leading(&self) {
        loop {
            let changed = self.changed.notified();
            if self.leading_since().is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Sets the number of instances that take part in the election.
    pub fn set_instances(&self, instances: u32) {
        self.candidacy.borrow_mut().set_instances(instances);
    }

    /// Sets whether there is a connection to the leader, which decides how often its entry is read.
    pub fn set_connected(&self, connected: bool) {
        let mut lease = self.lease.borrow_mut();
        lease.set_read_interval(if connected { CONNECTED_READ_INTERVAL } else { READ_INTERVAL });
        if !connected {
            lease.read_now(now());
        }
    }

    /// Gives up the lease and the candidacy. The leader's entry is still read, since requests in flight may
    /// need the leader.
    pub fn resign(&self) {
        self.lease.borrow_mut().set_resigned(true);
        self.next_read.set(Some(now()));
    }

    /// Runs the election until the task is aborted.
    pub async fn run(self: Rc<Self>, settings: Rc<Settings>, store: Rc<dyn Store>) {
        loop {
            self.update_era(store.era());
            let write_id = WriteId(rand::random::<u64>() | 1);
            let step = self.lease.borrow_mut().step(now(), write_id);
            if step == LeaseStep::Wait {
                self.update_leading();
                self.read_after_resign(store.as_ref()).await;
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            let event = self.perform(step, &settings, store.as_ref()).await;
            self.update_era(store.era());
            self.lease.borrow_mut().on_event(now(), event);
            self.update_leading();
        }
    }

    /// Notes the era that the store's responses name.
    fn update_era(&self, era: Era) {
        if era > self.era.get().0 {
            self.era.set((era, now()));
            self.lease.borrow_mut().set_era(era, now());
        }
    }

    /// Reads the leader's entry after this instance has resigned.
    async fn read_after_resign(&self, store: &dyn Store) {
        if self.next_read.get().is_none_or(|at| now() < at) || self.leading_since().is_some() {
            return;
        }
        self.next_read.set(Some(now() + READ_INTERVAL));
        match store.leader().await {
            Ok(found) => self.set_leader(found.as_ref().map(|(entry, _)| entry)),
            Err(err) => tracing::info!("election: can't read the leader's entry: {err}"),
        }
    }

    async fn perform(&self, step: LeaseStep, settings: &Settings, store: &dyn Store) -> LeaseEvent {
        let result = match step {
            LeaseStep::Wait => return LeaseEvent::Failed,
            LeaseStep::Read => store.leader().await.map(|found| {
                self.set_leader(found.as_ref().map(|(entry, _)| entry));
                LeaseEvent::Read(found.map(|(entry, revision)| (entry.record, revision.number())))
            }),
            LeaseStep::Verify => store.latest_leader().await.map(|found| {
                self.set_leader(found.as_ref().map(|(entry, _)| entry));
                LeaseEvent::Read(found.map(|(entry, revision)| (entry.record, revision.number())))
            }),
            // A follower that does not stand as a candidate reads again later and finds the entry of the
            // winner.
            LeaseStep::Grant if !self.candidacy.borrow_mut().should_claim() => return LeaseEvent::Failed,
            LeaseStep::Grant => store.grant(LEASE_TIMING.ttl).await.map(LeaseEvent::Granted),
            LeaseStep::Create { lease, write_id } => {
                let record = self.lease.borrow().record(write_id);
                let entry = LeaderEntry { record, peers: settings.peers };
                store.claim_leadership(lease, entry.clone()).await.map(|claim| self.on_claim(claim, entry))
            }
            LeaseStep::KeepAlive(lease) => store.renew(lease).await.map(LeaseEvent::Kept),
            LeaseStep::Revoke(lease) => store.revoke(lease).await.map(|()| LeaseEvent::Revoked),
        };
        result.unwrap_or_else(|err| {
            tracing::info!("election: {step:?} failed: {err}");
            LeaseEvent::Failed
        })
    }

    fn on_claim(&self, claim: ClaimOutcome, own: LeaderEntry) -> LeaseEvent {
        match claim {
            ClaimOutcome::Won(revision) => {
                *self.leader.borrow_mut() = Some(own);
                LeaseEvent::Created(revision.number())
            }
            ClaimOutcome::Taken(found) => {
                self.set_leader(found.as_ref().map(|(entry, _)| entry));
                LeaseEvent::Exists(found.map(|(entry, revision)| (entry.record, revision.number())))
            }
        }
    }

    fn set_leader(&self, found: Option<&LeaderEntry>) {
        let entry = found.cloned();
        if entry.is_some() {
            self.candidacy.borrow_mut().record_leader();
        }
        let mut known = self.leader.borrow_mut();
        if *known != entry {
            let name = entry.as_ref().map_or("nobody", |entry| entry.record.instance.as_str());
            tracing::info!("election: {name} is the leader");
            *known = entry;
            self.changed.notify_waiters();
        }
    }

    fn update_leading(&self) {
        let is_leading = matches!(self.leadership(), Leadership::Leader(_));
        let mut since = self.leading_since.borrow_mut();
        match (is_leading, since.is_some()) {
            (true, false) => {
                let fence = self.lease.borrow().era_fence().unwrap_or_default();
                tracing::info!("election: this instance is the leader, fence {fence}");
                *since = Some(now());
                self.changed.notify_waiters();
            }
            (false, true) => {
                tracing::info!("election: this instance is no longer the leader");
                *since = None;
            }
            _ => {}
        }
    }
}
