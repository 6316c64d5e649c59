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
use crate::RequestSpec;
use crate::RouteTarget;
use crate::RunStatus;
use crate::Time;
use crate::ZoneId;
use crate::ZoneView;
use crate::active::ActiveRequest;
use crate::active::Attempt;
use crate::active::Phase;
use crate::budget::RetryBudget;
use crate::budget::RetryTerms;
use crate::conviction::Quarantine;
use crate::conviction::SuspectState;
use crate::estimate::LatencyEstimate;
use crate::estimate::update_average;
use crate::fair_share::FairShare;
use crate::fleet::Fleet;
use crate::losses::LostRequests;
use crate::queue::FairQueue;
use crate::route::Route;

/// Time between polls while a request waits; this entry doesn't see the ends of other entries' requests.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which a zone that refused a forwarded request gets no more requests for that model.
const FORWARD_PAUSE: Duration = Duration::from_millis(500);
/// Most attempts of one request, at endpoints or at entries of other zones.
const MAX_ATTEMPTS: u32 = 4;
/// Window of the retry budget.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Retries per window that are allowed beyond the retry ratio, so that an entry with few requests can retry.
const RETRY_SLACK: f64 = 10.0;

/// Decides for one entry where and when each request is sent.
///
/// Call `admit` for every request, and `record_sent`, `record_first_token` and `record_finished` for each of
/// its attempts. After an attempt that ended with `Failed`, `Invalid` or `NotRun`, call `retry` for the next
/// one, or `record_finished(.., Cancelled, ..)` if the request is not to be retried. A refused request needs
/// no further call. `poll` returns the decisions on waiting requests and is to be called at `next_poll`.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) policy: DispatchPolicy,
    pub(crate) fleet: Fleet,
    pub(crate) requests: IndexMap<RequestId, ActiveRequest>,
    pub(crate) queue: FairQueue,
    pub(crate) quarantine: Quarantine,
    /// Service and prefill times per group.
    pub(crate) estimates: IndexMap<usize, LatencyEstimate>,
    /// Work of the callers per service.
    pub(crate) fair_shares: IndexMap<usize, FairShare>,
    /// Number of routing choices so far.
    pub(crate) choice_count: u64,
    /// Fraction of the time left to its target that a request may be expected to take.
    pub(crate) latency_margin: f64,
    retry_budget: RetryBudget,
    next_poll: Time,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints.
    pub fn new(policy: DispatchPolicy) -> Self {
        let retries = RetryTerms { ratio: policy.retry_ratio, window: RETRY_WINDOW, slack: RETRY_SLACK };
        Self {
            fleet: Fleet::default(),
            requests: IndexMap::new(),
            queue: FairQueue::default(),
            quarantine: Quarantine::new(policy.report_delay),
            estimates: IndexMap::new(),
            fair_shares: IndexMap::new(),
            choice_count: 0,
            latency_margin: 1.0,
            retry_budget: RetryBudget::unshared(retries),
            next_poll: Time::ZERO,
            policy,
        }
    }

    /// Updates the dispatcher to the state that the processes exchange; requests in flight are kept.
    pub fn set_view(
        &mut self,
        manifest: &Manifest,
        own_zone: &ZoneId,
        views: &IndexMap<ZoneId, Arc<ZoneView>>,
        drains: &DrainSet,
        crash_reports: &CrashReportSet,
    ) {
        self.fleet.set_view(manifest, own_zone, views, drains);
        self.quarantine.merge(crash_reports);
        self.next_poll = Time::ZERO;
    }

    /// Decides on a new request.
    pub fn admit(&mut self, info: RequestSpec, now: Time) -> Decision {
        self.quarantine.refresh(now);
        let refuse = |code| Decision::Refuse { code, run: RunStatus::No, retry_after: None };
        let Some(spec) = self.fleet.targets.get(&info.target) else { return refuse(RefusalCode::NotFound) };
        if spec.retiring {
            return refuse(RefusalCode::Retiring);
        }
        let state = self.quarantine.state(info.fingerprint, now);
        if state == SuspectState::Convicted {
            return refuse(RefusalCode::CrashesEndpoint);
        }
        self.retry_budget.add_request(now);
        let (group, service, target_latency, request) =
            (spec.group, spec.service, spec.target_latency, info.request);
        let assumed =
            if spec.token_gap > 0.0 { spec.token_gap * info.max_tokens.0 as f64 } else { target_latency };
        let active = ActiveRequest {
            group,
            service,
            target_time: (now + Duration::from_secs_f64(target_latency)).min(info.deadline),
            target_latency,
            waiting_since: now,
            assumed_service: assumed,
            phase: Phase::Waiting,
            attempts: 0,
            tried: Vec::new(),
            failed_at: Time::ZERO,
            may_have_run: false,
            info,
        };
        self.fair_shares.entry(service).or_default().add_demand(
            &active.info.caller,
            active.cost() as f64,
            now,
        );
        self.requests.insert(request, active);
        self.decide(request, state, now)
    }

    /// Returns the decisions on waiting requests; a request without one stays queued.
    pub fn poll(&mut self, now: Time) -> Vec<(RequestId, Decision)> {
        self.quarantine.refresh(now);
        self.next_poll = now + POLL_INTERVAL;
        let mut decisions = Vec::new();
        let mut full_groups = Vec::new();
        for waiting in self.queue.in_order() {
            let Some(active) = self.requests.get(&waiting.request) else { continue };
            let group = active.group;
            let state = self.quarantine.state(active.info.fingerprint, now);
            let is_overdue = state == SuspectState::Clear && active.is_overdue(now);
            if state == SuspectState::Clear && full_groups.contains(&group) && !is_overdue {
                continue;
            }
            let decision = match state {
                SuspectState::Convicted => self.refuse(waiting.request, RefusalCode::CrashesEndpoint, None),
                SuspectState::Held(_) => continue,
                SuspectState::Clear | SuspectState::Suspect => {
                    match self.route(waiting.request, state, now) {
                        Route::Endpoint { index, .. } => self.start(waiting.request, index, now),
                        Route::NoHolder => {
                            let forward = self.forward(waiting.request, None, now);
                            forward.unwrap_or_else(|| self.refuse_unavailable(waiting.request, None))
                        }
                        Route::Blocked(until) if is_overdue => {
                            self.refuse_unavailable(waiting.request, Some(until - now))
                        }
                        Route::Full { .. } if is_overdue => {
                            let wait = self.expected_wait(waiting.request, now);
                            self.refuse_overloaded(waiting.request, wait)
                        }
                        Route::Full { .. } | Route::Blocked(_) => {
                            if state == SuspectState::Clear {
                                full_groups.push(group);
                            }
                            continue;
                        }
                    }
                }
            };
            decisions.push((waiting.request, decision));
        }
        decisions
    }

    /// Returns the time at which `poll` is due, or `None` if no request waits; it can be in the past.
    pub fn next_poll(&self) -> Option<Time> {
        (self.queue.len() > 0).then_some(self.next_poll)
    }

    /// Records that the first byte of a request was written to its endpoint.
    pub fn record_sent(&mut self, request: RequestId, _now: Time) {
        if let Some(ActiveRequest { phase: Phase::Running(attempt), .. }) = self.requests.get_mut(&request) {
            attempt.sent = true;
        }
    }

    /// Records that the response to a request began.
    pub fn record_first_token(&mut self, request: RequestId, now: Time) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        let Phase::Running(attempt) = &mut active.phase else { return };
        if attempt.snapshot.is_some() {
            return;
        }
        if let Some(endpoint) = self.fleet.endpoints.get_mut(&attempt.endpoint) {
            endpoint.prefill.end(attempt.prefill);
            endpoint.prefill.observe(attempt.prefill, now - attempt.start);
            attempt.snapshot = Some(endpoint.load.snapshot(now));
        }
        if matches!(active.info.target, RouteTarget::Model(_)) && attempt.prefill.backlog == 0.0 {
            let estimate = self.estimates.entry(active.group).or_default();
            estimate.record_prefill(
                now - attempt.start,
                active.info.prompt_tokens,
                attempt.prefill.warm,
                attempt.was_busy,
            );
        }
        // A retry is late because of its failed attempts, not of wrong estimates.
        if active.tried.is_empty() {
            let met = now <= active.target_time;
            self.adjust_margin(met);
        }
    }

    /// Records the end of an attempt, with the load report of its response, or the end of a waiting request.
    pub fn record_finished(
        &mut self,
        request: RequestId,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
        now: Time,
    ) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        let phase = std::mem::replace(&mut active.phase, Phase::Ended);
        let (group, fingerprint, assumed) = (active.group, active.info.fingerprint, active.assumed_service);
        match phase {
            Phase::Waiting => self.queue.remove(request),
            Phase::Ended => {}
            Phase::Forwarded(zone) => {
                active.may_have_run |= outcome.may_have_run();
                let pause = (outcome == AttemptOutcome::NotRun).then_some(FORWARD_PAUSE);
                self.forward_ended(&zone, group, pause, now);
            }
            Phase::Running(attempt) => {
                active.may_have_run |= attempt.sent && outcome.may_have_run();
                active.tried.push(attempt.endpoint.clone());
                active.failed_at = now;
                self.attempt_ended(&attempt, fingerprint, outcome, load, now);
                if matches!(outcome, AttemptOutcome::Complete { .. }) {
                    if let Some(endpoint) = self.fleet.endpoints.get_mut(&attempt.endpoint) {
                        update_average(&mut endpoint.service_time, (now - attempt.start).as_secs_f64());
                    }
                    let estimate = self.estimates.entry(group).or_default();
                    estimate.record_service(now - attempt.start, assumed);
                    self.quarantine.record_finished(fingerprint, now);
                }
            }
        }
        if matches!(outcome, AttemptOutcome::Complete { .. } | AttemptOutcome::Cancelled) {
            self.requests.swap_remove(&request);
        }
        self.next_poll = now;
    }

    /// Decides on the next attempt of a request after one that ended with `Failed`, `Invalid` or `NotRun`.
    pub fn retry(&mut self, request: RequestId, now: Time) -> Decision {
        self.quarantine.refresh(now);
        let Some(active) = self.requests.get(&request) else {
            return Decision::Refuse {
                code: RefusalCode::RetryBudget,
                run: RunStatus::Unknown,
                retry_after: None,
            };
        };
        if active.may_have_run && !active.info.repeatable {
            return self.refuse(request, RefusalCode::NotRepeatable, None);
        }
        let state = self.quarantine.state(active.info.fingerprint, now);
        if state == SuspectState::Convicted {
            return self.refuse(request, RefusalCode::CrashesEndpoint, None);
        }
        // A request that was only refused by an entry of another zone has used no endpoint, so it takes no
        // retry.
        let free = active.tried.is_empty() && !active.may_have_run;
        if active.attempts >= MAX_ATTEMPTS || !(free || self.retry_budget.try_take(now)) {
            return self.refuse(request, RefusalCode::RetryBudget, Some(Duration::from_secs(1)));
        }
        self.decide(request, state, now)
    }

    /// Records that an endpoint crashed, and returns the crash report for the other entries.
    ///
    /// Call `record_finished(.., Failed, ..)` for the requests in flight on it, before or after this call.
    pub fn record_crash(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        now: Time,
    ) -> CrashReport {
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

    /// Returns the crash reports that this entry changed since the last call, for the other entries.
    ///
    /// A report also changes when a request that was in flight at the crash has finished elsewhere.
    pub fn take_crash_reports(&mut self) -> Vec<CrashReport> {
        self.quarantine.take_changed()
    }

    /// Returns the requests that may be in flight on an incarnation of an endpoint.
    fn in_flight(
        &self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> impl Iterator<Item = Fingerprint> {
        let lost = self.fleet.endpoints.get(endpoint).map(|known| &known.lost);
        let is_on_incarnation = move |attempt: &Attempt| {
            let may_be_on =
                |lost: &LostRequests| lost.may_be_on(incarnation, attempt.incarnation, attempt.start);
            attempt.sent
                && attempt.endpoint == *endpoint
                && lost.map_or(attempt.incarnation == incarnation, may_be_on)
        };
        self.requests.values().filter_map(move |active| match &active.phase {
            Phase::Running(attempt) if is_on_incarnation(attempt) => Some(active.info.fingerprint),
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
                endpoint.load.update(report, attempt.snapshot.unwrap_or_else(|| endpoint.load.snapshot(now)));
            }
            if attempt.snapshot.is_none() {
                endpoint.prefill.end(attempt.prefill);
            }
            endpoint.load.record_end();
            if let Some(position) = endpoint.suspects.iter().position(|suspect| *suspect == fingerprint) {
                endpoint.suspects.swap_remove(position);
            }
            let current = endpoint.incarnation == attempt.incarnation;
            match outcome {
                AttemptOutcome::Complete { .. } => endpoint.breaker.record_success(),
                // A refusal with a load report shows that the endpoint is up.
                AttemptOutcome::NotRun if load.is_some() => {}
                AttemptOutcome::NotRun | AttemptOutcome::Invalid if current => {
                    endpoint.breaker.record_error(now);
                }
                AttemptOutcome::Failed => {
                    if current {
                        endpoint.breaker.record_error(now);
                    }
                    if attempt.sent {
                        endpoint.lost.add(attempt.incarnation, attempt.start, fingerprint, now);
                    }
                }
                AttemptOutcome::NotRun | AttemptOutcome::Invalid | AttemptOutcome::Cancelled => {}
            }
        }
        if outcome == AttemptOutcome::Failed && attempt.sent {
            self.quarantine.record_lost(fingerprint, now);
        }
    }
}
