use std::time::Duration;

use crate::Rate;

/// State of an endpoint that it announces in a response, independent of the result of the request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EndpointNotice {
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Time for which the endpoint asks this instance to send no request.
    pub pause: Option<Duration>,
    /// Rate limit of the endpoint.
    pub limit: AnnouncedLimit,
}

/// Rate limit that an endpoint announces in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum AnnouncedLimit {
    /// The response names no limit.
    #[default]
    Unlimited,
    /// Requests per second that the endpoint accepts from all instances together.
    Limited(Rate),
    /// The response names a limit that is not a number of requests per second.
    Invalid,
}
