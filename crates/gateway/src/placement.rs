use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use carobwick_core::Time;
use carobwick_core::gateway::Choice;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::PauseStep;
use carobwick_core::gateway::Weights;
use carobwick_core::gateway::pause_step;
use carobwick_runtime::now;

use crate::permits::Admission;
use crate::permits::Patience;
use crate::proxied_request::ProxiedRequest;
use crate::proxied_request::RETRY_AFTER;
use crate::response::LocalResponse;
use crate::state::State;

/// Time after which a request that waits for another copy of its model looks for a token again.
const OTHER_COPY_POLL: Duration = Duration::from_millis(200);
/// First delay before a request is sent again to an endpoint that has just declined it.
const DECLINED_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time that a request waits for its model in addition to the model's load time.
const MODEL_LOAD_MARGIN: Duration = Duration::from_secs(1);

/// Endpoint for the next attempt of a request.
pub(crate) enum Placement {
    Endpoint(Choice),
    /// No endpoint can process the request in time.
    None {
        reason: &'static str,
        retry_after: Duration,
    },
}

impl Placement {
    /// The instance stops before an endpoint can be chosen; another instance can serve the request at once.
    pub const STOPPING: Self =
        Self::None { reason: LocalResponse::STOPPING.message, retry_after: Duration::ZERO };
}

/// How the wait for a token ends.
enum TokenWait {
    /// The request may be sent to this endpoint.
    Admitted(Choice),
    /// An endpoint without a limit can serve the request.
    OtherEndpoint,
    /// There is no token in time.
    Denied,
}

/// Request for which no endpoint has been chosen yet, as counted in the state.
#[derive(Debug)]
pub(crate) struct Unplaced {
    state: Rc<State>,
}

/// Wait of a request for its model. Dropping it before it is finished means that the caller or the stop of the
/// instance has ended it.
#[derive(Debug)]
struct ModelWait {
    state: Rc<State>,
    attempt_id: String,
    started: Time,
    weights: Weights,
    finished: bool,
}

impl ProxiedRequest {
    /// Chooses an endpoint, or waits until the model is loaded on one.
    pub async fn place(&mut self) -> Placement {
        let started = now();
        let state = Rc::clone(&self.state);
        let mut model_wait = None;
        let placement = loop {
            let changed = state.endpoints_changed.notified();
            if self.remaining_time().is_none() {
                break Placement::None { reason: "the time is used up", retry_after: RETRY_AFTER };
            }
            match self.choose() {
                Some(choice) if self.tried.contains(&choice.id) => {
                    // No untried endpoint can serve the request, and this one has just declined it.
                    tokio::time::sleep(DECLINED_RETRY_DELAY * (1 << self.tried.len().min(4))).await;
                    self.tried.clear();
                    continue;
                }
                Some(choice) => {
                    if !self.admit(&choice, Duration::ZERO).await {
                        continue;
                    }
                    self.request_local_adapter(&choice);
                    break Placement::Endpoint(choice);
                }
                None => {}
            }
            if self.is_limited() {
                self.request_other_copy();
                match self.wait_for_token(started).await {
                    TokenWait::Admitted(choice) => break Placement::Endpoint(choice),
                    TokenWait::OtherEndpoint => continue,
                    TokenWait::Denied if self.may_get_other_copy(started) => {
                        let _elapsed = tokio::time::timeout(OTHER_COPY_POLL, changed).await;
                        continue;
                    }
                    TokenWait::Denied => {}
                }
            }
            match self.next_pause_step(started) {
                Some(PauseStep::Wait(time)) => {
                    // Ends early when an endpoint accepts requests again.
                    let _elapsed = tokio::time::timeout(time, changed).await;
                    continue;
                }
                Some(PauseStep::Refuse(retry_after)) => {
                    let retry_after = retry_after.max(RETRY_AFTER);
                    break Placement::None {
                        reason: "the endpoints have asked for a pause or reached their limits",
                        retry_after,
                    };
                }
                None => {}
            }
            if self.is_bound_elsewhere() {
                break Placement::None {
                    reason: "no endpoint of the version that began the stream can go on",
                    retry_after: RETRY_AFTER,
                };
            }
            let Some(weights) = self.head.weights.clone() else {
                break Placement::None { reason: "no endpoint takes the request", retry_after: RETRY_AFTER };
            };
            let Some(limit) = self.model_wait_limit() else {
                break Placement::None { reason: "the model is not served", retry_after: RETRY_AFTER };
            };
            let waited = now() - started;
            if !self.state.has_leader() || waited >= limit {
                break Placement::None { reason: "no endpoint holds the model", retry_after: RETRY_AFTER };
            }
            if model_wait.is_none() {
                let attempt_id = self.head.attempt_id.clone();
                model_wait = Some(ModelWait {
                    state: Rc::clone(&state),
                    attempt_id,
                    started,
                    weights: weights.clone(),
                    finished: false,
                });
                self.state.request_weights(&self.service, weights);
            }
            if tokio::time::timeout(limit.saturating_sub(waited), changed).await.is_err() {
                tracing::info!(
                    "gateway: request {} timed out after waiting {limit:?} for its model",
                    self.head.attempt_id
                );
            }
        };
        if let Some(model_wait) = &mut model_wait {
            model_wait.finished = true;
        }
        placement
    }

