use std::sync::Arc;

use indexmap::IndexMap;

use crate::Artifact;
use crate::Ask;
use crate::AttemptOutcome;
use crate::CrashReport;
use crate::Decision;
use crate::DrainSet;
use crate::DrainTarget;
use crate::EndpointId;
use crate::EndpointState;
use crate::EndpointView;
use crate::Incarnation;
use crate::LoadReport;
use crate::Manifest;
use crate::ModelId;
use crate::Policy;
use crate::RefusalCode;
use crate::RequestId;
use crate::RouteTarget;
use crate::RunStatus;
use crate::SuspectSet;
use crate::Time;
use crate::ZoneId;
use crate::ZoneView;

/// Decides for one entry where and when each request runs.
///
/// Every request goes through `admit`, then `sent`, `first_token` and `finished` for its attempt. After an attempt
/// that ended with `Failed` or `NotRun`, `retry` decides on the next one; a request that is not to be retried ends
/// with `finished(.., Cancelled, ..)`. Requests that wait come back from `poll`, which is due at `due`.
#[derive(Debug)]
pub struct Dispatcher {
    policy: Policy,
    models: IndexMap<ModelId, ModelId>,
    endpoints: IndexMap<EndpointId, Endpoint>,
    requests: IndexMap<RequestId, Active>,
}

#[derive(Debug)]
struct Endpoint {
    view: EndpointView,
    usable: bool,
    own: u32,
}

#[derive(Debug)]
struct Active {
    ask: Ask,
    endpoint: Option<EndpointId>,
    sent: bool,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no endpoints yet.
    pub fn new(policy: Policy) -> Self {
        Self { policy, models: IndexMap::new(), endpoints: IndexMap::new(), requests: IndexMap::new() }
    }

    /// Takes over the state that the processes exchange; requests in flight are kept.
    pub fn set_view(
        &mut self,
        manifest: &Manifest,
        own_zone: &ZoneId,
        views: &IndexMap<ZoneId, Arc<ZoneView>>,
        drains: &DrainSet,
        _suspects: &SuspectSet,
    ) {
        self.models.clear();
        for id in manifest.models.keys().chain(manifest.adapters.keys()) {
            let base = match manifest.find(id) {
                Some(Artifact::Adapter(adapter, _)) => adapter.base.clone(),
                _ => id.clone(),
            };
            self.models.insert(id.clone(), base);
        }
        let mut old = std::mem::take(&mut self.endpoints);
        for (id, view) in views.get(own_zone).into_iter().flat_map(|view| &view.endpoints) {
            let drained = drains.is_drained(&DrainTarget::Endpoint(id.clone()));
            let usable = view.state == EndpointState::Live && !drained;
            let own = old.swap_remove(id).map_or(0, |known| known.own);
            self.endpoints.insert(id.clone(), Endpoint { view: view.clone(), usable, own });
        }
    }

    /// Decides on a new request.
    pub fn admit(&mut self, ask: Ask, _now: Time) -> Decision {
        let request = ask.request;
        self.requests.insert(request, Active { ask, endpoint: None, sent: false });
        self.route(request, None)
    }

    /// Returns the decisions on requests that waited.
    pub fn poll(&mut self, _now: Time) -> Vec<(RequestId, Decision)> {
        Vec::new()
    }

    /// Returns the time at which `poll` is due, if a request waits.
    pub fn due(&self) -> Option<Time> {
        None
    }

    /// Notes that the first byte of a request was written to its endpoint.
    pub fn sent(&mut self, request: RequestId, _now: Time) {
        if let Some(active) = self.requests.get_mut(&request) {
            active.sent = true;
        }
    }

    /// Notes that the answer of a request began.
    pub fn first_token(&mut self, _request: RequestId, _now: Time) {}

    /// Notes the end of an attempt, with the load report of its answer.
    pub fn finished(
        &mut self,
        request: RequestId,
        outcome: AttemptOutcome,
        _load: Option<LoadReport>,
        _now: Time,
    ) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        if let Some(endpoint) = active.endpoint.take()
            && let Some(endpoint) = self.endpoints.get_mut(&endpoint)
        {
            endpoint.own = endpoint.own.saturating_sub(1);
        }
        if matches!(outcome, AttemptOutcome::Complete { .. } | AttemptOutcome::Cancelled) {
            self.requests.swap_remove(&request);
        }
    }

    /// Decides on the next attempt of a request whose attempt ended with `Failed` or `NotRun`.
    pub fn retry(&mut self, request: RequestId, _now: Time) -> Decision {
        if self.requests.contains_key(&request) {
            return self.route(request, None);
        }
        refuse(RefusalCode::RetryBudget, RunStatus::Unknown)
    }

    /// Notes that an endpoint crashed and returns the report for the other entries.
    pub fn crashed(&mut self, endpoint: &EndpointId, incarnation: Incarnation, _now: Time) -> CrashReport {
        let on_it = |active: &&Active| active.sent && active.endpoint.as_ref() == Some(endpoint);
        let fingerprints =
            self.requests.values().filter(on_it).map(|active| active.ask.fingerprint).collect();
        CrashReport { endpoint: endpoint.clone(), incarnation, fingerprints }
    }

    /// Returns reports that changed since the last call, for the other entries.
    pub fn take_reports(&mut self) -> Vec<CrashReport> {
        Vec::new()
    }

    fn route(&mut self, request: RequestId, _tried: Option<&EndpointId>) -> Decision {
        let target = &self.requests[&request].ask.target;
        let fits = |endpoint: &Endpoint| match target {
            RouteTarget::Service(service) => endpoint.view.service == *service,
            RouteTarget::Model(model) => {
                endpoint.view.holds(model)
                    || self.models.get(model).is_some_and(|base| endpoint.view.holds(base))
            }
        };
        let candidates = self.endpoints.iter_mut().filter(|(_, endpoint)| endpoint.usable && fits(endpoint));
        let Some((id, endpoint)) = candidates.min_by_key(|(_, endpoint)| endpoint.own) else {
            self.requests.swap_remove(&request);
            return refuse(RefusalCode::Unavailable, RunStatus::No);
        };
        endpoint.own += 1;
        self.requests[&request].endpoint = Some(id.clone());
        Decision::Send {
            endpoint: id.clone(),
            addr: endpoint.view.addr.clone(),
            incarnation: endpoint.view.incarnation,
        }
    }

    /// Returns the settings.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }
}

fn refuse(code: RefusalCode, run: RunStatus) -> Decision {
    Decision::Refuse { code, run, retry_after: None }
}
