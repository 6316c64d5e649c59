use carobwick_derive::data;
use xxhash_rust::xxh3::xxh3_64;

use crate::Manifest;
use crate::Result;
use crate::Version;
use crate::WriteId;

/// A published manifest with its version.
#[data]
pub struct ConfigRecord {
    /// Version; each accepted publish raises it by one.
    pub version: Version,
    /// Identity of the write that published it.
    pub write_id: WriteId,
    /// Hash of the manifest's JSON text.
    pub digest: u64,
    /// The last accepted writes, newest first, so that a lost reply can be settled.
    pub history: Vec<(Version, WriteId)>,
    /// The manifest.
    pub manifest: Manifest,
}

impl ConfigRecord {
    /// Builds the first record.
    ///
    /// # Errors
    ///
    /// Fails if the manifest can't be written as JSON.
    pub fn first(manifest: Manifest, write_id: WriteId) -> Result<Self> {
        let digest = xxh3_64(&serde_json::to_vec(&manifest)?);
        let version = Version(1);
        Ok(Self { version, write_id, digest, history: vec![(version, write_id)], manifest })
    }
}
