use std::time::Duration;

use crate::Rate;

/// Least rate of requests that a limit allows. An endpoint that names less, such as zero, is still tried now
/// and then, since only a response shows that the limit has ended.
const MIN_RATE: Rate = Rate(0.1);
/// Rate from which a limit is treated as none; no endpoint gets as many requests.
const MAX_RATE: Rate = Rate(1_000.0);

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

impl AnnouncedLimit {
    /// Returns the limit within the bounds that apply to all limits.
    #[must_use]
    pub fn bounded(self) -> Self {
        match self {
            Self::Limited(rate) if rate.0 >= MAX_RATE.0 => Self::Unlimited,
            Self::Limited(rate) => Self::Limited(Rate(rate.0.max(MIN_RATE.0))),
            Self::Unlimited | Self::Invalid => self,
        }
    }
}
