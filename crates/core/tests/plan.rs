//! Reads and writes of the plan: lost replies, other writers, and the size of the plan.

use carobwick_core::Action;
use carobwick_core::Bytes;
use carobwick_core::EndpointPlan;
use carobwick_core::Fence;
use carobwick_core::Incarnation;
use carobwick_core::Order;
use carobwick_core::OrderId;
use carobwick_core::PlanEvent;
use carobwick_core::PlanProgress;
use carobwick_core::PlanStep;
use carobwick_core::PlanStore;
use carobwick_core::PlannedOrder;
use carobwick_core::Resident;
use carobwick_core::Version;
use carobwick_core::WriteId;
use carobwick_core::ZonePlan;

fn plan(write_id: u64) -> ZonePlan {
    ZonePlan {
        fence: Fence::first(1),
        version: Version(1),
        write_id: WriteId(write_id),
        manifest_version: Version(1),
        held: Vec::new(),
        endpoints: Vec::new(),
    }
}

/// A store with a write in flight, after it read an older plan at revision 5.
fn writing() -> PlanStore {
    let mut store = PlanStore::default();
    assert_eq!(store.step(), PlanStep::Read);
    assert_eq!(store.on_event(PlanEvent::Read(Some((Box::new(plan(1)), 5)))), PlanProgress::Loaded);
    store.propose(plan(2));
    assert!(matches!(store.step(), PlanStep::Write { expect: Some(5), .. }));
    assert_eq!(store.step(), PlanStep::Wait, "one call is in flight at a time");
    store
}

/// Guards against orders that are sent although their plan was not written, or not sent although it was.
#[test]
fn lost_reply_is_settled_by_reading_back() {
    let mut store = writing();
    assert_eq!(store.on_event(PlanEvent::Failed), PlanProgress::Pending);
    assert_eq!(store.written(), Some(&plan(1)));
    assert_eq!(store.step(), PlanStep::Read);
    assert_eq!(store.on_event(PlanEvent::Read(Some((Box::new(plan(2)), 6)))), PlanProgress::Written);
    assert_eq!(store.written(), Some(&plan(2)));
    assert!(store.is_idle());
}

/// Guards against a different plan being written while the first write may still take effect.
#[test]
fn write_without_effect_is_repeated_unchanged() {
    let mut store = writing();
    store.on_event(PlanEvent::Failed);
    store.step();
    assert_eq!(store.on_event(PlanEvent::Read(Some((Box::new(plan(1)), 5)))), PlanProgress::Pending);
    assert_eq!(store.step(), PlanStep::Write { expect: Some(5), plan: Box::new(plan(2)) });
    assert_eq!(store.on_event(PlanEvent::Conflict(Some((Box::new(plan(2)), 7)))), PlanProgress::Written);
}

/// Guards against a leader that sends orders by a plan that another leader has replaced.
#[test]
fn plan_of_another_writer_supersedes() {
    let mut store = writing();
    assert_eq!(store.on_event(PlanEvent::Conflict(Some((Box::new(plan(3)), 6)))), PlanProgress::Superseded);
}

/// Guards against a plan above the size limit of the key-value service, for 96 engines with 240 models and
/// adapters each.
#[test]
fn plan_of_a_large_zone_stays_below_the_limit() {
    let resident = |index: u32| Resident {
        model: format!("lettering-model-{index:03}:adapter").parse().unwrap(),
        version: "2026-12".parse().unwrap(),
        size: Bytes(200_000_000),
    };
    let action = Action::Load {
        model: "lettering-model-001".parse().unwrap(),
        version: "2026-12".parse().unwrap(),
        size: Bytes(30_000_000_000),
        base: None,
    };
    let order = Order { id: OrderId(1), fence: Fence::first(99), expires_ms: 1_790_000_000_000, action };
    let endpoint = |index: u32| EndpointPlan {
        id: format!("muscat-a-engine-{index:03}").parse().unwrap(),
        service: "lettering-llm".parse().unwrap(),
        addr: "127.100.100.100:65535".to_owned(),
        incarnation: Incarnation(u64::MAX),
        resident: (0..240).map(resident).collect(),
        orders: vec![PlannedOrder { order: order.clone(), settled: false }; 4],
    };
    let mut large = plan(1);
    large.held = (0..240).map(|index| resident(index).model).collect();
    large.endpoints = (0..96).map(endpoint).collect();
    let text = serde_json::to_vec(&large).unwrap();
    assert!(text.len() < 1_000_000, "{} bytes", text.len());
    assert_eq!(serde_json::from_slice::<ZonePlan>(&text).unwrap(), large);
}
