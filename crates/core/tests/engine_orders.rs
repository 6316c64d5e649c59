//! Tests of orders to engines: seeded simulations in which replies are lost, reports lag and orders are
//! applied late.

mod endpoint_fixture;

use std::time::Duration;

use carobwick_core::Bytes;
use carobwick_core::EndpointId;
use carobwick_core::Incarnation;
use carobwick_core::Millis;
use carobwick_core::ModelId;
use carobwick_core::Rate;
use carobwick_core::ServiceId;
use carobwick_core::Time;
use carobwick_core::Tokens;
use carobwick_core::gateway::AdapterRequest;
use carobwick_core::gateway::DemandSample;
use carobwick_core::gateway::DemandTable;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::EngineAction;
use carobwick_core::gateway::EngineOrder;
use carobwick_core::gateway::EngineRegistry;
use carobwick_core::gateway::EngineSpec;
use carobwick_core::gateway::EngineState;
use carobwick_core::gateway::LoadRateLimiter;
use carobwick_core::gateway::ModelPlacer;
use carobwick_core::gateway::ModelSize;
use carobwick_core::gateway::OrderReply;
use carobwick_core::gateway::ResidentModels;
use carobwick_core::gateway::Weights;
use carobwick_core::gateway::plan_adapter;
use endpoint_fixture::endpoint;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const ENGINES: usize = 6;
const MODELS: usize = 8;
const ADAPTERS: usize = 12;
/// Window and bound of the loads that the weight store allows, as stated by its operators.
const WINDOW: Duration = Duration::from_secs(5);
const MAX_LOADS: f64 = 1.4 * 5.0 * 1.1 + 3.0;
/// Age of a report of an engine, in milliseconds.
const LAG_MS: u64 = 200;

/// Actual state of an engine, which the leader sees late or not at all.
#[derive(Clone, Default)]
struct Engine {
    state: EngineSnapshot,
    history: Vec<(u64, EngineSnapshot)>,
    /// The order on a model that is being carried out, with the time of its end.
    busy: Option<(u64, EngineAction)>,
    delayed: Vec<(u64, EngineOrder)>,
}

#[derive(Clone, Default)]
struct EngineSnapshot {
    orders: u64,
    busy: bool,
    resident: ResidentModels,
}

struct Simulation {
    random: ChaCha8Rng,
    spec: EngineSpec,
    service: ServiceId,
    engines: IndexMap<EndpointId, Engine>,
    registry: EngineRegistry,
    demand: DemandTable,
    placer: ModelPlacer,
    loads: Vec<Time>,
    hot_model: usize,
}

