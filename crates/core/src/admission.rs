use std::time::Duration;

use crate::Decision;
use crate::Priority;
use crate::RefusalCode;
use crate::RequestId;
use crate::RunStatus;
use crate::Time;
use crate::active::Active;
use crate::active::Phase;
use crate::dispatch::Dispatcher;
use crate::fair_share::Standing as Share;
use crate::quarantine::Standing;
use crate::queue::Waiting;
use crate::route::Route;

const MIN_RETRY_AFTER: f64 = 0.1;
const MAX_RETRY_AFTER: f64 = 30.0;
/// Seconds added to the wait of a caller above its share; more than any target for the first token.
const SHARE_PAUSE: f64 = 2.0;
/// Steps of the margin; their ratio lets it settle where a tenth of the admitted requests miss their target.
const MARGIN_UP: f64 = 0.002;
const MARGIN_DOWN: f64 = 0.018;
const MIN_MARGIN: f64 = 0.25;
/// Part of the target that any request can wait.
const LEAST_PATIENCE: f64 = 0.1;
/// Group of the suspects in the queue; other requests don't wait behind them.
const SUSPECTS: usize = usize::MAX;

impl Dispatcher {
    /// Decides on a request that is not in flight: send, forward, wait or refuse.
    pub(crate) fn decide(&mut self, request: RequestId, standing: Standing, now: Time) -> Decision {
        let route = match self.route(request, standing, now) {
            Route::Endpoint { index, own, .. }
                if self.policy.admission && standing == Standing::Clear && self.is_awaited(index) =>
            {
                Route::Full { own }
            }
            other => other,
        };
        let active = &self.requests[&request];
        // A suspect or a rerun was admitted before, so it runs or waits without regard to its target.
        let is_new = standing == Standing::Clear && active.tried.is_empty() && self.policy.admission;
        let (wait, own) = match route {
            Route::Nowhere => {
                return self
                    .forward(request, None, now)
                    .unwrap_or_else(|| self.refuse_unavailable(request, None));
            }
            Route::Endpoint { index, first, own }
                if !is_new || first - own <= self.patience(active, own, now) =>
            {
                let (caller, cost) = (&active.ask.caller, active.cost());
                self.queue.served(caller, cost);
                self.shares.entry(active.pool).or_default().served(caller, cost as f64, now);
                return self.start(request, index, now);
            }
            _ if !self.policy.admission => return self.refuse_unavailable(request, None),
            Route::Blocked(until) if standing == Standing::Clear && !is_new => {
                let late = until > active.due;
                let local = (until - now).as_secs_f64();
                return match self.forward(request, Some(local), now) {
                    Some(decision) => decision,
                    None if late => self.refuse_unavailable(request, Some(until - now)),
                    None => self.enqueue(request, standing, now),
                };
            }
            _ if !is_new => return self.enqueue(request, standing, now),
            Route::Endpoint { first, own, .. } => (first - own, own),
            Route::Blocked(until) => ((until - now).as_secs_f64(), 0.0),
            Route::Full { own } => (self.wait(request, now), own),
        };
        if let Some(decision) = self.forward(request, Some(wait + own), now) {
            return decision;
        }
        let active = &self.requests[&request];
        let over = wait - self.patience(active, own, now);
        if over <= 0.0 && self.has_room(request) {
            let share = self.shares.entry(active.pool).or_default();
            share.served(&active.ask.caller, active.cost() as f64, now);
            return self.enqueue(request, standing, now);
        }
        match route {
            Route::Blocked(until) => self.refuse_unavailable(request, Some(until - now)),
            _ => self.refuse_overloaded(request, over),
        }
    }

    fn enqueue(&mut self, request: RequestId, standing: Standing, now: Time) -> Decision {
        let priority = self.priority(request);
        let Some(active) = self.requests.get_mut(&request) else { return Decision::Wait };
        active.phase = Phase::Waiting;
        active.since = now;
        let group = if standing == Standing::Clear { active.group } else { SUSPECTS };
        let waiting = Waiting { request, group, tokens: active.ask.prompt_tokens.0 };
        self.queue.push(waiting, &active.ask.caller, priority, active.cost());
        Decision::Wait
    }

    pub(crate) fn refuse_unavailable(&mut self, request: RequestId, after: Option<Duration>) -> Decision {
        let after = after.unwrap_or(Duration::from_secs(1));
        self.refuse(request, RefusalCode::Unavailable, Some(after))
    }

