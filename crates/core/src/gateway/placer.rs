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

/// Time for which demand is learnt before a model makes room for another one.
const LEARN: Duration = Duration::from_secs(1);
/// Time since its last request within which a model counts as asked for.
const ASKED: Duration = Duration::from_secs(5);
/// Time without a request after which the last copy of a model may make room for models that are short of copies.
const IDLE: Duration = Duration::from_secs(8);
/// Time for which a model that is asked for keeps its last copy, so that models that outnumber the places take turns.
const TURN: Duration = Duration::from_secs(3);
/// Copies by which a model must fall short before another model makes room for it, so that small changes of demand
/// move nothing.
const SHORTFALL: usize = 2;

/// Decides which engines hold which models of one service.
///
/// As long as places suffice, each model is on an engine. Where they do not, models that nobody asks for give way to
/// those with demand, and models with demand take turns; the one whose requests wait longest goes first.
#[derive(Debug)]
pub struct ModelPlacer {
    pace: LoadRateLimiter,
    spans: IndexMap<ModelId, Span>,
}

/// Since when a model is on an engine, or is asked for without being on one.
#[derive(Debug, Clone, Copy)]
enum Span {
    Held(Time),
    Missed(Time),
}

impl ModelPlacer {
    /// Starts without knowledge.
    pub fn new(now: Time) -> Self {
        Self { pace: LoadRateLimiter::new(now), spans: IndexMap::new() }
    }

    /// Returns the orders on models to give now, at most one per engine.
    pub fn plan(
        &mut self,
        service: &ServiceId,
        spec: &EngineSpec,
        registry: &EngineRegistry,
        demand: &DemandTable,
        now: Time,
    ) -> Vec<EngineOrder> {
        let pass = Pass::new(service, spec, registry, demand, now);
        self.follow(&pass);
        pass.run(&mut self.pace, &self.spans)
    }

    fn follow(&mut self, pass: &Pass<'_>) {
        for (model, row) in &pass.rows {
            let span = self.spans.get(*model).copied();
            let next = match span {
                Some(Span::Held(_)) if row.copies > 0 => span,
                Some(Span::Missed(_)) if row.copies == 0 && row.is_asked => span,
                _ if row.copies > 0 => Some(Span::Held(pass.now)),
                _ if row.is_asked => Some(Span::Missed(pass.now)),
                _ => None,
            };
            match next {
                Some(next) => {
                    self.spans.insert((*model).clone(), next);
                }
                None => {
                    self.spans.swap_remove(*model);
                }
            }
        }
    }
}

/// One pass over the models of a service.
struct Pass<'a> {
    spec: &'a EngineSpec,
    now: Time,
    rows: IndexMap<&'a ModelId, Row>,
    engines: IndexMap<&'a EndpointId, Engine<'a>>,
    /// Copies by zone and model.
    zones: IndexMap<(&'a ZoneId, &'a ModelId), usize>,
    /// Engines that carry out an unload and are not counted on by a model yet.
    emptying: usize,
    is_learning: bool,
    /// Whether the models outnumber the places.
    is_crowded: bool,
    orders: Vec<EngineOrder>,
}

/// What is known of a model in a pass.
#[derive(Debug, Clone, Copy)]
struct Row {
    demand: ModelDemand,
    copies: usize,
    wanted: usize,
    is_asked: bool,
    is_idle: bool,
    size: Bytes,
}

/// An engine that can take an order.
struct Engine<'a> {
    record: &'a EngineRecord,
    free: Bytes,
    /// Demand that it carries, if each model's demand is spread evenly over its copies.
    pressure: f64,
}

/// Why a model needs a copy, and what the copy is worth.
#[derive(Debug, Clone, Copy)]
enum Need {
    /// It is asked for and on no engine.
    Missed(f64),
    /// Its demand is more than its copies can carry.
    Growth(f64),
    /// It is on no engine, and nobody asks for it.
    Absent,
    /// One more copy is of use if there is room.
    Ahead,
}

