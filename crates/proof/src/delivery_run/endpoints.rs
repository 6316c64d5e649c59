use carobwick_core::AttemptId;
use carobwick_core::DeliveryEvent;
use carobwick_core::ResponseFormat;
use indexmap::IndexMap;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Action;
use super::callers::Callers;

/// Time after which the entry gives up a connection on which nothing arrives.
const IDLE_TIMEOUT_MS: u64 = 2_000;

/// Endpoints that lose, delay and mix up responses.
#[derive(Debug)]
pub(super) struct Endpoints {
    /// Operations by the attempt that executed them, per endpoint; their streams can be resumed.
    executions: Vec<IndexMap<AttemptId, usize>>,
    /// Exchanges that fail when the endpoint crashes.
    open: Vec<Vec<Exchange>>,
}

/// An attempt's request to an endpoint and its response.
#[derive(Debug, Clone, Copy)]
pub(super) struct Exchange {
    pub request: usize,
    pub endpoint: usize,
    pub attempt: AttemptId,
    pub operation: usize,
}

/// A range of events of a response, with their origin.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResponsePart {
    pub operation: usize,
    /// Attempt whose execution made the events.
    pub source: AttemptId,
    pub first: u64,
    pub count: u64,
}

/// Response that an endpoint sends in an exchange.
struct ResponseContent {
    exchange: Exchange,
    /// Attempt id in the headers of the response.
    claimed: AttemptId,
    operation: usize,
    source: AttemptId,
    /// Index of the first event that is sent.
    first: u64,
}

impl Endpoints {
    pub fn new(count: usize) -> Self {
        Self { executions: vec![IndexMap::new(); count], open: vec![Vec::new(); count] }
    }

    /// Records an execution, so that its stream can be resumed.
    pub fn record_execution(&mut self, endpoint: usize, source: AttemptId, operation: usize) {
        self.executions[endpoint].insert(source, operation);
    }

    /// Crashes an endpoint, which loses its executions and connections, and returns the resulting events.
    pub fn crash(&mut self, endpoint: usize) -> Vec<(u64, Action)> {
        self.executions[endpoint].clear();
        let broken = std::mem::take(&mut self.open[endpoint]);
        broken.into_iter().map(|exchange| (0, failed(exchange, true))).collect()
    }

    /// Sends a request and returns the resulting events with their delays in milliseconds.
    pub fn send(
        &mut self,
        rng: &mut ChaCha8Rng,
        exchange: Exchange,
        callers: &Callers,
    ) -> Vec<(u64, Action)> {
        let delay = rng.random_range(1..20);
        self.open[exchange.endpoint].push(exchange);
        match rng.random_range(0..100) {
            0..8 => vec![(delay, failed(exchange, false))],
            8..16 => vec![(delay, headers(exchange, exchange.attempt, 503, true))],
            // Lost before it was executed, or executed after the entry gave up.
            16..22 => vec![(delay, failed(exchange, true))],
            22..28 => vec![
                (IDLE_TIMEOUT_MS, silent(exchange)),
                (rng.random_range(IDLE_TIMEOUT_MS..10_000), execute(exchange)),
            ],
            // Executed, but the response is lost or an error.
            28..34 => vec![(delay, execute(exchange)), (delay + 1, failed(exchange, true))],
            34..38 => {
                vec![(delay, execute(exchange)), (delay + 1, headers(exchange, exchange.attempt, 503, false))]
            }
            38..46 => {
                let mut events = vec![(delay, execute(exchange))];
                events.extend(self.wrong_response(rng, exchange, callers, delay));
                events
            }
            draw => {
                let mut events = vec![(delay, execute(exchange))];
                let own = ResponseContent {
                    exchange,
                    claimed: exchange.attempt,
                    operation: exchange.operation,
                    source: exchange.attempt,
                    first: 0,
                };
                // A late response arrives after the idle timeout of the connection.
                let start = if draw < 50 { IDLE_TIMEOUT_MS + delay } else { delay };
                if draw < 50 {
                    events.push((IDLE_TIMEOUT_MS, silent(exchange)));
                }
                events.extend(response(rng, &own, callers, start));
                events
            }
        }
    }

