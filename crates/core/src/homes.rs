use xxhash_rust::xxh3::xxh3_64;

use crate::Manifest;
use crate::ModelId;
use crate::ZoneId;

/// Returns the zones that may hold a model, its home zone first.
///
/// The zones are sorted by rendezvous hash, so that adding or removing a zone changes the home zone only of
/// models that move to or from that zone. A model that is not declared has no zones.
pub fn candidate_zones<'a>(manifest: &'a Manifest, model: &ModelId) -> Vec<&'a ZoneId> {
    let Some(spec) = manifest.models.get(model) else {
        return Vec::new();
    };
    let mut zones: Vec<&ZoneId> = manifest.zones_of(spec).iter().collect();
    zones.sort_by_key(|zone| std::cmp::Reverse((weight(model, zone), (*zone).clone())));
    zones
}

/// Returns the home zone of a model, which never unloads its last copy; `None` if the model is not declared.
pub fn home_zone<'a>(manifest: &'a Manifest, model: &ModelId) -> Option<&'a ZoneId> {
    candidate_zones(manifest, model).into_iter().next()
}

fn weight(model: &ModelId, zone: &ZoneId) -> u64 {
    xxh3_64(format!("{model}\n{zone}").as_bytes())
}
