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

/// Time between steps; deadlines of the lease and of orders are much longer.
const STEP: Duration = Duration::from_millis(100);

/// Time between polls of an engine's state.
const POLL: Duration = Duration::from_secs(1);

/// Time between reads of the instance list.
const LIST: Duration = Duration::from_secs(2);

/// Time that a stopping leader takes at most to give up its lease.
const RESIGN: Duration = Duration::from_secs(2);

/// Candidates that look for a missing leader often; the others look seldom, which spares the key-value service.
const CANDIDATES: usize = 3;

/// A running planner's part in leading its zone; it ends at once when it is dropped.
#[derive(Debug)]
pub struct Leader {
    task: AbortOnDropHandle<()>,
    stop: CancellationToken,
}

/// What a [`Leader`] works with.
#[derive(Debug)]
pub struct LeaderSetup {
    /// Instance of the planner.
    pub instance: InstanceId,
    /// Its availability zone.
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
    /// Ends the leader, which gives up its lease first.
    pub stop: CancellationToken,
    /// Demand that entries of the zone report.
    pub demand: mpsc::Receiver<DemandReport>,
}

/// Outcome of a call.
#[derive(Debug)]
pub(crate) enum Reply {
    Lease(LeaseEvent),
    Plan(u64, PlanEvent),
    Zone { zone: ZoneId, asked: Time, plan: Option<ZonePlan>, led: bool },
    Listing(Option<ZoneListing>),
    State { endpoint: EndpointId, asked: (Time, u64), state: Option<Box<EngineState>> },
    Order { endpoint: EndpointId, id: OrderId, outcome: Option<OrderOutcome> },
}

struct Loop {
    controller: Controller,
    calls: Calls,
    counts: LeaderMetrics,
    node: Node,
    timeline: Timeline,
    leadership: Leadership,
    listing: bool,
    listed: Option<Time>,
    polling: HashSet<EndpointId>,
    polled: HashMap<EndpointId, Time>,
}

impl Leader {
    /// Starts to take part in leading the zone.
    pub fn spawn(setup: LeaderSetup) -> Self {
        let stop = setup.stop.clone();
        Self { task: AbortOnDropHandle::new(tokio::spawn(run(setup))), stop }
    }

    /// Stops and waits until the lease was given up, for a short time at most.
    pub async fn stop(self) {
        self.stop.cancel();
        if let Err(err) = self.task.await {
            tracing::warn!("planner: leader task failed: {err}");
        }
    }

    /// Waits until the task ends, which it does after its stop token was cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the task panicked, as it does when an invariant is violated.
    pub async fn ended(self) -> anyhow::Result<()> {
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
    let (replies, mut inbox) = mpsc::unbounded_channel();
    let calls = Calls { key_value, instances, engine, zone: zone.clone(), replies };
    let counts = LeaderMetrics::open(&metrics, &zone);
    let mut state = Loop {
        controller: Controller::new(instance, zone),
        calls,
        counts,
        node,
        timeline,
        leadership: Leadership::Follower,
        listing: false,
        listed: None,
        polling: HashSet::new(),
        polled: HashMap::new(),
    };
    let mut ticks = tokio::time::interval(STEP);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut deadline = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(reply) = inbox.recv() => state.take(reply),
            Some(report) = demand.recv() => state.controller.add_demand(now(), &report),
        }
        if stop.is_cancelled() {
            let end = *deadline.get_or_insert_with(|| now() + RESIGN);
            if now() >= end || state.controller.leadership(now()) == Leadership::Follower {
                return;
            }
        }
        state.step(stop.is_cancelled());
    }
}

impl Loop {
    fn step(&mut self, stopping: bool) {
        let (config, drains) = self.node.read(|shared| (shared.config.clone(), shared.drains.clone()));
        if let Some(config) = config {
            self.controller.set_config(config);
        }
        self.controller.set_drains(drains, stopping);
        self.controller.set_read_interval(self.interval());
        for command in self.controller.step(&tick()) {
            self.run(command);
        }
        self.note_leadership();
        if self.leadership != Leadership::Follower {
            self.read_list();
            self.poll_engines();
            self.publish();
        }
    }

