use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use carobwick_core::Fingerprint;
use carobwick_core::IdempotencyEvent;
use carobwick_core::KeyedRequest;
use carobwick_core::ResponseFormat;
use carobwick_core::RunStatus;
use carobwick_core::StoredResponse;
use carobwick_core::WriteId;
use carobwick_runtime::wall_ms;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::Xxh3;

use crate::context::Context;
use crate::context::InFlightGuard;
use crate::idempotency::IdempotencyStore;
use crate::idempotency::StartOutcome;
use crate::idempotency::record_key;
use crate::inbound::InboundRequest;
use crate::proxied_request::Output;
use crate::proxied_request::ProxiedRequest;
use crate::proxied_request::ResponseHead;
use crate::refusal::Refusal;

/// Time beyond its limits after which a request that has no answer yet is not in progress any more.
const MARGIN: Duration = Duration::from_secs(10);
/// Longest wait of an answer for its record; the record is completed after that too.
const SETTLE: Duration = Duration::from_secs(1);
/// Bytes of a stream that are collected for its record; a longer one is not kept.
const MAX_COLLECTED: usize = 1 << 20;
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

/// Starts a request with a key; it runs to its end even if its caller leaves, so that its outcome is recorded.
pub(crate) fn start(
    context: &Arc<Context>,
    inbound: InboundRequest,
    key: &str,
    in_flight: InFlightGuard,
) -> Result<mpsc::Receiver<Output>, Refusal> {
    context.records.admit()?;
    let limits = &context.settings.limits;
    let longest = match inbound.form {
        ResponseFormat::Stream => limits.stream_limit.duration(),
        ResponseFormat::Chat | ResponseFormat::Plain => limits.deadline.duration(),
    };
    let until = wall_ms() + (longest + MARGIN).as_millis() as u64;
    let write = WriteId(rand::random());
    let once = KeyedRequest::new(write, context.settings.instance.clone(), content(&inbound, key), until);
    let (outputs, shown) = mpsc::channel(1);
    let run = KeyedExecution {
        context: Arc::clone(context),
        once,
        key: record_key(&inbound.caller, key),
        outputs,
        limit: longest,
    };
    context.work.spawn(run.run(inbound, in_flight));
    Ok(shown)
}

struct KeyedExecution {
    context: Arc<Context>,
    once: KeyedRequest,
    key: String,
    outputs: mpsc::Sender<Output>,
    limit: Duration,
}

impl KeyedExecution {
    async fn run(mut self, inbound: InboundRequest, in_flight: InFlightGuard) {
        let context = Arc::clone(&self.context);
        match context.records.start(&mut self.once, &self.key).await {
            StartOutcome::Refuse(refusal) => self.show(Output::Refused(refusal.into())).await,
            StartOutcome::Replay(answer) => self.show(replay(answer)).await,
            StartOutcome::Run => self.fly(ProxiedRequest::start(context, inbound, in_flight)).await,
        }
    }

    async fn fly(&mut self, mut flight: ProxiedRequest) {
        let mut collected = BytesMut::new();
        loop {
            let output = flight.next().await;
            let ended = match &output {
                Output::Events(_, bytes) => {
                    collect(&mut collected, bytes);
                    self.show(output).await;
                    continue;
                }
                Output::Full(head, body) => IdempotencyEvent::Answered(stored(head, body)),
                Output::LastEvents(head, bytes) => {
                    collect(&mut collected, bytes);
                    IdempotencyEvent::Answered(stored(head, &collected))
                }
                Output::Refused(refusal) if refusal.run == RunStatus::No => IdempotencyEvent::NotRun,
                Output::Refused(_) | Output::Aborted(_) => IdempotencyEvent::Abandoned,
            };
            return self.end(output, ended).await;
        }
    }

    /// Settles the record, and shows the last output once that is done or takes too long.
    async fn end(&mut self, output: Output, ended: IdempotencyEvent) {
        let records: &IdempotencyStore = &self.context.records;
        let settle = records.settle(&mut self.once, &self.key, ended);
        let mut settle = std::pin::pin!(settle);
        let settled = tokio::time::timeout(SETTLE, settle.as_mut()).await.is_ok();
        // The caller is gone if the receiver is.
        let _gone = tokio::time::timeout(self.limit, self.outputs.send(output)).await;
        if !settled {
            settle.await;
        }
    }

    async fn show(&self, output: Output) {
        // A caller that left does not end the request, and one that stopped reading ends only its own answer.
        let _gone = tokio::time::timeout(self.limit, self.outputs.send(output)).await;
    }
}

/// Hashes what must be the same for a repeated request.
fn content(inbound: &InboundRequest, key: &str) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [inbound.caller.as_str(), key, inbound.method.as_str(), &inbound.path] {
        hash.update(part.as_bytes());
        hash.update(b"\n");
    }
    hash.update(&inbound.body);
    Fingerprint(hash.digest())
}

fn collect(collected: &mut BytesMut, bytes: &Bytes) {
    if collected.len() <= MAX_COLLECTED {
        collected.extend_from_slice(bytes);
    }
}

fn stored(head: &ResponseHead, body: &[u8]) -> StoredResponse {
    let content = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or_default();
    StoredResponse {
        status: head.status.as_u16(),
        content: content.to_owned(),
        body: body.to_vec(),
        kept: true,
    }
}

fn replay(answer: StoredResponse) -> Output {
    let mut headers = HeaderMap::new();
    if let Ok(content) = HeaderValue::from_str(&answer.content) {
        headers.insert(CONTENT_TYPE, content);
    }
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    Output::Full(ResponseHead { status, headers }, answer.body.into())
}
