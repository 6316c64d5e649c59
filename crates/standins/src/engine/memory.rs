use carobwick_core::Bytes;
use carobwick_core::ModelId;
use carobwick_core::ModelVersion;
use carobwick_core::Resident;

/// Accelerator memory with its copies of models and adapters.
#[derive(Debug)]
pub(super) struct Memory {
    size: Bytes,
    copies: Vec<ModelCopy>,
}

#[derive(Debug)]
struct ModelCopy {
    resident: Resident,
    base: Option<ModelId>,
    state: CopyState,
}

/// State of one copy in memory.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum CopyState {
    Loading,
    Ready,
    Unloading,
}

/// Result of starting a load.
#[derive(Debug, PartialEq)]
pub(super) enum LoadResult {
    Started,
    Loading,
    Resident,
    /// The same version is being unloaded.
    Unloading,
    BaseMissing,
    OutOfMemory,
}

/// Result of starting an unload.
#[derive(Debug, PartialEq)]
pub(super) enum UnloadResult {
    Started,
    NotResident,
    InUseAsBase,
}

impl Memory {
    pub(super) fn new(size: Bytes) -> Self {
        Self { size, copies: Vec::new() }
    }

    /// Reserves memory for a copy; the caller must end the load with [`Self::finish_load`] or
    /// [`Self::remove`].
    pub(super) fn start_load(&mut self, resident: Resident, base: Option<ModelId>) -> LoadResult {
        match self.state(&resident.model, &resident.version) {
            Some(CopyState::Loading) => return LoadResult::Loading,
            Some(CopyState::Ready) => return LoadResult::Resident,
            Some(CopyState::Unloading) => return LoadResult::Unloading,
            None => {}
        }
        if base.as_ref().is_some_and(|base| self.serving_version(base).is_none()) {
            return LoadResult::BaseMissing;
        }
        if self.used() + resident.size > self.size {
            return LoadResult::OutOfMemory;
        }
        self.copies.push(ModelCopy { resident, base, state: CopyState::Loading });
        LoadResult::Started
    }

    /// Marks a copy as ready and returns whether it was still loading.
    pub(super) fn finish_load(&mut self, model: &ModelId, version: &ModelVersion) -> bool {
        let copy = self.copies.iter_mut().find(|copy| copy.matches(model, version, &CopyState::Loading));
        match copy {
            Some(copy) => {
                copy.state = CopyState::Ready;
                true
            }
            None => false,
        }
    }

    /// Stops new requests for a copy, which keeps its memory until [`Self::remove`].
    pub(super) fn start_unload(&mut self, model: &ModelId, version: &ModelVersion) -> UnloadResult {
        let other_version = self.copies.iter().any(|copy| {
            copy.resident.model == *model
                && copy.resident.version != *version
                && copy.state == CopyState::Ready
        });
        if !other_version && self.copies.iter().any(|copy| copy.base.as_ref() == Some(model)) {
            return UnloadResult::InUseAsBase;
        }
        let copy = self
            .copies
            .iter_mut()
            .find(|copy| copy.resident.model == *model && copy.resident.version == *version);
        match copy {
            Some(copy) => {
                copy.state = CopyState::Unloading;
                UnloadResult::Started
            }
            None => UnloadResult::NotResident,
        }
    }

    /// Frees the memory of a copy if it is in the given state.
    pub(super) fn remove(&mut self, model: &ModelId, version: &ModelVersion, state: &CopyState) {
        self.copies.retain(|copy| !copy.matches(model, version, state));
    }

    /// Returns the version that serves new requests for a model: the ready one whose load started last.
    pub(super) fn serving_version(&self, model: &ModelId) -> Option<ModelVersion> {
        let mut ready = self.copies.iter().rev().filter(|copy| copy.state == CopyState::Ready);
        ready.find(|copy| copy.resident.model == *model).map(|copy| copy.resident.version.clone())
    }

    /// Returns the copies that are ready for requests.
    pub(super) fn resident(&self) -> Vec<Resident> {
        self.copies
            .iter()
            .filter(|copy| copy.state == CopyState::Ready)
            .map(|copy| copy.resident.clone())
            .collect()
    }

    /// Returns the copies that are loading or unloading.
    pub(super) fn in_transition(&self) -> Vec<Resident> {
        self.copies
            .iter()
            .filter(|copy| copy.state != CopyState::Ready)
            .map(|copy| copy.resident.clone())
            .collect()
    }

    fn used(&self) -> Bytes {
        self.copies.iter().map(|copy| copy.resident.size).sum()
    }

    fn state(&self, model: &ModelId, version: &ModelVersion) -> Option<CopyState> {
        let found = self
            .copies
            .iter()
            .rev()
            .find(|copy| copy.resident.model == *model && copy.resident.version == *version);
        found.map(|copy| copy.state.clone())
    }
}

impl ModelCopy {
    fn matches(&self, model: &ModelId, version: &ModelVersion, state: &CopyState) -> bool {
        self.resident.model == *model && self.resident.version == *version && self.state == *state
    }
}
