use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::state::State;

/// Answers the balancer's question whether the instance takes connections.
pub(crate) async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                tracing::warn!("ready: a connection was not accepted: {err}");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let state = Rc::clone(&state);
        let service = service_fn(move |_request| {
            let status = if state.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            let mut response = Response::new(Full::new(Bytes::new()));
            *response.status_mut() = status;
            std::future::ready(Ok::<_, Infallible>(response))
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            if let Err(err) = connection.await {
                tracing::debug!("ready: {err}");
            }
        });
    }
}
