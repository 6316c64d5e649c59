use std::time::Duration;

use indexmap::IndexMap;

use crate::Decision;
use crate::RequestId;
use crate::RouteTarget;
use crate::Time;
use crate::ZoneId;
use crate::active::Active;
use crate::active::Attempt;
use crate::active::Phase;
use crate::breaker::Gate;
use crate::dispatch::Dispatcher;
use crate::estimate::Estimate;
use crate::fleet::Endpoint;
use crate::quarantine::Standing;
use crate::routing;
use crate::routing::Candidate;

/// Utilization of another zone, as its leader saw it, above which nothing is forwarded to it.
const REMOTE_LIMIT: f64 = 0.85;
/// Time that forwarding to another zone's entry and back adds.
const HOP: f64 = 0.004;

/// Load, as a fraction of the slots, above which an endpoint is busy.
const BUSY: f64 = 0.5;

/// Where a request can run now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Route {
    /// On an endpoint.
    Endpoint {
        /// Position of the endpoint.
        index: usize,
        /// Estimated seconds to the first token.
        first: f64,
        /// Part of it that the request itself takes.
        own: f64,
    },
    /// On none until a slot is free.
    Full {
        /// Estimated seconds from then to the first token.
        own: f64,
    },
    /// On none until a circuit breaker lets a probe through, or an endpoint that failed the request is tried again.
    Blocked(Time),
    /// On none of this zone.
    Nowhere,
}

impl Dispatcher {
    pub(crate) fn route(&mut self, request: RequestId, standing: Standing, now: Time) -> Route {
        self.turn += 1;
        let active = &self.requests[&request];
        let Some(spec) = self.fleet.targets.get(&active.ask.target) else { return Route::Nowhere };
        let mut any = false;
        let mut reopens: Option<Time> = None;
        let mut owns = Vec::new();
        for list in [&spec.holders, &spec.bases] {
            let mut candidates = Vec::new();
            for index in list {
                let (id, endpoint) =
                    self.fleet.endpoints.get_index(*index).expect("targets list known endpoints");
                if let Some(until) = active.paused_for(id, now) {
                    let until = endpoint.breaker.reopens().map_or(until, |reopens| reopens.max(until));
                    reopens = reopens.into_iter().chain([until]).min();
                    continue;
                }
                match endpoint.breaker.gate(now) {
                    Gate::Block => {
                        reopens = reopens.into_iter().chain(endpoint.breaker.reopens()).min();
                        continue;
                    }
                    Gate::Probe if !active.ask.repeatable || standing != Standing::Clear => continue,
                    Gate::Pass | Gate::Probe => any = true,
                }
                if self.is_open_to(active, endpoint, standing) {
                    candidates.push(self.candidate(*index, spec.slots, active, standing, now));
                }
            }
            let is_new = |candidate: &&Candidate| {
                let id = self.fleet.endpoints.get_index(candidate.index).map(|(id, _)| id);
                id.is_none_or(|id| !active.tried.contains(id))
            };
            let untried: Vec<Candidate> = candidates.iter().filter(is_new).copied().collect();
            let candidates = if untried.is_empty() { candidates } else { untried };
            let chosen = routing::choose(&self.policy, &candidates, active.left(now), self.turn);
            if let Some(chosen) = chosen {
                let Candidate { index, first, own, .. } = chosen;
                return Route::Endpoint { index, first, own };
            }
            owns.extend(candidates.iter().map(|candidate| candidate.own).min_by(f64::total_cmp));
        }
        let own = owns.into_iter().min_by(f64::total_cmp).unwrap_or(0.0);
        match reopens {
            _ if any => Route::Full { own },
            Some(until) => Route::Blocked(until),
            None if spec.holders.is_empty() && spec.bases.is_empty() => Route::Nowhere,
            None => Route::Full { own },
        }
    }

