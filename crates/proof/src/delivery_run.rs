use crate::Report;

/// Runs a seed for a number of steps.
pub(crate) fn run(_seed: u64, _steps: u64) -> Report {
    Report::default()
}
