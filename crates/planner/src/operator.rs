use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use carobwick_core::DrainReply;
use carobwick_core::DrainRequest;
use carobwick_core::Event;
use carobwick_core::EventKind;
use carobwick_core::Manifest;
use carobwick_core::Publish;
use carobwick_core::PublishOutcome;
use carobwick_core::PublishReply;
use carobwick_core::RollbackRequest;
use carobwick_core::StatusReport;
use carobwick_core::Version;
use carobwick_core::WriteId;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::Context;
use crate::archive;
use crate::explain;
use crate::key_value;
use crate::publishing;
use crate::status;

/// Largest manifest that the API accepts. A value of the key-value service has at most 1 MB, and a record is
/// larger than its manifest.
const MAX_MANIFEST_BYTES: usize = 1_000_000 - 4_096;

/// Serves the operator API until `stop` is cancelled and the requests in flight are finished.
pub(crate) async fn serve(
    context: Context,
    listener: TcpListener,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let router = router(context);
    axum::serve(listener, router).with_graceful_shutdown(stop.cancelled_owned()).await?;
    Ok(())
}

fn router(context: Context) -> Router {
    Router::new()
        .route("/admin/manifest", post(publish).get(read_manifest))
        .route("/admin/rollback", post(rollback))
        .route("/admin/drains", post(drain))
        .route("/admin/explain/{*model}", get(explain_model))
        .route("/admin/status", get(read_status))
        .route("/admin/timeline", get(read_timeline))
        .route("/metrics", get(read_metrics))
        .route("/healthz", get(async || "ok\n"))
        .route("/readyz", get(read_readiness))
        .layer(DefaultBodyLimit::max(MAX_MANIFEST_BYTES))
        .with_state(context)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PublishQuery {
    expect: Option<Version>,
}

async fn publish(State(context): State<Context>, Query(query): Query<PublishQuery>, body: Bytes) -> Response {
    let text = String::from_utf8_lossy(&body);
    let manifest = match Manifest::from_json(&text) {
        Ok(manifest) => manifest,
        Err(err) => return error_response(StatusCode::BAD_REQUEST, "invalid", &err.to_string()),
    };
    run_publish(&context, Publish::manifest(manifest, new_write_id(), query.expect)).await
}

async fn run_publish(context: &Context, publish: Publish) -> Response {
    let write_id = publish.write_id();
    let outcome = publishing::run(context, publish).await;
    context.meters.record_publish(match outcome {
        PublishOutcome::Accepted(..) => "accepted",
        PublishOutcome::Conflict(_) => "conflict",
        PublishOutcome::Refused(_) => "refused",
        PublishOutcome::Unavailable => "unavailable",
        PublishOutcome::Unknown => "unknown",
    });
    match outcome {
        PublishOutcome::Accepted(version, _) => Json(PublishReply { version, write_id }).into_response(),
        PublishOutcome::Conflict(version) => {
            let message = format!("version {version} was published by another writer");
            error_response(StatusCode::CONFLICT, "conflict", &message)
        }
        PublishOutcome::Refused(reason) => {
            error_response(StatusCode::UNPROCESSABLE_ENTITY, "refused", &reason)
        }
        PublishOutcome::Unavailable => {
            let message = "the key-value service does not answer; nothing was written";
            error_response(StatusCode::SERVICE_UNAVAILABLE, "unavailable", message)
        }
        PublishOutcome::Unknown => {
            let message =
                "the key-value service did not say whether the manifest was accepted; read the status";
            error_response(StatusCode::GATEWAY_TIMEOUT, "unknown", message)
        }
    }
}

async fn read_manifest(State(context): State<Context>) -> Response {
    match context.node.read(|state| state.config.clone()) {
        Some(record) => Json(record).into_response(),
        None => error_response(StatusCode::NOT_FOUND, "no_manifest", "no manifest is in force"),
    }
}

async fn rollback(State(context): State<Context>, Json(request): Json<RollbackRequest>) -> Response {
    let version = request.version;
    match archive::find_manifest(&context, version).await {
        Ok(Some(manifest)) => run_publish(&context, Publish::rollback(manifest, new_write_id())).await,
        Ok(None) => error_response(
            StatusCode::NOT_FOUND,
            "not_found",
            &format!("version {version} is not known any more"),
        ),
        Err(err) => error_response(StatusCode::SERVICE_UNAVAILABLE, "unavailable", &err.to_string()),
    }
}

async fn explain_model(State(context): State<Context>, Path(model): Path<String>) -> Response {
    let id = match model.parse() {
        Ok(id) => id,
        Err(err) => return error_response(StatusCode::BAD_REQUEST, "invalid", &format!("{err}")),
    };
    let Some(explanation) = context.node.read(|state| explain::explain_artifact(state, &id)) else {
        let message = format!("`{model}` is neither declared nor resident");
        return error_response(StatusCode::NOT_FOUND, "not_found", &message);
    };
    Json(explanation).into_response()
}

async fn drain(State(context): State<Context>, Json(request): Json<DrainRequest>) -> Json<DrainReply> {
    let DrainRequest { target, drained } = request;
    let mark = context.node.update(|state| state.drains.set(target.clone(), drained, new_write_id()));
    context.wake.notify_one();
    let action = if drained { "drained" } else { "put back into use" };
    context.timeline.add(EventKind::Drain, format!("{target} {action}"));
    let stored = key_value::store_drains(&context).await;
    let durable = stored.unwrap_or_else(|err| {
        tracing::warn!("kv: drain of {target} not stored yet: {err}");
        false
    });
    context.meters.record_drain(durable);
    Json(DrainReply { target, mark, durable })
}

async fn read_status(State(context): State<Context>) -> Json<StatusReport> {
    // A planner that doesn't watch the key-value service rarely calls it, so the last result may be old.
    key_value::check_reachable(&context).await;
    Json(status::report(&context))
}

async fn read_timeline(State(context): State<Context>) -> Json<Vec<Event>> {
    Json(context.timeline.events())
}

async fn read_metrics(State(context): State<Context>) -> String {
    context.metrics.render()
}

async fn read_readiness(State(context): State<Context>) -> (StatusCode, &'static str) {
    if context.node.read(|state| state.config.is_some()) {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "no manifest\n")
    }
}

fn new_write_id() -> WriteId {
    WriteId(rand::random())
}

fn error_response(status: StatusCode, code: &str, message: &str) -> Response {
    (status, Json(json!({"error": {"code": code, "message": message}}))).into_response()
}
