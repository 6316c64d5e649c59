use std::time::Duration;

use carobwick_core::Decision;
use carobwick_core::DrainTarget;
use carobwick_core::EndpointId;
use carobwick_core::Fingerprint;
use carobwick_core::RefusalCode;
use carobwick_core::RequestId;
use carobwick_core::Time;
use carobwick_core::WriteId;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Report;
use crate::quarantine_scene::Kind;
use crate::quarantine_scene::Message;
use crate::quarantine_scene::Request;
use crate::quarantine_scene::Scene;

/// Endpoints that one request may cost, per entry that it is sent through: one before it is suspected, and one as a
/// suspect before the reports of the others arrive.
const LOST_PER_ENTRY: usize = 2;
/// Endpoints that it may cost beyond that, after it was held: other requests of its crashes never came back, so that
/// the first crashes don't prove its guilt.
const LOST_LATER: usize = 2;
/// Probability per step of a crash without a cause.
const RANDOM_CRASH: f64 = 0.001;
const DRAIN: f64 = 0.003;
const STEP: Duration = Duration::from_millis(20);

/// Runs a seed for a number of steps.
///
/// Several entries share endpoints and exchange crash reports with delay. One or two requests crash every endpoint
/// that runs them and are resent through all entries.
pub(crate) fn run(seed: u64, steps: u64) -> Report {
    let mut run = Run {
        rng: ChaCha8Rng::seed_from_u64(seed),
        scene: Scene::default(),
        report: Report::default(),
        now: Time::ZERO,
        next: 0,
    };
    let entries = run.rng.random_range(2..=4);
    let endpoints = run.rng.random_range(6..=10);
    let poisons = run.rng.random_range(1..=2);
    run.scene = Scene::new(entries, endpoints, poisons);
    for step in 0..steps {
        run.now = run.now + STEP;
        run.step();
        run.report.steps = step + 1;
        if !run.report.violations.is_empty() {
            break;
        }
    }
    run.report
}

struct Run {
    rng: ChaCha8Rng,
    scene: Scene,
    report: Report,
    now: Time,
    next: u64,
}

impl Run {
    fn step(&mut self) {
        self.faults();
        self.deliver();
        self.restarts();
        self.endings();
        self.arrivals();
        self.retries();
        for entry in 0..self.scene.entries.len() {
            let due = self.scene.entries[entry].dispatcher.next_poll().is_some_and(|due| due <= self.now);
            if due {
                for (request, decision) in self.scene.entries[entry].dispatcher.poll(self.now) {
                    self.apply(request, decision);
                }
            }
            for report in self.scene.entries[entry].dispatcher.take_crash_reports() {
                self.spread(entry, &Message::Crash(report));
            }
        }
    }

    fn faults(&mut self) {
        if self.rng.random_bool(RANDOM_CRASH) {
            let endpoint = self.rng.random_range(0..self.scene.endpoints.len());
            if self.scene.endpoints[endpoint].up {
                self.crash(endpoint, None);
            }
        }
        if self.rng.random_bool(DRAIN) {
            let endpoint = self.rng.random_range(0..self.scene.endpoints.len());
            let target = DrainTarget::Endpoint(self.scene.endpoints[endpoint].id.clone());
            // At most a third of the endpoints is drained, so that the others can carry the load.
            let drained = self.scene.drains.marks().filter(|(_, mark)| mark.drained).count();
            let drain = !self.scene.drains.is_drained(&target) && drained < self.scene.endpoints.len() / 3;
            self.scene.drains.set(target, drain, WriteId(self.next));
            self.report.faults += 1;
            self.trace(format!("{} drained: {drain}", self.scene.endpoints[endpoint].id));
            let drains = self.scene.drains.clone();
            let origin = self.rng.random_range(0..self.scene.entries.len());
            self.spread(origin, &Message::Drains(drains));
        }
    }

    /// Sends news to all entries; the own one learns it at once.
    fn spread(&mut self, origin: usize, message: &Message) {
        for entry in 0..self.scene.entries.len() {
            let delay = if entry == origin { 0 } else { self.rng.random_range(100..2_000) };
            let at = self.now + Duration::from_millis(delay);
            self.scene.messages.push((at, entry, message.clone()));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.scene.messages.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, entry, message) in due {
            if let Message::Noticed(endpoint, incarnation) = &message {
                let report = self.scene.entries[entry].dispatcher.crashed(endpoint, *incarnation, now);
                self.trace(format!("entry {entry}: {endpoint} crashed with {}", report.fingerprints.len()));
            }
            self.scene.learn(entry, message);
        }
    }

    fn restarts(&mut self) {
        for endpoint in 0..self.scene.endpoints.len() {
            let known = &mut self.scene.endpoints[endpoint];
            if !known.up && known.restart <= self.now {
                known.up = true;
                known.incarnation.0 += 1;
                let view = self.scene.view();
                self.spread(0, &Message::View(view));
            }
        }
    }

    fn endings(&mut self) {
        let now = self.now;
        let running =
            self.scene.requests.values().filter(|request| request.end.is_some_and(|end| end <= now));
        let ended: Vec<RequestId> = running.map(|request| request.id).collect();
        for id in ended {
            let Some(request) = self.scene.requests.get(&id) else { continue };
            // A crash in this step may have ended it already.
            let Some(endpoint) = request.endpoint else { continue };
            match request.kind {
                Kind::Harmless { .. } => self.scene.complete(id, now),
                Kind::Poison(poison) => self.crash(endpoint, Some(poison)),
            }
        }
    }

