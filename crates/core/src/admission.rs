use std::time::Duration;

use crate::Decision;
use crate::Priority;
use crate::RefusalCode;
use crate::RequestId;
use crate::RunStatus;
use crate::Time;
use crate::active::ActiveRequest;
use crate::active::Phase;
use crate::conviction::SuspectState;
use crate::dispatch::Dispatcher;
use crate::fair_share::ShareLevel;
use crate::queue::WaitingRequest;
use crate::route::Route;

/// Least number of seconds after which a request that was refused as overloaded can be retried.
const MIN_RETRY_AFTER_SECONDS: f64 = 0.1;
/// Largest number of seconds after which a request that was refused as overloaded can be retried.
const MAX_RETRY_AFTER_SECONDS: f64 = 30.0;
/// Seconds added to the expected wait of a caller above its share; more than any target for the first token.
const OVER_SHARE_WAIT_SECONDS: f64 = 2.0;
/// Increase of the latency margin for each request that met its target. It is a ninth of
/// [`MARGIN_DECREASE`], so the margin converges to where a tenth of the admitted requests miss their target.
const MARGIN_INCREASE: f64 = 0.002;
/// Decrease of the latency margin for each request that missed its target.
const MARGIN_DECREASE: f64 = 0.018;
/// Lower bound of the latency margin.
const MIN_LATENCY_MARGIN: f64 = 0.25;
/// Fraction of its latency target that any request can wait.
const MIN_WAIT_FRACTION: f64 = 0.1;
/// Group of the suspect requests in the queue; other requests don't wait for them.
const SUSPECT_GROUP: usize = usize::MAX;

impl Dispatcher {
    /// Decides whether a request that is not in flight is sent, forwarded, queued or refused.
    pub(crate) fn decide(&mut self, request: RequestId, state: SuspectState, now: Time) -> Decision {
        let route = match self.route(request, state, now) {
            Route::Endpoint { index, own_time, .. }
                if self.policy.admission
                    && state == SuspectState::Clear
                    && self.has_waiting_request(index) =>
            {
                Route::Full { own_time }
            }
            other => other,
        };
        let active = &self.requests[&request];
        // A suspect request or a retry was admitted before, so it is sent or queued even if it misses its
        // target.
        let is_new = state == SuspectState::Clear && active.tried.is_empty() && self.policy.admission;
        let (wait, own_time) = match route {
            Route::NoHolder => {
                return self
                    .forward(request, None, now)
                    .unwrap_or_else(|| self.refuse_unavailable(request, None));
            }
            Route::Endpoint { index, time_to_first, own_time }
                if !is_new || time_to_first - own_time <= self.max_wait(active, own_time, now) =>
            {
                let (caller, cost) = (&active.info.caller, active.cost());
                self.queue.record_served(caller, cost);
                self.fair_shares.entry(active.service).or_default().add_served(caller, cost as f64, now);
                return self.start(request, index, now);
            }
            _ if !self.policy.admission => return self.refuse_unavailable(request, None),
            Route::Blocked(until) if state == SuspectState::Clear && !is_new => {
                let misses_target = until > active.target_time;
                let local = (until - now).as_secs_f64();
                return match self.forward(request, Some(local), now) {
                    Some(decision) => decision,
                    None if misses_target => self.refuse_unavailable(request, Some(until - now)),
                    None => self.enqueue(request, state, now),
                };
            }
            _ if !is_new => return self.enqueue(request, state, now),
            Route::Endpoint { time_to_first, own_time, .. } => (time_to_first - own_time, own_time),
            Route::Blocked(until) => ((until - now).as_secs_f64(), 0.0),
            Route::Full { own_time } => (self.expected_wait(request, now), own_time),
        };
        if let Some(decision) = self.forward(request, Some(wait + own_time), now) {
            return decision;
        }
        let active = &self.requests[&request];
        let excess = wait - self.max_wait(active, own_time, now);
        if excess <= 0.0 && self.fits_queue(request) {
            let share = self.fair_shares.entry(active.service).or_default();
            share.add_served(&active.info.caller, active.cost() as f64, now);
            return self.enqueue(request, state, now);
        }
        match route {
            Route::Blocked(until) => self.refuse_unavailable(request, Some(until - now)),
            _ => self.refuse_overloaded(request, excess),
        }
    }

    fn enqueue(&mut self, request: RequestId, state: SuspectState, now: Time) -> Decision {
        let priority = self.priority(request);
        let Some(active) = self.requests.get_mut(&request) else { return Decision::Wait };
        active.phase = Phase::Waiting;
        active.waiting_since = now;
        let group = if state == SuspectState::Clear { active.group } else { SUSPECT_GROUP };
        let waiting = WaitingRequest { request, group, prompt_tokens: active.info.prompt_tokens.0 };
        self.queue.push(waiting, &active.info.caller, priority, active.cost());
        Decision::Wait
    }

