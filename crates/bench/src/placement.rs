use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use carobwick_core::Action;
use carobwick_core::Availability;
use carobwick_core::Bytes;
use carobwick_core::Demand;
use carobwick_core::EndpointId;
use carobwick_core::EngineState;
use carobwick_core::EngineStatus;
use carobwick_core::Fence;
use carobwick_core::Ledger;
use carobwick_core::LoadLimiter;
use carobwick_core::Manifest;
use carobwick_core::ModelId;
use carobwick_core::PlacementInput;
use carobwick_core::Resident;
use carobwick_core::Role;
use carobwick_core::Time;
use carobwick_core::ZoneId;
use carobwick_core::max_adapter_loads;
use carobwick_core::place;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::Engine;

/// Time to load a model from the weight store at full speed.
const MODEL_LOAD_TIME: Duration = Duration::from_secs(4);

/// Rule by which models are placed on endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementRule {
    /// As many copies as fit, distributed by popularity and never moved.
    Spread,
    /// One copy of each model in its home zone, never moved.
    Once,
    /// Initially one copy of each model in its home zone; then the zone leaders place models by demand.
    Leaders,
}

/// Number of placement moves by kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Moves {
    /// Model loads.
    pub models: u64,
    /// Adapter loads.
    pub adapters: u64,
    /// Unloads of models and adapters.
    pub unloads: u64,
}

/// Endpoint, its zone, and the models and adapters resident on it.
pub(crate) type EndpointPlacement = (EndpointId, ZoneId, Vec<ModelId>);

/// Leader of one zone, which places models with the decision code of the planner.
#[derive(Debug)]
pub(crate) struct ZonePlacer {
    zone: ZoneId,
    pub demand: Demand,
    limiter: LoadLimiter,
    /// Model loads in progress, each with the time at which it completes.
    loading: Vec<(Time, EndpointId, ModelId)>,
}

impl ZonePlacer {
    pub fn new(manifest: &Manifest, zone: &ZoneId) -> Self {
        let limiter = LoadLimiter::new(manifest, Time::ZERO);
        Self { zone: zone.clone(), demand: Demand::default(), limiter, loading: Vec::new() }
    }

    /// Completes the model loads that are due, computes a placement, and starts its moves.
    ///
    /// Adapter loads and unloads take effect at once. Returns the number of moves started.
    pub fn step(
        &mut self,
        manifest: &Manifest,
        placements: &mut [EndpointPlacement],
        engines: &[Engine],
        now: Time,
    ) -> Moves {
        for (_, endpoint, model) in self.loading.extract_if(.., |(at, ..)| *at <= now) {
            resident_models_mut(placements, &endpoint).push(model);
        }
        let (ledger, statuses) = self.ledger_and_statuses(manifest, placements, engines, now);
        let mut remote_models: IndexMap<ZoneId, IndexSet<ModelId>> = IndexMap::new();
        for (_, zone, resident) in placements.iter().filter(|(_, zone, _)| *zone != self.zone) {
            remote_models.entry(zone.clone()).or_default().extend(resident.iter().cloned());
        }
        let running = self.loading.len() as u32;
        let load_allowed = self.limiter.allows(manifest, &self.zone, now, now.millis(), running);
        let input = PlacementInput {
            zone: &self.zone,
            manifest,
            ledger: &ledger,
            engines: &statuses,
            demand: &self.demand,
            remote_models: &remote_models,
            initial_copies: &IndexMap::new(),
            model_loads: u32::from(load_allowed),
            adapter_loads: max_adapter_loads(manifest),
            now,
        };
        let mut moves = Moves::default();
        for order in place(&input).moves {
            match order.action {
                Action::Load { model, base: None, .. } => {
                    moves.models += 1;
                    self.limiter.record_load(manifest, now);
                    self.loading.push((now + MODEL_LOAD_TIME, order.endpoint, model));
                }
                Action::Load { model, .. } => {
                    moves.adapters += 1;
                    resident_models_mut(placements, &order.endpoint).push(model);
                }
                Action::Unload { model, .. } => {
                    moves.unloads += 1;
                    resident_models_mut(placements, &order.endpoint).retain(|other| *other != model);
                }
                Action::Role { .. } | Action::Noop => {}
            }
        }
        moves
    }

    /// Returns the ledger and the status of the engines in this zone, as a leader would know them.
    fn ledger_and_statuses(
        &self,
        manifest: &Manifest,
        placements: &[EndpointPlacement],
        engines: &[Engine],
        now: Time,
    ) -> (Ledger, IndexMap<EndpointId, EngineStatus>) {
        let (mut ledger, mut statuses) = (Ledger::default(), IndexMap::new());
        let in_zone = placements.iter().zip(engines).filter(|((_, zone, _), _)| *zone == self.zone);
        for ((id, _, resident), engine) in in_zone {
            let service = manifest.models[0].service.clone();
            let memory = manifest.services[&service].memory;
            let loading: Vec<Resident> = self
                .loading
                .iter()
                .filter(|(_, endpoint, _)| endpoint == id)
                .map(|(.., model)| resident_from_manifest(manifest, model))
                .collect();
            let accepts_orders = engine.is_up() && loading.is_empty();
            let state = EngineState {
                incarnation: engine.incarnation(),
                fence: Fence(1),
                memory,
                resident: resident.iter().map(|model| resident_from_manifest(manifest, model)).collect(),
                loading,
                running: engine.load().running,
                queued: engine.load().queued,
                role: Role::Mixed,
                results: Vec::new(),
            };
            ledger.get_or_insert(id, memory, true).observe(&state, now, now.millis());
            let availability = if engine.is_up() { Availability::Ready } else { Availability::Down };
            statuses.insert(id.clone(), EngineStatus { service, availability, fresh: true, accepts_orders });
        }
        (ledger, statuses)
    }
}

/// Returns the resident record of a model or adapter, with version and size from the manifest.
///
/// Panics if the manifest does not declare it.
pub(crate) fn resident_from_manifest(manifest: &Manifest, id: &ModelId) -> Resident {
    let model = manifest.models.get(id).map(|spec| (spec.version.clone(), spec.size));
    let adapter = manifest.adapters.get(id).map(|spec| (spec.version.clone(), spec.size));
    let (version, size) =
        model.or(adapter).unwrap_or_else(|| panic!("`{id}` is placed but not in the manifest"));
    Resident { model: id.clone(), version, size: Bytes(size.0) }
}

/// Returns the models and adapters resident on an endpoint; panics if the endpoint is unknown.
fn resident_models_mut<'a>(
    placements: &'a mut [EndpointPlacement],
    endpoint: &EndpointId,
) -> &'a mut Vec<ModelId> {
    let found = placements.iter_mut().find(|(id, ..)| id == endpoint);
    &mut found.unwrap_or_else(|| panic!("`{endpoint}` is not an endpoint of the deployment")).2
}

impl std::ops::AddAssign for Moves {
    fn add_assign(&mut self, rhs: Self) {
        self.models += rhs.models;
        self.adapters += rhs.adapters;
        self.unloads += rhs.unloads;
    }
}

impl fmt::Display for PlacementRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Spread => "spread",
            Self::Once => "once",
            Self::Leaders => "leaders",
        })
    }
}

impl FromStr for PlacementRule {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        match text {
            "spread" => Ok(Self::Spread),
            "once" => Ok(Self::Once),
            "leaders" => Ok(Self::Leaders),
            _ => Err(anyhow::anyhow!("`{text}` is none of spread, once, leaders")),
        }
    }
}
