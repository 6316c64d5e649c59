//! Publishing: which manifests are refused, and how the outcome is found after a lost reply.

mod config_fixture;

use std::sync::Arc;

use carobwick_core::Bytes;
use carobwick_core::ConfigRecord;
use carobwick_core::Manifest;
use carobwick_core::Publish;
use carobwick_core::PublishEvent;
use carobwick_core::PublishOutcome;
use carobwick_core::PublishStep;
use carobwick_core::StoredConfig;
use carobwick_core::Version;
use carobwick_core::WriteId;
use carobwick_core::ZoneId;
use carobwick_core::ZoneView;
use carobwick_core::home_zone;
use indexmap::IndexMap;
use serde_json::json;
use test_case::test_case;

use self::config_fixture::manifest;
use self::config_fixture::view;

type Views = IndexMap<ZoneId, Arc<ZoneView>>;

const OWN: WriteId = WriteId(7);

fn views(zones: &[(&str, &[&str])]) -> Views {
    let views = zones.iter().map(|(zone, endpoints)| view(zone, 1, &[], endpoints));
    views.map(|view| (view.zone.clone(), Arc::new(view))).collect()
}

fn stored(revision: u64, record: &ConfigRecord) -> StoredConfig {
    StoredConfig { revision, record: Arc::new(record.clone()) }
}

fn read(revision: u64, record: &ConfigRecord) -> PublishEvent {
    PublishEvent::Read(Some(stored(revision, record)))
}

fn first() -> ConfigRecord {
    ConfigRecord::first(manifest(&["m1"]), WriteId(1)).unwrap()
}

/// Returns the record after publishing the manifest of `record` again `count` times.
fn later(record: &ConfigRecord, count: u64) -> ConfigRecord {
    (0..count).fold(record.clone(), |record, index| {
        record.following(record.manifest.clone(), WriteId(100 + index)).unwrap()
    })
}

fn next(publish: &mut Publish, event: PublishEvent) -> PublishStep {
    publish.next(event, None, &Views::new())
}

/// Starts to publish onto `first`, loses the reply to the write and returns the record that was sent.
fn lose_reply(publish: &mut Publish) -> Arc<ConfigRecord> {
    let step = next(publish, read(5, &first()));
    let PublishStep::Write { expect: Some(5), record, .. } = step else {
        panic!("{step:?}");
    };
    assert!(matches!(next(publish, PublishEvent::Lost), PublishStep::Pause(_)));
    assert_eq!(next(publish, PublishEvent::Resumed), PublishStep::Read);
    record
}

fn publish() -> Publish {
    Publish::manifest(manifest(&["m1", "m2"]), OWN, None)
}

/// Guards against an accepted publish that is reported as refused, or carried out twice, after a lost reply.
#[test]
fn write_that_took_effect_is_found_by_its_id() {
    let mut publish = publish();
    let sent = lose_reply(&mut publish);
    let newest = later(&sent, 3);
    let step = next(&mut publish, read(9, &newest));
    assert_eq!(step, PublishStep::Done(PublishOutcome::Accepted(Version(2), Arc::new(newest))));
}

/// Guards against a publish that fails after a lost write although no other writer interfered.
#[test]
fn write_that_had_no_effect_is_sent_again_with_the_same_id() {
    let mut publish = publish();
    let sent = lose_reply(&mut publish);
    let step = next(&mut publish, read(5, &first()));
    assert!(matches!(step, PublishStep::Write { expect: Some(5), record, .. } if record == sent));
    // The first write took effect after all, so the second is refused.
    assert_eq!(next(&mut publish, PublishEvent::Refused), PublishStep::Read);
    let step = next(&mut publish, read(6, &sent));
    assert_eq!(step, PublishStep::Done(PublishOutcome::Accepted(Version(2), sent)));
}

/// Guards against a publish that overwrites that of another writer.
#[test_case(1, &PublishOutcome::Conflict(Version(2)) ; "the history shows that it was refused")]
#[test_case(16, &PublishOutcome::Conflict(Version(17)) ; "the history reaches back far enough")]
#[test_case(17, &PublishOutcome::Unknown ; "the history is too short to tell")]
fn lost_race_is_distinguished_from_an_unknown_outcome(publishes: u64, expected: &PublishOutcome) {
    let mut publish = publish();
    lose_reply(&mut publish);
    let newest = later(&first(), publishes);
    let step = next(&mut publish, read(99, &newest));
    assert_eq!(step, PublishStep::Done(expected.clone()));
}

/// Guards against a publish that retries without limit, or reports that nothing was written when that is
/// unknown.
#[test_case(false, PublishOutcome::Unavailable ; "nothing was sent")]
#[test_case(true, PublishOutcome::Unknown ; "a write was sent")]
fn unreachable_service_ends_the_publish(sent: bool, expected: PublishOutcome) {
    let mut publish = publish();
    if sent {
        lose_reply(&mut publish);
    }
    let outcome = (0..10).find_map(|_| match next(&mut publish, PublishEvent::Lost) {
        PublishStep::Done(outcome) => Some(outcome),
        _ => None,
    });
    assert_eq!(outcome, Some(expected));
}

