use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use carobwick_core::Event;
use serde_json::Value;
use serde_json::json;

use crate::context::Context;
use crate::health;

/// Returns the router of the operators' API.
pub(crate) fn router(context: Arc<Context>) -> Router {
    Router::new()
        .route("/healthz", get(health::live))
        .route("/readyz", get(health::ready))
        .route("/metrics", get(metrics))
        .route("/admin/status", get(status))
        .route("/admin/timeline", get(timeline))
        .with_state(context)
}

async fn metrics(State(context): State<Arc<Context>>) -> String {
    context.metrics.render()
}

async fn timeline(State(context): State<Arc<Context>>) -> Json<Vec<Event>> {
    Json(context.timeline.events())
}

async fn status(State(context): State<Arc<Context>>) -> Json<Value> {
    let shared = context.node.read(|state| {
        json!({
            "version": state.config.as_ref().map(|record| record.version),
            "zones": state.views.keys().collect::<Vec<_>>(),
            "crash_reports": state.crash_reports.reports().count(),
        })
    });
    Json(json!({
        "instance": context.settings.instance,
        "zone": context.settings.zone,
        "ready": context.unready_reason().is_none(),
        "unready": context.unready_reason(),
        "in_flight": context.in_flight(),
        "shared": shared,
    }))
}
