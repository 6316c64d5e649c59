//! Requests with an idempotency key, and requests that must not be repeated.

use std::time::Duration;

use carobwick_entry::Entry;
use carobwick_standins::KvFaults;
use carobwick_standins::ServiceFaults;
use http::Method;
use http::StatusCode;

use crate::support::CallerResponse;
use crate::support::Zone;
use crate::support::call;

const PAYMENT_PATH: &str = "/services/desk/payments/deposit";

async fn pay(entry: &Entry, key: &str) -> CallerResponse {
    call(entry.caller_addr(), Method::POST, PAYMENT_PATH, &[("idempotency-key", key)], "42 EUR").await
}

/// Guards against a second run when a caller sends a key to two entries at once and retries it later.
#[tokio::test]
async fn same_key_at_two_entries_runs_once() {
    let zone = Zone::spawn(0, 2).await;
    for service in &zone.services {
        service.faults().set(ServiceFaults { delay_ms: 100, ..ServiceFaults::default() });
    }
    let (one, two) = (zone.entry("entry-1", "").await, zone.entry("entry-2", "").await);
    let (first, second) = tokio::join!(pay(&one, "k1"), pay(&two, "k1"));
    let mut statuses = [first.status, second.status];
    statuses.sort();
    assert_eq!(statuses, [StatusCode::OK, StatusCode::CONFLICT]);
    let refused = if first.status == StatusCode::OK { &second } else { &first };
    assert_eq!(refused.code(), "in_progress");
    assert!(refused.headers.contains_key("retry-after"));
    let done = if first.status == StatusCode::OK { &first } else { &second };
    for entry in [&one, &two] {
        let again = pay(entry, "k1").await;
        assert_eq!(again.body, done.body);
    }
    assert_eq!(executions(&zone), 1);
    let different_body =
        call(one.caller_addr(), Method::POST, PAYMENT_PATH, &[("idempotency-key", "k1")], "43 EUR").await;
    assert_eq!(different_body.code(), "key_reused");
    let headers = [("idempotency-key", "k1"), ("carobwick-caller", "other")];
    let other = call(one.caller_addr(), Method::POST, PAYMENT_PATH, &headers, "42 EUR").await;
    assert_eq!(other.status, StatusCode::OK, "a key of another caller is the same key");
}

/// Guards against a run without a record, and against refusals that don't say that the request did not run.
#[tokio::test]
async fn key_is_refused_while_the_key_value_service_is_unavailable() {
    let zone = Zone::spawn(0, 1).await;
    let entry = zone.entry("entry-1", "").await;
    zone.kv.faults().set(KvFaults { down: true, ..KvFaults::default() });
    let refused = pay(&entry, "k1").await;
    assert_eq!(
        (refused.status, refused.code().as_str()),
        (StatusCode::SERVICE_UNAVAILABLE, "once_unavailable")
    );
    assert_eq!(refused.json()["error"]["run"], "no");
    assert_eq!(executions(&zone), 0);
    let plain = call(entry.caller_addr(), Method::POST, "/services/desk/notes", &[], "").await;
    assert_eq!(plain.status, StatusCode::OK, "a request without a key needs no record");
    zone.kv.faults().set(KvFaults::default());
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(pay(&entry, "k1").await.status, StatusCode::OK);
}

/// Guards against a second run, or a needless refusal, when the replies of the key-value service are lost.
#[tokio::test]
async fn lost_replies_of_the_key_value_service_are_resolved() {
    let zone = Zone::spawn(0, 1).await;
    let entry = zone.entry("entry-1", "").await;
    assert_eq!(pay(&entry, "k1").await.status, StatusCode::OK);
    zone.kv.faults().set(KvFaults { lose_replies: 1, ..KvFaults::default() });
    let first = pay(&entry, "k2").await;
    assert_eq!(first.status, StatusCode::OK, "{}", first.text());
    assert_eq!(pay(&entry, "k2").await.body, first.body);
    assert_eq!(executions(&zone), 2);
}

/// Guards against more calls to the key-value service than two writes per request and one lease for all of them.
#[tokio::test]
async fn request_with_a_key_costs_two_writes() {
    let zone = Zone::spawn(0, 1).await;
    let entry = zone.entry("entry-1", "--once-rate 10").await;
    for index in 0..10 {
        assert_eq!(pay(&entry, &format!("k{index}")).await.status, StatusCode::OK);
    }
    let calls: u64 = zone.kv.call_counts().into_values().sum();
    assert_eq!(calls, 21, "{:?}", zone.kv.call_counts());
    let mut codes = Vec::new();
    for index in 10..40 {
        codes.push(pay(&entry, &format!("k{index}")).await.status);
    }
    assert!(codes.contains(&StatusCode::TOO_MANY_REQUESTS));
}

/// Guards against a second run of a payment whose response was lost.
#[tokio::test]
async fn not_repeatable_request_is_not_sent_again_after_a_loss() {
    let zone = Zone::spawn(0, 2).await;
    let entry = zone.entry("entry-1", "").await;
    let lose_next_reply = || {
        for service in &zone.services {
            service.faults().set(ServiceFaults { lose_replies: 1, ..ServiceFaults::default() });
        }
    };
    lose_next_reply();
    let lost = call(entry.caller_addr(), Method::POST, PAYMENT_PATH, &[], "42 EUR").await;
    assert_eq!((lost.status, lost.code().as_str()), (StatusCode::BAD_GATEWAY, "answer_lost"));
    assert_eq!(lost.json()["error"]["run"], "unknown");
    assert_eq!(executions(&zone), 1);
    lose_next_reply();
    assert_eq!(pay(&entry, "k1").await.code(), "answer_lost");
    assert_eq!(pay(&entry, "k1").await.code(), "outcome_unknown");
    assert_eq!(executions(&zone), 2);
}

fn executions(zone: &Zone) -> u64 {
    zone.services.iter().flat_map(|service| service.executions().into_values()).sum()
}
