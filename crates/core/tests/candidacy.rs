//! Tests of the decision which instances claim the leader lease.

use carobwick_core::gateway::Candidacy;
use carobwick_core::gateway::InstanceSize;
use test_case::test_case;

const LARGE: InstanceSize = InstanceSize { cores: 0.5, link: 200.0, memory: 256.0 };
const SMALL: InstanceSize = InstanceSize { cores: 0.1, link: 20.0, memory: 256.0 };
/// Upper bound of the claims at one poll; with two writes each, they stay below half of the writes per second
/// that the smallest store allows.
const MAX_CLAIMS: usize = 100;

fn candidates(count: u32, size: InstanceSize) -> Vec<Candidacy> {
    let start = |index: u32| {
        let mut candidacy = Candidacy::new(format!("i{index}").parse().unwrap(), size);
        candidacy.set_instances(count);
        candidacy
    };
    (0..count).map(start).collect()
}

/// Guards against a large fleet whose instances all write to the store at once after the loss of the leader.
#[test_case(67)]
#[test_case(295)]
#[test_case(1_000)]
fn few_instances_claim_the_lease_first(count: u32) {
    let claims = candidates(count, LARGE)
        .iter_mut()
        .filter_map(|candidate| candidate.should_claim().then_some(()))
        .count();
    assert!((1..=MAX_CLAIMS).contains(&claims), "{claims} of {count}");
}

/// Guards against a fleet that stays without a leader for long after most of its instances were lost at once.
#[test]
fn the_last_instance_of_a_fleet_claims_the_lease() {
    for (index, mut last) in candidates(330, SMALL).into_iter().enumerate() {
        let polls = (1..=32).find(|_| last.should_claim()).unwrap_or(u32::MAX);
        assert!(polls <= 8, "instance {index} claims after {polls} polls");
    }
}

/// Guards against an instance that continues the last election although there was a leader since.
#[test]
fn a_leader_in_between_starts_a_new_election() {
    let mut candidates = candidates(295, LARGE);
    let first: Vec<bool> = candidates.iter_mut().map(Candidacy::should_claim).collect();
    candidates.iter_mut().for_each(Candidacy::record_leader);
    let again: Vec<bool> = candidates.iter_mut().map(Candidacy::should_claim).collect();
    assert_eq!(first, again);
}

/// Guards against a leader on an instance whose link or processor is too small to serve the others.
#[test]
fn small_instances_wait_for_a_large_one() {
    for size in [SMALL, InstanceSize { link: 10.0, ..LARGE }, InstanceSize { link: 1_000.0, ..SMALL }] {
        let early = candidates(300, size)
            .iter_mut()
            .filter_map(|candidate| candidate.should_claim().then_some(()))
            .count();
        assert_eq!(early, 0, "{size:?}");
    }
}
