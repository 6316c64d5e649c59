use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use carobwick_core::ModelDemand;
use carobwick_core::ModelId;
use carobwick_core::Tokens;
use indexmap::IndexMap;

/// Demand for each model since the last report to the zone's leader.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    models: Mutex<IndexMap<ModelId, ModelDemand>>,
}

impl Demand {
    pub fn record_arrival(&self, model: &ModelId) {
        self.update(model, |demand| demand.arrivals += 1);
    }

    pub fn record_refusal(&self, model: &ModelId) {
        self.update(model, |demand| demand.refusals += 1);
    }

    /// Counts a delivered response, its tokens and whether it met its target latency.
    pub fn record_response(&self, model: &ModelId, attained: bool, tokens: u64) {
        self.update(model, |demand| {
            demand.attained += u32::from(attained);
            demand.tokens = Tokens(demand.tokens.0 + tokens);
        });
    }

    /// Returns the counts and resets them.
    pub fn take(&self) -> IndexMap<ModelId, ModelDemand> {
        std::mem::take(&mut self.lock())
    }

    /// Adds back counts that could not be reported.
    pub fn restore(&self, models: IndexMap<ModelId, ModelDemand>) {
        for (model, unreported) in models {
            self.update(&model, |demand| {
                demand.arrivals += unreported.arrivals;
                demand.refusals += unreported.refusals;
                demand.attained += unreported.attained;
                demand.tokens = Tokens(demand.tokens.0 + unreported.tokens.0);
            });
        }
    }

    fn update(&self, model: &ModelId, f: impl FnOnce(&mut ModelDemand)) {
        let mut models = self.lock();
        match models.get_mut(model) {
            Some(demand) => f(demand),
            None => f(models.entry(model.clone()).or_default()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<ModelId, ModelDemand>> {
        self.models.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
