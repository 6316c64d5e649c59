use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Extension;
use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::response::Response;
use carobwick_core::Action;
use carobwick_core::EngineState;
use carobwick_core::ModelId;
use carobwick_core::ModelVersion;
use carobwick_core::Order;
use carobwick_core::OrderId;
use carobwick_core::OrderOutcome;
use carobwick_core::OrderResult;
use carobwick_core::Resident;
use carobwick_runtime::wall_ms;
use serde_json::Value;
use tokio::sync::broadcast::error::RecvError;

use super::memory::CopyState;
use super::memory::LoadResult;
use super::memory::UnloadResult;
use super::state::Core;
use super::state::EngineStats;
use super::state::State as Engine;
use crate::server::Connection;
use crate::weights::LoadRequest;

/// How often an unload checks whether the last request for its model has ended.
const UNLOAD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Work that an order starts and that goes on after its response.
enum FollowUp {
    None,
    Load(LoadRequest),
    Unload(ModelId, ModelVersion),
}

/// Handles `POST /admin/orders`.
pub(super) async fn order(
    State(core): State<Arc<Core>>,
    Extension(connection): Extension<Connection>,
    Json(order): Json<Order>,
) -> Json<OrderResult> {
    if core.faults.try_take(|faults| &mut faults.lose_orders) {
        return connection.abort().await;
    }
    let delay = Duration::from_millis(core.faults.read(|faults| faults.order_delay_ms));
    if core.faults.try_take(|faults| &mut faults.duplicate_orders) {
        let (core, order) = (Arc::clone(&core), order.clone());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            execute(&core, &order);
        });
    }
    if core.faults.try_take(|faults| &mut faults.delay_orders) {
        // A separate task executes the order even if its sender has disconnected by then.
        let id = order.id;
        let delayed = tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            execute(&core, &order)
        });
        let outcome = delayed.await.unwrap_or(OrderOutcome::Failed);
        return Json(OrderResult { id, outcome });
    }
    let outcome = execute(&core, &order);
    Json(OrderResult { id: order.id, outcome })
}

/// Handles `GET /admin/state`.
pub(super) async fn state(State(core): State<Arc<Core>>) -> Json<EngineState> {
    Json(core.state_report())
}

/// Handles `GET /stats`.
pub(super) async fn stats(State(core): State<Arc<Core>>) -> Json<EngineStats> {
    Json(core.lock().stats.clone())
}

/// Handles `GET /cache-events` with one JSON line per event.
pub(super) async fn cache_events(State(core): State<Arc<Core>>) -> Response {
    let delay = core.options.event_delay;
    let events = futures_util::stream::unfold(core.events.subscribe(), move |mut events| async move {
        loop {
            match events.recv().await {
                Ok((at, event)) => {
                    tokio::time::sleep_until((at + delay).into()).await;
                    let line = serde_json::to_string(&event).unwrap_or_default();
                    return Some((Ok::<_, Infallible>(format!("{line}\n")), events));
                }
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return None,
            }
        }
    });
    Response::new(Body::from_stream(events))
}

/// Executes an order and returns its outcome so far; loads and unloads go on in a separate task.
fn execute(core: &Arc<Core>, order: &Order) -> OrderOutcome {
    let mut state = core.lock();
    state.stats.orders += 1;
    let (outcome, follow_up) = apply(core, &mut state, order);
    // A repeated order is fenced, but the outcome of its first arrival must stay in the results.
    if outcome != OrderOutcome::Fenced || state.order_outcome(order.id).is_none() {
        state.set_order_outcome(order.id, outcome);
    }
    let incarnation = state.incarnation;
    drop(state);
    let (core, id) = (Arc::clone(core), order.id);
    match follow_up {
        FollowUp::None => {}
        FollowUp::Load(request) => {
            tokio::spawn(async move {
                let loaded = load_weights(&core, &request).await;
                let mut state = core.lock();
                if state.incarnation == incarnation {
                    finish_load(&mut state, id, &request, loaded);
                }
            });
        }
        FollowUp::Unload(model, version) => {
            tokio::spawn(async move {
                while !try_finish_unload(&core, id, incarnation, &model, &version) {
                    tokio::time::sleep(UNLOAD_POLL_INTERVAL).await;
                }
            });
        }
    }
    outcome
}

