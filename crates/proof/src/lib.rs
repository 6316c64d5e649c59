//! Seeded random runs that drive the decision code against small fakes and check its invariants.
//!
//! # Tour
//!
//! Each [`Area`] has a module with one function that runs a seed for a number of steps and returns a [`Report`].
//! The same seed and steps always give the same trace. `carobwick-soak` runs seeds for as long as it is told.
//! [`TestOutcome`] runs the tests of seeds whose fault is known and not mended yet.

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
