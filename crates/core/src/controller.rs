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
use crate::Standing;
use crate::Time;
use crate::WriteId;
use crate::ZoneId;
use crate::ZonePlan;
use crate::ZoneView;
use crate::term::Term;

/// Orders after which a leader gives up its lease, below the 2^24 numbers that it has.
const MAX_ORDERS: u64 = (1 << 24) - (1 << 16);

/// Decisions of one planner about its zone: it takes part in the election and, while it leads, places models.
///
/// The process gives it what it reads and asks [`Controller::step`] what to do next.
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
    /// The leader's first fencing number and the last one given out.
    fences: (Fence, Fence),
}

/// The zone by the instance list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ZoneListing {
    /// Instances of carobwick in the zone.
    pub instances: IndexMap<InstanceId, InstanceView>,
    /// Endpoints of the zone.
    pub endpoints: IndexMap<EndpointId, ListedEndpoint>,
}

/// An endpoint by the instance list.
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
    /// Random number from which ids are made.
    pub seed: u64,
}

/// Something for the process to do; the outcome of each call is reported back.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Make a call of the election; report to [`Controller::on_lease`].
    Lease(LeaseStep),
    /// Read or write the zone's plan; report to [`Controller::on_plan`] with the same tag.
    Plan(u64, PlanStep),
    /// Read the plan of another zone and whether it has a leader; report to [`Controller::on_zone`].
    ReadZone(ZoneId),
    /// Send an order; report to [`Controller::on_order`].
    Send {
        /// The engine.
        endpoint: EndpointId,
        /// `IP:port` of the engine.
        addr: String,
        /// The order.
        order: Order,
    },
    /// Note a decision in the timeline.
    Note(String),
}

impl Controller {
    /// Starts as a follower.
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

    /// Returns what the planner may do by its lease.
    pub fn standing(&self, now: Time) -> Standing {
        self.lease.standing(now)
    }

    /// Returns the election, which makes the value of the leader's key.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Sets how often a follower reads the leader's key.
    pub fn set_interval(&mut self, interval: std::time::Duration) {
        self.lease.set_interval(interval);
    }

    /// Takes the manifest in force.
    pub fn set_config(&mut self, config: Arc<ConfigRecord>) {
        if self.config.as_ref().is_none_or(|own| own.version < config.version) {
            self.config = Some(config);
        }
    }

    /// Takes the drained targets; an instance that is drained or stopping gives up its lease.
    pub fn set_drains(&mut self, drains: DrainSet, stopping: bool) {
        let drained = drains.is_drained(&DrainTarget::Instance(self.instance.clone()));
        self.lease.set_resigned(drained || stopping);
        self.drains = drains;
    }

    /// Takes the instance list.
    pub fn set_listing(&mut self, listing: ZoneListing) {
        self.listing = listing;
    }

    /// Adds the demand that an entry reports.
    pub fn add_demand(&mut self, now: Time, report: &DemandReport) {
        self.demand.add_report(now, report);
    }

    /// Returns the engines whose state is to be polled, with their addresses.
    pub fn polled(&self) -> Vec<(EndpointId, String)> {
        self.term.as_ref().map_or_else(Vec::new, |term| term.polled(self))
    }

    /// Takes the outcome of a call of the election.
    pub fn on_lease(&mut self, now: Time, event: LeaseEvent) {
        self.lease.on(now, event);
    }

    /// Takes the outcome of a read or write of the plan.
    pub fn on_plan(&mut self, tick: &Tick, tag: u64, event: PlanEvent) {
        let Some(term) = self.term.as_mut().filter(|term| term.tag == tag) else {
            return;
        };
        if event == PlanEvent::Failed {
            term.failed(tick.now);
        }
        match term.store.on(event) {
            PlanProgress::Pending => {}
            PlanProgress::Loaded => {
                // A plan with a higher number is from a later leader, so this planner's lease has ended.
                if term.store.written().is_some_and(|plan| plan.fence.revision() > term.first.revision()) {
                    self.abandon(tick.now);
                }
            }
            PlanProgress::Written => term.written(),
            // A write of the previous leader came late, or a later leader wrote; the new plan says which.
            PlanProgress::Superseded => self.term = None,
        }
    }

    /// Takes the plan of another zone, and whether that zone has a leader; `asked` is when the read was sent.
    pub fn on_zone(&mut self, zone: &ZoneId, asked: Time, plan: Option<&ZonePlan>, led: bool) {
        if let Some(term) = &mut self.term {
            term.on_zone(zone, asked, plan.filter(|_| led));
        }
    }

    /// Takes the state of an engine that was asked for at `asked`, or nothing if it did not answer.
    pub fn on_state(
        &mut self,
        tick: &Tick,
        endpoint: &EndpointId,
        asked: (Time, u64),
        state: Option<&EngineState>,
    ) {
        if let Some(term) = &mut self.term {
            term.on_state(tick, endpoint, asked, state);
        }
    }

    /// Takes the reply to an order, or nothing if there was none.
    pub fn on_order(&mut self, tick: &Tick, endpoint: &EndpointId, id: OrderId, reply: Option<OrderOutcome>) {
        if let Some(term) = &mut self.term {
            term.on_order(tick, endpoint, id, reply);
        }
    }

    /// Returns what to do next.
    pub fn step(&mut self, tick: &Tick) -> Vec<Command> {
        let mut commands = Vec::new();
        match self.lease.step(tick.now, WriteId(tick.seed | 1)) {
            LeaseStep::Wait => {}
            step => commands.push(Command::Lease(step)),
        }
        let (first, leads) = match self.lease.standing(tick.now) {
            Standing::Follower => {
                self.term = None;
                return commands;
            }
            Standing::Leader(first) => (first, true),
            Standing::Expired(first) => (first, false),
        };
        let mut term = self.take_term(tick, first);
        term.step(self, tick, leads, &mut commands);
        self.fences.1 = term.last;
        if term.last.0 - term.first.0 > MAX_ORDERS {
            // The lease ends without keep-alives, and the next one has a new range of numbers.
            self.abandon(tick.now);
            return commands;
        }
        self.term = Some(term);
        commands
    }

    /// Returns the view of the zone if this planner leads it and knows its engines.
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

    fn abandon(&mut self, now: Time) {
        self.lease.abandon(now);
        self.term = None;
    }
}
