use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use carobwick_core::LoadReport;
use carobwick_core::gateway::Failure;
use carobwick_core::gateway::Step;
use carobwick_core::gateway::Verdict;
use carobwick_runtime::now;
use futures_util::StreamExt;
use futures_util::stream;
use futures_util::stream::LocalBoxStream;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Sleep;

use crate::events::EventFramer;
use crate::flight::Flight;
use crate::response::BodyError;
use crate::response::ResponseBody;
use crate::response::strip_hop_by_hop;
use crate::send::Reply;
use crate::send::Send;

/// Passes the events of a reply on to the caller as they arrive.
pub(crate) fn pass(flight: &Flight, reply: Reply) -> Response<ResponseBody> {
    let Reply { send, head, response } = reply;
    let (mut parts, body) = response.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    let timer = Box::pin(tokio::time::sleep(flight.deadline - now()));
    let source = Source { body, send, head_load: head.load, timer, started: false };
    let events = if flight.route.resumable {
        resumable(source, flight.again())
    } else {
        stream::unfold(Some(Plain { source, framer: EventFramer::default() }), next_piece).boxed_local()
    };
    Response::from_parts(parts, ResponseBody::Streamed(events))
}

/// The body of one endpoint's answer.
struct Source {
    body: Incoming,
    send: Send,
    head_load: Option<LoadReport>,
    timer: Pin<Box<Sleep>>,
    started: bool,
}

/// What comes next from a source.
enum Piece {
    Data(Bytes),
    End,
    /// The endpoint broke off.
    Broken(String),
    /// The request's time is used up.
    TimedOut,
}

impl Source {
    async fn next(&mut self) -> Piece {
        let frame = tokio::select! {
            biased;
            frame = self.body.frame() => frame,
            () = &mut self.timer => return Piece::TimedOut,
        };
        match frame {
            Some(Ok(frame)) => {
                if !self.started {
                    self.started = true;
                    self.send.answered(self.head_load);
                }
                // Trailers have no meaning here.
                Piece::Data(frame.into_data().unwrap_or_default())
            }
            Some(Err(err)) => Piece::Broken(err.to_string()),
            None => Piece::End,
        }
    }
}

/// A stream that ends with its endpoint.
struct Plain {
    source: Source,
    /// Notices bytes that are no events, which an endpoint may send until its connection is closed.
    framer: EventFramer,
}

async fn next_piece(plain: Option<Plain>) -> Option<(Result<Bytes, BodyError>, Option<Plain>)> {
    let Plain { mut source, mut framer } = plain?;
    match source.next().await {
        Piece::Data(bytes) => match framer.push(&bytes) {
            Ok(_) => Some((Ok(bytes), Some(Plain { source, framer }))),
            Err(err) => {
                source.send.verdict = Verdict::Failed;
                tracing::warn!("gateway: stream of {} is cut: {err}", source.send.choice.id);
                Some((Err(BodyError(err.to_string())), None))
            }
        },
        Piece::End => {
            source.send.completed();
            None
        }
        Piece::Broken(text) => {
            source.send.broke_off();
            tracing::info!("gateway: stream broke off at {}: {text}", source.send.choice.id);
            Some((Err(BodyError(text)), None))
        }
        Piece::TimedOut => Some((Err(BodyError("the time is used up".to_owned())), None)),
    }
}

/// A stream that goes on at another endpoint if one breaks off.
struct Resumed {
    source: Source,
    flight: Flight,
    framer: EventFramer,
    last: Option<String>,
}

fn resumable(source: Source, flight: Flight) -> LocalBoxStream<'static, Result<Bytes, BodyError>> {
    let last = flight.call.resume.clone();
    let resumed = Resumed { source, flight, framer: EventFramer::default(), last };
    stream::unfold(Some(resumed), next_events).boxed_local()
}

async fn next_events(resumed: Option<Resumed>) -> Option<(Result<Bytes, BodyError>, Option<Resumed>)> {
    let mut resumed = resumed?;
    loop {
        match resumed.source.next().await {
            Piece::Data(piece) => {
                let events = match resumed.framer.push(&piece) {
                    Ok(events) => events,
                    Err(err) => match resumed.resume(&err.to_string()).await {
                        Ok(()) => continue,
                        Err(err) => return Some((Err(err), None)),
                    },
                };
                if events.bytes.is_empty() {
                    continue;
                }
                resumed.flight.progress.shown = true;
                resumed.last = events.last_id.or(resumed.last);
                return Some((Ok(events.bytes), Some(resumed)));
            }
            Piece::End if resumed.framer.is_empty() => {
                resumed.source.send.completed();
                return None;
            }
            Piece::End => {
                if let Err(err) = resumed.resume("the answer ended within an event").await {
                    return Some((Err(err), None));
                }
            }
            Piece::Broken(text) => {
                if let Err(err) = resumed.resume(&text).await {
                    return Some((Err(err), None));
                }
            }
            Piece::TimedOut => {
                return Some((Err(BodyError("the time is used up".to_owned())), None));
            }
        }
    }
}

impl Resumed {
    /// Asks another endpoint for the rest of the stream.
    async fn resume(&mut self, reason: &str) -> Result<(), BodyError> {
        let first = self.source.send.choice.clone();
        self.source.send.broke_off();
        self.framer.discard_partial();
        let mut failed = (Failure::Lost, first);
        loop {
            let (failure, choice) = &failed;
            if self.flight.after(*failure, choice) != Step::Again {
                return Err(BodyError(reason.to_owned()));
            }
            let Some(choice) = self.flight.choose() else { return Err(BodyError(reason.to_owned())) };
            let last = self.last.clone();
            match self.flight.attempt_from(&choice, last.as_deref()).await {
                Ok(reply) if reply.response.status().is_success() => {
                    tracing::info!(
                        "gateway: request {} resumed at {} after event {last:?}: {reason}",
                        self.flight.call.attempt,
                        choice.id,
                    );
                    let timer = Box::pin(tokio::time::sleep(self.flight.left().unwrap_or(Duration::ZERO)));
                    let body = reply.response.into_body();
                    self.source =
                        Source { body, send: reply.send, head_load: reply.head.load, timer, started: false };
                    return Ok(());
                }
                Ok(_) => failed = (Failure::Failed, choice),
                Err(failure) => failed = (failure, choice),
            }
        }
    }
}

impl Flight {
    /// Returns the request as it is needed to go on with it elsewhere.
    fn again(&self) -> Self {
        Self {
            state: Rc::clone(&self.state),
            table: self.table.clone(),
            route: self.route.clone(),
            service: self.service.clone(),
            call: self.call.clone(),
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            print: self.print,
            arrived: self.arrived,
            deadline: self.deadline,
            progress: self.progress,
            tried: self.tried.clone(),
        }
    }
}
