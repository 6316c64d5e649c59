use std::cmp::Ordering;
use std::time::Duration;

use indexmap::IndexMap;

use crate::Bytes;
use crate::EndpointId;
use crate::ModelId;
use crate::ServiceId;
use crate::Time;
use crate::ZoneId;
use crate::gateway::DemandTable;
use crate::gateway::EngineAction;
use crate::gateway::EngineOrder;
use crate::gateway::EngineRecord;
use crate::gateway::EngineRegistry;
use crate::gateway::EngineSpec;
use crate::gateway::LoadRateLimiter;
use crate::gateway::ModelDemand;
use crate::gateway::wanted_copies;

/// Time for which demand is observed before any model is evicted for one with more demand.
const WARM_UP_TIME: Duration = Duration::from_secs(1);
/// Time since its last request within which a model counts as requested.
const REQUESTED_TIME: Duration = Duration::from_secs(5);
/// Time without a request after which the last copy of a model may be evicted for models that are short of
/// copies.
const IDLE_TIME: Duration = Duration::from_secs(8);
/// Least time for which a requested model keeps its last copy, so that models take turns if not all of them
/// fit.
const MIN_RESIDENCE: Duration = Duration::from_secs(3);
/// Number of copies that a model must lack before another model is evicted for it, so that small changes of
/// demand move no copies.
const MIN_SHORTFALL: usize = 2;

/// Decides which engines hold which models of one service.
///
/// If all models fit, each one is resident on an engine. Otherwise models without requests are evicted for
/// those with demand, and models with demand take turns, in the order of their demand and the time for which
/// they were missing.
#[derive(Debug)]
pub struct ModelPlacer {
    limiter: LoadRateLimiter,
    presence: IndexMap<ModelId, Presence>,
}

/// Since when a model is resident on an engine, or is requested without being resident on any.
#[derive(Debug, Clone, Copy)]
enum Presence {
    Resident(Time),
    Missing(Time),
}

impl ModelPlacer {
    /// Creates a placer that knows no history of the models.
    pub fn new(now: Time) -> Self {
        Self { limiter: LoadRateLimiter::new(now), presence: IndexMap::new() }
    }

    /// Returns the orders on models to send now, at most one per engine.
    pub fn plan(
        &mut self,
        service: &ServiceId,
        spec: &EngineSpec,
        registry: &EngineRegistry,
        demand: &DemandTable,
        now: Time,
    ) -> Vec<EngineOrder> {
        let pass = PlacementPass::new(service, spec, registry, demand, now);
        self.update_presence(&pass);
        pass.plan(&mut self.limiter, &self.presence)
    }

    fn update_presence(&mut self, pass: &PlacementPass<'_>) {
        for (model, row) in &pass.rows {
            let current = self.presence.get(*model).copied();
            let next = match current {
                Some(Presence::Resident(_)) if row.copies > 0 => current,
                Some(Presence::Missing(_)) if row.copies == 0 && row.is_requested => current,
                _ if row.copies > 0 => Some(Presence::Resident(pass.now)),
                _ if row.is_requested => Some(Presence::Missing(pass.now)),
                _ => None,
            };
            match next {
                Some(next) => {
                    self.presence.insert((*model).clone(), next);
                }
                None => {
                    self.presence.swap_remove(*model);
                }
            }
        }
    }
}

/// State of one placement pass over the models of a service.
struct PlacementPass<'a> {
    spec: &'a EngineSpec,
    now: Time,
    rows: IndexMap<&'a ModelId, ModelRow>,
    engines: IndexMap<&'a EndpointId, Engine<'a>>,
    /// Copies by zone and model.
    zone_copies: IndexMap<(&'a ZoneId, &'a ModelId), usize>,
    /// Engines that carry out an unload and whose memory no model is going to use yet.
    unloading: usize,
    is_warming_up: bool,
    /// Whether not all models fit on the engines.
    is_oversubscribed: bool,
    orders: Vec<EngineOrder>,
}

/// State of a model in a pass.
#[derive(Debug, Clone, Copy)]
struct ModelRow {
    demand: ModelDemand,
    copies: usize,
    /// Copies on engines that do not limit the rate of requests.
    unlimited: usize,
    wanted: usize,
    is_requested: bool,
    is_idle: bool,
    size: Bytes,
}

/// An engine that accepts an order.
struct Engine<'a> {
    record: &'a EngineRecord,
    /// Whether it limits the rate of requests.
    is_limited: bool,
    free: Bytes,
    /// Demand on the engine, if the demand for each model is spread evenly over its copies.
    demand: f64,
}

