use std::fmt;
use std::time::Duration;

use bytes::BytesMut;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use tokio::time::Instant;

use super::client::Client;
use super::request::Expected;
use super::request::GeneratedRequest;

/// Outcome of one request of a load run.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// The response is complete and belongs to the request.
    Complete,
    /// The request was refused with this code and did not run.
    Refused(String),
    /// The response is an error with this code, and the request may have run.
    Failed(String),
    /// The connection could not be opened.
    Unconnected,
    /// The connection broke before the response was complete.
    Broken,
    /// The response ended early without an error.
    Truncated,
    /// The response belongs to another request.
    Foreign,
    /// The response was not complete within the timeout.
    Timeout,
}

/// Outcome and latencies of one request.
#[derive(Debug)]
pub(super) struct RequestResult {
    pub outcome: Outcome,
    /// Time to the first token of a stream.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens of a stream.
    pub token_gaps: Vec<Duration>,
}

/// Progress of reading a stream and comparing it with the expected text.
struct StreamCheck<'a> {
    expected: &'a str,
    due: Instant,
    matched_bytes: usize,
    has_finish_reason: bool,
    last_token: Option<Instant>,
    first_token: Option<Duration>,
    token_gaps: Vec<Duration>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Complete => f.write_str("complete"),
            Self::Refused(code) => write!(f, "refused {code}"),
            Self::Failed(code) => write!(f, "failed {code}"),
            Self::Unconnected => f.write_str("unconnected"),
            Self::Broken => f.write_str("broken"),
            Self::Truncated => f.write_str("truncated"),
            Self::Foreign => f.write_str("foreign"),
            Self::Timeout => f.write_str("timeout"),
        }
    }
}

impl RequestResult {
    pub(super) fn failed(outcome: Outcome) -> Self {
        Self { outcome, first_token: None, token_gaps: Vec::new() }
    }
}

/// Sends a request and checks the response; latencies count from `due`.
pub(super) async fn send_and_check(
    client: &Client,
    generated: &GeneratedRequest,
    due: Instant,
) -> RequestResult {
    let (mut response, connection) = match client.send(generated).await {
        Ok(sent) => sent,
        Err(err) if err.is::<std::io::Error>() => return RequestResult::failed(Outcome::Unconnected),
        Err(_) => return RequestResult::failed(Outcome::Broken),
    };
    if !has_own_attempt(generated, &response) {
        return RequestResult::failed(Outcome::Foreign);
    }
    let result = match &generated.expected {
        Expected::Stream(text) if response.status().is_success() => {
            let stream = StreamCheck {
                expected: text,
                due,
                matched_bytes: 0,
                has_finish_reason: false,
                last_token: None,
                first_token: None,
                token_gaps: Vec::with_capacity(64),
            };
            stream.run(response.body_mut()).await
        }
        _ => RequestResult::failed(check_body(generated, response).await),
    };
    if !matches!(result.outcome, Outcome::Broken | Outcome::Truncated) {
        connection.release();
    }
    result
}

impl StreamCheck<'_> {
    async fn run(mut self, body: &mut Incoming) -> RequestResult {
        let mut buffer = BytesMut::new();
        let mut ended = None;
        // The body is read to its end even after the last event, so that the connection can be reused.
        loop {
            match body.frame().await {
                None => break,
                Some(Err(_)) => {
                    ended.get_or_insert(Outcome::Broken);
                    break;
                }
                Some(Ok(frame)) => {
                    buffer.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
                    while let Some(line) = take_line(&mut buffer) {
                        if let Some(outcome) = self.read_line(&line) {
                            ended.get_or_insert(outcome);
                        }
                    }
                }
            }
        }
        let outcome = ended.unwrap_or(Outcome::Truncated);
        RequestResult { outcome, first_token: self.first_token, token_gaps: self.token_gaps }
    }

    /// Reads one line and returns the outcome of the request if this line decides it.
    fn read_line(&mut self, line: &[u8]) -> Option<Outcome> {
        let event = line.strip_prefix(b"data:")?.trim_ascii();
        if event == b"[DONE]" {
            let complete = self.has_finish_reason && self.matched_bytes == self.expected.len();
            return Some(if complete { Outcome::Complete } else { Outcome::Truncated });
        }
        let Ok(event) = serde_json::from_slice::<Value>(event) else {
            return Some(Outcome::Failed("bad_event".to_owned()));
        };
        if event.get("error").is_some() {
            return Some(Outcome::Failed(error_code(&event)));
        }
        let choice = &event["choices"][0];
        self.has_finish_reason |= choice["finish_reason"].is_string();
        let text = choice["delta"]["content"].as_str().unwrap_or_default();
        if text.is_empty() {
            return None;
        }
        if !self.expected[self.matched_bytes..].starts_with(text) {
            return Some(Outcome::Foreign);
        }
        self.matched_bytes += text.len();
        let now = Instant::now();
        match self.last_token.replace(now) {
            None => self.first_token = Some(now - self.due),
            Some(last) => self.token_gaps.push(now - last),
        }
        None
    }
}

async fn check_body(generated: &GeneratedRequest, response: Response<Incoming>) -> Outcome {
    let status = response.status();
    let not_run = response.headers().get("carobwick-run").is_some_and(|run| run == "no");
    let Ok(body) = response.into_body().collect().await else {
        return Outcome::Broken;
    };
    let Ok(json) = serde_json::from_slice::<Value>(&body.to_bytes()) else {
        return Outcome::Failed(format!("{} without JSON", status.as_u16()));
    };
    if !status.is_success() {
        let code = format!("{} {}", status.as_u16(), error_code(&json));
        let refused = not_run || json["error"]["run"] == "no";
        return if refused { Outcome::Refused(code) } else { Outcome::Failed(code) };
    }
    let own = match &generated.expected {
        Expected::Service(hash) => json["request"] == **hash,
        Expected::Chat(text) | Expected::Stream(text) => {
            let choice = &json["choices"][0];
            if !choice["finish_reason"].is_string() {
                return Outcome::Truncated;
            }
            choice["message"]["content"] == **text
        }
    };
    if own { Outcome::Complete } else { Outcome::Foreign }
}

/// Returns whether the response carries the request's attempt id, or the request has none.
fn has_own_attempt(generated: &GeneratedRequest, response: &Response<Incoming>) -> bool {
    let Some(attempt) = generated.attempt else {
        return true;
    };
    let received = response.headers().get("carobwick-attempt").and_then(|value| value.to_str().ok());
    received.and_then(|text| text.parse().ok()) == Some(attempt)
}

fn error_code(body: &Value) -> String {
    body["error"]["code"].as_str().unwrap_or("without code").to_owned()
}

fn take_line(buffer: &mut BytesMut) -> Option<BytesMut> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    Some(buffer.split_to(end + 1))
}
