use carobwick_core::AttemptId;
use carobwick_core::Incarnation;
use carobwick_core::LoadReport;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use serde::Deserialize;

use crate::header_names::ATTEMPT_ID;
use crate::header_names::INCARNATION;
use crate::header_names::LOAD;
use crate::header_names::REQUEST_ID;
use crate::header_names::RUN_STATUS;
use crate::inbound::InboundRequest;
use crate::outbound;

/// Values of the response headers that are meant for the entry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EntryHeaders {
    pub attempt: Option<AttemptId>,
    pub declined: bool,
    pub load: Option<LoadReport>,
    pub incarnation: Option<Incarnation>,
}

#[derive(Deserialize)]
struct ChatResponse {
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    completion_tokens: u64,
}

/// Parses the headers that are meant for the entry; an invalid one counts as missing.
pub(crate) fn parse_entry_headers<B>(response: &Response<B>) -> EntryHeaders {
    let headers = response.headers();
    EntryHeaders {
        attempt: parse_header(headers, &ATTEMPT_ID),
        declined: headers.get(RUN_STATUS).is_some_and(|value| value.as_bytes() == b"no"),
        load: parse_header(headers, &LOAD),
        incarnation: parse_header(headers, &INCARNATION),
    }
}

/// Returns the headers of the response to the caller, which include the request id.
pub(crate) fn caller_headers(inbound: &InboundRequest, response: &HeaderMap) -> HeaderMap {
    let mut headers = outbound::end_to_end_headers(response);
    for name in [ATTEMPT_ID, LOAD, INCARNATION, REQUEST_ID] {
        headers.remove(name);
    }
    if let Ok(request) = HeaderValue::from_str(&inbound.request.to_string()) {
        headers.insert(REQUEST_ID, request);
    }
    headers
}

/// Returns the number of completion tokens of a chat response, or `None` if it is incomplete.
///
/// A response is complete if each of its choices has a `finish_reason`.
pub(crate) fn complete_chat_tokens(body: &[u8]) -> Option<u64> {
    let response: ChatResponse = serde_json::from_slice(body).ok()?;
    let complete =
        !response.choices.is_empty() && response.choices.iter().all(|choice| choice.finish_reason.is_some());
    complete.then(|| response.usage.map_or(0, |usage| usage.completion_tokens))
}

fn parse_header<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
