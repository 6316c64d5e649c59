use crate::Action;
use crate::EngineState;
use crate::Order;
use crate::OrderOutcome;
use crate::ledger::ORDER_GRACE;

/// Returns whether an order can no longer take effect, whatever the engine does.
///
/// Orders are not sent after their expiry, are in flight for at most 3 s, and clocks differ by at most 1 s.
pub(crate) fn is_undeliverable(order: &Order, wall_ms: u64) -> bool {
    wall_ms > order.expires_ms + ORDER_GRACE.as_millis() as u64
}

/// Returns whether the order is an unload that the engine has started and that waits for requests in flight.
pub(crate) fn is_unloading(order: &Order, state: &EngineState) -> bool {
    let started =
        state.results.iter().any(|result| result.id == order.id && result.outcome == OrderOutcome::Started);
    started && matches!(order.action, Action::Unload { .. })
}

/// Returns whether the state of an engine that checks fencing numbers includes the effect of an order, if it has
/// any: the engine has seen the fencing number of the order or a higher one, which makes it refuse the order from
/// then on.
pub(crate) fn is_resolved(order: &Order, state: &EngineState) -> bool {
    state.fence >= order.fence && !is_unloading(order, state)
}
