//! Streams that callers may take up again, and the software versions that serve.

mod endpoint_fixture;

use std::time::Duration;

use carobwick_core::Incarnation;
use carobwick_core::Millis;
use carobwick_core::Time;
use carobwick_core::gateway::EndpointChange;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::EndpointTable;
use carobwick_core::gateway::ResidentModels;
use carobwick_core::gateway::ServedVersion;
use carobwick_core::gateway::SoftwareVersion;
use carobwick_core::gateway::StreamKey;
use carobwick_core::gateway::StreamOrigin;
use carobwick_core::gateway::StreamTable;
use carobwick_core::gateway::VersionBinding;
use carobwick_core::gateway::VersionCount;
use endpoint_fixture::endpoint;

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn version(text: &str) -> SoftwareVersion {
    let Ok(version) = text.parse();
    version
}

fn origin(attempt: &str, text: &str) -> StreamOrigin {
    StreamOrigin {
        key: StreamKey::new(attempt),
        service: "s".parse().unwrap(),
        version: version(text),
        remaining: Millis(5_000),
    }
}

fn entry(id: &str, incarnation: u64, text: &str) -> EndpointChange {
    let entry = endpoint(id.parse().unwrap(), "s", "z1", ResidentModels::default());
    let version = Some(version(text));
    EndpointChange::Updated(Box::new(EndpointEntry {
        incarnation: Incarnation(incarnation),
        version,
        ..entry
    }))
}

fn has_several_versions(table: &EndpointTable, now: Time) -> bool {
    let service = "s".parse().unwrap();
    let listed = table.services_with_several_versions(now).contains(&service);
    assert_eq!(table.version_count(&service, now) == VersionCount::Several, listed);
    listed
}

/// Guards against another attempt with the same id that changes the version of a stream.
#[test]
fn a_stream_keeps_the_version_that_began_it() {
    let mut table = StreamTable::default();
    table.record_begun(origin("a", "v1"), at(0));
    assert!(!table.record_shared(origin("a", "v2"), at(10)));
    assert_eq!(table.version(StreamKey::new("a"), at(20)), Some(&version("v1")));
    assert_eq!(table.version(StreamKey::new("b"), at(20)), None);
}

/// Guards against streams that are kept beyond the deadline of their callers.
#[test]
fn a_stream_is_forgotten_at_the_deadline_of_its_caller() {
    let mut table = StreamTable::default();
    table.record_begun(origin("a", "v1"), at(0));
    assert!(table.version(StreamKey::new("a"), at(4_999)).is_some());
    assert!(table.version(StreamKey::new("a"), at(5_000)).is_none());
    table.remove_expired(at(4_999));
    assert_eq!(table.len(), 1);
    table.remove_expired(at(5_000));
    assert!(table.is_empty());
    assert!(table.record_shared(origin("a", "v2"), at(5_000)), "the key is not free again");
}

/// Guards against streams that are told twice or never, and against passing on as one's own what others have begun.
#[test]
fn each_stream_is_shared_once_and_told_to_new_leaders_by_its_instance() {
    let mut table = StreamTable::default();
    let service = "s".parse().unwrap();
    table.record_begun(origin("a", "v1"), at(0));
    table.record_shared(origin("b", "v2"), at(0));
    assert!(table.own_shared(at(0)).is_empty());
    assert_eq!(table.take_unshared(&"other".parse().unwrap(), at(1_000)), []);
    let expected = StreamOrigin { remaining: Millis(4_000), ..origin("a", "v1") };
    assert_eq!(table.take_unshared(&service, at(1_000)), std::slice::from_ref(&expected));
    assert_eq!(table.take_unshared(&service, at(1_000)), []);
    assert_eq!(table.own_shared(at(1_000)), [expected]);
    assert_eq!(table.all_shared(at(1_000)).len(), 2);
}

/// Guards against a stream that counts as known to others before they have received it.
#[test]
fn a_stream_is_confirmed_once_another_instance_has_received_it() {
    let mut table = StreamTable::default();
    let (own, other) = (StreamKey::new("a"), StreamKey::new("b"));
    table.record_begun(origin("a", "v1"), at(0));
    table.record_shared(origin("b", "v1"), at(0));
    assert!(!table.is_confirmed(own) && table.is_confirmed(other));
    assert_eq!(table.take_unshared(&"s".parse().unwrap(), at(0)).len(), 1);
    assert!(!table.is_confirmed(own), "it may not have arrived");
    table.record_confirmed(&[own, StreamKey::new("c")]);
    assert!(table.is_confirmed(own) && !table.is_confirmed(StreamKey::new("c")));
    assert_eq!(table.own_shared(at(0)).len(), 1, "a new leader is told all the same");
}

/// Guards against streams of a former leader's term that the new leader takes for known to all, and against telling the others
/// of what one instance has reported before they need it.
#[test]
fn a_leader_shares_what_only_the_leader_before_was_told_and_what_is_reported_to_it() {
    let mut table = StreamTable::default();
    table.record_begun(origin("a", "v1"), at(0));
    table.record_begun(origin("b", "v1"), at(0));
    assert_eq!(table.take_all_unshared(at(0)).len(), 2);
    table.record_confirmed(&[StreamKey::new("b")]);
    table.reset_sent();
    table.record_reported(origin("c", "v1"), at(0));
    assert_eq!(table.all_shared(at(0)), [origin("b", "v1")]);
    assert_eq!(table.origin(StreamKey::new("c"), at(0)), Some(origin("c", "v1")));
    let shared = table.take_unshared(&"s".parse().unwrap(), at(0));
    assert_eq!(shared, [origin("a", "v1"), origin("c", "v1")]);
}

