//! Validation of the planner binary's settings, and its exit on a signal.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Command;
use std::process::Stdio;

use test_case::test_case;

const VALID_SETTINGS: [(&str, &str); 6] = [
    ("--instance", "gent-0"),
    ("--zone", "fl-gent"),
    ("--peer", "127.0.0.1:7000"),
    ("--operators", "127.0.0.1:7001"),
    ("--key-value", "http://127.0.0.1:1"),
    ("--instances", "http://127.0.0.1:2"),
];

/// Returns a command that runs the binary with valid settings, of which the named one is replaced.
fn command(name: &str, value: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobwick-planner"));
    for (flag, valid) in VALID_SETTINGS.into_iter().filter(|(flag, _)| *flag != name) {
        command.arg(flag).arg(valid);
    }
    if !name.is_empty() {
        command.arg(name).arg(value);
    }
    command
}

/// Guards against a process that starts with an invalid setting, or whose error does not name it.
#[test_case("--instance", "a b", "--instance" ; "character not allowed in ids")]
#[test_case("--peer", "localhost:7000", "--peer" ; "host name instead of an address")]
#[test_case("--peer", "127.0.0.1:7001", "--operators" ; "two servers on one address")]
#[test_case("--key-value", "127.0.0.1:1", "--key-value" ; "address without scheme")]
#[test_case("--key-value", "http://127.0.0.1:2", "--instances" ; "one address for two services")]
#[test_case("--seeds", "127.0.0.1:7000", "--seeds" ; "own address as a seed")]
#[test_case("--seeds", "127.0.0.1:8000,x", "--seeds" ; "seed that is not an address")]
#[test_case("--colour", "red", "--colour" ; "unknown setting")]
fn wrong_setting_is_named_in_the_error(name: &str, value: &str, expected_name: &str) {
    let output = command(name, value).arg("--check").output().unwrap();
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains(expected_name), "{text}");
}

/// Guards against environment variables that are ignored, or that have precedence over flags.
#[test]
fn setting_can_come_from_the_environment() {
    let check = |seeds: &str, zone: &str| {
        let mut command = command("", "");
        command.env("CAROBWICK_SEEDS", seeds).env("CAROBWICK_ZONE", zone).arg("--check");
        command.output().unwrap().status.success()
    };
    assert!(check("127.0.0.1:8000,127.0.0.1:8001", "not a zone, but the flag has precedence"));
    assert!(!check("127.0.0.1:8000,x", "a"));
}

/// Guards against a planner that does not stop on SIGTERM, or that exits with a failure then.
#[test]
fn terminate_signal_ends_the_process_with_success() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobwick-planner"));
    for (name, valid) in VALID_SETTINGS {
        let is_address = name == "--peer" || name == "--operators";
        command.arg(name).arg(if is_address { "127.0.0.1:0" } else { valid });
    }
    let mut child = command.env("NO_COLOR", "1").stdout(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    assert!(lines.any(|line| line.unwrap().contains("serves peers on")));
    let kill = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status().unwrap();
    assert!(kill.success());
    let rest: Vec<String> = lines.map(Result::unwrap).collect();
    assert!(child.wait().unwrap().success(), "{rest:?}");
    assert!(rest.last().unwrap().contains("planner: stopped"), "{rest:?}");
}
