//! Tests of the placement of models on engines: more models than fit, shifts of demand, few requests.

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
use carobwick_core::gateway::DemandSample;
use carobwick_core::gateway::DemandTable;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::EndpointTable;
use carobwick_core::gateway::EngineAction;
use carobwick_core::gateway::EngineOrder;
use carobwick_core::gateway::EngineRegistry;
use carobwick_core::gateway::EngineSpec;
use carobwick_core::gateway::EngineState;
use carobwick_core::gateway::ModelPlacer;
use carobwick_core::gateway::ModelSize;
use carobwick_core::gateway::OrderReply;
use carobwick_core::gateway::ResidentModels;
use carobwick_core::gateway::Weights;
use endpoint_fixture::endpoint;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Interval between two passes of the leader, in milliseconds.
const TICK_MS: u64 = 200;
const COLD_LOAD_MS: u64 = 1_200;
const WARM_LOAD_MS: u64 = 300;
/// Time without a request, in milliseconds, after which the next one starts a new wait.
const NEW_WAIT_MS: u64 = 3_000;

/// Simulated engines that carry out their orders, with a demand that is set by the test.
struct Fleet {
    service: ServiceId,
    spec: EngineSpec,
    registry: EngineRegistry,
    demand: DemandTable,
    placer: ModelPlacer,
    engines: IndexMap<EndpointId, Engine>,
    random: ChaCha8Rng,
    /// Loads from the weight store.
    loads: usize,
    unloads: usize,
    /// Since when each requested model has been resident on no engine, and the time of its last request.
    missing: IndexMap<usize, (u64, u64)>,
    longest_wait: u64,
}

#[derive(Default)]
struct Engine {
    resident: ResidentModels,
    orders: u64,
    busy: Option<(u64, EngineOrder)>,
}

fn model(index: usize) -> ModelId {
    format!("m{index}").parse().unwrap()
}

