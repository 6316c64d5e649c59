//! Invalid requests are refused at once and don't affect other callers.

use std::time::Duration;

use http::Method;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::Zone;
use crate::support::call;
use crate::support::chat_body;

const CHAT_PATH: &str = "/v1/chat/completions";

/// Guards against refusals without a code, or with one that does not tell what is wrong with the request.
#[test_case(Method::POST, CHAT_PATH, &[], "{broken", 400, "bad_json" ; "broken json")]
#[test_case(Method::POST, CHAT_PATH, &[], "{}", 400, "bad_request" ; "missing fields")]
#[test_case(Method::POST, CHAT_PATH, &[], r#"{"model": "no", "messages": []}"#, 404, "unknown_model" ; "unknown model")]
#[test_case(Method::POST, CHAT_PATH, &[("carobwick-caller", "a b")], "", 400, "bad_json" ; "empty body")]
#[test_case(Method::GET, CHAT_PATH, &[], "", 405, "wrong_method" ; "wrong method")]
#[test_case(Method::GET, "/v2/none", &[], "", 404, "unknown_path" ; "unknown path")]
#[test_case(Method::POST, "/services/none/x", &[], "", 404, "unknown_service" ; "unknown service")]
#[test_case(Method::POST, "/services/llm/x", &[], "", 404, "unknown_service" ; "engines as a service")]
#[test_case(Method::POST, "/services/desk/x", &[("carobwick-caller", "a b")], "", 400, "bad_header" ; "caller")]
#[test_case(Method::POST, "/services/desk/x", &[("idempotency-key", "")], "", 400, "bad_header" ; "empty key")]
#[test_case(Method::POST, "/services/desk/x", &[("carobwick-repeatable", "x")], "", 400, "bad_header" ; "flag")]
#[tokio::test]
async fn bad_request_gets_its_code(
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    status: u16,
    code: &str,
) {
    let zone = Zone::spawn(0, 1).await;
    let entry = zone.entry("entry-1", "").await;
    let response = call(entry.caller_addr(), method, path, headers, body).await;
    assert_eq!((response.status.as_u16(), response.code().as_str()), (status, code), "{}", response.text());
    assert_eq!(response.json()["error"]["run"], "no");
    assert!(zone.services[0].executions().is_empty());
}

/// Guards against bodies that exhaust memory, with or without a declared length, or that never arrive.
#[test_case("content-length: 5000\r\n\r\n", "413" ; "declared length")]
#[test_case("transfer-encoding: chunked\r\n\r\n1388\r\n", "413" ; "chunked")]
#[test_case("content-length: 100\r\n\r\nstart", "408" ; "slow body")]
#[tokio::test]
async fn oversized_and_slow_bodies_are_refused(head: &str, status: &str) {
    let zone = Zone::spawn(0, 1).await;
    let entry = zone.entry("entry-1", "--max-body 1000 --read-timeout 200").await;
    let mut stream = TcpStream::connect(entry.caller_addr()).await.unwrap();
    let start = format!("POST /services/desk/x HTTP/1.1\r\nhost: entry\r\n{head}");
    stream.write_all(start.as_bytes()).await.unwrap();
    if head.contains("chunked") {
        // The entry may close the connection before the whole body is written.
        let _closed = stream.write_all(&[b'x'; 5_000]).await;
    }
    let mut response = [0; 12];
    stream.read_exact(&mut response).await.unwrap();
    assert_eq!(std::str::from_utf8(&response).unwrap(), format!("HTTP/1.1 {status}"));
}

/// Guards against heads that exhaust memory or keep connections open.
#[tokio::test]
async fn oversized_and_slow_heads_end_the_connection() {
    let zone = Zone::spawn(0, 1).await;
    let entry = zone.entry("entry-1", "--max-head 8192 --read-timeout 200 --idle-timeout 200").await;
    let mut large = TcpStream::connect(entry.caller_addr()).await.unwrap();
    let head = format!("GET /healthz HTTP/1.1\r\nx: {}\r\n\r\n", "x".repeat(20_000));
    large.write_all(head.as_bytes()).await.unwrap();
    let mut response = [0; 12];
    large.read_exact(&mut response).await.unwrap();
    assert_eq!(&response, b"HTTP/1.1 431");
    for start in ["", "P", "GET /healthz HT"] {
        let mut slow = TcpStream::connect(entry.caller_addr()).await.unwrap();
        slow.write_all(start.as_bytes()).await.unwrap();
        let mut rest = Vec::new();
        let closed = tokio::time::timeout(Duration::from_secs(5), slow.read_to_end(&mut rest)).await;
        assert!(closed.is_ok(), "a connection that sent {start:?} stays open");
    }
    let body = chat_body("x", 1, false);
    assert_ne!(call(entry.caller_addr(), Method::POST, CHAT_PATH, &[], &body).await.status.as_u16(), 500);
}
