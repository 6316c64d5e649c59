use std::time::Duration;

use carobwick_derive::data;
use indexmap::IndexMap;

use crate::EndpointId;
use crate::Incarnation;
use crate::Millis;
use crate::Rate;
use crate::Time;

/// Time over which endpoints count the requests that they receive.
const COUNT_WINDOW: Duration = Duration::from_secs(4);
/// Time whose tokens an endpoint's bucket holds at most.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Rate from which on a limit that the endpoint no longer names has ended.
const RELEASE_RATE: Rate = Rate(64.0);
/// Wait that is added to that for the next token, since the bucket is refilled in floating point.
const WAIT_MARGIN: Duration = Duration::from_millis(1);
/// Least time between two reports of a limited engine, in tokens of its bucket.
const TOKENS_PER_REPORT: f64 = 4.0;
/// Time after which an instance that knows another incarnation of an endpoint asks again.
const STALE_RETRY: Duration = Duration::from_secs(1);

/// Answer to a request for a token.
#[data]
#[derive(Copy)]
pub enum TokenReply {
    /// One request may be sent.
    Granted,
    /// No request may be sent; a token is expected after this time.
    Denied(Millis),
}

/// Issues the tokens without which no instance sends a request to an endpoint that limits its rate.
///
/// The leader of the region issues them for all instances, so that their sum stays under the limit. A limit
/// that falls applies at once. One that rises, or that the endpoint no longer names, applies after a window in
/// which the lower one was in force; the rate then doubles with each response that allows more.
#[derive(Debug, Default)]
pub struct TokenIssuer {
    buckets: IndexMap<EndpointId, Bucket>,
}

/// Token bucket of one incarnation of an endpoint.
#[derive(Debug)]
struct Bucket {
    incarnation: Incarnation,
    /// The limit in force, or none if it has ended.
    rate: Option<Rate>,
    /// Time of the response that was applied last.
    heard: Time,
    /// Time of the first response that allows a higher rate, with none since that does not.
    higher_since: Option<Time>,
    tokens: f64,
    updated: Time,
    next_report: Time,
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
                self.buckets.insert(id.clone(), Bucket::new(incarnation, rate, heard, now));
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

    /// Takes a token for one request, if there is one.
    pub fn take(&mut self, id: &EndpointId, incarnation: Incarnation, now: Time) -> TokenReply {
        match self.buckets.get_mut(id) {
            Some(bucket) if bucket.incarnation == incarnation => bucket.take(now),
            Some(bucket) if bucket.incarnation > incarnation => denied(STALE_RETRY),
            Some(_) | None => TokenReply::Granted,
        }
    }

    /// Takes a token for a query of an engine's state; returns whether it may be sent.
    ///
    /// Queries get a fraction of the tokens only.
    pub fn take_for_report(&mut self, id: &EndpointId, incarnation: Incarnation, now: Time) -> bool {
        match self.buckets.get_mut(id) {
            Some(bucket) if bucket.incarnation == incarnation => bucket.take_for_report(now),
            Some(_) | None => true,
        }
    }

    /// Returns the limit in force of an incarnation of an endpoint.
    pub fn limit(&self, id: &EndpointId, incarnation: Incarnation) -> Option<Rate> {
        self.buckets.get(id).filter(|bucket| bucket.incarnation == incarnation)?.rate
    }

    /// Returns all limits in force.
    pub fn limits(&self) -> impl Iterator<Item = (&EndpointId, Incarnation, Rate)> {
        self.buckets.iter().filter_map(|(id, bucket)| Some((id, bucket.incarnation, bucket.rate?)))
    }

    /// Removes endpoints that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&EndpointId) -> bool) {
        self.buckets.retain(|id, _| exists(id));
    }
}

impl Bucket {
    /// Creates an empty bucket, since the endpoint received requests just before.
    fn new(incarnation: Incarnation, rate: Rate, heard: Time, now: Time) -> Self {
        Self {
            incarnation,
            rate: Some(rate),
            heard,
            higher_since: None,
            tokens: 0.0,
            updated: now,
            next_report: now,
        }
    }

    fn apply(&mut self, limit: Option<Rate>, heard: Time, now: Time) -> bool {
        if heard < self.heard {
            return false;
        }
        self.heard = heard;
        self.refill(now);
        let before = self.rate;
        self.rate = match (self.rate, limit) {
            (None, None) => None,
            (None, Some(rate)) => {
                (self.tokens, self.higher_since) = (0.0, None);
                Some(rate)
            }
            (Some(current), Some(rate)) if rate.0 <= current.0 => {
                self.higher_since = None;
                Some(rate)
            }
            (Some(current), higher) => self.raise(current, higher, heard),
        };
        self.rate != before
    }

    /// Returns the limit in force after a response that allows the rate `higher`, or any rate if that is
    /// none.
    fn raise(&mut self, current: Rate, higher: Option<Rate>, heard: Time) -> Option<Rate> {
        let since = *self.higher_since.get_or_insert(heard);
        if heard < since + COUNT_WINDOW {
            return Some(current);
        }
        let doubled = Rate(current.0 * 2.0);
        match higher {
            Some(higher) => Some(Rate(doubled.0.min(higher.0))),
            None => (doubled.0 < RELEASE_RATE.0).then_some(doubled),
        }
    }

    fn refill(&mut self, now: Time) {
        let rate = self.rate.map_or(0.0, |rate| rate.0);
        let capacity = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + (now - self.updated).as_secs_f64() * rate).min(capacity);
        self.updated = now;
    }

    fn take(&mut self, now: Time) -> TokenReply {
        self.refill(now);
        let Some(rate) = self.rate else { return TokenReply::Granted };
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return TokenReply::Granted;
        }
        denied(Duration::from_secs_f64((1.0 - self.tokens) / rate.0) + WAIT_MARGIN)
    }

    fn take_for_report(&mut self, now: Time) -> bool {
        let Some(rate) = self.rate else { return true };
        if now < self.next_report || self.take(now) != TokenReply::Granted {
            return false;
        }
        self.next_report = now + Duration::from_secs_f64(TOKENS_PER_REPORT / rate.0);
        true
    }
}

fn denied(wait: Duration) -> TokenReply {
    TokenReply::Denied(Millis(wait.as_millis() as u64))
}
