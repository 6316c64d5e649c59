use crate::gateway::RouteKind;
use crate::gateway::ServiceRoute;

/// Sends beyond a route's attempts that are allowed while no endpoint has run the request.
const EXTRA_SENDS: u32 = 2;

/// How a send ended without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of the request was written.
    Unsent,
    /// The endpoint said that it did not run the request.
    Declined,
    /// The endpoint answered with a failure of its own; it may have run the request.
    Failed,
    /// The answer was lost, or was no answer to this request; it may have run.
    Lost,
}

/// Sends of one attempt of a caller so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Sends, the last one included.
    pub sends: u32,
    /// Endpoints that may have run the request.
    pub runs: u32,
    /// Whether a part of the answer reached the caller.
    pub shown: bool,
}

/// What follows a failed send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// Send it to another endpoint, if the retry budget allows.
    Again,
    /// Pass on the endpoint's own failure.
    PassOn,
    /// Refuse: the request has not run.
    Refuse,
    /// Answer that the outcome is unknown.
    Unknown,
    /// Break off the answer.
    BreakOff,
}

impl Progress {
    /// Counts a send and how it ended.
    pub fn count(&mut self, failure: SendFailure) {
        match failure {
            SendFailure::Unsent => {}
            SendFailure::Declined => self.sends += 1,
            SendFailure::Failed | SendFailure::Lost => {
                self.sends += 1;
                self.runs += 1;
            }
        }
    }
}

/// Returns what follows a failed send, which `progress` includes already.
///
/// A request that may have run is sent again only on a route that allows it, and a refusal is given only while it
/// cannot have run.
pub fn next_step(route: &ServiceRoute, failure: SendFailure, progress: Progress) -> RetryStep {
    let has_sends = progress.sends < route.max_attempts + EXTRA_SENDS;
    let can_rerun = route.may_rerun() && progress.runs < route.max_attempts;
    match failure {
        SendFailure::Unsent | SendFailure::Declined if has_sends && (progress.runs == 0 || can_rerun) => {
            RetryStep::Again
        }
        SendFailure::Failed | SendFailure::Lost if can_rerun && has_sends => RetryStep::Again,
        _ if progress.shown => RetryStep::BreakOff,
        SendFailure::Unsent | SendFailure::Declined if progress.runs == 0 => RetryStep::Refuse,
        SendFailure::Failed => RetryStep::PassOn,
        _ => RetryStep::Unknown,
    }
}

impl RouteKind {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        match self {
            Self::Streaming => true,
            Self::Idempotent | Self::NonIdempotent => false,
        }
    }
}
