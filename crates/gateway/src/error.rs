use std::fmt;

/// Result of the gateway's exchanges.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of an exchange with the store, an endpoint or another instance.
#[derive(Debug)]
pub struct Error {
    category: Category,
    message: String,
}

/// Kind of an [`Error`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// Nothing was sent.
    Connect,
    /// No connection was made in time, so nothing was sent.
    Unreachable,
    /// The exchange broke off or timed out; it may have taken effect.
    Lost,
    /// The receiver turned the call away and did nothing.
    Busy,
    /// The part of the history that was asked for is no longer there.
    Compacted,
    /// What arrived can't be read.
    Codec,
    /// The process can't start.
    Start,
}

impl Error {
    /// Builds an error.
    pub fn new(category: Category, message: impl Into<String>) -> Self {
        Self { category, message: message.into() }
    }

    /// Returns the kind of the error.
    pub fn category(&self) -> Category {
        self.category
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
