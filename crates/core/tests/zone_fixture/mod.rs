//! A simulated zone whose engines carry out each order at once.

use std::time::Duration;

use carobwick_core::Action;
use carobwick_core::Availability;
use carobwick_core::Bytes;
use carobwick_core::Demand;
use carobwick_core::DemandReport;
use carobwick_core::EndpointId;
use carobwick_core::EngineState;
use carobwick_core::EngineStatus;
use carobwick_core::Fence;
use carobwick_core::Incarnation;
use carobwick_core::Ledger;
use carobwick_core::Manifest;
use carobwick_core::ModelDemand;
use carobwick_core::ModelId;
use carobwick_core::ModelVersion;
use carobwick_core::Order;
use carobwick_core::OrderId;
use carobwick_core::Placement;
use carobwick_core::PlacementInput;
use carobwick_core::Resident;
use carobwick_core::Role;
use carobwick_core::Time;
use carobwick_core::Tokens;
use carobwick_core::ZoneId;
use carobwick_core::place;
use indexmap::IndexMap;
use indexmap::IndexSet;
use serde_json::json;

/// Number of rounds after which a zone that still changes fails the test.
const MAX_ROUNDS: usize = 300;

pub struct Zone {
    pub manifest: Manifest,
    pub remote_models: IndexMap<ZoneId, IndexSet<ModelId>>,
    pub last: Placement,
    pub loads: usize,
    pub unloads: usize,
    pub log: Vec<Action>,
    name: ZoneId,
    ledger: Ledger,
    engines: IndexMap<EndpointId, EngineStatus>,
    demand: Demand,
    now: Time,
    fence: Fence,
}

/// Returns a manifest of one zone with engines of 100 bytes.
pub fn manifest(models: &[(&str, u64)]) -> Manifest {
    let models: serde_json::Map<_, _> = models
        .iter()
        .map(|(id, size)| ((*id).to_owned(), json!({"service": "llm", "version": "1", "size": size})))
        .collect();
    let manifest = json!({
        "deployment": "test",
        "objective": {"attainment": 1.0, "moves": 1.0},
        "store": {"rate": 10.0, "concurrent": 4},
        "adapter_loads": 4,
        "zones": ["a"],
        "services": {"llm": {"kind": "engine", "memory": 100, "slots": 8}},
        "models": models,
    });
    Manifest::from_json(&manifest.to_string()).unwrap()
}

impl Zone {
    pub fn new(manifest: &Manifest, name: &ZoneId, engines: usize) -> Self {
        let (service, spec) = manifest.services.iter().find(|(_, spec)| spec.memory > Bytes(0)).unwrap();
        let mut zone = Self {
            manifest: manifest.clone(),
            remote_models: IndexMap::new(),
            last: Placement::default(),
            loads: 0,
            unloads: 0,
            log: Vec::new(),
            name: name.clone(),
            ledger: Ledger::default(),
            engines: IndexMap::new(),
            demand: Demand::default(),
            now: Time(1_000_000),
            fence: Fence::first(1),
        };
        for index in 0..engines {
            let id: EndpointId = format!("{name}-{index}").parse().unwrap();
            zone.ledger.get_or_insert(&id, spec.memory, true);
            let status = EngineStatus {
                service: service.clone(),
                availability: Availability::Ready,
                fresh: true,
                accepts_orders: true,
            };
            zone.engines.insert(id, status);
        }
        zone
    }

    /// Runs rounds until one makes no moves.
    pub fn run_until_stable(&mut self) {
        for _ in 0..MAX_ROUNDS {
            if !self.round() {
                return;
            }
        }
        panic!("the zone still changes: {:?}", self.last);
    }

    /// Decides on moves and carries them out once; returns whether there were any.
    pub fn round(&mut self) -> bool {
        let input = PlacementInput {
            zone: &self.name,
            manifest: &self.manifest,
            ledger: &self.ledger,
            engines: &self.engines,
            demand: &self.demand,
            remote_models: &self.remote_models,
            initial_copies: &IndexMap::new(),
            model_loads: 1,
            adapter_loads: 4,
            now: self.now,
        };
        self.last = place(&input);
        for step in self.last.moves.clone() {
            self.log.push(step.action.clone());
            self.carry_out(&step.endpoint, step.action);
        }
        !self.last.moves.is_empty()
    }

    /// Reports demand for one model over 10 s.
    pub fn demand(&mut self, model: &str, arrivals: u32, tokens: u64) {
        let demand = ModelDemand { arrivals, tokens: Tokens(tokens), ..ModelDemand::default() };
        let models = [(model.parse().unwrap(), demand)].into();
        let report = DemandReport { instance: "i".parse().unwrap(), interval_ms: 10_000, models };
        self.demand.add_report(self.now, &report);
    }

    pub fn advance(&mut self, seconds: u64) {
        self.now = self.now + Duration::from_secs(seconds);
    }

    pub fn copies(&self, model: &ModelId) -> usize {
        self.versions(model).len()
    }

    pub fn versions(&self, model: &ModelId) -> Vec<ModelVersion> {
        let resident = self.ledger.accounts().flat_map(|(_, account)| account.resident());
        resident.filter(|r| r.model == *model).map(|r| r.version.clone()).collect()
    }

    pub fn engine_of(&self, model: &ModelId) -> EndpointId {
        let mut accounts = self.ledger.accounts();
        let holds = |resident: &[Resident]| resident.iter().any(|r| r.model == *model);
        accounts.find(|(_, account)| holds(account.resident())).unwrap().0.clone()
    }

    /// Restarts an engine without copies and returns how many it had.
    pub fn restart(&mut self, endpoint: &EndpointId) -> usize {
        let lost = self.ledger.get(endpoint).unwrap().resident().len();
        self.observe(endpoint, Vec::new(), Incarnation(2));
        lost
    }

    fn carry_out(&mut self, endpoint: &EndpointId, action: Action) {
        self.fence = self.fence.next();
        let expires_ms = self.now.millis() + 1_000;
        let order =
            Order { id: OrderId(self.fence.0), fence: self.fence, expires_ms, action: action.clone() };
        let account = self.ledger.get_mut(endpoint).unwrap();
        account.add_order(order);
        let mut resident = account.resident().to_vec();
        match action {
            Action::Load { model, version, size, .. } => {
                self.loads += 1;
                resident.push(Resident { model, version, size });
            }
            Action::Unload { model, version } => {
                self.unloads += 1;
                resident.retain(|r| r.model != model || r.version != version);
            }
            Action::Role { .. } | Action::Noop => {}
        }
        let incarnation = account.incarnation().unwrap_or(Incarnation(1));
        self.observe(endpoint, resident, incarnation);
    }

    fn observe(&mut self, endpoint: &EndpointId, resident: Vec<Resident>, incarnation: Incarnation) {
        // The state is requested 10 s later by the wall clock, when no earlier order can arrive any more.
        self.now = self.now + Duration::from_millis(10);
        let account = self.ledger.get_mut(endpoint).unwrap();
        let state = EngineState {
            incarnation,
            fence: self.fence,
            memory: account.memory(),
            resident,
            loading: Vec::new(),
            running: 0,
            queued: 0,
            role: Role::Mixed,
            results: Vec::new(),
        };
        account.observe(&state, self.now, self.now.millis() + 10_000);
        assert!(account.charged() <= account.memory());
    }
}
