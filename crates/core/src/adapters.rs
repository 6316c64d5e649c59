use std::time::Duration;

use crate::Action;
use crate::AdapterSpec;
use crate::EndpointId;
use crate::ModelId;
use crate::Resident;
use crate::Time;
use crate::placement::Placer;
use crate::placement::ZoneRole;

/// An adapter that was used more recently is not unloaded for another one, or the two would alternate.
const MIN_IDLE: Duration = Duration::from_secs(10);

impl<'a> Placer<'a> {
    /// Loads adapters that are asked for where their base is resident, and returns how many more may be loaded now.
    pub(crate) fn place_adapters(&mut self) -> u32 {
        let input = self.input;
        let mut left = input.adapter_loads;
        let used = |(id, spec): (&'a ModelId, &'a AdapterSpec)| {
            let used = input.demand.last_used(id, input.now).filter(|_| !spec.retiring);
            used.map(|at| (at, id, spec))
        };
        let mut wanted: Vec<(Time, &ModelId, &AdapterSpec)> =
            input.manifest.adapters.iter().filter_map(used).collect();
        wanted.sort_by_key(|(at, id, _)| (std::cmp::Reverse(*at), *id));
        for (used, id, spec) in wanted {
            let hosts = self.hosts_of(spec);
            if self.engines_with(id, Some(&spec.version)).any(|endpoint| hosts.contains(&endpoint)) {
                continue;
            }
            if left == 0 {
                self.block(id, "waits for the limit on adapter loads");
                continue;
            }
            if self.place_adapter(used, id, spec, hosts) {
                left -= 1;
            }
        }
        left
    }

    /// Loads adapters in the home zone of their base before anyone asks for them, where there is room.
    ///
    /// The first request for an adapter would otherwise wait until its demand was reported, longer than its target.
    pub(crate) fn preload_adapters(&mut self, mut left: u32) {
        let manifest = self.input.manifest;
        for (id, spec) in manifest.adapters.iter().filter(|(_, spec)| !spec.retiring) {
            if left == 0 {
                return;
            }
            let hosts = self.hosts_of(spec);
            let resident =
                self.engines_with(id, Some(&spec.version)).any(|endpoint| hosts.contains(&endpoint));
            if resident || self.zone_role(&spec.base) != ZoneRole::Home {
                continue;
            }
            let hosts = self.free_hosts(hosts);
            if let Some(host) = self.host_with_room(spec, &hosts) {
                self.load_adapter(id, spec, host, "beside its base");
                left -= 1;
            }
        }
    }

    /// Returns the engines that serve the base, with its declared version if any does: other copies are about to go.
    fn hosts_of(&self, spec: &AdapterSpec) -> Vec<&'a EndpointId> {
        let version = self.input.manifest.models.get(&spec.base).map(|base| &base.version);
        let current: Vec<&EndpointId> = self.engines_serving(&spec.base, version).collect();
        if current.is_empty() { self.engines_serving(&spec.base, None).collect() } else { current }
    }

    fn place_adapter(
        &mut self,
        used: Time,
        id: &'a ModelId,
        spec: &'a AdapterSpec,
        hosts: Vec<&'a EndpointId>,
    ) -> bool {
        if hosts.is_empty() {
            // Another zone holds the base, and requests are forwarded there.
            return false;
        }
        let hosts = self.free_hosts(hosts);
        if let Some(host) = self.host_with_room(spec, &hosts) {
            self.load_adapter(id, spec, host, "asked for");
            return true;
        }
        let victim = hosts.iter().find_map(|host| Some(((*host).clone(), self.least_used(host, used)?)));
        if let Some((host, victim)) = victim {
            let action = Action::Unload { model: victim.model, version: victim.version };
            self.push(host, action, &format!("makes room for {id}"));
        }
        self.block(id, "waits for room beside its base");
        false
    }

    /// Returns the engines that can be given an order, the least loaded first.
    fn free_hosts(&self, hosts: Vec<&'a EndpointId>) -> Vec<&'a EndpointId> {
        let mut free: Vec<&EndpointId> =
            hosts.into_iter().filter(|host| !self.busy.contains(*host)).collect();
        free.sort_by(|a, b| self.engine_utilization(a).total_cmp(&self.engine_utilization(b)));
        free
    }

    fn host_with_room(&self, spec: &AdapterSpec, hosts: &[&'a EndpointId]) -> Option<&'a EndpointId> {
        let room =
            |host: &&EndpointId| self.input.ledger.get(host).is_some_and(|account| account.fits(spec.size));
        hosts.iter().copied().find(room)
    }

    fn load_adapter(&mut self, id: &ModelId, spec: &AdapterSpec, host: &EndpointId, reason: &str) {
        let (version, base) = (spec.version.clone(), Some(spec.base.clone()));
        let action = Action::Load { model: id.clone(), version, size: spec.size, base };
        self.push(host.clone(), action, reason);
    }

    /// Returns the adapter of an engine that was used least recently, if that was before `than` and long ago.
    fn least_used(&self, host: &EndpointId, than: Time) -> Option<Resident> {
        let input = &self.input;
        let account = input.ledger.get(host)?;
        let adapters = account.resident().iter();
        let adapters = adapters.filter(|resident| input.manifest.adapters.contains_key(&resident.model));
        let used = |resident: &&Resident| input.demand.last_used(&resident.model, input.now);
        let idle = adapters
            .filter(|resident| used(resident).is_none_or(|at| at < than && input.now - at >= MIN_IDLE));
        idle.min_by_key(used).cloned()
    }
}
