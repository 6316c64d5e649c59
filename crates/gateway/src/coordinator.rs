mod engine_calls;
pub(crate) mod followers;
mod quotas;
mod streams;
mod tokens;
mod trials;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use carobwick_core::Fence;
use carobwick_core::InstanceId;
use carobwick_core::ServiceId;
use carobwick_core::Time;
use carobwick_core::ZoneId;
use carobwick_core::gateway::AdapterRequest;
use carobwick_core::gateway::DemandTable;
use carobwick_core::gateway::EndpointTable;
use carobwick_core::gateway::EngineRegistry;
use carobwick_core::gateway::EngineSpec;
use carobwick_core::gateway::ModelPlacer;
use carobwick_core::gateway::PendingLoads;
use carobwick_core::gateway::SharedLoads;
use carobwick_core::gateway::StreamOrigin;
use carobwick_core::gateway::TrialTable;
use carobwick_core::gateway::Weights;
use carobwick_core::gateway::plan_adapter;
use carobwick_runtime::now;
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::coordinator::followers::Frame;
use crate::coordinator::quotas::TermLedger;
use crate::coordinator::tokens::TermIssuer;
use crate::election::Election;
use crate::message::FollowerMessage;
use crate::message::LeaderMessage;
use crate::state::State;

/// Longest time between two planning passes of the leader.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Least time between two planning passes. Without it, every message would start one under load.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which the leader tries to load a requested adapter.
const ADAPTER_REQUEST_TTL: Duration = Duration::from_secs(3);
/// Least time between two placements of models, since completed orders wake the leader more often.
const MIN_PLACEMENT_INTERVAL: Duration = Duration::from_millis(100);

/// Tracks the engines' states, sends them orders and sends updates to the followers, while this instance is
/// the leader.
#[derive(Debug)]
pub(crate) struct Coordinator {
    state: Rc<State>,
    election: Rc<Election>,
    registry: RefCell<EngineRegistry>,
    demand: RefCell<DemandTable>,
    placers: RefCell<IndexMap<ServiceId, ModelPlacer>>,
    /// Time of the last placement of models.
    last_placement: Cell<Time>,
    adapter_requests: RefCell<IndexMap<(ServiceId, AdapterRequest), Time>>,
    loads: RefCell<PendingLoads>,
    followers: RefCell<IndexMap<InstanceId, mpsc::UnboundedSender<Frame>>>,
    wake: Notify,
    issuer: RefCell<TermIssuer>,
    /// Notifies the task that issues tokens of changed limits and waiting requests.
    tokens_changed: Notify,
    trials: RefCell<TrialTable>,
    /// Streams that the followers have not been told of yet.
    new_streams: RefCell<Vec<StreamOrigin>>,
    /// Notifies the task that tells them.
    streams_changed: Notify,
    ledger: RefCell<TermLedger>,
}

impl Coordinator {
    pub fn new(state: Rc<State>, election: Rc<Election>) -> Self {
        Self {
            state,
            election,
            registry: RefCell::default(),
            demand: RefCell::default(),
            placers: RefCell::default(),
            last_placement: Cell::new(Time::ZERO),
            adapter_requests: RefCell::default(),
            loads: RefCell::default(),
            followers: RefCell::default(),
            wake: Notify::new(),
            issuer: RefCell::default(),
            tokens_changed: Notify::new(),
            trials: RefCell::default(),
            new_streams: RefCell::default(),
            streams_changed: Notify::new(),
            ledger: RefCell::default(),
        }
    }

    /// Returns the fencing number if orders may be sent now.
    pub fn order_fence(&self) -> Option<Fence> {
        self.election.order_fence(self.state.terms.get().handover)
    }

    /// Updates the registry of engines from the table of endpoints.
    pub fn update_endpoints(&self, endpoints: &EndpointTable) {
        let table = self.state.route_table.borrow();
        let mut registry = self.registry.borrow_mut();
        registry.retain(|id| endpoints.get(id).is_some());
        self.retain_limits(|id| endpoints.get(id).is_some());
        for entry in endpoints.iter() {
            let service = table.as_ref().and_then(|table| table.services.get(&entry.service));
            if service.is_some_and(|service| service.engine.is_some()) {
                registry.apply_entry(entry, now());
            }
        }
        drop(registry);
        self.update_limited_engines();
    }

    /// Returns whether this instance is the leader.
    pub fn is_leading(&self) -> bool {
        self.election.leading_since().is_some()
    }

    /// Waits until this instance is the leader.
    pub async fn wait_leading(&self) {
        self.election.wait_leading().await;
    }

