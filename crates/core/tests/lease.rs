//! Leader election of a zone: lost replies, paused holders and clock drift.

use std::time::Duration;

use carobwick_core::Era;
use carobwick_core::Fence;
use carobwick_core::LEASE_TTL;
use carobwick_core::LeaderRecord;
use carobwick_core::Leadership;
use carobwick_core::Lease;
use carobwick_core::LeaseEvent;
use carobwick_core::LeaseStep;
use carobwick_core::LeaseTiming;
use carobwick_core::Time;
use carobwick_core::WriteId;

const OWN: WriteId = WriteId(7);

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn record(write_id: WriteId) -> LeaderRecord {
    LeaderRecord { instance: "other".parse().unwrap(), write_id }
}

/// A planner whose call to create the leader key is in flight; its lease was granted by a call sent at 0 ms.
fn creating() -> Lease {
    let mut lease = Lease::new("i1".parse().unwrap());
    assert_eq!(lease.step(at(0), OWN), LeaseStep::Read);
    lease.on_event(at(0), LeaseEvent::Read(None));
    assert_eq!(lease.step(at(0), OWN), LeaseStep::Grant);
    lease.on_event(at(10), LeaseEvent::Granted(5));
    assert_eq!(lease.step(at(10), OWN), LeaseStep::Create { lease: 5, write_id: OWN });
    lease
}

fn leading() -> Lease {
    let mut lease = creating();
    lease.on_event(at(20), LeaseEvent::Created(42));
    lease
}

/// Guards against a leader that counts its lease from the reply, while the key-value service counts from the
/// call.
#[test]
fn lease_counts_from_before_the_call_less_the_margin() {
    let mut lease = leading();
    assert_eq!(lease.leadership(at(3_999)), Leadership::Leader(Fence::first(42)));
    assert_eq!(lease.leadership(at(4_000)), Leadership::Expired(Fence::first(42)));
    assert_eq!(lease.step(at(1_500), OWN), LeaseStep::KeepAlive(5));
    lease.on_event(at(2_900), LeaseEvent::Kept(true));
    assert_eq!(lease.leadership(at(5_499)), Leadership::Leader(Fence::first(42)));
    assert_eq!(lease.leadership(at(5_500)), Leadership::Expired(Fence::first(42)));
}

/// Guards against a holder that was paused past the end of its lease and then acts on a late reply.
#[test]
fn paused_holder_is_expired_by_the_clock() {
    let mut lease = leading();
    assert_eq!(lease.step(at(1_500), OWN), LeaseStep::KeepAlive(5));
    lease.on_event(at(20_000), LeaseEvent::Kept(true));
    assert_eq!(lease.leadership(at(20_000)), Leadership::Expired(Fence::first(42)));
    assert_eq!(lease.step(at(20_000), OWN), LeaseStep::KeepAlive(5));
    lease.on_event(at(20_010), LeaseEvent::Kept(false));
    assert_eq!(lease.leadership(at(20_010)), Leadership::Follower);
}

/// Guards against a zone without a leader because the reply to the winner was lost.
#[test]
fn lost_reply_is_settled_by_reading_back() {
    let mut lease = creating();
    lease.on_event(at(1_000), LeaseEvent::Failed);
    assert_eq!(lease.step(at(1_000), OWN), LeaseStep::Read);
    lease.on_event(at(1_010), LeaseEvent::Read(Some((record(OWN), 42))));
    assert_eq!(lease.leadership(at(1_010)), Leadership::Leader(Fence::first(42)));
}

/// Guards against a planner that does not recognise its own first create, which was still in flight when it
/// read back.
#[test]
fn late_create_is_found_by_the_repeated_one() {
    let mut lease = creating();
    lease.on_event(at(1_000), LeaseEvent::Failed);
    assert_eq!(lease.step(at(1_000), WriteId(8)), LeaseStep::Read);
    lease.on_event(at(1_010), LeaseEvent::Read(None));
    assert_eq!(lease.step(at(1_010), WriteId(9)), LeaseStep::Create { lease: 5, write_id: OWN });
    lease.on_event(at(1_020), LeaseEvent::Exists(Some((record(OWN), 42))));
    assert_eq!(lease.leadership(at(1_020)), Leadership::Leader(Fence::first(42)));
}

