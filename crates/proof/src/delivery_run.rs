//! Runs of `Delivery` and `KeyedRequest`: several entries, callers that repeat keyed requests, and endpoints and a key-value
//! service that lose, delay, repeat and mix up messages.

mod callers;
mod endpoints;
mod platform;

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
use self::endpoints::Piece;
use self::platform::Platform;
use self::platform::Write;
use crate::Report;

const ENTRIES: usize = 3;
const ENDPOINTS: usize = 3;
/// Time after the deadline in which a request must be answered: three lost calls to the key-value service.
const SLACK: Duration = Duration::from_secs(15);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a seed for a number of steps.
pub(crate) fn run(seed: u64, steps: u64) -> Report {
    let mut world = World::new(seed);
    let ended = catch_unwind(AssertUnwindSafe(|| world.run(steps)));
    if ended.is_err() {
        let step = world.report.steps;
        world.report.violations.push(format!("step {step}: an assertion of the decision code failed"));
    }
    world.report
}

struct World {
    rng: ChaCha8Rng,
    now: Time,
    queue: BTreeMap<(Time, u64), Action>,
    sequence: u64,
    flights: IndexMap<usize, Flight>,
    callers: Callers,
    endpoints: Endpoints,
    platform: Platform,
    report: Report,
}

/// One arrival of a request at an entry.
struct Flight {
    entry: usize,
    operation: usize,
    delivery: Delivery,
    once: Option<KeyedRequest>,
    endpoint: usize,
    deadline: Time,
    /// Whether the delivery began; with a key, only once the record is there.
    started: bool,
}

