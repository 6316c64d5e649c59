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

/// Response to an accepted publish or rollback.
#[data]
pub struct PublishReply {
    /// Version under which the manifest was published.
    pub version: Version,
    /// Identity of the write.
    pub write_id: WriteId,
}

/// Request to publish an older manifest again under a new version.
#[data]
#[serde(deny_unknown_fields)]
pub struct RollbackRequest {
    /// Version of the older manifest.
    pub version: Version,
}

/// Request to drain a target or to undrain it.
#[data]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// The target.
    pub target: DrainTarget,
    /// Whether to drain the target.
    pub drained: bool,
}

/// Response to a drain request.
#[data]
pub struct DrainReply {
    /// The target.
    pub target: DrainTarget,
    /// Drain state that was accepted.
    pub mark: DrainMark,
    /// Whether the state is stored in the key-value service; otherwise the leader of the zone stores it
    /// later.
    pub durable: bool,
}

/// State of the deployment as known to one planner.
#[data]
pub struct StatusReport {
    /// Instance of the planner.
    pub instance: InstanceId,
    /// Availability zone of the planner.
    pub zone: ZoneId,
    /// Version of the manifest in force at the planner.
    pub version: Option<Version>,
    /// Whether the key-value service is reachable.
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
    /// Revision of the key-value service at which the leader was elected.
    pub term: u64,
    /// Version of the zone's view.
    pub view: Version,
}

/// State of an instance.
#[data]
pub struct InstanceReport {
    /// The instance.
    pub instance: InstanceId,
    /// Zone of the instance.
    pub zone: ZoneId,
    /// Whether the instance takes new work.
    pub live: bool,
    /// Version of the manifest in force at the instance, if known.
    pub version: Option<Version>,
}

/// State of an endpoint.
#[data]
pub struct EndpointReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Zone of the endpoint.
    pub zone: ZoneId,
    /// Service of the endpoint.
    pub service: ServiceId,
    /// Whether the endpoint takes new work.
    pub state: EndpointState,
    /// Whether an operator drained the endpoint.
    pub drained: bool,
    /// Number of models and adapters that serve requests.
    pub resident: usize,
    /// Last load that the leader of the zone received.
    pub load: LoadReport,
}

/// Placement of a model or adapter, with its reasons.
#[data]
pub struct Explanation {
    /// The model or adapter.
    pub model: ModelId,
    /// Base model of an adapter.
    pub base: Option<ModelId>,
    /// Whether the manifest in force declares the model or adapter.
    pub declared: bool,
    /// Whether the model or adapter takes no new requests.
    pub retiring: bool,
    /// Home zone of the model or of the base model.
    pub home: Option<ZoneId>,
    /// Placement in each zone.
    pub zones: Vec<ZoneExplanation>,
}

/// Placement of a model or adapter in one zone.
#[data]
pub struct ZoneExplanation {
    /// The zone.
    pub zone: ZoneId,
    /// Live endpoints that serve the model or adapter.
    pub resident: Vec<EndpointId>,
    /// Reason why it is resident.
    pub reason: Option<String>,
    /// Reason why a change can't be made yet.
    pub blocked: Option<String>,
}
