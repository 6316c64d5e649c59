use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use carobwick_core::Command;
use carobwick_core::Controller;
use carobwick_core::DemandReport;
use carobwick_core::EndpointId;
use carobwick_core::EngineState;
use carobwick_core::EventKind;
use carobwick_core::InstanceId;
use carobwick_core::Leadership;
use carobwick_core::LeaseEvent;
use carobwick_core::LeaseStep;
use carobwick_core::OrderId;
use carobwick_core::OrderOutcome;
use carobwick_core::PlanEvent;
use carobwick_core::Tick;
use carobwick_core::Time;
use carobwick_core::ZoneId;
use carobwick_core::ZoneListing;
use carobwick_core::ZonePlan;
use carobwick_runtime::EngineClient;
use carobwick_runtime::InstanceListClient;
use carobwick_runtime::KeyValueClient;
use carobwick_runtime::Metrics;
use carobwick_runtime::Node;
use carobwick_runtime::Timeline;
use carobwick_runtime::now;
use carobwick_runtime::wall_ms;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::leader_calls::Calls;
use crate::leader_metrics::LeaderMetrics;

/// Time between steps of the controller; deadlines of the lease and of orders are much longer.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Time between reads of an engine's state, and between reads of the leader key by a frequent reader.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time between reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time that a stopping leader takes to give up its lease.
const RESIGN_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of planners that read the leader key every [`POLL_INTERVAL`] to detect a missing leader. The others
/// read it at a tenth of that rate, to reduce the load of the key-value service.
const CANDIDATE_COUNT: usize = 3;

/// A running task that takes part in the election of a zone's leader and leads the zone when it is elected.
///
/// Dropping it aborts the task, which then does not give up its lease.
#[derive(Debug)]
pub struct Leader {
    task: AbortOnDropHandle<()>,
    stop: CancellationToken,
}

/// Identity, clients and shared state of a [`Leader`].
#[derive(Debug)]
pub struct LeaderSetup {
    /// Id of the planner's instance.
    pub instance: InstanceId,
    /// Availability zone of the planner.
    pub zone: ZoneId,
    /// Client of the key-value service.
    pub key_value: KeyValueClient,
    /// Client of the instance list.
    pub instances: InstanceListClient,
    /// Client of the engines.
    pub engine: EngineClient,
    /// State shared with the peers; the zone's view is published there.
    pub node: Node,
    /// Timeline of the process.
    pub timeline: Timeline,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Stops the leader, which gives up its lease first.
    pub stop: CancellationToken,
    /// Demand reports of the zone's entries.
    pub demand: mpsc::Receiver<DemandReport>,
}

/// Outcome of a call, as [`Calls`] sends it to the leader.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    Lease(LeaseEvent),
    Plan(u64, PlanEvent),
    PeerPlan { zone: ZoneId, requested: Time, plan: Option<ZonePlan>, has_leader: bool },
    Listing(Option<ZoneListing>),
    State { endpoint: EndpointId, requested: (Time, u64), state: Option<Box<EngineState>> },
    Order { endpoint: EndpointId, id: OrderId, reply: Option<OrderOutcome> },
}

/// State of the leader task.
struct LeaderLoop {
    controller: Controller,
    calls: Calls,
    leader_metrics: LeaderMetrics,
    node: Node,
    timeline: Timeline,
    leadership: Leadership,
    /// Whether a read of the instance list is in flight.
    list_pending: bool,
    /// Start of the last read of the instance list.
    last_list: Option<Time>,
    /// Engines with a poll in flight.
    pending_polls: HashSet<EndpointId>,
    /// Start of the last poll of each engine; removed when the engine is due at once.
    last_polls: HashMap<EndpointId, Time>,
}

impl Leader {
    /// Spawns the task, which starts as a follower.
    pub fn spawn(setup: LeaderSetup) -> Self {
        let stop = setup.stop.clone();
        Self { task: AbortOnDropHandle::new(tokio::spawn(run(setup))), stop }
    }

    /// Stops the task and waits until it has given up the lease, for 2 s at most.
    pub async fn stop(self) {
        self.stop.cancel();
        if let Err(err) = self.task.await {
            tracing::warn!("planner: leader task failed: {err}");
        }
    }

    /// Waits until the task ends, as it does after its stop token is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the task panicked, as it does when an invariant is violated.
    pub async fn wait_ended(self) -> anyhow::Result<()> {
        Ok(self.task.await?)
    }
}

async fn run(setup: LeaderSetup) {
    let LeaderSetup {
        instance,
        zone,
        key_value,
        instances,
        engine,
        node,
        timeline,
        metrics,
        stop,
        mut demand,
    } = setup;
    let (outcome_sender, mut outcomes) = mpsc::unbounded_channel();
    let calls = Calls { key_value, instances, engine, zone: zone.clone(), outcome_sender };
    let leader_metrics = LeaderMetrics::open(&metrics, &zone);
    let mut leader = LeaderLoop {
        controller: Controller::new(instance, zone),
        calls,
        leader_metrics,
        node,
        timeline,
        leadership: Leadership::Follower,
        list_pending: false,
        last_list: None,
        pending_polls: HashSet::new(),
        last_polls: HashMap::new(),
    };
    let mut ticks = tokio::time::interval(STEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut resign_deadline = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(outcome) = outcomes.recv() => leader.handle_outcome(outcome),
            Some(report) = demand.recv() => leader.controller.add_demand(now(), &report),
        }
        if stop.is_cancelled() {
            let deadline = *resign_deadline.get_or_insert_with(|| now() + RESIGN_TIMEOUT);
            if now() >= deadline || leader.controller.leadership(now()) == Leadership::Follower {
                return;
            }
        }
        leader.step(stop.is_cancelled());
    }
}

