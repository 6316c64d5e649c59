//! Simulation of `Delivery` and `KeyedRequest`.
//!
//! Callers send keyed requests again to several entries. The endpoints and the key-value service lose, delay,
//! duplicate and mix up messages.

mod callers;
mod endpoints;
mod kv;

use std::collections::BTreeMap;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::time::Duration;

use carobwick_core::AttemptId;
use carobwick_core::Delivery;
use carobwick_core::DeliveryEvent;
use carobwick_core::DeliveryParams;
use carobwick_core::DeliveryStep;
use carobwick_core::Fingerprint;
use carobwick_core::IdempotencyEvent;
use carobwick_core::IdempotencyRefusal;
use carobwick_core::IdempotencyStep;
use carobwick_core::KeyedRequest;
use carobwick_core::RequestId;
use carobwick_core::ResponseFormat;
use carobwick_core::RunStatus;
use carobwick_core::StoredResponse;
use carobwick_core::Time;
use carobwick_core::WriteId;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::callers::Callers;
use self::callers::Operation;
use self::endpoints::Endpoints;
use self::endpoints::Exchange;
use self::endpoints::ResponsePart;
use self::kv::Call;
use self::kv::FakeKv;
use crate::Report;

const ENTRY_COUNT: usize = 3;
const ENDPOINT_COUNT: usize = 3;
/// Time after its deadline within which a request must end; it has room for three lost calls to the key-value
/// service.
const DEADLINE_SLACK: Duration = Duration::from_secs(15);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a seed for a number of steps, each of which handles one event.
pub(crate) fn run(seed: u64, steps: u64) -> Report {
    let mut simulation = Simulation::new(seed);
    let result = catch_unwind(AssertUnwindSafe(|| simulation.run(steps)));
    if result.is_err() {
        let step = simulation.report.steps;
        simulation.report.violations.push(format!("step {step}: an assertion in the decision code failed"));
    }
    simulation.report
}

struct Simulation {
    rng: ChaCha8Rng,
    now: Time,
    queue: BTreeMap<(Time, u64), Action>,
    sequence: u64,
    requests: IndexMap<usize, ProxiedRequest>,
    callers: Callers,
    endpoints: Endpoints,
    kv: FakeKv,
    report: Report,
}

/// A request that arrived at an entry.
struct ProxiedRequest {
    entry: usize,
    operation: usize,
    delivery: Delivery,
    keyed_request: Option<KeyedRequest>,
    /// Endpoint of the latest attempt.
    endpoint: usize,
    deadline: Time,
    /// Whether the delivery has started; that of a request with a key waits for its idempotency record.
    started: bool,
}

