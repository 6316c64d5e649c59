use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use carobwick_core::AttemptId;
use carobwick_core::AttemptOutcome;
use carobwick_core::Delivery;
use carobwick_core::DeliveryEvent;
use carobwick_core::DeliveryParams;
use carobwick_core::DeliveryStep;
use carobwick_core::EventKind;
use carobwick_core::FailureReason;
use carobwick_core::LoadReport;
use carobwick_core::RefusalCode;
use carobwick_core::ResponseFormat;
use carobwick_core::RouteTarget;
use carobwick_core::RunStatus;
use carobwick_core::Time;
use carobwick_core::Tokens;
use carobwick_runtime::now;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::time::Sleep;

use crate::context::Context;
use crate::context::InFlightGuard;
use crate::crash_detector::CrashDetector;
use crate::dispatch::AttemptTarget;
use crate::events::EventFramer;
use crate::events::StreamEnd;
use crate::inbound::InboundRequest;
use crate::outbound;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::response;
use crate::upstream::SendError;
use crate::upstream::UpstreamResponse;

/// A request in flight, which performs the steps of its [`Delivery`].
///
/// Dropping it cancels the current attempt.
#[derive(Debug)]
pub(crate) struct ProxiedRequest {
    context: Arc<Context>,
    inbound: InboundRequest,
    delivery: Delivery,
    step: DeliveryStep,
    arrived_at: Time,
    timer: Pin<Box<Sleep>>,
    attempt: AttemptId,
    target: Option<AttemptTarget>,
    /// Outcome of the current attempt unless its response completes.
    outcome: AttemptOutcome,
    load_report: Option<LoadReport>,
    upstream_response: Option<UpstreamResponse>,
    head: Option<ResponseHead>,
    framer: EventFramer,
    /// Events or body of the response that have not been returned as output.
    pending: BytesMut,
    refusal: Option<Refusal>,
    tokens: u64,
    first_output: Option<Duration>,
    _in_flight: InFlightGuard,
}

/// Status and headers of the response to the caller.
#[derive(Debug, Clone)]
pub(crate) struct ResponseHead {
    pub status: StatusCode,
    pub headers: HeaderMap,
}

/// Next part of the response to the caller.
#[derive(Debug)]
pub(crate) enum Output {
    /// A complete response.
    Full(ResponseHead, Bytes),
    /// Events of a stream that continues.
    Events(ResponseHead, Bytes),
    /// The last events of a stream.
    LastEvents(ResponseHead, Bytes),
    /// A refusal; no output came before it.
    Refused(Refusal),
    /// The error event that ends a stream.
    Aborted(Refusal),
}

impl ProxiedRequest {
    pub fn start(context: Arc<Context>, inbound: InboundRequest, in_flight: InFlightGuard) -> Self {
        let arrived_at = now();
        let params = DeliveryParams {
            request: inbound.request,
            format: inbound.format,
            repeatable: inbound.repeatable,
            deadline: inbound.deadline,
            max_attempts: context.settings.limits.attempts,
        };
        if let RouteTarget::Model(model) = &inbound.target {
            context.demand.record_arrival(model);
        }
        tracing::debug!(
            "entry: request {} of {} for {:?}: fingerprint {}, prefix {:016x}, {} prompt tokens, {} max tokens",
            inbound.request,
            inbound.caller,
            inbound.target,
            inbound.fingerprint,
            inbound.prefix_hash,
            inbound.prompt_tokens,
            inbound.max_tokens,
        );
        let mut delivery = Delivery::new(params);
        let step = delivery.on_event(DeliveryEvent::Accepted, arrived_at);
        Self {
            timer: Box::pin(tokio::time::sleep(inbound.deadline - arrived_at)),
            context,
            inbound,
            delivery,
            step,
            arrived_at,
            attempt: AttemptId::default(),
            target: None,
            outcome: AttemptOutcome::NotRun,
            load_report: None,
            upstream_response: None,
            head: None,
            framer: EventFramer::default(),
            pending: BytesMut::new(),
            refusal: None,
            tokens: 0,
            first_output: None,
            _in_flight: in_flight,
        }
    }

    /// Runs the request until there is output for the caller, and returns it.
    pub async fn next_output(&mut self) -> Output {
        loop {
            let event = match self.step {
                DeliveryStep::Wait => self.receive().await,
                DeliveryStep::Send { attempt } => self.dispatch_and_send(attempt, true).await,
                DeliveryStep::Retry { attempt } => self.dispatch_and_send(attempt, false).await,
                DeliveryStep::Resume { attempt, of, received } => {
                    self.context.meters.resume();
                    self.send(attempt, Some((of, received))).await
                }
                DeliveryStep::Forward => {
                    self.record_first_output();
                    self.step = DeliveryStep::Wait;
                    let bytes = self.pending.split().freeze();
                    return Output::Events(self.head(), bytes);
                }
                DeliveryStep::Finish => return self.finish(),
                DeliveryStep::Refuse { reason, run } => return Output::Refused(self.refuse(reason, run)),
                DeliveryStep::Fail { reason } => {
                    return Output::Aborted(self.refuse(reason, RunStatus::Unknown));
                }
            };
            self.step = self.delivery.on_event(event, now());
        }
    }

