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
use crate::EngineOutput;
use crate::PlacementRule;
use crate::Score;
use crate::Shape;
use crate::placement::ZonePlacer;
use crate::request::RequestState;
use crate::shape::WARM_UP_SECONDS;

mod publish;

/// One-way latency between two processes.
const NETWORK_LATENCY: Duration = Duration::from_millis(1);
/// Interval at which entries receive views; each view shows the state one interval ago.
const VIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which entries report demand to the zone leaders.
const DEMAND_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Time from the recovery of a zone until its engines have loaded their models.
const RELOAD_TIME: Duration = Duration::from_secs(5);

/// Discrete-event simulation of the callers, entries and endpoints of a deployment under one policy.
#[derive(Debug)]
pub struct Simulation {
    deployment: Deployment,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    /// Number of events scheduled so far; orders events of the same time.
    sequence: u64,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    requests: Vec<RequestState>,
    /// State of each zone at the last publication, which the entries receive at the next one.
    previous_views: IndexMap<ZoneId, Arc<ZoneView>>,
    crash_reports: CrashReportSet,
    /// One leader per zone under [`PlacementRule::Leaders`], otherwise empty.
    leaders: Vec<ZonePlacer>,
    score: Score,
}

/// Entry of a zone with its dispatcher.
#[derive(Debug)]
struct Entry {
    zone: ZoneId,
    addr: String,
    up: bool,
    dispatcher: Dispatcher,
    /// Time of the earliest poll event that is scheduled.
    next_poll: Option<Time>,
    /// Demand since the last report.
    demand: IndexMap<ModelId, ModelDemand>,
}

/// Scheduled event; requests, entries, engines and zones are given by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at the entry of its caller.
    Arrive(usize),
    /// An attempt of a request reaches the entry that it was forwarded to.
    ReachEntry(usize, u32),
    /// An attempt of a request reaches the engine that it was sent to.
    ReachEngine(usize, u32),
    /// The next output of an engine is due.
    EngineDue(usize),
    /// The dispatcher of an entry is due to be polled.
    Poll(usize),
    PublishViews,
    ReportDemand,
    Crash(usize),
    Restart(usize),
    /// A zone fails (`false`) or recovers (`true`).
    SetZoneUp(usize, bool),
}

impl Simulation {
    /// Simulates a shape with arrivals for the given number of seconds and returns the score.
    ///
    /// Requests that have not ended 30 s after that time count as failed. Equal seeds give equal scores.
    pub fn run(
        deployment: &Deployment,
        policy: &DispatchPolicy,
        shape: Shape,
        seconds: u64,
        seed: u64,
    ) -> Score {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut simulation = Self::new(deployment, policy, shape, seconds, &mut rng);
        // Entries receive the state of the previous publication, so the first state needs two calls.
        simulation.publish_views();
        simulation.publish_views();
        let end = Time::ZERO + Duration::from_secs(seconds + 30);
        while let Some(Reverse((at, _, event))) = simulation.events.pop() {
            if at > end {
                break;
            }
            simulation.now = at;
            simulation.handle(event);
        }
        for index in 0..simulation.requests.len() {
            if !simulation.requests[index].ended {
                simulation.end_request(index, false, false);
            }
        }
        simulation.score
    }

