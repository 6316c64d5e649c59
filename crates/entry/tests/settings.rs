//! Validation of the settings before an entry starts.

use carobwick_entry::Settings;
use test_case::test_case;

const VALID: &str = "--instance i --zone z --callers 127.0.0.1:1 --operators 127.0.0.1:2 --planner 127.0.0.1:3 \
                     --key-value http://127.0.0.1:4 --fallback 127.0.0.1:5 --fallback 127.0.0.1:6";

#[test]
fn valid_settings_are_accepted() {
    let settings: Settings = VALID.parse().unwrap();
    settings.validate().unwrap();
    assert_eq!(settings.fallbacks.len(), 2);
}

/// Guards against an entry that starts with an unknown or invalid setting, or one that contradicts another.
#[test_case("--unknown 1", "--unknown" ; "unknown flag")]
#[test_case("--attempts x", "x" ; "not a number")]
#[test_case("--attempts 0", "attempts" ; "no attempts")]
#[test_case("--fallback 127.0.0.1:3", "fallback" ; "fallback is the planner")]
#[test_case("--fallback 127.0.0.1:5", "fallback" ; "fallback given twice")]
#[test_case("--deadline 2000 --stream-limit 1000", "stream-limit" ; "stream limit below deadline")]
#[test_case("--max-head 10", "max-head" ; "head too small")]
fn wrong_setting_is_refused_by_name(flags: &str, name: &str) {
    let parsed = format!("{VALID} {flags}").parse::<Settings>();
    let err = parsed.and_then(|settings| settings.validate()).unwrap_err().to_string();
    assert!(err.contains(name), "{err}");
}

#[test_case("--operators 127.0.0.1:2", "--operators 127.0.0.1:1", "operators" ; "two APIs on one address")]
#[test_case("--planner 127.0.0.1:3", "--planner 127.0.0.1:1", "planner" ; "planner is the entry")]
#[test_case("http://127.0.0.1:4", "127.0.0.1:4", "key-value" ; "no URL")]
fn contradiction_is_refused_by_name(old: &str, new: &str, name: &str) {
    let settings: Settings = VALID.replace(old, new).parse().unwrap();
    let err = settings.validate().unwrap_err().to_string();
    assert!(err.starts_with(name), "{err}");
}
