//! How long an instance goes by the configuration that it has: the leader's word, its own watches, and what is lost.

use std::time::Duration;

use carobwick_core::Time;
use carobwick_core::gateway::ConfigFreshness;
use test_case::test_case;

const APPLY_TIME: Duration = Duration::from_secs(2);
/// Pause between two of the leader's messages.
const HEARTBEAT: Duration = Duration::from_millis(500);

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

/// An instance whose configuration was the newest at 0 ms.
fn fresh() -> ConfigFreshness {
    let mut freshness = ConfigFreshness::new(APPLY_TIME);
    freshness.confirmed(at(0));
    freshness
}

/// Returns when a watch that is sent at a time is answered or given up at the latest.
fn latest_end(freshness: &ConfigFreshness, is_leader: bool, sent: Time) -> Time {
    let timeouts = freshness.watch_timeouts(is_leader, sent);
    let timed_out = sent + timeouts.timeout;
    if timeouts.leader_backed { timed_out.min(sent + freshness.remaining_trust(sent)) } else { timed_out }
}

/// Guards against an instance that serves an old configuration for longer than a new one may take: the configuration changes
/// right after it was checked, the answer to the watch is lost, and the leader is lost, leads, or was never there.
#[test_case(false, Some(0) ; "the leader is lost")]
#[test_case(false, None ; "there is no leader")]
#[test_case(true, Some(0) ; "the instance leads")]
fn a_change_is_noticed_in_time_although_a_response_is_lost(is_leader: bool, last_confirmed: Option<u64>) {
    let mut freshness = ConfigFreshness::new(APPLY_TIME);
    if let Some(last_confirmed) = last_confirmed {
        freshness.confirmed(at(last_confirmed));
    }
    let ended = latest_end(&freshness, is_leader, at(0));
    // What follows a lost watch, or one that is no longer backed, is a call on another connection.
    assert!(ended <= at(0) + APPLY_TIME.mul_f64(0.6), "given up at {ended:?}");
    assert!(!freshness.watch_timeouts(is_leader, ended).leader_backed);
}

/// Guards against followers that watch by themselves although their leader is sound, which costs calls to the store in
/// proportion to the instances.
#[test]
fn a_healthy_leader_backs_the_watches_of_its_followers() {
    let mut leader = fresh();
    let mut follower = fresh();
    let mut now = at(0);
    for _ in 0..40 {
        let sent = now;
        let waited = sent + leader.watch_timeouts(true, sent).wait;
        // The leader's word is sent right before its watch ends, and one beat passes until the next.
        follower.confirmed(now - leader.age(waited).unwrap());
        now = waited + HEARTBEAT;
        assert!(follower.watch_timeouts(false, waited).leader_backed, "at {waited:?}");
        leader.confirmed(now);
        follower.confirmed(now - leader.age(now).unwrap());
    }
}

/// Guards against a word that the leader has held back and that counts as new.
#[test]
fn an_older_update_does_not_extend_the_trust() {
    let mut freshness = fresh();
    let before = freshness.remaining_trust(at(400));
    freshness.confirmed(at(400) - Duration::from_secs(1));
    assert_eq!(freshness.remaining_trust(at(400)), before);
}

/// Guards against an instance that was paused and goes by what it knew before.
#[test]
fn a_frozen_instance_no_longer_trusts_its_configuration() {
    let freshness = fresh();
    assert!(freshness.watch_timeouts(false, at(100)).leader_backed);
    assert!(!freshness.watch_timeouts(false, at(5_000)).leader_backed);
}