    fn new(
        deployment: &Deployment,
        policy: &DispatchPolicy,
        shape: Shape,
        seconds: u64,
        rng: &mut ChaCha8Rng,
    ) -> Self {
        let zones = &deployment.manifest.zones;
        let entries: Vec<Entry> = (0..zones.len() * deployment.zone_entries)
            .map(|index| Entry {
                zone: zones[index % zones.len()].clone(),
                addr: format!("entry-{index}"),
                up: true,
                dispatcher: Dispatcher::new(policy.clone()),
                next_poll: None,
                demand: IndexMap::new(),
            })
            .collect();
        let engine = |(.., resident): &(EndpointId, ZoneId, Vec<ModelId>)| {
            let adapters = resident.iter().filter(|id| deployment.manifest.adapters.contains_key(*id));
            Engine::new(deployment.hardware, adapters.cloned().collect())
        };
        let arrivals = shape.arrivals(deployment, seconds, rng);
        let request = |arrival: crate::Arrival| {
            let zone = zones.iter().position(|zone| *zone == arrival.zone).unwrap_or(0);
            let origin = zone + zones.len() * rng.random_range(0..deployment.zone_entries);
            RequestState::new(arrival, origin)
        };
        let leaders = zones.iter().map(|zone| ZonePlacer::new(&deployment.manifest, zone));
        let leaders = leaders.filter(|_| deployment.placement_rule == PlacementRule::Leaders).collect();
        let mut simulation = Self {
            now: Time::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            entries,
            engines: deployment.endpoints.iter().map(engine).collect(),
            requests: arrivals.into_iter().map(request).collect(),
            previous_views: IndexMap::new(),
            crash_reports: CrashReportSet::default(),
            leaders,
            score: Score::new((seconds - WARM_UP_SECONDS) as f64, deployment.endpoints.len() as u32),
            deployment: deployment.clone(),
        };
        for index in 0..simulation.requests.len() {
            simulation.schedule_at(simulation.requests[index].arrival.at, Event::Arrive(index));
        }
        simulation.schedule_after(VIEW_INTERVAL, Event::PublishViews);
        simulation.schedule_after(DEMAND_REPORT_INTERVAL, Event::ReportDemand);
        if shape == Shape::Faults {
            let second = |second| Time::ZERO + Duration::from_secs(second);
            simulation.schedule_at(second(20), Event::Crash(0));
            simulation.schedule_at(second(22), Event::Restart(0));
            simulation.schedule_at(second(35), Event::SetZoneUp(1, false));
            simulation.schedule_at(second(45), Event::SetZoneUp(1, true));
        }
        simulation
    }

