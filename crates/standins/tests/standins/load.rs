//! Tests of the load generator.

use std::time::Duration;

use carobwick_core::Rate;
use carobwick_standins::ArrivalMode;
use carobwick_standins::EngineFaults;
use carobwick_standins::LoadOptions;
use carobwick_standins::LoadSummary;
use carobwick_standins::RequestKind;
use carobwick_standins::ServiceFaults;
use carobwick_standins::ServiceOptions;
use carobwick_standins::ServiceStandin;
use carobwick_standins::run_load;
use test_case::test_case;

use crate::support::ANY_PORT;
use crate::support::TestEngine;

fn options(url: String, kind: RequestKind) -> LoadOptions {
    LoadOptions {
        urls: vec![url],
        direct: true,
        arrivals: ArrivalMode::ClosedLoop(4),
        duration: Duration::from_secs(5),
        max_requests: Some(40),
        kind,
        models: vec!["m".parse().unwrap()],
        prompt_bytes: 1_000,
        shared_fraction: 0.75,
        prefix_count: 2,
        max_tokens: 5,
        caller_count: 3,
        idempotency_keys: false,
        not_repeatable: false,
        timeout: Duration::from_secs(2),
        seed: 7,
    }
}

async fn run(engine: &TestEngine, kind: RequestKind) -> LoadSummary {
    run_load(options(engine.engine.server().url(), kind)).await.unwrap()
}

/// Guards against correct responses that are counted as wrong, and against more requests than the maximum.
#[test_case(RequestKind::Chat; "one body")]
#[test_case(RequestKind::Stream; "stream")]
#[tokio::test]
async fn correct_responses_are_complete(kind: RequestKind) {
    let engine = TestEngine::with_model(|_| {}).await;
    let is_stream = kind == RequestKind::Stream;
    let summary = run(&engine, kind).await;
    assert_eq!(summary.outcomes.get("complete"), Some(&40), "{summary}");
    assert_eq!(engine.engine.stats().requests, 40);
    assert_eq!(summary.total.count, 40);
    assert_eq!(summary.first_token.count, if is_stream { 40 } else { 0 });
    assert_eq!(summary.token_gap.count, if is_stream { 160 } else { 0 });
}

/// Guards against faulty responses that are counted as complete.
#[test_case(EngineFaults { wrong_attempts: 3, ..EngineFaults::default() }, "foreign"; "wrong attempt")]
#[test_case(EngineFaults { cut_streams: 3, cut_after: 2, ..EngineFaults::default() }, "broken"; "cut stream")]
#[tokio::test]
async fn faulty_responses_are_not_complete(faults: EngineFaults, outcome: &str) {
    let engine = TestEngine::with_model(|_| {}).await;
    engine.engine.faults().set(faults);
    let summary = run(&engine, RequestKind::Stream).await;
    assert_eq!((summary.outcomes.get(outcome), summary.complete), (Some(&3), 37), "{summary}");
}

/// Guards against refusals that are counted as failures of requests that ran.
#[tokio::test]
async fn refusals_are_counted_by_code() {
    let engine = TestEngine::spawn(|_| {}).await;
    let summary = run(&engine, RequestKind::Chat).await;
    assert_eq!(summary.outcomes.get("refused 404 model_not_found"), Some(&40), "{summary}");
}

/// Guards against an open loop that waits for responses.
///
/// At 200 requests per second that take 50 ms each, about 10 are in flight.
#[tokio::test]
async fn open_loop_does_not_wait_for_responses() {
    let service = ServiceOptions::new("b1".parse().unwrap(), "balie".parse().unwrap());
    let service = ServiceOptions { delay: Duration::from_millis(50), ..service };
    let service = ServiceStandin::spawn(ANY_PORT, service, ServiceFaults::default()).await.unwrap();
    let mut options = options(service.server().url(), RequestKind::Service("/visits".to_owned()));
    (options.arrivals, options.max_requests, options.idempotency_keys) =
        (ArrivalMode::OpenLoop(Rate(200.0)), Some(100), true);
    let summary = run_load(options).await.unwrap();
    assert_eq!(summary.complete, 100, "{summary}");
    assert!(summary.peak >= 5 && summary.seconds < 3.0, "{summary}");
    assert!(service.executions().values().all(|count| *count == 1));
}

/// Guards against load runs that are longer than the limit.
#[tokio::test]
async fn long_runs_are_refused() {
    let mut options = options("http://127.0.0.1:1".to_owned(), RequestKind::Chat);
    options.duration = Duration::from_secs(61);
    run_load(options).await.unwrap_err();
}
