use carobwick_derive::data;
use carobwick_derive::key;
use indexmap::IndexMap;

use crate::EndpointId;
use crate::Fence;
use crate::Incarnation;
use crate::InstanceId;
use crate::LoadReport;
use crate::ModelId;
use crate::Resident;
use crate::ServiceId;
use crate::Version;
use crate::ZoneId;

/// Instances, endpoints and placement of an availability zone, as known to its leader.
///
/// Views of one zone are ordered by the fencing number of the leader, then by version.
#[data]
pub struct ZoneView {
    /// The zone.
    pub zone: ZoneId,
    /// First fencing number of the leader that created the view.
    pub fence: Fence,
    /// Number of views that the leader has created so far.
    pub version: Version,
    /// The leader.
    pub leader: InstanceId,
    /// Instances of the zone.
    pub instances: IndexMap<InstanceId, InstanceView>,
    /// Endpoints of the zone.
    pub endpoints: IndexMap<EndpointId, EndpointView>,
    /// Reason why a change can't be made yet, by model.
    #[serde(default)]
    pub blocked: IndexMap<ModelId, String>,
    /// Reason why each model is resident in the zone.
    #[serde(default)]
    pub reasons: IndexMap<ModelId, String>,
}

/// An instance and the addresses of its processes.
#[data]
pub struct InstanceView {
    /// `IP:port` at which the entry accepts requests of callers.
    pub entry: String,
    /// `IP:port` at which the planner accepts messages of peers.
    pub peer: String,
    /// Whether the instance takes new work.
    pub live: bool,
}

/// An endpoint and what is resident on it.
#[data]
pub struct EndpointView {
    /// Service of the endpoint.
    pub service: ServiceId,
    /// `IP:port` of the endpoint.
    pub addr: String,
    /// Last incarnation of the endpoint that the leader received.
    pub incarnation: Incarnation,
    /// Whether the endpoint takes new work.
    pub state: EndpointState,
    /// Models and adapters that serve requests.
    pub resident: Vec<Resident>,
    /// Last load that the leader received.
    pub load: LoadReport,
}

/// Whether an endpoint takes new work.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// The endpoint takes new work.
    Live,
    /// The endpoint is about to stop and takes no new work.
    Leaving,
    /// The endpoint does not respond.
    Down,
}

impl ZoneView {
    /// Returns the key by which views of one zone are ordered.
    pub fn rank(&self) -> (Fence, Version) {
        (self.fence, self.version)
    }
}

impl EndpointView {
    /// Returns whether a model or adapter serves requests on the endpoint.
    pub fn holds(&self, model: &ModelId) -> bool {
        self.resident.iter().any(|resident| resident.model == *model)
    }
}
