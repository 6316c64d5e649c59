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
    /// Starts to make room for a model and returns whether there is a way.
    ///
    /// Copies that are not needed are unloaded first. If that is not enough, a needed copy is loaded on another
    /// engine, after which it is not needed where it is.
    pub(crate) fn free_memory(&mut self, need: Need, id: &'a ModelId, spec: &'a ModelSpec) -> bool {
        let mut engines = self.engines_of(spec);
        if engines
            .any(|(_, account)| account.open_orders().any(|order| !matches!(order.action, Action::Noop)))
        {
            // What is under way may make the room; a second way must not be started at the same time.
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

    /// Unloads what is not declared, superseded versions, and copies that the manifest does not allow here.
    pub(crate) fn unload_superfluous(&mut self) {
        let input = self.input;
        for (endpoint, account) in input.ledger.accounts() {
            if self.busy.contains(endpoint) {
                continue;
            }
            let found =
                account.resident().iter().find(|resident| self.is_superfluous(endpoint, account, resident));
            if let Some(resident) = found {
                let resident = self.first_to_leave(account, resident);
                let action =
                    Action::Unload { model: resident.model.clone(), version: resident.version.clone() };
                self.push(endpoint.clone(), action, "not declared here, or superseded");
            }
        }
    }

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
            return self.is_droppable(Need::NoCopy, endpoint, resident);
        }
        // In its home zone, the new version must serve before the old one goes.
        let replaced = self.engines_serving(&resident.model, Some(&spec.version)).next().is_some();
        spec.version != resident.version && (replaced || self.is_dispensable(endpoint, resident))
    }

    /// Returns whether a copy outside of its home zone can make way for a newer version.
    fn is_dispensable(&mut self, endpoint: &EndpointId, resident: &Resident) -> bool {
        self.zone_role(&resident.model) != ZoneRole::Home
            && self.is_droppable(Need::NoCopy, endpoint, resident)
    }

    /// Returns an adapter of the resident model, which must leave before its base, or the model itself.
    fn first_to_leave(&self, account: &Account, resident: &Resident) -> Resident {
        let adapters = &self.input.manifest.adapters;
        let twin = |r: &&Resident| r.model == resident.model && r.version != resident.version;
        if account.resident().iter().any(|r| twin(&r)) {
            return resident.clone();
        }
        let on_base = |r: &&Resident| adapters.get(&r.model).is_some_and(|spec| spec.base == resident.model);
        account.resident().iter().find(on_base).unwrap_or(resident).clone()
    }

    /// Returns the engine where the fewest unloads make room, and the first of them.
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
            let mut room = self.available_memory(endpoint, id).unwrap_or_default();
            let mut first = None;
            for (count, victim) in victims.iter().enumerate() {
                first = first.or(Some(victim));
                room = room + victim.size;
                if room >= spec.size {
                    let better = best.as_ref().is_none_or(|(fewest, ..)| count + 1 < *fewest);
                    if let (true, Some(first)) = (better, first) {
                        let first = self.first_to_leave(account, first);
                        best = Some((count + 1, endpoint.clone(), first));
                    }
                    break;
                }
            }
        }
        best.map(|(_, endpoint, victim)| (endpoint, victim))
    }

    /// Returns what can be unloaded from an engine, the least useful first.
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
            let class = match manifest.models.get(&resident.model) {
                _ if manifest.adapters.contains_key(&resident.model) => idle.then_some(3),
                None => Some(0),
                Some(spec) if !self.is_droppable(need, endpoint, resident) => {
                    // A copy of a retiring model takes no work.
                    spec.retiring.then_some(1)
                }
                Some(_) => Some(2),
            };
            victims.extend(class.map(|class| (class, resident.clone())));
        }
        victims.sort_by_key(|(class, resident)| (*class, std::cmp::Reverse(resident.size)));
        victims.into_iter().map(|(_, resident)| resident).collect()
    }

    /// Returns whether a copy of a declared model can go: others serve, or the home zone's plan holds it.
    fn is_droppable(&mut self, need: Need, endpoint: &EndpointId, resident: &Resident) -> bool {
        let model = &resident.model;
        if !self.input.manifest.models.contains_key(model) {
            return true;
        }
        let others: IndexSet<&EndpointId> =
            self.engines_serving(model, None).filter(|other| *other != endpoint).collect();
        let kept = self.input.initial_copies.get(model).copied().unwrap_or(0);
        let load = self.replicas_needed(model);
        let wanted = match need {
            // Reaching a model is worth more than another one's extra copies.
            Need::NoCopy | Need::NewVersion => 1,
            Need::Demand | Need::Backup => kept.max(load.ceil() as usize).max(1),
        };
        if others.len() >= wanted {
            return true;
        }
        let home = crate::homes::home_zone(self.input.manifest, model);
        let Some(home) = home.filter(|home| *home != self.input.zone) else {
            return false;
        };
        // For growth, the last copy of a zone is not given up either: it has demand of its own.
        if need == Need::Demand && load > 0.0 {
            return false;
        }
        if let Some(held) = self.input.remote_models.get(home) {
            return held.contains(model);
        }
        self.placement.needed_plans.insert(home.clone());
        false
    }

    /// Loads a needed copy elsewhere so that its place can be given to a model that fits only there.
    fn relocate(&mut self, id: &ModelId, spec: &'a ModelSpec) -> bool {
        let mut best: Option<(Bytes, &ModelId, EndpointId)> = None;
        for (endpoint, account) in self.engines_of(spec) {
            let room = self.available_memory(endpoint, id).unwrap_or_default();
            for resident in account.resident() {
                let Some((name, other)) = self.input.manifest.models.get_key_value(&resident.model) else {
                    continue;
                };
                let enough = room + resident.size >= spec.size && resident.version == other.version;
                let smaller = best.as_ref().is_none_or(|(size, ..)| resident.size < *size);
                if name == id || !enough || !smaller {
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
