//! Tests of how long an instance trusts its configuration, with updates of the leader, its own watches and
//! lost responses.

use std::time::Duration;

use carobwick_core::Time;
use carobwick_core::gateway::ConfigFreshness;
use test_case::test_case;

const APPLY_TIME: Duration = Duration::from_secs(2);
/// Interval between two messages of the leader.
const HEARTBEAT: Duration = Duration::from_millis(500);

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

/// Returns the state of an instance whose configuration was the newest at 0 ms.
fn fresh() -> ConfigFreshness {
    let mut freshness = ConfigFreshness::new(APPLY_TIME);
    freshness.record_confirmed(at(0));
    freshness
}

/// Returns the latest time at which a watch sent at the given time ends, by a response, a timeout or
/// cancellation.
fn latest_end(freshness: &ConfigFreshness, is_leader: bool, sent: Time) -> Time {
    let timeouts = freshness.watch_timeouts(is_leader, sent);
    let timed_out = sent + timeouts.timeout;
    if timeouts.leader_backed { timed_out.min(sent + freshness.remaining_trust(sent)) } else { timed_out }
}

/// Guards against an instance that serves a stale configuration for longer than the apply time. The
/// configuration changes right after it was confirmed and the response to the watch is lost, while the leader
/// is lost, is this instance, or does not exist.
#[test_case(false, Some(0) ; "the leader is lost")]
#[test_case(false, None ; "there is no leader")]
#[test_case(true, Some(0) ; "the instance leads")]
fn a_change_is_noticed_in_time_although_a_response_is_lost(is_leader: bool, last_confirmed: Option<u64>) {
    let mut freshness = ConfigFreshness::new(APPLY_TIME);
    if let Some(last_confirmed) = last_confirmed {
        freshness.record_confirmed(at(last_confirmed));
    }
    let ended = latest_end(&freshness, is_leader, at(0));
    // A lost watch, or one that is no longer backed by the leader, is followed by a call on another
    // connection.
    assert!(ended <= at(0) + APPLY_TIME.mul_f64(0.6), "watch ended at {ended:?}");
    assert!(!freshness.watch_timeouts(is_leader, ended).leader_backed);
}

/// Guards against followers whose watches their healthy leader does not back, which costs calls to
/// the store in proportion to the number of instances.
#[test]
fn a_healthy_leader_backs_the_watches_of_its_followers() {
    let mut leader = fresh();
    let mut follower = fresh();
    let mut now = at(0);
    for _ in 0..40 {
        let sent = now;
        let waited = sent + leader.watch_timeouts(true, sent).wait;
        // The leader sends an update right before its watch ends and the next one a heartbeat interval later.
        follower.record_confirmed(now - leader.age(waited).unwrap());
        now = waited + HEARTBEAT;
        assert!(follower.watch_timeouts(false, waited).leader_backed, "at {waited:?}");
        leader.record_confirmed(now);
        follower.record_confirmed(now - leader.age(now).unwrap());
    }
}

/// Guards against a delayed update of the leader that counts as a new one.
#[test]
fn an_older_update_does_not_extend_the_trust() {
    let mut freshness = fresh();
    let before = freshness.remaining_trust(at(400));
    freshness.record_confirmed(at(400) - Duration::from_secs(1));
    assert_eq!(freshness.remaining_trust(at(400)), before);
}

/// Guards against an instance that was frozen for a while and still trusts its old configuration.
#[test]
fn a_frozen_instance_no_longer_trusts_its_configuration() {
    let freshness = fresh();
    assert!(freshness.watch_timeouts(false, at(100)).leader_backed);
    assert!(!freshness.watch_timeouts(false, at(5_000)).leader_backed);
}
