use std::rc::Rc;
use std::time::Duration;

use carobwick_core::TenantId;
use carobwick_core::gateway::Access;
use carobwick_core::gateway::AccessTable;
use carobwick_core::gateway::Quota;
use carobwick_core::gateway::QuotaDecision;
use carobwick_core::gateway::QuotaUpdate;
use carobwick_core::gateway::RequestHead;
use carobwick_core::gateway::UsageReport;
use carobwick_runtime::now;
use http::StatusCode;
use indexmap::IndexMap;
use tokio::time::sleep;

use crate::Store;
use crate::backoff::Backoff;
use crate::coordinator::Coordinator;
use crate::message::FollowerMessage;
use crate::response::LocalResponse;
use crate::state::State;

/// Interval at which the leader writes changed fractions to the store.
const STORE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the configuration is checked for a first quota. It is short, since a tenant is not limited by the
/// fractions of before a restart until they have been read.
const FIRST_QUOTA_INTERVAL: Duration = Duration::from_millis(100);

/// Units of a request that its tenant's quota has admitted. Dropping it refunds them unless an endpoint may have run the
/// request.
#[derive(Debug)]
pub(crate) struct QuotaUse {
    state: Rc<State>,
    tenant: TenantId,
    cost: f64,
    /// Whether an endpoint may have run the request.
    pub is_run: bool,
}

impl Drop for QuotaUse {
    fn drop(&mut self) {
        if !self.is_run {
            self.state.quotas.borrow_mut().refund(&self.tenant, self.cost);
        }
    }
}

/// Quotas of tenants at this instance.
impl State {
    /// Takes the units of a request from the quota of its tenant, if it has one, or returns the response that refuses the
    /// request.
    pub fn take_quota(
        self: &Rc<Self>,
        access: &Access,
        head: &RequestHead,
    ) -> Result<Option<QuotaUse>, LocalResponse> {
        let Access::Tenant(tenant) = access else { return Ok(None) };
        let Some(quota) = tenant.quota.filter(is_limit) else { return Ok(None) };
        let (terms, cost) = (self.terms.get().quota, quota.cost(head));
        let decision =
            self.quotas.borrow_mut().admit(&tenant.id, &quota, &terms, cost, rand::random(), now());
        self.report_usage(&tenant.id, &quota);
        match decision {
            QuotaDecision::Admit => {
                Ok(Some(QuotaUse { state: Rc::clone(self), tenant: tenant.id.clone(), cost, is_run: false }))
            }
            QuotaDecision::Refuse { retry_after } => {
                tracing::info!("gateway: request {} is over the quota of {}", head.attempt_id, tenant.id);
                self.meters.record_over_quota();
                let local = LocalResponse::new(StatusCode::TOO_MANY_REQUESTS, "the quota is used up");
                Err(local.retry_after(retry_after))
            }
        }
    }

    /// Returns whether a tenant has a quota.
    pub fn has_quotas(&self) -> bool {
        self.route_table.borrow().as_ref().is_some_and(|table| quotas(&table.access).next().is_some())
    }

    /// Returns the usage since the last report, or none if no tenant has a quota.
    pub fn take_usage(&self) -> Option<UsageReport> {
        self.has_quotas().then(|| self.quotas.borrow_mut().take_report(now()))
    }

    /// Applies the fractions that the leader has derived.
    pub fn receive_quotas(&self, update: &QuotaUpdate) {
        self.quotas.borrow_mut().apply(update, now());
    }

    /// Reports the usage at once if that of a tenant has grown much since the last report.
    fn report_usage(&self, tenant: &TenantId, quota: &Quota) {
        let terms = self.terms.get().quota;
        let is_due = self.quotas.borrow().is_report_due(tenant, quota, &terms, now());
        if is_due && self.has_leader() {
            let usage = self.quotas.borrow_mut().take_report(now());
            self.send_to_leader(FollowerMessage::usage(usage));
        }
    }
}

/// Returns the quotas that limit their tenants.
pub(crate) fn quotas(access: &AccessTable) -> impl Iterator<Item = (&TenantId, Quota)> {
    access.tenants().filter_map(|tenant| Some((&tenant.id, tenant.quota.filter(is_limit)?)))
}

fn is_limit(quota: &Quota) -> bool {
    quota.rate.0 > 0.0
}

/// Reads the fractions of before a restart once a tenant has a quota, and then writes those of the leader's term to the
/// store, until the task is aborted.
pub(crate) async fn keep(state: Rc<State>, coordinator: Rc<Coordinator>, store: Rc<dyn Store>) {
    while !state.has_quotas() {
        sleep(FIRST_QUOTA_INTERVAL).await;
    }
    load(&state, store.as_ref()).await;
    loop {
        sleep(STORE_INTERVAL).await;
        if let Some(fractions) = coordinator.take_stored_fractions() {
            save(store.as_ref(), &fractions).await;
        }
    }
}

async fn load(state: &State, store: &dyn Store) {
    let mut backoff = Backoff::new();
    loop {
        match store.quota_fractions().await {
            Ok(fractions) => {
                state.quotas.borrow_mut().restore(&fractions, now());
                return;
            }
            Err(err) => tracing::info!("gateway: can't read the fractions of quotas: {err}"),
        }
        backoff.wait().await;
    }
}

async fn save(store: &dyn Store, fractions: &IndexMap<TenantId, f64>) {
    // The next change is written again, so a failed write is not repeated.
    if let Err(err) = store.write_quota_fractions(fractions).await {
        tracing::info!("leader: can't write the fractions of quotas: {err}");
    }
}
