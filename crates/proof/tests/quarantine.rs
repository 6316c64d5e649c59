//! Fixed seeds of the quarantine runs.

use carobwick_proof::Area;
use test_case::test_case;

/// Guards against a request that costs ever more endpoints, harmless requests refused as suspects, and work for a
/// drained endpoint.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
fn quarantine_keeps_its_bounds(seed: u64) {
    let report = Area::Quarantine.run(seed, 2_000);
    assert!(report.is_clean(), "{:?}", report.violations);
    assert!(report.faults > 0, "no fault was injected");
}

/// Guards against runs that can't be replayed.
#[test]
fn equal_seeds_give_equal_runs() {
    assert_eq!(Area::Quarantine.run(7, 1_000), Area::Quarantine.run(7, 1_000));
}

/// Guards against a harmless request being convicted for a crash whose report lacks the real cause. Listed in
/// KNOWN-RED.txt.
#[test]
fn report_without_the_cause_convicts_nobody() {
    for seed in [100_474, 301_699] {
        let report = Area::Quarantine.run(seed, 3_000);
        assert!(report.is_clean(), "seed {seed}: {:?}", report.violations);
    }
}

/// Guards against a request that is convicted too late to keep the bound on endpoints lost to it. Listed in
/// KNOWN-RED.txt.
#[test]
fn late_conviction_keeps_the_bound_on_endpoints_lost() {
    let report = Area::Quarantine.run(700_488, 3_000);
    assert!(report.is_clean(), "{:?}", report.violations);
}
