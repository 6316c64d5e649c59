use std::fs;
use std::io;
use std::io::Write;
use std::panic;
use std::panic::UnwindSafe;
use std::path::Path;

/// Outcome of a test that may be listed in `KNOWN-RED.txt` because of a known fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TestOutcome {
    /// The test is not listed and passed.
    Passed,
    /// The test is listed and failed.
    KnownFailure,
    /// The test is listed but passed, so its entry can be removed.
    Fixed,
}

impl TestOutcome {
    /// Runs a test; if it is listed, prints its failure instead of passing it on.
    ///
    /// The text of the list is passed in `known_failures`.
    ///
    /// # Panics
    ///
    /// Panics if the test panics and is not listed.
    pub fn run(known_failures: &str, name: &str, test: impl FnOnce() + UnwindSafe) -> Self {
        let listed = known_failures
            .lines()
            .filter_map(|line| line.strip_prefix("test:"))
            .any(|test| test.trim() == name);
        let result = panic::catch_unwind(test);
        let outcome = match (listed, result) {
            (false, Ok(())) => Self::Passed,
            (false, Err(failure)) => panic::resume_unwind(failure),
            (true, Ok(())) => Self::Fixed,
            (true, Err(_)) => Self::KnownFailure,
        };
        outcome.print(name);
        outcome
    }

    /// Returns the text of `KNOWN-RED.txt`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read.
    pub fn known_failures() -> io::Result<String> {
        fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../KNOWN-RED.txt"))
    }

    fn print(self, name: &str) {
        let line = match self {
            Self::Passed => return,
            Self::KnownFailure => format!("known failure: {name}\n"),
            Self::Fixed => format!("fixed, but still listed in KNOWN-RED.txt: {name}\n"),
        };
        // The test harness hides the `print!` output of passing tests, but not direct writes to stderr.
        let _ = io::stderr().write_all(line.as_bytes());
    }
}
