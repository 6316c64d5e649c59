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
use crate::conviction::QuarantineStatus;
use crate::dispatch::Dispatcher;
use crate::estimate::LatencyEstimate;
use crate::fleet::Endpoint;
use crate::routing;
use crate::routing::Candidate;

/// Utilization of another zone, as its leader saw it, above which nothing is forwarded to it.
const MAX_REMOTE_UTILIZATION: f64 = 0.85;
/// Time that forwarding to another zone's entry and back adds.
const FORWARD_SECONDS: f64 = 0.004;

/// Load, as a fraction of the slots, above which an endpoint is busy.
const BUSY_LOAD: f64 = 0.5;

/// Where a request can run now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Route {
    /// On an endpoint.
    Endpoint {
        /// Position of the endpoint.
        index: usize,
        /// Estimated seconds to the first token.
        time_to_first: f64,
        /// Part of it that the request itself takes.
        own_time: f64,
    },
    /// On none until a slot is free.
    Full {
        /// Estimated seconds from then to the first token.
        own_time: f64,
    },
    /// On none until a circuit breaker lets a probe through, or an endpoint that failed the request is tried again.
    Blocked(Time),
    /// On none of this zone.
    Nowhere,
}

impl Dispatcher {
    pub(crate) fn route(&mut self, request: RequestId, status: QuarantineStatus, now: Time) -> Route {
        self.choice_count += 1;
        let active = &self.requests[&request];
        let Some(spec) = self.fleet.targets.get(&active.info.target) else { return Route::Nowhere };
        let mut has_usable = false;
        let mut retry_at: Option<Time> = None;
        let mut own_times = Vec::new();
        for list in [&spec.holders, &spec.bases] {
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
                    Permission::Probe if !active.info.repeatable || status != QuarantineStatus::Clear => {
                        continue;
                    }
                    Permission::Pass | Permission::Probe => has_usable = true,
                }
                if self.accepts(active, endpoint, status) {
                    candidates.push(self.candidate(*index, spec.slots, active, status, now));
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
            None if spec.holders.is_empty() && spec.bases.is_empty() => Route::Nowhere,
            None => Route::Full { own_time },
        }
    }

    /// Puts a request on an endpoint.
    pub(crate) fn start(&mut self, request: RequestId, index: usize, now: Time) -> Decision {
        self.queue.remove(request);
        let Some((id, endpoint)) = self.fleet.endpoints.get_index_mut(index) else { return Decision::Wait };
        let Some(active) = self.requests.get_mut(&request) else { return Decision::Wait };
        let fingerprint = active.info.fingerprint;
        let warm = endpoint.prefill.is_warm(active.info.prefix_hash, now);
        let work = prefill_work(&self.estimates, active, warm);
        if self.quarantine.status(fingerprint, now) != QuarantineStatus::Clear {
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
        endpoint.load.started();
        endpoint.breaker.record_sent(now);
        Decision::Send {
            endpoint: id.clone(),
            addr: endpoint.addr.clone(),
            incarnation: endpoint.incarnation,
        }
    }

    /// Forwards a request to the least loaded zone with room, if that is sooner than `local` seconds.
    pub(crate) fn forward(&mut self, request: RequestId, local: Option<f64>, now: Time) -> Option<Decision> {
        let active = &self.requests[&request];
        if active.info.forwarded {
            return None;
        }
        let time_to_first = FORWARD_SECONDS + prefill_work(&self.estimates, active, false);
        if local.is_some_and(|local| time_to_first >= local) {
            return None;
        }
        let spec = self.fleet.targets.get(&active.info.target)?;
        let group = active.group;
        let available = spec.remote.iter().filter_map(|(zone, load)| {
            let known = self.fleet.zones.get(zone)?;
            let paused = known.paused.get(&group).is_some_and(|until| now < *until);
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

    /// Returns whether an endpoint may run a request beside the suspects on it.
    fn accepts(&self, active: &ActiveRequest, endpoint: &Endpoint, status: QuarantineStatus) -> bool {
        match status {
            QuarantineStatus::Clear => true,
            QuarantineStatus::Suspect => endpoint.suspects.is_empty() && !self.has_running_copy(active),
            QuarantineStatus::Held(_) | QuarantineStatus::Convicted => false,
        }
    }

    /// Returns whether a request with the same content runs; a second one could cost a second endpoint.
    fn has_running_copy(&self, active: &ActiveRequest) -> bool {
        let fingerprint = active.info.fingerprint;
        self.fleet.endpoints.values().any(|endpoint| endpoint.suspects.contains(&fingerprint))
    }

    fn candidate(
        &self,
        index: usize,
        slots: f64,
        active: &ActiveRequest,
        status: QuarantineStatus,
        now: Time,
    ) -> Candidate {
        let endpoint = &self.fleet.endpoints[index];
        let load = endpoint.load.total(now);
        // Copies of a suspect go to the same endpoint from all entries, and different suspects to different ones.
        let key = match status {
            QuarantineStatus::Suspect => active.info.fingerprint.0,
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

    /// Notes the end of a forwarded request.
    pub(crate) fn forward_ended(
        &mut self,
        zone: &ZoneId,
        group: usize,
        refused: Option<Duration>,
        now: Time,
    ) {
        let Some(known) = self.fleet.zones.get_mut(zone) else { return };
        if let Some(count) = known.forwarded.get_mut(&group) {
            *count = count.saturating_sub(1);
        }
        if let Some(pause) = refused {
            known.paused.insert(group, now + pause);
        }
    }
}

/// Returns the seconds to the first token on an idle endpoint, or to the whole answer of a plain service.
pub(crate) fn prefill_work(
    estimates: &IndexMap<usize, LatencyEstimate>,
    active: &ActiveRequest,
    warm: bool,
) -> f64 {
    let Some(estimate) = estimates.get(&active.group) else { return 0.0 };
    match active.info.target {
        RouteTarget::Model(_) => estimate.prefill_seconds(active.info.prompt_tokens, warm),
        // The slots of a plain service run side by side; only prefill of an engine goes one after the other.
        RouteTarget::Service(_) => 0.0,
    }
}
