use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use carobwick_core::Fence;
use carobwick_core::Lease;
use carobwick_core::LeaseEvent;
use carobwick_core::LeaseStep;
use carobwick_core::LeaseTerms;
use carobwick_core::Standing;
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
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// How often one with a connection reads it. The leader ends its connections when it no longer leads, and a
/// silent one is given up, so that the note need not be read to notice either.
const CONNECTED_READ_INTERVAL: Duration = Duration::from_secs(30);
/// How often the election looks at the clock.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Times of the leader's lease. The holder acts only for a part of it, so that its last order is older than
/// the next holder's lease by the difference, which shortens the wait of the next holder.
const LEASE_TERMS: LeaseTerms = LeaseTerms {
    ttl: Duration::from_secs(3),
    usable: Duration::from_millis(1_400),
    renewal: Duration::from_millis(500),
};
/// Time by which the next holder's lease is younger than the last one's last order, less a margin for the
/// clocks' rates.
const LAST_ORDER_GAP: Duration = Duration::from_millis(1_500);

/// This instance's part in the election of the leader.
#[derive(Debug)]
pub struct Election {
    lease: RefCell<Lease>,
    /// The leader as last read from the store.
    leader: RefCell<Option<LeaderEntry>>,
    /// Since when this instance leads.
    leading_since: RefCell<Option<Time>>,
    /// Wakes those who wait for another leader.
    changed: Notify,
    /// When a stopping instance, which takes no part any more, reads the note next.
    next_read: Cell<Option<Time>>,
    candidacy: RefCell<Candidacy>,
}

impl Election {
    /// Starts as a follower that knows no leader.
    pub fn new(settings: &Settings) -> Self {
        let mut lease = Lease::new(settings.instance.clone());
        lease.set_interval(READ_INTERVAL);
        lease.set_terms(LEASE_TERMS);
        Self {
            lease: RefCell::new(lease),
            leader: RefCell::default(),
            leading_since: RefCell::default(),
            changed: Notify::new(),
            next_read: Cell::new(None),
            candidacy: RefCell::new(Candidacy::new(settings.instance.clone(), settings.size)),
        }
    }

    /// Returns what this instance may do now.
    pub fn standing(&self) -> Standing {
        self.lease.borrow().standing(now())
    }

    /// Returns the fencing number if orders may be given, `handover` after those of the last leader.
    pub fn order_fence(&self, handover: Duration) -> Option<Fence> {
        let since = self.leading_since()?;
        match self.standing() {
            Standing::Leader(fence) if now() >= since + handover.saturating_sub(LAST_ORDER_GAP) => {
                Some(fence)
            }
            _ => None,
        }
    }

    /// Returns since when this instance leads.
    pub fn leading_since(&self) -> Option<Time> {
        *self.leading_since.borrow()
    }

    /// Returns the leader as last read.
    pub fn leader(&self) -> Option<LeaderEntry> {
        self.leader.borrow().clone()
    }

    /// Waits until the leader is another than the noted one, or this instance leads.
    pub async fn wait_leader_changed(&self, entry: &LeaderEntry) {
        loop {
            let changed = self.changed.notified();
            if self.leading_since().is_some() || self.leader().as_ref() != Some(entry) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until this instance leads.
    pub async fn wait_leading(&self) {
        loop {
            let changed = self.changed.notified();
            if self.leading_since().is_some() {
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
        lease.set_interval(if connected { CONNECTED_READ_INTERVAL } else { READ_INTERVAL });
        if !connected {
            lease.look(now());
        }
    }

    /// Gives up the lease; who leads is still read, since requests in flight may need the leader.
    pub fn resign(&self) {
        self.lease.borrow_mut().set_resigned(true);
        self.next_read.set(Some(now()));
    }

    /// Takes part in the election for as long as the process runs.
    pub async fn run(self: Rc<Self>, settings: Rc<Settings>, store: Rc<dyn Store>) {
        loop {
            let write_id = WriteId(rand::random::<u64>() | 1);
            let step = self.lease.borrow_mut().step(now(), write_id);
            if step == LeaseStep::Wait {
                self.update_leading();
                self.read_after_resign(store.as_ref()).await;
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            let event = self.perform(step, &settings, store.as_ref()).await;
            self.lease.borrow_mut().on(now(), event);
            self.update_leading();
        }
    }

    /// Reads the note for a stopping instance.
    async fn read_after_resign(&self, store: &dyn Store) {
        if self.next_read.get().is_none_or(|at| now() < at) || self.leading_since().is_some() {
            return;
        }
        self.next_read.set(Some(now() + READ_INTERVAL));
        match store.leader().await {
            Ok(found) => self.set_leader(found.as_ref().map(|(entry, _)| entry)),
            Err(err) => tracing::info!("election: the note was not read: {err}"),
        }
    }

    async fn perform(&self, step: LeaseStep, settings: &Settings, store: &dyn Store) -> LeaseEvent {
        let result = match step {
            LeaseStep::Wait => return LeaseEvent::Failed,
            LeaseStep::Read => store.leader().await.map(|found| {
                self.set_leader(found.as_ref().map(|(entry, _)| entry));
                LeaseEvent::Read(found.map(|(entry, revision)| (entry.record, revision)))
            }),
            // The others look again and find the note of the one that won.
            LeaseStep::Grant if !self.candidacy.borrow_mut().claims() => return LeaseEvent::Failed,
            LeaseStep::Grant => store.grant(LEASE_TERMS.ttl).await.map(LeaseEvent::Granted),
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
                LeaseEvent::Created(revision)
            }
            ClaimOutcome::Taken(found) => {
                self.set_leader(found.as_ref().map(|(entry, _)| entry));
                LeaseEvent::Exists(found.map(|(entry, revision)| (entry.record, revision)))
            }
        }
    }

    fn set_leader(&self, found: Option<&LeaderEntry>) {
        let entry = found.cloned();
        if entry.is_some() {
            self.candidacy.borrow_mut().settled();
        }
        let mut known = self.leader.borrow_mut();
        if *known != entry {
            let name = entry.as_ref().map_or("nobody", |entry| entry.record.instance.as_str());
            tracing::info!("election: {name} leads");
            *known = entry;
            self.changed.notify_waiters();
        }
    }

    fn update_leading(&self) {
        let leads = matches!(self.standing(), Standing::Leader(_));
        let mut since = self.leading_since.borrow_mut();
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
