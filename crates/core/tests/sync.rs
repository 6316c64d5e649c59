//! Anti-entropy exchange: which state is sent, and that no process returns to an older state.

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

/// Guards against sending the whole manifest for each change, and against patches that yield a different
/// manifest.
#[test]
fn change_is_sent_as_a_patch_to_a_receiver_with_the_version_before() {
    let (first, second) = records();
    let (mut local, mut remote) = (SharedState::default(), SharedState::default());
    local.adopt(first);
    exchange(&local, &mut remote);
    local.adopt(second.clone());
    let delta = local.delta_for(&remote.digest());
    assert!(delta.config.is_none() && delta.config_patch.is_some());
    remote.merge(delta);
    assert_eq!(remote.config.as_deref(), Some(&second));
}

/// Guards against sending only patches to a receiver that can't apply them.
#[test]
fn whole_record_is_sent_when_the_base_is_unknown_or_a_patch_failed() {
    let (first, second) = records();
    let (mut local, mut remote) = (SharedState::default(), SharedState::default());
    local.adopt(first.clone());
    local.adopt(second);
    assert!(local.delta_for(&remote.digest()).config.is_some());
    remote.adopt(first);
    remote.needs_whole = true;
    assert!(local.delta_for(&remote.digest()).config.is_some());
    exchange(&local, &mut remote);
    assert!(!remote.needs_whole);
}

/// Guards against a process that adopts a lower version, or different content under the same version.
#[test_case(1, false ; "older record")]
#[test_case(2, true ; "other content under the version in force")]
fn record_that_is_not_newer_is_not_adopted(version: u64, contradicts: bool) {
    let (first, second) = records();
    let mut local = SharedState::default();
    local.adopt(first.clone());
    local.adopt(second.clone());
    let other = first.following(manifest(&["m9"]), WriteId(9)).unwrap();
    let record = if version == 1 { first } else { other };
    let mut remote = SharedState::default();
    remote.adopt(record.clone());
    assert_eq!(local.digest().conflicting_version(&remote.digest()), contradicts.then_some(Version(2)));
    assert_eq!(local.adopt(record), None);
    assert_eq!(local.config.as_deref(), Some(&second));
}

/// Guards against applying a patch that arrives after its base was replaced.
#[test]
fn late_patch_is_ignored_and_requests_nothing() {
    let (first, second) = records();
    let (mut local, mut remote) = (SharedState::default(), SharedState::default());
    local.adopt(first.clone());
    remote.adopt(first);
    local.adopt(second.clone());
    let late = local.delta_for(&remote.digest());
    let third = second.following(manifest(&["m4"]), WriteId(3)).unwrap();
    remote.adopt(third);
    assert!(remote.merge(late).is_empty());
    assert_eq!(remote.config.as_ref().map(|record| record.version), Some(Version(3)));
    assert!(!remote.needs_whole);
}

/// Guards against sending the whole view for each change, and against an older view replacing a newer one.
#[test]
fn view_is_sent_as_a_patch_and_its_rank_never_falls() {
    let (mut local, mut remote) = (SharedState::default(), SharedState::default());
    local.merge_view(view("a", 1, &["i0", "i1"], &["e0", "e1"]));
    exchange(&local, &mut remote);
    let newer = view("a", 2, &["i0", "i2"], &["e1"]);
    local.merge_view(newer.clone());
    let delta = local.delta_for(&remote.digest());
    assert_eq!((delta.views.len(), delta.view_patches.len()), (0, 1));
    remote.merge(delta);
    assert_eq!(*remote.views[0], newer);
    assert!(remote.merge_view(view("a", 1, &["i0"], &[])).is_none());
    assert_eq!(*remote.views[0], newer);
}

/// Guards against peers with an older manifest that reintroduce the view of a zone that was removed.
#[test]
fn view_of_an_undeclared_zone_is_dropped_and_not_taken_again() {
    let mut local = SharedState::default();
    local.merge_view(view("gone", 1, &["i9"], &[]));
    local.record_applied(&instance("i9"), Version(1));
    let old = local.clone();
    local.adopt(records().0);
    assert!(local.views.is_empty() && local.applied.is_empty());
    exchange(&old, &mut local);
    assert!(local.views.is_empty());
}

/// Guards against applied versions that are attributed to another version or other instances, since the bits
/// in a digest name neither.
#[test]
fn applied_versions_are_exchanged_in_the_digest() {
    let (first, second) = records();
    let mut local = SharedState::default();
    local.adopt(first);
    local.merge_view(view("a", 1, &["i1", "i0", "i2"], &[]));
    let mut remote = SharedState::default();
    remote.adopt(records().0);
    remote.merge_view(view("a", 1, &["i2", "i1", "i0"], &[]));
    local.record_applied(&instance("i1"), Version(1));
    remote.merge_applied(&local.digest());
    assert_eq!(remote.applied.get(&instance("i1")), Some(&Version(1)));
    assert_eq!(remote.applied.get(&instance("i0")), None);
    local.adopt(second);
    local.record_applied(&instance("i0"), Version(2));
    remote.merge_applied(&local.digest());
    assert_eq!(remote.applied.get(&instance("i0")), None, "bits of version 2 read as version 1");
}

/// Guards against an unbounded number of crash reports, and against peers that keep different ones.
#[test]
fn latest_crash_reports_are_kept_in_any_order() {
    let report = |index: u64| CrashReport {
        endpoint: "e".parse().unwrap(),
        incarnation: Incarnation(index),
        fingerprints: Vec::new(),
        cleared: Vec::new(),
        at_ms: 1_000 + index,
    };
    let (mut local, mut remote) = (SharedState::default(), SharedState::default());
    for index in 0..1_000 {
        local.crash_reports.add(report(index));
        remote.crash_reports.add(report(999 - index));
    }
    assert_eq!(local.crash_reports.reports().count(), 256);
    assert!(local.crash_reports.reports().all(|report| report.incarnation.0 >= 744));
    assert_eq!(local.digest().crash_reports, remote.digest().crash_reports);
    assert!(local.delta_for(&remote.digest()).crash_reports.is_empty());
}

/// Guards against concurrent drains and undrains after which processes have different states.
#[test]
fn concurrent_drains_converge_in_any_order() {
    let target = DrainTarget::Endpoint("e".parse().unwrap());
    let (mut local, mut remote) = (DrainSet::default(), DrainSet::default());
    local.set(target.clone(), true, WriteId(1));
    remote.set(target.clone(), false, WriteId(2));
    let (before, other) = (local.clone(), remote.clone());
    local.merge(&other);
    remote.merge(&before);
    assert_eq!(local.state_hash(), remote.state_hash());
    assert!(!local.is_drained(&target), "the writer with the higher id wins a tie");
    assert!(local.covers(&before) && !before.covers(&other));
    let text = serde_json::to_string(&local).unwrap();
    assert_eq!(serde_json::from_str::<DrainSet>(&text).unwrap(), local);
}