    fn schedule_at(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::ReachEntry(index, attempt) => self.reach_entry(index, attempt),
            Event::ReachEngine(index, attempt) => self.reach_engine(index, attempt),
            Event::EngineDue(engine) => self.advance_engine(engine),
            Event::Poll(entry) => self.poll(entry),
            Event::PublishViews => {
                self.run_leaders();
                self.publish_views();
                self.schedule_after(VIEW_INTERVAL, Event::PublishViews);
            }
            Event::ReportDemand => {
                self.report_demand();
                self.schedule_after(DEMAND_REPORT_INTERVAL, Event::ReportDemand);
            }
            Event::Crash(engine) => self.crash_engine(engine),
            Event::Restart(engine) => {
                self.engines[engine].restart();
                self.publish_views();
            }
            Event::SetZoneUp(zone, up) => self.set_zone_up(zone, up),
        }
    }

    fn arrive(&mut self, index: usize) {
        let origin = self.requests[index].origin;
        if !self.entries[origin].up {
            // The load balancer sends callers to the entries of the next zone that has a live one.
            let Some(other) = (1..self.entries.len())
                .map(|offset| (origin + offset) % self.entries.len())
                .find(|other| self.entries[*other].up)
            else {
                return self.end_request(index, false, false);
            };
            self.requests[index].origin = other;
        }
        self.demand_mut(index).arrivals += 1;
        let info = self.requests[index].info(index, false);
        let entry = self.requests[index].origin;
        let decision = self.entries[entry].dispatcher.admit(info, self.now);
        self.apply(index, decision);
    }

    fn reach_entry(&mut self, index: usize, attempt: u32) {
        let request = &self.requests[index];
        if request.ended || request.attempt != attempt {
            return;
        }
        let entry = request.deciding_entry();
        if !self.entries[entry].up {
            return self.return_to_origin(index, AttemptOutcome::NotRun);
        }
        let info = request.info(index, true);
        let decision = self.entries[entry].dispatcher.admit(info, self.now);
        self.apply(index, decision);
    }

    /// Returns a forwarded request to its caller's entry, which records the outcome and decides on a retry.
    fn return_to_origin(&mut self, index: usize, outcome: AttemptOutcome) {
        let request = &mut self.requests[index];
        request.forwarded_to = None;
        request.attempt += 1;
        let origin = request.origin;
        let dispatcher = &mut self.entries[origin].dispatcher;
        dispatcher.record_finished(RequestId(index as u64), outcome, None, self.now);
        let decision = dispatcher.retry(RequestId(index as u64), self.now);
        self.apply(index, decision);
    }

    /// Carries out the decision of the entry that currently dispatches the request.
    fn apply(&mut self, index: usize, decision: Decision) {
        let entry = self.requests[index].deciding_entry();
        match decision {
            Decision::Send { endpoint, .. } => {
                let engine = self.deployment.endpoints.iter().position(|(id, ..)| *id == endpoint);
                let request = &mut self.requests[index];
                request.attempt += 1;
                request.engine = engine;
                let attempt = request.attempt;
                self.schedule_after(NETWORK_LATENCY, Event::ReachEngine(index, attempt));
            }
            Decision::Forward { addr, .. } => {
                let request = &mut self.requests[index];
                request.attempt += 1;
                request.forwarded_to = self.entries.iter().position(|entry| entry.addr == addr);
                let attempt = request.attempt;
                self.schedule_after(NETWORK_LATENCY, Event::ReachEntry(index, attempt));
            }
            Decision::Wait => {}
            Decision::Refuse { .. } if self.requests[index].forwarded_to.is_some() => {
                self.return_to_origin(index, AttemptOutcome::NotRun);
            }
            Decision::Refuse { .. } => self.end_request(index, true, false),
        }
        self.schedule_poll(entry);
    }

    /// Schedules the next poll of an entry, unless an earlier or equal one is already scheduled.
    fn schedule_poll(&mut self, entry: usize) {
        let Some(due) = self.entries[entry].dispatcher.next_poll() else { return };
        let due = due.max(self.now);
        if self.entries[entry].next_poll.is_none_or(|planned| due < planned) {
            self.entries[entry].next_poll = Some(due);
            self.schedule_at(due, Event::Poll(entry));
        }
    }

    fn poll(&mut self, entry: usize) {
        if self.entries[entry].next_poll.is_none_or(|planned| planned > self.now) {
            return;
        }
        self.entries[entry].next_poll = None;
        if !self.entries[entry].up {
            return;
        }
        for (id, decision) in self.entries[entry].dispatcher.poll(self.now) {
            self.apply(id.0 as usize, decision);
        }
        self.schedule_poll(entry);
    }

    fn reach_engine(&mut self, index: usize, attempt: u32) {
        let request = &self.requests[index];
        if request.ended || request.attempt != attempt {
            return;
        }
        let (entry, job) = (request.deciding_entry(), request.job(index));
        let Some(engine) = request.engine else { return };
        let id = RequestId(index as u64);
        if !self.engines[engine].is_up() {
            let dispatcher = &mut self.entries[entry].dispatcher;
            dispatcher.record_finished(id, AttemptOutcome::NotRun, None, self.now);
            let decision = dispatcher.retry(id, self.now);
            return self.apply(index, decision);
        }
        self.entries[entry].dispatcher.record_sent(id, self.now);
        self.advance_engine(engine);
        self.engines[engine].enqueue(job);
        self.schedule_engine(engine);
    }

    fn schedule_engine(&mut self, engine: usize) {
        if let Some(next) = self.engines[engine].next_event() {
            self.schedule_at(next.max(self.now), Event::EngineDue(engine));
        }
    }

    fn advance_engine(&mut self, engine: usize) {
        let outputs = self.engines[engine].advance(self.now);
        let load = self.engines[engine].load();
        for output in &outputs {
            match *output {
                EngineOutput::FirstToken(index) => {
                    let request = &mut self.requests[index];
                    request.first_token = Some(self.now);
                    request.engine_load = Some(load);
                    let entry = request.deciding_entry();
                    self.entries[entry].dispatcher.record_first_token(RequestId(index as u64), self.now);
                }
                EngineOutput::Done(index) => self.finish_request(index),
            }
        }
        if !outputs.is_empty() {
            self.schedule_engine(engine);
        }
    }

    fn finish_request(&mut self, index: usize) {
        let request = &self.requests[index];
        let (entry, origin, load) = (request.deciding_entry(), request.origin, request.engine_load);
        let outcome = AttemptOutcome::Complete { tokens: Tokens(request.arrival.output_tokens) };
        let id = RequestId(index as u64);
        self.entries[entry].dispatcher.record_finished(id, outcome, load, self.now);
        self.schedule_poll(entry);
        if entry != origin {
            self.entries[origin].dispatcher.record_finished(id, outcome, None, self.now);
            self.schedule_poll(origin);
        }
        self.end_request(index, false, true);
    }

    /// Marks a request as ended and adds it to the demand and, after the warm-up, to the score.
    fn end_request(&mut self, index: usize, refused: bool, complete: bool) {
        self.demand_mut(index).refusals += u32::from(refused);
        if complete {
            self.demand_mut(index).tokens.0 += self.requests[index].arrival.output_tokens;
        }
        let request = &mut self.requests[index];
        request.ended = true;
        if request.arrival.at < Time::ZERO + Duration::from_secs(WARM_UP_SECONDS) {
            return;
        }
        self.score.arrived += 1;
        self.score.refused += u64::from(refused);
        self.score.failed += u64::from(!refused && !complete);
        let Some(first_token) = request.first_token.filter(|_| complete) else { return };
        let spec = &self.deployment.manifest.models[&request.arrival.model];
        let time_to_first = first_token - request.arrival.at;
        let token_gap = (self.now - first_token) / request.arrival.output_tokens as u32;
        self.score.first_token.saturating_record(time_to_first.as_micros() as u64);
        self.score.token_gap.saturating_record(token_gap.as_micros() as u64);
        let met = time_to_first <= spec.first_token.duration() && token_gap <= spec.token_gap.duration();
        self.score.attained += u64::from(met);
    }

    /// Crashes an engine; the entries report the crash and decide on a retry of the lost requests.
    fn crash_engine(&mut self, engine: usize) {
        let incarnation = self.engines[engine].incarnation();
        let endpoint = self.deployment.endpoints[engine].0.clone();
        let mut lost = self.engines[engine].crash();
        lost.retain(|index| !self.requests[*index].ended);
        for index in &lost {
            let entry = self.requests[*index].deciding_entry();
            let id = RequestId(*index as u64);
            self.entries[entry].dispatcher.record_finished(id, AttemptOutcome::Failed, None, self.now);
        }
        let mut entries: Vec<usize> =
            lost.iter().map(|index| self.requests[*index].deciding_entry()).collect();
        entries.sort_unstable();
        entries.dedup();
        for entry in entries {
            let report = self.entries[entry].dispatcher.record_crash(&endpoint, incarnation, self.now);
            self.crash_reports.add(report);
        }
        for index in lost {
            let entry = self.requests[index].deciding_entry();
            let decision = self.entries[entry].dispatcher.retry(RequestId(index as u64), self.now);
            self.apply(index, decision);
        }
    }

    /// Fails or restores the entries and engines of a zone; restored engines restart after [`RELOAD_TIME`].
    fn set_zone_up(&mut self, zone: usize, up: bool) {
        let zone = self.deployment.manifest.zones[zone].clone();
        for index in 0..self.entries.len() {
            if self.entries[index].zone == zone {
                self.entries[index].up = up;
            }
        }
        if !up {
            for index in 0..self.requests.len() {
                let request = &self.requests[index];
                let in_flight = request.arrival.at <= self.now && !request.ended;
                if in_flight && self.entries[request.origin].zone == zone {
                    self.end_request(index, false, false);
                } else if in_flight
                    && request.forwarded_to.is_some_and(|entry| self.entries[entry].zone == zone)
                {
                    self.return_to_origin(index, AttemptOutcome::Failed);
                }
            }
        }
        for engine in 0..self.engines.len() {
            if self.deployment.endpoints[engine].1 != zone {
                continue;
            }
            if up {
                self.schedule_after(RELOAD_TIME, Event::Restart(engine));
            } else {
                self.engines[engine].crash();
            }
        }
    }
}
