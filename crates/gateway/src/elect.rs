use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

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

/// How often a follower without a connection to the leader reads the leader's note.
const LOOK: Duration = Duration::from_millis(700);
/// How often one with a connection reads it. The leader ends its connections when it no longer leads, and a silent one is
/// given up, so that the note need not be read to notice either.
const CONNECTED_LOOK: Duration = Duration::from_secs(30);
/// How often the election looks at the clock.
const TICK: Duration = Duration::from_millis(200);
/// Times of the leader's lease. The holder acts only for a part of it, so that its last order is older than the next
/// holder's lease by the difference, which shortens the wait of the next holder.
const LEASE_TIMING: LeaseTiming = LeaseTiming {
    ttl: Duration::from_secs(3),
    usable: Duration::from_millis(1_400),
    renewal: Duration::from_millis(500),
};
/// Time by which the next holder's lease is younger than the last one's last order, less a margin for the clocks' rates.
const ORDERS_END: Duration = Duration::from_millis(1_500);

/// This instance's part in the election of the leader.
#[derive(Debug)]
pub struct Election {
    lease: RefCell<Lease>,
    /// The leader as last read from the store.
    note: RefCell<Option<LeaderEntry>>,
    /// Since when this instance leads.
    since: RefCell<Option<Time>>,
    /// Wakes those who wait for another leader.
    changed: Notify,
    /// When a stopping instance, which takes no part any more, reads the note next.
    look: Cell<Option<Time>>,
    candidacy: RefCell<Candidacy>,
}

impl Election {
    /// Starts as a follower that knows no leader.
    pub fn new(settings: &Settings) -> Self {
        let mut lease = Lease::new(settings.instance.clone());
        lease.set_read_interval(LOOK);
        lease.set_timing(LEASE_TIMING);
        Self {
            lease: RefCell::new(lease),
            note: RefCell::default(),
            since: RefCell::default(),
            changed: Notify::new(),
            look: Cell::new(None),
            candidacy: RefCell::new(Candidacy::new(settings.instance.clone(), settings.size)),
        }
    }

    /// Returns what this instance may do now.
    pub fn leadership(&self) -> Leadership {
        self.lease.borrow().leadership(now())
    }

    /// Returns the fencing number if orders may be given, `handover` after those of the last leader.
    pub fn authority(&self, handover: Duration) -> Option<Fence> {
        let since = self.since()?;
        match self.leadership() {
            Leadership::Leader(fence) if now() >= since + handover.saturating_sub(ORDERS_END) => Some(fence),
            _ => None,
        }
    }

    /// Returns since when this instance leads.
    pub fn since(&self) -> Option<Time> {
        *self.since.borrow()
    }

    /// Returns the leader as last read.
    pub fn leader(&self) -> Option<LeaderEntry> {
        self.note.borrow().clone()
    }

    /// Waits until the leader is another than the noted one, or this instance leads.
    pub async fn moved_from(&self, note: &LeaderEntry) {
        loop {
            let changed = self.changed.notified();
            if self.since().is_some() || self.leader().as_ref() != Some(note) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until this instance leads.
    pub async fn until_leading(&self) {
        loop {
            let changed = self.changed.notified();
            if self.since().is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Sets how many instances take part.
    pub fn set_instances(&self, instances: u32) {
        self.candidacy.borrow_mut().set_instances(instances);
    }

    /// Notes whether there is a connection to the leader.
    pub fn set_connected(&self, connected: bool) {
        let mut lease = self.lease.borrow_mut();
        lease.set_read_interval(if connected { CONNECTED_LOOK } else { LOOK });
        if !connected {
            lease.read_now(now());
        }
    }

    /// Gives up the lease; who leads is still read, since requests in flight may need the leader.
    pub fn resign(&self) {
        self.lease.borrow_mut().set_resigned(true);
        self.look.set(Some(now()));
    }

    /// Takes part in the election for as long as the process runs.
    pub async fn run(self: Rc<Self>, settings: Rc<Settings>, store: Rc<dyn Store>) {
        loop {
            let write_id = WriteId(rand::random::<u64>() | 1);
            let step = self.lease.borrow_mut().step(now(), write_id);
            if step == LeaseStep::Wait {
                self.note_leadership();
                self.look_on(store.as_ref()).await;
                tokio::time::sleep(TICK).await;
                continue;
            }
            let event = self.perform(step, &settings, store.as_ref()).await;
            self.lease.borrow_mut().on_event(now(), event);
            self.note_leadership();
        }
    }

    /// Reads the note for a stopping instance.
    async fn look_on(&self, store: &dyn Store) {
        if self.look.get().is_none_or(|at| now() < at) || self.since().is_some() {
            return;
        }
        self.look.set(Some(now() + LOOK));
        match store.leader().await {
            Ok(found) => self.see(found.as_ref().map(|(note, _)| note)),
            Err(err) => tracing::info!("election: the note was not read: {err}"),
        }
    }

    async fn perform(&self, step: LeaseStep, settings: &Settings, store: &dyn Store) -> LeaseEvent {
        let result = match step {
            LeaseStep::Wait => return LeaseEvent::Failed,
            LeaseStep::Read => store.leader().await.map(|found| {
                self.see(found.as_ref().map(|(note, _)| note));
                LeaseEvent::Read(found.map(|(note, revision)| (note.record, revision)))
            }),
            // The others look again and find the note of the one that won.
            LeaseStep::Grant if !self.candidacy.borrow_mut().should_claim() => return LeaseEvent::Failed,
            LeaseStep::Grant => store.grant(LEASE_TIMING.ttl).await.map(LeaseEvent::Granted),
            LeaseStep::Create { lease, write_id } => {
                let record = self.lease.borrow().record(write_id);
                let note = LeaderEntry { record, peers: settings.peers };
                store.claim_leadership(lease, note.clone()).await.map(|claim| self.claimed(claim, note))
            }
            LeaseStep::KeepAlive(lease) => store.renew(lease).await.map(LeaseEvent::Kept),
            LeaseStep::Revoke(lease) => store.revoke(lease).await.map(|()| LeaseEvent::Revoked),
        };
        result.unwrap_or_else(|err| {
            tracing::info!("election: {step:?} failed: {err}");
            LeaseEvent::Failed
        })
    }

    fn claimed(&self, claim: ClaimOutcome, own: LeaderEntry) -> LeaseEvent {
        match claim {
            ClaimOutcome::Won(revision) => {
                *self.note.borrow_mut() = Some(own);
                LeaseEvent::Created(revision)
            }
            ClaimOutcome::Taken(found) => {
                self.see(found.as_ref().map(|(note, _)| note));
                LeaseEvent::Exists(found.map(|(note, revision)| (note.record, revision)))
            }
        }
    }

    fn see(&self, found: Option<&LeaderEntry>) {
        let note = found.cloned();
        if note.is_some() {
            self.candidacy.borrow_mut().record_leader();
        }
        let mut known = self.note.borrow_mut();
        if *known != note {
            let name = note.as_ref().map_or("nobody", |note| note.record.instance.as_str());
            tracing::info!("election: {name} leads");
            *known = note;
            self.changed.notify_waiters();
        }
    }

    fn note_leadership(&self) {
        let leads = matches!(self.leadership(), Leadership::Leader(_));
        let mut since = self.since.borrow_mut();
        match (leads, since.is_some()) {
            (true, false) => {
                tracing::info!("election: this instance leads");
                *since = Some(now());
                self.changed.notify_waiters();
            }
            (false, true) => {
                tracing::info!("election: this instance does not lead any more");
                *since = None;
            }
            _ => {}
        }
    }
}
