mod store;
mod wire;

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use axum::Extension;
use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::DefaultBodyLimit;
use axum::extract::Request;
use axum::extract::State;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use bytes::Bytes;
use carobwick_derive::data;
use futures_util::StreamExt;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use self::store::Change;
use self::store::Compacted;
use self::store::Store;
use self::wire::Lease;
use self::wire::Operation;
use self::wire::Range;
use self::wire::Txn;
use self::wire::Watch;
use self::wire::header;
use crate::Faults;
use crate::Server;
use crate::server::Connection;

/// Size limit of the platform for a value.
const MAX_VALUE_BYTES: usize = 1_000_000;
/// Size limit for a request body; base64 and the other fields add up to half of a value's size.
const MAX_BODY_BYTES: usize = 16 * MAX_VALUE_BYTES;
/// How often expired leases are removed, and how often a frozen call checks whether it can continue.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Stand-in for the platform's key-value service, which serves the JSON form of the etcd v3 API.
///
/// # Examples
///
/// ```
/// use carobwick_runtime::KeyValueClient;
/// use carobwick_runtime::Precondition;
/// use carobwick_standins::KvFaults;
/// use carobwick_standins::KvStandin;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> anyhow::Result<()> {
/// let kv = KvStandin::spawn("127.0.0.1:0".parse()?, KvFaults::default()).await?;
/// let client = KeyValueClient::open(&kv.server().url(), std::time::Duration::from_secs(1));
/// client.put_if("a", Precondition::Absent, b"1", None).await?;
/// kv.faults().set(KvFaults { down: true, ..KvFaults::default() });
/// client.get("a").await.unwrap_err();
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct KvStandin {
    server: Server,
    shared: Arc<Shared>,
}

/// Faults of the key-value service.
#[data]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct KvFaults {
    /// Whether to close the connection of every call without a response.
    pub down: bool,
    /// Whether calls and watches wait until this is off again.
    pub frozen: bool,
    /// Extra delay of every call in milliseconds.
    pub delay_ms: u64,
    /// Number of next writes that take effect without a response.
    pub lose_replies: u32,
    /// Number of next changes that are left out of a watch.
    pub drop_events: u32,
    /// Milliseconds for which connections are closed and refused, once.
    pub refuse_ms: u64,
}

#[derive(Debug)]
struct Shared {
    store: Mutex<Store>,
    call_counts: Mutex<BTreeMap<&'static str, u64>>,
    faults: Faults<KvFaults>,
}

type SharedState = State<Arc<Shared>>;

impl KvStandin {
    /// Binds `addr` and serves an empty store.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn spawn(addr: SocketAddr, faults: KvFaults) -> anyhow::Result<Self> {
        let shared = Arc::new(Shared {
            store: Mutex::new(Store::new()),
            call_counts: Mutex::default(),
            faults: Faults::open(faults),
        });
        let handlers = Arc::clone(&shared);
        let server = Server::spawn_with(addr, |control| {
            handlers.faults.on_change(move |faults| {
                // Closing the connections also ends the open watches.
                if faults.refuse_ms > 0 {
                    control.start_outage(Duration::from_millis(faults.refuse_ms));
                } else if faults.down {
                    control.close_connections();
                }
            });
            let switches = handlers.faults.router();
            router(handlers).merge(switches)
        });
        let server = server.await?;
        tokio::spawn(expire_leases(Arc::downgrade(&shared)));
        Ok(Self { server, shared })
    }

    /// Returns the HTTP server of the service.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the fault switches.
    pub fn faults(&self) -> &Faults<KvFaults> {
        &self.shared.faults
    }

    /// Returns the number of calls so far by kind; a watch counts as one call.
    pub fn call_counts(&self) -> BTreeMap<&'static str, u64> {
        lock(&self.shared.call_counts).clone()
    }
}

