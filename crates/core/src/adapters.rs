use std::time::Duration;

use crate::Action;
use crate::AdapterSpec;
use crate::EndpointId;
use crate::ModelId;
use crate::Resident;
use crate::Time;
use crate::placement::Placer;
use crate::placement::ZoneRole;

/// Time since its last use after which an adapter may be unloaded for another one. Without this limit, two
/// adapters in use would keep replacing each other.
const MIN_IDLE_TIME: Duration = Duration::from_secs(10);

impl<'a> Placer<'a> {
    /// Loads requested adapters, the most recently used first, on engines that serve their base model.
    ///
    /// Returns how many more adapters may be loaded now.
    pub(crate) fn place_adapters(&mut self) -> u32 {
        let input = self.input;
        let mut remaining = input.adapter_loads;
        let with_last_use = |(id, spec): (&'a ModelId, &'a AdapterSpec)| {
            let last_used = input.demand.last_used(id, input.now).filter(|_| !spec.retiring);
            last_used.map(|at| (at, id, spec))
        };
        let mut requested: Vec<(Time, &ModelId, &AdapterSpec)> =
            input.manifest.adapters.iter().filter_map(with_last_use).collect();
        requested.sort_by_key(|(at, id, _)| (std::cmp::Reverse(*at), *id));
        for (last_used, id, spec) in requested {
            let engines = self.engines_serving_base(spec);
            if self.engines_with(id, Some(&spec.version)).any(|endpoint| engines.contains(&endpoint)) {
                continue;
            }
            if remaining == 0 {
                self.block(id, "waits for the limit on adapter loads");
                continue;
            }
            if self.place_adapter(last_used, id, spec, engines) {
                remaining -= 1;
            }
        }
        remaining
    }

    /// Loads adapters before they are requested, in the home zone of their base model and where memory is
    /// available.
    ///
    /// The first request for an adapter would otherwise wait until its demand was reported, which takes
    /// longer than its latency target.
    pub(crate) fn preload_adapters(&mut self, mut remaining: u32) {
        let manifest = self.input.manifest;
        for (id, spec) in manifest.adapters.iter().filter(|(_, spec)| !spec.retiring) {
            if remaining == 0 {
                return;
            }
            let engines = self.engines_serving_base(spec);
            let resident =
                self.engines_with(id, Some(&spec.version)).any(|endpoint| engines.contains(&endpoint));
            if resident || self.zone_role(&spec.base) != ZoneRole::Home {
                continue;
            }
            let engines = self.available_engines(engines);
            if let Some(engine) = self.engine_with_memory(spec, &engines) {
                self.load_adapter(id, spec, engine, "beside its base");
                remaining -= 1;
            }
        }
    }

    /// Returns the engines that serve the declared version of the base model, or any version if none does.
    ///
    /// Copies of other versions are about to be unloaded.
    fn engines_serving_base(&self, spec: &AdapterSpec) -> Vec<&'a EndpointId> {
        let version = self.input.manifest.models.get(&spec.base).map(|base| &base.version);
        let current: Vec<&EndpointId> = self.engines_serving(&spec.base, version).collect();
        if current.is_empty() { self.engines_serving(&spec.base, None).collect() } else { current }
    }

    /// Loads an adapter on one of the engines, or unloads another adapter if none has memory for it.
    ///
    /// Returns whether the load was planned.
    fn place_adapter(
        &mut self,
        last_used: Time,
        id: &'a ModelId,
        spec: &'a AdapterSpec,
        engines: Vec<&'a EndpointId>,
    ) -> bool {
        if engines.is_empty() {
            // The base model is resident only in other zones, to which requests are forwarded.
            return false;
        }
        let engines = self.available_engines(engines);
        if let Some(engine) = self.engine_with_memory(spec, &engines) {
            self.load_adapter(id, spec, engine, "asked for");
            return true;
        }
        let unload = engines
            .iter()
            .find_map(|engine| Some(((*engine).clone(), self.least_recently_used(engine, last_used)?)));
        if let Some((engine, adapter)) = unload {
            let action = Action::Unload { model: adapter.model, version: adapter.version };
            self.push(engine, action, &format!("makes room for {id}"));
        }
        self.block(id, "waits for room beside its base");
        false
    }

    /// Returns those of the engines that can be given an order now, the least utilized first.
    fn available_engines(&self, engines: Vec<&'a EndpointId>) -> Vec<&'a EndpointId> {
        let mut available: Vec<&EndpointId> =
            engines.into_iter().filter(|engine| !self.busy.contains(*engine)).collect();
        available.sort_by(|a, b| self.engine_utilization(a).total_cmp(&self.engine_utilization(b)));
        available
    }

    fn engine_with_memory(&self, spec: &AdapterSpec, engines: &[&'a EndpointId]) -> Option<&'a EndpointId> {
        let fits = |engine: &&EndpointId| {
            self.input.ledger.get(engine).is_some_and(|account| account.fits(spec.size))
        };
        engines.iter().copied().find(fits)
    }

    fn load_adapter(&mut self, id: &ModelId, spec: &AdapterSpec, engine: &EndpointId, reason: &str) {
        let (version, base) = (spec.version.clone(), Some(spec.base.clone()));
        let action = Action::Load { model: id.clone(), version, size: spec.size, base };
        self.push(engine.clone(), action, reason);
    }

    /// Returns the least recently used adapter of an engine, among those last used before `before` and at
    /// least [`MIN_IDLE_TIME`] ago.
    fn least_recently_used(&self, engine: &EndpointId, before: Time) -> Option<Resident> {
        let input = &self.input;
        let account = input.ledger.get(engine)?;
        let adapters = account.resident().iter();
        let adapters = adapters.filter(|resident| input.manifest.adapters.contains_key(&resident.model));
        let last_used = |resident: &&Resident| input.demand.last_used(&resident.model, input.now);
        let idle = adapters.filter(|resident| {
            last_used(resident).is_none_or(|at| at < before && input.now - at >= MIN_IDLE_TIME)
        });
        idle.min_by_key(last_used).cloned()
    }
}
