//! Requests that succeed.

use http::Method;
use http::StatusCode;

use crate::support::Zone;
use crate::support::call;
use crate::support::chat;
use crate::support::chat_body;

/// Guards against responses that are incomplete or belong to another request.
#[tokio::test]
async fn responses_and_streams_are_complete() {
    let zone = Zone::spawn(2, 1).await;
    let entry = zone.entry("entry-1", "").await;
    let response = chat(entry.caller_addr(), &chat_body("hello", 4, false)).await;
    assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    assert_eq!(response.json()["choices"][0]["finish_reason"], "stop");
    let stream = chat(entry.caller_addr(), &chat_body("hello", 4, true)).await;
    assert!(stream.text().ends_with("data: [DONE]\n\n"), "{}", stream.text());
    let plain = call(entry.caller_addr(), Method::POST, "/services/desk/bookings?day=1", &[], "body").await;
    assert_eq!(plain.json()["path"], "/bookings");
}
