use std::f64::consts::LN_2;
use std::time::Duration;

use carobwick_derive::data;
use indexmap::IndexMap;

use crate::ModelId;
use crate::ServiceId;
use crate::Time;
use crate::gateway::Weights;

/// Half-life of the estimate that follows a rise.
const RISE: Duration = Duration::from_millis(1_500);
/// Half-life of the estimate that follows a fall; a pause of some seconds between requests is no fall.
const FALL: Duration = Duration::from_secs(6);

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

/// Demand for one model with all its adapters, in work per second.
///
/// A model takes a copy of another one by its estimate and loses one by its bound, so that a few requests more or less
/// move nothing.
#[data]
#[derive(Copy, Default)]
pub struct ModelDemand {
    /// The estimate.
    pub rate: f64,
    /// The estimate and one standard deviation of the number of recent requests, or what it was some seconds ago.
    pub upper_bound: f64,
    /// When the model was asked for last.
    pub last_request: Option<Time>,
}

/// Demand for models and adapters, with an exponential decay.
#[derive(Debug, Default)]
pub struct DemandTable {
    rows: IndexMap<(ServiceId, Weights), Row>,
    first: Option<Time>,
}

#[derive(Debug, Clone, Copy)]
struct Row {
    recent: Decayed,
    earlier: Decayed,
    at: Time,
    last: Time,
}

/// Requests and work that lose their weight with time.
#[derive(Debug, Clone, Copy, Default)]
struct Decayed {
    requests: f64,
    work: f64,
}

impl Decayed {
    fn after(self, age: Duration, half: Duration) -> Self {
        let factor = 0.5_f64.powf(age.as_secs_f64() / half.as_secs_f64());
        Self { requests: self.requests * factor, work: self.work * factor }
    }

    fn plus(self, other: Self) -> Self {
        Self { requests: self.requests + other.requests, work: self.work + other.work }
    }

    /// Returns the work per second of which this is what remains.
    fn rate(self, half: Duration) -> f64 {
        self.work * LN_2 / half.as_secs_f64()
    }
}

impl Row {
    fn new(now: Time) -> Self {
        Self { recent: Decayed::default(), earlier: Decayed::default(), at: now, last: now }
    }

    fn recent(&self, now: Time) -> Decayed {
        self.recent.after(now - self.at, RISE)
    }

    fn earlier(&self, now: Time) -> Decayed {
        self.earlier.after(now - self.at, FALL)
    }
}

impl DemandTable {
    /// Adds a sample.
    pub fn add(&mut self, sample: &DemandSample, now: Time) {
        self.first.get_or_insert(now);
        let key = (sample.service.clone(), sample.weights.clone());
        let row = self.rows.entry(key).or_insert_with(|| Row::new(now));
        let new = Decayed { requests: f64::from(sample.requests), work: sample.work as f64 };
        *row = Row {
            recent: row.recent(now).plus(new),
            earlier: row.earlier(now).plus(new),
            at: now,
            last: now,
        };
    }

    /// Notes that a request waits for a model or adapter, before its instance reports it.
    pub fn note_waiting(&mut self, service: &ServiceId, weights: &Weights, now: Time) {
        let key = (service.clone(), weights.clone());
        self.rows.entry(key).or_insert_with(|| Row::new(now)).last = now;
    }

    /// Returns the demand for the models of a service that were asked for.
    pub fn models(&self, service: &ServiceId, now: Time) -> IndexMap<ModelId, ModelDemand> {
        let mut sums: IndexMap<&ModelId, (Decayed, Decayed, Time)> = IndexMap::new();
        for ((of, weights), row) in &self.rows {
            if of == service {
                let sum =
                    sums.entry(&weights.model).or_insert((Decayed::default(), Decayed::default(), row.last));
                sum.0 = sum.0.plus(row.recent(now));
                sum.1 = sum.1.plus(row.earlier(now));
                sum.2 = sum.2.max(row.last);
            }
        }
        let demand = sums
            .into_iter()
            .map(|(model, (recent, earlier, last))| (model.clone(), ModelDemand::new(recent, earlier, last)));
        demand.collect()
    }

    /// Returns when a model or adapter was asked for last.
    pub fn last_request(&self, service: &ServiceId, weights: &Weights) -> Option<Time> {
        self.rows.get(&(service.clone(), weights.clone())).map(|row| row.last)
    }

    /// Returns when the first requests were reported.
    pub fn first_report(&self) -> Option<Time> {
        self.first
    }
}

impl ModelDemand {
    fn new(recent: Decayed, earlier: Decayed, last: Time) -> Self {
        let rate = recent.rate(RISE);
        let spread = if recent.requests > 0.0 { recent.requests.sqrt().recip() } else { 0.0 };
        Self { rate, upper_bound: (rate * (1.0 + spread)).max(earlier.rate(FALL)), last_request: Some(last) }
    }
}
