use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::Account;
use crate::Action;
use crate::Bytes;
use crate::Demand;
use crate::EndpointId;
use crate::Ledger;
use crate::Manifest;
use crate::ModelId;
use crate::ModelSpec;
use crate::ModelVersion;
use crate::ServiceId;
use crate::Time;
use crate::ZoneId;
use crate::homes::candidate_zones;

/// Utilization at which a replica counts as full, which leaves capacity for bursts.
const TARGET_UTILIZATION: f64 = 0.7;

/// Time within which the gain of a move must exceed its cost.
const GAIN_WINDOW: Duration = Duration::from_mins(5);

/// Input of [`place`]: the state of a zone as its leader knows it.
#[derive(Debug, Clone, Copy)]
pub struct PlacementInput<'a> {
    /// The zone.
    pub zone: &'a ZoneId,
    /// The manifest in force.
    pub manifest: &'a Manifest,
    /// Charged memory and open orders.
    pub ledger: &'a Ledger,
    /// Engines of the zone.
    pub engines: &'a IndexMap<EndpointId, EngineStatus>,
    /// Demand of the zone.
    pub demand: &'a Demand,
    /// Models that other zones hold, from those of their plans that were read recently and have the same
    /// manifest version.
    pub remote_models: &'a IndexMap<ZoneId, IndexSet<ModelId>>,
    /// Copies of each model when the leader took over; empty once demand is known.
    pub initial_copies: &'a IndexMap<ModelId, usize>,
    /// Model loads that may be ordered now under the limits of the weight store.
    pub model_loads: u32,
    /// Adapter loads that may be ordered now under the limit on loads in flight.
    pub adapter_loads: u32,
    /// The current time.
    pub now: Time,
}

/// Status of an engine, as input of [`place`].
#[derive(Debug, Clone, PartialEq)]
pub struct EngineStatus {
    /// Service of the engine.
    pub service: ServiceId,
    /// Whether its copies count.
    pub availability: Availability,
    /// Whether its state is recent enough to justify unloading copies elsewhere.
    pub fresh: bool,
    /// Whether it can be given an order now.
    pub accepts_orders: bool,
}

/// Whether the copies on an engine count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It responds and takes work.
    Ready,
    /// It has not responded to this leader yet; the copies in the plan count, so that nothing is loaded
    /// twice.
    Unconfirmed,
    /// It takes no new work, so its copies have to be replaced.
    Drained,
    /// It does not respond.
    Down,
}

/// Result of [`place`]: what to load and unload now.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Placement {
    /// Moves to order, at most one per engine.
    pub moves: Vec<Move>,
    /// Why a change can't be made yet, by model.
    pub blocked: IndexMap<ModelId, String>,
    /// Why each model is resident.
    pub reasons: IndexMap<ModelId, String>,
    /// Zones whose plan must be read before a copy can be unloaded.
    pub needed_plans: IndexSet<ZoneId>,
}

/// A load or unload on one engine, with its reason.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// The engine.
    pub endpoint: EndpointId,
    /// Action to order.
    pub action: Action,
    /// Reason for the timeline.
    pub reason: String,
}

/// Reason why a model needs another copy, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Need {
    /// The home zone has no copy.
    NoCopy,
    /// No copy has the declared version.
    NewVersion,
    /// Demand exceeds what the copies can serve.
    Demand,
    /// The second zone has no current copy.
    Backup,
}

/// Role of a zone for a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ZoneRole {
    /// First candidate zone, which always holds a copy.
    Home,
    /// Second candidate zone, which holds a copy if there is free memory.
    Backup,
    /// Any other candidate zone; it may hold a copy but does not need one.
    Optional,
    /// The manifest does not allow the model in this zone.
    Excluded,
}

/// Builds a [`Placement`] step by step.
#[derive(Debug)]
pub(crate) struct Placer<'a> {
    pub input: PlacementInput<'a>,
    pub placement: Placement,
    /// Engines that can't be given a move now.
    pub busy: IndexSet<EndpointId>,
    /// Copies that this placement unloads.
    pub unloads: Vec<(EndpointId, ModelId, ModelVersion)>,
    copies: IndexMap<&'a ModelId, Vec<ModelCopy<'a>>>,
    /// Replicas that each model needs at [`TARGET_UTILIZATION`].
    replicas_needed: IndexMap<&'a ModelId, f64>,
    utilization: IndexMap<&'a EndpointId, f64>,
    adapter_reserves: IndexMap<&'a ModelId, Bytes>,
    ordered_loads: u32,
}

