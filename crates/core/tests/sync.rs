//! Exchange of state between processes: what is sent, and that a process never goes back.

mod config_fixture;

use carobwick_core::ConfigRecord;
use carobwick_core::CrashReport;
use carobwick_core::DrainSet;
use carobwick_core::DrainTarget;
use carobwick_core::Incarnation;
use carobwick_core::InstanceId;
use carobwick_core::SharedState;
use carobwick_core::Version;
use carobwick_core::WriteId;
use test_case::test_case;

use self::config_fixture::manifest;
use self::config_fixture::view;

fn instance(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn exchange(from: &SharedState, to: &mut SharedState) {
    let digest = to.digest();
    to.merge(from.delta_for(&digest));
    to.merge_applied(&from.digest());
}

fn records() -> (ConfigRecord, ConfigRecord) {
    let first = ConfigRecord::first(manifest(&["m1", "m2"]), WriteId(1)).unwrap();
    let mut next = manifest(&["m3", "m1"]);
    next.models[0].size.0 = 11;
    let second = first.following(next, WriteId(2)).unwrap();
    (first, second)
}

/// Guards against whole manifests being sent for each change, and against patches that give another result.
#[test]
fn change_is_sent_as_a_patch_to_a_receiver_with_the_version_before() {
    let (first, second) = records();
    let (mut here, mut there) = (SharedState::default(), SharedState::default());
    here.adopt(first);
    exchange(&here, &mut there);
    here.adopt(second.clone());
    let delta = here.delta_for(&there.digest());
    assert!(delta.config.is_none() && delta.config_patch.is_some());
    there.merge(delta);
    assert_eq!(there.config.as_deref(), Some(&second));
}

/// Guards against a receiver that can't apply patches being sent nothing else.
#[test]
fn whole_record_is_sent_when_the_base_is_unknown_or_a_patch_failed() {
    let (first, second) = records();
    let (mut here, mut there) = (SharedState::default(), SharedState::default());
    here.adopt(first.clone());
    here.adopt(second);
    assert!(here.delta_for(&there.digest()).config.is_some());
    there.adopt(first);
    there.needs_whole = true;
    assert!(here.delta_for(&there.digest()).config.is_some());
    exchange(&here, &mut there);
    assert!(!there.needs_whole);
}

/// Guards against a version that goes down, or changes its content, at a process.
#[test_case(1, false ; "older record")]
#[test_case(2, true ; "other content under the version in force")]
fn record_that_is_not_newer_is_not_adopted(version: u64, contradicts: bool) {
    let (first, second) = records();
    let mut here = SharedState::default();
    here.adopt(first.clone());
    here.adopt(second.clone());
    let other = first.following(manifest(&["m9"]), WriteId(9)).unwrap();
    let record = if version == 1 { first } else { other };
    let mut there = SharedState::default();
    there.adopt(record.clone());
    assert_eq!(here.digest().conflicting_version(&there.digest()), contradicts.then_some(Version(2)));
    assert_eq!(here.adopt(record), None);
    assert_eq!(here.config.as_deref(), Some(&second));
}

/// Guards against a patch that arrives after its base was replaced.
#[test]
fn late_patch_is_ignored_and_asks_for_nothing() {
    let (first, second) = records();
    let (mut here, mut there) = (SharedState::default(), SharedState::default());
    here.adopt(first.clone());
    there.adopt(first);
    here.adopt(second.clone());
    let late = here.delta_for(&there.digest());
    let third = second.following(manifest(&["m4"]), WriteId(3)).unwrap();
    there.adopt(third);
    assert!(there.merge(late).is_empty());
    assert_eq!(there.config.as_ref().map(|record| record.version), Some(Version(3)));
    assert!(!there.needs_whole);
}

/// Guards against views that are sent whole on each change, and against an older view taking over.
#[test]
fn view_is_sent_as_a_patch_and_never_goes_back() {
    let (mut here, mut there) = (SharedState::default(), SharedState::default());
    here.merge_view(view("a", 1, &["i0", "i1"], &["e0", "e1"]));
    exchange(&here, &mut there);
    let newer = view("a", 2, &["i0", "i2"], &["e1"]);
    here.merge_view(newer.clone());
    let delta = here.delta_for(&there.digest());
    assert_eq!((delta.views.len(), delta.view_patches.len()), (0, 1));
    there.merge(delta);
    assert_eq!(*there.views[0], newer);
    assert!(there.merge_view(view("a", 1, &["i0"], &[])).is_none());
    assert_eq!(*there.views[0], newer);
}

/// Guards against views of zones that left the deployment coming back from old peers.
#[test]
fn view_of_an_undeclared_zone_is_dropped_and_not_taken_again() {
    let mut here = SharedState::default();
    here.merge_view(view("gone", 1, &["i9"], &[]));
    here.record_applied(&instance("i9"), Version(1));
    let old = here.clone();
    here.adopt(records().0);
    assert!(here.views.is_empty() && here.applied.is_empty());
    exchange(&old, &mut here);
    assert!(here.views.is_empty());
}

/// Guards against confirmations being read for another version or another set of instances.
#[test]
fn confirmations_travel_with_the_digest() {
    let (first, second) = records();
    let mut here = SharedState::default();
    here.adopt(first);
    here.merge_view(view("a", 1, &["i1", "i0", "i2"], &[]));
    let mut there = SharedState::default();
    there.adopt(records().0);
    there.merge_view(view("a", 1, &["i2", "i1", "i0"], &[]));
    here.record_applied(&instance("i1"), Version(1));
    there.merge_applied(&here.digest());
    assert_eq!(there.applied.get(&instance("i1")), Some(&Version(1)));
    assert_eq!(there.applied.get(&instance("i0")), None);
    here.adopt(second);
    here.record_applied(&instance("i0"), Version(2));
    there.merge_applied(&here.digest());
    assert_eq!(there.applied.get(&instance("i0")), None, "bits of version 2 read as version 1");
}

/// Guards against crash reports that grow without bound, and against peers that keep different ones.
#[test]
fn latest_crash_reports_are_kept_whatever_their_order() {
    let report = |index: u64| CrashReport {
        endpoint: "e".parse().unwrap(),
        incarnation: Incarnation(index),
        fingerprints: Vec::new(),
        cleared: Vec::new(),
        at_ms: 1_000 + index,
    };
    let (mut here, mut there) = (SharedState::default(), SharedState::default());
    for index in 0..1_000 {
        here.suspects.add(report(index));
        there.suspects.add(report(999 - index));
    }
    assert_eq!(here.suspects.reports().count(), 256);
    assert!(here.suspects.reports().all(|report| report.incarnation.0 >= 744));
    assert_eq!(here.digest().reports, there.digest().reports);
    assert!(here.delta_for(&there.digest()).reports.is_empty());
}

/// Guards against concurrent drains and undrains that leave processes in different states.
#[test]
fn concurrent_drains_come_to_the_same_state_in_any_order() {
    let target = DrainTarget::Endpoint("e".parse().unwrap());
    let (mut here, mut there) = (DrainSet::default(), DrainSet::default());
    here.set(target.clone(), true, WriteId(1));
    there.set(target.clone(), false, WriteId(2));
    let (before, other) = (here.clone(), there.clone());
    here.merge(&other);
    there.merge(&before);
    assert_eq!(here.summary(), there.summary());
    assert!(!here.is_drained(&target), "the writer with the higher id wins a tie");
    assert!(here.covers(&before) && !before.covers(&other));
    let text = serde_json::to_string(&here).unwrap();
    assert_eq!(serde_json::from_str::<DrainSet>(&text).unwrap(), here);
}
