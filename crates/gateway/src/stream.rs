use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use carobwick_core::gateway::Choice;
use carobwick_core::gateway::MemoryUse;
use carobwick_core::gateway::PacedLoad;
use carobwick_core::gateway::RetryStep;
use carobwick_core::gateway::SendFailure;
use carobwick_core::gateway::SendOutcome;
use carobwick_runtime::now;
use futures_util::StreamExt;
use futures_util::stream;
use futures_util::stream::LocalBoxStream;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Sleep;

use crate::buffer::BufferShare;
use crate::endpoint_request::EndpointRequest;
use crate::endpoint_request::EndpointResponse;
use crate::events::EventFramer;
use crate::events::FramedEvents;
use crate::proxied_request::ProxiedRequest;
use crate::response::BodyError;
use crate::response::ResponseBody;
use crate::response::strip_hop_by_hop;
use crate::suspicion::SuspicionStep;

/// Reason for which a stream is resumed or aborted.
const BROKEN_OFF: &str = "ended within an event or before the first one";

/// Forwards the events of an endpoint's response to the caller as they arrive.
pub(crate) fn stream_response(
    proxied: &ProxiedRequest,
    response: EndpointResponse,
) -> Response<ResponseBody> {
    let EndpointResponse { request, head, response } = response;
    let (mut parts, incoming) = response.into_parts();
    let framed = is_framed(&parts.headers);
    strip_hop_by_hop(&mut parts.headers);
    let timer = Box::pin(tokio::time::sleep(proxied.deadline - now()));
    let share = proxied.state.buffers.open_share(MemoryUse::Running);
    let body = EndpointBody { incoming, request, head_load: head.load, timer, started: false, share, framed };
    let content_type = parts.headers.get(CONTENT_TYPE).cloned();
    let events = if proxied.route.resumable {
        // Another endpoint may send the rest of the stream in events of other sizes.
        parts.headers.remove(CONTENT_LENGTH);
        resumable_stream(body, proxied.clone_for_resume(), content_type)
    } else {
        stream::unfold(Some(PlainStream { body, framer: EventFramer::default() }), next_plain_chunk)
            .boxed_local()
    };
    Response::from_parts(parts, ResponseBody::Streamed(events))
}

/// Body of an endpoint's response.
struct EndpointBody {
    incoming: Incoming,
    request: EndpointRequest,
    head_load: Option<PacedLoad>,
    timer: Pin<Box<Sleep>>,
    started: bool,
    /// Memory that the incomplete event uses.
    share: BufferShare,
    /// Whether the response has a length or chunks. Otherwise its end can't be told from that of a broken
    /// connection.
    framed: bool,
}

/// Next part of an endpoint's response.
enum BodyChunk {
    Data(Bytes),
    End,
    /// The connection was lost.
    Interrupted(String),
    /// The deadline of the request has passed.
    TimedOut,
}

impl EndpointBody {
    /// Returns whether a response that has ended is whole: it must not end within an event, nor, if only the end of
    /// its connection ends it, before its first event.
    fn is_complete(&self, framer: &EventFramer) -> bool {
        framer.is_empty() && (self.framed || self.request.has_begun())
    }

    /// Adds bytes of the response to the framer; fails if the incomplete event uses too much memory.
    fn add_to(&mut self, framer: &mut EventFramer, bytes: &[u8]) -> crate::Result<FramedEvents> {
        let events = framer.push(bytes)?;
        self.share.resize(framer.buffer_size())?;
        Ok(events)
    }

    async fn next(&mut self) -> BodyChunk {
        let frame = tokio::select! {
            biased;
            frame = self.incoming.frame() => frame,
            () = &mut self.timer => return BodyChunk::TimedOut,
        };
        match frame {
            Some(Ok(frame)) => {
                if !self.started {
                    self.started = true;
                    self.request.record_started(self.head_load);
                }
                // Trailers are ignored.
                BodyChunk::Data(frame.into_data().unwrap_or_default())
            }
            Some(Err(err)) => BodyChunk::Interrupted(err.to_string()),
            None => BodyChunk::End,
        }
    }
}

fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Stream that can't be resumed and ends when its endpoint fails.
struct PlainStream {
    body: EndpointBody,
    framer: EventFramer,
}

async fn next_plain_chunk(
    plain: Option<PlainStream>,
) -> Option<(Result<Bytes, BodyError>, Option<PlainStream>)> {
    let PlainStream { mut body, mut framer } = plain?;
    loop {
        let reason = match body.next().await {
            BodyChunk::Data(bytes) => match body.add_to(&mut framer, &bytes) {
                Ok(events) if events.bytes.is_empty() => continue,
                Ok(events) => {
                    body.request.record_begun();
                    return Some((Ok(events.bytes), Some(PlainStream { body, framer })));
                }
                Err(err) => {
                    body.request.outcome = SendOutcome::Failed;
                    err.to_string()
                }
            },
            BodyChunk::End if body.is_complete(&framer) => {
                body.request.record_success();
                return None;
            }
            BodyChunk::End => {
                body.request.record_lost();
                BROKEN_OFF.to_owned()
            }
            BodyChunk::Interrupted(text) => {
                body.request.record_lost();
                text
            }
            BodyChunk::TimedOut => "deadline exceeded".to_owned(),
        };
        tracing::info!("gateway: stream from {} aborted: {reason}", body.request.choice.id);
        return Some((Err(BodyError(reason)), None));
    }
}

/// Stream that continues at another endpoint when one fails.
struct ResumableStream {
    body: EndpointBody,
    proxied: ProxiedRequest,
    framer: EventFramer,
    last_event: Option<String>,
    /// Content type of the first endpoint's response, which the caller has received.
    content_type: Option<HeaderValue>,
}

fn resumable_stream(
    body: EndpointBody,
    proxied: ProxiedRequest,
    content_type: Option<HeaderValue>,
) -> LocalBoxStream<'static, Result<Bytes, BodyError>> {
    let last_event = proxied.head.last_event.clone();
    let resumable =
        ResumableStream { body, proxied, framer: EventFramer::default(), last_event, content_type };
    stream::unfold(Some(resumable), next_events).boxed_local()
}

async fn next_events(
    resumable: Option<ResumableStream>,
) -> Option<(Result<Bytes, BodyError>, Option<ResumableStream>)> {
    let mut resumable = resumable?;
    loop {
        match resumable.body.next().await {
            BodyChunk::Data(bytes) => {
                let events = match resumable.body.add_to(&mut resumable.framer, &bytes) {
                    Ok(events) => events,
                    Err(err) => match resumable.resume(&err.to_string()).await {
                        Ok(()) => continue,
                        Err(err) => return Some((Err(err), None)),
                    },
                };
                if events.bytes.is_empty() {
                    continue;
                }
                resumable.record_shown().await;
                resumable.last_event = events.last_id.or(resumable.last_event);
                return Some((Ok(events.bytes), Some(resumable)));
            }
            BodyChunk::End if resumable.body.is_complete(&resumable.framer) => {
                resumable.body.request.record_success();
                return None;
            }
            BodyChunk::End => {
                if let Err(err) = resumable.resume(BROKEN_OFF).await {
                    return Some((Err(err), None));
                }
            }
            BodyChunk::Interrupted(text) => {
                if let Err(err) = resumable.resume(&text).await {
                    return Some((Err(err), None));
                }
            }
            BodyChunk::TimedOut => {
                return Some((Err(BodyError("deadline exceeded".to_owned())), None));
            }
        }
    }
}

