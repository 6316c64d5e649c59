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
use http::StatusCode;
use http::header::HOST;
use http::request::Parts;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::buffer::BodyLimits;
use crate::buffer::BufferShare;
use crate::head_inspector::HeadInspector;
use crate::meters::ShedCause;
use crate::proxied_request::ProxiedRequest;
use crate::quota::QuotaUse;
use crate::response::LocalResponse;
use crate::state::State;
use crate::suspicion::CONVICTED_RETRY_AFTER;

/// `Retry-After` of a response for lack of a configuration or a service.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest body that is read and dropped after its request was rejected by the head.
const MAX_DISCARDED_BYTES: u64 = 64 << 10;
/// Longest delay of the response to a request that is rejected by its head. If its body ends within this time, the
/// connection can be kept.
const DISCARD_DELAY: Duration = Duration::from_millis(20);
/// Time for which the body of a rejected request is read after the response.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Least `Retry-After` of a request that is shed, to which as much is added at random: a crowd must not return at once.
const SHED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Buffer that a body of a declared length gets with its first bytes, which holds nearly all bodies.
const FIRST_BODY_BYTES: usize = 64 << 10;
/// Buffer that a body without a declared length gets with its first bytes.
const FIRST_CHUNKED_BYTES: usize = 4 << 10;
/// Deadline of a request whose caller sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(1);

/// Request whose head is accepted, so that its body may be read.
pub(crate) struct CheckedHead {
    table: Arc<RouteTable>,
    route: Arc<ServiceRoute>,
    access: Access,
    head: RequestHead,
    quota: Option<QuotaUse>,
}

/// Checks the head of a request, or returns the response that rejects it. What the head alone can decide is decided before
/// the body takes any memory.
pub(crate) fn check_head(
    state: &Rc<State>,
    parts: &Parts,
    length: Option<u64>,
) -> Result<CheckedHead, LocalResponse> {
    let table = state.route_table.borrow().clone();
    let table =
        table.ok_or_else(|| unavailable("no configuration yet").retry_after(UNAVAILABLE_RETRY_AFTER))?;
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
pub(crate) async fn reject_head(
    local: LocalResponse,
    mut body: Incoming,
    inspector: HeadInspector,
) -> LocalResponse {
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
pub(crate) async fn read_request(
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
    let service = service
        .ok_or_else(|| unavailable("the route has no service").retry_after(UNAVAILABLE_RETRY_AFTER))?;
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
