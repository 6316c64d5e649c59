use std::fmt;
use std::time::Duration;

use carobwick_derive::data;
use carobwick_derive::key;

use crate::CallerId;
use crate::EndpointId;
use crate::Fingerprint;
use crate::Incarnation;
use crate::ModelId;
use crate::Priority;
use crate::RequestId;
use crate::ServiceId;
use crate::Time;
use crate::Tokens;
use crate::ZoneId;

/// Description of a request for admission and routing.
#[data]
pub struct RequestSpec {
    /// Id of the request.
    pub request: RequestId,
    /// Model, adapter or service that the request is for.
    pub target: RouteTarget,
    /// Caller that sent it.
    pub caller: CallerId,
    /// Priority that is added to the one that the manifest gives to the model.
    pub priority: Priority,
    /// Hash of the prompt prefix, by which a cached prefix is found; see [`prefix_hash`](crate::prefix_hash).
    pub prefix_hash: u64,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Most tokens that it may generate.
    pub max_tokens: Tokens,
    /// Hash of model and body.
    pub fingerprint: Fingerprint,
    /// Whether it may be executed more than once.
    pub repeatable: bool,
    /// Whether an entry of another zone forwarded it; it is then not forwarded again.
    pub forwarded: bool,
    /// Time by which its response must begin, if that is before the latency target of the manifest.
    pub deadline: Time,
}

/// Target of a request.
#[key]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// A model or adapter.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

/// Decision on a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it to an endpoint of this zone.
    Send {
        /// The endpoint.
        endpoint: EndpointId,
        /// Address of the endpoint as `IP:port`.
        addr: String,
        /// Incarnation of the endpoint that is expected to respond.
        incarnation: Incarnation,
    },
    /// Forward it to an entry of another zone.
    Forward {
        /// The zone.
        zone: ZoneId,
        /// Address of the entry as `IP:port`.
        addr: String,
    },
    /// Keep it until [`Dispatcher::poll`](crate::Dispatcher::poll) returns a decision on it.
    Wait,
    /// Refuse it.
    Refuse {
        /// Reason of the refusal.
        code: RefusalCode,
        /// Whether it may have been executed.
        run: RunStatus,
        /// Time after which a retry can be expected to be accepted.
        retry_after: Option<Duration>,
    },
}

/// Why a request is refused.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The manifest has no such model or service.
    NotFound,
    /// The model takes no new requests.
    Retiring,
    /// No endpoint that is up has the model resident.
    Unavailable,
    /// It can't meet its latency target.
    Overloaded,
    /// It was convicted of crashing endpoints.
    CrashesEndpoint,
    /// An attempt failed and the retry budget is used up.
    RetryBudget,
    /// An attempt failed and the request must not be executed twice.
    NotRepeatable,
}

/// Whether a refused request may have been executed.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// It was not executed.
    No,
    /// It may have been executed.
    Unknown,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// The response is complete.
    Complete {
        /// Number of tokens that were generated.
        tokens: Tokens,
    },
    /// The endpoint reported that it did not execute the request, or no byte was sent to it.
    NotRun,
    /// The connection or the endpoint failed; the request may have been executed.
    Failed,
    /// The endpoint is still running, but its response is wrong or incomplete; the request may have been
    /// executed.
    Invalid,
    /// The caller or the entry cancelled the request.
    Cancelled,
}

impl AttemptOutcome {
    /// Returns whether the request may have been executed without a complete response.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Failed | Self::Invalid)
    }
}

impl RefusalCode {
    /// Returns the code as it is sent to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotFound => "not_found",
            Self::Retiring => "retiring",
            Self::Unavailable => "unavailable",
            Self::Overloaded => "overloaded",
            Self::CrashesEndpoint => "crashes_endpoint",
            Self::RetryBudget => "retry_budget",
            Self::NotRepeatable => "not_repeatable",
        }
    }

    /// Returns the HTTP status that goes with the code.
    pub fn status(self) -> u16 {
        match self {
            Self::NotFound => 404,
            Self::Retiring => 410,
            Self::CrashesEndpoint => 422,
            Self::Overloaded => 429,
            Self::NotRepeatable => 502,
            Self::Unavailable | Self::RetryBudget => 503,
        }
    }
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
