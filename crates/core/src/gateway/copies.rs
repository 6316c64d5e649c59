use indexmap::IndexMap;

use crate::ModelId;

/// Part of the engines that is shared out by demand; the rest stays room for a change.
const SHARED_OUT: f64 = 0.9;

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
