use std::time::Duration;

use carobwick_derive::data;
use indexmap::IndexMap;

use crate::ServiceId;
use crate::Time;
use crate::gateway::Weights;

/// Half-life of the demand estimate; demand for a model moves within a few seconds.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Requests for a model or adapter since the last report.
#[data]
pub struct DemandSample {
    /// The service that runs it.
    pub service: ServiceId,
    /// What the requests need.
    pub weights: Weights,
    /// Number of requests.
    pub requests: u32,
    /// Their work in tokens of prefill.
    pub work: u64,
}

/// Demand for models and adapters, with an exponential decay.
#[derive(Debug, Default)]
pub struct DemandTable {
    rows: IndexMap<(ServiceId, Weights), Row>,
}

#[derive(Debug, Clone, Copy)]
struct Row {
    work: f64,
    at: Time,
    last: Time,
}

impl Row {
    fn decayed(&self, now: Time) -> f64 {
        let age = (now - self.at).as_secs_f64();
        self.work * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

impl DemandTable {
    /// Adds a sample.
    pub fn add(&mut self, sample: &DemandSample, now: Time) {
        let key = (sample.service.clone(), sample.weights.clone());
        let row = self.rows.entry(key).or_insert(Row { work: 0.0, at: now, last: now });
        *row = Row { work: row.decayed(now) + sample.work as f64, at: now, last: now };
    }

    /// Notes that a request waits for a model or adapter, before its instance reports it.
    pub fn touch(&mut self, service: &ServiceId, weights: &Weights, now: Time) {
        let key = (service.clone(), weights.clone());
        let row = self.rows.entry(key).or_insert(Row { work: 0.0, at: now, last: now });
        row.last = now;
    }

    /// Returns the recent work for a model with all its adapters.
    pub fn model(&self, service: &ServiceId, model: &crate::ModelId, now: Time) -> f64 {
        let rows = self.rows.iter().filter(|((of, weights), _)| of == service && weights.model == *model);
        rows.map(|(_, row)| row.decayed(now)).sum()
    }

    /// Returns when a model or adapter was asked for last.
    pub fn last(&self, service: &ServiceId, weights: &Weights) -> Option<Time> {
        self.rows.get(&(service.clone(), weights.clone())).map(|row| row.last)
    }
}
