//! Callers that are slow or disconnect, readiness for the load balancer, and the operators' API.

use std::time::Duration;

use carobwick_core::DrainTarget;
use carobwick_core::Event;
use carobwick_core::EventKind;
use carobwick_core::WriteId;
use carobwick_entry::Entry;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;

use crate::support::Zone;
use crate::support::call;
use crate::support::chat;
use crate::support::chat_body;
use crate::support::open;

const CHAT_PATH: &str = "/v1/chat/completions";

/// Guards against requests that keep running after their caller has disconnected.
#[tokio::test]
async fn disconnected_caller_cancels_its_attempt() {
    let zone = Zone::spawn(1, 0).await;
    let entry = zone.entry("entry-1", "").await;
    for stream in [true, false] {
        let before = zone.engines[0].stats().cancelled;
        let body = chat_body("long", 1_000_000, stream);
        let request = open(entry.caller_addr(), Method::POST, CHAT_PATH, &[], &body);
        if let Ok(mut response) = tokio::time::timeout(Duration::from_millis(100), request).await {
            response.body_mut().frame().await.unwrap().unwrap();
        }
        while zone.engines[0].stats().cancelled == before {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Guards against slow callers that use up the window of the connection to an endpoint and block the other streams.
#[tokio::test]
async fn slow_caller_slows_only_its_own_stream() {
    let zone = Zone::spawn_with(1, 0, 10).await;
    let entry = zone.entry("entry-1", "").await;
    let body = chat_body("long", 150_000, true);
    let head = format!("POST {CHAT_PATH} HTTP/1.1\r\nhost: entry\r\ncontent-length: {}\r\n\r\n", body.len());
    let mut slow = Vec::new();
    for _ in 0..4 {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        let mut stream = socket.connect(entry.caller_addr()).await.unwrap();
        stream.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
        slow.push(stream);
    }
    // By then the streams that nobody reads have filled their buffers in the entry and in the sockets.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let body = chat_body("short", 50, true);
    let other = chat(entry.caller_addr(), &body);
    let other =
        tokio::time::timeout(Duration::from_secs(20), other).await.expect("slow callers block another one");
    assert!(other.text().ends_with("data: [DONE]\n\n"));
}

/// Guards against an entry that is not ready because the planner of its instance is unreachable.
#[tokio::test]
async fn fallback_planner_is_used_while_the_own_one_is_unreachable() {
    let zone = Zone::spawn(1, 0).await;
    let mut settings = zone.settings("a", "entry-1", "");
    settings.fallbacks = vec![settings.planner];
    settings.planner = "127.0.0.1:1".parse().unwrap();
    let entry = Entry::bind(settings).await.unwrap();
    assert_eq!(ready(&entry).await, StatusCode::SERVICE_UNAVAILABLE);
    while ready(&entry).await != StatusCode::OK {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against an instance that stays ready for new requests although it is drained.
#[tokio::test]
async fn drained_instance_is_not_ready() {
    let zone = Zone::spawn(1, 0).await;
    let entry = zone.entry("entry-1", "").await;
    assert_eq!(ready(&entry).await, StatusCode::OK);
    let target = DrainTarget::Instance("entry-1".parse().unwrap());
    zone.planner.update(|state| state.drains.set(target, true, WriteId(9)));
    while ready(&entry).await == StatusCode::OK {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(chat(entry.caller_addr(), &chat_body("late", 1, false)).await.status, StatusCode::OK);
}

/// Guards against an operators' API without status, metrics or events, and against callers who can reach it.
#[tokio::test]
async fn operators_see_status_metrics_and_timeline() {
    let zone = Zone::spawn(1, 0).await;
    let entry = zone.entry("entry-1", "").await;
    chat(entry.caller_addr(), &chat_body("one", 1, false)).await;
    chat(entry.caller_addr(), "{").await;
    let status = call(entry.operator_addr(), Method::GET, "/admin/status", &[], "").await.json();
    assert_eq!((&status["ready"], &status["shared"]["version"]), (&true.into(), &1.into()));
    let metrics = call(entry.operator_addr(), Method::GET, "/metrics", &[], "").await;
    for line in ["carobwick_requests_total", "carobwick_refusals_total", "code=\"bad_json\""] {
        assert!(metrics.text().contains(line), "{line} is missing in {}", metrics.text());
    }
    let events = call(entry.operator_addr(), Method::GET, "/admin/timeline", &[], "").await;
    let events: Vec<Event> = serde_json::from_slice(&events.body).unwrap();
    assert!(events.iter().any(|event| event.kind == EventKind::Config));
    let refused = call(entry.caller_addr(), Method::GET, "/admin/status", &[], "").await;
    assert_eq!(refused.status, StatusCode::NOT_FOUND, "callers see the operators' API");
}

async fn ready(entry: &Entry) -> StatusCode {
    call(entry.caller_addr(), Method::GET, "/readyz", &[], "").await.status
}
