use std::convert::Infallible;
use std::sync::Arc;

use axum::body::Body;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use carobwick_core::RunStatus;
use futures_util::stream;
use tokio::sync::mpsc;

use crate::flight::Flight;
use crate::flight::Head;
use crate::flight::Output;
use crate::inbound::Inbound;
use crate::keyed;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::serving::InFlight;
use crate::serving::Serving;

/// Where the parts of an answer come from.
enum Source {
    /// From a request that ends when its caller leaves.
    Flight(Box<Flight>),
    /// From a request with a key, which runs on by itself.
    Keyed(mpsc::Receiver<Output>),
}

/// Runs a request and shows its answer to its caller as it arrives.
///
/// The caller's connection asks for each part, so a slow caller slows down its own stream only.
pub(crate) async fn answer(serving: &Arc<Serving>, mut inbound: Inbound, in_flight: InFlight) -> Response {
    let source = match inbound.key.take() {
        None => Source::Flight(Box::new(Flight::start(Arc::clone(serving), inbound, in_flight))),
        Some(key) => match keyed::start(serving, inbound, &key, in_flight) {
            Ok(outputs) => Source::Keyed(outputs),
            Err(refusal) => return refused(serving, refusal),
        },
    };
    let mut source = source;
    match source.next().await {
        Output::Whole(head, body) | Output::Last(head, body) => with_head(head, Body::from(body)),
        Output::Events(head, first) => with_head(head, rest(first, source)),
        Output::Refused(refusal) | Output::Broken(refusal) => refused(serving, refusal),
    }
}

/// Answers with a refusal and counts it.
pub(crate) fn refused(serving: &Serving, refusal: Refusal) -> Response {
    serving.meters.refusal(refusal.code);
    refusal.into_response()
}

impl Source {
    async fn next(&mut self) -> Output {
        match self {
            Self::Flight(flight) => flight.next().await,
            Self::Keyed(outputs) => outputs.recv().await.unwrap_or_else(|| {
                let lost = Refusal::new(Code::OutcomeUnknown, "the request ended without an answer");
                Output::Broken(lost.with_run(RunStatus::Unknown))
            }),
        }
    }
}

fn rest(first: Bytes, source: Source) -> Body {
    let state = (Some(first), Some(source));
    Body::from_stream(stream::unfold(state, |(first, source)| async move {
        if let Some(first) = first {
            return Some((Ok::<_, Infallible>(first), (None, source)));
        }
        let mut source = source?;
        let (bytes, source) = match source.next().await {
            Output::Events(_, bytes) => (bytes, Some(source)),
            Output::Last(_, bytes) | Output::Whole(_, bytes) => (bytes, None),
            Output::Refused(refusal) | Output::Broken(refusal) => (refusal.event(), None),
        };
        Some((Ok(bytes), (None, source)))
    }))
}

fn with_head(head: Head, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}
