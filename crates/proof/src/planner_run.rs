//! Simulation of the planners of two zones, with faults of processes, engines, the network and the key-value
//! service.

mod checks;
mod engine;
mod fault;
mod inject;
mod kv;
mod planner;
mod setup;
mod simulation;
mod traffic;

use crate::Report;
use simulation::STEP;
use simulation::Simulation;

/// Minimum number of steps for which the fault-free time at the end is long enough for recovery.
const MIN_CHECKED_STEPS: u64 = 1_000;

/// Runs a seed for a number of steps of 100 ms of virtual time.
pub(crate) fn run(seed: u64, steps: u64) -> Report {
    let mut simulation = Simulation::new(seed, steps * STEP);
    for _ in 0..steps {
        simulation.step();
        simulation.report.steps += 1;
    }
    if steps >= MIN_CHECKED_STEPS {
        simulation.check_end();
    }
    simulation.report
}
