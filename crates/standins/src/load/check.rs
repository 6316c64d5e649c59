use std::fmt;
use std::time::Duration;

use bytes::BytesMut;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use tokio::time::Instant;

use super::client::Client;
use super::request::Asked;
use super::request::Expected;

/// What became of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// The answer is complete and the caller's own.
    Complete,
    /// The request was refused with this code and did not run.
    Refused(String),
    /// The answer is an error with this code, and the request may have run.
    Failed(String),
    /// No connection could be made.
    Unconnected,
    /// The connection broke before the answer was complete.
    Broken,
    /// The answer ended early, without an error.
    Truncated,
    /// The answer belongs to another request.
    Foreign,
    /// The answer took too long.
    Timeout,
}

/// Outcome and times of one request.
#[derive(Debug)]
pub(super) struct Exchange {
    pub outcome: Outcome,
    /// Time to the first token of a stream.
    pub first: Option<Duration>,
    /// Times between the tokens of a stream.
    pub gaps: Vec<Duration>,
}

/// What has been read of a stream.
struct Stream<'a> {
    expected: &'a str,
    due: Instant,
    read: usize,
    stopped: bool,
    last: Option<Instant>,
    first: Option<Duration>,
    gaps: Vec<Duration>,
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

impl Exchange {
    pub(super) fn failed(outcome: Outcome) -> Self {
        Self { outcome, first: None, gaps: Vec::new() }
    }
}

/// Sends a request and checks the answer; times count from `due`.
pub(super) async fn exchange(client: &Client, asked: &Asked, due: Instant) -> Exchange {
    let (mut response, lent) = match client.send(asked).await {
        Ok(sent) => sent,
        Err(err) if err.is::<std::io::Error>() => return Exchange::failed(Outcome::Unconnected),
        Err(_) => return Exchange::failed(Outcome::Broken),
    };
    if !is_own(asked, &response) {
        return Exchange::failed(Outcome::Foreign);
    }
    let exchange = match &asked.expected {
        Expected::Stream(text) if response.status().is_success() => {
            let stream = Stream {
                expected: text,
                due,
                read: 0,
                stopped: false,
                last: None,
                first: None,
                gaps: Vec::with_capacity(64),
            };
            stream.run(response.body_mut()).await
        }
        _ => Exchange::failed(whole(asked, response).await),
    };
    if !matches!(exchange.outcome, Outcome::Broken | Outcome::Truncated) {
        lent.finished();
    }
    exchange
}

impl Stream<'_> {
    async fn run(mut self, body: &mut Incoming) -> Exchange {
        let mut buffer = BytesMut::new();
        let mut ended = None;
        // The body is read to its end even after the last event, so that the connection can be used again.
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
                        if let Some(outcome) = self.line(&line) {
                            ended.get_or_insert(outcome);
                        }
                    }
                }
            }
        }
        let outcome = ended.unwrap_or(Outcome::Truncated);
        Exchange { outcome, first: self.first, gaps: self.gaps }
    }

    /// Reads one line and returns the outcome if it decides it.
    fn line(&mut self, line: &[u8]) -> Option<Outcome> {
        let event = line.strip_prefix(b"data:")?.trim_ascii();
        if event == b"[DONE]" {
            let complete = self.stopped && self.read == self.expected.len();
            return Some(if complete { Outcome::Complete } else { Outcome::Truncated });
        }
        let Ok(event) = serde_json::from_slice::<Value>(event) else {
            return Some(Outcome::Failed("bad_event".to_owned()));
        };
        if event.get("error").is_some() {
            return Some(Outcome::Failed(code(&event)));
        }
        let choice = &event["choices"][0];
        self.stopped |= choice["finish_reason"].is_string();
        let text = choice["delta"]["content"].as_str().unwrap_or_default();
        if text.is_empty() {
            return None;
        }
        if !self.expected[self.read..].starts_with(text) {
            return Some(Outcome::Foreign);
        }
        self.read += text.len();
        let now = Instant::now();
        match self.last.replace(now) {
            None => self.first = Some(now - self.due),
            Some(last) => self.gaps.push(now - last),
        }
        None
    }
}

async fn whole(asked: &Asked, response: Response<Incoming>) -> Outcome {
    let status = response.status();
    let header = response.headers().get("carobwick-run").is_some_and(|run| run == "no");
    let Ok(body) = response.into_body().collect().await else {
        return Outcome::Broken;
    };
    let Ok(answer) = serde_json::from_slice::<Value>(&body.to_bytes()) else {
        return Outcome::Failed(format!("{} without JSON", status.as_u16()));
    };
    if !status.is_success() {
        let code = format!("{} {}", status.as_u16(), code(&answer));
        let refused = header || answer["error"]["run"] == "no";
        return if refused { Outcome::Refused(code) } else { Outcome::Failed(code) };
    }
    let own = match &asked.expected {
        Expected::Service(hash) => answer["request"] == **hash,
        Expected::Whole(text) | Expected::Stream(text) => {
            let choice = &answer["choices"][0];
            if !choice["finish_reason"].is_string() {
                return Outcome::Truncated;
            }
            choice["message"]["content"] == **text
        }
    };
    if own { Outcome::Complete } else { Outcome::Foreign }
}

/// Returns whether a stand-in's answer carries the id of the attempt.
fn is_own(asked: &Asked, response: &Response<Incoming>) -> bool {
    let Some(attempt) = asked.attempt else {
        return true;
    };
    let shown = response.headers().get("carobwick-attempt").and_then(|value| value.to_str().ok());
    shown.and_then(|text| text.parse().ok()) == Some(attempt)
}

fn code(answer: &Value) -> String {
    answer["error"]["code"].as_str().unwrap_or("without code").to_owned()
}

fn take_line(buffer: &mut BytesMut) -> Option<BytesMut> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    Some(buffer.split_to(end + 1))
}