enum Action {
    /// A caller sends an operation, new or again.
    Arrive(Option<usize>),
    /// Something happens to an attempt.
    Deliver { flight: usize, event: DeliveryEvent, piece: Option<Piece> },
    /// An endpoint runs a request.
    Execute { flight: usize, endpoint: usize, attempt: AttemptId },
    /// A write reaches the key-value service; its reply is passed on unless it is lost.
    Write { flight: usize, write: Write, replies: bool },
    /// A call to the key-value service ends.
    Reply { flight: usize, event: IdempotencyEvent },
    /// An endpoint crashes, an entry crashes, or the key-value service goes away or comes back.
    Fault,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
            flights: IndexMap::new(),
            callers: Callers::default(),
            endpoints: Endpoints::new(ENDPOINTS),
            platform: Platform::default(),
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
            self.act(action);
            self.report.violations.append(&mut self.callers.violations);
        }
        self.check_answered();
        self.report.violations.append(&mut self.callers.violations);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Arrive(operation) => self.arrive(operation),
            Action::Deliver { flight, event, piece } => self.deliver(flight, event, piece),
            Action::Execute { flight, endpoint, attempt } => {
                self.note(flight, &format!("runs as {attempt} on endpoint {endpoint}"));
                let operation = self.callers.execute(flight);
                self.endpoints.remember(endpoint, attempt, operation);
            }
            Action::Write { flight, write, replies } => {
                let event = self.platform.apply(write);
                if replies {
                    let delay = self.rng.random_range(0..3);
                    self.schedule(delay, Action::Reply { flight, event });
                }
            }
            Action::Reply { flight, event } => self.on_once(flight, event),
            Action::Fault => self.fault(),
        }
    }

    fn arrive(&mut self, repeated: Option<usize>) {
        let operation = repeated.unwrap_or_else(|| {
            let gap = self.rng.random_range(1..40);
            self.schedule(gap, Action::Arrive(None));
            self.new_operation()
        });
        let of = self.callers.operations[operation];
        let id = self.callers.arrive(operation);
        let deadline = self.now + Duration::from_millis(self.rng.random_range(500..20_000));
        let params = DeliveryParams {
            request: RequestId(self.rng.random()),
            format: of.form,
            repeatable: of.repeatable,
            deadline,
            max_attempts: 3,
        };
        let entry = self.rng.random_range(0..ENTRIES);
        let once = of.key.map(|_| {
            let name = format!("entry-{entry}").parse().expect("the name is valid");
            let until = (deadline + SLACK).millis();
            KeyedRequest::new(WriteId(self.rng.random()), name, Fingerprint(operation as u64), until)
        });
        let keyed = once.is_some();
        let flight = Flight {
            entry,
            operation,
            delivery: Delivery::new(params),
            once,
            endpoint: 0,
            deadline,
            started: false,
        };
        self.flights.insert(id, flight);
        self.note(id, &format!("arrives at entry {entry}, operation {operation} {of:?}"));
        let left = (deadline - self.now).as_millis() as u64;
        let timed_out = Action::Deliver { flight: id, event: DeliveryEvent::TimedOut, piece: None };
        self.schedule(left, timed_out);
        // The outcome of a request with a key is awaited even if its caller leaves.
        if !keyed && self.rng.random_bool(0.04) {
            let leaves = self.rng.random_range(0..left);
            let event = DeliveryEvent::Cancelled;
            self.schedule(leaves, Action::Deliver { flight: id, event, piece: None });
        }
        if keyed {
            self.on_once(id, IdempotencyEvent::Arrived);
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
        // A few keys are used for two operations, which must not be confused.
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

    fn deliver(&mut self, id: usize, event: DeliveryEvent, piece: Option<Piece>) {
        let now = self.now;
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.started |= event == DeliveryEvent::Accepted;
        if !flight.started {
            return;
        }
        let step = flight.delivery.on_event(event, now);
        if event == DeliveryEvent::Cancelled {
            self.callers.leave(id);
        }
        self.note(id, &format!("{event:?} -> {step:?}"));
        match step {
            DeliveryStep::Wait => {}
            DeliveryStep::Send { attempt } | DeliveryStep::Retry { attempt } => self.send(id, attempt),
            DeliveryStep::Resume { attempt, of, received } => {
                self.deliver(id, DeliveryEvent::Sent { attempt, resumes: true }, None);
                let endpoint = self.flights[&id].endpoint;
                let exchange =
                    Exchange { flight: id, endpoint, attempt, operation: self.flights[&id].operation };
                let events = self.endpoints.resume(&mut self.rng, exchange, (of, received), &self.callers);
                self.schedule_all(events);
            }
            DeliveryStep::Forward => self.callers.show(id, piece),
            DeliveryStep::Finish => self.finish(id, piece),
            DeliveryStep::Refuse { run, .. } => {
                self.callers.refuse(id, run);
                let event =
                    if run == RunStatus::No { IdempotencyEvent::NotRun } else { IdempotencyEvent::Abandoned };
                self.on_once(id, event);
            }
            DeliveryStep::Fail { .. } => {
                self.callers.fail(id);
                self.on_once(id, IdempotencyEvent::Abandoned);
            }
        }
    }

    fn send(&mut self, id: usize, attempt: AttemptId) {
        if self.rng.random_bool(0.03) {
            let event = DeliveryEvent::Unplaced { attempt };
            self.schedule(0, Action::Deliver { flight: id, event, piece: None });
            return;
        }
        let endpoint = self.rng.random_range(0..ENDPOINTS);
        let resumes = self.rng.random_bool(0.9);
        self.deliver(id, DeliveryEvent::Sent { attempt, resumes }, None);
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.endpoint = endpoint;
        let exchange = Exchange { flight: id, endpoint, attempt, operation: flight.operation };
        let events = self.endpoints.send(&mut self.rng, exchange, &self.callers);
        self.schedule_all(events);
    }

    fn finish(&mut self, id: usize, piece: Option<Piece>) {
        self.callers.finish(id, piece);
        let body = piece.map_or(0, |piece| piece.operation as u64).to_le_bytes().to_vec();
        let answer = StoredResponse { status: 200, content: String::new(), body, kept: true };
        self.on_once(id, IdempotencyEvent::Answered(answer));
    }

    fn on_once(&mut self, id: usize, event: IdempotencyEvent) {
        let wall = self.now.millis();
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let Some(once) = &mut flight.once else {
            return;
        };
        let key = self.callers.operations[flight.operation].key.unwrap_or(0);
        let step = once.on_event(event, wall);
        self.note(id, &format!("once -> {step:?}"));
        match step {
            IdempotencyStep::Wait | IdempotencyStep::Close => {}
            IdempotencyStep::Create(record) => self.write(id, Write::Create(key, record)),
            IdempotencyStep::ReadBack => self.write(id, Write::Read(key)),
            IdempotencyStep::Complete(record, revision) => self.write(id, Write::Swap(key, record, revision)),
            IdempotencyStep::Delete(revision) => self.write(id, Write::Delete(key, revision)),
            IdempotencyStep::Run => self.deliver(id, DeliveryEvent::Accepted, None),
            IdempotencyStep::Replay(answer) => self.callers.replay(id, &answer.body),
            IdempotencyStep::Refuse(refusal) => {
                let run = match refusal {
                    IdempotencyRefusal::Unavailable | IdempotencyRefusal::KeyReused => RunStatus::No,
                    _ => RunStatus::Unknown,
                };
                self.callers.refuse(id, run);
            }
        }
    }

    /// Sends a write to the key-value service, through its faults.
    fn write(&mut self, flight: usize, write: Write) {
        let timeout = CALL_TIMEOUT.as_millis() as u64;
        let lost = Action::Reply { flight, event: IdempotencyEvent::ReplyLost };
        let dice = self.rng.random_range(0..100);
        if self.platform.down {
            self.report.faults += 1;
            if dice < 50 {
                self.schedule(1, Action::Reply { flight, event: IdempotencyEvent::Unavailable });
            } else {
                self.schedule(timeout, lost);
            }
            return;
        }
        let delay = self.rng.random_range(0..3);
        match dice {
            // The write takes effect, but its reply is lost.
            0..8 => {
                self.schedule(delay, Action::Write { flight, write, replies: false });
                self.schedule(timeout, lost);
            }
            // The write is lost.
            8..13 => self.schedule(timeout, lost),
            // The write takes effect after its sender has given up waiting.
            13..20 => {
                let late = self.rng.random_range(timeout..4 * timeout);
                self.schedule(late, Action::Write { flight, write, replies: false });
                self.schedule(timeout, lost);
            }
            _ => {
                self.schedule(delay, Action::Write { flight, write, replies: true });
                return;
            }
        }
        self.report.faults += 1;
    }

    fn fault(&mut self) {
        self.report.faults += 1;
        match self.rng.random_range(0..4) {
            0 => self.platform.down = !self.platform.down,
            1 => {
                let entry = self.rng.random_range(0..ENTRIES);
                self.report.trace.add(format!("{} entry {entry} crashes", self.now.millis()));
                let lost = self.flights.iter().filter(|(_, flight)| flight.entry == entry);
                let lost: Vec<usize> = lost.map(|(id, _)| *id).collect();
                for id in &lost {
                    self.callers.leave(*id);
                }
                self.flights.retain(|_, flight| flight.entry != entry);
            }
            _ => {
                let endpoint = self.rng.random_range(0..ENDPOINTS);
                self.report.trace.add(format!("{} endpoint {endpoint} crashes", self.now.millis()));
                let events = self.endpoints.crash(endpoint);
                self.schedule_all(events);
            }
        }
        let next = self.rng.random_range(50..2_000);
        self.schedule(next, Action::Fault);
    }

    fn check_answered(&mut self) {
        for (id, flight) in &self.flights {
            if self.now > flight.deadline + SLACK {
                self.callers.check_answered(*id);
            }
        }
    }

    fn note(&mut self, flight: usize, text: &str) {
        self.report.trace.add(format!("{} request {flight} {text}", self.now.millis()));
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
