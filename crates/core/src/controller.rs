use std::sync::Arc;

use indexmap::IndexMap;

use crate::ConfigRecord;
use crate::Demand;
use crate::DemandReport;
use crate::DrainSet;
use crate::DrainTarget;
use crate::EndpointId;
use crate::EngineState;
use crate::Fence;
use crate::InstanceId;
use crate::InstanceView;
use crate::Leadership;
use crate::Lease;
use crate::LeaseEvent;
use crate::LeaseStep;
use crate::Order;
use crate::OrderId;
use crate::OrderOutcome;
use crate::PlanEvent;
use crate::PlanProgress;
use crate::PlanStep;
use crate::ServiceId;
use crate::Time;
use crate::WriteId;
use crate::ZoneId;
use crate::ZonePlan;
use crate::ZoneView;
use crate::term::Term;

/// Fencing numbers that a leader uses before it steps down; a term has 2^24 of them.
const MAX_FENCES_PER_TERM: u64 = (1 << 24) - (1 << 16);

/// State machine of one planner: takes part in the leader election of its zone and, while it leads, places
/// models.
///
/// The process passes in what it receives and carries out the commands that [`Controller::step`] returns.
#[derive(Debug)]
pub struct Controller {
    pub(crate) instance: InstanceId,
    pub(crate) zone: ZoneId,
    pub(crate) lease: Lease,
    pub(crate) config: Option<Arc<ConfigRecord>>,
    pub(crate) drains: DrainSet,
    pub(crate) listing: ZoneListing,
    pub(crate) demand: Demand,
    term: Option<Term>,
    /// First fencing number of the term and the last one used.
    fences: (Fence, Fence),
}

/// Instances and endpoints of a zone according to the instance list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ZoneListing {
    /// Instances of carobwick in the zone.
    pub instances: IndexMap<InstanceId, InstanceView>,
    /// Endpoints of the zone.
    pub endpoints: IndexMap<EndpointId, ListedEndpoint>,
}

/// An endpoint according to the instance list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedEndpoint {
    /// Service of the endpoint.
    pub service: ServiceId,
    /// `IP:port` of the endpoint.
    pub addr: String,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// Time and randomness of one step.
#[derive(Debug, Clone, Copy)]
pub struct Tick {
    /// The current time.
    pub now: Time,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Random number from which ids are derived.
    pub seed: u64,
}

/// An action for the process; the outcome of each call is passed back to the [`Controller`].
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Make a call of the election; its outcome goes to [`Controller::on_lease`].
    Lease(LeaseStep),
    /// Read or write the zone's plan; the outcome goes to [`Controller::on_plan`] with the same tag.
    Plan(u64, PlanStep),
    /// Read the plan and the leader key of another zone; the outcome goes to [`Controller::on_peer_plan`].
    ReadPeerPlan(ZoneId),
    /// Send an order; the reply goes to [`Controller::on_order`].
    Send {
        /// The engine.
        endpoint: EndpointId,
        /// `IP:port` of the engine.
        addr: String,
        /// The order.
        order: Order,
    },
    /// Record a decision in the timeline.
    RecordDecision(String),
}

impl Controller {
    /// Creates a controller that starts as a follower.
    pub fn new(instance: InstanceId, zone: ZoneId) -> Self {
        Self {
            lease: Lease::new(instance.clone()),
            instance,
            zone,
            config: None,
            drains: DrainSet::default(),
            listing: ZoneListing::default(),
            demand: Demand::default(),
            term: None,
            fences: (Fence(0), Fence(0)),
        }
    }

    /// Returns the planner's instance.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Returns whether the planner leads its zone at `now`, according to its lease.
    pub fn leadership(&self, now: Time) -> Leadership {
        self.lease.leadership(now)
    }

    /// Returns the lease, whose [`Lease::record`] is the value of the leader key.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Sets the time between two reads of the leader key by a follower.
    pub fn set_read_interval(&mut self, interval: std::time::Duration) {
        self.lease.set_read_interval(interval);
    }

    /// Sets the manifest in force; a record that is not newer is ignored.
    pub fn set_config(&mut self, config: Arc<ConfigRecord>) {
        if self.config.as_ref().is_none_or(|own| own.version < config.version) {
            self.config = Some(config);
        }
    }

    /// Sets the drained targets; the planner resigns if its instance is drained or stopping.
    pub fn set_drains(&mut self, drains: DrainSet, stopping: bool) {
        let drained = drains.is_drained(&DrainTarget::Instance(self.instance.clone()));
        self.lease.set_resigned(drained || stopping);
        self.drains = drains;
    }

