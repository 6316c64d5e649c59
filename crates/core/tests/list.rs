//! Tests of how an instance tracks the list of endpoints, by updates of the leader and by reads from the
//! store.

use std::time::Duration;

use carobwick_core::Era;
use carobwick_core::Revision;
use carobwick_core::Time;
use carobwick_core::gateway::ListCursor;
use carobwick_core::gateway::ListRole;
use carobwick_core::gateway::RevisionRange;
use test_case::test_case;

const DRAIN_TIME: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn range(from: u64, at: u64) -> RevisionRange {
    RevisionRange { from: Revision(from), to: Revision(at), age: Duration::ZERO }
}

/// Returns the cursor of a follower that has read the list up to revision 10 at 0 ms.
fn follower() -> ListCursor {
    let mut cursor = ListCursor::new(DRAIN_TIME);
    assert_eq!(cursor.wait(at(0)), Duration::ZERO);
    cursor.record_read(Revision(10), ListRole::Follower, at(0));
    cursor
}

/// Guards against requests to an endpoint that left longer ago than the drain time, because the leader
/// freezes or its update is late right before the change.
#[test]
fn a_change_is_known_within_the_drain_time_whatever_the_leader_does() {
    for delay in (0..2_000).step_by(50) {
        let mut cursor = follower();
        // The store returns the changes at 0 ms, the endpoint leaves right after, and the update arrives
        // after `delay`.
        let mut known = at(0) + cursor.wait(at(0));
        if at(delay) < known {
            assert!(cursor.accept(range(10, 12), at(delay)));
            known = at(delay) + cursor.wait(at(delay));
        }
        assert!(known < at(0) + DRAIN_TIME.mul_f64(0.85), "update late by {delay} ms: known at {known:?}");
    }
}

/// Guards against a follower that treats a delayed update of the leader as a new one.
#[test]
fn the_age_of_an_update_shortens_the_time_to_the_next_read() {
    let mut cursor = follower();
    let old = RevisionRange { age: Duration::from_millis(500), ..range(10, 12) };
    cursor.accept(old, at(700));
    assert_eq!(cursor.wait(at(700)), Duration::from_millis(300));
}

/// Guards against changes that are lost between a read of the follower and an update of the leader, and
/// against old updates that revert later ones.
#[test_case(10, 12, true ; "they are adjacent")]
#[test_case(8, 12, true ; "they overlap")]
#[test_case(11, 12, false ; "they leave a gap")]
#[test_case(8, 9, false ; "they are older")]
fn updates_are_accepted_if_they_are_contiguous(from: u64, to: u64, accepted: bool) {
    let mut cursor = follower();
    assert_eq!(cursor.accept(range(from, to), at(100)), accepted);
    assert_eq!(cursor.revision(), Some(Revision(if accepted { to } else { 10 })));
}

/// Guards against changes that are lost since an update of the leader has revisions that the store gave out before
/// it returned from a copy, or gives out again.
#[test]
fn updates_of_another_era_of_the_store_are_rejected() {
    let revision = |era, number| Revision::new(Era(era), number);
    let mut cursor = ListCursor::new(DRAIN_TIME);
    cursor.record_read(revision(2, 10), ListRole::Follower, at(0));
    for (from, to, accepted) in [
        (revision(1, 8), revision(1, 12), false),
        (revision(1, 8), revision(2, 12), false),
        (revision(3, 8), revision(3, 12), false),
        (revision(2, 8), revision(2, 12), true),
    ] {
        let update = RevisionRange { from, to, age: Duration::ZERO };
        assert_eq!(cursor.accept(update, at(100)), accepted, "{update:?}");
    }
}

/// Guards against an instance that drops entries that expired during an outage of the store, since it applies
/// the removals of a leader and does not know that the store has just recovered.
#[test]
fn updates_are_rejected_until_the_list_has_recovered_from_an_outage() {
    let mut cursor = follower();
    cursor.record_failure(true);
    assert_eq!(cursor.revision(), None);
    assert!(cursor.record_read(Revision(20), ListRole::Follower, at(1_000)), "the store was unreachable");
    assert!(!cursor.accept(range(20, 21), at(1_500)));
    assert!(cursor.accept(range(20, 21), at(3_000)));
}

/// Guards against a load on the store that grows with the number of instances, and against updates of the
/// leader that are too rare for its followers.
#[test]
fn followers_that_receive_updates_do_not_read_the_store() {
    let (mut leader, mut cursor) = (follower(), follower());
    let (mut now, mut reads) = (at(0), 0);
    for revision in 11..61 {
        leader.record_read(Revision(revision), ListRole::Leader, now);
        now = now + leader.wait(now);
        reads += u32::from(cursor.wait(now).is_zero());
        cursor.accept(range(revision - 1, revision), now);
    }
    assert_eq!(reads, 0, "reads within {now:?}");
}
