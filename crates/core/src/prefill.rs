use std::time::Duration;

use indexmap::IndexMap;

use crate::Time;

/// Prefixes remembered per endpoint.
const PREFIXES: usize = 64;
/// Time after which a prefix that was not used again is expected to have left the cache.
const FORGOTTEN: Duration = Duration::from_mins(2);
/// Weight of a new value in the moving average.
const WEIGHT: f64 = 0.1;
const MAX_STRETCH: f64 = 10.0;
const MIN_STRETCH: f64 = 0.5;

/// What an entry knows of the prefill on one endpoint.
#[derive(Debug)]
pub(crate) struct PrefillEstimator {
    /// Seconds of work of own requests without a first token.
    backlog: f64,
    /// Observed time to the first token relative to the own work; it accounts for other entries' requests.
    stretch: f64,
    /// Prefixes that own requests brought into the cache, least recently used first.
    prefixes: IndexMap<u64, Time>,
}

/// Prefill of one attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrefillStart {
    pub warm: bool,
    pub work: f64,
    pub backlog: f64,
}

impl PrefillEstimator {
    pub fn new() -> Self {
        Self { backlog: 0.0, stretch: 1.0, prefixes: IndexMap::new() }
    }

    pub fn is_warm(&self, prefix: u64, now: Time) -> bool {
        self.prefixes.get(&prefix).is_some_and(|used| now < *used + FORGOTTEN)
    }

    /// Returns the expected seconds to the first token of a request with `work` seconds of prefill.
    pub fn first(&self, work: f64) -> f64 {
        (self.backlog + work) * self.stretch
    }

    /// Returns the part of it that the request itself takes.
    pub fn alone(&self, work: f64) -> f64 {
        work * self.stretch
    }

    pub fn start(&mut self, prefix: u64, work: f64, now: Time) -> PrefillStart {
        let started = PrefillStart { warm: self.is_warm(prefix, now), work, backlog: self.backlog };
        self.backlog += work;
        self.prefixes.shift_remove(&prefix);
        self.prefixes.insert(prefix, now);
        if self.prefixes.len() > PREFIXES {
            self.prefixes.shift_remove_index(0);
        }
        started
    }

    /// Takes the work of an attempt out of the backlog.
    pub fn end(&mut self, started: PrefillStart) {
        self.backlog = (self.backlog - started.work).max(0.0);
    }

    /// Notes the time to the first token.
    pub fn observe(&mut self, started: PrefillStart, took: Duration) {
        let expected = started.backlog + started.work;
        if expected > 0.0 {
            let ratio = (took.as_secs_f64() / expected).clamp(MIN_STRETCH, MAX_STRETCH);
            self.stretch += WEIGHT * (ratio - self.stretch);
        }
    }

    /// Forgets what a new process does not have.
    pub fn restarted(&mut self) {
        self.prefixes.clear();
        self.stretch = 1.0;
    }
}
