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

/// A request as admission and routing see it.
#[data]
pub struct RequestInfo {
    /// The request.
    pub request: RequestId,
    /// What the request is for.
    pub target: RouteTarget,
    /// Who sent it.
    pub caller: CallerId,
    /// Added to the priority that the manifest gives to the model.
    pub priority: Priority,
    /// Hash of the part of the prompt that decides the prefix cache, see [`prefix_hash`](crate::prefix_hash).
    pub prefix_hash: u64,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Most tokens that it may generate.
    pub max_tokens: Tokens,
    /// Hash of model and body.
    pub fingerprint: Fingerprint,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether another zone's entry forwarded it; it is then not forwarded again.
    pub forwarded: bool,
    /// Time by which its answer must begin, if that is before the target of the manifest.
    pub deadline: Time,
}

/// What a request is for.
#[key]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// A model or adapter.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it to an endpoint of this zone.
    Send {
        /// The endpoint.
        endpoint: EndpointId,
        /// `IP:port` of the endpoint.
        addr: String,
        /// Run of the endpoint's process that is expected to answer.
        incarnation: Incarnation,
    },
    /// Forward it to an entry of another zone.
    Forward {
        /// The zone.
        zone: ZoneId,
        /// `IP:port` of the entry.
        addr: String,
    },
    /// Keep it until `poll` returns it.
    Wait,
    /// Refuse it.
    Refuse {
        /// Why.
        code: RefusalCode,
        /// Whether it may have run.
        run: RunStatus,
        /// Time after which the same request can be expected to be accepted.
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
    /// No endpoint that is up holds the model.
    Unavailable,
    /// It can't meet its target.
    Overloaded,
    /// It has crashed endpoints.
    CrashesEndpoint,
    /// An attempt failed and the budget for retries is used up.
    RetryBudget,
    /// An attempt failed and the request must not run twice.
    NotRepeatable,
}

/// Whether a refused request may have run.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// It did not run.
    No,
    /// It may have run.
    Unknown,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// The answer is complete.
    Complete {
        /// Tokens that it generated.
        tokens: Tokens,
    },
    /// The endpoint said that it did not run the request, or no byte was sent to it.
    NotRun,
    /// The connection or the endpoint failed; the request may have run.
    Failed,
    /// The endpoint goes on running but its answer is wrong or incomplete; the request may have run.
    Invalid,
    /// The caller or the entry gave up.
    Cancelled,
}

impl AttemptOutcome {
    /// Returns whether the request may have run without a whole answer.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Failed | Self::Invalid)
    }
}

impl RefusalCode {
    /// Returns the code as callers see it.
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