    /// Requests an adapter that is resident in other zones only, so that it stays available in a partition
    /// between zones.
    fn request_local_adapter(&self, choice: &Choice) {
        let Some(weights) = self.head.weights.as_ref().filter(|weights| weights.adapter.is_some()) else {
            return;
        };
        let endpoints = self.state.endpoints.borrow();
        let zone = &self.state.settings.zone;
        let is_local = |entry: &EndpointEntry| entry.zone == *zone;
        if endpoints.get(&choice.id).is_some_and(is_local) {
            return;
        }
        let mut local = endpoints.live(&self.service).filter(|entry| is_local(entry));
        if !local.any(|entry| entry.resident.has(weights)) && self.state.should_request_weights(weights) {
            self.state.request_weights(&self.service, weights.clone());
        }
    }

    /// Requests another copy of the model or adapter if endpoints that hold it have reached their rate limits.
    fn request_other_copy(&self) {
        let Some(weights) = &self.head.weights else { return };
        if self.is_limited() && self.state.should_request_weights(weights) {
            self.state.request_weights(&self.service, weights.clone());
        }
    }

    /// Returns whether an endpoint that can serve the request limits the rate of requests.
    fn is_limited(&self) -> bool {
        let endpoints = self.state.endpoints.borrow();
        let capable = endpoints.live(&self.service).filter(|entry| self.can_serve(entry));
        self.state.balancer.borrow().any_limited(capable)
    }

    /// Returns whether the leader may load another copy of the model while the request can wait, since those
    /// that there are have reached their rate limits.
    fn may_get_other_copy(&self, started: Time) -> bool {
        let is_in_time = self.model_wait_limit().is_some_and(|limit| now() - started < limit);
        is_in_time && self.state.has_leader() && self.is_limited()
    }

    /// Waits for a token of the endpoint whose next one is expected first, until it is known that there will be
    /// none in time or until an endpoint without a limit can serve the request.
    async fn wait_for_token(&mut self, started: Time) -> TokenWait {
        let Some(choice) = self.soonest_token().filter(|_| self.state.has_leader()) else {
            return TokenWait::Denied;
        };
        let state = Rc::clone(&self.state);
        let max_wait = self.max_wait(started);
        let mut admission = pin!(state.admit(&choice, self.patience(max_wait)));
        loop {
            let changed = state.endpoints_changed.notified();
            if self.choose().is_some_and(|choice| state.balancer.borrow().limit(&choice).is_none()) {
                return TokenWait::OtherEndpoint;
            }
            tokio::select! {
                biased;
                admission = &mut admission => {
                    return if self.take_admission(&choice, admission) {
                        TokenWait::Admitted(choice.clone())
                    } else {
                        TokenWait::Denied
                    };
                }
                () = changed => {}
            }
        }
    }

    fn soonest_token(&self) -> Option<Choice> {
        let endpoints = self.state.endpoints.borrow();
        let capable = endpoints.live(&self.service).filter(|entry| self.can_serve(entry));
        self.state.balancer.borrow().soonest_token(capable, now())
    }

    /// Returns how long the request waits for an endpoint that is there, from now on.
    fn max_wait(&self, started: Time) -> Duration {
        ((self.deadline - started) / 2).saturating_sub(now() - started)
    }

