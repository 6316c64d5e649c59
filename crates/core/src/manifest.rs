use carobwick_derive::data;
use carobwick_derive::key;
use indexmap::IndexMap;

use crate::Bytes;
use crate::Error;
use crate::Millis;
use crate::ModelId;
use crate::ModelVersion;
use crate::Priority;
use crate::Rate;
use crate::Result;
use crate::ServiceId;
use crate::ZoneId;

/// Configuration declared by operators: services, models, adapters and limits of the platform.
#[data]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Name of the deployment.
    pub deployment: String,
    /// Weights of the two objectives of placement.
    pub objective: Objective,
    /// Limits of the weight store, for the whole deployment.
    pub store: StoreLimits,
    /// Number of adapter loads in flight, over all endpoints, above which loads slow down.
    pub adapter_loads: u32,
    /// Availability zones of the deployment.
    pub zones: Vec<ZoneId>,
    /// Services by name.
    pub services: IndexMap<ServiceId, ServiceSpec>,
    /// Models by name.
    pub models: IndexMap<ModelId, ModelSpec>,
    /// Adapters by name.
    #[serde(default)]
    pub adapters: IndexMap<ModelId, AdapterSpec>,
}

/// Weights of attainment and moves in placement.
#[data]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Value of one request that meets its target.
    pub attainment: f64,
    /// Cost of one load, unload or role change, in requests that meet their target.
    pub moves: f64,
}

/// Limits of the weight store.
#[data]
#[serde(deny_unknown_fields)]
pub struct StoreLimits {
    /// Maximum number of loads per second.
    pub rate: Rate,
    /// Number of concurrent loads that run at full speed.
    pub concurrent: u32,
}

/// A set of endpoints of one kind.
#[data]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Whether the endpoints are model engines or plain replicas.
    pub kind: ServiceKind,
    /// Whether the engines refuse orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether responses carry load reports.
    #[serde(default)]
    pub reports_load: bool,
    /// Accelerator memory of one replica; zero for plain services.
    #[serde(default)]
    pub memory: Bytes,
    /// Accelerators of one replica; zero for plain services.
    #[serde(default)]
    pub accelerators: u32,
    /// Number of requests that one replica runs concurrently.
    pub slots: u32,
    /// Target for the time to a whole response of a plain service.
    #[serde(default = "default_target")]
    pub target: Millis,
    /// Rules by path; the one with the longest matching prefix applies.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// Kind of a service.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines, which load models and take orders.
    Engine,
    /// Replicas of a plain service, which take requests but no orders.
    Plain,
}

/// Rule for the requests of a plain service under a path.
#[data]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Prefix of the path, such as `/payments`.
    pub prefix: String,
    /// Whether a request is repeatable, so that it may run more than once.
    pub repeatable: bool,
}

/// A model, which must stay resident in its home zone.
#[data]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Service whose engines run the model.
    pub service: ServiceId,
    /// Version of the weights.
    pub version: ModelVersion,
    /// Accelerator memory of one copy.
    pub size: Bytes,
    /// Priority of requests for the model.
    #[serde(default)]
    pub priority: Priority,
    /// Zones that may hold the model; empty means all.
    #[serde(default)]
    pub zones: Vec<ZoneId>,
    /// Target for the time to the first token.
    #[serde(default = "default_first_token")]
    pub first_token: Millis,
    /// Target for the time between tokens.
    #[serde(default = "default_token_gap")]
    pub token_gap: Millis,
    /// Whether the model takes no new requests and may be removed by the next version.
    #[serde(default)]
    pub retiring: bool,
}

/// An adapter on a base model.
#[data]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// Model that the adapter extends.
    pub base: ModelId,
    /// Version of the weights.
    pub version: ModelVersion,
    /// Accelerator memory of one copy.
    pub size: Bytes,
    /// Priority of requests for the adapter.
    #[serde(default)]
    pub priority: Priority,
    /// Whether the adapter takes no new requests and may be removed by the next version.
    #[serde(default)]
    pub retiring: bool,
}

