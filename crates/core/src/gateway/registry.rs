use std::time::Duration;

use carobwick_derive::data;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::Bytes;
use crate::EndpointId;
use crate::EndpointState;
use crate::Incarnation;
use crate::ModelId;
use crate::ServiceId;
use crate::Time;
use crate::ZoneId;
use crate::gateway::EndpointEntry;
use crate::gateway::EngineAction;
use crate::gateway::EngineOrder;
use crate::gateway::EngineSpec;
use crate::gateway::ResidentModels;
use crate::gateway::Weights;

/// Time after which an order without an answer is settled by asking the engine.
const QUERY_DELAY: Duration = Duration::from_millis(300);

/// What the leader knows of one run of an engine.
#[data]
pub struct EngineRecord {
    /// Its service.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Run of its process.
    pub incarnation: Incarnation,
    /// Whether it takes work.
    pub live: bool,
    /// Orders that it has accepted, if that is known; it is asked otherwise.
    pub order_count: Option<u64>,
    /// What it holds.
    pub resident: ResidentModels,
    /// Adapters on their way.
    pub pending: IndexSet<Weights>,
    /// The order that is being carried out or has no answer yet.
    pub open_order: Option<EngineOrder>,
    /// Whether the open order got no answer.
    pub unanswered: bool,
    /// Whether it carries out an order on a model; it refuses others meanwhile.
    pub busy: bool,
    /// When the engine should be asked for its state next.
    pub next_query: Option<Time>,
    /// What the instances were last told that it offers.
    pub published: Option<ResidentModels>,
}

/// State of an engine as it reports it, some hundred milliseconds late.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineState {
    /// Orders that it has accepted.
    pub order_count: u64,
    /// What it holds.
    pub resident: ResidentModels,
    /// Adapters on their way.
    pub pending: IndexSet<Weights>,
    /// Whether it carries out an order.
    pub busy: bool,
}

/// How an engine took an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It carries the order out.
    Accepted,
    /// The order holds already.
    Done,
    /// Another order is under way, or the engine accepted others since.
    Conflict,
    /// It will not carry the order out.
    Refused,
    /// No answer arrived, so the order may be carried out.
    Lost,
}

/// The leader's knowledge of all engines.
#[derive(Debug, Default)]
pub struct EngineRegistry {
    engines: IndexMap<EndpointId, EngineRecord>,
}

impl EngineRegistry {
    /// Takes an entry of the list of endpoints.
    pub fn apply_entry(&mut self, entry: &EndpointEntry, now: Time) {
        let live = entry.state == EndpointState::Live;
        match self.engines.get_mut(&entry.id) {
            Some(known) if known.incarnation == entry.incarnation => {
                known.live = live;
                // An entry can be any time old while the store is disturbed. Once the engine itself has answered, only its
                // answers count, or its memory would be promised twice.
                if known.order_count.is_none() && known.open_order.is_none() {
                    known.set_resident(entry.resident.clone());
                }
            }
            _ => {
                let record = EngineRecord {
                    service: entry.service.clone(),
                    zone: entry.zone.clone(),
                    incarnation: entry.incarnation,
                    live,
                    order_count: None,
                    resident: entry.resident.clone(),
                    pending: IndexSet::new(),
                    open_order: None,
                    unanswered: false,
                    busy: false,
                    next_query: Some(now),
                    published: None,
                };
                self.engines.insert(entry.id.clone(), record);
            }
        }
    }

    /// Forgets engines that are no longer listed.
    pub fn retain(&mut self, exists: impl Fn(&EndpointId) -> bool) {
        self.engines.retain(|id, _| exists(id));
    }

    /// Returns whether an engine that holds the model is being given the adapter, or is making room for one.
    ///
    /// An order without an answer may come to nothing, so another engine may be given the adapter meanwhile.
    pub fn is_load_underway(&self, service: &ServiceId, weights: &Weights) -> bool {
        let answered = self.live(service).filter(|(_, record)| !record.unanswered);
        answered.map(|(_, record)| record).any(|record| {
            match record.open_order.as_ref().map(|order| &order.action) {
                Some(EngineAction::LoadAdapter(loading)) => loading == weights,
                Some(EngineAction::UnloadAdapter(_)) => record.resident.models.contains_key(&weights.model),
                Some(EngineAction::Load(_) | EngineAction::Unload(_)) | None => false,
            }
        })
    }