    /// Handles a message of an instance.
    pub fn handle_message(&self, from: &InstanceId, message: FollowerMessage) {
        match message {
            FollowerMessage::Hello { .. } => {}
            FollowerMessage::Report { demand: samples, loads, streams, paces, usage, confirm, wanted } => {
                if let Some(usage) = usage {
                    self.handle_usage(from, &usage);
                }
                self.handle_streams(from, streams, confirm);
                self.send_streams(from, &wanted);
                let mut demand = self.demand.borrow_mut();
                for sample in &samples {
                    demand.add(sample, now());
                }
                self.loads.borrow_mut().extend(&SharedLoads { loads, paces });
            }
            FollowerMessage::RequestWeights { service, weights, zone } => {
                self.request_weights(service, AdapterRequest { weights, zone });
            }
            FollowerMessage::EndpointLost { fingerprint, endpoint, incarnation } => {
                if *from != self.state.settings.instance {
                    let loss = self.state.receive_loss(fingerprint, &endpoint, incarnation);
                    self.state.keep_convicted(&loss);
                }
                self.broadcast_except(
                    from,
                    &LeaderMessage::EndpointLost { fingerprint, endpoint, incarnation },
                );
            }
            FollowerMessage::EndpointLimit { endpoint, incarnation, limit, age } => {
                self.handle_limit(from, &endpoint, incarnation, limit, age);
            }
            FollowerMessage::RequestToken { endpoint, incarnation, limit, age, request } => {
                let heard = now() - age.duration();
                self.handle_token_request(&endpoint, incarnation, limit, heard, request);
            }
            FollowerMessage::RequestConfig => self.send_config(from),
            FollowerMessage::SuspectsLost(loss) => self.handle_suspects_lost(from, loss),
            FollowerMessage::SuspectsCleared { suspects } => self.handle_suspects_cleared(from, suspects),
            FollowerMessage::RequestTrial { ticket, suspects, remaining } => {
                self.handle_trial_request(&ticket, &suspects, remaining);
            }
            FollowerMessage::EndTrial { ticket } => self.trials.borrow_mut().finish(&ticket),
            FollowerMessage::CancelToken { endpoint, ticket } => self.cancel_token(&endpoint, &ticket),
            FollowerMessage::EndpointLeaving { endpoint, incarnation } => {
                let is_own = *from == self.state.settings.instance;
                if self.state.mark_leaving(&endpoint, incarnation) || is_own {
                    // Copies on a leaving endpoint no longer count, so that the last one is loaded elsewhere
                    // in time.
                    self.update_endpoints(&self.state.endpoints.borrow());
                    self.broadcast_except(from, &LeaderMessage::EndpointLeaving { endpoint, incarnation });
                    self.wake.notify_one();
                }
            }
        }
    }

    /// Plans and sends orders until the task is aborted.
    pub async fn run(self: Rc<Self>) {
        loop {
            // A spurious wake-up does no harm.
            let _elapsed = tokio::time::timeout(PLAN_INTERVAL, self.wake.notified()).await;
            self.state.meters.set_leading(self.is_leading());
            if !self.is_leading() {
                self.clear();
                continue;
            }
            if self.order_fence().is_some() {
                Rc::clone(&self).query_engines();
                Rc::clone(&self).load_adapters();
                Rc::clone(&self).place_models();
            }
            tokio::time::sleep(MIN_PLAN_INTERVAL).await;
        }
    }

    /// Clears what this instance knew as the leader.
    fn clear(&self) {
        if !self.followers.borrow().is_empty() {
            self.followers.borrow_mut().clear();
        }
        self.trials.borrow_mut().clear();
        self.clear_quotas();
        if self.demand.borrow().first_report().is_some() {
            *self.demand.borrow_mut() = DemandTable::default();
            self.adapter_requests.borrow_mut().clear();
            self.placers.borrow_mut().clear();
            self.registry.borrow_mut().clear();
            self.update_endpoints(&self.state.endpoints.borrow());
        }
    }

    /// Handles a request for a model or adapter.
    fn request_weights(&self, service: ServiceId, request: AdapterRequest) {
        let weights = &request.weights;
        if self.offers(&service, weights, None) {
            self.registry.borrow_mut().recheck(weights, now());
        }
        self.demand.borrow_mut().record_waiting(&service, weights, now());
        if weights.adapter.is_some() {
            self.adapter_requests.borrow_mut().insert((service, request), now());
        }
        self.wake.notify_one();
    }

    /// Returns whether an engine offers a model or adapter, in the given zone or in any. Engines with a rate
    /// limit count only if no other one has the model.
    fn offers(&self, service: &ServiceId, weights: &Weights, zone: Option<&ZoneId>) -> bool {
        let registry = self.registry.borrow();
        let holders = registry.holders(service, &weights.model);
        let mut in_zone = holders.filter(|(_, record)| zone.is_none_or(|zone| record.zone == *zone));
        in_zone.any(|(_, record)| record.offers(weights))
    }

    fn load_adapters(self: Rc<Self>) {
        let now = now();
        self.adapter_requests.borrow_mut().retain(|_, since| now < *since + ADAPTER_REQUEST_TTL);
        let adapter_requests: Vec<(ServiceId, AdapterRequest)> =
            self.adapter_requests.borrow().keys().cloned().collect();
        for (service, request) in adapter_requests {
            if self.offers(&service, &request.weights, Some(&request.zone)) {
                self.adapter_requests.borrow_mut().swap_remove(&(service, request));
                continue;
            }
            if self.registry.borrow().is_load_underway(&service, &request.weights) {
                continue;
            }
            let order = self.with_spec(&service, |spec| {
                plan_adapter(&service, spec, &self.registry.borrow(), &self.demand.borrow(), &request, now)
            });
            if let Some(Some(order)) = order {
                Rc::clone(&self).issue_order(order);
            }
        }
    }

    fn place_models(self: Rc<Self>) {
        let now = now();
        if now < self.last_placement.get() + MIN_PLACEMENT_INTERVAL {
            return;
        }
        self.last_placement.set(now);
        let services: Vec<ServiceId> = match self.state.route_table.borrow().as_ref() {
            Some(table) => table.services.keys().cloned().collect(),
            None => return,
        };
        for service in services {
            let orders = self.with_spec(&service, |spec| {
                let mut placers = self.placers.borrow_mut();
                let placer = placers.entry(service.clone()).or_insert_with(|| ModelPlacer::new(now));
                placer.plan(&service, spec, &self.registry.borrow(), &self.demand.borrow(), now)
            });
            for order in orders.into_iter().flatten() {
                Rc::clone(&self).issue_order(order);
            }
        }
    }

    fn with_spec<T>(&self, service: &ServiceId, f: impl FnOnce(&EngineSpec) -> T) -> Option<T> {
        let table = self.state.route_table.borrow().clone()?;
        table.services.get(service)?.engine.as_ref().map(f)
    }
}
