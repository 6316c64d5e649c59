use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carobwick_core::Time;
use carobwick_runtime::now;
use carobwick_runtime::serve_until;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::TRANSFER_ENCODING;
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::caller_body::CallerBody;
use crate::caller_body::OpenStream;
use crate::caller_connections::CallerConnection;
use crate::caller_stream::CallerStream;
use crate::connection::configure_socket;
use crate::head_inspector::HeadCheck;
use crate::head_inspector::HeadInspector;
use crate::head_inspector::InspectedStream;
use crate::listener;
use crate::meters::CallerLoss;
use crate::meters::ShedCause;
use crate::request_intake::check_head;
use crate::request_intake::read_request;
use crate::request_intake::reject_head;
use crate::response::LocalResponse;
use crate::response::ResponseBody;
use crate::state::State;

/// Time beyond the configured idle timeout for which a connection is kept, so that a request sent just before
/// the timeout still gets a response.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Idle timeout of a connection while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest request head while there is no configuration.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;
/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Accepts callers' connections until `closing` is cancelled.
pub(crate) async fn accept(
    state: Rc<State>,
    listener: TcpListener,
    closing: CancellationToken,
    connections: TaskTracker,
) {
    loop {
        let (stream, peer) = tokio::select! {
            accepted = listener::accept(&listener, "gateway") => accepted,
            () = closing.cancelled() => return,
        };
        let (is_limited, connection) = state.connections.admit();
        if is_limited {
            state.meters.record_shed(ShedCause::Connections);
            // Lets the connection that is closed return its descriptor before the next one is accepted.
            tokio::task::yield_now().await;
        }
        // Without a place for it, the stream is dropped here, which closes it.
        if let Some(connection) = connection {
            connections.spawn_local(serve(Rc::clone(&state), stream, peer, connection, closing.clone()));
        }
    }
}

async fn serve(
    state: Rc<State>,
    stream: TcpStream,
    peer: SocketAddr,
    connection: CallerConnection,
    closing: CancellationToken,
) {
    if let Err(err) = configure_socket(&stream) {
        tracing::debug!("gateway: caller {peer}: {err}");
        return;
    }
    let inspector = HeadInspector::default();
    let stream = CallerStream::new(stream, connection.read_deadline.clone());
    let io = TokioIo::new(InspectedStream::new(stream, inspector.clone()));
    let (max_head, idle_timeout) = connection_limits(&state);
    let shed = connection.closing.clone();
    let connection = Rc::new(connection);
    let shared_state = Rc::clone(&state);
    let service = service_fn(move |request| {
        let (state, inspector, connection) =
            (Rc::clone(&shared_state), inspector.clone(), Rc::clone(&connection));
        async move { Ok::<_, Infallible>(serve_request(state, inspector, &connection, request).await) }
    });
    let served = http1::Builder::new()
        .auto_date_header(false)
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout + IDLE_MARGIN)
        .max_buf_size(max_head.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    match shed.run_until_cancelled(serve_until(served, &closing)).await {
        Some(Ok(())) => {}
        Some(Err(err)) => {
            let loss = caller_loss(&err);
            state.meters.record_caller_loss(loss);
            tracing::debug!("gateway: caller {peer}: {loss:?}: {err}");
        }
        None => tracing::debug!(
            "gateway: caller {peer}: closed for lack of memory or descriptors, or as its stream was not read"
        ),
    }
}

/// Returns how an error has ended the connection of a caller.
fn caller_loss(err: &hyper::Error) -> CallerLoss {
    if err.is_user() {
        return CallerLoss::BrokenOff;
    }
    let cause = err.source().and_then(|source| source.downcast_ref::<io::Error>());
    match cause.map(io::Error::kind) {
        Some(ErrorKind::TimedOut) => CallerLoss::TimedOut,
        _ => CallerLoss::Closed,
    }
}

/// Responds to one request, during which its connection is in use.
async fn serve_request(
    state: Rc<State>,
    inspector: HeadInspector,
    connection: &Rc<CallerConnection>,
    request: Request<Incoming>,
) -> Response<CallerBody> {
    let active = connection.begin_request();
    let Answer { response, deadline } = respond(&state, inspector, request).await;
    if let Some(deadline) = deadline {
        connection.read_deadline.extend(deadline);
    }
    let stream = match response.body() {
        ResponseBody::Buffered(held) => {
            if let Some(share) = held.as_ref().and_then(|held| held.share.as_ref()) {
                share.begin_sending(connection.closing.clone());
            }
            None
        }
        ResponseBody::Streamed(_) => {
            deadline.map(|deadline| OpenStream::open(&state, deadline, &connection.closing))
        }
    };
    response.map(|body| CallerBody::new(body, active, stream))
}

fn connection_limits(state: &State) -> (usize, Duration) {
    match state.route_table.borrow().as_ref() {
        Some(table) => (table.limits.max_head.0 as usize, table.limits.idle_timeout.duration()),
        None => (DEFAULT_MAX_HEAD_BYTES, DEFAULT_IDLE_TIMEOUT),
    }
}

/// Response to one request.
struct Answer {
    response: Response<ResponseBody>,
    /// Time at which the caller gives up, unless the request was rejected.
    deadline: Option<Time>,
}

/// Responds to one request.
async fn respond(state: &Rc<State>, inspector: HeadInspector, request: Request<Incoming>) -> Answer {
    let arrived = now();
    let mut deadline = None;
    let check = inspector.take_result();
    let (parts, body) = request.into_parts();
    let is_chunked = parts.headers.contains_key(TRANSFER_ENCODING);
    let mut response = match check {
        HeadCheck::Ambiguous => LocalResponse::new(StatusCode::BAD_REQUEST, "the head has two meanings")
            .close_connection()
            .into_response(),
        HeadCheck::Unambiguous | HeadCheck::Unchecked => {
            match check_head(state, &parts, body.size_hint().exact()) {
                Ok(checked) => match read_request(state, &inspector, checked, parts, body, arrived).await {
                    Ok(request) => {
                        deadline = Some(request.deadline);
                        request.run().await
                    }
                    Err(local) => local.into_response(),
                },
                Err(local) => reject_head(local, body, inspector).await.into_response(),
            }
        }
    };
    // The bytes after a chunked body whose head was not inspected must not be parsed as a request.
    let is_unsafe = check == HeadCheck::Unchecked && is_chunked;
    if is_unsafe || state.stopping.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Answer { response, deadline }
}
