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

/// A deployment of the size of a current one, with a fixed placement.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// What it serves.
    pub manifest: Arc<Manifest>,
    /// Endpoints with their zone and the models and adapters on them.
    pub endpoints: Vec<(EndpointId, ZoneId, Vec<ModelId>)>,
    /// How they came there.
    pub rule: PlacementRule,
    /// Entries of each zone.
    pub entries: usize,
    /// Speed of its endpoints.
    pub hardware: Hardware,
    /// Share of each model in the requests.
    pub popularity: Vec<(ModelId, f64)>,
}

struct Size {
    name: &'static str,
    zones: [&'static str; 3],
    replicas: usize,
    entries: usize,
    models: usize,
    adapters: usize,
    /// Models that fit on one endpoint.
    copies: usize,
    rate: f64,
    concurrent: u32,
    adapter_loads: u32,
    move_cost: f64,
}

const GIETIJZERHUIS: Size = Size {
    name: "gietijzerhuis",
    zones: ["fl-gent", "fl-brugge", "fl-kortrijk"],
    replicas: 12,
    entries: 2,
    models: 15,
    adapters: 75,
    copies: 5,
    rate: 1.5,
    concurrent: 2,
    adapter_loads: 16,
    move_cost: 20.0,
};

const QALAM: Size = Size {
    name: "qalam",
    zones: ["muscat-a", "muscat-b", "muscat-c"],
    replicas: 18,
    entries: 3,
    models: 35,
    adapters: 100,
    copies: 7,
    rate: 2.0,
    concurrent: 8,
    adapter_loads: 64,
    move_cost: 2.0,
};

const HARDWARE: Hardware = Hardware {
    slots: 16,
    fixed: 0.008,
    prefill: 0.000_125,
    gap: 0.010,
    slope: 0.001,
    cache: 60_000,
    adapter: 0.005,
};

impl Deployment {
    /// Builds both current deployments.
    ///
    /// # Errors
    ///
    /// Fails if a manifest is not valid.
    pub fn all(rule: PlacementRule) -> anyhow::Result<Vec<Self>> {
        [GIETIJZERHUIS, QALAM].iter().map(|size| Self::build(size, rule)).collect()
    }

    /// Returns the requests per second that fill all slots.
    pub fn capacity(&self, tokens: f64) -> f64 {
        let slots = self.hardware.slots as f64;
        let gap = self.hardware.gap + self.hardware.slope * slots;
        self.endpoints.len() as f64 * slots / (tokens * gap + self.hardware.fixed)
    }

    fn build(size: &Size, rule: PlacementRule) -> anyhow::Result<Self> {
        let models: Vec<ModelId> = (0..size.models)
            .map(|index| format!("model-{index:02}").parse().context("model id"))
            .collect::<anyhow::Result<_>>()?;
        let adapters: Vec<(ModelId, ModelId)> = (0..size.adapters)
            .map(|index| {
                let base = &models[index % models.len()];
                Ok((format!("{base}:{index:03}").parse()?, base.clone()))
            })
            .collect::<anyhow::Result<_>>()?;
        let manifest = Manifest::from_json(&manifest(size, &models, &adapters).to_string())?;
        let weights: Vec<f64> = (1..=models.len()).map(|rank| 1.0 / (rank as f64).powf(0.8)).collect();
        let total: f64 = weights.iter().sum();
        let popularity: Vec<(ModelId, f64)> =
            models.iter().cloned().zip(weights.iter().map(|weight| weight / total)).collect();
        let mut endpoints: Vec<(EndpointId, ZoneId, Vec<ModelId>)> = (0..size.replicas)
            .map(|index| Ok((format!("llm-{index:02}").parse()?, size.zones[index % 3].parse()?, Vec::new())))
            .collect::<anyhow::Result<_>>()?;
        match rule {
            PlacementRule::Spread => place(&mut endpoints, &popularity, size.copies),
            PlacementRule::Once | PlacementRule::Leaders => {
                place_once(&mut endpoints, &popularity, &manifest);
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
            rule,
            endpoints,
            entries: size.entries,
            hardware: HARDWARE,
            popularity,
        })
    }
}

/// Gives each model one copy, then the rest of the room to the model with the most requests per copy.
fn place(endpoints: &mut [(EndpointId, ZoneId, Vec<ModelId>)], popularity: &[(ModelId, f64)], room: usize) {
    let mut copies = vec![0_usize; popularity.len()];
    let mut work = vec![0.0_f64; endpoints.len()];
    for _ in 0..endpoints.len() * room {
        let share = |index: usize| popularity[index].1 / copies[index] as f64;
        let mut order: Vec<usize> = (0..popularity.len()).collect();
        order.sort_by(|a, b| share(*b).total_cmp(&share(*a)));
        let found = order.into_iter().find_map(|model| {
            let id = &popularity[model].0;
            let in_zone = |zone: &ZoneId| {
                endpoints.iter().filter(|(_, other, resident)| other == zone && resident.contains(id)).count()
            };
            let open = (0..endpoints.len())
                .filter(|index| endpoints[*index].2.len() < room && !endpoints[*index].2.contains(id));
            let best = open.min_by(|a, b| {
                let zones = in_zone(&endpoints[*a].1).cmp(&in_zone(&endpoints[*b].1));
                zones.then(work[*a].total_cmp(&work[*b]))
            });
            best.map(|endpoint| (model, endpoint))
        });
        let Some((model, endpoint)) = found else { break };
        copies[model] += 1;
        work[endpoint] += popularity[model].1 / copies[model] as f64;
        endpoints[endpoint].2.push(popularity[model].0.clone());
    }
}

/// Gives each model one copy in its home zone, on the endpoint with the least work.
fn place_once(
    endpoints: &mut [(EndpointId, ZoneId, Vec<ModelId>)],
    popularity: &[(ModelId, f64)],
    manifest: &Manifest,
) {
    let mut work = vec![0.0_f64; endpoints.len()];
    for (id, share) in popularity {
        let home = home_zone(manifest, id);
        let own = (0..endpoints.len()).filter(|index| Some(&endpoints[*index].1) == home);
        let Some(endpoint) = own.min_by(|a, b| work[*a].total_cmp(&work[*b])) else { continue };
        work[endpoint] += share;
        endpoints[endpoint].2.push(id.clone());
    }
}

fn manifest(size: &Size, models: &[ModelId], adapters: &[(ModelId, ModelId)]) -> Value {
    let model = |id: &ModelId| (id.to_string(), json!({"service": "llm", "version": "1", "size": 10_000}));
    let adapter = |(id, base): &(ModelId, ModelId)| {
        (id.to_string(), json!({"base": base, "version": "1", "size": 100}))
    };
    json!({
        "deployment": size.name,
        "objective": {"attainment": 1.0, "moves": size.move_cost},
        "store": {"rate": size.rate, "concurrent": size.concurrent},
        "adapter_loads": size.adapter_loads,
        "zones": size.zones,
        "services": {"llm": {
            "kind": "engine",
            "reports_load": true,
            "memory": 10_000 * size.copies + 10_000,
            "accelerators": 1,
            "slots": HARDWARE.slots,
        }},
        "models": models.iter().map(model).collect::<serde_json::Map<String, Value>>(),
        "adapters": adapters.iter().map(adapter).collect::<serde_json::Map<String, Value>>(),
    })
}
