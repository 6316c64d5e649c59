use std::time::Duration;

use carobwick_derive::data;
use carobwick_derive::key;
use indexmap::IndexMap;

use crate::EndpointId;
use crate::Incarnation;
use crate::InstanceId;
use crate::Millis;
use crate::Rate;
use crate::Time;
use crate::gateway::token_bucket::TokenBucket;

/// Time after which an instance that knows another incarnation of an endpoint asks again.
const STALE_RETRY: Duration = Duration::from_secs(1);

/// Identifies a request to the leader among those of all instances.
#[key]
pub struct Ticket {
    /// Instance that asks.
    pub instance: InstanceId,
    /// Number that is unique at the instance.
    pub number: u64,
}

/// Request of an instance for a token.
#[data]
pub struct TokenRequest {
    /// Identity of the request.
    pub ticket: Ticket,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Time for which the caller's request has waited for a token already.
    pub waited: Millis,
    /// Time for which it can still wait.
    pub max_wait: Millis,
}

/// Reply to a request for a token.
#[data]
#[derive(Copy)]
pub enum TokenReply {
    /// One request may be sent; the token was issued this time after it had been requested.
    Granted(Millis),
    /// No request may be sent; a token is expected after this time.
    Denied(Millis),
}

/// Replies that are due, with the requests for tokens that they answer.
pub type TokenReplies = Vec<(Ticket, TokenReply)>;

/// Issues the tokens without which no instance sends a request to an endpoint that limits its rate.
///
/// The leader of the region issues them for all instances, so that their sum stays under the limit. Requests
/// that can wait for a token get it in the order of their priority and age; one that can't be served in time
/// is denied at once. A limit that falls applies at once. One that rises, or that the endpoint no longer
/// names, applies after a window in which the lower one was in force; the rate then doubles with each response
/// that allows more.
#[derive(Debug, Default)]
pub struct TokenIssuer {
    buckets: IndexMap<EndpointId, TokenBucket>,
}

impl TokenIssuer {
    /// Applies the limit that a response named at `heard`, or none if it named none; returns whether the limit
    /// in force has changed.
    pub fn apply(
        &mut self,
        id: &EndpointId,
        incarnation: Incarnation,
        limit: Option<Rate>,
        heard: Time,
        now: Time,
    ) -> bool {
        match (self.buckets.get_mut(id), limit) {
            (Some(bucket), _) if bucket.incarnation > incarnation => false,
            (Some(bucket), _) if bucket.incarnation == incarnation => bucket.apply(limit, heard, now),
            (_, Some(rate)) => {
                self.buckets.insert(id.clone(), TokenBucket::new(incarnation, rate, heard, now));
                true
            }
            (_, None) => false,
        }
    }

    /// Learns of a limit from an instance that asks for a token; returns whether it was not known.
    pub fn learn(
        &mut self,
        id: &EndpointId,
        incarnation: Incarnation,
        rate: Rate,
        heard: Time,
        now: Time,
    ) -> bool {
        let is_known = self.buckets.get(id).is_some_and(|bucket| bucket.incarnation >= incarnation);
        !is_known && self.apply(id, incarnation, Some(rate), heard, now)
    }

    /// Handles a request for a token; returns the replies that are due, to this request or to others.
    pub fn request(
        &mut self,
        id: &EndpointId,
        incarnation: Incarnation,
        request: TokenRequest,
        now: Time,
    ) -> TokenReplies {
        match self.buckets.get_mut(id) {
            Some(bucket) if bucket.incarnation == incarnation => bucket.request(request, now),
            Some(bucket) if bucket.incarnation > incarnation => {
                vec![(request.ticket, TokenReply::Denied(Millis(STALE_RETRY.as_millis() as u64)))]
            }
            Some(_) | None => vec![(request.ticket, TokenReply::Granted(Millis(0)))],
        }
    }

    /// Removes a request that waits for a token, since its caller has left or another endpoint runs it.
    pub fn cancel(&mut self, id: &EndpointId, ticket: &Ticket) {
        if let Some(bucket) = self.buckets.get_mut(id) {
            bucket.cancel(ticket);
        }
    }

    /// Returns the replies to waiting requests that are due.
    pub fn advance(&mut self, now: Time) -> TokenReplies {
        self.buckets.values_mut().flat_map(|bucket| bucket.advance(now)).collect()
    }

    /// Returns the time at which the next token for a waiting request is there, or none without one.
    pub fn next_token(&self) -> Option<Time> {
        self.buckets.values().filter_map(TokenBucket::next_token).min()
    }

    /// Takes a token for an order, unless requests wait for one; returns whether it may be sent.
    pub fn take_for_order(&mut self, id: &EndpointId, incarnation: Incarnation, now: Time) -> bool {
        self.bucket_mut(id, incarnation).is_none_or(|bucket| bucket.take_for_order(now))
    }

    /// Takes a token for a query of an engine's state; returns whether it may be sent.
    ///
    /// Queries get a fraction of the tokens only.
    pub fn take_for_report(&mut self, id: &EndpointId, incarnation: Incarnation, now: Time) -> bool {
        self.bucket_mut(id, incarnation).is_none_or(|bucket| bucket.take_for_report(now))
    }

    /// Returns the limit in force of an incarnation of an endpoint.
    pub fn limit(&self, id: &EndpointId, incarnation: Incarnation) -> Option<Rate> {
        self.buckets.get(id).filter(|bucket| bucket.incarnation == incarnation)?.rate()
    }

    /// Returns all limits in force.
    pub fn limits(&self) -> impl Iterator<Item = (&EndpointId, Incarnation, Rate)> {
        self.buckets.iter().filter_map(|(id, bucket)| Some((id, bucket.incarnation, bucket.rate()?)))
    }

    /// Removes endpoints that no longer exist, except those for which requests wait.
    pub fn retain(&mut self, exists: impl Fn(&EndpointId) -> bool) {
        self.buckets.retain(|id, bucket| bucket.next_token().is_some() || exists(id));
    }

    fn bucket_mut(&mut self, id: &EndpointId, incarnation: Incarnation) -> Option<&mut TokenBucket> {
        self.buckets.get_mut(id).filter(|bucket| bucket.incarnation == incarnation)
    }
}
