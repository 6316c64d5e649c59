use crate::Rate;
use crate::Time;

/// Loads that may start in a row before the weight store's rate binds.
const BURST: f64 = 2.0;

/// Spreads loads from the weight store over time.
#[derive(Debug, Clone, Copy)]
pub struct LoadRateLimiter {
    tokens: f64,
    at: Time,
}

impl LoadRateLimiter {
    /// Starts as if loads had just been started, since another leader may have started some.
    pub fn new(now: Time) -> Self {
        Self { tokens: 0.0, at: now }
    }

    /// Returns whether a load may start now.
    pub fn allows(&mut self, rate: Rate, now: Time) -> bool {
        self.tokens = (self.tokens + (now - self.at).as_secs_f64() * rate.0).min(BURST);
        self.at = now;
        self.tokens >= 1.0
    }

    /// Returns whether no load has started for a while.
    pub fn is_full(&self) -> bool {
        self.tokens >= BURST
    }

    /// Counts a load.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