fn time(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn model(index: usize) -> ModelId {
    format!("m{index}").parse().unwrap()
}

fn spec() -> EngineSpec {
    let size = |index: usize| ModelSize {
        weights: Bytes(60 + 5 * (index as u64 % 3)),
        adapter: Bytes(1),
        load_time: Millis(1_200),
    };
    EngineSpec {
        memory: Bytes(200),
        max_adapters: 4,
        load_rate: Rate(1.4),
        context_tokens: Tokens(100_000),
        models: (0..MODELS).map(|index| (model(index), size(index))).collect(),
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let engines = (0..ENGINES).map(|index| {
            let mut engine = Engine::default();
            engine.state.resident.models.insert(model(index), IndexSet::new());
            (format!("e{index}").parse().unwrap(), engine)
        });
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            spec: spec(),
            service: "s".parse().unwrap(),
            engines: engines.collect(),
            registry: EngineRegistry::default(),
            demand: DemandTable::default(),
            placer: ModelPlacer::new(Time::ZERO),
            loads: Vec::new(),
            hot_model: 0,
        }
    }

    fn run_until(&mut self, end: u64) {
        for now in (0..end).step_by(50) {
            self.advance(now);
            if now % 1_200 == 0 {
                self.list_engines(now);
            }
            if now % 5_000 == 0 {
                self.hot_model = self.random.random_range(0..MODELS);
            }
            if now % 200 == 0 {
                self.run_leader(now);
            }
        }
    }

    /// Carries out the orders that are due on the engines.
    fn advance(&mut self, now: u64) {
        for id in self.engines.keys().cloned().collect::<Vec<_>>() {
            let engine = &mut self.engines[&id];
            if let Some((_, action)) = engine.busy.take_if(|(end, _)| now >= *end) {
                engine.state.busy = false;
                apply(&mut engine.state.resident, &action);
            }
            let due: Vec<EngineOrder> =
                engine.delayed.extract_if(.., |(at, _)| now >= *at).map(|(_, order)| order).collect();
            for order in due {
                self.accept(&order, now);
            }
            let engine = &mut self.engines[&id];
            engine.history.push((now, engine.state.clone()));
        }
    }

    /// Delivers an order to an engine, which refuses it unless the expected count of orders is right.
    fn accept(&mut self, order: &EngineOrder, now: u64) -> OrderReply {
        let engine = &mut self.engines[&order.endpoint];
        if engine.state.orders != order.expected_count || engine.state.busy {
            return OrderReply::Conflict;
        }
        engine.state.orders += 1;
        match &order.action {
            EngineAction::Load(model) => {
                self.loads.push(time(now));
                let used_memory =
                    used_memory(&self.spec, &engine.state.resident) + self.spec.models[model].weights;
                assert!(
                    used_memory <= self.spec.memory,
                    "{} is ordered to load {model} at {now} ms",
                    order.endpoint
                );
                engine.state.busy = true;
                engine.busy = Some((now + 1_200, order.action.clone()));
            }
            EngineAction::Unload(_) => {
                engine.state.busy = true;
                engine.busy = Some((now + 600, order.action.clone()));
            }
            EngineAction::LoadAdapter(_) => {
                apply(&mut engine.state.resident, &order.action);
                let adapters = engine.state.resident.adapter_count();
                assert!(
                    adapters <= self.spec.max_adapters as usize,
                    "{adapters} adapters on {}",
                    order.endpoint
                );
                assert!(
                    used_memory(&self.spec, &engine.state.resident) <= self.spec.memory,
                    "{}",
                    order.endpoint
                );
            }
            EngineAction::UnloadAdapter(_) => {
                apply(&mut engine.state.resident, &order.action);
                return OrderReply::Done;
            }
        }
        OrderReply::Accepted
    }

    /// Passes entries of the list to the leader that are up to 5 s old, as after an outage of the store.
    fn list_engines(&mut self, now: u64) {
        for (index, (id, engine)) in self.engines.iter().enumerate() {
            let age = self.random.random_range(0..5_000);
            let seen = engine.history.iter().rfind(|(at, _)| at + age <= now).or(engine.history.first());
            let resident = seen.map(|(_, state)| state.resident.clone()).unwrap_or_default();
            let zone = format!("z{}", index % 3);
            let entry = endpoint(id.clone(), self.service.as_str(), &zone, resident);
            let entry = EndpointEntry { heartbeat: now, ..entry };
            self.registry.apply_entry(&entry, time(now));
        }
    }

    fn run_leader(&mut self, now: u64) {
        for (id, incarnation) in self.registry.take_due_queries(time(now)) {
            let history = &self.engines[&id].history;
            let Some((_, seen)) = history.iter().rfind(|(at, _)| at + LAG_MS <= now) else { continue };
            let state = EngineState {
                order_count: seen.orders,
                resident: seen.resident.clone(),
                pending: IndexSet::new(),
                busy: seen.busy,
            };
            self.registry.apply_state(&id, incarnation, state, time(now));
        }
        let weights = Weights { model: model(self.hot_model), adapter: None };
        let sample = DemandSample { service: self.service.clone(), weights, requests: 9, work: 1_000 };
        self.demand.add(&sample, time(now));
        let adapter = format!("a{}", self.random.random_range(0..ADAPTERS)).parse().unwrap();
        let weights = Weights { model: model(self.hot_model), adapter: Some(adapter) };
        let request = AdapterRequest { weights, zone: "z1".parse().unwrap() };
        let order =
            plan_adapter(&self.service, &self.spec, &self.registry, &self.demand, &request, time(now));
        let mut orders: Vec<EngineOrder> = order.into_iter().collect();
        for order in orders.drain(..) {
            self.send_order(&order, now);
        }
        let orders = self.placer.plan(&self.service, &self.spec, &self.registry, &self.demand, time(now));
        for order in orders {
            self.send_order(&order, now);
        }
    }

    /// Sends an order. Its reply may be lost, in which case it is carried out now, later or never.
    fn send_order(&mut self, order: &EngineOrder, now: u64) {
        self.registry.record_order(order);
        let reply = match self.random.random_range(0..10) {
            0 => {
                self.accept(order, now);
                OrderReply::Lost
            }
            1 => {
                let at = now + self.random.random_range(2_000..12_000);
                self.engines[&order.endpoint].delayed.push((at, order.clone()));
                OrderReply::Lost
            }
            2 => OrderReply::Lost,
            _ => self.accept(order, now),
        };
        self.registry.apply_reply(order, reply, time(now));
    }
}

