use indexmap::IndexMap;

use crate::ModelId;

/// Copies per engine that are shared out by demand; above one, engines hold several busy models, which evens out bursts.
const SHARED_OUT: f64 = 1.4;

/// Returns how many engines should hold each model: in proportion to its demand, and one at least.
pub fn wanted_copies(demand: &IndexMap<ModelId, f64>, engines: usize) -> IndexMap<ModelId, usize> {
    let total: f64 = demand.values().sum();
    let share = |work: f64| {
        if total <= 0.0 {
            return 1;
        }
        let copies = (work / total * engines as f64 * SHARED_OUT).round() as usize;
        copies.clamp(1, engines.max(1))
    };
    demand.iter().map(|(model, work)| (model.clone(), share(*work))).collect()
}
