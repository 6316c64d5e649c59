use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Longest text that is kept; a longer one is replaced by its hash, since versions are part of many messages.
const MAX_TEXT_BYTES: usize = 64;

/// Version of the software that an endpoint runs, as it names it; versions have no order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct SoftwareVersion(Arc<str>);

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        if text.len() > MAX_TEXT_BYTES {
            return Ok(Self(format!("hash-{:016x}", xxh3_64(text.as_bytes())).into()));
        }
        Ok(Self(text.into()))
    }
}

impl From<String> for SoftwareVersion {
    fn from(text: String) -> Self {
        let Ok(version) = text.parse();
        version
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> Self {
        version.0.as_ref().to_owned()
    }
}

/// Endpoints at which a stream may go on. What endpoints of two software versions write does not fit together, and they do
/// not check it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum VersionBinding {
    /// Any, since the caller has no event yet.
    #[default]
    Any,
    /// Those of the version that began the stream.
    Version(SoftwareVersion),
    /// None, since the version that began the stream is not known.
    Unknown,
}

impl VersionBinding {
    /// Returns the binding of a stream that an endpoint of this version has begun.
    pub fn of(version: Option<SoftwareVersion>) -> Self {
        version.map_or(Self::Unknown, Self::Version)
    }

    /// Returns whether an endpoint of this version may go on with the stream.
    pub fn allows(&self, version: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Any => true,
            Self::Version(begun) => version == Some(begun),
            Self::Unknown => false,
        }
    }
}

impl fmt::Display for VersionBinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => f.write_str("any version"),
            Self::Version(version) => version.fmt(f),
            Self::Unknown => f.write_str("an unknown version"),
        }
    }
}