/// A copy of a model or adapter on an available engine that is not being unloaded.
#[derive(Debug)]
struct ModelCopy<'a> {
    endpoint: &'a EndpointId,
    version: &'a ModelVersion,
    /// Whether it serves requests according to a recent state.
    serves: bool,
}

/// Returns what to load and unload now.
pub fn place(input: &PlacementInput<'_>) -> Placement {
    let busy = input
        .engines
        .iter()
        .filter(|(id, engine)| {
            !engine.accepts_orders || !input.ledger.get(id).is_some_and(Account::is_settled)
        })
        .map(|(id, _)| id.clone())
        .collect();
    let mut placer = Placer {
        input: *input,
        placement: Placement::default(),
        busy,
        unloads: Vec::new(),
        copies: copies(input),
        replicas_needed: replicas_needed(input),
        utilization: IndexMap::new(),
        adapter_reserves: adapter_reserves(input.manifest),
        ordered_loads: 0,
    };
    placer.utilization = placer.utilization_by_engine();
    placer.run();
    placer.placement
}

impl<'a> Placer<'a> {
    fn run(&mut self) {
        let mut needs: Vec<(Need, &'a ModelId, &'a ModelSpec)> = Vec::new();
        for (id, spec) in &self.input.manifest.models {
            self.explain(id, spec);
            if let Some(need) = self.need_for(id, spec) {
                needs.push((need, id, spec));
            }
        }
        // Of equal priority, large models go first, since they fit on the fewest engines.
        needs.sort_by_key(|(need, _, spec)| (*need, std::cmp::Reverse((spec.priority, spec.size))));
        let urgent = needs.iter().any(|(need, ..)| *need < Need::Demand);
        for (need, id, spec) in needs {
            // While a model lacks a required copy, free memory is not spent on backups.
            if !(need == Need::Backup && urgent) {
                self.place(need, id, spec);
            }
        }
        self.unload_superfluous();
        let idle = self.placement.moves.is_empty() && self.placement.blocked.is_empty();
        let remaining = self.place_adapters();
        if idle {
            self.preload_adapters(remaining);
        }
    }

    fn need_for(&self, id: &ModelId, spec: &'a ModelSpec) -> Option<Need> {
        if spec.retiring {
            return None;
        }
        let role = self.zone_role(id);
        let copies = self.engines_with(id, None).count();
        let current_copies = self.engines_with(id, Some(&spec.version)).count();
        match role {
            ZoneRole::Home if copies == 0 => Some(Need::NoCopy),
            ZoneRole::Home if current_copies == 0 => Some(Need::NewVersion),
            ZoneRole::Backup if current_copies == 0 => Some(Need::Backup),
            ZoneRole::Home | ZoneRole::Backup
                if self.expected_gain(id, spec) > self.input.manifest.objective.moves =>
            {
                Some(Need::Demand)
            }
            _ => None,
        }
    }

    /// Returns the expected gain of another copy within [`GAIN_WINDOW`].
    ///
    /// The unit is that of the cost of a move in the manifest: requests that meet their target, weighted.
    pub(crate) fn expected_gain(&self, id: &ModelId, spec: &'a ModelSpec) -> f64 {
        let copies = self.engines_with(id, None).count();
        let utilizations = self.engines_with(id, None).map(|endpoint| self.engine_utilization(endpoint));
        let lowest = utilizations.fold(f64::INFINITY, f64::min);
        if copies == 0 || lowest <= 1.0 || self.is_loading(id) {
            return 0.0;
        }
        let share = self.replicas_needed(id) / (copies + 1) as f64;
        let has_relief = self.engines_of(spec).any(|(endpoint, account)| {
            !account.has_copy(id, &spec.version) && self.engine_utilization(endpoint) + share < lowest
        });
        if !has_relief {
            return 0.0;
        }
        let missed =
            self.input.demand.arrival_rate(self.input.manifest, id, self.input.now) * (1.0 - 1.0 / lowest);
        missed * GAIN_WINDOW.as_secs_f64() * self.input.manifest.objective.attainment
    }

    fn place(&mut self, need: Need, id: &'a ModelId, spec: &'a ModelSpec) {
        if self.ordered_loads >= self.input.model_loads {
            self.block(id, "waits for the weight store's limit");
            return;
        }
        match self.destination(id, spec) {
            Some(endpoint) => self.load(need, id, spec, endpoint),
            None if need == Need::Backup => {}
            None if self.free_memory(need, id, spec) => self.block(id, "waits for room that is being made"),
            None => {
                let available =
                    self.engines_of(spec).filter_map(|(endpoint, _)| self.available_memory(endpoint, id));
                let available = available.max().unwrap_or_default();
                let text =
                    format!("no engine has room: {} bytes needed, {available} free at most", spec.size);
                self.block(id, &text);
            }
        }
    }