    fn crash(&mut self, endpoint: usize, poison: Option<usize>) {
        self.report.faults += 1;
        let down = Duration::from_millis(self.rng.random_range(500..4_000));
        let known = &mut self.scene.endpoints[endpoint];
        known.up = false;
        known.restart = self.now + down;
        let (id, incarnation) = (known.id.clone(), known.incarnation);
        self.trace(format!("{id} ends by {poison:?}"));
        if let Some(poison) = poison {
            self.scene.lost[poison] += 1;
            let bound = self.scene.entries.len() * LOST_PER_ENTRY + LOST_LATER;
            if self.scene.lost[poison] > bound {
                self.violation(&format!("more than {bound} endpoints lost to one request"));
            }
        }
        let on_it: Vec<RequestId> = self
            .scene
            .requests
            .values()
            .filter(|request| request.endpoint == Some(endpoint))
            .map(|r| r.id)
            .collect();
        for request in on_it {
            self.scene.fail(request, poison.is_none(), self.now);
            let delay = Duration::from_millis(self.rng.random_range(0..60));
            self.scene.retries.push((self.now + delay, request));
        }
        for entry in 0..self.scene.entries.len() {
            // An entry learns of a crash when it probes the endpoint after a connection broke.
            let at = self.now + Duration::from_millis(self.rng.random_range(20..1_500));
            self.scene.messages.push((at, entry, Message::Noticed(id.clone(), incarnation)));
        }
        let view = self.scene.view();
        self.spread(0, &Message::View(view));
    }

    fn arrivals(&mut self) {
        let entries = self.scene.entries.len();
        if self.rng.random_bool(0.6) {
            let kind = Kind::Harmless { crashes: 0 };
            let fingerprint = Fingerprint(1_000 + self.next);
            let entry = self.rng.random_range(0..entries);
            self.admit(entry, kind, fingerprint);
        }
        for poison in 0..self.scene.lost.len() {
            if self.scene.resend[poison] <= self.now {
                let delay = self.rng.random_range(20..1_500);
                self.scene.resend[poison] = self.now + Duration::from_millis(delay);
                self.scene.through[poison] += 1;
                let entry = (self.scene.through[poison] + poison) % entries;
                self.admit(entry, Kind::Poison(poison), Fingerprint(poison as u64));
            }
        }
        let now = self.now;
        let due: Vec<_> = self.scene.returning.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, kind, fingerprint) in due {
            let entry = self.rng.random_range(0..entries);
            self.admit(entry, kind, fingerprint);
        }
    }

    fn admit(&mut self, entry: usize, kind: Kind, fingerprint: Fingerprint) {
        self.next += 1;
        let id = RequestId(self.next);
        let prefix = self.rng.random_range(0..4);
        let request = Request { id, entry, kind, fingerprint, endpoint: None, end: None };
        self.scene.requests.insert(id, request);
        let ask = Scene::ask(id, fingerprint, prefix);
        let decision = self.scene.entries[entry].dispatcher.admit(ask, self.now);
        self.apply(id, decision);
    }

    fn retries(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.scene.retries.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, id) in due {
            let Some(request) = self.scene.requests.get(&id) else { continue };
            let decision = self.scene.entries[request.entry].dispatcher.retry(id, now);
            self.apply(id, decision);
        }
    }

    fn apply(&mut self, id: RequestId, decision: Decision) {
        match decision {
            Decision::Send { endpoint, .. } => self.send(id, &endpoint),
            Decision::Refuse { code, .. } => self.refused(id, code),
            Decision::Wait | Decision::Forward { .. } => {}
        }
    }

    fn send(&mut self, id: RequestId, endpoint: &EndpointId) {
        let Some(request) = self.scene.requests.get(&id).copied() else { return };
        let entry = request.entry;
        if self.scene.entries[entry].drains.is_drained(&DrainTarget::Endpoint(endpoint.clone())) {
            self.violation(&format!("entry {entry} sends to {endpoint}, which it knows to be drained"));
        }
        let took = match request.kind {
            Kind::Poison(_) => self.rng.random_range(20..400),
            Kind::Harmless { .. } => self.rng.random_range(100..3_000),
        };
        let Some(index) = self.scene.endpoints.iter().position(|known| known.id == *endpoint) else { return };
        if !self.scene.endpoints[index].up {
            self.scene.not_run(id, self.now);
            self.scene.retries.push((self.now + STEP, id));
            return;
        }
        self.scene.start(id, index, self.now + Duration::from_millis(took), self.now);
    }

    fn refused(&mut self, id: RequestId, code: RefusalCode) {
        let Some(request) = self.scene.requests.swap_remove(&id) else { return };
        let Kind::Harmless { crashes } = request.kind else {
            let line = format!("poison {} refused by entry {}: {code}", request.fingerprint, request.entry);
            self.trace(line);
            return;
        };
        // A request that was on two endpoints which ended by themselves can't be told from a cause.
        if code == RefusalCode::CrashesEndpoint && crashes < 2 {
            self.violation(&format!("harmless {} refused as a suspect", request.fingerprint));
        }
        // Most callers come back; those that don't leave their request under suspicion.
        if self.rng.random_bool(0.8) {
            let at = self.now + Duration::from_millis(self.rng.random_range(100..2_000));
            self.scene.returning.push((at, request.kind, request.fingerprint));
        }
    }

    fn violation(&mut self, text: &str) {
        self.trace(format!("violation: {text}"));
        self.report.violations.push(format!("{} ms: {text}", self.now.millis()));
    }

    fn trace(&mut self, line: impl std::fmt::Display) {
        self.report.trace.add(format!("{:>7} {line}", self.now.millis()));
    }
}
