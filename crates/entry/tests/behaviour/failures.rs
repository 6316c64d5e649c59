//! Failures of endpoints and connections while requests are in flight.

use std::time::Duration;

use carobwick_core::DrainTarget;
use carobwick_core::WriteId;
use carobwick_standins::EngineFaults;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use test_case::test_case;

use crate::support::MODEL;
use crate::support::Zone;
use crate::support::call;
use crate::support::chat;
use crate::support::chat_body;
use crate::support::entry_view;
use crate::support::open;

const CHAT_PATH: &str = "/v1/chat/completions";

/// Guards against a stream that misses or repeats events after it was interrupted and resumed.
#[tokio::test]
async fn interrupted_stream_is_resumed() {
    let zone = Zone::spawn(1, 0).await;
    let entry = zone.entry("entry-1", "").await;
    let uninterrupted = chat(entry.caller_addr(), &chat_body("hello", 20, true)).await;
    zone.engines[0].faults().set(EngineFaults { cut_streams: 2, cut_after: 5, ..EngineFaults::default() });
    let resumed = chat(entry.caller_addr(), &chat_body("hello", 20, true)).await;
    assert_eq!(contents(resumed.text()), contents(uninterrupted.text()));
    assert_eq!(zone.engines[0].stats().resumed, 2);
}

/// Guards against a response that mixes two runs, and against a stream that ends as if it were complete.
#[tokio::test]
async fn stream_of_a_crashed_engine_ends_with_an_error() {
    let zone = Zone::spawn(2, 0).await;
    let entry = zone.entry("entry-1", "").await;
    let mut response =
        open(entry.caller_addr(), Method::POST, CHAT_PATH, &[], &chat_body("long", 2_000, true)).await;
    response.body_mut().frame().await.unwrap().unwrap();
    zone.engines.iter().for_each(carobwick_standins::EngineStandin::crash);
    let rest = response.into_body().collect().await.unwrap().to_bytes();
    let rest = std::str::from_utf8(&rest).unwrap();
    assert!(!rest.contains("[DONE]"));
    assert!(rest.contains("event: error\ndata: {\"error\":{\"code\":\"answer_lost\""), "{rest}");
}

/// Guards against a request that is not retried after a crash, and against a crash that is not reported.
#[tokio::test]
async fn complete_response_is_rerun_after_a_crash_which_is_reported() {
    let zone = Zone::spawn(2, 0).await;
    let entry = zone.entry("entry-1", "").await;
    let crash_on_marker =
        || EngineFaults { crash_marker: Some("boom".to_owned()), ..EngineFaults::default() };
    zone.engines[0].faults().set(crash_on_marker());
    // Prompts with different prefixes, so that each engine receives some of the requests.
    for index in 0..8 {
        let response = chat(entry.caller_addr(), &chat_body(&format!("{index} boom"), 4, false)).await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
        if zone.engines[0].stats().crashes > 0 {
            break;
        }
    }
    assert!(zone.engines[0].stats().crashes > 0, "no request reached the first engine");
    let mut changes = zone.planner.subscribe();
    while zone.planner.read(|state| state.crash_reports.reports().count()) == 0 {
        changes.changed().await.unwrap();
    }
}

/// Guards against requests that wait on a connection whose endpoint stopped responding.
#[tokio::test]
async fn unresponsive_connection_is_replaced() {
    let zone = Zone::spawn(1, 0).await;
    let entry = zone.entry("entry-1", "").await;
    assert_eq!(chat(entry.caller_addr(), &chat_body("one", 2, false)).await.status, StatusCode::OK);
    zone.engines[0].server().control().freeze();
    let response = chat(entry.caller_addr(), &chat_body("two", 2, false)).await;
    assert_eq!(response.status, StatusCode::OK, "{}", response.text());
}

/// Guards against a response that belongs to another request.
#[tokio::test]
async fn response_with_a_wrong_attempt_id_is_not_forwarded() {
    let zone = Zone::spawn(1, 0).await;
    let entry = zone.entry("entry-1", "").await;
    zone.engines[0].faults().set(EngineFaults { wrong_attempts: 1, ..EngineFaults::default() });
    let response = chat(entry.caller_addr(), &chat_body("one", 2, false)).await;
    assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    assert_eq!(zone.engines[0].stats().requests, 2);
}

