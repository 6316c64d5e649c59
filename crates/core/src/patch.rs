use std::hash::Hash;

use carobwick_derive::data;
use indexmap::IndexMap;

use crate::AdapterSpec;
use crate::ConfigRecord;
use crate::EndpointId;
use crate::EndpointView;
use crate::Fence;
use crate::InstanceId;
use crate::InstanceView;
use crate::Manifest;
use crate::ModelId;
use crate::ModelSpec;
use crate::ServiceId;
use crate::ServiceSpec;
use crate::Version;
use crate::WriteId;
use crate::ZoneId;
use crate::ZoneView;
use crate::config::MAX_HISTORY;
use crate::config::sort_maps;

/// Difference between two records, for a receiver that has the older one.
#[data]
pub struct ConfigPatch {
    base: (Version, u64),
    version: Version,
    write_id: WriteId,
    digest: u64,
    /// Writes since the base, newest first.
    history: Vec<(Version, WriteId)>,
    /// The new manifest without its maps, if any field outside of the maps differs.
    top_level: Option<Manifest>,
    services: MapPatch<ServiceId, ServiceSpec>,
    models: MapPatch<ModelId, ModelSpec>,
    adapters: MapPatch<ModelId, AdapterSpec>,
}

/// Difference between two views of a zone, for a receiver that has the older one.
#[data]
pub struct ViewPatch {
    zone: ZoneId,
    base: (Fence, Version),
    fence: Fence,
    version: Version,
    leader: InstanceId,
    instances: MapPatch<InstanceId, InstanceView>,
    endpoints: MapPatch<EndpointId, EndpointView>,
    blocked: MapPatch<ModelId, String>,
    reasons: MapPatch<ModelId, String>,
}

/// Difference between two maps.
#[data]
struct MapPatch<K, V> {
    set: Vec<(K, V)>,
    removed: Vec<K>,
}

impl ConfigPatch {
    /// Returns the difference from `base` to `record`.
    pub(crate) fn diff(base: &ConfigRecord, record: &ConfigRecord) -> Self {
        let (old, new) = (&base.manifest, &record.manifest);
        let history = record.history.iter().filter(|(version, _)| *version > base.version);
        Self {
            base: (base.version, base.digest),
            version: record.version,
            write_id: record.write_id,
            digest: record.digest,
            history: history.copied().collect(),
            top_level: (top_level(old) != top_level(new)).then(|| top_level(new)),
            services: MapPatch::diff(&old.services, &new.services),
            models: MapPatch::diff(&old.models, &new.models),
            adapters: MapPatch::diff(&old.adapters, &new.adapters),
        }
    }

    /// Returns whether the patch applies to a record.
    pub(crate) fn applies_to(&self, base: &ConfigRecord) -> bool {
        self.base == (base.version, base.digest)
    }

    /// Returns the newer record, or `None` if its manifest does not match the digest in the patch.
    pub(crate) fn apply(self, base: &ConfigRecord) -> Option<ConfigRecord> {
        let old = &base.manifest;
        let mut manifest = self.top_level.unwrap_or_else(|| top_level(old));
        manifest.services = self.services.apply(&old.services);
        manifest.models = self.models.apply(&old.models);
        manifest.adapters = self.adapters.apply(&old.adapters);
        sort_maps(&mut manifest);
        let mut history = self.history;
        history.extend(&base.history);
        history.truncate(MAX_HISTORY);
        let (version, write_id, digest) = (self.version, self.write_id, self.digest);
        let record = ConfigRecord { version, write_id, digest, history, manifest };
        record.is_intact().then_some(record)
    }
}

impl ViewPatch {
    /// Returns the difference from `base` to `view`.
    pub(crate) fn diff(base: &ZoneView, view: &ZoneView) -> Self {
        Self {
            zone: view.zone.clone(),
            base: base.rank(),
            fence: view.fence,
            version: view.version,
            leader: view.leader.clone(),
            instances: MapPatch::diff(&base.instances, &view.instances),
            endpoints: MapPatch::diff(&base.endpoints, &view.endpoints),
            blocked: MapPatch::diff(&base.blocked, &view.blocked),
            reasons: MapPatch::diff(&base.reasons, &view.reasons),
        }
    }

    /// Returns the zone.
    pub(crate) fn zone(&self) -> &ZoneId {
        &self.zone
    }

    /// Returns the newer view, or `None` if the patch has another base.
    pub(crate) fn apply(self, base: &ZoneView) -> Option<ZoneView> {
        if self.base != base.rank() {
            return None;
        }
        Some(ZoneView {
            zone: self.zone,
            fence: self.fence,
            version: self.version,
            leader: self.leader,
            instances: self.instances.apply(&base.instances),
            endpoints: self.endpoints.apply(&base.endpoints),
            blocked: self.blocked.apply(&base.blocked),
            reasons: self.reasons.apply(&base.reasons),
        })
    }
}

impl<K: Clone + Eq + Hash, V: Clone + PartialEq> MapPatch<K, V> {
    fn diff(old: &IndexMap<K, V>, new: &IndexMap<K, V>) -> Self {
        let set = new.iter().filter(|(key, value)| old.get(*key) != Some(*value));
        let removed = old.keys().filter(|key| !new.contains_key(*key));
        Self {
            set: set.map(|(key, value)| (key.clone(), value.clone())).collect(),
            removed: removed.cloned().collect(),
        }
    }

    fn apply(self, old: &IndexMap<K, V>) -> IndexMap<K, V> {
        let mut new = old.clone();
        new.retain(|key, _| !self.removed.contains(key));
        new.extend(self.set);
        new
    }
}

/// Returns a manifest without its maps.
fn top_level(manifest: &Manifest) -> Manifest {
    Manifest {
        deployment: manifest.deployment.clone(),
        objective: manifest.objective.clone(),
        store: manifest.store.clone(),
        adapter_loads: manifest.adapter_loads,
        zones: manifest.zones.clone(),
        services: IndexMap::new(),
        models: IndexMap::new(),
        adapters: IndexMap::new(),
    }
}
