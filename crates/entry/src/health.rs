use std::sync::Arc;

use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;

use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::serving::Serving;

/// Answers whether the process runs.
pub(crate) async fn live() -> &'static str {
    "ok\n"
}

/// Answers whether the entry takes callers' requests.
pub(crate) async fn ready(State(serving): State<Arc<Serving>>) -> Response {
    match serving.unready() {
        None => "ready\n".into_response(),
        Some(reason) => Refusal::new(Code::NotReady, reason).into_response(),
    }
}
