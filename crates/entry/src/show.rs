use std::convert::Infallible;

use axum::body::Body;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use futures_util::stream;

use crate::flight::Flight;
use crate::flight::Head;
use crate::flight::Output;
use crate::refusal::Refusal;
use crate::serving::Serving;

/// Shows the answer of a request to its caller as it arrives.
///
/// The caller's connection asks for each part, so a slow caller slows down its own stream only.
pub(crate) async fn response(serving: &Serving, mut flight: Flight) -> Response {
    match flight.next().await {
        Output::Whole(head, body) | Output::Last(head, body) => with_head(head, Body::from(body)),
        Output::Events(head, first) => with_head(head, rest(first, flight)),
        Output::Refused(refusal) | Output::Broken(refusal) => refused(serving, refusal),
    }
}

/// Answers with a refusal and counts it.
pub(crate) fn refused(serving: &Serving, refusal: Refusal) -> Response {
    serving.meters.refusal(refusal.code);
    refusal.into_response()
}

fn rest(first: Bytes, flight: Flight) -> Body {
    let state = (Some(first), Some(flight));
    Body::from_stream(stream::unfold(state, |(first, flight)| async move {
        if let Some(first) = first {
            return Some((Ok::<_, Infallible>(first), (None, flight)));
        }
        let mut flight = flight?;
        let (bytes, flight) = match flight.next().await {
            Output::Events(_, bytes) => (bytes, Some(flight)),
            Output::Last(_, bytes) | Output::Whole(_, bytes) => (bytes, None),
            Output::Refused(refusal) | Output::Broken(refusal) => (refusal.event(), None),
        };
        Some((Ok(bytes), (None, flight)))
    }))
}

fn with_head(head: Head, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}
