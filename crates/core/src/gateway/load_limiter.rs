use crate::Rate;
use crate::Time;

/// Loads that may start in a row before the weight store's rate binds.
const MAX_BURST: f64 = 2.0;

/// Spreads loads from the weight store over time.
#[derive(Debug, Clone, Copy)]
pub struct LoadRateLimiter {
    tokens: f64,
    updated: Time,
}

impl LoadRateLimiter {
    /// Starts as if loads had just been started, since another leader may have started some.
    pub fn new(now: Time) -> Self {
        Self { tokens: 0.0, updated: now }
    }

    /// Returns whether a load may start now.
    pub fn allows(&mut self, rate: Rate, now: Time) -> bool {
        self.tokens = (self.tokens + (now - self.updated).as_secs_f64() * rate.0).min(MAX_BURST);
        self.updated = now;
        self.tokens >= 1.0
    }

    /// Returns whether no load has started for a while.
    pub fn is_full(&self) -> bool {
        self.tokens >= MAX_BURST
    }

    /// Counts a load.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
