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

/// Time added to the longest duration of a request; after that it no longer counts as in progress.
const IN_PROGRESS_MARGIN: Duration = Duration::from_secs(10);
/// Longest time that a response waits for its record to be finished, which continues after that.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of a stream that are collected for its record; a longer stream is not stored.
const MAX_COLLECTED_BYTES: usize = 1 << 20;
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

/// Spawns a request with an idempotency key and returns the receiver of its output.
///
/// The request runs to its end even if its caller disconnects, so that its outcome is recorded.
pub(crate) fn spawn(
    context: &Arc<Context>,
    inbound: InboundRequest,
    key: &str,
    in_flight: InFlightGuard,
) -> Result<mpsc::Receiver<Output>, Refusal> {
    context.idempotency.admit()?;
    let limits = &context.settings.limits;
    let longest = match inbound.format {
        ResponseFormat::Stream => limits.stream_limit.duration(),
        ResponseFormat::Chat | ResponseFormat::Plain => limits.deadline.duration(),
    };
    let until_ms = wall_ms() + (longest + IN_PROGRESS_MARGIN).as_millis() as u64;
    let write_id = WriteId(rand::random());
    let keyed_request = KeyedRequest::new(
        write_id,
        context.settings.instance.clone(),
        request_fingerprint(&inbound, key),
        until_ms,
    );
    let (outputs, receiver) = mpsc::channel(1);
    let execution = KeyedExecution {
        context: Arc::clone(context),
        keyed_request,
        key: record_key(&inbound.caller, key),
        outputs,
        max_duration: longest,
    };
    context.tasks.spawn(execution.run(inbound, in_flight));
    Ok(receiver)
}

struct KeyedExecution {
    context: Arc<Context>,
    keyed_request: KeyedRequest,
    key: String,
    outputs: mpsc::Sender<Output>,
    max_duration: Duration,
}

impl KeyedExecution {
    async fn run(mut self, inbound: InboundRequest, in_flight: InFlightGuard) {
        let context = Arc::clone(&self.context);
        match context.idempotency.start(&mut self.keyed_request, &self.key).await {
            StartOutcome::Refuse(refusal) => self.send_output(Output::Refused(refusal.into())).await,
            StartOutcome::Replay(response) => self.send_output(replay_output(response)).await,
            StartOutcome::Run => self.execute(ProxiedRequest::start(context, inbound, in_flight)).await,
        }
    }

    async fn execute(&mut self, mut request: ProxiedRequest) {
        let mut collected = BytesMut::new();
        loop {
            let output = request.next_output().await;
            let outcome = match &output {
                Output::Events(_, bytes) => {
                    collect(&mut collected, bytes);
                    self.send_output(output).await;
                    continue;
                }
                Output::Full(head, body) => IdempotencyEvent::Answered(stored_response(head, body)),
                Output::LastEvents(head, bytes) => {
                    collect(&mut collected, bytes);
                    IdempotencyEvent::Answered(stored_response(head, &collected))
                }
                Output::Refused(refusal) if refusal.run_status == RunStatus::No => IdempotencyEvent::NotRun,
                Output::Refused(_) | Output::Aborted(_) => IdempotencyEvent::Abandoned,
            };
            return self.finish(output, outcome).await;
        }
    }

    /// Finishes the record, and sends the last output once that is done or [`RECORD_TIMEOUT`] has passed.
    async fn finish(&mut self, output: Output, outcome: IdempotencyEvent) {
        let idempotency: &IdempotencyStore = &self.context.idempotency;
        let finish_record = idempotency.finish_record(&mut self.keyed_request, &self.key, outcome);
        let mut finish_record = std::pin::pin!(finish_record);
        let finished = tokio::time::timeout(RECORD_TIMEOUT, finish_record.as_mut()).await.is_ok();
        // Fails if the caller disconnected.
        let _gone = tokio::time::timeout(self.max_duration, self.outputs.send(output)).await;
        if !finished {
            finish_record.await;
        }
    }

    async fn send_output(&self, output: Output) {
        // A caller that disconnects does not end the request; one that stops reading loses only its own response.
        let _gone = tokio::time::timeout(self.max_duration, self.outputs.send(output)).await;
    }
}

/// Returns the hash of all that must be equal when an idempotency key is used again.
fn request_fingerprint(inbound: &InboundRequest, key: &str) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [inbound.caller.as_str(), key, inbound.method.as_str(), &inbound.path] {
        hash.update(part.as_bytes());
        hash.update(b"\n");
    }
    hash.update(&inbound.body);
    Fingerprint(hash.digest())
}

fn collect(collected: &mut BytesMut, bytes: &Bytes) {
    if collected.len() <= MAX_COLLECTED_BYTES {
        collected.extend_from_slice(bytes);
    }
}

fn stored_response(head: &ResponseHead, body: &[u8]) -> StoredResponse {
    let content = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or_default();
    StoredResponse {
        status: head.status.as_u16(),
        content: content.to_owned(),
        body: body.to_vec(),
        kept: true,
    }
}

fn replay_output(response: StoredResponse) -> Output {
    let mut headers = HeaderMap::new();
    if let Ok(content) = HeaderValue::from_str(&response.content) {
        headers.insert(CONTENT_TYPE, content);
    }
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK);
    Output::Full(ResponseHead { status, headers }, response.body.into())
}
