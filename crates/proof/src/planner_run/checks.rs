use std::collections::BTreeMap;

use carobwick_core::ModelId;
use carobwick_core::Resident;
use carobwick_core::home_zone;

use super::engine::Effect;
use super::engine::Phase;
use super::simulation::SECOND;
use super::simulation::Simulation;

/// Time within which a leader has detected a crash or drain, and its earlier orders have arrived.
///
/// A leader polls engines every second and relies on a state for 3 s; an order is in flight for at most 3 s.
const REACTION_TIME: u64 = 15 * SECOND;

/// State of the checks. Times are in microseconds.
#[derive(Debug, Default)]
pub(super) struct Checks {
    /// Time at which an engine with a copy of the model last crashed.
    pub last_crash: BTreeMap<ModelId, u64>,
    /// Time of the last change that can make a zone move its models.
    pub last_change: u64,
}

impl Simulation {
    /// Checks the effect of an order on an engine.
    pub(super) fn check_effect(&mut self, index: usize, effect: &Effect) {
        if let Some(resident) = &effect.unloaded {
            self.check_unload(index, resident);
        }
        if let Some(resident) = &effect.loaded {
            self.check_load(index, resident);
        }
    }

    /// Checks after the fault-free time that every declared model that is not retiring is served.
    pub(super) fn check_end(&mut self) {
        let record = self.record.clone();
        for (model, spec) in &record.manifest.models {
            if !spec.retiring && !self.is_served(model) {
                self.record_violation(&format!("{model} has no ready copy after the fault-free time"));
            }
        }
    }

    /// Crashes an engine, which loses its copies and restarts after `down`.
    pub(super) fn crash(&mut self, index: usize, incarnation: u64, down: u64) {
        let now = self.now;
        for copy in &self.engines[index].copies {
            self.checks.last_crash.insert(copy.resident.model.clone(), now);
        }
        self.checks.last_change = now + down;
        self.engines[index].restart(now, incarnation, down);
    }

    fn check_unload(&mut self, index: usize, resident: &Resident) {
        let model = &resident.model;
        let Some(spec) = self.record.manifest.models.get(model) else {
            return;
        };
        let recent = |at: Option<&u64>| at.is_some_and(|at| self.now < at + REACTION_TIME);
        if spec.retiring || self.is_served(model) || recent(self.checks.last_crash.get(model)) {
            return;
        }
        let id = self.engines[index].id.clone();
        self.record_violation(&format!("{id}: the last copy of {model} was unloaded"));
    }

    fn check_load(&mut self, index: usize, resident: &Resident) {
        let engine = &self.engines[index];
        let record = &self.record;
        let Some(spec) = record.manifest.models.get(&resident.model) else {
            return;
        };
        let quiet = self.now >= self.checks.last_change + REACTION_TIME;
        if !quiet || spec.version != resident.version {
            return;
        }
        // A needed copy moves only to free memory for a model that its home zone lacks.
        let model_missing = record.manifest.models.iter().any(|(id, spec)| {
            !spec.retiring
                && home_zone(&record.manifest, id) == Some(&engine.zone)
                && !self.engines.iter().any(|other| {
                    other.zone == engine.zone
                        && other.copies.iter().any(|copy| {
                            copy.phase == Phase::Ready
                                && copy.resident.model == *id
                                && copy.resident.version == spec.version
                        })
                })
        });
        let duplicate = self.engines.iter().find(|other| {
            other.zone == engine.zone
                && other.id != engine.id
                && other.drained_since.is_none()
                && other.up.is_ok_and(|since| since + REACTION_TIME < self.now || since == 0)
                && other
                    .copies
                    .iter()
                    .any(|copy| copy.resident == *resident && !matches!(copy.phase, Phase::Unloading(_)))
        });
        if let (false, Some(duplicate)) = (model_missing, duplicate) {
            let text =
                format!("{}: {} is loaded, although {} has a copy", engine.id, resident.model, duplicate.id);
            self.record_violation(&text);
        }
    }

    fn is_served(&self, model: &ModelId) -> bool {
        let counts = |drained: Option<u64>| drained.is_none_or(|since| self.now < since + REACTION_TIME);
        self.engines.iter().any(|engine| counts(engine.drained_since) && engine.serves(model))
    }
}
