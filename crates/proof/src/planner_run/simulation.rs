use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::sync::Arc;

use carobwick_core::ConfigRecord;
use carobwick_core::DemandReport;
use carobwick_core::DrainSet;
use carobwick_core::EndpointId;
use carobwick_core::EngineState;
use carobwick_core::ListedEndpoint;
use carobwick_core::ModelDemand;
use carobwick_core::Order;
use carobwick_core::OrderId;
use carobwick_core::OrderOutcome;
use carobwick_core::Time;
use carobwick_core::ZoneId;
use carobwick_core::ZoneListing;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::checks::Checks;
use super::engine::FakeEngine;
use super::fault;
use super::fault::Fault;
use super::fault::FaultInterval;
use super::kv::FakeKv;
use super::kv::KvCall;
use super::kv::KvReply;
use super::planner::FakePlanner;
use super::setup;
use crate::Report;

pub(super) const MILLISECOND: u64 = 1_000;
pub(super) const SECOND: u64 = 1_000 * MILLISECOND;
pub(super) const STEP: u64 = 100 * MILLISECOND;

/// Timeout of a call to an engine.
pub(super) const ENGINE_TIMEOUT: u64 = 2 * SECOND;

/// Two zones with their planners, engines and key-value service. Times are in microseconds.
pub(super) struct Simulation {
    pub rng: ChaCha8Rng,
    pub now: u64,
    pub kv: FakeKv,
    pub engines: Vec<FakeEngine>,
    pub planners: Vec<FakePlanner>,
    pub record: Arc<ConfigRecord>,
    pub drains: DrainSet,
    pub checks: Checks,
    pub report: Report,
    pub intervals: Vec<FaultInterval>,
    pub cut_zone: Option<ZoneId>,
    pub trigger: Option<Trigger>,
    pub listings: BTreeMap<ZoneId, ZoneListing>,
    fast_store: bool,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
}

/// A fault that is armed until a leader writes its plan or sends an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trigger {
    /// Ends the leader's process, which starts again at the given time.
    Kill(u64),
    /// Freezes the leader's process until the given time.
    Freeze(u64),
    /// Makes the leader resign its lease and follow until the given time.
    Resign(u64),
    /// Restarts the engine to which the order is sent, which is down for the given time.
    Restart(u64),
}

/// Incarnation of a planner process that waits for a reply.
#[derive(Debug, Clone, Copy)]
pub(super) struct Requester {
    pub planner: usize,
    pub incarnation: u64,
}

/// An event of the simulation; `reply` and the last field of `KvArrive` are the time of the reply, if there
/// is one.
#[derive(Debug, Clone)]
pub(super) enum Event {
    KvArrive(Requester, KvCall, Option<u64>),
    KvReply(Requester, KvReply),
    OrderArrive { engine: usize, order: Order, reply: Option<(Requester, u64)> },
    OrderReply(Requester, EndpointId, OrderId, Option<OrderOutcome>),
    PollArrive { engine: usize, requester: Requester, requested_at: (Time, u64), reply: u64 },
    PollReply(Requester, EndpointId, (Time, u64), Option<Box<EngineState>>),
    Config(usize, Arc<ConfigRecord>),
    Drains(usize, DrainSet),
}

impl Simulation {
    pub(super) fn new(seed: u64, end: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let fast_store = rng.random_bool(0.5);
        let record = Arc::new(setup::first_manifest(&mut rng, fast_store));
        let mut engines = Vec::new();
        let mut planners = Vec::new();
        for zone in &record.manifest.zones {
            for (service, checks_fence) in [("sure", true), ("blind", false)] {
                for index in 0..2 {
                    let id = format!("{zone}-{service}-{index}");
                    engines.push(FakeEngine::new(&id, zone, service, checks_fence, rng.random()));
                }
            }
            for index in 0..rng.random_range(2..=3) {
                let mut planner = FakePlanner {
                    id: format!("{zone}-{index}").parse().expect("the id is valid"),
                    zone: zone.clone(),
                    controller: Err(0),
                    incarnation: 0,
                    frozen_until: 0,
                    resigned_until: 0,
                    clock_rate: rng.random_range(0.9..1.1),
                    clock_offset: rng.random_range(-450..450),
                    config: Arc::clone(&record),
                    drains: DrainSet::default(),
                    next_polls: BTreeMap::new(),
                    lost_polls: BTreeSet::new(),
                    next_listing: 0,
                };
                planner.start();
                planners.push(planner);
            }
        }
        // No fault is active in the last part, so that the zones can recover.
        let intervals = fault::random_intervals(&mut rng, end.saturating_sub(60 * SECOND).max(end / 2));
        let mut simulation = Self {
            rng,
            now: 3 * SECOND,
            kv: FakeKv::default(),
            engines,
            planners,
            record,
            drains: DrainSet::default(),
            checks: Checks::default(),
            report: Report::default(),
            intervals,
            cut_zone: None,
            trigger: None,
            listings: BTreeMap::new(),
            fast_store,
            events: BTreeMap::new(),
            event_count: 0,
        };
        simulation.update_listing();
        simulation
    }

