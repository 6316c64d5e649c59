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
use crate::quarantine_cluster::Cluster;
use crate::quarantine_cluster::Message;
use crate::quarantine_cluster::Request;
use crate::quarantine_cluster::RequestKind;

/// Endpoints that one request may crash per entry that it is sent through: one before it is a suspect, and
/// one as a suspect before the crash reports of the other entries arrive.
const MAX_LOST_PER_ENTRY: usize = 2;
/// Endpoints that it may crash in addition after its hold time. If other requests of its first crashes are
/// never sent again, they remain possible causes, so that these crashes don't convict it.
const MAX_LOST_LATER: usize = 2;
/// Probability per step of a crash that no request causes.
const CRASH_PROBABILITY: f64 = 0.001;
/// Probability per step that an endpoint is drained or a drain ends.
const DRAIN_PROBABILITY: f64 = 0.003;
const STEP: Duration = Duration::from_millis(20);

/// Runs a seed for a number of steps of 20 ms of virtual time, or until the first violation.
///
/// Several entries share endpoints and exchange crash reports with a delay. One or two requests crash every
/// endpoint that executes them and are sent again and again through all entries.
pub(crate) fn run(seed: u64, steps: u64) -> Report {
    let mut simulation = Simulation {
        rng: ChaCha8Rng::seed_from_u64(seed),
        cluster: Cluster::default(),
        report: Report::default(),
        now: Time::ZERO,
        last_id: 0,
    };
    let entries = simulation.rng.random_range(2..=4);
    let endpoints = simulation.rng.random_range(6..=10);
    let crashing_requests = simulation.rng.random_range(1..=2);
    simulation.cluster = Cluster::new(entries, endpoints, crashing_requests);
    for step in 0..steps {
        simulation.now = simulation.now + STEP;
        simulation.step();
        simulation.report.steps = step + 1;
        if !simulation.report.violations.is_empty() {
            break;
        }
    }
    simulation.report
}

struct Simulation {
    rng: ChaCha8Rng,
    cluster: Cluster,
    report: Report,
    now: Time,
    last_id: u64,
}

impl Simulation {
    fn step(&mut self) {
        self.inject_faults();
        self.deliver_messages();
        self.restart_endpoints();
        self.end_attempts();
        self.add_arrivals();
        self.send_retries();
        for entry in 0..self.cluster.entries.len() {
            let due = self.cluster.entries[entry].dispatcher.next_poll().is_some_and(|due| due <= self.now);
            if due {
                for (request, decision) in self.cluster.entries[entry].dispatcher.poll(self.now) {
                    self.apply_decision(request, decision);
                }
            }
            for report in self.cluster.entries[entry].dispatcher.take_crash_reports() {
                self.broadcast(entry, &Message::Crash(report));
            }
        }
    }

    fn inject_faults(&mut self) {
        if self.rng.random_bool(CRASH_PROBABILITY) {
            let endpoint = self.rng.random_range(0..self.cluster.endpoints.len());
            if self.cluster.endpoints[endpoint].up {
                self.crash(endpoint, None);
            }
        }
        if self.rng.random_bool(DRAIN_PROBABILITY) {
            let endpoint = self.rng.random_range(0..self.cluster.endpoints.len());
            let target = DrainTarget::Endpoint(self.cluster.endpoints[endpoint].id.clone());
            // At most a third of the endpoints are drained, so that the others can carry the load.
            let drained = self.cluster.drains.marks().filter(|(_, mark)| mark.drained).count();
            let drain =
                !self.cluster.drains.is_drained(&target) && drained < self.cluster.endpoints.len() / 3;
            self.cluster.drains.set(target, drain, WriteId(self.last_id));
            self.report.faults += 1;
            self.trace(format!("{} drained: {drain}", self.cluster.endpoints[endpoint].id));
            let drains = self.cluster.drains.clone();
            let origin = self.rng.random_range(0..self.cluster.entries.len());
            self.broadcast(origin, &Message::Drains(drains));
        }
    }