/// Guards against a planner that takes the key of another planner for its own.
#[test]
fn other_winner_is_followed() {
    let mut lease = creating();
    lease.on_event(at(20), LeaseEvent::Exists(Some((record(WriteId(99)), 41))));
    assert_eq!(lease.leadership(at(20)), Leadership::Follower);
    assert_eq!(lease.step(at(20), OWN), LeaseStep::Wait);
}

/// Guards against a leader key that is created with a lease that may have ended.
#[test]
fn create_is_abandoned_when_the_lease_may_have_ended() {
    let mut lease = creating();
    lease.on_event(at(1_000), LeaseEvent::Failed);
    assert_eq!(lease.step(at(4_000), OWN), LeaseStep::Wait);
    assert_eq!(lease.step(at(4_100), OWN), LeaseStep::Read);
    lease.on_event(at(4_110), LeaseEvent::Read(None));
    assert_eq!(lease.leadership(at(4_110)), Leadership::Follower);
    assert_eq!(lease.step(at(4_110), OWN), LeaseStep::Grant);
}

/// Guards against a leader that steps down while the key-value service is unreachable, when no other can be
/// elected.
#[test]
fn holder_renews_after_an_outage() {
    let mut lease = leading();
    for millis in [1_500, 3_000, 6_000, 60_000] {
        assert_eq!(lease.step(at(millis), OWN), LeaseStep::KeepAlive(5));
        lease.on_event(at(millis + 1_000), LeaseEvent::Failed);
    }
    assert_eq!(lease.leadership(at(61_000)), Leadership::Expired(Fence::first(42)));
    assert_eq!(lease.step(at(62_000), OWN), LeaseStep::KeepAlive(5));
    lease.on_event(at(62_010), LeaseEvent::Kept(true));
    assert_eq!(lease.leadership(at(62_010)), Leadership::Leader(Fence::first(42)));
}

/// Guards against a drained planner that keeps its lease or takes a new one.
#[test]
fn resigned_holder_ends_its_lease() {
    let mut lease = leading();
    lease.set_resigned(true);
    assert_eq!(lease.step(at(100), OWN), LeaseStep::Revoke(5));
    lease.on_event(at(110), LeaseEvent::Revoked);
    assert_eq!(lease.leadership(at(110)), Leadership::Follower);
    assert_eq!(lease.step(at(110) + LEASE_TTL, OWN), LeaseStep::Wait);
    lease.set_resigned(false);
    assert_eq!(lease.step(at(120) + LEASE_TTL, OWN), LeaseStep::Read);
}

/// Guards against a follower with a connection to the leader that reads the leader key rarely, and after a
/// lost connection waits until the next regular read.
#[test]
fn follower_reads_at_once_on_request() {
    let mut lease = Lease::new("i1".parse().unwrap());
    lease.set_read_interval(Duration::from_secs(10));
    assert_eq!(lease.step(at(0), OWN), LeaseStep::Read);
    lease.on_event(at(10), LeaseEvent::Read(Some((record(WriteId(1)), 3))));
    assert_eq!(lease.step(at(5_000), OWN), LeaseStep::Wait);
    lease.read_now(at(5_000));
    assert_eq!(lease.step(at(5_000), OWN), LeaseStep::Read);
}

/// A leader of era 1, of a gateway's lease, whose store has returned in era 2 at `returned` ms.
fn leading_across_a_return(returned: u64) -> Lease {
    let mut lease = Lease::new("i1".parse().unwrap());
    lease.set_era(Era(1), at(0));
    lease.set_timing(GATEWAY_TIMING);
    lease.on_event(at(0), LeaseEvent::Failed);
    assert_eq!(lease.step(at(1_000), OWN), LeaseStep::Read);
    lease.on_event(at(1_000), LeaseEvent::Read(None));
    lease.step(at(1_000), OWN);
    lease.on_event(at(1_000), LeaseEvent::Granted(5));
    lease.step(at(1_000), OWN);
    lease.on_event(at(1_000), LeaseEvent::Created(42));
    assert_eq!(lease.era_fence(), Some(Fence::in_era(Era(1), 42)));
    lease.set_era(Era(2), at(returned));
    lease
}

