use carobwick_core::AttemptId;
use carobwick_core::DeliveryEvent;
use carobwick_core::ResponseFormat;
use indexmap::IndexMap;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Action;
use super::callers::Callers;

/// Time in milliseconds after which a connection without progress is closed.
const SILENCE: u64 = 2_000;

/// Endpoints that lose, delay and mix up answers.
#[derive(Debug)]
pub(super) struct Endpoints {
    /// Runs whose streams can be resumed, with their operation, per endpoint.
    runs: Vec<IndexMap<AttemptId, usize>>,
    /// Exchanges that break when the endpoint crashes.
    open: Vec<Vec<Exchange>>,
}

/// One attempt on its way to an endpoint and back.
#[derive(Debug, Clone, Copy)]
pub(super) struct Exchange {
    pub flight: usize,
    pub endpoint: usize,
    pub attempt: AttemptId,
    pub operation: usize,
}

/// A part of an answer, with where it belongs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Piece {
    pub operation: usize,
    pub run: AttemptId,
    pub first: u64,
    pub count: u64,
}

/// What is sent on an exchange.
struct Content {
    exchange: Exchange,
    claimed: AttemptId,
    operation: usize,
    run: AttemptId,
    first: u64,
}

impl Endpoints {
    pub fn new(count: usize) -> Self {
        Self { runs: vec![IndexMap::new(); count], open: vec![Vec::new(); count] }
    }

    /// Notes that a run began, so that its stream can be resumed.
    pub fn remember(&mut self, endpoint: usize, run: AttemptId, operation: usize) {
        self.runs[endpoint].insert(run, operation);
    }

    /// Crashes an endpoint: its runs are lost and its connections break.
    pub fn crash(&mut self, endpoint: usize) -> Vec<(u64, Action)> {
        self.runs[endpoint].clear();
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
            8..16 => vec![(delay, head(exchange, exchange.attempt, 503, true))],
            // Lost before it ran, or run after the entry stopped waiting.
            16..22 => vec![(delay, failed(exchange, true))],
            22..28 => vec![(SILENCE, silent(exchange)), (rng.random_range(SILENCE..10_000), run(exchange))],
            // Run, but the answer is lost.
            28..34 => vec![(delay, run(exchange)), (delay + 1, failed(exchange, true))],
            34..38 => {
                vec![(delay, run(exchange)), (delay + 1, head(exchange, exchange.attempt, 503, false))]
            }
            38..46 => {
                let mut events = vec![(delay, run(exchange))];
                events.extend(self.wrong(rng, exchange, callers, delay));
                events
            }
            dice => {
                let mut events = vec![(delay, run(exchange))];
                let own = Content {
                    exchange,
                    claimed: exchange.attempt,
                    operation: exchange.operation,
                    run: exchange.attempt,
                    first: 0,
                };
                // A late answer arrives after the connection was found silent.
                let start = if dice < 50 { SILENCE + delay } else { delay };
                if dice < 50 {
                    events.push((SILENCE, silent(exchange)));
                }
                events.extend(answer(rng, &own, callers, start));
                events
            }
        }
    }

    /// Returns what happens to a request for the rest of a stream.
    pub fn resume(
        &mut self,
        rng: &mut ChaCha8Rng,
        exchange: Exchange,
        (run, received): (AttemptId, u64),
        callers: &Callers,
    ) -> Vec<(u64, Action)> {
        let delay = rng.random_range(1..20);
        self.open[exchange.endpoint].push(exchange);
        match (rng.random_range(0..100), self.runs[exchange.endpoint].get(&run)) {
            (0..10, _) => vec![(delay, failed(exchange, false))],
            (10..20, _) => vec![(delay, failed(exchange, true))],
            (20..30, _) => self.wrong(rng, exchange, callers, delay),
            (_, None) => vec![(delay, head(exchange, exchange.attempt, 410, false))],
            (_, Some(operation)) => {
                let claimed = exchange.attempt;
                let rest = Content { exchange, claimed, operation: *operation, run, first: received };
                answer(rng, &rest, callers, delay)
            }
        }
    }

    /// Another attempt's answer on this exchange.
    fn wrong(
        &self,
        rng: &mut ChaCha8Rng,
        exchange: Exchange,
        callers: &Callers,
        start: u64,
    ) -> Vec<(u64, Action)> {
        let runs = &self.runs[exchange.endpoint];
        let other = runs.get_index(rng.random_range(0..runs.len().max(1)));
        let (run, operation) = other.map_or((AttemptId(1), exchange.operation), |(run, of)| (*run, *of));
        answer(rng, &Content { exchange, claimed: run, operation, run, first: 0 }, callers, start)
    }
}

/// Returns the events of an answer, which may break off.
fn answer(rng: &mut ChaCha8Rng, content: &Content, callers: &Callers, start: u64) -> Vec<(u64, Action)> {
    let Content { exchange, claimed, operation, run, mut first } = *content;
    let asked = callers.operations[exchange.operation].form;
    let length = callers.operations[operation].length;
    let mut at = start + 1;
    let mut events = vec![(at, head(exchange, claimed, 200, false))];
    let breaks = rng.random_bool(0.25).then(|| rng.random_range(first..=length));
    let piece = |first, count| Some(Piece { operation, run, first, count });
    if asked == ResponseFormat::Stream {
        let last = breaks.unwrap_or(length.saturating_sub(1)).max(first);
        while first < last {
            let count = rng.random_range(1..=last - first);
            at += rng.random_range(1..30);
            events.push((
                at,
                part(
                    exchange,
                    DeliveryEvent::Chunk { attempt: exchange.attempt, events: count },
                    piece(first, count),
                ),
            ));
            first += count;
        }
    }
    at += rng.random_range(1..30);
    let end = |complete| DeliveryEvent::End { attempt: exchange.attempt, complete };
    match breaks {
        Some(_) if rng.random_bool(0.5) => events.push((at, failed(exchange, true))),
        Some(_) => events.push((at, part(exchange, end(false), None))),
        None => {
            let rest = piece(first, length.saturating_sub(first));
            events.push((at, part(exchange, end(true), rest)));
            // The same end once more, as from a peer that repeats itself.
            if rng.random_bool(0.1) {
                events.push((at + 1, part(exchange, end(true), rest)));
            }
        }
    }
    events
}

fn part(exchange: Exchange, event: DeliveryEvent, piece: Option<Piece>) -> Action {
    Action::Deliver { flight: exchange.flight, event, piece }
}

fn head(exchange: Exchange, claimed: AttemptId, status: u16, declined: bool) -> Action {
    let event =
        DeliveryEvent::Headers { attempt: exchange.attempt, claimed: Some(claimed), status, declined };
    part(exchange, event, None)
}

fn failed(exchange: Exchange, written: bool) -> Action {
    part(exchange, DeliveryEvent::Failed { attempt: exchange.attempt, written }, None)
}

fn silent(exchange: Exchange) -> Action {
    part(exchange, DeliveryEvent::Silent { attempt: exchange.attempt }, None)
}

fn run(exchange: Exchange) -> Action {
    Action::Execute { flight: exchange.flight, endpoint: exchange.endpoint, attempt: exchange.attempt }
}
