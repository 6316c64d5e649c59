use std::collections::BTreeMap;

use carobwick_core::ModelId;
use carobwick_core::Resident;
use carobwick_core::home_zone;

use super::engine::Effect;
use super::engine::Phase;
use super::world::SECOND;
use super::world::World;

/// Time in which a leader is sure to have noticed a crash or drain, and its orders to have arrived.
///
/// It polls engines each second, relies on a state for 3 s, and an order is under way for 3 s at most.
const NOTICE: u64 = 15 * SECOND;

/// What the checks remember.
#[derive(Debug, Default)]
pub(super) struct Judge {
    /// When an engine that served a model crashed last.
    pub crashed: BTreeMap<ModelId, u64>,
    /// When something changed that can make a zone rearrange its models.
    pub disturbed: u64,
}

impl World {
    /// Checks what an order did to an engine.
    pub(super) fn judge_effect(&mut self, index: usize, effect: &Effect) {
        if let Some(resident) = &effect.unloaded {
            self.judge_unload(index, resident);
        }
        if let Some(resident) = &effect.loaded {
            self.judge_load(index, resident);
        }
    }

    /// Checks at the end of a quiet time that every declared model serves requests.
    pub(super) fn judge_end(&mut self) {
        let record = self.record.clone();
        for (model, spec) in &record.manifest.models {
            if !spec.retiring && !self.is_served(model) {
                self.violate(&format!("{model} has no copy after a quiet time"));
            }
        }
    }

    /// Forgets the copies of an engine that crashes.
    pub(super) fn crash(&mut self, index: usize, incarnation: u64, down: u64) {
        let now = self.now;
        for copy in &self.engines[index].copies {
            self.judge.crashed.insert(copy.resident.model.clone(), now);
        }
        self.judge.disturbed = now + down;
        self.engines[index].restart(now, incarnation, down);
    }

    fn judge_unload(&mut self, index: usize, resident: &Resident) {
        let model = &resident.model;
        let Some(spec) = self.record.manifest.models.get(model) else {
            return;
        };
        let recent = |at: Option<&u64>| at.is_some_and(|at| self.now < at + NOTICE);
        if spec.retiring || self.is_served(model) || recent(self.judge.crashed.get(model)) {
            return;
        }
        let id = self.engines[index].id.clone();
        self.violate(&format!("{id}: the last copy of {model} was unloaded"));
    }

    fn judge_load(&mut self, index: usize, resident: &Resident) {
        let engine = &self.engines[index];
        let record = &self.record;
        let Some(spec) = record.manifest.models.get(&resident.model) else {
            return;
        };
        let quiet = self.now >= self.judge.disturbed + NOTICE;
        if !quiet || spec.version != resident.version {
            return;
        }
        // A needed copy moves only to make room for a model that its home zone lacks.
        let lacking = record.manifest.models.iter().any(|(id, spec)| {
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
        let twin = self.engines.iter().find(|other| {
            other.zone == engine.zone
                && other.id != engine.id
                && other.drained.is_none()
                && other.up.is_ok_and(|since| since + NOTICE < self.now || since == 0)
                && other
                    .copies
                    .iter()
                    .any(|copy| copy.resident == *resident && !matches!(copy.phase, Phase::Unloading(_)))
        });
        if let (false, Some(twin)) = (lacking, twin) {
            let text = format!("{}: {} is loaded again, {} holds it", engine.id, resident.model, twin.id);
            self.violate(&text);
        }
    }

    fn is_served(&self, model: &ModelId) -> bool {
        let counts = |drained: Option<u64>| drained.is_none_or(|since| self.now < since + NOTICE);
        self.engines.iter().any(|engine| counts(engine.drained) && engine.serves(model))
    }
}
