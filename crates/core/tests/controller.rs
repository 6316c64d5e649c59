//! First steps of a new leader, with scripted replies: which orders it must not send yet.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use carobwick_core::Action;
use carobwick_core::Bytes;
use carobwick_core::Command;
use carobwick_core::ConfigRecord;
use carobwick_core::Controller;
use carobwick_core::EndpointId;
use carobwick_core::EndpointPlan;
use carobwick_core::EngineState;
use carobwick_core::Fence;
use carobwick_core::Incarnation;
use carobwick_core::LeaseEvent;
use carobwick_core::LeaseStep;
use carobwick_core::ListedEndpoint;
use carobwick_core::Manifest;
use carobwick_core::Order;
use carobwick_core::OrderId;
use carobwick_core::PlanEvent;
use carobwick_core::PlanStep;
use carobwick_core::PlannedOrder;
use carobwick_core::Resident;
use carobwick_core::Role;
use carobwick_core::Tick;
use carobwick_core::Time;
use carobwick_core::Version;
use carobwick_core::WriteId;
use carobwick_core::ZoneListing;
use carobwick_core::ZonePlan;
use serde_json::json;

const TERM: u64 = 42;

/// A leader whose lease calls succeed at once; plan writes get a reply only if `confirm_writes` is set.
struct LeaderSim {
    controller: Controller,
    now_ms: u64,
    confirm_writes: bool,
    plan: Option<ZonePlan>,
    sent: Vec<(EndpointId, Order)>,
}

impl LeaderSim {
    fn new(checks: bool, plan: Option<ZonePlan>) -> Self {
        let manifest = json!({
            "deployment": "test",
            "objective": {"attainment": 1.0, "moves": 1.0},
            "store": {"rate": 50.0, "concurrent": 4},
            "adapter_loads": 4,
            "zones": ["a"],
            "services": {"llm": {"kind": "engine", "memory": 100, "slots": 8, "checks_fence": checks}},
            "models": {"m": {"service": "llm", "version": "1", "size": 60}},
        });
        let manifest = Manifest::from_json(&manifest.to_string()).unwrap();
        let record = ConfigRecord::first(manifest, WriteId(1)).unwrap();
        let mut controller = Controller::new("i1".parse().unwrap(), "a".parse().unwrap());
        controller.set_config(Arc::new(record));
        let mut listing = ZoneListing::default();
        for id in ["e0", "e1"] {
            let listed =
                ListedEndpoint { service: "llm".parse().unwrap(), addr: String::new(), leaving: false };
            listing.endpoints.insert(id.parse().unwrap(), listed);
        }
        controller.set_listing(listing);
        Self { controller, now_ms: 1_000, confirm_writes: true, plan, sent: Vec::new() }
    }

    fn tick(&self) -> Tick {
        let now = Time::ZERO + Duration::from_millis(self.now_ms);
        Tick { now, wall_ms: self.now_ms, seed: self.now_ms }
    }

    /// Steps every 100 ms; each of the given engines responds with its state each time.
    fn run(&mut self, millis: u64, states: &[(&str, EngineState)]) {
        for _ in 0..millis / 100 {
            self.now_ms += 100;
            let tick = self.tick();
            for (id, state) in states {
                let requested = (tick.now, tick.wall_ms);
                self.controller.on_state(&tick, &id.parse().unwrap(), requested, Some(state));
            }
            for command in self.controller.step(&tick) {
                self.reply_to(&tick, command);
            }
        }
    }

    fn reply_to(&mut self, tick: &Tick, command: Command) {
        match command {
            Command::Lease(step) => {
                let event = match step {
                    LeaseStep::Read | LeaseStep::Verify => LeaseEvent::Read(None),
                    LeaseStep::Grant => LeaseEvent::Granted(1),
                    LeaseStep::Create { .. } => LeaseEvent::Created(TERM),
                    LeaseStep::KeepAlive(_) => LeaseEvent::Kept(true),
                    LeaseStep::Revoke(_) | LeaseStep::Wait => LeaseEvent::Revoked,
                };
                self.controller.on_lease(tick.now, event);
            }
            Command::Plan(tag, PlanStep::Read) => {
                let found = self.plan.clone().map(|plan| (Box::new(plan), 1));
                self.controller.on_plan(tick, tag, PlanEvent::Read(found));
            }
            Command::Plan(tag, PlanStep::Write { plan, .. }) => {
                self.plan = Some(*plan);
                if self.confirm_writes {
                    self.controller.on_plan(tick, tag, PlanEvent::Written(tick.now.millis()));
                }
            }
            Command::Send { endpoint, order, .. } => self.sent.push((endpoint, order)),
            Command::Plan(_, PlanStep::Wait) | Command::ReadPeerPlan(_) | Command::RecordDecision(_) => {}
        }
    }

    /// Counts the loads that were ordered, by order id, since an order without a reply is sent again.
    fn load_count(&self) -> usize {
        let loads = self.sent.iter().filter(|(_, order)| matches!(order.action, Action::Load { .. }));
        loads.map(|(_, order)| order.id).collect::<BTreeSet<_>>().len()
    }
}

