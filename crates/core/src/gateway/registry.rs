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

/// Delay until the state of an engine is queried, and queried again, after an order whose result is not
/// known.
const QUERY_DELAY: Duration = Duration::from_millis(300);

/// State of one incarnation of an engine, as known to the leader.
#[data]
pub struct EngineRecord {
    /// Its service.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Whether it accepts new requests.
    pub live: bool,
    /// Number of orders that it has accepted, if known; otherwise it is queried.
    pub order_count: Option<u64>,
    /// Resident models and adapters.
    pub resident: ResidentModels,
    /// Adapters that are being loaded.
    pub pending: IndexSet<Weights>,
    /// The order that is being carried out or has no reply yet.
    pub open_order: Option<EngineOrder>,
    /// Whether the reply to the open order was lost.
    pub reply_lost: bool,
    /// Whether it carries out an order on a model; it refuses other orders meanwhile.
    pub busy: bool,
    /// Time of the next query of its state.
    pub next_query: Option<Time>,
    /// The offered models and adapters that were last sent to the instances.
    pub published: Option<ResidentModels>,
}

/// State that an engine reports, which is some hundred milliseconds old on arrival.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineState {
    /// Number of orders that it has accepted.
    pub order_count: u64,
    /// Resident models and adapters.
    pub resident: ResidentModels,
    /// Adapters that are being loaded.
    pub pending: IndexSet<Weights>,
    /// Whether it carries out an order.
    pub busy: bool,
}

/// Reply of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The engine carries the order out.
    Accepted,
    /// There is nothing left to do.
    Done,
    /// Another order is being carried out, or the engine has accepted other orders since.
    Conflict,
    /// The engine does not carry the order out.
    Refused,
    /// No reply arrived, so the order may be carried out or not.
    Lost,
}

/// States of all engines, as known to the leader.
#[derive(Debug, Default)]
pub struct EngineRegistry {
    engines: IndexMap<EndpointId, EngineRecord>,
    /// Engines that limit the rate of requests.
    limited: IndexSet<EndpointId>,
}