fn time(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

impl Fleet {
    /// Creates engines with memory for two models each; `initial_models` returns the models that an engine
    /// starts with.
    fn new(engines: usize, models: usize, initial_models: impl Fn(usize) -> Vec<usize>) -> Self {
        let size = ModelSize { weights: Bytes(70), adapter: Bytes(1), load_time: Millis(COLD_LOAD_MS) };
        let spec = EngineSpec {
            memory: Bytes(150),
            max_adapters: 8,
            load_rate: Rate(1.4),
            context_tokens: Tokens(100_000),
            models: (0..models).map(|index| (model(index), size.clone())).collect(),
        };
        let engine = |index: usize| {
            let models =
                initial_models(index).into_iter().map(|index| (model(index), IndexSet::new())).collect();
            let resident = ResidentModels { models, ..ResidentModels::default() };
            (format!("e{index}").parse().unwrap(), Engine { resident, ..Engine::default() })
        };
        let mut fleet = Self {
            service: "s".parse().unwrap(),
            spec,
            registry: EngineRegistry::default(),
            demand: DemandTable::default(),
            placer: ModelPlacer::new(Time::ZERO),
            engines: (0..engines).map(engine).collect(),
            random: ChaCha8Rng::seed_from_u64(7),
            loads: 0,
            unloads: 0,
            missing: IndexMap::new(),
            longest_wait: 0,
        };
        fleet.list_engines();
        fleet
    }

    fn list_engines(&mut self) {
        for entry in self.entries() {
            self.registry.apply_entry(&entry, Time::ZERO);
        }
    }

    fn entries(&self) -> Vec<EndpointEntry> {
        let engines = self.engines.iter().enumerate();
        let entry = |(index, (id, engine)): (usize, (&EndpointId, &Engine))| {
            let zone = format!("z{}", index % 3);
            endpoint(id.clone(), self.service.as_str(), &zone, engine.resident.clone())
        };
        engines.map(entry).collect()
    }

    /// Lets an engine announce in a response that it is leaving, while its entry in the list does not say so.
    fn mark_engine_leaving(&mut self, engine: usize, now: u64) {
        let mut table = EndpointTable::default();
        table.replace(self.entries(), time(now));
        let id = self.engines.get_index(engine).unwrap().0;
        table.mark_leaving(id, Incarnation(1));
        for entry in table.iter() {
            self.registry.apply_entry(entry, time(now));
        }
    }

    /// Simulates a span in milliseconds; `rate` returns the requests per second for a model at a time.
    fn run(&mut self, span: std::ops::Range<u64>, rate: impl Fn(usize, u64) -> f64) {
        for now in span.step_by(TICK_MS as usize) {
            self.finish_orders(now);
            for index in 0..self.spec.models.len() {
                let expected = rate(index, now) * TICK_MS as f64 / 1_000.0;
                let requests = expected as u32 + u32::from(self.random.random_bool(expected.fract()));
                if requests > 0 {
                    self.request(index, requests, now);
                }
            }
            self.run_leader(now);
        }
    }

    fn request(&mut self, index: usize, requests: u32, now: u64) {
        let weights = Weights { model: model(index), adapter: None };
        let work = u64::from(requests) * 1_000;
        let sample = DemandSample { service: self.service.clone(), weights, requests, work };
        self.demand.add(&sample, time(now));
        if self.copies(index) > 0 {
            self.missing.swap_remove(&index);
            return;
        }
        let (since, last) = self.missing.entry(index).or_insert((now, now));
        if now > *last + NEW_WAIT_MS {
            *since = now;
        }
        *last = now;
        self.longest_wait = self.longest_wait.max(now - *since);
    }

    fn copies(&self, index: usize) -> usize {
        let model = model(index);
        self.engines.values().filter(|engine| engine.resident.models.contains_key(&model)).count()
    }

    fn finish_orders(&mut self, now: u64) {
        for (id, engine) in &mut self.engines {
            let Some((_, order)) = engine.busy.take_if(|(end, _)| now >= *end) else { continue };
            match order.action {
                EngineAction::Load(model) => {
                    engine.resident.cached.insert(model.clone());
                    engine.resident.models.insert(model, IndexSet::new());
                }
                EngineAction::Unload(model) => {
                    engine.resident.models.swap_remove(&model);
                }
                EngineAction::LoadAdapter(_) | EngineAction::UnloadAdapter(_) => {
                    unreachable!("no order on adapters is planned")
                }
            }
            let state = EngineState {
                order_count: engine.orders,
                resident: engine.resident.clone(),
                pending: IndexSet::new(),
                busy: false,
            };
            self.registry.apply_state(id, Incarnation(1), state, time(now));
        }
    }

    fn run_leader(&mut self, now: u64) {
        for (id, incarnation) in self.registry.take_due_queries(time(now)) {
            let engine = &self.engines[&id];
            let state = EngineState {
                order_count: engine.orders,
                resident: engine.resident.clone(),
                pending: IndexSet::new(),
                busy: engine.busy.is_some(),
            };
            self.registry.apply_state(&id, incarnation, state, time(now));
        }
        let orders = self.placer.plan(&self.service, &self.spec, &self.registry, &self.demand, time(now));
        for order in orders {
            self.registry.record_order(&order);
            let engine = &mut self.engines[&order.endpoint];
            engine.orders += 1;
            let duration_ms = match &order.action {
                EngineAction::Load(model) if engine.resident.cached.contains(model) => WARM_LOAD_MS,
                EngineAction::Load(_) => {
                    self.loads += 1;
                    COLD_LOAD_MS
                }
                _ => {
                    self.unloads += 1;
                    WARM_LOAD_MS
                }
            };
            engine.busy = Some((now + duration_ms, order.clone()));
            self.registry.apply_reply(&order, OrderReply::Accepted, time(now));
        }
    }
}

/// Guards against models that are never served because models without requests were loaded first.
///
/// 20 models fit on the 10 engines. Of 40 models 19 are in demand, and three of them change every 10 s.
#[test]
fn models_in_demand_are_served_although_not_all_models_fit() {
    let mut fleet = Fleet::new(10, 40, |engine| vec![2 * engine, 2 * engine + 1]);
    let is_hot = |index: usize, now: u64| {
        let first = 15 + 3 * (now / 10_000) as usize;
        (0..19).any(|step| (first + step) % 40 == index)
    };
    let rate =
        |index: usize, now: u64| if is_hot(index, now) { 1.0 + f64::from(index as u32 % 5) } else { 0.0 };
    fleet.run(0..20_000, rate);
    fleet.longest_wait = 0;
    fleet.loads = 0;
    fleet.run(20_000..100_000, rate);
    // The time of an unload, of the loads of three models, and until the demand is noticed.
    assert!(
        fleet.longest_wait <= 6_000,
        "a model was requested and on no engine for {} ms",
        fleet.longest_wait
    );
    // Three models gain demand in each of eight shifts, and each may be loaded twice.
    assert!(fleet.loads <= 48, "{} loads", fleet.loads);
}

/// Guards against a busy model that stays on one engine while models without requests take the memory of the
/// others.
///
/// 8 of 9 models fit on the 4 engines. 4 models are requested, one of them much more after 20 s.
#[test]
fn idle_models_are_evicted_for_one_with_rising_demand_if_not_all_fit() {
    let mut fleet = Fleet::new(4, 9, |engine| vec![engine, 4 + engine]);
    fleet.run(0..20_000, |index, _| if (4..8).contains(&index) { 1.0 } else { 0.0 });
    fleet.run(20_000..30_000, |index, _| if index == 4 { 40.0 } else { f64::from((5..8).contains(&index)) });
    assert!(fleet.copies(4) >= 3, "{} copies", fleet.copies(4));
    for index in 5..8 {
        assert!(fleet.copies(index) > 0, "m{index} is requested and on no engine");
    }
}

/// Guards against models without requests that are evicted although all models fit.
#[test]
fn all_models_stay_resident_if_they_fit() {
    let mut fleet = Fleet::new(10, 14, |engine| vec![engine, 10 + engine % 4]);
    let rate = |index: usize, now: u64| if index as u64 == now / 10_000 { 40.0 } else { 0.0 };
    for second in 0..80 {
        fleet.run(second * 1_000..(second + 1) * 1_000, rate);
        for index in 0..14 {
            assert!(fleet.copies(index) > 0, "m{index} is on no engine after {second} s");
        }
    }
}

/// Guards against copies that are moved because of the first few requests of a day, which say little about
/// the demand.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_few_requests_move_nothing(seed: u64) {
    let mut fleet = Fleet::new(12, 16, |engine| vec![engine % 4, 4 + engine]);
    fleet.random = ChaCha8Rng::seed_from_u64(seed);
    fleet.run(0..1_000, |index, _| if index < 4 { 3.0 } else { 0.5 });
    assert_eq!(fleet.unloads, 0);
}