/// A place for a copy, best first.
#[derive(Debug, Clone, Copy)]
struct Place<'a> {
    id: &'a EndpointId,
    victim: Option<&'a ModelId>,
    rank: Rank,
    is_cold: bool,
    zone: usize,
    pressure: f64,
}

/// What a place costs other models.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// There is room.
    Free,
    /// A model that nobody asks for makes room.
    Idle,
    /// A model with other copies makes room.
    Copy,
    /// A model that has had its turn makes room.
    Turn,
}

impl<'a> Pass<'a> {
    fn new(
        service: &'a ServiceId,
        spec: &'a EngineSpec,
        registry: &'a EngineRegistry,
        demand: &DemandTable,
        now: Time,
    ) -> Self {
        let first = demand.first_report().unwrap_or(now);
        let known = demand.models(service, now);
        let total: f64 = known.values().map(|demand| demand.rate).sum();
        let live: Vec<(&EndpointId, &EngineRecord)> = registry.live(service).collect();
        let row = |model: &ModelId, size: Bytes| {
            let demand = known.get(model).copied().unwrap_or_default();
            let part = if total > 0.0 { demand.rate / total } else { 0.0 };
            Row {
                demand,
                copies: 0,
                wanted: wanted_copies(part, live.len()),
                is_asked: demand.last_request.is_some_and(|last| now < last + ASKED),
                is_idle: now >= demand.last_request.unwrap_or(first).max(first) + IDLE,
                size,
            }
        };
        let mut pass = Self {
            spec,
            now,
            rows: spec.models.iter().map(|(model, size)| (model, row(model, size.weights))).collect(),
            engines: IndexMap::new(),
            zones: IndexMap::new(),
            emptying: 0,
            is_learning: now < first + LEARN,
            is_crowded: places(spec) * live.len() < spec.models.len(),
            orders: Vec::new(),
        };
        for (_, record) in &live {
            pass.count(record);
        }
        for (id, record) in live.into_iter().filter(|(_, record)| record.accepts_orders()) {
            pass.engines.insert(id, pass.engine(record));
        }
        pass
    }

    fn count(&mut self, record: &'a EngineRecord) {
        let loading = match record.open_order.as_ref().map(|order| &order.action) {
            Some(EngineAction::Load(model)) if !record.resident.models.contains_key(model) => Some(model),
            Some(EngineAction::Unload(_)) => {
                self.emptying += 1;
                None
            }
            _ => None,
        };
        for model in record.resident.models.keys().filter(|model| record.will_hold(model)).chain(loading) {
            let Some((_, model, row)) = self.rows.get_full_mut(model) else { continue };
            row.copies += 1;
            *self.zones.entry((&record.zone, *model)).or_default() += 1;
        }
    }