    fn take(&mut self, reply: Reply) {
        let tick = tick();
        match reply {
            Reply::Lease(event) => self.controller.on_lease(tick.now, event),
            Reply::Plan(tag, event) => self.controller.on_plan(&tick, tag, event),
            Reply::Zone { zone, asked, plan, led } => {
                self.controller.on_peer_plan(&zone, asked, plan.as_ref(), led);
            }
            Reply::Listing(listing) => {
                self.listing = false;
                if let Some(listing) = listing {
                    self.controller.set_listing(listing);
                }
            }
            Reply::State { endpoint, asked, state } => {
                self.polling.remove(&endpoint);
                self.controller.on_state(&tick, &endpoint, asked, state.as_deref());
            }
            Reply::Order { endpoint, id, outcome } => {
                self.controller.on_order(&tick, &endpoint, id, outcome);
                // The state that shows the order's effect is read at once.
                self.polled.remove(&endpoint);
            }
        }
    }

    fn run(&mut self, command: Command) {
        match command {
            Command::Lease(step) => {
                let record = match &step {
                    LeaseStep::Create { write_id, .. } => Some(self.controller.lease().record(*write_id)),
                    _ => None,
                };
                self.calls.lease(step, record);
            }
            Command::Plan(tag, step) => {
                if let carobwick_core::PlanStep::Write { plan, .. } = &step {
                    let orders: usize = plan.endpoints.iter().map(|endpoint| endpoint.orders.len()).sum();
                    self.timeline.add(
                        EventKind::Plan,
                        format!("write {} of zone {} with {orders} orders", plan.version, self.calls.zone),
                    );
                }
                self.counts.plan(&step);
                self.calls.plan(tag, step);
            }
            Command::ReadPeerPlan(zone) => self.calls.read_zone(zone),
            Command::Send { endpoint, addr, order } => {
                self.timeline.add(
                    EventKind::Order,
                    format!("order {} with fence {} to {endpoint}", order.id, order.fence),
                );
                self.counts.order(&order.action);
                self.calls.send(endpoint, addr, order);
            }
            Command::RecordDecision(text) => {
                tracing::info!("planner: {text}");
                self.timeline.add(EventKind::Plan, text);
            }
        }
    }

    fn note_leadership(&mut self) {
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
        self.counts.leads(leadership != Leadership::Follower);
        tracing::info!("planner: {text}");
        self.timeline.add(EventKind::Lease, text);
        self.leadership = leadership;
    }

    fn read_list(&mut self) {
        let due = self.listed.is_none_or(|at| now() - at >= LIST);
        if due && !self.listing {
            self.listing = true;
            self.listed = Some(now());
            self.calls.list();
        }
    }

    fn poll_engines(&mut self) {
        for (endpoint, addr) in self.controller.engines_to_poll() {
            let due = self.polled.get(&endpoint).is_none_or(|at| now() - *at >= POLL);
            if due && self.polling.insert(endpoint.clone()) {
                self.polled.insert(endpoint.clone(), now());
                self.calls.poll(endpoint, addr);
            }
        }
    }

    fn publish(&mut self) {
        let Some(view) = self.controller.view(now()) else {
            return;
        };
        let newer = |shared: &carobwick_core::SharedState| {
            shared.views.get(&view.zone).is_none_or(|own| own.rank() < view.rank())
        };
        if self.node.read(newer) {
            self.node.update(|shared| shared.merge_view(view));
        }
    }

    /// Returns how often this planner looks for a missing leader, by its place among the zone's planners.
    fn interval(&self) -> Duration {
        let place = self.node.read(|shared| {
            let view = shared.views.get(&self.calls.zone)?;
            let mut live: Vec<&InstanceId> =
                view.instances.iter().filter(|(_, instance)| instance.live).map(|(id, _)| id).collect();
            live.sort();
            live.iter().position(|id| *id == self.controller.instance())
        });
        if place.is_none_or(|place| place < CANDIDATES) { POLL } else { POLL * 10 }
    }
}

fn tick() -> Tick {
    Tick { now: now(), wall_ms: wall_ms(), seed: rand::random() }
}
