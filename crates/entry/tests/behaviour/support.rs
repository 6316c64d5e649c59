//! A zone of stand-ins with a planner that only synchronizes state, and a client that sends callers' requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use carobwick_core::Action;
use carobwick_core::ConfigRecord;
use carobwick_core::EndpointState;
use carobwick_core::EndpointView;
use carobwick_core::Fence;
use carobwick_core::InstanceView;
use carobwick_core::Manifest;
use carobwick_core::Order;
use carobwick_core::OrderId;
use carobwick_core::PeerMessage;
use carobwick_core::Resident;
use carobwick_core::Version;
use carobwick_core::WriteId;
use carobwick_core::ZoneView;
use carobwick_entry::Entry;
use carobwick_entry::Settings;
use carobwick_runtime::EngineClient;
use carobwick_runtime::Node;
use carobwick_runtime::PeerServer;
use carobwick_runtime::wall_ms;
use carobwick_standins::EngineFaults;
use carobwick_standins::EngineOptions;
use carobwick_standins::EngineStandin;
use carobwick_standins::KvFaults;
use carobwick_standins::KvStandin;
use carobwick_standins::ServiceFaults;
use carobwick_standins::ServiceOptions;
use carobwick_standins::ServiceStandin;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

/// A model that is resident on all engines.
pub const MODEL: &str = "stone";
/// A plain service with one route whose requests are not repeatable.
pub const SERVICE: &str = "desk";

/// Key-value service, endpoints and planner of one zone.
pub struct Zone {
    pub engines: Vec<EngineStandin>,
    pub services: Vec<ServiceStandin>,
    pub kv: KvStandin,
    pub planner: Node,
    server: PeerServer,
}

/// Complete response to a caller.
pub struct CallerResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Zone {
    /// Starts a zone with a number of engines and replicas of the plain service.
    pub async fn spawn(engines: usize, services: usize) -> Self {
        Self::spawn_with(engines, services, 200).await
    }

    /// Starts a zone whose engines take `token_us` microseconds for a token.
    pub async fn spawn_with(engines: usize, services: usize, token_us: u64) -> Self {
        let mut zone = Self {
            engines: Vec::new(),
            services: Vec::new(),
            kv: KvStandin::spawn(any_port(), KvFaults::default()).await.unwrap(),
            planner: Node::open(),
            server: PeerServer::bind(any_port(), |_| async { PeerMessage::Ack }).await.unwrap(),
        };
        let node = zone.planner.clone();
        zone.server =
            PeerServer::bind(any_port(), move |message| std::future::ready(handle_message(&node, message)))
                .await
                .unwrap();
        for index in 0..engines {
            zone.engines.push(spawn_engine(index, token_us).await);
        }
        for index in 0..services {
            let options =
                ServiceOptions::new(format!("desk-{index}").parse().unwrap(), SERVICE.parse().unwrap());
            zone.services
                .push(ServiceStandin::spawn(any_port(), options, ServiceFaults::default()).await.unwrap());
        }
        let record = ConfigRecord::first(manifest(), WriteId(1)).unwrap();
        zone.planner.update(|state| state.adopt(record));
        let view = zone.view("a");
        zone.planner.update(|state| state.merge_view(view));
        zone
    }

    /// Starts an entry of zone `a` and waits until it has a manifest and a zone view.
    pub async fn entry(&self, name: &str, flags: &str) -> Entry {
        self.entry_in("a", name, flags).await
    }

    /// Starts an entry of the named zone and waits until it has a manifest and a zone view.
    pub async fn entry_in(&self, zone: &str, name: &str, flags: &str) -> Entry {
        let entry = Entry::bind(self.settings(zone, name, flags)).await.unwrap();
        let mut changes = entry.node().subscribe();
        while !entry.node().read(|state| state.config.is_some() && !state.views.is_empty()) {
            changes.changed().await.unwrap();
        }
        entry
    }

    /// Returns the settings of an entry, with additional command-line flags.
    pub fn settings(&self, zone: &str, name: &str, flags: &str) -> Settings {
        let line = format!(
            "--instance {name} --zone {zone} --callers 127.0.0.1:0 --operators 127.0.0.1:0 --planner {} \
             --key-value {} --stop-delay 200 {flags}",
            self.server.addr(),
            self.kv.server().url(),
        );
        line.parse().unwrap()
    }

