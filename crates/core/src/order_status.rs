use crate::Action;
use crate::EngineState;
use crate::Order;
use crate::OrderOutcome;
use crate::ledger::ORDER_GRACE;

/// Returns whether an order can no longer take effect at the wall-clock time `wall_ms`, in milliseconds, even
/// on an engine that does not check fencing numbers.
///
/// [`ORDER_GRACE`] covers the time in flight of at most 3 s and a difference between clocks of at most 1 s;
/// orders are not sent after their expiry.
pub(crate) fn is_undeliverable(order: &Order, wall_ms: u64) -> bool {
    wall_ms > order.expires_ms + ORDER_GRACE.as_millis() as u64
}

/// Returns whether the order is an unload that the engine has started and that waits for requests in flight.
pub(crate) fn is_unloading(order: &Order, state: &EngineState) -> bool {
    let started =
        state.results.iter().any(|result| result.id == order.id && result.outcome == OrderOutcome::Started);
    started && matches!(order.action, Action::Unload { .. })
}

/// Returns whether the outcome of an order is final in the state of an engine that checks fencing numbers.
///
/// An engine refuses an order once it has seen its fencing number or a higher one, so the state includes the
/// effect of the order, or the order never takes effect. An unload in progress is not final.
pub(crate) fn is_resolved(order: &Order, state: &EngineState) -> bool {
    state.fence >= order.fence && !is_unloading(order, state)
}
