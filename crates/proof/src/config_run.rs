//! Configuration and drains: processes of several zones, a fake key-value service and racing operators.

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

/// Runs a seed for a number of steps of 20 ms of virtual time, then heals all faults and checks the end state.
pub(crate) fn run(seed: u64, steps: u64) -> Report {
    let mut simulation = Simulation::new(seed);
    // A failed assertion of the decision code is a violation of this seed, not the end of the whole series.
    let result = catch_unwind(AssertUnwindSafe(|| simulation.run(steps)));
    let mut report = simulation.into_report(steps);
    if let Err(panic) = result {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        report.violations.push(format!("panic: {}", text.unwrap_or_default()));
    }
    report
}