impl EngineRegistry {
    /// Applies an entry of the list of endpoints.
    pub fn apply_entry(&mut self, entry: &EndpointEntry, now: Time) {
        let live = entry.state == EndpointState::Live;
        match self.engines.get_mut(&entry.id) {
            Some(known) if known.incarnation == entry.incarnation => {
                known.live = live;
                // An entry can be arbitrarily old during an outage of the store. Once the engine itself has
                // reported, only its own reports and replies count, since its memory would be allocated twice
                // otherwise.
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
                    reply_lost: false,
                    busy: false,
                    next_query: Some(now),
                    published: None,
                };
                self.engines.insert(entry.id.clone(), record);
            }
        }
    }

    /// Removes engines that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&EndpointId) -> bool) {
        self.engines.retain(|id, _| exists(id));
    }

    /// Returns whether an engine with the model resident is loading the adapter, or is evicting another
    /// adapter for it.
    ///
    /// Orders whose reply was lost are left out: they may never be carried out, so another engine may load
    /// the adapter meanwhile.
    pub fn is_load_underway(&self, service: &ServiceId, weights: &Weights) -> bool {
        let certain = self.live(service).filter(|(_, record)| !record.reply_lost);
        certain.map(|(_, record)| record).any(|record| {
            match record.open_order.as_ref().map(|order| &order.action) {
                Some(EngineAction::LoadAdapter(loading)) => loading == weights,
                Some(EngineAction::UnloadAdapter(_)) => record.resident.models.contains_key(&weights.model),
                Some(EngineAction::Load(_) | EngineAction::Unload(_)) | None => false,
            }
        })
    }

    /// Schedules queries of the engines that should hold the given weights, after one of them refused a
    /// request for them.
    ///
    /// Their states are sent to the instances again, since the instance whose request was refused no longer
    /// treats the weights as resident there.
    pub fn recheck(&mut self, weights: &Weights, now: Time) {
        for record in self.engines.values_mut().filter(|record| record.resident.has(weights)) {
            record.published = None;
            record.next_query.get_or_insert(now);
        }
    }

    /// Returns what an engine offers, if it differs from what was last sent to the instances, and marks it as
    /// sent.
    pub fn take_update(&mut self, id: &EndpointId) -> Option<(Incarnation, ResidentModels)> {
        let record = self.engines.get_mut(id)?;
        let offered = record.offered();
        if record.published.as_ref() == Some(&offered) {
            return None;
        }
        record.published = Some(offered.clone());
        Some((record.incarnation, offered))
    }

    /// Removes all engines, since another leader sends the orders.
    pub fn clear(&mut self) {
        self.engines.clear();
    }

    /// Records that an order is about to be sent.
    pub fn record_order(&mut self, order: &EngineOrder) {
        if let Some(record) = self.record_mut(&order.endpoint, order.incarnation) {
            record.open_order = Some(order.clone());
            record.reply_lost = false;
        }
    }

    /// Applies the reply to an order; returns whether the models and adapters that the engine offers may have
    /// changed.
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
                // A report from before the refusal would lead to the same order again.
                record.next_query = Some(now + QUERY_DELAY);
                record.order_count = None;
                false
            }
            OrderReply::Lost => {
                record.reply_lost = true;
                record.next_query = Some(now + QUERY_DELAY);
                false
            }
        }
    }

    /// Applies a report of the engine; returns whether its resident models or adapters changed.
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
            // The report is older than the last reply.
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

    /// Returns the record of an engine.
    pub fn get(&self, id: &EndpointId) -> Option<&EngineRecord> {
        self.engines.get(id)
    }

    /// Returns the records of all engines.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, &EngineRecord)> {
        self.engines.iter()
    }

    /// Returns the engines of a service that accept new requests.
    pub fn live<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = (&'a EndpointId, &'a EngineRecord)> {
        self.iter().filter(move |(_, record)| record.service == *service && record.live)
    }

    /// Returns the engines of a service on which a model is resident: those without a rate limit, or all of
    /// them if each has one.
    pub fn holders<'a>(
        &'a self,
        service: &'a ServiceId,
        model: &'a ModelId,
    ) -> impl Iterator<Item = (&'a EndpointId, &'a EngineRecord)> {
        let holders = || self.live(service).filter(|(_, record)| record.resident.models.contains_key(model));
        let all_limited = holders().all(|(id, _)| self.is_limited(id));
        holders().filter(move |(id, _)| all_limited || !self.is_limited(id))
    }

    /// Sets which engines limit the rate of requests.
    pub fn set_limited(&mut self, limited: IndexSet<EndpointId>) {
        self.limited = limited;
    }

    /// Returns whether an engine limits the rate of requests.
    pub fn is_limited(&self, id: &EndpointId) -> bool {
        self.limited.contains(id)
    }

    /// Returns the engines to query now and schedules the next query of each.
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
    /// Returns the memory of the resident models and adapters and of the adapters that are being loaded.
    pub fn used_memory(&self, spec: &EngineSpec) -> Bytes {
        let resident = self.resident.models.iter().filter_map(|(model, adapters)| {
            let size = spec.models.get(model)?;
            Some(Bytes(size.weights.0 + size.adapter.0 * adapters.len() as u64))
        });
        let resident: Bytes = resident.sum();
        let loading_adapters: Bytes =
            self.loading_adapters().map(|weights| adapter_size(spec, &weights.model)).sum();
        resident + loading_adapters
    }

    /// Returns the number of adapters that are resident or being loaded.
    pub fn adapter_count(&self) -> usize {
        let resident: usize = self.resident.models.values().map(IndexSet::len).sum();
        resident + self.loading_adapters().count()
    }

    /// Returns whether an order can be sent to the engine now.
    pub fn accepts_orders(&self) -> bool {
        self.live && self.open_order.is_none() && !self.busy && self.order_count.is_some()
    }

    /// Returns the adapters that are being loaded and are not resident yet.
    fn loading_adapters(&self) -> impl Iterator<Item = &Weights> {
        self.pending.iter().filter(|weights| !self.resident.has(weights))
    }

    fn accepted(&mut self, order: &EngineOrder, now: Time) -> bool {
        self.order_count = Some(order.expected_count + 1);
        match &order.action {
            EngineAction::LoadAdapter(_) => {
                // The load takes milliseconds; a request that arrives earlier is declined and retried.
                self.open_order = None;
                self.apply(&order.action);
                true
            }
            EngineAction::UnloadAdapter(_) | EngineAction::Unload(_) => {
                // Routing stops at once; the memory counts as used until the engine reports that it is free.
                self.next_query = Some(now + QUERY_DELAY);
                true
            }
            EngineAction::Load(_) => {
                self.next_query = Some(now + QUERY_DELAY);
                false
            }
        }
    }

    /// Returns whether requests of callers can use the given weights.
    pub fn offers(&self, weights: &Weights) -> bool {
        let is_unloading = match self.open_order.as_ref().map(|order| &order.action) {
            Some(EngineAction::Unload(model)) => *model == weights.model,
            Some(EngineAction::UnloadAdapter(unloading)) => unloading == weights,
            Some(EngineAction::Load(_) | EngineAction::LoadAdapter(_)) | None => false,
        };
        !is_unloading && self.resident.has(weights)
    }

    /// Returns the models and adapters that requests of callers can use, without the cached copies.
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
