use std::time::Duration;

use indexmap::IndexMap;

use crate::Incarnation;
use crate::Time;
use crate::breaker::Breaker;
use crate::gateway::PaceEstimate;
use crate::gateway::RequestHead;
use crate::gateway::SendId;
use crate::gateway::SendOutcome;
use crate::gateway::balance::SMOOTHING_FACTOR;
use crate::gateway::balance::weights_hash;
use crate::gateway::rate_limit::RateLimit;
use crate::gateway::rejection::Rejection;
use crate::load::EndpointLoad;
use crate::load::LoadSnapshot;

/// Cost of a running request for the next one, in prefill tokens: it makes each step of the batch longer.
const RUNNING_REQUEST_TOKENS: f64 = 100.0;
/// Age from which a request without a response counts in the latency of its endpoint.
const MIN_WAITING_AGE: Duration = Duration::from_millis(50);
/// Prompt parts that are remembered per endpoint.
const MAX_PROMPT_PARTS: usize = 512;
/// Time after which a prompt part that was not used again is expected to be evicted from the cache of the
/// engine.
const CACHE_LIFETIME: Duration = Duration::from_mins(1);

/// Statistics of one incarnation of an endpoint.
#[derive(Debug)]
pub(super) struct EndpointStats {
    pub incarnation: Incarnation,
    pub load: EndpointLoad,
    pub pace: PaceEstimate,
    pub breaker: Breaker,
    /// Tokens of requests of this instance that have no first event yet.
    pub backlog: f64,
    /// Moving average of the seconds to the first event per expected token, divided by the pace when the request was
    /// sent.
    pub token_latency: Option<f64>,
    pub failure_rate: f64,
    pub recent_parts: IndexMap<u64, Time>,
    pub in_flight: IndexMap<SendId, InFlight>,
    /// The pause that the endpoint requested, kept until the endpoint has recovered.
    pub rejection: Option<Rejection>,
    /// The rate limit of the endpoint.
    pub limit: Option<RateLimit>,
    /// Whether the endpoint has announced an invalid limit.
    pub invalid_limit: bool,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct InFlight {
    pub sent: Time,
    pub tokens: f64,
    pub expected_tokens: f64,
    pub snapshot: LoadSnapshot,
    /// Estimated pace of the endpoint at that time; 1 if it is not known.
    pub pace: f64,
    pub responded: bool,
}

impl EndpointStats {
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            load: EndpointLoad::default(),
            pace: PaceEstimate::default(),
            breaker: Breaker::default(),
            backlog: 0.0,
            token_latency: None,
            failure_rate: 0.0,
            recent_parts: IndexMap::new(),
            in_flight: IndexMap::new(),
            rejection: None,
            limit: None,
            invalid_limit: false,
        }
    }

    pub fn is_paused(&self, now: Time) -> bool {
        self.rejection.is_some_and(|rejection| !rejection.remaining(now).is_zero())
    }

    /// Returns whether the pause and the rate limit of the endpoint, if any, may allow another request.
    pub fn admits(&self, now: Time) -> bool {
        let is_paused = self.rejection.is_some_and(|rejection| !rejection.admits(self.in_flight.len(), now));
        !is_paused && self.may_have_token(now)
    }

    /// Returns the estimated queue before a new request, in prefill tokens.
    pub fn queued_tokens(&self, now: Time) -> f64 {
        self.backlog + self.load.total(now) * RUNNING_REQUEST_TOKENS
    }

    /// Returns the latency per token from the last responses, or from a request that already waits longer
    /// than that.
    pub fn token_latency_at(&self, now: Time) -> Option<f64> {
        let waiting =
            self.in_flight.values().filter(|send| !send.responded && now - send.sent >= MIN_WAITING_AGE);
        let slowest = waiting
            .map(|send| (now - send.sent).as_secs_f64() / (send.expected_tokens * send.pace))
            .reduce(f64::max);
        match (self.token_latency, slowest) {
            (Some(token_latency), Some(slowest)) => Some(token_latency.max(slowest)),
            (token_latency, slowest) => token_latency.or(slowest),
        }
    }

    pub fn cached_tokens(&self, request: &RequestHead, now: Time) -> f64 {
        let hash = weights_hash(request);
        let cached = request.prompt.iter().take_while(|part| {
            self.recent_parts.get(&(part.id.0 ^ hash)).is_some_and(|used| now < *used + CACHE_LIFETIME)
        });
        cached.map(|part| f64::from(part.tokens)).sum()
    }

    pub fn record_prompt(&mut self, request: &RequestHead, now: Time) {
        let hash = weights_hash(request);
        for part in &request.prompt {
            self.recent_parts.shift_remove(&(part.id.0 ^ hash));
            self.recent_parts.insert(part.id.0 ^ hash, now);
        }
        let excess = self.recent_parts.len().saturating_sub(MAX_PROMPT_PARTS);
        self.recent_parts.drain(..excess);
    }

    pub fn record_outcome(&mut self, outcome: SendOutcome, now: Time) {
        let failed = match outcome {
            SendOutcome::Good => {
                self.breaker.record_success();
                0.0
            }
            SendOutcome::Lost => {
                self.breaker.record_error(now);
                1.0
            }
            SendOutcome::Declined => {
                self.breaker.record_declined();
                self.rejection = self.rejection.map(Rejection::declined);
                1.0
            }
            SendOutcome::Failed => {
                self.breaker.release_probe(now);
                1.0
            }
            // Not counted in the failure rate, which would outlast a network partition. The circuit breaker
            // stops retries to an endpoint that is the only one.
            SendOutcome::Unreachable => {
                self.breaker.record_error(now);
                return;
            }
            SendOutcome::Neutral => {
                self.breaker.release_probe(now);
                return;
            }
        };
        self.failure_rate += SMOOTHING_FACTOR * (failed - self.failure_rate);
    }
}
