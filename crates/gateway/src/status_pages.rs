use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use carobwick_runtime::now;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::listener;
use crate::state::State;

/// Page that a port serves for every request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum StatusPage {
    /// Status 200 if the instance accepts connections, else 503; for the load balancer.
    Readiness,
    /// The metrics in the text format of Prometheus.
    Metrics,
}

/// Serves a page until the task is aborted.
pub(crate) async fn serve(state: Rc<State>, listener: TcpListener, page: StatusPage) {
    loop {
        let (stream, _) = listener::accept(&listener, "ready").await;
        let state = Rc::clone(&state);
        let service =
            service_fn(move |_request| std::future::ready(Ok::<_, Infallible>(respond(&state, page))));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            if let Err(err) = connection.await {
                tracing::debug!("ready: {err}");
            }
        });
    }
}

fn respond(state: &State, page: StatusPage) -> Response<Full<Bytes>> {
    let (status, text) = match page {
        StatusPage::Readiness if state.is_ready() => (StatusCode::OK, String::new()),
        StatusPage::Readiness => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        StatusPage::Metrics => (StatusCode::OK, metrics(state)),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

fn metrics(state: &State) -> String {
    let age = state.freshness.borrow().age(now());
    state.meters.set_buffers(state.buffers.used(), state.connections.open());
    state.meters.render(age, state.unplaced.get())
}
