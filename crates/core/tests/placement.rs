//! Placement of models: which copies are loaded, unloaded and kept.

mod zone_fixture;

use carobwick_core::Action;
use carobwick_core::Manifest;
use carobwick_core::ModelId;
use carobwick_core::home_zone;
use test_case::test_case;
use zone_fixture::Zone;

const BE_FL: &str = include_str!("../../../examples/be-fl.json");
const MUSCAT: &str = include_str!("../../../examples/muscat.json");

fn model(text: &str) -> ModelId {
    text.parse().unwrap()
}

/// Guards against a declared model without a copy in its home zone although the memory of the zone can hold
/// all of them.
#[test_case(BE_FL, 4 ; "be-fl with 12 replicas")]
#[test_case(MUSCAT, 6 ; "muscat with 18 replicas")]
#[test_case(BE_FL, 2 ; "be-fl with the engines of the run-local script")]
fn every_model_is_resident_in_its_home_zone(manifest: &str, engines: usize) {
    let manifest = Manifest::from_json(manifest).unwrap();
    let mut copies = 0;
    for name in &manifest.zones {
        let mut zone = Zone::new(&manifest, name, engines);
        zone.run_until_stable();
        for id in manifest.models.keys().filter(|id| home_zone(&manifest, id) == Some(name)) {
            assert!(zone.copies(id) > 0, "{id} has no copy in {name}: {:?}", zone.last.blocked);
        }
        copies += zone.loads;
    }
    assert!(copies >= manifest.models.len());
}

/// Guards against moves without a change of demand or manifest, which would waste the capacity of the weight
/// store.
#[test_case(BE_FL, 4 ; "be-fl")]
#[test_case(MUSCAT, 6 ; "muscat")]
fn stable_zone_gets_no_moves(manifest: &str, engines: usize) {
    let manifest = Manifest::from_json(manifest).unwrap();
    let mut zone = Zone::new(&manifest, &manifest.zones[0], engines);
    zone.run_until_stable();
    let loads = zone.loads;
    zone.run_until_stable();
    assert_eq!(zone.loads, loads);
    assert_eq!(zone.unloads, 0);
}

/// Guards against a model that is unreachable while its version changes.
#[test]
fn new_version_is_loaded_before_the_old_one_is_unloaded() {
    let mut manifest = Manifest::from_json(BE_FL).unwrap();
    let id = manifest.models.keys().next().unwrap().clone();
    let home = home_zone(&manifest, &id).unwrap().clone();
    let mut zone = Zone::new(&manifest, &home, 4);
    zone.run_until_stable();
    manifest.models[&id].version = "2".parse().unwrap();
    zone.manifest = manifest;
    while zone.round() {
        assert!(zone.copies(&id) > 0, "{id} has no copy");
    }
    assert_eq!(zone.versions(&id), vec!["2".parse().unwrap()]);
}

/// Guards against a zone that unloads its copy while no other zone is known to hold the model.
#[test]
fn copy_in_an_excluded_zone_stays_until_the_home_zone_holds_it() {
    let mut manifest = Manifest::from_json(BE_FL).unwrap();
    let id = manifest.models.keys().next().unwrap().clone();
    let old = home_zone(&manifest, &id).unwrap().clone();
    let mut zone = Zone::new(&manifest, &old, 4);
    zone.run_until_stable();
    let new = manifest.zones.iter().find(|zone| **zone != old).unwrap().clone();
    manifest.models[&id].zones = vec![new.clone()];
    zone.manifest = manifest;
    zone.run_until_stable();
    assert!(zone.copies(&id) > 0);
    assert!(zone.last.needed_plans.contains(&new));
    zone.remote_models.insert(new.clone(), [model("another")].into());
    zone.run_until_stable();
    assert!(zone.copies(&id) > 0);
    zone.remote_models.insert(new, [id.clone()].into());
    zone.run_until_stable();
    assert_eq!(zone.copies(&id), 0);
}

/// Guards against a model that stays blocked because no single engine has enough free memory, although the
/// zone has.
#[test]
fn needed_copy_is_relocated_to_free_memory() {
    let manifest = zone_fixture::manifest(&[("m0", 30), ("m1", 30)]);
    let mut zone = Zone::new(&manifest, &manifest.zones[0], 2);
    zone.run_until_stable();
    assert_ne!(zone.engine_of(&model("m0")), zone.engine_of(&model("m1")), "models are spread");
    zone.manifest = zone_fixture::manifest(&[("m0", 30), ("m1", 30), ("m2", 80)]);
    zone.run_until_stable();
    for id in ["m0", "m1", "m2"] {
        assert_eq!(zone.copies(&model(id)), 1, "{id}: {:?}", zone.last.blocked);
    }
}

