use std::time::Duration;

use crate::EndpointId;
use crate::Incarnation;
use crate::Rate;
use crate::Time;
use crate::breaker::Permission;
use crate::gateway::AnnouncedLimit;
use crate::gateway::Balancer;
use crate::gateway::Choice;
use crate::gateway::EndpointEntry;
use crate::gateway::LimitNews;
use crate::gateway::balance::EndpointStats;
use crate::gateway::rate_limit::RateLimit;

/// Rate limits of endpoints.
impl Balancer {
    /// Records the rate limit that a response of an endpoint names, or that it names none; `sent` is when its
    /// request was sent. Returns what others have to know of it.
    pub fn record_limit(
        &mut self,
        choice: &Choice,
        limit: AnnouncedLimit,
        sent: Time,
        now: Time,
    ) -> LimitNews {
        let stats = self.stats(&choice.id, choice.incarnation);
        if limit == AnnouncedLimit::Invalid {
            let is_logged = std::mem::replace(&mut stats.invalid_limit, true);
            return if is_logged { LimitNews::None } else { LimitNews::Invalid };
        }
        RateLimit::hear(&mut stats.limit, limit, sent, now)
    }

    /// Sets the limit in force of an incarnation of an endpoint to the one that the leader has sent, or to
    /// none.
    pub fn set_limit(&mut self, id: &EndpointId, incarnation: Incarnation, rate: Option<Rate>, now: Time) {
        let known = self.endpoints.get(id).map(|stats| stats.incarnation);
        if known.is_some_and(|known| known > incarnation) || rate.is_none() && known != Some(incarnation) {
            return;
        }
        let limit = &mut self.stats(id, incarnation).limit;
        *limit = rate.map(|rate| match *limit {
            Some(known) => known.with_rate(rate),
            None => RateLimit::new(rate, now),
        });
    }

    /// Returns the rate limit of an incarnation of an endpoint, and when this instance last heard of it.
    pub fn limit(&self, choice: &Choice) -> Option<(Rate, Time)> {
        let stats = self.endpoints.get(&choice.id).filter(|stats| stats.incarnation == choice.incarnation)?;
        stats.limit.map(|limit| (limit.rate, limit.heard))
    }

    /// Returns all rate limits, with the time at which this instance last heard of each.
    pub fn limits(&self) -> impl Iterator<Item = (&EndpointId, Incarnation, Rate, Time)> {
        self.endpoints.iter().filter_map(|(id, stats)| {
            let limit = stats.limit?;
            Some((id, stats.incarnation, limit.rate, limit.heard))
        })
    }

    /// Returns whether one of the candidates limits the rate of requests.
    pub fn any_limited<'a>(&self, mut candidates: impl Iterator<Item = &'a EndpointEntry>) -> bool {
        candidates.any(|entry| {
            let stats = self.endpoints.get(&entry.id).filter(|stats| stats.incarnation == entry.incarnation);
            stats.is_some_and(|stats| stats.limit.is_some())
        })
    }

    /// Returns the candidate with a rate limit whose next token is expected first.
    pub fn soonest_token<'a>(
        &self,
        candidates: impl Iterator<Item = &'a EndpointEntry>,
        now: Time,
    ) -> Option<Choice> {
        let waits = candidates.filter_map(|entry| {
            let stats =
                self.endpoints.get(&entry.id).filter(|stats| stats.incarnation == entry.incarnation)?;
            let is_usable = !stats.is_paused(now) && stats.breaker.permission(now) != Permission::Block;
            Some((stats.limit.filter(|_| is_usable)?.wait(now), entry))
        });
        waits.min_by_key(|(wait, _)| *wait).map(|(_, entry)| Choice::new(entry, 0.0))
    }

    /// Records that no request may be sent to an endpoint before `wait` has passed, since the leader has no
    /// token for it.
    pub fn record_denied(&mut self, choice: &Choice, wait: Duration, now: Time) {
        if let Some(limit) = self.limit_mut(choice) {
            limit.deny(wait, now);
        }
    }

    /// Takes this instance's share of the rate of an endpoint, for an instance without a leader; returns
    /// whether a request may be sent now.
    ///
    /// `draw` is a random number in `0.0..1.0`, and `instances` the last known number of instances.
    pub fn take_share(&mut self, choice: &Choice, instances: Option<u32>, draw: f64, now: Time) -> bool {
        self.limit_mut(choice).is_none_or(|limit| limit.take_share(instances, draw, now))
    }

    /// Records that the leader has changed: tokens and shares that were expected do not come.
    pub fn reset_shares(&mut self, now: Time) {
        for limit in self.endpoints.values_mut().filter_map(|stats| stats.limit.as_mut()) {
            limit.reset_schedule(now);
        }
    }

    fn limit_mut(&mut self, choice: &Choice) -> Option<&mut RateLimit> {
        self.current_stats(choice)?.limit.as_mut()
    }
}

impl EndpointStats {
    /// Returns whether the rate limit of the endpoint, if any, may allow another request.
    pub(super) fn may_have_token(&self, now: Time) -> bool {
        self.limit.is_none_or(|limit| limit.wait(now).is_zero())
    }

    /// Returns the time until the pause or the rate limit of the endpoint may allow another request, or none
    /// if it has neither.
    pub(super) fn wait(&self, now: Time) -> Option<Duration> {
        let pause = self.rejection.map(|rejection| rejection.remaining(now));
        let token = self.limit.map(|limit| limit.wait(now));
        pause.max(token)
    }

    /// Returns whether the state of an endpoint that is not listed is kept.
    pub(super) fn is_retained(&self, now: Time) -> bool {
        let is_limited = self.limit.is_some_and(|limit| limit.is_retained(now));
        is_limited || self.is_paused(now) || !self.in_flight.is_empty()
    }
}
