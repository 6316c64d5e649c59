use crate::Action;
use crate::EngineState;
use crate::Order;
use crate::OrderOutcome;
use crate::ledger::ORDER_GRACE;

/// Returns whether an order can't take effect any more, whatever the engine does.
///
/// It is not sent after its expiry, is at most 3 s under way, and clocks differ by at most 1 s.
pub(crate) fn is_undeliverable(order: &Order, wall_ms: u64) -> bool {
    wall_ms > order.expires_ms + ORDER_GRACE.as_millis() as u64
}

/// Returns whether the engine carries out an unload that still waits for requests in flight.
pub(crate) fn is_unloading(order: &Order, state: &EngineState) -> bool {
    let started =
        state.results.iter().any(|result| result.id == order.id && result.outcome == OrderOutcome::Started);
    started && matches!(order.action, Action::Unload { .. })
}

/// Returns whether the state of an engine that checks fencing numbers shows the effect of an order, or that the
/// order comes too late for it.
pub(crate) fn is_resolved(order: &Order, state: &EngineState) -> bool {
    state.fence >= order.fence && !is_unloading(order, state)
}
