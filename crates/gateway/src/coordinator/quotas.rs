use std::time::Duration;

use carobwick_core::InstanceId;
use carobwick_core::TenantId;
use carobwick_core::Time;
use carobwick_core::Version;
use carobwick_core::gateway::QuotaLedger;
use carobwick_core::gateway::QuotaUpdate;
use carobwick_core::gateway::UsageReport;
use carobwick_runtime::now;
use indexmap::IndexMap;

use crate::Terms;
use crate::coordinator::Coordinator;
use crate::message::LeaderMessage;
use crate::quota::quotas;
use crate::state::State;

/// Least time between two updates.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Ledger of quotas during one term of this instance as the leader.
#[derive(Debug, Default)]
pub(super) struct TermLedger {
    /// Start of the term.
    since: Option<Time>,
    /// Configuration and settings that the ledger has.
    applied: Option<(Version, Terms)>,
    ledger: Option<QuotaLedger>,
    /// Time of the last update.
    updated: Time,
    /// Number of tenants over their quota at the last update.
    over: usize,
}

impl TermLedger {
    /// Returns the ledger of the term that began at `since`, with the quotas in force. A new one starts with the fractions
    /// and levels that this instance knows.
    fn of_term(&mut self, since: Option<Time>, state: &State) -> &mut QuotaLedger {
        if self.since != since {
            *self = Self { since, ..Self::default() };
        }
        let terms = state.terms.get();
        let ledger = self.ledger.get_or_insert_with(|| {
            let meter = state.quotas.borrow();
            QuotaLedger::new(terms.quota, meter.fractions(), now()).with_levels(meter.levels())
        });
        if let Some(table) = state.route_table.borrow().as_ref()
            && self.applied != Some((table.version, terms))
        {
            self.applied = Some((table.version, terms));
            ledger.set_quotas(terms.quota, quotas(&table.access));
        }
        ledger
    }
}

/// Quotas of tenants, which the leader derives from the usage at all instances.
impl Coordinator {
    fn with_ledger<T>(&self, f: impl FnOnce(&mut QuotaLedger) -> T) -> T {
        let mut term = self.ledger.borrow_mut();
        f(term.of_term(self.election.leading_since(), &self.state))
    }

    /// Handles the usage at an instance.
    pub(super) fn handle_usage(&self, from: &InstanceId, usage: &UsageReport) {
        self.with_ledger(|ledger| ledger.report(from, usage, now()));
        let is_allowed = now() >= self.ledger.borrow().updated + MIN_UPDATE_INTERVAL;
        if is_allowed && self.with_ledger(|ledger| ledger.is_update_due(now())) {
            let update = self.take_quota_update();
            self.broadcast(&LeaderMessage::quotas(update));
        }
    }

    /// Returns the state of the quotas for all instances, or none if no tenant has a quota.
    pub(super) fn take_quota_update(&self) -> Option<QuotaUpdate> {
        if !self.state.has_quotas() {
            return None;
        }
        let instances = self.followers.borrow().len() as u32 + 1;
        let update = self.with_ledger(|ledger| ledger.take_update(instances, now()));
        self.ledger.borrow_mut().updated = now();
        self.record_over_quota();
        self.state.receive_quotas(&update);
        Some(update)
    }

    /// Logs and measures the number of tenants over their quota if it has changed.
    fn record_over_quota(&self) {
        let over = self.with_ledger(|ledger| ledger.over_quota(now()));
        let mut term = self.ledger.borrow_mut();
        if std::mem::replace(&mut term.over, over) != over {
            tracing::info!("leader: {over} tenants are over their quota");
            self.state.meters.set_over_quota(over);
        }
    }

    /// Clears the ledger of a term that has ended.
    pub(super) fn clear_quotas(&self) {
        if self.ledger.borrow().since.is_some() {
            *self.ledger.borrow_mut() = TermLedger::default();
            self.state.meters.set_over_quota(0);
        }
    }

    /// Returns the fractions of tenants over their quota if the store must have them and this instance is the leader.
    pub fn take_stored_fractions(&self) -> Option<IndexMap<TenantId, f64>> {
        if !self.is_leading() || !self.state.has_quotas() {
            return None;
        }
        self.with_ledger(QuotaLedger::take_stored)
    }
}
