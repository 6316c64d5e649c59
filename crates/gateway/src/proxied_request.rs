use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carobwick_core::EndpointId;
use carobwick_core::Fingerprint;
use carobwick_core::ServiceId;
use carobwick_core::Time;
use carobwick_core::gateway::Access;
use carobwick_core::gateway::Choice;
use carobwick_core::gateway::MemoryUse;
use carobwick_core::gateway::Progress;
use carobwick_core::gateway::RequestHead;
use carobwick_core::gateway::RetryStep;
use carobwick_core::gateway::RouteTable;
use carobwick_core::gateway::SendFailure;
use carobwick_core::gateway::SendOutcome;
use carobwick_core::gateway::ServiceRoute;
use carobwick_core::gateway::Suspect;
use carobwick_core::gateway::VersionBinding;
use carobwick_core::gateway::engine_priority;
use carobwick_core::gateway::next_step;
use carobwick_runtime::now;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header::CONTENT_LENGTH;
use http::header::EXPECT;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::Category;
use crate::Error;
use crate::ForwardedRequest;
use crate::buffer::BufferShare;
use crate::buffer::read_whole;
use crate::connection::SendError;
use crate::endpoint_request::EndpointRequest;
use crate::endpoint_request::EndpointResponse;
use crate::meters::SendKind;
use crate::permits::SendPermit;
use crate::placement::Placement;
use crate::placement::Unplaced;
use crate::platform::ResponseKind;
use crate::quota::QuotaUse;
use crate::response::HeldBytes;
use crate::response::LocalResponse;
use crate::response::ResponseBody;
use crate::response::strip_hop_by_hop;
use crate::state::State;
use crate::stream;
use crate::suspicion::SuspicionStep;
use crate::suspicion::Trial;
use crate::take_up::TakeUpStep;

/// Timeout of connecting to an endpoint, after which another one is chosen.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Least `Retry-After` of a request that no endpoint accepts.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Longest response that is buffered; streams are not.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Request of a caller, read whole, and its progress towards a response.
#[derive(Debug)]
pub(crate) struct ProxiedRequest {
    pub state: Rc<State>,
    pub table: Arc<RouteTable>,
    pub route: Arc<ServiceRoute>,
    pub service: ServiceId,
    /// For whom the request runs, by the newest configuration that was in force at a send.
    pub access: Access,
    pub head: RequestHead,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Memory that the body uses.
    pub body_share: Rc<BufferShare>,
    pub fingerprint: Fingerprint,
    pub arrived: Time,
    pub deadline: Time,
    pub progress: Progress,
    /// Whether the attempt in progress has been sent.
    pub is_sent: bool,
    /// Endpoints at which the stream may go on.
    pub binding: VersionBinding,
    pub tried: Vec<EndpointId>,
    /// Permit for the next attempt, if its endpoint limits the rate of requests.
    pub permit: Option<SendPermit>,
    /// Parts of the prompt that other requests may share.
    pub suspects: Vec<Suspect>,
    /// Right to make the next attempt although these parts are suspected of crashing endpoints.
    pub trial: Option<Trial>,
    /// Units taken from the quota of the tenant, if it has one.
    pub quota: Option<QuotaUse>,
}

impl ProxiedRequest {
    /// Processes the request, returns the response and counts it in the metrics.
    pub async fn run(self) -> Response<ResponseBody> {
        let (state, route, arrived) = (Rc::clone(&self.state), Arc::clone(&self.route), self.arrived);
        let response = self.process().await;
        state.meters.record_response(&route.name, response.status(), now() - arrived);
        response
    }

    async fn process(mut self) -> Response<ResponseBody> {
        self.state.count_request(&self.service);
        self.state.count_demand(&self.service, &self.head);
        let refusing = self.state.refusing.clone();
        match refusing.run_until_cancelled(self.bind_version()).await {
            Some(TakeUpStep::Send) => {}
            Some(TakeUpStep::Refuse) => {
                return self.refuse("no instance knows the version that began the stream", RETRY_AFTER);
            }
            None => return self.refuse(LocalResponse::STOPPING.message, Duration::ZERO),
        }
        loop {
            let choice = match self.place_before_stop().await {
                Placement::Endpoint(choice) => choice,
                Placement::None { reason, retry_after } => return self.refuse(reason, retry_after),
            };
            let stop_ending = self.state.stop_ending.clone();
            match stop_ending.run_until_cancelled(self.attempt(&choice)).await {
                None => return self.interrupted_by_stop(&choice),
                Some(Ok(response)) => return response,
                Some(Err(failure)) => match self.on_failure(failure, &choice) {
                    RetryStep::Again => {}
                    step => return self.give_up(step, failure),
                },
            }
        }
    }

