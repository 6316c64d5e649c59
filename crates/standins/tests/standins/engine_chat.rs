//! Tests of how the model engine handles chat requests.

use std::time::Duration;
use std::time::Instant;

use carobwick_core::LoadReport;
use carobwick_standins::ChatRequest;
use carobwick_standins::EngineFaults;
use carobwick_standins::completion_text;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use test_case::test_case;

use crate::support::Http;
use crate::support::TestEngine;
use crate::support::chat;
use crate::support::is_resident;
use crate::support::load;
use crate::support::wait_until;

/// Reads a stream until it ends or breaks, and returns its events and whether the last one is `[DONE]`.
async fn read(response: Response<Incoming>) -> (Vec<Value>, bool) {
    let mut body = response.into_body();
    let mut text = String::new();
    while let Some(Ok(frame)) = body.frame().await {
        text.push_str(std::str::from_utf8(frame.data_ref().unwrap()).unwrap());
    }
    let events: Vec<&str> = text.split("\n\n").filter_map(|event| event.strip_prefix("data: ")).collect();
    let done = events.last() == Some(&"[DONE]");
    (events.into_iter().filter_map(|event| serde_json::from_str(event).ok()).collect(), done)
}

fn text(events: &[Value]) -> String {
    events.iter().filter_map(|event| event["choices"][0]["delta"]["content"].as_str()).collect()
}

fn expected(body: &Value, tokens: u32) -> String {
    completion_text(serde_json::from_value::<ChatRequest>(body.clone()).unwrap().hash(), tokens)
}

/// Guards against responses without the headers that delivery depends on, with HTTP/1.1 and HTTP/2.
#[test_case(Http::http1(); "http 1")]
#[test_case(Http::http2(); "http 2 with prior knowledge")]
#[tokio::test]
async fn chat_response_belongs_to_the_caller(http: Http) {
    let engine = TestEngine::with_model(|_| {}).await;
    let (one, two) = (chat("one", 3, false), chat("two", 3, false));
    let response = http.post(&engine.chat_url(), &[("carobwick-attempt", "ab")], &one).await.unwrap();
    let choice = &response.body["choices"][0];
    assert_eq!(choice["message"]["content"], expected(&one, 3));
    assert_ne!(expected(&one, 3), expected(&two, 3));
    assert_eq!(choice["finish_reason"], "stop");
    assert_eq!(response.header("carobwick-attempt"), "00000000000000ab");
    assert_eq!(response.header("carobwick-incarnation"), engine.engine.state().incarnation.to_string());
    assert!(response.header("carobwick-load").parse::<LoadReport>().unwrap().free_tokens > 0);
}

/// Guards against a complete stream without `[DONE]`, and against a stream whose text differs from the
/// completion.
#[tokio::test]
async fn stream_ends_with_the_done_event() {
    let engine = TestEngine::with_model(|_| {}).await;
    let body = chat("one", 5, true);
    let response = Http::http2().open(&engine.chat_url(), &[], &body).await.unwrap();
    let (events, done) = read(response).await;
    assert!(done);
    assert_eq!(text(&events), expected(&body, 5));
    assert_eq!(events.last().unwrap()["choices"][0]["finish_reason"], "stop");
}

/// Guards against refusals without the header that tells that the request did not run.
#[tokio::test]
async fn refusals_say_that_the_request_did_not_run() {
    let engine = TestEngine::with_model(|options| {
        (options.slots, options.queue_limit, options.timing.token_us) = (1, 0, 50_000);
    })
    .await;
    let mut unknown = chat("one", 1, false);
    unknown["model"] = "x".into();
    let refused = Http::http1().post(&engine.chat_url(), &[], &unknown).await.unwrap();
    assert_eq!((refused.status.as_u16(), refused.header("carobwick-run")), (404, "no"));
    let running = Http::http1().open(&engine.chat_url(), &[], &chat("one", 50, true)).await.unwrap();
    engine.wait_for_state(|state| state.running == 1).await;
    let refused = Http::http1().post(&engine.chat_url(), &[], &chat("two", 1, false)).await.unwrap();
    assert_eq!((refused.status.as_u16(), refused.header("carobwick-run")), (503, "no"));
    drop(running);
}

/// Guards against a queue that ignores the priority of requests.
#[tokio::test]
async fn higher_priority_runs_first() {
    let engine = TestEngine::with_model(|options| {
        (options.slots, options.timing.token_us) = (1, 20_000);
    })
    .await;
    let url = engine.chat_url();
    let send = |prompt: &'static str, priority: &'static str| {
        let url = url.clone();
        tokio::spawn(async move {
            let headers = [("carobwick-priority", priority)];
            Http::http1().post(&url, &headers, &chat(prompt, 10, false)).await.unwrap();
            Instant::now()
        })
    };
    let first = send("first", "1");
    engine.wait_for_state(|state| state.running == 1).await;
    let low = send("low", "1");
    engine.wait_for_state(|state| state.queued == 1).await;
    let high = send("high", "5");
    engine.wait_for_state(|state| state.queued == 2).await;
    let (first, low, high) = (first.await.unwrap(), low.await.unwrap(), high.await.unwrap());
    assert!(first < high && high < low);
}

