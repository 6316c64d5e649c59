//! Fixed seeds of the delivery runs.

use carobwick_proof::Area;
use test_case::test_case;

/// Guards against answers that are mixed up or incomplete, false `run: no` and second runs (I3, I4, I5).
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn delivery_keeps_its_invariants(seed: u64) {
    let report = Area::Delivery.run(seed, 4_000);
    assert!(report.is_clean(), "{:?}", report.violations);
    assert!(report.faults > 0, "no fault was injected");
}

/// Guards against runs that can't be replayed.
#[test]
fn equal_seeds_give_equal_runs() {
    assert_eq!(Area::Delivery.run(5, 2_000), Area::Delivery.run(5, 2_000));
}