/// Guards against new requests to a drained endpoint, and against refusals that don't say that nothing ran.
#[tokio::test]
async fn drained_endpoint_receives_no_requests() {
    let zone = Zone::spawn(1, 0).await;
    let entry = zone.entry("entry-1", "").await;
    let target = DrainTarget::Endpoint("llm-0".parse().unwrap());
    zone.planner.update(|state| state.drains.set(target.clone(), true, WriteId(9)));
    let mut changes = entry.node().subscribe();
    while !entry.node().read(|state| state.drains.is_drained(&target)) {
        changes.changed().await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    let refused = chat(entry.caller_addr(), &chat_body("one", 2, false)).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE, "{}", refused.text());
    assert_eq!(refused.json()["error"]["run"], "no");
    assert_eq!(zone.engines[0].stats().requests, 0);
}

/// Guards against requests that are refused although another zone serves them, and against forwarding loops.
#[tokio::test]
async fn request_is_forwarded_to_another_zone_once() {
    let zone = Zone::spawn(1, 1).await;
    let remote = zone.entry("entry-a", "").await;
    // Zone b has no endpoints; its entry reaches the endpoints of zone a through the entry of zone a.
    let mut view = entry_view("a", remote.caller_addr(), 2);
    view.endpoints = zone.view("a").endpoints;
    zone.planner.update(|state| state.merge_view(view));
    let local = zone.entry_in("b", "entry-b", "").await;
    zone.planner.update(|state| state.merge_view(entry_view("b", local.caller_addr(), 1)));
    let response = chat(local.caller_addr(), &chat_body("one", 2, true)).await;
    assert!(response.text().ends_with("data: [DONE]\n\n"), "{}", response.text());
    let plain = call(local.caller_addr(), Method::POST, "/services/desk/notes/1", &[], "text").await;
    assert_eq!(plain.json()["path"], "/notes/1");
    let forwarded = [("carobwick-forwarded", "c")];
    let refused =
        call(local.caller_addr(), Method::POST, CHAT_PATH, &forwarded, &chat_body("one", 2, false)).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers["carobwick-run"], "no");
}

/// Guards against a graceful shutdown that cuts off requests or streams, or during which the entry stays ready.
#[tokio::test]
async fn shutdown_waits_for_requests_in_flight() {
    let zone = Zone::spawn(1, 0).await;
    let entry = zone.entry("entry-1", "--read-timeout 500").await;
    let (callers, operators) = (entry.caller_addr(), entry.operator_addr());
    let mut response = open(callers, Method::POST, CHAT_PATH, &[], &chat_body("long", 300, true)).await;
    response.body_mut().frame().await.unwrap().unwrap();
    let idle = tokio::net::TcpStream::connect(callers).await.unwrap();
    let partial = tokio::net::TcpStream::connect(callers).await.unwrap();
    partial.try_write(b"GET /healthz HT").unwrap();
    let stop = tokio::spawn(entry.shutdown());
    while call(operators, Method::GET, "/readyz", &[], "").await.status == StatusCode::OK {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let rest = response.into_body().collect().await.unwrap().to_bytes();
    assert!(rest.ends_with(b"data: [DONE]\n\n"));
    let stopped = tokio::time::timeout(Duration::from_secs(8), stop).await;
    stopped.expect("a connection without a request delays the shutdown").unwrap();
    drop((idle, partial));
    assert!(tokio::net::TcpStream::connect(callers).await.is_err(), "{MODEL} is still served");
}

/// Returns the text of a stream.
fn contents(stream: &str) -> String {
    let events = stream.split("\n\n").filter_map(|event| event.strip_prefix("data: {"));
    let values =
        events.map(|event| serde_json::from_str::<serde_json::Value>(&format!("{{{event}")).unwrap());
    values
        .map(|value| value["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned())
        .collect()
}

/// Guards against a refusal of another zone's entry being treated as a lost response: the request did not run there,
/// so it may run elsewhere, and the caller must be told that it did not run.
#[test_case("/services/desk/payments/x" ; "not repeatable")]
#[test_case("/services/desk/hours" ; "repeatable")]
#[tokio::test]
async fn refusal_of_another_zone_proves_that_nothing_ran(path: &str) {
    let zone = Zone::spawn(1, 1).await;
    // The view of the zone with the service names an entry without endpoints, which refuses the request.
    let remote = zone.entry_in("c", "far", "").await;
    let mut view = entry_view("a", remote.caller_addr(), 2);
    view.endpoints = zone.view("a").endpoints;
    zone.planner.update(|state| state.merge_view(view));
    let local = zone.entry_in("b", "near", "").await;
    let response = call(local.caller_addr(), Method::POST, path, &[], "42 EUR").await;
    assert_eq!(response.json()["error"]["run"], "no", "{}", response.text());
    assert_eq!(response.code(), "unavailable");
}
