use std::time::Duration;

use carobwick_core::EndpointId;
use carobwick_core::Incarnation;
use carobwick_core::Millis;
use carobwick_core::Rate;
use carobwick_core::Time;
use carobwick_core::gateway::AnnouncedLimit;
use carobwick_core::gateway::Choice;
use carobwick_core::gateway::LimitNews;
use carobwick_core::gateway::Ticket;
use carobwick_core::gateway::TokenReply;
use carobwick_core::gateway::TokenRequest;
use carobwick_runtime::now;
use tokio::time::timeout;

use crate::message::FollowerMessage;
use crate::message::LeaderMessage;
use crate::state::State;

/// Time after its request for which a token may be used. The leader counts it as used, so it must reach the
/// endpoint in about the window in which it was issued.
const TOKEN_LIFETIME: Duration = Duration::from_millis(500);
/// Time by which the leader's reply may exceed the wait that the request allows.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a token is requested again from a leader that did not reply.
const TOKEN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Permission to send one request to an endpoint that limits the rate of requests.
#[derive(Debug)]
pub(crate) struct SendPermit {
    endpoint: EndpointId,
    incarnation: Incarnation,
    expires: Time,
}

/// Whether a request may be sent to an endpoint.
#[derive(Debug)]
pub(crate) enum Admission {
    /// It may be sent, with a permit if the endpoint limits the rate of requests.
    Admitted(Option<SendPermit>),
    /// The rate limit of the endpoint is reached.
    Denied,
}

/// How long a request can wait for a token, and in which order.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Patience {
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Time for which the request has waited already.
    pub waited: Duration,
    /// Time for which it can still wait.
    pub max_wait: Duration,
}

/// A request for a token; dropping it without a reply tells the leader that no token is needed.
struct OpenRequest<'a> {
    state: &'a State,
    endpoint: EndpointId,
    ticket: Ticket,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        if self.state.token_requests.cancel(self.ticket.number) {
            let (endpoint, ticket) = (self.endpoint.clone(), self.ticket.clone());
            self.state.send_to_leader(FollowerMessage::CancelToken { endpoint, ticket });
        }
    }
}

/// Requests to endpoints that limit their rate.
impl State {
    /// Decides whether a request may be sent to an endpoint; takes a token if the endpoint limits the rate of
    /// requests, for which it waits as long as the request can.
    pub async fn admit(&self, choice: &Choice, patience: Patience) -> Admission {
        let Some((limit, heard)) = self.balancer.borrow().limit(choice) else {
            return Admission::Admitted(None);
        };
        let asked = now();
        let reply = match self.request_token(choice, limit, heard, patience).await {
            Some(reply) => reply,
            None if self.take_share(choice) => TokenReply::Granted(Millis(0)),
            None => return Admission::Denied,
        };
        match reply {
            TokenReply::Granted(waited) => Admission::Admitted(Some(SendPermit {
                endpoint: choice.id.clone(),
                incarnation: choice.incarnation,
                expires: asked + waited.duration() + TOKEN_LIFETIME,
            })),
            TokenReply::Denied(wait) => {
                self.balancer.borrow_mut().record_denied(choice, wait.duration(), now());
                Admission::Denied
            }
        }
    }

    /// Returns whether a request may still be sent to an endpoint that was chosen before: the endpoint may
    /// have announced a limit since, or the permit may have expired.
    pub fn permits_send(&self, choice: &Choice, permit: Option<&SendPermit>) -> bool {
        let is_valid = |permit: &SendPermit| {
            permit.endpoint == choice.id && permit.incarnation == choice.incarnation && now() < permit.expires
        };
        permit.is_some_and(is_valid) || self.balancer.borrow().limit(choice).is_none()
    }