/// Reason for which a model needs a copy, with the value of the copy.
#[derive(Debug, Clone, Copy)]
enum Need {
    /// It is requested and resident on no engine.
    Missing(f64),
    /// It is requested and resident only on engines that limit the rate of requests. It gets a copy where there
    /// is room, and no copy of a model in use is evicted for it.
    Limited,
    /// It has fewer copies than its demand needs.
    Growth(f64),
    /// It is resident on no engine and is not requested.
    Absent,
    /// One more copy is useful if there is free memory.
    Preload,
}

/// A candidate engine for a copy.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    id: &'a EndpointId,
    is_limited: bool,
    evicted: Option<&'a ModelId>,
    eviction_cost: EvictionCost,
    is_cold: bool,
    zone_copies: usize,
    demand: f64,
}

/// Cost of a candidate to other models, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionCost {
    /// There is enough free memory.
    NoEviction,
    /// The last copy of a model without requests is evicted.
    IdleModel,
    /// A copy of a model with other copies is evicted.
    ExtraCopy,
    /// The last copy of a requested model is evicted after its least residence time.
    LastCopy,
}

impl<'a> PlacementPass<'a> {
    fn new(
        service: &'a ServiceId,
        spec: &'a EngineSpec,
        registry: &'a EngineRegistry,
        demand: &DemandTable,
        now: Time,
    ) -> Self {
        let first = demand.first_report().unwrap_or(now);
        let demands = demand.models(service, now);
        let total: f64 = demands.values().map(|demand| demand.rate).sum();
        let live: Vec<(&EndpointId, &EngineRecord)> = registry.live(service).collect();
        let all_limited = live.iter().all(|(id, _)| registry.is_limited(id));
        let is_unlimited = |id: &EndpointId| all_limited || !registry.is_limited(id);
        let row = |model: &ModelId, size: Bytes| {
            let demand = demands.get(model).copied().unwrap_or_default();
            let share = if total > 0.0 { demand.rate / total } else { 0.0 };
            ModelRow {
                demand,
                copies: 0,
                unlimited: 0,
                wanted: wanted_copies(share, live.len()),
                is_requested: demand.last_request.is_some_and(|last| now < last + REQUESTED_TIME),
                is_idle: now >= demand.last_request.unwrap_or(first).max(first) + IDLE_TIME,
                size,
            }
        };
        let mut pass = Self {
            spec,
            now,
            rows: spec.models.iter().map(|(model, size)| (model, row(model, size.weights))).collect(),
            engines: IndexMap::new(),
            zone_copies: IndexMap::new(),
            unloading: 0,
            is_warming_up: now < first + WARM_UP_TIME,
            is_oversubscribed: models_per_engine(spec) * live.len() < spec.models.len(),
            orders: Vec::new(),
        };
        for (id, record) in &live {
            pass.count_copies(record, is_unlimited(id));
        }
        for (id, record) in live.into_iter().filter(|(_, record)| record.accepts_orders()) {
            pass.engines.insert(id, pass.engine_view(record, !is_unlimited(id)));
        }
        pass
    }

    fn count_copies(&mut self, record: &'a EngineRecord, is_unlimited: bool) {
        let loading = match record.open_order.as_ref().map(|order| &order.action) {
            Some(EngineAction::Load(model)) if !record.resident.models.contains_key(model) => Some(model),
            Some(EngineAction::Unload(_)) => {
                self.unloading += 1;
                None
            }
            _ => None,
        };
        for model in record.resident.models.keys().filter(|model| record.will_hold(model)).chain(loading) {
            let Some((_, model, row)) = self.rows.get_full_mut(model) else { continue };
            row.copies += 1;
            row.unlimited += usize::from(is_unlimited);
            *self.zone_copies.entry((&record.zone, *model)).or_default() += 1;
        }
    }

