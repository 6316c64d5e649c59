use std::convert::Infallible;
use std::sync::Arc;

use axum::body::Body;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use carobwick_core::RunStatus;
use futures_util::stream;
use tokio::sync::mpsc;

use crate::context::Context;
use crate::context::InFlightGuard;
use crate::inbound::InboundRequest;
use crate::keyed;
use crate::proxied_request::Output;
use crate::proxied_request::ProxiedRequest;
use crate::proxied_request::ResponseHead;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Source of the output for a caller.
enum OutputSource {
    /// A request that is cancelled when its caller disconnects.
    Direct(Box<ProxiedRequest>),
    /// A request with an idempotency key, which runs in a task of its own.
    Keyed(mpsc::Receiver<Output>),
}

/// Runs a request and streams its response to the caller.
///
/// The caller's connection polls the body, so a slow caller slows down only its own stream.
pub(crate) async fn respond(
    context: &Arc<Context>,
    mut inbound: InboundRequest,
    in_flight: InFlightGuard,
) -> Response {
    let source = match inbound.key.take() {
        None => {
            OutputSource::Direct(Box::new(ProxiedRequest::start(Arc::clone(context), inbound, in_flight)))
        }
        Some(key) => match keyed::spawn(context, inbound, &key, in_flight) {
            Ok(outputs) => OutputSource::Keyed(outputs),
            Err(refusal) => return refusal_response(context, refusal),
        },
    };
    let mut source = source;
    match source.next().await {
        Output::Full(head, body) | Output::LastEvents(head, body) => build_response(head, Body::from(body)),
        Output::Events(head, first) => build_response(head, remaining_body(first, source)),
        Output::Refused(refusal) | Output::Aborted(refusal) => refusal_response(context, refusal),
    }
}

/// Counts a refusal and converts it to a response.
pub(crate) fn refusal_response(context: &Context, refusal: Refusal) -> Response {
    context.meters.refusal(refusal.code);
    refusal.into_response()
}

impl OutputSource {
    async fn next(&mut self) -> Output {
        match self {
            Self::Direct(request) => request.next_output().await,
            Self::Keyed(outputs) => outputs.recv().await.unwrap_or_else(|| {
                let lost = Refusal::new(Code::OutcomeUnknown, "the request ended without an answer");
                Output::Aborted(lost.with_run_status(RunStatus::Unknown))
            }),
        }
    }
}

fn remaining_body(first: Bytes, source: OutputSource) -> Body {
    let state = (Some(first), Some(source));
    Body::from_stream(stream::unfold(state, |(first, source)| async move {
        if let Some(first) = first {
            return Some((Ok::<_, Infallible>(first), (None, source)));
        }
        let mut source = source?;
        let (bytes, source) = match source.next().await {
            Output::Events(_, bytes) => (bytes, Some(source)),
            Output::LastEvents(_, bytes) | Output::Full(_, bytes) => (bytes, None),
            Output::Refused(refusal) | Output::Aborted(refusal) => (refusal.to_event(), None),
        };
        Some((Ok(bytes), (None, source)))
    }))
}

fn build_response(head: ResponseHead, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}
