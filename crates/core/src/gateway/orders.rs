use std::cmp::Reverse;
use std::time::Duration;

use carobwick_derive::data;
use carobwick_derive::key;
use indexmap::IndexMap;

use crate::Bytes;
use crate::EndpointId;
use crate::Incarnation;
use crate::ModelId;
use crate::Rate;
use crate::ServiceId;
use crate::Time;
use crate::ZoneId;
use crate::gateway::DemandTable;
use crate::gateway::EngineRecord;
use crate::gateway::EngineRegistry;
use crate::gateway::EngineSpec;
use crate::gateway::Weights;
use crate::gateway::wanted_copies;

/// Loads that may start in a row before the weight store's rate binds.
const BURST: f64 = 2.0;
/// Copies by which a model must fall short before another model makes room for it, so that small changes of demand
/// move nothing.
const SHORTFALL: usize = 2;
/// Time since the last request after which an adapter may make room for another one.
const ADAPTER_IDLE: Duration = Duration::from_millis(500);

/// An order to one run of an engine.
#[data]
pub struct EngineOrder {
    /// The engine.
    pub endpoint: EndpointId,
    /// Run of its process.
    pub run: Incarnation,
    /// Orders that the engine must have accepted; it refuses this one otherwise.
    pub expected: u64,
    /// What to do.
    pub action: EngineAction,
}

/// What an engine is told to do.
#[data]
pub enum EngineAction {
    /// Load a model.
    Load(ModelId),
    /// Unload a model.
    Unload(ModelId),
    /// Load an adapter of a model that it holds.
    LoadAdapter(Weights),
    /// Unload an adapter.
    UnloadAdapter(Weights),
}

/// An adapter that an availability zone asks for.
#[key]
pub struct AdapterWant {
    /// The adapter.
    pub weights: Weights,
    /// The zone.
    pub zone: ZoneId,
}

/// Spreads loads from the weight store over time.
#[derive(Debug, Clone, Copy)]
pub struct LoadPace {
    tokens: f64,
    at: Time,
}

impl LoadPace {
    /// Starts as if loads had just been started, since another leader may have started some.
    pub fn new(now: Time) -> Self {
        Self { tokens: 0.0, at: now }
    }

    /// Returns whether a load may start now.
    pub fn allows(&mut self, rate: Rate, now: Time) -> bool {
        self.tokens = (self.tokens + (now - self.at).as_secs_f64() * rate.0).min(BURST);
        self.at = now;
        self.tokens >= 1.0
    }

    /// Returns whether no load has started for a while.
    pub fn is_rested(&self) -> bool {
        self.tokens >= BURST
    }

    /// Counts a load.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

impl EngineOrder {
    /// Returns whether the engine counts the order if it holds already.
    pub fn advances(&self) -> bool {
        match self.action {
            // Idle adapters are unloaded at once, and the engine counts that.
            EngineAction::UnloadAdapter(_) => true,
            EngineAction::Load(_) | EngineAction::Unload(_) | EngineAction::LoadAdapter(_) => false,
        }
    }

    fn new(id: &EndpointId, record: &EngineRecord, action: EngineAction) -> Self {
        Self { endpoint: id.clone(), run: record.run, expected: record.orders.unwrap_or(0), action }
    }
}

/// One pass over the models of a service.
struct Planner<'a> {
    service: &'a ServiceId,
    spec: &'a EngineSpec,
    registry: &'a EngineRegistry,
    demand: IndexMap<ModelId, f64>,
    wanted: IndexMap<ModelId, usize>,
}

/// Returns the orders on models to give now, at most one per engine.
///
/// A model that no engine holds goes first, then the one that falls short of its wanted copies by most. Room is made by
/// unloading a model that has more copies than it needs.
pub fn plan_orders(
    service: &ServiceId,
    spec: &EngineSpec,
    registry: &EngineRegistry,
    demand: &DemandTable,
    pace: &mut LoadPace,
    now: Time,
) -> Vec<EngineOrder> {
    let demand: IndexMap<ModelId, f64> =
        spec.models.keys().map(|model| (model.clone(), demand.model(service, model, now))).collect();
    let wanted = wanted_copies(&demand, registry.live(service).count());
    let planner = Planner { service, spec, registry, demand, wanted };
    planner.run(pace, now)
}

