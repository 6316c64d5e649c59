//! Randomized simulations of the decision code against small fakes, which check its invariants.
//!
//! # Tour
//!
//! Each [`Area`] has a module with one function that runs a seed for a number of steps and returns a
//! [`Report`]. Equal seeds and numbers of steps give equal traces. The binary `carobwick-soak` runs seeds for
//! a given time. [`TestOutcome`] runs tests that are allowed to fail because of a known, unfixed fault.

mod area;
mod config_run;
mod delivery_run;
mod planner_run;
mod quarantine_cluster;
mod quarantine_run;
mod report;
mod test_outcome;

pub use area::Area;
pub use report::Report;
pub use report::Trace;
pub use test_outcome::TestOutcome;
