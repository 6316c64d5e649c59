//! Tests of the command line against fixed responses: output, exit codes and choice of addresses.

mod stub;

use std::path::Path;
use std::process::Command;
use std::process::Output;

use serde_json::json;
use test_case::test_case;

use self::stub::serve;

const MANIFEST: &str = "../../examples/be-fl.json";

fn run_carobwick(operators: &str, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobwick"));
    command.env_remove("CAROBWICK_OPERATORS").arg("--operators").arg(operators).args(args);
    command.output().unwrap()
}

fn event(at: u64, sequence: u64, process: &str, kind: &str, detail: &str) -> serde_json::Value {
    json!({"at": at, "sequence": sequence, "instance": "gent-0", "process": process, "kind": kind, "detail": detail})
}

fn spawn_planner() -> String {
    let instance = |id: &str, live: bool, version: Option<u64>| json!({"instance": id, "zone": "fl-gent", "live": live, "version": version});
    let status = json!({
        "instance": "gent-0", "zone": "fl-gent", "version": 7, "key_value": true,
        "zones": [{"zone": "fl-gent", "leader": "gent-1", "term": 42, "view": 9}],
        "instances": [instance("gent-0", true, Some(7)), instance("gent-1", true, Some(7)), instance("gent-2", false, None)],
        "endpoints": [
            {"endpoint": "gent-engine-0", "zone": "fl-gent", "service": "smid-llm", "state": "live", "drained": false,
             "resident": 5, "load": {"running": 3, "queued": 1, "cached_tokens": 0, "free_tokens": 0}},
            {"endpoint": "gent-engine-1", "zone": "fl-gent", "service": "smid-llm", "state": "leaving", "drained": true,
             "resident": 4, "load": {"running": 0, "queued": 0, "cached_tokens": 0, "free_tokens": 0}},
        ],
        "drains": [{"endpoint": "gent-engine-1"}],
    });
    let explanation = json!({
        "model": "smid-01:a1", "base": "smid-01", "declared": true, "retiring": false, "home": "fl-gent",
        "zones": [
            {"zone": "fl-gent", "resident": ["gent-engine-0"], "reason": "demand", "blocked": null},
            {"zone": "fl-brugge", "resident": [], "reason": null, "blocked": "no engine has room"},
        ],
    });
    let drain = |durable: bool| {
        json!({"target": {"endpoint": "gent-engine-1"}, "durable": durable,
            "mark": {"counter": 1, "writer": "00000000000000ff", "drained": true}})
    };
    let published = json!({"version": 7, "write_id": "00000000000000ff"}).to_string();
    let events = json!([
        event(3_661_000_000, 0, "carobwick-planner", "process", "started"),
        event(3_661_500_000, 1, "carobwick-planner", "config", "version 7 published"),
        // The clock was set back before this event.
        event(3_661_100_000, 2, "carobwick-planner", "drain", "endpoint gent-engine-1 drained"),
    ]);
    serve(vec![
        ("GET /admin/status", 200, status.to_string()),
        ("GET /admin/explain/smid-01:a1", 200, explanation.to_string()),
        ("GET /admin/explain/none", 404, error_body("not_found", "`none` is neither declared nor resident")),
        ("GET /admin/timeline", 200, events.to_string()),
        ("POST /admin/drains", 200, drain(false).to_string()),
        ("POST /admin/manifest", 200, published.clone()),
        (
            "POST /admin/manifest?expect=5",
            409,
            error_body("conflict", "version 6 was published by another writer"),
        ),
        (
            "POST /admin/rollback",
            422,
            error_body("refused", "models.m: 9 bytes do not fit in its home zone fl-gent"),
        ),
    ])
}

fn error_body(code: &str, message: &str) -> String {
    json!({"error": {"code": code, "message": message}}).to_string()
}

fn spawn_entry() -> String {
    let events = json!([event(3_661_200_000, 0, "carobwick-entry", "process", "started")]);
    serve(vec![("GET /admin/timeline", 200, events.to_string())])
}

/// Guards against unintended changes of the output, which operators and their scripts read.
#[test_case("status", &["status"], 0)]
#[test_case("status-json", &["status", "--json"], 0)]
#[test_case("explain", &["explain", "smid-01:a1"], 0)]
#[test_case("explain-unknown", &["explain", "none"], 3)]
#[test_case("timeline", &["timeline"], 0)]
#[test_case("timeline-json", &["timeline", "--json"], 0)]
#[test_case("drain", &["drain", "endpoint", "gent-engine-1"], 0)]
#[test_case("publish", &["publish", "--wait", MANIFEST], 0)]
#[test_case("publish-json", &["publish", "--json", MANIFEST], 0)]
#[test_case("publish-conflict", &["publish", "--expect", "5", MANIFEST], 4)]
#[test_case("rollback-refused", &["rollback", "3"], 3)]
#[test_case("check", &["check", MANIFEST], 0)]
#[test_case("check-missing", &["check", "none.json"], 2)]
#[test_case("help", &["--help"], 0)]
#[test_case("help-publish", &["publish", "--help"], 0)]
fn output_matches_golden_file(name: &str, args: &[&str], code: i32) {
    let operators = format!("{},{}", spawn_entry(), spawn_planner());
    let output = run_carobwick(&operators, args);
    let text = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
    let golden = Path::new("tests/golden").join(format!("{name}.txt"));
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&golden, &text).unwrap();
    }
    assert_eq!(text, std::fs::read_to_string(golden).unwrap());
    assert_eq!(output.status.code(), Some(code));
}

/// Guards against a change that is made twice, by sending it to another address after a planner received it.
#[test_case(503, "unavailable", 5 ; "nothing was written")]
#[test_case(504, "unknown", 6 ; "outcome unknown")]
fn failed_publish_is_not_sent_to_the_next_address(status: u16, code: &str, exit: i32) {
    let first = serve(vec![("POST /admin/manifest", status, error_body(code, "no response"))]);
    let output = run_carobwick(&format!("{first},{}", spawn_planner()), &["publish", MANIFEST]);
    assert_eq!(output.status.code(), Some(exit));
}

/// Guards against a command that fails because one of several planners is down.
#[test]
fn address_without_a_listener_is_skipped() {
    let output = run_carobwick(&format!("http://127.0.0.1:1,{}", spawn_planner()), &["publish", MANIFEST]);
    assert_eq!(output.status.code(), Some(0));
    let output = run_carobwick("http://127.0.0.1:1", &["status"]);
    assert_eq!(output.status.code(), Some(5));
    let output = run_carobwick("", &["status"]);
    assert_eq!(output.status.code(), Some(2));
}
