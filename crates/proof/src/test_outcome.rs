use std::fs;
use std::io;
use std::io::Write;
use std::panic;
use std::panic::UnwindSafe;
use std::path::Path;

/// How a test that may be listed in `KNOWN-RED.txt` ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TestOutcome {
    /// It is not listed and passed.
    Passed,
    /// It is listed and failed.
    KnownFailure,
    /// It is listed and passed, so that the entry can go.
    Fixed,
}

impl TestOutcome {
    /// Runs a test; a failure of a listed one is printed and does not count.
    ///
    /// # Panics
    ///
    /// Panics as the test does if it is not listed.
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

    /// Returns the text of the repository's list.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read.
    pub fn known_failures() -> io::Result<String> {
        fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../KNOWN-RED.txt"))
    }

    fn print(self, name: &str) {
        let line = match self {
            Self::Passed => return,
            Self::KnownFailure => format!("known red: {name}\n"),
            Self::Fixed => format!("mended, still listed in KNOWN-RED.txt: {name}\n"),
        };
        // The test harness captures what `print!` writes in a passing test, but not this.
        let _ = io::stderr().write_all(line.as_bytes());
    }
}
