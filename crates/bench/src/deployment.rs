use std::sync::Arc;

use anyhow::Context;
use carobwick_core::EndpointId;
use carobwick_core::Manifest;
use carobwick_core::ModelId;
use carobwick_core::ZoneId;
use carobwick_core::home_zone;
use serde_json::Value;
use serde_json::json;

use crate::Hardware;
use crate::PlacementRule;

/// Deployment of the size of a current one, with its initial placement.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Manifest of the deployment.
    pub manifest: Arc<Manifest>,
    /// Endpoints, each with its zone and the models and adapters resident on it.
    pub endpoints: Vec<(EndpointId, ZoneId, Vec<ModelId>)>,
    /// Rule by which models are placed on the endpoints.
    pub placement_rule: PlacementRule,
    /// Number of entries in each zone.
    pub zone_entries: usize,
    /// Speed and capacity of each endpoint.
    pub hardware: Hardware,
    /// Fraction of the requests that each base model receives.
    pub popularity: Vec<(ModelId, f64)>,
}

/// Parameters from which a deployment is built.
struct DeploymentSize {
    name: &'static str,
    zones: [&'static str; 3],
    /// Number of endpoints.
    replicas: usize,
    /// Number of entries in each zone.
    zone_entries: usize,
    models: usize,
    adapters: usize,
    /// Number of models that fit on one endpoint.
    model_capacity: usize,
    /// Maximum number of model loads per second, for `store.rate` of the manifest.
    load_rate: f64,
    /// Number of model loads that run at full speed together, for `store.concurrent` of the manifest.
    concurrent_loads: u32,
    adapter_loads: u32,
    /// Cost of one move in requests that meet their target, for `objective.moves` of the manifest.
    move_cost: f64,
}

const GIETIJZERHUIS: DeploymentSize = DeploymentSize {
    name: "gietijzerhuis",
    zones: ["fl-gent", "fl-brugge", "fl-kortrijk"],
    replicas: 12,
    zone_entries: 2,
    models: 15,
    adapters: 75,
    model_capacity: 5,
    load_rate: 1.5,
    concurrent_loads: 2,
    adapter_loads: 16,
    move_cost: 20.0,
};

const QALAM: DeploymentSize = DeploymentSize {
    name: "qalam",
    zones: ["muscat-a", "muscat-b", "muscat-c"],
    replicas: 18,
    zone_entries: 3,
    models: 35,
    adapters: 100,
    model_capacity: 7,
    load_rate: 2.0,
    concurrent_loads: 8,
    adapter_loads: 64,
    move_cost: 2.0,
};

const HARDWARE: Hardware = Hardware {
    slots: 16,
    prefill_overhead: 0.008,
    prefill_time: 0.000_125,
    token_gap: 0.010,
    batch_slowdown: 0.001,
    cache_tokens: 60_000,
    adapter_load: 0.005,
};

impl Deployment {
    /// Builds all deployments, with models placed by the given rule.
    ///
    /// # Errors
    ///
    /// Fails if a model id, zone id or manifest is not valid.
    pub fn all(placement_rule: PlacementRule) -> anyhow::Result<Vec<Self>> {
        [GIETIJZERHUIS, QALAM].iter().map(|size| Self::build(size, placement_rule)).collect()
    }

    /// Returns the requests per second at which all slots are busy, for a mean number of generated tokens.
    pub fn capacity(&self, output_tokens: f64) -> f64 {
        let slots = self.hardware.slots as f64;
        let token_gap = self.hardware.token_gap + self.hardware.batch_slowdown * slots;
        self.endpoints.len() as f64 * slots / (output_tokens * token_gap + self.hardware.prefill_overhead)
    }

