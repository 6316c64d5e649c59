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
