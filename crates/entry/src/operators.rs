use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use carobwick_core::Event;
use serde_json::Value;
use serde_json::json;

use crate::health;
use crate::serving::Serving;

/// Builds the API for operators.
pub(crate) fn router(serving: Arc<Serving>) -> Router {
    Router::new()
        .route("/healthz", get(health::live))
        .route("/readyz", get(health::ready))
        .route("/metrics", get(metrics))
        .route("/admin/status", get(status))
        .route("/admin/timeline", get(timeline))
        .with_state(serving)
}

async fn metrics(State(serving): State<Arc<Serving>>) -> String {
    serving.metrics.render()
}

async fn timeline(State(serving): State<Arc<Serving>>) -> Json<Vec<Event>> {
    Json(serving.timeline.events())
}

async fn status(State(serving): State<Arc<Serving>>) -> Json<Value> {
    let shared = serving.node.read(|state| {
        json!({
            "version": state.config.as_ref().map(|record| record.version),
            "zones": state.views.keys().collect::<Vec<_>>(),
            "crash_reports": state.crash_reports.reports().count(),
        })
    });
    Json(json!({
        "instance": serving.settings.instance,
        "zone": serving.settings.zone,
        "ready": serving.unready().is_none(),
        "unready": serving.unready(),
        "in_flight": serving.in_flight(),
        "shared": shared,
    }))
}
