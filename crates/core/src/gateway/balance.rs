mod estimate;
mod limits;
mod stats;

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::EndpointId;
use crate::Incarnation;
use crate::Time;
use crate::ZoneId;
use crate::breaker::Permission;
use crate::gateway::EndpointEntry;
use crate::gateway::PacedLoad;
use crate::gateway::PendingLoads;
use crate::gateway::RequestHead;
use crate::gateway::SharedLoad;
use crate::gateway::SharedLoads;
use crate::gateway::SoftwareVersion;
use crate::gateway::balance::estimate::Baseline;
use crate::gateway::balance::estimate::CandidateTier;
use crate::gateway::balance::estimate::Estimate;
use crate::gateway::balance::stats::EndpointStats;
use crate::gateway::balance::stats::InFlight;
use crate::gateway::reachability::Reachability;
use crate::gateway::rejection::Rejection;
use crate::routing::weight;

/// Smoothing factor of the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Fixed part of the expected time to the first event, in tokens; without it, short prompts would make an
/// endpoint look slow.
const BASE_LATENCY_TOKENS: f64 = 300.0;
/// Least number of candidates that are compared. Two random ones are enough to spread requests that no load
/// report shows in time.
const MIN_COMPARED: usize = 2;
/// Number of instances up to which all candidates are compared, since each instance sees most of the load
/// itself.
const FULL_COMPARISON_INSTANCES: usize = 8;

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
    /// Estimated cost: in prefill tokens for model engines, and as a fraction of the slots for plain services, or in usual
    /// service times if the pace of some candidate is known.
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
    pub fn take_loads(&mut self) -> SharedLoads {
        self.pending_loads.take()
    }

    /// Records a load that an endpoint reported to another instance.
    pub fn record_relayed(&mut self, id: &EndpointId, incarnation: Incarnation, load: PacedLoad, now: Time) {
        let stats = self.stats(id, incarnation);
        stats.load.update_relayed(load.load, now);
        if let Some(pace) = load.pace {
            stats.pace.update_relayed(pace, now);
        }
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
        let baseline = Baseline::new(&estimates);
        let weighted = candidates.iter().zip(&estimates).filter(|(_, estimate)| estimate.tier == best_tier);
        let weighted: Vec<(&EndpointEntry, f64)> =
            weighted.map(|(entry, estimate)| (*entry, estimate.weighted_cost(&baseline))).collect();
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
        let pace = stats.pace.ratio(now).unwrap_or(1.0);
        stats.breaker.record_sent(now);
        stats.load.record_start();
        stats.backlog += tokens;
        stats.record_prompt(request, now);
        stats.in_flight.insert(
            send_id,
            InFlight { sent: now, tokens, expected_tokens, snapshot, pace, responded: false },
        );
        send_id
    }

    /// Records the first event, or the head of a plain response, with the load that the endpoint reports.
    pub fn record_response(&mut self, choice: &Choice, send_id: SendId, load: Option<PacedLoad>, now: Time) {
        if let Some(load) = load {
            let shared = SharedLoad::new(&choice.id, choice.incarnation, load.load);
            self.pending_loads.insert(shared, load.pace);
        }
        self.reachability.record_response(&choice.zone, &choice.id);
        let Some(stats) = self.current_stats(choice) else { return };
        let Some(send) = stats.in_flight.get_mut(&send_id) else { return };
        if let Some(load) = load {
            stats.load.update(load.load, send.snapshot);
            if let Some(pace) = load.pace {
                stats.pace.update(pace, now);
            }
        }
        if send.responded {
            return;
        }
        send.responded = true;
        stats.backlog = (stats.backlog - send.tokens).max(0.0);
        let token_latency = (now - send.sent).as_secs_f64() / (send.expected_tokens * send.pace);
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

    /// Returns whether an endpoint has named the pace of its machine. Requests then wait there by the work that they need
    /// too, not by their priority alone.
    pub fn names_pace(&self, choice: &Choice, now: Time) -> bool {
        let stats = self.endpoints.get(&choice.id).filter(|stats| stats.incarnation == choice.incarnation);
        stats.is_some_and(|stats| stats.pace.ratio(now).is_some())
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

/// Returns the endpoint that prefix affinity prefers for a request; all instances agree on it by rendezvous
/// hashing.
fn preferred_endpoint<'a>(request: &RequestHead, candidates: &[&'a EndpointEntry]) -> Option<&'a EndpointId> {
    let key = request.affinity()? ^ weights_hash(request);
    let preferred = candidates.iter().max_by_key(|entry| weight(xxh3_64(entry.id.as_str().as_bytes()), key));
    preferred.map(|entry| &entry.id)
}

/// Returns a hash of the model and adapter, which is mixed into the hashes of prompt parts: a cached part of
/// one model is of no use to another.
fn weights_hash(request: &RequestHead) -> u64 {
    request.weights.as_ref().map_or(0, |weights| xxh3_64(weights.to_string().as_bytes()))
}