const GATEWAY_TIMING: LeaseTiming = LeaseTiming {
    ttl: Duration::from_secs(3),
    usable: Duration::from_millis(1_400),
    renewal: Duration::from_millis(500),
};

/// Guards against a pause in orders each time that the store returns, although the leader's key is in the copy.
#[test]
fn a_leader_whose_key_is_in_the_copy_leads_on_with_its_fence() {
    let mut lease = leading_across_a_return(1_200);
    assert!(matches!(lease.leadership(at(1_200)), Leadership::Leader(_)), "others wait for its last renewal");
    assert_eq!(lease.step(at(1_200), OWN), LeaseStep::Verify);
    lease.on_event(at(1_210), LeaseEvent::Read(Some((record(OWN), 42))));
    assert_eq!(lease.step(at(1_210), OWN), LeaseStep::KeepAlive(5));
    lease.on_event(at(1_220), LeaseEvent::Kept(true));
    assert!(matches!(lease.leadership(at(2_600)), Leadership::Leader(_)));
    assert_eq!(lease.era_fence(), Some(Fence::in_era(Era(1), 42)));
}

/// Guards against a second leader: another instance's key is in the copy, or none, and the lease's id may be another
/// one's by now, so that its renewal succeeds.
#[test]
fn a_leader_whose_key_is_not_in_the_copy_follows() {
    for found in [None, Some((record(WriteId(8)), 40))] {
        let mut lease = leading_across_a_return(1_200);
        assert_eq!(lease.step(at(1_200), OWN), LeaseStep::Verify);
        lease.on_event(at(1_210), LeaseEvent::Read(found));
        assert_eq!(lease.leadership(at(1_210)), Leadership::Follower);
    }
}

/// Guards against a lease that had ended and comes back with the copy, after another instance has led.
#[test]
fn a_leader_whose_lease_may_have_ended_before_the_return_follows() {
    let mut lease = leading_across_a_return(3_900);
    assert_eq!(lease.step(at(3_900), OWN), LeaseStep::Wait);
    assert_eq!(lease.leadership(at(3_900)), Leadership::Follower);
}

/// Guards against a second leader when the store returns twice: the key was there after the first return only.
#[test]
fn a_verification_in_an_earlier_era_does_not_count() {
    let mut lease = leading_across_a_return(1_200);
    assert_eq!(lease.step(at(1_200), OWN), LeaseStep::Verify);
    lease.set_era(Era(3), at(1_205));
    lease.on_event(at(1_210), LeaseEvent::Read(Some((record(OWN), 42))));
    assert_eq!(lease.step(at(1_210), OWN), LeaseStep::Verify, "it is verified again");
}

/// Guards against a key that is created with the lease of another era, which may be another instance's.
#[test]
fn a_candidate_starts_over_when_the_store_has_returned() {
    let mut lease = creating();
    lease.set_era(Era(1), at(15));
    assert_eq!(lease.leadership(at(15)), Leadership::Follower);
    lease.set_era(Era(2), at(16));
    lease.on_event(at(20), LeaseEvent::Created(42));
    assert_eq!(lease.leadership(at(20)), Leadership::Follower);
}

/// Guards against a fence of a later life of the store that is lower than one of an earlier life.
#[test]
fn fences_rise_across_eras() {
    assert!(Fence::in_era(Era(2), 1) > Fence::in_era(Era(1), u64::from(u32::MAX)));
    assert!(Fence::in_era(Era(2), 2) > Fence::in_era(Era(2), 1));
    assert_eq!(Fence::in_era(Era::default(), 41).0, 41);
}