    pub(crate) fn load(&mut self, need: Need, id: &ModelId, spec: &ModelSpec, endpoint: EndpointId) {
        let action =
            Action::Load { model: id.clone(), version: spec.version.clone(), size: spec.size, base: None };
        let reason = match need {
            Need::NoCopy => "home zone has no copy",
            Need::NewVersion => "declared version has no copy",
            Need::Demand => "demand exceeds its copies",
            Need::Backup => "second zone has room",
        };
        self.ordered_loads += 1;
        self.push(endpoint, action, reason);
    }

    pub(crate) fn push(&mut self, endpoint: EndpointId, action: Action, reason: &str) {
        if let Action::Unload { model, version } = &action {
            self.unloads.push((endpoint.clone(), model.clone(), version.clone()));
        }
        self.busy.insert(endpoint.clone());
        self.placement.moves.push(Move { endpoint, action, reason: reason.to_owned() });
    }

    pub(crate) fn block(&mut self, id: &ModelId, text: &str) {
        self.placement.blocked.insert(id.clone(), text.to_owned());
    }

    /// Returns the least loaded engine that has enough free memory for a model now.
    pub(crate) fn destination(&self, id: &ModelId, spec: &ModelSpec) -> Option<EndpointId> {
        let fits = self.engines_of(spec).filter(|(endpoint, account)| {
            !self.busy.contains(*endpoint)
                && !account.has_copy(id, &spec.version)
                && self.available_memory(endpoint, id).is_some_and(|available| available >= spec.size)
        });
        let best = fits.min_by(|(a, x), (b, y)| {
            let load = self.engine_utilization(a).total_cmp(&self.engine_utilization(b));
            load.then(y.free().cmp(&x.free()))
        });
        best.map(|(endpoint, _)| endpoint.clone())
    }

    /// Returns the free memory for a model on an engine, less the reserve for the largest adapter of its base
    /// models.
    ///
    /// Returns `None` if the engine has no account.
    pub(crate) fn available_memory(&self, endpoint: &EndpointId, model: &ModelId) -> Option<Bytes> {
        let account = self.input.ledger.get(endpoint)?;
        let mut adapters = Bytes(0);
        let mut bases = vec![model];
        for resident in account.in_memory() {
            if self.input.manifest.adapters.contains_key(&resident.model) {
                adapters = adapters + resident.size;
            } else {
                bases.push(&resident.model);
            }
        }
        let reserve = bases
            .iter()
            .filter_map(|base| self.adapter_reserves.get(base).copied())
            .max()
            .unwrap_or_default();
        // Resident adapters use the reserve; idle ones are unloaded when another adapter needs the memory.
        let missing = reserve.0.saturating_sub(adapters.0);
        Some(Bytes(account.free().0.saturating_sub(missing)))
    }

