//! Tests of how the model engine executes orders.

use std::time::Duration;

use carobwick_core::Action;
use carobwick_core::Fence;
use carobwick_core::Order;
use carobwick_core::OrderId;
use carobwick_core::OrderOutcome;
use carobwick_standins::EngineFaults;
use test_case::test_case;

use crate::support::Http;
use crate::support::TestEngine;
use crate::support::chat;
use crate::support::is_resident;
use crate::support::load;
use crate::support::order;
use crate::support::unload;

/// Guards against a model that serves requests before its load has ended, or that takes no memory during the
/// load.
#[tokio::test]
async fn load_reserves_memory_before_the_model_serves() {
    let engine = TestEngine::spawn(|options| options.load_time = Duration::from_millis(300)).await;
    assert_eq!(engine.order(1, load("m", 600, None)).await, Some(OrderOutcome::Started));
    let state = engine.engine.state();
    assert!(!is_resident(&state, "m") && state.loading.len() == 1);
    assert_eq!(engine.order(2, load("n", 600, None)).await, Some(OrderOutcome::Failed));
    assert_eq!(engine.engine.stats().overcommit_attempts, 1);
    engine.wait_for_state(|state| is_resident(state, "m")).await;
    assert_eq!(engine.outcome(1), Some(OrderOutcome::Done));
}

/// Guards against a late or repeated order that takes effect on an engine with fencing.
#[test_case(2; "repeated")]
#[test_case(1; "older")]
#[tokio::test]
async fn old_fence_is_refused(fence: u64) {
    let engine = TestEngine::spawn(|_| {}).await;
    assert_eq!(engine.order(2, Action::Noop).await, Some(OrderOutcome::Done));
    let late = Order { id: OrderId(7), fence: Fence(fence), ..order(1, load("m", 400, None)) };
    assert_eq!(engine.send(&late).await, Some(OrderOutcome::Fenced));
    let state = engine.engine.state();
    assert!(state.loading.is_empty() && state.resident.is_empty());
    assert_eq!(state.fence, Fence(2));
}

/// Guards against a repeated order that replaces the outcome of its first arrival.
#[tokio::test]
async fn repeated_order_keeps_its_first_outcome() {
    let engine = TestEngine::with_model(|_| {}).await;
    assert_eq!(engine.order(1, load("m", 400, None)).await, Some(OrderOutcome::Fenced));
    assert_eq!(engine.outcome(1), Some(OrderOutcome::Done));
}

/// Guards against an engine without fencing that refuses late orders, so that tests of late orders prove
/// nothing.
#[tokio::test]
async fn engine_without_fencing_executes_late_orders() {
    let engine = TestEngine::spawn(|options| options.ignore_fence = true).await;
    engine.order(9, Action::Noop).await.unwrap();
    assert_eq!(engine.order(1, load("m", 400, None)).await, Some(OrderOutcome::Started));
    let state = engine.wait_for_state(|state| is_resident(state, "m")).await;
    assert_eq!(state.fence, Fence(0));
}

/// Guards against an order that starts after its expiry, on engines with and without fencing.
#[test_case(true; "ignores fences")]
#[test_case(false; "checks fences")]
#[tokio::test]
async fn expired_order_is_not_started(ignore_fence: bool) {
    let engine = TestEngine::spawn(|options| options.ignore_fence = ignore_fence).await;
    let late = Order { expires_ms: 1, ..order(1, load("m", 400, None)) };
    assert_eq!(engine.send(&late).await, Some(OrderOutcome::Expired));
    assert!(engine.engine.state().loading.is_empty());
}

/// Guards against an adapter that is resident without its base.
#[tokio::test]
async fn adapter_needs_its_base() {
    let engine = TestEngine::spawn(|_| {}).await;
    assert_eq!(engine.order(1, load("a", 10, Some("m"))).await, Some(OrderOutcome::Failed));
    engine.order(2, load("m", 400, None)).await.unwrap();
    engine.wait_for_state(|state| is_resident(state, "m")).await;
    assert_eq!(engine.order(3, load("a", 10, Some("m"))).await, Some(OrderOutcome::Started));
    engine.wait_for_state(|state| is_resident(state, "a")).await;
    assert_eq!(engine.order(4, unload("m")).await, Some(OrderOutcome::Failed));
    engine.order(5, unload("a")).await.unwrap();
    engine.wait_for_state(|state| !is_resident(state, "a") && state.loading.is_empty()).await;
    assert_eq!(engine.order(6, unload("m")).await, Some(OrderOutcome::Started));
}

