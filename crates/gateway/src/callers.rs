use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carobwick_core::Fingerprint;
use carobwick_core::Millis;
use carobwick_core::Time;
use carobwick_core::gateway::Access;
use carobwick_core::gateway::CallerLimits;
use carobwick_core::gateway::Progress;
use carobwick_core::gateway::RequestHead;
use carobwick_core::gateway::RouteTable;
use carobwick_core::gateway::ServiceRoute;
use carobwick_core::gateway::Suspect;
use carobwick_core::gateway::Verdict;
use carobwick_core::gateway::VersionBinding;
use carobwick_runtime::now;
use carobwick_runtime::serve_until;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::HOST;
use http::header::TRANSFER_ENCODING;
use http::request::Parts;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Category;
use crate::buffer::read_whole;
use crate::connection::configure_socket;
use crate::head_inspector::HeadCheck;
use crate::head_inspector::HeadInspector;
use crate::head_inspector::InspectedStream;
use crate::listener;
use crate::proxied_request::ProxiedRequest;
use crate::quota::QuotaUse;
use crate::response::LocalResponse;
use crate::response::ResponseBody;
use crate::state::State;
use crate::suspicion::CONVICTED_RETRY_AFTER;

/// Time beyond the configured idle timeout for which a connection is kept, so that a request sent just before
/// the timeout still gets a response.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Idle timeout of a connection while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest request head while there is no configuration.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;
/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// `Retry-After` of a response for lack of a configuration or a service.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest body that is read and dropped after its request was rejected by the head.
const MAX_DISCARDED_BYTES: u64 = 64 << 10;
/// Time for which such a body is read.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Deadline of a request whose caller sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(1);

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
        let connection = serve(Rc::clone(&state), stream, peer, closing.clone());
        connections.spawn_local(connection);
    }
}

async fn serve(state: Rc<State>, stream: TcpStream, peer: SocketAddr, closing: CancellationToken) {
    if let Err(err) = configure_socket(&stream) {
        tracing::debug!("gateway: caller {peer}: {err}");
        return;
    }
    let inspector = HeadInspector::default();
    let io = TokioIo::new(InspectedStream::new(stream, inspector.clone()));
    let (max_head, idle_timeout) = connection_limits(&state);
    let service = service_fn(move |request| {
        let (state, inspector) = (Rc::clone(&state), inspector.clone());
        async move { Ok::<_, Infallible>(respond(state, inspector, request).await) }
    });
    let connection = http1::Builder::new()
        .auto_date_header(false)
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout + IDLE_MARGIN)
        .max_buf_size(max_head.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    if let Err(err) = serve_until(connection, &closing).await {
        tracing::debug!("gateway: caller {peer}: {err}");
    }
}

fn connection_limits(state: &State) -> (usize, Duration) {
    match state.route_table.borrow().as_ref() {
        Some(table) => (table.limits.max_head.0 as usize, table.limits.idle_timeout.duration()),
        None => (DEFAULT_MAX_HEAD_BYTES, DEFAULT_IDLE_TIMEOUT),
    }
}

/// Responds to one request.
async fn respond(
    state: Rc<State>,
    inspector: HeadInspector,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = now();
    let check = inspector.take_result();
    let (parts, body) = request.into_parts();
    let is_chunked = parts.headers.contains_key(TRANSFER_ENCODING);
    let mut response = match check {
        HeadCheck::Ambiguous => LocalResponse::new(StatusCode::BAD_REQUEST, "the head has two meanings")
            .close_connection()
            .into_response(),
        HeadCheck::Unambiguous | HeadCheck::Unchecked => match check_head(&state, &parts) {
            Ok(checked) => match read_request(&state, &inspector, checked, parts, body, arrived).await {
                Ok(request) => request.run().await,
                Err(local) => local.into_response(),
            },
            Err(local) => reject_head(local, body, inspector).into_response(),
        },
    };
    // The bytes after a chunked body whose head was not inspected must not be parsed as a request.
    let is_unsafe = check == HeadCheck::Unchecked && is_chunked;
    if is_unsafe || state.stopping.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Request whose head is accepted, so that its body may be read.
struct CheckedHead {
    table: Arc<RouteTable>,
    route: Arc<ServiceRoute>,
    access: Access,
    head: RequestHead,
    quota: Option<QuotaUse>,
}

/// Checks the head of a request, or returns the response that rejects it. What the head alone can decide is decided before
/// the body takes any memory.
fn check_head(state: &Rc<State>, parts: &Parts) -> Result<CheckedHead, LocalResponse> {
    let table = state.route_table.borrow().clone();
    let table = table.ok_or_else(|| unavailable("no configuration yet").retry_after(RETRY_AFTER))?;
    if state.refusing.is_cancelled() {
        return Err(LocalResponse::STOPPING);
    }
    let route = find_route(&table, parts)?;
    let head = state.wire.parse_request(&parts.headers).map_err(|err| {
        tracing::info!("gateway: request on {} rejected: {err}", route.name);
        LocalResponse::new(StatusCode::BAD_REQUEST, "the head can't be read")
    })?;
    let access = table.access.check(&route, head.key.as_ref());
    if access == Access::Denied {
        tracing::info!("gateway: request {} on {} has no known key", head.attempt_id, route.name);
        state.meters.record_denied();
        return Err(LocalResponse::UNAUTHORIZED);
    }
    let quota = state.take_quota(&access, &head)?;
    Ok(CheckedHead { table, route, access, head, quota })
}

/// Rejects a request by its head. Its body is read and dropped for a short time: closing the connection with unread bytes
/// would reset it before the caller has the response.
fn reject_head(local: LocalResponse, body: Incoming, inspector: HeadInspector) -> LocalResponse {
    if body.is_end_stream() {
        inspector.body_read();
        return local;
    }
    let is_small = body.size_hint().upper().is_some_and(|length| length <= MAX_DISCARDED_BYTES);
    tokio::task::spawn_local(async move {
        let discarded = tokio::time::timeout(DISCARD_TIME, discard(body));
        if discarded.await.is_ok_and(|is_complete| is_complete) {
            inspector.body_read();
        }
    });
    if is_small { local } else { local.close_connection() }
}

/// Reads and drops the rest of a body; returns whether it came to its end.
async fn discard(mut body: Incoming) -> bool {
    let mut bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
        if bytes > MAX_DISCARDED_BYTES {
            return false;
        }
    }
    body.is_end_stream()
}