    /// Returns the engines of a model's service that are ready for work.
    pub(crate) fn engines_of(
        &self,
        spec: &'a ModelSpec,
    ) -> impl Iterator<Item = (&'a EndpointId, &'a Account)> + use<'a> {
        let input = self.input;
        let ready = input.engines.iter().filter(move |(_, engine)| {
            engine.service == spec.service && engine.availability == Availability::Ready
        });
        ready.filter_map(move |(id, _)| input.ledger.get(id).map(|account| (id, account)))
    }

    /// Returns the engines that hold or will hold a model, in any version or the given one.
    pub(crate) fn engines_with<'b>(
        &'b self,
        id: &'b ModelId,
        version: Option<&'b ModelVersion>,
    ) -> impl Iterator<Item = &'a EndpointId> + 'b {
        self.copies_of(id, version).map(|copy| copy.endpoint)
    }

    /// Returns the engines on which a model serves requests and is not being unloaded.
    pub(crate) fn engines_serving<'b>(
        &'b self,
        id: &'b ModelId,
        version: Option<&'b ModelVersion>,
    ) -> impl Iterator<Item = &'a EndpointId> + 'b {
        self.copies_of(id, version).filter(|copy| copy.serves).map(|copy| copy.endpoint)
    }

    fn copies_of<'b>(
        &'b self,
        id: &'b ModelId,
        version: Option<&'b ModelVersion>,
    ) -> impl Iterator<Item = &'b ModelCopy<'a>> + 'b {
        let copies = self.copies.get(id).into_iter().flatten();
        copies.filter(move |copy| {
            version.is_none_or(|wanted| wanted == copy.version)
                && !self.unloads.iter().any(|(e, m, v)| e == copy.endpoint && m == id && v == copy.version)
        })
    }

    pub(crate) fn zone_role(&self, id: &ModelId) -> ZoneRole {
        let zones = candidate_zones(self.input.manifest, id);
        match zones.iter().position(|zone| *zone == self.input.zone) {
            Some(0) => ZoneRole::Home,
            Some(1) => ZoneRole::Backup,
            Some(_) => ZoneRole::Optional,
            None => ZoneRole::Excluded,
        }
    }

    /// Returns how many replicas a model needs at [`TARGET_UTILIZATION`], where 0.5 is half of one.
    pub(crate) fn replicas_needed(&self, id: &ModelId) -> f64 {
        self.replicas_needed.get(id).copied().unwrap_or(0.0)
    }

    /// Returns the expected utilization of an engine before any new move, where 1 is a full engine.
    pub(crate) fn engine_utilization(&self, endpoint: &EndpointId) -> f64 {
        self.utilization.get(endpoint).copied().unwrap_or(0.0)
    }

    fn utilization_by_engine(&self) -> IndexMap<&'a EndpointId, f64> {
        let mut utilization: IndexMap<&EndpointId, f64> = IndexMap::new();
        for (id, copies) in &self.copies {
            let replicas = self.replicas_needed(id);
            let engines: IndexSet<&EndpointId> = copies.iter().map(|copy| copy.endpoint).collect();
            for endpoint in &engines {
                *utilization.entry(endpoint).or_default() += replicas / engines.len() as f64;
            }
        }
        utilization
    }

    fn is_loading(&self, id: &ModelId) -> bool {
        self.input.ledger.accounts().any(|(_, account)| {
            account.models().any(|model| model == id)
                && !account.resident().iter().any(|resident| resident.model == *id)
        })
    }

    fn explain(&mut self, id: &ModelId, spec: &ModelSpec) {
        let copies = self.engines_with(id, None).count();
        if copies == 0 {
            return;
        }
        let reason = match self.zone_role(id) {
            _ if spec.retiring => "retiring, kept until its room is needed",
            ZoneRole::Home => "home zone",
            ZoneRole::Backup => "second zone, has room",
            ZoneRole::Optional => "kept until its room is needed",
            ZoneRole::Excluded => "kept until the home zone holds it",
        };
        self.placement.reasons.insert(id.clone(), reason.to_owned());
    }
}

fn copies<'a>(input: &PlacementInput<'a>) -> IndexMap<&'a ModelId, Vec<ModelCopy<'a>>> {
    let mut copies: IndexMap<&ModelId, Vec<ModelCopy<'a>>> = IndexMap::new();
    for (endpoint, engine) in input.engines {
        let Some(account) = input.ledger.get(endpoint) else {
            continue;
        };
        if matches!(engine.availability, Availability::Drained | Availability::Down) {
            continue;
        }
        for (model, version) in
            account.copies().filter(|(model, version)| !account.is_unloading(model, version))
        {
            let resident = account.resident().iter().any(|r| r.model == *model && r.version == *version);
            let serves = resident && engine.availability == Availability::Ready && engine.fresh;
            let known = copies.entry(model).or_default();
            if !known.iter().any(|copy| copy.endpoint == endpoint && copy.version == version) {
                known.push(ModelCopy { endpoint, version, serves });
            }
        }
    }
    copies
}

fn replicas_needed<'a>(input: &PlacementInput<'a>) -> IndexMap<&'a ModelId, f64> {
    let mut replicas = IndexMap::new();
    let manifest = input.manifest;
    for (id, spec) in &manifest.models {
        let slots = manifest.services.get(&spec.service).map_or(1, |service| service.slots);
        let busy = input.demand.busy_slots(manifest, id, input.now);
        replicas.insert(id, busy / (f64::from(slots) * TARGET_UTILIZATION));
    }
    for (id, spec) in &manifest.adapters {
        let Some((base, model)) = manifest.models.get_key_value(&spec.base) else {
            continue;
        };
        let slots = manifest.services.get(&model.service).map_or(1, |service| service.slots);
        let busy = input.demand.busy_slots(manifest, id, input.now);
        *replicas.entry(base).or_default() += busy / (f64::from(slots) * TARGET_UTILIZATION);
    }
    replicas
}

fn adapter_reserves(manifest: &Manifest) -> IndexMap<&ModelId, Bytes> {
    let mut adapter_reserves: IndexMap<&ModelId, Bytes> = IndexMap::new();
    for spec in manifest.adapters.values() {
        let reserve = adapter_reserves.entry(&spec.base).or_default();
        *reserve = spec.size.max(*reserve);
    }
    adapter_reserves
}
