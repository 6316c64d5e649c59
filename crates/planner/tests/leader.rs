//! Leaders against stand-ins over the loopback interface.

mod common;

use carobwick_core::ZonePlan;
use carobwick_standins::EngineFaults;
use carobwick_standins::KvFaults;
use common::TestZone;
use common::all_resident;
use common::wait_for_view;
use test_case::test_case;

/// Guards against a leader that leaves a declared model unloaded, loads one twice, or orders loads beyond the
/// memory.
#[test_case(false ; "engines check fencing numbers")]
#[test_case(true ; "engines ignore fencing numbers")]
#[tokio::test]
async fn all_models_are_placed_once(ignore_fence: bool) {
    let zone = TestZone::start(2, &[60, 50, 30, 30], ignore_fence).await;
    let (leader, node) = zone.start_leader("i1");
    let models = zone.models();
    wait_for_view(&node, |view| all_resident(view, &models)).await;
    assert_eq!(zone.load_counts(), (4, 0));
    leader.stop().await;
}

/// Guards against a successor that loses the orders of a leader that was killed after it wrote its plan.
#[test_case(false ; "engines check fencing numbers")]
#[test_case(true ; "engines ignore fencing numbers")]
#[tokio::test]
async fn successor_completes_orders_of_a_killed_leader(ignore_fence: bool) {
    let zone = TestZone::start(1, &[60, 40], ignore_fence).await;
    // The first order takes effect only after the leader was killed and its lease has expired.
    let delayed = EngineFaults { delay_orders: 1, order_delay_ms: 5_500, ..EngineFaults::default() };
    zone.engines[0].faults().set(delayed);
    let (killed, _) = zone.start_leader("i1");
    zone.wait_for_plan(|plan| order_count(plan) > 0).await;
    drop(killed);
    let (_leader, node) = zone.start_leader("i2");
    let models = zone.models();
    wait_for_view(&node, |view| all_resident(view, &models)).await;
    assert_eq!(zone.load_counts(), (2, 0), "each model is loaded once, and no load exceeds the memory");
}

/// Guards against loads after all planners are replaced at once, while all models are still resident.
#[tokio::test]
async fn replaced_planners_do_not_reload_models() {
    let zone = TestZone::start(2, &[60, 50, 30, 30], false).await;
    let models = zone.models();
    let (first, node) = zone.start_leader("i1");
    wait_for_view(&node, |view| all_resident(view, &models)).await;
    drop(first);
    let (_second, node) = zone.start_leader("i2");
    let (_third, third_node) = zone.start_leader("i3");
    // Either of them can win the election, and only the leader publishes the view.
    tokio::select! {
        _ = wait_for_view(&node, |view| all_resident(view, &models)) => {}
        _ = wait_for_view(&third_node, |view| all_resident(view, &models)) => {}
    }
    assert_eq!(zone.load_counts(), (4, 0));
}

/// Guards against a successor that starts with an empty view because the instance list is unreachable when
/// the old leader stops.
#[tokio::test]
async fn view_is_restored_without_the_instance_list() {
    let zone = TestZone::start(2, &[60, 50, 30, 30], false).await;
    let models = zone.models();
    let (first, node) = zone.start_leader("i1");
    wait_for_view(&node, |view| all_resident(view, &models)).await;
    first.stop().await;
    let faults = carobwick_standins::InstanceFaults { down: true, ..Default::default() };
    zone.instances.faults().set(faults);
    let (_second, node) = zone.start_leader("i2");
    wait_for_view(&node, |view| all_resident(view, &models)).await;
    assert_eq!(zone.load_counts(), (4, 0));
}

/// Guards against models that stay unloaded after their engine crashed during an outage of the key-value
/// service.
#[tokio::test]
async fn crash_during_an_outage_is_repaired_after_it() {
    let zone = TestZone::start(2, &[60, 50], false).await;
    let models = zone.models();
    let (_leader, node) = zone.start_leader("i1");
    wait_for_view(&node, |view| all_resident(view, &models)).await;
    zone.kv.faults().set(KvFaults { down: true, ..KvFaults::default() });
    zone.engines[0].crash();
    wait_for_view(&node, |view| !all_resident(view, &models)).await;
    zone.kv.faults().set(KvFaults::default());
    wait_for_view(&node, |view| all_resident(view, &models)).await;
    assert_eq!(zone.load_counts().1, 0);
}

fn order_count(plan: &ZonePlan) -> usize {
    plan.endpoints.iter().map(|endpoint| endpoint.orders.len()).sum()
}