    fn engine(&self, record: &'a EngineRecord) -> Engine<'a> {
        let free = Bytes(self.spec.memory.0.saturating_sub(record.used_memory(self.spec).0));
        let pressure = record.resident.models.keys().map(|model| self.share(model)).sum();
        Engine { record, free, pressure }
    }

    /// Returns the demand that one copy of a model carries.
    fn share(&self, model: &ModelId) -> f64 {
        self.rows.get(model).map_or(0.0, |row| row.demand.rate / row.copies.max(1) as f64)
    }

    fn run(mut self, pace: &mut LoadRateLimiter, spans: &IndexMap<ModelId, Span>) -> Vec<EngineOrder> {
        for (model, need) in self.needs(spans) {
            let store = pace.allows(self.spec.load_rate, self.now);
            let Some(best) = self.place(model, need, store, spans) else { continue };
            if best.victim.is_none() || !self.takes_emptied(need) {
                self.give(model, best, pace);
            }
        }
        if self.orders.is_empty() && pace.allows(self.spec.load_rate, self.now) && pace.is_full() {
            self.load_ahead(pace, spans);
        }
        self.orders
    }

    /// Returns the models that need a copy, most urgent first.
    fn needs(&self, spans: &IndexMap<ModelId, Span>) -> Vec<(&'a ModelId, Need)> {
        let mut missed: Vec<(&ModelId, f64)> = Vec::new();
        let mut growing: Vec<(&ModelId, f64)> = Vec::new();
        for (model, row) in &self.rows {
            if row.copies == 0 && row.is_asked {
                let waited = match spans.get(*model) {
                    Some(Span::Missed(since)) => (self.now - *since).as_secs_f64(),
                    Some(Span::Held(_)) | None => 0.0,
                };
                missed.push((model, (row.demand.rate + 1.0) * (1.0 + waited)));
            } else if row.copies > 0 && row.copies < row.wanted {
                growing.push((model, row.demand.rate / (row.copies + 1) as f64));
            }
        }
        let most = |a: &(&ModelId, f64), b: &(&ModelId, f64)| b.1.total_cmp(&a.1);
        missed.sort_by(most);
        growing.sort_by(most);
        let missed = missed.into_iter().map(|(model, worth)| (model, Need::Missed(worth)));
        let growing = growing.into_iter().map(|(model, worth)| (model, self.growth(model, worth)));
        missed.chain(growing).collect()
    }

    fn growth(&self, model: &ModelId, worth: f64) -> Need {
        let row = &self.rows[model];
        if row.copies > 1 && row.wanted < row.copies + SHORTFALL { Need::Ahead } else { Need::Growth(worth) }
    }

    /// Loads one model that is on no engine, or a second copy of one that rises early, where there is room.
    fn load_ahead(&mut self, pace: &mut LoadRateLimiter, spans: &IndexMap<ModelId, Span>) {
        let absent = self.rows.iter().filter(|(_, row)| row.copies == 0);
        let mut ahead: Vec<(&ModelId, Need)> = absent.map(|(model, _)| (*model, Need::Absent)).collect();
        let single = self.rows.iter().filter(|(_, row)| row.copies == 1 && row.is_asked);
        let mut single: Vec<(&ModelId, f64)> = single.map(|(model, row)| (*model, row.demand.rate)).collect();
        single.sort_by(|a, b| b.1.total_cmp(&a.1));
        ahead.extend(single.into_iter().map(|(model, _)| (model, Need::Ahead)));
        for (model, need) in ahead {
            if let Some(best) = self.place(model, need, true, spans) {
                self.give(model, best, pace);
                return;
            }
        }
    }

    /// Returns whether an engine that is being emptied will take the copy.
    fn takes_emptied(&mut self, need: Need) -> bool {
        let takes = self.emptying > 0 && !matches!(need, Need::Absent);
        self.emptying -= usize::from(takes);
        takes
    }

    /// Returns the best place for a copy; without `store`, only where the engine has kept a copy of its own.
    fn place(
        &self,
        model: &ModelId,
        need: Need,
        store: bool,
        spans: &IndexMap<ModelId, Span>,
    ) -> Option<Place<'a>> {
        let row = self.rows.get(model)?;
        let mut best: Option<Place<'a>> = None;
        for (id, engine) in &self.engines {
            let is_cold = !engine.record.resident.cached.contains(model);
            if engine.record.resident.models.contains_key(model) || is_cold && !store {
                continue;
            }
            let zone = self.zones.get(&(&engine.record.zone, model)).copied().unwrap_or(0);
            let place =
                Place { id, victim: None, rank: Rank::Free, is_cold, zone, pressure: engine.pressure };
            let place = if engine.free >= row.size {
                Some(place)
            } else {
                self.make_room(engine, place, row.size, need, spans)
            };
            best = match (best, place) {
                (Some(best), Some(place)) if place.order(&best) == Ordering::Less => Some(place),
                (best, place) => best.or(place),
            };
        }
        best
    }

