use std::f64::consts::LN_2;
use std::time::Duration;

use carobwick_derive::data;
use indexmap::IndexMap;

use crate::ModelId;
use crate::ServiceId;
use crate::Time;
use crate::gateway::Weights;

/// Half-life of the short-term estimate, which follows a rise of demand.
const RISE_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Half-life of the long-term estimate, which follows a fall of demand; a pause of some seconds between
/// requests is not a fall.
const FALL_HALF_LIFE: Duration = Duration::from_secs(6);

/// Requests for a model or adapter since the last report.
#[data]
pub struct DemandSample {
    /// The service that runs it.
    pub service: ServiceId,
    /// Model and adapter that the requests need.
    pub weights: Weights,
    /// Number of requests.
    pub requests: u32,
    /// Work of the requests, in prefill tokens.
    pub work: u64,
}

/// Demand for one model with all its adapters, in prefill tokens per second.
///
/// The estimate decides whether a model replaces a copy of another one, and the upper bound whether it loses
/// a copy. This hysteresis keeps a few requests more or less from moving copies.
#[data]
#[derive(Copy, Default)]
pub struct ModelDemand {
    /// The short-term estimate.
    pub rate: f64,
    /// The larger of the long-term estimate and the short-term one plus one standard deviation, which follows
    /// from the number of recent requests.
    pub upper_bound: f64,
    /// Time of the last request for the model.
    pub last_request: Option<Time>,
}

/// Demand for models and adapters, with exponential decay.
#[derive(Debug, Default)]
pub struct DemandTable {
    rows: IndexMap<(ServiceId, Weights), Row>,
    first: Option<Time>,
}

#[derive(Debug, Clone, Copy)]
struct Row {
    short_term: DecayedSum,
    long_term: DecayedSum,
    updated: Time,
    last_request: Time,
}

/// Sums of requests and work that decay exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct DecayedSum {
    requests: f64,
    work: f64,
}

impl DecayedSum {
    fn decayed(self, age: Duration, half_life: Duration) -> Self {
        let factor = 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64());
        Self { requests: self.requests * factor, work: self.work * factor }
    }

    fn plus(self, other: Self) -> Self {
        Self { requests: self.requests + other.requests, work: self.work + other.work }
    }

    /// Returns the steady rate of work per second that would keep the sum at its value.
    fn rate(self, half_life: Duration) -> f64 {
        self.work * LN_2 / half_life.as_secs_f64()
    }
}

impl Row {
    fn new(now: Time) -> Self {
        Self {
            short_term: DecayedSum::default(),
            long_term: DecayedSum::default(),
            updated: now,
            last_request: now,
        }
    }

    fn short_term(&self, now: Time) -> DecayedSum {
        self.short_term.decayed(now - self.updated, RISE_HALF_LIFE)
    }

    fn long_term(&self, now: Time) -> DecayedSum {
        self.long_term.decayed(now - self.updated, FALL_HALF_LIFE)
    }
}

impl DemandTable {
    /// Adds a sample that an instance reported.
    pub fn add(&mut self, sample: &DemandSample, now: Time) {
        self.first.get_or_insert(now);
        let key = (sample.service.clone(), sample.weights.clone());
        let row = self.rows.entry(key).or_insert_with(|| Row::new(now));
        let added = DecayedSum { requests: f64::from(sample.requests), work: sample.work as f64 };
        *row = Row {
            short_term: row.short_term(now).plus(added),
            long_term: row.long_term(now).plus(added),
            updated: now,
            last_request: now,
        };
    }

    /// Records that a request waits for a model or adapter, before its instance reports it.
    pub fn record_waiting(&mut self, service: &ServiceId, weights: &Weights, now: Time) {
        let key = (service.clone(), weights.clone());
        self.rows.entry(key).or_insert_with(|| Row::new(now)).last_request = now;
    }

    /// Returns the demand for each model of a service that was requested.
    pub fn models(&self, service: &ServiceId, now: Time) -> IndexMap<ModelId, ModelDemand> {
        let mut sums: IndexMap<&ModelId, (DecayedSum, DecayedSum, Time)> = IndexMap::new();
        for ((row_service, weights), row) in &self.rows {
            if row_service == service {
                let sum = sums.entry(&weights.model).or_insert((
                    DecayedSum::default(),
                    DecayedSum::default(),
                    row.last_request,
                ));
                sum.0 = sum.0.plus(row.short_term(now));
                sum.1 = sum.1.plus(row.long_term(now));
                sum.2 = sum.2.max(row.last_request);
            }
        }
        let demand = sums.into_iter().map(|(model, (short_term, long_term, last_request))| {
            (model.clone(), ModelDemand::new(short_term, long_term, last_request))
        });
        demand.collect()
    }

    /// Returns the time of the last request for a model or adapter.
    pub fn last_request(&self, service: &ServiceId, weights: &Weights) -> Option<Time> {
        self.rows.get(&(service.clone(), weights.clone())).map(|row| row.last_request)
    }

    /// Returns the time at which the first requests were reported.
    pub fn first_report(&self) -> Option<Time> {
        self.first
    }
}

impl ModelDemand {
    fn new(short_term: DecayedSum, long_term: DecayedSum, last_request: Time) -> Self {
        let rate = short_term.rate(RISE_HALF_LIFE);
        let relative_error = if short_term.requests > 0.0 { short_term.requests.sqrt().recip() } else { 0.0 };
        Self {
            rate,
            upper_bound: (rate * (1.0 + relative_error)).max(long_term.rate(FALL_HALF_LIFE)),
            last_request: Some(last_request),
        }
    }
}
