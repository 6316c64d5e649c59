use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use carobwick_core::DrainTarget;
use carobwick_core::EndpointId;
use carobwick_core::EndpointState;
use carobwick_core::EndpointView;
use carobwick_core::RequestId;
use carobwick_core::SharedState;
use carobwick_core::ZoneId;
use carobwick_core::ZoneView;
use carobwick_runtime::Node;

use crate::ask::Ask;
use crate::ask::Subject;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Chooses where each attempt runs: the endpoint with the fewest requests outstanding.
#[derive(Debug)]
pub(crate) struct Dispatch {
    node: Node,
    zone: ZoneId,
    ledger: Mutex<Ledger>,
}

/// Where an attempt goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Target {
    /// To an endpoint of the own zone.
    Endpoint { id: EndpointId, addr: String },
    /// To an entry of another zone.
    Zone { addr: String },
}

#[derive(Debug, Default)]
struct Ledger {
    outstanding: HashMap<EndpointId, u32>,
    requests: HashMap<RequestId, Vec<EndpointId>>,
}

impl Dispatch {
    pub fn new(node: Node, zone: ZoneId) -> Self {
        Self { node, zone, ledger: Mutex::default() }
    }

    /// Chooses where a request's next attempt runs; endpoints of its earlier attempts come last.
    pub fn place(&self, ask: &Ask) -> Result<Target, Refusal> {
        let mut ledger = self.lock();
        let tried = ledger.requests.get(&ask.request).cloned().unwrap_or_default();
        let own = self.node.read(|state| {
            let view = state.views.get(&self.zone)?;
            let usable = view.endpoints.iter().filter(|(id, one)| is_usable(state, id, one, &ask.subject));
            let load = |id: &EndpointId| ledger.outstanding.get(id).copied().unwrap_or(0);
            let best = usable.min_by_key(|(id, _)| (tried.contains(id), load(id)));
            best.map(|(id, one)| (id.clone(), one.addr.clone()))
        });
        if let Some((id, addr)) = own {
            *ledger.outstanding.entry(id.clone()).or_default() += 1;
            ledger.requests.entry(ask.request).or_default().push(id.clone());
            return Ok(Target::Endpoint { id, addr });
        }
        let other = if ask.forwarded { None } else { self.node.read(|state| self.other_zone(state, ask)) };
        other.map(|addr| Target::Zone { addr }).ok_or_else(|| {
            let text = "no endpoint serves this at present";
            Refusal::new(Code::NoEndpoint, text).after(Duration::from_secs(1))
        })
    }

    /// Counts an attempt as ended.
    pub fn ended(&self, target: &Target) {
        if let Target::Endpoint { id, .. } = target {
            let mut ledger = self.lock();
            if let Some(count) = ledger.outstanding.get_mut(id) {
                *count = count.saturating_sub(1);
            }
        }
    }

    /// Forgets a request.
    pub fn finished(&self, request: RequestId) {
        self.lock().requests.remove(&request);
    }

    fn other_zone(&self, state: &SharedState, ask: &Ask) -> Option<String> {
        let serves = |view: &&std::sync::Arc<ZoneView>| {
            view.zone != self.zone
                && view.endpoints.iter().any(|(id, one)| is_usable(state, id, one, &ask.subject))
        };
        let views: Vec<_> = state.views.values().filter(serves).collect();
        let view = views.get(ask.request.0 as usize % views.len().max(1))?;
        let live: Vec<_> = view.instances.values().filter(|one| one.live).collect();
        live.get((ask.request.0 >> 32) as usize % live.len().max(1)).map(|one| one.entry.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Target {
    /// Returns the `IP:port` to connect to.
    pub fn addr(&self) -> &str {
        match self {
            Self::Endpoint { addr, .. } | Self::Zone { addr } => addr,
        }
    }
}

fn is_usable(state: &SharedState, id: &EndpointId, endpoint: &EndpointView, subject: &Subject) -> bool {
    let serves = match subject {
        Subject::Model(model) => endpoint.holds(model),
        Subject::Service(service) => endpoint.service == *service,
    };
    serves
        && endpoint.state == EndpointState::Live
        && !state.drains.is_drained(&DrainTarget::Endpoint(id.clone()))
}