    /// Sends a message to all entries; `origin` receives it without delay.
    fn broadcast(&mut self, origin: usize, message: &Message) {
        for entry in 0..self.cluster.entries.len() {
            let delay = if entry == origin { 0 } else { self.rng.random_range(100..2_000) };
            let at = self.now + Duration::from_millis(delay);
            self.cluster.messages.push((at, entry, message.clone()));
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.cluster.messages.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, entry, message) in due {
            if let Message::CrashDetected(endpoint, incarnation) = &message {
                let report = self.cluster.entries[entry].dispatcher.record_crash(endpoint, *incarnation, now);
                self.trace(format!("entry {entry}: {endpoint} crashed with {}", report.fingerprints.len()));
            }
            self.cluster.receive(entry, message);
        }
    }

    fn restart_endpoints(&mut self) {
        for endpoint in 0..self.cluster.endpoints.len() {
            let process = &mut self.cluster.endpoints[endpoint];
            if !process.up && process.restart_at <= self.now {
                process.up = true;
                process.incarnation.0 += 1;
                let view = self.cluster.view();
                self.broadcast(0, &Message::View(view));
            }
        }
    }

    fn end_attempts(&mut self) {
        let now = self.now;
        let running = self
            .cluster
            .requests
            .values()
            .filter(|request| request.ends_at.is_some_and(|ends_at| ends_at <= now));
        let ended: Vec<RequestId> = running.map(|request| request.id).collect();
        for id in ended {
            let Some(request) = self.cluster.requests.get(&id) else { continue };
            // A crash in this step may already have ended the attempt.
            let Some(endpoint) = request.endpoint else { continue };
            match request.kind {
                RequestKind::Harmless { .. } => self.cluster.complete(id, now),
                RequestKind::Crashing(cause) => self.crash(endpoint, Some(cause)),
            }
        }
    }

    fn crash(&mut self, endpoint: usize, cause: Option<usize>) {
        self.report.faults += 1;
        let down = Duration::from_millis(self.rng.random_range(500..4_000));
        let process = &mut self.cluster.endpoints[endpoint];
        process.up = false;
        process.restart_at = self.now + down;
        let (id, incarnation) = (process.id.clone(), process.incarnation);
        self.trace(format!("{id} crashes, cause {cause:?}"));
        if let Some(cause) = cause {
            self.cluster.lost_endpoints[cause] += 1;
            let bound = self.cluster.entries.len() * MAX_LOST_PER_ENTRY + MAX_LOST_LATER;
            if self.cluster.lost_endpoints[cause] > bound {
                self.record_violation(&format!("one request crashed more than {bound} endpoints"));
            }
        }
        let affected: Vec<RequestId> = self
            .cluster
            .requests
            .values()
            .filter(|request| request.endpoint == Some(endpoint))
            .map(|r| r.id)
            .collect();
        for request in affected {
            self.cluster.fail(request, cause.is_none(), self.now);
            let delay = Duration::from_millis(self.rng.random_range(0..60));
            self.cluster.retries.push((self.now + delay, request));
        }
        for entry in 0..self.cluster.entries.len() {
            // An entry detects a crash when it probes the endpoint after losing a connection.
            let at = self.now + Duration::from_millis(self.rng.random_range(20..1_500));
            self.cluster.messages.push((at, entry, Message::CrashDetected(id.clone(), incarnation)));
        }
        let view = self.cluster.view();
        self.broadcast(0, &Message::View(view));
    }

