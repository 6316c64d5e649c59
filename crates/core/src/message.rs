use carobwick_derive::data;
use indexmap::IndexMap;

use crate::Delta;
use crate::Digest;
use crate::InstanceId;
use crate::ModelId;
use crate::Tokens;

/// Message of the peer protocol: a request or a reply.
#[data]
pub enum PeerMessage {
    /// Requests what the sender lacks.
    Sync {
        /// Sender.
        from: InstanceId,
        /// Digest of the state of the sender.
        digest: Digest,
    },
    /// Reply to `Sync`.
    SyncReply {
        /// Digest of the state of the replier.
        digest: Digest,
        /// What the requester lacked.
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
    /// Reports demand, relayed by another planner; it is not relayed again.
    Relayed(DemandReport),
    /// Asks whether the receiver has the same state; a `Sync` follows if not.
    Probe {
        /// Sender.
        from: InstanceId,
        /// [`Digest::state_hash`] of the state of the sender.
        state_hash: u64,
    },
    /// Reply to `Probe`: the states are the same.
    Same,
    /// Reply to `Probe`: the states differ.
    Differs,
}

/// Demand at an entry since its last report, for the leader of its zone.
#[data]
pub struct DemandReport {
    /// Instance of the entry.
    pub instance: InstanceId,
    /// Length of the interval in milliseconds.
    pub interval_ms: u64,
    /// Demand by model or adapter, without those that had none.
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
