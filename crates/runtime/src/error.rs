use std::fmt;

/// Result with the [`Error`] of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of an exchange with another process, or of a local resource.
#[derive(Debug)]
pub enum Error {
    /// No connection could be made, so nothing was sent.
    Connect(String),
    /// The connection was lost or the request timed out; the request may have been received.
    Lost(String),
    /// The server responded with this error status and text.
    Status(u16, String),
    /// A message could not be encoded or decoded.
    Codec(String),
    /// A local resource failed, such as binding an address.
    Local(String),
}

impl Error {
    /// Returns whether the request may have taken effect on the server.
    pub fn is_ambiguous(&self) -> bool {
        match self {
            Self::Lost(_) => true,
            Self::Status(status, _) => *status >= 500,
            Self::Connect(_) | Self::Codec(_) | Self::Local(_) => false,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(text) => write!(f, "no connection: {text}"),
            Self::Lost(text) => write!(f, "exchange lost: {text}"),
            Self::Status(status, text) => write!(f, "status {status}: {text}"),
            Self::Codec(text) => write!(f, "bad message: {text}"),
            Self::Local(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for Error {}

impl From<serde_json::Error> for Error {
    fn from(err: serde_json::Error) -> Self {
        Self::Codec(err.to_string())
    }
}

impl From<std::io::Error> for Error {
    fn from(err: std::io::Error) -> Self {
        Self::Local(err.to_string())
    }
}

impl From<h2::Error> for Error {
    fn from(err: h2::Error) -> Self {
        Self::Lost(err.to_string())
    }
}
