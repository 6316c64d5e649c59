use indexmap::IndexSet;

use crate::Account;
use crate::Action;
use crate::Bytes;
use crate::EndpointId;
use crate::ModelId;
use crate::ModelSpec;
use crate::Resident;
use crate::placement::Need;
use crate::placement::Placer;
use crate::placement::ZoneRole;

impl<'a> Placer<'a> {
    /// Starts to free memory for a model, and returns whether memory is or will be freed.
    ///
    /// Copies that are not needed are unloaded first. If that is not enough, a needed copy is loaded on
    /// another engine, after which the copy on this one is no longer needed.
    pub(crate) fn free_memory(&mut self, need: Need, id: &'a ModelId, spec: &'a ModelSpec) -> bool {
        let mut engines = self.engines_of(spec);
        if engines
            .any(|(_, account)| account.open_orders().any(|order| !matches!(order.action, Action::Noop)))
        {
            // An order in progress may free the memory; a second one must not be given at the same time.
            return true;
        }
        if need == Need::Demand && self.expected_gain(id, spec) <= 2.0 * self.input.manifest.objective.moves {
            return false;
        }
        if let Some((endpoint, victim)) = self.cheapest_eviction(need, id, spec) {
            let action = Action::Unload { model: victim.model, version: victim.version };
            self.push(endpoint, action, &format!("makes room for {id}"));
            return true;
        }
        need < Need::Demand && self.relocate(id, spec)
    }

    /// Unloads copies that are not declared, are of a superseded version, or are not allowed in this zone by
    /// the manifest.
    pub(crate) fn unload_superfluous(&mut self) {
        let input = self.input;
        for (endpoint, account) in input.ledger.accounts() {
            if self.busy.contains(endpoint) {
                continue;
            }
            let superfluous =
                account.resident().iter().find(|resident| self.is_superfluous(endpoint, account, resident));
            if let Some(resident) = superfluous {
                let resident = self.first_to_unload(account, resident);
                let action =
                    Action::Unload { model: resident.model.clone(), version: resident.version.clone() };
                self.push(endpoint.clone(), action, "not declared here, or superseded");
            }
        }
    }

    /// Returns whether a copy can be unloaded because it is not declared, superseded or not allowed in this
    /// zone.
    fn is_superfluous(&mut self, endpoint: &EndpointId, account: &Account, resident: &Resident) -> bool {
        if let Some(spec) = self.input.manifest.adapters.get(&resident.model) {
            let current = account.resident().iter();
            let current = current.filter(|r| r.model == resident.model).any(|r| r.version == spec.version);
            return spec.version != resident.version && current;
        }
        let Some(spec) = self.input.manifest.models.get(&resident.model) else {
            return true;
        };
        if self.zone_role(&resident.model) == ZoneRole::Excluded {
            return self.can_unload(Need::NoCopy, endpoint, resident);
        }
        // In its home zone, the new version must be serving before the old one is unloaded.
        let replaced = self.engines_serving(&resident.model, Some(&spec.version)).next().is_some();
        spec.version != resident.version && (replaced || self.can_be_replaced(endpoint, resident))
    }

    /// Returns whether a copy outside of its home zone can be unloaded for a newer version.
    fn can_be_replaced(&mut self, endpoint: &EndpointId, resident: &Resident) -> bool {
        self.zone_role(&resident.model) != ZoneRole::Home && self.can_unload(Need::NoCopy, endpoint, resident)
    }

    /// Returns an adapter of the resident model, which must be unloaded before its base, or the model itself.
    fn first_to_unload(&self, account: &Account, resident: &Resident) -> Resident {
        let adapters = &self.input.manifest.adapters;
        let is_other_version = |r: &&Resident| r.model == resident.model && r.version != resident.version;
        if account.resident().iter().any(|r| is_other_version(&r)) {
            return resident.clone();
        }
        let on_base = |r: &&Resident| adapters.get(&r.model).is_some_and(|spec| spec.base == resident.model);
        account.resident().iter().find(on_base).unwrap_or(resident).clone()
    }

