use std::fmt;

/// Result of a call to the store, an endpoint or another instance.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a call to the store, an endpoint or another instance.
#[derive(Debug)]
pub struct Error {
    category: Category,
    message: String,
}

/// Category of an [`Error`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// The connection failed or was refused; nothing was sent.
    Connect,
    /// The connection attempt timed out; nothing was sent.
    Unreachable,
    /// The connection was lost or the call timed out; the call may have taken effect.
    Lost,
    /// The receiver rejected the call because of overload and did nothing.
    Busy,
    /// The requested revisions were compacted away.
    Compacted,
    /// The store has returned from an older copy; revisions of before say nothing about it.
    Returned,
    /// A message can't be encoded or decoded.
    Codec,
    /// The gateway can't start, or one of its tasks has failed.
    Start,
}

impl Error {
    /// Creates an error.
    pub fn new(category: Category, message: impl Into<String>) -> Self {
        Self { category, message: message.into() }
    }

    /// Returns the category of the error.
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
