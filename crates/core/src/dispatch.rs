use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::AttemptOutcome;
use crate::CrashReport;
use crate::CrashReportSet;
use crate::Decision;
use crate::DispatchPolicy;
use crate::DrainSet;
use crate::EndpointId;
use crate::Fingerprint;
use crate::Incarnation;
use crate::LoadReport;
use crate::Manifest;
use crate::RefusalCode;
use crate::RequestId;
use crate::RequestInfo;
use crate::RouteTarget;
use crate::RunStatus;
use crate::Time;
use crate::ZoneId;
use crate::ZoneView;
use crate::active::Active;
use crate::active::Attempt;
use crate::active::Phase;
use crate::budget::RetryBudget;
use crate::budget::RetryTerms;
use crate::estimate::Estimate;
use crate::estimate::blend;
use crate::fair_share::FairShare;
use crate::fleet::Fleet;
use crate::lost_requests::LostRequests;
use crate::quarantine::Quarantine;
use crate::quarantine::Standing;
use crate::queue::FairQueue;
use crate::route::Route;

/// Time between polls while a request waits, since other entries' requests end unseen.
const POLL: Duration = Duration::from_millis(10);
/// Time for which a zone that refused a forwarded request gets no more of that model.
const FORWARD_PAUSE: Duration = Duration::from_millis(500);
const MAX_ATTEMPTS: u32 = 4;
/// Span over which retries are compared with requests.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Retries in that span that are allowed without any request, so that a quiet entry can retry.
const RETRY_SLACK: f64 = 10.0;

