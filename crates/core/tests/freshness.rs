//! How long an instance goes by the configuration that it has: the leader's word, its own watches, and what is lost.

use std::time::Duration;

use carobwick_core::Time;
use carobwick_core::gateway::ConfigFreshness;
use test_case::test_case;

const APPLY: Duration = Duration::from_secs(2);
/// Pause between two of the leader's messages.
const BEAT: Duration = Duration::from_millis(500);

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

/// An instance whose configuration was the newest at 0 ms.
fn fresh() -> ConfigFreshness {
    let mut freshness = ConfigFreshness::new(APPLY);
    freshness.confirmed(at(0));
    freshness
}

/// Returns when a watch that is sent at a time is answered or given up at the latest.
fn ends(freshness: &ConfigFreshness, leads: bool, sent: Time) -> Time {
    let terms = freshness.watch_timeouts(leads, sent);
    let answered = sent + terms.timeout;
    if terms.leader_backed { answered.min(sent + freshness.remaining_trust(sent)) } else { answered }
}

/// Guards against an instance that serves an old configuration for longer than a new one may take: the configuration changes
/// right after it was checked, the answer to the watch is lost, and the leader is lost, leads, or was never there.
#[test_case(false, Some(0) ; "the leader is lost")]
#[test_case(false, None ; "there is no leader")]
#[test_case(true, Some(0) ; "the instance leads")]
fn a_change_is_noticed_in_time_although_an_answer_is_lost(leads: bool, checked: Option<u64>) {
    let mut freshness = ConfigFreshness::new(APPLY);
    if let Some(checked) = checked {
        freshness.confirmed(at(checked));
    }
    let first = ends(&freshness, leads, at(0));
    // What follows a lost watch, or one that is no longer backed, is a call on another connection.
    assert!(first <= at(0) + APPLY.mul_f64(0.6), "given up at {first:?}");
    assert!(!freshness.watch_timeouts(leads, first).leader_backed);
}

/// Guards against followers that watch by themselves although their leader is sound, which costs calls to the store in
/// proportion to the instances.
#[test]
fn a_sound_leader_backs_the_watches_of_its_followers() {
    let mut leader = fresh();
    let mut follower = fresh();
    let mut now = at(0);
    for _ in 0..40 {
        let sent = now;
        let waited = sent + leader.watch_timeouts(true, sent).wait;
        // The leader's word is sent right before its watch ends, and one beat passes until the next.
        follower.confirmed(now - leader.age(waited).unwrap());
        now = waited + BEAT;
        assert!(follower.watch_timeouts(false, waited).leader_backed, "at {waited:?}");
        leader.confirmed(now);
        follower.confirmed(now - leader.age(now).unwrap());
    }
}

/// Guards against a word that the leader has held back and that counts as new.
#[test]
fn an_older_word_does_not_prolong_the_trust() {
    let mut freshness = fresh();
    let before = freshness.remaining_trust(at(400));
    freshness.confirmed(at(400) - Duration::from_secs(1));
    assert_eq!(freshness.remaining_trust(at(400)), before);
}

/// Guards against an instance that was paused and goes by what it knew before.
#[test]
fn a_pause_ends_the_trust() {
    let freshness = fresh();
    assert!(freshness.watch_timeouts(false, at(100)).leader_backed);
    assert!(!freshness.watch_timeouts(false, at(5_000)).leader_backed);
}
