mod limits;

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::EndpointId;
use crate::Incarnation;
use crate::LoadReport;
use crate::Time;
use crate::ZoneId;
use crate::breaker::Breaker;
use crate::breaker::Permission;
use crate::gateway::EndpointEntry;
use crate::gateway::PendingLoads;
use crate::gateway::RequestHead;
use crate::gateway::SharedLoad;
use crate::gateway::SoftwareVersion;
use crate::gateway::rate_limit::RateLimit;
use crate::gateway::reachability::Reachability;
use crate::gateway::rejection::Rejection;
use crate::load::EndpointLoad;
use crate::load::LoadSnapshot;
use crate::routing::weight;

/// Cost of a running request for the next one, in prefill tokens: it makes each step of the batch longer.
const RUNNING_REQUEST_TOKENS: f64 = 100.0;
/// Cost of sending a request to another zone, in prefill tokens.
const CROSS_ZONE_TOKENS: f64 = 1_000.0;
/// Cost of sending a request to another zone for plain services, as a fraction of the slots of an endpoint.
const CROSS_ZONE_LOAD: f64 = 0.25;
/// Smoothing factor of the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Fixed part of the expected time to the first event, in tokens; without it, short prompts would make an
/// endpoint look slow.
const BASE_LATENCY_TOKENS: f64 = 300.0;
/// Increase of the cost of an endpoint that fails all its requests, as a multiple of that cost; proportional
/// to the failure rate.
const FAILURE_COST_FACTOR: f64 = 20.0;
/// Upper bound of the latency of an endpoint relative to that of the fastest one.
const MAX_LATENCY_RATIO: f64 = 30.0;
/// Age from which a request without a response counts in the latency of its endpoint.
const MIN_WAITING_AGE: Duration = Duration::from_millis(50);
/// Prompt parts that are remembered per endpoint.
const MAX_PROMPT_PARTS: usize = 512;
/// Least number of candidates that are compared. Two random ones are enough to spread requests that no load
/// report shows in time.
const MIN_COMPARED: usize = 2;
/// Number of instances up to which all candidates are compared, since each instance sees most of the load
/// itself.
const FULL_COMPARISON_INSTANCES: usize = 8;
/// Time after which a prompt part that was not used again is expected to be evicted from the cache of the
/// engine.
const CACHE_LIFETIME: Duration = Duration::from_mins(1);

/// Chooses the endpoint of each request, from the requests that this instance sent and their responses.
#[derive(Debug)]
pub struct Balancer {
    zone: ZoneId,
    endpoints: IndexMap<EndpointId, EndpointStats>,
    next_id: u64,
    instances: usize,
    pending_loads: PendingLoads,
    reachability: Reachability,
}

/// The endpoint that is chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub id: EndpointId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Version of its software, if known.
    pub version: Option<SoftwareVersion>,
    /// Estimated cost, in prefill tokens for model engines and as a fraction of the slots for plain services.
    pub cost: f64,
}

/// Identifies a request that is in flight at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SendId(u64);

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The response was complete.
    Good,
    /// The endpoint did not run it.
    Declined,
    /// The endpoint responded with a failure.
    Failed,
    /// The endpoint accepted no connection in time.
    Unreachable,
    /// The connection was refused or broke.
    Lost,
    /// The caller disconnected, or the outcome says nothing about the endpoint.
    Neutral,
}

/// Statistics of one incarnation of an endpoint.
#[derive(Debug)]
struct EndpointStats {
    incarnation: Incarnation,
    load: EndpointLoad,
    breaker: Breaker,
    /// Tokens of requests of this instance that have no first event yet.
    backlog: f64,
    /// Moving average of the seconds to the first event per expected token.
    token_latency: Option<f64>,
    failure_rate: f64,
    recent_parts: IndexMap<u64, Time>,
    in_flight: IndexMap<SendId, InFlight>,
    /// The pause that the endpoint requested, kept until the endpoint has recovered.
    rejection: Option<Rejection>,
    /// The rate limit of the endpoint.
    limit: Option<RateLimit>,
    /// Whether the endpoint has announced an invalid limit.
    invalid_limit: bool,
}

