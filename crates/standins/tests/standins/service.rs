//! Tests of the plain service.

use std::time::Duration;

use carobwick_standins::ServiceFaults;
use carobwick_standins::ServiceOptions;
use carobwick_standins::ServiceStandin;
use carobwick_standins::body_hash;
use serde_json::json;
use test_case::test_case;

use crate::support::ANY_PORT;
use crate::support::Http;

async fn spawn(adjust: impl FnOnce(&mut ServiceOptions)) -> (ServiceStandin, String) {
    let mut options = ServiceOptions::new("b1".parse().unwrap(), "balie".parse().unwrap());
    adjust(&mut options);
    let service = ServiceStandin::spawn(ANY_PORT, options, ServiceFaults::default()).await.unwrap();
    let url = format!("{}/payments/7", service.server().url());
    (service, url)
}

/// Guards against executions that are not counted, by idempotency key or by body.
#[test_case(&[("idempotency-key", "k1")]; "with a key")]
#[test_case(&[]; "without a key")]
#[tokio::test]
async fn executions_are_counted_per_request(headers: &[(&str, &str)]) {
    let (service, url) = spawn(|_| {}).await;
    let (http, body) = (Http::http1(), json!({"amount": 5}));
    for _ in 0..2 {
        let response = http.post(&url, headers, &body).await.unwrap();
        assert_eq!(response.body["request"], body_hash(body.to_string().as_bytes()));
    }
    let other = json!({"amount": 6});
    http.post(&url, &[("idempotency-key", "k2")], &other).await.unwrap();
    let hash = body_hash(body.to_string().as_bytes());
    let key = headers.first().map_or_else(|| format!("/payments/7:{hash}"), |(_, key)| (*key).to_owned());
    let executions = service.executions();
    assert_eq!((executions[&key], executions["k2"]), (2, 1));
}

/// Guards against responses without the headers that delivery depends on.
#[tokio::test]
async fn responses_carry_the_headers_of_an_endpoint() {
    let (service, url) = spawn(|_| {}).await;
    service.faults().set(ServiceFaults { wrong_attempts: 1, ..ServiceFaults::default() });
    let (http, headers) = (Http::http2(), [("carobwick-attempt", "10")]);
    let wrong = http.post(&url, &headers, &json!({})).await.unwrap();
    assert_ne!(wrong.header("carobwick-attempt"), "0000000000000010");
    let right = http.post(&url, &headers, &json!({})).await.unwrap();
    assert_eq!(right.header("carobwick-attempt"), "0000000000000010");
    assert!(!right.header("carobwick-load").is_empty() && !right.header("carobwick-incarnation").is_empty());
}

/// Guards against a lost reply that does not count as an execution, and against a lost request that does.
#[test_case(ServiceFaults { lose_replies: 1, ..ServiceFaults::default() }, 1; "lost reply")]
#[test_case(ServiceFaults { lose_requests: 1, ..ServiceFaults::default() }, 0; "lost request")]
#[tokio::test]
async fn lost_replies_and_requests(faults: ServiceFaults, executions: u64) {
    let (service, url) = spawn(|_| {}).await;
    service.faults().set(faults);
    let headers = [("idempotency-key", "k1")];
    assert!(Http::http1().post(&url, &headers, &json!({})).await.is_none());
    assert_eq!(service.executions().get("k1").copied().unwrap_or_default(), executions);
}

/// Guards against an execution that is not counted because the caller disconnects.
#[tokio::test]
async fn disconnected_caller_does_not_stop_the_execution() {
    let (service, url) = spawn(|options| options.delay = Duration::from_millis(200)).await;
    let (http, body) = (Http::http1(), json!({}));
    let request = http.post(&url, &[("idempotency-key", "k1")], &body);
    assert!(tokio::time::timeout(Duration::from_millis(100), request).await.is_err());
    assert_eq!(service.executions()["k1"], 1);
}

/// Guards against a refusal that counts as an execution.
#[tokio::test]
async fn full_service_refuses_without_running() {
    let (service, url) = spawn(|options| options.slots = 0).await;
    let refused = Http::http1().post(&url, &[("idempotency-key", "k1")], &json!({})).await.unwrap();
    assert_eq!((refused.status.as_u16(), refused.header("carobwick-run")), (503, "no"));
    assert!(service.executions().is_empty());
}

/// Guards against a crash that responds to its request or keeps the incarnation.
#[tokio::test]
async fn crash_marker_crashes_the_service() {
    let (service, url) = spawn(|_| {}).await;
    let before = Http::http1().post(&url, &[], &json!({})).await.unwrap();
    let faults =
        ServiceFaults { crash_marker: Some("bad".to_owned()), refuse_ms: 200, ..ServiceFaults::default() };
    service.faults().set(faults);
    assert!(Http::http1().post(&url, &[], &json!({"text": "a bad one"})).await.is_none());
    assert!(Http::http1().post(&url, &[], &json!({})).await.is_none());
    tokio::time::sleep(Duration::from_millis(400)).await;
    let after = Http::http1().post(&url, &[], &json!({})).await.unwrap();
    assert_ne!(after.header("carobwick-incarnation"), before.header("carobwick-incarnation"));
}