    fn engine_view(&self, record: &'a EngineRecord, is_limited: bool) -> Engine<'a> {
        let free = Bytes(self.spec.memory.0.saturating_sub(record.used_memory(self.spec).0));
        let demand = record.resident.models.keys().map(|model| self.demand_per_copy(model)).sum();
        Engine { record, is_limited, free, demand }
    }

    /// Returns the demand for a model per copy.
    fn demand_per_copy(&self, model: &ModelId) -> f64 {
        self.rows.get(model).map_or(0.0, |row| row.demand.rate / row.copies.max(1) as f64)
    }

    fn plan(
        mut self,
        limiter: &mut LoadRateLimiter,
        presence: &IndexMap<ModelId, Presence>,
    ) -> Vec<EngineOrder> {
        for (model, need) in self.needs(presence) {
            let allow_cold = limiter.allows(self.spec.load_rate, self.now);
            let Some(best) = self.best_candidate(model, need, allow_cold, presence) else { continue };
            if best.evicted.is_none() || !self.uses_unloading(need) {
                self.issue_order(model, best, limiter);
            }
        }
        if self.orders.is_empty() && limiter.allows(self.spec.load_rate, self.now) && limiter.is_full() {
            self.preload(limiter, presence);
        }
        self.orders
    }

    /// Returns the models that need a copy, most urgent first.
    fn needs(&self, presence: &IndexMap<ModelId, Presence>) -> Vec<(&'a ModelId, Need)> {
        let mut missing: Vec<(&ModelId, f64)> = Vec::new();
        let mut growing: Vec<(&ModelId, f64)> = Vec::new();
        for (model, row) in &self.rows {
            if row.copies == 0 && row.is_requested {
                let waited = match presence.get(*model) {
                    Some(Presence::Missing(since)) => (self.now - *since).as_secs_f64(),
                    Some(Presence::Resident(_)) | None => 0.0,
                };
                missing.push((model, (row.demand.rate + 1.0) * (1.0 + waited)));
            } else if row.copies > 0 && row.copies < row.wanted {
                growing.push((model, row.demand.rate / (row.copies + 1) as f64));
            }
        }
        let by_value = |a: &(&ModelId, f64), b: &(&ModelId, f64)| b.1.total_cmp(&a.1);
        missing.sort_by(by_value);
        growing.sort_by(by_value);
        let missing = missing.into_iter().map(|(model, value)| (model, Need::Missing(value)));
        let growing = growing.into_iter().map(|(model, value)| (model, self.growth(model, value)));
        missing.chain(growing).collect()
    }

    fn growth(&self, model: &ModelId, value: f64) -> Need {
        let row = &self.rows[model];
        if row.copies > 1 && row.wanted < row.copies + MIN_SHORTFALL {
            Need::Preload
        } else {
            Need::Growth(value)
        }
    }

    /// Loads one model that is resident on no engine, or only on engines that limit the rate of requests, or the
    /// second copy of a requested one, if there is room.
    fn preload(&mut self, limiter: &mut LoadRateLimiter, presence: &IndexMap<ModelId, Presence>) {
        let absent = self.rows.iter().filter(|(_, row)| row.copies == 0);
        let mut preloads: Vec<(&ModelId, Need)> = absent.map(|(model, _)| (*model, Need::Absent)).collect();
        let by_demand = |is_wanted: &dyn Fn(&ModelRow) -> bool| {
            let rows = self.rows.iter().filter(|(_, row)| row.is_requested && is_wanted(row));
            let mut models: Vec<(&ModelId, f64)> =
                rows.map(|(model, row)| (*model, row.demand.rate)).collect();
            models.sort_by(|a, b| b.1.total_cmp(&a.1));
            models.into_iter().map(|(model, _)| model)
        };
        let short = by_demand(&|row| row.copies > 0 && row.unlimited == 0);
        preloads.extend(short.map(|model| (model, Need::Limited)));
        let single = by_demand(&|row| row.copies == 1);
        preloads.extend(single.map(|model| (model, Need::Preload)));
        for (model, need) in preloads {
            if let Some(best) = self.best_candidate(model, need, true, presence) {
                self.issue_order(model, best, limiter);
                return;
            }
        }
    }

    /// Returns whether the copy can use the memory of an engine that carries out an unload, and reserves that
    /// engine.
    fn uses_unloading(&mut self, need: Need) -> bool {
        let uses = self.unloading > 0 && !matches!(need, Need::Absent);
        self.unloading -= usize::from(uses);
        uses
    }

    /// Returns the best engine for a copy; unless `allow_cold` is set, only engines that have the weights
    /// cached.
    fn best_candidate(
        &self,
        model: &ModelId,
        need: Need,
        allow_cold: bool,
        presence: &IndexMap<ModelId, Presence>,
    ) -> Option<Candidate<'a>> {
        let row = self.rows.get(model)?;
        let mut best: Option<Candidate<'a>> = None;
        for (id, engine) in &self.engines {
            let is_cold = !engine.record.resident.cached.contains(model);
            let is_excluded = engine.is_limited && need.is_optional();
            if engine.record.resident.models.contains_key(model) || is_cold && !allow_cold || is_excluded {
                continue;
            }
            let zone_copies = self.zone_copies.get(&(&engine.record.zone, model)).copied().unwrap_or(0);
            let candidate = Candidate {
                id,
                is_limited: engine.is_limited,
                evicted: None,
                eviction_cost: EvictionCost::NoEviction,
                is_cold,
                zone_copies,
                demand: engine.demand,
            };
            let candidate = if engine.free >= row.size {
                Some(candidate)
            } else {
                self.with_eviction(engine, candidate, row.size, need, presence)
            };
            best = match (best, candidate) {
                (Some(best), Some(candidate)) if candidate.compare(&best) == Ordering::Less => {
                    Some(candidate)
                }
                (best, candidate) => best.or(candidate),
            };
        }
        best
    }

