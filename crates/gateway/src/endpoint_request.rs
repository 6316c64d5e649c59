use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use carobwick_core::Fingerprint;
use carobwick_core::ServiceId;
use carobwick_core::Time;
use carobwick_core::gateway::Choice;
use carobwick_core::gateway::PacedLoad;
use carobwick_core::gateway::RequestHead;
use carobwick_core::gateway::SendId;
use carobwick_core::gateway::SendOutcome;
use carobwick_core::gateway::Suspect;
use carobwick_runtime::now;
use http::Response;
use hyper::body::Incoming;

use crate::Connection;
use crate::platform::ResponseHead;
use crate::pool::Purpose;
use crate::state::State;
use crate::suspicion::Trial;
use crate::suspicion::UnstartedRequest;

/// Request in flight at an endpoint. Dropping it closes the connection, which cancels the request there.
#[derive(Debug)]
pub(crate) struct EndpointRequest {
    state: Rc<State>,
    fingerprint: Fingerprint,
    /// Parts of the prompt that other requests may share.
    suspects: Vec<Suspect>,
    /// Right to send the request although its parts are suspected of crashing endpoints.
    trial: Option<Trial>,
    /// Whether the endpoint has begun to write the response.
    begun: bool,
    attempt_id: String,
    service: ServiceId,
    pub sent_at: Time,
    first_output: Cell<Option<Time>>,
    pub choice: Choice,
    send_id: SendId,
    pub connection: Option<Connection>,
    pub outcome: SendOutcome,
    /// Idle timeout of the connection, as the endpoint announces it.
    pub idle_timeout: Option<Duration>,
    /// Whether the connection can carry another request.
    pub reusable: bool,
}

/// Response of an endpoint whose head has arrived.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    pub request: EndpointRequest,
    pub head: ResponseHead,
    pub response: Response<Incoming>,
}

impl EndpointRequest {
    /// Registers a request to an endpoint with the balancer.
    pub fn start(
        state: &Rc<State>,
        service: &ServiceId,
        head: &RequestHead,
        fingerprint: Fingerprint,
        trial: Option<Trial>,
        choice: &Choice,
    ) -> Self {
        let send_id = state.balancer.borrow_mut().record_sent(head, choice, now());
        Self {
            state: Rc::clone(state),
            fingerprint,
            suspects: head.shared_parts().map(Suspect::Part).collect(),
            trial,
            begun: false,
            attempt_id: head.attempt_id.clone(),
            service: service.clone(),
            sent_at: now(),
            first_output: Cell::default(),
            choice: choice.clone(),
            send_id,
            connection: None,
            outcome: SendOutcome::Neutral,
            idle_timeout: None,
            reusable: false,
        }
    }

    /// Records the first event of a stream, or the head of any other response.
    pub fn record_started(&self, load: Option<PacedLoad>) {
        self.first_output.set(Some(now()));
        self.record_response(load);
        if self.state.balancer.borrow_mut().record_accepted(&self.choice) {
            self.state.endpoints_changed.notify_waiters();
        }
    }

    /// Records that a response has arrived, with the load that the endpoint reports.
    pub fn record_response(&self, load: Option<PacedLoad>) {
        if let Some(pace) = load.and_then(|load| load.pace) {
            self.state.meters.record_pace(&self.service, pace);
        }
        self.state.balancer.borrow_mut().record_response(&self.choice, self.send_id, load, now());
    }

    /// Records the outcome at the end of the response, and returns a reusable connection to the pool.
    pub fn finish(&mut self, outcome: SendOutcome) {
        self.outcome = outcome;
        if let Some(connection) = self.connection.take_if(|_| self.reusable) {
            self.state.pool.put(&self.choice, Purpose::Requests, connection, self.idle_timeout);
        }
    }

    /// Records that the connection was lost before the end of the response.
    pub fn record_lost(&mut self) {
        self.outcome = SendOutcome::Lost;
        self.connection = None;
        self.report_unstarted();
        self.state.report_lost_endpoint(self.fingerprint, &self.choice.id, self.choice.incarnation);
    }

    /// Returns whether the request is a trial of its suspected parts.
    pub fn is_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Returns whether the endpoint has begun to write the response.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Records that the endpoint has begun to write the response, so that the prompt did not crash it.
    pub fn record_begun(&mut self) {
        if !self.begun {
            self.begun = true;
            self.state.clear_suspects(&self.suspects);
            self.trial = None;
        }
    }

    /// Reports the parts of the prompt if the connection was lost before the first event.
    fn report_unstarted(&mut self) {
        if self.begun || self.suspects.is_empty() {
            return;
        }
        let (request, endpoint, parts) = (&self.attempt_id, &self.choice.id, part_list(&self.suspects));
        tracing::info!("gateway: request {request} lost {endpoint} before its first event, parts {parts}");
        self.state.report_unstarted(UnstartedRequest {
            choice: self.choice.clone(),
            suspects: std::mem::take(&mut self.suspects),
            trial: self.trial.take(),
        });
    }

    /// Logs how the request ended at this endpoint; successes only at debug level, since they are most of the
    /// volume.
    fn log(&self) {
        let first = self.first_output.get().map(|first| (first - self.sent_at).as_millis());
        let (end, cost) = ((now() - self.sent_at).as_millis(), self.choice.cost);
        let (request, endpoint, outcome) = (&self.attempt_id, &self.choice.id, self.outcome);
        if outcome == SendOutcome::Good {
            tracing::debug!(
                "gateway: request {request} at {endpoint}: cost {cost:.0}, first ms {first:?}, end ms {end}"
            );
        } else {
            let cause = if self.state.stop_ending.is_cancelled() { ", at the end of the stop" } else { "" };
            tracing::info!(
                "gateway: request {request} at {endpoint}: {outcome:?}, cost {cost:.0}, first ms {first:?}, end ms {end}{cause}"
            );
        }
    }

    /// Records a response that was forwarded whole, and clears the request of suspicion.
    pub fn record_success(&mut self) {
        self.state.clear_suspects(&[Suspect::Request(self.fingerprint)]);
        self.finish(SendOutcome::Good);
    }
}

impl Drop for EndpointRequest {
    fn drop(&mut self) {
        self.log();
        self.state.meters.record_send(&self.service, self.outcome);
        let mut balancer = self.state.balancer.borrow_mut();
        balancer.record_finished(&self.choice, self.send_id, self.outcome, now());
        if balancer.is_recovering(&self.choice) {
            self.state.endpoints_changed.notify_waiters();
        }
    }
}

/// Returns parts of a prompt as text for the log.
fn part_list(suspects: &[Suspect]) -> String {
    let parts = suspects.iter().filter_map(|suspect| match suspect {
        Suspect::Part(part) => Some(part.to_string()),
        Suspect::Request(_) => None,
    });
    parts.collect::<Vec<_>>().join(",")
}