    /// Has the engines that should hold some weights asked for their state, since one of them does not.
    ///
    /// Their states are news again, as the instance whose request was refused takes no notice of them.
    pub fn recheck(&mut self, weights: &Weights, now: Time) {
        for record in self.engines.values_mut().filter(|record| record.resident.has(weights)) {
            record.published = None;
            record.next_query.get_or_insert(now);
        }
    }

    /// Returns what the instances are to be told of an engine, if they do not know it.
    pub fn take_update(&mut self, id: &EndpointId) -> Option<(Incarnation, ResidentModels)> {
        let record = self.engines.get_mut(id)?;
        let offered = record.offered();
        if record.published.as_ref() == Some(&offered) {
            return None;
        }
        record.published = Some(offered.clone());
        Some((record.incarnation, offered))
    }

    /// Forgets everything, since another leader gives the orders.
    pub fn clear(&mut self) {
        self.engines.clear();
    }

    /// Notes that an order is about to be sent.
    pub fn order_sent(&mut self, order: &EngineOrder) {
        if let Some(record) = self.record_mut(&order.endpoint, order.incarnation) {
            record.open_order = Some(order.clone());
            record.unanswered = false;
        }
    }

    /// Takes the answer to an order; returns whether the holding changed.
    pub fn apply_reply(&mut self, order: &EngineOrder, reply: OrderReply, now: Time) -> bool {
        let Some(record) = self.record_mut(&order.endpoint, order.incarnation) else { return false };
        if record.open_order.as_ref() != Some(order) {
            return false;
        }
        match reply {
            OrderReply::Accepted => record.accepted(order, now),
            OrderReply::Done => {
                record.open_order = None;
                record.order_count = Some(order.expected_count + u64::from(order.counts_when_done()));
                record.apply(&order.action);
                true
            }
            OrderReply::Conflict | OrderReply::Refused => {
                record.open_order = None;
                // A report made before the refusal would lead to the same order again.
                record.next_query = Some(now + QUERY_DELAY);
                record.order_count = None;
                false
            }
            OrderReply::Lost => {
                record.unanswered = true;
                record.next_query = Some(now + QUERY_DELAY);
                false
            }
        }
    }

    /// Takes the engine's own report; returns whether the holding changed.
    pub fn apply_state(
        &mut self,
        id: &EndpointId,
        incarnation: Incarnation,
        state: EngineState,
        now: Time,
    ) -> bool {
        let Some(record) = self.record_mut(id, incarnation) else { return false };
        record.next_query = (state.busy || !state.pending.is_empty()).then_some(now + QUERY_DELAY);
        if record.order_count.is_some_and(|known| state.order_count < known) {
            // The report is older than the last answer.
            record.next_query = Some(now + QUERY_DELAY);
            return false;
        }
        record.pending = state.pending;
        record.order_count = Some(state.order_count);
        record.busy = state.busy;
        if !state.busy {
            record.open_order = None;
        }
        let changed = record.resident != state.resident;
        record.set_resident(state.resident);
        changed
    }

    /// Returns an engine.
    pub fn get(&self, id: &EndpointId) -> Option<&EngineRecord> {
        self.engines.get(id)
    }

    /// Returns all engines.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, &EngineRecord)> {
        self.engines.iter()
    }

    /// Returns the engines of a service that take work.
    pub fn live<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = (&'a EndpointId, &'a EngineRecord)> {
        self.iter().filter(move |(_, record)| record.service == *service && record.live)
    }

    /// Returns the engines whose state should be asked for now, and puts off the next time.
    pub fn take_due_queries(&mut self, now: Time) -> Vec<(EndpointId, Incarnation)> {
        let mut due = Vec::new();
        for (id, record) in &mut self.engines {
            if record.next_query.is_some_and(|at| now >= at) {
                record.next_query = Some(now + QUERY_DELAY);
                due.push((id.clone(), record.incarnation));
            }
        }
        due
    }

    fn record_mut(&mut self, id: &EndpointId, incarnation: Incarnation) -> Option<&mut EngineRecord> {
        self.engines.get_mut(id).filter(|record| record.incarnation == incarnation)
    }
}

