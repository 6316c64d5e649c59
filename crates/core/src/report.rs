//! Bodies of the operator API, shared by the processes that serve it and the command line.

use carobwick_derive::data;

use crate::DrainMark;
use crate::DrainTarget;
use crate::EndpointId;
use crate::EndpointState;
use crate::InstanceId;
use crate::LoadReport;
use crate::ModelId;
use crate::ServiceId;
use crate::Version;
use crate::WriteId;
use crate::ZoneId;

/// Answer to an accepted publish or rollback.
#[data]
pub struct PublishReply {
    /// Version that the publish got.
    pub version: Version,
    /// Identity of the write.
    pub write_id: WriteId,
}

/// Request to publish the content of an older version again.
#[data]
#[serde(deny_unknown_fields)]
pub struct RollbackRequest {
    /// The older version.
    pub version: Version,
}

/// Request to drain a target or to put it back into use.
#[data]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// The target.
    pub target: DrainTarget,
    /// Whether it is to be drained.
    pub drained: bool,
}

/// Answer to a drain.
#[data]
pub struct DrainReply {
    /// The target.
    pub target: DrainTarget,
    /// State that was accepted.
    pub mark: DrainMark,
    /// Whether the key-value service has stored it; otherwise the zone's leader stores it later.
    pub durable: bool,
}

/// State of the deployment as one planner sees it.
#[data]
pub struct StatusReport {
    /// Instance that answered.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Version in force there.
    pub version: Option<Version>,
    /// Whether the key-value service answers.
    pub key_value: bool,
    /// Zones by name.
    pub zones: Vec<ZoneReport>,
    /// Known instances.
    pub instances: Vec<InstanceReport>,
    /// Known endpoints.
    pub endpoints: Vec<EndpointReport>,
    /// Drained targets.
    pub drains: Vec<DrainTarget>,
}

/// State of an availability zone.
#[data]
pub struct ZoneReport {
    /// The zone.
    pub zone: ZoneId,
    /// Leader of the zone.
    pub leader: InstanceId,
    /// Revision at which the leader took its lease.
    pub term: u64,
    /// Version of the zone's view.
    pub view: Version,
}

/// State of an instance.
#[data]
pub struct InstanceReport {
    /// The instance.
    pub instance: InstanceId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it takes new work.
    pub live: bool,
    /// Version in force there, as far as known.
    pub version: Option<Version>,
}

/// State of an endpoint.
#[data]
pub struct EndpointReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its service.
    pub service: ServiceId,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Whether an operator drained it.
    pub drained: bool,
    /// Number of models and adapters that serve requests.
    pub resident: usize,
    /// Load that the zone's leader saw last.
    pub load: LoadReport,
}

/// Where a model or adapter is, and why.
#[data]
pub struct Explanation {
    /// The model or adapter.
    pub model: ModelId,
    /// Base model, if it is an adapter.
    pub base: Option<ModelId>,
    /// Whether the manifest in force declares it.
    pub declared: bool,
    /// Whether it takes no new requests.
    pub retiring: bool,
    /// Zone that never drops its last copy.
    pub home: Option<ZoneId>,
    /// What is known in each zone.
    pub zones: Vec<ZoneExplanation>,
}

/// Where a model or adapter is in one zone.
#[data]
pub struct ZoneExplanation {
    /// The zone.
    pub zone: ZoneId,
    /// Live endpoints that serve it.
    pub resident: Vec<EndpointId>,
    /// Why it is there.
    pub reason: Option<String>,
    /// What holds a change back.
    pub blocked: Option<String>,
}
