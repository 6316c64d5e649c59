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
    /// First fencing number of the leader that wrote it.
    pub fence: Fence,
    /// Counts the writes of the plan.
    pub version: Version,
    /// Identity of the write.
    pub write_id: WriteId,
    /// Version of the manifest by which the zone is placed.
    pub manifest_version: Version,
    /// Models of which a copy serves requests and stays.
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
    /// Run of the endpoint's process to which `resident` refers.
    pub incarnation: Incarnation,
    /// Models and adapters in its memory when the plan was written.
    pub resident: Vec<Resident>,
    /// Orders that may still reach it.
    pub orders: Vec<PlannedOrder>,
}

/// One order of a [`ZonePlan`].
#[data]
pub struct PlannedOrder {
    /// The order.
    pub order: Order,
    /// Whether the endpoint's state shows its effect, or that it has none.
    pub settled: bool,
}

/// Reads and writes of the plan, one call in flight at a time.
///
/// A write whose reply was lost is settled by reading back, and repeated unchanged if it did not take effect.
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
    /// None for now.
    Wait,
    /// Read the plan.
    Read,
    /// Write the plan if its last write has the expected revision, or if it is absent.
    Write {
        /// Revision of the last write.
        expect: Option<u64>,
        /// The new plan.
        plan: Box<ZonePlan>,
    },
}

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanEvent {
    /// The plan with the revision of its write, or none.
    Read(Option<(Box<ZonePlan>, u64)>),
    /// The plan was written at this revision.
    Written(u64),
    /// The plan was written by another, and is as given.
    Conflict(Option<(Box<ZonePlan>, u64)>),
    /// The call failed or its outcome is unknown.
    Failed,
}

/// What a [`PlanEvent`] led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanProgress {
    /// Nothing yet.
    Pending,
    /// The plan of the previous leader is known.
    Loaded,
    /// The proposed plan is written; its orders may be sent.
    Written,
    /// Another leader has written the plan.
    Superseded,
}

impl PlanStore {
    /// Returns the last plan known to be written.
    pub fn written(&self) -> Option<&ZonePlan> {
        self.written.as_ref()
    }

    /// Returns whether the plan was read.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns whether a new plan can be proposed.
    pub fn is_idle(&self) -> bool {
        self.loaded && self.pending.is_none()
    }

    /// Proposes the next plan.
    pub fn propose(&mut self, plan: ZonePlan) {
        assert!(self.is_idle(), "a plan is proposed while another one is being written");
        self.pending = Some(plan);
    }

    /// Returns the next call.
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

    /// Takes the outcome of the call in flight.
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
