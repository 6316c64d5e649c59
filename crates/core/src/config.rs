use std::cmp::Ordering;

use carobwick_derive::data;
use xxhash_rust::xxh3::xxh3_64;

use crate::Manifest;
use crate::Result;
use crate::Version;
use crate::WriteId;

/// Number of accepted writes in the history of a record. A publisher whose reply was lost finds its write
/// there unless more writes than this followed while it retried.
pub(crate) const MAX_HISTORY: usize = 16;

/// A published manifest with its version.
#[data]
pub struct ConfigRecord {
    /// Version, which each accepted publish raises by one.
    pub version: Version,
    /// Identity of the write that published it.
    pub write_id: WriteId,
    /// Hash of the JSON text of the manifest, whose maps are sorted by key.
    pub digest: u64,
    /// The last accepted writes, newest first, in which a publisher finds its write after a lost reply.
    pub history: Vec<(Version, WriteId)>,
    /// The manifest.
    pub manifest: Manifest,
}

/// Decision on a record that a process receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// The record is newer than the one in force and replaces it.
    Adopt,
    /// The record is in force already, or older.
    Known,
    /// The record has the version in force but different content, which no correct publisher produces.
    Conflict,
}

impl ConfigRecord {
    /// Builds the first record.
    ///
    /// # Errors
    ///
    /// Fails if the manifest can't be serialized to JSON.
    pub fn first(manifest: Manifest, write_id: WriteId) -> Result<Self> {
        Self::build(Version(1), write_id, Vec::new(), manifest)
    }

    /// Builds the record that follows this one, with the next version.
    ///
    /// # Errors
    ///
    /// Fails if the manifest can't be serialized to JSON.
    pub fn following(&self, manifest: Manifest, write_id: WriteId) -> Result<Self> {
        Self::build(self.version.next(), write_id, self.history.clone(), manifest)
    }

    /// Returns the version that a write published, if the history contains it.
    pub fn version_of(&self, write_id: WriteId) -> Option<Version> {
        self.history.iter().find(|(_, id)| *id == write_id).map(|(version, _)| *version)
    }

    /// Returns whether the history contains all writes after `version`.
    pub fn has_history_since(&self, version: Version) -> bool {
        self.history.last().is_some_and(|(oldest, _)| *oldest <= version.next())
    }

    /// Returns whether the digest matches the manifest.
    pub fn is_intact(&self) -> bool {
        digest_of(&self.manifest).is_ok_and(|digest| digest == self.digest)
    }

    /// Returns whether a process that has `own` in force adopts this record.
    pub fn adoption(&self, own: Option<&Self>) -> Adoption {
        let Some(own) = own else {
            return Adoption::Adopt;
        };
        match self.version.cmp(&own.version) {
            Ordering::Greater => Adoption::Adopt,
            Ordering::Equal if self.digest != own.digest => Adoption::Conflict,
            Ordering::Equal | Ordering::Less => Adoption::Known,
        }
    }

    fn build(
        version: Version,
        write_id: WriteId,
        older: Vec<(Version, WriteId)>,
        mut manifest: Manifest,
    ) -> Result<Self> {
        sort_maps(&mut manifest);
        let digest = digest_of(&manifest)?;
        let mut history = vec![(version, write_id)];
        history.extend(older);
        history.truncate(MAX_HISTORY);
        Ok(Self { version, write_id, digest, history, manifest })
    }
}

/// Sorts the maps of a manifest by key, so that equal manifests have equal digests.
pub(crate) fn sort_maps(manifest: &mut Manifest) {
    manifest.services.sort_unstable_keys();
    manifest.models.sort_unstable_keys();
    manifest.adapters.sort_unstable_keys();
}

fn digest_of(manifest: &Manifest) -> Result<u64> {
    Ok(xxh3_64(&serde_json::to_vec(manifest)?))
}