fn apply(resident: &mut ResidentModels, action: &EngineAction) {
    match action {
        EngineAction::Load(model) => {
            resident.models.insert(model.clone(), IndexSet::new());
        }
        EngineAction::Unload(model) => {
            resident.models.swap_remove(model);
        }
        EngineAction::LoadAdapter(weights) => {
            if let Some(adapters) = resident.models.get_mut(&weights.model) {
                adapters.extend(weights.adapter.clone());
            }
        }
        EngineAction::UnloadAdapter(weights) => {
            if let (Some(adapters), Some(name)) = (resident.models.get_mut(&weights.model), &weights.adapter)
            {
                adapters.swap_remove(name);
            }
        }
    }
}

fn used_memory(spec: &EngineSpec, resident: &ResidentModels) -> Bytes {
    let sizes = resident.models.iter().map(|(model, adapters)| {
        let size = &spec.models[model];
        Bytes(size.weights.0 + size.adapter.0 * adapters.len() as u64)
    });
    sizes.sum()
}

/// Guards against memory or adapter capacity that is allocated twice while orders are lost or late and the
/// list is stale.
#[test]
fn engines_are_never_ordered_to_hold_more_than_fits() {
    for seed in 0..40 {
        Simulation::new(seed).run_until(60_000);
    }
}

/// Guards against more loads from the weight store than it allows in any window of 5 s.
///
/// Orders that are carried out late are left out, since the rate limiter does not control them.
#[test]
fn loads_stay_under_the_rate_limit() {
    for seed in 100..120 {
        let mut limiter = LoadRateLimiter::new(Time::ZERO);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut loads: Vec<Time> = Vec::new();
        for now in (0..60_000).step_by(20) {
            if random.random_bool(0.7) && limiter.allows(Rate(1.4), time(now)) {
                limiter.take();
                loads.push(time(now));
            }
        }
        for first in &loads {
            let window = loads.iter().filter(|load| **load >= *first && **load < *first + WINDOW).count();
            assert!(window as f64 <= MAX_LOADS, "seed {seed}: {window} loads");
        }
    }
}

/// Guards against a model that stays on one engine while its demand rises, and against a model that is
/// resident on no engine any more.
#[test_case(1)]
#[test_case(2)]
fn a_model_with_rising_demand_spreads_and_no_model_is_lost(seed: u64) {
    let mut simulation = Simulation::new(seed);
    simulation.run_until(4_900);
    let hot_model = model(simulation.hot_model);
    let resident_count = |simulation: &Simulation, model: &ModelId| {
        simulation.engines.values().filter(|engine| engine.state.resident.models.contains_key(model)).count()
    };
    assert!(
        resident_count(&simulation, &hot_model) >= 2,
        "{hot_model} is on {} engines",
        resident_count(&simulation, &hot_model)
    );
    simulation.run_until(60_000);
    for index in 0..MODELS {
        assert!(resident_count(&simulation, &model(index)) > 0, "m{index} is on no engine");
    }
}

