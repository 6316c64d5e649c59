use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use carobwick_core::AttemptOutcome;
use carobwick_core::CrashReportSet;
use carobwick_core::Decision;
use carobwick_core::DispatchPolicy;
use carobwick_core::Dispatcher;
use carobwick_core::EndpointId;
use carobwick_core::ModelDemand;
use carobwick_core::ModelId;
use carobwick_core::RequestId;
use carobwick_core::Time;
use carobwick_core::Tokens;
use carobwick_core::ZoneId;
use carobwick_core::ZoneView;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Deployment;
use crate::Engine;
use crate::Output;
use crate::PlacementRule;
use crate::Score;
use crate::Shape;
use crate::flow::Flow;
use crate::placing::ZonePlacing;
use crate::shape::WARM_UP;

mod publish;

/// One-way latency.
const HOP: Duration = Duration::from_millis(1);
/// Interval of the views; each shows the state one interval ago.
const VIEW: Duration = Duration::from_secs(1);
/// Interval of the demand reports.
const REPORT: Duration = Duration::from_secs(2);
/// Time from a restart until the models are loaded again.
const RELOAD: Duration = Duration::from_secs(5);

/// One run: callers, entries and endpoints of a deployment under a policy.
#[derive(Debug)]
pub struct World {
    deployment: Deployment,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    flows: Vec<Flow>,
    lagged: IndexMap<ZoneId, Arc<ZoneView>>,
    suspects: CrashReportSet,
    /// Leaders of the zones, if the placement changes.
    leaders: Vec<ZonePlacing>,
    score: Score,
}

#[derive(Debug)]
struct Entry {
    zone: ZoneId,
    addr: String,
    up: bool,
    dispatcher: Dispatcher,
    poll: Option<Time>,
    demand: IndexMap<ModelId, ModelDemand>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Hop(usize, u32),
    Reach(usize, u32),
    Engine(usize),
    Poll(usize),
    View,
    Report,
    Crash(usize),
    Restart(usize),
    Zone(usize, bool),
}

impl World {
    /// Runs a shape for a number of seconds and returns the score.
    pub fn run(
        deployment: &Deployment,
        policy: &DispatchPolicy,
        shape: Shape,
        seconds: u64,
        seed: u64,
    ) -> Score {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = Self::new(deployment, policy, shape, seconds, &mut rng);
        world.publish();
        world.publish();
        let end = Time::ZERO + Duration::from_secs(seconds + 30);
        while let Some(Reverse((at, _, event))) = world.events.pop() {
            if at > end {
                break;
            }
            world.now = at;
            world.step(event);
        }
        for index in 0..world.flows.len() {
            if !world.flows[index].ended {
                world.end(index, false, false);
            }
        }
        world.score
    }

    fn new(
        deployment: &Deployment,
        policy: &DispatchPolicy,
        shape: Shape,
        seconds: u64,
        rng: &mut ChaCha8Rng,
    ) -> Self {
        let zones = &deployment.manifest.zones;
        let entries: Vec<Entry> = (0..zones.len() * deployment.entries)
            .map(|index| Entry {
                zone: zones[index % zones.len()].clone(),
                addr: format!("entry-{index}"),
                up: true,
                dispatcher: Dispatcher::new(policy.clone()),
                poll: None,
                demand: IndexMap::new(),
            })
            .collect();
        let engine = |(.., resident): &(EndpointId, ZoneId, Vec<ModelId>)| {
            let adapters = resident.iter().filter(|id| deployment.manifest.adapters.contains_key(*id));
            Engine::new(deployment.hardware, adapters.cloned().collect())
        };
        let arrivals = shape.arrivals(deployment, seconds, rng);
        let flow = |arrival: crate::Arrival| {
            let zone = zones.iter().position(|zone| *zone == arrival.zone).unwrap_or(0);
            let origin = zone + zones.len() * rng.random_range(0..deployment.entries);
            Flow::new(arrival, origin)
        };
        let leaders = zones.iter().map(|zone| ZonePlacing::new(&deployment.manifest, zone));
        let leaders = leaders.filter(|_| deployment.rule == PlacementRule::Leaders).collect();
        let mut world = Self {
            now: Time::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            entries,
            engines: deployment.endpoints.iter().map(engine).collect(),
            flows: arrivals.into_iter().map(flow).collect(),
            lagged: IndexMap::new(),
            suspects: CrashReportSet::default(),
            leaders,
            score: Score::new((seconds - WARM_UP) as f64, deployment.endpoints.len() as u32),
            deployment: deployment.clone(),
        };
        for index in 0..world.flows.len() {
            world.at(world.flows[index].arrival.at, Event::Arrive(index));
        }
        world.after(VIEW, Event::View);
        world.after(REPORT, Event::Report);
        if shape == Shape::Faults {
            let second = |second| Time::ZERO + Duration::from_secs(second);
            world.at(second(20), Event::Crash(0));
            world.at(second(22), Event::Restart(0));
            world.at(second(35), Event::Zone(1, false));
            world.at(second(45), Event::Zone(1, true));
        }
        world
    }

