use carobwick_core::ConfigRecord;
use carobwick_core::Manifest;
use carobwick_core::ModelId;
use carobwick_core::WriteId;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// Returns the first manifest, with models on engines that check fencing numbers (`sure`) and that don't
/// (`blind`).
///
/// With a fast weight store, the orders to an engine follow each other more closely.
pub(super) fn first_manifest(rng: &mut ChaCha8Rng, fast_store: bool) -> ConfigRecord {
    let (rate, concurrent) = if fast_store { (60.0, 12) } else { (5.0, 3) };
    let mut models = serde_json::Map::new();
    // The models fit on two engines of 100 bytes, the number in each zone: two or three on each, and an
    // adapter.
    let (count, sizes) = if rng.random_bool(0.5) { (4, 30..=47) } else { (6, 20..=31) };
    for service in ["sure", "blind"] {
        for index in 0..count {
            let size = rng.random_range(sizes.clone());
            models.insert(
                format!("{service}{index}"),
                json!({"service": service, "version": "1", "size": size, "priority": index % 2}),
            );
        }
    }
    let engine = |checks: bool| json!({"kind": "engine", "memory": 100, "slots": 8, "checks_fence": checks});
    let manifest = json!({
        "deployment": "proof",
        "objective": {"attainment": 1.0, "moves": 1.0},
        "store": {"rate": rate, "concurrent": concurrent},
        "adapter_loads": 4,
        "zones": ["a", "b"],
        "services": {"sure": engine(true), "blind": engine(false)},
        "models": models,
        "adapters": {
            "sure0:x": {"base": "sure0", "version": "1", "size": 5},
            "sure0:y": {"base": "sure0", "version": "1", "size": 5},
            "blind0:x": {"base": "blind0", "version": "1", "size": 5},
        },
    });
    let manifest = Manifest::from_json(&manifest.to_string()).expect("the manifest is valid");
    ConfigRecord::first(manifest, WriteId(1)).expect("the manifest is JSON")
}

/// Returns the next record, in which a model changes its version or zones, retires or is removed.
pub(super) fn changed_manifest(rng: &mut ChaCha8Rng, record: &ConfigRecord) -> ConfigRecord {
    let mut next = record.clone();
    next.version = record.version.next();
    let ids: Vec<ModelId> = next.manifest.models.keys().cloned().collect();
    let Some(id) = ids.choose(rng) else {
        return next;
    };
    let bases: Vec<ModelId> = next.manifest.adapters.values().map(|spec| spec.base.clone()).collect();
    let zones = next.manifest.zones.clone();
    let Some(spec) = next.manifest.models.get_mut(id) else {
        return next;
    };
    match rng.random_range(0..6) {
        _ if spec.retiring => {
            next.manifest.models.shift_remove(id);
        }
        0 if !bases.contains(id) => spec.retiring = true,
        1 | 2 => {
            let version = format!("{}", next.version);
            spec.version = version.parse().expect("the version is valid");
        }
        _ => {
            spec.zones = match rng.random_range(0..3) {
                0 => Vec::new(),
                1 => vec![zones[0].clone()],
                _ => vec![zones[1].clone()],
            };
        }
    }
    next
}
