//! Fixed seeds of the configuration runs.

use carobwick_proof::Area;
use test_case::test_case;

/// Guards against versions that go down, lost or doubled publishes and forgotten drains (I6, I8), under faults alone,
/// in pairs and twice.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
fn config_keeps_its_invariants(seed: u64) {
    let report = Area::Config.run(seed, 1_000);
    assert!(report.is_clean(), "{:?}", report.violations);
    assert!(report.faults > 0, "no fault was injected");
}

/// Guards against runs that can't be replayed.
#[test]
fn equal_seeds_give_equal_runs() {
    assert_eq!(Area::Config.run(9, 500), Area::Config.run(9, 500));
}