#[derive(Debug, Clone, Copy)]
struct InFlight {
    sent: Time,
    tokens: f64,
    expected_tokens: f64,
    snapshot: LoadSnapshot,
    responded: bool,
}

/// Estimate for one candidate, which is compared with those for the others.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    cost: f64,
    token_latency: Option<f64>,
    failure_rate: f64,
    tier: CandidateTier,
}

/// Order of preference of candidates; only those of the best tier are compared by cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CandidateTier {
    Healthy,
    /// A connection to the endpoint or its zone timed out recently.
    Unreachable,
    /// The circuit breaker permits one request.
    Probe,
    Blocked,
    /// The endpoint requested a pause, or its rate limit is reached.
    Paused,
}

impl Balancer {
    /// Creates a balancer for an instance in the given zone, with no endpoint known.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            endpoints: IndexMap::new(),
            next_id: 0,
            instances: 1,
            pending_loads: PendingLoads::default(),
            reachability: Reachability::default(),
        }
    }

    /// Sets how many instances send requests to the same endpoints.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances as usize;
    }

    /// Returns the loads that endpoints reported to this instance since the last call, newest of each
    /// endpoint.
    pub fn take_loads(&mut self) -> Vec<SharedLoad> {
        self.pending_loads.take()
    }

    /// Records a load that an endpoint reported to another instance.
    pub fn record_relayed(&mut self, id: &EndpointId, incarnation: Incarnation, load: LoadReport, now: Time) {
        self.stats(id, incarnation).load.update_relayed(load, now);
    }

    /// Returns the endpoint with the lowest estimated cost, or none if all are blocked by their circuit
    /// breakers, have requested a pause or have reached their rate limit.
    ///
    /// With many instances only a random sample of the endpoints is compared, together with the one that
    /// prefix affinity prefers. All instances see the same loads with the same delay and would otherwise send
    /// to the same endpoint.
    pub fn choose<'a>(
        &self,
        request: &RequestHead,
        candidates: impl Iterator<Item = &'a EndpointEntry>,
        now: Time,
    ) -> Option<Choice> {
        let candidates: Vec<&EndpointEntry> = candidates.collect();
        let preferred = preferred_endpoint(request, &candidates);
        let estimates: Vec<Estimate> = candidates
            .iter()
            .map(|entry| self.estimate(request, entry, preferred == Some(&entry.id), now))
            .collect();
        let best_tier = estimates.iter().map(|estimate| estimate.tier).min()?;
        if best_tier >= CandidateTier::Blocked {
            return None;
        }
        let lowest_latency =
            estimates.iter().filter_map(|estimate| estimate.token_latency).fold(f64::INFINITY, f64::min);
        let lowest_failure_rate =
            estimates.iter().map(|estimate| estimate.failure_rate).fold(f64::INFINITY, f64::min);
        let weighted = candidates.iter().zip(&estimates).filter(|(_, estimate)| estimate.tier == best_tier);
        let weighted: Vec<(&EndpointEntry, f64)> = weighted
            .map(|(entry, estimate)| (*entry, estimate.weighted_cost(lowest_latency, lowest_failure_rate)))
            .collect();
        let sampled = self.sample(request, &weighted);
        let compared =
            weighted.iter().filter(|(entry, _)| preferred == Some(&entry.id) || sampled.contains(&&entry.id));
        let (entry, cost) = compared.copied().min_by(|(_, a), (_, b)| a.total_cmp(b))?;
        Some(Choice::new(entry, cost))
    }

    /// Records that a request is sent to an endpoint and returns its identity for later calls.
    pub fn record_sent(&mut self, request: &RequestHead, choice: &Choice, now: Time) -> SendId {
        self.next_id += 1;
        let send_id = SendId(self.next_id);
        self.reachability.record_sent(&choice.zone, &choice.id, now);
        let stats = self.stats(&choice.id, choice.incarnation);
        let tokens = request.prompt_tokens as f64 - stats.cached_tokens(request, now);
        let expected_tokens = stats.queued_tokens(now) + tokens + BASE_LATENCY_TOKENS;
        let snapshot = stats.load.snapshot(now);
        stats.breaker.record_sent(now);
        stats.load.record_start();
        stats.backlog += tokens;
        stats.record_prompt(request, now);
        stats
            .in_flight
            .insert(send_id, InFlight { sent: now, tokens, expected_tokens, snapshot, responded: false });
        send_id
    }

    /// Records the first event, or the head of a plain response, with the load that the endpoint reports.
    pub fn record_response(&mut self, choice: &Choice, send_id: SendId, load: Option<LoadReport>, now: Time) {
        if let Some(load) = load {
            self.pending_loads.insert(SharedLoad::new(&choice.id, choice.incarnation, load));
        }
        self.reachability.record_response(&choice.zone, &choice.id);
        let Some(stats) = self.current_stats(choice) else { return };
        let Some(send) = stats.in_flight.get_mut(&send_id) else { return };
        if let Some(load) = load {
            stats.load.update(load, send.snapshot);
        }
        if send.responded {
            return;
        }
        send.responded = true;
        stats.backlog = (stats.backlog - send.tokens).max(0.0);
        let token_latency = (now - send.sent).as_secs_f64() / send.expected_tokens;
        let previous = stats.token_latency.unwrap_or(token_latency);
        stats.token_latency = Some(previous + SMOOTHING_FACTOR * (token_latency - previous));
    }

    /// Records that an endpoint accepted a request; returns whether the endpoint is recovering from a pause.
    pub fn record_accepted(&mut self, choice: &Choice) -> bool {
        let Some(stats) = self.current_stats(choice) else { return false };
        let Some(rejection) = stats.rejection else { return false };
        stats.rejection = rejection.accepted();
        true
    }

    /// Records that an endpoint asked this instance to send no request for the time `pause`.
    pub fn record_rejected(&mut self, choice: &Choice, pause: Duration, now: Time) {
        let stats = self.stats(&choice.id, choice.incarnation);
        stats.rejection = Some(Rejection::new(stats.rejection, pause, now));
    }

    /// Returns whether an incarnation of an endpoint requested a pause that has not ended.
    pub fn is_paused(&self, id: &EndpointId, incarnation: Incarnation, now: Time) -> bool {
        self.endpoints.get(id).is_some_and(|stats| stats.incarnation == incarnation && stats.is_paused(now))
    }

    /// Returns whether the chosen incarnation has requested a pause and has not recovered from it yet.
    pub fn is_recovering(&self, choice: &Choice) -> bool {
        let stats = self.endpoints.get(&choice.id).filter(|stats| stats.incarnation == choice.incarnation);
        stats.is_some_and(|stats| stats.rejection.is_some())
    }

    /// Returns the time until the first of the candidates that requested a pause or limit their rate may
    /// accept a request again, or none if there is no such candidate.
    ///
    /// The time is zero if the pause of a candidate has ended and its limit on requests in flight is reached.
    pub fn pause_remaining<'a>(
        &self,
        candidates: impl Iterator<Item = &'a EndpointEntry>,
        now: Time,
    ) -> Option<Duration> {
        let endpoints = candidates.filter_map(|entry| {
            self.endpoints.get(&entry.id).filter(|stats| stats.incarnation == entry.incarnation)
        });
        // An endpoint that fails after its pause accepts nothing either while its circuit breaker is open.
        let usable = endpoints.filter(|stats| stats.breaker.permission(now) != Permission::Block);
        usable.filter_map(|stats| stats.wait(now)).min()
    }

    /// Records how a request ended.
    pub fn record_finished(&mut self, choice: &Choice, send_id: SendId, outcome: SendOutcome, now: Time) {
        if outcome == SendOutcome::Unreachable {
            self.reachability.record_timeout(&choice.zone, &choice.id, now);
        }
        let Some(stats) = self.current_stats(choice) else { return };
        let Some(send) = stats.in_flight.swap_remove(&send_id) else { return };
        stats.load.record_end();
        if !send.responded {
            stats.backlog = (stats.backlog - send.tokens).max(0.0);
        }
        stats.record_outcome(outcome, now);
    }

    /// Removes endpoints that no longer exist, except those with requests in flight and those that paused
    /// requests or limited their rate recently, which may be added again.
    pub fn retain(&mut self, exists: impl Fn(&EndpointId) -> bool, now: Time) {
        self.endpoints.retain(|id, stats| stats.is_retained(now) || exists(id));
        self.reachability.retain(exists);
    }

    /// Returns the endpoints that are compared for a request, sampled with its attempt identity as the seed.
    fn sample<'a>(
        &self,
        request: &RequestHead,
        weighted: &[(&'a EndpointEntry, f64)],
    ) -> Vec<&'a EndpointId> {
        let count =
            (weighted.len() * FULL_COMPARISON_INSTANCES).div_ceil(self.instances.max(1)).max(MIN_COMPARED);
        let mut ids: Vec<&EndpointId> = weighted.iter().map(|(entry, _)| &entry.id).collect();
        if count < ids.len() {
            let seed = xxh3_64(request.attempt_id.as_bytes());
            ids.sort_by_cached_key(|id| weight(xxh3_64(id.as_str().as_bytes()), seed));
            ids.truncate(count);
        }
        ids
    }

    fn estimate(
        &self,
        request: &RequestHead,
        entry: &EndpointEntry,
        is_preferred: bool,
        now: Time,
    ) -> Estimate {
        let stats = self.endpoints.get(&entry.id).filter(|stats| stats.incarnation == entry.incarnation);
        let is_remote = entry.zone != self.zone;
        let load = stats.map_or(0.0, |stats| stats.load.total(now));
        let cost = if request.weights.is_some() {
            let cached = stats.map_or(0.0, |stats| stats.cached_tokens(request, now));
            let cached = if is_preferred { shared_tokens(request).max(cached) } else { cached };
            let queue = stats.map_or(0.0, |stats| stats.queued_tokens(now));
            let zone_cost = if is_remote { CROSS_ZONE_TOKENS } else { 0.0 };
            queue + request.prompt_tokens as f64 - cached + BASE_LATENCY_TOKENS + zone_cost
        } else {
            let zone_cost = if is_remote { CROSS_ZONE_LOAD } else { 0.0 };
            (load + 1.0) / f64::from(entry.slots.max(1)) + zone_cost
        };
        Estimate {
            cost,
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

    fn stats(&mut self, id: &EndpointId, incarnation: Incarnation) -> &mut EndpointStats {
        let stats = self.endpoints.entry(id.clone()).or_insert_with(|| EndpointStats::new(incarnation));
        if stats.incarnation != incarnation {
            *stats = EndpointStats::new(incarnation);
        }
        stats
    }

    fn current_stats(&mut self, choice: &Choice) -> Option<&mut EndpointStats> {
        self.endpoints.get_mut(&choice.id).filter(|stats| stats.incarnation == choice.incarnation)
    }
}

impl Choice {
    /// Returns an endpoint as the one that is chosen.
    pub fn new(entry: &EndpointEntry, cost: f64) -> Self {
        Self {
            id: entry.id.clone(),
            incarnation: entry.incarnation,
            addr: entry.addr,
            zone: entry.zone.clone(),
            version: entry.version.clone(),
            cost,
        }
    }
}

impl EndpointStats {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            load: EndpointLoad::default(),
            breaker: Breaker::default(),
            backlog: 0.0,
            token_latency: None,
            failure_rate: 0.0,
            recent_parts: IndexMap::new(),
            in_flight: IndexMap::new(),
            rejection: None,
            limit: None,
            invalid_limit: false,
        }
    }

    fn is_paused(&self, now: Time) -> bool {
        self.rejection.is_some_and(|rejection| !rejection.remaining(now).is_zero())
    }

    /// Returns whether the pause and the rate limit of the endpoint, if any, may allow another request.
    fn admits(&self, now: Time) -> bool {
        let is_paused = self.rejection.is_some_and(|rejection| !rejection.admits(self.in_flight.len(), now));
        !is_paused && self.may_have_token(now)
    }

    /// Returns the estimated queue before a new request, in prefill tokens.
    fn queued_tokens(&self, now: Time) -> f64 {
        self.backlog + self.load.total(now) * RUNNING_REQUEST_TOKENS
    }

    /// Returns the latency per token from the last responses, or from a request that already waits longer
    /// than that.
    fn token_latency_at(&self, now: Time) -> Option<f64> {
        let waiting =
            self.in_flight.values().filter(|send| !send.responded && now - send.sent >= MIN_WAITING_AGE);
        let slowest =
            waiting.map(|send| (now - send.sent).as_secs_f64() / send.expected_tokens).reduce(f64::max);
        match (self.token_latency, slowest) {
            (Some(token_latency), Some(slowest)) => Some(token_latency.max(slowest)),
            (token_latency, slowest) => token_latency.or(slowest),
        }
    }

    fn cached_tokens(&self, request: &RequestHead, now: Time) -> f64 {
        let hash = weights_hash(request);
        let cached = request.prompt.iter().take_while(|part| {
            self.recent_parts.get(&(part.id.0 ^ hash)).is_some_and(|used| now < *used + CACHE_LIFETIME)
        });
        cached.map(|part| f64::from(part.tokens)).sum()
    }

    fn record_prompt(&mut self, request: &RequestHead, now: Time) {
        let hash = weights_hash(request);
        for part in &request.prompt {
            self.recent_parts.shift_remove(&(part.id.0 ^ hash));
            self.recent_parts.insert(part.id.0 ^ hash, now);
        }
        let excess = self.recent_parts.len().saturating_sub(MAX_PROMPT_PARTS);
        self.recent_parts.drain(..excess);
    }

    fn record_outcome(&mut self, outcome: SendOutcome, now: Time) {
        let failed = match outcome {
            SendOutcome::Good => {
                self.breaker.record_success();
                0.0
            }
            SendOutcome::Lost => {
                self.breaker.record_error(now);
                1.0
            }
            SendOutcome::Declined => {
                self.breaker.record_declined();
                self.rejection = self.rejection.map(Rejection::declined);
                1.0
            }
            SendOutcome::Failed => {
                self.breaker.release_probe(now);
                1.0
            }
            // Not counted in the failure rate, which would outlast a network partition. The circuit breaker
            // stops retries to an endpoint that is the only one.
            SendOutcome::Unreachable => {
                self.breaker.record_error(now);
                return;
            }
            SendOutcome::Neutral => {
                self.breaker.release_probe(now);
                return;
            }
        };
        self.failure_rate += SMOOTHING_FACTOR * (failed - self.failure_rate);
    }
}