    fn build(size: &DeploymentSize, placement_rule: PlacementRule) -> anyhow::Result<Self> {
        let models: Vec<ModelId> = (0..size.models)
            .map(|index| format!("model-{index:02}").parse().context("model id"))
            .collect::<anyhow::Result<_>>()?;
        let adapters: Vec<(ModelId, ModelId)> = (0..size.adapters)
            .map(|index| {
                let base = &models[index % models.len()];
                Ok((format!("{base}:{index:03}").parse()?, base.clone()))
            })
            .collect::<anyhow::Result<_>>()?;
        let manifest = Manifest::from_json(&manifest_json(size, &models, &adapters).to_string())?;
        let zipf_weights: Vec<f64> = (1..=models.len()).map(|rank| 1.0 / (rank as f64).powf(0.8)).collect();
        let total_weight: f64 = zipf_weights.iter().sum();
        let popularity: Vec<(ModelId, f64)> =
            models.iter().cloned().zip(zipf_weights.iter().map(|weight| weight / total_weight)).collect();
        let mut endpoints: Vec<(EndpointId, ZoneId, Vec<ModelId>)> = (0..size.replicas)
            .map(|index| Ok((format!("llm-{index:02}").parse()?, size.zones[index % 3].parse()?, Vec::new())))
            .collect::<anyhow::Result<_>>()?;
        match placement_rule {
            PlacementRule::Spread => place_by_popularity(&mut endpoints, &popularity, size.model_capacity),
            PlacementRule::Once | PlacementRule::Leaders => {
                place_in_home_zone(&mut endpoints, &popularity, &manifest);
            }
        }
        for (id, base) in &adapters {
            for (.., resident) in endpoints.iter_mut().filter(|(.., resident)| resident.contains(base)) {
                resident.push(id.clone());
            }
        }
        Ok(Self {
            name: size.name,
            manifest: Arc::new(manifest),
            placement_rule,
            endpoints,
            zone_entries: size.zone_entries,
            hardware: HARDWARE,
            popularity,
        })
    }
}

/// Places one copy of each model, then fills the remaining capacity, at each step with a copy of the model
/// that has the most requests per copy.
///
/// A copy goes to the zone with the fewest copies of its model, and there to the endpoint with the smallest
/// share of the requests.
fn place_by_popularity(
    endpoints: &mut [(EndpointId, ZoneId, Vec<ModelId>)],
    popularity: &[(ModelId, f64)],
    model_capacity: usize,
) {
    let mut copies = vec![0_usize; popularity.len()];
    let mut assigned_share = vec![0.0_f64; endpoints.len()];
    for _ in 0..endpoints.len() * model_capacity {
        let share_per_copy = |index: usize| popularity[index].1 / copies[index] as f64;
        let mut by_share: Vec<usize> = (0..popularity.len()).collect();
        by_share.sort_by(|a, b| share_per_copy(*b).total_cmp(&share_per_copy(*a)));
        let choice = by_share.into_iter().find_map(|model| {
            let id = &popularity[model].0;
            let copies_in_zone = |zone: &ZoneId| {
                endpoints.iter().filter(|(_, other, resident)| other == zone && resident.contains(id)).count()
            };
            let candidates = (0..endpoints.len()).filter(|index| {
                endpoints[*index].2.len() < model_capacity && !endpoints[*index].2.contains(id)
            });
            let best = candidates.min_by(|a, b| {
                let by_zone_copies = copies_in_zone(&endpoints[*a].1).cmp(&copies_in_zone(&endpoints[*b].1));
                by_zone_copies.then(assigned_share[*a].total_cmp(&assigned_share[*b]))
            });
            best.map(|endpoint| (model, endpoint))
        });
        let Some((model, endpoint)) = choice else { break };
        copies[model] += 1;
        assigned_share[endpoint] += popularity[model].1 / copies[model] as f64;
        endpoints[endpoint].2.push(popularity[model].0.clone());
    }
}

/// Places one copy of each model in its home zone, on the endpoint with the smallest share of requests.
fn place_in_home_zone(
    endpoints: &mut [(EndpointId, ZoneId, Vec<ModelId>)],
    popularity: &[(ModelId, f64)],
    manifest: &Manifest,
) {
    let mut assigned_share = vec![0.0_f64; endpoints.len()];
    for (id, share) in popularity {
        let home = home_zone(manifest, id);
        let candidates = (0..endpoints.len()).filter(|index| Some(&endpoints[*index].1) == home);
        let Some(endpoint) = candidates.min_by(|a, b| assigned_share[*a].total_cmp(&assigned_share[*b]))
        else {
            continue;
        };
        assigned_share[endpoint] += share;
        endpoints[endpoint].2.push(id.clone());
    }
}

fn manifest_json(size: &DeploymentSize, models: &[ModelId], adapters: &[(ModelId, ModelId)]) -> Value {
    let model = |id: &ModelId| (id.to_string(), json!({"service": "llm", "version": "1", "size": 10_000}));
    let adapter = |(id, base): &(ModelId, ModelId)| {
        (id.to_string(), json!({"base": base, "version": "1", "size": 100}))
    };
    json!({
        "deployment": size.name,
        "objective": {"attainment": 1.0, "moves": size.move_cost},
        "store": {"rate": size.load_rate, "concurrent": size.concurrent_loads},
        "adapter_loads": size.adapter_loads,
        "zones": size.zones,
        "services": {"llm": {
            "kind": "engine",
            "reports_load": true,
            "memory": 10_000 * size.model_capacity + 10_000,
            "accelerators": 1,
            "slots": HARDWARE.slots,
        }},
        "models": models.iter().map(model).collect::<serde_json::Map<String, Value>>(),
        "adapters": adapters.iter().map(adapter).collect::<serde_json::Map<String, Value>>(),
    })
}