    fn patience(&self, max_wait: Duration) -> Patience {
        Patience { priority: self.priority(), waited: now() - self.arrived, max_wait }
    }

    /// Returns whether the request may be sent to an endpoint, for which a permit is taken if the endpoint
    /// limits the rate of requests.
    async fn admit(&mut self, choice: &Choice, max_wait: Duration) -> bool {
        let admission = self.state.admit(choice, self.patience(max_wait)).await;
        self.take_admission(choice, admission)
    }

    /// Keeps the permit of an admission; returns whether the request may be sent.
    fn take_admission(&mut self, choice: &Choice, admission: Admission) -> bool {
        match admission {
            Admission::Admitted(permit) => {
                self.permit = permit;
                true
            }
            Admission::Denied => {
                tracing::info!("gateway: request {} gets no token of {}", self.head.attempt_id, choice.id);
                false
            }
        }
    }

    /// Like [`Self::choose`], but passes over endpoints that have reached their rate limit.
    pub async fn choose_admitted(&mut self) -> Option<Choice> {
        while self.remaining_time().is_some() {
            let choice = self.choose()?;
            if self.admit(&choice, Duration::ZERO).await {
                return Some(choice);
            }
        }
        None
    }

    /// Chooses an endpoint that has the weights, preferably one that was not tried yet.
    pub fn choose(&self) -> Option<Choice> {
        let endpoints = self.state.endpoints.borrow();
        let capable = |entry: &&EndpointEntry| self.can_serve(entry);
        let balancer = self.state.balancer.borrow();
        let untried =
            endpoints.live(&self.service).filter(capable).filter(|entry| !self.tried.contains(&entry.id));
        let chosen = balancer.choose(&self.head, untried, now());
        chosen.or_else(|| balancer.choose(&self.head, endpoints.live(&self.service).filter(capable), now()))
    }

    /// Returns whether to wait or to refuse if all endpoints that can serve the request have asked for a pause
    /// or reached their rate limits, or none otherwise.
    fn next_pause_step(&self, started: Time) -> Option<PauseStep> {
        let endpoints = self.state.endpoints.borrow();
        let capable = endpoints.live(&self.service).filter(|entry| self.can_serve(entry));
        let pause_remaining = self.state.balancer.borrow().pause_remaining(capable, now())?;
        Some(pause_step(pause_remaining, self.max_wait(started)))
    }

    fn can_serve(&self, entry: &EndpointEntry) -> bool {
        self.binding.allows(entry.version.as_ref()) && self.is_resident(entry)
    }

    fn is_resident(&self, entry: &EndpointEntry) -> bool {
        self.head.weights.as_ref().is_none_or(|weights| entry.resident.has(weights))
    }

    /// Returns whether only endpoints of other software versions can serve the request. The leader loads no other copy
    /// of a model for it.
    fn is_bound_elsewhere(&self) -> bool {
        let endpoints = self.state.endpoints.borrow();
        let mut resident = endpoints.live(&self.service).filter(|entry| self.is_resident(entry)).peekable();
        resident.peek().is_some() && !resident.any(|entry| self.can_serve(entry))
    }

    /// Returns the longest time to wait until the model is loaded, or none if the service does not have the
    /// model.
    fn model_wait_limit(&self) -> Option<Duration> {
        let spec = self.table.services.get(&self.service)?.engine.as_ref()?;
        let size = spec.models.get(&self.head.weights.as_ref()?.model)?;
        let remaining = self.deadline - self.arrived;
        Some((size.load_time.duration() + MODEL_LOAD_MARGIN).min(remaining / 2))
    }
}

impl Unplaced {
    pub fn new(state: &Rc<State>) -> Self {
        state.unplaced.set(state.unplaced.get() + 1);
        Self { state: Rc::clone(state) }
    }
}

impl Drop for Unplaced {
    fn drop(&mut self) {
        self.state.unplaced.set(self.state.unplaced.get() - 1);
    }
}

impl Drop for ModelWait {
    fn drop(&mut self) {
        if !self.finished {
            let (attempt_id, weights) = (&self.attempt_id, &self.weights);
            let waited = now() - self.started;
            let reason = if self.state.stopping.get() { "during a stop" } else { "by its caller" };
            tracing::info!(
                "gateway: request {attempt_id} cancelled {reason} after waiting {waited:?} for {weights}"
            );
        }
    }
}