    /// Sets the instances and endpoints of the zone.
    pub fn set_listing(&mut self, listing: ZoneListing) {
        self.listing = listing;
    }

    /// Adds an entry's report of demand.
    pub fn add_demand(&mut self, now: Time, report: &DemandReport) {
        self.demand.add_report(now, report);
    }

    /// Returns the engines to poll for their state, with their addresses; none for a follower.
    pub fn engines_to_poll(&self) -> Vec<(EndpointId, String)> {
        self.term.as_ref().map_or_else(Vec::new, |term| term.engines_to_poll(self))
    }

    /// Handles the outcome of a call of the election.
    pub fn on_lease(&mut self, now: Time, event: LeaseEvent) {
        self.lease.on_event(now, event);
    }

    /// Handles the outcome of a read or write of the plan; one with a tag of an earlier term is ignored.
    pub fn on_plan(&mut self, tick: &Tick, tag: u64, event: PlanEvent) {
        let Some(term) = self.term.as_mut().filter(|term| term.tag == tag) else {
            return;
        };
        if event == PlanEvent::Failed {
            term.on_store_failure(tick.now);
        }
        match term.store.on_event(event) {
            PlanProgress::Pending => {}
            PlanProgress::Loaded => {
                // A plan with a higher fencing number is from a later leader, so the lease of this planner
                // has ended.
                if term
                    .store
                    .written()
                    .is_some_and(|plan| plan.fence.revision() > term.first_fence.revision())
                {
                    self.step_down(tick.now);
                }
            }
            PlanProgress::Written => term.on_plan_written(),
            // Either a write of the previous leader took effect late, or a later leader wrote. The next term
            // reads the plan again and finds out which.
            PlanProgress::Superseded => self.term = None,
        }
    }

    /// Handles the plan of another zone, which is ignored if the zone has no leader.
    ///
    /// `requested` is the time at which the read was sent.
    pub fn on_peer_plan(
        &mut self,
        zone: &ZoneId,
        requested: Time,
        plan: Option<&ZonePlan>,
        has_leader: bool,
    ) {
        if let Some(term) = &mut self.term {
            term.on_peer_plan(zone, requested, plan.filter(|_| has_leader));
        }
    }

    /// Handles the response of an engine to a state request, or `None` if there was none.
    ///
    /// `requested` is the time of the request and the wall-clock time in milliseconds.
    pub fn on_state(
        &mut self,
        tick: &Tick,
        endpoint: &EndpointId,
        requested: (Time, u64),
        state: Option<&EngineState>,
    ) {
        if let Some(term) = &mut self.term {
            term.on_state(tick, endpoint, requested, state);
        }
    }

    /// Handles the reply to an order, or `None` if there was none.
    pub fn on_order(&mut self, tick: &Tick, endpoint: &EndpointId, id: OrderId, reply: Option<OrderOutcome>) {
        if let Some(term) = &mut self.term {
            term.on_order(tick, endpoint, id, reply);
        }
    }

    /// Returns the commands to carry out now.
    pub fn step(&mut self, tick: &Tick) -> Vec<Command> {
        let mut commands = Vec::new();
        match self.lease.step(tick.now, WriteId(tick.seed | 1)) {
            LeaseStep::Wait => {}
            step => commands.push(Command::Lease(step)),
        }
        let (first, is_leader) = match self.lease.leadership(tick.now) {
            Leadership::Follower => {
                self.term = None;
                return commands;
            }
            Leadership::Leader(first) => (first, true),
            Leadership::Expired(first) => (first, false),
        };
        let mut term = self.take_term(tick, first);
        term.step(self, tick, is_leader, &mut commands);
        self.fences.1 = term.last_fence;
        if term.last_fence.0 - term.first_fence.0 > MAX_FENCES_PER_TERM {
            // The lease expires without renewals, and the next term has a new range of fencing numbers.
            self.step_down(tick.now);
            return commands;
        }
        self.term = Some(term);
        commands
    }

    /// Returns the view of the zone, or `None` if this planner does not lead it or has not received the state
    /// of its engines yet.
    pub fn view(&mut self, now: Time) -> Option<ZoneView> {
        let mut term = self.term.take()?;
        let view = term.view(self, now);
        self.term = Some(term);
        view
    }

    fn take_term(&mut self, tick: &Tick, first: Fence) -> Term {
        if self.fences.0 != first {
            self.fences = (first, first);
            self.term = None;
        }
        let last = self.fences.1;
        self.term.take().unwrap_or_else(|| Term::new(tick, first, last))
    }

    fn step_down(&mut self, now: Time) {
        self.lease.step_down(now);
        self.term = None;
    }
}
