//! Compares a session, as its callers see it, with a golden file in which ids are masked.

use std::fmt::Write;
use std::path::Path;

use carobwick_core::DrainTarget;
use carobwick_core::WriteId;
use carobwick_entry::Entry;
use carobwick_standins::KvFaults;
use http::Method;

use crate::support::CallerResponse;
use crate::support::Zone;
use crate::support::call;
use crate::support::chat_body;

const CHAT_PATH: &str = "/v1/chat/completions";
const PAYMENT_PATH: &str = "/services/desk/payments/deposit";

/// Guards against unintended changes of the callers' API.
#[tokio::test]
async fn session_is_as_recorded() {
    let zone = Zone::spawn(1, 1).await;
    let entry = zone.entry("entry-1", "").await;
    let mut session = Session::default();
    session.step(&entry, Method::GET, "/readyz", &[], "").await;
    session.step(&entry, Method::GET, "/v1/models", &[], "").await;
    session.step(&entry, Method::POST, CHAT_PATH, &[], &chat_body("hello", 3, false)).await;
    session.step(&entry, Method::POST, CHAT_PATH, &[], &chat_body("hello", 3, true)).await;
    session.step(&entry, Method::POST, "/services/desk/bookings/7?day=1", &[], "two chairs").await;
    let key = ("idempotency-key", "deposit-7");
    session.step(&entry, Method::POST, PAYMENT_PATH, &[key], "42 EUR").await;
    session.step(&entry, Method::POST, PAYMENT_PATH, &[key], "42 EUR").await;
    session.step(&entry, Method::POST, PAYMENT_PATH, &[key], "43 EUR").await;
    session.step(&entry, Method::POST, CHAT_PATH, &[], "{\"model\":").await;
    session.step(&entry, Method::POST, CHAT_PATH, &[], "{\"model\": \"none\", \"messages\": []}").await;
    session.step(&entry, Method::DELETE, CHAT_PATH, &[], "").await;
    session.step(&entry, Method::GET, "/services/none/x", &[], "").await;
    zone.kv.faults().set(KvFaults { down: true, ..KvFaults::default() });
    session.step(&entry, Method::POST, PAYMENT_PATH, &[("idempotency-key", "deposit-8")], "42 EUR").await;
    let target = DrainTarget::Endpoint("llm-0".parse().unwrap());
    zone.planner.update(|state| state.drains.set(target, true, WriteId(9)));
    while call(entry.caller_addr(), Method::POST, CHAT_PATH, &[], &chat_body("hello", 1, false)).await.status
        == 200
    {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    session.step(&entry, Method::POST, CHAT_PATH, &[], &chat_body("hello", 1, false)).await;
    compare(&session.text);
}

#[derive(Default)]
struct Session {
    text: String,
}

impl Session {
    async fn step(
        &mut self,
        entry: &Entry,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) {
        writeln!(self.text, "> {method} {path}").unwrap();
        for (name, value) in headers {
            writeln!(self.text, "> {name}: {value}").unwrap();
        }
        writeln!(self.text, "> {body}").unwrap();
        let response = call(entry.caller_addr(), method, path, headers, body).await;
        self.text.push_str(&render(&response));
    }
}

fn render(response: &CallerResponse) -> String {
    let mut text = format!("< {}\n", response.status.as_u16());
    let mut headers: Vec<String> =
        response.headers.iter().map(|(name, value)| format!("{name}: {value:?}")).collect();
    // A stream that arrives in one piece has a content length instead of a transfer encoding.
    let varying = ["date", "content-length", "transfer-encoding"];
    headers.retain(|header| !varying.iter().any(|name| header.starts_with(name)));
    headers.sort();
    for header in headers {
        writeln!(text, "< {}", mask(&header, "carobwick-request: \"")).unwrap();
    }
    for line in response.text().lines() {
        writeln!(text, "< {}", mask(line, "chatcmpl-")).unwrap();
    }
    text.push('\n');
    text
}

/// Replaces the hexadecimal digits after each `start` with `ID`.
fn mask(line: &str, start: &str) -> String {
    let mut parts = line.split(start);
    let mut masked = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        masked.push_str(start);
        masked.push_str("ID");
        masked.push_str(part.trim_start_matches(|c: char| c.is_ascii_hexdigit()));
    }
    masked
}

/// Compares a session with the golden file, after rewriting the file if `UPDATE_GOLDEN` is set.
fn compare(session: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/session.txt");
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::create_dir_all(file.parent().unwrap()).unwrap();
        std::fs::write(&file, session).unwrap();
    }
    let recorded = std::fs::read_to_string(&file).unwrap();
    for (line, (actual, expected)) in session.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(actual, expected, "line {} of the session differs from the golden file", line + 1);
    }
    assert_eq!(session.len(), recorded.len(), "the session is longer or shorter than the golden file");
}