/// Guards against a resume that repeats or skips events, while the request still runs and after it was
/// paused.
#[test_case(0; "within the grace period")]
#[test_case(250; "after the request was paused")]
#[tokio::test]
async fn resume_continues_after_the_last_event(wait_ms: u64) {
    let engine = TestEngine::with_model(|options| {
        (options.resume_grace, options.timing.token_us) = (Duration::from_millis(100), 20_000);
    })
    .await;
    engine.engine.faults().set(EngineFaults { cut_streams: 1, cut_after: 4, ..EngineFaults::default() });
    let (http, body) = (Http::http2(), chat("one", 30, true));
    let cut = http.open(&engine.chat_url(), &[("carobwick-attempt", "1")], &body).await.unwrap();
    let (mut events, done) = read(cut).await;
    assert!(!done && events.len() == 4);
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    assert_eq!(engine.engine.state().running, u32::from(wait_ms == 0));
    let headers = [("carobwick-attempt", "2"), ("carobwick-resume", "1,4")];
    let rest = http.open(&engine.chat_url(), &headers, &body).await.unwrap();
    assert_eq!(rest.headers()["carobwick-attempt"], "0000000000000002");
    let (more, done) = read(rest).await;
    events.extend(more);
    assert!(done);
    assert_eq!(text(&events), expected(&body, 30));
    assert_eq!(engine.engine.stats().requests, 1);
}

/// Guards against a resume of an unknown stream that runs the request again.
#[tokio::test]
async fn unknown_stream_is_not_resumed() {
    let engine = TestEngine::with_model(|_| {}).await;
    let headers = [("carobwick-resume", "99,4")];
    let refused = Http::http1().post(&engine.chat_url(), &headers, &chat("one", 3, true)).await.unwrap();
    assert_eq!((refused.status.as_u16(), refused.header("carobwick-run")), (410, ""));
}

/// Guards against requests that keep their slot after their caller has disconnected.
#[test_case(false; "chat response")]
#[test_case(true; "stream")]
#[tokio::test]
async fn disconnected_caller_frees_the_slot(stream: bool) {
    let engine = TestEngine::with_model(|options| {
        (options.resume_grace, options.timing.token_us) = (Duration::from_millis(100), 50_000);
    })
    .await;
    let (url, http) = (engine.chat_url(), Http::http1());
    let headers = [("carobwick-attempt", "1")];
    let body = chat("one", 1_000, stream);
    let result = tokio::time::timeout(Duration::from_millis(200), http.post(&url, &headers, &body)).await;
    assert!(result.is_err());
    engine.wait_for_state(|state| state.running == 0).await;
    assert_eq!(engine.engine.stats().cancelled, 1);
}

/// Guards against a crash that responds to its request, spares other requests on the engine, or keeps the
/// models.
#[tokio::test]
async fn crash_marker_crashes_the_engine() {
    let engine = TestEngine::with_model(|options| options.timing.token_us = 20_000).await;
    engine
        .engine
        .faults()
        .set(EngineFaults { crash_marker: Some("bad".to_owned()), ..EngineFaults::default() });
    let before = engine.engine.state().incarnation;
    let other = Http::http2().open(&engine.chat_url(), &[], &chat("good", 100, true)).await.unwrap();
    assert!(Http::http1().post(&engine.chat_url(), &[], &chat("a bad one", 1, false)).await.is_none());
    assert!(!read(other).await.1);
    assert!(Http::http1().post(&engine.chat_url(), &[], &chat("good", 1, false)).await.is_none());
    tokio::time::sleep(Duration::from_millis(500)).await;
    let refused = Http::http1().post(&engine.chat_url(), &[], &chat("good", 1, false)).await.unwrap();
    assert_eq!((refused.status.as_u16(), refused.header("carobwick-run")), (404, "no"));
    assert_ne!(refused.header("carobwick-incarnation"), before.to_string());
}

/// Guards against a freeze that closes the connections, which the other side would detect at once.
#[test_case(Http::http1(), Http::http1(); "http 1")]
#[test_case(Http::http2(), Http::http2(); "http 2")]
#[tokio::test]
async fn frozen_connections_stay_open_and_new_ones_work(old: Http, new: Http) {
    let engine = TestEngine::with_model(|_| {}).await;
    let (url, body) = (engine.chat_url(), chat("one", 1, false));
    old.post(&url, &[], &body).await.unwrap();
    engine.engine.faults().set(EngineFaults { freeze: true, ..EngineFaults::default() });
    let timed_out = tokio::time::timeout(Duration::from_millis(300), old.post(&url, &[], &body)).await;
    assert!(timed_out.is_err());
    assert_eq!(new.post(&url, &[], &body).await.unwrap().status.as_u16(), 200);
}