impl ResumableStream {
    /// Records that events of the endpoint are forwarded; from the first one on, the stream is bound to its version. The
    /// first one is held until another instance knows that.
    async fn record_shown(&mut self) {
        self.body.request.record_begun();
        self.proxied.progress.shown = true;
        if self.proxied.bind_to(self.body.request.choice.version.clone()) {
            self.proxied.wait_confirmed().await;
        }
    }

    /// Returns whether a response holds the rest of the stream, and not the text of a failure.
    fn continues(&self, response: &EndpointResponse) -> bool {
        let head = &response.response;
        head.status().is_success() && head.headers().get(CONTENT_TYPE) == self.content_type.as_ref()
    }

    /// Resumes the stream at another endpoint; fails if no endpoint can continue it.
    async fn resume(&mut self, reason: &str) -> Result<(), BodyError> {
        let first = self.body.request.choice.clone();
        self.body.request.record_lost();
        self.framer.discard_partial();
        let mut failed = (SendFailure::Lost, first);
        loop {
            let (failure, choice) = &failed;
            if self.proxied.on_failure(*failure, choice) != RetryStep::Again {
                return Err(BodyError(reason.to_owned()));
            }
            let Some(choice) = self.proxied.choose_admitted().await else {
                tracing::info!(
                    "gateway: request {} not resumed, no endpoint of {} can go on: {reason}",
                    self.proxied.head.attempt_id,
                    self.proxied.binding,
                );
                return Err(BodyError(reason.to_owned()));
            };
            if !self.proxied.progress.shown
                && let SuspicionStep::Refuse { reason, .. } = self.proxied.clear_suspicion().await
            {
                return Err(BodyError(reason.to_owned()));
            }
            let last_event = self.last_event.clone();
            match self.proxied.send_after(&choice, last_event.as_deref()).await {
                Ok(response) if self.continues(&response) => {
                    tracing::info!(
                        "gateway: request {} resumed at {} ({}) after event {last_event:?}, lost at {} ({}): {reason}",
                        self.proxied.head.attempt_id,
                        choice.id,
                        version_text(&choice),
                        self.body.request.choice.id,
                        version_text(&self.body.request.choice),
                    );
                    let timer =
                        Box::pin(tokio::time::sleep(self.proxied.remaining_time().unwrap_or(Duration::ZERO)));
                    let framed = is_framed(response.response.headers());
                    let incoming = response.response.into_body();
                    self.body = EndpointBody {
                        incoming,
                        request: response.request,
                        head_load: response.head.load,
                        timer,
                        started: false,
                        share: self.proxied.state.buffers.open_share(MemoryUse::Running),
                        framed,
                    };
                    return Ok(());
                }
                Ok(response) => {
                    tracing::info!(
                        "gateway: request {} not resumed at {}: {}",
                        self.proxied.head.attempt_id,
                        choice.id,
                        response.response.status()
                    );
                    failed = (SendFailure::Failed, choice);
                }
                Err(failure) => failed = (failure, choice),
            }
        }
    }
}

/// Returns the version of an endpoint's software as text for the log.
fn version_text(choice: &Choice) -> String {
    choice.version.as_ref().map_or_else(|| "version unknown".to_owned(), ToString::to_string)
}

impl ProxiedRequest {
    /// Returns a copy of the request with which the stream can be resumed at another endpoint.
    fn clone_for_resume(&self) -> Self {
        Self {
            state: Rc::clone(&self.state),
            table: self.table.clone(),
            route: self.route.clone(),
            service: self.service.clone(),
            access: self.access.clone(),
            head: self.head.clone(),
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            body_share: Rc::clone(&self.body_share),
            fingerprint: self.fingerprint,
            arrived: self.arrived,
            deadline: self.deadline,
            progress: self.progress,
            is_sent: self.is_sent,
            binding: self.binding.clone(),
            tried: self.tried.clone(),
            permit: None,
            suspects: self.suspects.clone(),
            trial: None,
            // The first endpoint may have run the request, so nothing is refunded.
            quota: None,
        }
    }
}
