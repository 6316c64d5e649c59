use std::rc::Rc;
use std::time::Duration;

use carobwick_core::EndpointId;
use carobwick_core::Incarnation;
use carobwick_core::InstanceId;
use carobwick_core::Leadership;
use carobwick_core::Millis;
use carobwick_core::Rate;
use carobwick_core::Time;
use carobwick_core::gateway::Balancer;
use carobwick_core::gateway::Choice;
use carobwick_core::gateway::Ticket;
use carobwick_core::gateway::TokenIssuer;
use carobwick_core::gateway::TokenReplies;
use carobwick_core::gateway::TokenReply;
use carobwick_core::gateway::TokenRequest;
use carobwick_runtime::now;

use crate::coordinator::Coordinator;
use crate::message::LeaderMessage;
use crate::permits::limit_text;

/// Time after which an instance may ask for a token again if the leader's lease can't be relied on.
const LEASE_RETRY: Millis = Millis(300);
/// Least time between two checks whether a token is there.
const MIN_ISSUE_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time between two checks whether a token is there.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Issuer of tokens during one term of this instance as the leader.
#[derive(Debug, Default)]
pub(super) struct TermIssuer {
    /// Start of the term.
    since: Option<Time>,
    issuer: TokenIssuer,
}

impl TermIssuer {
    /// Returns the issuer of the term that began at `since`; a new one starts with the limits that this
    /// instance knows.
    fn of_term(&mut self, since: Option<Time>, balancer: &Balancer) -> &mut TokenIssuer {
        if self.since != since {
            let mut issuer = TokenIssuer::default();
            for (id, incarnation, rate, heard) in balancer.limits() {
                issuer.apply(id, incarnation, Some(rate), heard, now());
            }
            *self = Self { since, issuer };
        }
        &mut self.issuer
    }
}

/// Rate limits of endpoints, which the leader enforces for all instances.
impl Coordinator {
    fn with_issuer<T>(&self, f: impl FnOnce(&mut TokenIssuer) -> T) -> T {
        let mut term = self.issuer.borrow_mut();
        f(term.of_term(self.election.leading_since(), &self.state.balancer.borrow()))
    }

    /// Handles the rate limit that an endpoint announced to an instance.
    pub(super) fn handle_limit(
        &self,
        from: &InstanceId,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        limit: Option<Rate>,
        age: Millis,
    ) {
        let heard = now() - age.duration();
        let is_changed = self.with_issuer(|issuer| issuer.apply(endpoint, incarnation, limit, heard, now()));
        self.publish_limit(from, endpoint, incarnation, is_changed);
    }

    /// Handles a request for a token of an endpoint whose limit its instance last heard of at `heard`.
    pub(super) fn handle_token_request(
        &self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        limit: Rate,
        heard: Time,
        request: TokenRequest,
    ) {
        let from = request.ticket.instance.clone();
        let is_new = self.with_issuer(|issuer| issuer.learn(endpoint, incarnation, limit, heard, now()));
        if self.may_issue() {
            self.send_replies(
                self.with_issuer(|issuer| issuer.request(endpoint, incarnation, request, now())),
            );
        } else {
            self.send_replies(vec![(request.ticket, TokenReply::Denied(LEASE_RETRY))]);
        }
        let is_ended = self.with_issuer(|issuer| issuer.limit(endpoint, incarnation).is_none());
        if is_new || is_ended {
            self.publish_limit(&from, endpoint, incarnation, is_new);
        }
        self.tokens_changed.notify_one();
    }

    /// Removes a request that waits for a token.
    pub(super) fn cancel_token(&self, endpoint: &EndpointId, ticket: &Ticket) {
        self.with_issuer(|issuer| issuer.cancel(endpoint, ticket));
    }

    /// Issues tokens to waiting requests while this instance is the leader, until the task is aborted.
    pub async fn issue_tokens(self: Rc<Self>) {
        loop {
            let changed = self.tokens_changed.notified();
            let next = self.with_issuer(|issuer| issuer.next_token());
            let wait = next.map_or(IDLE_INTERVAL, |next| next - now()).max(MIN_ISSUE_INTERVAL);
            let _elapsed = tokio::time::timeout(wait, changed).await;
            if self.may_issue() {
                self.send_replies(self.with_issuer(|issuer| issuer.advance(now())));
            }
        }
    }

    /// Returns whether this instance is the leader now, by its lease.
    fn may_issue(&self) -> bool {
        matches!(self.election.leadership(), Leadership::Leader(_))
    }

    fn send_replies(&self, replies: TokenReplies) {
        for (ticket, reply) in replies {
            tracing::debug!("leader: token for request {} of {}: {reply:?}", ticket.number, ticket.instance);
            self.send_to(&ticket.instance, LeaderMessage::Token { number: ticket.number, reply });
        }
    }

    /// Sends the limit of an endpoint that is in force to all instances if it has changed, and otherwise to
    /// the instance that reported another one.
    fn publish_limit(
        &self,
        from: &InstanceId,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        is_changed: bool,
    ) {
        let limit = self.with_issuer(|issuer| issuer.limit(endpoint, incarnation));
        let message = LeaderMessage::EndpointLimit { endpoint: endpoint.clone(), incarnation, limit };
        if is_changed {
            tracing::info!("leader: {endpoint} has {}", limit_text(limit));
            self.state.set_limit(endpoint, incarnation, limit);
            self.broadcast(&message);
            self.update_limited_engines();
            self.wake.notify_one();
            self.tokens_changed.notify_one();
        } else {
            self.send_to(from, message);
        }
    }

    /// Updates which engines the placement counts as limited.
    pub(super) fn update_limited_engines(&self) {
        let limited = self.with_issuer(|issuer| issuer.limits().map(|(id, ..)| id.clone()).collect());
        self.registry.borrow_mut().set_limited(limited);
    }

    /// Returns the messages that tell a new follower the limits in force.
    pub(super) fn limit_messages(&self) -> Vec<LeaderMessage> {
        let message = |(endpoint, incarnation, limit): (&EndpointId, Incarnation, Rate)| {
            LeaderMessage::EndpointLimit { endpoint: endpoint.clone(), incarnation, limit: Some(limit) }
        };
        self.with_issuer(|issuer| issuer.limits().map(message).collect())
    }

    /// Takes a token for an order; returns whether it may be sent.
    pub(super) fn admits_order(&self, choice: &Choice) -> bool {
        self.with_issuer(|issuer| issuer.take_for_order(&choice.id, choice.incarnation, now()))
    }

    /// Takes a token for a query of an engine's state; returns whether it may be sent.
    pub(super) fn admits_report(&self, choice: &Choice) -> bool {
        self.with_issuer(|issuer| issuer.take_for_report(&choice.id, choice.incarnation, now()))
    }

    /// Removes the limits of endpoints that no longer exist.
    pub(super) fn retain_limits(&self, exists: impl Fn(&EndpointId) -> bool) {
        self.with_issuer(|issuer| issuer.retain(exists));
    }
}