    /// Advances the simulation by one step.
    pub(super) fn step(&mut self) {
        let end = self.now + STEP;
        self.apply_faults();
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            let at = entry.key().0;
            let event = entry.remove();
            self.now = at.max(self.now);
            self.deliver(event);
        }
        self.now = end;
        for engine in &mut self.engines {
            engine.advance(end);
            if engine.up.is_err_and(|until| until <= end) {
                engine.up = Ok(end);
            }
        }
        for index in 0..self.planners.len() {
            self.run_planner(index);
        }
    }

    pub(super) fn trace(&mut self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}", self.now as f64 / SECOND as f64, text.as_ref());
        self.report.trace.add(line);
    }

    pub(super) fn record_violation(&mut self, text: &str) {
        self.trace(format!("VIOLATION {text}"));
        self.report.violations.push(format!("at {:.3} s: {text}", self.now as f64 / SECOND as f64));
    }

    /// Returns whether a fault is active now.
    pub(super) fn is_active(&self, fault: Fault) -> bool {
        let now = self.now;
        self.intervals
            .iter()
            .any(|interval| interval.fault == fault && interval.start <= now && now < interval.end)
    }

    /// Sends the current configuration to all planners, each with a random delay.
    pub(super) fn broadcast_config(&mut self) {
        let late = if self.is_active(Fault::ConfigLag) { 20 * SECOND } else { 3 * SECOND };
        for index in 0..self.planners.len() {
            let at = self.now + self.rng.random_range(0..late);
            self.schedule(at, Event::Config(index, Arc::clone(&self.record)));
        }
    }

    /// Sends the drains to all planners, each with a random delay.
    pub(super) fn broadcast_drains(&mut self) {
        for index in 0..self.planners.len() {
            let at = self.now + self.rng.random_range(0..2 * SECOND);
            self.schedule(at, Event::Drains(index, self.drains.clone()));
        }
    }

    /// Updates the instance list to the engines.
    pub(super) fn update_listing(&mut self) {
        self.listings.clear();
        for engine in &self.engines {
            let listed = ListedEndpoint {
                service: engine.service.clone(),
                addr: "127.0.0.1:1".to_owned(),
                leaving: false,
            };
            let listing = self.listings.entry(engine.zone.clone()).or_default();
            listing.endpoints.insert(engine.id.clone(), listed);
        }
    }

    fn run_planner(&mut self, index: usize) {
        let (now, seed) = (self.now, self.rng.random());
        let planner = &mut self.planners[index];
        if planner.controller.as_ref().is_err_and(|until| *until <= now) {
            planner.start();
        }
        let (Ok(controller), false) = (&mut planner.controller, planner.frozen_until > now) else {
            return;
        };
        let wall_ms = (now / MILLISECOND).saturating_add_signed(planner.clock_offset);
        let tick =
            carobwick_core::Tick { now: Time((now as f64 * planner.clock_rate) as u64), wall_ms, seed };
        controller.set_config(Arc::clone(&planner.config));
        controller.set_drains(planner.drains.clone(), planner.resigned_until > now);
        let result = catch_unwind(AssertUnwindSafe(|| controller.step(&tick)));
        let Ok(commands) = result else {
            planner.controller = Err(now + SECOND);
            self.record_violation("an assertion in a planner failed");
            return;
        };
        let polled = controller.engines_to_poll();
        let is_leading = controller.leadership(tick.now) != carobwick_core::Leadership::Follower;
        if is_leading {
            self.read_list(index);
            self.report_demand(index, tick.now);
            for (endpoint, _) in polled {
                self.poll(index, &endpoint, (tick.now, tick.wall_ms));
            }
        }
        for command in commands {
            self.fire_trigger(index, &command);
            self.execute(index, command);
            if self.planners[index].controller.is_err() {
                return;
            }
        }
    }

    fn read_list(&mut self, index: usize) {
        let now = self.now;
        let planner = &mut self.planners[index];
        if now < planner.next_listing {
            return;
        }
        planner.next_listing = now + 2 * SECOND;
        if let (Ok(controller), Some(listing)) = (&mut planner.controller, self.listings.get(&planner.zone)) {
            controller.set_listing(listing.clone());
        }
    }

    fn report_demand(&mut self, index: usize, time: Time) {
        if !self.rng.random_bool(0.03) {
            return;
        }
        let adapters: Vec<_> = self.record.manifest.adapters.keys().cloned().collect();
        let chosen = adapters[self.rng.random_range(0..adapters.len())].clone();
        let demand = ModelDemand { arrivals: 1, ..ModelDemand::default() };
        let instance = "entry".parse().expect("the id is valid");
        let models = [(chosen, demand)].into();
        if let Ok(controller) = &mut self.planners[index].controller {
            controller.add_demand(time, &DemandReport { instance, interval_ms: 2_000, models });
        }
    }

    fn deliver(&mut self, event: Event) {
        if let Some(until) = self.delayed_until(&event) {
            let at = until + self.rng.random_range(0..2 * STEP);
            self.schedule(at, event);
            return;
        }
        match event {
            Event::KvArrive(requester, call, reply) => {
                let outcome = self.kv.call(self.now, call);
                if let Some(at) = reply {
                    self.schedule(at, Event::KvReply(requester, outcome));
                }
            }
            Event::OrderArrive { engine, order, reply } => self.receive_order(engine, &order, reply),
            Event::PollArrive { engine, requester, requested_at, reply } => {
                let engine = &mut self.engines[engine];
                engine.advance(self.now);
                let state = engine.up.is_ok().then(|| Box::new(engine.state()));
                let result = Event::PollReply(requester, engine.id.clone(), requested_at, state);
                self.schedule(reply, result);
            }
            Event::Config(index, record) => {
                let planner = &mut self.planners[index];
                if planner.config.version < record.version {
                    planner.config = record;
                }
            }
            Event::Drains(index, drains) => {
                self.planners[index].drains.merge(&drains);
            }
            Event::KvReply(requester, _)
            | Event::OrderReply(requester, ..)
            | Event::PollReply(requester, ..) => {
                self.reply(requester, event);
            }
        }
    }

    fn reply(&mut self, requester: Requester, event: Event) {
        let seed = self.rng.random();
        let now = self.now;
        let planner = &mut self.planners[requester.planner];
        let tick = planner.tick(now, seed);
        let (Ok(controller), true) = (&mut planner.controller, planner.incarnation == requester.incarnation)
        else {
            return;
        };
        match event {
            Event::KvReply(_, KvReply::Lease(event)) => controller.on_lease(tick.now, event),
            Event::KvReply(_, KvReply::Plan(tag, event)) => controller.on_plan(&tick, tag, event),
            Event::KvReply(_, KvReply::PeerPlan { zone, requested_at, plan, has_leader }) => {
                controller.on_peer_plan(&zone, requested_at, plan.as_ref(), has_leader);
            }
            Event::OrderReply(_, endpoint, id, outcome) => {
                controller.on_order(&tick, &endpoint, id, outcome);
                planner.next_polls.remove(&endpoint);
            }
            Event::PollReply(_, endpoint, requested_at, state) => {
                controller.on_state(&tick, &endpoint, requested_at, state.as_deref());
            }
            _ => {}
        }
    }

    fn receive_order(&mut self, index: usize, order: &Order, reply: Option<(Requester, u64)>) {
        let now = self.now;
        let adapter = matches!(order.action, carobwick_core::Action::Load { base: Some(_), .. });
        let max_load_time = if self.fast_store { 300 * MILLISECOND } else { 2 * SECOND };
        let loading =
            if adapter { 30 * MILLISECOND } else { self.rng.random_range(20 * MILLISECOND..max_load_time) };
        let unloading = self.rng.random_range(0..SECOND);
        let engine = &mut self.engines[index];
        let id = engine.id.clone();
        if engine.up.is_err() {
            if let Some((requester, at)) = reply {
                self.schedule(at, Event::OrderReply(requester, id, order.id, None));
            }
            return;
        }
        engine.advance(now);
        let effect = engine.receive(now / MILLISECOND, order, now + loading, now + unloading);
        self.trace(format!("{id} takes {} fence {}: {:?}", order.id, order.fence, effect.outcome));
        for violation in &effect.violations {
            self.record_violation(violation);
        }
        if let Some((requester, at)) = reply {
            self.schedule(at, Event::OrderReply(requester, id, order.id, effect.outcome));
        }
        self.check_effect(index, &effect);
    }

    /// Returns the time until which the planner that receives an event is frozen, or none if it is not
    /// frozen.
    fn delayed_until(&self, event: &Event) -> Option<u64> {
        let index = match event {
            Event::KvReply(requester, _)
            | Event::OrderReply(requester, ..)
            | Event::PollReply(requester, ..) => requester.planner,
            Event::Config(index, _) | Event::Drains(index, _) => *index,
            Event::KvArrive(..) | Event::OrderArrive { .. } | Event::PollArrive { .. } => return None,
        };
        let until = self.planners[index].frozen_until;
        (until > self.now).then_some(until)
    }

    pub(super) fn schedule(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }
}
