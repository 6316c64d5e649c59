use std::collections::VecDeque;
use std::sync::Arc;

use carobwick_derive::data;
use indexmap::IndexMap;

use crate::Adoption;
use crate::ConfigPatch;
use crate::ConfigRecord;
use crate::CrashReport;
use crate::CrashReportSet;
use crate::Digest;
use crate::DrainSet;
use crate::InstanceId;
use crate::Version;
use crate::ViewPatch;
use crate::ZoneId;
use crate::ZoneView;

/// Older records kept as bases of patches. At the target scale a record takes about 1 MB of memory and is in
/// force for a minute.
const MAX_OLDER_CONFIGS: usize = 4;
/// Older views per zone kept as bases of patches; views are replaced more often than records.
const MAX_OLDER_VIEWS: usize = 8;

/// State that every process holds and synchronizes with its peers by anti-entropy exchange.
///
/// # Examples
///
/// ```
/// use carobwick_core::DrainTarget;
/// use carobwick_core::SharedState;
/// use carobwick_core::WriteId;
///
/// let target = DrainTarget::Endpoint("gent-engine-0".parse().unwrap());
/// let (mut local, mut remote) = (SharedState::default(), SharedState::default());
/// local.drains.set(target.clone(), true, WriteId(1));
/// let delta = local.delta_for(&remote.digest());
/// remote.merge(delta);
/// assert!(remote.drains.is_drained(&target));
/// assert_eq!(local.digest().state_hash(), remote.digest().state_hash());
/// ```
#[derive(Debug, Clone, Default)]
pub struct SharedState {
    /// The manifest in force.
    pub config: Option<Arc<ConfigRecord>>,
    /// Drained targets.
    pub drains: DrainSet,
    /// Views of the zones.
    pub views: IndexMap<ZoneId, Arc<ZoneView>>,
    /// Crash reports.
    pub crash_reports: CrashReportSet,
    /// Version of the manifest in force at each instance of the views, as far as known.
    pub applied: IndexMap<InstanceId, Version>,
    /// Records that were in force earlier, newest first.
    pub older_configs: VecDeque<Arc<ConfigRecord>>,
    /// Views that were replaced, newest first.
    pub older_views: IndexMap<ZoneId, VecDeque<Arc<ZoneView>>>,
    /// Whether a patch could not be applied, so that peers must send whole records.
    pub needs_whole: bool,
}

/// The part of a [`SharedState`] that a peer lacks.
#[data]
#[derive(Default)]
pub struct Delta {
    /// A newer manifest.
    pub config: Option<ConfigRecord>,
    /// A newer manifest, as the difference from the receiver's.
    pub config_patch: Option<ConfigPatch>,
    /// Drained targets.
    pub drains: DrainSet,
    /// Newer views.
    pub views: Vec<ZoneView>,
    /// Newer views, as the differences from the receiver's.
    pub view_patches: Vec<ViewPatch>,
    /// Crash reports.
    pub crash_reports: Vec<CrashReport>,
}

/// A change made by a merge.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A newer manifest is in force.
    Config(Version),
    /// Drains changed.
    Drains,
    /// The view of a zone changed.
    View(ZoneId),
    /// A crash report was added.
    CrashReport,
}

impl SharedState {
    /// Returns a summary of the state for peers.
    pub fn digest(&self) -> Digest {
        Digest {
            config: self.config.as_ref().map(|record| (record.version, record.digest)),
            drains: self.drains.state_hash(),
            views: self.views.iter().map(|(zone, view)| (zone.clone(), view.rank())).collect(),
            crash_reports: self.crash_reports.state_hash(),
            applied: self.views.values().map(|view| self.applied_bits(view)).collect(),
            needs_whole: self.needs_whole,
        }
    }

    /// Returns what the peer that sent the digest lacks.
    pub fn delta_for(&self, peer: &Digest) -> Delta {
        let mut delta = Delta::default();
        self.add_config(peer, &mut delta);
        for view in self.views.values() {
            self.add_view(view, peer, &mut delta);
        }
        if self.drains.state_hash() != peer.drains {
            delta.drains = self.drains.clone();
        }
        if self.crash_reports.state_hash() != peer.crash_reports {
            delta.crash_reports = self.crash_reports.reports().cloned().collect();
        }
        delta
    }

    /// Applies the newer parts of a delta and returns what changed.
    pub fn merge(&mut self, delta: Delta) -> Vec<Change> {
        let mut changes = Vec::new();
        if let Some(record) = delta.config {
            changes.extend(self.adopt(record));
        }
        if let Some(patch) = delta.config_patch {
            changes.extend(self.adopt_patch(patch));
        }
        if self.drains.merge(&delta.drains) {
            changes.push(Change::Drains);
        }
        for patch in delta.view_patches {
            let base = self.views.get(patch.zone());
            let view = base.and_then(|base| patch.apply(base));
            changes.extend(view.and_then(|view| self.merge_view(view)));
        }
        for view in delta.views {
            changes.extend(self.merge_view(view));
        }
        for report in delta.crash_reports {
            if self.crash_reports.add(report) {
                changes.push(Change::CrashReport);
            }
        }
        changes
    }