/// Guards against versions that restart at 1 after the key-value service lost the key.
#[test]
fn version_follows_the_one_in_force_when_the_key_is_gone() {
    let own = Arc::new(later(&first(), 4));
    let step = publish().next(PublishEvent::Read(None), Some(&own), &Views::new());
    let PublishStep::Write { expect: None, record, .. } = step else {
        panic!("{step:?}");
    };
    assert_eq!(record.version, Version(6));
}

/// Guards against publishing onto another version than the operator expects.
#[test_case(None, Some(0), true ; "no version yet, as expected")]
#[test_case(None, Some(1), false ; "no version yet, but one expected")]
#[test_case(Some(1), Some(1), true ; "expected version")]
#[test_case(Some(1), Some(2), false ; "other version")]
fn expected_version_is_required(found: Option<u64>, expect: Option<u64>, accepted: bool) {
    let found = found.map(|_| stored(5, &first()));
    let mut publish = Publish::manifest(manifest(&["m1"]), OWN, expect.map(Version));
    let step = next(&mut publish, PublishEvent::Read(found));
    assert_eq!(matches!(step, PublishStep::Write { .. }), accepted, "{step:?}");
}

fn check(previous: Manifest, manifest: Manifest, views: &Views) -> Result<Manifest, String> {
    let record = ConfigRecord::first(previous, WriteId(1)).unwrap();
    let mut publish = Publish::manifest(manifest, OWN, None);
    match publish.next(read(5, &record), None, views) {
        PublishStep::Write { record, .. } => Ok(record.manifest.clone()),
        PublishStep::Done(PublishOutcome::Refused(reason)) => Err(reason),
        step => panic!("{step:?}"),
    }
}

/// Guards against removing a model that is in use.
#[test_case(false, false ; "in use")]
#[test_case(true, true ; "retiring in the previous version")]
fn model_is_removed_only_after_it_was_retiring(retiring: bool, accepted: bool) {
    let mut previous = manifest(&["m1", "m2"]);
    previous.models[1].retiring = retiring;
    let checked = check(previous, manifest(&["m1"]), &Views::new());
    assert_eq!(checked.is_ok(), accepted);
    if let Err(reason) = checked {
        assert!(reason.starts_with("models.m2"), "{reason}");
    }
}

/// Guards against publishing a manifest whose models can't all be resident; the engines have 100 bytes.
#[test_case(60, 2, 0, true ; "one engine each")]
#[test_case(60, 1, 0, false ; "one engine for two models")]
#[test_case(45, 1, 10, true ; "memory for the largest adapter")]
#[test_case(45, 1, 11, false ; "no memory for an adapter next to both models")]
fn manifest_that_does_not_fit_is_refused(size: u64, engines: usize, adapter: u64, accepted: bool) {
    let mut wanted = manifest(&["m1", "m2"]);
    wanted.models.values_mut().for_each(|spec| spec.size = Bytes(size));
    wanted.zones = vec!["a".parse().unwrap()];
    // The engine of another zone must not count.
    let views = views(&[("a", &["e1", "e2"][..engines]), ("b", &["e3"])]);
    if adapter > 0 {
        let text = json!({"base": "m1", "version": "1", "size": adapter});
        wanted.adapters.insert("m1:x".parse().unwrap(), serde_json::from_value(text).unwrap());
    }
    let checked = check(manifest(&["m1"]), wanted, &views);
    assert_eq!(checked.is_ok(), accepted, "{checked:?}");
}

/// Guards against refusing the first publish because no zone is known yet.
#[test]
fn zone_without_a_view_is_not_checked() {
    let wanted = manifest(&["m1", "m2", "m3", "m4"]);
    let home = home_zone(&wanted, &"m1".parse().unwrap()).unwrap().clone();
    check(manifest(&["m1"]), wanted.clone(), &Views::new()).unwrap();
    let views = views(&[(home.as_str(), &[])]);
    let reason = check(manifest(&["m1"]), wanted, &views).unwrap_err();
    assert!(reason.contains(home.as_str()), "{reason}");
}

/// Guards against a rollback that removes models which were added since and may be in use.
#[test]
fn rollback_keeps_models_that_were_added_since() {
    let current = ConfigRecord::first(manifest(&["m1", "m2"]), WriteId(1)).unwrap();
    let mut older = manifest(&["m1"]);
    older.models[0].size = Bytes(50);
    let mut publish = Publish::rollback(older, OWN);
    let PublishStep::Write { record, .. } = next(&mut publish, read(5, &current)) else {
        panic!("refused");
    };
    assert_eq!(record.version, Version(2));
    assert_eq!(record.manifest.models[0].size, Bytes(50));
    assert!(record.manifest.models[1].retiring);
}

/// Guards against a record above the size limit of the key-value service; a record is larger than the
/// manifest file.
#[test]
fn manifest_that_is_too_large_as_a_record_is_refused() {
    let names: Vec<String> = (0..8_000).map(|index| format!("model-{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut publish = Publish::manifest(manifest(&names), OWN, None);
    let step = next(&mut publish, PublishEvent::Read(None));
    let PublishStep::Done(PublishOutcome::Refused(reason)) = step else {
        panic!("accepted");
    };
    assert!(reason.contains("bytes as a record"), "{reason}");
}
