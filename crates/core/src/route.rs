use std::time::Duration;

use indexmap::IndexMap;

use crate::Decision;
use crate::RequestId;
use crate::RouteTarget;
use crate::Time;
use crate::ZoneId;
use crate::active::ActiveRequest;
use crate::active::Attempt;
use crate::active::Phase;
use crate::breaker::Permission;
use crate::conviction::SuspectState;
use crate::dispatch::Dispatcher;
use crate::estimate::LatencyEstimate;
use crate::fleet::Endpoint;
use crate::routing;
use crate::routing::Candidate;

/// Utilization of another zone, from its leader's view, at which no request is forwarded to it any more.
const MAX_REMOTE_UTILIZATION: f64 = 0.85;
/// Seconds that forwarding to an entry of another zone and back adds.
const FORWARD_OVERHEAD_SECONDS: f64 = 0.004;

/// Load above which an endpoint counts as busy, as a fraction of its slots.
const BUSY_LOAD: f64 = 0.5;

/// Where a request can be sent now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Route {
    /// To an endpoint.
    Endpoint {
        /// Position of the endpoint in the fleet.
        index: usize,
        /// Estimated seconds to the first token.
        time_to_first: f64,
        /// Part of `time_to_first` that the request itself takes.
        own_time: f64,
    },
    /// To no endpoint until a slot is free.
    Full {
        /// Estimated seconds from then to the first token.
        own_time: f64,
    },
    /// To no endpoint until a circuit breaker permits a probe, or an endpoint that failed the request may be
    /// tried again.
    Blocked(Time),
    /// To no endpoint of this zone, as none holds the target.
    NoHolder,
}

impl Dispatcher {
    /// Returns where a request can be sent now.
    ///
    /// Endpoints that hold an adapter are preferred to those that hold only its base, and endpoints on which
    /// no attempt of the request has ended to all others.
    pub(crate) fn route(&mut self, request: RequestId, state: SuspectState, now: Time) -> Route {
        self.choice_count += 1;
        let active = &self.requests[&request];
        let Some(spec) = self.fleet.targets.get(&active.info.target) else { return Route::NoHolder };
        let mut has_usable = false;
        let mut retry_at: Option<Time> = None;
        let mut own_times = Vec::new();
        for list in [&spec.holders, &spec.base_holders] {
            let mut candidates = Vec::new();
            for index in list {
                let (id, endpoint) =
                    self.fleet.endpoints.get_index(*index).expect("targets list known endpoints");
                if let Some(until) = active.paused_until(id, now) {
                    let until = endpoint.breaker.next_probe().map_or(until, |probe| probe.max(until));
                    retry_at = retry_at.into_iter().chain([until]).min();
                    continue;
                }
                match endpoint.breaker.permission(now) {
                    Permission::Block => {
                        retry_at = retry_at.into_iter().chain(endpoint.breaker.next_probe()).min();
                        continue;
                    }
                    Permission::Probe if !active.info.repeatable || state != SuspectState::Clear => continue,
                    Permission::Pass | Permission::Probe => has_usable = true,
                }
                if self.accepts(active, endpoint, state) {
                    candidates.push(self.candidate(*index, spec.slots, active, state, now));
                }
            }
            let is_new = |candidate: &&Candidate| {
                let id = self.fleet.endpoints.get_index(candidate.index).map(|(id, _)| id);
                id.is_none_or(|id| !active.tried.contains(id))
            };
            let untried: Vec<Candidate> = candidates.iter().filter(is_new).copied().collect();
            let candidates = if untried.is_empty() { candidates } else { untried };
            let chosen = routing::choose(&self.policy, &candidates, active.time_left(now), self.choice_count);
            if let Some(chosen) = chosen {
                let Candidate { index, time_to_first, own_time, .. } = chosen;
                return Route::Endpoint { index, time_to_first, own_time };
            }
            own_times.extend(candidates.iter().map(|candidate| candidate.own_time).min_by(f64::total_cmp));
        }
        let own_time = own_times.into_iter().min_by(f64::total_cmp).unwrap_or(0.0);
        match retry_at {
            _ if has_usable => Route::Full { own_time },
            Some(until) => Route::Blocked(until),
            None if spec.holders.is_empty() && spec.base_holders.is_empty() => Route::NoHolder,
            None => Route::Full { own_time },
        }
    }

    /// Starts an attempt of a request on the endpoint at position `index`.
    pub(crate) fn start(&mut self, request: RequestId, index: usize, now: Time) -> Decision {
        self.queue.remove(request);
        let Some((id, endpoint)) = self.fleet.endpoints.get_index_mut(index) else { return Decision::Wait };
        let Some(active) = self.requests.get_mut(&request) else { return Decision::Wait };
        let fingerprint = active.info.fingerprint;
        let warm = endpoint.prefill.is_warm(active.info.prefix_hash, now);
        let work = prefill_work(&self.estimates, active, warm);
        if self.quarantine.state(fingerprint, now) != SuspectState::Clear {
            endpoint.suspects.push(fingerprint);
        }
        let slots = self.fleet.targets.get(&active.info.target).map_or(1.0, |spec| spec.slots);
        active.attempts += 1;
        active.phase = Phase::Running(Attempt {
            endpoint: id.clone(),
            incarnation: endpoint.incarnation,
            start: now,
            sent: false,
            prefill: endpoint.prefill.start(active.info.prefix_hash, work, now),
            was_busy: endpoint.load.total(now) > slots * BUSY_LOAD,
            snapshot: None,
        });
        endpoint.load.record_start();
        endpoint.breaker.record_sent(now);
        Decision::Send {
            endpoint: id.clone(),
            addr: endpoint.addr.clone(),
            incarnation: endpoint.incarnation,
        }
    }