    /// Requests the rest of a stream and returns the resulting events with their delays in milliseconds.
    pub fn resume(
        &mut self,
        rng: &mut ChaCha8Rng,
        exchange: Exchange,
        (source, received): (AttemptId, u64),
        callers: &Callers,
    ) -> Vec<(u64, Action)> {
        let delay = rng.random_range(1..20);
        self.open[exchange.endpoint].push(exchange);
        match (rng.random_range(0..100), self.executions[exchange.endpoint].get(&source)) {
            (0..10, _) => vec![(delay, failed(exchange, false))],
            (10..20, _) => vec![(delay, failed(exchange, true))],
            (20..30, _) => self.wrong_response(rng, exchange, callers, delay),
            (_, None) => vec![(delay, headers(exchange, exchange.attempt, 410, false))],
            (_, Some(operation)) => {
                let claimed = exchange.attempt;
                let rest =
                    ResponseContent { exchange, claimed, operation: *operation, source, first: received };
                response(rng, &rest, callers, delay)
            }
        }
    }

    /// Returns the events of a response that belongs to another attempt.
    fn wrong_response(
        &self,
        rng: &mut ChaCha8Rng,
        exchange: Exchange,
        callers: &Callers,
        start: u64,
    ) -> Vec<(u64, Action)> {
        let executions = &self.executions[exchange.endpoint];
        let other = executions.get_index(rng.random_range(0..executions.len().max(1)));
        let (source, operation) =
            other.map_or((AttemptId(1), exchange.operation), |(source, of)| (*source, *of));
        response(
            rng,
            &ResponseContent { exchange, claimed: source, operation, source, first: 0 },
            callers,
            start,
        )
    }
}

/// Returns the events of a response, which may be cut off.
fn response(
    rng: &mut ChaCha8Rng,
    content: &ResponseContent,
    callers: &Callers,
    start: u64,
) -> Vec<(u64, Action)> {
    let ResponseContent { exchange, claimed, operation, source, mut first } = *content;
    let format = callers.operations[exchange.operation].form;
    let length = callers.operations[operation].length;
    let mut at = start + 1;
    let mut events = vec![(at, headers(exchange, claimed, 200, false))];
    let cut_after = rng.random_bool(0.25).then(|| rng.random_range(first..=length));
    let part = |first, count| Some(ResponsePart { operation, source, first, count });
    if format == ResponseFormat::Stream {
        let last = cut_after.unwrap_or(length.saturating_sub(1)).max(first);
        while first < last {
            let count = rng.random_range(1..=last - first);
            at += rng.random_range(1..30);
            events.push((
                at,
                deliver(
                    exchange,
                    DeliveryEvent::Chunk { attempt: exchange.attempt, events: count },
                    part(first, count),
                ),
            ));
            first += count;
        }
    }
    at += rng.random_range(1..30);
    let end = |complete| DeliveryEvent::End { attempt: exchange.attempt, complete };
    match cut_after {
        Some(_) if rng.random_bool(0.5) => events.push((at, failed(exchange, true))),
        Some(_) => events.push((at, deliver(exchange, end(false), None))),
        None => {
            let rest = part(first, length.saturating_sub(first));
            events.push((at, deliver(exchange, end(true), rest)));
            // A duplicate of the last event.
            if rng.random_bool(0.1) {
                events.push((at + 1, deliver(exchange, end(true), rest)));
            }
        }
    }
    events
}

fn deliver(exchange: Exchange, event: DeliveryEvent, part: Option<ResponsePart>) -> Action {
    Action::Deliver { request: exchange.request, event, part }
}

fn headers(exchange: Exchange, claimed: AttemptId, status: u16, declined: bool) -> Action {
    let event =
        DeliveryEvent::Headers { attempt: exchange.attempt, claimed: Some(claimed), status, declined };
    deliver(exchange, event, None)
}

fn failed(exchange: Exchange, written: bool) -> Action {
    deliver(exchange, DeliveryEvent::Failed { attempt: exchange.attempt, written }, None)
}

fn silent(exchange: Exchange) -> Action {
    deliver(exchange, DeliveryEvent::Silent { attempt: exchange.attempt }, None)
}

fn execute(exchange: Exchange) -> Action {
    Action::Execute { request: exchange.request, endpoint: exchange.endpoint, attempt: exchange.attempt }
}