/// Guards against an unload that cuts a running request, or during which the model accepts new requests.
#[tokio::test]
async fn unload_waits_for_running_requests() {
    let engine = TestEngine::with_model(|options| options.timing.token_us = 20_000).await;
    let url = engine.chat_url();
    let running = tokio::spawn(async move { Http::http1().post(&url, &[], &chat("long", 20, false)).await });
    engine.wait_for_state(|state| state.running == 1).await;
    engine.order(2, unload("m")).await.unwrap();
    let late = Http::http1().post(&engine.chat_url(), &[], &chat("late", 1, false)).await.unwrap();
    assert_eq!((late.status.as_u16(), late.header("carobwick-run")), (404, "no"));
    assert_eq!(engine.engine.state().loading.len(), 1);
    assert_eq!(running.await.unwrap().unwrap().status.as_u16(), 200);
    engine.wait_for_state(|state| state.loading.is_empty()).await;
    assert_eq!(engine.outcome(2), Some(OrderOutcome::Done));
}

/// Guards against a lost order that still takes effect.
#[tokio::test]
async fn lost_order_has_no_effect() {
    let engine = TestEngine::spawn(|_| {}).await;
    engine.engine.faults().set(EngineFaults { lose_orders: 1, ..EngineFaults::default() });
    assert_eq!(engine.order(1, load("m", 400, None)).await, None);
    assert_eq!(engine.engine.stats().orders, 0);
    assert_eq!(engine.order(2, Action::Noop).await, Some(OrderOutcome::Done));
}

/// Guards against a delayed order that is dropped when its sender disconnects, instead of taking effect late.
#[tokio::test]
async fn delayed_order_takes_effect_after_its_sender_disconnected() {
    let engine = TestEngine::spawn(|options| options.ignore_fence = true).await;
    let faults = EngineFaults { delay_orders: 1, order_delay_ms: 300, ..EngineFaults::default() };
    engine.engine.faults().set(faults);
    let sent = tokio::time::timeout(Duration::from_millis(50), engine.order(1, load("m", 400, None))).await;
    sent.unwrap_err();
    assert_eq!(engine.engine.stats().orders, 0);
    engine.wait_for_state(|state| is_resident(state, "m")).await;
}

/// Guards against a duplicated order that arrives only once.
///
/// The second arrival follows the unload and must load the model again.
#[tokio::test]
async fn duplicated_order_arrives_twice() {
    let engine = TestEngine::spawn(|options| options.ignore_fence = true).await;
    let faults = EngineFaults { duplicate_orders: 1, order_delay_ms: 300, ..EngineFaults::default() };
    engine.engine.faults().set(faults);
    engine.order(1, load("m", 400, None)).await.unwrap();
    engine.wait_for_state(|state| is_resident(state, "m")).await;
    engine.order(2, unload("m")).await.unwrap();
    engine.wait_for_state(|state| state.resident.is_empty()).await;
    engine.wait_for_state(|state| is_resident(state, "m")).await;
    assert_eq!(engine.engine.stats().orders, 3);
}

/// Guards against a load or other state that survives the crash of the engine.
#[tokio::test]
async fn crash_drops_loads_and_changes_the_incarnation() {
    let engine = TestEngine::with_model(|options| options.load_time = Duration::from_millis(100)).await;
    engine.order(2, load("n", 400, None)).await.unwrap();
    let before = engine.engine.state();
    engine.engine.crash();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let after = engine.engine.state();
    assert_ne!(after.incarnation, before.incarnation);
    assert!(after.resident.is_empty() && after.loading.is_empty() && after.results.is_empty());
    assert_eq!(after.fence, Fence(0));
    assert_eq!(engine.order(3, Action::Noop).await, Some(OrderOutcome::Done));
}
