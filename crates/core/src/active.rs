use std::time::Duration;

use crate::EndpointId;
use crate::Incarnation;
use crate::RequestSpec;
use crate::Time;
use crate::ZoneId;
use crate::load::LoadSnapshot;
use crate::prefill::PrefillStart;

/// Time after a failed attempt during which the request is not sent again to an endpoint that failed it, so
/// that a crash is detected before the attempts are used up.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A request from its admission to its end.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub info: RequestSpec,
    /// Group of its target, see [`TargetSpec`](crate::fleet::TargetSpec).
    pub group: usize,
    /// Number of the service of its target.
    pub service: usize,
    /// Time by which its response must begin.
    pub target_time: Time,
    /// Latency target of the manifest, in seconds.
    pub target_latency: f64,
    /// Time at which it last began to wait.
    pub waiting_since: Time,
    /// Service time in seconds that is assumed until one was measured.
    pub assumed_service: f64,
    pub phase: Phase,
    pub attempts: u32,
    /// Endpoints on which an attempt has ended.
    pub tried: Vec<EndpointId>,
    /// End of the latest of these attempts.
    pub failed_at: Time,
    /// Whether an attempt may have been executed.
    pub may_have_run: bool,
}

/// Phase of a request.
#[derive(Debug)]
pub(crate) enum Phase {
    /// In the queue.
    Waiting,
    /// Sent to an endpoint.
    Running(Attempt),
    /// Forwarded to an entry of another zone.
    Forwarded(ZoneId),
    /// Its last attempt has ended; the entry decides whether to retry.
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
    /// Whether the endpoint was busy at the start.
    pub was_busy: bool,
    /// Load at the first token, the time from which the load report of the response is.
    pub snapshot: Option<LoadSnapshot>,
}

impl ActiveRequest {
    /// Returns the work of the request for the fair share, in generated tokens; prefill of a token counts as
    /// 1/16.
    pub fn cost(&self) -> u64 {
        self.info.prompt_tokens.0 / 16 + self.info.max_tokens.0 + 1
    }

    /// Returns whether it has waited for twice its latency target; it is then refused, as its response is
    /// of little use.
    pub fn is_overdue(&self, now: Time) -> bool {
        (now - self.waiting_since).as_secs_f64() >= 2.0 * self.target_latency
    }

    /// Returns the time until which an endpoint that failed this request is not tried again, if that is later
    /// than `now`.
    pub fn paused_until(&self, endpoint: &EndpointId, now: Time) -> Option<Time> {
        let until = self.failed_at + RETRY_PAUSE;
        (now < until && self.tried.contains(endpoint)).then_some(until)
    }

    /// Returns the seconds left until its response must begin.
    pub fn time_left(&self, now: Time) -> f64 {
        (self.target_time - now).as_secs_f64()
    }
}
