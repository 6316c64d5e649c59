use std::fmt;

/// Result of starting an entry.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of an entry that fails to start.
#[derive(Debug)]
pub enum Error {
    /// A setting is invalid.
    Setting {
        /// Name of the setting.
        name: &'static str,
        /// Reason why it is invalid.
        reason: String,
    },
    /// A component could not be started, for this reason.
    Start(String),
}

impl Error {
    pub(crate) fn setting(name: &'static str, reason: impl Into<String>) -> Self {
        Self::Setting { name, reason: reason.into() }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Setting { name, reason } => write!(f, "{name}: {reason}"),
            Self::Start(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for Error {}

impl From<carobwick_runtime::Error> for Error {
    fn from(err: carobwick_runtime::Error) -> Self {
        Self::Start(err.to_string())
    }
}