    /// Refuses a request and forgets it.
    pub(crate) fn refuse(
        &mut self,
        request: RequestId,
        code: RefusalCode,
        after: Option<Duration>,
    ) -> Decision {
        self.queue.remove(request);
        let ran = self.requests.swap_remove(&request).is_some_and(|active| active.ran);
        let run = if ran { RunStatus::Unknown } else { RunStatus::No };
        Decision::Refuse { code, run, retry_after: after }
    }

    pub(crate) fn refuse_overloaded(&mut self, request: RequestId, over: f64) -> Decision {
        // Spreads the callers that come back over a quarter of the wait.
        let spread = 1.0 + (request.0 % 256) as f64 / 1024.0;
        let after = (over * spread).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        self.refuse(request, RefusalCode::Overloaded, Some(Duration::from_secs_f64(after)))
    }

    /// Returns the seconds until a new request would be sent, by the rate at which own requests end on its endpoints.
    ///
    /// A caller with little use goes before the others, who wait up to twice as long for it. Everyone else counts all
    /// requests that wait, since later ones of other callers can go first. Above its share a caller is refused.
    pub(crate) fn wait(&mut self, request: RequestId, now: Time) -> f64 {
        let priority = self.priority(request);
        let active = &self.requests[&request];
        let (group, caller) = (active.group, &active.ask.caller);
        let holders = self.fleet.holders(group);
        let rate = |index: &usize| {
            let endpoint = &self.fleet.endpoints[*index];
            let service = endpoint.service_time.unwrap_or(active.assumed);
            (f64::from(endpoint.load.own()) / service, 1.0 / service)
        };
        let rates: Vec<(f64, f64)> = holders.iter().map(rate).collect();
        let least = rates.iter().map(|(_, one)| *one).fold(0.0, f64::max);
        let rate = rates.iter().map(|(own, _)| own).sum::<f64>().max(least);
        let all: f64 = self.queue.at_least(priority).map(|other| self.overlap(other, holders)).sum();
        let before: f64 = self.queue.ahead(caller, priority).map(|other| self.overlap(other, holders)).sum();
        let (all, before) = ((all + 1.0) / rate, (before + 1.0) / rate);
        match self.shares.entry(active.pool).or_default().standing(caller, now) {
            Share::Low => (all / 2.0).max(before),
            Share::Within => all,
            Share::Above => all + SHARE_PAUSE,
        }
    }

    /// Takes account of an admitted request that met its target, or did not.
    ///
    /// Estimates are too low while other entries send to the same endpoints, so the margin follows the misses.
    pub(crate) fn adjust_margin(&mut self, met: bool) {
        let step = if met { MARGIN_UP } else { -MARGIN_DOWN };
        self.margin = (self.margin + step).clamp(MIN_MARGIN, 1.0);
    }

    /// Returns the part of a waiting request of a group that can be expected to use the given endpoints.
    fn overlap(&self, group: usize, endpoints: &[usize]) -> f64 {
        let own = self.fleet.holders(group);
        let shared = own.iter().filter(|index| endpoints.contains(index)).count();
        shared as f64 / own.len().max(1) as f64
    }

    /// Returns whether a request that waits can run on an endpoint.
    fn is_awaited(&self, index: usize) -> bool {
        self.queue.groups().any(|group| self.fleet.holders(group).contains(&index))
    }

    fn has_room(&self, request: RequestId) -> bool {
        let tokens = self.queue.tokens() + self.requests[&request].ask.prompt_tokens.0;
        self.queue.len() < self.policy.queue_limit && tokens <= self.policy.token_limit
    }

    fn priority(&self, request: RequestId) -> Priority {
        let ask = &self.requests[&request].ask;
        let declared = self.fleet.targets.get(&ask.target).map_or(0, |spec| spec.priority.0);
        Priority(declared.saturating_add(ask.priority.0))
    }

    /// Returns the seconds that a request can wait if it takes `own` seconds itself.
    ///
    /// A request that takes almost its whole target or more can still wait for a part of it: it would otherwise be refused
    /// whenever it comes back.
    fn patience(&self, active: &Active, own: f64, now: Time) -> f64 {
        (active.left(now) * self.margin - own).max(active.goal * LEAST_PATIENCE * self.margin)
    }
}
