use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::Command;
use crate::Controller;
use crate::EndpointId;
use crate::EngineState;
use crate::Fence;
use crate::Ledger;
use crate::ListedEndpoint;
use crate::LoadLimiter;
use crate::LoadReport;
use crate::Manifest;
use crate::ModelId;
use crate::Order;
use crate::OrderId;
use crate::OrderOutcome;
use crate::Placement;
use crate::PlanStep;
use crate::PlanStore;
use crate::Tick;
use crate::Time;
use crate::Version;
use crate::ZoneId;
use crate::ZonePlan;
use crate::ZoneView;
use crate::term_decide::order_ttl_ms;

/// Time without a reply after which an order is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Delay between planning an unload and sending it, in which entries receive the view and route requests
/// elsewhere.
const UNLOAD_DELAY_MS: u64 = 1_500;

/// Time for which an engine gets no orders after one of them failed.
const FAILED_ORDER_BACKOFF: Duration = Duration::from_secs(5);

/// Delay before a failed call to the key-value service is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time between two steps above which the process was paused, so that missing replies don't show that an
/// engine is down.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// State of a leader since it took over or last read the plan.
#[derive(Debug)]
pub(crate) struct Term {
    /// Distinguishes replies to calls of this term from replies to calls of an earlier one.
    pub tag: u64,
    pub first_fence: Fence,
    pub last_fence: Fence,
    pub store: PlanStore,
    /// Time from which missing responses of engines count; reset after a pause of the process.
    pub observing_since: Time,
    pub ledger: Ledger,
    pub endpoints: IndexMap<EndpointId, ListedEndpoint>,
    pub health: IndexMap<EndpointId, Health>,
    pub initial_copies: IndexMap<ModelId, usize>,
    pub limiter: Option<LoadLimiter>,
    pub peers: IndexMap<ZoneId, PeerPlan>,
    /// Time at which the plan of each other zone was last requested.
    pub peer_reads: IndexMap<ZoneId, Time>,
    pub placement: Placement,
    pub last_view: Option<ZoneView>,
    /// Time of the last proposed plan, which also updates what is resident.
    pub residency_written: Time,
    pub decided_at: Option<Time>,
    restored: bool,
    last_step: Time,
    retry_at: Time,
    /// Orders in the last written plan, which may be sent.
    written_orders: IndexSet<OrderId>,
    sent_orders: IndexMap<OrderId, SentOrder>,
    /// Time at which a no-op order was last sent to raise the fencing number of an engine.
    fence_raised: IndexMap<EndpointId, Time>,
}

/// Responses of an engine to state requests and orders.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    pub last_response: Option<Time>,
    pub paused_until: Time,
    pub load: LoadReport,
}

/// Models held by the plan of another zone, as last read.
#[derive(Debug, Clone)]
pub(crate) struct PeerPlan {
    pub requested: Time,
    pub version: Version,
    pub held: IndexSet<ModelId>,
}

#[derive(Debug, Clone, Copy)]
struct SentOrder {
    at: Time,
    replied: bool,
}

impl Term {
    pub(crate) fn new(tick: &Tick, first_fence: Fence, last_fence: Fence) -> Self {
        Self {
            tag: tick.seed,
            first_fence,
            last_fence,
            store: PlanStore::default(),
            observing_since: tick.now,
            ledger: Ledger::default(),
            endpoints: IndexMap::new(),
            health: IndexMap::new(),
            initial_copies: IndexMap::new(),
            limiter: None,
            peers: IndexMap::new(),
            peer_reads: IndexMap::new(),
            placement: Placement::default(),
            last_view: None,
            residency_written: Time::ZERO,
            decided_at: None,
            restored: false,
            last_step: tick.now,
            retry_at: Time::ZERO,
            written_orders: IndexSet::new(),
            sent_orders: IndexMap::new(),
            fence_raised: IndexMap::new(),
        }
    }

    /// Adds the next calls and the orders that are due to `commands`, and plans new orders while the lease is
    /// valid.
    pub(crate) fn step(
        &mut self,
        controller: &Controller,
        tick: &Tick,
        is_leader: bool,
        commands: &mut Vec<Command>,
    ) {
        if tick.now - self.last_step > PAUSE_THRESHOLD {
            self.observing_since = tick.now;
            for health in self.health.values_mut() {
                health.last_response = None;
            }
        }
        self.last_step = tick.now;
        self.call_store(tick, commands);
        let Some(config) = controller.config.as_deref() else {
            return;
        };
        if !self.store.is_loaded() {
            return;
        }
        if !self.restored {
            self.restore(&config.manifest);
        }
        self.update_accounts(controller, &config.manifest, tick);
        self.send_orders(tick, is_leader, commands);
        if is_leader && self.store.is_idle() {
            self.plan(controller, config, tick, commands);
            self.call_store(tick, commands);
        }
    }

    /// Handles a successful write of the proposed plan, after which its orders may be sent.
    pub(crate) fn on_plan_written(&mut self) {
        let plan = self.store.written();
        let orders = plan.into_iter().flat_map(|plan| &plan.endpoints).flat_map(|endpoint| &endpoint.orders);
        self.written_orders = orders.map(|planned| planned.order.id).collect();
        self.sent_orders.retain(|id, _| self.written_orders.contains(id));
    }

    pub(crate) fn on_store_failure(&mut self, now: Time) {
        self.retry_at = now + STORE_RETRY_DELAY;
    }