    /// Returns the place on an engine with the model on it that is needed least.
    fn make_room(
        &self,
        engine: &Engine<'a>,
        place: Place<'a>,
        size: Bytes,
        need: Need,
        spans: &IndexMap<ModelId, Span>,
    ) -> Option<Place<'a>> {
        let victims = engine.record.resident.models.keys().filter_map(|other| {
            let row = self.rows.get(other).filter(|row| engine.free + row.size >= size)?;
            let rank = self.rank(row, spans.get(other), need)?;
            Some((rank, row.demand.upper_bound / row.copies.max(1) as f64, other))
        });
        let (rank, _, victim) = victims.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))?;
        let pressure = place.pressure - self.share(victim);
        Some(Place { victim: Some(victim), rank, pressure, ..place })
    }

    /// Returns what it costs to take a copy from a model, and none if the need is not worth it.
    fn rank(&self, row: &Row, span: Option<&Span>, need: Need) -> Option<Rank> {
        let worth = row.demand.upper_bound / row.copies.max(1) as f64;
        match need {
            _ if self.is_learning && !matches!(need, Need::Missed(_)) => None,
            Need::Absent if row.copies > 1 && row.is_idle => Some(Rank::Copy),
            Need::Absent | Need::Ahead => None,
            Need::Missed(_) | Need::Growth(_) if self.is_crowded && row.copies <= 1 && row.is_idle => {
                Some(Rank::Idle)
            }
            Need::Missed(_) if row.copies > 1 => Some(Rank::Copy),
            Need::Missed(_) if !self.is_crowded => None,
            Need::Missed(missed) => {
                let had_turn = matches!(span, Some(Span::Held(since)) if self.now >= *since + TURN);
                (had_turn && worth < missed).then_some(Rank::Turn)
            }
            Need::Growth(gain) => (row.copies > 1 && worth < gain).then_some(Rank::Copy),
        }
    }

    fn give(&mut self, model: &'a ModelId, chosen: Place<'a>, pace: &mut LoadRateLimiter) {
        let Some(engine) = self.engines.shift_remove(chosen.id) else { return };
        let zone = &engine.record.zone;
        let action = if let Some(victim) = chosen.victim {
            self.add(victim, zone, -1);
            EngineAction::Unload(victim.clone())
        } else {
            assert!(self.rows[model].size <= engine.free, "I1: {model} does not fit on {}", chosen.id);
            if chosen.is_cold {
                pace.take();
            }
            self.add(model, zone, 1);
            EngineAction::Load(model.clone())
        };
        self.orders.push(EngineOrder::new(chosen.id, engine.record, action));
    }

    fn add(&mut self, model: &'a ModelId, zone: &'a ZoneId, change: isize) {
        if let Some(row) = self.rows.get_mut(model) {
            row.copies = row.copies.saturating_add_signed(change);
        }
        let copies = self.zones.entry((zone, model)).or_default();
        *copies = copies.saturating_add_signed(change);
    }
}

/// Returns how many models an engine holds, if they are of the largest size.
fn places(spec: &EngineSpec) -> usize {
    let largest = spec.models.values().map(|size| size.weights.0).max().unwrap_or(0);
    (spec.memory.0 / largest.max(1)) as usize
}

impl Place<'_> {
    /// Compares two places for one model; an engine's own copy loads several times faster than one from the store.
    fn order(&self, other: &Self) -> Ordering {
        let key = |place: &Self| (place.is_cold, place.rank, place.zone);
        key(self).cmp(&key(other)).then(self.pressure.total_cmp(&other.pressure))
    }
}

impl EngineRecord {
    /// Returns whether a model is on the engine once its open order is carried out.
    fn will_hold(&self, model: &ModelId) -> bool {
        match self.open_order.as_ref().map(|order| &order.action) {
            Some(EngineAction::Load(loading)) if loading == model => true,
            Some(EngineAction::Unload(leaving)) if leaving == model => false,
            _ => self.resident.models.contains_key(model),
        }
    }
}
