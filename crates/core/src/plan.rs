use carobwick_derive::data;

use crate::EndpointId;
use crate::Fence;
use crate::Incarnation;
use crate::ModelId;
use crate::Order;
use crate::Resident;
use crate::ServiceId;
use crate::Version;
use crate::WriteId;
use crate::plan_wire::PlanWire;

/// Write-ahead plan of a zone: what its endpoints hold and every order that may still take effect.
#[data]
#[serde(try_from = "PlanWire", into = "PlanWire")]
pub struct ZonePlan {
    /// First fencing number of the leader that wrote the plan.
    pub fence: Fence,
    /// Number of writes of the plan so far.
    pub version: Version,
    /// Identity of the write.
    pub write_id: WriteId,
    /// Version of the manifest that the plan follows.
    pub manifest_version: Version,
    /// Models of which a copy serves requests and is not being unloaded.
    pub held: Vec<ModelId>,
    /// Endpoints of the zone.
    pub endpoints: Vec<EndpointPlan>,
}

/// One endpoint of a [`ZonePlan`].
#[data]
pub struct EndpointPlan {
    /// The endpoint.
    pub id: EndpointId,
    /// Service of the endpoint.
    pub service: ServiceId,
    /// `IP:port` of the endpoint.
    pub addr: String,
    /// Incarnation of the endpoint to which `resident` refers.
    pub incarnation: Incarnation,
    /// Models and adapters in the memory of the endpoint when the plan was written.
    pub resident: Vec<Resident>,
    /// Orders that may still reach the endpoint.
    pub orders: Vec<PlannedOrder>,
}

/// One order of a [`ZonePlan`].
#[data]
pub struct PlannedOrder {
    /// The order.
    pub order: Order,
    /// Whether a state of the endpoint shows the effect of the order, or that it has none.
    pub settled: bool,
}

/// Reads and writes the plan of a zone in the key-value service, with one call in flight at a time.
///
/// After a write whose reply was lost, the plan is read back, and written again unchanged if the write did
/// not take effect.
#[derive(Debug, Clone, Default)]
pub struct PlanStore {
    revision: Option<u64>,
    written: Option<ZonePlan>,
    pending: Option<ZonePlan>,
    loaded: bool,
    outcome_unknown: bool,
    in_flight: bool,
}

/// The next call to the key-value service.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanStep {
    /// No call for now.
    Wait,
    /// Read the plan.
    Read,
    /// Write the plan if the stored one has the expected revision, or if none is stored and none is expected.
    Write {
        /// Revision of the last write; `None` if there was none.
        expect: Option<u64>,
        /// The new plan.
        plan: Box<ZonePlan>,
    },
}

/// Outcome of a call for a [`PlanStep`].
#[derive(Debug, Clone, PartialEq)]
pub enum PlanEvent {
    /// The plan was read, with the revision of its write; `None` if there is none.
    Read(Option<(Box<ZonePlan>, u64)>),
    /// The plan was written at this revision.
    Written(u64),
    /// The stored plan had another revision, so the write had no effect; the stored plan is given.
    Conflict(Option<(Box<ZonePlan>, u64)>),
    /// The call failed or its outcome is unknown.
    Failed,
}

/// Progress made by a [`PlanEvent`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanProgress {
    /// No change.
    Pending,
    /// The plan of the previous leader was read.
    Loaded,
    /// The proposed plan is written; its orders may be sent.
    Written,
    /// Another leader has written the plan.
    Superseded,
}

impl PlanStore {
    /// Returns the last plan that is known to be stored.
    pub fn written(&self) -> Option<&ZonePlan> {
        self.written.as_ref()
    }

    /// Returns whether the plan has been read.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns whether a new plan can be proposed.
    pub fn is_idle(&self) -> bool {
        self.loaded && self.pending.is_none()
    }

    /// Sets the next plan to write.
    ///
    /// # Panics
    ///
    /// Panics if the plan has not been read or another one is being written.
    pub fn propose(&mut self, plan: ZonePlan) {
        assert!(self.is_idle(), "a plan is proposed while another one is being written");
        self.pending = Some(plan);
    }

    /// Returns the next call, which counts as in flight from then on.
    pub fn step(&mut self) -> PlanStep {
        if self.in_flight {
            return PlanStep::Wait;
        }
        let step = match &self.pending {
            _ if !self.loaded || self.outcome_unknown => PlanStep::Read,
            None => PlanStep::Wait,
            Some(plan) => PlanStep::Write { expect: self.revision, plan: Box::new(plan.clone()) },
        };
        self.in_flight = step != PlanStep::Wait;
        step
    }

    /// Handles the outcome of the call in flight.
    pub fn on_event(&mut self, event: PlanEvent) -> PlanProgress {
        self.in_flight = false;
        match event {
            PlanEvent::Failed => {
                self.outcome_unknown = self.loaded;
                PlanProgress::Pending
            }
            PlanEvent::Written(revision) => self.complete(revision),
            PlanEvent::Read(found) if !self.loaded => {
                self.loaded = true;
                (self.written, self.revision) = match found {
                    None => (None, None),
                    Some((plan, revision)) => (Some(*plan), Some(revision)),
                };
                PlanProgress::Loaded
            }
            PlanEvent::Read(found) | PlanEvent::Conflict(found) => self.reconcile(found),
        }
    }

    fn reconcile(&mut self, found: Option<(Box<ZonePlan>, u64)>) -> PlanProgress {
        self.outcome_unknown = false;
        let own = self.pending.as_ref().map(|plan| plan.write_id);
        match found {
            Some((plan, revision)) if Some(plan.write_id) == own => self.complete(revision),
            found if found.as_ref().map(|(_, revision)| *revision) == self.revision => PlanProgress::Pending,
            _ => PlanProgress::Superseded,
        }
    }

    fn complete(&mut self, revision: u64) -> PlanProgress {
        self.outcome_unknown = false;
        self.revision = Some(revision);
        self.written = self.pending.take().or(self.written.take());
        PlanProgress::Written
    }
}
