use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use carobwick_core::Fingerprint;
use carobwick_core::Millis;
use carobwick_core::Time;
use carobwick_core::gateway::Access;
use carobwick_core::gateway::CallerLimits;
use carobwick_core::gateway::MemoryUse;
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
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::buffer::BodyLimits;
use crate::buffer::BufferShare;
use crate::caller_body::CallerBody;
use crate::caller_connections::CallerConnection;
use crate::connection::configure_socket;
use crate::head_inspector::HeadCheck;
use crate::head_inspector::HeadInspector;
use crate::head_inspector::InspectedStream;
use crate::listener;
use crate::meters::ShedCause;
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
/// Time by which the response to such a request is delayed at most, so that its connection can be kept.
const DISCARD_DELAY: Duration = Duration::from_millis(20);
/// Time for which such a body is read.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Least `Retry-After` of a request that is shed, to which as much is added at random: a crowd must not return at once.
const SHED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Buffer that a body of a declared length gets with its first bytes, which holds nearly all bodies.
const FIRST_BODY_BYTES: usize = 64 << 10;
/// The same for a body without a declared length.
const FIRST_CHUNKED_BYTES: usize = 4 << 10;
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
        let (is_limited, connection) = state.connections.admit();
        if is_limited {
            state.meters.record_shed(ShedCause::Connections);
            // Lets the connection that is closed return its descriptor before the next one is accepted.
            tokio::task::yield_now().await;
        }
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
    let io = TokioIo::new(InspectedStream::new(stream, inspector.clone()));
    let (max_head, idle_timeout) = connection_limits(&state);
    let shed = connection.closing.clone();
    let connection = Rc::new(connection);
    let service = service_fn(move |request| {
        let (state, inspector, connection) = (Rc::clone(&state), inspector.clone(), Rc::clone(&connection));
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
        Some(Err(err)) => tracing::debug!("gateway: caller {peer}: {err}"),
        None => tracing::debug!("gateway: caller {peer}: closed for lack of memory or descriptors"),
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
    let response = respond(state, inspector, request).await;
    if let ResponseBody::Buffered(Some(held)) = response.body()
        && let Some(share) = &held.share
    {
        share.begin_sending(connection.closing.clone());
    }
    response.map(|body| CallerBody::new(body, active))
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
        HeadCheck::Unambiguous | HeadCheck::Unchecked => {
            match check_head(&state, &parts, body.size_hint().exact()) {
                Ok(checked) => match read_request(&state, &inspector, checked, parts, body, arrived).await {
                    Ok(request) => request.run().await,
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
fn check_head(state: &Rc<State>, parts: &Parts, length: Option<u64>) -> Result<CheckedHead, LocalResponse> {
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
    if length.is_some_and(|length| length > table.limits.max_body.0) {
        state.meters.record_shed(ShedCause::TooLong);
        return Err(LocalResponse::TOO_LONG);
    }
    let quota = state.take_quota(&access, &head)?;
    Ok(CheckedHead { table, route, access, head, quota })
}

/// Rejects a request by its head. Its body is read and dropped for a short time: closing the connection with unread bytes
/// would reset it before the caller has the response.
///
/// The connection is kept only if the whole body has been dropped before the response. Otherwise the next head could arrive
/// while the inspector still expects the body, which it would then inspect from its middle.
async fn reject_head(local: LocalResponse, mut body: Incoming, inspector: HeadInspector) -> LocalResponse {
    if let Ok(true) = tokio::time::timeout(DISCARD_DELAY, discard(&mut body)).await {
        inspector.body_read();
        return local;
    }
    tokio::task::spawn_local(async move {
        let _elapsed = tokio::time::timeout(DISCARD_TIME, discard(&mut body)).await;
    });
    local.close_connection()
}

/// Reads and drops the rest of a body; returns whether it came to its end.
async fn discard(body: &mut Incoming) -> bool {
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
    mut body: Incoming,
    arrived: Time,
) -> Result<ProxiedRequest, LocalResponse> {
    let CheckedHead { table, route, access, head, quota } = checked;
    let share = state.buffers.open_share(MemoryUse::Receiving);
    if let Err(local) = read_body(state, &mut body, &table.limits, &share).await {
        return Err(reject_head(local, body, inspector.clone()).await);
    }
    let Ok(body) = share.take_body() else { return Err(refuse_shed(state)) };
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
        body_share: Rc::new(share),
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

/// Reads a body into its share, or returns the response that rejects it. The request has not been executed then.
async fn read_body(
    state: &State,
    body: &mut Incoming,
    limits: &CallerLimits,
    share: &BufferShare,
) -> Result<(), LocalResponse> {
    let sizes = body_limits(body, limits);
    let idle_timeout = limits.idle_timeout.duration();
    let mut shed = pin!(share.wait_shed());
    // Set again only when it has elapsed, so that a chunk costs no timer.
    let mut timer = pin!(sleep(idle_timeout));
    let mut progressed = now();
    loop {
        let frame = tokio::select! {
            biased;
            () = &mut shed => return Err(refuse_shed(state)),
            frame = body.frame() => frame,
            () = &mut timer => {
                let idle = now() - progressed;
                if idle >= idle_timeout {
                    state.meters.record_shed(ShedCause::Stalled);
                    return Err(LocalResponse::STALLED);
                }
                timer.as_mut().reset(Instant::now() + idle_timeout.saturating_sub(idle));
                continue;
            }
        };
        let data = match frame {
            // Trailers are ignored.
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(err)) => {
                tracing::debug!("gateway: request body interrupted: {err}");
                return Err(LocalResponse::BROKEN_OFF);
            }
            None => return Ok(()),
        };
        if share.body_length() + data.len() > sizes.max {
            state.meters.record_shed(ShedCause::TooLong);
            return Err(LocalResponse::TOO_LONG);
        }
        if !data.is_empty() {
            progressed = now();
        }
        if share.append(&data, sizes).is_err() {
            return Err(refuse_shed(state));
        }
    }
}

fn refuse_shed(state: &State) -> LocalResponse {
    state.meters.record_shed(ShedCause::Memory);
    let retry_after = SHED_RETRY_AFTER.mul_f64(1.0 + rand::random::<f64>());
    unavailable("the memory for requests is used up").retry_after(retry_after).close_connection()
}

/// Returns the sizes of the buffer for a body. A declared length is no reason to reserve it: it costs the caller nothing.
fn body_limits(body: &Incoming, limits: &CallerLimits) -> BodyLimits {
    let max = limits.max_body.0 as usize;
    match body.size_hint().exact() {
        Some(length) => {
            let max = max.min(length as usize);
            BodyLimits { first: max.min(FIRST_BODY_BYTES), max }
        }
        None => BodyLimits { first: max.min(FIRST_CHUNKED_BYTES), max },
    }
}