    /// Returns the engine on which the fewest unloads free enough memory, and the first copy to unload.
    fn cheapest_eviction(
        &mut self,
        need: Need,
        id: &ModelId,
        spec: &'a ModelSpec,
    ) -> Option<(EndpointId, Resident)> {
        let mut best: Option<(usize, EndpointId, Resident)> = None;
        for (endpoint, account) in self.engines_of(spec) {
            if self.busy.contains(endpoint) || account.has_copy(id, &spec.version) {
                continue;
            }
            let victims = self.victims(need, endpoint, account, id);
            let mut available = self.available_memory(endpoint, id).unwrap_or_default();
            let mut first = None;
            for (count, victim) in victims.iter().enumerate() {
                first = first.or(Some(victim));
                available = available + victim.size;
                if available >= spec.size {
                    let better = best.as_ref().is_none_or(|(fewest, ..)| count + 1 < *fewest);
                    if let (true, Some(first)) = (better, first) {
                        let first = self.first_to_unload(account, first);
                        best = Some((count + 1, endpoint.clone(), first));
                    }
                    break;
                }
            }
        }
        best.map(|(_, endpoint, victim)| (endpoint, victim))
    }

    /// Returns the copies that can be unloaded from an engine, the least useful first.
    fn victims(
        &mut self,
        need: Need,
        endpoint: &EndpointId,
        account: &Account,
        id: &ModelId,
    ) -> Vec<Resident> {
        let mut victims: Vec<(u8, Resident)> = Vec::new();
        for resident in account.resident() {
            if resident.model == *id {
                continue;
            }
            let manifest = self.input.manifest;
            let idle = self.input.demand.last_used(&resident.model, self.input.now).is_none();
            let rank = match manifest.models.get(&resident.model) {
                _ if manifest.adapters.contains_key(&resident.model) => idle.then_some(3),
                None => Some(0),
                Some(spec) if !self.can_unload(need, endpoint, resident) => {
                    // A copy of a retiring model gets no new requests.
                    spec.retiring.then_some(1)
                }
                Some(_) => Some(2),
            };
            victims.extend(rank.map(|rank| (rank, resident.clone())));
        }
        victims.sort_by_key(|(rank, resident)| (*rank, std::cmp::Reverse(resident.size)));
        victims.into_iter().map(|(_, resident)| resident).collect()
    }

    /// Returns whether a copy can be unloaded: other copies suffice, or the plan of the home zone has the
    /// model.
    ///
    /// If that plan is not known, it is added to the plans to be read, and the copy stays for now.
    fn can_unload(&mut self, need: Need, endpoint: &EndpointId, resident: &Resident) -> bool {
        let model = &resident.model;
        if !self.input.manifest.models.contains_key(model) {
            return true;
        }
        let others: IndexSet<&EndpointId> =
            self.engines_serving(model, None).filter(|other| *other != endpoint).collect();
        let initial_copies = self.input.initial_copies.get(model).copied().unwrap_or(0);
        let needed = self.replicas_needed(model);
        let required = match need {
            // The first copy of one model is worth more than the further copies of another.
            Need::NoCopy | Need::NewVersion => 1,
            Need::Demand | Need::Backup => initial_copies.max(needed.ceil() as usize).max(1),
        };
        if others.len() >= required {
            return true;
        }
        let home = crate::homes::home_zone(self.input.manifest, model);
        let Some(home) = home.filter(|home| *home != self.input.zone) else {
            return false;
        };
        // The last copy in a zone is not unloaded for demand of another model while it has demand itself.
        if need == Need::Demand && needed > 0.0 {
            return false;
        }
        if let Some(remote_models) = self.input.remote_models.get(home) {
            return remote_models.contains(model);
        }
        self.placement.needed_plans.insert(home.clone());
        false
    }

    /// Loads a needed copy on another engine, so that its memory can be used for a model that fits nowhere
    /// else.
    fn relocate(&mut self, id: &ModelId, spec: &'a ModelSpec) -> bool {
        let mut best: Option<(Bytes, &ModelId, EndpointId)> = None;
        for (endpoint, account) in self.engines_of(spec) {
            let available = self.available_memory(endpoint, id).unwrap_or_default();
            for resident in account.resident() {
                let Some((name, other)) = self.input.manifest.models.get_key_value(&resident.model) else {
                    continue;
                };
                let fits = available + resident.size >= spec.size && resident.version == other.version;
                let is_smaller = best.as_ref().is_none_or(|(size, ..)| resident.size < *size);
                if name == id || !fits || !is_smaller {
                    continue;
                }
                if let Some(target) = self.destination(name, other) {
                    best = Some((resident.size, name, target));
                }
            }
        }
        let Some((_, name, target)) = best else {
            return false;
        };
        let spec = &self.input.manifest.models[name];
        let action =
            Action::Load { model: name.clone(), version: spec.version.clone(), size: spec.size, base: None };
        self.push(target, action, &format!("moves, to make room for {id}"));
        true
    }
}