/// Model or adapter that the `model` field of a request names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Artifact<'a> {
    /// A model.
    Model(&'a ModelSpec),
    /// An adapter with its base model.
    Adapter(&'a AdapterSpec, &'a ModelSpec),
}

impl Manifest {
    /// Parses a manifest and checks it.
    ///
    /// # Errors
    ///
    /// Fails with the position of the first error if the text is not a manifest, or with the name of the
    /// wrong field if a value is out of range or refers to something that is not declared.
    pub fn from_json(text: &str) -> Result<Self> {
        let manifest: Self = serde_json::from_str(text)?;
        manifest.check()?;
        Ok(manifest)
    }

    /// Checks that every reference is declared and every value is in range.
    ///
    /// # Errors
    ///
    /// Fails with the name of the first wrong field.
    pub fn check(&self) -> Result<()> {
        self.check_limits()?;
        self.models.iter().try_for_each(|(id, spec)| self.check_model(id, spec))?;
        self.adapters.iter().try_for_each(|(id, spec)| self.check_adapter(id, spec))
    }

    /// Returns the model or adapter with a name, or `None` if it is not declared.
    pub fn find(&self, id: &ModelId) -> Option<Artifact<'_>> {
        if let Some(model) = self.models.get(id) {
            return Some(Artifact::Model(model));
        }
        let adapter = self.adapters.get(id)?;
        Some(Artifact::Adapter(adapter, self.models.get(&adapter.base)?))
    }

    /// Returns the zones that may hold a model.
    pub fn zones_of<'a>(&'a self, model: &'a ModelSpec) -> &'a [ZoneId] {
        if model.zones.is_empty() { &self.zones } else { &model.zones }
    }

    fn check_limits(&self) -> Result<()> {
        if self.zones.is_empty() {
            return Err(Error::data("zones: at least one availability zone is needed"));
        }
        if !(self.store.rate.0.is_finite() && self.store.rate.0 > 0.0) || self.store.concurrent == 0 {
            return Err(Error::data("store: rate and concurrent must be above zero"));
        }
        if self.adapter_loads == 0 {
            return Err(Error::data("adapter_loads: must be above zero"));
        }
        let weights = [self.objective.attainment, self.objective.moves];
        if weights.iter().any(|weight| !weight.is_finite() || *weight < 0.0) {
            return Err(Error::data("objective: weights must be finite and not negative"));
        }
        match self.services.iter().find(|(_, spec)| spec.slots == 0) {
            Some((id, _)) => Err(Error::data(format!("services.{id}.slots: must be above zero"))),
            None => Ok(()),
        }
    }

    fn check_model(&self, id: &ModelId, spec: &ModelSpec) -> Result<()> {
        let Some(service) = self.services.get(&spec.service) else {
            return Err(Error::data(format!("models.{id}.service: `{}` is not declared", spec.service)));
        };
        if service.kind != ServiceKind::Engine {
            return Err(Error::data(format!("models.{id}.service: `{}` has no engines", spec.service)));
        }
        if spec.size.0 == 0 || spec.size > service.memory {
            return Err(Error::data(format!("models.{id}.size: not in 1..={}", service.memory)));
        }
        match spec.zones.iter().find(|zone| !self.zones.contains(zone)) {
            Some(zone) => Err(Error::data(format!("models.{id}.zones: `{zone}` is not declared"))),
            None => Ok(()),
        }
    }

    fn check_adapter(&self, id: &ModelId, spec: &AdapterSpec) -> Result<()> {
        if self.models.contains_key(id) {
            return Err(Error::data(format!("adapters.{id}: a model has the same name")));
        }
        let Some(base) = self.models.get(&spec.base) else {
            return Err(Error::data(format!("adapters.{id}.base: `{}` is not declared", spec.base)));
        };
        let memory = self.services[&base.service].memory;
        if spec.size.0 == 0 || spec.size + base.size > memory {
            return Err(Error::data(format!("adapters.{id}.size: does not fit beside its base in {memory}")));
        }
        Ok(())
    }
}

fn default_target() -> Millis {
    Millis(1_000)
}

fn default_first_token() -> Millis {
    Millis(750)
}

fn default_token_gap() -> Millis {
    Millis(32)
}