    /// Forwards a request to the other zone of lowest utilization, if its response would begin there in less
    /// than `local` seconds.
    ///
    /// Returns `None` if no zone can take it, or if another zone's entry forwarded it here.
    pub(crate) fn forward(&mut self, request: RequestId, local: Option<f64>, now: Time) -> Option<Decision> {
        let active = &self.requests[&request];
        if active.info.forwarded {
            return None;
        }
        let time_to_first = FORWARD_OVERHEAD_SECONDS + prefill_work(&self.estimates, active, false);
        if local.is_some_and(|local| time_to_first >= local) {
            return None;
        }
        let spec = self.fleet.targets.get(&active.info.target)?;
        let group = active.group;
        let available = spec.remote.iter().filter_map(|(zone, load)| {
            let known = self.fleet.zones.get(zone)?;
            let paused = known.paused_until.get(&group).is_some_and(|until| now < *until);
            let forwarded = f64::from(known.forwarded.get(&group).copied().unwrap_or(0));
            let utilization = (load.load + forwarded) / load.slots;
            let fits = !paused && !known.entries.is_empty() && utilization < MAX_REMOTE_UTILIZATION;
            fits.then_some((utilization, zone.clone()))
        });
        let (_, zone) = available.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let known = self.fleet.zones.get_mut(&zone)?;
        let addr = known.entries[request.0 as usize % known.entries.len()].clone();
        *known.forwarded.entry(group).or_default() += 1;
        self.queue.remove(request);
        let active = self.requests.get_mut(&request)?;
        active.attempts += 1;
        active.phase = Phase::Forwarded(zone.clone());
        Some(Decision::Forward { zone, addr })
    }

    /// Returns whether a request may be sent to an endpoint in spite of the suspect requests on it.
    fn accepts(&self, active: &ActiveRequest, endpoint: &Endpoint, state: SuspectState) -> bool {
        match state {
            SuspectState::Clear => true,
            SuspectState::Suspect => endpoint.suspects.is_empty() && !self.has_running_copy(active),
            SuspectState::Held(_) | SuspectState::Convicted => false,
        }
    }

    /// Returns whether a suspect request with the same content is in flight; a second copy could crash a
    /// second endpoint.
    fn has_running_copy(&self, active: &ActiveRequest) -> bool {
        let fingerprint = active.info.fingerprint;
        self.fleet.endpoints.values().any(|endpoint| endpoint.suspects.contains(&fingerprint))
    }

    fn candidate(
        &self,
        index: usize,
        slots: f64,
        active: &ActiveRequest,
        state: SuspectState,
        now: Time,
    ) -> Candidate {
        let endpoint = &self.fleet.endpoints[index];
        let load = endpoint.load.total(now);
        // All entries send copies of one suspect request to the same endpoint, and different suspects to
        // different ones.
        let key = match state {
            SuspectState::Suspect => active.info.fingerprint.0,
            _ => active.info.prefix_hash,
        };
        let work =
            prefill_work(&self.estimates, active, endpoint.prefill.is_warm(active.info.prefix_hash, now));
        let service =
            self.estimates.get(&active.group).and_then(LatencyEstimate::service_seconds).unwrap_or(0.0);
        let queue = (load + 1.0 - slots).max(0.0) * service / slots;
        let (time_to_first, own_time) = match active.info.target {
            RouteTarget::Model(_) => (endpoint.prefill.time_to_first(work), endpoint.prefill.own_time(work)),
            RouteTarget::Service(_) => (service, service),
        };
        Candidate {
            index,
            weight: routing::weight(endpoint.seed, key),
            load,
            outstanding: endpoint.load.own(),
            slots,
            time_to_first: queue + time_to_first,
            own_time,
        }
    }

    /// Records the end of a forwarded request; `pause` is the time for which the zone gets no more requests
    /// of the group, if it refused this one.
    pub(crate) fn forward_ended(&mut self, zone: &ZoneId, group: usize, pause: Option<Duration>, now: Time) {
        let Some(known) = self.fleet.zones.get_mut(zone) else { return };
        if let Some(count) = known.forwarded.get_mut(&group) {
            *count = count.saturating_sub(1);
        }
        if let Some(pause) = pause {
            known.paused_until.insert(group, now + pause);
        }
    }
}

/// Returns the estimated seconds of prefill on an idle endpoint, or 0 for a plain service.
pub(crate) fn prefill_work(
    estimates: &IndexMap<usize, LatencyEstimate>,
    active: &ActiveRequest,
    warm: bool,
) -> f64 {
    let Some(estimate) = estimates.get(&active.group) else { return 0.0 };
    match active.info.target {
        RouteTarget::Model(_) => estimate.prefill_seconds(active.info.prompt_tokens, warm),
        // Slots of a plain service run concurrently; prefill of an engine is done for one request at a time.
        RouteTarget::Service(_) => 0.0,
    }
}
