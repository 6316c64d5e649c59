use crate::Rate;
use crate::Time;

/// Number of loads that may start at once before the rate of the weight store limits them.
const MAX_BURST: f64 = 2.0;

/// Rate limiter for loads from the weight store, as a token bucket.
#[derive(Debug, Clone, Copy)]
pub struct LoadRateLimiter {
    tokens: f64,
    updated: Time,
}

impl LoadRateLimiter {
    /// Creates a limiter without tokens, since another leader may have started loads just before.
    pub fn new(now: Time) -> Self {
        Self { tokens: 0.0, updated: now }
    }

    /// Refills the bucket at the given rate and returns whether a load may start now.
    pub fn allows(&mut self, rate: Rate, now: Time) -> bool {
        self.tokens = (self.tokens + (now - self.updated).as_secs_f64() * rate.0).min(MAX_BURST);
        self.updated = now;
        self.tokens >= 1.0
    }

    /// Returns whether the bucket is full, so that no load has started for a while.
    pub fn is_full(&self) -> bool {
        self.tokens >= MAX_BURST
    }

    /// Takes a token for a load.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
