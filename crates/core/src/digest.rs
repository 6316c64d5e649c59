use std::hash::Hash;
use std::hash::Hasher;

use carobwick_derive::data;
use indexmap::IndexMap;
use xxhash_rust::xxh3::Xxh3;

use crate::Fence;
use crate::Version;
use crate::ZoneId;

/// Summary of a [`SharedState`](crate::SharedState), from which a peer tells what the sender lacks.
#[data]
#[derive(Default)]
pub struct Digest {
    /// Version and digest of the manifest.
    pub config: Option<(Version, u64)>,
    /// Hash of the drained targets.
    pub drains: u64,
    /// Rank of each zone's view.
    pub views: IndexMap<ZoneId, (Fence, Version)>,
    /// Hash of the crash reports.
    pub reports: u64,
    /// For each of `views`, one bit per instance, in the order of their ids: whether the manifest named here is in
    /// force there. Names with versions would take most of the bytes of a round at the target scale.
    pub applied: Vec<Vec<u8>>,
    /// Whether the sender could not apply a patch and asks for whole records.
    pub whole: bool,
}

impl Digest {
    /// Returns a hash that is equal for peers with equal state.
    pub fn summary(&self) -> u64 {
        let mut sum = hash(&(self.config, self.drains, self.reports, self.whole));
        for (view, applied) in self.views.iter().zip(&self.applied) {
            // Peers learn zones in different orders, so the sum must not depend on it.
            sum = sum.wrapping_add(hash(&(view, applied)));
        }
        sum
    }

    /// Returns the version of the manifest if the peer has the same version with another content.
    pub fn conflicting_version(&self, peer: &Self) -> Option<Version> {
        let ((version, own), (other, theirs)) = (self.config?, peer.config?);
        (version == other && own != theirs).then_some(version)
    }
}

/// Returns a hash that is the same in all processes.
pub(crate) fn hash(value: &impl Hash) -> u64 {
    let mut hasher = Xxh3::new();
    value.hash(&mut hasher);
    hasher.finish()
}