    pub(crate) fn on_peer_plan(&mut self, zone: &ZoneId, requested: Time, plan: Option<&ZonePlan>) {
        match plan {
            None => self.peers.shift_remove(zone),
            Some(plan) => {
                let held = plan.held.iter().cloned().collect();
                self.peers.insert(zone.clone(), PeerPlan { requested, version: plan.manifest_version, held })
            }
        };
    }

    pub(crate) fn on_state(
        &mut self,
        tick: &Tick,
        endpoint: &EndpointId,
        requested: (Time, u64),
        state: Option<&EngineState>,
    ) {
        let (Some(account), Some(state)) = (self.ledger.get_mut(endpoint), state) else {
            return;
        };
        account.observe(state, requested.0, requested.1);
        let health = self.health.entry(endpoint.clone()).or_default();
        health.last_response = Some(tick.now);
        health.load = LoadReport { running: state.running, queued: state.queued, ..LoadReport::default() };
    }

    pub(crate) fn on_order(
        &mut self,
        tick: &Tick,
        endpoint: &EndpointId,
        id: OrderId,
        reply: Option<OrderOutcome>,
    ) {
        let Some(outcome) = reply else {
            return;
        };
        if let Some(sent) = self.sent_orders.get_mut(&id) {
            sent.replied = true;
        }
        if outcome == OrderOutcome::Failed {
            self.health.entry(endpoint.clone()).or_default().paused_until = tick.now + FAILED_ORDER_BACKOFF;
        }
    }

    pub(crate) fn next_fence(&mut self) -> Fence {
        self.last_fence = self.last_fence.next();
        self.last_fence
    }

    fn call_store(&mut self, tick: &Tick, commands: &mut Vec<Command>) {
        if tick.now < self.retry_at {
            return;
        }
        match self.store.step() {
            PlanStep::Wait => {}
            step => commands.push(Command::Plan(self.tag, step)),
        }
    }

    fn restore(&mut self, manifest: &Manifest) {
        self.restored = true;
        let Some(plan) = self.store.written().cloned() else {
            return;
        };
        for endpoint in &plan.endpoints {
            let service = manifest.services.get(&endpoint.service);
            let (memory, checks_fence) =
                service.map_or_else(Default::default, |spec| (spec.memory, spec.checks_fence));
            self.ledger.get_or_insert(&endpoint.id, memory, checks_fence).restore(endpoint);
            let listed = ListedEndpoint {
                service: endpoint.service.clone(),
                addr: endpoint.addr.clone(),
                leaving: false,
            };
            self.endpoints.insert(endpoint.id.clone(), listed);
            for resident in &endpoint.resident {
                *self.initial_copies.entry(resident.model.clone()).or_default() += 1;
            }
        }
    }

    fn send_orders(&mut self, tick: &Tick, is_leader: bool, commands: &mut Vec<Command>) {
        let mut unsent: Vec<(EndpointId, Order)> = Vec::new();
        let mut unfenced: Vec<EndpointId> = Vec::new();
        for (endpoint, account) in self.ledger.accounts() {
            let Some(listed) = self.endpoints.get(endpoint) else {
                continue;
            };
            for order in account.open_orders() {
                let sent = self.sent_orders.get(&order.id).copied();
                let own_term =
                    order.fence > self.first_fence && order.fence.revision() == self.first_fence.revision();
                let unexpired = tick.wall_ms < order.expires_ms;
                if own_term && unexpired && self.written_orders.contains(&order.id) {
                    let resend = sent.is_some_and(|s| {
                        account.checks_fence() && !s.replied && tick.now - s.at >= RESEND_INTERVAL
                    });
                    let due = is_due(order, account.checks_fence(), tick.wall_ms);
                    if due && (sent.is_none() || resend) && (is_leader || account.checks_fence()) {
                        self.sent_orders.insert(order.id, SentOrder { at: tick.now, replied: false });
                        commands.push(send(endpoint, listed, order.clone()));
                    }
                } else if own_term && !unexpired && sent.is_none() {
                    unsent.push((endpoint.clone(), order.clone()));
                } else if account.checks_fence() && !(own_term && unexpired) {
                    unfenced.push(endpoint.clone());
                }
            }
        }
        for (endpoint, order) in unsent {
            // Only this leader may send the order, and it has expired unsent, so it never takes effect.
            if let Some(account) = self.ledger.get_mut(&endpoint) {
                account.remove_unsent(&order);
            }
        }
        unfenced.dedup();
        for endpoint in unfenced {
            self.raise_fence(tick, &endpoint, commands);
        }
    }

    /// Sends a no-op order to raise the fencing number that an engine has seen.
    ///
    /// The engine then refuses all earlier orders, so its state shows their final outcome.
    fn raise_fence(&mut self, tick: &Tick, endpoint: &EndpointId, commands: &mut Vec<Command>) {
        if self.fence_raised.get(endpoint).is_some_and(|at| tick.now - *at < RESEND_INTERVAL) {
            return;
        }
        let Some(listed) = self.endpoints.get(endpoint).cloned() else {
            return;
        };
        self.fence_raised.insert(endpoint.clone(), tick.now);
        let order = self.new_order(tick, crate::Action::Noop);
        commands.push(send(endpoint, &listed, order));
    }
}

fn send(endpoint: &EndpointId, listed: &ListedEndpoint, order: Order) -> Command {
    Command::Send { endpoint: endpoint.clone(), addr: listed.addr.clone(), order }
}

fn is_due(order: &Order, checks_fence: bool, wall_ms: u64) -> bool {
    let unload = matches!(order.action, crate::Action::Unload { .. });
    !unload || wall_ms + order_ttl_ms(checks_fence) >= order.expires_ms + UNLOAD_DELAY_MS
}
