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
use crate::homes::zone_order;

/// Utilization at which a replica counts as full, which leaves room for bursts.
const UTILIZATION: f64 = 0.7;

/// Time over which a move must gain more than it costs.
const GAIN_WINDOW: Duration = Duration::from_mins(5);

/// What a zone's leader knows when it decides what to load and unload.
#[derive(Debug, Clone, Copy)]
pub struct Scene<'a> {
    /// The zone.
    pub zone: &'a ZoneId,
    /// The manifest in force.
    pub manifest: &'a Manifest,
    /// Charged memory and open orders.
    pub ledger: &'a Ledger,
    /// Engines of the zone.
    pub engines: &'a IndexMap<EndpointId, EngineStanding>,
    /// Demand of the zone.
    pub demand: &'a Demand,
    /// What other zones hold by their plans, as far as these were read just now and follow the same manifest.
    pub held: &'a IndexMap<ZoneId, IndexSet<ModelId>>,
    /// Copies of each model when the leader took over, while its demand is still unknown.
    pub kept: &'a IndexMap<ModelId, usize>,
    /// Models that may be ordered now by the weight store's limits.
    pub model_loads: u32,
    /// Adapters that may be ordered now by the limit on loads in flight.
    pub adapter_loads: u32,
    /// The current time.
    pub now: Time,
}

/// What a leader can expect of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineStanding {
    /// Service of the engine.
    pub service: ServiceId,
    /// Whether its copies count.
    pub availability: Availability,
    /// Whether its state is recent enough to rely on for dropping copies elsewhere.
    pub fresh: bool,
    /// Whether it can be given an order now.
    pub takes_orders: bool,
}

/// Whether the copies on an engine count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It answers and takes work.
    Ready,
    /// It has not answered this leader yet; the plan's copies count, so that nothing is loaded twice.
    Unconfirmed,
    /// It takes no new work, so its copies have to be replaced.
    Drained,
    /// It does not answer.
    Down,
}

/// What to load and unload now.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Placement {
    /// Orders to give, at most one per engine.
    pub moves: Vec<Move>,
    /// What holds a change back, by model.
    pub blocked: IndexMap<ModelId, String>,
    /// Why each model is resident.
    pub reasons: IndexMap<ModelId, String>,
    /// Zones whose plan must be read before a copy can be dropped.
    pub questions: IndexSet<ZoneId>,
}

/// One order to give, with its reason.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// The engine.
    pub endpoint: EndpointId,
    /// What to order.
    pub action: Action,
    /// Why.
    pub reason: String,
}

/// Why a model needs another copy, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Need {
    /// The home zone has no copy.
    Reach,
    /// No copy has the declared version.
    Version,
    /// Demand exceeds what the copies can serve.
    Growth,
    /// A second zone can hold a copy.
    Backup,
}

/// Part of a zone in keeping a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Part {
    Home,
    Backup,
    /// It may hold a copy but does not need one.
    Spare,
    /// The manifest does not allow it.
    Outside,
}

/// Builds a [`Placement`] step by step.
#[derive(Debug)]
pub(crate) struct Placer<'a> {
    pub scene: Scene<'a>,
    pub decision: Placement,
    pub busy: IndexSet<EndpointId>,
    pub dropped: Vec<(EndpointId, ModelId, ModelVersion)>,
    copies: IndexMap<&'a ModelId, Vec<Copy<'a>>>,
    loads_by_model: IndexMap<&'a ModelId, f64>,
    loads_by_engine: IndexMap<&'a EndpointId, f64>,
    reserves: IndexMap<&'a ModelId, Bytes>,
    loads: u32,
}

/// A copy of a model or adapter that counts and stays.
#[derive(Debug)]
struct Copy<'a> {
    endpoint: &'a EndpointId,
    version: &'a ModelVersion,
    /// Whether it serves requests, by a recent state.
    serves: bool,
}

