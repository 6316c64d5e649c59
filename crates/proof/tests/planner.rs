//! Fixed seeds of the planner's random run.

use carobwick_proof::Area;
use test_case::test_case;

/// Guards against overcommitted memory, lost last copies, orders of two leaders out of order and needless loads.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn no_invariant_is_violated(seed: u64) {
    let report = Area::Planner.run(seed, 1_000);
    assert!(report.is_clean(), "{:#?}", report.violations);
    assert!(report.faults > 0, "the run had no faults");
}

/// Guards against a run that can't be replayed from its seed.
#[test]
fn equal_seeds_give_equal_traces() {
    assert_eq!(Area::Planner.run(5, 300), Area::Planner.run(5, 300));
}