    /// Returns a view of this zone's endpoints, published under the name of any zone.
    pub fn view(&self, zone: &str) -> ZoneView {
        let resident =
            Resident { model: MODEL.parse().unwrap(), version: "1".parse().unwrap(), size: MODEL_SIZE };
        let engines = self.engines.iter().enumerate().map(|(index, engine)| {
            let view = EndpointView {
                service: "llm".parse().unwrap(),
                addr: engine.server().addr().to_string(),
                incarnation: engine.state().incarnation,
                state: EndpointState::Live,
                resident: vec![resident.clone()],
                load: carobwick_core::LoadReport::default(),
            };
            (format!("llm-{index}").parse().unwrap(), view)
        });
        let services = self.services.iter().enumerate().map(|(index, service)| {
            let view = EndpointView {
                service: SERVICE.parse().unwrap(),
                addr: service.server().addr().to_string(),
                incarnation: carobwick_core::Incarnation::default(),
                state: EndpointState::Live,
                resident: Vec::new(),
                load: carobwick_core::LoadReport::default(),
            };
            (format!("desk-{index}").parse().unwrap(), view)
        });
        ZoneView {
            zone: zone.parse().unwrap(),
            fence: Fence(1),
            version: Version(1),
            leader: "planner".parse().unwrap(),
            instances: indexmap::IndexMap::new(),
            endpoints: engines.chain(services).collect(),
            blocked: indexmap::IndexMap::new(),
            reasons: indexmap::IndexMap::new(),
        }
    }
}

const MODEL_SIZE: carobwick_core::Bytes = carobwick_core::Bytes(60);

/// Returns the view of a zone that consists of one entry.
pub fn entry_view(zone: &str, entry: SocketAddr, version: u64) -> ZoneView {
    let instance = InstanceView { entry: entry.to_string(), peer: String::new(), live: true };
    ZoneView {
        zone: zone.parse().unwrap(),
        fence: Fence(1),
        version: Version(version),
        leader: "planner".parse().unwrap(),
        instances: [("entry".parse().unwrap(), instance)].into_iter().collect(),
        endpoints: indexmap::IndexMap::new(),
        blocked: indexmap::IndexMap::new(),
        reasons: indexmap::IndexMap::new(),
    }
}

/// Sends a request and returns its complete response.
pub async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> CallerResponse {
    let response = open(addr, method, path, headers, body).await;
    let (status, headers) = (response.status(), response.headers().clone());
    let body = response.into_body().collect().await.unwrap().to_bytes();
    CallerResponse { status, headers, body }
}

/// Sends a request and returns its response without reading the body.
pub async fn open(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> http::Response<Incoming> {
    let mut request = Request::builder().method(method).uri(format!("http://{addr}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
    Client::builder(TokioExecutor::new()).build_http().request(request).await.unwrap()
}

/// Sends a chat request and returns its complete response.
pub async fn chat(addr: SocketAddr, body: &str) -> CallerResponse {
    call(addr, Method::POST, "/v1/chat/completions", &[], body).await
}

/// Returns the JSON body of a chat request.
pub fn chat_body(text: &str, tokens: u32, stream: bool) -> String {
    let messages = json!([{"role": "user", "content": text}]);
    json!({"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": stream}).to_string()
}

impl CallerResponse {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    /// Returns the body as text.
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }

    /// Returns the code of a refusal.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap().to_owned()
    }
}

fn handle_message(node: &Node, message: PeerMessage) -> PeerMessage {
    match message {
        PeerMessage::Demand(_) => PeerMessage::Ack,
        message => node.handle_message(message).0,
    }
}

async fn spawn_engine(index: usize, token_us: u64) -> EngineStandin {
    let id = format!("llm-{index}").parse().unwrap();
    let mut options = EngineOptions::new(id, "llm".parse().unwrap(), carobwick_core::Bytes(100));
    options.load_time = Duration::ZERO;
    options.slots = 4_096;
    options.timing.token_us = token_us;
    options.timing.batch_slowdown = 0.0;
    options.resume_grace = Duration::from_millis(50);
    let engine = EngineStandin::spawn(any_port(), options, EngineFaults::default()).await.unwrap();
    load_model(&engine).await;
    engine
}

/// Loads [`MODEL`] into an engine and waits until it is resident.
pub async fn load_model(engine: &EngineStandin) {
    let order = Order {
        id: OrderId(rand::random()),
        fence: Fence(engine.state().fence.0 + 1),
        expires_ms: wall_ms() + 60_000,
        action: Action::Load {
            model: MODEL.parse().unwrap(),
            version: "1".parse().unwrap(),
            size: MODEL_SIZE,
            base: None,
        },
    };
    EngineClient::open().order(&engine.server().addr().to_string(), &order).await.unwrap();
    while engine.state().resident.is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn manifest() -> Manifest {
    let manifest = json!({
        "deployment": "test",
        "objective": {"attainment": 1.0, "moves": 0.5},
        "store": {"rate": 10.0, "concurrent": 2},
        "adapter_loads": 16,
        "zones": ["a", "b"],
        "services": {
            "llm": {"kind": "engine", "memory": 100, "slots": 4096, "reports_load": true},
            (SERVICE): {
                "kind": "plain",
                "slots": 64,
                "reports_load": true,
                "routes": [{"prefix": "/payments", "repeatable": false}],
            },
        },
        "models": {(MODEL): {"service": "llm", "version": "1", "size": 60}},
    });
    Manifest::from_json(&manifest.to_string()).unwrap()
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
