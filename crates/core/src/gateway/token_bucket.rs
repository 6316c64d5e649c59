use std::time::Duration;

use crate::Incarnation;
use crate::Millis;
use crate::Rate;
use crate::Time;
use crate::gateway::Ticket;
use crate::gateway::TokenReplies;
use crate::gateway::TokenReply;
use crate::gateway::TokenRequest;

/// Time over which endpoints count the requests that they receive.
const COUNT_WINDOW: Duration = Duration::from_secs(4);
/// Time whose tokens a bucket holds at most.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Rate from which on a limit that the endpoint no longer names has ended.
const RELEASE_RATE: Rate = Rate(64.0);
/// Wait that is added to that for the next token, since the bucket is refilled in floating point.
const WAIT_MARGIN: Duration = Duration::from_millis(1);
/// Least time between two reports of a limited engine, in tokens of its bucket.
const TOKENS_PER_REPORT: f64 = 4.0;

/// Rate limit of one incarnation of an endpoint: its tokens, and the requests that wait for them.
#[derive(Debug)]
pub(super) struct TokenBucket {
    pub incarnation: Incarnation,
    /// The limit in force, or none if it has ended.
    rate: Option<Rate>,
    /// Time of the response that was applied last.
    heard: Time,
    /// Time of the first response that allows a higher rate, with none since that does not.
    higher_since: Option<Time>,
    tokens: f64,
    updated: Time,
    next_report: Time,
    /// Requests that wait for a token, in the order in which they get it.
    waiters: Vec<Waiter>,
}

/// A request that waits for a token.
#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    priority: u8,
    /// Since when the caller's request has waited.
    since: Time,
    requested: Time,
    /// Time until which it can wait.
    until: Time,
}

impl TokenBucket {
    /// Creates an empty bucket, since the endpoint received requests just before.
    pub fn new(incarnation: Incarnation, rate: Rate, heard: Time, now: Time) -> Self {
        Self {
            incarnation,
            rate: Some(rate),
            heard,
            higher_since: None,
            tokens: 0.0,
            updated: now,
            next_report: now,
            waiters: Vec::new(),
        }
    }

    /// Returns the limit in force.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Applies the limit that a response named at `heard`; returns whether the limit in force has changed.
    pub fn apply(&mut self, limit: Option<Rate>, heard: Time, now: Time) -> bool {
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

    /// Handles a request for a token; returns the replies that are due.
    pub fn request(&mut self, request: TokenRequest, now: Time) -> TokenReplies {
        let waiter = Waiter {
            since: now - request.waited.duration(),
            until: now + request.max_wait.duration(),
            requested: now,
            ticket: request.ticket,
            priority: request.priority,
        };
        let position = self
            .waiters
            .partition_point(|other| (other.priority, other.since) <= (waiter.priority, waiter.since));
        self.waiters.insert(position, waiter);
        self.advance(now)
    }

    /// Removes a request that waits.
    pub fn cancel(&mut self, ticket: &Ticket) {
        self.waiters.retain(|waiter| waiter.ticket != *ticket);
    }

    /// Grants the tokens that there are, and denies requests that can't wait for theirs.
    pub fn advance(&mut self, now: Time) -> TokenReplies {
        self.refill(now);
        let mut replies = TokenReplies::new();
        while !self.waiters.is_empty() && self.has_token() {
            self.tokens -= 1.0;
            let waiter = self.waiters.remove(0);
            replies.push((waiter.ticket, TokenReply::Granted(millis(now - waiter.requested))));
        }
        let mut position = 0;
        while let Some(waiter) = self.waiters.get(position) {
            let wait = self.wait(position);
            if now + wait <= waiter.until {
                position += 1;
                continue;
            }
            let waiter = self.waiters.remove(position);
            replies.push((waiter.ticket, TokenReply::Denied(millis(wait))));
        }
        replies
    }

    /// Returns the time at which the first request that waits gets its token, or none if no request waits.
    pub fn next_token(&self) -> Option<Time> {
        (!self.waiters.is_empty()).then(|| self.updated + self.wait(0))
    }

    /// Takes a token for an order, unless requests wait for one.
    pub fn take_for_order(&mut self, now: Time) -> bool {
        self.refill(now);
        let is_free = self.waiters.is_empty() && self.has_token();
        self.tokens -= f64::from(u8::from(is_free));
        is_free
    }

    /// Takes a token for a query of an engine's state, if the last one is long enough ago.
    pub fn take_for_report(&mut self, now: Time) -> bool {
        let Some(rate) = self.rate else { return true };
        self.refill(now);
        if now < self.next_report || !self.has_token() {
            return false;
        }
        self.tokens -= 1.0;
        self.next_report = now + Duration::from_secs_f64(TOKENS_PER_REPORT / rate.0);
        true
    }

    fn has_token(&self) -> bool {
        self.rate.is_none() || self.tokens >= 1.0
    }

    /// Returns the time from the last refill until the request at a position in the queue gets its token.
    fn wait(&self, position: usize) -> Duration {
        let Some(rate) = self.rate else { return Duration::ZERO };
        let missing = (position as f64 + 1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / rate.0) + WAIT_MARGIN
    }

    fn refill(&mut self, now: Time) {
        let rate = self.rate.map_or(0.0, |rate| rate.0);
        let capacity = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + (now - self.updated).as_secs_f64() * rate).min(capacity);
        self.updated = now;
    }
}

fn millis(time: Duration) -> Millis {
    Millis(time.as_millis() as u64)
}