    fn at(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.at(self.now + span, event);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(flow) => self.arrive(flow),
            Event::Hop(flow, attempt) => self.hop(flow, attempt),
            Event::Reach(flow, attempt) => self.reach(flow, attempt),
            Event::Engine(engine) => self.advance(engine),
            Event::Poll(entry) => self.poll(entry),
            Event::View => {
                self.place();
                self.publish();
                self.after(VIEW, Event::View);
            }
            Event::Report => {
                self.report();
                self.after(REPORT, Event::Report);
            }
            Event::Crash(engine) => self.crash(engine),
            Event::Restart(engine) => {
                self.engines[engine].restart();
                self.publish();
            }
            Event::Zone(zone, up) => self.zone(zone, up),
        }
    }

    fn arrive(&mut self, index: usize) {
        let origin = self.flows[index].origin;
        if !self.entries[origin].up {
            // The balancer sends callers to the entries of the next zone.
            let Some(other) = (1..self.entries.len())
                .map(|step| (origin + step) % self.entries.len())
                .find(|other| self.entries[*other].up)
            else {
                return self.end(index, false, false);
            };
            self.flows[index].origin = other;
        }
        self.demand(index).arrivals += 1;
        let ask = self.flows[index].ask(index, false);
        let entry = self.flows[index].origin;
        let decision = self.entries[entry].dispatcher.admit(ask, self.now);
        self.apply(index, decision);
    }

    fn hop(&mut self, index: usize, attempt: u32) {
        let flow = &self.flows[index];
        if flow.ended || flow.attempt != attempt {
            return;
        }
        let entry = flow.entry();
        if !self.entries[entry].up {
            return self.bounce(index, AttemptOutcome::NotRun);
        }
        let ask = flow.ask(index, true);
        let decision = self.entries[entry].dispatcher.admit(ask, self.now);
        self.apply(index, decision);
    }

    /// Returns a forwarded request to the entry of its caller.
    fn bounce(&mut self, index: usize, outcome: AttemptOutcome) {
        let flow = &mut self.flows[index];
        flow.hop = None;
        flow.attempt += 1;
        let origin = flow.origin;
        let dispatcher = &mut self.entries[origin].dispatcher;
        dispatcher.finished(RequestId(index as u64), outcome, None, self.now);
        let decision = dispatcher.retry(RequestId(index as u64), self.now);
        self.apply(index, decision);
    }

    fn apply(&mut self, index: usize, decision: Decision) {
        let entry = self.flows[index].entry();
        match decision {
            Decision::Send { endpoint, .. } => {
                let engine = self.deployment.endpoints.iter().position(|(id, ..)| *id == endpoint);
                let flow = &mut self.flows[index];
                flow.attempt += 1;
                flow.endpoint = engine;
                let attempt = flow.attempt;
                self.after(HOP, Event::Reach(index, attempt));
            }
            Decision::Forward { addr, .. } => {
                let flow = &mut self.flows[index];
                flow.attempt += 1;
                flow.hop = self.entries.iter().position(|entry| entry.addr == addr);
                let attempt = flow.attempt;
                self.after(HOP, Event::Hop(index, attempt));
            }
            Decision::Wait => {}
            Decision::Refuse { .. } if self.flows[index].hop.is_some() => {
                self.bounce(index, AttemptOutcome::NotRun);
            }
            Decision::Refuse { .. } => self.end(index, true, false),
        }
        self.plan_poll(entry);
    }

    fn plan_poll(&mut self, entry: usize) {
        let Some(due) = self.entries[entry].dispatcher.next_poll() else { return };
        let due = due.max(self.now);
        if self.entries[entry].poll.is_none_or(|planned| due < planned) {
            self.entries[entry].poll = Some(due);
            self.at(due, Event::Poll(entry));
        }
    }

    fn poll(&mut self, entry: usize) {
        if self.entries[entry].poll.is_none_or(|planned| planned > self.now) {
            return;
        }
        self.entries[entry].poll = None;
        if !self.entries[entry].up {
            return;
        }
        for (request, decision) in self.entries[entry].dispatcher.poll(self.now) {
            self.apply(request.0 as usize, decision);
        }
        self.plan_poll(entry);
    }

    fn reach(&mut self, index: usize, attempt: u32) {
        let flow = &self.flows[index];
        if flow.ended || flow.attempt != attempt {
            return;
        }
        let (entry, job) = (flow.entry(), flow.job(index));
        let Some(engine) = flow.endpoint else { return };
        let request = RequestId(index as u64);
        if !self.engines[engine].is_up() {
            let dispatcher = &mut self.entries[entry].dispatcher;
            dispatcher.finished(request, AttemptOutcome::NotRun, None, self.now);
            let decision = dispatcher.retry(request, self.now);
            return self.apply(index, decision);
        }
        self.entries[entry].dispatcher.sent(request, self.now);
        self.advance(engine);
        self.engines[engine].push(job);
        self.plan_engine(engine);
    }

    fn plan_engine(&mut self, engine: usize) {
        if let Some(next) = self.engines[engine].next() {
            self.at(next.max(self.now), Event::Engine(engine));
        }
    }

    fn advance(&mut self, engine: usize) {
        let outputs = self.engines[engine].advance(self.now);
        let load = self.engines[engine].load();
        for output in &outputs {
            match *output {
                Output::First(index) => {
                    let flow = &mut self.flows[index];
                    flow.first = Some(self.now);
                    flow.load = Some(load);
                    let entry = flow.entry();
                    self.entries[entry].dispatcher.first_token(RequestId(index as u64), self.now);
                }
                Output::Done(index) => self.done(index),
            }
        }
        if !outputs.is_empty() {
            self.plan_engine(engine);
        }
    }

    fn done(&mut self, index: usize) {
        let flow = &self.flows[index];
        let (entry, origin, load) = (flow.entry(), flow.origin, flow.load);
        let outcome = AttemptOutcome::Complete { tokens: Tokens(flow.arrival.tokens) };
        let request = RequestId(index as u64);
        self.entries[entry].dispatcher.finished(request, outcome, load, self.now);
        self.plan_poll(entry);
        if entry != origin {
            self.entries[origin].dispatcher.finished(request, outcome, None, self.now);
            self.plan_poll(origin);
        }
        self.end(index, false, true);
    }

    fn end(&mut self, index: usize, refused: bool, complete: bool) {
        self.demand(index).refusals += u32::from(refused);
        if complete {
            self.demand(index).tokens.0 += self.flows[index].arrival.tokens;
        }
        let flow = &mut self.flows[index];
        flow.ended = true;
        if flow.arrival.at < Time::ZERO + Duration::from_secs(WARM_UP) {
            return;
        }
        self.score.arrived += 1;
        self.score.refused += u64::from(refused);
        self.score.failed += u64::from(!refused && !complete);
        let Some(first) = flow.first.filter(|_| complete) else { return };
        let spec = &self.deployment.manifest.models[&flow.arrival.model];
        let to_first = first - flow.arrival.at;
        let gap = (self.now - first) / flow.arrival.tokens as u32;
        self.score.first.saturating_record(to_first.as_micros() as u64);
        self.score.gap.saturating_record(gap.as_micros() as u64);
        let met = to_first <= spec.first_token.duration() && gap <= spec.token_gap.duration();
        self.score.attained += u64::from(met);
    }

    fn crash(&mut self, engine: usize) {
        let incarnation = self.engines[engine].incarnation();
        let id = self.deployment.endpoints[engine].0.clone();
        let mut lost = self.engines[engine].crash();
        lost.retain(|index| !self.flows[*index].ended);
        for index in &lost {
            let entry = self.flows[*index].entry();
            let request = RequestId(*index as u64);
            self.entries[entry].dispatcher.finished(request, AttemptOutcome::Failed, None, self.now);
        }
        let mut entries: Vec<usize> = lost.iter().map(|index| self.flows[*index].entry()).collect();
        entries.sort_unstable();
        entries.dedup();
        for entry in entries {
            let report = self.entries[entry].dispatcher.crashed(&id, incarnation, self.now);
            self.suspects.add(report);
        }
        for index in lost {
            let entry = self.flows[index].entry();
            let decision = self.entries[entry].dispatcher.retry(RequestId(index as u64), self.now);
            self.apply(index, decision);
        }
    }

    fn zone(&mut self, zone: usize, up: bool) {
        let zone = self.deployment.manifest.zones[zone].clone();
        for index in 0..self.entries.len() {
            if self.entries[index].zone == zone {
                self.entries[index].up = up;
            }
        }
        if !up {
            for index in 0..self.flows.len() {
                let flow = &self.flows[index];
                let begun = flow.arrival.at <= self.now && !flow.ended;
                if begun && self.entries[flow.origin].zone == zone {
                    self.end(index, false, false);
                } else if begun && flow.hop.is_some_and(|hop| self.entries[hop].zone == zone) {
                    self.bounce(index, AttemptOutcome::Failed);
                }
            }
        }
        for engine in 0..self.engines.len() {
            if self.deployment.endpoints[engine].1 != zone {
                continue;
            }
            if up {
                self.after(RELOAD, Event::Restart(engine));
            } else {
                self.engines[engine].crash();
            }
        }
    }
}