    /// Puts a manifest in force if its version is above the current one; returns `None` otherwise.
    pub fn adopt(&mut self, record: ConfigRecord) -> Option<Change> {
        if record.adoption(self.config.as_deref()) != Adoption::Adopt {
            return None;
        }
        let version = record.version;
        let own = self.config.as_ref().map(|own| own.version);
        assert!(own < Some(version), "I8: version {version} does not follow {own:?}");
        if let Some(replaced) = self.config.replace(Arc::new(record)) {
            self.older_configs.push_front(replaced);
            self.older_configs.truncate(MAX_OLDER_CONFIGS);
        }
        self.needs_whole = false;
        self.drop_unknown_zones();
        Some(Change::Config(version))
    }

    /// Replaces the view of a zone by one of a higher rank; returns `None` if the rank is not higher or the
    /// manifest does not have the zone.
    pub fn merge_view(&mut self, view: ZoneView) -> Option<Change> {
        let declared = self.config.as_ref().is_none_or(|record| record.manifest.zones.contains(&view.zone));
        if !declared || self.views.get(&view.zone).is_some_and(|own| own.rank() >= view.rank()) {
            return None;
        }
        let zone = view.zone.clone();
        if let Some(older) = self.views.insert(zone.clone(), Arc::new(view)) {
            let kept = self.older_views.entry(zone.clone()).or_default();
            kept.push_front(older);
            kept.truncate(MAX_OLDER_VIEWS);
        }
        self.drop_unknown_instances();
        Some(Change::View(zone))
    }

    /// Records that an instance has a version in force; a lower version than the known one is ignored.
    pub fn record_applied(&mut self, instance: &InstanceId, version: Version) {
        let known = self.applied.entry(instance.clone()).or_insert(version);
        *known = version.max(*known);
    }

    /// Merges which instances have the manifest in force from the digest of a peer that has the same
    /// manifest.
    pub fn merge_applied(&mut self, peer: &Digest) {
        let own = self.config.as_ref().map(|record| (record.version, record.digest));
        let (Some((version, _)), true) = (own, own == peer.config) else {
            return;
        };
        for ((zone, rank), bits) in peer.views.iter().zip(&peer.applied) {
            let Some(view) = self.views.get(zone).filter(|view| view.rank() == *rank) else {
                continue;
            };
            let set = sorted_instances(view).enumerate().filter(|(index, _)| bit(bits, *index));
            let confirmed: Vec<InstanceId> = set.map(|(_, id)| id.clone()).collect();
            for instance in confirmed {
                self.record_applied(&instance, version);
            }
        }
    }

    fn adopt_patch(&mut self, patch: ConfigPatch) -> Option<Change> {
        // Another exchange may have replaced the base since the peer received its digest; the next round
        // sends what is missing.
        let base = self.config.clone().filter(|own| patch.applies_to(own))?;
        let record = patch.apply(&base);
        self.needs_whole = record.is_none();
        self.adopt(record?)
    }

    fn add_config(&self, peer: &Digest, delta: &mut Delta) {
        let Some(record) = &self.config else {
            return;
        };
        let known = peer.config.map(|(version, _)| version);
        if Some(record.version) <= known {
            return;
        }
        let is_base = |base: &&Arc<ConfigRecord>| Some((base.version, base.digest)) == peer.config;
        match self.older_configs.iter().find(is_base).filter(|_| !peer.needs_whole) {
            Some(base) => delta.config_patch = Some(ConfigPatch::diff(base, record)),
            None => delta.config = Some(ConfigRecord::clone(record)),
        }
    }

    fn add_view(&self, view: &ZoneView, peer: &Digest, delta: &mut Delta) {
        let known = peer.views.get(&view.zone).copied();
        if Some(view.rank()) <= known {
            return;
        }
        let older = self.older_views.get(&view.zone);
        let base = older.and_then(|older| older.iter().find(|base| Some(base.rank()) == known));
        match base.filter(|_| !peer.needs_whole) {
            Some(base) => delta.view_patches.push(ViewPatch::diff(base, view)),
            None => delta.views.push(view.clone()),
        }
    }

    fn applied_bits(&self, view: &ZoneView) -> Vec<u8> {
        let version = self.config.as_ref().map(|record| record.version);
        let mut bits = vec![0_u8; view.instances.len().div_ceil(8)];
        for (index, id) in sorted_instances(view).enumerate() {
            if version.is_some() && self.applied.get(id).copied() >= version {
                bits[index / 8] |= 1 << (index % 8);
            }
        }
        bits
    }

    fn drop_unknown_zones(&mut self) {
        if let Some(record) = &self.config {
            let zones = &record.manifest.zones;
            self.views.retain(|zone, _| zones.contains(zone));
            self.older_views.retain(|zone, _| zones.contains(zone));
        }
        self.drop_unknown_instances();
    }

    fn drop_unknown_instances(&mut self) {
        let views = &self.views;
        self.applied.retain(|id, _| views.values().any(|view| view.instances.contains_key(id)));
    }
}

fn sorted_instances(view: &ZoneView) -> impl Iterator<Item = &InstanceId> {
    let mut ids: Vec<&InstanceId> = view.instances.keys().collect();
    ids.sort_unstable();
    ids.into_iter()
}

fn bit(bits: &[u8], index: usize) -> bool {
    bits.get(index / 8).is_some_and(|byte| byte & (1 << (index % 8)) != 0)
}
