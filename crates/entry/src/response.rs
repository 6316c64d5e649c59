use carobwick_core::AttemptId;
use carobwick_core::Incarnation;
use carobwick_core::LoadReport;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use serde::Deserialize;

use crate::header_names::ATTEMPT;
use crate::header_names::INCARNATION;
use crate::header_names::LOAD;
use crate::header_names::REQUEST;
use crate::header_names::RUN;
use crate::inbound::InboundRequest;
use crate::outbound;

/// What the head of an answer says to the entry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResponseInfo {
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

/// Reads the headers that are meant for the entry.
pub(crate) fn facts<B>(response: &Response<B>) -> ResponseInfo {
    let headers = response.headers();
    ResponseInfo {
        attempt: parse(headers, &ATTEMPT),
        declined: headers.get(RUN).is_some_and(|value| value.as_bytes() == b"no"),
        load: parse(headers, &LOAD),
        incarnation: parse(headers, &INCARNATION),
    }
}

/// Returns the headers that the caller sees.
pub(crate) fn headers(inbound: &InboundRequest, answer: &HeaderMap) -> HeaderMap {
    let mut headers = outbound::end_to_end(answer);
    for name in [ATTEMPT, LOAD, INCARNATION, REQUEST] {
        headers.remove(name);
    }
    if let Ok(request) = HeaderValue::from_str(&inbound.request.to_string()) {
        headers.insert(REQUEST, request);
    }
    headers
}

/// Returns the tokens of a chat answer if it is complete: each choice has its `finish_reason`.
pub(crate) fn complete_chat(body: &[u8]) -> Option<u64> {
    let answer: ChatResponse = serde_json::from_slice(body).ok()?;
    let complete =
        !answer.choices.is_empty() && answer.choices.iter().all(|choice| choice.finish_reason.is_some());
    complete.then(|| answer.usage.map_or(0, |usage| usage.completion_tokens))
}

fn parse<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