/// Guards against a table that grows without bound, and against dropping the newest streams.
#[test]
fn the_oldest_streams_make_room() {
    let mut table = StreamTable::default();
    for index in 0..100_000 {
        table.record_begun(origin(&index.to_string(), "v1"), at(0));
    }
    let kept =
        (0..100_000).filter(|index| table.version(StreamKey::new(&index.to_string()), at(1)).is_some());
    let kept: Vec<i32> = kept.collect();
    assert!(kept.len() <= 1 << 15 && kept.len() >= 1 << 14, "{} streams are kept", kept.len());
    assert_eq!(kept.last(), Some(&99_999));
}

/// Guards against a version that is forgotten with its last endpoint while callers may still take up its streams.
#[test]
fn a_version_counts_for_a_minute_after_its_last_endpoint() {
    let mut table = EndpointTable::default();
    table.apply(entry("a", 1, "v1"), at(0));
    assert!(!has_several_versions(&table, at(0)));
    table.apply(entry("b", 1, "v2"), at(0));
    assert!(has_several_versions(&table, at(0)));
    table.apply(EndpointChange::Removed("b".parse().unwrap()), at(1_000));
    assert!(has_several_versions(&table, at(60_999)));
    assert!(!has_several_versions(&table, at(61_000)));
    // A process that starts again under its id with another version.
    table.apply(entry("a", 2, "v3"), at(100_000));
    assert!(has_several_versions(&table, at(159_999)));
    assert!(!has_several_versions(&table, at(160_000)));
}

/// Guards against a stream that goes on at a version that is not known to be its own.
#[test]
fn a_stream_is_bound_to_its_own_version() {
    let (first, second) = (version("v1"), version("v2"));
    let binding = VersionBinding::of(Some(first.clone()));
    assert!(binding.allows(Some(&first)));
    assert!(!binding.allows(Some(&second)) && !binding.allows(None));
    assert!(!VersionBinding::of(None).allows(None));
    assert!(VersionBinding::Any.allows(None));
}

/// Guards against versions of any length in each message, and against taking two long ones for the same.
#[test]
fn a_long_version_is_shortened_and_stays_distinct() {
    let (first, second) = ("a".repeat(1_000), "a".repeat(1_001));
    assert!(version(&first).to_string().len() <= 64);
    assert_ne!(version(&first), version(&second));
    assert_eq!(version(&first), version(&first));
}

/// Guards against an instance that takes the only version in the list for the only one that may have begun a stream, and
/// against versions that count for another minute with each instance that reads them.
#[test]
fn versions_that_another_instance_has_written_count_for_the_rest_of_their_minute() {
    let mut earlier = EndpointTable::default();
    earlier.apply(entry("a", 1, "v1"), at(0));
    earlier.apply(entry("b", 1, "v2"), at(0));
    earlier.apply(EndpointChange::Removed("a".parse().unwrap()), at(1_000));
    let written = earlier.served_versions(at(21_000));
    let ended: Vec<_> = written.iter().map(|served| (served.version.clone(), served.ended)).collect();
    assert_eq!(ended, [(Some(version("v2")), None), (Some(version("v1")), Some(Millis(20_000)))]);
    // The clock of another instance.
    let mut later = EndpointTable::default();
    later.apply(entry("b", 1, "v2"), at(500_000));
    assert!(!has_several_versions(&later, at(500_000)));
    later.record_served_versions(written, at(500_000));
    assert!(has_several_versions(&later, at(539_999)));
    assert!(!has_several_versions(&later, at(540_000)));
}

/// Guards against a version whose endpoints end after it was written, and which the reader of the list never saw.
#[test]
fn a_version_that_served_when_it_was_written_counts_for_a_minute() {
    let mut earlier = EndpointTable::default();
    earlier.apply(entry("a", 1, "v1"), at(0));
    let mut later = EndpointTable::default();
    later.apply(entry("b", 1, "v2"), at(100_000));
    later.record_served_versions(earlier.served_versions(at(0)), at(100_000));
    assert!(has_several_versions(&later, at(159_999)));
    assert!(!has_several_versions(&later, at(160_000)));
}

/// Guards against a write of the versions each second, as times since an end change, and against a change that is not
/// written.
#[test]
fn only_a_version_that_begins_or_ends_changes_the_set() {
    let mut table = EndpointTable::default();
    table.apply(entry("a", 1, "v1"), at(0));
    table.apply(entry("b", 1, "v2"), at(0));
    let both = table.served_versions(at(0));
    table.apply(EndpointChange::Removed("a".parse().unwrap()), at(1_000));
    let one_ended = table.served_versions(at(1_000));
    assert!(!ServedVersion::is_same_set(&both, &one_ended));
    assert!(ServedVersion::is_same_set(&one_ended, &table.served_versions(at(60_999))));
    assert!(!ServedVersion::is_same_set(&one_ended, &table.served_versions(at(61_000))));
}
