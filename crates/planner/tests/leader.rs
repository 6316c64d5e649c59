//! The leader's loop against stand-ins over loopback.

mod common;

use common::Zone;
use common::all_resident;
use common::view_where;
use test_case::test_case;

/// Guards against a leader that leaves a declared model unloaded, loads one twice, or asks for too much memory.
#[test_case(false ; "engines check fencing numbers")]
#[test_case(true ; "engines ignore fencing numbers")]
#[tokio::test]
async fn all_models_are_placed_once(ignore_fence: bool) {
    let zone = Zone::start(2, &[60, 50, 30, 30], ignore_fence).await;
    let (leader, node) = zone.planner("i1");
    let models = zone.models();
    view_where(&node, |view| all_resident(view, &models)).await;
    assert_eq!(zone.loads(), (4, 0));
    leader.stop().await;
}
