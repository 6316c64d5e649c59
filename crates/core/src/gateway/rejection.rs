use std::time::Duration;

use crate::Time;

/// Longest pause that one response of an endpoint can cause. Restarts and failovers end sooner, so a longer
/// pause is treated as a fault of the endpoint and shortened, to keep the endpoint in use.
const MAX_PAUSE: Duration = Duration::from_mins(5);
/// Limit on requests in flight when the pause ends.
const INITIAL_LIMIT: usize = 1;
/// Limit on requests in flight at which an endpoint counts as recovered.
const RECOVERED_LIMIT: usize = 64;

/// What follows for a request if all endpoints that could run it have requested a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseStep {
    /// Wait for this time, or until an endpoint accepts requests again.
    Wait(Duration),
    /// Refuse the request; the caller may retry after this time.
    Refuse(Duration),
}

/// Pause of an endpoint and the slow start after it, in which the limit on requests in flight doubles.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rejection {
    until: Time,
    /// Limit on requests of this instance in flight at the endpoint after the pause.
    limit: usize,
}

impl Rejection {
    /// Creates a pause, which does not shorten an earlier one.
    pub fn new(earlier: Option<Self>, pause: Duration, now: Time) -> Self {
        let until = now + pause.min(MAX_PAUSE);
        Self { until: earlier.map_or(until, |earlier| earlier.until.max(until)), limit: INITIAL_LIMIT }
    }

    /// Returns the time until the pause ends; zero after that, also while the limit on requests in flight is
    /// reached.
    pub fn remaining(&self, now: Time) -> Duration {
        self.until - now
    }

    /// Returns whether another request may be sent in addition to those in flight.
    pub fn admits(&self, in_flight: usize, now: Time) -> bool {
        now >= self.until && in_flight < self.limit
    }

    /// Returns the state after the endpoint accepted a request, or none once it has recovered.
    pub fn accepted(self) -> Option<Self> {
        let limit = self.limit * 2;
        (limit < RECOVERED_LIMIT).then_some(Self { limit, ..self })
    }

    /// Returns the state after the endpoint declined a request without requesting a pause.
    pub fn declined(self) -> Self {
        Self { limit: (self.limit / 2).max(INITIAL_LIMIT), ..self }
    }
}

/// Decides whether a request waits for the end of a pause that lasts for `remaining`, if it can wait for
/// `max_wait`.
pub fn pause_step(remaining: Duration, max_wait: Duration) -> PauseStep {
    match remaining {
        Duration::ZERO if !max_wait.is_zero() => PauseStep::Wait(max_wait),
        remaining if remaining < max_wait => PauseStep::Wait(remaining),
        remaining => PauseStep::Refuse(remaining),
    }
}
