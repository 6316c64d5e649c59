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

/// What an availability zone holds, as its leader sees it.
///
/// Views of one zone are ordered by the leader's fencing number, then by version.
#[data]
pub struct ZoneView {
    /// The zone.
    pub zone: ZoneId,
    /// First fencing number of the leader that made the view.
    pub fence: Fence,
    /// Counts the views of that leader.
    pub version: Version,
    /// The leader.
    pub leader: InstanceId,
    /// Instances of the zone.
    pub instances: IndexMap<InstanceId, InstanceView>,
    /// Endpoints of the zone.
    pub endpoints: IndexMap<EndpointId, EndpointView>,
    /// What holds a change back, by model.
    #[serde(default)]
    pub blocked: IndexMap<ModelId, String>,
    /// Why each model is resident in the zone.
    #[serde(default)]
    pub reasons: IndexMap<ModelId, String>,
}

/// An instance and the addresses of its processes.
#[data]
pub struct InstanceView {
    /// `IP:port` at which its entry takes callers.
    pub entry: String,
    /// `IP:port` at which its planner takes peers.
    pub peer: String,
    /// Whether it takes new work.
    pub live: bool,
}

/// An endpoint and what is resident on it.
#[data]
pub struct EndpointView {
    /// Service of the endpoint.
    pub service: ServiceId,
    /// `IP:port` of the endpoint.
    pub addr: String,
    /// Identity of the run of its process that the leader saw last.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Models and adapters that serve requests.
    pub resident: Vec<Resident>,
    /// Load that the leader saw last.
    pub load: LoadReport,
}

/// Whether an endpoint takes new work.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// It takes new work.
    Live,
    /// It is about to stop and takes no new work.
    Leaving,
    /// It does not answer.
    Down,
}

impl ZoneView {
    /// Returns the order of views of one zone.
    pub fn rank(&self) -> (Fence, Version) {
        (self.fence, self.version)
    }
}

impl EndpointView {
    /// Returns whether a model or adapter serves requests here.
    pub fn holds(&self, model: &ModelId) -> bool {
        self.resident.iter().any(|resident| resident.model == *model)
    }
}
