//! Planners of two zones in virtual time, with faults of the processes, the platform and the engines.

mod engine;
mod fault;
mod inject;
mod judge;
mod kv;
mod planner;
mod setup;
mod traffic;
mod world;

use crate::Report;
use world::STEP;
use world::World;

/// Steps after which the quiet time at the end is long enough to expect recovery.
const LONG: u64 = 1_000;

/// Runs a seed for a number of steps of 100 ms.
pub(crate) fn run(seed: u64, steps: u64) -> Report {
    let mut world = World::new(seed, steps * STEP);
    for _ in 0..steps {
        world.step();
        world.report.steps += 1;
    }
    if steps >= LONG {
        world.judge_end();
    }
    world.report
}