    async fn dispatch_and_send(&mut self, attempt: AttemptId, first: bool) -> DeliveryEvent {
        let dispatch = Arc::clone(&self.context.dispatch);
        let dispatched = async {
            if first {
                return dispatch.admit(&self.inbound).await;
            }
            dispatch.finished(self.inbound.request, self.outcome, self.load_report.take());
            self.upstream_response = None;
            dispatch.retry(&self.inbound).await
        };
        let dispatched = tokio::select! {
            biased;
            dispatched = dispatched => dispatched,
            () = &mut self.timer => return DeliveryEvent::TimedOut,
        };
        match dispatched {
            Ok(target) => self.target = Some(target),
            Err(refusal) => {
                self.refusal = Some(refusal);
                return DeliveryEvent::Unplaced { attempt };
            }
        }
        self.send(attempt, None).await
    }

    async fn send(&mut self, attempt: AttemptId, resume: Option<(AttemptId, u64)>) -> DeliveryEvent {
        self.attempt = attempt;
        self.upstream_response = None;
        self.outcome = AttemptOutcome::Failed;
        self.framer = EventFramer::default();
        let Some(target) = &self.target else {
            return DeliveryEvent::Unplaced { attempt };
        };
        let resumes = matches!(target, AttemptTarget::Endpoint { .. });
        let sent = self.delivery.on_event(DeliveryEvent::Sent { attempt, resumes }, now());
        debug_assert_eq!(sent, DeliveryStep::Wait, "a send must lead to no other step");
        self.context.meters.attempt();
        self.context.dispatch.sent(self.inbound.request);
        let zone = &self.context.settings.zone;
        let request = outbound::build_request(&self.inbound, target, zone, attempt, resume);
        let (addr, upstream) = (target.addr(), &self.context.upstream);
        let result = tokio::select! {
            biased;
            result = upstream.send(addr, request) => result,
            () = &mut self.timer => return DeliveryEvent::TimedOut,
        };
        match result {
            Ok(upstream_response) => self.on_head(attempt, upstream_response),
            Err(err) => self.on_error(attempt, &err),
        }
    }

    fn on_head(&mut self, attempt: AttemptId, upstream_response: UpstreamResponse) -> DeliveryEvent {
        let entry_headers = response::parse_entry_headers(&upstream_response.response);
        let status = upstream_response.response.status();
        self.load_report = entry_headers.load;
        if let (Some(AttemptTarget::Endpoint { id, .. }), Some(incarnation)) =
            (&self.target, entry_headers.incarnation)
        {
            CrashDetector::record_incarnation(&self.context, id, incarnation);
        }
        if entry_headers.declined {
            self.outcome = AttemptOutcome::NotRun;
        } else if status.is_server_error() {
            self.check_for_crash();
        } else {
            // A connection error from here on changes the outcome to `Failed`.
            self.outcome = AttemptOutcome::Invalid;
        }
        self.head = Some(ResponseHead {
            status,
            headers: response::caller_headers(&self.inbound, upstream_response.response.headers()),
        });
        self.upstream_response = Some(upstream_response);
        // Output left over from an earlier attempt must not be mixed into this response.
        self.pending.clear();
        DeliveryEvent::Headers {
            attempt,
            claimed: entry_headers.attempt,
            status: status.as_u16(),
            declined: entry_headers.declined,
        }
    }

    fn on_error(&mut self, attempt: AttemptId, err: &SendError) -> DeliveryEvent {
        tracing::debug!("entry: request {} attempt {attempt} failed: {err}", self.inbound.request);
        self.upstream_response = None;
        if err.may_be_written() {
            self.outcome = AttemptOutcome::Failed;
            self.check_for_crash();
        } else {
            self.outcome = AttemptOutcome::NotRun;
        }
        match err {
            SendError::PingTimeout => DeliveryEvent::Silent { attempt },
            err => DeliveryEvent::Failed { attempt, written: err.may_be_written() },
        }
    }

    fn check_for_crash(&self) {
        if let Some(AttemptTarget::Endpoint { id, addr, incarnation }) = &self.target {
            CrashDetector::record_loss(&self.context, id, addr, *incarnation);
        }
    }