/// Guards against demand that adds no copies, and against copies that are unloaded as soon as it falls.
#[test]
fn demand_adds_copies_and_its_fall_keeps_them() {
    let manifest = zone_fixture::manifest(&[("m0", 30), ("m1", 30)]);
    let mut zone = Zone::new(&manifest, &manifest.zones[0], 3);
    zone.run_until_stable();
    zone.demand("m0", 100, 2_000);
    zone.run_until_stable();
    let copies = zone.copies(&model("m0"));
    assert!(copies > 1, "{:?}", zone.last);
    zone.demand("m0", 0, 0);
    zone.run_until_stable();
    assert_eq!(zone.copies(&model("m0")), copies);
    assert_eq!(zone.unloads, 0);
}

/// Guards against moves whose cost exceeds their gain.
#[test]
fn costly_move_is_not_made() {
    let mut manifest = zone_fixture::manifest(&[("m0", 30), ("m1", 30)]);
    manifest.objective.moves = 1e9;
    let mut zone = Zone::new(&manifest, &manifest.zones[0], 3);
    zone.run_until_stable();
    zone.demand("m0", 100, 2_000);
    zone.run_until_stable();
    assert_eq!(zone.copies(&model("m0")), 1);
}

/// Guards against an adapter that is not loaded on demand next to its base model, or gets no memory there
/// while other adapters are idle.
#[test]
fn adapter_is_loaded_on_demand_and_replaces_idle_ones() {
    let mut manifest = zone_fixture::manifest(&[("m0", 80)]);
    for name in ["m0:a", "m0:b", "m0:c"] {
        let spec = serde_json::json!({"base": "m0", "version": "1", "size": 10});
        manifest.adapters.insert(model(name), serde_json::from_value(spec).unwrap());
    }
    let mut zone = Zone::new(&manifest, &manifest.zones[0], 1);
    zone.run_until_stable();
    for (index, name) in ["m0:a", "m0:b", "m0:c"].into_iter().enumerate() {
        zone.demand(name, 1, 10);
        zone.run_until_stable();
        assert_eq!(zone.copies(&model(name)), usize::from(index < 2), "{name}");
        zone.demand("m0", 0, 0);
    }
    assert!(zone.last.blocked.contains_key(&model("m0:c")), "no adapter has been idle yet");
    zone.advance(11);
    zone.demand("m0:c", 1, 10);
    zone.run_until_stable();
    assert_eq!(zone.copies(&model("m0:c")), 1);
    assert_eq!(zone.copies(&model("m0")), 1);
}

/// Guards against a first request for an adapter that waits until its demand was reported to the leader, and
/// against preloaded adapters that take memory from models.
#[test]
fn adapters_are_preloaded_next_to_their_base_model() {
    let manifest = Manifest::from_json(BE_FL).unwrap();
    for name in &manifest.zones {
        let mut zone = Zone::new(&manifest, name, 4);
        zone.run_until_stable();
        let home = |base| carobwick_core::home_zone(&manifest, base) == Some(name);
        for (id, spec) in &manifest.adapters {
            assert_eq!(zone.copies(id), usize::from(home(&spec.base)), "{id} in {name}");
        }
        let models = manifest.models.keys().filter(|id| home(id));
        assert!(models.into_iter().all(|id| zone.copies(id) > 0), "{name}");
        assert_eq!(zone.unloads, 0, "{name}");
    }
}

/// Guards against more loads after a restart of an engine than those that replace its copies.
#[test]
fn crash_reloads_only_what_lost_its_last_copy() {
    let manifest = zone_fixture::manifest(&[("m0", 30), ("m1", 30), ("m2", 30)]);
    let mut zone = Zone::new(&manifest, &manifest.zones[0], 3);
    zone.run_until_stable();
    let before = zone.loads;
    let engine = zone.engine_of(&model("m1"));
    let lost = zone.restart(&engine);
    zone.run_until_stable();
    assert_eq!(zone.loads - before, lost);
    let reloaded: Vec<&Action> = zone.log.iter().rev().take(lost).collect();
    assert!(
        reloaded.iter().any(|action| matches!(action, Action::Load { model: m, .. } if *m == model("m1")))
    );
}

/// Guards against a second zone that keeps an old version because its memory does not hold both.
#[test]
fn second_zone_replaces_an_old_version_that_the_home_zone_holds() {
    let mut manifest = Manifest::from_json(BE_FL).unwrap();
    let id = manifest.models.keys().next().unwrap().clone();
    let order: Vec<_> = carobwick_core::candidate_zones(&manifest, &id).into_iter().cloned().collect();
    manifest.models.retain(|other, _| *other == id);
    manifest.adapters.clear();
    manifest.models[&id].size = carobwick_core::Bytes(70_000_000_000);
    let mut zone = Zone::new(&manifest, &order[1], 1);
    zone.run_until_stable();
    assert_eq!(zone.copies(&id), 1);
    manifest.models[&id].version = "2".parse().unwrap();
    zone.manifest = manifest;
    zone.run_until_stable();
    assert_eq!(zone.versions(&id), vec!["1".parse().unwrap()], "the home zone is not known to hold it");
    zone.remote_models.insert(order[0].clone(), [id.clone()].into());
    zone.run_until_stable();
    assert_eq!(zone.versions(&id), vec!["2".parse().unwrap()]);
}
