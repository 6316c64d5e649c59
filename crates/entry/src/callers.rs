use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::Path;
use axum::extract::Request;
use axum::extract::State;
use axum::middleware;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::any;
use axum::routing::get;
use axum::routing::post;
use bytes::Bytes;
use carobwick_core::Manifest;
use carobwick_core::RequestId;
use carobwick_core::Time;
use carobwick_runtime::now;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde_json::json;

use crate::caller_response;
use crate::context::Context;
use crate::header_names::ATTEMPT_ID;
use crate::health;
use crate::inbound::InboundRequest;
use crate::inbound::read_body;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Returns the router of the callers' API.
pub(crate) fn router(context: Arc<Context>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/models", get(models))
        .route("/services/{service}", any(service_root))
        .route("/services/{service}/{*path}", any(service))
        .route("/healthz", get(health::live))
        .route("/readyz", get(health::ready))
        .fallback(unknown_path)
        .method_not_allowed_fallback(wrong_method)
        .layer(middleware::from_fn(echo_attempt_id))
        .with_state(context)
}

/// Echoes the attempt id of an entry that forwarded the request, also on refusals.
///
/// Without it, the other entry could not trust a refusal that says that the request did not run.
async fn echo_attempt_id(request: Request, next: Next) -> Response {
    let attempt = request.headers().get(ATTEMPT_ID).cloned();
    let mut response = next.run(request).await;
    if let Some(attempt) = attempt {
        response.headers_mut().insert(ATTEMPT_ID, attempt);
    }
    response
}

async fn chat(State(context): State<Arc<Context>>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    serve(&context, parts.headers, body, move |id, manifest, headers, body, deadline| {
        InboundRequest::chat(id, manifest, headers, &body, deadline)
    })
    .await
}

async fn service_root(state: State<Arc<Context>>, Path(service): Path<String>, request: Request) -> Response {
    serve_plain(&state.0, service, request).await
}

async fn service(
    state: State<Arc<Context>>,
    Path((service, _)): Path<(String, String)>,
    request: Request,
) -> Response {
    serve_plain(&state.0, service, request).await
}

async fn serve_plain(context: &Arc<Context>, service: String, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    // The path is forwarded as received, without percent-decoding.
    let path_and_query = parts.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
    let rest = path_and_query.trim_start_matches("/services/");
    let rest = rest.find(['/', '?']).map_or("", |index| &rest[index..]);
    let path = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    let target = (parts.method, path);
    serve(context, parts.headers, body, move |id, manifest, headers, body, deadline| {
        InboundRequest::service(id, manifest, &service, target, headers, body, deadline)
    })
    .await
}

async fn serve<F>(context: &Arc<Context>, headers: HeaderMap, body: Body, read: F) -> Response
where
    F: FnOnce(RequestId, &Manifest, HeaderMap, Bytes, Time) -> Result<InboundRequest, Refusal>,
{
    context.meters.request();
    let started = async {
        let config = context.config()?;
        let in_flight = context.try_admit()?;
        let limits = &context.settings.limits;
        let body = read_body(&headers, body, limits.max_body, limits.read_timeout.duration()).await?;
        let deadline = now() + limits.deadline.duration();
        let inbound = read(Context::new_request_id(), &config.manifest, headers, body, deadline)?;
        Ok((inbound, in_flight))
    };
    match started.await {
        Ok((inbound, in_flight)) => caller_response::respond(context, inbound, in_flight).await,
        Err(refusal) => caller_response::refusal_response(context, refusal),
    }
}

async fn models(State(context): State<Arc<Context>>) -> Response {
    let config = match context.config() {
        Ok(config) => config,
        Err(refusal) => return caller_response::refusal_response(&context, refusal),
    };
    let manifest = &config.manifest;
    let names = manifest.models.keys().chain(manifest.adapters.keys());
    let data: Vec<_> =
        names.map(|id| json!({"id": id, "object": "model", "owned_by": manifest.deployment})).collect();
    let body = json!({"object": "list", "data": data}).to_string();
    let headers = [(CONTENT_TYPE, HeaderValue::from_static("application/json"))];
    (StatusCode::OK, headers, body).into_response()
}

async fn unknown_path(State(context): State<Arc<Context>>, request: Request) -> Response {
    let text = format!("`{}` is not a path of this API", request.uri().path());
    caller_response::refusal_response(&context, Refusal::new(Code::UnknownPath, text))
}

async fn wrong_method(State(context): State<Arc<Context>>, request: Request) -> Response {
    let text = format!("`{}` does not take {}", request.uri().path(), request.method());
    caller_response::refusal_response(&context, Refusal::new(Code::WrongMethod, text))
}
