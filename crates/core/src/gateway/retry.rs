use crate::gateway::RouteKind;
use crate::gateway::ServiceRoute;

/// Number of sends beyond the attempts of a route that are allowed while no endpoint has run the request.
const EXTRA_SENDS: u32 = 2;

/// How a send ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of the request was written.
    Unsent,
    /// No byte was written, since the configuration no longer has the request's key.
    Revoked,
    /// The endpoint said that it did not run the request.
    Declined,
    /// The endpoint responded with a failure of its own; it may have run the request.
    Failed,
    /// The response was lost or belonged to another request; the request may have run.
    Lost,
}

/// Counts of the sends of one attempt of a caller so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of sends, including the last one.
    pub sends: u32,
    /// Number of endpoints that may have run the request.
    pub runs: u32,
    /// Whether a part of the response was forwarded to the caller.
    pub shown: bool,
}

/// What follows a failed send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// Send the request to another endpoint, if the retry budget allows it.
    Again,
    /// Forward the failure of the endpoint to the caller.
    PassOn,
    /// Refuse the request, which has not run.
    Refuse,
    /// Reject the request, whose key is no longer valid and which has not run.
    Deny,
    /// Respond that the outcome of the request is unknown.
    Unknown,
    /// Abort the response.
    BreakOff,
}

impl Progress {
    /// Counts a send and how it ended.
    pub fn count(&mut self, failure: SendFailure) {
        match failure {
            SendFailure::Unsent | SendFailure::Revoked => {}
            SendFailure::Declined => self.sends += 1,
            SendFailure::Failed | SendFailure::Lost => {
                self.sends += 1;
                self.runs += 1;
            }
        }
    }
}

/// Returns what follows a failed send, which `progress` already includes.
///
/// A request that may have run is sent again only on a route that allows it, and is refused only if it cannot
/// have run.
pub fn next_step(route: &ServiceRoute, failure: SendFailure, progress: Progress) -> RetryStep {
    let can_send = progress.sends < route.max_attempts + EXTRA_SENDS;
    let can_repeat = route.is_repeatable() && progress.runs < route.max_attempts;
    match failure {
        SendFailure::Unsent | SendFailure::Declined if can_send && (progress.runs == 0 || can_repeat) => {
            RetryStep::Again
        }
        SendFailure::Failed | SendFailure::Lost if can_repeat && can_send => RetryStep::Again,
        _ if progress.shown => RetryStep::BreakOff,
        SendFailure::Revoked if progress.runs == 0 => RetryStep::Deny,
        SendFailure::Unsent | SendFailure::Declined if progress.runs == 0 => RetryStep::Refuse,
        SendFailure::Failed => RetryStep::PassOn,
        _ => RetryStep::Unknown,
    }
}

impl RouteKind {
    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        match self {
            Self::Streaming => true,
            Self::Idempotent | Self::NonIdempotent => false,
        }
    }
}