    fn add_arrivals(&mut self) {
        let entries = self.cluster.entries.len();
        if self.rng.random_bool(0.6) {
            let kind = RequestKind::Harmless { crashes: 0 };
            let fingerprint = Fingerprint(1_000 + self.last_id);
            let entry = self.rng.random_range(0..entries);
            self.admit(entry, kind, fingerprint);
        }
        for cause in 0..self.cluster.lost_endpoints.len() {
            if self.cluster.resend_at[cause] <= self.now {
                let delay = self.rng.random_range(20..1_500);
                self.cluster.resend_at[cause] = self.now + Duration::from_millis(delay);
                self.cluster.sent_count[cause] += 1;
                let entry = (self.cluster.sent_count[cause] + cause) % entries;
                self.admit(entry, RequestKind::Crashing(cause), Fingerprint(cause as u64));
            }
        }
        let now = self.now;
        let due: Vec<_> = self.cluster.resubmissions.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, kind, fingerprint) in due {
            let entry = self.rng.random_range(0..entries);
            self.admit(entry, kind, fingerprint);
        }
    }

    fn admit(&mut self, entry: usize, kind: RequestKind, fingerprint: Fingerprint) {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let prefix = self.rng.random_range(0..4);
        let request = Request { id, entry, kind, fingerprint, endpoint: None, ends_at: None };
        self.cluster.requests.insert(id, request);
        let request_spec = Cluster::request_spec(id, fingerprint, prefix);
        let decision = self.cluster.entries[entry].dispatcher.admit(request_spec, self.now);
        self.apply_decision(id, decision);
    }

    fn send_retries(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.cluster.retries.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, id) in due {
            let Some(request) = self.cluster.requests.get(&id) else { continue };
            let decision = self.cluster.entries[request.entry].dispatcher.retry(id, now);
            self.apply_decision(id, decision);
        }
    }

    fn apply_decision(&mut self, id: RequestId, decision: Decision) {
        match decision {
            Decision::Send { endpoint, .. } => self.send(id, &endpoint),
            Decision::Refuse { code, .. } => self.on_refused(id, code),
            Decision::Wait | Decision::Forward { .. } => {}
        }
    }

    fn send(&mut self, id: RequestId, endpoint: &EndpointId) {
        let Some(request) = self.cluster.requests.get(&id).copied() else { return };
        let entry = request.entry;
        if self.cluster.entries[entry].drains.is_drained(&DrainTarget::Endpoint(endpoint.clone())) {
            self.record_violation(&format!(
                "entry {entry} sends to {endpoint}, which is drained in its own view"
            ));
        }
        let duration = match request.kind {
            RequestKind::Crashing(_) => self.rng.random_range(20..400),
            RequestKind::Harmless { .. } => self.rng.random_range(100..3_000),
        };
        let Some(index) = self.cluster.endpoints.iter().position(|found| found.id == *endpoint) else {
            return;
        };
        if !self.cluster.endpoints[index].up {
            self.cluster.not_run(id, self.now);
            self.cluster.retries.push((self.now + STEP, id));
            return;
        }
        self.cluster.start(id, index, self.now + Duration::from_millis(duration), self.now);
    }

    fn on_refused(&mut self, id: RequestId, code: RefusalCode) {
        let Some(request) = self.cluster.requests.swap_remove(&id) else { return };
        let RequestKind::Harmless { crashes } = request.kind else {
            let line = format!(
                "crashing request {} refused by entry {}: {code}",
                request.fingerprint, request.entry
            );
            self.trace(line);
            return;
        };
        // A request that was on two endpoints which crashed without a cause can't be told from one that
        // crashes them.
        if code == RefusalCode::CrashesEndpoint && crashes < 2 {
            self.record_violation(&format!(
                "harmless request {} refused as the cause of crashes",
                request.fingerprint
            ));
        }
        // Most callers send their request again; otherwise it stays a possible cause of the crashes.
        if self.rng.random_bool(0.8) {
            let at = self.now + Duration::from_millis(self.rng.random_range(100..2_000));
            self.cluster.resubmissions.push((at, request.kind, request.fingerprint));
        }
    }

    fn record_violation(&mut self, text: &str) {
        self.trace(format!("violation: {text}"));
        self.report.violations.push(format!("{} ms: {text}", self.now.millis()));
    }

    fn trace(&mut self, line: impl std::fmt::Display) {
        self.report.trace.add(format!("{:>7} {line}", self.now.millis()));
    }
}
