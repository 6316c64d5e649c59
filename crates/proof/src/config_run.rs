//! Simulation of configuration and drains: planners of several zones, a fake key-value service and concurrent
//! operators.

mod checks;
mod faults;
mod kv;
mod operators;
mod process;
mod simulation;

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;

use crate::Report;

use self::simulation::Simulation;

/// Runs a seed for a number of steps of 20 ms of virtual time, then ends all faults and checks the final
/// state.
pub(crate) fn run(seed: u64, steps: u64) -> Report {
    let mut simulation = Simulation::new(seed);
    // A failed assertion in the decision code is a violation of this seed; the other seeds still run.
    let result = catch_unwind(AssertUnwindSafe(|| simulation.run(steps)));
    let mut report = simulation.into_report(steps);
    if let Err(panic) = result {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        report.violations.push(format!("panic: {}", text.unwrap_or_default()));
    }
    report
}
