//! Helpers that start engines on a free port and send requests with headers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use carobwick_core::Action;
use carobwick_core::EngineState;
use carobwick_core::Fence;
use carobwick_core::Order;
use carobwick_core::OrderId;
use carobwick_core::OrderOutcome;
use carobwick_runtime::EngineClient;
use carobwick_runtime::wall_ms;
use carobwick_standins::EngineFaults;
use carobwick_standins::EngineOptions;
use carobwick_standins::EngineStandin;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

/// Loopback address with port 0, for which the system chooses a free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A response that was read to its end.
pub struct TestResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Value,
}

/// HTTP client of one test, with connections of its own.
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Http {
    pub fn http1() -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http() }
    }

    pub fn http2() -> Self {
        Self { client: Client::builder(TokioExecutor::new()).http2_only(true).build_http() }
    }

    /// Sends a request and returns the response with its body unread, or `None` if the connection breaks.
    pub async fn open(
        &self,
        url: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Option<Response<Incoming>> {
        let mut request = Request::post(url).header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        self.client.request(request.body(Full::new(body.to_string().into())).unwrap()).await.ok()
    }

    /// Sends a request and reads the response; returns `None` if the connection breaks.
    pub async fn post(&self, url: &str, headers: &[(&str, &str)], body: &Value) -> Option<TestResponse> {
        let response = self.open(url, headers, body).await?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some(TestResponse { status, headers, body: serde_json::from_slice(&body).unwrap_or(Value::Null) })
    }
}

impl TestResponse {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap())
    }
}

/// An engine and a client that sends orders to it.
pub struct TestEngine {
    pub engine: EngineStandin,
    client: EngineClient,
}

impl TestEngine {
    pub async fn spawn(adjust: impl FnOnce(&mut EngineOptions)) -> Self {
        let mut options =
            EngineOptions::new("e1".parse().unwrap(), "s".parse().unwrap(), carobwick_core::Bytes(1_000));
        adjust(&mut options);
        let engine = EngineStandin::spawn(ANY_PORT, options, EngineFaults::default()).await.unwrap();
        Self { engine, client: EngineClient::open() }
    }

    /// Starts an engine on which the model `m` is resident.
    pub async fn with_model(adjust: impl FnOnce(&mut EngineOptions)) -> Self {
        let engine = Self::spawn(adjust).await;
        engine.order(1, load("m", 400, None)).await.unwrap();
        engine.wait_for_state(|state| is_resident(state, "m")).await;
        engine
    }

    pub fn chat_url(&self) -> String {
        format!("{}/v1/chat/completions", self.engine.server().url())
    }

    /// Sends an order whose id and fencing number are the same.
    pub async fn order(&self, number: u64, action: Action) -> Option<OrderOutcome> {
        self.send(&order(number, action)).await
    }

    pub async fn send(&self, order: &Order) -> Option<OrderOutcome> {
        let addr = self.engine.server().addr().to_string();
        self.client.order(&addr, order).await.ok().map(|result| result.outcome)
    }

    /// Waits until the state fulfils the condition, and returns it.
    pub async fn wait_for_state(&self, condition: impl Fn(&EngineState) -> bool) -> EngineState {
        wait_until(|| Some(self.engine.state()).filter(&condition)).await
    }

    pub fn outcome(&self, number: u64) -> Option<OrderOutcome> {
        let results = self.engine.state().results;
        results.iter().find(|result| result.id == OrderId(number)).map(|result| result.outcome)
    }
}

pub fn order(number: u64, action: Action) -> Order {
    Order { id: OrderId(number), fence: Fence(number), expires_ms: wall_ms() + 10_000, action }
}

pub fn load(model: &str, size: u64, base: Option<&str>) -> Action {
    Action::Load {
        model: model.parse().unwrap(),
        version: "1".parse().unwrap(),
        size: carobwick_core::Bytes(size),
        base: base.map(|base| base.parse().unwrap()),
    }
}

pub fn unload(model: &str) -> Action {
    Action::Unload { model: model.parse().unwrap(), version: "1".parse().unwrap() }
}

pub fn is_resident(state: &EngineState, model: &str) -> bool {
    state.resident.iter().any(|resident| resident.model.as_str() == model)
}

pub fn chat(prompt: &str, max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": "m", "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens, "stream": stream,
    })
}

/// Waits up to 5 s until `f` returns a value.
pub async fn wait_until<T>(mut f: impl FnMut() -> Option<T>) -> T {
    for _ in 0..500 {
        if let Some(value) = f() {
            return value;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the expected state was not reached within 5 s");
}
