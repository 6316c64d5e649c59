use std::fmt;

/// Result of a simulation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of steps.
    pub steps: u64,
    /// Number of injected faults.
    pub faults: u64,
    /// Violations of invariants, each with the step or virtual time at which it was found.
    pub violations: Vec<String>,
    /// Trace of the simulated events.
    pub trace: Trace,
}

/// Lines that describe the events of a simulation; equal for equal seeds and numbers of steps.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Trace {
    lines: Vec<String>,
}

impl Trace {
    /// Appends a line.
    pub fn add(&mut self, line: impl Into<String>) {
        self.lines.push(line.into());
    }

    /// Returns the lines, oldest first.
    pub fn lines(&self) -> &[String] {
        &self.lines
    }
}

impl Report {
    /// Returns whether no invariant was violated.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} steps, {} faults, {} violations", self.steps, self.faults, self.violations.len())
    }
}
