use axum::Json;
use axum::response::IntoResponse;
use axum::response::Response;
use carobwick_core::AttemptId;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use serde_json::json;

use super::batch::Job;
use super::state::Core;
use crate::completion_text;
use crate::completion_token;

/// Error response to a chat request.
#[derive(Debug)]
pub(super) struct Refusal {
    status: StatusCode,
    code: &'static str,
    message: String,
    /// Whether the request may have run.
    may_have_run: bool,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    pub(super) fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into(), may_have_run: false }
    }

    /// Creates the refusal of a request that may have run.
    pub(super) fn may_have_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into(), may_have_run: true }
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let body = Json(json!({"error": {"code": self.code, "message": self.message}}));
        let mut response = (self.status, body).into_response();
        if !self.may_have_run {
            set_header(response.headers_mut(), "carobwick-run", "no");
        }
        response
    }
}

/// Adds the headers that every response of an endpoint carries.
pub(super) fn add_headers(core: &Core, attempt: Option<AttemptId>, mut response: Response) -> Response {
    let state = core.lock();
    let headers = response.headers_mut();
    set_header(headers, "carobwick-incarnation", &state.incarnation.to_string());
    if core.options.reports_load {
        set_header(headers, "carobwick-load", &core.load_report(&state).to_string());
    }
    drop(state);
    if let Some(attempt) = attempt {
        let wrong = core.faults.try_take(|faults| &mut faults.wrong_attempts);
        let sent = if wrong { AttemptId(attempt.0 ^ 1) } else { attempt };
        set_header(headers, "carobwick-attempt", &sent.to_string());
    }
    response
}

/// Builds the response to a chat request without a stream.
pub(super) fn chat_response(job: &Job, id: &str) -> Response {
    let response = json!({
        "id": id,
        "object": "chat.completion",
        "model": job.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": completion_text(job.hash, job.max_tokens)},
            "finish_reason": "stop",
        }],
        "usage": {
            "prompt_tokens": job.prompt_tokens,
            "completion_tokens": job.max_tokens,
            "total_tokens": job.prompt_tokens.0 + u64::from(job.max_tokens),
        },
    });
    Json(response).into_response()
}

/// Renders the event at `index` of a stream: the tokens come first, then the finish reason, then `[DONE]`.
///
/// Ids, model names and tokens need no escapes in JSON, so the text is formatted directly. Building a JSON
/// tree took most of the time of a stream.
pub(super) fn stream_event(job: &Job, id: &str, index: u32) -> String {
    let (delta, finish) = match index.checked_sub(job.max_tokens) {
        None => (format!(r#"{{"content":"{}"}}"#, completion_token(job.hash, index)), "null"),
        Some(0) => ("{}".to_owned(), r#""stop""#),
        Some(_) => return "data: [DONE]\n\n".to_owned(),
    };
    format!(
        "data: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"model\":\"{}\",\"choices\":\
         [{{\"index\":0,\"delta\":{delta},\"finish_reason\":{finish}}}]}}\n\n",
        job.model
    )
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
