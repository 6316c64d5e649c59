//! Tests of the limit of callers' connections.

use std::time::Duration;

use carobwick_core::Time;
use carobwick_core::gateway::Admission;
use carobwick_core::gateway::ConnectionId;
use carobwick_core::gateway::ConnectionLimit;

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn accept(limit: &mut ConnectionLimit, millis: u64) -> ConnectionId {
    match limit.admit(at(millis)) {
        Admission::Accepted(id) => id,
        other => panic!("{other:?}"),
    }
}

/// Guards against closing a connection with a request, or one that was used just before, for a new one.
#[test]
fn the_connection_without_a_request_for_longest_is_closed() {
    let mut limit = ConnectionLimit::new(3);
    let [first, second, third] = [0, 10, 20].map(|millis| accept(&mut limit, millis));
    limit.record_request(second);
    limit.record_request(first);
    limit.record_idle(first, at(30));
    let Admission::Replaced { accepted, closed } = limit.admit(at(40)) else { panic!("not replaced") };
    assert_eq!(closed, third);
    limit.record_request(accepted);
    assert!(matches!(limit.admit(at(50)), Admission::Replaced { closed, .. } if closed == first));
    assert_eq!(limit.open(), 3);
}

/// Guards against more connections than there are descriptors while all of them have requests, and against a limit
/// that ended connections still count for.
#[test]
fn a_connection_is_refused_while_all_others_have_requests() {
    let mut limit = ConnectionLimit::new(1);
    let first = accept(&mut limit, 0);
    limit.record_request(first);
    assert_eq!(limit.admit(at(10)), Admission::Refused);
    assert_eq!(limit.admit_beyond(at(10)), None);
    limit.remove(first);
    accept(&mut limit, 20);
}

/// Guards against more descriptors than there are, since connections that are about to close have not closed yet.
#[test]
fn few_connections_are_accepted_above_the_limit() {
    let mut limit = ConnectionLimit::new(8);
    for millis in 0..8 {
        let id = accept(&mut limit, millis);
        limit.record_request(id);
    }
    let beyond = (0..5).filter_map(|millis| limit.admit_beyond(at(10 + millis))).count();
    assert_eq!(beyond, 2);
}
