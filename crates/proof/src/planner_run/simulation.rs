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

use super::engine::FakeEngine;
use super::fault;
use super::fault::Episode;
use super::fault::Fault;
use super::judge::Judge;
use super::kv::FakeKv;
use super::kv::KvCall;
use super::kv::KvReply;
use super::planner::FakePlanner;
use super::setup;
use crate::Report;

pub(super) const MS: u64 = 1_000;
pub(super) const SECOND: u64 = 1_000 * MS;
pub(super) const STEP: u64 = 100 * MS;

/// Timeout of a call to an engine.
pub(super) const ENGINE_TIMEOUT: u64 = 2 * SECOND;

/// Two zones with their planners, engines and key-value service in virtual time.
pub(super) struct World {
    pub rng: ChaCha8Rng,
    pub now: u64,
    pub kv: FakeKv,
    pub engines: Vec<FakeEngine>,
    pub planners: Vec<FakePlanner>,
    pub record: Arc<ConfigRecord>,
    pub drains: DrainSet,
    pub judge: Judge,
    pub report: Report,
    pub episodes: Vec<Episode>,
    pub cut: Option<ZoneId>,
    pub trigger: Option<Trigger>,
    pub listed: BTreeMap<ZoneId, ZoneListing>,
    fast: bool,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
}

/// A fault that strikes as soon as a leader writes its plan or sends an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trigger {
    /// Ends the leader's process until then.
    Kill(u64),
    /// Pauses the leader until then.
    Freeze(u64),
    /// Makes the leader give up its lease, and follow until then.
    Resign(u64),
    /// Restarts the engine to which the order is sent, which is down for that long.
    Restart(u64),
}

/// A process run that waits for a reply.
#[derive(Debug, Clone, Copy)]
pub(super) struct Caller {
    pub planner: usize,
    pub run: u64,
}

#[derive(Debug, Clone)]
pub(super) enum Event {
    KvArrive(Caller, KvCall, Option<u64>),
    KvReply(Caller, KvReply),
    OrderArrive { engine: usize, order: Order, reply: Option<(Caller, u64)> },
    OrderReply(Caller, EndpointId, OrderId, Option<OrderOutcome>),
    PollArrive { engine: usize, caller: Caller, asked: (Time, u64), reply: u64 },
    PollReply(Caller, EndpointId, (Time, u64), Option<Box<EngineState>>),
    Config(usize, Arc<ConfigRecord>),
    Drains(usize, DrainSet),
}

impl World {
    pub(super) fn new(seed: u64, end: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let fast = rng.random_bool(0.5);
        let record = Arc::new(setup::first_manifest(&mut rng, fast));
        let mut engines = Vec::new();
        let mut planners = Vec::new();
        for zone in &record.manifest.zones {
            for (service, checks) in [("sure", true), ("blind", false)] {
                for index in 0..2 {
                    let id = format!("{zone}-{service}-{index}");
                    engines.push(FakeEngine::new(&id, zone, service, checks, rng.random()));
                }
            }
            for index in 0..rng.random_range(2..=3) {
                let mut planner = FakePlanner {
                    id: format!("{zone}-{index}").parse().expect("the id is valid"),
                    zone: zone.clone(),
                    controller: Err(0),
                    run: 0,
                    frozen_until: 0,
                    resigned_until: 0,
                    rate: rng.random_range(0.9..1.1),
                    offset: rng.random_range(-450..450),
                    config: Arc::clone(&record),
                    drains: DrainSet::default(),
                    polls: BTreeMap::new(),
                    lost: BTreeSet::new(),
                    listed: 0,
                };
                planner.start();
                planners.push(planner);
            }
        }
        // The last part is quiet, so that the zones can recover.
        let episodes = fault::draw(&mut rng, end.saturating_sub(60 * SECOND).max(end / 2));
        let mut world = Self {
            rng,
            now: 3 * SECOND,
            kv: FakeKv::default(),
            engines,
            planners,
            record,
            drains: DrainSet::default(),
            judge: Judge::default(),
            report: Report::default(),
            episodes,
            cut: None,
            trigger: None,
            listed: BTreeMap::new(),
            fast,
            events: BTreeMap::new(),
            count: 0,
        };
        world.update_listing();
        world
    }

    /// Lets one step of time pass.
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

