use std::time::Duration;

use indexmap::IndexMap;

use crate::Time;

/// Most prefixes remembered per endpoint.
const MAX_PREFIXES: usize = 64;
/// Time after its last use at which a prefix is expected to have been evicted from the endpoint's cache.
const PREFIX_TTL: Duration = Duration::from_mins(2);
/// Smoothing factor of the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.1;
const MAX_SLOWDOWN: f64 = 10.0;
const MIN_SLOWDOWN: f64 = 0.5;

/// Estimator of the time that prefill takes on one endpoint, from the requests of this entry.
#[derive(Debug)]
pub(crate) struct PrefillEstimator {
    /// Seconds of prefill work of own requests that have no first token yet.
    backlog: f64,
    /// Moving average of the observed time to the first token relative to the work of own requests; it
    /// accounts for requests of other entries.
    slowdown: f64,
    /// Prefixes that own requests put into the cache and the time of their last use, least recently used
    /// first.
    prefixes: IndexMap<u64, Time>,
}

/// Prefill of one attempt, as estimated at its start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrefillStart {
    /// Whether the prefix was in the cache.
    pub warm: bool,
    /// Seconds of prefill work of the attempt.
    pub work: f64,
    /// Seconds of prefill work of own requests before it.
    pub backlog: f64,
}

impl PrefillEstimator {
    pub fn new() -> Self {
        Self { backlog: 0.0, slowdown: 1.0, prefixes: IndexMap::new() }
    }

    pub fn is_warm(&self, prefix: u64, now: Time) -> bool {
        self.prefixes.get(&prefix).is_some_and(|used| now < *used + PREFIX_TTL)
    }

    /// Returns the expected seconds to the first token of a request with `work` seconds of prefill.
    pub fn time_to_first(&self, work: f64) -> f64 {
        (self.backlog + work) * self.slowdown
    }

    /// Returns the part of [`Self::time_to_first`] that the request itself takes.
    pub fn own_time(&self, work: f64) -> f64 {
        work * self.slowdown
    }

    pub fn start(&mut self, prefix: u64, work: f64, now: Time) -> PrefillStart {
        let started = PrefillStart { warm: self.is_warm(prefix, now), work, backlog: self.backlog };
        self.backlog += work;
        self.prefixes.shift_remove(&prefix);
        self.prefixes.insert(prefix, now);
        if self.prefixes.len() > MAX_PREFIXES {
            self.prefixes.shift_remove_index(0);
        }
        started
    }

    /// Removes the work of an attempt from the backlog.
    pub fn end(&mut self, started: PrefillStart) {
        self.backlog = (self.backlog - started.work).max(0.0);
    }

    /// Updates the slowdown from the observed time to the first token.
    pub fn observe(&mut self, started: PrefillStart, took: Duration) {
        let expected = started.backlog + started.work;
        if expected > 0.0 {
            let ratio = (took.as_secs_f64() / expected).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
            self.slowdown += SMOOTHING_FACTOR * (ratio - self.slowdown);
        }
    }

    /// Clears the cached prefixes and the slowdown, for a new incarnation of the endpoint.
    pub fn reset(&mut self) {
        self.prefixes.clear();
        self.slowdown = 1.0;
    }
}