    /// Chooses an endpoint. Once a stopping instance refuses requests, only a repeatable request that has been sent before
    /// is sent again: for any other one, the refusal says that it has not run, while a late attempt may be cut off.
    async fn place_before_stop(&mut self) -> Placement {
        let is_retry = self.progress.sends > 0 && self.route.is_repeatable();
        let _unplaced = Unplaced::new(&self.state);
        let bound = if is_retry { &self.state.stop_ending } else { &self.state.refusing }.clone();
        bound.run_until_cancelled(self.place_unsuspected()).await.unwrap_or(Placement::STOPPING)
    }

    /// Chooses an endpoint for a request whose prompt is not suspected of crashing endpoints, or is tried.
    async fn place_unsuspected(&mut self) -> Placement {
        match self.place().await {
            Placement::Endpoint(choice) => match self.clear_suspicion().await {
                SuspicionStep::Send => Placement::Endpoint(choice),
                SuspicionStep::Refuse { reason, retry_after } => Placement::None { reason, retry_after },
            },
            none @ Placement::None { .. } => none,
        }
    }

    /// Sends the request to an endpoint and turns the response into that to the caller.
    async fn attempt(&mut self, choice: &Choice) -> Result<Response<ResponseBody>, SendFailure> {
        let response = self.send_to(choice).await?;
        self.respond(response).await
    }

    /// Responds to a request whose attempt ended with the stop; it may have run only if it was sent.
    fn interrupted_by_stop(&mut self, choice: &Choice) -> Response<ResponseBody> {
        let failure = if self.is_sent { SendFailure::Lost } else { SendFailure::Unsent };
        tracing::info!(
            "gateway: request {} interrupted at {} by the end of the stop: {failure:?}",
            self.head.attempt_id,
            choice.id
        );
        self.progress.count(failure);
        self.refuse(LocalResponse::STOPPING.message, Duration::ZERO)
    }