    pub(super) fn note(&mut self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}", self.now as f64 / SECOND as f64, text.as_ref());
        self.report.trace.add(line);
    }

    pub(super) fn violate(&mut self, text: &str) {
        self.note(format!("VIOLATION {text}"));
        self.report.violations.push(format!("at {:.3} s: {text}", self.now as f64 / SECOND as f64));
    }

    /// Returns whether a fault holds now.
    pub(super) fn holds(&self, fault: Fault) -> bool {
        let now = self.now;
        self.episodes
            .iter()
            .any(|episode| episode.fault == fault && episode.start <= now && now < episode.end)
    }

    /// Sends the manifest in force to all planners, some of which get it late.
    pub(super) fn spread_config(&mut self) {
        let late = if self.holds(Fault::ConfigLag) { 20 * SECOND } else { 3 * SECOND };
        for index in 0..self.planners.len() {
            let at = self.now + self.rng.random_range(0..late);
            self.schedule(at, Event::Config(index, Arc::clone(&self.record)));
        }
    }

    /// Sends the drained targets to all planners.
    pub(super) fn spread_drains(&mut self) {
        for index in 0..self.planners.len() {
            let at = self.now + self.rng.random_range(0..2 * SECOND);
            self.schedule(at, Event::Drains(index, self.drains.clone()));
        }
    }

    /// Brings the instance list up to date.
    pub(super) fn update_listing(&mut self) {
        self.listed.clear();
        for engine in &self.engines {
            let listed = ListedEndpoint {
                service: engine.service.clone(),
                addr: "127.0.0.1:1".to_owned(),
                leaving: false,
            };
            let listing = self.listed.entry(engine.zone.clone()).or_default();
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
        let wall_ms = (now / MS).saturating_add_signed(planner.offset);
        let tick = carobwick_core::Tick { now: Time((now as f64 * planner.rate) as u64), wall_ms, seed };
        controller.set_config(Arc::clone(&planner.config));
        controller.set_drains(planner.drains.clone(), planner.resigned_until > now);
        let stepped = catch_unwind(AssertUnwindSafe(|| controller.step(&tick)));
        let Ok(commands) = stepped else {
            planner.controller = Err(now + SECOND);
            self.violate("a planner's assertion failed");
            return;
        };
        let polled = controller.engines_to_poll();
        let leads = controller.leadership(tick.now) != carobwick_core::Leadership::Follower;
        if leads {
            self.read_list(index);
            self.report_demand(index, tick.now);
            for (endpoint, _) in polled {
                self.poll(index, &endpoint, (tick.now, tick.wall_ms));
            }
        }
        for command in commands {
            self.strike(index, &command);
            self.run(index, command);
            if self.planners[index].controller.is_err() {
                return;
            }
        }
    }

    fn read_list(&mut self, index: usize) {
        let now = self.now;
        let planner = &mut self.planners[index];
        if now < planner.listed {
            return;
        }
        planner.listed = now + 2 * SECOND;
        if let (Ok(controller), Some(listing)) = (&mut planner.controller, self.listed.get(&planner.zone)) {
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
        if let Some(until) = self.waits(&event) {
            let at = until + self.rng.random_range(0..2 * STEP);
            self.schedule(at, event);
            return;
        }
        match event {
            Event::KvArrive(caller, call, reply) => {
                let answer = self.kv.call(self.now, call);
                if let Some(at) = reply {
                    self.schedule(at, Event::KvReply(caller, answer));
                }
            }
            Event::OrderArrive { engine, order, reply } => self.take_order(engine, &order, reply),
            Event::PollArrive { engine, caller, asked, reply } => {
                let engine = &mut self.engines[engine];
                engine.advance(self.now);
                let state = engine.up.is_ok().then(|| Box::new(engine.state()));
                let answer = Event::PollReply(caller, engine.id.clone(), asked, state);
                self.schedule(reply, answer);
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
            Event::KvReply(caller, _) | Event::OrderReply(caller, ..) | Event::PollReply(caller, ..) => {
                self.reply(caller, event);
            }
        }
    }

    fn reply(&mut self, caller: Caller, event: Event) {
        let seed = self.rng.random();
        let now = self.now;
        let planner = &mut self.planners[caller.planner];
        let tick = planner.tick(now, seed);
        let (Ok(controller), true) = (&mut planner.controller, planner.run == caller.run) else {
            return;
        };
        match event {
            Event::KvReply(_, KvReply::Lease(event)) => controller.on_lease(tick.now, event),
            Event::KvReply(_, KvReply::Plan(tag, event)) => controller.on_plan(&tick, tag, event),
            Event::KvReply(_, KvReply::Zone { zone, asked, plan, led }) => {
                controller.on_peer_plan(&zone, asked, plan.as_ref(), led);
            }
            Event::OrderReply(_, endpoint, id, outcome) => {
                controller.on_order(&tick, &endpoint, id, outcome);
                planner.polls.remove(&endpoint);
            }
            Event::PollReply(_, endpoint, asked, state) => {
                controller.on_state(&tick, &endpoint, asked, state.as_deref());
            }
            _ => {}
        }
    }

    fn take_order(&mut self, index: usize, order: &Order, reply: Option<(Caller, u64)>) {
        let now = self.now;
        let adapter = matches!(order.action, carobwick_core::Action::Load { base: Some(_), .. });
        let longest = if self.fast { 300 * MS } else { 2 * SECOND };
        let loading = if adapter { 30 * MS } else { self.rng.random_range(20 * MS..longest) };
        let unloading = self.rng.random_range(0..SECOND);
        let engine = &mut self.engines[index];
        let id = engine.id.clone();
        if engine.up.is_err() {
            if let Some((caller, at)) = reply {
                self.schedule(at, Event::OrderReply(caller, id, order.id, None));
            }
            return;
        }
        engine.advance(now);
        let effect = engine.take(now / MS, order, now + loading, now + unloading);
        self.note(format!("{id} takes {} fence {}: {:?}", order.id, order.fence, effect.outcome));
        for violation in &effect.violations {
            self.violate(violation);
        }
        if let Some((caller, at)) = reply {
            self.schedule(at, Event::OrderReply(caller, id, order.id, effect.outcome));
        }
        self.judge_effect(index, &effect);
    }

    /// Returns until when the planner that an event is for is frozen.
    fn waits(&self, event: &Event) -> Option<u64> {
        let index = match event {
            Event::KvReply(caller, _) | Event::OrderReply(caller, ..) | Event::PollReply(caller, ..) => {
                caller.planner
            }
            Event::Config(index, _) | Event::Drains(index, _) => *index,
            Event::KvArrive(..) | Event::OrderArrive { .. } | Event::PollArrive { .. } => return None,
        };
        let until = self.planners[index].frozen_until;
        (until > self.now).then_some(until)
    }

    pub(super) fn schedule(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }
}