    pub(crate) fn refuse_unavailable(&mut self, request: RequestId, after: Option<Duration>) -> Decision {
        let after = after.unwrap_or(Duration::from_secs(1));
        self.refuse(request, RefusalCode::Unavailable, Some(after))
    }

    /// Refuses and removes a request.
    pub(crate) fn refuse(
        &mut self,
        request: RequestId,
        code: RefusalCode,
        after: Option<Duration>,
    ) -> Decision {
        self.queue.remove(request);
        let ran = self.requests.swap_remove(&request).is_some_and(|active| active.may_have_run);
        let run = if ran { RunStatus::Unknown } else { RunStatus::No };
        Decision::Refuse { code, run, retry_after: after }
    }

    pub(crate) fn refuse_overloaded(&mut self, request: RequestId, excess: f64) -> Decision {
        // Jitter of up to a quarter spreads the retries of callers.
        let spread = 1.0 + (request.0 % 256) as f64 / 1024.0;
        let after = (excess * spread).clamp(MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS);
        self.refuse(request, RefusalCode::Overloaded, Some(Duration::from_secs_f64(after)))
    }

    /// Returns the expected seconds until a new request is sent, from the rate at which own requests end on
    /// its endpoints.
    ///
    /// A caller with low use is served before the others, whose wait can double. For all others every waiting
    /// request counts, since later requests of other callers can be served first. Requests of a caller above
    /// its share are refused, since [`OVER_SHARE_WAIT_SECONDS`] is added to their wait.
    pub(crate) fn expected_wait(&mut self, request: RequestId, now: Time) -> f64 {
        let priority = self.priority(request);
        let active = &self.requests[&request];
        let (group, caller) = (active.group, &active.info.caller);
        let holders = self.fleet.holders(group);
        let rate = |index: &usize| {
            let endpoint = &self.fleet.endpoints[*index];
            let service = endpoint.service_time.unwrap_or(active.assumed_service);
            (f64::from(endpoint.load.own()) / service, 1.0 / service)
        };
        let rates: Vec<(f64, f64)> = holders.iter().map(rate).collect();
        let min_rate = rates.iter().map(|(_, slot_rate)| *slot_rate).fold(0.0, f64::max);
        let rate = rates.iter().map(|(rate, _)| rate).sum::<f64>().max(min_rate);
        let all: f64 =
            self.queue.groups_at_or_above(priority).map(|other| self.overlap(other, holders)).sum();
        let before: f64 =
            self.queue.groups_ahead(caller, priority).map(|other| self.overlap(other, holders)).sum();
        let (all, before) = ((all + 1.0) / rate, (before + 1.0) / rate);
        match self.fair_shares.entry(active.service).or_default().level(caller, now) {
            ShareLevel::Low => (all / 2.0).max(before),
            ShareLevel::Within => all,
            ShareLevel::Above => all + OVER_SHARE_WAIT_SECONDS,
        }
    }

    /// Adjusts the latency margin to whether an admitted request met its target.
    ///
    /// Estimates are too low while other entries send to the same endpoints, so the margin shrinks with each
    /// miss.
    pub(crate) fn adjust_margin(&mut self, met: bool) {
        let step = if met { MARGIN_INCREASE } else { -MARGIN_DECREASE };
        self.latency_margin = (self.latency_margin + step).clamp(MIN_LATENCY_MARGIN, 1.0);
    }

    /// Returns the fraction of the endpoints of a group that are among `endpoints`: the part of a waiting
    /// request of the group that is expected to use them.
    fn overlap(&self, group: usize, endpoints: &[usize]) -> f64 {
        let holders = self.fleet.holders(group);
        let shared = holders.iter().filter(|index| endpoints.contains(index)).count();
        shared as f64 / holders.len().max(1) as f64
    }

    /// Returns whether a waiting request can be sent to an endpoint.
    fn has_waiting_request(&self, index: usize) -> bool {
        self.queue.groups().any(|group| self.fleet.holders(group).contains(&index))
    }

    /// Returns whether the queue has capacity for one more request with its prompt.
    fn fits_queue(&self, request: RequestId) -> bool {
        let tokens = self.queue.prompt_tokens() + self.requests[&request].info.prompt_tokens.0;
        self.queue.len() < self.policy.queue_limit && tokens <= self.policy.token_limit
    }

    fn priority(&self, request: RequestId) -> Priority {
        let info = &self.requests[&request].info;
        let declared = self.fleet.targets.get(&info.target).map_or(0, |spec| spec.priority.0);
        Priority(declared.saturating_add(info.priority.0))
    }

    /// Returns the seconds that a request can wait if it takes `own_time` seconds itself.
    ///
    /// A request that takes most of its target or more can still wait for a fraction of it: otherwise all its
    /// retries would be refused too.
    fn max_wait(&self, active: &ActiveRequest, own_time: f64, now: Time) -> f64 {
        (active.time_left(now) * self.latency_margin - own_time)
            .max(active.target_latency * MIN_WAIT_FRACTION * self.latency_margin)
    }
}