impl Planner<'_> {
    fn run(&self, pace: &mut LoadPace, now: Time) -> Vec<EngineOrder> {
        let mut orders: Vec<EngineOrder> = Vec::new();
        let short = self.short();
        let lacking = short.iter().map(|(_, missing)| missing).sum();
        for (model, missing) in short {
            let rested = pace.allows(self.spec.loads, now);
            let busy: Vec<&EndpointId> = orders.iter().map(|order| &order.endpoint).collect();
            // A second unload in one pass could take the copy that the first one relied on.
            let unloads = orders.iter().any(|order| matches!(order.action, EngineAction::Unload(_)));
            let mut order = self.load(&model, &busy, rested);
            if order.is_none() && !unloads {
                order = self.make_room(&model, missing, lacking, &busy);
            }
            let Some(order) = order else { continue };
            if self.is_cold(&order) {
                pace.take();
            }
            orders.push(order);
        }
        if orders.is_empty() && pace.allows(self.spec.loads, now) && pace.is_rested() {
            orders.extend(self.spare(pace));
        }
        orders
    }

    /// Returns a load of a second copy where there is room, so that a model that rises has more than one from the start.
    fn spare(&self, pace: &mut LoadPace) -> Option<EngineOrder> {
        let single = self.wanted.keys().filter(|model| self.copies(model) == 1);
        let mut single: Vec<&ModelId> = single.collect();
        single.sort_by_key(|model| Reverse(self.demand[*model] as u64));
        let order = single.into_iter().find_map(|model| self.load(model, &[], true))?;
        if self.is_cold(&order) {
            pace.take();
        }
        Some(order)
    }

    /// Returns the models that need a copy with the copies that they lack, most urgent first.
    fn short(&self) -> Vec<(ModelId, usize)> {
        let mut short: Vec<(bool, usize, &ModelId)> = Vec::new();
        for (model, wanted) in &self.wanted {
            let copies = self.copies(model);
            let missing = wanted.saturating_sub(copies);
            if missing > 0 {
                short.push((copies > 0, missing, model));
            }
        }
        short.sort_by_key(|(held, missing, model)| {
            (*held, Reverse(*missing), Reverse(self.demand[*model] as u64))
        });
        short.into_iter().map(|(_, missing, model)| (model.clone(), missing)).collect()
    }

    /// Returns whether an order loads a model from the weight store.
    fn is_cold(&self, order: &EngineOrder) -> bool {
        let EngineAction::Load(model) = &order.action else { return false };
        self.registry.get(&order.endpoint).is_none_or(|record| !record.holding.kept.contains(model))
    }

    /// Counts the engines that hold a model or load it, less those that unload it.
    fn copies(&self, model: &ModelId) -> usize {
        self.registry.live(self.service).filter(|(_, record)| record.will_hold(model)).count()
    }

    fn zone_copies(&self, model: &ModelId, zone: &ZoneId) -> usize {
        let live = self.registry.live(self.service);
        live.filter(|(_, record)| record.zone == *zone && record.will_hold(model)).count()
    }

    /// Returns a load of a model on an engine that has room; without `store`, only from an engine's own copy.
    fn load(&self, model: &ModelId, busy: &[&EndpointId], store: bool) -> Option<EngineOrder> {
        let size = self.spec.models.get(model)?.weights;
        let fits = self.open(busy).filter(|(_, record)| {
            !record.holding.models.contains_key(model)
                && self.free(record) >= size
                && (store || record.holding.kept.contains(model))
        });
        let best = fits.min_by(|(_, a), (_, b)| {
            let cold = (!a.holding.kept.contains(model)).cmp(&!b.holding.kept.contains(model));
            // A zone that is cut off serves only what its own engines hold.
            let zone = self.zone_copies(model, &a.zone).cmp(&self.zone_copies(model, &b.zone));
            zone.then(cold).then(self.pressure(a).total_cmp(&self.pressure(b)))
        });
        best.map(|(id, record)| EngineOrder::new(id, record, EngineAction::Load(model.clone())))
    }

    /// Counts the engines that carry out an unload.
    fn emptying(&self) -> usize {
        let open = self.registry.live(self.service).filter_map(|(_, record)| record.open.as_ref());
        open.filter(|order| matches!(order.action, EngineAction::Unload(_))).count()
    }

    /// Unloads the model that is needed least, on an engine where that makes enough room.
    fn make_room(
        &self,
        model: &ModelId,
        missing: usize,
        lacking: usize,
        busy: &[&EndpointId],
    ) -> Option<EngineOrder> {
        if missing < SHORTFALL && self.copies(model) > 1 {
            return None;
        }
        let size = self.spec.models.get(model)?.weights;
        // Each engine that is being emptied will take one of the missing copies.
        if self.emptying() >= lacking {
            return None;
        }
        let mut best: Option<(f64, &EndpointId, &EngineRecord, &ModelId)> = None;
        for (id, record) in self.open(busy) {
            if record.holding.models.contains_key(model) {
                continue;
            }
            for other in record.holding.models.keys() {
                let Some(freed) = self.spec.models.get(other).map(|size| size.weights) else { continue };
                if !self.is_spare(other) || self.free(record) + freed < size {
                    continue;
                }
                // Without demand the model with most copies goes first.
                let demand = self.demand.get(other).copied().unwrap_or(0.0) + 1.0;
                let worth = demand / self.copies(other).max(1) as f64;
                if best.as_ref().is_none_or(|(least, ..)| worth < *least) {
                    best = Some((worth, id, record, other));
                }
            }
        }
        let (worth, id, record, other) = best?;
        let gain = self.demand[model] / (self.copies(model) + 1) as f64;
        if self.copies(model) > 0 && gain <= worth {
            return None;
        }
        Some(EngineOrder::new(id, record, EngineAction::Unload(other.clone())))
    }

    /// Returns whether a copy of a model can go.
    fn is_spare(&self, model: &ModelId) -> bool {
        let copies = self.copies(model);
        copies > 1 && copies > self.wanted.get(model).copied().unwrap_or(0)
    }

    /// Returns the engines that can take an order and were not given one in this pass.
    fn open<'b>(
        &'b self,
        busy: &'b [&EndpointId],
    ) -> impl Iterator<Item = (&'b EndpointId, &'b EngineRecord)> {
        self.registry
            .live(self.service)
            .filter(move |(id, record)| record.takes_orders() && !busy.contains(id))
    }

    fn free(&self, record: &EngineRecord) -> Bytes {
        Bytes(self.spec.memory.0.saturating_sub(record.used(self.spec).0))
    }

    /// Returns the demand that an engine carries, if each model's demand is spread evenly over its copies.
    fn pressure(&self, record: &EngineRecord) -> f64 {
        let models = record.holding.models.keys();
        models
            .map(|model| self.demand.get(model).copied().unwrap_or(0.0) / self.copies(model).max(1) as f64)
            .sum()
    }
}

