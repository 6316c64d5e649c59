//! Seeded runs of endpoints of uneven speed.

#[path = "../../core/tests/endpoint_fixture/mod.rs"]
mod endpoint_fixture;
#[path = "../../core/tests/uneven_fixture/mod.rs"]
mod uneven_fixture;

use carobwick_proof::TestOutcome;
use uneven_fixture::Deployment;
use uneven_fixture::Figure;
use uneven_fixture::Measured;
use uneven_fixture::run;
use uneven_fixture::uneven_speeds;

/// Bound of the busy time of the busiest endpoint relative to the mean.
const MAX_BUSIEST: f64 = 1.3;
/// Number of seeds.
const SEEDS: u64 = 24;

fn measure(figure: Figure, seed: u64) -> Measured {
    let deployment = Deployment {
        speeds: uneven_speeds(60),
        slots: 16,
        max_queued: usize::MAX,
        instances: 66,
        work: 2.0,
        demand: 0.6,
        engines: true,
        report_steps: 50,
        figure,
    };
    run(&deployment, seed)
}

/// Guards against an engine that is busy for much longer than the others, and one that is idle while another queues.
/// `KNOWN-RED.txt` may list it as `uneven_endpoints`.
#[test]
fn engines_share_work_by_time() {
    let known_failures = TestOutcome::known_failures().expect("KNOWN-RED.txt is readable");
    let _outcome = TestOutcome::run(&known_failures, "uneven_endpoints", || {
        let mut failed = Vec::new();
        for seed in 1..=SEEDS {
            let measured = measure(Figure::Present, seed);
            println!("seed {seed}: {measured}; without figures {}", measure(Figure::Absent, seed));
            if measured.busiest >= MAX_BUSIEST || measured.idle_while_queued > 0.0 {
                failed.push(format!("seed {seed}: {measured}"));
            }
        }
        assert!(failed.is_empty(), "{failed:#?}");
    });
}