    /// Returns the time until the deadline, or none if the deadline has passed.
    pub fn remaining_time(&self) -> Option<Duration> {
        let remaining = self.deadline - now();
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Decides what follows a failed attempt; a retry is taken from the budget.
    pub fn on_failure(&mut self, failure: SendFailure, choice: &Choice) -> RetryStep {
        self.progress.count(failure);
        self.set_run(self.progress.runs > 0);
        self.tried.push(choice.id.clone());
        let step = next_step(&self.route, failure, self.progress);
        let is_retry = self.progress.sends > 0;
        if step != RetryStep::Again
            || !is_retry
            || self.remaining_time().is_some() && self.state.take_retry(&self.service)
        {
            return step;
        }
        let exhausted = Progress { sends: u32::MAX, ..self.progress };
        next_step(&self.route, failure, exhausted)
    }

    /// Sends the request to an endpoint that [`Self::admit`] has admitted, and waits for the head of its
    /// response.
    pub async fn send_to(&mut self, choice: &Choice) -> Result<EndpointResponse, SendFailure> {
        self.send_after(choice, None).await
    }

    /// Like [`Self::send_to`], but if `last_event` is given, the endpoint resumes the stream after that
    /// event.
    pub async fn send_after(
        &mut self,
        choice: &Choice,
        last_event: Option<&str>,
    ) -> Result<EndpointResponse, SendFailure> {
        assert!(
            self.progress.runs == 0 || self.route.is_repeatable(),
            "I5: retry of a request that may have run"
        );
        self.is_sent = false;
        let trial = self.trial.take();
        let mut attempt =
            EndpointRequest::start(&self.state, &self.service, &self.head, self.fingerprint, trial, choice);
        let Some(remaining) = self.remaining_time() else { return Err(SendFailure::Unsent) };
        let (length, timeout) = (self.body.len(), CONNECT_TIMEOUT.min(remaining));
        match self.state.pool.take_for_body(choice, length, timeout).await {
            Ok(connection) => attempt.connection = Some(connection),
            Err(err) => {
                tracing::info!(
                    "gateway: request {} has no connection to {}: {err}",
                    self.head.attempt_id,
                    choice.id
                );
                attempt.outcome = match err.category() {
                    // If the deadline came first, the endpoint is not known to be unreachable.
                    Category::Unreachable if remaining < CONNECT_TIMEOUT => SendOutcome::Neutral,
                    Category::Unreachable => SendOutcome::Unreachable,
                    _ => SendOutcome::Lost,
                };
                return Err(SendFailure::Unsent);
            }
        }
        let response = self.exchange(&mut attempt, last_event).await?;
        self.check_head(attempt, response)
    }

    async fn exchange(
        &mut self,
        attempt: &mut EndpointRequest,
        last_event: Option<&str>,
    ) -> Result<Response<Incoming>, SendFailure> {
        let Some(remaining) = self.remaining_time() else { return Err(SendFailure::Unsent) };
        // The endpoint may have announced that it is leaving, a pause or a limit while the connection was
        // opened.
        let permit = self.permit.take();
        if !self.recheck_access() {
            return Err(SendFailure::Revoked);
        }
        if !self.state.accepts_requests(&attempt.choice)
            || !self.state.permits_send(&attempt.choice, permit.as_ref())
            || !self.is_unsuspected(attempt.is_trial())
        {
            return Err(SendFailure::Unsent);
        }
        self.state.count_send(&attempt.choice, self.send_kind(last_event));
        let request = self.build_request(&attempt.choice, remaining, last_event);
        let Some(connection) = attempt.connection.as_mut() else { return Err(SendFailure::Unsent) };
        self.is_sent = true;
        self.set_run(true);
        match tokio::time::timeout(remaining, connection.send(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(SendError::Unsent(_))) => Err(SendFailure::Unsent),
            Ok(Err(SendError::Lost(text))) => {
                tracing::info!(
                    "gateway: request {} lost its connection to {} after {:?}: {text}",
                    self.head.attempt_id,
                    attempt.choice.id,
                    now() - self.arrived,
                );
                attempt.record_lost();
                Err(SendFailure::Lost)
            }
            Err(_) => {
                tracing::info!(
                    "gateway: request {} timed out at {}",
                    self.head.attempt_id,
                    attempt.choice.id
                );
                attempt.outcome = SendOutcome::Failed;
                Err(SendFailure::Lost)
            }
        }
    }

    /// Sets whether an endpoint may have run the request, so that its units are not refunded.
    fn set_run(&mut self, is_run: bool) {
        if let Some(quota) = &mut self.quota {
            quota.is_run = is_run;
        }
    }

    /// Returns the priority of the request; 0 is the highest.
    pub fn priority(&self) -> u8 {
        self.table.priority(&self.route, &self.access)
    }

    /// Returns the priority with which the request waits at an endpoint.
    fn engine_priority(&self, choice: &Choice) -> u8 {
        if self.state.balancer.borrow().names_pace(choice, now()) {
            engine_priority(self.priority(), self.head.prompt_tokens)
        } else {
            self.priority()
        }
    }

    /// Checks the key against the newest configuration, which may have revoked it while the request waited; returns whether
    /// the request may still be sent.
    fn recheck_access(&mut self) -> bool {
        let Some(table) = self.state.route_table.borrow().clone() else { return true };
        if table.version == self.table.version {
            return true;
        }
        match table.access.check(&self.route, self.head.key.as_ref()) {
            Access::Denied => {
                tracing::info!("gateway: request {} has a key that was revoked", self.head.attempt_id);
                false
            }
            access => {
                self.access = access;
                true
            }
        }
    }

    fn send_kind(&self, last_event: Option<&str>) -> SendKind {
        match (last_event, self.progress.sends) {
            (Some(_), _) => SendKind::Resume,
            (None, 0) => SendKind::First,
            (None, _) => SendKind::Retry,
        }
    }

    fn build_request(
        &self,
        choice: &Choice,
        remaining: Duration,
        last_event: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let outgoing = ForwardedRequest {
            head: &self.head,
            endpoint: &choice.id,
            remaining,
            priority: self.engine_priority(choice),
            access: &self.access,
            last_event: last_event.or(self.head.last_event.as_deref()),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        strip_hop_by_hop(&mut headers);
        headers.remove(CONTENT_LENGTH);
        headers.remove(EXPECT);
        *request.headers_mut() = self.state.wire.endpoint_headers(&headers, &outgoing);
        request
    }

    fn check_head(
        &self,
        mut attempt: EndpointRequest,
        response: Response<Incoming>,
    ) -> Result<EndpointResponse, SendFailure> {
        let status = response.status();
        let head = self.state.wire.parse_response(&self.head, status, response.headers());
        let notice = self.state.wire.parse_notice(status, response.headers());
        self.state.apply_notice(&attempt.choice, notice, attempt.sent_at);
        attempt.idle_timeout = head.idle_timeout;
        attempt.reusable = !head.closes;
        let id = &attempt.choice.id;
        match head.kind {
            ResponseKind::Own => {}
            ResponseKind::Foreign => {
                tracing::warn!(
                    "gateway: request {} got the response to another request from {id}",
                    self.head.attempt_id
                );
                attempt.outcome = SendOutcome::Failed;
                attempt.reusable = false;
                return Err(SendFailure::Lost);
            }
            ResponseKind::Declined | ResponseKind::Misdirected => {
                tracing::info!("gateway: request {} declined by {id} with {status}", self.head.attempt_id);
                if head.kind == ResponseKind::Misdirected
                    && let Some(weights) = &self.head.weights
                {
                    self.state.endpoints.borrow_mut().mark_missing(id, weights, now());
                }
                attempt.record_response(head.load);
                attempt.outcome = SendOutcome::Declined;
                return Err(SendFailure::Declined);
            }
        }
        if status.is_success() && !head.signed {
            tracing::warn!("gateway: request {} got an unsigned {status} from {id}", self.head.attempt_id);
            attempt.outcome = SendOutcome::Failed;
            attempt.reusable = false;
            return Err(SendFailure::Lost);
        }
        Ok(EndpointResponse { request: attempt, head, response })
    }

    /// Turns an endpoint's response into the response to the caller.
    async fn respond(
        &mut self,
        mut received: EndpointResponse,
    ) -> Result<Response<ResponseBody>, SendFailure> {
        let status = received.response.status();
        let is_stream = self.route.kind.is_stream() && status.is_success();
        if is_stream {
            return Ok(stream::stream_response(self, received));
        }
        received.request.record_started(received.head.load);
        let (mut parts, body) = received.response.into_parts();
        let Some(remaining) = self.remaining_time() else { return Err(SendFailure::Lost) };
        let share = self.state.buffers.open_share(MemoryUse::Running);
        let read = read_whole(body, MAX_BUFFERED_BYTES, |size| share.resize(size));
        let body = match tokio::time::timeout(remaining, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(err)) => return Err(self.interrupted(received.request, &err)),
            Err(_) => {
                let err = Error::new(Category::Lost, "deadline exceeded");
                return Err(self.interrupted(received.request, &err));
            }
        };
        if status.is_server_error() {
            received.request.finish(SendOutcome::Failed);
            if self.would_retry() {
                return Err(SendFailure::Failed);
            }
        } else {
            received.request.record_begun();
            received.request.record_success();
        }
        strip_hop_by_hop(&mut parts.headers);
        parts.headers.remove(CONTENT_LENGTH);
        let held = HeldBytes { bytes: body, share: Some(share) };
        Ok(Response::from_parts(parts, ResponseBody::Buffered(Some(held))))
    }

    /// Records a response that was not received whole.
    fn interrupted(&self, mut received: EndpointRequest, err: &Error) -> SendFailure {
        let (request, endpoint) = (&self.head.attempt_id, &received.choice.id);
        tracing::info!("gateway: request {request} response interrupted at {endpoint}: {err}");
        match err.category() {
            // The endpoint may be sound, and the request too.
            Category::Busy => received.outcome = SendOutcome::Failed,
            _ => received.record_lost(),
        }
        SendFailure::Lost
    }

    /// Returns whether the request would be sent again after the endpoint has failed to process it.
    fn would_retry(&self) -> bool {
        let mut progress = self.progress;
        progress.count(SendFailure::Failed);
        next_step(&self.route, SendFailure::Failed, progress) == RetryStep::Again
    }

    fn refuse(&self, reason: &'static str, retry_after: Duration) -> Response<ResponseBody> {
        tracing::info!(
            "gateway: request {} on {} refused after {:?}: {reason} {}",
            self.head.attempt_id,
            self.route.name,
            now() - self.arrived,
            self.head.weights.as_ref().map(ToString::to_string).unwrap_or_default(),
        );
        if self.progress.runs > 0 {
            return self.give_up(RetryStep::Unknown, SendFailure::Lost);
        }
        LocalResponse::new(StatusCode::SERVICE_UNAVAILABLE, reason).retry_after(retry_after).into_response()
    }

    fn give_up(&self, step: RetryStep, failure: SendFailure) -> Response<ResponseBody> {
        tracing::info!(
            "gateway: request {} on {} given up after {:?}: {step:?}, {failure:?}, {:?}",
            self.head.attempt_id,
            self.route.name,
            now() - self.arrived,
            self.progress,
        );
        match step {
            RetryStep::Refuse | RetryStep::Again => {
                assert_eq!(self.progress.runs, 0, "I4: a refused request may have run");
                LocalResponse::new(StatusCode::SERVICE_UNAVAILABLE, "no endpoint took the request")
                    .retry_after(RETRY_AFTER)
                    .into_response()
            }
            RetryStep::Deny => LocalResponse::UNAUTHORIZED.into_response(),
            RetryStep::PassOn | RetryStep::Unknown | RetryStep::BreakOff
                if self.remaining_time().is_none() =>
            {
                LocalResponse::new(StatusCode::GATEWAY_TIMEOUT, "the time is used up").into_response()
            }
            RetryStep::PassOn | RetryStep::Unknown | RetryStep::BreakOff => {
                LocalResponse::new(StatusCode::BAD_GATEWAY, "the outcome of the request is unknown")
                    .into_response()
            }
        }
    }
}
