//! Fixed seeds of the simulations, and seeds that have found faults.

use carobwick_proof::Area;
use carobwick_proof::TestOutcome;
use test_case::test_case;

/// Guards against violations of the invariants under single, combined and repeated faults: in `config`,
/// decreasing versions, publishes that are lost or take effect twice, and lost drains (I6, I8); in
/// `delivery`, mixed-up or incomplete responses, a wrong `run: no` and second executions (I3, I4, I5); in
/// `planner`, overcommitted memory, unloaded last copies, and an order that takes effect after one of a later
/// leader (I1, I2); in `quarantine`, an unbounded number of endpoints lost to one request, and refused
/// harmless requests.
#[test_case(Area::Config, 6, 1_000 ; "config")]
#[test_case(Area::Delivery, 4, 4_000 ; "delivery")]
#[test_case(Area::Planner, 4, 1_000 ; "planner")]
#[test_case(Area::Quarantine, 6, 2_000 ; "quarantine")]
fn invariants_hold(area: Area, seeds: u64, steps: u64) {
    for seed in 1..=seeds {
        let report = area.run(seed, steps);
        assert!(report.is_clean(), "{area} seed {seed}: {:#?}", report.violations);
        assert!(report.faults > 0, "{area} seed {seed}: no fault was injected");
    }
}

/// Guards against simulations that can't be replayed from their seed.
#[test_case(Area::Config, 9, 500 ; "config")]
#[test_case(Area::Delivery, 5, 2_000 ; "delivery")]
#[test_case(Area::Planner, 5, 300 ; "planner")]
#[test_case(Area::Quarantine, 7, 1_000 ; "quarantine")]
fn equal_seeds_give_equal_runs(area: Area, seed: u64, steps: u64) {
    assert_eq!(area.run(seed, steps), area.run(seed, steps));
}

/// Guards against crash reports that lack the request that caused the crash. With these seeds, a harmless
/// request was convicted (100474), the crashing request was convicted too late to keep the bound on lost
/// endpoints (700488), and a request that was sent under a stale view was missing from the report on the
/// incarnation that it crashed (301699, 300085).
#[test_case(100_474)]
#[test_case(700_488)]
#[test_case(300_085)]
#[test_case(301_699)]
fn crash_reports_keep_their_cause(seed: u64) {
    check_seed(Area::Quarantine, seed, 3_000);
}

/// Guards against a known fault failing the test command, against a fixed one staying listed unnoticed, and
/// against passing over the failure of a test that is not listed.
#[test]
fn only_listed_tests_may_fail() {
    let known_failures = "Tests\n\ntest: listed\nseen: fails\n";
    assert_eq!(
        TestOutcome::run(known_failures, "listed", || panic!("expected in this test")),
        TestOutcome::KnownFailure
    );
    assert_eq!(TestOutcome::run(known_failures, "listed", || ()), TestOutcome::Fixed);
    assert_eq!(TestOutcome::run(known_failures, "other", || ()), TestOutcome::Passed);
    let other = || TestOutcome::run(known_failures, "other", || panic!("expected in this test"));
    std::panic::catch_unwind(other).unwrap_err();
}

/// Runs a seed that has found a fault; `KNOWN-RED.txt` may list it as `<area>_seed_<seed>`.
fn check_seed(area: Area, seed: u64, steps: u64) {
    let known_failures = TestOutcome::known_failures().expect("KNOWN-RED.txt is readable");
    TestOutcome::run(&known_failures, &format!("{area}_seed_{seed}"), || {
        let report = area.run(seed, steps);
        assert!(report.is_clean(), "{:?}", report.violations);
    });
}
