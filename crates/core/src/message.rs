use carobwick_derive::data;
use indexmap::IndexMap;

use crate::Delta;
use crate::Digest;
use crate::InstanceId;
use crate::ModelId;
use crate::Tokens;

/// Message of the peer protocol, request or reply.
#[data]
pub enum PeerMessage {
    /// Asks for what the sender lacks.
    Sync {
        /// Sender.
        from: InstanceId,
        /// What the sender has.
        digest: Digest,
    },
    /// Reply to `Sync`: what the asker lacked, and what the replier has.
    SyncReply {
        /// What the replier has.
        digest: Digest,
        /// What the asker lacked.
        delta: Delta,
    },
    /// Sends what the receiver lacks.
    Push {
        /// What the receiver lacked.
        delta: Delta,
    },
    /// Reports demand to the zone's leader.
    Demand(DemandReport),
    /// Reply to `Push` and `Demand`.
    Ack,
    /// Demand passed on by another planner; it is not passed on again.
    Relayed(DemandReport),
    /// Asks whether the receiver has the same state, before a `Sync`.
    Probe {
        /// Sender.
        from: InstanceId,
        /// [`Digest::summary`] of what the sender has.
        summary: u64,
    },
    /// Reply to `Probe`: both have the same state.
    Same,
    /// Reply to `Probe`: the states differ.
    Differs,
}

/// Demand that an entry saw since its last report, for its zone's leader.
#[data]
pub struct DemandReport {
    /// Instance of the entry.
    pub instance: InstanceId,
    /// Length of the interval in milliseconds.
    pub interval_ms: u64,
    /// Demand per model or adapter that had any.
    pub models: IndexMap<ModelId, ModelDemand>,
}

/// Demand for one model or adapter.
#[data]
#[derive(Copy, Default)]
pub struct ModelDemand {
    /// Requests that arrived.
    pub arrivals: u32,
    /// Requests that were refused for lack of capacity or residency.
    pub refusals: u32,
    /// Requests that met their target.
    pub attained: u32,
    /// Tokens generated.
    pub tokens: Tokens,
}