/// Decides what to load and unload now.
pub fn place(scene: &Scene<'_>) -> Placement {
    let busy = scene
        .engines
        .iter()
        .filter(|(id, engine)| !engine.takes_orders || !scene.ledger.get(id).is_some_and(Account::is_settled))
        .map(|(id, _)| id.clone())
        .collect();
    let mut placer = Placer {
        scene: *scene,
        decision: Placement::default(),
        busy,
        dropped: Vec::new(),
        copies: copies(scene),
        loads_by_model: loads_by_model(scene),
        loads_by_engine: IndexMap::new(),
        reserves: reserves(scene.manifest),
        loads: 0,
    };
    placer.loads_by_engine = placer.measure_engines();
    placer.run();
    placer.decision
}

impl<'a> Placer<'a> {
    fn run(&mut self) {
        let mut needs: Vec<(Need, &'a ModelId, &'a ModelSpec)> = Vec::new();
        for (id, spec) in &self.scene.manifest.models {
            self.explain(id, spec);
            if let Some(need) = self.need_of(id, spec) {
                needs.push((need, id, spec));
            }
        }
        // Large models go first, since they fit in the fewest places.
        needs.sort_by_key(|(need, _, spec)| (*need, std::cmp::Reverse((spec.priority, spec.size))));
        let urgent = needs.iter().any(|(need, ..)| *need < Need::Growth);
        for (need, id, spec) in needs {
            // Room in the zone is kept for models that must have it.
            if !(need == Need::Backup && urgent) {
                self.place(need, id, spec);
            }
        }
        self.unload_superfluous();
        let idle = self.decision.moves.is_empty() && self.decision.blocked.is_empty();
        let left = self.place_adapters();
        if idle {
            self.preload_adapters(left);
        }
    }

    fn need_of(&self, id: &ModelId, spec: &'a ModelSpec) -> Option<Need> {
        if spec.retiring {
            return None;
        }
        let part = self.part_of(id);
        let any = self.expected(id, None).count();
        let current = self.expected(id, Some(&spec.version)).count();
        match part {
            Part::Home if any == 0 => Some(Need::Reach),
            Part::Home if current == 0 => Some(Need::Version),
            Part::Backup if current == 0 => Some(Need::Backup),
            Part::Home | Part::Backup if self.gain(id, spec) > self.scene.manifest.objective.moves => {
                Some(Need::Growth)
            }
            _ => None,
        }
    }

    /// Returns what another copy would gain in the window, in the unit of the manifest's cost of a move.
    pub(crate) fn gain(&self, id: &ModelId, spec: &'a ModelSpec) -> f64 {
        let copies = self.expected(id, None).count();
        let hosts = self.expected(id, None).map(|endpoint| self.engine_load(endpoint));
        let load = hosts.fold(f64::INFINITY, f64::min);
        if copies == 0 || load <= 1.0 || self.is_loading(id) {
            return 0.0;
        }
        let share = self.model_load(id) / (copies + 1) as f64;
        let relief = self.engines_of(spec).any(|(endpoint, account)| {
            !account.has(id, &spec.version) && self.engine_load(endpoint) + share < load
        });
        if !relief {
            return 0.0;
        }
        let missed =
            self.scene.demand.arrival_rate(self.scene.manifest, id, self.scene.now) * (1.0 - 1.0 / load);
        missed * GAIN_WINDOW.as_secs_f64() * self.scene.manifest.objective.attainment
    }

    fn place(&mut self, need: Need, id: &'a ModelId, spec: &'a ModelSpec) {
        if self.loads >= self.scene.model_loads {
            self.block(id, "waits for the weight store's limit");
            return;
        }
        match self.destination(id, spec) {
            Some(endpoint) => self.load(need, id, spec, endpoint),
            None if need == Need::Backup => {}
            None if self.free_memory(need, id, spec) => self.block(id, "waits for room that is being made"),
            None => {
                let room = self.engines_of(spec).filter_map(|(endpoint, _)| self.room_on(endpoint, id));
                let room = room.max().unwrap_or_default();
                let text = format!("no engine has room: {} bytes needed, {room} free at most", spec.size);
                self.block(id, &text);
            }
        }
    }