    /// Waits for the next frame of the response.
    async fn receive(&mut self) -> DeliveryEvent {
        let attempt = self.attempt;
        let Some(upstream_response) = &mut self.upstream_response else {
            return DeliveryEvent::Failed { attempt, written: true };
        };
        let frame = tokio::select! {
            biased;
            frame = upstream_response.response.body_mut().frame() => frame,
            () = &mut self.timer => return DeliveryEvent::TimedOut,
        };
        match frame {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => self.on_data(attempt, data),
                Err(_) => DeliveryEvent::Chunk { attempt, events: 0 },
            },
            Some(Err(err)) => self.on_error(attempt, &SendError::from(&err)),
            None => DeliveryEvent::End { attempt, complete: self.is_complete() },
        }
    }

    fn on_data(&mut self, attempt: AttemptId, data: Bytes) -> DeliveryEvent {
        if !self.is_stream() {
            self.pending.extend_from_slice(&data);
            if self.pending.len() > self.context.settings.limits.max_answer {
                return DeliveryEvent::End { attempt, complete: false };
            }
            return DeliveryEvent::Chunk { attempt, events: 0 };
        }
        let events = self.framer.push(data);
        self.pending.extend_from_slice(&events.bytes);
        self.tokens += events.count;
        match events.end {
            StreamEnd::Open => DeliveryEvent::Chunk { attempt, events: events.count },
            StreamEnd::Done => DeliveryEvent::End { attempt, complete: true },
            StreamEnd::Error | StreamEnd::TooLong => DeliveryEvent::End { attempt, complete: false },
        }
    }

    fn is_stream(&self) -> bool {
        self.inbound.format == ResponseFormat::Stream
            && self.head.as_ref().is_some_and(|head| head.status.is_success())
    }

    fn is_complete(&mut self) -> bool {
        match self.inbound.format {
            _ if self.head.as_ref().is_some_and(|head| !head.status.is_success()) => true,
            ResponseFormat::Plain => true,
            ResponseFormat::Stream => false,
            ResponseFormat::Chat => {
                let tokens = response::complete_chat_tokens(&self.pending);
                self.tokens = tokens.unwrap_or(0);
                tokens.is_some()
            }
        }
    }

    fn finish(&mut self) -> Output {
        self.record_first_output();
        if let RouteTarget::Model(model) = &self.inbound.target {
            self.context.demand.record_response(model, self.meets_target(), self.tokens);
        }
        let tokens = Tokens(self.tokens);
        self.finish_attempt(AttemptOutcome::Complete { tokens });
        let (head, bytes) = (self.head(), self.pending.split().freeze());
        if self.is_stream() { Output::LastEvents(head, bytes) } else { Output::Full(head, bytes) }
    }

    fn record_first_output(&mut self) {
        if self.first_output.is_some() {
            return;
        }
        let delay = now() - self.arrived_at;
        self.first_output = Some(delay);
        self.context.meters.first_output(delay);
        self.context.dispatch.first_token(self.inbound.request);
        if self.is_stream() {
            let limit = self.context.settings.limits.stream_limit.duration();
            self.timer.as_mut().reset(tokio::time::Instant::now() + limit);
        }
    }

    fn meets_target(&self) -> bool {
        let token_time = match self.inbound.format {
            ResponseFormat::Chat => self.inbound.token_gap * u32::try_from(self.tokens).unwrap_or(u32::MAX),
            ResponseFormat::Stream | ResponseFormat::Plain => Duration::ZERO,
        };
        self.first_output.is_some_and(|delay| delay <= self.inbound.target_latency + token_time)
    }

    fn head(&self) -> ResponseHead {
        let empty = || ResponseHead { status: StatusCode::OK, headers: HeaderMap::new() };
        self.head.clone().unwrap_or_else(empty)
    }

    fn refuse(&mut self, reason: FailureReason, run: RunStatus) -> Refusal {
        // The dispatcher must record how the last attempt ended before it drops the request.
        self.finish_attempt(self.outcome);
        if let RouteTarget::Model(model) = &self.inbound.target {
            self.context.demand.record_refusal(model);
        }
        if run == RunStatus::Unknown {
            let text =
                format!("request {} may have run and has no whole answer: {reason:?}", self.inbound.request);
            self.context.timeline.add(EventKind::Request, text);
        }
        let retry_after = Duration::from_secs(1);
        match (reason, self.refusal.take()) {
            (FailureReason::Unplaced, Some(refusal)) => refusal.with_run_status(run),
            (FailureReason::Unplaced | FailureReason::Exhausted, _) => {
                let unavailable = Code::Dispatch(RefusalCode::Unavailable);
                let code = if run == RunStatus::No { unavailable } else { Code::EndpointFailed };
                Refusal::new(code, "no endpoint completed the request")
                    .with_run_status(run)
                    .with_retry_after(retry_after)
            }
            (FailureReason::AnswerLost, _) => {
                Refusal::new(Code::ResponseLost, "the answer was lost on its way").with_run_status(run)
            }
            (FailureReason::Deadline, _) => Refusal::new(Code::Deadline, "the request's time is used up")
                .with_run_status(run)
                .with_retry_after(retry_after),
        }
    }

    fn finish_attempt(&mut self, outcome: AttemptOutcome) {
        self.upstream_response = None;
        if self.target.take().is_some() {
            self.context.dispatch.finished(self.inbound.request, outcome, self.load_report.take());
        }
    }
}

impl Drop for ProxiedRequest {
    fn drop(&mut self) {
        self.delivery.on_event(DeliveryEvent::Cancelled, now());
        self.context.dispatch.finished(self.inbound.request, AttemptOutcome::Cancelled, None);
    }
}
