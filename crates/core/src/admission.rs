use std::time::Duration;

use crate::Decision;
use crate::Priority;
use crate::RefusalCode;
use crate::RequestId;
use crate::RouteTarget;
use crate::RunStatus;
use crate::Time;
use crate::active::Active;
use crate::active::Phase;
use crate::dispatch::Dispatcher;
use crate::estimate::Estimate;
use crate::fair_share::Waiting;
use crate::route::Route;
use crate::verdict::Standing;

const MIN_RETRY_AFTER: f64 = 0.1;
const MAX_RETRY_AFTER: f64 = 30.0;
/// Group of the suspects in the queue; other requests don't wait behind them.
const SUSPECTS: usize = usize::MAX;

impl Dispatcher {
    /// Decides on a request that is not in flight: send, forward, wait or refuse.
    pub(crate) fn decide(&mut self, request: RequestId, standing: Standing, now: Time) -> Decision {
        let group = self.requests[&request].group;
        let in_line = self.policy.admission && self.queue.waiting(group) > 0 && standing == Standing::Clear;
        let route = if in_line { Route::Full } else { self.route(request, standing, now) };
        match route {
            Route::Endpoint(index) => {
                let active = &self.requests[&request];
                self.queue.served(&active.ask.caller, active.cost());
                return self.start(request, index, now);
            }
            Route::Nowhere => {
                return self
                    .forward(request, None, now)
                    .unwrap_or_else(|| self.refuse_unavailable(request, None));
            }
            Route::Full | Route::Blocked(_) => {}
        }
        if !self.policy.admission {
            return self.refuse_unavailable(request, None);
        }
        // A suspect or a retry was admitted before, so it waits without regard to its target.
        if standing != Standing::Clear || self.requests[&request].attempts > 0 {
            return self.enqueue(request, standing);
        }
        let wait = match route {
            Route::Blocked(until) => (until - now).as_secs_f64(),
            _ => self.wait(request),
        };
        let active = &self.requests[&request];
        let expected = wait + self.first(active, 0);
        if let Some(decision) = self.forward(request, Some(expected), now) {
            return decision;
        }
        let over = expected - self.requests[&request].left(now);
        if over <= 0.0 && self.has_room(request) {
            return self.enqueue(request, standing);
        }
        match route {
            Route::Blocked(until) => self.refuse_unavailable(request, Some(until - now)),
            _ => self.refuse_overloaded(request, over),
        }
    }

    /// Returns the time by which an answer must begin.
    ///
    /// The target of a prompt that would miss it on an idle endpoint is extended, because such a request would
    /// otherwise be refused whenever it comes back.
    pub(crate) fn due_time(&self, active: &Active, goal: f64, now: Time) -> Time {
        let idle = self.estimates.get(&active.group).map_or(0.0, |known| known.idle_first(active.ask.prompt));
        let goal = goal.max(idle * 1.5);
        (now + Duration::from_secs_f64(goal)).min(active.ask.deadline)
    }

    /// Returns the seconds to the first token after dispatch, with own requests in prefill before it.
    pub(crate) fn first(&self, active: &Active, pending: u32) -> f64 {
        let Some(estimate) = self.estimates.get(&active.group) else { return 0.0 };
        match active.ask.target {
            RouteTarget::Model(_) => estimate.first(active.ask.prompt, pending),
            RouteTarget::Service(_) => estimate.service().unwrap_or(0.0),
        }
    }

    fn enqueue(&mut self, request: RequestId, standing: Standing) -> Decision {
        let priority = self.priority(request);
        let Some(active) = self.requests.get_mut(&request) else { return Decision::Wait };
        active.phase = Phase::Waiting;
        let group = if standing == Standing::Clear { active.group } else { SUSPECTS };
        let waiting = Waiting { request, group, tokens: active.ask.prompt.0 };
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

    fn refuse_overloaded(&mut self, request: RequestId, over: f64) -> Decision {
        // Spreads the callers that come back over a quarter of the wait.
        let spread = 1.0 + (request.0 % 256) as f64 / 1024.0;
        let after = (over * spread).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        self.refuse(request, RefusalCode::Overloaded, Some(Duration::from_secs_f64(after)))
    }

    /// Returns the seconds until a new request would be sent, by the rate at which own requests of the group end.
    fn wait(&self, request: RequestId) -> f64 {
        let active = &self.requests[&request];
        let ahead = self.queue.ahead(active.group, &active.ask.caller, self.priority(request));
        let service = self.estimates.get(&active.group).and_then(Estimate::service).unwrap_or(0.0);
        let running = self.running.get(&active.group).copied().unwrap_or(0).max(1);
        (ahead + 1) as f64 * service / f64::from(running)
    }

    fn has_room(&self, request: RequestId) -> bool {
        let tokens = self.queue.tokens() + self.requests[&request].ask.prompt.0;
        self.queue.len() < self.policy.queue && tokens <= self.policy.queue_tokens
    }

    fn priority(&self, request: RequestId) -> Priority {
        let ask = &self.requests[&request].ask;
        let declared = self.fleet.targets.get(&ask.target).map_or(0, |spec| spec.priority.0);
        Priority(declared.saturating_add(ask.priority.0))
    }
}