    /// Puts a request on an endpoint.
    pub(crate) fn start(&mut self, request: RequestId, index: usize, now: Time) -> Decision {
        self.queue.remove(request);
        let Some((id, endpoint)) = self.fleet.endpoints.get_index_mut(index) else { return Decision::Wait };
        let Some(active) = self.requests.get_mut(&request) else { return Decision::Wait };
        let fingerprint = active.ask.fingerprint;
        let warm = endpoint.prefill.is_warm(active.ask.prefix_hash, now);
        let work = prefill_work(&self.estimates, active, warm);
        if self.quarantine.standing(fingerprint, now) != Standing::Clear {
            endpoint.suspects.push(fingerprint);
        }
        let slots = self.fleet.targets.get(&active.ask.target).map_or(1.0, |spec| spec.slots);
        active.attempts += 1;
        active.phase = Phase::Running(Attempt {
            endpoint: id.clone(),
            incarnation: endpoint.incarnation,
            start: now,
            sent: false,
            prefill: endpoint.prefill.start(active.ask.prefix_hash, work, now),
            busy: endpoint.load.total(now) > slots * BUSY,
            mark: None,
        });
        endpoint.load.started();
        endpoint.breaker.sent(now);
        Decision::Send {
            endpoint: id.clone(),
            addr: endpoint.addr.clone(),
            incarnation: endpoint.incarnation,
        }
    }

    /// Forwards a request to the least loaded zone with room, if that is sooner than `local` seconds.
    pub(crate) fn forward(&mut self, request: RequestId, local: Option<f64>, now: Time) -> Option<Decision> {
        let active = &self.requests[&request];
        if active.ask.forwarded {
            return None;
        }
        let first = HOP + prefill_work(&self.estimates, active, false);
        if local.is_some_and(|local| first >= local) {
            return None;
        }
        let spec = self.fleet.targets.get(&active.ask.target)?;
        let group = active.group;
        let usable = spec.remote.iter().filter_map(|(zone, load)| {
            let known = self.fleet.zones.get(zone)?;
            let paused = known.paused.get(&group).is_some_and(|until| now < *until);
            let own = f64::from(known.forwarded.get(&group).copied().unwrap_or(0));
            let utilization = (load.load + own) / load.slots;
            let fits = !paused && !known.entries.is_empty() && utilization < REMOTE_LIMIT;
            fits.then_some((utilization, zone.clone()))
        });
        let (_, zone) = usable.min_by(|a, b| a.0.total_cmp(&b.0))?;
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
    fn is_open_to(&self, active: &Active, endpoint: &Endpoint, standing: Standing) -> bool {
        match standing {
            Standing::Clear => true,
            Standing::Suspect => endpoint.suspects.is_empty() && !self.is_running(active),
            Standing::Held(_) | Standing::Convicted => false,
        }
    }

    /// Returns whether a request with the same content runs; a second one could cost a second endpoint.
    fn is_running(&self, active: &Active) -> bool {
        let fingerprint = active.ask.fingerprint;
        self.fleet.endpoints.values().any(|endpoint| endpoint.suspects.contains(&fingerprint))
    }

    fn candidate(
        &self,
        index: usize,
        slots: f64,
        active: &Active,
        standing: Standing,
        now: Time,
    ) -> Candidate {
        let endpoint = &self.fleet.endpoints[index];
        let load = endpoint.load.total(now);
        // Copies of a suspect go to the same endpoint from all entries, and different suspects to different ones.
        let key = match standing {
            Standing::Suspect => active.ask.fingerprint.0,
            _ => active.ask.prefix_hash,
        };
        let work =
            prefill_work(&self.estimates, active, endpoint.prefill.is_warm(active.ask.prefix_hash, now));
        let service = self.estimates.get(&active.group).and_then(Estimate::service).unwrap_or(0.0);
        let queue = (load + 1.0 - slots).max(0.0) * service / slots;
        let (first, own) = match active.ask.target {
            RouteTarget::Model(_) => (endpoint.prefill.first(work), endpoint.prefill.alone(work)),
            RouteTarget::Service(_) => (service, service),
        };
        Candidate {
            index,
            weight: routing::weight(endpoint.seed, key),
            load,
            outstanding: endpoint.load.own(),
            slots,
            first: queue + first,
            own,
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
pub(crate) fn prefill_work(estimates: &IndexMap<usize, Estimate>, active: &Active, warm: bool) -> f64 {
    let Some(estimate) = estimates.get(&active.group) else { return 0.0 };
    match active.ask.target {
        RouteTarget::Model(_) => estimate.prefill(active.ask.prompt_tokens, warm),
        // The slots of a plain service run side by side; only prefill of an engine goes one after the other.
        RouteTarget::Service(_) => 0.0,
    }
}
