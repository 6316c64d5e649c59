use carobwick_derive::data;
use carobwick_derive::key;

use crate::EndpointId;
use crate::Incarnation;
use crate::ModelId;
use crate::ZoneId;
use crate::gateway::EngineRecord;
use crate::gateway::Weights;

/// An order to one run of an engine.
#[data]
pub struct EngineOrder {
    /// The engine.
    pub endpoint: EndpointId,
    /// Run of its process.
    pub incarnation: Incarnation,
    /// Orders that the engine must have accepted; it refuses this one otherwise.
    pub expected_count: u64,
    /// What to do.
    pub action: EngineAction,
}

/// What an engine is told to do.
#[data]
pub enum EngineAction {
    /// Load a model.
    Load(ModelId),
    /// Unload a model.
    Unload(ModelId),
    /// Load an adapter of a model that it holds.
    LoadAdapter(Weights),
    /// Unload an adapter.
    UnloadAdapter(Weights),
}

/// An adapter that an availability zone asks for.
#[key]
pub struct AdapterRequest {
    /// The adapter.
    pub weights: Weights,
    /// The zone.
    pub zone: ZoneId,
}

impl EngineOrder {
    /// Returns whether the engine counts the order if it holds already.
    pub fn counts_when_done(&self) -> bool {
        match self.action {
            // Idle adapters are unloaded at once, and the engine counts that.
            EngineAction::UnloadAdapter(_) => true,
            EngineAction::Load(_) | EngineAction::Unload(_) | EngineAction::LoadAdapter(_) => false,
        }
    }

    /// Returns an order that expects what is known of the engine.
    pub(super) fn new(id: &EndpointId, record: &EngineRecord, action: EngineAction) -> Self {
        Self {
            endpoint: id.clone(),
            incarnation: record.incarnation,
            expected_count: record.order_count.unwrap_or(0),
            action,
        }
    }
}
