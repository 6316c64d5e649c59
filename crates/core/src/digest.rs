use std::hash::Hash;
use std::hash::Hasher;

use carobwick_derive::data;
use indexmap::IndexMap;
use xxhash_rust::xxh3::Xxh3;

use crate::Fence;
use crate::Version;
use crate::ZoneId;

/// Summary of a [`SharedState`](crate::SharedState), from which a peer derives what the sender lacks.
#[data]
#[derive(Default)]
pub struct Digest {
    /// Version and content hash of the manifest.
    pub config: Option<(Version, u64)>,
    /// Hash of the drained targets.
    pub drains: u64,
    /// [`ZoneView::rank`](crate::ZoneView::rank) of the view of each zone, higher for a later view.
    pub views: IndexMap<ZoneId, (Fence, Version)>,
    /// Hash of the crash reports.
    pub crash_reports: u64,
    /// For each of `views`, a bitmap over its instances, sorted by id: whether the instance has applied the
    /// manifest of `config`. At the target scale, instance ids with versions would take most of the bytes of
    /// an exchange.
    pub applied: Vec<Vec<u8>>,
    /// Whether the sender could not apply a patch and requests whole records.
    pub needs_whole: bool,
}

impl Digest {
    /// Returns a hash of the digest, which is equal for peers with equal state.
    pub fn state_hash(&self) -> u64 {
        let mut sum = stable_hash(&(self.config, self.drains, self.crash_reports, self.needs_whole));
        for (view, applied) in self.views.iter().zip(&self.applied) {
            // Peers receive the zones in different orders, so the hash must not depend on the order.
            sum = sum.wrapping_add(stable_hash(&(view, applied)));
        }
        sum
    }

    /// Returns the version of the manifest if the peer has the same version with different content.
    pub fn conflicting_version(&self, peer: &Self) -> Option<Version> {
        let ((version, own), (other, theirs)) = (self.config?, peer.config?);
        (version == other && own != theirs).then_some(version)
    }
}

/// Returns a hash that is the same in all processes, unlike that of the default hasher.
pub(crate) fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = Xxh3::new();
    value.hash(&mut hasher);
    hasher.finish()
}
