use std::time::Duration;

use indexmap::IndexMap;

use crate::Artifact;
use crate::DemandReport;
use crate::InstanceId;
use crate::Manifest;
use crate::ModelDemand;
use crate::ModelId;
use crate::Time;

/// Half-life of an estimate that falls; a rise takes effect at once.
const HALF_LIFE: Duration = Duration::from_mins(5);

/// Time without a report after which an entry counts as stopped; reports arrive every 2 s.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(6);

/// Approximate time over which reports are averaged; tokens are counted when a response ends, so single
/// reports vary widely.
const SMOOTHING_SECONDS: f64 = 10.0;

/// Time after its last request for which a model or adapter counts as used.
const IDLE_TIME: Duration = Duration::from_mins(2);

/// Demand for the models of a zone, estimated from the reports of its entries.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    entries: IndexMap<InstanceId, EntryRates>,
    models: IndexMap<ModelId, DemandEstimate>,
}

#[derive(Debug, Clone)]
struct EntryRates {
    at: Time,
    models: IndexMap<ModelId, Rates>,
}

/// Requests and tokens per second.
#[derive(Debug, Clone, Copy, Default)]
struct Rates {
    arrivals: f64,
    tokens: f64,
}

#[derive(Debug, Clone, Copy)]
struct DemandEstimate {
    rates: Rates,
    at: Time,
    last_used: Time,
}

impl Demand {
    /// Adds the report of an entry.
    pub fn add_report(&mut self, now: Time, report: &DemandReport) {
        let seconds = report.interval_ms.max(1) as f64 / 1_000.0;
        let share = (seconds / SMOOTHING_SECONDS).min(1.0);
        let entry = self.entries.entry(report.instance.clone());
        let entry = entry.or_insert_with(|| EntryRates { at: now, models: IndexMap::new() });
        entry.at = now;
        for rates in entry.models.values_mut() {
            rates.arrivals *= 1.0 - share;
            rates.tokens *= 1.0 - share;
        }
        for (model, demand) in &report.models {
            let rates = entry.models.entry(model.clone()).or_default();
            rates.arrivals += share * f64::from(demand.arrivals) / seconds;
            rates.tokens += share * tokens_without_refusals(demand) / seconds;
        }
        entry.models.retain(|_, rates| rates.arrivals > 1e-6 || rates.tokens > 1e-6);
        self.entries.retain(|_, entry| now - entry.at < ENTRY_TIMEOUT);
        self.update(now, report);
    }

    /// Returns how many slots the requests for a model or adapter occupy if they just meet their latency
    /// targets.
    pub fn busy_slots(&self, manifest: &Manifest, id: &ModelId, now: Time) -> f64 {
        let Some(Artifact::Model(spec) | Artifact::Adapter(_, spec)) = manifest.find(id) else {
            return 0.0;
        };
        let rates = self.rates(id, now);
        let gap = spec.token_gap.duration().as_secs_f64();
        rates.arrivals * spec.first_token.duration().as_secs_f64() + rates.tokens * gap
    }

    /// Returns the requests per second for a model and its adapters.
    pub fn arrival_rate(&self, manifest: &Manifest, model: &ModelId, now: Time) -> f64 {
        let adapters = manifest.adapters.iter().filter(|(_, spec)| spec.base == *model).map(|(id, _)| id);
        std::iter::once(model).chain(adapters).map(|id| self.rates(id, now).arrivals).sum()
    }

    /// Returns the time of the last request for a model or adapter, or `None` if it counts as idle.
    pub fn last_used(&self, model: &ModelId, now: Time) -> Option<Time> {
        self.models
            .get(model)
            .map(|estimate| estimate.last_used)
            .filter(|last_used| now - *last_used < IDLE_TIME)
    }

    fn update(&mut self, now: Time, report: &DemandReport) {
        let names: Vec<ModelId> =
            self.entries.values().flat_map(|entry| entry.models.keys().cloned()).collect();
        for model in names {
            let measured = self.entries.values().filter_map(|entry| entry.models.get(&model));
            let measured = measured.fold(Rates::default(), |sum, rates| Rates {
                arrivals: sum.arrivals + rates.arrivals,
                tokens: sum.tokens + rates.tokens,
            });
            let decayed = self.rates(&model, now);
            let rates = Rates {
                arrivals: measured.arrivals.max(decayed.arrivals),
                tokens: measured.tokens.max(decayed.tokens),
            };
            let was_requested = report.models.get(&model).is_some_and(|demand| demand.arrivals > 0);
            let last_used = self.models.get(&model).map_or(Time::ZERO, |estimate| estimate.last_used);
            self.models.insert(
                model,
                DemandEstimate { rates, at: now, last_used: if was_requested { now } else { last_used } },
            );
        }
        self.models.retain(|_, estimate| now - estimate.at < HALF_LIFE * 10);
    }

    fn rates(&self, model: &ModelId, now: Time) -> Rates {
        let Some(estimate) = self.models.get(model) else {
            return Rates::default();
        };
        let age = (now - estimate.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(age);
        Rates { arrivals: estimate.rates.arrivals * factor, tokens: estimate.rates.tokens * factor }
    }
}

/// Returns the tokens that would have been generated if no request had been refused.
fn tokens_without_refusals(demand: &ModelDemand) -> f64 {
    let served = demand.arrivals.saturating_sub(demand.refusals).max(1);
    demand.tokens.0 as f64 * f64::from(demand.arrivals.max(1)) / f64::from(served)
}