enum Action {
    /// A caller sends a new operation, or the given one again.
    Arrive(Option<usize>),
    /// An event, with the part of the response that it carries, reaches the entry.
    Deliver { request: usize, event: DeliveryEvent, part: Option<ResponsePart> },
    /// An endpoint executes a request.
    Execute { request: usize, endpoint: usize, attempt: AttemptId },
    /// A call reaches the key-value service, which sends a reply if `replies` is set.
    Call { request: usize, call: Call, replies: bool },
    /// The reply to a call to the key-value service, or its loss, reaches the entry.
    Reply { request: usize, event: IdempotencyEvent },
    /// An endpoint or an entry crashes, or the key-value service becomes unavailable or available.
    Fault,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
            requests: IndexMap::new(),
            callers: Callers::default(),
            endpoints: Endpoints::new(ENDPOINT_COUNT),
            kv: FakeKv::default(),
            report: Report::default(),
        }
    }

    fn run(&mut self, steps: u64) {
        self.schedule(0, Action::Arrive(None));
        self.schedule(50, Action::Fault);
        while self.report.steps < steps {
            let Some(((at, _), action)) = self.queue.pop_first() else {
                break;
            };
            self.now = at;
            self.report.steps += 1;
            self.handle(action);
            self.report.violations.append(&mut self.callers.violations);
        }
        self.check_ended();
        self.report.violations.append(&mut self.callers.violations);
    }

    fn handle(&mut self, action: Action) {
        match action {
            Action::Arrive(operation) => self.arrive(operation),
            Action::Deliver { request, event, part } => self.deliver(request, event, part),
            Action::Execute { request, endpoint, attempt } => {
                self.trace(request, &format!("is executed as {attempt} on endpoint {endpoint}"));
                let operation = self.callers.execute(request);
                self.endpoints.record_execution(endpoint, attempt, operation);
            }
            Action::Call { request, call, replies } => {
                let event = self.kv.call(call);
                if replies {
                    let delay = self.rng.random_range(0..3);
                    self.schedule(delay, Action::Reply { request, event });
                }
            }
            Action::Reply { request, event } => self.on_idempotency_event(request, event),
            Action::Fault => self.inject_fault(),
        }
    }

    fn arrive(&mut self, repeated: Option<usize>) {
        let operation = repeated.unwrap_or_else(|| {
            let gap = self.rng.random_range(1..40);
            self.schedule(gap, Action::Arrive(None));
            self.new_operation()
        });
        let details = self.callers.operations[operation];
        let id = self.callers.arrive(operation);
        let deadline = self.now + Duration::from_millis(self.rng.random_range(500..20_000));
        let params = DeliveryParams {
            request: RequestId(self.rng.random()),
            format: details.form,
            repeatable: details.repeatable,
            deadline,
            max_attempts: 3,
        };
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        let keyed_request = details.key.map(|_| {
            let name = format!("entry-{entry}").parse().expect("the name is valid");
            let until = (deadline + DEADLINE_SLACK).millis();
            KeyedRequest::new(WriteId(self.rng.random()), name, Fingerprint(operation as u64), until)
        });
        let keyed = keyed_request.is_some();
        let request = ProxiedRequest {
            entry,
            operation,
            delivery: Delivery::new(params),
            keyed_request,
            endpoint: 0,
            deadline,
            started: false,
        };
        self.requests.insert(id, request);
        self.trace(id, &format!("arrives at entry {entry}, operation {operation} {details:?}"));
        let remaining = (deadline - self.now).as_millis() as u64;
        let timed_out = Action::Deliver { request: id, event: DeliveryEvent::TimedOut, part: None };
        self.schedule(remaining, timed_out);
        // A request with a key runs to its end even if its caller disconnects.
        if !keyed && self.rng.random_bool(0.04) {
            let delay = self.rng.random_range(0..remaining);
            let event = DeliveryEvent::Cancelled;
            self.schedule(delay, Action::Deliver { request: id, event, part: None });
        }
        if keyed {
            self.on_idempotency_event(id, IdempotencyEvent::Arrived);
        } else {
            self.deliver(id, DeliveryEvent::Accepted, None);
        }
    }

    fn new_operation(&mut self) -> usize {
        let form = match self.rng.random_range(0..3) {
            0 => ResponseFormat::Chat,
            1 => ResponseFormat::Stream,
            _ => ResponseFormat::Plain,
        };
        let keyed = self.rng.random_bool(0.4);
        // A few keys are used by two operations, which the idempotency record must tell apart.
        let key = keyed.then(|| self.rng.random_range(0..self.callers.operations.len() as u64 * 8 + 8));
        let repeatable = !keyed && self.rng.random_bool(0.6);
        let length = self.rng.random_range(1..8);
        self.callers.operations.push(Operation { form, key, repeatable, length, executions: 0 });
        let operation = self.callers.operations.len() - 1;
        if keyed {
            for _ in 0..self.rng.random_range(0..3) {
                let delay = [0, 5, 300, 5_000, 60_000][self.rng.random_range(0..5)];
                self.schedule(delay, Action::Arrive(Some(operation)));
            }
        }
        operation
    }

    fn deliver(&mut self, id: usize, event: DeliveryEvent, part: Option<ResponsePart>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.started |= event == DeliveryEvent::Accepted;
        if !request.started {
            return;
        }
        let step = request.delivery.on_event(event, now);
        if event == DeliveryEvent::Cancelled {
            self.callers.leave(id);
        }
        self.trace(id, &format!("{event:?} -> {step:?}"));
        match step {
            DeliveryStep::Wait => {}
            DeliveryStep::Send { attempt } | DeliveryStep::Retry { attempt } => self.send(id, attempt),
            DeliveryStep::Resume { attempt, of, received } => {
                self.deliver(id, DeliveryEvent::Sent { attempt, resumes: true }, None);
                let endpoint = self.requests[&id].endpoint;
                let exchange =
                    Exchange { request: id, endpoint, attempt, operation: self.requests[&id].operation };
                let events = self.endpoints.resume(&mut self.rng, exchange, (of, received), &self.callers);
                self.schedule_all(events);
            }
            DeliveryStep::Forward => self.callers.forward(id, part),
            DeliveryStep::Finish => self.finish(id, part),
            DeliveryStep::Refuse { run, .. } => {
                self.callers.refuse(id, run);
                let event =
                    if run == RunStatus::No { IdempotencyEvent::NotRun } else { IdempotencyEvent::Abandoned };
                self.on_idempotency_event(id, event);
            }
            DeliveryStep::Fail { .. } => {
                self.callers.fail(id);
                self.on_idempotency_event(id, IdempotencyEvent::Abandoned);
            }
        }
    }

    fn send(&mut self, id: usize, attempt: AttemptId) {
        if self.rng.random_bool(0.03) {
            let event = DeliveryEvent::Unplaced { attempt };
            self.schedule(0, Action::Deliver { request: id, event, part: None });
            return;
        }
        let endpoint = self.rng.random_range(0..ENDPOINT_COUNT);
        let resumes = self.rng.random_bool(0.9);
        self.deliver(id, DeliveryEvent::Sent { attempt, resumes }, None);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.endpoint = endpoint;
        let exchange = Exchange { request: id, endpoint, attempt, operation: request.operation };
        let events = self.endpoints.send(&mut self.rng, exchange, &self.callers);
        self.schedule_all(events);
    }

    fn finish(&mut self, id: usize, part: Option<ResponsePart>) {
        self.callers.finish(id, part);
        let body = part.map_or(0, |part| part.operation as u64).to_le_bytes().to_vec();
        let response = StoredResponse { status: 200, content: String::new(), body, kept: true };
        self.on_idempotency_event(id, IdempotencyEvent::Answered(response));
    }

    fn on_idempotency_event(&mut self, id: usize, event: IdempotencyEvent) {
        let now_ms = self.now.millis();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(keyed_request) = &mut request.keyed_request else {
            return;
        };
        let key = self.callers.operations[request.operation].key.unwrap_or(0);
        let step = keyed_request.on_event(event, now_ms);
        self.trace(id, &format!("idempotency -> {step:?}"));
        match step {
            IdempotencyStep::Wait | IdempotencyStep::Close => {}
            IdempotencyStep::Create(record) => self.call(id, Call::Create(key, record)),
            IdempotencyStep::ReadBack => self.call(id, Call::Read(key)),
            IdempotencyStep::Complete(record, revision) => self.call(id, Call::Swap(key, record, revision)),
            IdempotencyStep::Delete(revision) => self.call(id, Call::Delete(key, revision)),
            IdempotencyStep::Run => self.deliver(id, DeliveryEvent::Accepted, None),
            IdempotencyStep::Replay(response) => self.callers.replay(id, &response.body),
            IdempotencyStep::Refuse(refusal) => {
                let run = match refusal {
                    IdempotencyRefusal::Unavailable | IdempotencyRefusal::KeyReused => RunStatus::No,
                    _ => RunStatus::Unknown,
                };
                self.callers.refuse(id, run);
            }
        }
    }

    /// Sends a call to the key-value service and draws its faults.
    fn call(&mut self, request: usize, call: Call) {
        let timeout = CALL_TIMEOUT.as_millis() as u64;
        let lost = Action::Reply { request, event: IdempotencyEvent::ReplyLost };
        let draw = self.rng.random_range(0..100);
        if self.kv.down {
            self.report.faults += 1;
            if draw < 50 {
                self.schedule(1, Action::Reply { request, event: IdempotencyEvent::Unavailable });
            } else {
                self.schedule(timeout, lost);
            }
            return;
        }
        let delay = self.rng.random_range(0..3);
        match draw {
            // The call takes effect, but its reply is lost.
            0..8 => {
                self.schedule(delay, Action::Call { request, call, replies: false });
                self.schedule(timeout, lost);
            }
            // The call is lost.
            8..13 => self.schedule(timeout, lost),
            // The call takes effect after its timeout.
            13..20 => {
                let late = self.rng.random_range(timeout..4 * timeout);
                self.schedule(late, Action::Call { request, call, replies: false });
                self.schedule(timeout, lost);
            }
            _ => {
                self.schedule(delay, Action::Call { request, call, replies: true });
                return;
            }
        }
        self.report.faults += 1;
    }

    fn inject_fault(&mut self) {
        self.report.faults += 1;
        match self.rng.random_range(0..4) {
            0 => self.kv.down = !self.kv.down,
            1 => {
                let entry = self.rng.random_range(0..ENTRY_COUNT);
                self.report.trace.add(format!("{} entry {entry} crashes", self.now.millis()));
                let affected = self.requests.iter().filter(|(_, request)| request.entry == entry);
                let affected: Vec<usize> = affected.map(|(id, _)| *id).collect();
                for id in &affected {
                    self.callers.leave(*id);
                }
                self.requests.retain(|_, request| request.entry != entry);
            }
            _ => {
                let endpoint = self.rng.random_range(0..ENDPOINT_COUNT);
                self.report.trace.add(format!("{} endpoint {endpoint} crashes", self.now.millis()));
                let events = self.endpoints.crash(endpoint);
                self.schedule_all(events);
            }
        }
        let next = self.rng.random_range(50..2_000);
        self.schedule(next, Action::Fault);
    }

    fn check_ended(&mut self) {
        for (id, request) in &self.requests {
            if self.now > request.deadline + DEADLINE_SLACK {
                self.callers.check_ended(*id);
            }
        }
    }

    fn trace(&mut self, request: usize, text: &str) {
        self.report.trace.add(format!("{} request {request} {text}", self.now.millis()));
    }

    fn schedule_all(&mut self, events: Vec<(u64, Action)>) {
        for (delay, action) in events {
            self.schedule(delay, action);
        }
    }

    fn schedule(&mut self, millis: u64, action: Action) {
        let at = self.now + Duration::from_millis(millis);
        self.queue.insert((at, self.sequence), action);
        self.sequence += 1;
    }
}
