use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Extension;
use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use carobwick_core::AttemptId;
use carobwick_core::EndpointId;
use carobwick_core::Incarnation;
use carobwick_core::LoadReport;
use carobwick_core::ServiceId;
use carobwick_derive::data;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::Uri;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::Faults;
use crate::Server;
use crate::ServerControl;
use crate::server::Connection;

/// Stand-in for one replica of a plain service.
#[derive(Debug)]
pub struct ServiceStandin {
    server: Server,
    shared: Arc<Shared>,
}

/// Settings of a [`ServiceStandin`].
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Service of the endpoint.
    pub service: ServiceId,
    /// Duration of one request.
    pub delay: Duration,
    /// Maximum number of requests that run at once; further requests are refused.
    pub slots: u32,
    /// Whether responses carry load reports.
    pub reports_load: bool,
}

/// Faults of a plain service.
#[data]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Number of next requests that run without a response.
    pub lose_replies: u32,
    /// Number of next requests that are lost before they run.
    pub lose_requests: u32,
    /// Number of next responses that carry a wrong attempt id.
    pub wrong_attempts: u32,
    /// A request whose body contains this text crashes the service when it runs.
    pub crash_marker: Option<String>,
    /// Whether to stop reads and writes on all open connections, once; new connections work.
    pub freeze: bool,
    /// Milliseconds for which connections are closed and refused: after a crash, or once if there is no crash
    /// marker.
    pub refuse_ms: u64,
    /// Extra delay of every request in milliseconds.
    pub delay_ms: u64,
}

#[derive(Debug)]
struct Shared {
    options: ServiceOptions,
    faults: Faults<ServiceFaults>,
    control: ServerControl,
    incarnation: AtomicU64,
    running: AtomicU32,
    executions: Mutex<BTreeMap<String, u64>>,
}

impl ServiceOptions {
    /// Returns settings for a service whose requests take 2 ms and that runs up to 64 at once.
    pub fn new(endpoint: EndpointId, service: ServiceId) -> Self {
        Self { endpoint, service, delay: Duration::from_millis(2), slots: 64, reports_load: true }
    }
}

impl ServiceStandin {
    /// Binds `addr` and serves requests to any path.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn spawn(
        addr: SocketAddr,
        options: ServiceOptions,
        faults: ServiceFaults,
    ) -> anyhow::Result<Self> {
        let mut created = None;
        let server = Server::spawn_with(addr, |control| {
            let shared = Arc::new(Shared::new(options, faults, control));
            created = Some(Arc::clone(&shared));
            router(shared)
        });
        let server = server.await?;
        let shared = created.ok_or_else(|| anyhow::anyhow!("the server was started without a router"))?;
        Ok(Self { server, shared })
    }

    /// Returns the HTTP server of the service.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the fault switches.
    pub fn faults(&self) -> &Faults<ServiceFaults> {
        &self.shared.faults
    }

    /// Returns how often each request ran, by its idempotency key, or by path and hash of the body if it has
    /// none.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.shared.executions()
    }
}

impl Shared {
    fn new(options: ServiceOptions, faults: ServiceFaults, control: ServerControl) -> Self {
        Self {
            options,
            faults: Faults::open(faults),
            control,
            incarnation: AtomicU64::new(rand::random()),
            running: AtomicU32::new(0),
            executions: Mutex::default(),
        }
    }

