use std::sync::Arc;

use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;

use crate::context::Context;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Responds as long as the process runs.
pub(crate) async fn live() -> &'static str {
    "ok\n"
}

/// Responds whether the entry is ready for callers' requests.
pub(crate) async fn ready(State(context): State<Arc<Context>>) -> Response {
    match context.unready_reason() {
        None => "ready\n".into_response(),
        Some(reason) => Refusal::new(Code::NotReady, reason).into_response(),
    }
}