/// Decides for one entry where and when each request runs.
///
/// Every request goes through `admit`, then `sent`, `first_token` and `finished` for its attempt. After an attempt
/// that ended with `Failed` or `NotRun`, `retry` decides on the next one; a request that is not to be retried ends
/// with `finished(.., Cancelled, ..)`. A refused request needs no further call. Requests that wait come back from
/// `poll`, which is due at `next_poll`.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) policy: DispatchPolicy,
    pub(crate) fleet: Fleet,
    pub(crate) requests: IndexMap<RequestId, Active>,
    pub(crate) queue: FairQueue,
    pub(crate) quarantine: Quarantine,
    /// Service times per group.
    pub(crate) estimates: IndexMap<usize, Estimate>,
    /// Work of the callers per service.
    pub(crate) shares: IndexMap<usize, FairShare>,
    /// Counts routing choices.
    pub(crate) turn: u64,
    /// Part of the time to its target that a request may be expected to need.
    pub(crate) margin: f64,
    budget: RetryBudget,
    next_poll: Time,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no endpoints yet.
    pub fn new(policy: DispatchPolicy) -> Self {
        let retries = RetryTerms { ratio: policy.retry_ratio, window: RETRY_WINDOW, slack: RETRY_SLACK };
        Self {
            fleet: Fleet::default(),
            requests: IndexMap::new(),
            queue: FairQueue::default(),
            quarantine: Quarantine::new(policy.report_delay),
            estimates: IndexMap::new(),
            shares: IndexMap::new(),
            turn: 0,
            margin: 1.0,
            budget: RetryBudget::unshared(retries),
            next_poll: Time::ZERO,
            policy,
        }
    }

    /// Takes over the state that the processes exchange; requests in flight are kept.
    pub fn set_view(
        &mut self,
        manifest: &Manifest,
        own_zone: &ZoneId,
        views: &IndexMap<ZoneId, Arc<ZoneView>>,
        drains: &DrainSet,
        suspects: &CrashReportSet,
    ) {
        self.fleet.set_view(manifest, own_zone, views, drains);
        self.quarantine.learn(suspects);
        self.next_poll = Time::ZERO;
    }

    /// Decides on a new request.
    pub fn admit(&mut self, ask: RequestInfo, now: Time) -> Decision {
        self.quarantine.refresh(now);
        let refuse = |code| Decision::Refuse { code, run: RunStatus::No, retry_after: None };
        let Some(spec) = self.fleet.targets.get(&ask.target) else { return refuse(RefusalCode::NotFound) };
        if spec.retiring {
            return refuse(RefusalCode::Retiring);
        }
        let standing = self.quarantine.standing(ask.fingerprint, now);
        if standing == Standing::Convicted {
            return refuse(RefusalCode::CrashesEndpoint);
        }
        self.budget.add_request(now);
        let (group, pool, goal, request) = (spec.group, spec.pool, spec.goal, ask.request);
        let assumed = if spec.gap > 0.0 { spec.gap * ask.max_tokens.0 as f64 } else { goal };
        let active = Active {
            group,
            pool,
            due: (now + Duration::from_secs_f64(goal)).min(ask.deadline),
            goal,
            since: now,
            assumed,
            phase: Phase::Waiting,
            attempts: 0,
            tried: Vec::new(),
            failed: Time::ZERO,
            ran: false,
            ask,
        };
        self.shares.entry(pool).or_default().asked(&active.ask.caller, active.cost() as f64, now);
        self.requests.insert(request, active);
        self.decide(request, standing, now)
    }

    /// Returns the decisions on requests that waited.
    pub fn poll(&mut self, now: Time) -> Vec<(RequestId, Decision)> {
        self.quarantine.refresh(now);
        self.next_poll = now + POLL;
        let mut decisions = Vec::new();
        let mut full = Vec::new();
        for waiting in self.queue.in_order() {
            let Some(active) = self.requests.get(&waiting.request) else { continue };
            let group = active.group;
            let standing = self.quarantine.standing(active.ask.fingerprint, now);
            let overdue = standing == Standing::Clear && active.is_overdue(now);
            if standing == Standing::Clear && full.contains(&group) && !overdue {
                continue;
            }
            let decision = match standing {
                Standing::Convicted => self.refuse(waiting.request, RefusalCode::CrashesEndpoint, None),
                Standing::Held(_) => continue,
                Standing::Clear | Standing::Suspect => match self.route(waiting.request, standing, now) {
                    Route::Endpoint { index, .. } => self.start(waiting.request, index, now),
                    Route::Nowhere => {
                        let forward = self.forward(waiting.request, None, now);
                        forward.unwrap_or_else(|| self.refuse_unavailable(waiting.request, None))
                    }
                    Route::Blocked(until) if overdue => {
                        self.refuse_unavailable(waiting.request, Some(until - now))
                    }
                    Route::Full { .. } if overdue => {
                        let wait = self.wait(waiting.request, now);
                        self.refuse_overloaded(waiting.request, wait)
                    }
                    Route::Full { .. } | Route::Blocked(_) => {
                        if standing == Standing::Clear {
                            full.push(group);
                        }
                        continue;
                    }
                },
            };
            decisions.push((waiting.request, decision));
        }
        decisions
    }

    /// Returns the time at which `poll` is due, if a request waits; it can be in the past.
    pub fn next_poll(&self) -> Option<Time> {
        (self.queue.len() > 0).then_some(self.next_poll)
    }

    /// Notes that the first byte of a request was written to its endpoint.
    pub fn sent(&mut self, request: RequestId, _now: Time) {
        if let Some(Active { phase: Phase::Running(attempt), .. }) = self.requests.get_mut(&request) {
            attempt.sent = true;
        }
    }

    /// Notes that the answer of a request began.
    pub fn first_token(&mut self, request: RequestId, now: Time) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        let Phase::Running(attempt) = &mut active.phase else { return };
        if attempt.mark.is_some() {
            return;
        }
        if let Some(endpoint) = self.fleet.endpoints.get_mut(&attempt.endpoint) {
            endpoint.prefill.end(attempt.prefill);
            endpoint.prefill.observe(attempt.prefill, now - attempt.start);
            attempt.mark = Some(endpoint.load.mark(now));
        }
        if matches!(active.ask.target, RouteTarget::Model(_)) && attempt.prefill.backlog == 0.0 {
            let estimate = self.estimates.entry(active.group).or_default();
            estimate.prefill_time(
                now - attempt.start,
                active.ask.prompt_tokens,
                attempt.prefill.warm,
                attempt.busy,
            );
        }
        // A rerun was late before it was sent.
        if active.tried.is_empty() {
            let met = now <= active.due;
            self.adjust_margin(met);
        }
    }

    /// Notes the end of an attempt, or of a request that waits, with the load report of its answer.
    pub fn finished(
        &mut self,
        request: RequestId,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
        now: Time,
    ) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        let phase = std::mem::replace(&mut active.phase, Phase::Ended);
        let (group, fingerprint, assumed) = (active.group, active.ask.fingerprint, active.assumed);
        match phase {
            Phase::Waiting => self.queue.remove(request),
            Phase::Ended => {}
            Phase::Forwarded(zone) => {
                active.ran |= outcome.may_have_run();
                let pause = (outcome == AttemptOutcome::NotRun).then_some(FORWARD_PAUSE);
                self.forward_ended(&zone, group, pause, now);
            }
            Phase::Running(attempt) => {
                active.ran |= attempt.sent && outcome.may_have_run();
                active.tried.push(attempt.endpoint.clone());
                active.failed = now;
                self.attempt_ended(&attempt, fingerprint, outcome, load, now);
                if matches!(outcome, AttemptOutcome::Complete { .. }) {
                    if let Some(endpoint) = self.fleet.endpoints.get_mut(&attempt.endpoint) {
                        blend(&mut endpoint.service_time, (now - attempt.start).as_secs_f64());
                    }
                    let estimate = self.estimates.entry(group).or_default();
                    estimate.service_time(now - attempt.start, assumed);
                    self.quarantine.finish(fingerprint, now);
                }
            }
        }
        if matches!(outcome, AttemptOutcome::Complete { .. } | AttemptOutcome::Cancelled) {
            self.requests.swap_remove(&request);
        }
        self.next_poll = now;
    }

    /// Decides on the next attempt of a request whose attempt ended with `Failed`, `Invalid` or `NotRun`.
    pub fn retry(&mut self, request: RequestId, now: Time) -> Decision {
        self.quarantine.refresh(now);
        let Some(active) = self.requests.get(&request) else {
            return Decision::Refuse {
                code: RefusalCode::RetryBudget,
                run: RunStatus::Unknown,
                retry_after: None,
            };
        };
        if active.ran && !active.ask.repeatable {
            return self.refuse(request, RefusalCode::NotRepeatable, None);
        }
        let standing = self.quarantine.standing(active.ask.fingerprint, now);
        if standing == Standing::Convicted {
            return self.refuse(request, RefusalCode::CrashesEndpoint, None);
        }
        // A request that another zone's entry refused has not used an endpoint, so it costs no budget.
        let free = active.tried.is_empty() && !active.ran;
        if active.attempts >= MAX_ATTEMPTS || !(free || self.budget.try_take(now)) {
            return self.refuse(request, RefusalCode::RetryBudget, Some(Duration::from_secs(1)));
        }
        self.decide(request, standing, now)
    }

    /// Notes that an endpoint crashed and returns the report for the other entries.
    ///
    /// The requests in flight on it end with `finished(.., Failed, ..)` before or after this call.
    pub fn crashed(&mut self, endpoint: &EndpointId, incarnation: Incarnation, now: Time) -> CrashReport {
        let mut fingerprints: IndexSet<Fingerprint> = self.in_flight(endpoint, incarnation).collect();
        if let Some(known) = self.fleet.endpoints.get_mut(endpoint) {
            fingerprints.extend(known.lost.take(incarnation, now));
            if known.incarnation == incarnation {
                known.breaker.trip(now);
            }
        }
        let report = CrashReport {
            endpoint: endpoint.clone(),
            incarnation,
            fingerprints: fingerprints.into_iter().collect(),
            cleared: Vec::new(),
            at_ms: 0,
        };
        if !report.fingerprints.is_empty() {
            self.quarantine.add(report.clone(), now);
        }
        report
    }

    /// Returns the crash reports that changed since the last call, for the other entries.
    ///
    /// A report changes when a request that was in flight has finished elsewhere.
    pub fn take_crash_reports(&mut self) -> Vec<CrashReport> {
        self.quarantine.take_changed()
    }

    /// Returns the requests that may be on a run of an endpoint.
    fn in_flight(&self, endpoint: &EndpointId, run: Incarnation) -> impl Iterator<Item = Fingerprint> {
        let losses = self.fleet.endpoints.get(endpoint).map(|known| &known.lost);
        let is_on_run = move |attempt: &Attempt| {
            let may_be_on = |losses: &LostRequests| losses.may_be_on(run, attempt.incarnation, attempt.start);
            attempt.sent
                && attempt.endpoint == *endpoint
                && losses.map_or(attempt.incarnation == run, may_be_on)
        };
        self.requests.values().filter_map(move |active| match &active.phase {
            Phase::Running(attempt) if is_on_run(attempt) => Some(active.ask.fingerprint),
            _ => None,
        })
    }

    fn attempt_ended(
        &mut self,
        attempt: &Attempt,
        fingerprint: Fingerprint,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
        now: Time,
    ) {
        if let Some(endpoint) = self.fleet.endpoints.get_mut(&attempt.endpoint) {
            if let Some(report) = load {
                endpoint.load.report(report, attempt.mark.unwrap_or_else(|| endpoint.load.mark(now)));
            }
            if attempt.mark.is_none() {
                endpoint.prefill.end(attempt.prefill);
            }
            endpoint.load.ended();
            if let Some(place) = endpoint.suspects.iter().position(|suspect| *suspect == fingerprint) {
                endpoint.suspects.swap_remove(place);
            }
            let same_run = endpoint.incarnation == attempt.incarnation;
            match outcome {
                AttemptOutcome::Complete { .. } => endpoint.breaker.succeeded(),
                // An endpoint that refused with its load is up.
                AttemptOutcome::NotRun if load.is_some() => {}
                AttemptOutcome::NotRun | AttemptOutcome::Invalid if same_run => endpoint.breaker.failed(now),
                AttemptOutcome::Failed => {
                    if same_run {
                        endpoint.breaker.failed(now);
                    }
                    if attempt.sent {
                        endpoint.lost.add(attempt.incarnation, attempt.start, fingerprint, now);
                    }
                }
                AttemptOutcome::NotRun | AttemptOutcome::Invalid | AttemptOutcome::Cancelled => {}
            }
        }
        if outcome == AttemptOutcome::Failed && attempt.sent {
            self.quarantine.lose(fingerprint, now);
        }
    }
}
