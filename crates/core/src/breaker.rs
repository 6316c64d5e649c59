use std::time::Duration;

use crate::Time;

/// Consecutive failures that open the breaker; a single one can be caused by the request.
const FAILURE_THRESHOLD: u32 = 3;
const INITIAL_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(30);
/// Time after which a probe without an outcome no longer blocks the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// Circuit breaker of one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Breaker {
    state: State,
    failures: u32,
    pause: Duration,
}

/// Requests that a circuit breaker permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Permission {
    /// Any request.
    Pass,
    /// One repeatable request, as a probe.
    Probe,
    /// None.
    Block,
}

#[derive(Debug, Clone, Copy)]
enum State {
    Closed,
    Open { until: Time },
    HalfOpen { probe: Time },
}

impl Default for Breaker {
    fn default() -> Self {
        Self { state: State::Closed, failures: 0, pause: INITIAL_PAUSE }
    }
}

impl Breaker {
    pub fn permission(&self, now: Time) -> Permission {
        match self.state {
            State::Closed => Permission::Pass,
            State::Open { until } if now < until => Permission::Block,
            State::HalfOpen { probe } if now < probe + PROBE_TIMEOUT => Permission::Block,
            State::Open { .. } | State::HalfOpen { .. } => Permission::Probe,
        }
    }

    /// Returns when a breaker that is not closed permits the next probe.
    pub fn next_probe(&self) -> Option<Time> {
        match self.state {
            State::Closed => None,
            State::Open { until } => Some(until),
            State::HalfOpen { probe } => Some(probe + PROBE_TIMEOUT),
        }
    }

    /// Records that a request is sent; it is the probe if the breaker permits one.
    pub fn record_sent(&mut self, now: Time) {
        if self.permission(now) == Permission::Probe {
            self.state = State::HalfOpen { probe: now };
        }
    }

    /// Closes a half-open breaker; an open one stays open, since the request was sent before it opened.
    pub fn record_success(&mut self) {
        match self.state {
            State::Open { .. } => {}
            State::Closed | State::HalfOpen { .. } => *self = Self::default(),
        }
    }

    /// Closes a half-open breaker, since the endpoint has declined the probe and so is there.
    pub fn record_declined(&mut self) {
        if let State::HalfOpen { .. } = self.state {
            *self = Self::default();
        }
    }

    /// Permits the next probe after the shortest pause, since the last one says nothing about the connection to
    /// the endpoint.
    pub fn release_probe(&mut self, now: Time) {
        if let State::HalfOpen { .. } = self.state {
            self.state = State::Open { until: now + INITIAL_PAUSE };
        }
    }

    pub fn record_error(&mut self, now: Time) {
        self.failures += 1;
        match self.state {
            State::HalfOpen { .. } => self.open(now),
            State::Closed if self.failures >= FAILURE_THRESHOLD => self.open(now),
            State::Closed | State::Open { .. } => {}
        }
    }

    /// Opens the breaker at once, whatever the number of failures.
    pub fn trip(&mut self, now: Time) {
        match self.state {
            State::Open { .. } => {}
            State::Closed | State::HalfOpen { .. } => self.open(now),
        }
    }

    fn open(&mut self, now: Time) {
        self.state = State::Open { until: now + self.pause };
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}
