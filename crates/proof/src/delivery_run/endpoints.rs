use carobwick_core::AttemptId;
use carobwick_core::DeliveryEvent;
use carobwick_core::ResponseFormat;
use indexmap::IndexMap;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Action;
use super::callers::Callers;

/// Time in milliseconds after which a connection without progress is closed.
const IDLE_TIMEOUT_MS: u64 = 2_000;

/// Endpoints that lose, delay and mix up answers.
#[derive(Debug)]
pub(super) struct Endpoints {
    /// Runs whose streams can be resumed, with their operation, per endpoint.
    executions: Vec<IndexMap<AttemptId, usize>>,
    /// Exchanges that break when the endpoint crashes.
    open: Vec<Vec<Exchange>>,
}

/// One attempt on its way to an endpoint and back.
#[derive(Debug, Clone, Copy)]
pub(super) struct Exchange {
    pub request: usize,
    pub endpoint: usize,
    pub attempt: AttemptId,
    pub operation: usize,
}

/// A part of an answer, with where it belongs.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResponsePart {
    pub operation: usize,
    pub source: AttemptId,
    pub first: u64,
    pub count: u64,
}

/// What is sent on an exchange.
struct ResponseContent {
    exchange: Exchange,
    claimed: AttemptId,
    operation: usize,
    source: AttemptId,
    first: u64,
}

impl Endpoints {
    pub fn new(count: usize) -> Self {
        Self { executions: vec![IndexMap::new(); count], open: vec![Vec::new(); count] }
    }

    /// Notes that a run began, so that its stream can be resumed.
    pub fn record_execution(&mut self, endpoint: usize, source: AttemptId, operation: usize) {
        self.executions[endpoint].insert(source, operation);
    }

    /// Crashes an endpoint: its runs are lost and its connections break.
    pub fn crash(&mut self, endpoint: usize) -> Vec<(u64, Action)> {
        self.executions[endpoint].clear();
        let broken = std::mem::take(&mut self.open[endpoint]);
        broken.into_iter().map(|exchange| (0, failed(exchange, true))).collect()
    }

    /// Returns what happens to a request that is sent.
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
            // Lost before it ran, or run after the entry stopped waiting.
            16..22 => vec![(delay, failed(exchange, true))],
            22..28 => vec![
                (IDLE_TIMEOUT_MS, silent(exchange)),
                (rng.random_range(IDLE_TIMEOUT_MS..10_000), execute(exchange)),
            ],
            // Run, but the answer is lost.
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
                // A late answer arrives after the connection was found silent.
                let start = if draw < 50 { IDLE_TIMEOUT_MS + delay } else { delay };
                if draw < 50 {
                    events.push((IDLE_TIMEOUT_MS, silent(exchange)));
                }
                events.extend(response(rng, &own, callers, start));
                events
            }
        }
    }

    /// Returns what happens to a request for the rest of a stream.
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

    /// Another attempt's answer on this exchange.
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

/// Returns the events of an answer, which may break off.
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
            // The same end once more, as from a peer that repeats itself.
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
