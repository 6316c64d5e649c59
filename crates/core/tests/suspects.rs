//! Tests of the suspicion of requests and prompt parts that crash endpoints.

use std::time::Duration;

use carobwick_core::Fingerprint;
use carobwick_core::Incarnation;
use carobwick_core::Millis;
use carobwick_core::Time;
use carobwick_core::gateway::Loss;
use carobwick_core::gateway::PartId;
use carobwick_core::gateway::Suspect;
use carobwick_core::gateway::SuspectTable;
use carobwick_core::gateway::Ticket;
use carobwick_core::gateway::TrialTable;
use carobwick_core::gateway::Verdict;

const A: Suspect = Suspect::Part(PartId(0xa));
const B: Suspect = Suspect::Part(PartId(0xb));
const BAD: Suspect = Suspect::Part(PartId(0xbad));

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn loss(suspects: &[Suspect], endpoint: &str) -> Loss {
    Loss {
        suspects: suspects.to_vec(),
        endpoint: endpoint.parse().unwrap(),
        incarnation: Incarnation(1),
        trial: false,
        age: Millis(0),
    }
}

fn trial_loss(suspects: &[Suspect], endpoint: &str) -> Loss {
    Loss { trial: true, ..loss(suspects, endpoint) }
}

/// Guards against a request that keeps crashing endpoints, and against the refusal of a harmless one.
#[test]
fn three_lost_endpoints_convict_a_request() {
    let mut table = SuspectTable::default();
    let (bad, good) = (Suspect::Request(Fingerprint(1)), Suspect::Request(Fingerprint(2)));
    for (index, id) in ["a", "b", "c"].iter().enumerate() {
        assert_eq!(table.verdict(&[bad], at(0)), Verdict::Clear);
        assert!(table.record_loss(&loss(&[bad], id), at(index as u64)));
        assert!(!table.record_loss(&loss(&[bad], id), at(index as u64)), "one crash counts once");
        if index < 2 {
            table.record_loss(&loss(&[good], id), at(index as u64));
        }
    }
    table.clear(good);
    assert_eq!(table.verdict(&[bad], at(1_000)), Verdict::Convicted);
    assert_eq!(table.verdict(&[good], at(1_000)), Verdict::Clear);
    assert_eq!(table.verdict(&[bad], at(600_000)), Verdict::Clear);
}

/// Guards against a part that crashes one endpoint after the other, and against the conviction of those that
/// always come with it.
#[test]
fn a_part_is_convicted_by_a_trial_and_the_parts_beside_it_are_not() {
    let mut table = SuspectTable::default();
    table.record_loss(&loss(&[A, B, BAD], "a"), at(0));
    assert_eq!(table.verdict(&[A, B, BAD], at(0)), Verdict::Clear, "one crash can have any cause");
    table.record_loss(&loss(&[A, B, BAD], "b"), at(10));
    table.clear(A);
    assert_eq!(table.verdict(&[A, B, BAD], at(20)), Verdict::Suspected);
    assert_eq!(table.verdict(&[A], at(20)), Verdict::Clear);
    table.record_loss(&trial_loss(&[A, B, BAD], "c"), at(30));
    assert_eq!(table.verdict(&[A, B, BAD], at(40)), Verdict::Convicted);
    assert_eq!(table.verdict(&[A, B], at(40)), Verdict::Suspected, "the other part explains the losses");
    assert_eq!(table.verdict(&[BAD], at(40)), Verdict::Suspected);
    assert!(table.clear(B));
    assert_eq!(table.verdict(&[BAD], at(50)), Verdict::Convicted);
    assert_eq!(table.verdict(&[A, B], at(50)), Verdict::Clear);
}

/// Guards against the conviction of a part whose requests ran on endpoints that failed at once for another
/// reason.
#[test]
fn crashes_at_one_time_convict_no_part_without_a_trial() {
    let mut table = SuspectTable::default();
    for id in ["a", "b", "c", "d"] {
        table.record_loss(&loss(&[A], id), at(0));
    }
    assert_eq!(table.verdict(&[A], at(1)), Verdict::Suspected);
    assert!(table.clear(A), "a trial with a first event clears the part");
    assert_eq!(table.verdict(&[A], at(2)), Verdict::Clear);
}

/// Guards against the conviction of a part whose trial is lost with the zone of its endpoint: a third of the requests of a
/// route were refused for two minutes.
#[test]
fn a_trial_that_is_lost_with_a_zone_convicts_no_part() {
    let mut table = SuspectTable::default();
    for endpoint in ["a", "b"] {
        table.record_loss(&loss(&[A], endpoint), at(0));
    }
    for (part, endpoint) in [(B, "c"), (BAD, "d"), (B, "e")] {
        table.record_loss(&loss(&[part], endpoint), at(20));
    }
    table.record_loss(&trial_loss(&[A], "f"), at(90));
    assert_eq!(table.verdict(&[A], at(90)), Verdict::Suspected);
    table.record_loss(&trial_loss(&[A], "g"), at(3_000));
    assert_eq!(table.verdict(&[A], at(3_000)), Verdict::Convicted, "the next trial decides");
}