fn resident() -> Resident {
    Resident { model: "m".parse().unwrap(), version: "1".parse().unwrap(), size: Bytes(60) }
}

fn state(fence: u64, resident: Vec<Resident>) -> EngineState {
    EngineState {
        incarnation: Incarnation(1),
        fence: Fence(fence),
        memory: Bytes(100),
        resident,
        loading: Vec::new(),
        running: 0,
        queued: 0,
        role: Role::Mixed,
        results: Vec::new(),
    }
}

/// Plan of the previous leader, with what `e0` holds and, if `open`, a load that may still reach it.
fn plan(resident: Vec<Resident>, open: bool) -> ZonePlan {
    let action = Action::Load {
        model: "m".parse().unwrap(),
        version: "1".parse().unwrap(),
        size: Bytes(60),
        base: None,
    };
    let order = Order { id: OrderId(9), fence: Fence::first(7).next(), expires_ms: 4_000, action };
    let orders = if open { vec![PlannedOrder { order, settled: false }] } else { Vec::new() };
    let endpoint = EndpointPlan {
        id: "e0".parse().unwrap(),
        service: "llm".parse().unwrap(),
        addr: String::new(),
        incarnation: Incarnation(1),
        resident,
        orders,
    };
    ZonePlan {
        fence: Fence::first(7),
        version: Version(3),
        write_id: WriteId(5),
        manifest_version: Version(1),
        held: Vec::new(),
        endpoints: vec![endpoint],
    }
}

/// Guards against an order that a successor can't know of, because it was sent before its plan was written.
#[test]
fn order_waits_for_its_plan() {
    let mut sim = LeaderSim::new(true, None);
    let empty = [("e0", state(0, Vec::new())), ("e1", state(0, Vec::new()))];
    sim.run(500, &empty);
    sim.confirm_writes = false;
    sim.run(1_500, &empty);
    let listed: usize = sim.plan.iter().flat_map(|plan| &plan.endpoints).map(|e| e.orders.len()).sum();
    assert_eq!(listed, 1, "{:?}", sim.plan);
    assert_eq!(sim.sent.len(), 0);
}

/// Guards against a new leader that orders a load while one of its predecessor may still take effect: an
/// engine that checks fencing numbers first gets a higher one, and no other order until its state shows it.
#[test]
fn successor_raises_the_fence_before_it_uses_a_state() {
    let mut sim = LeaderSim::new(true, Some(plan(Vec::new(), true)));
    sim.run(2_000, &[("e0", state(0, Vec::new())), ("e1", state(0, Vec::new()))]);
    assert!(
        sim.sent.iter().all(|(endpoint, order)| endpoint.as_str() == "e0" && order.action == Action::Noop)
    );
    let (_, noop) = sim.sent.last().unwrap().clone();
    assert!(noop.fence > Fence::first(TERM));
    sim.run(1_000, &[("e0", state(noop.fence.0, Vec::new())), ("e1", state(0, Vec::new()))]);
    assert_eq!(sim.load_count(), 1);
}

/// Guards against a new leader that orders a load while one of its predecessor may still reach an engine that
/// ignores fencing numbers, where only the expiry settles an order.
#[test]
fn successor_waits_for_expiry_on_an_engine_without_fencing() {
    let mut sim = LeaderSim::new(false, Some(plan(Vec::new(), true)));
    let empty = [("e0", state(0, Vec::new())), ("e1", state(0, Vec::new()))];
    sim.run(6_900, &empty);
    assert_eq!(sim.sent.len(), 0, "the order can arrive until 8 s");
    sim.run(2_000, &empty);
    assert_eq!(sim.load_count(), 1);
}

/// Guards against a second load after a leader change because the engine that holds the model has not
/// responded yet.
#[test]
fn copy_on_an_unconfirmed_engine_counts_until_it_is_down() {
    let mut sim = LeaderSim::new(true, Some(plan(vec![resident()], false)));
    sim.run(9_000, &[("e1", state(0, Vec::new()))]);
    assert_eq!(sim.sent.len(), 0);
    sim.run(4_000, &[("e1", state(0, Vec::new()))]);
    assert_eq!(sim.load_count(), 1, "an engine that does not respond is down");
}

/// Guards against a leader with an older manifest that changes what other zones rely on.
#[test]
fn manifest_older_than_that_of_the_plan_changes_nothing() {
    let mut newer = plan(Vec::new(), false);
    newer.manifest_version = Version(2);
    let mut sim = LeaderSim::new(true, Some(newer));
    sim.run(5_000, &[("e0", state(0, Vec::new())), ("e1", state(0, Vec::new()))]);
    assert_eq!(sim.sent.len(), 0);
    assert_eq!(
        sim.plan.map(|plan| (plan.fence, plan.manifest_version)),
        Some((Fence::first(TERM), Version(2)))
    );
}