fn unavailable(message: &'static str) -> LocalResponse {
    LocalResponse::new(StatusCode::SERVICE_UNAVAILABLE, message)
}

/// Reads the body of a request whose head is accepted, or returns the response that rejects it.
async fn read_request(
    state: &Rc<State>,
    inspector: &HeadInspector,
    checked: CheckedHead,
    parts: Parts,
    body: Incoming,
    arrived: Time,
) -> Result<ProxiedRequest, LocalResponse> {
    let CheckedHead { table, route, access, head, quota } = checked;
    let body = read_body(body, &table.limits).await?;
    inspector.body_read();
    // The head or the body may have taken as long as the stop has lasted.
    if state.refusing.is_cancelled() {
        return Err(LocalResponse::STOPPING);
    }
    let fingerprint =
        Fingerprint(xxh3_64_with_seed(&body, xxh3_64_with_seed(parts.uri.path().as_bytes(), 0)));
    let suspects: Vec<Suspect> = head.shared_parts().map(Suspect::Part).collect();
    if is_convicted(state, fingerprint, &suspects) {
        tracing::info!(
            "gateway: request {} refused: it or a part of its prompt is convicted of crashing endpoints",
            head.attempt_id
        );
        return Err(unavailable("the request crashes endpoints").retry_after(CONVICTED_RETRY_AFTER));
    }
    if let Some(stream) = &head.resumes {
        let (request, event) = (&head.attempt_id, head.last_event.as_deref().unwrap_or("none"));
        tracing::info!("gateway: request {request} takes up the stream of {stream} after event {event}");
    }
    let service = route.pick(rand::random()).cloned();
    let service = service.ok_or_else(|| unavailable("the route has no service").retry_after(RETRY_AFTER))?;
    let limit = head.deadline.map_or(DEFAULT_DEADLINE, Millis::duration);
    Ok(ProxiedRequest {
        state: Rc::clone(state),
        table,
        deadline: arrived + limit.min(route.timeout.duration()),
        route,
        service,
        access,
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        fingerprint,
        arrived,
        progress: Progress::default(),
        is_sent: false,
        binding: VersionBinding::Any,
        tried: Vec::new(),
        permit: None,
        suspects,
        trial: None,
        quota,
    })
}

fn is_convicted(state: &State, fingerprint: Fingerprint, parts: &[Suspect]) -> bool {
    state.verdict(&[Suspect::Request(fingerprint)]) == Verdict::Convicted
        || state.verdict(parts) == Verdict::Convicted
}

fn find_route(table: &RouteTable, parts: &Parts) -> Result<Arc<ServiceRoute>, LocalResponse> {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let path = parts.uri.path();
    table.find(host, path).cloned().ok_or_else(|| {
        tracing::info!("gateway: no route for {host}{path} in configuration version {}", table.version);
        LocalResponse::new(StatusCode::NOT_FOUND, "no route")
    })
}

async fn read_body(body: Incoming, limits: &CallerLimits) -> Result<Bytes, LocalResponse> {
    match read_whole(body, limits.max_body.0 as usize, |_size| Ok(())).await {
        Ok(body) => Ok(body),
        Err(err) if err.category() == Category::Codec => {
            Err(LocalResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long").close_connection())
        }
        Err(err) => {
            tracing::debug!("gateway: request body interrupted: {err}");
            Err(LocalResponse::new(StatusCode::BAD_REQUEST, "the body broke off").close_connection())
        }
    }
}