    /// Returns the candidate with the resident model to evict that is needed least, or none if no model may
    /// be evicted.
    fn with_eviction(
        &self,
        engine: &Engine<'a>,
        candidate: Candidate<'a>,
        size: Bytes,
        need: Need,
        presence: &IndexMap<ModelId, Presence>,
    ) -> Option<Candidate<'a>> {
        let evictable = engine.record.resident.models.keys().filter_map(|other| {
            let row = self.rows.get(other).filter(|row| engine.free + row.size >= size)?;
            let eviction_cost = self.eviction_cost(row, presence.get(other), need)?;
            Some((eviction_cost, row.demand.upper_bound / row.copies.max(1) as f64, other))
        });
        let (eviction_cost, _, evicted) = evictable.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))?;
        let demand = candidate.demand - self.demand_per_copy(evicted);
        Some(Candidate { evicted: Some(evicted), eviction_cost, demand, ..candidate })
    }

    /// Returns the cost of evicting a copy of a model, or none if the need does not justify it.
    fn eviction_cost(&self, row: &ModelRow, current: Option<&Presence>, need: Need) -> Option<EvictionCost> {
        let value = row.demand.upper_bound / row.copies.max(1) as f64;
        match need {
            _ if self.is_warming_up && !matches!(need, Need::Missing(_)) => None,
            Need::Absent | Need::Limited if row.copies > 1 && row.is_idle => Some(EvictionCost::ExtraCopy),
            Need::Missing(_) | Need::Growth(_)
                if self.is_oversubscribed && row.copies <= 1 && row.is_idle =>
            {
                Some(EvictionCost::IdleModel)
            }
            Need::Missing(_) if row.copies > 1 => Some(EvictionCost::ExtraCopy),
            Need::Absent | Need::Preload | Need::Limited => None,
            Need::Missing(_) if !self.is_oversubscribed => None,
            Need::Missing(missing) => {
                let is_evictable =
                    matches!(current, Some(Presence::Resident(since)) if self.now >= *since + MIN_RESIDENCE);
                (is_evictable && value < missing).then_some(EvictionCost::LastCopy)
            }
            Need::Growth(gain) => (row.copies > 1 && value < gain).then_some(EvictionCost::ExtraCopy),
        }
    }

    fn issue_order(&mut self, model: &'a ModelId, chosen: Candidate<'a>, limiter: &mut LoadRateLimiter) {
        let Some(engine) = self.engines.shift_remove(chosen.id) else { return };
        let zone = &engine.record.zone;
        let action = if let Some(evicted) = chosen.evicted {
            self.add_copies(evicted, zone, -1);
            EngineAction::Unload(evicted.clone())
        } else {
            assert!(self.rows[model].size <= engine.free, "I1: {model} does not fit on {}", chosen.id);
            if chosen.is_cold {
                limiter.take();
            }
            self.add_copies(model, zone, 1);
            EngineAction::Load(model.clone())
        };
        self.orders.push(EngineOrder::new(chosen.id, engine.record, action));
    }

    fn add_copies(&mut self, model: &'a ModelId, zone: &'a ZoneId, change: isize) {
        if let Some(row) = self.rows.get_mut(model) {
            row.copies = row.copies.saturating_add_signed(change);
        }
        let copies = self.zone_copies.entry((zone, model)).or_default();
        *copies = copies.saturating_add_signed(change);
    }
}

/// Returns how many models of the largest size fit on an engine.
fn models_per_engine(spec: &EngineSpec) -> usize {
    let largest = spec.models.values().map(|size| size.weights.0).max().unwrap_or(0);
    (spec.memory.0 / largest.max(1)) as usize
}

impl Need {
    /// Returns whether the copy is of use only on an engine that does not limit the rate of requests.
    fn is_optional(self) -> bool {
        match self {
            Self::Missing(_) | Self::Growth(_) => false,
            Self::Limited | Self::Absent | Self::Preload => true,
        }
    }
}

impl Candidate<'_> {
    /// Compares two candidates for one model, best first. Cached weights load several times faster than those
    /// from the weight store.
    fn compare(&self, other: &Self) -> Ordering {
        let key = |candidate: &Self| {
            (candidate.is_limited, candidate.is_cold, candidate.eviction_cost, candidate.zone_copies)
        };
        key(self).cmp(&key(other)).then(self.demand.total_cmp(&other.demand))
    }
}

impl EngineRecord {
    /// Returns whether a model is resident on the engine once its open order is carried out.
    fn will_hold(&self, model: &ModelId) -> bool {
        match self.open_order.as_ref().map(|order| &order.action) {
            Some(EngineAction::Load(loading)) if loading == model => true,
            Some(EngineAction::Unload(unloading)) if unloading == model => false,
            _ => self.resident.models.contains_key(model),
        }
    }
}