fn apply(core: &Core, state: &mut Engine, order: &Order) -> (OrderOutcome, FollowUp) {
    if !core.options.ignore_fence {
        if order.fence <= state.fence {
            state.stats.fenced += 1;
            return (OrderOutcome::Fenced, FollowUp::None);
        }
        state.fence = order.fence;
    }
    if wall_ms() > order.expires_ms {
        state.stats.expired += 1;
        return (OrderOutcome::Expired, FollowUp::None);
    }
    match &order.action {
        Action::Load { model, version, size, base } => {
            let resident = Resident { model: model.clone(), version: version.clone(), size: *size };
            match state.memory.start_load(resident, base.clone()) {
                LoadResult::Started => {
                    state.stats.loads += 1;
                    let request = LoadRequest {
                        model: model.clone(),
                        version: version.clone(),
                        size: *size,
                        adapter: base.is_some(),
                    };
                    (OrderOutcome::Started, FollowUp::Load(request))
                }
                LoadResult::Loading => (OrderOutcome::Started, FollowUp::None),
                LoadResult::Resident => (OrderOutcome::Done, FollowUp::None),
                LoadResult::Unloading | LoadResult::BaseMissing => (OrderOutcome::Failed, FollowUp::None),
                LoadResult::OutOfMemory => {
                    state.stats.overcommit_attempts += 1;
                    (OrderOutcome::Failed, FollowUp::None)
                }
            }
        }
        Action::Unload { model, version } => match state.memory.start_unload(model, version) {
            UnloadResult::Started => {
                state.stats.unloads += 1;
                (OrderOutcome::Started, FollowUp::Unload(model.clone(), version.clone()))
            }
            UnloadResult::NotResident => (OrderOutcome::Done, FollowUp::None),
            UnloadResult::InUseAsBase => (OrderOutcome::Failed, FollowUp::None),
        },
        Action::Role { role } => {
            state.role = *role;
            (OrderOutcome::Done, FollowUp::None)
        }
        Action::Noop => (OrderOutcome::Done, FollowUp::None),
    }
}

async fn load_weights(core: &Core, request: &LoadRequest) -> bool {
    let Some(weights) = &core.options.weights_url else {
        tokio::time::sleep(core.options.load_time).await;
        return true;
    };
    let url = format!("{}/load", weights.trim_end_matches('/'));
    let loaded = core.http.post::<_, BTreeMap<String, Value>>(&url, request).await;
    if let Err(err) = &loaded {
        tracing::warn!("engine: {} failed to load {}: {err}", core.options.endpoint, request.model);
    }
    loaded.is_ok()
}

fn finish_load(state: &mut Engine, id: OrderId, request: &LoadRequest, loaded: bool) {
    if !loaded {
        state.memory.remove(&request.model, &request.version, &CopyState::Loading);
        state.set_order_outcome(id, OrderOutcome::Failed);
    } else if state.memory.finish_load(&request.model, &request.version) {
        state.set_order_outcome(id, OrderOutcome::Done);
    } else {
        // An unload order arrived during the load.
        state.set_order_outcome(id, OrderOutcome::Failed);
    }
}

fn try_finish_unload(
    core: &Core,
    id: OrderId,
    incarnation: carobwick_core::Incarnation,
    model: &ModelId,
    version: &ModelVersion,
) -> bool {
    let mut state = core.lock();
    if state.incarnation != incarnation {
        return true;
    }
    let finished = state.finish_unload(model, version);
    if finished {
        state.set_order_outcome(id, OrderOutcome::Done);
        core.record_load_report(&mut state, Instant::now());
    }
    finished
}