    /// Requests a token from the leader; returns none if there is no leader.
    async fn request_token(
        &self,
        choice: &Choice,
        limit: Rate,
        heard: Time,
        patience: Patience,
    ) -> Option<TokenReply> {
        if !self.has_leader() {
            return None;
        }
        let (number, reply) = self.token_requests.open();
        let ticket = Ticket { instance: self.settings.instance.clone(), number };
        let open = OpenRequest { state: self, endpoint: choice.id.clone(), ticket: ticket.clone() };
        let request = TokenRequest {
            ticket,
            priority: patience.priority,
            waited: millis(patience.waited),
            max_wait: millis(patience.max_wait),
        };
        self.send_to_leader(FollowerMessage::RequestToken {
            endpoint: choice.id.clone(),
            incarnation: choice.incarnation,
            limit,
            age: millis(now() - heard),
            request,
        });
        let result = timeout(patience.max_wait + TOKEN_TIMEOUT, reply).await;
        drop(open);
        match result {
            Ok(Ok(reply)) => Some(reply),
            Ok(Err(_connection_ended)) => None,
            Err(_elapsed) => {
                tracing::info!(
                    "gateway: the leader does not reply to the request for a token of {}",
                    choice.id
                );
                Some(TokenReply::Denied(millis(TOKEN_RETRY_DELAY)))
            }
        }
    }

    fn take_share(&self, choice: &Choice) -> bool {
        let (instances, draw) = (self.instances(), rand::random());
        self.balancer.borrow_mut().take_share(choice, instances, draw, now())
    }

    /// Applies the rate limit that a response names, or that it names none; `sent` is when its request was
    /// sent.
    pub fn hear_limit(&self, choice: &Choice, limit: AnnouncedLimit, sent: Time) {
        let news = self.balancer.borrow_mut().record_limit(choice, limit, sent, now());
        match news {
            LimitNews::None => {}
            LimitNews::Invalid => {
                tracing::warn!("gateway: ignored an invalid rate limit of {}", choice.id);
            }
            LimitNews::Report(limit) => {
                tracing::info!("gateway: {} announces {}", choice.id, limit_text(limit));
                self.update_limit_metric();
                self.send_to_leader(FollowerMessage::EndpointLimit {
                    endpoint: choice.id.clone(),
                    incarnation: choice.incarnation,
                    limit,
                    age: Millis(0),
                });
            }
        }
    }

    /// Sets the rate limit of an endpoint to the one that the leader has sent, or to none.
    pub fn set_limit(&self, id: &EndpointId, incarnation: Incarnation, limit: Option<Rate>) {
        self.balancer.borrow_mut().set_limit(id, incarnation, limit, now());
        self.update_limit_metric();
        if limit.is_none() {
            self.endpoints_changed.notify_waiters();
        }
    }

    /// Applies a reply of the leader while this instance is the leader itself.
    pub fn receive_own_reply(&self, message: LeaderMessage) {
        match message {
            LeaderMessage::EndpointLimit { endpoint, incarnation, limit } => {
                self.set_limit(&endpoint, incarnation, limit);
            }
            LeaderMessage::Token { number, reply } => self.token_requests.complete(number, reply),
            LeaderMessage::Trial { number, granted } => self.trial_requests.complete(number, granted),
            _ => {}
        }
    }

    /// Returns the messages that tell a new leader the rate limits that this instance knows.
    pub fn limit_messages(&self) -> Vec<FollowerMessage> {
        let balancer = self.balancer.borrow();
        let message = |(endpoint, incarnation, limit, heard): (&EndpointId, Incarnation, Rate, Time)| {
            let (endpoint, limit) = (endpoint.clone(), Some(limit));
            FollowerMessage::EndpointLimit { endpoint, incarnation, limit, age: millis(now() - heard) }
        };
        balancer.limits().map(message).collect()
    }

    fn update_limit_metric(&self) {
        self.meters.set_limited(self.balancer.borrow().limits().count());
    }
}

/// Returns a rate limit as text for the log.
pub(crate) fn limit_text(limit: Option<Rate>) -> String {
    limit.map_or_else(|| "no rate limit".to_owned(), |rate| format!("a limit of {rate} requests per second"))
}

fn millis(time: Duration) -> Millis {
    Millis(time.as_millis() as u64)
}