/// Guards against a trial that is ignored for endpoints that were lost long before it.
#[test]
fn earlier_losses_of_other_endpoints_do_not_discard_a_trial() {
    let mut table = SuspectTable::default();
    for endpoint in ["a", "b"] {
        table.record_loss(&loss(&[A], endpoint), at(60_000));
    }
    table.record_loss(&loss(&[B], "c"), at(0));
    table.record_loss(&loss(&[B], "d"), at(60_020));
    table.record_loss(&trial_loss(&[A], "e"), at(60_090));
    assert_eq!(table.verdict(&[A], at(60_090)), Verdict::Convicted);
}

/// Guards against a series of crashes each time that a conviction ends, and against one that never ends.
#[test]
fn a_conviction_ends_in_suspicion_and_is_renewed_by_one_trial() {
    let mut table = SuspectTable::default();
    for id in ["a", "b"] {
        table.record_loss(&loss(&[BAD], id), at(0));
    }
    table.record_loss(&trial_loss(&[BAD], "c"), at(0));
    assert_eq!(table.verdict(&[BAD], at(119_000)), Verdict::Convicted);
    assert_eq!(table.verdict(&[BAD], at(121_000)), Verdict::Suspected);
    table.record_loss(&trial_loss(&[BAD], "d"), at(121_000));
    assert_eq!(table.verdict(&[BAD], at(200_000)), Verdict::Convicted);
    assert_eq!(table.verdict(&[BAD], at(121_000 + 600_000)), Verdict::Clear);
}

/// Guards against an instance that joins and does not know which parts are convicted.
#[test]
fn the_losses_of_a_table_bring_another_one_to_the_same_verdict() {
    let (mut known, mut joined) = (SuspectTable::default(), SuspectTable::default());
    for id in ["a", "b"] {
        known.record_loss(&loss(&[A, BAD], id), at(0));
    }
    known.record_loss(&trial_loss(&[BAD], "c"), at(0));
    for loss in known.losses_to_share(at(60_000)) {
        joined.record_loss(&loss, at(90_000));
    }
    for suspects in [&[A][..], &[BAD], &[A, BAD]] {
        assert_eq!(joined.verdict(suspects, at(95_000)), known.verdict(suspects, at(65_000)));
    }
}

/// Guards against an instance that joins and does not know which requests crash endpoints, and against a list of all
/// requests that were in flight at an endpoint that failed.
#[test]
fn a_table_that_gets_the_losses_of_another_one_convicts_the_same_requests() {
    let (mut known, mut joined) = (SuspectTable::default(), SuspectTable::default());
    let bad = Suspect::Request(Fingerprint(1));
    for id in ["a", "b", "c"] {
        known.record_loss(&loss(&[bad], id), at(0));
    }
    for number in 0..1_000 {
        known.record_loss(&loss(&[Suspect::Request(Fingerprint(2 + number))], "c"), at(0));
    }
    let shared = known.losses_to_share(at(60_000));
    assert_eq!(shared.len(), 3);
    for loss in shared {
        joined.record_loss(&loss, at(60_000));
    }
    assert_eq!(joined.verdict(&[bad], at(119_000)), Verdict::Convicted);
    assert_eq!(joined.verdict(&[bad], at(121_000)), Verdict::Clear, "being passed on does not renew a loss");
}

/// Guards against callers that fill the table with parts of their own, and so hide the one that crashes
/// endpoints.
#[test]
fn fresh_parts_do_not_displace_the_suspected_ones() {
    let mut table = SuspectTable::default();
    for id in ["a", "b"] {
        table.record_loss(&loss(&[BAD], id), at(0));
    }
    for number in 0..10_000 {
        table.record_loss(&loss(&[Suspect::Part(PartId(0x1_0000 + number))], "c"), at(1 + number));
    }
    assert!(table.losses_to_share(at(11_000)).len() <= 4_200, "the table is bounded");
    assert_eq!(table.verdict(&[BAD], at(11_000)), Verdict::Suspected);
}

/// Guards against several requests with the same suspected part at several endpoints.
#[test]
fn one_trial_at_a_time_runs_for_each_part() {
    let mut trials = TrialTable::default();
    let ticket = |number| Ticket { instance: "n1".parse().unwrap(), number };
    assert!(trials.try_start(&[A, BAD], &ticket(1), at(1_000), at(0)));
    assert!(!trials.try_start(&[BAD], &ticket(2), at(1_000), at(10)));
    assert!(trials.try_start(&[B], &ticket(3), at(1_000), at(10)));
    trials.finish(&ticket(2));
    assert!(!trials.try_start(&[BAD], &ticket(4), at(1_000), at(20)), "only its own request ends a trial");
    trials.finish(&ticket(1));
    assert!(trials.try_start(&[BAD], &ticket(5), at(1_000), at(30)));
    assert!(
        trials.try_start(&[BAD], &ticket(6), at(2_000), at(1_000)),
        "a trial ends with its request's time"
    );
}