impl Estimate {
    /// Returns the cost, increased by the latency and the failure rate above those of the best endpoint.
    fn weighted_cost(&self, lowest_latency: f64, lowest_failure_rate: f64) -> f64 {
        let ratio = match self.token_latency {
            Some(latency) if lowest_latency > 0.0 && lowest_latency.is_finite() => {
                (latency / lowest_latency).clamp(1.0, MAX_LATENCY_RATIO)
            }
            _ => 1.0,
        };
        // Small differences in latency are noise and must not override prefix affinity.
        let ratio = if ratio < 2.0 { 1.0 } else { ratio };
        self.cost * ratio * (1.0 + FAILURE_COST_FACTOR * (self.failure_rate - lowest_failure_rate).max(0.0))
    }
}

/// Returns the endpoint that prefix affinity prefers for a request; all instances agree on it by rendezvous
/// hashing.
fn preferred_endpoint<'a>(request: &RequestHead, candidates: &[&'a EndpointEntry]) -> Option<&'a EndpointId> {
    let key = request.affinity()? ^ weights_hash(request);
    let preferred = candidates.iter().max_by_key(|entry| weight(xxh3_64(entry.id.as_str().as_bytes()), key));
    preferred.map(|entry| &entry.id)
}

/// Returns the number of tokens of the prompt that other requests may share.
fn shared_tokens(request: &RequestHead) -> f64 {
    let shared = request.prompt.len().saturating_sub(1);
    request.prompt[..shared].iter().map(|part| f64::from(part.tokens)).sum()
}

/// Returns a hash of the model and adapter, which is mixed into the hashes of prompt parts: a cached part of
/// one model is of no use to another.
fn weights_hash(request: &RequestHead) -> u64 {
    request.weights.as_ref().map_or(0, |weights| xxh3_64(weights.to_string().as_bytes()))
}
