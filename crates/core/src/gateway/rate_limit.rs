use std::time::Duration;

use crate::Rate;
use crate::Time;
use crate::gateway::AnnouncedLimit;

/// Fraction of the limit that the instances without a leader use together. A leader that has lost its
/// connections to them goes on granting the whole rate to the others.
const LEADERLESS_FRACTION: f64 = 0.25;
/// Number of instances that is assumed until the leader has sent it, an upper bound for one region.
const MAX_INSTANCES: u32 = 512;
/// Time for which the limit of an endpoint is kept after its entry has disappeared from the list; an entry
/// that expired during an outage is added again sooner.
const RETENTION: Duration = Duration::from_secs(10);

/// What an instance does with the limit that a response names, or does not name.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitNews {
    /// It agrees with the limit in force.
    None,
    /// The leader must hear of it: the limit, or none if the response names none.
    Report(Option<Rate>),
    /// The response names an invalid limit for the first time.
    Invalid,
}

/// Rate limit of one incarnation of an endpoint, as one instance knows it.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateLimit {
    pub rate: Rate,
    /// Time at which this instance last heard of the limit.
    pub heard: Time,
    /// Time until which no token is expected.
    denied_until: Time,
    /// Time of the next request of this instance if it has no leader.
    next_share: Option<Time>,
}

impl RateLimit {
    pub fn new(rate: Rate, now: Time) -> Self {
        Self { rate, heard: now, denied_until: now, next_share: None }
    }

    /// Returns the limit with the rate that the leader has sent.
    pub fn with_rate(self, rate: Rate) -> Self {
        Self { rate, ..self }
    }

    /// Applies the limit that a response names, whose request was sent at `sent`; `known` is the limit in
    /// force.
    ///
    /// A limit that rises or ends stays in force until the leader changes it. A response to a request that
    /// was sent before the limit was heard of does not end it, since it may be older.
    pub fn hear(known: &mut Option<Self>, limit: AnnouncedLimit, sent: Time, now: Time) -> LimitNews {
        match (limit.bounded(), known) {
            (AnnouncedLimit::Limited(rate), Some(known)) => {
                known.heard = now;
                if rate == known.rate {
                    return LimitNews::None;
                }
                known.rate = Rate(rate.0.min(known.rate.0));
                LimitNews::Report(Some(rate))
            }
            (AnnouncedLimit::Limited(rate), known) => {
                *known = Some(Self::new(rate, now));
                LimitNews::Report(Some(rate))
            }
            (AnnouncedLimit::Unlimited, Some(known)) if sent > known.heard => LimitNews::Report(None),
            (AnnouncedLimit::Unlimited | AnnouncedLimit::Invalid, _) => LimitNews::None,
        }
    }

    /// Returns the time until a token is expected; zero if one may be requested now.
    pub fn wait(&self, now: Time) -> Duration {
        self.denied_until - now
    }

    /// Records that the leader has no token for this instance before `wait` has passed.
    pub fn deny(&mut self, wait: Duration, now: Time) {
        self.denied_until = now + wait;
    }

    /// Takes this instance's share of the rate, for an instance without a leader; returns whether a request
    /// may be sent now.
    ///
    /// `draw`, a random number in `0.0..1.0`, spreads the first requests of all instances over time.
    pub fn take_share(&mut self, instances: Option<u32>, draw: f64, now: Time) -> bool {
        let instances = f64::from(instances.unwrap_or(MAX_INSTANCES));
        let interval = Duration::from_secs_f64(instances / (self.rate.0 * LEADERLESS_FRACTION));
        let next = *self.next_share.get_or_insert(now + interval.mul_f64(draw));
        let is_due = now >= next;
        if is_due {
            self.next_share = Some(now + interval);
        }
        self.denied_until = self.next_share.unwrap_or(next);
        is_due
    }

    /// Forgets the schedule of requests without a leader, and when a leader had the next token.
    pub fn reset_schedule(&mut self, now: Time) {
        self.next_share = None;
        self.denied_until = now;
    }

    /// Returns whether the limit is kept for an endpoint that is not listed.
    pub fn is_retained(&self, now: Time) -> bool {
        now < self.heard + RETENTION
    }
}