impl EngineRecord {
    /// Returns the memory that is taken by what it holds and by what is on its way.
    pub fn used_memory(&self, spec: &EngineSpec) -> Bytes {
        let held = self.resident.models.iter().filter_map(|(model, adapters)| {
            let size = spec.models.get(model)?;
            Some(Bytes(size.weights.0 + size.adapter.0 * adapters.len() as u64))
        });
        let held: Bytes = held.sum();
        let loading_adapters: Bytes =
            self.loading_adapters().map(|weights| adapter_size(spec, &weights.model)).sum();
        held + loading_adapters
    }

    /// Returns the number of adapters that it holds or loads.
    pub fn adapter_count(&self) -> usize {
        let held: usize = self.resident.models.values().map(IndexSet::len).sum();
        held + self.loading_adapters().count()
    }

    /// Returns whether it can be given an order now.
    pub fn accepts_orders(&self) -> bool {
        self.live && self.open_order.is_none() && !self.busy && self.order_count.is_some()
    }

    /// Returns the adapters on their way that it does not hold yet.
    fn loading_adapters(&self) -> impl Iterator<Item = &Weights> {
        self.pending.iter().filter(|weights| !self.resident.has(weights))
    }

    fn accepted(&mut self, order: &EngineOrder, now: Time) -> bool {
        self.order_count = Some(order.expected_count + 1);
        match &order.action {
            EngineAction::LoadAdapter(_) => {
                // The load takes milliseconds; a request that comes earlier is declined and sent again.
                self.open_order = None;
                self.apply(&order.action);
                true
            }
            EngineAction::UnloadAdapter(_) | EngineAction::Unload(_) => {
                // Routing stops at once; the memory counts until the engine says that it is free.
                self.next_query = Some(now + QUERY_DELAY);
                true
            }
            EngineAction::Load(_) => {
                self.next_query = Some(now + QUERY_DELAY);
                false
            }
        }
    }

    /// Returns whether callers' requests can use some weights.
    pub fn offers(&self, weights: &Weights) -> bool {
        let is_leaving = match self.open_order.as_ref().map(|order| &order.action) {
            Some(EngineAction::Unload(model)) => *model == weights.model,
            Some(EngineAction::UnloadAdapter(leaving)) => leaving == weights,
            Some(EngineAction::Load(_) | EngineAction::LoadAdapter(_)) | None => false,
        };
        !is_leaving && self.resident.has(weights)
    }

    /// Returns what callers' requests can use; copies that the engine keeps for itself are left out.
    pub fn offered(&self) -> ResidentModels {
        let mut resident =
            ResidentModels { models: self.resident.models.clone(), ..ResidentModels::default() };
        match self.open_order.as_ref().map(|order| &order.action) {
            Some(EngineAction::Unload(model)) => {
                resident.models.swap_remove(model);
            }
            Some(EngineAction::UnloadAdapter(weights)) => {
                if let (Some(adapters), Some(name)) =
                    (resident.models.get_mut(&weights.model), &weights.adapter)
                {
                    adapters.swap_remove(name);
                }
            }
            _ => {}
        }
        resident
    }

    fn apply(&mut self, action: &EngineAction) {
        let models = &mut self.resident.models;
        match action {
            EngineAction::Load(model) => {
                models.entry(model.clone()).or_default();
            }
            EngineAction::Unload(model) => {
                models.swap_remove(model);
            }
            EngineAction::LoadAdapter(weights) => {
                if let (Some(adapters), Some(name)) = (models.get_mut(&weights.model), &weights.adapter) {
                    adapters.insert(name.clone());
                }
            }
            EngineAction::UnloadAdapter(weights) => {
                if let (Some(adapters), Some(name)) = (models.get_mut(&weights.model), &weights.adapter) {
                    adapters.swap_remove(name);
                }
            }
        }
    }

    fn set_resident(&mut self, resident: ResidentModels) {
        self.resident = resident;
    }
}

fn adapter_size(spec: &EngineSpec, model: &ModelId) -> Bytes {
    spec.models.get(model).map_or(Bytes(0), |size| size.adapter)
}