/// Returns the order that brings an adapter to an engine which holds its model.
///
/// An engine of the zone that asks is taken if one has a free place, and the one with the most free places of them. If no
/// engine has the adapter and all places are taken, the adapter that was asked for longest ago makes room.
pub fn plan_adapter(
    service: &ServiceId,
    spec: &EngineSpec,
    registry: &EngineRegistry,
    demand: &DemandTable,
    want: &AdapterWant,
    now: Time,
) -> Option<EngineOrder> {
    let wanted = &want.weights;
    let size = spec.models.get(&wanted.model)?.adapter;
    let hosts = || {
        let hosts = registry.live(service);
        hosts.filter(|(_, record)| record.takes_adapter(wanted))
    };
    let has_room = |record: &EngineRecord| {
        record.adapter_count() < spec.adapters as usize && record.used(spec) + size <= spec.memory
    };
    let is_held = registry.live(service).any(|(_, record)| record.offered().has(wanted));
    let open = hosts().filter(|(_, record)| has_room(record) && (!is_held || record.zone == want.zone));
    let open = open.min_by_key(|(_, record)| (record.zone != want.zone, record.adapter_count()));
    if let Some((id, record)) = open {
        return Some(EngineOrder::new(id, record, EngineAction::LoadAdapter(wanted.clone())));
    }
    if is_held {
        return None;
    }
    let mut oldest: Option<(Time, &EndpointId, &EngineRecord, Weights)> = None;
    for (id, record) in hosts() {
        for (model, adapters) in &record.holding.models {
            for name in adapters {
                let weights = Weights { model: model.clone(), adapter: Some(name.clone()) };
                let last = demand.last(service, &weights).unwrap_or(Time::ZERO);
                let idle = now >= last + ADAPTER_IDLE && !record.pending.contains(&weights);
                if idle && oldest.as_ref().is_none_or(|(least, ..)| last < *least) {
                    oldest = Some((last, id, record, weights));
                }
            }
        }
    }
    let (_, id, record, weights) = oldest?;
    Some(EngineOrder::new(id, record, EngineAction::UnloadAdapter(weights)))
}

impl EngineRecord {
    /// Returns whether a model is on the engine once its open order is carried out.
    fn will_hold(&self, model: &ModelId) -> bool {
        match self.open.as_ref().map(|order| &order.action) {
            Some(EngineAction::Load(loading)) if loading == model => true,
            Some(EngineAction::Unload(leaving)) if leaving == model => false,
            _ => self.holding.models.contains_key(model),
        }
    }

    /// Returns whether an order on an adapter of this model can be given now.
    ///
    /// Adapters of one engine may be loaded one after the other without waiting for the report in between.
    fn takes_adapter(&self, wanted: &Weights) -> bool {
        self.takes_orders() && self.holding.models.contains_key(&wanted.model)
    }
}
