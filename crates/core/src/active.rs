use std::time::Duration;

use crate::EndpointId;
use crate::Incarnation;
use crate::RequestInfo;
use crate::Time;
use crate::ZoneId;
use crate::load::LoadMark;
use crate::prefill::PrefillStart;

/// Time after a failed attempt for which the request is not sent to an endpoint that failed it, so that a crash is
/// noticed before the attempts are used up.
const RERUN_PAUSE: Duration = Duration::from_millis(100);

/// A request between `admit` and its end.
#[derive(Debug)]
pub(crate) struct Active {
    pub ask: RequestInfo,
    /// Group of its target, see `TargetSpec`.
    pub group: usize,
    /// Service of its target.
    pub pool: usize,
    /// Time by which its answer must begin.
    pub due: Time,
    /// Seconds that the manifest gives it until then.
    pub goal: f64,
    /// Time at which it last began to wait.
    pub since: Time,
    /// Seconds assumed for its service time until one was measured.
    pub assumed: f64,
    pub phase: Phase,
    pub attempts: u32,
    /// Endpoints on which an attempt ended without an answer.
    pub tried: Vec<EndpointId>,
    /// End of the latest of these attempts.
    pub failed: Time,
    /// Whether an attempt may have run.
    pub ran: bool,
}

/// Where a request is.
#[derive(Debug)]
pub(crate) enum Phase {
    /// In the queue.
    Waiting,
    /// On an endpoint.
    Running(Attempt),
    /// At another zone's entry.
    Forwarded(ZoneId),
    /// Its last attempt ended; the entry decides whether to retry.
    Ended,
}

/// One attempt on an endpoint.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub endpoint: EndpointId,
    pub incarnation: Incarnation,
    pub start: Time,
    pub sent: bool,
    pub prefill: PrefillStart,
    /// Whether the endpoint had many requests at the start.
    pub busy: bool,
    /// Load at the first token, when the endpoint made its report.
    pub mark: Option<LoadMark>,
}

impl Active {
    /// Returns the work of the request for the fair share; prefill of a token costs a fraction of its generation.
    pub fn cost(&self) -> u64 {
        self.ask.prompt_tokens.0 / 16 + self.ask.max_tokens.0 + 1
    }

    /// Returns whether it has waited for twice its target, so that its answer would be worth little.
    pub fn is_overdue(&self, now: Time) -> bool {
        (now - self.since).as_secs_f64() >= 2.0 * self.goal
    }

    /// Returns the time until which an endpoint that failed this request is not tried again.
    pub fn paused_for(&self, endpoint: &EndpointId, now: Time) -> Option<Time> {
        let until = self.failed + RERUN_PAUSE;
        (now < until && self.tried.contains(endpoint)).then_some(until)
    }

    /// Returns the seconds left until its answer must begin.
    pub fn left(&self, now: Time) -> f64 {
        (self.due - now).as_secs_f64()
    }
}
