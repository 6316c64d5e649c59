use std::time::Duration;

use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use carobwick_core::IdempotencyRefusal;
use carobwick_core::RefusalCode;
use carobwick_core::RunStatus;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use serde_json::json;

use crate::header_names::RUN_STATUS;

/// Response to a request that is refused or that fails before its response is complete.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    pub code: Code,
    pub message: String,
    pub run_status: RunStatus,
    pub retry_after: Option<Duration>,
}

/// Stable code of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Code {
    BadHeader,
    BadJson,
    BadRequest,
    BodyTimeout,
    BodyTooLarge,
    UnknownModel,
    UnknownPath,
    UnknownService,
    WrongMethod,
    Deadline,
    EndpointFailed,
    ResponseLost,
    InProgress,
    KeyReused,
    ResponseNotKept,
    IdempotencyRate,
    IdempotencyUnavailable,
    OutcomeUnknown,
    Dispatch(RefusalCode),
    NotReady,
    TooManyRequests,
}

impl Refusal {
    /// Builds a refusal of a request that did not run.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), run_status: RunStatus::No, retry_after: None }
    }

    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    #[must_use]
    pub fn with_run_status(mut self, run_status: RunStatus) -> Self {
        self.run_status = run_status;
        self
    }

    /// Renders the JSON body.
    pub fn to_json(&self) -> String {
        let mut error = json!({"code": self.code.as_str(), "message": self.message, "run": self.run_status});
        if let Some(delay) = self.retry_after {
            error["retry_after_ms"] = json!(delay.as_millis() as u64);
        }
        json!({"error": error}).to_string()
    }

    /// Renders the error event that ends a stream of which a part was sent.
    pub fn to_event(&self) -> Bytes {
        Bytes::from(format!("event: error\ndata: {}\n\n", self.to_json()))
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let mut response = Response::new(self.to_json().into());
        *response.status_mut() = self.code.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.run_status == RunStatus::No {
            headers.insert(RUN_STATUS, HeaderValue::from_static("no"));
        }
        if let Some(delay) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(delay.as_millis().div_ceil(1_000).max(1) as u64));
        }
        response
    }
}

impl From<IdempotencyRefusal> for Refusal {
    fn from(refusal: IdempotencyRefusal) -> Self {
        let retry_delay = Duration::from_secs(1);
        match refusal {
            IdempotencyRefusal::InProgress => {
                Self::new(Code::InProgress, "a request with this key is running")
                    .with_run_status(RunStatus::Unknown)
                    .with_retry_after(retry_delay)
            }
            IdempotencyRefusal::OutcomeUnknown => Self::new(
                Code::OutcomeUnknown,
                "a request with this key may have run; its answer is not known",
            )
            .with_run_status(RunStatus::Unknown),
            IdempotencyRefusal::NotKept => Self::new(
                Code::ResponseNotKept,
                "the request with this key is done; its answer was too large to keep",
            )
            .with_run_status(RunStatus::Unknown),
            IdempotencyRefusal::KeyReused => {
                Self::new(Code::KeyReused, "this key was used for another request")
            }
            IdempotencyRefusal::Unavailable => {
                Self::new(Code::IdempotencyUnavailable, "idempotency records are unavailable")
                    .with_retry_after(retry_delay)
            }
        }
    }
}

impl Code {
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadHeader => "bad_header",
            Self::BadJson => "bad_json",
            Self::BadRequest => "bad_request",
            Self::BodyTimeout => "body_timeout",
            Self::BodyTooLarge => "body_too_large",
            Self::UnknownModel => "unknown_model",
            Self::UnknownPath => "unknown_path",
            Self::UnknownService => "unknown_service",
            Self::WrongMethod => "wrong_method",
            Self::Deadline => "deadline",
            Self::EndpointFailed => "endpoint_failed",
            Self::ResponseLost => "answer_lost",
            Self::InProgress => "in_progress",
            Self::KeyReused => "key_reused",
            Self::ResponseNotKept => "answer_not_kept",
            Self::IdempotencyRate => "once_rate",
            Self::IdempotencyUnavailable => "once_unavailable",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Dispatch(code) => code.as_str(),
            Self::NotReady => "not_ready",
            Self::TooManyRequests => "too_many_requests",
        }
    }

    pub fn status(self) -> StatusCode {
        match self {
            Self::Dispatch(code) => {
                StatusCode::from_u16(code.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
            }
            Self::BadHeader | Self::BadJson | Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnknownModel | Self::UnknownPath | Self::UnknownService => StatusCode::NOT_FOUND,
            Self::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::EndpointFailed | Self::ResponseLost => StatusCode::BAD_GATEWAY,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::InProgress | Self::OutcomeUnknown | Self::ResponseNotKept => StatusCode::CONFLICT,
            Self::IdempotencyRate => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady | Self::IdempotencyUnavailable | Self::TooManyRequests => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }
}
