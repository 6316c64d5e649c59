use std::fmt;

/// Outcome of a random run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Steps that were run.
    pub steps: u64,
    /// Faults that were injected.
    pub faults: u64,
    /// Violated invariants, with the step at which each was found.
    pub violations: Vec<String>,
    /// What happened, one line per step.
    pub trace: Trace,
}

/// Lines that describe a run; equal for equal seeds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Trace {
    lines: Vec<String>,
}

impl Trace {
    /// Adds a line.
    pub fn add(&mut self, line: impl Into<String>) {
        self.lines.push(line.into());
    }

    /// Returns the lines.
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