/// Guards against updates of an engine without a change, which the leader would send to each instance, and
/// against an instance that gets no update any more after an engine refused its request.
#[test]
fn updates_of_an_engine_are_sent_once_and_again_after_a_recheck() {
    let mut simulation = Simulation::new(1);
    simulation.list_engines(0);
    let id = simulation.registry.iter().next().unwrap().0.clone();
    let model = model(0);
    let resident = ResidentModels {
        models: IndexMap::from([(model.clone(), IndexSet::new())]),
        ..ResidentModels::default()
    };
    let state =
        EngineState { order_count: 0, resident: resident.clone(), pending: IndexSet::new(), busy: false };
    simulation.registry.apply_state(&id, Incarnation(1), state, time(1));
    let (incarnation, published) = simulation.registry.take_update(&id).expect("no update was sent before");
    assert_eq!(published, resident);
    assert_eq!(simulation.registry.take_update(&id), None);
    simulation.registry.recheck(&Weights { model: model.clone(), adapter: None }, time(10));
    assert_eq!(simulation.registry.take_update(&id), Some((incarnation, resident.clone())));
    let unload = EngineOrder {
        endpoint: id.clone(),
        incarnation,
        expected_count: 0,
        action: EngineAction::Unload(model.clone()),
    };
    simulation.registry.record_order(&unload);
    let (_, offered) = simulation.registry.take_update(&id).expect("the model is no longer offered");
    assert!(!offered.models.contains_key(&model));
}

/// Guards against a leader that relies on an engine for weights which its updates to the instances leave out.
#[test]
fn offered_weights_match_those_that_are_published() {
    for (seed, end) in (0..20).zip((1_000..).step_by(950)) {
        let mut simulation = Simulation::new(seed);
        simulation.run_until(end);
        for (id, record) in simulation.registry.iter() {
            for index in 0..MODELS {
                let base = Weights { model: model(index), adapter: None };
                let adapters = (0..ADAPTERS).map(|number| format!("a{number}").parse().unwrap());
                let with_adapter = adapters.map(|name| Weights { adapter: Some(name), ..base.clone() });
                for weights in with_adapter.chain([base.clone()]) {
                    let published = record.offered().has(&weights);
                    assert_eq!(record.offers(&weights), published, "seed {seed}, {end} ms, {id}, {weights}");
                }
            }
        }
    }
}

/// Guards against an adapter that is served at the rate of the only engine that holds it, although another one
/// has its model and room.
#[test]
fn an_adapter_on_a_limited_engine_is_loaded_on_another_one() {
    let adapter = Weights { model: model(0), adapter: Some("a0".parse().unwrap()) };
    let service: ServiceId = "s".parse().unwrap();
    let mut registry = EngineRegistry::default();
    let ids: Vec<EndpointId> = (0..2).map(|index| format!("e{index}").parse().unwrap()).collect();
    for (index, id) in ids.iter().enumerate() {
        let adapters = adapter.adapter.iter().filter(|_| index == 0).cloned().collect();
        let models = IndexMap::from([(model(0), adapters)]);
        let resident = ResidentModels { models, ..ResidentModels::default() };
        registry.apply_entry(&endpoint(id.clone(), service.as_str(), "z0", resident.clone()), time(0));
        let state = EngineState { order_count: 0, resident, pending: IndexSet::new(), busy: false };
        registry.apply_state(id, Incarnation(1), state, time(0));
    }
    let request = AdapterRequest { weights: adapter.clone(), zone: "z1".parse().unwrap() };
    let plan = |registry: &EngineRegistry| {
        plan_adapter(&service, &spec(), registry, &DemandTable::default(), &request, time(10))
    };
    registry.set_limited(IndexSet::from([ids[0].clone()]));
    let order = plan(&registry).expect("the adapter is loaded on the other engine");
    assert_eq!((order.endpoint, order.action), (ids[1].clone(), EngineAction::LoadAdapter(adapter)));
    registry.set_limited(ids.into_iter().collect());
    assert_eq!(plan(&registry), None, "all engines are limited, and one offers the adapter");
}
