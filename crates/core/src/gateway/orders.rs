use carobwick_derive::data;
use carobwick_derive::key;

use crate::EndpointId;
use crate::Incarnation;
use crate::ModelId;
use crate::ZoneId;
use crate::gateway::EngineRecord;
use crate::gateway::Weights;

/// An order to one incarnation of an engine.
#[data]
pub struct EngineOrder {
    /// The engine.
    pub endpoint: EndpointId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Number of orders that the engine must have accepted before; it refuses this one otherwise.
    pub expected_count: u64,
    /// The action to carry out.
    pub action: EngineAction,
}

/// Action that an order requests of an engine.
#[data]
pub enum EngineAction {
    /// Load a model.
    Load(ModelId),
    /// Unload a model.
    Unload(ModelId),
    /// Load an adapter of a resident model.
    LoadAdapter(Weights),
    /// Unload an adapter.
    UnloadAdapter(Weights),
}

/// A request of an availability zone for an adapter.
#[key]
pub struct AdapterRequest {
    /// The adapter.
    pub weights: Weights,
    /// The zone.
    pub zone: ZoneId,
}

impl EngineOrder {
    /// Returns whether the engine counts the order as accepted even if there is nothing left to do.
    pub fn counts_when_done(&self) -> bool {
        match self.action {
            // An idle adapter is unloaded at once, which the engine reports as done and still counts.
            EngineAction::UnloadAdapter(_) => true,
            EngineAction::Load(_) | EngineAction::Unload(_) | EngineAction::LoadAdapter(_) => false,
        }
    }

    /// Returns an order that expects the number of orders that the engine is known to have accepted.
    pub(super) fn new(id: &EndpointId, record: &EngineRecord, action: EngineAction) -> Self {
        Self {
            endpoint: id.clone(),
            incarnation: record.incarnation,
            expected_count: record.order_count.unwrap_or(0),
            action,
        }
    }
}