    pub(crate) fn load(&mut self, need: Need, id: &ModelId, spec: &ModelSpec, endpoint: EndpointId) {
        let action =
            Action::Load { model: id.clone(), version: spec.version.clone(), size: spec.size, base: None };
        let reason = match need {
            Need::Reach => "home zone has no copy",
            Need::Version => "declared version has no copy",
            Need::Growth => "demand exceeds its copies",
            Need::Backup => "second zone has room",
        };
        self.loads += 1;
        self.push(endpoint, action, reason);
    }

    pub(crate) fn push(&mut self, endpoint: EndpointId, action: Action, reason: &str) {
        if let Action::Unload { model, version } = &action {
            self.dropped.push((endpoint.clone(), model.clone(), version.clone()));
        }
        self.busy.insert(endpoint.clone());
        self.decision.moves.push(Move { endpoint, action, reason: reason.to_owned() });
    }

    pub(crate) fn block(&mut self, id: &ModelId, text: &str) {
        self.decision.blocked.insert(id.clone(), text.to_owned());
    }

    /// Returns the best engine that has room for a model now.
    pub(crate) fn destination(&self, id: &ModelId, spec: &ModelSpec) -> Option<EndpointId> {
        let fits = self.engines_of(spec).filter(|(endpoint, account)| {
            !self.busy.contains(*endpoint)
                && !account.has(id, &spec.version)
                && self.room_on(endpoint, id).is_some_and(|room| room >= spec.size)
        });
        let best = fits.min_by(|(a, x), (b, y)| {
            let load = self.engine_load(a).total_cmp(&self.engine_load(b));
            load.then(y.free().cmp(&x.free()))
        });
        best.map(|(endpoint, _)| endpoint.clone())
    }

    /// Returns the room for a model on an engine, less what its bases keep for their largest adapter.
    pub(crate) fn room_on(&self, endpoint: &EndpointId, model: &ModelId) -> Option<Bytes> {
        let account = self.scene.ledger.get(endpoint)?;
        let mut adapters = Bytes(0);
        let mut bases = vec![model];
        for resident in account.held() {
            if self.scene.manifest.adapters.contains_key(&resident.model) {
                adapters = adapters + resident.size;
            } else {
                bases.push(&resident.model);
            }
        }
        let reserve =
            bases.iter().filter_map(|base| self.reserves.get(base).copied()).max().unwrap_or_default();
        // Resident adapters stand in the reserved room; idle ones are unloaded when another one needs it.
        let missing = reserve.0.saturating_sub(adapters.0);
        Some(Bytes(account.free().0.saturating_sub(missing)))
    }

