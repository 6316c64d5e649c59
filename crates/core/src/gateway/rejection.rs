use std::time::Duration;

use crate::Time;

/// Longest pause that one answer of an endpoint can bring about; a longer one is taken for a defect of the endpoint, which
/// would be lost for as long. Restarts and failovers end sooner.
const MAX_PAUSE: Duration = Duration::from_mins(5);
/// Requests that are let in at first when the pause ends.
const INITIAL_LIMIT: usize = 1;
/// Requests in flight from which on an endpoint counts as recovered.
const FULL_LIMIT: usize = 64;

/// What an endpoint says of itself in an answer, whatever it answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointNotice {
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time for which it wants no request from this instance.
    pub pause: Option<Duration>,
}

/// What a request does that no endpoint takes now, since those that could have asked for a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseStep {
    /// Wait for so long, or until an endpoint takes requests again.
    Wait(Duration),
    /// Refuse; the caller may come back after this time.
    Refuse(Duration),
}

/// An endpoint's pause, and how its load grows again after it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rejection {
    until: Time,
    /// Own requests that may be in flight there after the pause.
    limit: usize,
}

impl Rejection {
    /// Starts a pause, which does not shorten an earlier one.
    pub fn new(earlier: Option<Self>, pause: Duration, now: Time) -> Self {
        let until = now + pause.min(MAX_PAUSE);
        Self { until: earlier.map_or(until, |earlier| earlier.until.max(until)), limit: INITIAL_LIMIT }
    }

    /// Returns the time until another request may be sent, which is zero if the room is only taken.
    pub fn remaining(&self, now: Time) -> Duration {
        self.until - now
    }

    /// Returns whether another request may be sent while some are in flight.
    pub fn admits(&self, in_flight: usize, now: Time) -> bool {
        now >= self.until && in_flight < self.limit
    }

    /// Returns the rejection that is left after the endpoint took a request, and none once it has recovered.
    pub fn accepted(self) -> Option<Self> {
        let limit = self.limit * 2;
        (limit < FULL_LIMIT).then_some(Self { limit, ..self })
    }

    /// Returns the rejection after the endpoint declined a request without a time.
    pub fn declined(self) -> Self {
        Self { limit: (self.limit / 2).max(INITIAL_LIMIT), ..self }
    }
}

/// Decides whether a request waits for the end of a pause, `reopens` from now, if it can wait for `patience` at most.
pub fn pause_step(remaining: Duration, max_wait: Duration) -> PauseStep {
    match remaining {
        Duration::ZERO if !max_wait.is_zero() => PauseStep::Wait(max_wait),
        remaining if remaining < max_wait => PauseStep::Wait(remaining),
        remaining => PauseStep::Refuse(remaining),
    }
}