/// Guards against a wrong attempt id in more responses than the fault sets, or in none.
#[tokio::test]
async fn wrong_attempt_id_is_sent_once() {
    let engine = TestEngine::with_model(|_| {}).await;
    engine.engine.faults().set(EngineFaults { wrong_attempts: 1, ..EngineFaults::default() });
    let (http, headers) = (Http::http1(), [("carobwick-attempt", "10")]);
    let wrong = http.post(&engine.chat_url(), &headers, &chat("one", 1, false)).await.unwrap();
    assert_ne!(wrong.header("carobwick-attempt"), "0000000000000010");
    let right = http.post(&engine.chat_url(), &headers, &chat("one", 1, false)).await.unwrap();
    assert_eq!(right.header("carobwick-attempt"), "0000000000000010");
}

/// Guards against a prefix cache that does not shorten the prefill, or that exceeds its capacity.
#[tokio::test]
async fn cached_prefix_shortens_prefill() {
    let engine = TestEngine::with_model(|options| {
        (options.timing.prefill_us, options.timing.cache_tokens) = (100.0, carobwick_core::Tokens(1_024));
    })
    .await;
    let (url, http) = (engine.chat_url(), Http::http1());
    let first_token = async |prompt: String| {
        let start = Instant::now();
        http.post(&url, &[], &chat(&prompt, 1, false)).await.unwrap();
        start.elapsed()
    };
    // 1,024 tokens of prompt take 102 ms of prefill unless they are cached.
    let (one, two) = ("x".repeat(4_096), "y".repeat(4_096));
    let cold = first_token(one.clone()).await;
    let warm = first_token(format!("{one} and a question")).await;
    assert!(cold > Duration::from_millis(100) && warm < Duration::from_millis(60), "{cold:?} {warm:?}");
    first_token(two).await;
    assert!(first_token(one).await > Duration::from_millis(100));
}

/// Guards against load reports that are newer than the configured age.
#[tokio::test]
async fn load_reports_have_the_configured_age() {
    let engine = TestEngine::with_model(|options| {
        (options.report_lag, options.timing.token_us) = (Duration::from_millis(400), 10_000);
    })
    .await;
    let (url, http) = (engine.chat_url(), Http::http1());
    let report = async || {
        let response = http.post(&url, &[], &chat("probe", 1, false)).await.unwrap();
        response.header("carobwick-load").parse::<LoadReport>().unwrap().running
    };
    let running =
        Http::http1().open(&url, &[("carobwick-attempt", "1")], &chat("one", 500, true)).await.unwrap();
    engine.wait_for_state(|state| state.running == 1).await;
    assert_eq!(report().await, 0);
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(report().await, 1);
    drop(running);
}

/// Guards against cache events without the configured gaps, or without the sequence number that reveals them.
#[tokio::test]
async fn cache_events_have_configured_gaps() {
    let engine = TestEngine::with_model(|options| options.event_gap = 2).await;
    let url = format!("{}/cache-events", engine.engine.server().url());
    let http = carobwick_runtime::HttpClient::open(Duration::from_secs(1));
    let mut events =
        http.open_stream(http::Method::GET, &url, bytes::Bytes::new()).await.unwrap().into_body();
    for letter in ["a", "b", "c"] {
        Http::http1().post(&engine.chat_url(), &[], &chat(&letter.repeat(600), 1, false)).await.unwrap();
    }
    let mut sequences = Vec::new();
    while sequences.len() < 2 {
        let frame =
            tokio::time::timeout(Duration::from_secs(2), events.frame()).await.unwrap().unwrap().unwrap();
        for line in std::str::from_utf8(frame.data_ref().unwrap()).unwrap().lines() {
            let event: Value = serde_json::from_str(line).unwrap();
            assert_eq!(event["stored"].as_array().unwrap().len(), 2);
            sequences.push(event["sequence"].as_u64().unwrap());
        }
    }
    assert_eq!(sequences, [1, 3]);
}

/// Guards against a request for an adapter that gets the response of its base model.
#[tokio::test]
async fn adapter_is_served_under_its_own_name() {
    let engine = TestEngine::with_model(|_| {}).await;
    engine.order(2, load("a", 10, Some("m"))).await.unwrap();
    engine.wait_for_state(|state| is_resident(state, "a")).await;
    let mut body = chat("one", 2, false);
    body["model"] = "a".into();
    let response = Http::http1().post(&engine.chat_url(), &[], &body).await.unwrap();
    assert_eq!(response.body["choices"][0]["message"]["content"], expected(&body, 2));
    wait_until(|| (engine.engine.stats().requests == 1).then_some(())).await;
}