    fn executions(&self) -> BTreeMap<String, u64> {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn count_execution(&self, key: String) -> u64 {
        let mut executions = self.executions.lock().unwrap_or_else(PoisonError::into_inner);
        let count = executions.entry(key).or_default();
        *count += 1;
        *count
    }

    fn crash(&self) {
        let outage_ms = self.faults.read(|faults| faults.refuse_ms);
        self.incarnation.store(rand::random(), Ordering::SeqCst);
        self.control.start_outage(Duration::from_millis(outage_ms));
    }

    /// Adds the headers that every response of an endpoint carries.
    fn add_headers(&self, headers: &HeaderMap, mut response: Response) -> Response {
        let incarnation = Incarnation(self.incarnation.load(Ordering::SeqCst));
        set_header(&mut response, "carobwick-incarnation", &incarnation.to_string());
        if self.options.reports_load {
            let running = self.running.load(Ordering::SeqCst);
            let load = LoadReport { running, ..LoadReport::default() };
            set_header(&mut response, "carobwick-load", &load.to_string());
        }
        let attempt = headers.get("carobwick-attempt").and_then(|value| value.to_str().ok());
        if let Some(attempt) = attempt.and_then(|text| text.parse::<AttemptId>().ok()) {
            let wrong = self.faults.try_take(|faults| &mut faults.wrong_attempts);
            let sent = if wrong { AttemptId(attempt.0 ^ 1) } else { attempt };
            set_header(&mut response, "carobwick-attempt", &sent.to_string());
        }
        response
    }
}

fn router(shared: Arc<Shared>) -> Router {
    let control = shared.control.clone();
    shared.faults.on_change(move |faults| {
        if faults.freeze {
            control.freeze();
        }
        if faults.refuse_ms > 0 && faults.crash_marker.is_none() {
            control.start_outage(Duration::from_millis(faults.refuse_ms));
        }
    });
    let switches = shared.faults.router();
    Router::new().route("/executions", get(executions)).fallback(respond).with_state(shared).merge(switches)
}

async fn executions(State(shared): State<Arc<Shared>>) -> Json<BTreeMap<String, u64>> {
    Json(shared.executions())
}

async fn respond(
    State(shared): State<Arc<Shared>>,
    Extension(connection): Extension<Connection>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if shared.faults.try_take(|faults| &mut faults.lose_requests) {
        return connection.abort().await;
    }
    // A separate task runs the request to its end even if the caller disconnects.
    let (executor, request_headers) = (Arc::clone(&shared), headers.clone());
    let run = tokio::spawn(async move { execute(&executor, &method, &uri, &request_headers, &body).await });
    let response = match run.await {
        Ok(Some(response)) => response,
        Ok(None) => return connection.abort().await,
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    };
    if shared.faults.try_take(|faults| &mut faults.lose_replies) {
        return connection.abort().await;
    }
    shared.add_headers(&headers, response)
}

/// Runs a request and returns the response, or `None` if the request crashes the service.
async fn execute(
    shared: &Shared,
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    body: &[u8],
) -> Option<Response> {
    if shared.running.fetch_add(1, Ordering::SeqCst) >= shared.options.slots {
        shared.running.fetch_sub(1, Ordering::SeqCst);
        let error = json!({"error": {"code": "busy", "message": "all slots are taken"}});
        let mut response = (StatusCode::SERVICE_UNAVAILABLE, Json(error)).into_response();
        set_header(&mut response, "carobwick-run", "no");
        return Some(response);
    }
    let hash = body_hash(body);
    let key = headers.get("idempotency-key").and_then(|value| value.to_str().ok());
    let count = shared.count_execution(key.map_or_else(|| format!("{}:{hash}", uri.path()), str::to_owned));
    let delay = shared.options.delay + Duration::from_millis(shared.faults.read(|faults| faults.delay_ms));
    tokio::time::sleep(delay).await;
    shared.running.fetch_sub(1, Ordering::SeqCst);
    let text = String::from_utf8_lossy(body);
    if shared.faults.read(|faults| faults.crash_marker.as_ref().is_some_and(|mark| text.contains(mark))) {
        shared.crash();
        return None;
    }
    let response = json!({
        "endpoint": shared.options.endpoint,
        "service": shared.options.service,
        "method": method.as_str(),
        "path": uri.path(),
        "request": hash,
        "execution": count,
    });
    Some((StatusCode::OK, Json(response)).into_response())
}

/// Returns the hash of a request body, which the response of the plain service contains as `request`.
pub fn body_hash(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
