use std::fmt;

/// Result of the entry.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of the entry at its start.
#[derive(Debug)]
pub enum Error {
    /// A setting is wrong.
    Setting {
        /// Name of the setting.
        name: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// A part could not be started.
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
