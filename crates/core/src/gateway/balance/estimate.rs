use crate::Time;
use crate::breaker::Permission;
use crate::gateway::Balancer;
use crate::gateway::EndpointEntry;
use crate::gateway::RequestHead;
use crate::gateway::balance::BASE_LATENCY_TOKENS;
use crate::gateway::balance::EndpointStats;

/// Cost of sending a request to another zone, in prefill tokens.
const CROSS_ZONE_TOKENS: f64 = 1_000.0;
/// Cost of sending a request to another zone for plain services, as a fraction of the slots of an endpoint.
const CROSS_ZONE_LOAD: f64 = 0.25;
/// Cost of an engine whose slots are all occupied, in prefill tokens, if costs are compared by time. Over 8 seeds with 60
/// engines, the busiest was busy for at most 1.20 times the mean, and with 6,400 for 1.28 times.
const OCCUPANCY_TOKENS: f64 = 9_600.0;
/// Time for which a request occupies a slot of an engine, in prefill tokens. A request beyond the slots waits for this time
/// divided by the slots.
const SERVICE_TOKENS: f64 = 60_000.0;
/// Increase of the cost of an endpoint that fails all its requests, as a multiple of that cost; proportional
/// to the failure rate.
const FAILURE_COST_FACTOR: f64 = 20.0;
/// Upper bound of the latency of an endpoint relative to that of the fastest one.
const MAX_LATENCY_RATIO: f64 = 30.0;

/// Estimate for one candidate, which is compared with those for the others.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    /// Cost by the number of requests or tokens, if the pace of no candidate is known.
    pub cost: f64,
    /// Cost by predicted time, if the pace of some candidate is known.
    pub timed_cost: f64,
    pub pace: Option<f64>,
    pub token_latency: Option<f64>,
    pub failure_rate: f64,
    pub tier: CandidateTier,
}

/// What the estimates of all candidates are compared with.
#[derive(Debug, Clone, Copy)]
pub(super) struct Baseline {
    token_latency: f64,
    failure_rate: f64,
    /// Whether the pace of some candidate is known, so that costs are compared by time.
    is_timed: bool,
}

/// Order of preference of candidates; only those of the best tier are compared by cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CandidateTier {
    Healthy,
    /// A connection to the endpoint or its zone timed out recently.
    Unreachable,
    /// The circuit breaker permits one request.
    Probe,
    Blocked,
    /// The endpoint requested a pause, or its rate limit is reached.
    Paused,
}

/// Estimates of the cost of candidates.
impl Balancer {
    /// Returns the estimate for a candidate.
    pub(super) fn estimate(
        &self,
        request: &RequestHead,
        entry: &EndpointEntry,
        is_preferred: bool,
        now: Time,
    ) -> Estimate {
        let stats = self.endpoints.get(&entry.id).filter(|stats| stats.incarnation == entry.incarnation);
        let is_remote = entry.zone != self.zone;
        let load = stats.map_or(0.0, |stats| stats.load.total(now));
        let timed_load = stats.map_or(0.0, |stats| stats.load.timed_total(now));
        let slots = f64::from(entry.slots.max(1));
        let pace = stats.and_then(|stats| stats.pace.ratio(now));
        let ratio = pace.unwrap_or(1.0);
        let (cost, timed_cost) = if request.weights.is_some() {
            let cached = stats.map_or(0.0, |stats| stats.cached_tokens(request, now));
            let cached = if is_preferred { shared_tokens(request).max(cached) } else { cached };
            let queue = stats.map_or(0.0, |stats| stats.queued_tokens(now));
            let zone_cost = if is_remote { CROSS_ZONE_TOKENS } else { 0.0 };
            let prefill = request.prompt_tokens as f64 - cached + BASE_LATENCY_TOKENS;
            let backlog = stats.map_or(0.0, |stats| stats.backlog);
            let timed_cost = (backlog + prefill) * ratio + occupancy_tokens(timed_load, slots) + zone_cost;
            (queue + request.prompt_tokens as f64 - cached + BASE_LATENCY_TOKENS + zone_cost, timed_cost)
        } else {
            let zone_cost = if is_remote { CROSS_ZONE_LOAD } else { 0.0 };
            ((load + 1.0) / slots + zone_cost, (timed_load / slots + 1.0) * ratio + zone_cost)
        };
        Estimate {
            cost,
            timed_cost,
            pace,
            token_latency: stats.and_then(|stats| stats.token_latency_at(now)),
            failure_rate: stats.map_or(0.0, |stats| stats.failure_rate),
            tier: self.tier(entry, stats, now),
        }
    }

    fn tier(&self, entry: &EndpointEntry, stats: Option<&EndpointStats>, now: Time) -> CandidateTier {
        if stats.is_some_and(|stats| !stats.admits(now)) {
            return CandidateTier::Paused;
        }
        match stats.map_or(Permission::Pass, |stats| stats.breaker.permission(now)) {
            Permission::Pass if self.reachability.is_unreachable(&entry.zone, &entry.id, now) => {
                CandidateTier::Unreachable
            }
            Permission::Pass => CandidateTier::Healthy,
            Permission::Probe => CandidateTier::Probe,
            Permission::Block => CandidateTier::Blocked,
        }
    }
}

impl Baseline {
    /// Returns the baseline of the given candidates.
    pub fn new(estimates: &[Estimate]) -> Self {
        let latencies = estimates.iter().filter_map(|estimate| estimate.token_latency);
        let failure_rates = estimates.iter().map(|estimate| estimate.failure_rate);
        Self {
            token_latency: latencies.fold(f64::INFINITY, f64::min),
            failure_rate: failure_rates.fold(f64::INFINITY, f64::min),
            is_timed: estimates.iter().any(|estimate| estimate.pace.is_some()),
        }
    }
}

impl Estimate {
    /// Returns the cost, increased by the latency and the failure rate above those of the best endpoint.
    pub fn weighted_cost(&self, baseline: &Baseline) -> f64 {
        let lowest_latency = baseline.token_latency;
        let ratio = match self.token_latency {
            Some(latency) if lowest_latency > 0.0 && lowest_latency.is_finite() => {
                (latency / lowest_latency).clamp(1.0, MAX_LATENCY_RATIO)
            }
            _ => 1.0,
        };
        // Small differences in latency that the pace does not explain are noise and must not override prefix affinity.
        let ratio = if ratio < 2.0 { 1.0 } else { ratio };
        let cost = if baseline.is_timed { self.timed_cost } else { self.cost };
        let excess_failures = (self.failure_rate - baseline.failure_rate).max(0.0);
        cost * ratio * (1.0 + FAILURE_COST_FACTOR * excess_failures)
    }
}

/// Returns the cost of the requests at an engine for the next one, which rises steeply once all slots are occupied.
///
/// It does not depend on the pace: a slow engine holds its requests for longer, so that equal occupancy is work in
/// proportion to the speed.
fn occupancy_tokens(load: f64, slots: f64) -> f64 {
    let excess = (load + 1.0 - slots).max(0.0);
    (load * OCCUPANCY_TOKENS + excess * SERVICE_TOKENS) / slots
}

/// Returns the number of tokens of the prompt that other requests may share.
fn shared_tokens(request: &RequestHead) -> f64 {
    let shared = request.prompt.len().saturating_sub(1);
    request.prompt[..shared].iter().map(|part| f64::from(part.tokens)).sum()
}