/// Guards against a model that keeps its copies after its demand has moved to another model.
#[test]
fn copies_follow_the_demand() {
    let mut fleet = Fleet::new(10, 12, |engine| vec![usize::from(engine >= 8), 2 + engine]);
    fleet.run(0..10_000, |index, _| if index == 0 { 60.0 } else { 1.0 });
    assert!(fleet.copies(0) >= 6, "{} copies", fleet.copies(0));
    fleet.run(10_000..25_000, |index, _| if index == 1 { 60.0 } else { 1.0 });
    assert!(fleet.copies(1) >= 6, "{} copies", fleet.copies(1));
}

/// Guards against a model whose only engine is leaving and that is loaded on another one only after that
/// engine is gone.
#[test]
fn the_last_copy_on_a_leaving_engine_is_loaded_elsewhere() {
    let mut fleet =
        Fleet::new(5, 8, |engine| if engine < 4 { vec![2 * engine, 2 * engine + 1] } else { vec![] });
    let elsewhere = |fleet: &Fleet| {
        let leaving = fleet.engines[1].resident.models.contains_key(&model(2));
        fleet.copies(2) - usize::from(leaving)
    };
    fleet.run(0..12_000, |_, _| 0.0);
    assert_eq!(elsewhere(&fleet), 0, "the copy is the only one");
    fleet.mark_engine_leaving(1, 12_000);
    fleet.run(12_000..24_000, |_, _| 0.0);
    assert_eq!(elsewhere(&fleet), 1);
}

/// Guards against a model that is served at the rate of its only engine, which limits it, although another one
/// has room or a copy of a model without requests; and against orders to such an engine, which count as
/// requests.
#[test]
fn a_model_on_a_limited_engine_gets_a_copy_elsewhere() {
    let mut fleet = Fleet::new(4, 5, |engine| vec![engine, engine + 1]);
    let rate = |index: usize, _| [0.3, 4.0, 4.0, 0.0, 0.3][index];
    fleet.run(0..12_000, rate);
    assert_eq!(fleet.copies(0), 1, "the copy is the only one");
    let limited = fleet.engines.get_index(0).unwrap().0.clone();
    let before = fleet.engines[0].orders;
    fleet.registry.set_limited(IndexSet::from([limited]));
    fleet.run(12_000..18_000, rate);
    let elsewhere = fleet.engines.values().skip(1);
    let has_copy = |engine: &Engine| engine.resident.models.contains_key(&model(0));
    assert!(elsewhere.into_iter().any(has_copy), "no copy without a limit");
    assert_eq!(fleet.engines[0].orders, before, "orders to the limited engine");
    for index in 0..5 {
        assert!(fleet.copies(index) > 0, "m{index} is on no engine");
    }
}