impl LeaderLoop {
    fn step(&mut self, stopping: bool) {
        let (config, drains) = self.node.read(|shared| (shared.config.clone(), shared.drains.clone()));
        if let Some(config) = config {
            self.controller.set_config(config);
        }
        self.controller.set_drains(drains, stopping);
        self.controller.set_read_interval(self.leader_read_interval());
        for command in self.controller.step(&current_tick()) {
            self.execute(command);
        }
        self.update_leadership();
        if self.leadership != Leadership::Follower {
            self.read_list();
            self.poll_engines();
            self.publish();
        }
    }

    fn handle_outcome(&mut self, outcome: CallOutcome) {
        let tick = current_tick();
        match outcome {
            CallOutcome::Lease(event) => self.controller.on_lease(tick.now, event),
            CallOutcome::Plan(tag, event) => self.controller.on_plan(&tick, tag, event),
            CallOutcome::PeerPlan { zone, requested, plan, has_leader } => {
                self.controller.on_peer_plan(&zone, requested, plan.as_ref(), has_leader);
            }
            CallOutcome::Listing(listing) => {
                self.list_pending = false;
                if let Some(listing) = listing {
                    self.controller.set_listing(listing);
                }
            }
            CallOutcome::State { endpoint, requested, state } => {
                self.pending_polls.remove(&endpoint);
                self.controller.on_state(&tick, &endpoint, requested, state.as_deref());
            }
            CallOutcome::Order { endpoint, id, reply } => {
                self.controller.on_order(&tick, &endpoint, id, reply);
                // The next step polls the engine, whose state now shows the effect of the order.
                self.last_polls.remove(&endpoint);
            }
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Lease(step) => {
                let record = match &step {
                    LeaseStep::Create { write_id, .. } => Some(self.controller.lease().record(*write_id)),
                    _ => None,
                };
                self.calls.run_lease_step(step, record);
            }
            Command::Plan(tag, step) => {
                if let carobwick_core::PlanStep::Write { plan, .. } = &step {
                    let orders: usize = plan.endpoints.iter().map(|endpoint| endpoint.orders.len()).sum();
                    self.timeline.add(
                        EventKind::Plan,
                        format!("write {} of zone {} with {orders} orders", plan.version, self.calls.zone),
                    );
                }
                self.leader_metrics.record_plan_step(&step);
                self.calls.run_plan_step(tag, step);
            }
            Command::ReadPeerPlan(zone) => self.calls.read_peer_plan(zone),
            Command::Send { endpoint, addr, order } => {
                self.timeline.add(
                    EventKind::Order,
                    format!("order {} with fence {} to {endpoint}", order.id, order.fence),
                );
                self.leader_metrics.record_order(&order.action);
                self.calls.send_order(endpoint, addr, order);
            }
            Command::RecordDecision(text) => {
                tracing::info!("planner: {text}");
                self.timeline.add(EventKind::Plan, text);
            }
        }
    }

    fn update_leadership(&mut self) {
        let leadership = self.controller.leadership(now());
        if leadership == self.leadership {
            return;
        }
        let text = match leadership {
            Leadership::Follower => format!("follows in zone {}", self.calls.zone),
            Leadership::Leader(fence) => format!("leads zone {} with fence {fence}", self.calls.zone),
            Leadership::Expired(fence) => {
                format!("lease of zone {} with fence {fence} ended", self.calls.zone)
            }
        };
        self.leader_metrics.set_leading(leadership != Leadership::Follower);
        tracing::info!("planner: {text}");
        self.timeline.add(EventKind::Lease, text);
        self.leadership = leadership;
    }

    fn read_list(&mut self) {
        let due = self.last_list.is_none_or(|at| now() - at >= LIST_INTERVAL);
        if due && !self.list_pending {
            self.list_pending = true;
            self.last_list = Some(now());
            self.calls.list_instances();
        }
    }

    fn poll_engines(&mut self) {
        for (endpoint, addr) in self.controller.engines_to_poll() {
            let due = self.last_polls.get(&endpoint).is_none_or(|at| now() - *at >= POLL_INTERVAL);
            if due && self.pending_polls.insert(endpoint.clone()) {
                self.last_polls.insert(endpoint.clone(), now());
                self.calls.poll_state(endpoint, addr);
            }
        }
    }

    fn publish(&mut self) {
        let Some(view) = self.controller.view(now()) else {
            return;
        };
        let is_newer = |shared: &carobwick_core::SharedState| {
            shared.views.get(&view.zone).is_none_or(|own| own.rank() < view.rank())
        };
        if self.node.read(is_newer) {
            self.node.update(|shared| shared.merge_view(view));
        }
    }

    /// Returns the time between reads of the leader key, by this planner's position among the zone's live
    /// instances in the order of their ids.
    fn leader_read_interval(&self) -> Duration {
        let position = self.node.read(|shared| {
            let view = shared.views.get(&self.calls.zone)?;
            let mut live: Vec<&InstanceId> =
                view.instances.iter().filter(|(_, instance)| instance.live).map(|(id, _)| id).collect();
            live.sort();
            live.iter().position(|id| *id == self.controller.instance())
        });
        if position.is_none_or(|position| position < CANDIDATE_COUNT) {
            POLL_INTERVAL
        } else {
            POLL_INTERVAL * 10
        }
    }
}

fn current_tick() -> Tick {
    Tick { now: now(), wall_ms: wall_ms(), seed: rand::random() }
}