    /// Returns engines of a model's service whose copies count and which take work.
    pub(crate) fn engines_of(
        &self,
        spec: &'a ModelSpec,
    ) -> impl Iterator<Item = (&'a EndpointId, &'a Account)> + use<'a> {
        let scene = self.scene;
        let ready = scene.engines.iter().filter(move |(_, engine)| {
            engine.service == spec.service && engine.availability == Availability::Ready
        });
        ready.filter_map(move |(id, _)| scene.ledger.get(id).map(|account| (id, account)))
    }

    /// Returns the engines that hold or will hold a model, in any version or the given one.
    pub(crate) fn expected<'b>(
        &'b self,
        id: &'b ModelId,
        version: Option<&'b ModelVersion>,
    ) -> impl Iterator<Item = &'a EndpointId> + 'b {
        self.copies_of(id, version).map(|copy| copy.endpoint)
    }

    /// Returns the engines on which a model serves requests and stays.
    pub(crate) fn serving<'b>(
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
    ) -> impl Iterator<Item = &'b Copy<'a>> + 'b {
        let copies = self.copies.get(id).into_iter().flatten();
        copies.filter(move |copy| {
            version.is_none_or(|wanted| wanted == copy.version)
                && !self.dropped.iter().any(|(e, m, v)| e == copy.endpoint && m == id && v == copy.version)
        })
    }

    pub(crate) fn part_of(&self, id: &ModelId) -> Part {
        let zones = zone_order(self.scene.manifest, id);
        match zones.iter().position(|zone| *zone == self.scene.zone) {
            Some(0) => Part::Home,
            Some(1) => Part::Backup,
            Some(_) => Part::Spare,
            None => Part::Outside,
        }
    }

    /// Returns how much of one replica's capacity a model needs.
    pub(crate) fn model_load(&self, id: &ModelId) -> f64 {
        self.loads_by_model.get(id).copied().unwrap_or(0.0)
    }

    /// Returns the expected load of an engine when the decision began, where 1 is a full one.
    pub(crate) fn engine_load(&self, endpoint: &EndpointId) -> f64 {
        self.loads_by_engine.get(endpoint).copied().unwrap_or(0.0)
    }

    fn measure_engines(&self) -> IndexMap<&'a EndpointId, f64> {
        let mut loads: IndexMap<&EndpointId, f64> = IndexMap::new();
        for (id, copies) in &self.copies {
            let load = self.model_load(id);
            let engines: IndexSet<&EndpointId> = copies.iter().map(|copy| copy.endpoint).collect();
            for endpoint in &engines {
                *loads.entry(endpoint).or_default() += load / engines.len() as f64;
            }
        }
        loads
    }

    fn is_loading(&self, id: &ModelId) -> bool {
        self.scene.ledger.accounts().any(|(_, account)| {
            account.models().any(|model| model == id)
                && !account.resident().iter().any(|resident| resident.model == *id)
        })
    }

    fn explain(&mut self, id: &ModelId, spec: &ModelSpec) {
        let copies = self.expected(id, None).count();
        if copies == 0 {
            return;
        }
        let reason = match self.part_of(id) {
            _ if spec.retiring => "retiring, kept until its room is needed",
            Part::Home => "home zone",
            Part::Backup => "second zone, has room",
            Part::Spare => "kept until its room is needed",
            Part::Outside => "kept until the home zone holds it",
        };
        self.decision.reasons.insert(id.clone(), reason.to_owned());
    }
}

fn copies<'a>(scene: &Scene<'a>) -> IndexMap<&'a ModelId, Vec<Copy<'a>>> {
    let mut copies: IndexMap<&ModelId, Vec<Copy<'a>>> = IndexMap::new();
    for (endpoint, engine) in scene.engines {
        let Some(account) = scene.ledger.get(endpoint) else {
            continue;
        };
        if matches!(engine.availability, Availability::Drained | Availability::Down) {
            continue;
        }
        for (model, version) in account.copies().filter(|(model, version)| !account.unloads(model, version)) {
            let resident = account.resident().iter().any(|r| r.model == *model && r.version == *version);
            let serves = resident && engine.availability == Availability::Ready && engine.fresh;
            let known = copies.entry(model).or_default();
            if !known.iter().any(|copy| copy.endpoint == endpoint && copy.version == version) {
                known.push(Copy { endpoint, version, serves });
            }
        }
    }
    copies
}

fn loads_by_model<'a>(scene: &Scene<'a>) -> IndexMap<&'a ModelId, f64> {
    let mut loads = IndexMap::new();
    let manifest = scene.manifest;
    for (id, spec) in &manifest.models {
        let slots = manifest.services.get(&spec.service).map_or(1, |service| service.slots);
        let busy = scene.demand.busy_slots(manifest, id, scene.now);
        loads.insert(id, busy / (f64::from(slots) * UTILIZATION));
    }
    for (id, spec) in &manifest.adapters {
        let Some((base, model)) = manifest.models.get_key_value(&spec.base) else {
            continue;
        };
        let slots = manifest.services.get(&model.service).map_or(1, |service| service.slots);
        let busy = scene.demand.busy_slots(manifest, id, scene.now);
        *loads.entry(base).or_default() += busy / (f64::from(slots) * UTILIZATION);
    }
    loads
}

fn reserves(manifest: &Manifest) -> IndexMap<&ModelId, Bytes> {
    let mut reserves: IndexMap<&ModelId, Bytes> = IndexMap::new();
    for spec in manifest.adapters.values() {
        let reserve = reserves.entry(&spec.base).or_default();
        *reserve = spec.size.max(*reserve);
    }
    reserves
}