impl Shared {
    async fn wait_unfrozen(&self) {
        while self.faults.read(|faults| faults.frozen) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v3/kv/range", post(range))
        .route("/v3/kv/txn", post(txn))
        .route("/v3/lease/grant", post(grant))
        .route("/v3/lease/keepalive", post(keep_alive))
        .route("/v3/lease/revoke", post(revoke))
        .route("/v3/watch", post(watch))
        .layer(axum::middleware::from_fn_with_state(Arc::clone(&shared), apply_faults))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .route("/stats", get(stats))
        .with_state(shared)
}

async fn apply_faults(
    State(shared): SharedState,
    Extension(connection): Extension<Connection>,
    mut request: Request,
    next: Next,
) -> Response {
    let kind = call_kind(request.uri().path());
    *lock(&shared.call_counts).entry(kind).or_default() += 1;
    if shared.faults.read(|faults| faults.down) {
        return connection.abort().await;
    }
    shared.wait_unfrozen().await;
    let delay = shared.faults.read(|faults| faults.delay_ms);
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    // The API parses the body as JSON regardless of the request's content type.
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    next.run(request).await
}

async fn range(State(shared): SharedState, body: Bytes) -> Response {
    let Ok(request) = serde_json::from_slice::<Range>(&body) else {
        return bad_request("etcdserver: invalid range request");
    };
    Json(lock(&shared.store).range(&request)).into_response()
}

async fn txn(
    State(shared): SharedState,
    Extension(connection): Extension<Connection>,
    body: Bytes,
) -> Response {
    let request = match serde_json::from_slice::<Txn>(&body) {
        Ok(request) => request,
        Err(err) => return bad_request(&format!("invalid transaction: {err}")),
    };
    if let Err(message) = validate(&shared, &request) {
        return bad_request(message);
    }
    let outcome = lock(&shared.store).txn(&request.compare, request.success, request.failure);
    if outcome.has_writes && shared.faults.try_take(|faults| &mut faults.lose_replies) {
        return connection.abort().await;
    }
    Json(outcome.body).into_response()
}

async fn grant(State(shared): SharedState, Json(request): Json<Lease>) -> Json<Value> {
    let mut store = lock(&shared.store);
    let id = store.grant(request.ttl, Instant::now());
    Json(json!({"header": header(store.revision()), "ID": id.to_string(), "TTL": request.ttl.to_string()}))
}

async fn keep_alive(State(shared): SharedState, Json(request): Json<Lease>) -> Json<Value> {
    let mut store = lock(&shared.store);
    let mut result = json!({"header": header(store.revision()), "ID": request.id.to_string()});
    if let Some(ttl) = store.keep_alive(request.id, Instant::now()) {
        result["TTL"] = Value::String(ttl.to_string());
    }
    Json(json!({"result": result}))
}

async fn revoke(State(shared): SharedState, Json(request): Json<Lease>) -> Response {
    let mut store = lock(&shared.store);
    if !store.revoke(request.id) {
        return (
            StatusCode::NOT_FOUND,
            Json(json!({"code": 5, "message": "etcdserver: requested lease not found"})),
        )
            .into_response();
    }
    Json(json!({"header": header(store.revision())})).into_response()
}

async fn watch(State(shared): SharedState, Json(request): Json<Watch>) -> Response {
    let create = request.create_request;
    let mut store = lock(&shared.store);
    let header = header(store.revision());
    let first = json!({"result": {"header": header, "watch_id": "0", "created": true}});
    match store.watch(create.range, create.start_revision) {
        Ok(changes) => {
            drop(store);
            watch_body(&first, changes, shared).into_response()
        }
        Err(Compacted(oldest)) => {
            let end = json!({"result": {"canceled": true, "compact_revision": oldest.to_string()}});
            format!("{first}\n{end}\n").into_response()
        }
    }
}

async fn stats(State(shared): SharedState) -> Json<BTreeMap<&'static str, u64>> {
    Json(lock(&shared.call_counts).clone())
}

fn watch_body(first: &Value, changes: mpsc::UnboundedReceiver<Vec<Change>>, shared: Arc<Shared>) -> Body {
    let rest = futures_util::stream::unfold((changes, shared), |(mut changes, shared)| async move {
        loop {
            let mut batch = changes.recv().await?;
            shared.wait_unfrozen().await;
            batch.retain(|_| !shared.faults.try_take(|faults| &mut faults.drop_events));
            if let Some(last) = batch.last() {
                let events: Vec<Value> = batch.iter().map(Change::render).collect();
                let line = json!({"result": {"header": header(last.revision), "events": events}});
                return Some((format!("{line}\n"), (changes, shared)));
            }
        }
    });
    let lines = futures_util::stream::iter([format!("{first}\n")]).chain(rest);
    Body::from_stream(lines.map(Ok::<_, Infallible>))
}

fn validate(shared: &Shared, request: &Txn) -> Result<(), &'static str> {
    for operation in request.success.iter().chain(&request.failure) {
        if let Operation::Put(put) = operation {
            if put.value.len() > MAX_VALUE_BYTES {
                return Err("etcdserver: request is too large");
            }
            if !lock(&shared.store).has_lease(put.lease) {
                return Err("etcdserver: requested lease not found");
            }
        }
    }
    Ok(())
}

fn bad_request(message: &str) -> Response {
    (StatusCode::BAD_REQUEST, Json(json!({"code": 3, "message": message}))).into_response()
}

fn call_kind(path: &str) -> &'static str {
    match path {
        "/v3/kv/range" => "range",
        "/v3/kv/txn" => "txn",
        "/v3/lease/grant" => "grant",
        "/v3/lease/keepalive" => "keepalive",
        "/v3/lease/revoke" => "revoke",
        "/v3/watch" => "watch",
        _ => "other",
    }
}

async fn expire_leases(shared: std::sync::Weak<Shared>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        if !shared.faults.read(|faults| faults.frozen) {
            lock(&shared.store).expire(Instant::now());
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
